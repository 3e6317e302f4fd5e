use super::*;

/// The start line and the header `X-A` as text.
#[derive(Debug)]
struct TextHead(String);

impl MessageHead for TextHead {
    fn decode(start: &StartLine, headers: &Headers) -> Self {
        let start_line = match start {
            StartLine::Request { method, target } => format!("{method} {target}"),
            StartLine::Response { status } => status.to_string(),
        };
        TextHead(format!("{start_line} {}", headers.get("x-a").unwrap_or("-")))
    }
}

/// The messages and errors decoded from `bytes` when these are fed in chunks of `chunk_bytes`.
fn decode_all(reads_responses: bool, bytes: &[u8], chunk_bytes: usize) -> Vec<String> {
    let mut decoder = if reads_responses {
        Decoder::<TextHead>::for_responses(MAX_BODY_BYTES)
    } else {
        Decoder::for_requests(MAX_BODY_BYTES)
    };
    let mut decoded = Vec::new();
    for chunk in bytes.chunks(chunk_bytes) {
        decoder.feed(chunk);
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => {
                    let body = String::from_utf8_lossy(&message.body).into_owned();
                    decoded.push(format!(
                        "{} [{body}] {}",
                        message.head.0,
                        if message.keep_alive { "keep" } else { "close" }
                    ));
                }
                Ok(None) => break,
                Err(error) => {
                    decoded.push(format!("{error:?}"));
                    return decoded;
                }
            }
        }
    }
    decoded.extend(
        decoder.end_of_stream().map(|message| format!("{} [{}] ended", message.head.0, message.body.len())),
    );
    decoded
}

#[test]
fn decoded_messages_do_not_depend_on_how_the_input_is_split() {
    let get = "GET /r HTTP/1.1\r\n";
    let ok = "HTTP/1.1 200 OK\r\n";
    let cases: [(bool, String, &[&str]); 38] = [
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
        (
            false,
            format!("{get}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            &["Malformed"],
        ),
        (
            true,
            format!("{ok}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"),
            &["Malformed"],
        ),
        (false, format!("{get}Content-Length: 65537\r\n\r\n"), &["BodyTooBig"]),
        (false, "\u{1}\u{2}\r\n\r\n".into(), &["Malformed"]),
        (false, format!("{get}X-A: {}\r\n\r\n", "b".repeat(MAX_HEAD_BYTES)), &["HeadTooBig"]),
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
        // Invalid: noise, heads that cannot be parsed or never end, wrong lengths, a body without end.
        (true, "\u{7f}\u{3}x".into(), &["Malformed"]),
        (true, format!("{ok}\u{1}: 2\r\n\r\n"), &["Malformed"]),
        (true, format!("{ok}X-A\r\n\r\n"), &["Malformed"]),
        (true, format!("{ok}{}", "X-A: b\r\n".repeat(MAX_HEAD_BYTES / 8 + 1)), &["HeadTooBig"]),
        (true, format!("{ok}X-A: {}", "b".repeat(MAX_HEAD_BYTES)), &["HeadTooBig"]),
        (true, format!("{ok}Content-Length: 1\r\n\r\nhi"), &["200 - [h] keep", "Malformed"]),
        (true, format!("{ok}Content-Length: -2\r\n\r\nhi"), &["Malformed"]),
        (true, format!("{ok}Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi"), &["Malformed"]),
        (true, format!("{ok}Content-Length: 3221225472\r\n\r\nhi"), &["BodyTooBig"]),
        (true, format!("{ok}\r\n{}", "x".repeat(MAX_BODY_BYTES + 1)), &["BodyTooBig"]),
        (true, format!("{ok}Transfer-Encoding: chunked\r\n\r\nC0000000\r\nhi"), &["BodyTooBig"]),
        // Valid messages that are followed by more bytes.
        (true, format!("{ok}Content-Length: 0\r\n\r\n").repeat(2), &["200 - [] keep", "200 - [] keep"]),
        (true, format!("{ok}Content-Length: 0\r\n\r\n\u{7f}"), &["200 - [] keep", "Malformed"]),
        (
            true,
            format!("HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 102 On\r\nX-A: 1\r\n\r\n{ok}Content-Length: 1\r\n\r\na"),
            &["200 - [a] keep"],
        ),
    ];
    for (reads_responses, bytes, expected) in cases {
        for chunk_bytes in [1, 2, 7, usize::MAX] {
            let name = &bytes[..bytes.len().min(90)];
            assert_eq!(
                decode_all(reads_responses, bytes.as_bytes(), chunk_bytes),
                expected,
                "in chunks of {chunk_bytes}: {name:?}"
            );
        }
    }
}

#[test]
fn pending_status_is_known_once_the_status_line_is_complete() {
    for (bytes, status) in [
        ("", None),
        ("HTTP/1.1 20", None),
        ("HTTP/1.1 200 OK", None),
        ("HTTP/1.1 200 OK\r\n", Some(200)),
        ("HTTP/1.1 503 No\r\nRetry-Af", Some(503)),
        ("garbage", None),
    ] {
        let mut decoder = Decoder::<TextHead>::for_responses(MAX_BODY_BYTES);
        decoder.feed(bytes.as_bytes());
        assert_eq!(decoder.pending_status(), status, "{bytes:?}");
    }
}

#[test]
fn durations_need_a_number_and_a_unit() {
    for (text, seconds) in [
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
        assert_eq!(decode_duration(text), seconds, "{text}");
    }
}
