//! The HTTP/1.1 messages that clients, receivers and the platform exchange with a sender.

use std::io::{self, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A request or a response that was read completely.
pub struct Message {
    pub start_line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its last byte was read.
    pub complete_at: Instant,
}

impl Message {
    /// The value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.0.eq_ignore_ascii_case(name)).map(|header| header.1.as_str())
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// How reading a message ended without one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadEnd {
    /// The peer ended its sending side in order.
    Closed,
    /// The connection was reset.
    Reset,
    /// Nothing more came in time.
    TimedOut,
}

fn read_end(error: &io::Error) -> ReadEnd {
    match error.kind() {
        io::ErrorKind::UnexpectedEof => ReadEnd::Closed,
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => ReadEnd::TimedOut,
        _ => ReadEnd::Reset,
    }
}

/// Reads one message. Each read waits for at most `timeout`.
pub fn read_message(stream: &mut TcpStream, timeout: Duration) -> Result<Message, ReadEnd> {
    let _ = stream.set_read_timeout(Some(timeout));
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).map_err(|error| read_end(&error))?;
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.lines();
    let start_line = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<_> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message { start_line, headers, body: Vec::new(), complete_at: Instant::now() };
    let length = message.header("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body).map_err(|error| read_end(&error))?;
    message.complete_at = Instant::now();
    Ok(message)
}

/// A webhook as a client hands it in.
pub struct Webhook<'a> {
    pub event_type: &'a str,
    pub id: &'a str,
    pub destination: u32,
    pub deadline: Duration,
    pub body: &'a [u8],
}

impl Webhook<'_> {
    /// The request that hands it in.
    pub fn request(&self) -> Vec<u8> {
        let Webhook { event_type, id, destination, deadline, body } = self;
        let head = format!(
            "POST /{event_type} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Deadline: {}m\r\n\
             Idempotency-Key: {id}{id}\r\nContent-Length: {}\r\nX-Addressing: dest={destination}\r\n\r\n",
            deadline.as_millis(),
            body.len()
        );
        [head.as_bytes(), body].concat()
    }
}

/// The ids of the webhooks in a call.
pub fn called_ids(call: &Message) -> Vec<String> {
    if !call.start_line.contains("/inbox/bulk") {
        return vec![call.header("Req-Id").unwrap_or_default().to_owned()];
    }
    let (mut ids, mut rest) = (Vec::new(), call.body.as_slice());
    while let Some(end) = rest.windows(2).position(|bytes| bytes == b"\r\n") {
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let mut fields = line.split(' ');
        ids.push(fields.next().unwrap_or_default().to_owned());
        let length: usize = fields.nth(1).and_then(|length| length.parse().ok()).unwrap_or(0);
        rest = rest.get(end + 2 + length + 2..).unwrap_or_default();
    }
    ids
}

/// The answer that all webhooks of a call are delivered.
pub fn delivered_answer(call: &Message) -> Vec<u8> {
    let mut body = String::new();
    if call.start_line.contains("/inbox/bulk") {
        for id in called_ids(call) {
            body += &format!("{id} ok\r\n");
        }
    }
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
