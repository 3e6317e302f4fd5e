//! What all connections have in common, whoever is at the other end: they are opened, read, written and closed.

use super::Driver;
use crate::clients::Client;
use crate::endpoints::Line;
use mio::net::TcpStream;
use mio::{Interest, Token};
use scalebarrow::Outcome;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use tracing::info;

/// Why a connection ended, as log lines name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
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

/// Who is at the other end of a connection.
pub(super) enum Peer {
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

/// One connection.
pub(super) struct Link {
    pub(super) stream: TcpStream,
    pub(super) addr: SocketAddr,
    pub(super) peer: Peer,
    /// False while the connection is coming up.
    pub(super) up: bool,
    pub(super) out: Vec<u8>,
    pub(super) sent: usize,
    /// When something must have happened, and when that is looked at next.
    pub(super) due: f64,
    pub(super) timer: f64,
    /// Why its end was begun, where it was.
    pub(super) ends: Option<Reason>,
}

/// What a read brought.
pub(super) enum Got {
    Bytes(usize),
    Nothing,
    End(Reason),
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
pub(super) fn is_quiet(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// The other side has ended its sending, or the connection is broken.
pub(super) fn is_gone(stream: &TcpStream) -> bool {
    match stream.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

impl Driver {
    pub(super) fn add(
        &mut self, mut stream: TcpStream, addr: SocketAddr, peer: Peer, up: bool,
    ) -> io::Result<usize> {
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

    pub(super) fn connect(&mut self, addr: SocketAddr, peer: Peer) -> io::Result<usize> {
        let stream = TcpStream::connect(addr)?;
        self.add(stream, addr, peer, false)
    }

    pub(super) fn close(&mut self, link: usize, reason: Reason) {
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

    pub(super) fn ready(&mut self, link: usize) {
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
    pub(super) fn flush(&mut self, link: usize) -> bool {
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

    pub(super) fn read(&mut self, link: usize) -> Got {
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
}
