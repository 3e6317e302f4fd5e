//! A kill right behind the answer that takes on a webhook whose body ends like a sealed segment of the folder.

use crate::config::{Class, Settings};
use crate::http::{Reader, exchange, listen, response};
use crate::platform::{Entry, Platform};
use crate::record::Record;
use crate::run::Run;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const TTL_MS: u64 = 8_000;
const EVENT_TYPE: &str = "order-update";
const DESTINATION: u64 = 1;
/// When the receiver that replaces the draining one is listed, seconds after the start.
const REPLACED_AT: f64 = 4.4;
/// Webhooks of other clients that are held.
const HELD: usize = 8;
/// A final answer may come 0.3 s after the time is up; each limit grows by 50 ms.
const NOTICE_GRACE: f64 = 0.3 + 0.05;
/// No notice is overdue until 1.5 s after the sender is ready again.
const READY_GRACE: f64 = 1.5;

type Delivered = Arc<Mutex<Vec<(f64, String)>>>;

fn start_receiver(listener: TcpListener, delivered: &Delivered, record: &Record) {
    let (delivered, record) = (delivered.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (delivered, record) = (delivered.clone(), record.clone());
            thread::spawn(move || {
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = Reader::new(stream);
                while let Some(call) = reader.next() {
                    let id = call.header("Req-Id").unwrap_or("").to_owned();
                    record.line(&format!("call {id}, {} bytes", call.body.len()));
                    if writer.write_all(&response(200, "", "ok")).is_err() {
                        return;
                    }
                    delivered.lock().unwrap().push((record.secs(Instant::now()), id));
                }
            });
        }
    });
}

fn varint_bytes(mut value: usize) -> usize {
    let mut bytes = 1;
    while value >= 0x80 {
        value >>= 7;
        bytes += 1;
    }
    bytes
}

/// The bytes that a webhook without ordering key and customer takes up in the segment, as
/// crates/store/src/frame.rs and crates/sender/src/journal/records.rs say.
fn record_bytes(id: &str, token: &str, body_bytes: usize) -> usize {
    let text = |text: &str| varint_bytes(text.len()) + text.len();
    let payload = text(id) + text(EVENT_TYPE) + 1 + 1 + 1 + (1 + text(token)) + 8;
    8 + 12 + 16 + payload + varint_bytes(body_bytes) + body_bytes
}

fn crc32(bytes: &[u8]) -> u32 {
    let mut crc = u32::MAX;
    for byte in bytes {
        crc ^= u32::from(*byte);
        for _ in 0..8 {
            crc = if crc & 1 == 1 { (crc >> 1) ^ 0xedb8_8320 } else { crc >> 1 };
        }
    }
    !crc
}

/// A body of 64 bytes whose end reads as a checkpoint without items and the trailer of a sealed segment, if its
/// last byte is the last of a file of `file_bytes`.
fn body_like_a_seal(file_bytes: usize) -> Vec<u8> {
    let checkpoint = [&[4_u8, 0][..], &1_u64.to_le_bytes(), &0_u16.to_le_bytes()].concat();
    let mut body = b"a body holds any bytes, also".to_vec();
    body.extend((checkpoint.len() as u32).to_le_bytes());
    body.extend(crc32(&checkpoint).to_le_bytes());
    body.extend(&checkpoint);
    body.extend((file_bytes as u64 - 36).to_le_bytes());
    body.extend(b"SBSEGEND");
    body
}

