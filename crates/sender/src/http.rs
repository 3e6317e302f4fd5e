//! Decodes and encodes HTTP/1.1 messages. The decoder is a state machine that is fed bytes and yields
//! messages; it does no I/O and does not depend on what the peer is.

use httparse::Status::{Complete, Partial};
use httparse::{EMPTY_HEADER, Error, Header, parse_chunk_size};

/// The protocol's limit for the body of a webhook or of a call (a request to an endpoint).
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Limit for the start line and headers of one message; common servers allow 8 to 16 KiB.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Limit for the number of headers of one message; common servers allow about a hundred.
const MAX_HEADERS: usize = 96;
/// Limit for the line that holds a chunk's size and extensions.
const MAX_CHUNK_LINE_BYTES: usize = 1024;

/// Why a message cannot be decoded. The connection cannot be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The bytes are not HTTP, or the message framing is ambiguous.
    Malformed,
    /// The body is longer than allowed.
    BodyTooBig,
    /// The start line and headers are longer than allowed, or there are too many headers.
    HeadTooBig,
    /// A transfer coding other than `chunked`.
    UnknownCoding,
}

impl DecodeError {
    /// The status code with which a client is informed of the error.
    pub fn status(self) -> u16 {
        match self {
            DecodeError::Malformed => 400,
            DecodeError::BodyTooBig => 413,
            DecodeError::HeadTooBig => 431,
            DecodeError::UnknownCoding => 501,
        }
    }
}

/// The start line of a message.
pub enum StartLine<'a> {
    /// The request line: method and request target.
    Request { method: &'a str, target: &'a str },
    /// The status line: the status code.
    Response { status: u16 },
}

/// The headers of a message.
pub struct Headers<'a>(&'a [Header<'a>]);

impl<'a> Headers<'a> {
    fn values(&self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.0
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.trim_ascii())
    }

    /// The value of the first header with this name, if it is valid UTF-8.
    pub fn get(&self, name: &'a str) -> Option<&'a str> {
        self.values(name).next().and_then(|value| std::str::from_utf8(value).ok())
    }

    /// True if a comma-separated header with this name contains the token, in any case.
    fn contains_token(&self, name: &'a str, token: &str) -> bool {
        let token = token.as_bytes();
        self.values(name).any(|value| {
            value.split(|byte| *byte == b',').any(|item| item.trim_ascii().eq_ignore_ascii_case(token))
        })
    }
}

/// The start line and headers of a message, decoded once to the few typed values that a kind of peer needs.
pub trait MessageHead: Sized {
    /// Decodes the start line and the headers.
    fn decode(start: &StartLine, headers: &Headers) -> Self;
}

/// The head of a response of which only the status code matters.
pub struct StatusHead(pub u16);

impl MessageHead for StatusHead {
    fn decode(start: &StartLine, _: &Headers) -> Self {
        StatusHead(if let StartLine::Response { status } = start { *status } else { 0 })
    }
}

/// A message that was received completely.
#[derive(Debug)]
pub struct Message<H> {
    /// The decoded start line and headers.
    pub head: H,
    /// The body, without chunk sizes and trailers.
    pub body: Vec<u8>,
    /// The connection can be used for further messages.
    pub keep_alive: bool,
}

/// What the decoder reads next; the numbers are bytes still to come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecodeState {
    Head,
    /// A body of a known length.
    FixedLength(usize),
    ChunkSize,
    ChunkData(usize),
    /// The line break after the data of a chunk.
    ChunkEnd,
    Trailer,
    /// A body that ends when the peer closes the connection.
    UntilClose,
}

/// Decodes the requests or the responses that arrive on one connection.
#[derive(Debug)]
pub struct Decoder<H> {
    reads_responses: bool,
    max_body_bytes: usize,
    buffer: Vec<u8>,
    /// How many bytes of an incomplete head were already parsed without finding its end.
    scanned_bytes: usize,
    state: DecodeState,
    /// The head of the message whose body is being read, and whether the connection is kept alive.
    head: Option<(H, bool)>,
    body: Vec<u8>,
    /// The peer sent `Expect: 100-continue` and was not answered yet.
    expects_continue: bool,
}

impl<H: MessageHead> Decoder<H> {
    /// A decoder for requests with bodies of at most `max_body_bytes`.
    pub fn for_requests(max_body_bytes: usize) -> Self {
        let (buffer, body) = (Vec::new(), Vec::new());
        let state = DecodeState::Head;
        Decoder {
            reads_responses: false,
            max_body_bytes,
            buffer,
            scanned_bytes: 0,
            state,
            head: None,
            body,
            expects_continue: false,
        }
    }

