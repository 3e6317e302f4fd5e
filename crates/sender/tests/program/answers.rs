//! Tests that an answer ends only the call that it belongs to, where endpoints or the platform send answers
//! twice.

use crate::helpers::{
    HttpMessage, NO_CONTENT_RESPONSE, OK_RESPONSE, Platform, Program, TEST_TIMEOUT, endpoint_list,
    read_message, unique_address,
};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const UNAVAILABLE_RESPONSE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const TTL_MS: u64 = 3000;
/// How long the tests look for a call that must not be made.
const OBSERVATION_TIME: Duration = Duration::from_millis(600);

/// The answer to a call, and the time until it is written.
struct Answer {
    delay: Duration,
    response: String,
}

fn answer(delay_ms: u64, response: &str) -> Answer {
    Answer { delay: Duration::from_millis(delay_ms), response: response.to_owned() }
}

/// Starts a server that sends each answer twice: the second copy comes as soon as the next request on the
/// connection has been read, before the answer to that request. The handler also gets the number of the
/// request, counted from 0 over all connections. Returns the requests in the order in which they were read.
fn start_copying_server(
    address: SocketAddr, handler: impl Fn(usize, &HttpMessage) -> Answer + Send + Sync + 'static,
) -> Receiver<HttpMessage> {
    let listener = TcpListener::bind(address).unwrap();
    let (request_sender, requests) = channel();
    let state = Arc::new((handler, AtomicUsize::new(0)));
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (request_sender, state) = (request_sender.clone(), state.clone());
            thread::spawn(move || {
                let mut previous_response = String::new();
                while let Some(request) = read_message(&mut stream) {
                    let number = state.1.fetch_add(1, Ordering::SeqCst);
                    let Answer { delay, response } = (state.0)(number, &request);
                    let _ = request_sender.send(request);
                    let _ = stream.write_all(previous_response.as_bytes());
                    thread::sleep(delay);
                    let _ = stream.write_all(response.as_bytes());
                    previous_response = response;
                }
            });
        }
    });
    requests
}

/// An entry of the endpoint list for an endpoint of destination 1 in a zone.
fn entry_in_zone(name: &str, zone: &str, address: SocketAddr, destination_kind: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{address}","site":"{zone}","class":"{destination_kind}","block":1,"health":"SERVING","share":50.0,"born_ms":0}}"#
    )
}

/// A sender with one endpoint that sends each answer twice.
struct CopyingEndpoint {
    program: Program,
    platform: Platform,
    calls: Receiver<HttpMessage>,
}

fn with_copying_endpoint(
    destination_kind: &str, handler: impl Fn(usize, &HttpMessage) -> Answer + Send + Sync + 'static,
) -> CopyingEndpoint {
    let address = unique_address();
    let calls = start_copying_server(address, handler);
    let list = endpoint_list(1, true, &[entry_in_zone("a", "z", address, destination_kind)]);
    let platform = Platform::start(list.clone(), 0);
    let program = Program::start(&platform, &list, &[]);
    CopyingEndpoint { program, platform, calls }
}

impl CopyingEndpoint {
    fn submit(&self, event_type: &str, id: &str) {
        assert_eq!(self.program.submit_webhook(event_type, id, TTL_MS, b""), 202, "{id}");
    }

    /// Waits for a call of this webhook.
    fn wait_for_call(&self, id: &str) {
        let call = self.calls.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|_| panic!("{id} was not called"));
        assert!(names_webhook(&call, id), "expected a call of {id}, got {}", call.head);
    }

    /// Submits a webhook that the endpoint answers at once, and waits until the sender has read the answer.
    fn deliver(&self, id: &str) {
        let ended_attempts = self.program.log().matches("an attempt ended").count();
        self.submit("idem", id);
        self.wait_for_call(id);
        self.program.wait_for_log("an attempt ended", ended_attempts + 1);
    }
}

/// Whether a call carries this webhook, alone or among others.
fn names_webhook(call: &HttpMessage, id: &str) -> bool {
    call.id() == id || String::from_utf8_lossy(&call.body).contains(id)
}

