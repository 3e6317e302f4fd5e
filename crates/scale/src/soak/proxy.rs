//! A TCP proxy before an endpoint that injects network faults: it can block all traffic, drop answers, reset
//! all connections, and accept new connections late. Data that it drops is never forwarded later: a
//! connection that lost data is reset when the fault ends, so that a call arrives when it was written or not
//! at all.

use crate::error::Error;
use crate::interrupt::StopFlag;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// The length of the listener's queue of established connections. While the proxy accepts none and the queue
/// is full, new connections are established only when the client's TCP repeats its SYN, a second later.
const BACKLOG: i32 = 8;
/// Connections that the proxy itself opens to fill that queue, a few more than fit.
const QUEUE_FILLER_COUNT: usize = 12;
/// How long the proxy waits for data before it checks its mode again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Linux sets this poll flag when the peer has shut down its sending side, even if there is data that is not
/// read yet.
const POLLRDHUP: i16 = 0x2000;
/// How long opening one connection that fills the queue may take.
const QUEUE_FILL_TIMEOUT: Duration = Duration::from_millis(10);

/// What the proxy forwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Everything.
    Pass,
    /// Nothing in either direction.
    Cut,
    /// Requests, but no answers.
    LoseAnswers,
    /// Everything, but new connections are accepted late.
    LateConnect,
}

impl Mode {
    fn from_u8(value: u8) -> Mode {
        let modes = [Mode::Pass, Mode::Cut, Mode::LoseAnswers, Mode::LateConnect];
        modes.into_iter().find(|mode| *mode as u8 == value).unwrap_or(Mode::Pass)
    }
}

/// The state that the threads of a proxy share.
#[derive(Debug, Default)]
struct Shared {
    /// The [`Mode`] as a number.
    mode: AtomicU8,
    /// How often all connections were reset. A connection ends when this is no longer what it was at its
    /// start.
    reset_count: AtomicU64,
    shutdown: StopFlag,
}

impl Shared {
    fn mode(&self) -> Mode {
        Mode::from_u8(self.mode.load(Ordering::SeqCst))
    }
}

