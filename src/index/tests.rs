use super::*;

#[test]
fn a_thing_has_one_time_and_comes_when_it_is_due() {
    let mut t = Timers::default();
    t.set("a", 2.0);
    t.set("b", 1.0);
    t.set("a", 0.5);
    t.set("c", f64::INFINITY);
    assert_eq!((t.next(), t.due(0.4)), (0.5, None));
    assert_eq!((t.due(3.0), t.due(3.0), t.due(3.0)), (Some("a"), Some("b"), None));
}

#[test]
fn webhooks_keep_their_place_and_leave_nothing_behind() {
    let facts = |own_at, late_at| Facts {
        dest: 7,
        late_at,
        spent_at: f64::INFINITY,
        own_at,
        group: 'g',
        target_at: 1.0,
    };
    let mut h = Held::default();
    h.put(1, facts(0.0, 9.0));
    h.put(2, facts(0.0, 5.0));
    h.put(1, facts(3.0, 5.0));
    h.pass(4.0);
    assert_eq!(h.ready[&7][&'g'].by_place.values().copied().collect::<Vec<_>>(), [1, 2]);
    h.pass(5.0);
    assert_eq!((h.first_late(), h.first_spent()), (Some(1), None));
    h.take(1);
    assert_eq!(h.first_late(), Some(2));
    h.take(2);
    assert!(h.is_empty() && h.ready.is_empty() && h.first_late().is_none() && h.next() == f64::INFINITY);
}
