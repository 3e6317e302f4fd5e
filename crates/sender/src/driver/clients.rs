//! Connections of clients: they are accepted, served, and asked to go where room is short.

use super::budgets::SMALL_BUFFER;
use super::connection::{Connection, Peer, ReadResult, Reason, has_ended, nothing_to_read};
use super::timers::Timer;
use super::{Driver, REQUESTS_PER_TURN};
use crate::clients::{self, Client, Reply, Stage, Step};
use std::cmp::Ordering::Equal;
use std::io::ErrorKind;
use std::net::Shutdown;
use tracing::warn;

/// A client has so long for one request, the first counted from when it connected, or to take its answer. It is owed
/// an answer or an end within 3 s.
pub(super) const REQUEST_TIMEOUT: f64 = 2.0;
/// A client's connection between requests, which may be closed after 2 s.
const CLIENT_IDLE_TIMEOUT: f64 = 2.2;
/// Who connects to ask does so at once; one that has said nothing for so long goes before others.
pub(super) const SILENT_CLIENT: f64 = 0.25;
/// A client's connection whose sending side is shut stays open for the client's own end for so long.
const LINGER_TIMEOUT: f64 = 0.5;
/// One of so many of the clients' descriptors is kept for those that come while others linger.
const RESERVED_PART: usize = 8;
/// Before another try where no connection can be accepted, as when the system is short of descriptors.
const ACCEPT_RETRY_PAUSE: f64 = 0.1;

