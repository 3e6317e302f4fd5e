//! Two events that cross, in the order that is forced on them: held answers, and a program that stands still while both
//! happen, so that it sees them in one turn. docs/crossings.md lists all of them.

use crate::helpers::{
    self, Crowd, Deed, Endpoint, Ledger, Manual, OK, Platform, Program, address, hand_in, hand_in_for, hear,
    host, host_of, list, reset, say,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A program with one endpoint in the test's hands.
fn with_manual(changes: &[(&str, &str)]) -> (Manual, Platform, Program) {
    let at = address();
    let endpoint = Manual::start(at);
    let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), 0);
    let program = Program::start(&platform, &known, changes);
    (endpoint, platform, program)
}

/// The same, and it holds a webhook `once-held` that nobody takes: asked to end, it does not before its time.
fn with_one_held() -> (Manual, Platform, Program) {
    let at = address();
    let endpoint = Manual::start(at);
    let hosts = [host("a", at, "plain", "SERVING"), host_of(2, "b", address(), "plain", "DRAINING")];
    let known = list(1, true, &hosts);
    let platform = Platform::start(known.clone(), 0);
    let program = Program::start(&platform, &known, &[Crowd::ROOM]);
    let held = hand_in_for(2, "once", "once-held", 6000, b"");
    assert_eq!(say(program.listen, &held).unwrap().status(), 202);
    (endpoint, platform, program)
}

