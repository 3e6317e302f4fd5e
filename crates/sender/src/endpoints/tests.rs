use super::*;
use crate::http::DecodeError;

fn answer(bytes: &str) -> Result<Option<Message<ResponseHead>>, DecodeError> {
    let mut decoder = Decoder::for_responses(MOST_ANSWER);
    decoder.feed(bytes.as_bytes());
    decoder.next_message()
}

#[test]
fn what_answers_mean() {
    let over = AttemptResult { outcome: Outcome::Moot(false), is_final: true };
    let (ok, full): (AttemptResult, fn(f64) -> AttemptResult) =
        (Outcome::Delivered.into(), |wait| Outcome::Full(wait).into());
    let failed: AttemptResult = Outcome::Failed.into();
    /// Status, header lines, body, ids of the webhooks, their endings.
    type Case<'a> = (&'a str, &'a str, &'a str, &'a [&'a str], Option<Vec<AttemptResult>>);
    let cases: [Case; 15] = [
        ("200 OK", "", "any", &["a"], Some(vec![ok])),
        ("500 No", "", "", &["a"], Some(vec![failed])),
        ("400 No", "", "", &["a"], Some(vec![failed])),
        ("429 No", "Retry-After: 0.150\r\n", "", &["a"], Some(vec![full(0.15)])),
        ("503 No", "Retry-After: x\r\n", "", &["a"], Some(vec![full(0.0)])),
        ("503 No", "X-Over-Slots: 1\r\n", "", &["a"], Some(vec![Outcome::Moot(true).into()])),
        ("504 No", "", "", &["a"], Some(vec![Outcome::Moot(false).into()])),
        ("410 No", "", "", &["a", "b"], Some(vec![over, over])),
        ("413 No", "", "", &["a", "b"], Some(vec![Outcome::Moot(false).into(); 2])),
        ("429 No", "Retry-After: 2\r\n", "", &["a", "b"], Some(vec![full(2.0), full(2.0)])),
        ("200 OK", "", "b later\r\na ok\r\n", &["a", "b"], Some(vec![ok, full(0.0)])),
        ("200 OK", "Retry-After: 0.5\r\n", "a later\r\nb gone\r\n", &["a", "b"], Some(vec![full(0.5), over])),
        ("200 OK", "", "a exhausted\r\n", &["a", "b"], Some(vec![Outcome::Moot(false).into(), failed])),
        ("200 OK", "", "a what\r\nb ok\r\n", &["a", "b"], None),
        ("200 OK", "", "nothing", &["a", "b"], None),
    ];
    for (status, fields, body, ids, wanted) in cases {
        let size = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {size}\r\n\r\n{body}");
        let found = attempt_results(&answer(&text).unwrap().unwrap(), ids);
        assert_eq!(found, wanted, "{text}");
    }
}

#[test]
fn reports_are_read_where_they_are_whole() {
    for (field, report) in [
        ("Srv-Load: TEXT x0=0.4, x1=25\r\n", Some((0.4, 25.0))),
        ("Srv-Load: TEXT x1=25,x0=0\r\n", Some((0.0, 25.0))),
        ("Srv-Load: TEXT x0=0.4\r\n", None),
        ("Srv-Load: TEXT x0=nan, x1=2\r\n", None),
        ("Srv-Load: x0=0.4, x1=25\r\n", None),
        ("Srv-Load: TEXT x0=0.4, x1=-25\r\n", None),
        ("Srv-Load: {\"x0\":0.4\r\n", None),
        ("Srv-Load: \u{e9}\u{fffd},=,x0=,x1\r\n", None),
        ("", None),
    ] {
        let text = format!("HTTP/1.1 200 OK\r\n{field}Content-Length: 0\r\n\r\n");
        assert_eq!(answer(&text).unwrap().unwrap().head.limit_report, report, "{field}");
    }
}

#[test]
fn how_a_call_that_is_cut_short_ended() {
    let failed = Outcome::ConnectFailed;
    for (came, written, count, wanted) in [
        ("", false, 1, failed),
        ("", true, 1, Outcome::Reset),
        ("HTTP/1.1 200", true, 1, Outcome::Reset),
        ("HTTP/1.1 200 OK\r\n", true, 1, Outcome::Delivered),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal", true, 1, Outcome::Delivered),
        ("HTTP/1.1 200 OK\r\n\r\nuntil the end", true, 1, Outcome::Delivered),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na ok", true, 2, Outcome::Reset),
        ("HTTP/1.1 200 OK\r\n\r\na ok\r\nb ok\r\n", true, 2, Outcome::Delivered),
        ("HTTP/1.1 503 No\r\n", false, 1, failed),
        // The first line is true only where it says 200.
        ("HTTP/1.1 503 No\r\n", true, 1, Outcome::Reset),
        ("HTTP/1.1 429 No\r\nRetry-After: 1\r\nContent-Length: 9\r\n\r\nhal", true, 1, Outcome::Reset),
        ("HTTP/1.1 410 No\r\n\u{1}: 2\r\n\r\n", true, 1, Outcome::Reset),
        ("HTTP/1.1 200 OK\r\n\u{1}: 2\r\n\r\n", true, 1, Outcome::Delivered),
        ("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n", true, 1, Outcome::Delivered),
        ("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", true, 1, Outcome::Delivered),
        ("HTTP/1.1 500 No\r\nContent-Length: 3000000000\r\n\r\n", true, 1, Outcome::Reset),
        ("HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nX: ", true, 1, Outcome::Delivered),
        ("HTTP/1.1 100 Go\r\n\r\n\u{7f}\u{3}", true, 1, Outcome::Reset),
    ] {
        let webhooks: Vec<_> =
            ["a", "b"][..count].iter().map(|id| CalledWebhook::new(1, id.to_string())).collect();
        let (ep, zone, bytes) = (String::from("e"), String::new(), Vec::new());
        let call = Call {
            endpoint: ep.clone(),
            zone,
            webhooks,
            decided_at: 0.0,
            give_up_at: 1.0,
            write_deadline: 1.0,
            request: bytes,
            written,
        };
        let mut connection = EndpointConnection::new(ep);
        connection.decoder.feed(came.as_bytes());
        let _ = connection.decoder.next_message();
        let (found, _) = connection.results_when_cut_short(&call, Outcome::Reset);
        assert_eq!(found, vec![AttemptResult::from(wanted); count], "{came:?} {written}");
    }
}
