//! Tests of the bridge without sockets: how webhooks that the journal held at start go back to the decision
//! module.

use scalebarrow_sender::bridge::Bridge;
use scalebarrow_sender::clients::{IncomingWebhook, Reply};
use scalebarrow_sender::clock::BootReading;
use scalebarrow_sender::config::Config;
use scalebarrow_sender::journal::Journal;
use std::path::{Path, PathBuf};

/// The disk limit of the journal.
const MAX_BYTES: usize = 3_000_000;

/// One destination; event type `e`, ordered by key, with a TTL of 60 s; at most 400 open webhooks.
const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":3},
"known":{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:3","site":"z","class":"plain","block":1,"health":"SERVING","share":50.0,"born_ms":0}]},
"settings":{"caps":{"cancelling":true,"max-attempts":6,"open-cap":400},
"classes":[{"name":"e","aim-ms":2000.0,"deadline-ms":60000.0,"effect":"free","group":"all","late-value":0.3,"worth":1.0,"fifo-by-key":true}],
"family-info":{"bundle-max":[1],"decay":"by_half","slots":40},"instances":1,"me":0,"membership-mode":"push",
"models":["plain"],"rules":{},"weights":"none"}}"#;

fn create_folder(name: &str) -> PathBuf {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("bridge-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn open(folder: &Path, now: f64) -> Bridge {
    let journal = Journal::open(folder, MAX_BYTES, &BootReading::now()).unwrap().0;
    Bridge::open(Config::decode(CONFIG.as_bytes()).unwrap(), journal, now)
}

fn incoming(id: &str, key: &str, remaining_secs: f64) -> IncomingWebhook {
    let (id, event_type, ordering_key) = (id.to_owned(), "e".to_owned(), Some(key.to_owned()));
    let (customer, token) = (None, None);
    IncomingWebhook { id, event_type, destination: 1, ordering_key, customer, token, remaining_secs }
}

fn hand_in(bridge: &mut Bridge, now: f64, id: &str, key: &str, remaining_secs: f64) -> Reply {
    bridge.hand_in(now, incoming(id, key, remaining_secs), b"body".to_vec()).0
}

/// The webhook ids of the calls that the decision module has requested.
fn called_ids(bridge: &mut Bridge, now: f64) -> Vec<String> {
    bridge.take_calls(now).0.into_iter().map(|call| call.webhooks[0].id.clone()).collect()
}

/// Leaves 350 open webhooks in the journal, with 50 keys in turn. The last webhook has a short TTL.
fn fill(folder: &Path) {
    let mut bridge = open(folder, 100.0);
    for number in 0..350 {
        let remaining_secs = if number == 349 { 5.0 } else { 50.0 };
        let key = format!("key-{}", number % 50);
        assert_eq!(
            hand_in(&mut bridge, 100.0, &format!("old-{number}"), &key, remaining_secs),
            Reply::Accepted
        );
    }
}

#[test]
fn the_backlog_is_resumed_in_bounded_steps_oldest_first() {
    let folder = create_folder("steps");
    fill(&folder);
    let mut bridge = open(&folder, 101.0);
    assert!(bridge.has_work() && !bridge.is_idle());
    assert!(called_ids(&mut bridge, 101.0).is_empty());
    bridge.run_maintenance(101.0);
    let first_ids = called_ids(&mut bridge, 101.0);
    assert!(
        !first_ids.is_empty() && first_ids.iter().all(|id| id[4..].parse::<u32>().unwrap() < 100),
        "{first_ids:?}"
    );
    let mut steps = 1;
    while bridge.has_work() {
        bridge.run_maintenance(101.0);
        called_ids(&mut bridge, 101.0);
        bridge.take_actions();
        steps += 1;
    }
    assert_eq!(steps, 4);
}

#[test]
fn an_id_in_the_backlog_is_not_accepted_again() {
    let folder = create_folder("known");
    fill(&folder);
    let mut bridge = open(&folder, 101.0);
    for id in ["old-0", "old-348"] {
        assert_eq!(hand_in(&mut bridge, 101.0, id, "key-0", 50.0), Reply::Accepted);
    }
    drop(bridge);
    let journal = Journal::open(&folder, MAX_BYTES, &BootReading::now()).unwrap().0;
    assert_eq!(journal.open_count(), 350);
}

#[test]
fn an_expired_webhook_in_the_backlog_gets_its_final_answer_first() {
    let folder = create_folder("over");
    fill(&folder);
    let mut bridge = open(&folder, 106.0);
    assert!(!bridge.notices.can_send());
    bridge.run_maintenance(106.0);
    let notice = bridge.next_notice(&"127.0.0.1:2".parse().unwrap());
    let notice = String::from_utf8(notice).unwrap();
    assert!(notice.contains("old-349") && notice.matches("\"id\"").count() == 1, "{notice}");
}

#[test]
fn a_new_webhook_is_sent_after_those_in_the_backlog_with_its_key() {
    let folder = create_folder("order");
    fill(&folder);
    let mut bridge = open(&folder, 101.0);
    // The last webhook with key 47 is at the end of the backlog; none has the other key.
    assert_eq!(hand_in(&mut bridge, 101.0, "new-47", "key-47", 50.0), Reply::Accepted);
    assert_eq!(hand_in(&mut bridge, 101.0, "new-other", "other", 50.0), Reply::Accepted);
    assert_eq!(called_ids(&mut bridge, 101.0), ["new-other"]);
    let mut sent_ids = Vec::new();
    for iteration in 0..3000 {
        let now = 101.0 + f64::from(iteration) * 0.01;
        bridge.run_maintenance(now);
        bridge.take_actions();
        bridge.wake(now);
        let (calls, _) = bridge.take_calls(now);
        for call in calls {
            sent_ids.push(call.webhooks[0].id.clone());
            let delivered = scalebarrow_sender::endpoints::AttemptResult {
                outcome: scalebarrow::Outcome::Delivered,
                is_final: true,
            };
            bridge.call_ended(now, &call, &[delivered], &Default::default());
        }
    }
    let has_key_47 =
        |id: &&String| id.ends_with("-47") || id[4..].parse::<u32>().is_ok_and(|number| number % 50 == 47);
    let ids_with_key_47: Vec<&String> = sent_ids.iter().filter(has_key_47).collect();
    assert_eq!(
        ids_with_key_47,
        ["old-47", "old-97", "old-147", "old-197", "old-247", "old-297", "old-347", "new-47"]
    );
}

#[test]
fn the_limit_of_open_webhooks_includes_the_backlog() {
    let folder = create_folder("holds");
    fill(&folder);
    let mut bridge = open(&folder, 101.0);
    for number in 0..50 {
        assert_eq!(hand_in(&mut bridge, 101.0, &format!("new-{number}"), "other", 50.0), Reply::Accepted);
    }
    assert_eq!(hand_in(&mut bridge, 101.0, "too-many", "other", 50.0), Reply::Unavailable);
}

#[test]
fn a_webhook_in_the_backlog_is_withdrawn_if_its_client_disconnects() {
    let folder = create_folder("withdrawn");
    fill(&folder);
    let mut bridge = open(&folder, 101.0);
    let (reply, number) = bridge.hand_in(101.0, incoming("gone", "key-0", 50.0), Vec::new());
    assert_eq!(reply, Reply::Accepted);
    bridge.withdraw(101.0, number.unwrap());
    drop(bridge);
    assert_eq!(Journal::open(&folder, MAX_BYTES, &BootReading::now()).unwrap().0.open_count(), 350);
}

// Guards against a webhook that is lost although its client read a 202: it was handed in twice, and when the
// connection of the first request broke, the answer to the second one did not count.
#[test]
fn a_webhook_whose_second_request_was_accepted_is_not_withdrawn_with_the_first() {
    let folder = create_folder("accepted-twice");
    let mut bridge = open(&folder, 100.0);
    let (_, number) = bridge.hand_in(100.0, incoming("twice", "key", 50.0), Vec::new());
    assert_eq!(hand_in(&mut bridge, 100.1, "twice", "key", 50.0), Reply::Accepted);
    bridge.withdraw(100.2, number.unwrap());
    assert_eq!(called_ids(&mut bridge, 100.2), ["twice"]);
    drop(bridge);
    assert_eq!(Journal::open(&folder, MAX_BYTES, &BootReading::now()).unwrap().0.open_count(), 1);
}
