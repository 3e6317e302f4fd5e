//! Races with restarts, and notices that are not acknowledged.

use super::millis;
use crate::helpers::{
    Action, DeliveryChecker, Endpoint, ManualEndpoint, NO_CONTENT_RESPONSE, OK_RESPONSE, Platform, Program,
    endpoint_entry, endpoint_list, read_message, unique_address,
};
use std::time::{Duration, Instant};

#[test]
fn a_repeated_id_after_a_restart_does_not_resend_its_webhook() {
    let endpoint =
        Endpoint::start(
            |call_number, _| if call_number == 0 { Action::Close } else { Action::Respond(OK_RESPONSE) },
        );
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", endpoint.address, "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), usize::MAX);
    let mut program = Program::start(&platform, &initial_list, &[]);
    // One is given up, and its notice is never acknowledged; the other is delivered.
    for id in ["owed", "over"] {
        assert_eq!(program.submit_webhook("once", id, 8000, b""), 202);
        assert_eq!(endpoint.next_call().id(), id);
    }
    platform.next_notice();
    program.wait_for_log("outcome=Delivered", 1);
    program.kill_and_restart();
    for id in ["owed", "over"] {
        assert_eq!(program.submit_webhook("once", id, 8000, b""), 202);
    }
    assert_eq!(program.submit_webhook("once", "next", 8000, b""), 202);
    assert_eq!(endpoint.next_call().id(), "next", "a repeated id was sent again");
}

#[test]
fn a_lost_notice_is_repeated_in_time() {
    // The connection of the first notice stalls, or is closed after the notice was read. The platform
    // allows 0.3 s after the end of the TTL. That the timeouts of the sender fit into this is asserted
    // beside them; here a busy machine has as much again.
    for stalls in [true, false] {
        let lossy_platform = Endpoint::start(move |call_number, call| match call.head.starts_with("POST ") {
            true if call_number > 1 => Action::Respond(NO_CONTENT_RESPONSE),
            true if !stalls => Action::Close,
            _ => Action::NoResponse,
        });
        let initial_list =
            endpoint_list(1, true, &[endpoint_entry("a", unique_address(), "plain", "DRAINING")]);
        let platform = Platform::start(initial_list.clone(), 0);
        let program = Program::start(
            &platform,
            &initial_list,
            &[(&platform.address.to_string(), &lossy_platform.address.to_string())],
        );
        assert_eq!(program.submit_webhook("once", "x", 300, b""), 202);
        let next_notice = || {
            std::iter::repeat_with(|| lossy_platform.next_call())
                .find(|call| call.head.starts_with("POST "))
                .unwrap()
        };
        let (first, second) = (next_notice(), next_notice());
        assert!(
            second.received_at - first.received_at < millis(600),
            "{:?}",
            second.received_at - first.received_at
        );
        assert_eq!(first.body, second.body);
    }
}

#[test]
fn a_stored_webhook_of_a_removed_event_type_gets_its_final_answer() {
    let address = unique_address();
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let mut program = Program::start(&platform, &initial_list, &[]);
    let mut checker = DeliveryChecker::default();
    checker.submit(&program, "once", "once-held", 8000);
    program.edit_config("\"name\":\"once\"", "\"name\":\"other\"");
    program.kill_and_restart();
    let started_at = Instant::now();
    checker.check_final_answers(&platform);
    // The notice comes at once, not when the TTL is over.
    assert!(started_at.elapsed() < millis(3000), "{:?}", started_at.elapsed());
    assert_eq!(program.submit_webhook("once", "y", 8000, b""), 404);
}

#[test]
fn a_kill_during_start_or_shutdown_loses_no_webhook() {
    let endpoint = Endpoint::start(|_, _| Action::Respond(OK_RESPONSE));
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", endpoint.address, "plain", "DRAINING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let mut program = Program::start(&platform, &initial_list, &[]);
    for number in 0..20 {
        assert_eq!(program.submit_webhook("once", &format!("w{number}"), 60_000, &[b'x'; 20_000]), 202);
    }
    for (signal, delay_ms) in [("TERM", 0), ("KILL", 1), ("TERM", 2), ("KILL", 5), ("TERM", 15)] {
        program.restart_and_signal(signal, millis(delay_ms));
    }
    program.kill_and_restart();
    program.edit_config("\"DRAINING\"", "\"SERVING\"");
    program.kill_and_restart();
    let mut ids: Vec<String> = (0..20).map(|_| endpoint.next_call().id()).collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 20);
    assert!(endpoint.calls.recv_timeout(millis(300)).is_err() && platform.notices.try_recv().is_err());
}

/// Guards against a retry outside the group of the first attempt: an attempt in flight at a kill was
/// forgotten when a later process failed to connect for the same webhook, and the process after that took
/// the webhook for one that had never run.
#[test]
fn a_failed_connect_after_a_kill_does_not_erase_an_attempt_that_may_have_run() {
    let entry_in_zone = |name: &str, address, zone: &str| {
        endpoint_entry(name, address, "plain", "SERVING")
            .replace(r#""site":"z""#, &format!(r#""site":"{zone}""#))
    };
    let addresses = [unique_address(), unique_address()];
    let initial_list = endpoint_list(
        1,
        true,
        &[entry_in_zone("a", addresses[0], "north"), entry_in_zone("b", addresses[1], "south")],
    );
    let platform = Platform::start(initial_list.clone(), 0);
    let group_all = r#""name":"token","aim-ms":2000.0,"deadline-ms":8000.0,"effect":"guarded","group":"all""#;
    let group_zone = group_all.replace(r#""group":"all""#, r#""group":"zone""#);
    let mut program = Program::start(&platform, &initial_list, &[(group_all, &group_zone)]);
    let mut endpoints = addresses.map(|address| Some(ManualEndpoint::start(address)));
    assert_eq!(program.submit_webhook("token", "x", 4000, b""), 202);
    // The endpoint that gets the call reads it and is gone before the next start.
    program.wait_for_log("an attempt goes out", 1);
    let first = usize::from(program.log().contains(r#"ep="b" zone="south" held"#));
    let mut connection = endpoints[first].as_ref().unwrap().accept();
    assert_eq!(read_message(&mut connection).unwrap().id(), "x");
    endpoints[first] = None;
    program.kill_and_restart();
    program.wait_for_log("outcome=ConnectFailed", 1);
    program.kill_and_restart();
    let other_endpoint = endpoints[1 - first].take().unwrap();
    let notice = platform.notices.recv_timeout(Duration::from_secs(6)).expect("no notice was received");
    assert!(notice.contains(r#""state":"failed""#), "the webhook may have run: {notice}");
    assert!(other_endpoint.has_no_pending_connection(), "the call went to another group");
}