/// The connection ends as it should: nothing more comes, and no reset.
fn ends(mut stream: TcpStream) -> bool {
    matches!(stream.read(&mut [0; 64]), Ok(0))
}

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
fn fewer_descriptors_than_were_told_are_shared_out_as_well() {
    let endpoint = Endpoint::start(|_, _| Deed::Say(OK));
    let known = list(1, true, &[host("a", endpoint.at, "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), 0);
    let mut program = Program::start(&platform, &known, &[]);
    std::fs::write(program.folder.join("descriptors"), "40").unwrap();
    program.restart();
    let mut idle = Vec::new();
    for n in 0..60 {
        let mut client = program.connect();
        client.write_all(&hand_in("idem", &format!("w{n}"), 8000, b"")).unwrap();
        assert_eq!(hear(&mut client).unwrap().status(), 202, "{n}");
        assert_eq!(endpoint.call().id(), format!("w{n}"));
        idle.push(client);
    }
    let log = std::fs::read_to_string(program.folder.join("log")).unwrap();
    assert!(!log.contains("code=\"accept\"") && !log.contains("code=\"connect\""), "{log}");
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
                match what {
                    "noise" => line.write_all(b"HTTP/1.1 200 O").unwrap(),
                    "a reset" => reset(line),
                    _ => drop(line),
                }
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
fn an_id_that_comes_again_after_a_restart_leaves_its_webhook_as_it_is() {
    let endpoint = Endpoint::start(|n, _| if n == 0 { Deed::Break } else { Deed::Say(OK) });
    let known = list(1, true, &[host("a", endpoint.at, "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), usize::MAX);
    let mut program = Program::start(&platform, &known, &[]);
    // Given up and owed a notice that nobody acknowledges, and delivered.
    for id in ["owed", "over"] {
        assert_eq!(program.hand_in("once", id, 8000, b""), 202);
        assert_eq!(endpoint.call().id(), id);
    }
    platform.notice();
    program.logged("outcome=Delivered", 1);
    program.restart();
    for id in ["owed", "over"] {
        assert_eq!(program.hand_in("once", id, 8000, b""), 202);
    }
    assert_eq!(program.hand_in("once", "next", 8000, b""), 202);
    assert_eq!(endpoint.call().id(), "next", "an id went out again");
}

#[test]
fn a_notice_that_gets_lost_is_told_again_in_time() {
    // Its connection falls silent, or ends after it was read: the platform allows 0.3 s after the time is up. That the two
    // figures fit in stands beside them; here a machine that is busy has as much again.
    for silent in [true, false] {
        let platform = Endpoint::start(move |count, heard| match heard.head.starts_with("POST ") {
            true if count > 1 => Deed::Say(helpers::NO_CONTENT),
            true if !silent => Deed::Break,
            _ => Deed::Silence,
        });
        let known = list(1, true, &[host("a", address(), "plain", "DRAINING")]);
        let real = Platform::start(known.clone(), 0);
        let program = Program::start(&real, &known, &[(&real.at.to_string(), &platform.at.to_string())]);
        assert_eq!(program.hand_in("once", "x", 300, b""), 202);
        let notices =
            || std::iter::repeat_with(|| platform.call()).find(|c| c.head.starts_with("POST ")).unwrap();
        let (first, second) = (notices(), notices());
        assert!(second.at - first.at < ms(600), "{:?}", second.at - first.at);
        assert_eq!(first.body, second.body);
    }
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

#[test]
fn what_a_folder_holds_gets_its_final_answer_also_where_its_event_type_is_gone() {
    let at = address();
    let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), 0);
    let mut program = Program::start(&platform, &known, &[]);
    let mut ledger = Ledger::default();
    ledger.taken(&program, "once", "once-held", 8000);
    program.write_config("\"name\":\"once\"", "\"name\":\"other\"");
    program.restart();
    let since = Instant::now();
    ledger.check(&platform);
    // At once, and not when its time is over.
    assert!(since.elapsed() < ms(3000), "{:?}", since.elapsed());
    assert_eq!(program.hand_in("once", "y", 8000, b""), 404);
}

#[test]
fn idle_clients_that_fill_the_descriptors_leave_the_others_theirs() {
    let few = ("\"sockets\":256", "\"sockets\":64");
    let (endpoint, silent) = (Endpoint::start(|_, _| Deed::Say(OK)), Endpoint::start(|_, _| Deed::Silence));
    let known = list(1, true, &[host("a", endpoint.at, "plain", "SERVING")]);
    let platform = Platform::start(list(2, true, &[host("a", endpoint.at, "plain", "SERVING")]), 0);
    let (talks, says_nothing) = (platform.at.to_string(), silent.at.to_string());
    let program = Program::start(&platform, &known, &[few, (&talks, &says_nothing)]);
    // They have each been served, and rest until they are asked to go.
    let mut idle = Vec::new();
    for n in 0..150 {
        let mut client = program.connect();
        client.write_all(&hand_in("idem", &format!("w{n}"), 8000, &[b'x'; 9000])).unwrap();
        assert_eq!(hear(&mut client).unwrap().status(), 202, "{n}");
        assert!(program.descriptors() <= 64, "{}", program.descriptors());
        idle.push(client);
    }
    for _ in 0..150 {
        endpoint.call();
    }
    // The list, the journal's new file and the configuration had theirs.
    assert!(silent.calls.try_iter().any(|c| c.head.starts_with("GET /v1/endpoints")));
    let log = std::fs::read_to_string(program.folder.join("log")).unwrap();
    assert!(!log.contains("journal-write") && !log.contains("code=\"accept\""), "{log}");
    program.reconfigure(&says_nothing, &talks);
    program.logged("code=\"listed\" seq=2", 1);
    assert!(idle.into_iter().rev().take(3).all(ends));
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
fn a_kill_at_any_instant_of_a_start_or_an_end_loses_nothing() {
    let endpoint = Endpoint::start(|_, _| Deed::Say(OK));
    let known = list(1, true, &[host("a", endpoint.at, "plain", "DRAINING")]);
    let platform = Platform::start(known.clone(), 0);
    let mut program = Program::start(&platform, &known, &[]);
    for n in 0..20 {
        assert_eq!(program.hand_in("once", &format!("w{n}"), 60_000, &[b'x'; 20_000]), 202);
    }
    for (signal, after) in [("TERM", 0), ("KILL", 1), ("TERM", 2), ("KILL", 5), ("TERM", 15)] {
        program.interrupt(signal, ms(after));
    }
    program.restart();
    program.write_config("\"DRAINING\"", "\"SERVING\"");
    program.restart();
    let mut ids: Vec<String> = (0..20).map(|_| endpoint.call().id()).collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 20);
    assert!(endpoint.calls.recv_timeout(ms(300)).is_err() && platform.notices.try_recv().is_err());
}
