//! Tests the sender when file descriptors run short: it reserves those that it needs itself, so that
//! clients and endpoints cannot take them.

use crate::helpers::{
    Action, Endpoint, OK_RESPONSE, Platform, Program, TEST_TIMEOUT, endpoint_entry, endpoint_entry_for,
    endpoint_list, is_closed_cleanly, read_message, send_request, unique_address, webhook_request,
    webhook_request_for,
};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

/// The limit of open descriptors, as set by the system and as configured.
const MAX_DESCRIPTORS: usize = 64;
/// The number of these that stay free while the list, notices, a new journal file and the configuration
/// need none.
const RESERVED_DESCRIPTORS: usize = 9;
/// The most connections to endpoints that the program opens with this limit.
const MAX_ENDPOINT_CONNECTIONS: u64 = 22;
/// The number of destinations, each with one endpoint: more than the program may have connections to.
const DESTINATIONS: u64 = 40;
/// The number of clients that each keep a connection as long as they may and then reconnect.
const CLIENTS: usize = 60;

/// Clients that send one request each, stay idle, and reconnect as soon as the program closes their
/// connection.
struct ReconnectingClients {
    stop: Arc<AtomicBool>,
    response_count: Arc<AtomicUsize>,
    thread: Option<JoinHandle<()>>,
}

