//! The event loop: sockets, timers, signals. It reads and writes for the peers' state machines and carries
//! what they say to the bridge and back.

use crate::bridge::{Action, Bridge, GoAhead};
use crate::clients::{self, Client, Reply, Stage, Step};
use crate::config::{Config, Limits};
use crate::endpoints::{self, Answer, Call, Ending, Line, Pool};
use crate::http::Fault;
use crate::journal::Journal;
use crate::list::{List, NoList};
use crate::notices;
use mio::net::{TcpListener, TcpStream, UnixStream};
use mio::{Events, Interest, Poll, Token};
use scalebarrow::Outcome;
use std::cmp::Ordering::Equal;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::{debug, info, warn};

const LISTENER: Token = Token(0);
const SIGNALS: Token = Token(1);
const HANG_UPS: Token = Token(2);
const FIRST_LINK: usize = 3;

/// Descriptors that are neither clients' nor endpoints': standard streams, poll and listener, pipes of three signals,
/// the journal's file and the one that takes its place, the configuration's file, list and notices.
const OWN_DESCRIPTORS: usize = 3 + 2 + 5 + 2 + 1 + 2 + LOADED;
/// What the system or a library loaded into the process may hold.
const LOADED: usize = 5;
/// Part of the memory for what clients have sent of unfinished requests, and as much for unfinished answers.
const BUFFER_PART: f64 = 0.2;
/// A peer whose unfinished message takes no more is let go on in any case: all descriptors together need little then.
const SMALL: usize = 16 * 1024;
/// Bytes read from one connection before others have their turn.
const READ_STEP: usize = 64 * 1024;
const STEPS: usize = 4;
/// Requests answered, or connections accepted, before others have their turn.
const MOST_AT_ONCE: usize = 32;

/// A client has so long for one request, the first counted from when it connected, or to take its answer. It is owed
/// an answer or an end within 3 s.
const SLOW_CLIENT: f64 = 2.0;
/// A client's connection between requests, which may be closed after 2 s.
const IDLE_CLIENT: f64 = 2.2;
/// Who connects to ask does so at once; one that has said nothing for so long goes before others.
const HUSH: f64 = 0.25;
/// A client's connection whose sending side is shut stays open for the client's own end for so long.
const LINGER: f64 = 0.5;
/// One of so many of the clients' descriptors is kept for those that come while others linger.
const NEWCOMERS: usize = 8;
/// An answer that has begun is written at once: what is not whole after so long is spoilt, and its connection too.
const ANSWER_SPAN: f64 = 0.4;
/// An endpoint's idle connection is given up so long before the endpoint closes it.
const IDLE_MARGIN: f64 = 0.25;
/// Before another try where no connection can be accepted, as when the system is short of descriptors.
const ACCEPT_PAUSE: f64 = 0.1;
/// Between two tries to reach the platform's list.
const LIST_PAUSE: f64 = 0.1;
/// From SIGTERM to the end: the platform kills after 3.7 s.
const CLOSING: f64 = 3.3;
/// New connections keep coming for up to 0.4 s after SIGTERM.
const STILL_COMING: f64 = 0.6;
/// So long before the end, whoever is still there is told that nothing more is taken on, and the connection is shut.
const LAST_CALL: f64 = 0.2;

/// Why a connection ended, as log lines name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    Answered,
    BadMessage,
    CalledOff,
    Closing,
    Idle,
    Moved,
    NoRoom,
    NotUp,
    PeerClosed,
    PeerReset,
    Refused,
    Silent,
    Stale,
    Unasked,
}

impl Reason {
    fn code(self) -> &'static str {
        match self {
            Reason::Answered => "answered",
            Reason::BadMessage => "bad-message",
            Reason::CalledOff => "called-off",
            Reason::Closing => "closing",
            Reason::Idle => "idle",
            Reason::Moved => "moved",
            Reason::NoRoom => "no-room",
            Reason::NotUp => "not-up",
            Reason::PeerClosed => "peer-closed",
            Reason::PeerReset => "peer-reset",
            Reason::Refused => "refused",
            Reason::Silent => "silent",
            Reason::Stale => "stale",
            Reason::Unasked => "unasked",
        }
    }
}

enum Peer {
    Client(Client),
    Endpoint(Line),
    List,
    Notices,
}

impl Peer {
    fn name(&self) -> &'static str {
        match self {
            Peer::Client(_) => "client",
            Peer::Endpoint(_) => "endpoint",
            Peer::List => "list",
            Peer::Notices => "notices",
        }
    }
}

struct Link {
    stream: TcpStream,
    addr: SocketAddr,
    peer: Peer,
    /// False while the connection is coming up.
    up: bool,
    out: Vec<u8>,
    sent: usize,
    /// When something must have happened, and when that is looked at next.
    due: f64,
    timer: f64,
    /// Why its end was begun, where it was.
    ends: Option<Reason>,
}

/// What a read brought.
enum Got {
    Bytes(usize),
    Nothing,
    End(Reason),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Link(usize),
    Accept,
    Wake,
    List,
    Notices,
    Exit,
}

/// Unix time that never runs backwards.
struct Clock(f64, Instant);

