//! Races with the close of a client's connection or with the shutdown of the process.

use super::{millis, with_manual_endpoint, with_undeliverable_webhook};
use crate::helpers::{
    DeliveryChecker, ManyClients, OK_RESPONSE, Platform, endpoint_list, is_closed_cleanly, read_message,
    reset_connection, wait_until_received, webhook_request,
};
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Instant;

#[test]
fn at_sigterm_clients_get_a_response_or_an_orderly_close() {
    let (endpoint, platform, mut program) = with_manual_endpoint(&[]);
    let mut checker = DeliveryChecker::default();
    // An idle client, one with an unread request, one that has just connected, and one that has sent part
    // of a request.
    let (mut idle, mut unread) = (program.connect(), program.connect());
    for (client, id) in [(&mut idle, "once-a"), (&mut unread, "once-b")] {
        client.write_all(&webhook_request("once", id, 8000, b"")).unwrap();
        assert_eq!(read_message(client).unwrap().status(), 202);
        checker.add_accepted(id);
        checker.read_call(&mut endpoint.accept());
    }
    let (mut new_client, mut partial) = (program.connect(), program.connect());
    let request = |id| webhook_request("once", id, 8000, b"");
    partial.write_all(&request("once-h")[..30]).unwrap();
    sleep(millis(50));
    program.while_stopped(|| {
        program.send_signal("TERM");
        unread.write_all(&request("once-c")).unwrap();
    });
    program.wait_for_log("code=\"closing\"", 1);
    // A request that crosses the close of its connection is not accepted, and there is no reset: the
    // connection lingers for half a second. `peek` returns once the close has arrived; a request before
    // that would be answered.
    assert_eq!(idle.peek(&mut [0]).unwrap(), 0);
    idle.write_all(&request("once-e")).unwrap();
    // An unread request is answered, and so is one on a connection that was only established. Whether the
    // program sees the signal or the request first is up to the system.
    assert_eq!(read_message(&mut unread).unwrap().status(), 202);
    new_client.write_all(&request("once-d")).unwrap();
    let response = read_message(&mut new_client).unwrap();
    assert_eq!((response.status(), response.header("Connection")), (202, Some("close")));
    assert!(is_closed_cleanly(idle) && is_closed_cleanly(unread) && is_closed_cleanly(new_client));
    assert_eq!(read_message(&mut partial).unwrap().status(), 408);
    // Clients that are still connected just before the exit get a 503.
    let mut late_client = program.connect();
    late_client.write_all(&request("once-l")[..30]).unwrap();
    let response = read_message(&mut late_client).unwrap();
    assert_eq!((response.status(), response.header("Connection")), (503, Some("close")));
    drop((partial, late_client));
    assert!(program.wait_for_exit().success());
    for id in ["once-c", "once-d"] {
        checker.add_accepted(id);
    }
    program.kill_and_restart();
    let mut connections = Vec::new();
    for _ in 0..2 {
        connections.push(endpoint.accept());
    }
    checker.check_final_answers(&platform);
}

#[test]
fn idle_clients_evicted_for_new_ones_are_not_reset() {
    let (_endpoint, _platform, program) = with_manual_endpoint(&[]);
    let connect = || {
        let mut client = program.connect();
        client.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        assert_eq!(read_message(&mut client).unwrap().status(), 200);
        client
    };
    // Of 236 descriptors clients may use 118, the last 14 of which are for new connections while others
    // linger.
    let mut idle_clients: Vec<TcpStream> = (0..104).map(|_| connect()).collect();
    let _new_clients: Vec<TcpStream> = (0..10).map(|_| connect()).collect();
    for client in &mut idle_clients[..10] {
        assert_eq!(client.peek(&mut [0]).unwrap(), 0);
        // A request that crosses the close of its connection gets no response, and no reset that might
        // discard one.
        client.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    }
    sleep(millis(50));
    // Only a write shows a reset that comes after the close.
    assert!(idle_clients[..10].iter_mut().all(|client| client.write_all(b"GET").is_ok()));
    // No other connection is closed before its idle timeout of 2.2 s.
    let remaining = &idle_clients[10..];
    remaining.iter().for_each(|client| client.set_nonblocking(true).unwrap());
    assert!(remaining.iter().all(|client| client.peek(&mut [0]).is_err()));
}

