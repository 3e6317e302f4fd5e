//! Clients that hand webhooks in over kept-alive connections, and measure how long each answer takes.

use super::id::{EventType, WebhookId};
use super::message::take_status;
use super::receivers::SharedJudge;
use hdrhistogram::Histogram;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// How long a client waits for an answer. It is longer than the 400 ms that the platform waits, so that
/// slower answers are measured as well.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a client whose kept-alive connection ended tries to hand the webhook in over a new one.
const RETRY_LIMIT: Duration = Duration::from_millis(1500);
/// The status with which a sender accepts a webhook.
const ACCEPTED_STATUS: u16 = 202;
/// The pieces in which a request is written.
const PIECES: usize = 4;
/// The pause between two pieces.
const PIECE_PAUSE: Duration = Duration::from_millis(5);

/// The pause between two such tries.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What came of handing a webhook in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandInResult {
    /// The sender accepted it.
    Accepted,
    /// The sender refused it.
    Refused,
    /// The sender gave no answer, or one that is neither of these.
    NoAnswer,
}

/// The answers that clients got, with the time that each took.
#[derive(Debug, Clone)]
pub struct AnswerStats {
    /// Webhooks that were accepted.
    pub accepted: u64,
    /// Webhooks that were refused.
    pub refused: u64,
    /// Webhooks without either answer.
    pub unanswered: u64,
    /// Microseconds until each webhook was accepted or refused.
    pub latency_micros: Histogram<u64>,
}

impl Default for AnswerStats {
    fn default() -> Self {
        // A histogram of three digits that grows as needed can always be created.
        let latency_micros = Histogram::new(3).unwrap_or_else(|_| unreachable!("three digits are allowed"));
        AnswerStats { accepted: 0, refused: 0, unanswered: 0, latency_micros }
    }
}

impl AnswerStats {
    /// Adds the answers that another client got.
    pub fn merge(&mut self, other: &AnswerStats) {
        self.accepted += other.accepted;
        self.refused += other.refused;
        self.unanswered += other.unanswered;
        // Growing histograms of the same precision can always be added.
        let _ = self.latency_micros.add(&other.latency_micros);
    }

    /// Webhooks handed in.
    pub fn total(&self) -> u64 {
        self.accepted + self.refused + self.unanswered
    }

    /// A quantile of the answer times, in milliseconds.
    pub fn latency_millis(&self, quantile: f64) -> f64 {
        self.latency_micros.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// How clients write their requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum RequestForm {
    /// At once.
    Usual,
    /// Twice, one right after the other.
    Repeated,
    /// In pieces, with a pause between two of them.
    Split,
}

/// The form in which several clients write their requests; it can be changed at any time.
#[derive(Debug, Clone, Default)]
pub struct SharedRequestForm(Arc<AtomicU8>);

impl SharedRequestForm {
    /// Sets the form of all requests from now on.
    pub fn set(&self, form: RequestForm) {
        self.0.store(form as u8, Ordering::Relaxed);
    }

    /// The form of a request now.
    pub fn get(&self) -> RequestForm {
        let forms = [RequestForm::Usual, RequestForm::Repeated, RequestForm::Split];
        forms[usize::from(self.0.load(Ordering::Relaxed)) % forms.len()]
    }
}

/// A client with one connection to one sender.
pub struct Client {
    address: SocketAddr,
    stream: Option<TcpStream>,
    judge: SharedJudge,
    body: Vec<u8>,
    /// How it writes its requests.
    pub request_form: SharedRequestForm,
    /// The answers that it got.
    pub answers: AnswerStats,
}

impl Client {
    /// A client of the sender at an address. Its webhooks have bodies of `body_bytes`.
    pub fn new(address: SocketAddr, judge: SharedJudge, body_bytes: usize) -> Self {
        Client {
            address,
            stream: None,
            judge,
            body: vec![b'x'; body_bytes],
            request_form: SharedRequestForm::default(),
            answers: AnswerStats::default(),
        }
    }

