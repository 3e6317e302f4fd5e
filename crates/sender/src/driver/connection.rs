//! Operations common to all connections, whatever the peer: opening, reading, writing and closing.

use super::Driver;
use crate::clients::Client;
use crate::endpoints::EndpointConnection;
use mio::net::TcpStream;
use mio::{Interest, Token};
use scalebarrow::Outcome;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use tracing::{debug, info};

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// The last message on it was exchanged.
    Completed,
    /// The peer sent something invalid.
    InvalidMessage,
    /// The call on it was cancelled.
    CallCancelled,
    /// The call for which it was opened must not be written any more.
    CallHeldBack,
    /// The process shuts down.
    ShuttingDown,
    /// It was idle for too long or is no longer needed.
    Idle,
    /// The discovery service has a new address.
    ServerMoved,
    /// A limit on descriptors or storage is reached.
    LimitReached,
    /// It could not be opened.
    NotConnected,
    PeerClosed,
    PeerReset,
    /// The peer refused the request.
    Refused,
    /// A deadline has passed.
    Timeout,
    /// The peer sent a response to no request.
    UnsolicitedResponse,
}

impl CloseReason {
    /// The value of the log field `code`.
    fn code(self) -> &'static str {
        match self {
            CloseReason::Completed => "completed",
            CloseReason::InvalidMessage => "invalid-message",
            CloseReason::CallCancelled => "cancelled",
            CloseReason::CallHeldBack => "held-back",
            CloseReason::ShuttingDown => "shutting-down",
            CloseReason::Idle => "idle",
            CloseReason::ServerMoved => "server-moved",
            CloseReason::LimitReached => "limit-reached",
            CloseReason::NotConnected => "connect-failed",
            CloseReason::PeerClosed => "peer-closed",
            CloseReason::PeerReset => "peer-reset",
            CloseReason::Refused => "refused",
            CloseReason::Timeout => "timeout",
            CloseReason::UnsolicitedResponse => "unsolicited-response",
        }
    }
}

/// The kind of peer of a connection, with its state.
pub(super) enum Peer {
    Client(Client),
    Endpoint(EndpointConnection),
    /// The platform's discovery service, for the endpoint list.
    List,
    /// The same service, for notices of final answers.
    Notices,
}

impl Peer {
    /// The value of the log field `peer`.
    fn name(&self) -> &'static str {
        match self {
            Peer::Client(_) => "client",
            Peer::Endpoint(_) => "endpoint",
            Peer::List => "list",
            Peer::Notices => "notices",
        }
    }
}

/// A connection to a peer.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) addr: SocketAddr,
    pub(super) peer: Peer,
    /// When it was opened or accepted.
    pub(super) opened_at: f64,
    /// False while the connection is being opened.
    pub(super) is_up: bool,
    /// The bytes to write, of which `written_bytes` are written.
    pub(super) output: Vec<u8>,
    pub(super) written_bytes: usize,
    /// When the event that the connection waits for must have happened.
    pub(super) deadline: f64,
    /// When the earliest timer set for this connection expires.
    pub(super) timer_at: f64,
    /// Why its close was begun, if it was.
    pub(super) close_reason: Option<CloseReason>,
}

/// The result of a read.
pub(super) enum ReadResult {
    /// The number of bytes read.
    Bytes(usize),
    WouldBlock,
    Closed(CloseReason),
}

/// True if the connection is open, false if it is still being opened.
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

/// True if there is no unread input and the peer has not closed its sending side.
pub(super) fn has_no_input(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// Why a connection must not carry a request that is not written yet, if it must not: the peer has closed it,
/// or has sent something that cannot be the response.
pub(super) fn input_before_request(stream: &TcpStream) -> Option<CloseReason> {
    match () {
        () if has_no_input(stream) => None,
        () if peer_has_closed(stream) => Some(CloseReason::PeerClosed),
        () => Some(CloseReason::UnsolicitedResponse),
    }
}

/// True if the peer has closed its sending side or the connection is broken.
pub(super) fn peer_has_closed(stream: &TcpStream) -> bool {
    match stream.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    }
}

