//! Tests that no webhook is lost or repeated when the sender is killed at random moments, under load and
//! with a backlog.

use crate::helpers::{
    Action, Endpoint, HttpMessage, OK_RESPONSE, Platform, Program, TEST_TIMEOUT, endpoint_entry,
    endpoint_list, read_message, unique_address, webhook_request,
};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The endpoint had no free slot: the webhook has not run and may be sent again.
const NO_FREE_SLOT_RESPONSE: &str = "HTTP/1.1 503 no\r\nX-Over-Slots: 1\r\nContent-Length: 0\r\n\r\n";
/// Duration of a call while the endpoint is slow, so that a backlog grows.
const SLOW_CALL_DURATION: Duration = Duration::from_millis(200);

/// The number of kills in one run; `SCALEBARROW_KILLS` overrides it.
fn kill_count() -> usize {
    std::env::var("SCALEBARROW_KILLS").ok().and_then(|n| n.parse().ok()).unwrap_or(8)
}

/// Pseudo-random numbers, the same in each run with the same seed; `SCALEBARROW_SEED` sets another seed.
struct RandomNumbers(u64);

impl RandomNumbers {
    fn new() -> Self {
        RandomNumbers(std::env::var("SCALEBARROW_SEED").ok().and_then(|n| n.parse().ok()).unwrap_or(17))
    }

    /// The next number, from 0 to `end - 1`.
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % end
    }
}

/// The state of the mock endpoint and the calls that it received.
#[derive(Default)]
struct EndpointState {
    /// Whether it answers at once.
    is_fast: AtomicBool,
    /// For each webhook id and call, whether the call was answered as delivered.
    calls: Mutex<BTreeMap<String, Vec<bool>>>,
}

impl EndpointState {
    /// Refuses the first call for one webhook in five and delivers all others.
    fn respond(&self, call: &HttpMessage) -> Action {
        if !self.is_fast.load(Ordering::SeqCst) {
            thread::sleep(SLOW_CALL_DURATION);
        }
        let (id, mut calls) = (call.id(), self.calls.lock().unwrap());
        let calls = calls.entry(id.clone()).or_default();
        let delivered = !calls.is_empty() || !id.ends_with(['3', '7']);
        calls.push(delivered);
        Action::Respond(if delivered { OK_RESPONSE } else { NO_FREE_SLOT_RESPONSE })
    }

    fn is_delivered(&self, id: &str) -> bool {
        self.calls.lock().unwrap().get(id).is_some_and(|calls| calls.contains(&true))
    }
}

/// Submits a webhook until there is a response, as clients do whose connection breaks. Returns whether it
/// was accepted.
fn submit_until_answered(listen_address: SocketAddr, bytes: &[u8]) -> bool {
    let started_at = Instant::now();
    loop {
        assert!(started_at.elapsed() < TEST_TIMEOUT, "there is no response");
        let response = TcpStream::connect(listen_address).ok().and_then(|mut stream| {
            stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
            stream.write_all(bytes).ok()?;
            read_message(&mut stream)
        });
        match response {
            Some(response) => return response.status() == 202,
            None => thread::sleep(Duration::from_millis(3)),
        }
    }
}

/// Starts clients that submit webhooks until `stop` is set; each returns the ids of its accepted webhooks.
fn start_clients(
    listen_address: SocketAddr, stop: &Arc<AtomicBool>, accepted_count: &Arc<AtomicU64>,
) -> Vec<JoinHandle<Vec<String>>> {
    let client = |client: usize| {
        let (stop, accepted_count) = (stop.clone(), accepted_count.clone());
        thread::spawn(move || {
            let mut accepted = Vec::new();
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                // `once` is at-most-once; every fifth webhook has a short TTL, which ends while it is
                // queued.
                let event_type = if number % 3 == 0 { "once" } else { "idem" };
                let ttl_ms = if number % 5 == 0 { 1500 } else { 60_000 };
                let id = format!("{event_type}-{client}{number:05}");
                if submit_until_answered(
                    listen_address,
                    &webhook_request(event_type, &id, ttl_ms, &[b'x'; 300]),
                ) {
                    accepted.push(id);
                    accepted_count.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(Duration::from_millis(1));
            }
            accepted
        })
    };
    (0..4).map(client).collect()
}

/// The final answers that the platform received, by webhook id.
type FinalAnswers = BTreeMap<String, Vec<String>>;

/// Reads the notices that the platform has received so far.
fn read_notices(platform: &Platform, final_answers: &mut FinalAnswers) {
    while let Ok(notice) = platform.notices.try_recv() {
        for line in notice.lines() {
            let id = line.split('"').nth(3).unwrap_or_default().to_owned();
            final_answers.entry(id).or_default().push(line.to_owned());
        }
    }
}

