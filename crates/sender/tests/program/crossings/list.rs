//! Races of requests for the endpoint list with its changes, with reloads and with failures.

use super::{millis, with_manual_endpoint};
use crate::helpers::{
    Action, DeliveryChecker, Endpoint, OK_RESPONSE, Platform, Program, endpoint_entry, endpoint_entry_for,
    endpoint_list, send_request, unique_address, webhook_request_for,
};
use std::io::Read;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[test]
fn sighup_during_a_pause_requests_the_list_from_the_new_platform_at_once() {
    // One of a hundred senders, after some refusals: it sends requests seconds apart, with growing pauses.
    const REFUSAL_RESPONSE: &str = "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n";
    let (old_platform, new_platform) = (
        Endpoint::start(|_, _| Action::Respond(REFUSAL_RESPONSE)),
        Endpoint::start(|_, _| Action::NoResponse),
    );
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", unique_address(), "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let (from, to) = (platform.address.to_string(), old_platform.address.to_string());
    let pull_mode = ("\"membership-mode\":\"push\"", "\"membership-mode\":\"ask\"");
    let many_senders = ("\"instances\":1", "\"instances\":100");
    let program = Program::start(&platform, &initial_list, &[(&from, &to), pull_mode, many_senders]);
    for _ in 0..3 {
        old_platform.next_call();
    }
    let started_at = Instant::now();
    program.edit_and_reload_config(&to, &new_platform.address.to_string());
    assert!(new_platform.next_call().head.starts_with("GET /v1/endpoints"));
    assert!(started_at.elapsed() < millis(500), "{:?}", started_at.elapsed());
}

#[test]
fn repeated_sighups_do_not_delay_the_next_list_request() {
    const REFUSAL_RESPONSE: &str = "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n";
    let discovery = Endpoint::start(|_, _| Action::Respond(REFUSAL_RESPONSE));
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", unique_address(), "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let (from, to) = (platform.address.to_string(), discovery.address.to_string());
    let pull_mode = ("\"membership-mode\":\"push\"", "\"membership-mode\":\"ask\"");
    // Each of a hundred senders sends its request within seconds, at a time that is drawn once.
    let many_senders = ("\"instances\":1", "\"instances\":100");
    let program = Program::start(&platform, &initial_list, &[(&from, &to), pull_mode, many_senders]);
    let mut last_call_at = discovery.next_call().received_at;
    for round in 0..30 {
        program.send_signal("HUP");
        program.wait_for_log("code=\"config-read\"", round + 1);
        sleep(millis(150));
        last_call_at = discovery.calls.try_iter().last().map_or(last_call_at, |call| call.received_at);
        // The longest pause is 1.3 s; the rest is margin for a busy machine.
        assert!(last_call_at.elapsed() < millis(2300), "{:?}", last_call_at.elapsed());
    }
}

#[test]
fn refused_list_requests_are_retried_within_the_longest_pause() {
    const REFUSAL_RESPONSE: &str = "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n";
    for (mode, longest_ms) in [("push", 100), ("ask", 1300)] {
        println!("{mode}");
        let discovery = Endpoint::start(|_, _| Action::Respond(REFUSAL_RESPONSE));
        let initial_list =
            endpoint_list(1, true, &[endpoint_entry("a", unique_address(), "plain", "SERVING")]);
        let platform = Platform::start(initial_list.clone(), 0);
        let (from, to) = (platform.address.to_string(), discovery.address.to_string());
        let mode = format!("\"membership-mode\":\"{mode}\"");
        let changes = [(from.as_str(), to.as_str()), ("\"membership-mode\":\"push\"", &mode)];
        let _program = Program::start(&platform, &initial_list, &changes);
        let calls: Vec<Instant> = (0..7).map(|_| discovery.next_call().received_at).collect();
        let pauses: Vec<Duration> = calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
        // The other 500 ms are margin for a busy machine.
        assert!(pauses.iter().all(|pause| *pause < millis(longest_ms + 500)), "{pauses:?}");
    }
}

