//! The program killed at drawn moments, under load and with a backlog.

use crate::helpers::{
    Deed, Endpoint, Heard, LONG, OK, Platform, Program, address, hand_in, hear, host, list,
};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// No slot was free: the webhook has not run and may come again.
const REFUSED: &str = "HTTP/1.1 503 no\r\nX-Over-Slots: 1\r\nContent-Length: 0\r\n\r\n";
/// So long a call takes while the endpoint is slow: a backlog grows.
const SLOW: Duration = Duration::from_millis(200);

/// Kills in one run; `SCALEBARROW_KILLS` sets another number.
fn kills() -> usize {
    std::env::var("SCALEBARROW_KILLS").ok().and_then(|n| n.parse().ok()).unwrap_or(8)
}

/// Numbers that look drawn, the same in each run of a seed; `SCALEBARROW_SEED` sets another one.
struct Draw(u64);

impl Draw {
    fn new() -> Self {
        Draw(std::env::var("SCALEBARROW_SEED").ok().and_then(|n| n.parse().ok()).unwrap_or(17))
    }

    fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % end
    }
}

/// What an endpoint heard and answered.
#[derive(Default)]
struct Record {
    fast: AtomicBool,
    /// By id, for each call whether it was answered as delivered.
    calls: Mutex<BTreeMap<String, Vec<bool>>>,
}

impl Record {
    /// The first call for one in five is refused, all others are delivered.
    fn answer(&self, heard: &Heard) -> Deed {
        if !self.fast.load(Ordering::SeqCst) {
            thread::sleep(SLOW);
        }
        let (id, mut calls) = (heard.id(), self.calls.lock().unwrap());
        let calls = calls.entry(id.clone()).or_default();
        let good = !calls.is_empty() || !id.ends_with(['3', '7']);
        calls.push(good);
        Deed::Say(if good { OK } else { REFUSED })
    }

    fn is_good(&self, id: &str) -> bool {
        self.calls.lock().unwrap().get(id).is_some_and(|calls| calls.contains(&true))
    }
}

/// Hands one in until it is answered, as clients do whose connection breaks. True for 202.
fn hand_in_until_heard(to: SocketAddr, bytes: &[u8]) -> bool {
    let since = Instant::now();
    loop {
        assert!(since.elapsed() < LONG, "nobody answers");
        let heard = TcpStream::connect(to).ok().and_then(|mut stream| {
            stream.set_read_timeout(Some(LONG)).ok()?;
            stream.write_all(bytes).ok()?;
            hear(&mut stream)
        });
        match heard {
            Some(heard) => return heard.status() == 202,
            None => thread::sleep(Duration::from_millis(3)),
        }
    }
}

/// Clients that hand in until told to stop; they return the ids that were taken on.
fn start_clients(
    to: SocketAddr, stop: &Arc<AtomicBool>, count: &Arc<AtomicU64>,
) -> Vec<JoinHandle<Vec<String>>> {
    let client = |client: usize| {
        let (stop, count) = (stop.clone(), count.clone());
        thread::spawn(move || {
            let mut taken = Vec::new();
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                // `once` may run once; every fifth has little time, so that it ends while it is held.
                let event_type = if number % 3 == 0 { "once" } else { "idem" };
                let ms = if number % 5 == 0 { 1500 } else { 60_000 };
                let id = format!("{event_type}-{client}{number:05}");
                if hand_in_until_heard(to, &hand_in(event_type, &id, ms, &[b'x'; 300])) {
                    taken.push(id);
                    count.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(Duration::from_millis(1));
            }
            taken
        })
    };
    (0..4).map(client).collect()
}

/// Final answers as the platform hears them, by id.
type Told = BTreeMap<String, Vec<String>>;

fn read_notices(platform: &Platform, told: &mut Told) {
    while let Ok(notice) = platform.notices.try_recv() {
        for line in notice.lines() {
            let id = line.split('"').nth(3).unwrap_or_default().to_owned();
            told.entry(id).or_default().push(line.to_owned());
        }
    }
}

