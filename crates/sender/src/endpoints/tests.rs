use super::*;
use crate::http::DecodeError;

fn decode_response(text: &str) -> Result<Option<Message<ResponseHead>>, DecodeError> {
    let mut decoder = Decoder::for_responses(MAX_RESPONSE_BODY_BYTES);
    decoder.feed(text.as_bytes());
    decoder.next_message()
}

#[test]
fn statuses_and_bodies_give_the_results_of_the_attempts() {
    let finished = AttemptResult { outcome: Outcome::Moot(false), is_final: true };
    let (delivered, full): (AttemptResult, fn(f64) -> AttemptResult) =
        (Outcome::Delivered.into(), |retry_after| Outcome::Full(retry_after).into());
    let failed: AttemptResult = Outcome::Failed.into();
    /// Status, header lines, body, ids of the webhooks, their results; `None` for a malformed body.
    type Case<'a> = (&'a str, &'a str, &'a str, &'a [&'a str], Option<Vec<AttemptResult>>);
    let cases: [Case; 15] = [
        ("200 OK", "", "any", &["a"], Some(vec![delivered])),
        ("500 No", "", "", &["a"], Some(vec![failed])),
        ("400 No", "", "", &["a"], Some(vec![failed])),
        ("429 No", "Retry-After: 0.150\r\n", "", &["a"], Some(vec![full(0.15)])),
        ("503 No", "Retry-After: x\r\n", "", &["a"], Some(vec![full(0.0)])),
        ("503 No", "X-Over-Slots: 1\r\n", "", &["a"], Some(vec![Outcome::Moot(true).into()])),
        ("504 No", "", "", &["a"], Some(vec![Outcome::Moot(false).into()])),
        ("410 No", "", "", &["a", "b"], Some(vec![finished, finished])),
        ("413 No", "", "", &["a", "b"], Some(vec![Outcome::Moot(false).into(); 2])),
        ("429 No", "Retry-After: 2\r\n", "", &["a", "b"], Some(vec![full(2.0), full(2.0)])),
        ("200 OK", "", "b later\r\na ok\r\n", &["a", "b"], Some(vec![delivered, full(0.0)])),
        (
            "200 OK",
            "Retry-After: 0.5\r\n",
            "a later\r\nb gone\r\n",
            &["a", "b"],
            Some(vec![full(0.5), finished]),
        ),
        ("200 OK", "", "a exhausted\r\n", &["a", "b"], Some(vec![Outcome::Moot(false).into(), failed])),
        ("200 OK", "", "a what\r\nb ok\r\n", &["a", "b"], None),
        ("200 OK", "", "nothing", &["a", "b"], None),
    ];
    for (status, headers, body, ids, expected) in cases {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        let form = form_of(ids);
        let results = attempt_results(&decode_response(&text).unwrap().unwrap(), form, ids);
        assert_eq!(results, expected, "{text}");
    }
}

#[test]
fn limit_reports_are_read_only_if_complete_and_valid() {
    for (header, limit_report) in [
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
        let text = format!("HTTP/1.1 200 OK\r\n{header}Content-Length: 0\r\n\r\n");
        assert_eq!(decode_response(&text).unwrap().unwrap().head.limit_report, limit_report, "{header}");
    }
}

#[test]
fn a_call_that_is_cut_short_may_have_run_if_written_unless_200_was_received() {
    let connect_failed = Outcome::ConnectFailed;
    for (received, written, count, expected) in [
        ("", false, 1, connect_failed),
        ("", true, 1, Outcome::Reset),
        ("HTTP/1.1 200", true, 1, Outcome::Reset),
        ("HTTP/1.1 200 OK\r\n", true, 1, Outcome::Delivered),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal", true, 1, Outcome::Delivered),
        ("HTTP/1.1 200 OK\r\n\r\nuntil the end", true, 1, Outcome::Delivered),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na ok", true, 2, Outcome::Reset),
        ("HTTP/1.1 200 OK\r\n\r\na ok\r\nb ok\r\n", true, 2, Outcome::Delivered),
        ("HTTP/1.1 503 No\r\n", false, 1, connect_failed),
        // The first line is trusted only if it says 200.
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
        let call = call_of(&["a", "b"][..count], written);
        let mut connection = EndpointConnection::new(call.endpoint.clone());
        connection.decoder.feed(received.as_bytes());
        let _ = connection.decoder.next_message();
        let (results, _) = connection.results_when_cut_short(&call, Outcome::Reset);
        assert_eq!(results, vec![AttemptResult::from(expected); count], "{received:?} {written}");
    }
}

