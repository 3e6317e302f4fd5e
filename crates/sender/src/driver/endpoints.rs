//! Connections to the destinations' endpoints: sending calls and reading their responses.

use super::budgets::SMALL_BUFFER_BYTES;
use super::connection::{CloseReason, Connection, Peer, ReadResult, input_before_request};
use super::{Driver, READS_PER_ITERATION};
use crate::bridge::WriteDecision;
use crate::counters::WebhookEvent;
use crate::endpoints::{
    AttemptResult, Attribution, Call, CallEnd, CallForm, CallId, EndpointConnection, ResponseHead,
};
use crate::http::Message;
use scalebarrow::Outcome;
use std::io::ErrorKind;
use tracing::{debug, info, warn};

/// How long a response may take once its first byte was received. Endpoints write a response in one go, so
/// one that is still incomplete then is treated as invalid, and its connection is closed.
const RESPONSE_TIMEOUT_SECS: f64 = 0.4;
/// An idle connection is closed this long before the endpoint would close it.
const ENDPOINT_IDLE_MARGIN_SECS: f64 = 0.25;

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
    /// Sends a call over an idle connection, if it may use one, or over a new one.
    pub(super) fn start_call(&mut self, call: Call) {
        let idle_connection =
            if call.form == CallForm::Batch { self.take_idle_connection(&call.endpoint) } else { None };
        let Some(id) = idle_connection else { return self.open_connection_for(call) };
        if let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) = self.connections.get_mut(&id) {
            endpoint.call = Some(call);
            self.send_call(id);
        }
    }

    /// Takes an idle connection to an endpoint on which nothing has come since its last call.
    fn take_idle_connection(&mut self, endpoint: &str) -> Option<usize> {
        while let Some(id) = self.pool.take(endpoint) {
            let Some(connection) = self.connections.get(&id) else { continue };
            // A request to an endpoint that is about to close the connection would be lost.
            let reason = input_before_request(&connection.stream)
                .or(Some(CloseReason::Idle).filter(|_| connection.deadline <= self.now));
            match reason {
                None => return Some(id),
                Some(CloseReason::Idle) => self.close(id, CloseReason::Idle),
                // Reads what has come, and closes the connection.
                Some(_) => self.endpoint_ready(id),
            }
        }
        None
    }

    /// Opens a connection for a call, if the limit allows it. The call is written once the connection is open.
    fn open_connection_for(&mut self, call: Call) {
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
        let deadline = call.give_up_at.min(self.now + self.bridge.config().connect_timeout_secs());
        self.bridge.counters.count(WebhookEvent::ConnectionOpened);
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

    /// Writes the call of a connection that has just been opened, or was idle.
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

    /// Ends a call that must not be written. Its connection is kept if calls to the endpoint may share one.
    fn hold_back_call(&mut self, id: usize, decision: WriteDecision) {
        let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(call) = endpoint.call.take() else { return };
        for webhook in &call.webhooks {
            self.call_connections.remove(&webhook.number);
        }
        let form = call.form;
        self.failed_calls.push((call, Outcome::Moot(true)));
        match (decision, form) {
            (WriteDecision::JournalFailed, _) => self.close(id, CloseReason::LimitReached),
            (_, CallForm::Batch) => self.return_to_pool(id),
            (_, CallForm::Single) => self.close(id, CloseReason::CallHeldBack),
        }
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
        if !self.has_call(id) {
            return self.handle_unsolicited_input(id, input);
        }
        match input {
            ResponseInput::Response(response) => self.complete_call(id, &response),
            ResponseInput::Invalid => self.abort_call(id, Outcome::Reset, CloseReason::InvalidMessage),
            ResponseInput::Closed(reason) => self.abort_call(id, Outcome::Reset, reason),
            ResponseInput::Incomplete => self.limit_response_time(id),
        }
    }

    /// Whether a call waits or is in flight on a connection.
    fn has_call(&self, id: usize) -> bool {
        let peer = self.connections.get(&id).map(|connection| &connection.peer);
        matches!(peer, Some(Peer::Endpoint(EndpointConnection { call: Some(_), .. })))
    }

    /// Reads up to the end of one response. `close_reason` is set if the connection is already known to be
    /// broken.
    fn read_response(&mut self, id: usize, close_reason: Option<CloseReason>) -> ResponseInput {
        for read_count in 0.. {
            // Decoded after each read, so that an endless response takes no more memory than a valid one.
            if let Some(input) = self.decode_response(id) {
                return input;
            }
            if read_count == READS_PER_ITERATION {
                break;
            }
            let count = match self.read(id) {
                ReadResult::Bytes(count) => count,
                ReadResult::WouldBlock => {
                    return close_reason.map_or(ResponseInput::Incomplete, ResponseInput::Closed);
                }
                ReadResult::Closed(reason) => return ResponseInput::Closed(reason),
            };
            if let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) = self.connections.get_mut(&id) {
                endpoint.decoder.feed(&self.read_buffer[..count]);
            }
        }
        self.still_ready.insert(id);
        ResponseInput::Incomplete
    }

    /// Decodes the bytes read so far. `None` if there is no complete response yet.
    fn decode_response(&mut self, id: usize) -> Option<ResponseInput> {
        let Peer::Endpoint(endpoint) = &mut self.connections.get_mut(&id)?.peer else { return None };
        let is_large = match endpoint.decoder.next_message() {
            Ok(Some(response)) => return Some(ResponseInput::Response(response)),
            Ok(None) => endpoint.decoder.buffered_bytes() > SMALL_BUFFER_BYTES,
            Err(_) => return Some(ResponseInput::Invalid),
        };
        (is_large && self.buffers_full(false)).then_some(ResponseInput::Invalid)
    }

    /// Ends the call of a connection with a response that belongs to it. The connection is closed unless
    /// whatever may still come on it can be told from the response to another call.
    fn complete_call(&mut self, id: usize, response: &Message<ResponseHead>) {
        let now = self.now;
        let Some(Connection { peer: Peer::Endpoint(endpoint), opened_at, .. }) =
            self.connections.get_mut(&id)
        else {
            return;
        };
        let Some(call) = &endpoint.call else { return };
        let CallEnd { attribution, results, is_reusable } = endpoint.evaluate(call, response);
        debug!(
            code = "answer",
            call = %call.id,
            ep = call.endpoint,
            link = id,
            calls_before = endpoint.ended_calls,
            age = now - *opened_at,
            since_last_answer = endpoint.last_ended_at.map(|ended_at| now - ended_at),
            status = response.head.status,
            written = call.written,
            ?attribution,
            "a response came"
        );
        if attribution == Attribution::Unsolicited {
            return self.skip_unsolicited_response(id);
        }
        let is_reusable = is_reusable && endpoint.decoder.is_between_messages();
        let Some(call) = endpoint.take_ended_call(now) else { return };
        self.call_ended(&call, &results, &response.head);
        match attribution {
            _ if is_reusable => self.return_to_pool(id),
            Attribution::Unconfirmed => {
                self.bridge.counters.count(WebhookEvent::UnconfirmedResponse);
                info!(code = "unconfirmed-response", call = %call.id, ep = call.endpoint, link = id, "a response may belong to an earlier call");
                self.close(id, CloseReason::InvalidMessage)
            }
            _ => self.close(id, CloseReason::Completed),
        }
    }

    /// Goes on waiting for the response to a call after one that belongs to an earlier call.
    fn skip_unsolicited_response(&mut self, id: usize) {
        self.log_unsolicited_response(id);
        self.await_response(id);
        self.still_ready.insert(id);
    }

    /// Handles what came on an idle connection.
    fn handle_unsolicited_input(&mut self, id: usize, input: ResponseInput) {
        let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) = self.connections.get(&id) else {
            return;
        };
        match input {
            ResponseInput::Closed(reason) => self.close(id, reason),
            ResponseInput::Incomplete if endpoint.decoder.is_between_messages() => {}
            _ => {
                self.log_unsolicited_response(id);
                self.close(id, CloseReason::UnsolicitedResponse);
            }
        }
    }

    /// Logs that a response came on a connection that is not the response to a call in flight.
    fn log_unsolicited_response(&mut self, id: usize) {
        self.bridge.counters.count(WebhookEvent::UnsolicitedResponse);
        let Some(Connection { peer: Peer::Endpoint(endpoint), .. }) = self.connections.get(&id) else {
            return;
        };
        let name_call = |call_id: Option<CallId>| call_id.map_or_else(String::new, |id| id.to_string());
        let (last_call, call) =
            (name_call(endpoint.last_call), name_call(endpoint.call.as_ref().map(|call| call.id)));
        info!(
            code = "unsolicited-response",
            ep = endpoint.name,
            link = id,
            last_call,
            call,
            "a response came that answers no call in flight"
        );
    }

    /// Keeps an idle connection for the next call.
    fn return_to_pool(&mut self, id: usize) {
        let Some(Connection { peer: Peer::Endpoint(endpoint), addr, .. }) = self.connections.get(&id) else {
            return;
        };
        // The endpoint was removed from the list, or its address changed, while the call was in flight.
        if self.bridge.endpoint_address(&endpoint.name) != Some(*addr) {
            return self.close(id, CloseReason::Idle);
        }
        self.pool.put(&endpoint.name, id);
        let idle_timeout = self.bridge.config().connection_idle_secs();
        self.set_deadline(id, self.now + (idle_timeout - ENDPOINT_IDLE_MARGIN_SECS).max(idle_timeout / 2.0));
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