/// The value of a field in a line of the log.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.split_once(&format!(" {name}="))?.1;
    value.split(' ').next().map(|v| v.trim_matches('"'))
}

/// By the log of all processes: a final answer is written down before it is logged, so nothing follows it, whenever
/// the process was killed.
fn check_log(log: &str) {
    let (mut ids, mut ended) = (BTreeMap::new(), BTreeSet::new());
    for line in log.lines() {
        let id = field(line, "id").map(str::to_owned);
        match (field(line, "code"), field(line, "number"), id) {
            (Some("out"), Some(number), Some(id)) => {
                assert!(!ended.contains(&id), "{id} goes out after its final answer");
                ids.insert(number, id);
            }
            (Some("back"), Some(number), _) if line.contains(" over=true") => {
                // It was given up while this attempt was out, or this is its end.
                ended.insert(ids.remove(number).expect("an attempt that went out"));
            }
            (Some("given-up"), _, Some(id)) => {
                assert!(ended.insert(id.clone()), "{id} has two final answers");
            }
            _ => {}
        }
    }
}

/// A program with one endpoint, and room for a backlog.
fn start(record: &Arc<Record>) -> (Endpoint, Platform, Program) {
    let (at, answers) = (address(), record.clone());
    let endpoint = Endpoint::start_at(at, move |_, heard| answers.answer(heard));
    let known = list(1, true, &[host("a", at, "plain", "SERVING")]);
    let platform = Platform::start(known.clone(), 0);
    let changes = [
        ("\"open-cap\":300", "\"open-cap\":100000"),
        ("\"disk_mb\":3", "\"disk_mb\":4"),
        ("\"deadline-ms\":8000.0", "\"deadline-ms\":60000.0"),
        ("\"max-attempts\":6", "\"max-attempts\":1000"),
        ("\"weights\":\"nominal\"", "\"weights\":\"none\""),
    ];
    let program = Program::start(&platform, &known, &changes);
    (endpoint, platform, program)
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let since = Instant::now();
    while !done() {
        assert!(since.elapsed() < 4 * LONG, "{what} does not come");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn killed_at_drawn_moments_with_a_backlog_each_webhook_ends_once() {
    let record = Arc::new(Record::default());
    let (endpoint, platform, mut program) = start(&record);
    let (stop, count) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let clients = start_clients(program.listen, &stop, &count);
    let (mut draw, mut told) = (Draw::new(), Told::new());
    // A backlog first.
    wait_until("a backlog", || count.load(Ordering::SeqCst) >= 1000);
    for kill in 0..kills() {
        // Half of the kills fall while it grows, the others while it is delivered as fast as can be.
        record.fast.store(kill % 4 >= 2, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(draw.below(150)));
        program.restart();
        read_notices(&platform, &mut told);
        endpoint.calls.try_iter().for_each(drop);
    }
    stop.store(true, Ordering::SeqCst);
    let taken: Vec<String> = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
    record.fast.store(true, Ordering::SeqCst);
    wait_until("the end of each webhook", || {
        read_notices(&platform, &mut told);
        taken.iter().all(|id| told.contains_key(id) || record.is_good(id))
    });
    let ids: BTreeSet<&String> = taken.iter().collect();
    assert_eq!(ids.len(), taken.len());
    for (id, lines) in &told {
        assert!(ids.contains(id), "{id} was never taken on");
        // One whose acknowledgement is late or lost comes again as it is.
        assert!(lines.iter().all(|line| *line == lines[0]), "{lines:?}");
    }
    for (id, calls) in record.calls.lock().unwrap().iter() {
        let runs = calls.iter().filter(|good| **good).count();
        assert!(runs <= 1 || !id.starts_with("once"), "{id} ran {runs} times");
    }
    check_log(&std::fs::read_to_string(program.folder.join("log")).unwrap());
    println!("{} webhooks, {} told, {} kills", taken.len(), told.len(), kills());
}
