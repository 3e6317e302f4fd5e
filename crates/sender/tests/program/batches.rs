//! Tests webhooks that a batch cannot carry, at a destination that takes batches.

use crate::helpers::{
    Action, Endpoint, HttpMessage, OK_RESPONSE, Platform, Program, TEST_TIMEOUT, endpoint_entry,
    endpoint_list, send_request, webhook_request,
};
use std::time::Duration;

/// The protocol's limit for a body.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Answers a call to `/inbox` as delivered, and fails any batch.
fn answer_singles(_: usize, call: &HttpMessage) -> Action {
    let is_single = call.head.starts_with("POST /inbox ");
    Action::Respond(if is_single { OK_RESPONSE } else { "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n" })
}

/// Starts an endpoint whose destination takes batches, and a sender for it.
fn start() -> (Endpoint, Platform, Program) {
    let endpoint = Endpoint::start(answer_singles);
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", endpoint.address, "bulk", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let program = Program::start(&platform, &initial_list, &[]);
    (endpoint, platform, program)
}

/// Guards against a webhook that takes effect twice because its idempotency key is `-`, which in a batch says
/// that there is none: the recipient cannot recognise a repeat.
#[test]
fn an_idempotency_key_that_reads_as_none_in_a_batch_goes_in_a_call_of_its_own() {
    let (endpoint, _platform, program) = start();
    let request = String::from_utf8(webhook_request("token", "x", 8000, b"body")).unwrap();
    let request = request.replace("Idempotency-Key: key-x", "Idempotency-Key: -");
    assert_eq!(send_request(program.listen_address, request.as_bytes()).unwrap().status(), 202);
    let call = endpoint.calls.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(call.head.starts_with("POST /inbox "), "{}", call.head);
    assert_eq!((call.id().as_str(), call.header("Idempotency-Key")), ("x", Some("-")));
    assert_eq!(call.body, b"body");
    program.wait_for_log("outcome=Delivered", 1);
    assert!(endpoint.calls.recv_timeout(Duration::from_millis(300)).is_err());
}

/// Guards against webhooks that are accepted and never called: a body of the largest size, or just below it,
/// leaves no room for the line that precedes it in a batch.
#[test]
fn a_body_that_fits_no_batch_goes_in_a_call_of_its_own() {
    let (endpoint, _platform, program) = start();
    let line_bytes = "b key-b 65536\r\n".len() + "\r\n".len();
    let max_batch_body_bytes = MAX_BODY_BYTES - line_bytes;
    for (id, body_bytes, path) in [
        ("a", MAX_BODY_BYTES, "POST /inbox "),
        ("b", max_batch_body_bytes + 1, "POST /inbox "),
        ("c", max_batch_body_bytes, "POST /inbox/bulk "),
    ] {
        let body: Vec<u8> = (0..body_bytes).map(|i| i as u8).collect();
        assert_eq!(program.submit_webhook("once", id, 8000, &body), 202);
        let call = endpoint.next_call();
        assert!(call.head.starts_with(path), "{}", call.head);
        assert!(call.body.ends_with(&body) || call.body.ends_with(&[&body[..], b"\r\n"].concat()));
    }
    assert_eq!(program.submit_webhook("once", "x", 8000, &vec![0; MAX_BODY_BYTES + 1]), 413);
}