/// The form of a call of these webhooks, if it can have either.
fn form_of(ids: &[&str]) -> CallForm {
    if ids.len() == 1 { CallForm::Single } else { CallForm::Batch }
}

/// A call of these webhooks.
fn call_of(ids: &[&str], written: bool) -> Call {
    Call {
        id: CallId::FIRST,
        endpoint: "e".into(),
        zone: String::new(),
        form: form_of(ids),
        webhooks: ids.iter().map(|id| CalledWebhook::new(1, id.to_string())).collect(),
        decided_at: 0.0,
        give_up_at: 1.0,
        write_deadline: 1.0,
        request: Vec::new(),
        written,
    }
}

// Guards against a webhook that is lost because a response came before its call was written: the response
// cannot be the answer to the call, which never runs.
#[test]
fn a_response_before_the_last_byte_of_the_call_delivers_nothing() {
    for (received, expected) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Outcome::ConnectFailed),
        ("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", Outcome::ConnectFailed),
        ("HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", Outcome::ConnectFailed),
        ("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", Outcome::Full(0.0)),
        ("HTTP/1.1 429 No\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n", Outcome::Full(0.5)),
    ] {
        let mut decoder = EndpointConnection::new("e".into()).decoder;
        decoder.feed(received.as_bytes());
        let response = decoder.next_message().unwrap().unwrap();
        let results = call_of(&["a"], false).results(&response).unwrap();
        assert_eq!(results, [AttemptResult::from(expected)], "{received:?}");
        assert!(!results[0].is_final, "{received:?}");
    }
}

// Guards against a response that ends another call than its own: on a connection that carried calls before,
// only what names the webhooks of a batch tells which call it belongs to.
#[test]
fn a_response_on_a_used_connection_counts_only_if_it_names_its_call() {
    let delivered = AttemptResult::from(Outcome::Delivered);
    let (failed, reset) = (AttemptResult::from(Outcome::Failed), AttemptResult::from(Outcome::Reset));
    let batch = |ids: &[&str]| Call { form: CallForm::Batch, ..call_of(ids, true) };
    let refused = AttemptResult::from(Outcome::Full(0.0));
    // The call, calls before it on the connection, the response's status and body, and its attribution, the
    // first result, and whether the connection can be used again.
    for (call, ended_calls, status, body, attribution, first_result, is_reusable) in [
        (call_of(&["a"], true), 0, 200, "", Attribution::Confirmed, delivered, false),
        (call_of(&["a"], true), 1, 200, "", Attribution::Unconfirmed, reset, false),
        (call_of(&["a"], true), 1, 503, "", Attribution::Unconfirmed, reset, false),
        (batch(&["a"]), 0, 200, "a ok\r\n", Attribution::Confirmed, delivered, true),
        (batch(&["a"]), 1, 200, "a ok\r\n", Attribution::Confirmed, delivered, true),
        (batch(&["a"]), 1, 200, "b ok\r\n", Attribution::Unsolicited, reset, false),
        (batch(&["a"]), 1, 200, "", Attribution::Unconfirmed, reset, false),
        (batch(&["a"]), 1, 200, "a what\r\n", Attribution::Unconfirmed, reset, false),
        (batch(&["a"]), 1, 200, "a ok\r\nb ok\r\n", Attribution::Unconfirmed, reset, false),
        (batch(&["a"]), 1, 503, "", Attribution::Confirmed, refused, false),
        // What a repeat could be answered with ends the use of the connection.
        (batch(&["a"]), 1, 200, "a later\r\n", Attribution::Confirmed, refused, false),
        (batch(&["a"]), 1, 200, "a error\r\n", Attribution::Confirmed, failed, false),
        (batch(&["b", "a"]), 1, 200, "a ok\r\n", Attribution::Confirmed, failed, false),
    ] {
        let mut connection = EndpointConnection::new("e".into());
        connection.ended_calls = ended_calls;
        let text = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let end = connection.evaluate(&call, &decode_response(&text).unwrap().unwrap());
        let name = format!("{:?} after {ended_calls}: {status} {body:?}", call.form);
        assert_eq!((end.attribution, end.is_reusable), (attribution, is_reusable), "{name}");
        assert_eq!(end.results[0], first_result, "{name}");
    }
}
