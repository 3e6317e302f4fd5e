//! The list of endpoints, and what keeps it from being told.

use super::{ms, with_manual};
use crate::helpers::{Deed, Endpoint, Ledger, OK, Platform, Program, address, host, list};
use std::io::Read;
use std::thread::sleep;
use std::time::{Duration, Instant};

#[test]
fn a_hang_up_in_a_pause_asks_the_new_platform_at_once() {
    // Of a hundred senders, after some refusals: a turn of seconds, and pauses that grow.
    const REFUSED: &str = "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n";
    let (old, new) = (Endpoint::start(|_, _| Deed::Say(REFUSED)), Endpoint::start(|_, _| Deed::Silence));
    let known = list(1, true, &[host("a", address(), "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), 0);
    let (from, to) = (platform.at.to_string(), old.at.to_string());
    let ask = ("\"membership-mode\":\"push\"", "\"membership-mode\":\"ask\"");
    let many = ("\"instances\":1", "\"instances\":100");
    let program = Program::start(&platform, &known, &[(&from, &to), ask, many]);
    for _ in 0..3 {
        old.call();
    }
    let since = Instant::now();
    program.reconfigure(&to, &new.at.to_string());
    assert!(new.call().head.starts_with("GET /v1/endpoints"));
    assert!(since.elapsed() < ms(500), "{:?}", since.elapsed());
}

#[test]
fn hang_ups_do_not_put_off_the_next_call_for_the_list() {
    const REFUSED: &str = "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n";
    let agent = Endpoint::start(|_, _| Deed::Say(REFUSED));
    let known = list(1, true, &[host("a", address(), "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), 0);
    let (from, to) = (platform.at.to_string(), agent.at.to_string());
    let ask = ("\"membership-mode\":\"push\"", "\"membership-mode\":\"ask\"");
    // Of a hundred senders each has its turn within seconds, drawn once.
    let many = ("\"instances\":1", "\"instances\":100");
    let program = Program::start(&platform, &known, &[(&from, &to), ask, many]);
    let mut last = agent.call().at;
    for round in 0..30 {
        program.signal("HUP");
        program.logged("code=\"config-read\"", round + 1);
        sleep(ms(150));
        last = agent.calls.try_iter().last().map_or(last, |call| call.at);
        // The longest pause is 1.3 s; a busy machine has a little more.
        assert!(last.elapsed() < ms(2300), "{:?}", last.elapsed());
    }
}

#[test]
fn a_platform_that_refuses_is_asked_again_within_the_longest_pause() {
    const REFUSED: &str = "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n";
    for (mode, longest) in [("push", 100), ("ask", 1300)] {
        println!("{mode}");
        let agent = Endpoint::start(|_, _| Deed::Say(REFUSED));
        let known = list(1, true, &[host("a", address(), "plain", "SERVING")]);
        let platform = Platform::start(known.clone(), 0);
        let (from, to) = (platform.at.to_string(), agent.at.to_string());
        let mode = format!("\"membership-mode\":\"{mode}\"");
        let changes = [(from.as_str(), to.as_str()), ("\"membership-mode\":\"push\"", &mode)];
        let _program = Program::start(&platform, &known, &changes);
        let calls: Vec<Instant> = (0..7).map(|_| agent.call().at).collect();
        let pauses: Vec<Duration> = calls.windows(2).map(|pair| pair[1] - pair[0]).collect();
        // A busy machine has a little more.
        assert!(pauses.iter().all(|pause| *pause < ms(longest + 500)), "{pauses:?}");
    }
}

/// A call for the list that goes wrong in each way, with a change that comes meanwhile: it is known in time.
#[test]
fn a_change_is_known_in_time_whatever_became_of_the_call_before() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n";
    const BODY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"seq\":2,";
    const REFUSED: &str = "HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n";
    let ask = ("\"membership-mode\":\"push\"", "\"membership-mode\":\"ask\"");
    // What becomes of the first calls, and how many, where lists are pushed or asked for.
    let cases = [
        ("silent from the first byte", "", 1, false),
        ("silent after its head", HEAD, 1, false),
        ("silent in its body", BODY, 1, false),
        ("silent in its body, twice", BODY, 2, false),
        ("refused, twice", REFUSED, 2, false),
        ("refused where it is asked for", REFUSED, 1, true),
    ];
    for (name, says, times, asked) in cases {
        let endpoint = Endpoint::start(|_, _| Deed::Say(OK));
        let known = list(1, true, &[host("a", endpoint.at, "plain", "SERVING")]);
        let drains = list(2, false, &[host("a", endpoint.at, "plain", "DRAINING")]);
        // Indented and in chunks: lists may come so.
        let drains = drains.replace(",\"", ",\n  \"");
        let told = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{drains}\r\n0\r\n\r\n",
            drains.len()
        );
        let agent = Endpoint::start(move |count, _| match count {
            n if n < times && says.is_empty() => Deed::Silence,
            n if n < times => Deed::Say(says),
            n if n == times => Deed::Tell(told.clone()),
            _ => Deed::Silence,
        });
        let platform = Platform::start(known.clone(), 0);
        let (from, to) = (platform.at.to_string(), agent.at.to_string());
        let changes = [(from.as_str(), to.as_str()), ask];
        let changes = &changes[..1 + usize::from(asked)];
        let program = Program::start(&platform, &known, changes);
        let first = agent.call().at;
        program.logged("code=\"listed\" seq=2", 1);
        let took = first.elapsed();
        assert!(took < ms(5500), "{name}: {took:?}");
        assert_eq!(program.hand_in("idem", "late", 300, b""), 202);
        assert!(endpoint.calls.recv_timeout(ms(600)).is_err(), "{name}: a drain was not kept");
    }
}

#[test]
fn connections_to_an_endpoint_that_moved_or_left_close_at_once() {
    for what in ["moved", "deleted", "left out of a whole list"] {
        println!("{what}");
        let (endpoint, platform, program) = with_manual(&[]);
        let mut ledger = Ledger::default();
        // The module keeps a connection only from the second call on.
        ledger.taken(&program, "idem", "first", 8000);
        drop(ledger.delivered(&endpoint, "first"));
        program.logged("outcome=Delivered", 1);
        ledger.taken(&program, "idem", "second", 8000);
        let mut line = ledger.delivered(&endpoint, "second");
        program.logged("outcome=Delivered", 2);
        let at = line.local_addr().unwrap();
        platform.tell(match what {
            "moved" => list(2, false, &[host("a", address(), "plain", "SERVING")]),
            "deleted" => list(2, false, &[host("a", at, "plain", "DELETED")]),
            _ => list(2, true, &[host("b", address(), "plain", "SERVING")]),
        });
        // Left alone it would stay for 4.75 s.
        line.set_read_timeout(Some(ms(2000))).unwrap();
        assert!(matches!(line.read(&mut [0]), Ok(0)), "{what}");
    }
}
