//! Clients' connections: accepting them, handling their requests, and closing some when descriptors run
//! short.

use super::budgets::SMALL_BUFFER_BYTES;
use super::connection::{CloseReason, Connection, Peer, ReadResult, has_no_input, peer_has_closed};
use super::timers::Timer;
use super::{Driver, REQUESTS_PER_ITERATION};
use crate::clients::{self, Client, Reply, Stage, Step};
use std::cmp::Ordering::Equal;
use std::io::ErrorKind;
use std::net::Shutdown;
use tracing::warn;

/// Time limit for a client to send one request, the first counted from its connect, or to read a response.
/// The client must get a response or a close within 3 s.
pub(super) const REQUEST_TIMEOUT_SECS: f64 = 2.0;
/// How long a client's connection is kept open between requests. It must not be closed before 2 s.
const CLIENT_IDLE_TIMEOUT_SECS: f64 = 2.2;
/// Clients normally send a request as soon as they have connected. One that has sent nothing for this long is
/// closed before others.
pub(super) const SILENT_CLIENT_SECS: f64 = 0.25;
/// How long a connection whose sending side was shut down waits for the client to close it.
const LINGER_TIMEOUT_SECS: f64 = 0.5;
/// One in this many of the clients' descriptors is reserved for new connections while others are lingering.
const RESERVED_DIVISOR: usize = 8;
/// Pause after a failed accept, as when the system is out of descriptors.
const ACCEPT_RETRY_DELAY_SECS: f64 = 0.1;

