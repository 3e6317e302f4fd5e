use super::*;

fn response(status: u16, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn update_response(seq: u64, whole: bool) -> Vec<u8> {
    response(200, &format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[]}}"))
}

/// A change missed by a lost watch counts as received after 6 s where lists are pushed, otherwise 2 s after
/// its wait.
#[test]
fn a_lost_watch_is_detected_before_its_changes_count_as_received() {
    let server = SocketAddr::from(([127, 0, 0, 1], 80));
    for (pulls_list, watch_secs, limit_secs) in [(false, 2.0, 6.0), (true, 20.0, 22.0)] {
        let mut list = ListClient::new(7, pulls_list);
        let (next_request, timeout_secs) = list.next_request(&server);
        assert!(
            String::from_utf8(next_request)
                .unwrap()
                .contains(&format!("since=7&timeout_ms={}", watch_secs * 1e3))
        );
        // The watch is resumed on a new connection at once.
        assert!(
            watch_secs < timeout_secs && timeout_secs < limit_secs - 0.5,
            "{timeout_secs} s for a limit of {limit_secs} s"
        );
        assert!(
            list.connection_lost() && !list.connection_lost(),
            "a second failure leads to a request for the complete list"
        );
        assert!(
            pulls_list || list.next_request(&server).1 < 0.5,
            "an agent is asked again before a drain has to take effect"
        );
    }
}

/// How long a request waits for a change, in seconds, as it tells the server.
fn requested_wait_secs(request: &[u8]) -> f64 {
    let text = std::str::from_utf8(request).unwrap();
    let wait_ms = text.split_once("timeout_ms=").and_then(|(_, rest)| rest.split(' ').next());
    wait_ms.map_or(0.0, |wait_ms| wait_ms.parse::<f64>().unwrap() / 1e3)
}

/// When a change is known that the platform has at `changed_at`, if it takes `answer_secs` to answer each
/// request beside the wait of a watch, and the first `lost_answers` are lost. `None` if that takes more than a
/// minute.
fn change_known_at(changed_at: f64, answer_secs: f64, lost_answers: usize) -> Option<f64> {
    let server = SocketAddr::from(([127, 0, 0, 1], 80));
    let mut list = ListClient::new(1, true);
    let (mut now, mut request_count) = (0.0, 0);
    while now < changed_at + 60.0 {
        request_count += 1;
        let (request, timeout_secs) = list.next_request(&server);
        let wait_ends_at = now + requested_wait_secs(&request);
        let has_change = changed_at <= wait_ends_at;
        let answered_at = if has_change { changed_at.max(now) } else { wait_ends_at } + answer_secs;
        if request_count <= lost_answers || answered_at > now + timeout_secs {
            now += timeout_secs;
            if !list.connection_lost() {
                now += MAX_PULL_PAUSE_SECS;
            }
            continue;
        }
        now = answered_at;
        list.connection_opened();
        list.feed(&update_response(if has_change { 2 } else { 1 }, true)).unwrap();
        if has_change {
            return Some(now);
        }
    }
    None
}

/// Guards against calls to an endpoint that is gone, and to another destination at its address: while the
/// platform took 1.5 s to answer, of the 2 s that it may take, each request for the list was given up before
/// its answer came, without end.
#[test]
fn changes_are_known_in_time_while_the_platform_takes_its_full_time_to_answer() {
    for answer_secs in [0.0, 0.5, 0.85, 0.95, 1.5, 2.0] {
        for tenths in 0..600 {
            let changed_at = f64::from(tenths) / 10.0;
            let known_at = change_known_at(changed_at, answer_secs, 0).unwrap_or(f64::INFINITY);
            assert!(
                known_at - changed_at <= CHANGE_DEADLINE_SECS - LATENCY_MARGIN_SECS,
                "answers take {answer_secs} s: a change at {changed_at} s is known at {known_at} s"
            );
        }
    }
}

/// The changes that a lost watch missed count as received 6 s after the platform had them, or 2 s after the
/// wait of the watch, whichever is later.
#[test]
fn the_changes_of_a_lost_watch_are_known_in_time_if_the_platform_answers_within_a_second() {
    for answer_secs in [0.0, 0.5, 0.95, 1.0] {
        for tenths in 0..200 {
            let changed_at = f64::from(tenths) / 10.0;
            let limit = (changed_at + CHANGE_DEADLINE_SECS).max(PULL_WATCH_MS as f64 / 1e3 + 2.0);
            let known_at = change_known_at(changed_at, answer_secs, 1).unwrap_or(f64::INFINITY);
            assert!(
                known_at <= limit,
                "answers take {answer_secs} s: a change at {changed_at} s is known at {known_at} s"
            );
        }
    }
}

