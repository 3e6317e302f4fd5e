use super::*;

fn pending(number: u64, expires_at: f64, key_hash: Option<u64>) -> PendingWebhook {
    PendingWebhook { number, expires_at, key_hash }
}

fn take_next_number(backlog: &mut Backlog, now: f64) -> Option<u64> {
    backlog.take_next(now).map(|webhook| webhook.number)
}

#[test]
fn expired_webhooks_come_first_then_the_oldest() {
    let webhooks =
        [pending(1, 50.0, None), pending(2, 20.0, None), pending(3, 30.0, None), pending(4, 90.0, None)];
    let mut backlog: Backlog = webhooks.into_iter().collect();
    assert_eq!(backlog.len(), 4);
    assert_eq!(take_next_number(&mut backlog, 10.0), Some(1));
    assert_eq!(take_next_number(&mut backlog, 30.0), Some(2));
    assert_eq!(take_next_number(&mut backlog, 29.9), Some(3));
    backlog.add(pending(5, 12.0, None));
    assert_eq!(take_next_number(&mut backlog, 30.0), Some(5));
    assert_eq!((backlog.remove(4), backlog.remove(4)), (Some(pending(4, 90.0, None)), None));
    assert_eq!((take_next_number(&mut backlog, 100.0), backlog.is_empty()), (None, true));
}

#[test]
fn a_key_is_known_until_its_last_webhook_is_removed() {
    let mut backlog: Backlog =
        [pending(1, 9.0, Some(7)), pending(2, 9.0, None), pending(3, 9.0, Some(7))].into_iter().collect();
    assert!(backlog.has_key(7) && !backlog.has_key(8));
    assert_eq!(take_next_number(&mut backlog, 0.0), Some(1));
    backlog.add(pending(4, 9.0, Some(7)));
    assert!(backlog.remove(3).is_some() && backlog.has_key(7));
    assert_eq!(
        [take_next_number(&mut backlog, 0.0), take_next_number(&mut backlog, 0.0)],
        [Some(2), Some(4)]
    );
    assert!(!backlog.has_key(7));
}