fn hand_in(sender: SocketAddr, id: &str, token: &str, body: &[u8]) -> u16 {
    let head = format!(
        "POST /{EVENT_TYPE} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Deadline: {TTL_MS}m\r\n\
         Idempotency-Key: {token}\r\nContent-Length: {}\r\nX-Addressing: dest={DESTINATION}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let answer = exchange(sender, &[head.as_bytes(), body].concat(), Duration::from_millis(400));
    answer.map_or(0, |answer| answer.status())
}

pub fn run(run: &mut Run) -> Result<Vec<String>, String> {
    let record = run.record.clone();
    let entry = |host: &str, address, destination, health| Entry {
        host: host.into(),
        address,
        zone: "room-a".into(),
        kind: "nurseries".into(),
        destination,
        health,
        rate: 10.0,
    };
    let delivered: Delivered = Arc::default();
    // The old receiver drains; the one that replaces it is listed later.
    let old_listener = listen(3);
    let old_address = old_listener.local_addr().map_err(|e| e.to_string())?;
    let known = [entry("s-1a", old_address, DESTINATION, "DRAINING")];
    let platform = Platform::new(&record, known.to_vec());
    let discovery = platform.open(2);
    let settings = Settings {
        classes: vec![Class {
            name: EVENT_TYPE,
            effect: "guarded",
            group: "zone",
            deadline_ms: 16_000,
            window_ms: 15_000,
            ordered: false,
        }],
        kinds: vec![("chains", 20, true), ("shops", 1, false), ("nurseries", 1, false)],
        mode: "push",
        slots: 17,
        open_cap: 384,
        max_attempts: 8,
        senders: 3,
        me: 0,
        disk_mb: 3.0,
        sockets: 1024,
        zones: vec!["room-a", "room-b", "room-c"],
    };
    run.sender.write_config(&settings.json(run.sender.listen, discovery, &known));
    if !run.sender.start() {
        return Err("the sender did not start".into());
    }
    let began_at = Instant::now();
    // A segment begins with a header of 16 bytes.
    let mut file_bytes = 16;
    let mut accepted = Vec::new();
    let mut take_on = |id: String, body: Vec<u8>, file_bytes: usize| {
        let token = format!("token-{id}");
        let status = hand_in(run.sender.listen, &id, &token, &body);
        record.line(&format!("handed in {id}, {} bytes: {status}", body.len()));
        if status == 202 {
            accepted.push((id.clone(), record.secs(Instant::now())));
        }
        file_bytes + record_bytes(&id, &token, body.len())
    };
    for number in 0..HELD {
        file_bytes = take_on(format!("held-{number}"), b"a body".to_vec(), file_bytes);
    }
    let body_bytes = body_like_a_seal(0).len();
    let file_bytes = file_bytes + record_bytes("last-0", "token-last-0", body_bytes);
    take_on("last-0".into(), body_like_a_seal(file_bytes), 0);
    let mut ready_at = 0.0;
    if run.trouble {
        run.sender.kill();
        thread::sleep(Duration::from_millis(600));
        if !run.sender.start() {
            return Err("the sender did not start again".into());
        }
        ready_at = record.secs(Instant::now());
    }
    if accepted.len() != HELD + 1 {
        return Err(format!("only {} webhooks were taken on", accepted.len()));
    }
    thread::sleep(Duration::from_secs_f64((REPLACED_AT - began_at.elapsed().as_secs_f64()).max(0.0)));
    let new_listener = listen(3);
    let new = entry("s-1b", new_listener.local_addr().map_err(|e| e.to_string())?, DESTINATION, "SERVING");
    start_receiver(new_listener, &delivered, &record);
    record.line("the list: s-1b is new, s-1a is gone");
    platform.change(&[new, entry("s-1a", old_address, DESTINATION, "DELETED")]);
    drop(old_listener);
    let last_due =
        accepted.iter().map(|entry| entry.1).fold(0.0, f64::max) + TTL_MS as f64 / 1e3 + NOTICE_GRACE;
    while record.secs(Instant::now()) < last_due + 0.5 {
        thread::sleep(Duration::from_millis(50));
    }
    if !run.sender.is_running() {
        return Ok(vec!["the sender has ended".into()]);
    }
    let (delivered, notices) = (delivered.lock().unwrap(), platform.notices.lock().unwrap());
    let mut lost = Vec::new();
    for (id, accepted_at) in &accepted {
        let deadline = accepted_at + TTL_MS as f64 / 1e3;
        let due = (deadline + NOTICE_GRACE).max(ready_at + READY_GRACE);
        let is_delivered = delivered.iter().any(|(at, other)| other == id && *at <= deadline + 0.05);
        let is_noticed = notices.iter().any(|(at, other, _)| other == id && record.secs(*at) <= due);
        if !is_delivered && !is_noticed {
            lost.push(format!(
                "{id} was taken on at {accepted_at:.3} s and has neither been delivered nor ended by a notice at {due:.3} s"
            ));
        }
    }
    record.say(&format!(
        "taken on {}; calls {}; notices {}; lost {}",
        accepted.len(),
        delivered.len(),
        notices.len(),
        lost.len()
    ));
    Ok(lost)
}
