//! Descriptors are short: what the program needs for itself is kept apart from what clients and endpoints may take.

use crate::helpers::{
    Deed, Endpoint, LONG, OK, Platform, Program, address, ends, hand_in, hand_in_for, hear, host, host_of,
    list, say,
};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

/// What the system allows the program, and what its configuration tells it.
const ALLOWED: usize = 64;
/// Of them, not in use while the list, notices, the journal's new file and the configuration need none.
const SPARE: usize = 9;
/// Destinations with an endpoint each: more than it may keep connections to.
const DESTINATIONS: u64 = 40;
/// Clients that each keep a connection as long as they may, and come again.
const CROWD: usize = 60;

/// Clients that are served once, rest, and connect again as soon as they are asked to go.
struct Crowd {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    fn start(listen: SocketAddr) -> Self {
        let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let (stopped, count) = (stop.clone(), served.clone());
        let thread = thread::spawn(move || {
            let mut clients: Vec<TcpStream> = Vec::new();
            // Bounded, whatever becomes of the test.
            let since = Instant::now();
            while !stopped.load(Ordering::Relaxed) && since.elapsed() < 2 * LONG {
                clients.retain_mut(|client| match client.read(&mut [0; 256]) {
                    Ok(0) => false,
                    Ok(_) => count.fetch_add(1, Ordering::Relaxed) < usize::MAX,
                    Err(e) => e.kind() == ErrorKind::WouldBlock,
                });
                while clients.len() < CROWD {
                    let mut client = TcpStream::connect(listen).unwrap();
                    client.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
                    client.set_nonblocking(true).unwrap();
                    clients.push(client);
                }
                sleep(Duration::from_millis(10));
            }
        });
        Crowd { stop, served, thread: Some(thread) }
    }

    /// Waits until so many were served.
    fn wait(&self, served: usize) {
        let since = Instant::now();
        while self.served.load(Ordering::Relaxed) < served {
            assert!(
                since.elapsed() < LONG,
                "{} of the crowd were served",
                self.served.load(Ordering::Relaxed)
            );
            sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Lines of the log that say that something had no descriptor.
fn shortages(program: &Program) -> Vec<String> {
    let codes = ["accept", "connect", "journal-write", "config-kept"].map(|code| format!("code=\"{code}\""));
    let log = program.log();
    let short = log.lines().filter(|line| codes.iter().any(|code| line.contains(code)));
    short.map(str::to_owned).collect()
}

#[test]
fn list_notices_journal_and_configuration_have_theirs_while_clients_and_endpoints_take_all_they_may() {
    let endpoint = Endpoint::start(|_, _| Deed::Say(OK));
    // The last destination takes no calls.
    let hosts: Vec<String> = (1..=DESTINATIONS + 1)
        .map(|dest| {
            let health = if dest > DESTINATIONS { "DRAINING" } else { "SERVING" };
            host_of(dest, &format!("e{dest}"), endpoint.at, "plain", health)
        })
        .collect();
    // The first discovery cannot be reached: neither list nor notices have a connection until it moves.
    let (known, nowhere) = (list(1, true, &hosts), address().to_string());
    let platform = Platform::start(list(2, true, &hosts), 0);
    let somewhere = platform.at.to_string();
    let changes = [
        (somewhere.as_str(), nowhere.as_str()),
        ("\"sockets\":256", "\"sockets\":64"),
        // So little that the journal is written anew again and again.
        ("\"disk_mb\":3", "\"disk_mb\":0.3"),
        // An endpoint's connection stays as long as the test.
        ("\"conn-idle-ms\":5000.0", "\"conn-idle-ms\":60000.0"),
    ];
    let mut program = Program::start(&platform, &known, &changes);
    std::fs::write(program.folder.join("descriptors"), ALLOWED.to_string()).unwrap();
    program.restart();

    let deliver = |id: &str, dest: u64, body: &[u8]| {
        let answer = say(program.listen, &hand_in_for(dest, "idem", id, 8000, body));
        assert_eq!(answer.expect(id).status(), 202, "{id}: {:?}", shortages(&program));
        assert_eq!(endpoint.call().id(), id);
    };
    // Connections to endpoints up to the last: one is kept from the second call on.
    for (round, dest) in (1..=DESTINATIONS).flat_map(|dest| [("first", dest), ("second", dest)]) {
        deliver(&format!("{round}-{dest}"), dest, b"");
    }
    program.logged("peer=\"endpoint\" code=\"no-room\"", 1);
    let crowd = Crowd::start(program.listen);
    crowd.wait(3 * CROWD);
    assert_eq!(shortages(&program), [""; 0]);
    program.logged("peer=\"client\" code=\"no-room\"", CROWD);
    // Both have taken all they may: no more is left than what is kept apart and not in use yet.
    let since = Instant::now();
    while program.descriptors() < ALLOWED - SPARE {
        assert!(since.elapsed() < LONG, "{} descriptors", program.descriptors());
    }

    // The journal's new file, and further connections to endpoints.
    for n in 0..100 {
        deliver(&format!("more-{n}"), 1 + n % DESTINATIONS, &[b'x'; 9000]);
    }
    // A notice is owed for one that nobody takes.
    let lost = hand_in_for(DESTINATIONS + 1, "once", "lost", 300, b"");
    assert_eq!(say(program.listen, &lost).unwrap().status(), 202);
    // The configuration, and with it a list and a way for notices.
    program.reconfigure(&nowhere, &somewhere);
    program.logged("code=\"config-read\"", 1);
    program.logged("code=\"listed\" seq=2", 1);
    assert!(platform.notice().contains("\"lost\""));
    crowd.wait(6 * CROWD);
    assert_eq!(shortages(&program), [""; 0]);
    assert!(program.descriptors() <= ALLOWED);
}

#[test]
fn without_a_descriptor_nothing_is_sent_held_against_an_endpoint_or_lost() {
    let endpoint = Endpoint::start(|_, _| Deed::Say(OK));
    let known = list(1, true, &[host_of(1, "a", endpoint.at, "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), 0);
    let program = Program::start(&platform, &known, &[]);
    let mut client = program.connect();
    client.write_all(&hand_in_for(2, "once", "nowhere", 8000, b"")).unwrap();
    assert_eq!(hear(&mut client).unwrap().status(), 429);
    program.allow_descriptors(false);
    client.write_all(&hand_in_for(1, "once", "held", 8000, b"")).unwrap();
    assert_eq!(hear(&mut client).unwrap().status(), 202);
    program.logged("code=\"connect\"", 1);
    let mut waits = program.connect();
    waits.write_all(&hand_in_for(1, "once", "waits", 8000, b"")).unwrap();
    program.logged("code=\"accept\"", 1);
    // Those who come meanwhile lead to no further tries, and lines in the log, than one each 0.1 s.
    let since = Instant::now();
    let crowd: Vec<TcpStream> = (0..30)
        .map(|_| {
            sleep(Duration::from_millis(10));
            program.connect()
        })
        .collect();
    let tries = program.log().matches("code=\"accept\"").count();
    assert!(tries <= 2 + since.elapsed().as_millis() as usize / 100, "{tries} in {:?}", since.elapsed());
    assert!(endpoint.calls.try_recv().is_err());
    drop(crowd);

    program.allow_descriptors(true);
    assert_eq!(hear(&mut waits).unwrap().status(), 202);
    let mut ids = [endpoint.call().id(), endpoint.call().id()];
    ids.sort();
    assert_eq!(ids, ["held", "waits"]);
    program.logged("outcome=Delivered", 2);
    assert!(!program.log().contains("outcome=ConnectFailed"));
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
