//! Calls to endpoints: what comes as they are sent, and their answers.

use super::{ms, with_manual};
use crate::helpers::{
    Crowd, Ledger, Manual, OK, Platform, Program, address, arrived, hand_in, hear, host, list, reset,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Instant;

#[test]
fn an_answer_and_the_end_of_its_time_in_one_turn() {
    let later = "HTTP/1.1 429 no\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n";
    // Event type, TTL, how long the program stands still with the call out, the answer, whether it delivers; and whether it
    // is seen in the same turn or only there, behind so many other events that they make a turn of their own.
    let cases = [
        ("when the time is up a 200 delivers nothing", "once", 600, 700, OK, false, true),
        ("nor where it may be sent again", "idem", 600, 700, OK, false, true),
        ("before that it does", "once", 8000, 2600, OK, true, true),
        // Only one that may be sent again is given up before its time: after 2.1 s here.
        ("also when patience is over", "idem", 8000, 2600, OK, true, true),
        ("the same where it is not seen yet", "idem", 8000, 2600, OK, true, false),
        ("a refusal when the time is up", "once", 600, 700, later, false, true),
    ];
    for (name, event_type, ttl, still, answer, good, seen) in cases {
        println!("{name}");
        let (endpoint, platform, program) = with_manual(&[Crowd::ROOM]);
        let mut ledger = Ledger::default();
        ledger.taken(&program, event_type, "once-x", ttl);
        let mut line = endpoint.accept();
        ledger.heard(&mut line);
        let mut crowd = (!seen).then(|| Crowd::connect(&program));
        program.stalled(|| {
            sleep(ms(still));
            if let Some(crowd) = &mut crowd {
                crowd.speak();
            }
            line.write_all(answer.as_bytes()).unwrap();
            arrived(line.local_addr().unwrap());
        });
        if good {
            ledger.good("once-x");
            program.logged("outcome=Delivered", 1);
            assert!(endpoint.is_left_alone(), "{name}: it goes again");
        }
        ledger.check(&platform);
    }
}

#[test]
fn an_answer_that_is_there_but_not_seen_as_its_call_is_called_off_counts() {
    let (endpoint, platform, program) = with_manual(&[Crowd::ROOM, ("\"slots\":40", "\"slots\":1")]);
    let mut ledger = Ledger::default();
    ledger.taken(&program, "once", "once-x", 8000);
    let mut line = endpoint.accept();
    ledger.heard(&mut line);
    // It waits for the only slot: the call in it is called off once patience with it is over, after 2.1 s.
    ledger.taken(&program, "idem", "next", 8000);
    let mut crowd = Crowd::connect(&program);
    program.stalled(|| {
        sleep(ms(2600));
        crowd.speak();
        line.write_all(OK.as_bytes()).unwrap();
        arrived(line.local_addr().unwrap());
    });
    ledger.good("once-x");
    program.logged("outcome=Delivered", 1);
    // Over this connection or another one.
    drop(line);
    let _line = ledger.delivered(&endpoint, "next");
    ledger.check(&platform);
}

#[test]
fn an_answer_that_stops_half_way_is_given_up_long_before_patience_is_over() {
    for half in ["HTTP/1.1 503 no\r\nContent-", "HTTP/1.1 503 no\r\nContent-Length: 9\r\n\r\nhal"] {
        let (endpoint, platform, program) = with_manual(&[]);
        let mut ledger = Ledger::default();
        ledger.taken(&program, "once", "once-x", 8000);
        let mut line = endpoint.accept();
        ledger.heard(&mut line);
        line.write_all(half.as_bytes()).unwrap();
        let since = Instant::now();
        // It may have run: the only final answer is a notice.
        ledger.check(&platform);
        assert!(since.elapsed() < ms(1200), "{:?}", since.elapsed());
    }
}

#[test]
fn a_connection_that_comes_up_late_carries_only_what_may_still_go() {
    let longer = (r#""connect-timeout-ms":1000.0"#, r#""connect-timeout-ms":9000.0"#);
    for what in ["drained", "moved", "out of time"] {
        println!("{what}");
        let (at, other) = (address(), address());
        let (endpoint, moved_to) = (Manual::narrow(at), Manual::start(other));
        let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
        let platform = Platform::start(known.clone(), 0);
        let program = Program::start(&platform, &known, &[longer]);
        let mut ledger = Ledger::default();
        let filler = TcpStream::connect(at).unwrap();
        let accepted = endpoint.accept();
        let second = TcpStream::connect(at).unwrap();
        ledger.taken(&program, "once", "once-x", if what == "out of time" { 1600 } else { 3000 });
        program.logged("code=\"connecting\"", 1);
        let come_up = || {
            drop((endpoint.accept(), filler, accepted, second));
            // Its first packet was lost; the next comes a second after it.
            let late = endpoint.accept();
            late.set_read_timeout(Some(ms(3500))).unwrap();
            late
        };
        let mut late = match what {
            "out of time" => program.stalled(|| {
                let late = come_up();
                sleep(ms(1200));
                late
            }),
            _ => {
                let health = if what == "drained" { "DRAINING" } else { "SERVING" };
                let dial = if what == "drained" { at } else { other };
                platform.tell(list(2, false, &[host("a", dial, "plain", health)]));
                program.logged("code=\"listed\" seq=2", 1);
                come_up()
            }
        };
        if what == "moved" {
            let _line = ledger.delivered(&moved_to, "once-x");
        }
        ledger.check(&platform);
        late.set_read_timeout(Some(ms(200))).unwrap();
        assert!(!matches!(late.read(&mut [0]), Ok(1..)), "{what}: it went out");
    }
}

#[test]
fn a_call_that_could_not_be_back_before_the_end_waits_for_the_next_life() {
    let longer = (r#""connect-timeout-ms":1000.0"#, r#""connect-timeout-ms":9000.0"#);
    let at = address();
    let endpoint = Manual::narrow(at);
    let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), 0);
    let mut program = Program::start(&platform, &known, &[longer]);
    let mut ledger = Ledger::default();
    let filler = TcpStream::connect(at).unwrap();
    let accepted = endpoint.accept();
    let second = TcpStream::connect(at).unwrap();
    ledger.taken(&program, "once", "once-x", 8000);
    program.logged("code=\"connecting\"", 1);
    // The end comes after 3.3 s, and as nothing is known of the endpoint a call is given 0.6 s.
    program.signal("TERM");
    sleep(ms(2850));
    drop((endpoint.accept(), filler, accepted, second));
    assert!(program.wait().success());
    drop(endpoint.accept());
    program.restart();
    let _line = ledger.delivered(&endpoint, "once-x");
    ledger.check(&platform);
}

#[test]
fn an_endpoint_that_ends_the_connection_as_it_is_used() {
    // What comes with the next request, whether the call is on its way then, and whether it is seen in the same turn or
    // only there, behind so many other events that they make a turn of their own.
    let cases = [
        ("its end", false, true),
        ("a reset", false, true),
        ("noise", false, true),
        ("a reset", true, true),
        ("its end", false, false),
        ("a reset", false, false),
        ("noise", false, false),
    ];
    for (what, on_its_way, seen) in cases {
        println!("{what}, on its way: {on_its_way}, seen: {seen}");
        let (endpoint, platform, program) = with_manual(&[Crowd::ROOM]);
        let mut ledger = Ledger::default();
        let mut line = None;
        // The module keeps a connection only from the second call on.
        for id in ["first", "second"] {
            ledger.taken(&program, "idem", id, 8000);
            let next = ledger.delivered(&endpoint, id);
            program.logged("outcome=Delivered", 1 + usize::from(id == "second"));
            line = Some(next);
        }
        let mut line = line.unwrap();
        let bytes = hand_in("once", "once-x", 3000, b"");
        let mut crowd = (!seen).then(|| Crowd::connect(&program));
        let mut client = program.connect();
        if on_its_way {
            client.write_all(&bytes).unwrap();
            ledger.heard(&mut line);
            program.stalled(|| reset(line));
        } else {
            program.stalled(|| {
                client.write_all(&bytes).unwrap();
                if let Some(crowd) = &mut crowd {
                    crowd.speak();
                }
                let at = line.local_addr().unwrap();
                match what {
                    "noise" => line.write_all(b"HTTP/1.1 200 O").unwrap(),
                    "a reset" => reset(line),
                    _ => drop(line),
                }
                arrived(at);
            });
        }
        assert_eq!(hear(&mut client).unwrap().status(), 202);
        ledger.took("once-x");
        if !on_its_way {
            // Surely not begun: it goes out over another connection.
            let _line = ledger.delivered(&endpoint, "once-x");
        }
        ledger.check(&platform);
        assert!(endpoint.is_left_alone(), "{what}: it goes again");
    }
}
