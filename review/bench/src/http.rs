//! HTTP/1.1 messages over blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A received request or response.
#[derive(Debug, Clone)]
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        fields.filter(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).next()
    }

    /// The request target.
    pub fn target(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or("")
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from one connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Reader { stream, buffer: Vec::new() }
    }

    /// The next message; `None` if the connection ends or times out before it is whole.
    pub fn next(&mut self) -> Option<Message> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end + 4]).into_owned();
                let mut message = Message { head, body: Vec::new() };
                let length = message.header("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
                if self.buffer.len() >= end + 4 + length {
                    message.body = self.buffer[end + 4..end + 4 + length].to_vec();
                    self.buffer.drain(..end + 4 + length);
                    return Some(message);
                }
            }
            let mut chunk = [0; 16 * 1024];
            match self.stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(count) => self.buffer.extend_from_slice(&chunk[..count]),
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }
}

/// A response with a body.
pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A listener on a free port of a loopback address.
pub fn listen(octet: u8) -> TcpListener {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, octet], 0))).expect("a free port")
}

/// An address with a port that is free now.
pub fn free_address(octet: u8) -> SocketAddr {
    listen(octet).local_addr().expect("an address")
}

/// Sends one request on a new connection. Returns the response, if one came in time.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.write_all(request);
    Reader::new(stream).next()
}
