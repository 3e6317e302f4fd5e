//! Timers and pending webhooks: due times, order, replacement and removal.

use super::*;

#[test]
fn setting_a_timer_again_replaces_it_and_due_keys_come_in_order_of_time() {
    let mut timers = Timers::default();
    timers.set("a", 2.0);
    timers.set("b", 1.0);
    timers.set("a", 0.5);
    timers.set("c", f64::INFINITY);
    assert_eq!((timers.next_at(), timers.pop_due(0.4)), (0.5, None));
    assert_eq!((timers.pop_due(3.0), timers.pop_due(3.0), timers.pop_due(3.0)), (Some("a"), Some("b"), None));
}

#[test]
fn reinserted_webhooks_keep_their_sequence_and_removed_ones_leave_nothing_behind() {
    let entry = |sendable_at, expires_at| PendingEntry {
        destination: 7,
        expires_at,
        exhausted_at: f64::INFINITY,
        sendable_at,
        group: 'g',
        target_deadline: 1.0,
    };
    let mut pending = PendingWebhooks::default();
    pending.insert(1, entry(0.0, 9.0));
    pending.insert(2, entry(0.0, 5.0));
    pending.insert(1, entry(3.0, 5.0));
    pending.advance(4.0);
    assert_eq!(pending.sendable[&7][&'g'].by_sequence.values().copied().collect::<Vec<_>>(), [1, 2]);
    pending.advance(5.0);
    assert_eq!((pending.first_expired(), pending.first_exhausted()), (Some(1), None));
    pending.remove(1);
    assert_eq!(pending.first_expired(), Some(2));
    pending.remove(2);
    assert!(
        pending.is_empty()
            && pending.sendable.is_empty()
            && pending.first_expired().is_none()
            && pending.next_at() == f64::INFINITY
    );
}