impl Driver {
    /// Accepts waiting connections as far as the limit allows, evicting others if needed.
    pub(super) fn accept(&mut self) {
        if self.now < self.accept_paused_until {
            return;
        }
        self.accept_blocked = false;
        for _ in 0..REQUESTS_PER_ITERATION {
            if self.client_count >= self.max_clients && !self.close_lingering_client() {
                self.evict_client(true);
                if !self.close_lingering_client() {
                    self.accept_blocked = true;
                    return;
                }
            }
            match self.listener.accept() {
                Ok((stream, addr)) => {
                    if let Ok(id) = self.register(stream, addr, Peer::Client(Client::new()), true) {
                        self.set_deadline(id, self.now + REQUEST_TIMEOUT_SECS);
                        self.client_ready(id);
                    }
                    // Eviction starts early, as a client takes a moment to close its connection.
                    if self.client_count > self.max_clients - self.max_clients / RESERVED_DIVISOR {
                        self.evict_client(false);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The waiting connection is gone.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    warn!(code = "accept", %e, "cannot accept a connection");
                    self.accept_paused_until = self.now + ACCEPT_RETRY_DELAY_SECS;
                    return self.set_timer(self.accept_paused_until, Timer::Accept);
                }
            }
        }
        self.accept_pending = true;
    }

    /// Closes a client's connection to free a descriptor: preferably one that has sent nothing for a while,
    /// then one between requests, then one with an incomplete request, and of each kind the one that has been
    /// so the longest. Many clients that stop in the middle of a request, or send nothing, must not lock
    /// others out. Connections that were just opened are closed only if `even_new` is set.
    fn evict_client(&mut self, even_new: bool) {
        let silent_deadline = self.now + REQUEST_TIMEOUT_SECS - SILENT_CLIENT_SECS;
        let rank = |connection: &Connection| match &connection.peer {
            Peer::Client(client) => match client.stage {
                Stage::Idle if client.awaits_first_request && connection.deadline < silent_deadline => {
                    Some(0)
                }
                Stage::Idle if !client.awaits_first_request => Some(1),
                Stage::Reading => Some(2),
                Stage::Idle => Some(3).filter(|_| even_new),
                Stage::Writing | Stage::Lingering => None,
            },
            _ => None,
        };
        // A connection with a request that was received but not read yet is kept.
        let Some(id) = self.oldest_without_input(rank) else { return };
        let peer = self.connections.get(&id).map(|connection| &connection.peer);
        if matches!(peer, Some(Peer::Client(client)) if client.stage == Stage::Reading) {
            self.reply_and_close(id, Reply::Unavailable);
            return self.client_ready(id);
        }
        self.begin_client_close(id, CloseReason::LimitReached);
    }

    /// Closes the connection that has been lingering the longest. True if there was one.
    fn close_lingering_client(&mut self) -> bool {
        let is_lingering = |connection: &Connection| {
            matches!(&connection.peer, Peer::Client(client) if client.stage == Stage::Lingering).then_some(0)
        };
        let Some(id) = self.oldest_without_input(is_lingering) else { return false };
        self.close(id, CloseReason::LimitReached);
        true
    }

    /// The connection without unread input that has the lowest rank, and of those the earliest deadline.
    fn oldest_without_input(&self, rank: impl Fn(&Connection) -> Option<u8>) -> Option<usize> {
        let by_rank_and_deadline =
            |left: &(u8, f64, usize), right: &(u8, f64, usize)| left.partial_cmp(right).unwrap_or(Equal);
        let mut candidates: Vec<_> = self
            .connections
            .iter()
            .filter_map(|(id, connection)| Some((rank(connection)?, connection.deadline, *id)))
            .collect();
        candidates.sort_by(by_rank_and_deadline);
        let has_no_input_yet =
            |id: &usize| self.connections.get(id).is_some_and(|connection| has_no_input(&connection.stream));
        candidates.into_iter().map(|candidate| candidate.2).find(has_no_input_yet)
    }

    /// Writes to and reads from a client's connection and handles the requests received.
    pub(super) fn client_ready(&mut self, id: usize) {
        for _ in 0..REQUESTS_PER_ITERATION {
            if !self.flush(id) {
                return self.close(id, CloseReason::PeerReset);
            }
            let Some(connection) = self.connections.get_mut(&id) else { return };
            let Peer::Client(client) = &mut connection.peer else { return };
            if !connection.output.is_empty() {
                return self.set_stage(id, Stage::Writing);
            }
            match client.next_step() {
                Step::HandleRequest(request) => {
                    let routed = clients::route(request.head, self.bridge.event_types());
                    let (reply, number) = match routed {
                        // A client that did not wait for the response gets its webhook refused.
                        Ok(_) if !self.accepts_webhooks || peer_has_closed(&connection.stream) => {
                            (Reply::Unavailable, None)
                        }
                        Ok(incoming) => self.bridge.hand_in(self.now, incoming, request.body),
                        Err(reply) => (reply, None),
                    };
                    let is_last = !request.keep_alive || self.shutdown_at.is_some();
                    (client.awaits_first_request, client.unreplied_webhook, client.stage) =
                        (false, number, Stage::Writing);
                    if is_last {
                        client.begin_close();
                    }
                    clients::encode_reply(&mut connection.output, reply, is_last);
                }
                Step::Reject(status) => self.reply_and_close(id, Reply::Status(status)),
                Step::SendContinue => connection.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n"),
                Step::ShutdownWrite => {
                    // If this fails, the connection is gone and the next read reports it.
                    let _ = connection.stream.shutdown(Shutdown::Write);
                    self.set_stage(id, Stage::Lingering);
                }
                Step::Close => return self.close(id, CloseReason::Completed),
                Step::Read => match self.read(id) {
                    ReadResult::Bytes(count) => {
                        let Some(connection) = self.connections.get_mut(&id) else { return };
                        let Peer::Client(client) = &mut connection.peer else { return };
                        client.receive(&self.read_buffer[..count]);
                        if client.buffered_bytes() > SMALL_BUFFER_BYTES && self.buffers_full(true) {
                            self.reply_and_close(id, Reply::Unavailable);
                        }
                    }
                    ReadResult::WouldBlock => {
                        let shutting_down = self.shutdown_at.is_some();
                        let Some(connection) = self.connections.get_mut(&id) else { return };
                        let Peer::Client(client) = &mut connection.peer else { return };
                        if let Some(stage) = client.read_blocked(shutting_down) {
                            return self.set_stage(id, stage);
                        }
                        connection.close_reason = Some(CloseReason::ShuttingDown);
                    }
                    ReadResult::Closed(reason) => return self.close(id, reason),
                },
            }
        }
        self.still_ready.insert(id);
    }

    /// Sends the last reply on a client's connection, which is closed after it.
    pub(super) fn reply_and_close(&mut self, id: usize, reply: Reply) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Peer::Client(client) = &mut connection.peer else { return };
        clients::encode_reply(&mut connection.output, reply, true);
        client.begin_close();
    }

    /// Closes a client's connection between requests. A request that arrives meanwhile is not handled.
    pub(super) fn begin_client_close(&mut self, id: usize, reason: CloseReason) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Peer::Client(client) = &mut connection.peer else { return };
        client.begin_close();
        connection.close_reason = Some(reason);
        self.client_ready(id);
    }

    /// Sets what the connection waits for from now on, and its deadline.
    fn set_stage(&mut self, id: usize, stage: Stage) {
        let Some(Connection { peer: Peer::Client(client), .. }) = self.connections.get_mut(&id) else {
            return;
        };
        let previous_stage = std::mem::replace(&mut client.stage, stage);
        let timeout_secs = match stage {
            Stage::Idle => CLIENT_IDLE_TIMEOUT_SECS,
            Stage::Reading | Stage::Writing => REQUEST_TIMEOUT_SECS,
            Stage::Lingering => LINGER_TIMEOUT_SECS,
        };
        // Receiving a request in small pieces does not extend its deadline, nor does starting the first one
        // late.
        if previous_stage != stage && !(client.awaits_first_request && stage == Stage::Reading) {
            self.set_deadline(id, self.now + timeout_secs);
        }
        self.accept_pending |= self.accept_blocked && matches!(stage, Stage::Idle | Stage::Lingering);
    }
}
