//! HTTP/1.1 framing as a state machine: bytes go in, messages come out. It knows no socket and no peer.

use httparse::Status::{Complete, Partial};
use httparse::{EMPTY_HEADER, Error, Header, parse_chunk_size};

/// The protocol's limit for the body of a webhook or call.
pub const MOST_BODY: usize = 64 * 1024;
/// Start line and header lines of one message; common servers allow 8 to 16 KiB.
pub const MOST_HEAD: usize = 16 * 1024;
/// Header lines of one message; common servers allow about a hundred.
const MOST_LINES: usize = 96;
/// A chunk's size with its extensions.
const MOST_CHUNK_LINE: usize = 1024;

/// Why a message cannot be read; its connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Malformed,
    BodyTooBig,
    HeadTooBig,
    UnknownCoding,
}

impl Fault {
    pub fn status(self) -> u16 {
        match self {
            Fault::Malformed => 400,
            Fault::BodyTooBig => 413,
            Fault::HeadTooBig => 431,
            Fault::UnknownCoding => 501,
        }
    }
}

/// The first line of a message.
pub enum Start<'a> {
    Request { method: &'a str, target: &'a str },
    Answer { status: u16 },
}

/// The header lines of a message.
pub struct Fields<'a>(&'a [Header<'a>]);

impl<'a> Fields<'a> {
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
pub trait Head: Sized {
    fn decode(start: &Start, fields: &Fields) -> Self;
}

/// The head of an answer of which only the status counts.
pub struct Status(pub u16);

impl Head for Status {
    fn decode(start: &Start, _: &Fields) -> Self {
        Status(if let Start::Answer { status } = start { *status } else { 0 })
    }
}

#[derive(Debug)]
pub struct Message<H> {
    pub head: H,
    pub body: Vec<u8>,
    /// The connection serves further messages.
    pub keep: bool,
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

impl<H: Head> Decoder<H> {
    pub fn requests(most_body: usize) -> Self {
        let (buf, body) = (Vec::new(), Vec::new());
        let framing = Framing::Head;
        Decoder { answers: false, most_body, buf, seen: 0, framing, head: None, body, waits: false }
    }

    pub fn answers(most_body: usize) -> Self {
        Decoder { answers: true, ..Self::requests(most_body) }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// What the buffers take up.
    pub fn held(&self) -> usize {
        self.buf.capacity() + self.body.capacity()
    }

    /// No byte of a further message has come.
    pub fn is_clear(&self) -> bool {
        self.buf.is_empty() && self.head.is_none()
    }

    /// The head of a message whose body is still coming.
    pub fn head(&self) -> Option<&H> {
        self.head.as_ref().map(|h| &h.0)
    }

    /// The status of an answer of which the first line at least has come.
    pub fn first_line(&self) -> Option<u16> {
        let mut lines = [EMPTY_HEADER; MOST_LINES];
        let mut answer = httparse::Response::new(&mut lines);
        let _ = answer.parse(&self.buf);
        answer.code.filter(|_| self.buf.contains(&b'\n'))
    }

    /// The peer waits for leave to send the body; true once a message.
    pub fn waits_for_leave(&mut self) -> bool {
        std::mem::take(&mut self.waits) && self.body.is_empty()
    }

    /// The next message, if all of it has come.
    pub fn message(&mut self) -> Result<Option<Message<H>>, Fault> {
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
                            return Err(Fault::BodyTooBig);
                        }
                        self.buf.drain(..line);
                        self.framing =
                            if size == 0 { Framing::Trailer } else { Framing::Chunk(size as usize) };
                    }
                    Ok(Partial) if self.buf.len() < MOST_CHUNK_LINE => return Ok(None),
                    _ => return Err(Fault::Malformed),
                },
                Framing::ChunkEnd => {
                    if !b"\r\n".starts_with(&self.buf[..self.buf.len().min(2)]) {
                        return Err(Fault::Malformed);
                    }
                    if self.buf.len() < 2 {
                        return Ok(None);
                    }
                    self.buf.drain(..2);
                    self.framing = Framing::ChunkSize;
                }
                Framing::Trailer => {
                    let Some(end) = self.buf.iter().position(|b| *b == b'\n') else {
                        let most = self.buf.len() > MOST_HEAD;
                        return if most { Err(Fault::HeadTooBig) } else { Ok(None) };
                    };
                    let line: Vec<u8> = self.buf.drain(..=end).collect();
                    if line.trim_ascii().is_empty() {
                        return Ok(self.finish());
                    }
                }
                Framing::UntilClose => {
                    if self.body.len() + self.buf.len() > self.most_body {
                        return Err(Fault::BodyTooBig);
                    }
                    self.move_body(usize::MAX);
                    return Ok(None);
                }
            }
        }
    }

    /// The peer has ended its sending: a body that runs until then is whole.
    pub fn ended(&mut self) -> Option<Message<H>> {
        if self.framing == Framing::UntilClose { self.finish() } else { None }
    }

    fn move_body(&mut self, most: usize) -> usize {
        let count = self.buf.len().min(most);
        self.body.extend(self.buf.drain(..count));
        count
    }

    fn finish(&mut self) -> Option<Message<H>> {
        let (head, keep) = self.head.take()?;
        self.framing = Framing::Head;
        (self.seen, self.waits) = (0, false);
        if self.buf.is_empty() {
            // Of a connection that waits, nothing is kept.
            self.buf = Vec::new();
        }
        Some(Message { head, body: std::mem::take(&mut self.body), keep })
    }

    /// True when the head is there and its framing is known.
    fn read_head(&mut self) -> Result<bool, Fault> {
        // A head is looked at again only when a line has ended: bytewise feeding must not cost its square.
        if self.buf.is_empty() || (self.seen > 0 && !self.buf[self.seen..].contains(&b'\n')) {
            self.seen = self.buf.len();
            return if self.seen > MOST_HEAD { Err(Fault::HeadTooBig) } else { Ok(false) };
        }
        let mut lines = [EMPTY_HEADER; MOST_LINES];
        let (status, version, start, fields);
        if self.answers {
            let mut answer = httparse::Response::new(&mut lines);
            status = answer.parse(&self.buf);
            (version, start) = (answer.version, Start::Answer { status: answer.code.unwrap_or(0) });
            fields = Fields(answer.headers);
        } else {
            let mut request = httparse::Request::new(&mut lines);
            status = request.parse(&self.buf);
            let (method, target) = (request.method.unwrap_or(""), request.path.unwrap_or(""));
            (version, start) = (request.version, Start::Request { method, target });
            fields = Fields(request.headers);
        }
        let size = match status {
            Ok(Complete(size)) if size <= MOST_HEAD => size,
            Ok(Partial) if self.buf.len() <= MOST_HEAD => {
                self.seen = self.buf.len();
                return Ok(false);
            }
            Ok(_) | Err(Error::TooManyHeaders) => return Err(Fault::HeadTooBig),
            Err(_) => return Err(Fault::Malformed),
        };
        let framing = framing(&start, &fields, self.most_body)?;
        let modern = version == Some(1);
        let keep = if modern {
            !fields.lists("Connection", "close")
        } else {
            fields.lists("Connection", "keep-alive")
        };
        self.waits = modern && !self.answers && fields.lists("Expect", "100-continue");
        // An interim answer: the real one follows.
        let interim = matches!(start, Start::Answer { status: 100..200 });
        if !interim {
            self.head = Some((H::decode(&start, &fields), keep && framing != Framing::UntilClose));
            self.framing = framing;
        }
        self.buf.drain(..size);
        self.seen = 0;
        Ok(true)
    }
}

