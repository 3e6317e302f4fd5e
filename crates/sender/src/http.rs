//! HTTP/1.1 framing as a state machine: bytes go in, messages come out. It knows no socket and no peer.

use httparse::Status::{Complete, Partial};
use httparse::{EMPTY_HEADER, Error, Header, parse_chunk_size};

/// The protocol's limit for the body of a webhook or call.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Start line and header lines of one message; common servers allow 8 to 16 KiB.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Header lines of one message; common servers allow about a hundred.
const MOST_LINES: usize = 96;
/// A chunk's size with its extensions.
const MOST_CHUNK_LINE: usize = 1024;

/// Why a message cannot be read; its connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// It is not HTTP, or ambiguous.
    Malformed,
    /// The body is longer than allowed.
    BodyTooBig,
    /// The start line and header lines are longer, or more, than allowed.
    HeadTooBig,
    /// A transfer coding other than `chunked`.
    UnknownCoding,
}

impl DecodeError {
    /// The status that tells a client of it.
    pub fn status(self) -> u16 {
        match self {
            DecodeError::Malformed => 400,
            DecodeError::BodyTooBig => 413,
            DecodeError::HeadTooBig => 431,
            DecodeError::UnknownCoding => 501,
        }
    }
}

/// The first line of a message.
pub enum StartLine<'a> {
    /// Of a request: its method and its target.
    Request { method: &'a str, target: &'a str },
    /// Of an answer: its status.
    Response { status: u16 },
}

