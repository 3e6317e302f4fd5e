//! The stand-ins by themselves: what they answer, and that the judge hears of it.

use scalebarrow_scale::standins::clients::{Client, HandInResult};
use scalebarrow_scale::standins::id::{EventType, WebhookId};
use scalebarrow_scale::standins::judge::{Judge, Rule, RuleParameters};
use scalebarrow_scale::standins::list_service::{Endpoint, ListService};
use scalebarrow_scale::standins::message::{Malformed, Request, answer, take_status};
use scalebarrow_scale::standins::receivers::{Behaviour, Receivers, SharedJudge};
use scalebarrow_scale::standins::server::{Connection, Server, ServerActions, Service};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// Far more than anything here takes.
const LONG: Duration = Duration::from_secs(15);
const TTL: f64 = 60.0;

fn address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let (own, process) = (NEXT.fetch_add(1, Ordering::Relaxed), std::process::id());
    SocketAddr::from(([127, 190 + (process % 10) as u8, (process / 10 % 250) as u8, own], 18_081))
}

fn record() -> SharedJudge {
    SharedJudge::new(Judge::new(RuleParameters::default()))
}

fn id(event_type: EventType, number: u32) -> WebhookId {
    WebhookId { sender: 0, destination: 1, number, event_type }
}

fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

/// The whole of the next answer; nothing where the connection ends.
fn hear(stream: &mut TcpStream) -> Option<(u16, String)> {
    let (mut bytes, mut scratch) = (Vec::new(), [0; 4096]);
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(status) = take_status(&mut bytes).unwrap() {
            return Some((status, text.split_once("\r\n\r\n").unwrap().1.to_owned()));
        }
        match stream.read(&mut scratch).unwrap() {
            0 => return None,
            count => bytes.extend_from_slice(&scratch[..count]),
        }
    }
}

fn call(stream: &mut TcpStream, id: WebhookId) {
    let text = format!("POST /inbox HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nContent-Length: 2\r\n\r\nhi");
    stream.write_all(text.as_bytes()).unwrap();
}

#[test]
fn messages_are_taken_whole() {
    let text = b"POST /a HTTP/1.1\r\nReq-Id: x\r\nContent-Length: 3\r\n\r\nabcGET /b HTTP/1.1\r\n\r\n";
    let mut buffer = Vec::new();
    let mut taken = Vec::new();
    for byte in text {
        buffer.push(*byte);
        taken.extend(Request::take(&mut buffer).unwrap());
    }
    assert!(buffer.is_empty());
    let seen: Vec<_> =
        taken.iter().map(|r| (r.method.as_str(), r.target.as_str(), r.body.as_slice())).collect();
    assert_eq!(seen, [("POST", "/a", b"abc".as_slice()), ("GET", "/b", b"")]);
    assert_eq!(taken[0].header("req-id"), Some("x"));
    for bad in ["no message\r\n\r\n", "POST /a HTTP/1.1\r\nContent-Length: x\r\n\r\n"] {
        assert_eq!(Request::take(&mut bad.as_bytes().to_vec()), Err(Malformed), "{bad}");
    }
    let mut good = answer(503, "Retry-After: 1\r\n", "later");
    assert_eq!(take_status(&mut good), Ok(Some(503)));
    assert!(good.is_empty());
}

#[test]
fn receivers_do_as_they_are_told_and_the_judge_hears_of_it() {
    let (at, record) = (address(), record());
    let receivers = Server::start(&[at], Receivers::new(record.clone(), Behaviour::Fail)).unwrap();
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
        record.with(|judge, now| judge.record_hand_in(id, now, TTL));
        record.with(|judge, _| judge.record_accepted(id));
        receivers.with_service(move |r, _| r.set_destination_behaviour(1, Some(behaviour))).unwrap();
        let mut stream = connect(at);
        call(&mut stream, id);
        assert_eq!(hear(&mut stream).map(|a| a.0), status, "{behaviour:?}");
    }
    let (counts, breaches) = record.with(|judge, now| judge.finish(now));
    assert_eq!((counts.accepted, counts.calls, counts.delivered, counts.pending), (6, 6, 2, 4));
    assert_eq!(breaches, []);
    assert_eq!(
        receivers.with_service(|r, _| (r.call_count(), r.call_count_to(1), r.call_count_to(2))),
        Some((6, 6, 0))
    );
}

#[test]
fn a_sender_that_repeats_what_may_not_run_twice_is_found_out() {
    let (at, record) = (address(), record());
    let _receivers = Server::start(&[at], Receivers::new(record.clone(), Behaviour::Fail)).unwrap();
    let once = id(EventType::AtMostOnce, 1);
    record.with(|judge, now| judge.record_hand_in(once, now, TTL));
    let mut stream = connect(at);
    for _ in 0..2 {
        call(&mut stream, once);
        assert_eq!(hear(&mut stream).unwrap().0, 500);
    }
    let (_, breaches) = record.with(|judge, now| judge.finish(now));
    assert_eq!(breaches.iter().map(|b| b.rule).collect::<Vec<_>>(), [Rule::Twice]);
}

