//! Clients that hand webhooks in, over connections that they keep, and how long each answer took.

use super::id::{EventType, WebhookId};
use super::message::take_status;
use super::receivers::SharedJudge;
use hdrhistogram::Histogram;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A client waits so long for an answer. Longer than the platform's 400 ms, so that worse ones are measured as well.
const PATIENCE: Duration = Duration::from_secs(3);

/// A client whose kept connection ended tries so long to hand in once more over a new one, and so often.
const AGAIN: Duration = Duration::from_millis(1500);
const AGAIN_PAUSE: Duration = Duration::from_millis(20);

/// What a client heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandInResult {
    Accepted,
    Refused,
    NoAnswer,
}

/// Answers of a sender, in numbers and microseconds.
#[derive(Debug, Clone)]
pub struct AnswerStats {
    pub accepted: u64,
    pub refused: u64,
    pub unanswered: u64,
    pub latency_micros: Histogram<u64>,
}

impl Default for AnswerStats {
    fn default() -> Self {
        // Three digits, growing as needed: such a histogram can always be made.
        let latency_micros = Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"));
        AnswerStats { accepted: 0, refused: 0, unanswered: 0, latency_micros }
    }
}

impl AnswerStats {
    /// Takes in what another client heard.
    pub fn merge(&mut self, other: &AnswerStats) {
        self.accepted += other.accepted;
        self.refused += other.refused;
        self.unanswered += other.unanswered;
        // Histograms of one precision that grow can always be added.
        let _ = self.latency_micros.add(&other.latency_micros);
    }

    /// Webhooks handed in.
    pub fn total(&self) -> u64 {
        self.accepted + self.refused + self.unanswered
    }

    /// Milliseconds that a part of the answers did not exceed.
    pub fn latency_millis(&self, part: f64) -> f64 {
        self.latency_micros.value_at_quantile(part) as f64 / 1e3
    }
}

/// A client with one connection to one sender.
pub struct Client {
    to: SocketAddr,
    stream: Option<TcpStream>,
    record: SharedJudge,
    body: Vec<u8>,
    pub answers: AnswerStats,
}

impl Client {
    pub fn new(to: SocketAddr, record: SharedJudge, body: usize) -> Self {
        Client { to, stream: None, record, body: vec![b'x'; body], answers: AnswerStats::default() }
    }

    /// Hands a webhook in and waits for the answer.
    pub fn hand_in(&mut self, id: WebhookId, ttl: Duration) -> HandInResult {
        self.record.with(|judge, now| judge.record_hand_in(id, now, ttl.as_secs_f64()));
        let began = Instant::now();
        // A sender may close a connection between requests: then it is handed in once more over a new one.
        let kept = self.stream.is_some();
        let mut sent = self.record.now();
        let mut status = self.exchange(id, ttl);
        let ended = |status: &io::Result<u16>| {
            let ends = [ErrorKind::UnexpectedEof, ErrorKind::ConnectionReset, ErrorKind::BrokenPipe];
            status.as_ref().is_err_and(|e| ends.contains(&e.kind()))
        };
        let again_until = Instant::now() + AGAIN;
        while kept && ended(&status) {
            sent = self.record.now();
            // The time to live began with the first try.
            status = self.exchange(id, ttl.saturating_sub(began.elapsed()));
            let refused = status.as_ref().is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused);
            if !refused || Instant::now() > again_until {
                break;
            }
            // The sender is being started again: it may know the webhook already.
            std::thread::sleep(AGAIN_PAUSE);
            status = Err(ErrorKind::UnexpectedEof.into());
        }
        if ended(&status) {
            self.record.with(|judge, now| judge.record_unanswered(id, sent, now));
        }
        let heard = match status {
            Ok(200 | 202) => HandInResult::Accepted,
            Ok(429 | 503) => HandInResult::Refused,
            _ => HandInResult::NoAnswer,
        };
        match heard {
            HandInResult::Accepted => {
                self.answers.accepted += 1;
                self.record.with(|judge, _| judge.record_accepted(id));
            }
            HandInResult::Refused => {
                self.answers.refused += 1;
                self.record.with(|judge, now| judge.record_refused(id, now));
            }
            HandInResult::NoAnswer => self.answers.unanswered += 1,
        }
        if heard != HandInResult::NoAnswer {
            // A histogram that grows takes any value.
            let _ = self.answers.latency_micros.record(began.elapsed().as_micros() as u64);
        }
        heard
    }

    fn exchange(&mut self, id: WebhookId, ttl: Duration) -> io::Result<u16> {
        let result = self.try_exchange(id, ttl);
        if result.is_err() {
            self.stream = None;
        }
        result
    }

    fn try_exchange(&mut self, id: WebhookId, ttl: Duration) -> io::Result<u16> {
        let stream = match &mut self.stream {
            Some(stream) => stream,
            none => {
                let stream = TcpStream::connect(self.to)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(PATIENCE))?;
                none.insert(stream)
            }
        };
        stream.write_all(&request(id, ttl, &self.body))?;
        let (mut buffer, mut scratch) = (Vec::new(), [0; 1024]);
        loop {
            let count = stream.read(&mut scratch)?;
            if count == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            buffer.extend_from_slice(&scratch[..count]);
            match take_status(&mut buffer) {
                Ok(Some(status)) => return Ok(status),
                Ok(None) => {}
                Err(_) => return Err(ErrorKind::InvalidData.into()),
            }
        }
    }
}

/// The bytes of a webhook handed in.
fn request(id: WebhookId, ttl: Duration, body: &[u8]) -> Vec<u8> {
    let (event_type, dest, size) = (id.event_type.name(), id.destination, body.len());
    let key = match id.event_type {
        EventType::Ordered => format!("Req-Key: k{dest}\r\n"),
        EventType::Tokened | EventType::TokenedInZone => format!("Idempotency-Key: token-{id}\r\n"),
        _ => String::new(),
    };
    let head = format!(
        "POST /{event_type} HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Deadline: {}m\r\n{key}\
         X-Addressing: dest={dest}\r\nContent-Length: {size}\r\n\r\n",
        ttl.as_millis()
    );
    [head.as_bytes(), body].concat()
}
