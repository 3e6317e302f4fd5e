use super::*;

fn one(number: u64, ends_at: f64, key: Option<u64>) -> Resumable {
    Resumable { number, ends_at, key }
}

fn next(backlog: &mut Backlog, now: f64) -> Option<u64> {
    backlog.next(now).map(|one| one.number)
}

#[test]
fn the_oldest_comes_first_and_before_it_whatever_is_over() {
    let found = [one(1, 50.0, None), one(2, 20.0, None), one(3, 30.0, None), one(4, 90.0, None)];
    let mut backlog: Backlog = found.into_iter().collect();
    assert_eq!(backlog.len(), 4);
    assert_eq!(next(&mut backlog, 10.0), Some(1));
    assert_eq!(next(&mut backlog, 30.0), Some(2));
    assert_eq!(next(&mut backlog, 29.9), Some(3));
    backlog.add(one(5, 12.0, None));
    assert_eq!(next(&mut backlog, 30.0), Some(5));
    assert_eq!((backlog.remove(4), backlog.remove(4)), (Some(one(4, 90.0, None)), None));
    assert_eq!((next(&mut backlog, 100.0), backlog.is_empty()), (None, true));
}

#[test]
fn a_key_waits_until_the_last_with_it_is_out() {
    let mut backlog: Backlog =
        [one(1, 9.0, Some(7)), one(2, 9.0, None), one(3, 9.0, Some(7))].into_iter().collect();
    assert!(backlog.has_key(7) && !backlog.has_key(8));
    assert_eq!(next(&mut backlog, 0.0), Some(1));
    backlog.add(one(4, 9.0, Some(7)));
    assert!(backlog.remove(3).is_some() && backlog.has_key(7));
    assert_eq!([next(&mut backlog, 0.0), next(&mut backlog, 0.0)], [Some(2), Some(4)]);
    assert!(!backlog.has_key(7));
}
