//! Tests calls and responses that are written in parts, or only partly before the connection is closed.

use crate::helpers::{
    DeliveryChecker, ManualEndpoint, OK_RESPONSE, Platform, Program, TEST_TIMEOUT, connect_with_small_window,
    endpoint_entry, endpoint_list, read_message, reset_connection, unique_address, webhook_request,
};
use std::io::{Read, Write};
use std::thread::sleep;
use std::time::{Duration, Instant};

#[test]
fn an_at_most_once_call_that_was_not_fully_written_is_retried() {
    let address = unique_address();
    let endpoint = ManualEndpoint::start_with_small_window(address);
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let program = Program::start(&platform, &initial_list, &[]);
    let mut checker = DeliveryChecker::default();
    // More than the kernel buffers at once for an endpoint that takes in so little.
    assert_eq!(program.submit_webhook("once", "once-x", 8000, &[b'x'; 60_000]), 202);
    checker.add_accepted("once-x");
    let mut connection = endpoint.accept();
    connection.read_exact(&mut [0; 300]).unwrap();
    program.wait_for_log("code=\"out\"", 1);
    reset_connection(connection);
    let mut connection = endpoint.accept();
    let call = checker.read_call(&mut connection);
    assert_eq!((call.id().as_str(), call.body.len()), ("once-x", 60_000));
    connection.write_all(OK_RESPONSE.as_bytes()).unwrap();
    checker.add_delivered("once-x");
    checker.check_final_answers(&platform);
}

/// Guards against a retry that is completed after its repeat window: the window was checked only when the
/// first bytes were sent.
#[test]
fn a_retry_that_is_not_fully_written_within_its_repeat_window_is_given_up() {
    let address = unique_address();
    let endpoint = ManualEndpoint::start_with_small_window(address);
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let window = ("\"repeat-window-ms\":8000.0", "\"repeat-window-ms\":1000.0");
    let program = Program::start(&platform, &initial_list, &[window]);
    assert_eq!(program.submit_webhook("token", "x", 8000, &[b'x'; 60_000]), 202);
    let mut connection = endpoint.accept();
    assert_eq!(read_message(&mut connection).unwrap().id(), "x");
    reset_connection(connection);
    let mut connection = endpoint.accept();
    connection.read_exact(&mut [0; 300]).unwrap();
    sleep(Duration::from_millis(1200));
    assert!(300 + read_to_end_bytes(&mut connection) < 60_000, "the retry was fully received");
    platform.next_notice();
}

/// The number of bytes received until the connection ends.
fn read_to_end_bytes(connection: &mut impl Read) -> usize {
    let mut rest = Vec::new();
    // Bytes received before a reset count as well.
    let _ = connection.read_to_end(&mut rest);
    rest.len()
}

#[test]
fn a_webhook_whose_response_was_not_fully_written_is_withdrawn() {
    const REQUESTS: usize = 4000;
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", unique_address(), "plain", "DRAINING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let program = Program::start(&platform, &initial_list, &[("\"open-cap\":300", "\"open-cap\":5000")]);
    // The client sends requests without reading responses, until the kernel takes no more responses for it.
    let mut client = connect_with_small_window(program.listen_address);
    client.set_nonblocking(true).unwrap();
    let requests: Vec<u8> = (0..REQUESTS)
        .flat_map(|number| webhook_request("idem", &format!("w{number}"), 60_000, b""))
        .collect();
    let accepted_count = || program.log().matches("code=\"taken\"").count();
    let (started_at, mut sent_bytes, mut last_progress) = (Instant::now(), 0, (0, Instant::now()));
    while last_progress.1.elapsed() < Duration::from_millis(300) || last_progress.0 == 0 {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "{} of {REQUESTS} were accepted", last_progress.0);
        sent_bytes += client.write(&requests[sent_bytes..]).unwrap_or(0);
        let accepted = accepted_count();
        if accepted > last_progress.0 {
            last_progress = (accepted, Instant::now());
        }
        sleep(Duration::from_millis(5));
    }
    assert!(last_progress.0 < REQUESTS, "the kernel buffered all responses: the test shows nothing");
    reset_connection(client);
    program.wait_for_log("code=\"withdrawn\"", 1);
    let (answered_id, unanswered_id) =
        (format!("w{}", last_progress.0 - 2), format!("w{}", last_progress.0 - 1));
    let log = program.log();
    let withdrawn: Vec<&str> = log.lines().filter(|entry| entry.contains("code=\"withdrawn\"")).collect();
    assert!(
        withdrawn.len() == 1 && withdrawn[0].contains(&format!("id=\"{unanswered_id}\"")),
        "{withdrawn:?}"
    );
    // Only the webhook whose response cannot have been received is new when it is submitted again.
    for (id, new_count) in [(answered_id, 0), (unanswered_id, 1)] {
        let before = accepted_count();
        assert_eq!(program.submit_webhook("idem", &id, 60_000, b""), 202);
        assert_eq!(accepted_count() - before, new_count, "{id}");
    }
}

#[test]
fn a_response_is_sent_before_the_previous_one_is_acknowledged() {
    const ROUNDS: usize = 50;
    let initial_list = endpoint_list(1, true, &[]);
    let platform = Platform::start(initial_list.clone(), 0);
    let program = Program::start(&platform, &initial_list, &[]);
    let mut client = program.connect();
    client.set_nodelay(true).unwrap();
    let two_requests = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".repeat(2);
    let started_at = Instant::now();
    for _ in 0..ROUNDS {
        client.write_all(&two_requests).unwrap();
        for _ in 0..2 {
            assert_eq!(read_message(&mut client).unwrap().status(), 200);
        }
    }
    // If a response were held back until the previous one is acknowledged, which the system delays by 40
    // ms, this would take twice as long.
    let limit = Duration::from_millis(20 * ROUNDS as u64);
    assert!(started_at.elapsed() < limit, "{:?}", started_at.elapsed());
}
