//! Connections to the destinations' endpoints: sending calls and reading their responses.

use super::budgets::SMALL_BUFFER_BYTES;
use super::connection::{CloseReason, Connection, Peer, ReadResult, input_before_request};
use super::{Driver, READS_PER_ITERATION};
use crate::bridge::WriteDecision;
use crate::endpoints::{AttemptResult, Call, EndpointConnection, ResponseHead};
use crate::http::Message;
use scalebarrow::Outcome;
use std::io::ErrorKind;
use tracing::{debug, warn};

/// How long a response may take once its first byte was received. Endpoints write a response in one go, so
/// one that is still incomplete then is treated as invalid, and its connection is closed.
const RESPONSE_TIMEOUT_SECS: f64 = 0.4;

/// What was read from a connection to an endpoint.
enum ResponseInput {
    /// A complete response.
    Response(Message<ResponseHead>),
    /// Nothing, or a part of a response.
    Incomplete,
    /// Bytes that are not a response, or too many of them.
    Invalid,
    /// The end of the connection; a part of a response may have come before it.
    Closed(CloseReason),
}

impl Driver {
    /// Opens a connection for a call, if the limit allows it. The call is written once the connection is open.
    pub(super) fn start_call(&mut self, call: Call) {
        if self.endpoint_count >= self.max_endpoints {
            return self.failed_calls.push((call, Outcome::Moot(true)));
        }
        let Some(address) = self.bridge.endpoint_address(&call.endpoint) else {
            return self.failed_calls.push((call, Outcome::ConnectFailed));
        };
        let deadline = call.give_up_at.min(self.now + self.bridge.config().connect_timeout_secs());
        debug!(code = "connecting", call = %call.id, ep = call.endpoint, "opening a connection");
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

    /// Writes the call of a connection that has just been opened.
    pub(super) fn send_call(&mut self, id: usize) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        // What came before the call is not the response to it.
        if let Some(reason) = input_before_request(&connection.stream) {
            return self.abort_call(id, Outcome::Reset, reason);
        }
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
            return self.hold_back_call(id, decision);
        }
        connection.output = std::mem::take(&mut call.request);
        self.call_connections.extend(call.webhooks.iter().map(|webhook| (webhook.number, id)));
        let write_deadline = call.write_deadline;
        self.set_deadline(id, write_deadline);
        self.endpoint_ready(id);
    }

    /// Ends a call that must not be written, and closes its connection.
    fn hold_back_call(&mut self, id: usize, decision: WriteDecision) {
        let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) = self.connections.get_mut(&id) else {
            return;
        };
        let call = endpoint.call.take();
        for webhook in call.iter().flat_map(|call| &call.webhooks) {
            self.call_connections.remove(&webhook.number);
        }
        self.failed_calls.extend(call.map(|call| (call, Outcome::Moot(true))));
        let reason = match decision {
            WriteDecision::JournalFailed => CloseReason::LimitReached,
            _ => CloseReason::CallHeldBack,
        };
        self.close(id, reason);
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
        let close_reason = if self.flush(id) { None } else { Some(CloseReason::PeerReset) };
        if write_deadline.is_some() && self.pending_write_deadline(id).is_none() {
            self.await_response(id);
        }
        let input = self.read_response(id, close_reason);
        if !matches!(input, ResponseInput::Incomplete) {
            // The response was written before now, but may have arrived after this iteration started.
            self.now = self.clock.now();
        }
        match input {
            ResponseInput::Response(response) => self.complete_call(id, &response),
            ResponseInput::Invalid => self.abort_call(id, Outcome::Reset, CloseReason::InvalidMessage),
            ResponseInput::Closed(reason) => self.abort_call(id, Outcome::Reset, reason),
            ResponseInput::Incomplete => self.limit_response_time(id),
        }
    }

    /// Reads up to the end of one response. `close_reason` is set if the connection is already known to be
    /// broken.
    fn read_response(&mut self, id: usize, close_reason: Option<CloseReason>) -> ResponseInput {
        for _ in 0..READS_PER_ITERATION {
            let count = match self.read(id) {
                ReadResult::Bytes(count) => count,
                ReadResult::WouldBlock => {
                    return close_reason.map_or(ResponseInput::Incomplete, ResponseInput::Closed);
                }
                ReadResult::Closed(reason) => return ResponseInput::Closed(reason),
            };
            let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) = self.connections.get_mut(&id)
            else {
                return ResponseInput::Incomplete;
            };
            endpoint.decoder.feed(&self.read_buffer[..count]);
            // Decoded after each read, so that an endless response takes no more memory than a valid one.
            let is_large = match endpoint.decoder.next_message() {
                Ok(Some(response)) => return ResponseInput::Response(response),
                Ok(None) => endpoint.decoder.buffered_bytes() > SMALL_BUFFER_BYTES,
                Err(_) => return ResponseInput::Invalid,
            };
            if is_large && self.buffers_full(false) {
                return ResponseInput::Invalid;
            }
        }
        self.still_ready.insert(id);
        ResponseInput::Incomplete
    }

    /// Ends the call of a connection with its response and closes the connection: whatever may still come on
    /// it must not be taken for the response to another call.
    fn complete_call(&mut self, id: usize, response: &Message<ResponseHead>) {
        let now = self.now;
        let Some(Connection { peer: Peer::Endpoint(endpoint), opened_at, .. }) =
            self.connections.get_mut(&id)
        else {
            return;
        };
        let age = now - *opened_at;
        let Some(call) = endpoint.call.take() else { return };
        debug!(
            code = "answer",
            call = %call.id,
            ep = call.endpoint,
            link = id,
            age,
            status = response.head.status,
            written = call.written,
            "a response ends a call"
        );
        let results = call.results(response);
        let reason = if results.is_some() { CloseReason::Completed } else { CloseReason::InvalidMessage };
        let results = results.unwrap_or_else(|| vec![Outcome::Reset.into(); call.webhooks.len()]);
        self.call_ended(&call, &results, &response.head);
        self.close(id, reason);
    }

    /// Limits the time for the rest of a response of which a part was received.
    fn limit_response_time(&mut self, id: usize) {
        let Some(Connection { peer: Peer::Endpoint(endpoint), deadline, .. }) = self.connections.get(&id)
        else {
            return;
        };
        if !endpoint.decoder.is_between_messages() {
            let deadline = deadline.min(self.now + RESPONSE_TIMEOUT_SECS);
            self.set_deadline(id, deadline);
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