impl Clock {
    fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock(unix.as_secs_f64(), Instant::now())
    }

    fn now(&self) -> f64 {
        self.0 + self.1.elapsed().as_secs_f64()
    }
}

struct Driver {
    poll: Poll,
    listener: TcpListener,
    signals: UnixStream,
    hang_ups: UnixStream,
    /// The configuration's file.
    path: PathBuf,
    clock: Clock,
    /// The time of this turn.
    now: f64,
    timers: BinaryHeap<Reverse<(u64, Due)>>,
    links: BTreeMap<usize, Link>,
    next_link: usize,
    clients: usize,
    lines: usize,
    most_clients: usize,
    most_lines: usize,
    most_buffered: usize,
    bridge: Bridge,
    pool: Pool,
    /// The connection that carries a webhook's call.
    calls: BTreeMap<u64, usize>,
    /// Calls that ended before they began; told in the next turn.
    failed: Vec<(Call, Outcome)>,
    discovery: SocketAddr,
    list: List,
    list_link: Option<usize>,
    list_wanted: bool,
    notice_link: Option<usize>,
    notice_at: f64,
    /// Connections with more to read, and whether more may wait to be accepted.
    again: BTreeSet<usize>,
    accept_again: bool,
    /// Connections may wait for another one to end or to be between requests.
    accept_waits: bool,
    /// When the process ends, once it was asked to, and whether it still takes webhooks on.
    closing: Option<f64>,
    takes: bool,
    scratch: Vec<u8>,
}

/// The end of a pipe from which the signals can be read.
fn signals(numbers: &[i32]) -> io::Result<UnixStream> {
    let (write, read) = UnixStream::pair()?;
    let write = std::os::fd::OwnedFd::from(write);
    for number in numbers {
        signal_hook::low_level::pipe::register(*number, write.try_clone()?)?;
    }
    Ok(read)
}

/// Connections of clients and of endpoints at most: what is told, and what the system allows if that is less.
fn most_links(limits: &Limits) -> (usize, usize) {
    let system = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = system.lines().find_map(|l| l.strip_prefix("Max open files"));
    let allowed = line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or(usize::MAX);
    // Two of each at least: with less nothing can be served.
    let most = limits.sockets.min(allowed).saturating_sub(OWN_DESCRIPTORS).max(4);
    (most - most / 2, most / 2)
}

/// Bytes of unfinished messages at most, from clients or from endpoints.
fn most_buffered(limits: &Limits) -> usize {
    limits.memory_mb.map_or(usize::MAX, |mb| (mb * 1e6 * BUFFER_PART) as usize)
}

/// Serves until SIGTERM.
pub fn serve(config: Config, path: &Path, state: &Path) -> io::Result<()> {
    let clock = Clock::start();
    let now = clock.now();
    let mut hang_ups = signals(&[signal_hook::consts::SIGHUP])?;
    let most = config.limits.disk();
    let named = |name: String| move |e: io::Error| io::Error::new(e.kind(), format!("{name}: {e}"));
    let (journal, dropped) = Journal::open(state, most).map_err(named(state.display().to_string()))?;
    if dropped > 0 {
        warn!(
            code = "journal-torn",
            dropped, "bytes of an unfinished record at the journal's end are dropped"
        );
    }
    let (listen, discovery) = (config.listen, config.discovery);
    let list = List::known(config.known.seq, config.asks());
    let (most_clients, most_lines) = most_links(&config.limits);
    let most_buffered = most_buffered(&config.limits);
    let (name, (slots, holds, senders)) = (config.name.clone(), config.size());
    let list_wanted = !config.asks();
    let bridge = Bridge::open(config, journal, now);
    // Until here SIGTERM ends the process at once: it has taken nothing on. From here on it ends as planned.
    let mut signals = signals(&[signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT])?;
    // All that was taken on is back in the module: only now can a client reach this sender.
    let mut listener = TcpListener::bind(listen).map_err(named(format!("listen on {listen}")))?;
    let poll = Poll::new()?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
    poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
    poll.registry().register(&mut hang_ups, HANG_UPS, Interest::READABLE)?;
    info!(name, %listen, slots, holds, senders, "serving");
    let mut driver = Driver {
        poll,
        listener,
        signals,
        hang_ups,
        path: path.to_owned(),
        clock,
        now,
        timers: BinaryHeap::new(),
        links: BTreeMap::new(),
        next_link: FIRST_LINK,
        clients: 0,
        lines: 0,
        most_clients,
        most_lines,
        most_buffered,
        bridge,
        pool: Pool::default(),
        calls: BTreeMap::new(),
        failed: Vec::new(),
        discovery,
        list,
        list_link: None,
        list_wanted,
        notice_link: None,
        notice_at: 0.0,
        again: BTreeSet::new(),
        accept_again: false,
        accept_waits: false,
        closing: None,
        takes: true,
        scratch: vec![0; READ_STEP],
    };
    driver.run()
}

fn micros(at: f64) -> u64 {
    (at * 1e6).ceil() as u64
}

/// The connection is up; false where it is still on its way.
fn came_up(stream: &TcpStream) -> io::Result<bool> {
    if let Some(e) = stream.take_error()? {
        return Err(e);
    }
    match stream.peer_addr() {
        Ok(_) => Ok(true),
        Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
        Err(e) => Err(e),
    }
}

