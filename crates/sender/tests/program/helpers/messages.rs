//! HTTP messages, and requests as clients send them.

use super::TEST_TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

/// A received HTTP request or response.
#[derive(Debug, Clone)]
pub struct HttpMessage {
    /// The start line and the header lines.
    pub head: String,
    /// The body, empty if the head has no `Content-Length`.
    pub body: Vec<u8>,
    /// When the head had been received.
    pub received_at: Instant,
}

impl HttpMessage {
    /// The value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let headers = self.head.lines().filter_map(|line| line.split_once(':'));
        headers.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
    }

    /// The status code of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// The webhook id of a call, empty if there is none.
    pub fn id(&self) -> String {
        self.header("Req-Id").unwrap_or_default().to_owned()
    }
}

/// Reads one message. Returns `None` if the connection ends before it is complete.
pub fn read_message(stream: &mut TcpStream) -> Option<HttpMessage> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        // Unlike `read`, `read_exact` retries after EINTR.
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let mut message =
        HttpMessage { head: String::from_utf8(head).unwrap(), body: Vec::new(), received_at: Instant::now() };
    let body_bytes = message.header("Content-Length").map_or(0, |length| length.parse().unwrap());
    message.body.resize(body_bytes, 0);
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What a mock server does after it has read a request.
pub enum Action {
    /// Sends this response.
    Respond(&'static str),
    /// Sends this response, which the handler has built.
    RespondOwned(String),
    /// Sends this response and closes the connection.
    RespondAndClose(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Leaves the connection open and does not respond.
    NoResponse,
}

/// A response that reports success.
pub const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
/// A response that acknowledges notices.
pub const NO_CONTENT_RESPONSE: &str = "HTTP/1.1 204 No Content\r\n\r\n";

/// A request that submits a webhook for destination 1.
pub fn webhook_request(event_type: &str, id: &str, ttl_ms: u64, body: &[u8]) -> Vec<u8> {
    webhook_request_for(1, event_type, id, ttl_ms, body)
}

/// A request that submits a webhook.
pub fn webhook_request_for(
    destination: u64, event_type: &str, id: &str, ttl_ms: u64, body: &[u8],
) -> Vec<u8> {
    let body_len = body.len();
    let head = format!(
        "POST /{event_type} HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Deadline: {ttl_ms}m\r\n\
         Idempotency-Key: key-{id}\r\nX-Addressing: dest={destination}\r\nContent-Length: {body_len}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Sends bytes over a new connection and reads one response.
pub fn send_request(address: SocketAddr, bytes: &[u8]) -> Option<HttpMessage> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    // The response may be received, and the connection closed, before all bytes are written.
    let _ = stream.write_all(bytes);
    read_message(&mut stream)
}
