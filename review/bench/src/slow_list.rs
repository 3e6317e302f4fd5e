//! Discovery takes 1.5 s to answer each call for the list. Meanwhile a receiver is replaced: it drains, leaves
//! the list, refuses what still comes, and ends. Later its address is given to a receiver of another destination.

use crate::config::{Class, Settings};
use crate::http::{Message, Reader, exchange, listen, response};
use crate::platform::{Entry, Platform};
use crate::record::Record;
use crate::run::Run;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long discovery takes to answer; a call may take 2 s.
const ANSWER_DELAY: Duration = Duration::from_millis(1500);
/// When the receiver is listed as draining, is listed as gone, and ends, and when its address has a new owner.
const DRAINING_AT: f64 = 28.0;
const GONE_AT: f64 = 32.0;
const ENDED_AT: f64 = 42.0;
const NEW_OWNER_AT: f64 = 46.0;
const END_AT: f64 = 62.0;
/// `stop-sending-within-ms` of the settings, the 50 ms by which each limit grows, and 6 s, after which a change
/// counts as told, arrived or not.
const TOLD_AFTER: f64 = 6.0;
const GRACE: f64 = 0.5 + 0.05;

/// A call that a receiver got: when, the host and its destination, and the id.
type Calls = Arc<Mutex<Vec<(f64, String, u64, String)>>>;

/// What a receiver does with calls.
const SERVES: u8 = 0;
/// Answers 503, as it drains or is shut.
const REFUSES: u8 = 1;
/// Its process has ended.
const ENDED: u8 = 2;

struct Receiver {
    state: Arc<AtomicU8>,
}

impl Receiver {
    fn start(listener: TcpListener, host: &str, destination: u64, calls: &Calls, record: &Record) -> Self {
        let state = Arc::new(AtomicU8::new(SERVES));
        let (shared, host, calls, record) = (state.clone(), host.to_owned(), calls.clone(), record.clone());
        listener.set_nonblocking(true).expect("a socket option");
        thread::spawn(move || {
            while shared.load(Ordering::SeqCst) != ENDED {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (state, host, calls, record) =
                    (shared.clone(), host.clone(), calls.clone(), record.clone());
                thread::spawn(move || serve(stream, &state, &host, destination, &calls, &record));
            }
        });
        Receiver { state }
    }

    fn set(&self, state: u8) {
        self.state.store(state, Ordering::SeqCst);
    }
}

/// Answers calls with 200 after 50 ms, or refuses them.
fn serve(stream: TcpStream, state: &AtomicU8, host: &str, destination: u64, calls: &Calls, record: &Record) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = Reader::new(stream);
    while let Some(call) = reader.next() {
        let id = call.header("Req-Id").unwrap_or("").to_owned();
        let serves = state.load(Ordering::SeqCst) == SERVES;
        let status = if serves { 200 } else { 503 };
        record.line(&format!("call {id} at {host} of destination {destination}: {status}"));
        calls.lock().unwrap().push((record.secs(Instant::now()), host.to_owned(), destination, id));
        if serves {
            thread::sleep(Duration::from_millis(50));
        }
        if writer.write_all(&response(status, "", "")).is_err() {
            return;
        }
    }
}

fn entry(host: &str, address: SocketAddr, destination: u64, health: &'static str) -> Entry {
    Entry {
        host: host.into(),
        address,
        zone: "pier-1".into(),
        kind: "kiosks".into(),
        destination,
        health,
        rate: 40.0,
    }
}

fn class(
    name: &'static str, effect: &'static str, group: &'static str, deadline_ms: u64, window_ms: u64,
) -> Class {
    Class { name, effect, group, deadline_ms, window_ms, ordered: false }
}

/// Hands in a webhook.
fn hand_in(sender: SocketAddr, id: &str, destination: u64) -> Option<Message> {
    let request = format!(
        "POST /tide-table HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Deadline: 6000m\r\n\
         Content-Length: 4\r\nX-Addressing: dest={destination}\r\nConnection: close\r\n\r\ntide"
    );
    exchange(sender, request.as_bytes(), Duration::from_millis(400))
}

