//! Connections of clients: they are accepted, served, and asked to go where room is short.

use super::budgets::SMALL;
use super::connection::{Got, Link, Peer, Reason, is_gone, is_quiet};
use super::timers::Due;
use super::{Driver, MOST_AT_ONCE};
use crate::clients::{self, Client, Reply, Stage, Step};
use std::cmp::Ordering::Equal;
use std::io::ErrorKind;
use std::net::Shutdown;
use tracing::warn;

/// A client has so long for one request, the first counted from when it connected, or to take its answer. It is owed
/// an answer or an end within 3 s.
pub(super) const SLOW_CLIENT: f64 = 2.0;
/// A client's connection between requests, which may be closed after 2 s.
const IDLE_CLIENT: f64 = 2.2;
/// Who connects to ask does so at once; one that has said nothing for so long goes before others.
pub(super) const HUSH: f64 = 0.25;
/// A client's connection whose sending side is shut stays open for the client's own end for so long.
const LINGER: f64 = 0.5;
/// One of so many of the clients' descriptors is kept for those that come while others linger.
const NEWCOMERS: usize = 8;
/// Before another try where no connection can be accepted, as when the system is short of descriptors.
const ACCEPT_PAUSE: f64 = 0.1;

impl Driver {
    pub(super) fn accept(&mut self) {
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

    pub(super) fn client_ready(&mut self, link: usize) {
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
    pub(super) fn turn_away(&mut self, link: usize, reply: Reply) {
        let Some(l) = self.links.get_mut(&link) else { return };
        let Peer::Client(client) = &mut l.peer else { return };
        clients::encode(&mut l.out, reply, true);
        client.end();
    }

    /// Ends a client's connection between requests. One that crosses this on its way is not taken on.
    pub(super) fn end_client(&mut self, link: usize, reason: Reason) {
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
}
