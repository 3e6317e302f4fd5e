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
        // The watch is resumed on a new connection at once, and that response may be lost, too.
        assert!(
            watch_secs < timeout_secs && timeout_secs < limit_secs - 0.5,
            "{timeout_secs} s for a limit of {limit_secs} s"
        );
        assert!(
            list.connection_lost() && !list.connection_lost(),
            "a second failure leads to a request for the complete list"
        );
        assert!(!pulls_list || list.next_request(&server).1 <= 1.0);
        assert!(
            pulls_list || list.next_request(&server).1 < 0.5,
            "an agent is asked again before a drain has to take effect"
        );
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
        // Where lists are pushed, this includes a lost watch; otherwise that one has 2 s from the end of its
        // wait.
        let mut list = ListClient::new(7, pulls_list);
        let watch_timeout = list.next_request(&server).1;
        assert!(list.connection_lost());
        let (total_secs, limit_secs) = (
            watch_timeout + list.next_request(&server).1,
            if pulls_list { 22.0 } else { CHANGE_DEADLINE_SECS - 0.5 },
        );
        assert!(total_secs <= limit_secs + 1e-9, "{total_secs} s for a lost watch");
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
