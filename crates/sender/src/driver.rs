//! The event loop over sockets, timers and signals. It does the I/O for the state machines of clients,
//! endpoints, list and notices, and passes inputs to the bridge and its actions back.

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
use crate::folder_lock::{FolderLock, LockError};
use crate::journal::Journal;
use crate::list::ListClient;
use budgets::{max_buffered_bytes, max_connections};
use connection::Connection;
use mio::net::{TcpListener, UnixStream};
use mio::{Interest, Poll, Token};
use scalebarrow::Outcome;
use signals::signal_pipe;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use timers::Timer;
use tracing::{info, warn};

/// Poll tokens; connections have the tokens from `FIRST_CONNECTION_ID` on.
const LISTENER: Token = Token(0);
const SHUTDOWN_SIGNALS: Token = Token(1);
const RELOAD_SIGNALS: Token = Token(2);
const FIRST_CONNECTION_ID: usize = 3;

/// Bytes of one read at most.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Reads from one connection before other connections are served.
const READS_PER_ITERATION: usize = 4;
/// Requests answered on one connection, or connections accepted, before other connections are served.
const REQUESTS_PER_ITERATION: usize = 32;

/// The sockets, timers and signals of a running sender. Times are seconds on its clock.
struct Driver {
    poll: Poll,
    listener: TcpListener,
    shutdown_signals: UnixStream,
    reload_signals: UnixStream,
    /// The path of the configuration file.
    config_path: PathBuf,
    clock: Clock,
    /// The time of this iteration of the event loop.
    now: f64,
    /// Timers by their time in microseconds, the earliest first.
    timers: BinaryHeap<Reverse<(u64, Timer)>>,
    connections: BTreeMap<usize, Connection>,
    next_connection_id: usize,
    client_count: usize,
    endpoint_count: usize,
    max_clients: usize,
    max_endpoints: usize,
    /// Memory limit for incomplete messages, once for clients and once for endpoints.
    max_buffered_bytes: usize,
    bridge: Bridge,
    /// The idle connections to endpoints.
    pool: ConnectionPool,
    /// The id of the connection that carries a webhook's call, by the webhook's number.
    call_connections: BTreeMap<u64, usize>,
    /// Calls that failed before they were sent; the bridge is notified in the next iteration.
    failed_calls: Vec<(Call, Outcome)>,
    /// The address of the platform's discovery service, which has the endpoint list and receives notices.
    discovery: SocketAddr,
    list_client: ListClient,
    /// The id of the connection for the list.
    list_connection: Option<usize>,
    /// The list has to be requested as soon as no list connection is open.
    list_wanted: bool,
    /// The id of the connection for notices.
    notice_connection: Option<usize>,
    /// No notice is sent before this time.
    next_notice_at: f64,
    /// Connections that may have more to read.
    still_ready: BTreeSet<usize>,
    /// More connections may be waiting to be accepted.
    accept_pending: bool,
    /// No connection is accepted until this time, as accepting the last one failed.
    accept_paused_until: f64,
    /// Connections may be waiting to be accepted until another one is closed or idle.
    accept_blocked: bool,
    /// When the process exits, once a signal has started the shutdown.
    shutdown_at: Option<f64>,
    /// Webhooks are still accepted.
    accepts_webhooks: bool,
    read_buffer: Vec<u8>,
}

/// Why a sender cannot start or go on.
#[derive(Debug)]
pub enum ServeError {
    /// Another process uses the folder; its id, if it is known.
    FolderInUse(PathBuf, Option<u32>),
    /// A file, a socket or another resource of the system failed.
    Io(io::Error),
}

impl fmt::Display for ServeError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ServeError::FolderInUse(folder, Some(holder)) => {
                write!(formatter, "{}: process {holder} uses this folder", folder.display())
            }
            ServeError::FolderInUse(folder, None) => {
                write!(formatter, "{}: another process uses this folder", folder.display())
            }
            ServeError::Io(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for ServeError {}

impl From<io::Error> for ServeError {
    fn from(error: io::Error) -> Self {
        ServeError::Io(error)
    }
}

/// Runs a sender until SIGTERM or SIGINT. `state_dir` holds the journal.
pub fn serve(config: Config, config_path: &Path, state_dir: &Path) -> Result<(), ServeError> {
    let mut reload_signals = signal_pipe(&[signal_hook::consts::SIGHUP])?;
    let max_journal_bytes = config.limits.disk_bytes();
    let with_context = |name: String| move |e: io::Error| io::Error::new(e.kind(), format!("{name}: {e}"));
    // Held until the process ends.
    let _folder_lock = FolderLock::acquire(state_dir).map_err(|error| match error {
        LockError::Held(holder) => ServeError::FolderInUse(state_dir.to_owned(), holder),
        LockError::Io(error) => with_context(state_dir.display().to_string())(error).into(),
    })?;
    let (journal, dropped) = Journal::open(state_dir, max_journal_bytes, &BootReading::now())
        .map_err(with_context(state_dir.display().to_string()))?;
    let clock = Clock::with_timeline(journal.timeline());
    let now = clock.now();
    if dropped > 0 {
        warn!(
            code = "journal-torn",
            dropped, "dropped the bytes of an incomplete record at the end of the journal"
        );
    }
    let (listen, discovery) = (config.listen, config.discovery);
    let list_client = ListClient::new(config.known_list.version, config.pulls_list());
    let (max_clients, max_endpoints) = max_connections(&config.limits);
    let max_buffered_bytes = max_buffered_bytes(&config.limits);
    let (name, (slots, max_open, sender_count)) = (config.name.clone(), config.capacity());
    let list_wanted = !config.pulls_list();
    let bridge = Bridge::open(config, journal, now);
    // Up to here SIGTERM ends the process at once, as it has not accepted any webhook. From here on it shuts
    // down gracefully.
    let mut shutdown_signals = signal_pipe(&[signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT])?;
    // Clients can connect from here on: the webhooks accepted by an earlier process are known again, although
    // the decision module receives them only gradually.
    let mut listener = TcpListener::bind(listen).map_err(with_context(format!("listen on {listen}")))?;
    let poll = Poll::new()?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
    poll.registry().register(&mut shutdown_signals, SHUTDOWN_SIGNALS, Interest::READABLE)?;
    poll.registry().register(&mut reload_signals, RELOAD_SIGNALS, Interest::READABLE)?;
    info!(name, %listen, slots, holds = max_open, senders = sender_count, "serving");
    let mut driver = Driver {
        poll,
        listener,
        shutdown_signals,
        reload_signals,
        config_path: config_path.to_owned(),
        clock,
        now,
        timers: BinaryHeap::new(),
        connections: BTreeMap::new(),
        next_connection_id: FIRST_CONNECTION_ID,
        client_count: 0,
        endpoint_count: 0,
        max_clients,
        max_endpoints,
        max_buffered_bytes,
        bridge,
        pool: ConnectionPool::default(),
        call_connections: BTreeMap::new(),
        failed_calls: Vec::new(),
        discovery,
        list_client,
        list_connection: None,
        list_wanted,
        notice_connection: None,
        next_notice_at: 0.0,
        still_ready: BTreeSet::new(),
        accept_pending: false,
        accept_paused_until: f64::NEG_INFINITY,
        accept_blocked: false,
        shutdown_at: None,
        accepts_webhooks: true,
        read_buffer: vec![0; READ_BUFFER_BYTES],
    };
    Ok(driver.run()?)
}