/// A running proxy. When this is dropped it shuts down and closes all its connections.
#[derive(Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Listens at one address and forwards connections to another.
    pub fn start(listen_address: SocketAddr, target: SocketAddr) -> Result<Proxy, Error> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&listen_address.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let (listener, shared) = (TcpListener::from(socket), Arc::new(Shared::default()));
        let thread_shared = shared.clone();
        let thread = std::thread::Builder::new().name("proxy".into());
        let thread =
            thread.spawn(move || accept_connections(&listener, listen_address, target, &thread_shared))?;
        Ok(Proxy { shared, thread: Some(thread) })
    }

    /// What the proxy forwards now.
    pub fn mode(&self) -> Mode {
        self.shared.mode()
    }

    /// Sets what the proxy forwards from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Resets all open connections.
    pub fn reset_all(&self) {
        self.shared.reset_count.fetch_add(1, Ordering::SeqCst);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.shutdown.set();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Accepts connections and starts a thread for each, until the proxy shuts down.
fn accept_connections(
    listener: &TcpListener, listen_address: SocketAddr, target: SocketAddr, shared: &Arc<Shared>,
) {
    // `queue_may_be_stale` stays set until the connections that queued up during the fault are accepted.
    let (mut queue_fillers, mut queue_may_be_stale) = (Vec::<TcpStream>::new(), false);
    while !shared.shutdown.is_set() {
        if shared.mode() == Mode::LateConnect {
            if queue_fillers.is_empty() {
                let connect = |_| TcpStream::connect_timeout(&listen_address, QUEUE_FILL_TIMEOUT).ok();
                queue_fillers = (0..QUEUE_FILLER_COUNT).filter_map(connect).collect();
            }
            std::thread::sleep(POLL_INTERVAL);
            continue;
        }
        // Connections that were established during the fault are still queued. They may carry calls whose
        // sender has stopped waiting since, so one that has data or is closed already is reset.
        queue_may_be_stale |= !queue_fillers.is_empty();
        queue_fillers.clear();
        match listener.accept() {
            Ok((stream, _)) if queue_may_be_stale && has_data_or_ended(&stream) => reset_on_close(&stream),
            Ok((stream, _)) => {
                let connection_shared = shared.clone();
                // If no thread can be started the connection is closed, as on a machine that has no more
                // threads.
                let _ = std::thread::Builder::new()
                    .name("proxied".into())
                    .spawn(move || forward(&stream, target, &connection_shared));
            }
            Err(_) => {
                queue_may_be_stale = false;
                wait_for_connection(listener);
            }
        }
    }
}

/// Waits until a connection can be accepted, for a short time at most.
fn wait_for_connection(listener: &TcpListener) {
    let mut poll_fds = [PollFd::new(listener.as_fd(), PollFlags::POLLIN)];
    let timeout = PollTimeout::try_from(POLL_INTERVAL).unwrap_or(PollTimeout::ZERO);
    // After an error the next accept reports it.
    let _ = poll(&mut poll_fds, timeout);
}

/// Whether a new connection has data to read, or its peer has closed it.
fn has_data_or_ended(stream: &TcpStream) -> bool {
    poll_readable(stream, stream).is_none_or(|(client, _)| client.has_data || client.ended)
}

/// Forwards one connection until it ends.
fn forward(client: &TcpStream, target: SocketAddr, shared: &Shared) {
    let Ok(server) = TcpStream::connect(target) else { return reset_on_close(client) };
    let ready = [client, &server]
        .iter()
        .all(|stream| stream.set_nodelay(true).is_ok() && stream.set_nonblocking(true).is_ok());
    let initial_reset_count = shared.reset_count.load(Ordering::SeqCst);
    let mut lost_data = !ready;
    while !shared.shutdown.is_set() {
        let mode = shared.mode();
        let forwards_all = matches!(mode, Mode::Pass | Mode::LateConnect);
        if shared.reset_count.load(Ordering::SeqCst) != initial_reset_count || (lost_data && forwards_all) {
            return reset_on_close(client);
        }
        let Some((from_client, from_server)) = poll_readable(client, &server) else { return };
        if mode == Mode::Cut {
            lost_data |= from_client.has_data || from_server.has_data;
            // What the client sent before it closed the connection was not forwarded, and never will be.
            if from_client.ended {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
            continue;
        }
        let mut sink = std::io::sink();
        let drops_answers = mode == Mode::LoseAnswers;
        lost_data |= drops_answers && from_server.has_data;
        let server_open = if drops_answers { copy(&server, &mut sink) } else { copy(&server, &mut &*client) };
        if !copy(client, &mut &server) || !server_open {
            return;
        }
    }
}

/// What can be read from a stream.
struct Readable {
    has_data: bool,
    /// The peer has shut down its sending side; there may be data that is not read yet.
    ended: bool,
}

/// Waits until one of two streams is readable, for a short time at most. `None` if polling failed.
fn poll_readable(client: &TcpStream, server: &TcpStream) -> Option<(Readable, Readable)> {
    let events = PollFlags::POLLIN.union(PollFlags::from_bits_retain(POLLRDHUP));
    let mut poll_fds = [PollFd::new(client.as_fd(), events), PollFd::new(server.as_fd(), events)];
    let timeout = PollTimeout::try_from(POLL_INTERVAL).unwrap_or(PollTimeout::ZERO);
    if poll(&mut poll_fds, timeout).is_err_and(|error| error != nix::errno::Errno::EINTR) {
        return None;
    }
    let readable = |poll_fd: &PollFd| {
        let ended_flags = PollFlags::POLLHUP | PollFlags::POLLERR;
        match poll_fd.revents() {
            Some(events) => Readable {
                has_data: events.contains(PollFlags::POLLIN),
                ended: events.intersects(ended_flags),
            },
            // nix returns no flags if POLLRDHUP, which it does not define, is among them.
            None => Readable { has_data: true, ended: true },
        }
    };
    Some((readable(&poll_fds[0]), readable(&poll_fds[1])))
}

/// Copies the bytes that have arrived. False if the connection has ended.
fn copy(mut from: &TcpStream, to: &mut impl Write) -> bool {
    let mut buffer = [0; 16 * 1024];
    match from.read(&mut buffer) {
        Ok(0) => false,
        Ok(count) => write_all(to, &buffer[..count]),
        Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}

/// Writes all bytes. False if the connection has ended.
fn write_all(to: &mut impl Write, mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        match to.write(bytes) {
            Ok(0) => return false,
            Ok(count) => bytes = &bytes[count..],
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(_) => return false,
        }
    }
    true
}

/// Makes the close of a stream send a TCP reset.
fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