    /// A decoder for responses with bodies of at most `max_body_bytes`.
    pub fn for_responses(max_body_bytes: usize) -> Self {
        Decoder { reads_responses: true, ..Self::for_requests(max_body_bytes) }
    }

    /// Appends bytes that were read from the connection.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The memory taken by the buffers.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.capacity() + self.body.capacity()
    }

    /// True if no byte of a further message was received.
    pub fn is_between_messages(&self) -> bool {
        self.buffer.is_empty() && self.head.is_none()
    }

    /// The head of the message whose body is still incomplete.
    pub fn pending_head(&self) -> Option<&H> {
        self.head.as_ref().map(|head| &head.0)
    }

    /// The status code of an incomplete response, if at least its status line was received.
    pub fn pending_status(&self) -> Option<u16> {
        let mut header_slots = [EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut header_slots);
        let _ = response.parse(&self.buffer);
        response.code.filter(|_| self.buffer.contains(&b'\n'))
    }

    /// True if the peer waits for `100 Continue` before it sends the body. It is reported once per message.
    pub fn take_expect_continue(&mut self) -> bool {
        std::mem::take(&mut self.expects_continue) && self.body.is_empty()
    }

    /// The next message, if it was received completely.
    pub fn next_message(&mut self) -> Result<Option<Message<H>>, DecodeError> {
        loop {
            match self.state {
                DecodeState::Head => {
                    if !self.read_head()? {
                        return Ok(None);
                    }
                }
                DecodeState::FixedLength(left) => {
                    let remaining = left - self.take_body_bytes(left);
                    self.state = DecodeState::FixedLength(remaining);
                    return Ok(if remaining == 0 { self.finish_message() } else { None });
                }
                DecodeState::ChunkData(left) => {
                    let remaining = left - self.take_body_bytes(left);
                    self.state = if remaining == 0 {
                        DecodeState::ChunkEnd
                    } else {
                        DecodeState::ChunkData(remaining)
                    };
                    if remaining > 0 {
                        return Ok(None);
                    }
                }
                DecodeState::ChunkSize => match parse_chunk_size(&self.buffer) {
                    Ok(Complete((line, size))) => {
                        if size > (self.max_body_bytes - self.body.len()) as u64 {
                            return Err(DecodeError::BodyTooBig);
                        }
                        self.buffer.drain(..line);
                        self.state = if size == 0 {
                            DecodeState::Trailer
                        } else {
                            DecodeState::ChunkData(size as usize)
                        };
                    }
                    Ok(Partial) if self.buffer.len() < MAX_CHUNK_LINE_BYTES => return Ok(None),
                    _ => return Err(DecodeError::Malformed),
                },
                DecodeState::ChunkEnd => {
                    if !b"\r\n".starts_with(&self.buffer[..self.buffer.len().min(2)]) {
                        return Err(DecodeError::Malformed);
                    }
                    if self.buffer.len() < 2 {
                        return Ok(None);
                    }
                    self.buffer.drain(..2);
                    self.state = DecodeState::ChunkSize;
                }
                DecodeState::Trailer => {
                    let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') else {
                        let too_long = self.buffer.len() > MAX_HEAD_BYTES;
                        return if too_long { Err(DecodeError::HeadTooBig) } else { Ok(None) };
                    };
                    let line: Vec<u8> = self.buffer.drain(..=end).collect();
                    if line.trim_ascii().is_empty() {
                        return Ok(self.finish_message());
                    }
                }
                DecodeState::UntilClose => {
                    if self.body.len() + self.buffer.len() > self.max_body_bytes {
                        return Err(DecodeError::BodyTooBig);
                    }
                    self.take_body_bytes(usize::MAX);
                    return Ok(None);
                }
            }
        }
    }

    /// Handles the end of the stream, which completes a body that is delimited by it.
    pub fn end_of_stream(&mut self) -> Option<Message<H>> {
        if self.state == DecodeState::UntilClose { self.finish_message() } else { None }
    }

    /// Moves up to `max_bytes` from the buffer to the body and returns how many were moved.
    fn take_body_bytes(&mut self, max_bytes: usize) -> usize {
        let count = self.buffer.len().min(max_bytes);
        self.body.extend(self.buffer.drain(..count));
        count
    }

    /// Returns the message that was read and resets the decoder for the next one.
    fn finish_message(&mut self) -> Option<Message<H>> {
        let (head, keep_alive) = self.head.take()?;
        self.state = DecodeState::Head;
        (self.scanned_bytes, self.expects_continue) = (0, false);
        if self.buffer.is_empty() {
            // An idle connection must not take up memory.
            self.buffer = Vec::new();
        }
        Some(Message { head, body: std::mem::take(&mut self.body), keep_alive })
    }

    /// Parses the start line and headers. True if they are complete.
    fn read_head(&mut self) -> Result<bool, DecodeError> {
        // An incomplete head is parsed again only after a line break: parsing for each byte that arrives
        // alone would take quadratic time.
        if self.buffer.is_empty()
            || (self.scanned_bytes > 0 && !self.buffer[self.scanned_bytes..].contains(&b'\n'))
        {
            self.scanned_bytes = self.buffer.len();
            return if self.scanned_bytes > MAX_HEAD_BYTES {
                Err(DecodeError::HeadTooBig)
            } else {
                Ok(false)
            };
        }
        let mut header_slots = [EMPTY_HEADER; MAX_HEADERS];
        let (status, version, start, headers);
        if self.reads_responses {
            let mut response = httparse::Response::new(&mut header_slots);
            status = response.parse(&self.buffer);
            (version, start) = (response.version, StartLine::Response { status: response.code.unwrap_or(0) });
            headers = Headers(response.headers);
        } else {
            let mut request = httparse::Request::new(&mut header_slots);
            status = request.parse(&self.buffer);
            let (method, target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
            (version, start) = (request.version, StartLine::Request { method, target });
            headers = Headers(request.headers);
        }
        let head_bytes = match status {
            Ok(Complete(head_bytes)) if head_bytes <= MAX_HEAD_BYTES => head_bytes,
            Ok(Partial) if self.buffer.len() <= MAX_HEAD_BYTES => {
                self.scanned_bytes = self.buffer.len();
                return Ok(false);
            }
            Ok(_) | Err(Error::TooManyHeaders) => return Err(DecodeError::HeadTooBig),
            Err(_) => return Err(DecodeError::Malformed),
        };
        let body_state = body_state(&start, &headers, self.max_body_bytes)?;
        let is_http_1_1 = version == Some(1);
        let keep_alive = if is_http_1_1 {
            !headers.contains_token("Connection", "close")
        } else {
            headers.contains_token("Connection", "keep-alive")
        };
        self.expects_continue =
            is_http_1_1 && !self.reads_responses && headers.contains_token("Expect", "100-continue");
        // The final response follows an interim one.
        let is_interim = matches!(start, StartLine::Response { status: 100..200 });
        if !is_interim {
            self.head =
                Some((H::decode(&start, &headers), keep_alive && body_state != DecodeState::UntilClose));
            self.state = body_state;
        }
        self.buffer.drain(..head_bytes);
        self.scanned_bytes = 0;
        Ok(true)
    }
}