/// How the body is delimited (RFC 9112, 6.3).
fn framing(start: &Start, fields: &Fields, most_body: usize) -> Result<Framing, Fault> {
    let mut lengths = fields.all("Content-Length");
    let length = lengths.next();
    let coded = fields.all("Transfer-Encoding").next();
    // Two lengths, or a length and a coding, are how one request is smuggled in another.
    if lengths.next().is_some() || (length.is_some() && coded.is_some()) {
        return Err(Fault::Malformed);
    }
    if matches!(start, Start::Answer { status: 100..200 | 204 | 304 }) {
        return Ok(Framing::Length(0));
    }
    if let Some(coding) = coded {
        let plain = coding.eq_ignore_ascii_case(b"chunked");
        return if plain { Ok(Framing::ChunkSize) } else { Err(Fault::UnknownCoding) };
    }
    let Some(length) = length else {
        let answer = matches!(start, Start::Answer { .. });
        return Ok(if answer { Framing::UntilClose } else { Framing::Length(0) });
    };
    if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
        return Err(Fault::Malformed);
    }
    // Digits that do not fit are a length beyond any limit.
    let length = std::str::from_utf8(length).ok().and_then(|l| l.parse().ok()).unwrap_or(usize::MAX);
    if length > most_body { Err(Fault::BodyTooBig) } else { Ok(Framing::Length(length)) }
}

