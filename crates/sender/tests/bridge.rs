//! The bridge without sockets: what a start found goes back to the module bit by bit.

use scalebarrow_sender::bridge::Bridge;
use scalebarrow_sender::clients::{IncomingWebhook, Reply};
use scalebarrow_sender::clock::BootReading;
use scalebarrow_sender::config::Config;
use scalebarrow_sender::journal::Journal;
use std::path::{Path, PathBuf};

const LIMIT: usize = 3_000_000;

/// One destination; event type `e`, in order by key, with 60 s; 400 webhooks held at most.
const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":256,"disk_mb":3},
"known":{"seq":1,"whole":true,"hosts":[{"host":"a","dial":"127.0.0.1:3","site":"z","class":"plain","block":1,"health":"SERVING","share":50.0,"born_ms":0}]},
"settings":{"caps":{"cancelling":true,"max-attempts":6,"open-cap":400},
"classes":[{"name":"e","aim-ms":2000.0,"deadline-ms":60000.0,"effect":"free","group":"all","late-value":0.3,"worth":1.0,"fifo-by-key":true}],
"family-info":{"bundle-max":[1],"decay":"by_half","slots":40},"instances":1,"me":0,"membership-mode":"push",
"models":["plain"],"rules":{},"weights":"none"}}"#;

fn folder(name: &str) -> PathBuf {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("bridge-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn open(folder: &Path, now: f64) -> Bridge {
    let journal = Journal::open(folder, LIMIT, &BootReading::now()).unwrap().0;
    Bridge::open(Config::decode(CONFIG.as_bytes()).unwrap(), journal, now)
}

fn hand_in(bridge: &mut Bridge, now: f64, id: &str, key: &str, remaining_secs: f64) -> Reply {
    let (id, event_type, order_key) = (id.to_owned(), "e".to_owned(), Some(key.to_owned()));
    let from =
        IncomingWebhook { id, event_type, dest: 1, order_key, customer: None, token: None, remaining_secs };
    bridge.hand_in(now, from, b"body".to_vec()).0
}

/// The ids of the calls that the module asks for.
fn calls(bridge: &mut Bridge, now: f64) -> Vec<String> {
    bridge.take_calls(now).0.into_iter().map(|call| call.webhooks[0].id.clone()).collect()
}

/// What waits in the folder: 350, of keys that come round, the last with little time.
fn fill(folder: &Path) {
    let mut bridge = open(folder, 100.0);
    for number in 0..350 {
        let left = if number == 349 { 5.0 } else { 50.0 };
        let key = format!("key-{}", number % 50);
        assert_eq!(hand_in(&mut bridge, 100.0, &format!("old-{number}"), &key, left), Reply::Accepted);
    }
}

#[test]
fn it_is_taken_in_by_steps_the_oldest_first() {
    let folder = folder("steps");
    fill(&folder);
    let mut bridge = open(&folder, 101.0);
    assert!(bridge.has_work() && !bridge.is_idle());
    assert!(calls(&mut bridge, 101.0).is_empty());
    bridge.run_maintenance(101.0);
    let first = calls(&mut bridge, 101.0);
    assert!(!first.is_empty() && first.iter().all(|id| id[4..].parse::<u32>().unwrap() < 100), "{first:?}");
    let mut steps = 1;
    while bridge.has_work() {
        bridge.run_maintenance(101.0);
        calls(&mut bridge, 101.0);
        bridge.take_actions();
        steps += 1;
    }
    assert_eq!(steps, 4);
}

#[test]
fn an_id_that_comes_again_meanwhile_is_known() {
    let folder = folder("known");
    fill(&folder);
    let mut bridge = open(&folder, 101.0);
    for id in ["old-0", "old-348"] {
        assert_eq!(hand_in(&mut bridge, 101.0, id, "key-0", 50.0), Reply::Accepted);
    }
    drop(bridge);
    let journal = Journal::open(&folder, LIMIT, &BootReading::now()).unwrap().0;
    assert_eq!(journal.open_count(), 350);
}

#[test]
fn one_whose_time_is_over_meanwhile_gets_its_final_answer_at_once() {
    let folder = folder("over");
    fill(&folder);
    let mut bridge = open(&folder, 106.0);
    assert!(!bridge.notices.can_send());
    bridge.run_maintenance(106.0);
    let notice = bridge.next_notice(&"127.0.0.1:2".parse().unwrap());
    let notice = String::from_utf8(notice).unwrap();
    assert!(notice.contains("old-349") && notice.matches("\"id\"").count() == 1, "{notice}");
}

#[test]
fn one_that_comes_meanwhile_goes_behind_those_with_its_key() {
    let folder = folder("order");
    fill(&folder);
    let mut bridge = open(&folder, 101.0);
    // The last with key 47 waits at the very end; nothing with the other key does.
    assert_eq!(hand_in(&mut bridge, 101.0, "new-47", "key-47", 50.0), Reply::Accepted);
    assert_eq!(hand_in(&mut bridge, 101.0, "new-other", "other", 50.0), Reply::Accepted);
    assert_eq!(calls(&mut bridge, 101.0), ["new-other"]);
    let mut sent = Vec::new();
    for turn in 0..3000 {
        let now = 101.0 + f64::from(turn) * 0.01;
        bridge.run_maintenance(now);
        bridge.take_actions();
        bridge.wake(now);
        let (calls, _) = bridge.take_calls(now);
        for call in calls {
            sent.push(call.webhooks[0].id.clone());
            let delivered = scalebarrow_sender::endpoints::AttemptResult {
                outcome: scalebarrow::Outcome::Delivered,
                is_final: true,
            };
            bridge.call_ended(now, &call, &[delivered], &Default::default());
        }
    }
    let of_key = |id: &&String| id.ends_with("-47") || id[4..].parse::<u32>().is_ok_and(|n| n % 50 == 47);
    let in_order: Vec<&String> = sent.iter().filter(of_key).collect();
    assert_eq!(
        in_order,
        ["old-47", "old-97", "old-147", "old-197", "old-247", "old-297", "old-347", "new-47"]
    );
}

#[test]
fn while_it_lasts_no_more_are_taken_on_than_may_be_held() {
    let folder = folder("holds");
    fill(&folder);
    let mut bridge = open(&folder, 101.0);
    for number in 0..50 {
        assert_eq!(hand_in(&mut bridge, 101.0, &format!("new-{number}"), "other", 50.0), Reply::Accepted);
    }
    assert_eq!(hand_in(&mut bridge, 101.0, "too-many", "other", 50.0), Reply::Unavailable);
}

#[test]
fn a_client_that_goes_away_takes_back_one_that_waits() {
    let folder = folder("withdrawn");
    fill(&folder);
    let mut bridge = open(&folder, 101.0);
    let (id, event_type, order_key) = ("gone".to_owned(), "e".to_owned(), Some("key-0".to_owned()));
    let from = IncomingWebhook {
        id,
        event_type,
        dest: 1,
        order_key,
        customer: None,
        token: None,
        remaining_secs: 50.0,
    };
    let (reply, number) = bridge.hand_in(101.0, from, Vec::new());
    assert_eq!(reply, Reply::Accepted);
    bridge.withdraw(101.0, number.unwrap());
    drop(bridge);
    assert_eq!(Journal::open(&folder, LIMIT, &BootReading::now()).unwrap().0.open_count(), 350);
}