/// Nothing came and the other side has not ended.
fn is_quiet(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// The other side has ended its sending, or the connection is broken.
fn is_gone(stream: &TcpStream) -> bool {
    match stream.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

impl Driver {
    fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(256);
        self.end_turn();
        loop {
            // A call that ends while its turn does leads to something only in the next one.
            let more = self.accept_again || self.bridge.has_work();
            let more = more || !self.again.is_empty() || !self.failed.is_empty();
            let now = micros(self.clock.now());
            let next = self.timers.peek().map(|Reverse((at, _))| at.saturating_sub(now));
            let wait = if more { Some(0) } else { next };
            match self.poll.poll(&mut events, wait.map(Duration::from_micros)) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                result => result?,
            }
            self.now = self.clock.now();
            for (call, outcome) in std::mem::take(&mut self.failed) {
                let endings = vec![Ending::from(outcome); call.webhooks.len()];
                self.bridge.ended(self.now, &call, &endings, &Answer::default());
            }
            let again = std::mem::take(&mut self.again);
            let mut accept = std::mem::take(&mut self.accept_again);
            for event in &events {
                match event.token() {
                    LISTENER => accept = true,
                    SIGNALS => self.signalled(),
                    HANG_UPS => self.reread(),
                    // In the order in which it came: webhooks with one order key go in that order.
                    Token(link) => self.ready(link),
                }
            }
            for link in again {
                self.ready(link);
            }
            if accept {
                self.accept();
            }
            if self.timers_due() {
                return Ok(());
            }
            self.end_turn();
        }
    }

    // ---- timers and signals ----

    fn at(&mut self, at: f64, due: Due) {
        if at.is_finite() {
            self.timers.push(Reverse((micros(at), due)));
        }
    }

    fn set_due(&mut self, link: usize, at: f64) {
        let Some(l) = self.links.get_mut(&link) else { return };
        l.due = at;
        // One that is put off is looked at when its timer comes: a timer for each message would pile up.
        if at < l.timer {
            l.timer = at;
            self.at(at, Due::Link(link));
        }
    }

    /// True when the process has to end.
    fn timers_due(&mut self) -> bool {
        while let Some(Reverse((at, due))) = self.timers.peek().copied()
            && at as f64 <= self.now * 1e6
        {
            self.timers.pop();
            match due {
                Due::Link(link) => {
                    let Some(l) = self.links.get_mut(&link) else { continue };
                    l.timer = f64::INFINITY;
                    let due = l.due;
                    // Compared as whole numbers, as the timers are: a rounded time must not come round for ever.
                    if micros(due) <= at { self.overdue(link) } else { self.set_due(link, due) }
                }
                Due::Accept => self.accept_again = true,
                Due::Wake => self.bridge.woken(self.now),
                Due::List => self.list_wanted = true,
                // Looked at when the turn ends.
                Due::Notices => {}
                Due::Exit => {
                    // Who connected just now is not closed unheard.
                    self.accept();
                    let left = self.closing.map_or(0.0, |at| at - self.now);
                    if left <= 0.0 || (self.clients == 0 && self.bridge.is_idle()) {
                        return self.exit();
                    }
                    if left <= LAST_CALL {
                        self.last_call();
                    }
                    self.at(self.now + 0.05, Due::Exit);
                }
            }
        }
        false
    }

    /// Nothing more is taken on, and every client hears of it before the process ends.
    fn last_call(&mut self) {
        self.takes = false;
        for link in self.links.keys().copied().collect::<Vec<_>>() {
            match self.links.get(&link).map(|l| &l.peer) {
                Some(Peer::Client(c)) if c.stage == Stage::Idle => self.end_client(link, Reason::Closing),
                Some(Peer::Client(c)) if c.stage == Stage::Reading => {
                    self.turn_away(link, Reply::NoRoom);
                    self.client_ready(link);
                }
                _ => {}
            }
        }
    }

    fn exit(&mut self) -> bool {
        let links: Vec<usize> = self.links.keys().copied().collect();
        for link in links {
            // An answer that has come already counts.
            let peer = self.links.get(&link).map(|l| &l.peer);
            if matches!(peer, Some(Peer::Endpoint(line)) if line.call.is_some()) {
                self.endpoint_ready(link);
            }
            self.close(link, Reason::Closing);
        }
        info!(code = "ended", "asked to end");
        true
    }

    fn signalled(&mut self) {
        while matches!(self.signals.read(&mut [0; 64]), Ok(count) if count > 0) {}
        if self.closing.is_some() {
            return;
        }
        let end = self.now + CLOSING;
        self.closing = Some(end);
        info!(code = "closing", "no further use of connections");
        self.bridge.closing(self.now, end);
        self.at(self.now + STILL_COMING, Due::Exit);
        let clients = self.links.iter_mut().filter_map(|(link, l)| match &mut l.peer {
            Peer::Client(client) => {
                // Who has connected this moment is about to ask, as those are who come after the signal.
                client.fresh &= self.now <= l.due - SLOW_CLIENT + HUSH;
                Some(*link)
            }
            _ => None,
        });
        // A request that has come already is answered before its connection ends.
        self.again.extend(clients);
    }

    /// The configuration's file is read again. A faulty one changes nothing.
    fn reread(&mut self) {
        while matches!(self.hang_ups.read(&mut [0; 64]), Ok(count) if count > 0) {}
        let config = match self.bridge.config().reread(&self.path) {
            Ok(config) => config,
            Err(why) => return warn!(code = "config-kept", why, "the configuration stays as it was"),
        };
        (self.most_clients, self.most_lines) = most_links(&config.limits);
        self.most_buffered = most_buffered(&config.limits);
        let moved = std::mem::replace(&mut self.discovery, config.discovery) != config.discovery;
        info!(code = "config-read", discovery = %config.discovery, moved, "the configuration was read again");
        self.bridge.reread(config);
        if moved {
            // Both are taken up again at the new address when the turn ends, whatever pause the old one was given.
            self.list.moved();
            self.list_wanted = true;
            if let Some(link) = self.list_link {
                self.close(link, Reason::Moved);
            }
            self.bridge.notices.broken();
            self.notice_at = self.now;
            if let Some(link) = self.notice_link {
                self.close(link, Reason::Moved);
            }
        }
    }

    /// What was to happen on a connection by now has not, as far as was seen: what the system has for it is read first.
    fn overdue(&mut self, link: usize) {
        self.ready(link);
        let Some(l) = self.links.get_mut(&link) else { return };
        if l.due > self.now {
            return;
        }
        match &mut l.peer {
            Peer::Client(client) => match client.stage {
                Stage::Reading => {
                    self.turn_away(link, Reply::Status(408));
                    self.client_ready(link);
                }
                Stage::Idle => self.end_client(link, Reason::Idle),
                Stage::Writing | Stage::Lingering => self.close(link, Reason::Silent),
            },
            Peer::Endpoint(line) if line.call.is_some() => match (l.up, line.decoder.is_clear()) {
                (true, true) => self.cut(link, Outcome::TimedOut, Reason::Silent),
                (true, false) => self.cut(link, Outcome::Reset, Reason::BadMessage),
                _ => self.cut(link, Outcome::TimedOut, Reason::NotUp),
            },
            Peer::Endpoint(_) => self.close(link, Reason::Idle),
            Peer::List => self.list_broke(Reason::Silent),
            Peer::Notices => self.notices_broke(Reason::Silent),
        }
    }

    // ---- connections ----

    fn add(&mut self, mut stream: TcpStream, addr: SocketAddr, peer: Peer, up: bool) -> io::Result<usize> {
        let link = self.next_link;
        self.next_link += 1;
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(link), both)?;
        // Without it a small message may wait for the answer to the one before; not vital.
        let _ = stream.set_nodelay(true);
        match &peer {
            Peer::Client(_) => self.clients += 1,
            Peer::Endpoint(_) => self.lines += 1,
            _ => {}
        }
        let (out, sent, due, timer, ends) = (Vec::new(), 0, f64::INFINITY, f64::INFINITY, None);
        self.links.insert(link, Link { stream, addr, peer, up, out, sent, due, timer, ends });
        Ok(link)
    }

    fn connect(&mut self, addr: SocketAddr, peer: Peer) -> io::Result<usize> {
        let stream = TcpStream::connect(addr)?;
        self.add(stream, addr, peer, false)
    }

    fn close(&mut self, link: usize, reason: Reason) {
        let Some(mut l) = self.links.remove(&link) else { return };
        let _ = self.poll.registry().deregister(&mut l.stream);
        self.again.remove(&link);
        let ep = if let Peer::Endpoint(line) = &l.peer { Some(line.ep.as_str()) } else { None };
        let reason = l.ends.unwrap_or(reason);
        info!(peer = l.peer.name(), code = reason.code(), ep, addr = %l.addr, link, "connection ended");
        match l.peer {
            Peer::Client(client) => {
                self.clients -= 1;
                self.accept_again |= self.accept_waits;
                if let Some(number) = client.unheard {
                    self.bridge.withdrawn(self.now, number);
                }
            }
            Peer::Endpoint(line) => {
                self.lines -= 1;
                self.pool.remove(&line.ep, link);
                for (number, _) in line.call.iter().flat_map(|c| &c.webhooks) {
                    self.calls.remove(number);
                }
            }
            Peer::List => self.list_link = None,
            Peer::Notices => self.notice_link = None,
        }
    }

    fn ready(&mut self, link: usize) {
        let Some(l) = self.links.get_mut(&link) else { return };
        if !l.up {
            match came_up(&l.stream) {
                Ok(true) => l.up = true,
                Ok(false) => return,
                Err(_) => return self.broke(link, Reason::NotUp),
            }
            if matches!(l.peer, Peer::Endpoint(_)) {
                return self.send_call(link);
            }
        }
        match l.peer {
            Peer::Client(_) => self.client_ready(link),
            Peer::Endpoint(_) => self.endpoint_ready(link),
            Peer::List => self.list_ready(link),
            Peer::Notices => self.notices_ready(link),
        }
    }

    fn broke(&mut self, link: usize, reason: Reason) {
        match self.links.get(&link).map(|l| &l.peer) {
            Some(Peer::Client(_)) => self.close(link, reason),
            Some(Peer::Endpoint(_)) => self.cut(link, Outcome::Reset, reason),
            Some(Peer::List) => self.list_broke(reason),
            Some(Peer::Notices) => self.notices_broke(reason),
            None => {}
        }
    }

    /// Writes what is to be written. False where the connection is broken.
    fn flush(&mut self, link: usize) -> bool {
        let Some(l) = self.links.get_mut(&link) else { return false };
        while l.sent < l.out.len() {
            match l.stream.write(&l.out[l.sent..]) {
                Ok(0) => return false,
                Ok(count) => l.sent += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        l.out.clear();
        l.sent = 0;
        match &mut l.peer {
            Peer::Client(client) => client.unheard = None,
            Peer::Endpoint(Line { call: Some(call), .. }) => call.written = true,
            _ => {}
        }
        true
    }

    fn read(&mut self, link: usize) -> Got {
        let Some(l) = self.links.get_mut(&link) else { return Got::Nothing };
        loop {
            return match l.stream.read(&mut self.scratch) {
                Ok(0) => Got::End(Reason::PeerClosed),
                Ok(count) => Got::Bytes(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => Got::Nothing,
                Err(_) => Got::End(Reason::PeerReset),
            };
        }
    }

    // ---- clients ----

    fn accept(&mut self) {
        self.accept_waits = false;
        for _ in 0..MOST_AT_ONCE {
            if self.clients >= self.most_clients && !self.close_lingering_client() {
                self.end_idle_client(true);
                if !self.close_lingering_client() {
                    self.accept_waits = true;
                    return;
                }
            }
            match self.listener.accept() {
                Ok((stream, addr)) => {
                    if let Ok(link) = self.add(stream, addr, Peer::Client(Client::new()), true) {
                        self.set_due(link, self.now + SLOW_CLIENT);
                        self.client_ready(link);
                    }
                    // Room is made early: who is asked to go takes a moment.
                    if self.clients > self.most_clients - self.most_clients / NEWCOMERS {
                        self.end_idle_client(false);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The one that waited is gone.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    warn!(code = "accept", %e, "no connection can be accepted");
                    return self.at(self.now + ACCEPT_PAUSE, Due::Accept);
                }
            }
        }
        self.accept_again = true;
    }

    /// Makes room by a client's connection: first of those that have said nothing yet for a while, then of those between
    /// requests, and of those whose request is still coming; of each the one that has been so longest. Many that begin a
    /// request and stop, or say nothing, must not keep others out. Who has only just come goes where room is short.
    fn end_idle_client(&mut self, short: bool) {
        let hushed = self.now + SLOW_CLIENT - HUSH;
        let rank = |l: &Link| match &l.peer {
            Peer::Client(c) => match c.stage {
                Stage::Idle if c.fresh && l.due < hushed => Some(0),
                Stage::Idle if !c.fresh => Some(1),
                Stage::Reading => Some(2),
                Stage::Idle => Some(3).filter(|_| short),
                Stage::Writing | Stage::Lingering => None,
            },
            _ => None,
        };
        // One whose request has come but is not read yet stays.
        let Some(link) = self.longest(rank) else { return };
        let peer = self.links.get(&link).map(|l| &l.peer);
        if matches!(peer, Some(Peer::Client(c)) if c.stage == Stage::Reading) {
            self.turn_away(link, Reply::NoRoom);
            return self.client_ready(link);
        }
        self.end_client(link, Reason::NoRoom);
    }

    /// Where those asked to go fill all room, the one that was asked first is not waited for any longer.
    fn close_lingering_client(&mut self) -> bool {
        let lingers =
            |l: &Link| matches!(&l.peer, Peer::Client(c) if c.stage == Stage::Lingering).then_some(0);
        let Some(link) = self.longest(lingers) else { return false };
        self.close(link, Reason::NoRoom);
        true
    }

    /// Of the connections of the lowest rank on which nothing has come, the one whose time is up first.
    fn longest(&self, rank: impl Fn(&Link) -> Option<u8>) -> Option<usize> {
        let least = |a: &(u8, f64, usize), b: &(u8, f64, usize)| a.partial_cmp(b).unwrap_or(Equal);
        let mut found: Vec<_> = self.links.iter().filter_map(|(n, l)| Some((rank(l)?, l.due, *n))).collect();
        found.sort_by(least);
        let quiet = |link: &usize| self.links.get(link).is_some_and(|l| is_quiet(&l.stream));
        found.into_iter().map(|f| f.2).find(quiet)
    }

    /// Unfinished messages of clients, or of endpoints, take up all that they may.
    fn buffers_full(&self, of_clients: bool) -> bool {
        let held = |l: &Link| match &l.peer {
            Peer::Client(client) if of_clients => client.held(),
            Peer::Endpoint(line) if !of_clients => line.decoder.held(),
            _ => 0,
        };
        self.links.values().map(held).sum::<usize>() > self.most_buffered
    }

    fn client_ready(&mut self, link: usize) {
        for _ in 0..MOST_AT_ONCE {
            if !self.flush(link) {
                return self.close(link, Reason::PeerReset);
            }
            let Some(l) = self.links.get_mut(&link) else { return };
            let Peer::Client(client) = &mut l.peer else { return };
            if !l.out.is_empty() {
                return self.set_stage(link, Stage::Writing);
            }
            match client.step() {
                Step::Serve(request) => {
                    let routed = clients::route(request.head, self.bridge.event_types());
                    let (reply, number) = match routed {
                        // It did not wait for the answer: what it handed in is not taken on.
                        Ok(_) if !self.takes || is_gone(&l.stream) => (Reply::NoRoom, None),
                        Ok(hand_in) => self.bridge.hand_in(self.now, hand_in, request.body),
                        Err(reply) => (reply, None),
                    };
                    let last = !request.keep || self.closing.is_some();
                    (client.fresh, client.unheard, client.stage) = (false, number, Stage::Writing);
                    if last {
                        client.end();
                    }
                    clients::encode(&mut l.out, reply, last);
                }
                Step::Refuse(status) => self.turn_away(link, Reply::Status(status)),
                Step::Leave => l.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n"),
                Step::Shut => {
                    // Where this fails the connection is gone, which the next read tells.
                    let _ = l.stream.shutdown(Shutdown::Write);
                    self.set_stage(link, Stage::Lingering);
                }
                Step::Close => return self.close(link, Reason::Answered),
                Step::Read => match self.read(link) {
                    Got::Bytes(count) => {
                        let Some(l) = self.links.get_mut(&link) else { return };
                        let Peer::Client(client) = &mut l.peer else { return };
                        client.bytes(&self.scratch[..count]);
                        if client.held() > SMALL && self.buffers_full(true) {
                            self.turn_away(link, Reply::NoRoom);
                        }
                    }
                    Got::Nothing => {
                        let closing = self.closing.is_some();
                        let Some(l) = self.links.get_mut(&link) else { return };
                        let Peer::Client(client) = &mut l.peer else { return };
                        if let Some(stage) = client.quiet(closing) {
                            return self.set_stage(link, stage);
                        }
                        l.ends = Some(Reason::Closing);
                    }
                    Got::End(reason) => return self.close(link, reason),
                },
            }
        }
        self.again.insert(link);
    }

    /// The last answer on a client's connection: nothing more is taken from it.
    fn turn_away(&mut self, link: usize, reply: Reply) {
        let Some(l) = self.links.get_mut(&link) else { return };
        let Peer::Client(client) = &mut l.peer else { return };
        clients::encode(&mut l.out, reply, true);
        client.end();
    }

    /// Ends a client's connection between requests. One that crosses this on its way is not taken on.
    fn end_client(&mut self, link: usize, reason: Reason) {
        let Some(l) = self.links.get_mut(&link) else { return };
        let Peer::Client(client) = &mut l.peer else { return };
        client.end();
        l.ends = Some(reason);
        self.client_ready(link);
    }

    fn set_stage(&mut self, link: usize, stage: Stage) {
        let Some(Link { peer: Peer::Client(client), .. }) = self.links.get_mut(&link) else { return };
        let old = std::mem::replace(&mut client.stage, stage);
        let within = match stage {
            Stage::Idle => IDLE_CLIENT,
            Stage::Reading | Stage::Writing => SLOW_CLIENT,
            Stage::Lingering => LINGER,
        };
        // A request may not take longer because it comes in small pieces, nor the first because it begins late.
        if old != stage && !(client.fresh && stage == Stage::Reading) {
            self.set_due(link, self.now + within);
        }
        self.accept_again |= self.accept_waits && matches!(stage, Stage::Idle | Stage::Lingering);
    }

    // ---- endpoints ----

    fn start(&mut self, call: Call) {
        while let Some(link) = self.pool.take(&call.ep) {
            let Some(l) = self.links.get_mut(&link) else { continue };
            // Closed by the other side, or about to be: what is written to it would be lost.
            if l.due <= self.now || !is_quiet(&l.stream) {
                self.close(link, Reason::Stale);
                continue;
            }
            if let Peer::Endpoint(line) = &mut l.peer {
                line.call = Some(call);
                return self.send_call(link);
            }
        }
        let idle_needed = self.lines >= self.most_lines;
        if let Some(link) = self.pool.oldest().filter(|_| idle_needed) {
            self.close(link, Reason::NoRoom);
        }
        if self.lines >= self.most_lines {
            return self.failed.push((call, Outcome::Moot(true)));
        }
        let Some(dial) = self.bridge.dial(&call.ep) else {
            return self.failed.push((call, Outcome::ConnectFailed));
        };
        let (_, connects_in) = self.bridge.config().connection_times();
        let by = call.stop_at.min(self.now + connects_in);
        debug!(code = "connecting", ep = call.ep, "a connection is opened");
        match self.connect(dial, Peer::Endpoint(Line::new(call.ep.clone()))) {
            Ok(link) => {
                self.calls.extend(call.webhooks.iter().map(|w| (w.0, link)));
                if let Some(Link { peer: Peer::Endpoint(line), .. }) = self.links.get_mut(&link) {
                    line.call = Some(call);
                }
                self.set_due(link, by);
            }
            // The endpoint refused, or it was never asked: where descriptors or ports are short, that is no fault of its.
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                self.failed.push((call, Outcome::ConnectFailed))
            }
            Err(e) => {
                warn!(code = "connect", ep = call.ep, %e, "no connection can be opened");
                self.failed.push((call, Outcome::Moot(true)));
            }
        }
    }

    /// The connection is up and free: the call goes out.
    fn send_call(&mut self, link: usize) {
        let Some(l) = self.links.get_mut(&link) else { return };
        let Peer::Endpoint(line) = &mut l.peer else { return };
        let Some(call) = &mut line.call else { return };
        // As of this moment, not of the turn's beginning: the time for a repeat may be over by now. An endpoint that
        // moved while its connection came up is somebody else's.
        let (now, there) = (self.clock.now(), self.bridge.dial(&line.ep) == Some(l.addr));
        let go_ahead = if there { self.bridge.going_out(now, call) } else { GoAhead::NotNow };
        if go_ahead != GoAhead::Yes {
            let call = line.call.take();
            for (number, _) in call.iter().flat_map(|c| &c.webhooks) {
                self.calls.remove(number);
            }
            self.failed.extend(call.map(|c| (c, Outcome::Moot(true))));
            // The connection itself is as good as any.
            let stays = go_ahead == GoAhead::NotNow;
            return if stays { self.keep(link) } else { self.close(link, Reason::NoRoom) };
        }
        l.out = std::mem::take(&mut call.bytes);
        self.calls.extend(call.webhooks.iter().map(|w| (w.0, link)));
        let stop_at = call.stop_at;
        self.set_due(link, stop_at);
        self.endpoint_ready(link);
    }

    /// Keeps a connection that carries nothing for the next call.
    fn keep(&mut self, link: usize) {
        let ep = line_ep(&self.links, link);
        // Its endpoint left the list, or moved, while the call was out.
        if self.bridge.dial(&ep) != self.links.get(&link).map(|l| l.addr) {
            return self.close(link, Reason::Idle);
        }
        self.pool.put(&ep, link);
        let (idle, _) = self.bridge.config().connection_times();
        self.set_due(link, self.now + (idle - IDLE_MARGIN).max(idle / 2.0));
    }

    fn endpoint_ready(&mut self, link: usize) {
        let mut end = if self.flush(link) { None } else { Some(Reason::PeerReset) };
        let mut found = None;
        for step in 0.. {
            if step == STEPS {
                self.again.insert(link);
                break;
            }
            match self.read(link) {
                Got::Bytes(count) => {
                    let Some(Link { peer: Peer::Endpoint(line), .. }) = self.links.get_mut(&link) else {
                        return;
                    };
                    line.decoder.feed(&self.scratch[..count]);
                    // Looked at piece by piece: of an answer without end no more is kept than of a good one.
                    found = found.or_else(|| line.decoder.message().transpose());
                    let (big, clear) = (line.decoder.held() > SMALL, line.decoder.is_clear());
                    if found.is_none() && big && self.buffers_full(false) {
                        found = Some(Err(Fault::BodyTooBig));
                    }
                    if found.is_some() && !clear {
                        break;
                    }
                }
                Got::Nothing => break,
                Got::End(reason) => {
                    end = Some(reason);
                    break;
                }
            }
        }
        let Some(l) = self.links.get_mut(&link) else { return };
        let Peer::Endpoint(line) = &mut l.peer else { return };
        match found {
            Some(Ok(answer)) => {
                let Some(call) = line.call.take() else { return self.close(link, Reason::Unasked) };
                let stays = end.is_none() && answer.keep && call.written && line.decoder.is_clear();
                let ids: Vec<&str> = call.webhooks.iter().map(|w| w.1.as_str()).collect();
                let endings = endpoints::endings(&answer, &ids);
                let garbage = endings.is_none();
                let endings = endings.unwrap_or_else(|| vec![Outcome::Reset.into(); ids.len()]);
                self.call_over(&call, &endings, &answer.head);
                if !stays || garbage {
                    return self.close(link, if garbage { Reason::BadMessage } else { Reason::Answered });
                }
                self.keep(link);
            }
            Some(Err(_)) => self.cut(link, Outcome::Reset, Reason::BadMessage),
            None => {
                let by = l.due.min(self.now + ANSWER_SPAN);
                if let Some(reason) = end {
                    self.cut(link, Outcome::Reset, reason);
                } else if line.call.is_none() && !line.decoder.is_clear() {
                    self.close(link, Reason::Unasked);
                } else if !line.decoder.is_clear() {
                    self.set_due(link, by);
                }
            }
        }
    }

    /// Ends a connection with the call on it, if there is one.
    fn cut(&mut self, link: usize, else_as: Outcome, reason: Reason) {
        if let Some(Link { peer: Peer::Endpoint(line), .. }) = self.links.get_mut(&link)
            && let Some(call) = line.call.take()
        {
            let (endings, answer) = line.cut_short(&call, else_as);
            self.call_over(&call, &endings, &answer);
        }
        self.close(link, reason);
    }

    fn call_over(&mut self, call: &Call, endings: &[Ending], answer: &Answer) {
        for (number, _) in &call.webhooks {
            self.calls.remove(number);
        }
        self.bridge.ended(self.now, call, endings, answer);
    }

    // ---- list ----

    fn open_list(&mut self) {
        match self.connect(self.discovery, Peer::List) {
            Ok(link) => {
                self.list_link = Some(link);
                self.call_list(link);
            }
            Err(_) => self.list_broke(Reason::NotUp),
        }
    }

    fn call_list(&mut self, link: usize) {
        let (call, patience) = self.list.call(&self.discovery);
        debug!(code = "list-call", version = self.list.version(), "the list is asked for");
        if let Some(l) = self.links.get_mut(&link) {
            (l.out, l.sent) = (call, 0);
        }
        self.set_due(link, self.now + patience);
    }

    fn list_ready(&mut self, link: usize) {
        if !self.flush(link) {
            return self.list_broke(Reason::PeerReset);
        }
        for _ in 0..STEPS {
            let count = match self.read(link) {
                Got::Bytes(count) => count,
                Got::Nothing => return,
                Got::End(reason) => return self.list_broke(reason),
            };
            match self.list.feed(&self.scratch[..count]) {
                Ok(None) => {}
                Ok(Some((news, keep))) => {
                    self.bridge.list(self.now, &news, false);
                    if !keep {
                        self.close(link, Reason::Answered);
                        return self.open_list();
                    }
                    // At once: a watch stands only as long as the next call follows soon.
                    self.call_list(link);
                    if !self.flush(link) {
                        return self.list_broke(Reason::PeerReset);
                    }
                }
                Err(NoList::Refused) => return self.list_broke(Reason::Refused),
                Err(NoList::Garbage) => return self.list_broke(Reason::BadMessage),
            }
        }
        self.again.insert(link);
    }

    fn list_broke(&mut self, reason: Reason) {
        if let Some(link) = self.list_link {
            self.close(link, reason);
        }
        if reason == Reason::Refused {
            self.list.refused();
        } else if self.list.broken() {
            return self.open_list();
        }
        self.list_wanted = false;
        if self.bridge.config().asks() {
            self.bridge.no_list(self.now);
        } else {
            self.at(self.now + LIST_PAUSE, Due::List);
        }
    }

    // ---- notices ----

    fn send_notice(&mut self) {
        if let Some(link) = self.notice_link
            && self.links.get(&link).is_some_and(|l| !is_quiet(&l.stream))
        {
            self.close(link, Reason::Stale);
        }
        let link = match self.notice_link {
            Some(link) => Ok(link),
            None => self.connect(self.discovery, Peer::Notices),
        };
        let Ok(link) = link else { return self.notices_broke(Reason::NotUp) };
        self.notice_link = Some(link);
        let call = self.bridge.notice(&self.discovery);
        if let Some(l) = self.links.get_mut(&link) {
            (l.out, l.sent) = (call, 0);
            let up = l.up;
            self.set_due(link, self.now + notices::PATIENCE);
            if up {
                self.notices_ready(link);
            }
        }
    }

    fn notices_ready(&mut self, link: usize) {
        if !self.flush(link) {
            return self.notices_broke(Reason::PeerReset);
        }
        match self.read(link) {
            Got::Nothing => {}
            Got::End(reason) => self.notices_broke(reason),
            Got::Bytes(count) => match self.bridge.notices.feed(&self.scratch[..count]) {
                Ok(None) => _ = self.again.insert(link),
                Ok(Some((told, keep))) => {
                    self.bridge.told(&told);
                    self.set_due(link, f64::INFINITY);
                    if !keep {
                        self.close(link, Reason::Answered);
                    }
                }
                Err(_) => self.notices_broke(Reason::BadMessage),
            },
        }
    }

    fn notices_broke(&mut self, reason: Reason) {
        if let Some(link) = self.notice_link {
            self.close(link, reason);
        }
        self.bridge.notices.broken();
        self.notice_at = self.now + notices::PAUSE;
        self.at(self.notice_at, Due::Notices);
    }

    // ---- the end of a turn ----

    fn end_turn(&mut self) {
        for action in self.bridge.actions() {
            match action {
                Action::Wake(after) => self.at(self.now + after, Due::Wake),
                Action::Watch(on) => self.list_wanted = on,
                Action::CloseIdle(ep) => {
                    for link in self.pool.take_all(&ep) {
                        self.close(link, Reason::Idle);
                    }
                }
                Action::CallOff(number) => {
                    // An answer that has come already counts.
                    let link = self.calls.get(&number).copied();
                    if let Some(link) = link.filter(|l| self.links.get(l).is_some_and(|l| l.up)) {
                        self.endpoint_ready(link);
                    }
                    if let Some(link) = self.calls.get(&number).copied() {
                        self.cut(link, Outcome::Cancelled, Reason::CalledOff);
                    }
                }
            }
        }
        if self.list_wanted && self.list_link.is_none() {
            self.open_list();
        }
        let (calls, not_made) = self.bridge.calls(self.now);
        self.failed.extend(not_made.into_iter().map(|call| (call, Outcome::Moot(true))));
        for call in calls {
            self.start(call);
        }
        if self.bridge.notices.waiting() && self.now >= self.notice_at {
            self.send_notice();
        }
    }
}

fn line_ep(links: &BTreeMap<usize, Link>, link: usize) -> String {
    match links.get(&link).map(|l| &l.peer) {
        Some(Peer::Endpoint(line)) => line.ep.clone(),
        _ => String::new(),
    }
}