#[test]
fn lists_watches_and_notices() {
    let (at, record) = (address(), record());
    let lines: Vec<Endpoint> = (0..3).map(|dest| Endpoint::new(dest, at, 1.0)).collect();
    let service = ListService::new(record.clone(), HashMap::from([(at, 7)]), lines.clone());
    let list = Server::start(&[at], service).unwrap();
    let ask = |target: &str| {
        let mut stream = connect(at);
        stream.write_all(format!("GET /v1/endpoints{target} HTTP/1.1\r\n\r\n").as_bytes()).unwrap();
        stream
    };
    let told = |stream: &mut TcpStream| {
        let (status, body) = hear(stream).unwrap();
        assert_eq!(status, 200);
        let news: serde_json::Value = serde_json::from_str(&body).unwrap();
        let hosts = news["hosts"].as_array().unwrap().len();
        (news["seq"].as_u64().unwrap(), news["whole"].as_bool().unwrap(), hosts)
    };
    assert_eq!(told(&mut ask("")), (1, true, 3));
    // Nothing new until its wait is over.
    assert_eq!(told(&mut ask("?since=1&timeout_ms=20")), (1, false, 0));
    let mut watch = ask("?since=1&timeout_ms=60000");
    let since = Instant::now();
    while list.with_service(|l, _| l.watch_count()) != Some(1) {
        assert!(since.elapsed() < LONG);
    }
    let change = lines[1].clone();
    list.with_service(move |l, actions| l.update_endpoints(vec![change], actions)).unwrap();
    assert_eq!(told(&mut watch), (2, false, 1));
    assert_eq!(list.with_service(|l, _| l.up_to_date_senders()), Some(0));
    assert_eq!(told(&mut ask("?since=1&timeout_ms=60000")), (2, false, 1));
    assert_eq!(told(&mut ask("?since=2&timeout_ms=20")), (2, false, 0));
    assert_eq!(
        list.with_service(|l, _| (l.up_to_date_senders(), l.take_propagation_delays().len())),
        Some((1, 1))
    );
    // Who has missed the history gets the whole list.
    list.with_service(|l, actions| l.send_full_list(actions)).unwrap();
    assert_eq!(told(&mut ask("?since=2&timeout_ms=60000")), (3, true, 3));

    let given_up = id(EventType::Idempotent, 1);
    record.with(|judge, now| judge.record_hand_in(given_up, now, TTL));
    record.with(|judge, _| judge.record_accepted(given_up));
    for (line, status) in [
        (format!(r#"{{"id":"{given_up}","state":"failed"}}"#), 204),
        (format!(r#"{{"id":"{given_up}","state":"other"}}"#), 400),
        ("no line".into(), 400),
    ] {
        let mut stream = connect(at);
        let head = format!("POST /v1/outcomes HTTP/1.1\r\nContent-Length: {}\r\n\r\n", line.len());
        stream.write_all([head.as_bytes(), line.as_bytes()].concat().as_slice()).unwrap();
        assert_eq!(hear(&mut stream).unwrap().0, status, "{line}");
    }
    let (counts, breaches) = record.with(|judge, now| judge.finish(now));
    assert_eq!((counts.given_up, breaches), (1, Vec::new()));
    assert_eq!(list.with_service(|l, _| l.total_traffic().notice_calls), Some(3));
}

/// Answers each hand-in with the next status of a row; 0 ends the connection instead.
struct Sender(Vec<u16>);

impl Service for Sender {
    fn request(&mut self, from: Connection, _: SocketAddr, _: Request, actions: &mut ServerActions) {
        match self.0.remove(0) {
            0 => actions.end(from),
            status => actions.send(from, answer(status, "", "")),
        }
    }
}

#[test]
fn clients_tell_what_they_heard() {
    let (at, record) = (address(), record());
    // The second 0 ends a connection that was kept: it is handed in once more over a new one.
    let statuses = vec![202, 429, 503, 500, 0, 202, 200];
    let _sender = Server::start(&[at], Sender(statuses)).unwrap();
    let mut client = Client::new(at, record.clone(), 10);
    let mut heard = Vec::new();
    for number in 0..6 {
        heard.push(client.hand_in(id(EventType::Idempotent, number), Duration::from_secs(60)));
    }
    let (taken, refused, nothing) = (HandInResult::Accepted, HandInResult::Refused, HandInResult::NoAnswer);
    assert_eq!(heard, [taken, refused, refused, nothing, taken, taken]);
    assert_eq!((client.answers.accepted, client.answers.refused, client.answers.unanswered), (3, 2, 1));
    assert_eq!(client.answers.latency_micros.len(), 5);
    let (counts, _) = record.with(|judge, now| judge.finish(now));
    assert_eq!((counts.accepted, counts.refused, counts.unanswered), (3, 2, 1));
}

#[test]
fn a_listener_that_is_shut_refuses_until_it_is_opened_again() {
    let (at, record) = (address(), record());
    let server = Server::start(&[at], Receivers::new(record, Behaviour::Refuse)).unwrap();
    let mut open = connect(at);
    server.with_service(move |_, actions| actions.close_listener(at)).unwrap();
    // Ended or reset: either way nothing comes any more.
    assert!(open.read(&mut [0]).is_ok_and(|count| count == 0) || open.read(&mut [0]).is_err());
    let since = Instant::now();
    while TcpStream::connect(at).is_ok() {
        assert!(since.elapsed() < LONG, "it is not shut");
    }
    server.with_service(move |_, actions| actions.open_listener(at)).unwrap();
    while TcpStream::connect(at).is_err() {
        assert!(since.elapsed() < LONG, "it is not open");
    }
}
