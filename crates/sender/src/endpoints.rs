//! Calls to endpoints: the encoding of requests, the meaning of responses, and the connections that carry
//! them.
//!
//! A response ends a call only if it cannot belong to another call. HTTP/1.1 numbers neither calls nor
//! responses, so on a connection that carried a call before, a second copy of the earlier response cannot be
//! told from the response to the present call. A connection therefore carries one call: its first response
//! has none before it.

use crate::http::{Decoder, Headers, MAX_BODY_BYTES, Message, MessageHead, StartLine, decode_number};
use crate::journal::AttemptNumber;
use scalebarrow::Outcome;
use std::collections::BTreeMap;
use std::fmt;

/// A response's body holds at most one line for each webhook of a call.
const MAX_RESPONSE_BODY_BYTES: usize = MAX_BODY_BYTES;

/// A webhook as a request carries it.
pub struct OutgoingWebhook<'a> {
    /// The webhook's id.
    pub id: &'a str,
    /// Its idempotency key.
    pub token: Option<&'a str>,
    /// Its body.
    pub body: &'a [u8],
}

/// Encodes the request for one webhook or for several; `None` if several do not fit in one body. The
/// endpoint has `timeout_secs` to answer. The connection carries no further call.
pub fn encode_request(webhooks: &[OutgoingWebhook], host: &str, timeout_secs: f64) -> Option<Vec<u8>> {
    let timeout_ms = (timeout_secs * 1e3).max(0.0) as u64;
    let common = format!("HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\nReq-Deadline: {timeout_ms}m\r\n");
    if let [webhook] = webhooks {
        let token = webhook.token.map_or(String::new(), |token| format!("Idempotency-Key: {token}\r\n"));
        let length = webhook.body.len();
        let head =
            format!("POST /inbox {common}Req-Id: {}\r\n{token}Content-Length: {length}\r\n\r\n", webhook.id);
        return Some([head.as_bytes(), webhook.body].concat());
    }
    let mut body = Vec::new();
    for webhook in webhooks {
        let line = format!("{} {} {}\r\n", webhook.id, webhook.token.unwrap_or("-"), webhook.body.len());
        body.extend_from_slice(line.as_bytes());
        body.extend_from_slice(webhook.body);
        body.extend_from_slice(b"\r\n");
    }
    let head = format!("POST /inbox/bulk {common}Content-Length: {}\r\n\r\n", body.len());
    (body.len() <= MAX_BODY_BYTES).then(|| [head.as_bytes(), &body].concat())
}

/// The head of an endpoint's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Seconds to wait before the destination, or the route to it, is called again; 0 if the response asks
    /// for no delay.
    pub retry_after: f64,
    /// Whether the endpoint refused because no slot was free.
    no_free_slot: bool,
    /// The share of the destination's limit that is left, and the limit in calls per second, if the response
    /// reports them.
    pub limit_report: Option<(f64, f64)>,
}

impl MessageHead for ResponseHead {
    fn decode(start: &StartLine, headers: &Headers) -> Self {
        let status = if let StartLine::Response { status } = start { *status } else { 0 };
        let retry_after = headers.get("Retry-After").and_then(decode_number).unwrap_or(0.0);
        let no_free_slot = headers.get("X-Over-Slots") == Some("1");
        let report = headers.get("Srv-Load").and_then(|header| header.strip_prefix("TEXT"));
        let value = |name: &str| {
            let mut pairs = report?.split(',').filter_map(|pair| pair.trim().split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, text)| decode_number(text))
        };
        ResponseHead { status, retry_after, no_free_slot, limit_report: value("x0").zip(value("x1")) }
    }
}

/// How an attempt, one webhook's part in a call, ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptResult {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the webhook is finished: no further attempt is made and the platform needs no notice.
    pub is_final: bool,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, is_final: outcome == Outcome::Delivered }
    }
}

impl ResponseHead {
    /// The result that the status means: for the only webhook of a call, or for each of several.
    fn attempt_result(&self, is_only_webhook: bool) -> AttemptResult {
        let outcome = match self.status {
            200 => Outcome::Delivered,
            429 => Outcome::Full(self.retry_after),
            503 if self.no_free_slot => Outcome::Moot(true),
            503 => Outcome::Full(self.retry_after),
            504 => Outcome::Moot(false),
            410 => return AttemptResult { outcome: Outcome::Moot(false), is_final: true },
            // The endpoint could not read a call of several webhooks, or it had too many: none has run.
            400 | 413 if !is_only_webhook => Outcome::Moot(false),
            _ => Outcome::Failed,
        };
        outcome.into()
    }
}