/// The value of a field in a log line.
fn log_field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.split_once(&format!(" {name}="))?.1;
    value.split(' ').next().map(|text| text.trim_matches('"'))
}

/// Checks the log of all processes: a final answer is written to the journal before it is logged, so
/// whenever the process was killed, no attempt and no other final answer follows it.
fn check_nothing_follows_final_answers(log: &str) {
    let (mut ids_by_attempt, mut ended) = (BTreeMap::new(), BTreeSet::new());
    for line in log.lines() {
        let id = log_field(line, "id").map(str::to_owned);
        match (log_field(line, "code"), log_field(line, "number"), id) {
            (Some("out"), Some(number), Some(id)) => {
                assert!(!ended.contains(&id), "{id} is sent after its final answer");
                ids_by_attempt.insert(number, id);
            }
            (Some("back"), Some(number), _) if line.contains(" over=true") => {
                // The webhook was given up during this attempt, or this attempt ended it.
                ended.insert(ids_by_attempt.remove(number).expect("an attempt that was sent"));
            }
            (Some("given-up"), _, Some(id)) => {
                assert!(ended.insert(id.clone()), "{id} has two final answers");
            }
            _ => {}
        }
    }
}

/// Starts a sender with one endpoint and limits that allow a backlog.
fn start_sender(endpoint_state: &Arc<EndpointState>) -> (Endpoint, Platform, Program) {
    let (address, endpoint_state) = (unique_address(), endpoint_state.clone());
    let endpoint = Endpoint::start_at(address, move |_, call| endpoint_state.respond(call));
    let initial_list = endpoint_list(1, true, &[endpoint_entry("a", address, "plain", "SERVING")]);
    let platform = Platform::start(initial_list.clone(), 0);
    let changes = [
        ("\"open-cap\":300", "\"open-cap\":100000"),
        ("\"disk_mb\":3", "\"disk_mb\":4"),
        ("\"deadline-ms\":8000.0", "\"deadline-ms\":60000.0"),
        ("\"max-attempts\":6", "\"max-attempts\":1000"),
        ("\"weights\":\"nominal\"", "\"weights\":\"none\""),
    ];
    let program = Program::start(&platform, &initial_list, &changes);
    (endpoint, platform, program)
}

/// Waits for a condition. `event` names it in the error message.
fn wait_until(event: &str, mut is_done: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !is_done() {
        assert!(started_at.elapsed() < 4 * TEST_TIMEOUT, "waited too long for {event}");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn with_kills_at_random_moments_and_a_backlog_each_webhook_gets_one_final_answer() {
    let endpoint_state = Arc::new(EndpointState::default());
    let (endpoint, platform, mut program) = start_sender(&endpoint_state);
    let (stop, accepted_count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let clients = start_clients(program.listen_address, &stop, &accepted_count);
    let (mut random, mut final_answers) = (RandomNumbers::new(), FinalAnswers::new());
    // The kills begin once there is a backlog.
    wait_until("a backlog", || accepted_count.load(Ordering::SeqCst) >= 1000);
    for kill in 0..kill_count() {
        // Half of the kills come while the backlog grows, the others while it is delivered at full speed.
        endpoint_state.is_fast.store(kill % 4 >= 2, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(random.below(150)));
        program.kill_and_restart();
        read_notices(&platform, &mut final_answers);
        endpoint.calls.try_iter().for_each(drop);
    }
    stop.store(true, Ordering::SeqCst);
    let accepted: Vec<String> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    endpoint_state.is_fast.store(true, Ordering::SeqCst);
    wait_until("a final answer for each webhook", || {
        read_notices(&platform, &mut final_answers);
        accepted.iter().all(|id| final_answers.contains_key(id) || endpoint_state.is_delivered(id))
    });
    let ids: BTreeSet<&String> = accepted.iter().collect();
    assert_eq!(ids.len(), accepted.len());
    for (id, lines) in &final_answers {
        assert!(ids.contains(id), "{id} was never accepted");
        // A notice whose acknowledgement is late or lost is repeated unchanged.
        assert!(lines.iter().all(|line| *line == lines[0]), "{lines:?}");
    }
    for (id, calls) in endpoint_state.calls.lock().unwrap().iter() {
        let run_count = calls.iter().filter(|delivered| **delivered).count();
        assert!(run_count <= 1 || !id.starts_with("once"), "{id} ran {run_count} times");
    }
    check_nothing_follows_final_answers(&std::fs::read_to_string(program.folder.join("log")).unwrap());
    println!("{} webhooks, {} notified, {} kills", accepted.len(), final_answers.len(), kill_count());
}
