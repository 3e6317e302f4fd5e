//! Connections to the destinations' endpoints: sending calls and reading their responses.

use super::budgets::SMALL_BUFFER_BYTES;
use super::connection::{CloseReason, Connection, Peer, ReadResult, has_no_input};
use super::{Driver, READS_PER_ITERATION};
use crate::bridge::WriteDecision;
use crate::endpoints::{self, AttemptResult, Call, EndpointConnection, ResponseHead};
use crate::http::DecodeError;
use scalebarrow::Outcome;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use tracing::{debug, warn};

/// How long a response may take once its first byte was received. Endpoints write a response in one go, so
/// one that is still incomplete then is treated as invalid, and its connection is closed.
const RESPONSE_TIMEOUT_SECS: f64 = 0.4;
/// An idle connection is closed this long before the endpoint would close it.
const ENDPOINT_IDLE_MARGIN_SECS: f64 = 0.25;

impl Driver {
    /// Sends a call over an idle connection, or over a new one if the limit allows it.
    pub(super) fn start_call(&mut self, call: Call) {
        while let Some(id) = self.pool.take(&call.endpoint) {
            let Some(connection) = self.connections.get_mut(&id) else { continue };
            // The endpoint has closed the connection or is about to: a request written to it would be lost.
            if connection.deadline <= self.now || !has_no_input(&connection.stream) {
                self.close(id, CloseReason::Stale);
                continue;
            }
            if let Peer::Endpoint(endpoint) = &mut connection.peer {
                endpoint.call = Some(call);
                return self.send_call(id);
            }
        }
        let is_full = self.endpoint_count >= self.max_endpoints;
        if let Some(id) = self.pool.oldest().filter(|_| is_full) {
            self.close(id, CloseReason::LimitReached);
        }
        if self.endpoint_count >= self.max_endpoints {
            return self.failed_calls.push((call, Outcome::Moot(true)));
        }
        let Some(address) = self.bridge.endpoint_address(&call.endpoint) else {
            return self.failed_calls.push((call, Outcome::ConnectFailed));
        };
        let (_, connect_timeout) = self.bridge.config().connection_timeouts_secs();
        let deadline = call.give_up_at.min(self.now + connect_timeout);
        debug!(code = "connecting", ep = call.endpoint, "opening a connection");
        match self.connect(address, Peer::Endpoint(EndpointConnection::new(call.endpoint.clone()))) {
            Ok(id) => {
                self.call_connections.extend(call.webhooks.iter().map(|webhook| (webhook.number, id)));
                if let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) = self.connections.get_mut(&id)
                {
                    endpoint.call = Some(call);
                }
                self.set_deadline(id, deadline);
            }
            // Only a refusal is a failure of the endpoint. Other errors, such as a lack of descriptors or
            // ports, are local.
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                self.failed_calls.push((call, Outcome::ConnectFailed))
            }
            Err(e) => {
                warn!(code = "connect", ep = call.endpoint, %e, "cannot open a connection");
                self.failed_calls.push((call, Outcome::Moot(true)));
            }
        }
    }

    /// Writes the call of a connection that is open and idle.
    pub(super) fn send_call(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Peer::Endpoint(endpoint) = &mut connection.peer else { return };
        let Some(call) = &mut endpoint.call else { return };
        // Decided by the current time, not that of the iteration's start: the deadline for a repeat may have
        // passed by now. If the endpoint's address changed while its connection was being opened, another
        // endpoint may be at the old one.
        let (now, is_same_address) =
            (self.clock.now(), self.bridge.endpoint_address(&endpoint.name) == Some(connection.addr));
        let decision =
            if is_same_address { self.bridge.prepare_write(now, call) } else { WriteDecision::HoldBack };
        if decision != WriteDecision::Write {
            let call = endpoint.call.take();
            for webhook in call.iter().flat_map(|call| &call.webhooks) {
                self.call_connections.remove(&webhook.number);
            }
            self.failed_calls.extend(call.map(|call| (call, Outcome::Moot(true))));
            // Only the call is held back: the connection can be used for another one.
            let is_reusable = decision == WriteDecision::HoldBack;
            return if is_reusable {
                self.return_to_pool(id)
            } else {
                self.close(id, CloseReason::LimitReached)
            };
        }
        connection.output = std::mem::take(&mut call.request);
        self.call_connections.extend(call.webhooks.iter().map(|webhook| (webhook.number, id)));
        let write_deadline = call.write_deadline;
        self.set_deadline(id, write_deadline);
        self.endpoint_ready(id);
    }

    /// Keeps an idle connection for the next call.
    fn return_to_pool(&mut self, id: usize) {
        let endpoint = endpoint_name(&self.connections, id);
        // The endpoint was removed from the list, or its address changed, while the call was in flight.
        if self.bridge.endpoint_address(&endpoint)
            != self.connections.get(&id).map(|connection| connection.addr)
        {
            return self.close(id, CloseReason::Idle);
        }
        self.pool.put(&endpoint, id);
        let (idle_timeout, _) = self.bridge.config().connection_timeouts_secs();
        self.set_deadline(id, self.now + (idle_timeout - ENDPOINT_IDLE_MARGIN_SECS).max(idle_timeout / 2.0));
    }

    /// The write deadline of the call on a connection, if the call is not written completely yet.
    fn pending_write_deadline(&self, id: usize) -> Option<f64> {
        let Peer::Endpoint(endpoint) = &self.connections.get(&id)?.peer else { return None };
        endpoint.call.as_ref().filter(|call| !call.written).map(|call| call.write_deadline)
    }

    /// Sets the deadline for the response to a call that was written.
    fn await_response(&mut self, id: usize) {
        let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) = self.connections.get(&id) else {
            return;
        };
        if let Some(give_up_at) = endpoint.call.as_ref().map(|call| call.give_up_at) {
            self.set_deadline(id, give_up_at);
        }
    }

    /// Writes the rest of a call and reads its response.
    pub(super) fn endpoint_ready(&mut self, id: usize) {
        let write_deadline = self.pending_write_deadline(id);
        if write_deadline.is_some_and(|deadline| self.clock.now() >= deadline) {
            return self.abort_call(id, Outcome::TimedOut, CloseReason::Timeout);
        }
        let mut close_reason = if self.flush(id) { None } else { Some(CloseReason::PeerReset) };
        if write_deadline.is_some() && self.pending_write_deadline(id).is_none() {
            self.await_response(id);
        }
        let mut response = None;
        for read_count in 0.. {
            if read_count == READS_PER_ITERATION {
                self.still_ready.insert(id);
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
                    // Decoded after each read, so that an endless response takes no more memory than a valid
                    // one.
                    response = response.or_else(|| endpoint.decoder.next_message().transpose());
                    let (is_large, is_between_messages) = (
                        endpoint.decoder.buffered_bytes() > SMALL_BUFFER_BYTES,
                        endpoint.decoder.is_between_messages(),
                    );
                    if response.is_none() && is_large && self.buffers_full(false) {
                        response = Some(Err(DecodeError::BodyTooBig));
                    }
                    if response.is_some() && !is_between_messages {
                        break;
                    }
                }
                ReadResult::WouldBlock => break,
                ReadResult::Closed(reason) => {
                    close_reason = Some(reason);
                    break;
                }
            }
        }
        if response.is_some() || close_reason.is_some() {
            // The response was written before now, but may have arrived after this iteration started.
            self.now = self.clock.now();
        }
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Peer::Endpoint(endpoint) = &mut connection.peer else { return };
        match response {
            Some(Ok(response)) => {
                let Some(call) = endpoint.call.take() else { return self.close(id, CloseReason::Unexpected) };
                let is_reusable = close_reason.is_none()
                    && response.keep_alive
                    && call.written
                    && endpoint.decoder.is_between_messages();
                let webhook_ids: Vec<&str> =
                    call.webhooks.iter().map(|webhook| webhook.id.as_str()).collect();
                let results = endpoints::attempt_results(&response, &webhook_ids);
                let is_invalid = results.is_none();
                let results = results.unwrap_or_else(|| vec![Outcome::Reset.into(); webhook_ids.len()]);
                self.call_ended(&call, &results, &response.head);
                if !is_reusable || is_invalid {
                    return self.close(
                        id,
                        if is_invalid { CloseReason::InvalidMessage } else { CloseReason::Completed },
                    );
                }
                self.return_to_pool(id);
            }
            Some(Err(_)) => self.abort_call(id, Outcome::Reset, CloseReason::InvalidMessage),
            None => {
                let deadline = connection.deadline.min(self.now + RESPONSE_TIMEOUT_SECS);
                if let Some(reason) = close_reason {
                    self.abort_call(id, Outcome::Reset, reason);
                } else if endpoint.call.is_none() && !endpoint.decoder.is_between_messages() {
                    self.close(id, CloseReason::Unexpected);
                } else if !endpoint.decoder.is_between_messages() {
                    self.set_deadline(id, deadline);
                }
            }
        }
    }

    /// Closes a connection and ends the call on it, if there is one. `outcome_if_no_response` applies unless
    /// a response was received.
    pub(super) fn abort_call(&mut self, id: usize, outcome_if_no_response: Outcome, reason: CloseReason) {
        if let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) = self.connections.get_mut(&id)
            && let Some(call) = endpoint.call.take()
        {
            let (results, response) = endpoint.results_when_cut_short(&call, outcome_if_no_response);
            self.call_ended(&call, &results, &response);
        }
        self.close(id, reason);
    }

    /// Notifies the bridge of the results of a call.
    fn call_ended(&mut self, call: &Call, results: &[AttemptResult], response: &ResponseHead) {
        for webhook in &call.webhooks {
            self.call_connections.remove(&webhook.number);
        }
        self.bridge.call_ended(self.now, call, results, response);
    }
}

/// The name of the endpoint of a connection.
fn endpoint_name(connections: &BTreeMap<usize, Connection>, id: usize) -> String {
    match connections.get(&id).map(|connection| &connection.peer) {
        Some(Peer::Endpoint(endpoint)) => endpoint.name.clone(),
        _ => String::new(),
    }
}
