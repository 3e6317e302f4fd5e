//! HTTP/1.1 messages with a known length, as the stand-ins read and write them.

/// Header lines of one message at most.
const MOST_HEADERS: usize = 32;

/// Bytes that are no HTTP message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

/// A request as it came.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub target: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The first request in a buffer, which is taken out of it; nothing where it has not come whole.
    pub fn take(buffer: &mut Vec<u8>) -> Result<Option<Request>, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let head = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(head)) => head,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Malformed),
        };
        let length = content_length(parsed.headers)?;
        if buffer.len() < head + length {
            return Ok(None);
        }
        let request = Request {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            headers: parsed.headers.iter().map(owned).collect(),
            body: buffer[head..head + length].to_vec(),
        };
        buffer.drain(..head + length);
        Ok(Some(request))
    }
}

/// The status of the first answer in a buffer, which is taken out of it; nothing where it has not come whole.
pub fn take_status(buffer: &mut Vec<u8>) -> Result<Option<u16>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let head = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Malformed),
    };
    let length = content_length(parsed.headers)?;
    if buffer.len() < head + length {
        return Ok(None);
    }
    let status = parsed.code.ok_or(Malformed)?;
    buffer.drain(..head + length);
    Ok(Some(status))
}

/// An answer with a body.
pub fn answer(status: u16, extra: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} -\r\n{extra}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn content_length(headers: &[httparse::Header]) -> Result<usize, Malformed> {
    let Some(line) = headers.iter().find(|h| h.name.eq_ignore_ascii_case("content-length")) else {
        return Ok(0);
    };
    let text = std::str::from_utf8(line.value).map_err(|_| Malformed)?;
    text.trim().parse().map_err(|_| Malformed)
}

fn owned(header: &httparse::Header) -> (String, String) {
    (header.name.to_ascii_lowercase(), String::from_utf8_lossy(header.value).trim().to_owned())
}