// Guards against a webhook that is neither delivered nor reported: it was refused with 503, but the second
// copy of the 200 for the call before was taken as its answer.
#[test]
fn a_copied_200_does_not_hide_a_503() {
    let endpoint = with_copying_endpoint("plain", |number, _| match number {
        2 => answer(50, UNAVAILABLE_RESPONSE),
        _ => answer(0, OK_RESPONSE),
    });
    endpoint.deliver("idem-0");
    endpoint.deliver("idem-1");
    endpoint.submit("idem", "idem-2");
    endpoint.wait_for_call("idem-2");
    endpoint.wait_for_call("idem-2");
}

// Guards against an at-most-once webhook that runs twice: it was running, but the second copy of the 503 for
// the call before was taken as its answer, and it was sent again.
#[test]
fn a_copied_503_does_not_repeat_an_at_most_once_call() {
    let endpoint = with_copying_endpoint("plain", |_, call| match call.id().as_str() {
        "idem-1" => answer(0, UNAVAILABLE_RESPONSE),
        "once-2" => answer(300, OK_RESPONSE),
        _ => answer(0, OK_RESPONSE),
    });
    endpoint.deliver("idem-0");
    // Its TTL ends before it can be sent again.
    assert_eq!(endpoint.program.submit_webhook("idem", "idem-1", 120, b""), 202);
    endpoint.wait_for_call("idem-1");
    assert!(endpoint.platform.next_notice().contains("idem-1"));
    endpoint.submit("once", "once-2");
    endpoint.wait_for_call("once-2");
    if let Ok(call) = endpoint.calls.recv_timeout(OBSERVATION_TIME) {
        panic!("a second call was made: {}", call.head);
    }
}

