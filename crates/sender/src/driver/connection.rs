//! What all connections have in common, whoever is at the other end: they are opened, read, written and closed.

use super::Driver;
use crate::clients::Client;
use crate::endpoints::EndpointConnection;
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
    Endpoint(EndpointConnection),
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
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) addr: SocketAddr,
    pub(super) peer: Peer,
    /// False while the connection is coming up.
    pub(super) up: bool,
    /// What is to be written, and how much of it is.
    pub(super) out: Vec<u8>,
    pub(super) sent: usize,
    /// When something must have happened, and when that is looked at next.
    pub(super) deadline: f64,
    pub(super) timer: f64,
    /// Why its end was begun, where it was.
    pub(super) ends: Option<Reason>,
}

/// What a read brought.
pub(super) enum ReadResult {
    Bytes(usize),
    Nothing,
    End(Reason),
}

/// The connection is up; false where it is still on its way.
fn is_connected(stream: &TcpStream) -> io::Result<bool> {
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
pub(super) fn nothing_to_read(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// The other side has ended its sending, or the connection is broken.
pub(super) fn has_ended(stream: &TcpStream) -> bool {
    match stream.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

impl Driver {
    /// Takes a connection in among those that are watched and returns its number.
    pub(super) fn add(
        &mut self, mut stream: TcpStream, addr: SocketAddr, peer: Peer, up: bool,
    ) -> io::Result<usize> {
        let id = self.next_connection;
        self.next_connection += 1;
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(id), both)?;
        // Without it a small message may wait for the answer to the one before; not vital.
        let _ = stream.set_nodelay(true);
        match &peer {
            Peer::Client(_) => self.client_count += 1,
            Peer::Endpoint(_) => self.endpoint_count += 1,
            _ => {}
        }
        let (out, sent, deadline, timer, ends) = (Vec::new(), 0, f64::INFINITY, f64::INFINITY, None);
        self.connections.insert(id, Connection { stream, addr, peer, up, out, sent, deadline, timer, ends });
        Ok(id)
    }

    /// Begins to open a connection.
    pub(super) fn connect(&mut self, addr: SocketAddr, peer: Peer) -> io::Result<usize> {
        let stream = TcpStream::connect(addr)?;
        self.add(stream, addr, peer, false)
    }

    /// Closes a connection and forgets what was on it.
    pub(super) fn close(&mut self, id: usize, reason: Reason) {
        let Some(mut connection) = self.connections.remove(&id) else { return };
        let _ = self.poll.registry().deregister(&mut connection.stream);
        self.ready_again.remove(&id);
        let ep =
            if let Peer::Endpoint(endpoint) = &connection.peer { Some(endpoint.name.as_str()) } else { None };
        let reason = connection.ends.unwrap_or(reason);
        info!(peer = connection.peer.name(), code = reason.code(), ep, addr = %connection.addr, link = id, "connection ended");
        match connection.peer {
            Peer::Client(client) => {
                self.client_count -= 1;
                self.accept_again |= self.accept_waits;
                if let Some(number) = client.unacknowledged {
                    self.bridge.withdraw(self.now, number);
                }
            }
            Peer::Endpoint(endpoint) => {
                self.endpoint_count -= 1;
                self.pool.remove(&endpoint.name, id);
                for webhook in endpoint.call.iter().flat_map(|c| &c.webhooks) {
                    self.calls.remove(&webhook.number);
                }
            }
            Peer::List => self.list_connection = None,
            Peer::Notices => self.notice_connection = None,
        }
    }

    /// Something may be read from a connection or written to it, or it has come up.
    pub(super) fn ready(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.up {
            match is_connected(&connection.stream) {
                Ok(true) => connection.up = true,
                Ok(false) => return,
                Err(_) => return self.connection_failed(id, Reason::NotUp),
            }
            if matches!(connection.peer, Peer::Endpoint(_)) {
                return self.send_call(id);
            }
        }
        match connection.peer {
            Peer::Client(_) => self.client_ready(id),
            Peer::Endpoint(_) => self.endpoint_ready(id),
            Peer::List => self.list_ready(id),
            Peer::Notices => self.notices_ready(id),
        }
    }

    fn connection_failed(&mut self, id: usize, reason: Reason) {
        match self.connections.get(&id).map(|connection| &connection.peer) {
            Some(Peer::Client(_)) => self.close(id, reason),
            Some(Peer::Endpoint(_)) => self.abort_call(id, Outcome::Reset, reason),
            Some(Peer::List) => self.list_failed(reason),
            Some(Peer::Notices) => self.notices_failed(reason),
            None => {}
        }
    }

    /// Writes what is to be written. False where the connection is broken.
    pub(super) fn flush(&mut self, id: usize) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        while connection.sent < connection.out.len() {
            match connection.stream.write(&connection.out[connection.sent..]) {
                Ok(0) => return false,
                Ok(count) => connection.sent += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        connection.out.clear();
        connection.sent = 0;
        match &mut connection.peer {
            Peer::Client(client) => client.unacknowledged = None,
            Peer::Endpoint(EndpointConnection { call: Some(call), .. }) => call.written = true,
            _ => {}
        }
        true
    }

    /// Reads what has come, up to the size of the buffer.
    pub(super) fn read(&mut self, id: usize) -> ReadResult {
        let Some(connection) = self.connections.get_mut(&id) else { return ReadResult::Nothing };
        loop {
            return match connection.stream.read(&mut self.read_buffer) {
                Ok(0) => ReadResult::End(Reason::PeerClosed),
                Ok(count) => ReadResult::Bytes(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => ReadResult::Nothing,
                Err(_) => ReadResult::End(Reason::PeerReset),
            };
        }
    }
}
