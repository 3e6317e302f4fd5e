//! What is written in parts, or not as a whole before its connection ends.

use crate::helpers::{
    LONG, Ledger, Manual, OK, Platform, Program, address, hand_in, hear, host, list, narrow_client, reset,
};
use std::io::{Read, Write};
use std::thread::sleep;
use std::time::{Duration, Instant};

#[test]
fn a_call_that_is_cut_before_its_last_byte_has_not_begun_and_goes_again() {
    let at = address();
    let endpoint = Manual::slow(at);
    let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), 0);
    let program = Program::start(&platform, &known, &[]);
    let mut ledger = Ledger::default();
    // More than the system takes at once for a receiver that takes in so little.
    assert_eq!(program.hand_in("once", "once-x", 8000, &[b'x'; 60_000]), 202);
    ledger.took("once-x");
    let mut line = endpoint.accept();
    line.read_exact(&mut [0; 300]).unwrap();
    program.logged("code=\"out\"", 1);
    reset(line);
    let mut line = endpoint.accept();
    let heard = ledger.heard(&mut line);
    assert_eq!((heard.id().as_str(), heard.body.len()), ("once-x", 60_000));
    line.write_all(OK.as_bytes()).unwrap();
    ledger.good("once-x");
    ledger.check(&platform);
}

/// Guards against a repeat whose last bytes leave when its window is over: the window was looked at only as its first
/// bytes went out.
#[test]
fn a_repeat_that_is_not_written_as_a_whole_in_its_window_is_given_up() {
    let at = address();
    let endpoint = Manual::slow(at);
    let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), 0);
    let window = ("\"repeat-window-ms\":8000.0", "\"repeat-window-ms\":1000.0");
    let program = Program::start(&platform, &known, &[window]);
    assert_eq!(program.hand_in("token", "x", 8000, &[b'x'; 60_000]), 202);
    let mut line = endpoint.accept();
    assert_eq!(hear(&mut line).unwrap().id(), "x");
    reset(line);
    let mut line = endpoint.accept();
    line.read_exact(&mut [0; 300]).unwrap();
    sleep(Duration::from_millis(1200));
    assert!(300 + hear_rest(&mut line) < 60_000, "the repeat came whole");
    platform.notice();
}

/// Bytes that still come before the connection ends.
fn hear_rest(line: &mut impl Read) -> usize {
    let mut rest = Vec::new();
    // What came before a reset counts as well.
    let _ = line.read_to_end(&mut rest);
    rest.len()
}

#[test]
fn a_webhook_whose_answer_was_not_written_as_a_whole_is_not_taken_on() {
    const MANY: usize = 4000;
    let known = list(1, true, &[host("a", address(), "plain", "DRAINING")]);
    let platform = Platform::start(known.clone(), 0);
    let program = Program::start(&platform, &known, &[("\"open-cap\":300", "\"open-cap\":5000")]);
    // It sends request after request and takes no answer, until the system takes no more for it.
    let mut client = narrow_client(program.listen);
    client.set_nonblocking(true).unwrap();
    let requests: Vec<u8> = (0..MANY).flat_map(|n| hand_in("idem", &format!("w{n}"), 60_000, b"")).collect();
    let taken = || program.log().matches("code=\"taken\"").count();
    let (since, mut sent, mut last) = (Instant::now(), 0, (0, Instant::now()));
    while last.1.elapsed() < Duration::from_millis(300) || last.0 == 0 {
        assert!(since.elapsed() < LONG, "{} of {MANY} were taken on", last.0);
        sent += client.write(&requests[sent..]).unwrap_or(0);
        let now = taken();
        if now > last.0 {
            last = (now, Instant::now());
        }
        sleep(Duration::from_millis(5));
    }
    assert!(last.0 < MANY, "the system took all answers: nothing is shown");
    reset(client);
    program.logged("code=\"withdrawn\"", 1);
    let (heard, unheard) = (format!("w{}", last.0 - 2), format!("w{}", last.0 - 1));
    let log = program.log();
    let withdrawn: Vec<&str> = log.lines().filter(|l| l.contains("code=\"withdrawn\"")).collect();
    assert!(withdrawn.len() == 1 && withdrawn[0].contains(&format!("id=\"{unheard}\"")), "{withdrawn:?}");
    // Handed in again, only the one whose answer cannot have come is new.
    for (id, new) in [(heard, 0), (unheard, 1)] {
        let before = taken();
        assert_eq!(program.hand_in("idem", &id, 60_000, b""), 202);
        assert_eq!(taken() - before, new, "{id}");
    }
}

#[test]
fn an_answer_does_not_wait_until_the_one_before_has_arrived() {
    const ROUNDS: usize = 50;
    let known = list(1, true, &[]);
    let platform = Platform::start(known.clone(), 0);
    let program = Program::start(&platform, &known, &[]);
    let mut client = program.connect();
    client.set_nodelay(true).unwrap();
    let two = b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n".repeat(2);
    let since = Instant::now();
    for _ in 0..ROUNDS {
        client.write_all(&two).unwrap();
        for _ in 0..2 {
            assert_eq!(hear(&mut client).unwrap().status(), 200);
        }
    }
    // Held back until the acknowledgement, which the system delays by 40 ms, they would take twice as long.
    let most = Duration::from_millis(20 * ROUNDS as u64);
    assert!(since.elapsed() < most, "{:?}", since.elapsed());
}