/// Guards against a change that is noticed too late because a request for the list failed, in each possible
/// way, while it came.
#[test]
fn a_list_change_is_applied_in_time_after_any_failed_request() {
    const HEAD_ONLY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n";
    const PARTIAL_BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"seq\":2,";
    const REFUSAL_RESPONSE: &str = "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n";
    let pull_mode = ("\"membership-mode\":\"push\"", "\"membership-mode\":\"ask\"");
    // What the first requests get, how many get it, and whether lists are pulled rather than pushed.
    let cases = [
        ("no response", "", 1, false),
        ("no body after the head", HEAD_ONLY, 1, false),
        ("a body that stalls", PARTIAL_BODY, 1, false),
        ("a body that stalls, twice", PARTIAL_BODY, 2, false),
        ("refused, twice", REFUSAL_RESPONSE, 2, false),
        ("refused in pull mode", REFUSAL_RESPONSE, 1, true),
    ];
    for (name, response, failures, pulled) in cases {
        let endpoint = Endpoint::start(|_, _| Action::Respond(OK_RESPONSE));
        let initial_list =
            endpoint_list(1, true, &[endpoint_entry("a", endpoint.address, "plain", "SERVING")]);
        let draining_list =
            endpoint_list(2, false, &[endpoint_entry("a", endpoint.address, "plain", "DRAINING")]);
        // Indented and with a chunked transfer coding, which the platform may use.
        let draining_list = draining_list.replace(",\"", ",\n  \"");
        let update = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{draining_list}\r\n0\r\n\r\n",
            draining_list.len()
        );
        let discovery = Endpoint::start(move |call_number, _| match call_number {
            number if number < failures && response.is_empty() => Action::NoResponse,
            number if number < failures => Action::Respond(response),
            number if number == failures => Action::RespondOwned(update.clone()),
            _ => Action::NoResponse,
        });
        let platform = Platform::start(initial_list.clone(), 0);
        let (from, to) = (platform.address.to_string(), discovery.address.to_string());
        let changes = [(from.as_str(), to.as_str()), pull_mode];
        let changes = &changes[..1 + usize::from(pulled)];
        let program = Program::start(&platform, &initial_list, changes);
        let first_request_at = discovery.next_call().received_at;
        program.wait_for_log("code=\"listed\" seq=2", 1);
        let elapsed = first_request_at.elapsed();
        assert!(elapsed < millis(5500), "{name}: {elapsed:?}");
        assert_eq!(program.submit_webhook("idem", "late", 300, b""), 202);
        assert!(endpoint.calls.recv_timeout(millis(600)).is_err(), "{name}: a draining endpoint was called");
    }
}

/// Guards against an endpoint that is called long after it left the list: once a request for the list had
/// failed, each further one was given up before the answer of a platform that takes its time came.
#[test]
fn a_list_that_takes_a_while_to_come_is_applied_after_a_failed_request() {
    let [old, new] = [0, 1].map(|_| Endpoint::start(|_, _| Action::Respond(OK_RESPONSE)));
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", old.address, "plain", "SERVING")]);
    let changed_list = endpoint_list(2, true, &[endpoint_entry("b", new.address, "plain", "SERVING")]);
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{changed_list}", changed_list.len());
    // The first watch, and the request that resumes it, are lost. Each answer takes 1.5 s, of the 2 s that the
    // platform has for it.
    let discovery = Endpoint::start(move |call_number, _| {
        if call_number < 2 {
            return Action::Close;
        }
        sleep(millis(1500));
        Action::RespondOwned(response.clone())
    });
    let platform = Platform::start(initial_list.clone(), 0);
    let (from, to) = (platform.address.to_string(), discovery.address.to_string());
    let pull_mode = ("\"membership-mode\":\"push\"", "\"membership-mode\":\"ask\"");
    let program = Program::start(&platform, &initial_list, &[(&from, &to), pull_mode]);
    let first_request_at = discovery.next_call().received_at;
    program.wait_for_log("code=\"listed\" seq=2", 1);
    let elapsed = first_request_at.elapsed();
    assert!(elapsed < millis(5500), "{elapsed:?}");
    assert_eq!(program.submit_webhook("idem", "x", 8000, b""), 202);
    assert_eq!(new.next_call().id(), "x");
    assert!(old.calls.try_recv().is_err());
}