// Guards against a tokened webhook that reaches a second zone: it was running in the first one, but the second
// copy of the 503 for the call before was taken as its answer.
#[test]
fn a_copied_503_does_not_send_a_zone_bound_webhook_to_another_zone() {
    let calls: Arc<Mutex<Vec<(usize, String)>>> = Arc::default();
    let addresses = [unique_address(), unique_address()];
    for (zone, address) in addresses.into_iter().enumerate() {
        let calls = calls.clone();
        start_copying_server(address, move |_, call| {
            calls.lock().unwrap().push((zone, call.id()));
            let is_refused = call.id().starts_with("idem");
            if is_refused { answer(0, UNAVAILABLE_RESPONSE) } else { answer(400, OK_RESPONSE) }
        });
    }
    let entries = ["north", "south"].into_iter().zip(addresses);
    let entries: Vec<String> =
        entries.map(|(zone, address)| entry_in_zone(zone, zone, address, "plain")).collect();
    let list = endpoint_list(1, true, &entries);
    let platform = Platform::start(list.clone(), 0);
    let zone_bound = (r#""effect":"guarded","group":"all""#, r#""effect":"guarded","group":"zone""#);
    let program = Program::start(&platform, &list, &[zone_bound]);
    let call_count = |zone: usize, prefix: &str| {
        calls.lock().unwrap().iter().filter(|call| call.0 == zone && call.1.starts_with(prefix)).count()
    };
    let started_at = Instant::now();
    let mut number = 0;
    // A connection is kept from the second call to its endpoint on.
    while call_count(0, "idem").min(call_count(1, "idem")) < 2 {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "no refusals in both zones");
        assert_eq!(program.submit_webhook("idem", &format!("idem-{number}"), 300, b""), 202);
        number += 1;
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(program.submit_webhook("token", "token-1", 8000, b""), 202);
    while call_count(0, "token") + call_count(1, "token") == 0 {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "token-1 was not called");
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(2 * OBSERVATION_TIME);
    assert!(call_count(0, "token").min(call_count(1, "token")) == 0, "{:?}", calls.lock().unwrap());
}

// Guards against answers that are off by one through several calls: after one copy, each call is ended by the
// answer to the call before it, so that a 503 ends the wrong webhook and the refused one is lost.
#[test]
fn answers_do_not_stay_off_by_one_through_three_calls() {
    let was_refused = AtomicBool::new(false);
    let endpoint = with_copying_endpoint("plain", move |_, call| match call.id().as_str() {
        "idem-0" | "idem-1" => answer(0, OK_RESPONSE),
        "idem-4" if !was_refused.swap(true, Ordering::SeqCst) => answer(60, UNAVAILABLE_RESPONSE),
        _ => answer(60, OK_RESPONSE),
    });
    for id in ["idem-0", "idem-1", "idem-2", "idem-3"] {
        endpoint.deliver(id);
    }
    endpoint.submit("idem", "idem-4");
    endpoint.wait_for_call("idem-4");
    endpoint.wait_for_call("idem-4");
}

// Guards against a webhook that is forgotten at a restart: a copy had ended its call in the journal, and the
// process was killed before the true answer came.
#[test]
fn a_kill_between_a_copied_200_and_the_true_answer_loses_nothing() {
    let mut endpoint = with_copying_endpoint("plain", |number, _| match number {
        2 => answer(2000, UNAVAILABLE_RESPONSE),
        _ => answer(0, OK_RESPONSE),
    });
    endpoint.deliver("idem-0");
    endpoint.deliver("idem-1");
    endpoint.submit("idem", "idem-2");
    endpoint.wait_for_call("idem-2");
    thread::sleep(Duration::from_millis(200));
    endpoint.program.kill_and_restart();
    endpoint.wait_for_call("idem-2");
}

/// A response that reports the webhooks of a batch as delivered.
fn batch_response(call: &HttpMessage) -> String {
    let body = String::from_utf8_lossy(&call.body);
    let ids = body.lines().filter(|line| !line.is_empty()).filter_map(|line| line.split(' ').next());
    let lines: String = ids.map(|id| format!("{id} ok\r\n")).collect();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{lines}", lines.len())
}

// Guards against a batch that is ended by the answer to the batch before it on the connection: its webhook was
// refused with 503, but would count as possibly run, or as delivered.
#[test]
fn a_copy_of_a_batch_answer_is_skipped_and_the_503_behind_it_counts() {
    let endpoint = with_copying_endpoint("bulk", |number, call| match number {
        3 => answer(50, UNAVAILABLE_RESPONSE),
        _ => answer(0, &batch_response(call)),
    });
    for id in ["idem-0", "idem-1", "idem-2"] {
        endpoint.deliver(id);
    }
    // Not to be repeated unless the refusal is known to be its own.
    endpoint.submit("once", "once-3");
    endpoint.wait_for_call("once-3");
    endpoint.wait_for_call("once-3");
    endpoint.program.wait_for_log("code=\"unsolicited-response\"", 2);
    endpoint.program.wait_for_log("calls_before=2", 1);
}

/// Starts a platform that answers each notice with 204 twice: the second copy comes when the next notice on
/// the connection arrives, which is then cut without being read. Returns the notices that were read.
fn start_copying_platform(list: String) -> (SocketAddr, Receiver<String>) {
    let address = unique_address();
    let listener = TcpListener::bind(address).unwrap();
    let (notice_sender, notices) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (list, notice_sender) = (list.clone(), notice_sender.clone());
            thread::spawn(move || {
                let mut has_answered_notice = false;
                while let Some(request) = read_message(&mut stream) {
                    if !request.head.starts_with("POST /v1/outcomes ") {
                        thread::sleep(Duration::from_millis(100));
                        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                        let _ = stream.write_all((head + &list).as_bytes());
                        continue;
                    }
                    let _ = stream.write_all(NO_CONTENT_RESPONSE.as_bytes());
                    if has_answered_notice {
                        return;
                    }
                    has_answered_notice = true;
                    let _ = notice_sender.send(String::from_utf8(request.body).unwrap());
                }
            });
        }
    });
    (address, notices)
}

// Guards against a final answer that never reaches the platform: its notice was cut unread, but the second
// copy of the 204 for the notice before was taken as its acknowledgement.
#[test]
fn a_copied_204_does_not_acknowledge_a_notice_that_was_cut() {
    let list = endpoint_list(1, true, &[entry_in_zone("a", "z", unique_address(), "plain")]);
    let (address, notices) = start_copying_platform(list.clone());
    // Only its address is used: it is replaced by the other platform's.
    let silent_platform = Platform::start(list.clone(), 0);
    let discovery = (silent_platform.address.to_string(), address.to_string());
    let program = Program::start(&silent_platform, &list, &[(&discovery.0, &discovery.1)]);
    // Nobody listens at the endpoint's address: each webhook is given up when its TTL ends.
    for id in ["idem-1", "idem-2"] {
        assert_eq!(program.submit_webhook("idem", id, 300, b""), 202);
        let notice = notices.recv_timeout(Duration::from_secs(3));
        let notice = notice.unwrap_or_else(|_| panic!("the final answer of {id} was not reported"));
        assert!(notice.contains(id), "{notice}");
    }
}