impl Driver {
    /// Accepts the connections that wait, as far as there is room or room can be made.
    pub(super) fn accept(&mut self) {
        if self.now < self.accept_paused_until {
            return;
        }
        self.accept_waits = false;
        for _ in 0..REQUESTS_PER_TURN {
            if self.client_count >= self.max_clients && !self.close_lingering_client() {
                self.end_idle_client(true);
                if !self.close_lingering_client() {
                    self.accept_waits = true;
                    return;
                }
            }
            match self.listener.accept() {
                Ok((stream, addr)) => {
                    if let Ok(id) = self.add(stream, addr, Peer::Client(Client::new()), true) {
                        self.set_deadline(id, self.now + REQUEST_TIMEOUT);
                        self.client_ready(id);
                    }
                    // Room is made early: who is asked to go takes a moment.
                    if self.client_count > self.max_clients - self.max_clients / RESERVED_PART {
                        self.end_idle_client(false);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // The one that waited is gone.
                Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(e) => {
                    warn!(code = "accept", %e, "no connection can be accepted");
                    self.accept_paused_until = self.now + ACCEPT_RETRY_PAUSE;
                    return self.set_timer(self.accept_paused_until, Timer::Accept);
                }
            }
        }
        self.accept_again = true;
    }

    /// Makes room by a client's connection: first of those that have said nothing yet for a while, then of those between
    /// requests, and of those whose request is still coming; of each the one that has been so longest. Many that begin a
    /// request and stop, or say nothing, must not keep others out. Who has only just come goes where room is short.
    fn end_idle_client(&mut self, short: bool) {
        let silent_until = self.now + REQUEST_TIMEOUT - SILENT_CLIENT;
        let rank = |connection: &Connection| match &connection.peer {
            Peer::Client(c) => match c.stage {
                Stage::Idle if c.fresh && connection.deadline < silent_until => Some(0),
                Stage::Idle if !c.fresh => Some(1),
                Stage::Reading => Some(2),
                Stage::Idle => Some(3).filter(|_| short),
                Stage::Writing | Stage::Lingering => None,
            },
            _ => None,
        };
        // One whose request has come but is not read yet stays.
        let Some(id) = self.oldest_quiet(rank) else { return };
        let peer = self.connections.get(&id).map(|connection| &connection.peer);
        if matches!(peer, Some(Peer::Client(c)) if c.stage == Stage::Reading) {
            self.refuse_client(id, Reply::Unavailable);
            return self.client_ready(id);
        }
        self.end_client(id, Reason::NoRoom);
    }

    /// Where those asked to go fill all room, the one that was asked first is not waited for any longer.
    fn close_lingering_client(&mut self) -> bool {
        let lingers = |connection: &Connection| {
            matches!(&connection.peer, Peer::Client(c) if c.stage == Stage::Lingering).then_some(0)
        };
        let Some(id) = self.oldest_quiet(lingers) else { return false };
        self.close(id, Reason::NoRoom);
        true
    }

    /// Of the connections of the lowest rank on which nothing has come, the one whose time is up first.
    fn oldest_quiet(&self, rank: impl Fn(&Connection) -> Option<u8>) -> Option<usize> {
        let least = |a: &(u8, f64, usize), b: &(u8, f64, usize)| a.partial_cmp(b).unwrap_or(Equal);
        let mut found: Vec<_> = self
            .connections
            .iter()
            .filter_map(|(n, connection)| Some((rank(connection)?, connection.deadline, *n)))
            .collect();
        found.sort_by(least);
        let quiet = |id: &usize| {
            self.connections.get(id).is_some_and(|connection| nothing_to_read(&connection.stream))
        };
        found.into_iter().map(|f| f.2).find(quiet)
    }

    /// Writes and reads on a client's connection and serves the requests that have come.
    pub(super) fn client_ready(&mut self, id: usize) {
        for _ in 0..REQUESTS_PER_TURN {
            if !self.flush(id) {
                return self.close(id, Reason::PeerReset);
            }
            let Some(connection) = self.connections.get_mut(&id) else { return };
            let Peer::Client(client) = &mut connection.peer else { return };
            if !connection.out.is_empty() {
                return self.set_stage(id, Stage::Writing);
            }
            match client.step() {
                Step::Serve(request) => {
                    let routed = clients::route(request.head, self.bridge.event_types());
                    let (reply, number) = match routed {
                        // It did not wait for the answer: what it handed in is not taken on.
                        Ok(_) if !self.accepts_webhooks || has_ended(&connection.stream) => {
                            (Reply::Unavailable, None)
                        }
                        Ok(hand_in) => self.bridge.hand_in(self.now, hand_in, request.body),
                        Err(reply) => (reply, None),
                    };
                    let last = !request.keep_alive || self.closing.is_some();
                    (client.fresh, client.unacknowledged, client.stage) = (false, number, Stage::Writing);
                    if last {
                        client.end();
                    }
                    clients::encode(&mut connection.out, reply, last);
                }
                Step::Refuse(status) => self.refuse_client(id, Reply::Status(status)),
                Step::Leave => connection.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n"),
                Step::Shut => {
                    // Where this fails the connection is gone, which the next read tells.
                    let _ = connection.stream.shutdown(Shutdown::Write);
                    self.set_stage(id, Stage::Lingering);
                }
                Step::Close => return self.close(id, Reason::Answered),
                Step::Read => match self.read(id) {
                    ReadResult::Bytes(count) => {
                        let Some(connection) = self.connections.get_mut(&id) else { return };
                        let Peer::Client(client) = &mut connection.peer else { return };
                        client.bytes(&self.read_buffer[..count]);
                        if client.held() > SMALL_BUFFER && self.buffers_full(true) {
                            self.refuse_client(id, Reply::Unavailable);
                        }
                    }
                    ReadResult::Nothing => {
                        let closing = self.closing.is_some();
                        let Some(connection) = self.connections.get_mut(&id) else { return };
                        let Peer::Client(client) = &mut connection.peer else { return };
                        if let Some(stage) = client.quiet(closing) {
                            return self.set_stage(id, stage);
                        }
                        connection.ends = Some(Reason::Closing);
                    }
                    ReadResult::End(reason) => return self.close(id, reason),
                },
            }
        }
        self.ready_again.insert(id);
    }

    /// The last answer on a client's connection: nothing more is taken from it.
    pub(super) fn refuse_client(&mut self, id: usize, reply: Reply) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Peer::Client(client) = &mut connection.peer else { return };
        clients::encode(&mut connection.out, reply, true);
        client.end();
    }

    /// Ends a client's connection between requests. One that crosses this on its way is not taken on.
    pub(super) fn end_client(&mut self, id: usize, reason: Reason) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Peer::Client(client) = &mut connection.peer else { return };
        client.end();
        connection.ends = Some(reason);
        self.client_ready(id);
    }

    /// What is awaited from now on, and by when.
    fn set_stage(&mut self, id: usize, stage: Stage) {
        let Some(Connection { peer: Peer::Client(client), .. }) = self.connections.get_mut(&id) else {
            return;
        };
        let old = std::mem::replace(&mut client.stage, stage);
        let within = match stage {
            Stage::Idle => CLIENT_IDLE_TIMEOUT,
            Stage::Reading | Stage::Writing => REQUEST_TIMEOUT,
            Stage::Lingering => LINGER_TIMEOUT,
        };
        // A request may not take longer because it comes in small pieces, nor the first because it begins late.
        if old != stage && !(client.fresh && stage == Stage::Reading) {
            self.set_deadline(id, self.now + within);
        }
        self.accept_again |= self.accept_waits && matches!(stage, Stage::Idle | Stage::Lingering);
    }
}