/// The header lines of a message.
pub struct Headers<'a>(&'a [Header<'a>]);

impl<'a> Headers<'a> {
    fn all(&self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.0.iter().filter(move |h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value.trim_ascii())
    }

    /// The first line of that name, where its value is text.
    pub fn get(&self, name: &'a str) -> Option<&'a str> {
        self.all(name).next().and_then(|v| std::str::from_utf8(v).ok())
    }

    fn lists(&self, name: &'a str, word: &str) -> bool {
        let word = word.as_bytes();
        self.all(name).any(|v| v.split(|b| *b == b',').any(|w| w.trim_ascii().eq_ignore_ascii_case(word)))
    }
}

/// What a peer's module makes of a head: a small typed value, decoded once.
pub trait MessageHead: Sized {
    /// Decodes the first line and the header lines.
    fn decode(start: &StartLine, fields: &Headers) -> Self;
}

/// The head of an answer of which only the status counts.
pub struct StatusHead(pub u16);

impl MessageHead for StatusHead {
    fn decode(start: &StartLine, _: &Headers) -> Self {
        StatusHead(if let StartLine::Response { status } = start { *status } else { 0 })
    }
}

/// A message that has come as a whole.
#[derive(Debug)]
pub struct Message<H> {
    /// What its head was decoded to.
    pub head: H,
    /// Its body, without the framing.
    pub body: Vec<u8>,
    /// The connection serves further messages.
    pub keep_alive: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Head,
    Length(usize),
    ChunkSize,
    Chunk(usize),
    ChunkEnd,
    Trailer,
    UntilClose,
}

/// Reads the requests, or the answers, that come over one connection.
#[derive(Debug)]
pub struct Decoder<H> {
    answers: bool,
    most_body: usize,
    buf: Vec<u8>,
    /// Bytes of an unfinished head that were looked at in vain.
    seen: usize,
    framing: Framing,
    head: Option<(H, bool)>,
    body: Vec<u8>,
    waits: bool,
}

impl<H: MessageHead> Decoder<H> {
    /// For requests, with bodies of at most so many bytes.
    pub fn for_requests(most_body: usize) -> Self {
        let (buf, body) = (Vec::new(), Vec::new());
        let framing = Framing::Head;
        Decoder { answers: false, most_body, buf, seen: 0, framing, head: None, body, waits: false }
    }

    /// For answers, with bodies of at most so many bytes.
    pub fn for_responses(most_body: usize) -> Self {
        Decoder { answers: true, ..Self::for_requests(most_body) }
    }

    /// Takes in bytes as they were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// What the buffers take up.
    pub fn buffered_bytes(&self) -> usize {
        self.buf.capacity() + self.body.capacity()
    }

    /// No byte of a further message has come.
    pub fn is_between_messages(&self) -> bool {
        self.buf.is_empty() && self.head.is_none()
    }

    /// The head of a message whose body is still coming.
    pub fn pending_head(&self) -> Option<&H> {
        self.head.as_ref().map(|h| &h.0)
    }

    /// The status of an answer of which the first line at least has come.
    pub fn pending_status(&self) -> Option<u16> {
        let mut lines = [EMPTY_HEADER; MOST_LINES];
        let mut answer = httparse::Response::new(&mut lines);
        let _ = answer.parse(&self.buf);
        answer.code.filter(|_| self.buf.contains(&b'\n'))
    }

    /// The peer waits for leave to send the body; true once a message.
    pub fn take_expect_continue(&mut self) -> bool {
        std::mem::take(&mut self.waits) && self.body.is_empty()
    }

    /// The next message, if all of it has come.
    pub fn next_message(&mut self) -> Result<Option<Message<H>>, DecodeError> {
        loop {
            match self.framing {
                Framing::Head => {
                    if !self.read_head()? {
                        return Ok(None);
                    }
                }
                Framing::Length(left) => {
                    let more = left - self.move_body(left);
                    self.framing = Framing::Length(more);
                    return Ok(if more == 0 { self.finish() } else { None });
                }
                Framing::Chunk(left) => {
                    let more = left - self.move_body(left);
                    self.framing = if more == 0 { Framing::ChunkEnd } else { Framing::Chunk(more) };
                    if more > 0 {
                        return Ok(None);
                    }
                }
                Framing::ChunkSize => match parse_chunk_size(&self.buf) {
                    Ok(Complete((line, size))) => {
                        if size > (self.most_body - self.body.len()) as u64 {
                            return Err(DecodeError::BodyTooBig);
                        }
                        self.buf.drain(..line);
                        self.framing =
                            if size == 0 { Framing::Trailer } else { Framing::Chunk(size as usize) };
                    }
                    Ok(Partial) if self.buf.len() < MOST_CHUNK_LINE => return Ok(None),
                    _ => return Err(DecodeError::Malformed),
                },
                Framing::ChunkEnd => {
                    if !b"\r\n".starts_with(&self.buf[..self.buf.len().min(2)]) {
                        return Err(DecodeError::Malformed);
                    }
                    if self.buf.len() < 2 {
                        return Ok(None);
                    }
                    self.buf.drain(..2);
                    self.framing = Framing::ChunkSize;
                }
                Framing::Trailer => {
                    let Some(end) = self.buf.iter().position(|b| *b == b'\n') else {
                        let most = self.buf.len() > MAX_HEAD_BYTES;
                        return if most { Err(DecodeError::HeadTooBig) } else { Ok(None) };
                    };
                    let line: Vec<u8> = self.buf.drain(..=end).collect();
                    if line.trim_ascii().is_empty() {
                        return Ok(self.finish());
                    }
                }
                Framing::UntilClose => {
                    if self.body.len() + self.buf.len() > self.most_body {
                        return Err(DecodeError::BodyTooBig);
                    }
                    self.move_body(usize::MAX);
                    return Ok(None);
                }
            }
        }
    }

    /// The peer has ended its sending: a body that runs until then is whole.
    pub fn end_of_stream(&mut self) -> Option<Message<H>> {
        if self.framing == Framing::UntilClose { self.finish() } else { None }
    }

    fn move_body(&mut self, most: usize) -> usize {
        let count = self.buf.len().min(most);
        self.body.extend(self.buf.drain(..count));
        count
    }

    fn finish(&mut self) -> Option<Message<H>> {
        let (head, keep_alive) = self.head.take()?;
        self.framing = Framing::Head;
        (self.seen, self.waits) = (0, false);
        if self.buf.is_empty() {
            // Of a connection that waits, nothing is kept.
            self.buf = Vec::new();
        }
        Some(Message { head, body: std::mem::take(&mut self.body), keep_alive })
    }

    /// True when the head is there and its framing is known.
    fn read_head(&mut self) -> Result<bool, DecodeError> {
        // A head is looked at again only when a line has ended: bytewise feeding must not cost its square.
        if self.buf.is_empty() || (self.seen > 0 && !self.buf[self.seen..].contains(&b'\n')) {
            self.seen = self.buf.len();
            return if self.seen > MAX_HEAD_BYTES { Err(DecodeError::HeadTooBig) } else { Ok(false) };
        }
        let mut lines = [EMPTY_HEADER; MOST_LINES];
        let (status, version, start, fields);
        if self.answers {
            let mut answer = httparse::Response::new(&mut lines);
            status = answer.parse(&self.buf);
            (version, start) = (answer.version, StartLine::Response { status: answer.code.unwrap_or(0) });
            fields = Headers(answer.headers);
        } else {
            let mut request = httparse::Request::new(&mut lines);
            status = request.parse(&self.buf);
            let (method, target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
            (version, start) = (request.version, StartLine::Request { method, target });
            fields = Headers(request.headers);
        }
        let size = match status {
            Ok(Complete(size)) if size <= MAX_HEAD_BYTES => size,
            Ok(Partial) if self.buf.len() <= MAX_HEAD_BYTES => {
                self.seen = self.buf.len();
                return Ok(false);
            }
            Ok(_) | Err(Error::TooManyHeaders) => return Err(DecodeError::HeadTooBig),
            Err(_) => return Err(DecodeError::Malformed),
        };
        let framing = framing(&start, &fields, self.most_body)?;
        let modern = version == Some(1);
        let keep_alive = if modern {
            !fields.lists("Connection", "close")
        } else {
            fields.lists("Connection", "keep-alive")
        };
        self.waits = modern && !self.answers && fields.lists("Expect", "100-continue");
        // An interim answer: the real one follows.
        let interim = matches!(start, StartLine::Response { status: 100..200 });
        if !interim {
            self.head = Some((H::decode(&start, &fields), keep_alive && framing != Framing::UntilClose));
            self.framing = framing;
        }
        self.buf.drain(..size);
        self.seen = 0;
        Ok(true)
    }
}

/// How the body is delimited (RFC 9112, 6.3).
fn framing(start: &StartLine, fields: &Headers, most_body: usize) -> Result<Framing, DecodeError> {
    let mut lengths = fields.all("Content-Length");
    let length = lengths.next();
    let coded = fields.all("Transfer-Encoding").next();
    // Two lengths, or a length and a coding, are how one request is smuggled in another.
    if lengths.next().is_some() || (length.is_some() && coded.is_some()) {
        return Err(DecodeError::Malformed);
    }
    if matches!(start, StartLine::Response { status: 100..200 | 204 | 304 }) {
        return Ok(Framing::Length(0));
    }
    if let Some(coding) = coded {
        let plain = coding.eq_ignore_ascii_case(b"chunked");
        return if plain { Ok(Framing::ChunkSize) } else { Err(DecodeError::UnknownCoding) };
    }
    let Some(length) = length else {
        let answer = matches!(start, StartLine::Response { .. });
        return Ok(if answer { Framing::UntilClose } else { Framing::Length(0) });
    };
    if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
        return Err(DecodeError::Malformed);
    }
    // Digits that do not fit are a length beyond any limit.
    let length = std::str::from_utf8(length).ok().and_then(|l| l.parse().ok()).unwrap_or(usize::MAX);
    if length > most_body { Err(DecodeError::BodyTooBig) } else { Ok(Framing::Length(length)) }
}

/// Appends an answer without a body.
pub fn encode_empty_response(out: &mut Vec<u8>, status: u16, fields: &[(&str, String)], close: bool) {
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
    for (name, value) in fields {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(if close { b"Connection: close\r\n\r\n" } else { b"\r\n" });
}

/// A time as the protocol writes it: a number and a unit, milliseconds or microseconds.
pub fn decode_duration(text: &str) -> Option<f64> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let per_second = match unit {
        "m" => 1e3,
        "u" => 1e6,
        _ => return None,
    };
    decode_number(number).map(|n| n / per_second)
}

/// A plain number without sign or exponent, below any time or rate that makes sense.
pub fn decode_number(text: &str) -> Option<f64> {
    let plain = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse().ok().filter(|n| plain && *n < 1e12)
}

#[cfg(test)]
mod tests;
