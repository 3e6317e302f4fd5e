//! The stand-ins by themselves: what they answer, and what they report to the judge.

use scalebarrow_scale::standins::clients::{Client, HandInResult};
use scalebarrow_scale::standins::id::{EventType, WebhookId};
use scalebarrow_scale::standins::judge::{EndpointLocation, Judge, Rule, RuleParameters};
use scalebarrow_scale::standins::list_service::{Endpoint, ListService};
use scalebarrow_scale::standins::message::{Malformed, Request, response, take_status};
use scalebarrow_scale::standins::receivers::{Behaviour, Receivers, SharedJudge};
use scalebarrow_scale::standins::server::{ConnectionId, Server, ServerActions, Service};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// Far more than any step here takes.
const TIMEOUT: Duration = Duration::from_secs(15);
const TTL_SECS: f64 = 60.0;

/// An address that no other test uses at the same time.
fn free_address() -> SocketAddr {
    static NEXT_HOST: AtomicU8 = AtomicU8::new(1);
    let (host, process) = (NEXT_HOST.fetch_add(1, Ordering::Relaxed), std::process::id());
    SocketAddr::from(([127, 190 + (process % 10) as u8, (process / 10 % 250) as u8, host], 18_081))
}

fn new_judge() -> SharedJudge {
    SharedJudge::new(Judge::new(RuleParameters::default()))
}

fn id(event_type: EventType, number: u32) -> WebhookId {
    WebhookId { sender: 0, destination: 1, number, event_type }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

/// The status and the body of the next response; `None` if the connection ends.
fn read_response(stream: &mut TcpStream) -> Option<(u16, String)> {
    let (mut bytes, mut read_buffer) = (Vec::new(), [0; 4096]);
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(status) = take_status(&mut bytes).unwrap() {
            return Some((status, text.split_once("\r\n\r\n").unwrap().1.to_owned()));
        }
        match stream.read(&mut read_buffer).unwrap() {
            0 => return None,
            count => bytes.extend_from_slice(&read_buffer[..count]),
        }
    }
}

fn call(stream: &mut TcpStream, id: WebhookId) {
    let request = format!("POST /inbox HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nContent-Length: 2\r\n\r\nhi");
    stream.write_all(request.as_bytes()).unwrap();
}

#[test]
fn messages_are_parsed_once_they_are_complete() {
    let bytes = b"POST /a HTTP/1.1\r\nReq-Id: x\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n";
    let mut buffer = Vec::new();
    let mut requests = Vec::new();
    for byte in bytes {
        buffer.push(*byte);
        requests.extend(Request::take(&mut buffer).unwrap());
    }
    assert!(buffer.is_empty());
    let parsed: Vec<_> = requests
        .iter()
        .map(|request| (request.method.as_str(), request.target.as_str(), request.body.as_slice()))
        .collect();
    assert_eq!(parsed, [("POST", "/a", b"abc".as_slice()), ("GET", "/b", b"")]);
    assert_eq!(requests[0].header("req-id"), Some("x"));
    for malformed in ["no message\r\n\r\n", "POST /a HTTP/1.1\r\nContent-Length: x\r\n\r\n"] {
        assert_eq!(Request::take(&mut malformed.as_bytes().to_vec()), Err(Malformed), "{malformed}");
    }
    let mut buffered = response(503, "Retry-After: 1\r\n", "later");
    assert_eq!(take_status(&mut buffered), Ok(Some(503)));
    assert!(buffered.is_empty());
}

#[test]
fn receivers_answer_by_their_behaviour_and_report_to_the_judge() {
    let (address, shared_judge) = (free_address(), new_judge());
    let server = Server::start(&[address], Receivers::new(shared_judge.clone(), Behaviour::Fail)).unwrap();
    let cases = [
        (Behaviour::Serve(Duration::ZERO), Some(200)),
        (Behaviour::Serve(Duration::from_millis(5)), Some(200)),
        (Behaviour::Refuse, Some(503)),
        (Behaviour::RetryAfter(0.0), Some(429)),
        (Behaviour::Fail, Some(500)),
        (Behaviour::HangUp, None),
    ];
    for (number, (behaviour, status)) in cases.into_iter().enumerate() {
        let id = id(EventType::Idempotent, number as u32);
        shared_judge.with(|judge, now| judge.record_hand_in(id, now, TTL_SECS));
        shared_judge.with(|judge, _| judge.record_accepted(id));
        server
            .with_service(move |receivers, _| receivers.set_destination_behaviour(1, Some(behaviour)))
            .unwrap();
        let mut stream = connect(address);
        call(&mut stream, id);
        assert_eq!(read_response(&mut stream).map(|response| response.0), status, "{behaviour:?}");
    }
    let (counts, breaches) = shared_judge.with(|judge, now| judge.finish(now));
    assert_eq!((counts.accepted, counts.calls, counts.delivered, counts.pending), (6, 6, 2, 4));
    assert_eq!(breaches, []);
    assert_eq!(
        server.with_service(|receivers, _| (
            receivers.call_count(),
            receivers.call_count_to(1),
            receivers.call_count_to(2)
        )),
        Some((6, 6, 0))
    );
}

