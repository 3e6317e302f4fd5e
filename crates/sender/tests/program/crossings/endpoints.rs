//! Races with calls to endpoints: events while they are sent, and their responses.

use super::{millis, with_manual_endpoint};
use crate::helpers::{
    DeliveryChecker, ManualEndpoint, ManyClients, OK_RESPONSE, Platform, Program, endpoint_entry,
    endpoint_list, reset_connection, unique_address, wait_until_received,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Instant;

#[test]
fn a_200_read_late_counts_unless_the_ttl_is_over() {
    let refusal_with_wait = "HTTP/1.1 429 no\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n";
    // Event type, TTL in ms, how long the program is stopped in ms with the call in flight, the response,
    // whether it counts as delivered, and whether the program sees it in the same loop iteration or only in
    // the next, behind many other events.
    let cases = [
        ("a 200 after the TTL does not count", "once", 600, 700, OK_RESPONSE, false, true),
        ("nor for an idempotent webhook", "idem", 600, 700, OK_RESPONSE, false, true),
        ("a 200 before the end of the TTL counts", "once", 8000, 2600, OK_RESPONSE, true, true),
        // Only a call that may be repeated is given up before its TTL is over: after 2.1 s here.
        ("also when the call would be given up", "idem", 8000, 2600, OK_RESPONSE, true, true),
        ("also when it is not seen yet", "idem", 8000, 2600, OK_RESPONSE, true, false),
        ("a refusal after the TTL", "once", 600, 700, refusal_with_wait, false, true),
    ];
    for (name, event_type, ttl_ms, stopped_ms, response, delivered, seen_at_once) in cases {
        println!("{name}");
        let (endpoint, platform, program) = with_manual_endpoint(&[ManyClients::CONFIG_CHANGE]);
        let mut checker = DeliveryChecker::default();
        checker.submit(&program, event_type, "once-x", ttl_ms);
        let mut connection = endpoint.accept();
        checker.read_call(&mut connection);
        let mut other_clients = (!seen_at_once).then(|| ManyClients::connect(&program));
        program.while_stopped(|| {
            sleep(millis(stopped_ms));
            if let Some(other_clients) = &mut other_clients {
                other_clients.send_requests();
            }
            connection.write_all(response.as_bytes()).unwrap();
            wait_until_received(connection.local_addr().unwrap());
        });
        if delivered {
            checker.add_delivered("once-x");
            program.wait_for_log("outcome=Delivered", 1);
            assert!(endpoint.has_no_pending_connection(), "{name}: the webhook was sent again");
        }
        checker.check_final_answers(&platform);
    }
}

#[test]
fn a_response_ready_but_unseen_when_its_call_is_given_up_counts() {
    let (endpoint, platform, program) =
        with_manual_endpoint(&[ManyClients::CONFIG_CHANGE, ("\"slots\":40", "\"slots\":1")]);
    let mut checker = DeliveryChecker::default();
    checker.submit(&program, "once", "once-x", 8000);
    let mut connection = endpoint.accept();
    checker.read_call(&mut connection);
    // The second webhook waits for the only slot: the call in it is given up after 2.1 s.
    checker.submit(&program, "idem", "next", 8000);
    let mut other_clients = ManyClients::connect(&program);
    program.while_stopped(|| {
        sleep(millis(2600));
        other_clients.send_requests();
        connection.write_all(OK_RESPONSE.as_bytes()).unwrap();
        wait_until_received(connection.local_addr().unwrap());
    });
    checker.add_delivered("once-x");
    program.wait_for_log("outcome=Delivered", 1);
    // The next call may use this connection or a new one.
    drop(connection);
    let _connection = checker.deliver_next(&endpoint, "next");
    checker.check_final_answers(&platform);
}

#[test]
fn an_incomplete_response_is_given_up_long_before_the_call_timeout() {
    for partial_response in ["HTTP/1.1 503 no\r\nContent-", "HTTP/1.1 503 no\r\nContent-Length: 9\r\n\r\nhal"]
    {
        let (endpoint, platform, program) = with_manual_endpoint(&[]);
        let mut checker = DeliveryChecker::default();
        checker.submit(&program, "once", "once-x", 8000);
        let mut connection = endpoint.accept();
        checker.read_call(&mut connection);
        connection.write_all(partial_response.as_bytes()).unwrap();
        let started_at = Instant::now();
        // The webhook may have run: its only final answer is a notice.
        checker.check_final_answers(&platform);
        assert!(started_at.elapsed() < millis(1200), "{:?}", started_at.elapsed());
    }
}

#[test]
fn a_late_connection_carries_no_call_to_a_changed_endpoint_or_after_the_ttl() {
    let long_connect_timeout = (r#""connect-timeout-ms":1000.0"#, r#""connect-timeout-ms":9000.0"#);
    for change in ["drained", "moved", "TTL over"] {
        println!("{change}");
        let (old_address, new_address) = (unique_address(), unique_address());
        let (endpoint, moved_to) =
            (ManualEndpoint::start_with_short_accept_queue(old_address), ManualEndpoint::start(new_address));
        let initial_list = endpoint_list(1, true, &[endpoint_entry("a", old_address, "plain", "SERVING")]);
        let platform = Platform::start(initial_list.clone(), 0);
        let program = Program::start(&platform, &initial_list, &[long_connect_timeout]);
        let mut checker = DeliveryChecker::default();
        let filler = TcpStream::connect(old_address).unwrap();
        let accepted = endpoint.accept();
        let queued = TcpStream::connect(old_address).unwrap();
        checker.submit(&program, "once", "once-x", if change == "TTL over" { 1600 } else { 3000 });
        program.wait_for_log("code=\"connecting\"", 1);
        let establish_connection = || {
            drop((endpoint.accept(), filler, accepted, queued));
            // The first connect was dropped; TCP repeats it after a second.
            let late_connection = endpoint.accept();
            late_connection.set_read_timeout(Some(millis(3500))).unwrap();
            late_connection
        };
        let mut late_connection = match change {
            "TTL over" => program.while_stopped(|| {
                let late_connection = establish_connection();
                sleep(millis(1200));
                late_connection
            }),
            _ => {
                let health = if change == "drained" { "DRAINING" } else { "SERVING" };
                let address = if change == "drained" { old_address } else { new_address };
                platform.answer_watch(endpoint_list(
                    2,
                    false,
                    &[endpoint_entry("a", address, "plain", health)],
                ));
                program.wait_for_log("code=\"listed\" seq=2", 1);
                establish_connection()
            }
        };
        if change == "moved" {
            let _connection = checker.deliver_next(&moved_to, "once-x");
        }
        checker.check_final_answers(&platform);
        late_connection.set_read_timeout(Some(millis(200))).unwrap();
        assert!(!matches!(late_connection.read(&mut [0]), Ok(1..)), "{change}: the call was sent");
    }
}

#[test]
fn a_call_that_cannot_return_before_the_exit_is_sent_after_the_restart() {
    let long_connect_timeout = (r#""connect-timeout-ms":1000.0"#, r#""connect-timeout-ms":9000.0"#);
    let address = unique_address();
    let endpoint = ManualEndpoint::start_with_short_accept_queue(address);
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let mut program = Program::start(&platform, &initial_list, &[long_connect_timeout]);
    let mut checker = DeliveryChecker::default();
    let filler = TcpStream::connect(address).unwrap();
    let accepted = endpoint.accept();
    let queued = TcpStream::connect(address).unwrap();
    checker.submit(&program, "once", "once-x", 8000);
    program.wait_for_log("code=\"connecting\"", 1);
    // The program exits 3.3 s after the signal. It knows nothing about the endpoint's latency, so it allows
    // a call 0.6 s.
    program.send_signal("TERM");
    sleep(millis(2850));
    drop((endpoint.accept(), filler, accepted, queued));
    assert!(program.wait_for_exit().success());
    drop(endpoint.accept());
    program.kill_and_restart();
    let _connection = checker.deliver_next(&endpoint, "once-x");
    checker.check_final_answers(&platform);
}

// A connection carries one call, so the event and the call meet on a connection that has just been opened.
#[test]
fn a_call_on_a_connection_that_the_endpoint_closes_is_retried_only_if_not_sent() {
    // The event on the connection, whether the call is in flight then, and whether the program sees the open
    // connection at the start of a loop iteration or behind many other events.
    let cases = [
        ("a close", false, true),
        ("a reset", false, true),
        ("unexpected bytes", false, true),
        ("a whole response", false, true),
        ("a reset", true, true),
        ("a close", true, true),
        ("a close", false, false),
        ("a reset", false, false),
        ("unexpected bytes", false, false),
        ("a whole response", false, false),
    ];
    let case_threads = cases.map(|case| std::thread::spawn(move || check_event_on_a_new_connection(case)));
    for (case, thread) in cases.into_iter().zip(case_threads) {
        thread.join().unwrap_or_else(|_| panic!("failed: {case:?}"));
    }
}

fn check_event_on_a_new_connection((event, in_flight, seen_at_once): (&str, bool, bool)) {
    let address = unique_address();
    let endpoint = ManualEndpoint::start_with_short_accept_queue(address);
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let long_connect_timeout = (r#""connect-timeout-ms":1000.0"#, r#""connect-timeout-ms":9000.0"#);
    let program =
        Program::start(&platform, &initial_list, &[long_connect_timeout, ManyClients::CONFIG_CHANGE]);
    let mut checker = DeliveryChecker::default();
    let mut other_clients = (!seen_at_once).then(|| ManyClients::connect(&program));
    // With a full accept queue the program's connection is established when TCP repeats the connect, a second
    // later.
    let filler = TcpStream::connect(address).unwrap();
    let accepted = endpoint.accept();
    let queued = TcpStream::connect(address).unwrap();
    checker.submit(&program, "once", "once-x", 8000);
    program.wait_for_log("code=\"connecting\"", 1);
    let establish_connection = || {
        drop((endpoint.accept(), filler, accepted, queued));
        endpoint.accept()
    };
    let cause_event = |mut connection: TcpStream| match event {
        "unexpected bytes" => Some(connection.write_all(b"HTTP/1.1 200 O")).map(|_| connection),
        "a whole response" => Some(connection.write_all(OK_RESPONSE.as_bytes())).map(|_| connection),
        "a reset" => {
            reset_connection(connection);
            None
        }
        _ => None,
    };
    let _connection = if in_flight {
        let mut connection = establish_connection();
        checker.read_call(&mut connection);
        program.while_stopped(|| cause_event(connection))
    } else {
        program.while_stopped(|| {
            if let Some(other_clients) = &mut other_clients {
                other_clients.send_requests();
            }
            let connection = cause_event(establish_connection());
            wait_until_received(address);
            connection
        })
    };
    // The call cannot have begun: it is sent over another connection.
    let _next_connection = (!in_flight).then(|| checker.deliver_next(&endpoint, "once-x"));
    checker.check_final_answers(&platform);
    assert!(endpoint.has_no_pending_connection(), "{event}: the webhook was sent again");
}
