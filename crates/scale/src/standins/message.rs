//! Reads and writes HTTP/1.1 messages whose length is known, as the stand-ins exchange them with senders.

/// Header lines of one message at most.
const MAX_HEADERS: usize = 32;

/// The bytes are not an HTTP message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

/// A complete request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// The method, such as POST.
    pub method: String,
    /// The path with its query.
    pub target: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body, empty where there is none.
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(header_name, _)| header_name == name).map(|(_, value)| value.as_str())
    }

    /// Removes the first request from a buffer; `None` if it has not arrived completely.
    pub fn take(buffer: &mut Vec<u8>) -> Result<Option<Request>, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let head_length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(head_length)) => head_length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Malformed),
        };
        let body_length = content_length(parsed.headers)?;
        if buffer.len() < head_length + body_length {
            return Ok(None);
        }
        let request = Request {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            headers: parsed.headers.iter().map(to_owned_header).collect(),
            body: buffer[head_length..head_length + body_length].to_vec(),
        };
        buffer.drain(..head_length + body_length);
        Ok(Some(request))
    }
}

/// Removes the first response from a buffer and returns its status; `None` if it has not arrived completely.
pub fn take_status(buffer: &mut Vec<u8>) -> Result<Option<u16>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let head_length = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(head_length)) => head_length,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Malformed),
    };
    let body_length = content_length(parsed.headers)?;
    if buffer.len() < head_length + body_length {
        return Ok(None);
    }
    let status = parsed.code.ok_or(Malformed)?;
    buffer.drain(..head_length + body_length);
    Ok(Some(status))
}

/// The bytes of a response. `extra_headers` are whole lines, each with its line end.
pub fn response(status: u16, extra_headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} -\r\n{extra_headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn content_length(headers: &[httparse::Header]) -> Result<usize, Malformed> {
    let Some(header) = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"))
    else {
        return Ok(0);
    };
    let text = std::str::from_utf8(header.value).map_err(|_| Malformed)?;
    text.trim().parse().map_err(|_| Malformed)
}

fn to_owned_header(header: &httparse::Header) -> (String, String) {
    (header.name.to_ascii_lowercase(), String::from_utf8_lossy(header.value).trim().to_owned())
}