/// How the body is delimited (RFC 9112, section 6.3).
fn body_state(
    start: &StartLine, headers: &Headers, max_body_bytes: usize,
) -> Result<DecodeState, DecodeError> {
    let mut lengths = headers.values("Content-Length");
    let length = lengths.next();
    let transfer_coding = headers.values("Transfer-Encoding").next();
    // Two lengths, or a length and a transfer coding, allow request smuggling.
    if lengths.next().is_some() || (length.is_some() && transfer_coding.is_some()) {
        return Err(DecodeError::Malformed);
    }
    if matches!(start, StartLine::Response { status: 100..200 | 204 | 304 }) {
        return Ok(DecodeState::FixedLength(0));
    }
    if let Some(coding) = transfer_coding {
        let is_chunked = coding.eq_ignore_ascii_case(b"chunked");
        return if is_chunked { Ok(DecodeState::ChunkSize) } else { Err(DecodeError::UnknownCoding) };
    }
    let Some(length) = length else {
        let is_response = matches!(start, StartLine::Response { .. });
        return Ok(if is_response { DecodeState::UntilClose } else { DecodeState::FixedLength(0) });
    };
    if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
        return Err(DecodeError::Malformed);
    }
    // A number that does not fit an integer is above any limit.
    let length =
        std::str::from_utf8(length).ok().and_then(|digits| digits.parse().ok()).unwrap_or(usize::MAX);
    if length > max_body_bytes { Err(DecodeError::BodyTooBig) } else { Ok(DecodeState::FixedLength(length)) }
}

/// Appends a response without a body; `close` adds `Connection: close`.
pub fn encode_empty_response(out: &mut Vec<u8>, status: u16, headers: &[(&str, String)], close: bool) {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Error",
    };
    out.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\n").as_bytes());
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
}

/// Decodes a duration to seconds. The protocol writes a number and a unit: `m` for milliseconds, `u` for
/// microseconds.
pub fn decode_duration(text: &str) -> Option<f64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let units_per_second = match unit {
        "m" => 1e3,
        "u" => 1e6,
        _ => return None,
    };
    decode_number(number).map(|number| number / units_per_second)
}

/// Decodes a number without sign or exponent. Larger ones than any sensible duration or rate are invalid.
pub fn decode_number(text: &str) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|number| is_plain && *number < 1e12)
}

#[cfg(test)]
mod tests;