pub fn run(run: &mut Run) -> Result<Vec<String>, String> {
    let record = run.record.clone();
    let calls: Calls = Arc::default();
    let first_listener = listen(3);
    let first_address = first_listener.local_addr().map_err(|e| e.to_string())?;
    let other_listener = listen(3);
    let other = entry("s-2a", other_listener.local_addr().map_err(|e| e.to_string())?, 2, "SERVING");
    let first = entry("s-1a", first_address, 1, "SERVING");
    let first_receiver = Receiver::start(first_listener, "s-1a", 1, &calls, &record);
    let _other = Receiver::start(other_listener, "s-2a", 2, &calls, &record);
    let known = [first.clone(), other];
    let platform = Platform::new(&record, known.to_vec());
    if run.trouble {
        platform.set_answer_delay(ANSWER_DELAY);
    }
    let settings = Settings {
        classes: vec![
            class("berth-change", "guarded", "zone", 16_000, 15_000),
            class("gate-call", "guarded", "all", 1_900, 1_000),
            class("fare-charge", "single_shot", "all", 20_000, 0),
            class("tide-table", "free", "all", 6_000, 0),
        ],
        kinds: vec![("ports", 20, true), ("depots", 1, false), ("kiosks", 1, false)],
        mode: "ask",
        slots: 8,
        open_cap: 100,
        max_attempts: 8,
        senders: 3,
        me: 0,
        disk_mb: 3.0,
        sockets: 1024,
        zones: vec!["pier-1", "pier-2", "pier-3", "pier-4"],
    };
    let discovery = platform.open(2);
    run.sender.write_config(&settings.json(run.sender.listen, discovery, &known));
    if !run.sender.start() {
        return Err("the sender did not start".into());
    }
    let began_at = record.secs(Instant::now());
    let now = || record.secs(Instant::now()) - began_at;
    let (mut draining_at, mut is_gone, mut has_ended, mut has_new_owner) = (None, false, false, false);
    let (mut number, mut accepted) = (0, 0);
    let mut replacements = Vec::new();
    while now() < END_AT {
        if draining_at.is_none() && now() >= DRAINING_AT {
            let listener = listen(3);
            let new = entry("s-1b", listener.local_addr().map_err(|e| e.to_string())?, 1, "SERVING");
            replacements.push(Receiver::start(listener, "s-1b", 1, &calls, &record));
            draining_at = Some(record.secs(Instant::now()));
            first_receiver.set(REFUSES);
            let version = platform.change(&[entry("s-1a", first_address, 1, "DRAINING"), new]);
            record.line(&format!("list version {version}: s-1a drains, s-1b is new"));
        }
        if !is_gone && now() >= GONE_AT {
            is_gone = true;
            let version = platform.change(&[entry("s-1a", first_address, 1, "DELETED")]);
            record.line(&format!("list version {version}: s-1a is gone"));
        }
        if !has_ended && now() >= ENDED_AT {
            has_ended = true;
            record.line("the process of s-1a ends");
            first_receiver.set(ENDED);
        }
        if !has_new_owner && now() >= NEW_OWNER_AT {
            has_new_owner = true;
            let listener = TcpListener::bind(first_address).map_err(|e| format!("the address again: {e}"))?;
            replacements.push(Receiver::start(listener, "s-2b", 2, &calls, &record));
            let version = platform.change(&[entry("s-2b", first_address, 2, "SERVING")]);
            record.line(&format!("list version {version}: s-2b of destination 2, at the address of s-1a"));
        }
        number += 1;
        let (id, destination) = (format!("d1-{number:05}"), 1);
        let status = hand_in(run.sender.listen, &id, destination).map_or(0, |answer| answer.status());
        record.line(&format!("handed in {id} for destination {destination}: {status}"));
        accepted += u32::from(status == 202);
        thread::sleep(Duration::from_millis(150));
    }
    if !run.sender.is_running() {
        return Ok(vec!["the sender has ended".into()]);
    }
    let draining_at = draining_at.ok_or("no drain")?;
    let last_allowed = draining_at + TOLD_AFTER + GRACE;
    let calls = calls.lock().unwrap();
    let served = calls.iter().filter(|call| call.1 == "s-1b").count();
    record.say(&format!(
        "accepted {accepted}; calls {}, of them {served} at the new receiver of destination 1",
        calls.len()
    ));
    let (mut drained, mut foreign) = (Vec::new(), Vec::new());
    for (at, host, destination, id) in calls.iter().filter(|call| call.0 > last_allowed) {
        let after = at - draining_at;
        if host == "s-1a" {
            drained.push(format!("{id} was sent to s-1a {after:.3} s after it was listed as draining"));
        } else if *destination != 1 {
            foreign.push(format!(
                "{id}, for destination 1, was sent {after:.3} s after s-1a was listed as draining to its address, \
                 where {host} of destination {destination} took it"
            ));
        }
    }
    record.say(&format!(
        "sent too late: to s-1a {}, to the receiver of another destination at its address {}",
        drained.len(),
        foreign.len()
    ));
    // Some of each kind come first.
    drained.truncate(5);
    Ok([drained, foreign].concat())
}