    /// Hands a webhook in and waits for the answer.
    pub fn hand_in(&mut self, id: WebhookId, ttl: Duration) -> HandInResult {
        self.judge.with(|judge, now| judge.record_hand_in(id, now, ttl.as_secs_f64()));
        let began_at = Instant::now();
        // A sender may close a connection between two requests: the client then tries again over a new one.
        let reused_connection = self.stream.is_some();
        let mut sent_at = self.judge.now();
        let mut status = self.exchange(id, ttl);
        let connection_ended = |status: &io::Result<u16>| {
            let kinds = [ErrorKind::UnexpectedEof, ErrorKind::ConnectionReset, ErrorKind::BrokenPipe];
            status.as_ref().is_err_and(|error| kinds.contains(&error.kind()))
        };
        let retry_until = Instant::now() + RETRY_LIMIT;
        while reused_connection && connection_ended(&status) {
            sent_at = self.judge.now();
            // The time to live began with the first try.
            status = self.exchange(id, ttl.saturating_sub(began_at.elapsed()));
            let connection_refused =
                status.as_ref().is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused);
            if !connection_refused || Instant::now() > retry_until {
                break;
            }
            // The sender is restarting: it may have accepted the webhook already.
            std::thread::sleep(RETRY_PAUSE);
            status = Err(ErrorKind::UnexpectedEof.into());
        }
        if connection_ended(&status) {
            self.judge.with(|judge, now| judge.record_unanswered(id, sent_at, now));
        }
        let result = match status {
            Ok(200 | 202) => HandInResult::Accepted,
            Ok(429 | 503) => HandInResult::Refused,
            _ => HandInResult::NoAnswer,
        };
        match result {
            HandInResult::Accepted => {
                self.answers.accepted += 1;
                self.judge.with(|judge, _| judge.record_accepted(id));
            }
            HandInResult::Refused => {
                self.answers.refused += 1;
                self.judge.with(|judge, now| judge.record_refused(id, now));
            }
            HandInResult::NoAnswer => self.answers.unanswered += 1,
        }
        if result != HandInResult::NoAnswer {
            // A growing histogram takes any value.
            let _ = self.answers.latency_micros.record(began_at.elapsed().as_micros() as u64);
        }
        result
    }

    /// Sends the request and reads the status of the response. After an error the next exchange opens a new
    /// connection.
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
                let stream = TcpStream::connect(self.address)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
                none.insert(stream)
            }
        };
        let request = request(id, ttl, &self.body);
        let mut buffer = Vec::new();
        match self.request_form.get() {
            RequestForm::Usual => stream.write_all(&request)?,
            RequestForm::Repeated => {
                stream.write_all(&[request.as_slice(), &request].concat())?;
                let first_status = read_status(stream, &mut buffer)?;
                // The sender may close the connection between two requests.
                let Ok(second_status) = read_status(stream, &mut buffer) else {
                    self.stream = None;
                    return Ok(first_status);
                };
                // Accepted once is accepted.
                return Ok(if second_status == ACCEPTED_STATUS { second_status } else { first_status });
            }
            RequestForm::Split => {
                for piece in request.chunks(request.len().div_ceil(PIECES)) {
                    stream.write_all(piece)?;
                    std::thread::sleep(PIECE_PAUSE);
                }
            }
        }
        read_status(stream, &mut buffer)
    }
}

/// Reads the status of the next response. `buffer` holds what was read behind the response before.
fn read_status(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<u16> {
    let mut read_buffer = [0; 1024];
    loop {
        match take_status(buffer) {
            Ok(Some(status)) => return Ok(status),
            Ok(None) => {}
            Err(_) => return Err(ErrorKind::InvalidData.into()),
        }
        let count = stream.read(&mut read_buffer)?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&read_buffer[..count]);
    }
}

/// The bytes of a request that hands a webhook in.
fn request(id: WebhookId, ttl: Duration, body: &[u8]) -> Vec<u8> {
    let (event_type, destination, body_length) = (id.event_type.name(), id.destination, body.len());
    let key_header = match id.event_type {
        EventType::Ordered => format!("Req-Key: k{destination}\r\n"),
        EventType::Tokened | EventType::TokenedInZone => format!("Idempotency-Key: token-{id}\r\n"),
        _ => String::new(),
    };
    let head = format!(
        "POST /{event_type} HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Deadline: {}m\r\n{key_header}\
         X-Addressing: dest={destination}\r\nContent-Length: {body_length}\r\n\r\n",
        ttl.as_millis()
    );
    [head.as_bytes(), body].concat()
}