/// The results of a call's webhooks, in their order; `None` if the response's body is malformed.
pub fn attempt_results(response: &Message<ResponseHead>, ids: &[&str]) -> Option<Vec<AttemptResult>> {
    if ids.len() == 1 || response.head.status != 200 {
        return Some(vec![response.head.attempt_result(ids.len() == 1); ids.len()]);
    }
    let text = std::str::from_utf8(&response.body).ok()?;
    let mut results = BTreeMap::new();
    for line in text.lines().filter(|line| !line.is_empty()) {
        let (id, state) = line.split_once(' ')?;
        let result = match state.trim() {
            "ok" => Outcome::Delivered.into(),
            "error" => Outcome::Failed.into(),
            "later" => Outcome::Full(response.head.retry_after).into(),
            "gone" => AttemptResult { outcome: Outcome::Moot(false), is_final: true },
            "exhausted" => Outcome::Moot(false).into(),
            _ => return None,
        };
        results.insert(id, result);
    }
    // A webhook that the response does not name may have run.
    Some(ids.iter().map(|id| results.get(id).copied().unwrap_or(Outcome::Failed.into())).collect())
}

/// A webhook in a call.
#[derive(Debug, Clone, PartialEq)]
pub struct CalledWebhook {
    /// Its number in the journal.
    pub number: u64,
    /// Its id.
    pub id: String,
    /// The attempt, once it is recorded in the journal. The call may be written only then.
    pub attempt: Option<AttemptNumber>,
}

impl CalledWebhook {
    /// A webhook whose attempt is not yet recorded.
    pub fn new(number: u64, id: String) -> Self {
        CalledWebhook { number, id, attempt: None }
    }
}

/// Identifies a call; no other call of the process has the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(u64);

impl CallId {
    /// The id of the first call of a process.
    pub const FIRST: CallId = CallId(1);

    /// The id of the call after this one.
    pub fn next(self) -> CallId {
        CallId(self.0 + 1)
    }
}

impl fmt::Display for CallId {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A call that waits for its connection or is in flight.
#[derive(Debug)]
pub struct Call {
    /// Its id.
    pub id: CallId,
    /// The endpoint's name.
    pub endpoint: String,
    /// The endpoint's zone.
    pub zone: String,
    /// The webhooks that it carries.
    pub webhooks: Vec<CalledWebhook>,
    /// When the decision module requested it.
    pub decided_at: f64,
    /// When it is given up.
    pub give_up_at: f64,
    /// When it is given up if its last byte is not written by then.
    pub write_deadline: f64,
    /// The encoded request; empty once it was handed to its connection.
    pub request: Vec<u8>,
    /// Whether its last byte is written. From then on its webhooks may run.
    pub written: bool,
}

impl Call {
    /// The results that a response means for the call's webhooks, in their order; `None` if the response's
    /// body is malformed.
    pub fn results(&self, response: &Message<ResponseHead>) -> Option<Vec<AttemptResult>> {
        let ids: Vec<&str> = self.webhooks.iter().map(|webhook| webhook.id.as_str()).collect();
        let results = attempt_results(response, &ids)?;
        if self.written {
            return Some(results);
        }
        // A response that came before the last byte of the call does not answer it, and the call has not run,
        // as its last byte is never written.
        let not_run = |result: AttemptResult| match result.outcome {
            Outcome::Full(_) => result,
            _ => Outcome::ConnectFailed.into(),
        };
        Some(results.into_iter().map(not_run).collect())
    }
}

/// A connection to an endpoint. It carries one call.
#[derive(Debug)]
pub struct EndpointConnection {
    /// The endpoint's name.
    pub name: String,
    /// The call that waits for the connection to open, or is in flight on it.
    pub call: Option<Call>,
    /// Decodes the response.
    pub decoder: Decoder<ResponseHead>,
}

impl EndpointConnection {
    /// A connection without a call.
    pub fn new(name: String) -> Self {
        EndpointConnection { name, call: None, decoder: Decoder::for_responses(MAX_RESPONSE_BODY_BYTES) }
    }

    /// The results of a call whose connection broke, or for which the sender stopped waiting.
    /// `outcome_if_no_response` applies if the call was written and the response so far says nothing else.
    pub fn results_when_cut_short(
        &mut self, call: &Call, outcome_if_no_response: Outcome,
    ) -> (Vec<AttemptResult>, ResponseHead) {
        let count = call.webhooks.len();
        if let Some(response) = self.decoder.end_of_stream() {
            let results = call.results(&response);
            return (results.unwrap_or_else(|| vec![Outcome::Reset.into(); count]), response.head);
        }
        // Of an incomplete or malformed response only a first line with 200 is trusted, if the call has one
        // webhook. Any other status, even one that means that nothing has run, counts as a call that may have
        // run if it was written.
        let status =
            self.decoder.pending_head().map(|head| head.status).or_else(|| self.decoder.pending_status());
        let outcome = match status {
            _ if !call.written => Outcome::ConnectFailed,
            Some(200) if count == 1 => Outcome::Delivered,
            _ => outcome_if_no_response,
        };
        (vec![outcome.into(); count], ResponseHead::default())
    }
}

#[cfg(test)]
mod tests;
