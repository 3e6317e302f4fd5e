//! A client's connection, or the process, ends.

use super::{ms, with_manual, with_one_held};
use crate::helpers::{Crowd, Ledger, OK, Platform, arrived, ends, hand_in, hear, list, reset};
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Instant;

#[test]
fn clients_and_the_signal_to_end() {
    let (endpoint, platform, mut program) = with_manual(&[]);
    let mut ledger = Ledger::default();
    // One that rests, one that has just connected, one whose request is there unread, one that stops half-way.
    let (mut rests, mut unread) = (program.connect(), program.connect());
    for (client, id) in [(&mut rests, "once-a"), (&mut unread, "once-b")] {
        client.write_all(&hand_in("once", id, 8000, b"")).unwrap();
        assert_eq!(hear(client).unwrap().status(), 202);
        ledger.took(id);
        ledger.heard(&mut endpoint.accept());
    }
    let (mut fresh, mut half) = (program.connect(), program.connect());
    let request = |id| hand_in("once", id, 8000, b"");
    half.write_all(&request("once-h")[..30]).unwrap();
    sleep(ms(50));
    program.stalled(|| {
        program.signal("TERM");
        unread.write_all(&request("once-c")).unwrap();
    });
    program.logged("code=\"closing\"", 1);
    // One that crosses the end of its connection is not taken on, and no reset comes: it lingers for half a second. Its
    // end is there once a look finds it; a request before that would be answered.
    assert_eq!(rests.peek(&mut [0]).unwrap(), 0);
    rests.write_all(&request("once-e")).unwrap();
    // A request that was there is answered, and one on a connection that has only come up, too.
    // Whether the signal or the request is seen first is the system's choice.
    assert_eq!(hear(&mut unread).unwrap().status(), 202);
    fresh.write_all(&request("once-d")).unwrap();
    let answer = hear(&mut fresh).unwrap();
    assert_eq!((answer.status(), answer.field("Connection")), (202, Some("close")));
    assert!(ends(rests) && ends(unread) && ends(fresh));
    assert_eq!(hear(&mut half).unwrap().status(), 408);
    // Whoever is still there before the end hears that nothing more is taken on.
    let mut last = program.connect();
    last.write_all(&request("once-l")[..30]).unwrap();
    let answer = hear(&mut last).unwrap();
    assert_eq!((answer.status(), answer.field("Connection")), (503, Some("close")));
    drop((half, last));
    assert!(program.wait().success());
    for id in ["once-c", "once-d"] {
        ledger.took(id);
    }
    program.restart();
    let mut next = Vec::new();
    for _ in 0..2 {
        next.push(endpoint.accept());
    }
    ledger.check(&platform);
}

#[test]
fn clients_that_are_asked_to_go_for_newcomers_are_not_reset() {
    let (_endpoint, _platform, program) = with_manual(&[]);
    let connect = || {
        let mut client = program.connect();
        client.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        assert_eq!(hear(&mut client).unwrap().status(), 200);
        client
    };
    // Of 236 descriptors clients have 118, and the last 14 of these are for newcomers while others linger.
    let mut old: Vec<TcpStream> = (0..104).map(|_| connect()).collect();
    let _newcomers: Vec<TcpStream> = (0..10).map(|_| connect()).collect();
    for client in &mut old[..10] {
        assert_eq!(client.peek(&mut [0]).unwrap(), 0);
        // What crosses the end of its connection gets no answer, and no reset that might overtake one.
        client.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    }
    sleep(ms(50));
    // Only writing tells of a reset that comes after the end.
    assert!(old[..10].iter_mut().all(|client| client.write_all(b"GET").is_ok()));
    // Nobody else is asked to go, and before its time: between requests a connection stays for 2.2 s.
    let others = &old[10..];
    others.iter().for_each(|client| client.set_nonblocking(true).unwrap());
    assert!(others.iter().all(|client| client.peek(&mut [0]).is_err()));
}

#[test]
fn a_client_that_keeps_a_connection_that_was_shut_is_not_waited_for_long() {
    let (_endpoint, _platform, program) = with_manual(&[]);
    let mut client = program.connect();
    client.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
    assert_eq!(hear(&mut client).unwrap().status(), 200);
    // Its rest is over and nothing more is taken; it does not end its own side.
    assert_eq!(client.peek(&mut [0]).unwrap(), 0);
    let since = Instant::now();
    program.logged("peer=\"client\" code=\"idle\"", 1);
    let took = since.elapsed();
    assert!((ms(300)..ms(1500)).contains(&took), "{took:?}");
}

/// The end comes in a turn that has so many events that an answer, and a client that connects, are there but not seen.
#[test]
fn what_is_there_but_not_seen_as_the_process_ends_counts() {
    let (endpoint, platform, mut program) = with_one_held();
    let mut ledger = Ledger::default();
    ledger.took("once-held");
    let since = Instant::now();
    let until = |at| sleep(ms(at).saturating_sub(since.elapsed()));
    program.signal("TERM");
    program.logged("code=\"closing\"", 1);
    until(1800);
    ledger.taken(&program, "once", "once-x", 8000);
    let mut line = endpoint.accept();
    ledger.heard(&mut line);
    until(2500);
    let mut crowd = Crowd::connect(&program);
    let mut late = program.stalled(|| {
        // It ends 3.3 s after the signal.
        until(3400);
        crowd.speak();
        line.write_all(OK.as_bytes()).unwrap();
        arrived(line.local_addr().unwrap());
        let mut late = program.connect();
        late.write_all(&hand_in("once", "once-late", 8000, b"")).unwrap();
        late
    });
    assert_eq!(hear(&mut late).unwrap().status(), 202);
    ledger.took("once-late");
    ledger.good("once-x");
    assert!(program.wait().success());
    program.restart();
    let _line = ledger.delivered(&endpoint, "once-late");
    ledger.check(&platform);
}

#[test]
fn a_client_that_resets_unheard_has_handed_in_nothing_and_may_come_again() {
    let (endpoint, platform, program) = with_manual(&[]);
    let mut ledger = Ledger::default();
    let mut client = program.connect();
    sleep(ms(50));
    program.stalled(|| {
        client.write_all(&hand_in("once", "once-x", 3000, b"")).unwrap();
        reset(client);
    });
    program.logged("peer=\"client\" code=\"peer-reset\"", 1);
    ledger.taken(&program, "once", "once-x", 3000);
    let _line = ledger.delivered(&endpoint, "once-x");
    ledger.check(&platform);
}

#[test]
fn signals_that_come_together() {
    let (endpoint, platform, mut program) = with_one_held();
    let other = Platform::start(list(1, true, &[]), 0);
    let mut ledger = Ledger::default();
    ledger.took("once-held");
    ledger.taken(&program, "once", "once-x", 8000);
    let mut line = endpoint.accept();
    ledger.heard(&mut line);
    let since = Instant::now();
    program.stalled(|| {
        program.write_config(&platform.at.to_string(), &other.at.to_string());
        for signal in ["HUP", "TERM", "TERM"] {
            program.signal(signal);
        }
    });
    program.logged("code=\"config-read\"", 1);
    program.signal("TERM");
    // One that comes late does not put off the end.
    sleep(ms(1500));
    program.signal("TERM");
    assert!(program.wait().success());
    assert!(since.elapsed() < ms(3700), "{:?}", since.elapsed());
    program.restart();
    ledger.check(&other);
    drop(line);
}
