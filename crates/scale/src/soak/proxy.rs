//! A proxy before an endpoint: it can cut connections, lose answers, reset all, and let new connections come up late. What
//! it holds back is never passed on later: a connection that missed something is reset when the trouble is over, so that
//! a call arrives when it was written or not at all.

use crate::error::Error;
use crate::interrupt::Stop;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Connections that the system accepts by itself. Where the proxy takes none up, those beyond come up a second late.
const BACKLOG: i32 = 8;
/// Connections of the proxy's own that fill it, some more than it holds.
const FILLERS: usize = 12;
const LOOK: Duration = Duration::from_millis(5);
/// Linux tells by it that a peer has ended its sending, also behind data that is not read yet.
const POLLRDHUP: i16 = 0x2000;
const FILL_PATIENCE: Duration = Duration::from_millis(10);

/// What passes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    Pass,
    /// Nothing, either way.
    Cut,
    /// Requests, and no answers.
    LoseAnswers,
    /// All, but new connections come up late.
    LateConnect,
}

impl Mode {
    fn from_number(number: u8) -> Mode {
        let all = [Mode::Pass, Mode::Cut, Mode::LoseAnswers, Mode::LateConnect];
        all.into_iter().find(|mode| *mode as u8 == number).unwrap_or(Mode::Pass)
    }
}

#[derive(Debug, Default)]
struct Shared {
    mode: AtomicU8,
    /// Counts the times at which all connections were reset.
    resets: AtomicU64,
    over: Stop,
}

impl Shared {
    fn mode(&self) -> Mode {
        Mode::from_number(self.mode.load(Ordering::SeqCst))
    }
}

/// A running proxy. It ends, with all its connections, when this is dropped.
#[derive(Debug)]
pub struct Proxy {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Listens at an address and passes all on to another.
    pub fn start(listen: SocketAddr, to: SocketAddr) -> Result<Proxy, Error> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&listen.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        let (listener, shared) = (TcpListener::from(socket), Arc::new(Shared::default()));
        let own = shared.clone();
        let thread = std::thread::Builder::new().name("proxy".into());
        let thread = thread.spawn(move || accept(&listener, listen, to, &own))?;
        Ok(Proxy { shared, thread: Some(thread) })
    }

    /// What passes now.
    pub fn mode(&self) -> Mode {
        self.shared.mode()
    }

    /// Sets what passes from now on.
    pub fn set(&self, mode: Mode) {
        self.shared.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Resets all connections that there are.
    pub fn reset_all(&self) {
        self.shared.resets.fetch_add(1, Ordering::SeqCst);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.over.set();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn accept(listener: &TcpListener, listen: SocketAddr, to: SocketAddr, shared: &Arc<Shared>) {
    let (mut fillers, mut waited) = (Vec::<TcpStream>::new(), false);
    while !shared.over.is_set() {
        if shared.mode() == Mode::LateConnect {
            if fillers.is_empty() {
                let fill = |_| TcpStream::connect_timeout(&listen, FILL_PATIENCE).ok();
                fillers = (0..FILLERS).filter_map(fill).collect();
            }
            std::thread::sleep(LOOK);
            continue;
        }
        // What came up meanwhile waits in the listener's queue, perhaps with calls that its sender has given up since.
        waited |= !fillers.is_empty();
        fillers.clear();
        match listener.accept() {
            Ok((stream, _)) if waited && has_come_to_something(&stream) => reset(&stream),
            Ok((stream, _)) => {
                let own = shared.clone();
                // Where no thread can be had the connection ends, as on a machine that is short of them.
                let _ =
                    std::thread::Builder::new().name("proxied".into()).spawn(move || pass(&stream, to, &own));
            }
            Err(_) => {
                waited = false;
                std::thread::sleep(LOOK);
            }
        }
    }
}

/// Bytes have come on a new connection, or it has ended.
fn has_come_to_something(stream: &TcpStream) -> bool {
    look(stream, stream).is_none_or(|(near, _)| near.data || near.ended)
}

/// One connection, until it ends.
fn pass(near: &TcpStream, to: SocketAddr, shared: &Shared) {
    let Ok(far) = TcpStream::connect(to) else { return reset(near) };
    let ready = [near, &far]
        .iter()
        .all(|stream| stream.set_nodelay(true).is_ok() && stream.set_nonblocking(true).is_ok());
    let resets = shared.resets.load(Ordering::SeqCst);
    let mut missed = !ready;
    while !shared.over.is_set() {
        let mode = shared.mode();
        let passes = matches!(mode, Mode::Pass | Mode::LateConnect);
        if shared.resets.load(Ordering::SeqCst) != resets || (missed && passes) {
            return reset(near);
        }
        let Some((from_near, from_far)) = look(near, &far) else { return };
        if mode == Mode::Cut {
            missed |= from_near.data || from_far.data;
            // What the near side sent before it ended has not arrived, and never will.
            if from_near.ended {
                return;
            }
            std::thread::sleep(LOOK);
            continue;
        }
        let mut sink = std::io::sink();
        let lost = mode == Mode::LoseAnswers;
        missed |= lost && from_far.data;
        let answers = if lost { copy(&far, &mut sink) } else { copy(&far, &mut &*near) };
        if !copy(near, &mut &far) || !answers {
            return;
        }
    }
}

/// What is there to be read from a side.
struct Readable {
    data: bool,
    /// It has ended its sending, perhaps behind data that is not read yet.
    ended: bool,
}

fn look(near: &TcpStream, far: &TcpStream) -> Option<(Readable, Readable)> {
    let events = PollFlags::POLLIN.union(PollFlags::from_bits_retain(POLLRDHUP));
    let mut both = [PollFd::new(near.as_fd(), events), PollFd::new(far.as_fd(), events)];
    let wait = PollTimeout::try_from(LOOK).unwrap_or(PollTimeout::ZERO);
    if poll(&mut both, wait).is_err_and(|e| e != nix::errno::Errno::EINTR) {
        return None;
    }
    let readable = |one: &PollFd| {
        let ended = PollFlags::POLLHUP | PollFlags::POLLERR;
        match one.revents() {
            Some(events) => {
                Readable { data: events.contains(PollFlags::POLLIN), ended: events.intersects(ended) }
            }
            // The library does not know the flag of a side that has ended its sending.
            None => Readable { data: true, ended: true },
        }
    };
    Some((readable(&both[0]), readable(&both[1])))
}

/// Passes on what has come. False where the connection has ended.
fn copy(mut from: &TcpStream, to: &mut impl Write) -> bool {
    let mut buffer = [0; 16 * 1024];
    match from.read(&mut buffer) {
        Ok(0) => false,
        Ok(count) => write_all(to, &buffer[..count]),
        Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
    }
}

fn write_all(to: &mut impl Write, mut bytes: &[u8]) -> bool {
    while !bytes.is_empty() {
        match to.write(bytes) {
            Ok(0) => return false,
            Ok(count) => bytes = &bytes[count..],
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(_) => return false,
        }
    }
    true
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
