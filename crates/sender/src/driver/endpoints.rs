//! Connections to the destinations' endpoints: calls go out on them, and answers come back.

use super::budgets::SMALL_BUFFER;
use super::connection::{Connection, Peer, ReadResult, Reason, nothing_to_read};
use super::{Driver, READS_PER_TURN};
use crate::bridge::WriteDecision;
use crate::endpoints::{self, AttemptResult, Call, EndpointConnection, ResponseHead};
use crate::http::DecodeError;
use scalebarrow::Outcome;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use tracing::{debug, warn};

/// An answer that has begun is written at once: what is not whole after so long is spoilt, and its connection too.
const ANSWER_TIMEOUT: f64 = 0.4;
/// An endpoint's idle connection is given up so long before the endpoint closes it.
const ENDPOINT_IDLE_MARGIN: f64 = 0.25;

impl Driver {
    /// Sends a call over an idle connection, or over a new one where room allows it.
    pub(super) fn start_call(&mut self, call: Call) {
        while let Some(id) = self.pool.take(&call.endpoint) {
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            // Closed by the other side, or about to be: what is written to it would be lost.
            if connection.deadline <= self.now || !nothing_to_read(&connection.stream) {
                self.close(id, Reason::Stale);
                continue;
            }
            if let Peer::Endpoint(endpoint) = &mut connection.peer {
                endpoint.call = Some(call);
                return self.send_call(id);
            }
        }
        let idle_needed = self.endpoint_count >= self.max_endpoints;
        if let Some(id) = self.pool.oldest().filter(|_| idle_needed) {
            self.close(id, Reason::NoRoom);
        }
        if self.endpoint_count >= self.max_endpoints {
            return self.failed.push((call, Outcome::Moot(true)));
        }
        let Some(dial) = self.bridge.endpoint_address(&call.endpoint) else {
            return self.failed.push((call, Outcome::ConnectFailed));
        };
        let (_, connects_in) = self.bridge.config().connection_timeouts_secs();
        let by = call.give_up_at.min(self.now + connects_in);
        debug!(code = "connecting", ep = call.endpoint, "a connection is opened");
        match self.connect(dial, Peer::Endpoint(EndpointConnection::new(call.endpoint.clone()))) {
            Ok(id) => {
                self.calls.extend(call.webhooks.iter().map(|w| (w.number, id)));
                if let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) = self.connections.get_mut(&id)
                {
                    endpoint.call = Some(call);
                }
                self.set_deadline(id, by);
            }
            // The endpoint refused, or it was never asked: where descriptors or ports are short, that is no fault of its.
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                self.failed.push((call, Outcome::ConnectFailed))
            }
            Err(e) => {
                warn!(code = "connect", ep = call.endpoint, %e, "no connection can be opened");
                self.failed.push((call, Outcome::Moot(true)));
            }
        }
    }

    /// The connection is up and free: the call goes out.
    pub(super) fn send_call(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Peer::Endpoint(endpoint) = &mut connection.peer else { return };
        let Some(call) = &mut endpoint.call else { return };
        // As of this moment, not of the turn's beginning: the time for a repeat may be over by now. An endpoint that
        // moved while its connection came up is somebody else's.
        let (now, there) =
            (self.clock.now(), self.bridge.endpoint_address(&endpoint.name) == Some(connection.addr));
        let go_ahead = if there { self.bridge.prepare_write(now, call) } else { WriteDecision::HoldBack };
        if go_ahead != WriteDecision::Write {
            let call = endpoint.call.take();
            for webhook in call.iter().flat_map(|c| &c.webhooks) {
                self.calls.remove(&webhook.number);
            }
            self.failed.extend(call.map(|c| (c, Outcome::Moot(true))));
            // The connection itself is as good as any.
            let stays = go_ahead == WriteDecision::HoldBack;
            return if stays { self.return_to_pool(id) } else { self.close(id, Reason::NoRoom) };
        }
        connection.out = std::mem::take(&mut call.request);
        self.calls.extend(call.webhooks.iter().map(|w| (w.number, id)));
        let write_by = call.write_deadline;
        self.set_deadline(id, write_by);
        self.endpoint_ready(id);
    }

    /// Keeps a connection that carries nothing for the next call.
    fn return_to_pool(&mut self, id: usize) {
        let ep = endpoint_name(&self.connections, id);
        // Its endpoint left the list, or moved, while the call was out.
        if self.bridge.endpoint_address(&ep) != self.connections.get(&id).map(|connection| connection.addr) {
            return self.close(id, Reason::Idle);
        }
        self.pool.put(&ep, id);
        let (idle, _) = self.bridge.config().connection_timeouts_secs();
        self.set_deadline(id, self.now + (idle - ENDPOINT_IDLE_MARGIN).max(idle / 2.0));
    }

    /// When the last byte of a call has to be written that is not written as a whole yet.
    fn write_by(&self, id: usize) -> Option<f64> {
        let Peer::Endpoint(endpoint) = &self.connections.get(&id)?.peer else { return None };
        endpoint.call.as_ref().filter(|call| !call.written).map(|call| call.write_deadline)
    }

    /// The call is written: its answer has time until it is given up.
    fn await_answer(&mut self, id: usize) {
        let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) = self.connections.get(&id) else {
            return;
        };
        if let Some(stop_at) = endpoint.call.as_ref().map(|call| call.give_up_at) {
            self.set_deadline(id, stop_at);
        }
    }

    /// Writes what is left of a call and reads its answer.
    pub(super) fn endpoint_ready(&mut self, id: usize) {
        let unwritten = self.write_by(id);
        if unwritten.is_some_and(|write_by| self.clock.now() >= write_by) {
            return self.abort_call(id, Outcome::TimedOut, Reason::Silent);
        }
        let mut end = if self.flush(id) { None } else { Some(Reason::PeerReset) };
        if unwritten.is_some() && self.write_by(id).is_none() {
            self.await_answer(id);
        }
        let mut found = None;
        for step in 0.. {
            if step == READS_PER_TURN {
                self.ready_again.insert(id);
                break;
            }
            match self.read(id) {
                ReadResult::Bytes(count) => {
                    let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) =
                        self.connections.get_mut(&id)
                    else {
                        return;
                    };
                    endpoint.decoder.feed(&self.read_buffer[..count]);
                    // Looked at piece by piece: of an answer without end no more is kept than of a good one.
                    found = found.or_else(|| endpoint.decoder.next_message().transpose());
                    let (big, clear) = (
                        endpoint.decoder.buffered_bytes() > SMALL_BUFFER,
                        endpoint.decoder.is_between_messages(),
                    );
                    if found.is_none() && big && self.buffers_full(false) {
                        found = Some(Err(DecodeError::BodyTooBig));
                    }
                    if found.is_some() && !clear {
                        break;
                    }
                }
                ReadResult::Nothing => break,
                ReadResult::End(reason) => {
                    end = Some(reason);
                    break;
                }
            }
        }
        if found.is_some() || end.is_some() {
            // What was read was written before this moment, but may have come after the turn began.
            self.now = self.clock.now();
        }
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Peer::Endpoint(endpoint) = &mut connection.peer else { return };
        match found {
            Some(Ok(answer)) => {
                let Some(call) = endpoint.call.take() else { return self.close(id, Reason::Unasked) };
                let stays = end.is_none()
                    && answer.keep_alive
                    && call.written
                    && endpoint.decoder.is_between_messages();
                let ids: Vec<&str> = call.webhooks.iter().map(|w| w.id.as_str()).collect();
                let endings = endpoints::attempt_results(&answer, &ids);
                let garbage = endings.is_none();
                let endings = endings.unwrap_or_else(|| vec![Outcome::Reset.into(); ids.len()]);
                self.call_ended(&call, &endings, &answer.head);
                if !stays || garbage {
                    return self.close(id, if garbage { Reason::BadMessage } else { Reason::Answered });
                }
                self.return_to_pool(id);
            }
            Some(Err(_)) => self.abort_call(id, Outcome::Reset, Reason::BadMessage),
            None => {
                let by = connection.deadline.min(self.now + ANSWER_TIMEOUT);
                if let Some(reason) = end {
                    self.abort_call(id, Outcome::Reset, reason);
                } else if endpoint.call.is_none() && !endpoint.decoder.is_between_messages() {
                    self.close(id, Reason::Unasked);
                } else if !endpoint.decoder.is_between_messages() {
                    self.set_deadline(id, by);
                }
            }
        }
    }

    /// Ends a connection with the call on it, if there is one.
    pub(super) fn abort_call(&mut self, id: usize, otherwise: Outcome, reason: Reason) {
        if let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) = self.connections.get_mut(&id)
            && let Some(call) = endpoint.call.take()
        {
            let (endings, answer) = endpoint.results_when_cut_short(&call, otherwise);
            self.call_ended(&call, &endings, &answer);
        }
        self.close(id, reason);
    }

    /// Tells how a call ended.
    fn call_ended(&mut self, call: &Call, endings: &[AttemptResult], answer: &ResponseHead) {
        for webhook in &call.webhooks {
            self.calls.remove(&webhook.number);
        }
        self.bridge.call_ended(self.now, call, endings, answer);
    }
}

/// The name of the endpoint that a connection leads to.
fn endpoint_name(connections: &BTreeMap<usize, Connection>, id: usize) -> String {
    match connections.get(&id).map(|connection| &connection.peer) {
        Some(Peer::Endpoint(endpoint)) => endpoint.name.clone(),
        _ => String::new(),
    }
}