/// Guards against an overload: 100 senders that started together, requested complete lists and repeated a
/// refused request at once kept the list service refusing for as long as they ran.
#[test]
fn the_next_request_depends_on_the_last_response() {
    let cases = [
        ("at the start, changes since the version already known", vec![], None, Some(7)),
        (
            "after a response, changes since its version",
            vec![update_response(9, false)],
            Some(Ok(9)),
            Some(9),
        ),
        (
            "after a refusal, changes since the known version, and not at once",
            vec![response(503, "")],
            Some(Err(ListError::Refused)),
            Some(7),
        ),
        (
            "the same for the other refusal status",
            vec![update_response(8, true), response(429, "later")],
            Some(Err(ListError::Refused)),
            Some(8),
        ),
        (
            "after an invalid response, the complete list",
            vec![response(200, "{")],
            Some(Err(ListError::InvalidResponse)),
            None,
        ),
        (
            "the same after an error status",
            vec![response(500, "")],
            Some(Err(ListError::InvalidResponse)),
            None,
        ),
        (
            "the same if the version decreases",
            vec![update_response(3, false)],
            Some(Err(ListError::InvalidResponse)),
            None,
        ),
        ("a complete list may have any version", vec![update_response(3, true)], Some(Ok(3)), Some(3)),
    ];
    for (name, responses, expected, expected_version) in cases {
        let mut list = ListClient::new(7, true);
        let mut received = None;
        for response in responses {
            received = Some(list.feed(&response).map(|received| received.unwrap().0.version));
        }
        assert_eq!(received, expected, "{name}");
        match expected {
            Some(Err(ListError::Refused)) => list.request_refused(),
            // The first failure resumes the watch on a new connection, the second one discards the known
            // version.
            Some(Err(ListError::InvalidResponse)) => {
                assert_eq!((list.connection_lost(), list.connection_lost()), (true, false), "{name}")
            }
            _ => {}
        }
        assert_eq!(list.known_version(), expected_version, "{name}");
    }
}

/// Senders that are refused together have to spread their retries.
const _: () = assert!(MAX_PULL_PAUSE_SECS >= 1.0);

/// The worst case: the timeout of the request in flight when discovery could be reached again, the pause, and
/// the timeout of the next request.
#[test]
fn changes_after_a_failed_request_arrive_before_their_deadline() {
    let server = SocketAddr::from(([127, 0, 0, 1], 80));
    for (pulls_list, max_pause_secs) in [(false, 0.1), (true, MAX_PULL_PAUSE_SECS)] {
        for fail in [ListClient::request_refused as fn(&mut ListClient), |list| _ = list.connection_lost()] {
            let mut list = ListClient::new(7, pulls_list);
            let watch_timeout = list.next_request(&server).1;
            for failures in 1..5 {
                fail(&mut list);
                let retry_timeout = list.next_request(&server).1;
                let total_secs = retry_timeout + max_pause_secs + retry_timeout;
                assert!(total_secs <= CHANGE_DEADLINE_SECS - 0.5, "{total_secs} s after {failures} failures");
            }
            // After a successful response the next request is a watch again.
            list.feed(&update_response(9, true)).unwrap();
            assert_eq!(list.next_request(&server).1, watch_timeout);
        }
        // Where lists are pushed, this includes a lost watch.
        let mut list = ListClient::new(7, pulls_list);
        let watch_timeout = list.next_request(&server).1;
        assert!(list.connection_lost());
        let total_secs = watch_timeout + list.next_request(&server).1;
        assert!(pulls_list || total_secs <= CHANGE_DEADLINE_SECS - 0.5, "{total_secs} s for a lost watch");
    }
}

// Guards against answers that are one behind: what was left of an answer that came twice was read as the first
// answer on the next connection.
#[test]
fn a_copy_left_from_one_connection_is_not_read_on_the_next() {
    let mut list = ListClient::new(7, false);
    list.connection_opened();
    let twice = [update_response(8, true), update_response(8, true)].concat();
    let (update, keep_alive) = list.feed(&twice).unwrap().unwrap();
    assert_eq!((update.version, keep_alive), (8, false));
    list.connection_opened();
    let (update, keep_alive) = list.feed(&update_response(9, false)).unwrap().unwrap();
    assert_eq!((update.version, keep_alive), (9, true));
}

// Guards against calls to an endpoint that was removed: a complete list that came again, after a newer one, on
// the same connection was taken as the present list.
#[test]
fn an_older_complete_list_is_taken_only_as_the_first_answer_of_a_connection() {
    let mut list = ListClient::new(7, false);
    list.connection_opened();
    for version in [8, 9] {
        assert_eq!(list.feed(&update_response(version, true)).unwrap().unwrap().0.version, version);
    }
    assert_eq!(list.feed(&update_response(8, true)).unwrap_err(), ListError::InvalidResponse);
    assert!(list.connection_lost(), "the watch is resumed at once");
    assert_eq!(list.known_version(), Some(9));
    // A platform that lost its state counts anew.
    list.connection_opened();
    assert_eq!(list.feed(&update_response(2, true)).unwrap().unwrap().0.version, 2);
}
