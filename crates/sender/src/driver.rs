//! The event loop with sockets, timers and signals. It reads and writes for the peers' state machines and carries
//! what they say to the bridge and back.

mod budgets;
mod clients;
mod connection;
mod endpoints;
mod event_loop;
mod list;
mod notices;
mod signals;
mod timers;

use crate::bridge::Bridge;
use crate::clock::{BootReading, Clock};
use crate::config::Config;
use crate::endpoints::{Call, ConnectionPool};
use crate::journal::Journal;
use crate::list::ListClient;
use budgets::{max_buffered, max_connections};
use connection::Connection;
use mio::net::{TcpListener, UnixStream};
use mio::{Interest, Poll, Token};
use scalebarrow::Outcome;
use signals::signal_pipe;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use timers::Timer;
use tracing::{info, warn};

const LISTENER: Token = Token(0);
const SHUTDOWN_SIGNALS: Token = Token(1);
const RELOAD_SIGNALS: Token = Token(2);
const FIRST_CONNECTION: usize = 3;

/// Bytes read from one connection before others have their turn.
const READ_BUFFER: usize = 64 * 1024;
const READS_PER_TURN: usize = 4;
/// Requests answered, or connections accepted, before others have their turn.
const REQUESTS_PER_TURN: usize = 32;

/// The sockets, timers and signals of a sender that serves.
struct Driver {
    poll: Poll,
    listener: TcpListener,
    shutdown_signals: UnixStream,
    reload_signals: UnixStream,
    /// The configuration's file.
    path: PathBuf,
    clock: Clock,
    /// The time of this turn.
    now: f64,
    timers: BinaryHeap<Reverse<(u64, Timer)>>,
    connections: BTreeMap<usize, Connection>,
    next_connection: usize,
    client_count: usize,
    endpoint_count: usize,
    max_clients: usize,
    max_endpoints: usize,
    max_buffered: usize,
    bridge: Bridge,
    pool: ConnectionPool,
    /// The connection that carries a webhook's call.
    calls: BTreeMap<u64, usize>,
    /// Calls that ended before they began; told in the next turn.
    failed: Vec<(Call, Outcome)>,
    discovery: SocketAddr,
    list: ListClient,
    list_connection: Option<usize>,
    list_wanted: bool,
    notice_connection: Option<usize>,
    notice_at: f64,
    /// Connections with more to read, and whether more may wait to be accepted.
    ready_again: BTreeSet<usize>,
    accept_again: bool,
    /// Until when none is accepted, as the last try found no descriptor.
    accept_paused_until: f64,
    /// Connections may wait for another one to end or to be between requests.
    accept_waits: bool,
    /// When the process ends, once it was asked to, and whether it still takes webhooks on.
    closing: Option<f64>,
    accepts_webhooks: bool,
    read_buffer: Vec<u8>,
}

/// Serves until SIGTERM.
pub fn serve(config: Config, path: &Path, state: &Path) -> io::Result<()> {
    let mut reload_signals = signal_pipe(&[signal_hook::consts::SIGHUP])?;
    let most = config.limits.disk_bytes();
    let named = |name: String| move |e: io::Error| io::Error::new(e.kind(), format!("{name}: {e}"));
    let (journal, dropped) =
        Journal::open(state, most, &BootReading::now()).map_err(named(state.display().to_string()))?;
    let clock = Clock::with_timeline(journal.timeline());
    let now = clock.now();
    if dropped > 0 {
        warn!(
            code = "journal-torn",
            dropped, "bytes of an unfinished record at the journal's end are dropped"
        );
    }
    let (listen, discovery) = (config.listen, config.discovery);
    let list = ListClient::new(config.known_list.version, config.pulls_list());
    let (max_clients, max_endpoints) = max_connections(&config.limits);
    let max_buffered = max_buffered(&config.limits);
    let (name, (slots, holds, senders)) = (config.name.clone(), config.capacity());
    let list_wanted = !config.pulls_list();
    let bridge = Bridge::open(config, journal, now);
    // Until here SIGTERM ends the process at once: it has taken nothing on. From here on it ends as planned.
    let mut shutdown_signals = signal_pipe(&[signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT])?;
    // All that was taken on is known again, though the module hears of it only bit by bit: from now on clients can reach
    // this sender.
    let mut listener = TcpListener::bind(listen).map_err(named(format!("listen on {listen}")))?;
    let poll = Poll::new()?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
    poll.registry().register(&mut shutdown_signals, SHUTDOWN_SIGNALS, Interest::READABLE)?;
    poll.registry().register(&mut reload_signals, RELOAD_SIGNALS, Interest::READABLE)?;
    info!(name, %listen, slots, holds, senders, "serving");
    let mut driver = Driver {
        poll,
        listener,
        shutdown_signals,
        reload_signals,
        path: path.to_owned(),
        clock,
        now,
        timers: BinaryHeap::new(),
        connections: BTreeMap::new(),
        next_connection: FIRST_CONNECTION,
        client_count: 0,
        endpoint_count: 0,
        max_clients,
        max_endpoints,
        max_buffered,
        bridge,
        pool: ConnectionPool::default(),
        calls: BTreeMap::new(),
        failed: Vec::new(),
        discovery,
        list,
        list_connection: None,
        list_wanted,
        notice_connection: None,
        notice_at: 0.0,
        ready_again: BTreeSet::new(),
        accept_again: false,
        accept_paused_until: f64::NEG_INFINITY,
        accept_waits: false,
        closing: None,
        accepts_webhooks: true,
        read_buffer: vec![0; READ_BUFFER],
    };
    driver.run()
}
