//! Restarts, and notices that are owed.

use super::ms;
use crate::helpers::{
    Deed, Endpoint, Ledger, Manual, NO_CONTENT, OK, Platform, Program, address, hear, host, list,
};
use std::time::{Duration, Instant};

#[test]
fn an_id_that_comes_again_after_a_restart_leaves_its_webhook_as_it_is() {
    let endpoint = Endpoint::start(|n, _| if n == 0 { Deed::Break } else { Deed::Say(OK) });
    let known = list(1, true, &[host("a", endpoint.at, "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), usize::MAX);
    let mut program = Program::start(&platform, &known, &[]);
    // Given up and owed a notice that nobody acknowledges, and delivered.
    for id in ["owed", "over"] {
        assert_eq!(program.hand_in("once", id, 8000, b""), 202);
        assert_eq!(endpoint.call().id(), id);
    }
    platform.notice();
    program.logged("outcome=Delivered", 1);
    program.restart();
    for id in ["owed", "over"] {
        assert_eq!(program.hand_in("once", id, 8000, b""), 202);
    }
    assert_eq!(program.hand_in("once", "next", 8000, b""), 202);
    assert_eq!(endpoint.call().id(), "next", "an id went out again");
}

#[test]
fn a_notice_that_gets_lost_is_told_again_in_time() {
    // Its connection falls silent, or ends after it was read: the platform allows 0.3 s after the time is up. That the two
    // figures fit in stands beside them; here a machine that is busy has as much again.
    for silent in [true, false] {
        let platform = Endpoint::start(move |count, heard| match heard.head.starts_with("POST ") {
            true if count > 1 => Deed::Say(NO_CONTENT),
            true if !silent => Deed::Break,
            _ => Deed::Silence,
        });
        let known = list(1, true, &[host("a", address(), "plain", "DRAINING")]);
        let real = Platform::start(known.clone(), 0);
        let program = Program::start(&real, &known, &[(&real.at.to_string(), &platform.at.to_string())]);
        assert_eq!(program.hand_in("once", "x", 300, b""), 202);
        let notices =
            || std::iter::repeat_with(|| platform.call()).find(|c| c.head.starts_with("POST ")).unwrap();
        let (first, second) = (notices(), notices());
        assert!(second.at - first.at < ms(600), "{:?}", second.at - first.at);
        assert_eq!(first.body, second.body);
    }
}

#[test]
fn what_a_folder_holds_gets_its_final_answer_also_where_its_event_type_is_gone() {
    let at = address();
    let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), 0);
    let mut program = Program::start(&platform, &known, &[]);
    let mut ledger = Ledger::default();
    ledger.taken(&program, "once", "once-held", 8000);
    program.write_config("\"name\":\"once\"", "\"name\":\"other\"");
    program.restart();
    let since = Instant::now();
    ledger.check(&platform);
    // At once, and not when its time is over.
    assert!(since.elapsed() < ms(3000), "{:?}", since.elapsed());
    assert_eq!(program.hand_in("once", "y", 8000, b""), 404);
}

#[test]
fn a_kill_at_any_instant_of_a_start_or_an_end_loses_nothing() {
    let endpoint = Endpoint::start(|_, _| Deed::Say(OK));
    let known = list(1, true, &[host("a", endpoint.at, "plain", "DRAINING")]);
    let platform = Platform::start(known.clone(), 0);
    let mut program = Program::start(&platform, &known, &[]);
    for n in 0..20 {
        assert_eq!(program.hand_in("once", &format!("w{n}"), 60_000, &[b'x'; 20_000]), 202);
    }
    for (signal, after) in [("TERM", 0), ("KILL", 1), ("TERM", 2), ("KILL", 5), ("TERM", 15)] {
        program.interrupt(signal, ms(after));
    }
    program.restart();
    program.write_config("\"DRAINING\"", "\"SERVING\"");
    program.restart();
    let mut ids: Vec<String> = (0..20).map(|_| endpoint.call().id()).collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 20);
    assert!(endpoint.calls.recv_timeout(ms(300)).is_err() && platform.notices.try_recv().is_err());
}

/// Guards against a repeat outside its group: an attempt that was out at a kill was forgotten when a later process
/// failed to connect for the same webhook, and the process after that took it for one that had never run.
#[test]
fn a_failed_connect_after_a_kill_does_not_erase_the_attempt_that_may_have_run() {
    let in_zone = |name: &str, at, zone: &str| {
        host(name, at, "plain", "SERVING").replace(r#""site":"z""#, &format!(r#""site":"{zone}""#))
    };
    let addresses = [address(), address()];
    let known = list(1, true, &[in_zone("a", addresses[0], "north"), in_zone("b", addresses[1], "south")]);
    let platform = Platform::start(known.clone(), 0);
    let by_all = r#""name":"token","aim-ms":2000.0,"deadline-ms":8000.0,"effect":"guarded","group":"all""#;
    let by_zone = by_all.replace(r#""group":"all""#, r#""group":"zone""#);
    let mut program = Program::start(&platform, &known, &[(by_all, &by_zone)]);
    let mut endpoints = addresses.map(|at| Some(Manual::start(at)));
    assert_eq!(program.hand_in("token", "x", 4000, b""), 202);
    // Whichever it went to takes the call and is gone before the next start.
    program.logged("an attempt goes out", 1);
    let first = usize::from(program.log().contains(r#"ep="b" zone="south" held"#));
    let mut line = endpoints[first].as_ref().unwrap().accept();
    assert_eq!(hear(&mut line).unwrap().id(), "x");
    endpoints[first] = None;
    program.restart();
    program.logged("outcome=ConnectFailed", 1);
    program.restart();
    let other = endpoints[1 - first].take().unwrap();
    let notice = platform.notices.recv_timeout(Duration::from_secs(6)).expect("no final answer came");
    assert!(notice.contains(r#""state":"failed""#), "it may have run: {notice}");
    assert!(other.is_left_alone(), "it went to another group");
}