impl Driver {
    /// Registers a connection with the event loop and returns its id.
    pub(super) fn register(
        &mut self, mut stream: TcpStream, addr: SocketAddr, peer: Peer, is_up: bool,
    ) -> io::Result<usize> {
        let id = self.next_connection_id;
        self.next_connection_id += 1;
        let interests = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(id), interests)?;
        // Without this a small message may wait for the acknowledgement of the previous one. A failure does
        // no harm.
        let _ = stream.set_nodelay(true);
        match &peer {
            Peer::Client(_) => self.client_count += 1,
            Peer::Endpoint(_) => self.endpoint_count += 1,
            _ => {}
        }
        let connection = Connection {
            stream,
            addr,
            peer,
            opened_at: self.now,
            is_up,
            output: Vec::new(),
            written_bytes: 0,
            deadline: f64::INFINITY,
            timer_at: f64::INFINITY,
            close_reason: None,
        };
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// Starts to open a connection.
    pub(super) fn connect(&mut self, addr: SocketAddr, peer: Peer) -> io::Result<usize> {
        let stream = TcpStream::connect(addr)?;
        self.register(stream, addr, peer, false)
    }

    /// Closes a connection and discards its state.
    pub(super) fn close(&mut self, id: usize, reason: CloseReason) {
        let Some(mut connection) = self.connections.remove(&id) else { return };
        let _ = self.poll.registry().deregister(&mut connection.stream);
        self.still_ready.remove(&id);
        let endpoint_name =
            if let Peer::Endpoint(endpoint) = &connection.peer { Some(endpoint.name.as_str()) } else { None };
        let reason = connection.close_reason.unwrap_or(reason);
        let (peer, code, addr) = (connection.peer.name(), reason.code(), connection.addr);
        // Each call to an endpoint ends like this.
        if endpoint_name.is_some() && reason == CloseReason::Completed {
            debug!(peer, code, ep = endpoint_name, %addr, link = id, "connection closed");
        } else {
            info!(peer, code, ep = endpoint_name, %addr, link = id, "connection closed");
        }
        match connection.peer {
            Peer::Client(client) => {
                self.client_count -= 1;
                self.accept_pending |= self.accept_blocked;
                if let Some(number) = client.unreplied_webhook {
                    self.bridge.withdraw(self.now, number);
                }
            }
            Peer::Endpoint(endpoint) => {
                self.endpoint_count -= 1;
                self.pool.remove(&endpoint.name, id);
                for webhook in endpoint.call.iter().flat_map(|call| &call.webhooks) {
                    self.call_connections.remove(&webhook.number);
                }
            }
            Peer::List => self.list_connection = None,
            Peer::Notices => self.notice_connection = None,
        }
    }

    /// Handles a connection that is readable, writable, or just opened.
    pub(super) fn ready(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.is_up {
            match is_connected(&connection.stream) {
                Ok(true) => connection.is_up = true,
                Ok(false) => return,
                Err(_) => return self.connection_failed(id, CloseReason::NotConnected),
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

    /// Handles a connection that could not be opened.
    fn connection_failed(&mut self, id: usize, reason: CloseReason) {
        match self.connections.get(&id).map(|connection| &connection.peer) {
            Some(Peer::Client(_)) => self.close(id, reason),
            Some(Peer::Endpoint(_)) => self.abort_call(id, Outcome::Reset, reason),
            Some(Peer::List) => self.list_failed(reason),
            Some(Peer::Notices) => self.notices_failed(reason),
            None => {}
        }
    }

    /// Writes as much pending output as possible. False if the connection is broken.
    pub(super) fn flush(&mut self, id: usize) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        while connection.written_bytes < connection.output.len() {
            match connection.stream.write(&connection.output[connection.written_bytes..]) {
                Ok(0) => return false,
                Ok(count) => connection.written_bytes += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(_) => return false,
            }
        }
        connection.output.clear();
        connection.written_bytes = 0;
        match &mut connection.peer {
            Peer::Client(client) => client.unreplied_webhook = None,
            Peer::Endpoint(EndpointConnection { call: Some(call), .. }) => call.written = true,
            _ => {}
        }
        true
    }

    /// Reads into the read buffer.
    pub(super) fn read(&mut self, id: usize) -> ReadResult {
        let Some(connection) = self.connections.get_mut(&id) else { return ReadResult::WouldBlock };
        loop {
            return match connection.stream.read(&mut self.read_buffer) {
                Ok(0) => ReadResult::Closed(CloseReason::PeerClosed),
                Ok(count) => ReadResult::Bytes(count),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => ReadResult::WouldBlock,
                Err(_) => ReadResult::Closed(CloseReason::PeerReset),
            };
        }
    }
}