impl ReconnectingClients {
    fn start(listen_address: SocketAddr) -> Self {
        let (stop, response_count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let (stop_requested, answered) = (stop.clone(), response_count.clone());
        let thread = thread::spawn(move || {
            let mut clients: Vec<TcpStream> = Vec::new();
            // The thread ends even if the test panics.
            let started_at = Instant::now();
            while !stop_requested.load(Ordering::Relaxed) && started_at.elapsed() < 2 * TEST_TIMEOUT {
                clients.retain_mut(|client| match client.read(&mut [0; 256]) {
                    Ok(0) => false,
                    Ok(_) => answered.fetch_add(1, Ordering::Relaxed) < usize::MAX,
                    Err(e) => e.kind() == ErrorKind::WouldBlock,
                });
                while clients.len() < CLIENTS {
                    let mut client = TcpStream::connect(listen_address).unwrap();
                    client.write_all(b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
                    client.set_nonblocking(true).unwrap();
                    clients.push(client);
                }
                sleep(Duration::from_millis(10));
            }
        });
        ReconnectingClients { stop, response_count, thread: Some(thread) }
    }

    /// Waits until so many requests were answered.
    fn wait_for_responses(&self, response_count: usize) {
        let started_at = Instant::now();
        while self.response_count.load(Ordering::Relaxed) < response_count {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "{} requests were answered",
                self.response_count.load(Ordering::Relaxed)
            );
            sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for ReconnectingClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// The log lines that report a lack of descriptors.
fn descriptor_errors(program: &Program) -> Vec<String> {
    let codes = ["accept", "connect", "journal-write", "config-kept"].map(|code| format!("code=\"{code}\""));
    let log = program.log();
    let errors = log.lines().filter(|line| codes.iter().any(|code| line.contains(code)));
    errors.map(str::to_owned).collect()
}

#[test]
fn list_notices_journal_and_configuration_keep_their_descriptors_when_all_others_are_used() {
    // Calls of webhooks that are held stay in flight until the end of the test.
    let endpoint = Endpoint::start(|_, call| {
        if call.id().starts_with("held") { Action::NoResponse } else { Action::Respond(OK_RESPONSE) }
    });
    // The endpoint of the last destination accepts no calls.
    let entries: Vec<String> = (1..=DESTINATIONS + 1)
        .map(|destination| {
            let health = if destination > DESTINATIONS { "DRAINING" } else { "SERVING" };
            endpoint_entry_for(destination, &format!("e{destination}"), endpoint.address, "plain", health)
        })
        .collect();
    // The discovery address in the first configuration cannot be reached: neither list nor notices have a
    // connection until it is changed.
    let (initial_list, unreachable_address) =
        (endpoint_list(1, true, &entries), unique_address().to_string());
    let platform = Platform::start(endpoint_list(2, true, &entries), 0);
    let platform_address = platform.address.to_string();
    let changes = [
        (platform_address.as_str(), unreachable_address.as_str()),
        ("\"sockets\":256", "\"sockets\":64"),
        // So little that the journal is compacted again and again.
        ("\"disk_mb\":3", "\"disk_mb\":0.3"),
    ];
    let mut program = Program::start(&platform, &initial_list, &changes);
    std::fs::write(program.folder.join("descriptors"), MAX_DESCRIPTORS.to_string()).unwrap();
    program.kill_and_restart();

    let send = |event_type: &str, id: &str, destination: u64, body: &[u8]| {
        let request = webhook_request_for(destination, event_type, id, 60_000, body);
        let response = send_request(program.listen_address, &request);
        assert_eq!(response.expect(id).status(), 202, "{id}: {:?}", descriptor_errors(&program));
        assert_eq!(endpoint.next_call().id(), id);
    };
    // Opens all connections to endpoints but one.
    for destination in 1..MAX_ENDPOINT_CONNECTIONS {
        send("once", &format!("held-{destination}"), destination, b"");
    }
    let clients = ReconnectingClients::start(program.listen_address);
    clients.wait_for_responses(3 * CLIENTS);
    assert_eq!(descriptor_errors(&program), [""; 0]);
    program.wait_for_log("peer=\"client\" code=\"limit-reached\"", CLIENTS);
    let wait_for_free_descriptors = |count: usize| {
        let started_at = Instant::now();
        while program.descriptor_count() < MAX_DESCRIPTORS - count {
            assert!(started_at.elapsed() < TEST_TIMEOUT, "{} descriptors", program.descriptor_count());
        }
    };
    wait_for_free_descriptors(RESERVED_DESCRIPTORS + 1);

    // Needs descriptors for a new journal file and for further connections to endpoints.
    for number in 0..100 {
        send("idem", &format!("more-{number}"), DESTINATIONS, &[b'x'; 9000]);
    }
    // Clients and endpoints have taken all they may: only the reserved descriptors are left.
    send("once", "held-last", MAX_ENDPOINT_CONNECTIONS, b"");
    wait_for_free_descriptors(RESERVED_DESCRIPTORS);
    let waiting = webhook_request_for(DESTINATIONS, "idem", "waiting", 60_000, b"");
    assert_eq!(send_request(program.listen_address, &waiting).unwrap().status(), 202);
    assert!(endpoint.calls.recv_timeout(Duration::from_millis(300)).is_err(), "above the limit");
    // A webhook that no endpoint takes needs a connection for its notice.
    let undeliverable = webhook_request_for(DESTINATIONS + 1, "once", "lost", 300, b"");
    assert_eq!(send_request(program.listen_address, &undeliverable).unwrap().status(), 202);
    // Needs descriptors for the configuration file, and then for requests for the list and for notices.
    program.edit_and_reload_config(&unreachable_address, &platform_address);
    program.wait_for_log("code=\"config-read\"", 1);
    program.wait_for_log("code=\"listed\" seq=2", 1);
    assert!(platform.next_notice().contains("\"lost\""));
    clients.wait_for_responses(6 * CLIENTS);
    assert_eq!(descriptor_errors(&program), [""; 0]);
    assert!(program.descriptor_count() <= MAX_DESCRIPTORS);
}

#[test]
fn without_free_descriptors_webhooks_wait_and_no_endpoint_is_blamed() {
    let endpoint = Endpoint::start(|_, _| Action::Respond(OK_RESPONSE));
    let initial_list =
        endpoint_list(1, true, &[endpoint_entry_for(1, "a", endpoint.address, "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let program = Program::start(&platform, &initial_list, &[]);
    let mut client = program.connect();
    client.write_all(&webhook_request_for(2, "once", "nowhere", 8000, b"")).unwrap();
    assert_eq!(read_message(&mut client).unwrap().status(), 429);
    program.allow_new_descriptors(false);
    client.write_all(&webhook_request_for(1, "once", "held", 8000, b"")).unwrap();
    assert_eq!(read_message(&mut client).unwrap().status(), 202);
    program.wait_for_log("code=\"connect\"", 1);
    let mut waiting_client = program.connect();
    waiting_client.write_all(&webhook_request_for(1, "once", "waits", 8000, b"")).unwrap();
    program.wait_for_log("code=\"accept\"", 1);
    // Further clients cause at most one attempt to accept, and one log line, per 0.1 s.
    let started_at = Instant::now();
    let further_clients: Vec<TcpStream> = (0..30)
        .map(|_| {
            sleep(Duration::from_millis(10));
            program.connect()
        })
        .collect();
    let accept_errors = program.log().matches("code=\"accept\"").count();
    assert!(
        accept_errors <= 2 + started_at.elapsed().as_millis() as usize / 100,
        "{accept_errors} in {:?}",
        started_at.elapsed()
    );
    assert!(endpoint.calls.try_recv().is_err());
    drop(further_clients);

    program.allow_new_descriptors(true);
    assert_eq!(read_message(&mut waiting_client).unwrap().status(), 202);
    let mut ids = [endpoint.next_call().id(), endpoint.next_call().id()];
    ids.sort();
    assert_eq!(ids, ["held", "waits"]);
    program.wait_for_log("outcome=Delivered", 2);
    assert!(!program.log().contains("outcome=ConnectFailed"));
}

#[test]
fn a_system_limit_below_the_configured_one_is_respected() {
    let endpoint = Endpoint::start(|_, _| Action::Respond(OK_RESPONSE));
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", endpoint.address, "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let mut program = Program::start(&platform, &initial_list, &[]);
    std::fs::write(program.folder.join("descriptors"), "40").unwrap();
    program.kill_and_restart();
    let mut idle_clients = Vec::new();
    for number in 0..60 {
        let mut client = program.connect();
        client.write_all(&webhook_request("idem", &format!("w{number}"), 8000, b"")).unwrap();
        assert_eq!(read_message(&mut client).unwrap().status(), 202, "{number}");
        assert_eq!(endpoint.next_call().id(), format!("w{number}"));
        idle_clients.push(client);
    }
    let log = std::fs::read_to_string(program.folder.join("log")).unwrap();
    assert!(!log.contains("code=\"accept\"") && !log.contains("code=\"connect\""), "{log}");
}

#[test]
fn idle_clients_that_use_all_their_descriptors_leave_the_reserved_ones_free() {
    let fewer_descriptors = ("\"sockets\":256", "\"sockets\":64");
    let (endpoint, silent_platform) =
        (Endpoint::start(|_, _| Action::Respond(OK_RESPONSE)), Endpoint::start(|_, _| Action::NoResponse));
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", endpoint.address, "plain", "SERVING")]);
    let platform = Platform::start(
        endpoint_list(2, true, &[endpoint_entry("a", endpoint.address, "plain", "SERVING")]),
        0,
    );
    let (platform_address, silent_address) =
        (platform.address.to_string(), silent_platform.address.to_string());
    let program =
        Program::start(&platform, &initial_list, &[fewer_descriptors, (&platform_address, &silent_address)]);
    // Each has had a response and stays idle until its connection is closed.
    let mut idle_clients = Vec::new();
    for number in 0..150 {
        let mut client = program.connect();
        client.write_all(&webhook_request("idem", &format!("w{number}"), 8000, &[b'x'; 9000])).unwrap();
        assert_eq!(read_message(&mut client).unwrap().status(), 202, "{number}");
        assert!(program.descriptor_count() <= 64, "{}", program.descriptor_count());
        idle_clients.push(client);
    }
    for _ in 0..150 {
        endpoint.next_call();
    }
    // There were descriptors for the list, a new journal file and the configuration.
    assert!(silent_platform.calls.try_iter().any(|call| call.head.starts_with("GET /v1/endpoints")));
    let log = std::fs::read_to_string(program.folder.join("log")).unwrap();
    assert!(!log.contains("journal-write") && !log.contains("code=\"accept\""), "{log}");
    program.edit_and_reload_config(&silent_address, &platform_address);
    program.wait_for_log("code=\"listed\" seq=2", 1);
    assert!(idle_clients.into_iter().rev().take(3).all(is_closed_cleanly));
}