/// Appends an answer without a body.
pub fn encode_answer(out: &mut Vec<u8>, status: u16, fields: &[(&str, String)], close: bool) {
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
pub fn decode_time(text: &str) -> Option<f64> {
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
mod tests {
    use super::*;

    /// The first line and one field, as text.
    #[derive(Debug)]
    struct Seen(String);

    impl Head for Seen {
        fn decode(start: &Start, fields: &Fields) -> Self {
            let line = match start {
                Start::Request { method, target } => format!("{method} {target}"),
                Start::Answer { status } => status.to_string(),
            };
            Seen(format!("{line} {}", fields.get("x-a").unwrap_or("-")))
        }
    }

    /// All that comes out of `bytes`, fed in pieces of `step`.
    fn read(answers: bool, bytes: &[u8], step: usize) -> Vec<String> {
        let mut decoder =
            if answers { Decoder::<Seen>::answers(MOST_BODY) } else { Decoder::requests(MOST_BODY) };
        let mut out = Vec::new();
        for piece in bytes.chunks(step) {
            decoder.feed(piece);
            loop {
                match decoder.message() {
                    Ok(Some(m)) => {
                        let body = String::from_utf8_lossy(&m.body).into_owned();
                        out.push(format!("{} [{body}] {}", m.head.0, if m.keep { "keep" } else { "close" }));
                    }
                    Ok(None) => break,
                    Err(fault) => {
                        out.push(format!("{fault:?}"));
                        return out;
                    }
                }
            }
        }
        out.extend(decoder.ended().map(|m| format!("{} [{}] ended", m.head.0, m.body.len())));
        out
    }

    #[test]
    fn messages_come_out_the_same_however_their_bytes_come_in() {
        let get = "GET /r HTTP/1.1\r\n";
        let ok = "HTTP/1.1 200 OK\r\n";
        let cases: [(bool, String, &[&str]); 36] = [
            (false, format!("{get}\r\n"), &["GET /r - [] keep"]),
            (false, format!("\r\n{get}X-A: b \r\n\r\n"), &["GET /r b [] keep"]),
            (false, format!("{get}Connection: x, Close\r\n\r\n"), &["GET /r - [] close"]),
            (false, "GET /r HTTP/1.0\r\n\r\n".into(), &["GET /r - [] close"]),
            (false, "GET /r HTTP/1.0\r\nconnection: keep-alive\r\n\r\n".into(), &["GET /r - [] keep"]),
            (
                false,
                format!("POST /p HTTP/1.1\r\ncontent-length: 3\r\n\r\nabc{get}\r\n"),
                &["POST /p - [abc] keep", "GET /r - [] keep"],
            ),
            (
                false,
                format!(
                    "{get}Transfer-Encoding: Chunked\r\n\r\n3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nT: u\r\n\r\n{get}\r\n"
                ),
                &["GET /r - [abcd] keep", "GET /r - [] keep"],
            ),
            (false, format!("{get}Transfer-Encoding: chunked\r\n\r\n3\r\nabcd"), &["Malformed"]),
            (false, format!("{get}Transfer-Encoding: chunked\r\n\r\nxyz\r\n"), &["Malformed"]),
            (false, format!("{get}Transfer-Encoding: gzip, chunked\r\n\r\n"), &["UnknownCoding"]),
            (false, format!("{get}Content-Length: 1\r\nContent-Length: 1\r\n\r\n"), &["Malformed"]),
            (false, format!("{get}Content-Length: 1, 1\r\n\r\n"), &["Malformed"]),
            (false, format!("{get}Content-Length: 65537\r\n\r\n"), &["BodyTooBig"]),
            (false, "\u{1}\u{2}\r\n\r\n".into(), &["Malformed"]),
            (false, format!("{get}X-A: {}\r\n\r\n", "b".repeat(MOST_HEAD)), &["HeadTooBig"]),
            (true, format!("{ok}Content-Length: 2\r\n\r\nhi"), &["200 - [hi] keep"]),
            (true, format!("{ok}\r\nhi"), &["200 - [2] ended"]),
            (
                true,
                "HTTP/1.1 204 No\r\n\r\nHTTP/1.1 503 No\r\nX-A: 1\r\nContent-Length: 0\r\n\r\n".into(),
                &["204 - [] keep", "503 1 [] keep"],
            ),
            (
                true,
                format!("HTTP/1.1 103 Hints\r\nX-A: 1\r\n\r\n{ok}Content-Length: 0\r\n\r\n"),
                &["200 - [] keep"],
            ),
            (true, format!("{ok}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"), &["200 - [a] keep"]),
            (true, format!("{ok}Content-Length: 5\r\n\r\nhi"), &[]),
            (true, "SSH-2.0-x\r\n\r\n".into(), &["Malformed"]),
            // Spoilt: noise, heads that cannot be read or never end, lengths that do not fit, a body without end.
            (true, "\u{7f}\u{3}x".into(), &["Malformed"]),
            (true, format!("{ok}\u{1}: 2\r\n\r\n"), &["Malformed"]),
            (true, format!("{ok}X-A\r\n\r\n"), &["Malformed"]),
            (true, format!("{ok}{}", "X-A: b\r\n".repeat(MOST_HEAD / 8 + 1)), &["HeadTooBig"]),
            (true, format!("{ok}X-A: {}", "b".repeat(MOST_HEAD)), &["HeadTooBig"]),
            (true, format!("{ok}Content-Length: 1\r\n\r\nhi"), &["200 - [h] keep", "Malformed"]),
            (true, format!("{ok}Content-Length: -2\r\n\r\nhi"), &["Malformed"]),
            (true, format!("{ok}Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi"), &["Malformed"]),
            (true, format!("{ok}Content-Length: 3221225472\r\n\r\nhi"), &["BodyTooBig"]),
            (true, format!("{ok}\r\n{}", "x".repeat(MOST_BODY + 1)), &["BodyTooBig"]),
            (true, format!("{ok}Transfer-Encoding: chunked\r\n\r\nC0000000\r\nhi"), &["BodyTooBig"]),
            // Good, with more than belongs to them.
            (true, format!("{ok}Content-Length: 0\r\n\r\n").repeat(2), &["200 - [] keep", "200 - [] keep"]),
            (true, format!("{ok}Content-Length: 0\r\n\r\n\u{7f}"), &["200 - [] keep", "Malformed"]),
            (
                true,
                format!(
                    "HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 102 On\r\nX-A: 1\r\n\r\n{ok}Content-Length: 1\r\n\r\na"
                ),
                &["200 - [a] keep"],
            ),
        ];
        for (answers, bytes, wanted) in cases {
            for step in [1, 2, 7, usize::MAX] {
                let name = &bytes[..bytes.len().min(90)];
                assert_eq!(read(answers, bytes.as_bytes(), step), wanted, "in pieces of {step}: {name:?}");
            }
        }
    }

    #[test]
    fn the_first_line_of_an_unfinished_answer_tells_its_status() {
        for (bytes, status) in [
            ("", None),
            ("HTTP/1.1 20", None),
            ("HTTP/1.1 200 OK", None),
            ("HTTP/1.1 200 OK\r\n", Some(200)),
            ("HTTP/1.1 503 No\r\nRetry-Af", Some(503)),
            ("garbage", None),
        ] {
            let mut decoder = Decoder::<Seen>::answers(MOST_BODY);
            decoder.feed(bytes.as_bytes());
            assert_eq!(decoder.first_line(), status, "{bytes:?}");
        }
    }

    #[test]
    fn times_need_a_number_and_a_unit() {
        for (text, time) in [
            ("480m", Some(0.48)),
            ("1500u", Some(0.0015)),
            ("0.5m", Some(0.0005)),
            ("", None),
            ("m", None),
            ("5", None),
            ("5s", None),
            ("-5m", None),
            ("1e3m", None),
            ("nanm", None),
            ("infm", None),
            ("9999999999999999m", None),
            ("5é", None),
        ] {
            assert_eq!(decode_time(text), time, "{text}");
        }
    }
}