#[test]
fn a_client_that_does_not_close_its_side_is_dropped_after_a_short_linger() {
    let (_endpoint, _platform, program) = with_manual_endpoint(&[]);
    let mut client = program.connect();
    client.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    assert_eq!(read_message(&mut client).unwrap().status(), 200);
    // After the idle timeout the program shuts down its sending side; the client does not close its own.
    assert_eq!(client.peek(&mut [0]).unwrap(), 0);
    let started_at = Instant::now();
    program.wait_for_log("peer=\"client\" code=\"idle\"", 1);
    let elapsed = started_at.elapsed();
    assert!((millis(300)..millis(1500)).contains(&elapsed), "{elapsed:?}");
}

/// The exit comes in a loop iteration with so many events that a response and a new client are ready but
/// not yet seen.
#[test]
fn events_ready_but_unseen_at_the_exit_are_handled() {
    let (endpoint, platform, mut program) = with_undeliverable_webhook();
    let mut checker = DeliveryChecker::default();
    checker.add_accepted("once-held");
    let started_at = Instant::now();
    let sleep_until = |elapsed_ms| sleep(millis(elapsed_ms).saturating_sub(started_at.elapsed()));
    program.send_signal("TERM");
    program.wait_for_log("code=\"closing\"", 1);
    sleep_until(1800);
    checker.submit(&program, "once", "once-x", 8000);
    let mut connection = endpoint.accept();
    checker.read_call(&mut connection);
    sleep_until(2500);
    let mut other_clients = ManyClients::connect(&program);
    let mut late_client = program.while_stopped(|| {
        // The program exits 3.3 s after the signal.
        sleep_until(3400);
        other_clients.send_requests();
        connection.write_all(OK_RESPONSE.as_bytes()).unwrap();
        wait_until_received(connection.local_addr().unwrap());
        let mut late_client = program.connect();
        late_client.write_all(&webhook_request("once", "once-late", 8000, b"")).unwrap();
        late_client
    });
    assert_eq!(read_message(&mut late_client).unwrap().status(), 202);
    checker.add_accepted("once-late");
    checker.add_delivered("once-x");
    assert!(program.wait_for_exit().success());
    program.kill_and_restart();
    let _connection = checker.deliver_next(&endpoint, "once-late");
    checker.check_final_answers(&platform);
}

#[test]
fn a_request_reset_before_it_was_read_is_not_accepted_and_may_be_repeated() {
    let (endpoint, platform, program) = with_manual_endpoint(&[]);
    let mut checker = DeliveryChecker::default();
    let mut client = program.connect();
    sleep(millis(50));
    program.while_stopped(|| {
        client.write_all(&webhook_request("once", "once-x", 3000, b"")).unwrap();
        reset_connection(client);
    });
    program.wait_for_log("peer=\"client\" code=\"peer-reset\"", 1);
    checker.submit(&program, "once", "once-x", 3000);
    let _connection = checker.deliver_next(&endpoint, "once-x");
    checker.check_final_answers(&platform);
}

#[test]
fn sighup_and_repeated_sigterm_together_cause_one_timely_shutdown() {
    let (endpoint, platform, mut program) = with_undeliverable_webhook();
    let new_platform = Platform::start(endpoint_list(1, true, &[]), 0);
    let mut checker = DeliveryChecker::default();
    checker.add_accepted("once-held");
    checker.submit(&program, "once", "once-x", 8000);
    let mut connection = endpoint.accept();
    checker.read_call(&mut connection);
    let started_at = Instant::now();
    program.while_stopped(|| {
        program.edit_config(&platform.address.to_string(), &new_platform.address.to_string());
        for signal in ["HUP", "TERM", "TERM"] {
            program.send_signal(signal);
        }
    });
    program.wait_for_log("code=\"config-read\"", 1);
    program.send_signal("TERM");
    // A late signal does not delay the exit.
    sleep(millis(1500));
    program.send_signal("TERM");
    assert!(program.wait_for_exit().success());
    assert!(started_at.elapsed() < millis(3700), "{:?}", started_at.elapsed());
    program.kill_and_restart();
    checker.check_final_answers(&new_platform);
    drop(connection);
}