/// Guards against calls to an endpoint that only the configuration's list has: that list is used until the first
/// answer of the platform, and what this answer leaves out is not called again.
#[test]
fn an_endpoint_that_the_first_answer_leaves_out_is_called_only_before_it() {
    for mode in ["push", "ask"] {
        println!("{mode}");
        let [old, new] = [0, 1].map(|_| Endpoint::start(|_, _| Action::Respond(OK_RESPONSE)));
        let initial_list = endpoint_list(1, true, &[endpoint_entry("old", old.address, "plain", "SERVING")]);
        let first_answer = endpoint_list(2, true, &[endpoint_entry("new", new.address, "plain", "SERVING")]);
        let platform = Platform::start(first_answer.clone(), 0);
        let mode = format!("\"membership-mode\":\"{mode}\"");
        let program =
            Program::start(&platform, &initial_list, &[("\"membership-mode\":\"push\"", mode.as_str())]);
        let started_at = Instant::now();
        assert_eq!(program.submit_webhook("idem", "meanwhile", 8000, b""), 202);
        assert_eq!(old.next_call().id(), "meanwhile");
        platform.answer_watch(first_answer);
        program.wait_for_log("code=\"listed\" seq=2", 1);
        assert!(started_at.elapsed() < millis(6000), "{:?}", started_at.elapsed());
        for number in 0..10 {
            assert_eq!(program.submit_webhook("idem", &format!("x{number}"), 8000, b""), 202);
            assert_eq!(new.next_call().id(), format!("x{number}"));
        }
        assert!(old.calls.try_recv().is_err());
    }
}

/// Guards against webhooks that are delivered to another destination: the list gave an endpoint another one,
/// and it went on getting the webhooks of the first.
#[test]
fn an_endpoint_that_is_given_another_destination_gets_the_webhooks_of_that_one() {
    let endpoint = Endpoint::start(|_, _| Action::Respond(OK_RESPONSE));
    let entry = |destination| endpoint_entry_for(destination, "a", endpoint.address, "plain", "SERVING");
    let initial_list = endpoint_list(1, true, &[entry(1)]);
    let platform = Platform::start(initial_list.clone(), 0);
    let program = Program::start(&platform, &initial_list, &[]);
    let submit = |destination, id: &str| {
        let request = webhook_request_for(destination, "idem", id, 1500, b"");
        assert_eq!(send_request(program.listen_address, &request).unwrap().status(), 202);
    };
    submit(1, "before");
    assert_eq!(endpoint.next_call().id(), "before");
    program.wait_for_log("outcome=Delivered", 1);
    platform.answer_watch(endpoint_list(2, false, &[entry(2)]));
    program.wait_for_log("code=\"listed\" seq=2", 1);
    submit(1, "of-the-first-one");
    submit(2, "of-the-second-one");
    assert_eq!(endpoint.next_call().id(), "of-the-second-one");
    let notice = platform.next_notice();
    assert!(notice.contains("of-the-first-one") && notice.contains("returned"), "{notice}");
    assert!(endpoint.calls.try_recv().is_err());
}

#[test]
fn connections_to_a_moved_or_removed_endpoint_close_at_once() {
    for change in ["moved", "deleted", "missing from a complete list"] {
        println!("{change}");
        let (endpoint, platform, program) = with_manual_endpoint(&[]);
        let mut checker = DeliveryChecker::default();
        // A connection is kept only from the second call on.
        checker.submit(&program, "idem", "first", 8000);
        drop(checker.deliver_next(&endpoint, "first"));
        program.wait_for_log("outcome=Delivered", 1);
        checker.submit(&program, "idem", "second", 8000);
        let mut connection = checker.deliver_next(&endpoint, "second");
        program.wait_for_log("outcome=Delivered", 2);
        let address = connection.local_addr().unwrap();
        platform.answer_watch(match change {
            "moved" => endpoint_list(2, false, &[endpoint_entry("a", unique_address(), "plain", "SERVING")]),
            "deleted" => endpoint_list(2, false, &[endpoint_entry("a", address, "plain", "DELETED")]),
            _ => endpoint_list(2, true, &[endpoint_entry("b", unique_address(), "plain", "SERVING")]),
        });
        // Otherwise it would stay open for 4.75 s.
        connection.set_read_timeout(Some(millis(2000))).unwrap();
        assert!(matches!(connection.read(&mut [0]), Ok(0)), "{change}");
    }
}