#[test]
fn repeating_an_at_most_once_webhook_is_reported_as_a_breach() {
    let (address, shared_judge) = (free_address(), new_judge());
    let _receivers =
        Server::start(&[address], Receivers::new(shared_judge.clone(), Behaviour::Fail)).unwrap();
    let at_most_once = id(EventType::AtMostOnce, 1);
    shared_judge.with(|judge, now| judge.record_hand_in(at_most_once, now, TTL_SECS));
    let mut stream = connect(address);
    for _ in 0..2 {
        call(&mut stream, at_most_once);
        assert_eq!(read_response(&mut stream).unwrap().0, 500);
    }
    let (_, breaches) = shared_judge.with(|judge, now| judge.finish(now));
    assert_eq!(breaches.iter().map(|breach| breach.rule).collect::<Vec<_>>(), [Rule::Twice]);
}

#[test]
fn list_service_answers_list_calls_watches_and_notices() {
    let (address, shared_judge) = (free_address(), new_judge());
    let endpoints: Vec<Endpoint> =
        (0..3).map(|destination| Endpoint::new(destination, address, 1.0)).collect();
    let service = ListService::new(shared_judge.clone(), HashMap::from([(address, 7)]), endpoints.clone());
    let list = Server::start(&[address], service).unwrap();
    let call_list = |target: &str| {
        let mut stream = connect(address);
        stream.write_all(format!("GET /v1/endpoints{target} HTTP/1.1\r\n\r\n").as_bytes()).unwrap();
        stream
    };
    let read_update = |stream: &mut TcpStream| {
        let (status, body) = read_response(stream).unwrap();
        assert_eq!(status, 200);
        let update: serde_json::Value = serde_json::from_str(&body).unwrap();
        let hosts = update["hosts"].as_array().unwrap().len();
        (update["seq"].as_u64().unwrap(), update["whole"].as_bool().unwrap(), hosts)
    };
    assert_eq!(read_update(&mut call_list("")), (1, true, 3));
    // Without a change, a watch is answered when its timeout is over.
    assert_eq!(read_update(&mut call_list("?since=1&timeout_ms=20")), (1, false, 0));
    let mut watch = call_list("?since=1&timeout_ms=60000");
    let began_at = Instant::now();
    while list.with_service(|service, _| service.watch_count()) != Some(1) {
        assert!(began_at.elapsed() < TIMEOUT);
    }
    let changed_endpoint = endpoints[1].clone();
    list.with_service(move |service, actions| service.update_endpoints(vec![changed_endpoint], actions))
        .unwrap();
    assert_eq!(read_update(&mut watch), (2, false, 1));
    assert_eq!(list.with_service(|service, _| service.up_to_date_senders()), Some(0));
    assert_eq!(read_update(&mut call_list("?since=1&timeout_ms=60000")), (2, false, 1));
    assert_eq!(read_update(&mut call_list("?since=2&timeout_ms=20")), (2, false, 0));
    assert_eq!(
        list.with_service(|service, _| (
            service.up_to_date_senders(),
            service.take_propagation_delays().len()
        )),
        Some((1, 1))
    );
    // A sender whose version is older than the known changes gets the whole list.
    list.with_service(|service, actions| service.send_full_list(actions)).unwrap();
    assert_eq!(read_update(&mut call_list("?since=2&timeout_ms=60000")), (3, true, 3));

    let given_up = id(EventType::Idempotent, 1);
    shared_judge.with(|judge, now| judge.record_hand_in(given_up, now, TTL_SECS));
    shared_judge.with(|judge, _| judge.record_accepted(given_up));
    for (notice, status) in [
        (format!(r#"{{"id":"{given_up}","state":"failed"}}"#), 204),
        (format!(r#"{{"id":"{given_up}","state":"other"}}"#), 400),
        ("no line".into(), 400),
    ] {
        let mut stream = connect(address);
        let head = format!("POST /v1/outcomes HTTP/1.1\r\nContent-Length: {}\r\n\r\n", notice.len());
        stream.write_all([head.as_bytes(), notice.as_bytes()].concat().as_slice()).unwrap();
        assert_eq!(read_response(&mut stream).unwrap().0, status, "{notice}");
    }
    let (counts, breaches) = shared_judge.with(|judge, now| judge.finish(now));
    assert_eq!((counts.given_up, breaches), (1, Vec::new()));
    assert_eq!(list.with_service(|service, _| service.total_traffic().notice_calls), Some(3));
}

/// A sender that answers each hand-in with the next of these statuses; 0 closes the connection instead.
struct ScriptedSender(Vec<u16>);

impl Service for ScriptedSender {
    fn on_request(
        &mut self, connection: ConnectionId, _: SocketAddr, _: Request, actions: &mut ServerActions,
    ) {
        match self.0.remove(0) {
            0 => actions.close(connection),
            status => actions.send(connection, response(status, "", "")),
        }
    }
}

#[test]
fn clients_report_the_answers_that_they_got() {
    let (address, shared_judge) = (free_address(), new_judge());
    // The 0 closes a kept-alive connection: the client hands the webhook in again over a new one.
    let statuses = vec![202, 429, 503, 500, 0, 202, 200];
    let _sender = Server::start(&[address], ScriptedSender(statuses)).unwrap();
    let mut client = Client::new(address, shared_judge.clone(), 10);
    let mut results = Vec::new();
    for number in 0..6 {
        results.push(client.hand_in(id(EventType::Idempotent, number), Duration::from_secs(60)));
    }
    let (accepted, refused, no_answer) =
        (HandInResult::Accepted, HandInResult::Refused, HandInResult::NoAnswer);
    assert_eq!(results, [accepted, refused, refused, no_answer, accepted, accepted]);
    assert_eq!((client.answers.accepted, client.answers.refused, client.answers.unanswered), (3, 2, 1));
    assert_eq!(client.answers.latency_micros.len(), 5);
    let (counts, _) = shared_judge.with(|judge, now| judge.finish(now));
    assert_eq!((counts.accepted, counts.refused, counts.unanswered), (3, 2, 1));
}

#[test]
fn a_closed_listener_refuses_connections_until_it_is_opened_again() {
    let (address, shared_judge) = (free_address(), new_judge());
    let server = Server::start(&[address], Receivers::new(shared_judge, Behaviour::Refuse)).unwrap();
    let mut stream = connect(address);
    server.with_service(move |_, actions| actions.close_listener(address)).unwrap();
    // The connection is closed or reset; either way nothing can be read any more.
    assert!(stream.read(&mut [0]).is_ok_and(|count| count == 0) || stream.read(&mut [0]).is_err());
    let began_at = Instant::now();
    while TcpStream::connect(address).is_ok() {
        assert!(began_at.elapsed() < TIMEOUT, "the listener is not closed");
    }
    server.with_service(move |_, actions| actions.open_listener(address)).unwrap();
    while TcpStream::connect(address).is_err() {
        assert!(began_at.elapsed() < TIMEOUT, "the listener is not open");
    }
}

#[test]
fn receivers_name_the_webhooks_of_a_batch_and_send_answers_twice_if_told_to() {
    let (address, shared_judge) = (free_address(), new_judge());
    let receivers = Receivers::new(shared_judge.clone(), Behaviour::Serve(Duration::ZERO));
    let server = Server::start(&[address], receivers).unwrap();
    server
        .with_service(move |receivers, _| {
            receivers.set_endpoint(address, EndpointLocation::default());
            receivers.set_endpoint_behaviour(address, Some(Behaviour::Serve(Duration::ZERO)));
            receivers.set_copy_lag(address, Some(Duration::ZERO));
        })
        .unwrap();
    let ids = [id(EventType::Idempotent, 1), id(EventType::Tokened, 2)];
    let body = format!("{} - 3\r\none\r\n{} key 0\r\n\r\n", ids[0], ids[1]);
    let head = format!("POST /inbox/bulk HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut stream = connect(address);
    for _ in 0..2 {
        stream.write_all((head.clone() + &body).as_bytes()).unwrap();
    }
    // One answer in two comes twice.
    let lines = format!("\r\n\r\n{} ok\r\n{} ok\r\n", ids[0], ids[1]);
    let (mut received, mut read_buffer) = (String::new(), [0; 4096]);
    while received.matches(&lines).count() < 3 {
        let count = stream.read(&mut read_buffer).unwrap();
        assert!(count > 0, "{received:?}");
        received += std::str::from_utf8(&read_buffer[..count]).unwrap();
    }
    assert_eq!(received.matches("HTTP/1.1 200 ").count(), 3, "{received:?}");
}
