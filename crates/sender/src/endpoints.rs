//! Calls to endpoints: the encoding of requests, the meaning of responses, and the connections that carry
//! them.
//!
//! A response ends a call only if it cannot belong to another call ([`Attribution`]). HTTP/1.1 numbers neither
//! calls nor responses, so on a connection that carried a call before, a second copy of the earlier response
//! cannot be told from the response to the present call, unless responses name the webhooks of their call.
//! Those to a [`CallForm::Batch`] do; a connection that carried a [`CallForm::Single`] is not used again.

use crate::http::{Decoder, Headers, MAX_BODY_BYTES, Message, MessageHead, StartLine, decode_number};
use crate::journal::AttemptNumber;
use scalebarrow::Outcome;
use std::collections::BTreeMap;
use std::fmt;

/// A response's body holds at most one line for each webhook of a call.
const MAX_RESPONSE_BODY_BYTES: usize = MAX_BODY_BYTES;

/// What a batch has in place of an idempotency key for a webhook that has none.
const NO_TOKEN: &str = "-";
/// What ends a body in a batch.
const LINE_END: &[u8] = b"\r\n";

/// A webhook as a request carries it.
pub struct OutgoingWebhook<'a> {
    /// The webhook's id.
    pub id: &'a str,
    /// Its idempotency key.
    pub token: Option<&'a str>,
    /// Its body.
    pub body: &'a [u8],
}

impl OutgoingWebhook<'_> {
    /// Whether a batch can carry the webhook, if only alone. In a batch, a token that reads as no token would
    /// be lost, and with it the recipient's means to recognise a repeat.
    pub fn fits_batch(&self) -> bool {
        self.token != Some(NO_TOKEN) && self.size_in_batch() <= MAX_BODY_BYTES
    }

    /// The line before the webhook's body in a batch.
    fn batch_line(&self) -> String {
        format!("{} {} {}\r\n", self.id, self.token.unwrap_or(NO_TOKEN), self.body.len())
    }

    /// The bytes that the webhook takes up in a batch.
    fn size_in_batch(&self) -> usize {
        self.batch_line().len() + self.body.len() + LINE_END.len()
    }
}

/// How a call carries its webhooks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallForm {
    /// One webhook, for which the response has only a status.
    Single,
    /// One webhook or several. A response with status 200 has a line for each of them, with its id.
    Batch,
}

/// Encodes the request of a call; `None` if its webhooks do not fit in one body. The endpoint has
/// `timeout_secs` to answer.
pub fn encode_request(
    webhooks: &[OutgoingWebhook], form: CallForm, host: &str, timeout_secs: f64,
) -> Option<Vec<u8>> {
    match (form, webhooks) {
        (CallForm::Single, [webhook]) => Some(encode_single(webhook, host, timeout_secs)),
        (CallForm::Single, _) => None,
        (CallForm::Batch, _) => encode_batch(webhooks, host, timeout_secs),
    }
}

/// The headers that both forms have.
fn common_headers(host: &str, timeout_secs: f64) -> String {
    let timeout_ms = (timeout_secs * 1e3).max(0.0) as u64;
    format!("HTTP/1.1\r\nHost: {host}\r\nReq-Deadline: {timeout_ms}m\r\n")
}

fn encode_single(webhook: &OutgoingWebhook, host: &str, timeout_secs: f64) -> Vec<u8> {
    let (common, id, length) = (common_headers(host, timeout_secs), webhook.id, webhook.body.len());
    let token = webhook.token.map_or(String::new(), |token| format!("Idempotency-Key: {token}\r\n"));
    let head = format!(
        "POST /inbox {common}Connection: close\r\nReq-Id: {id}\r\n{token}Content-Length: {length}\r\n\r\n"
    );
    [head.as_bytes(), webhook.body].concat()
}

fn encode_batch(webhooks: &[OutgoingWebhook], host: &str, timeout_secs: f64) -> Option<Vec<u8>> {
    let common = common_headers(host, timeout_secs);
    let mut body = Vec::new();
    for webhook in webhooks {
        body.extend_from_slice(webhook.batch_line().as_bytes());
        body.extend_from_slice(webhook.body);
        body.extend_from_slice(LINE_END);
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
    /// The result that the status means for each webhook of a call.
    fn attempt_result(&self, form: CallForm) -> AttemptResult {
        let outcome = match self.status {
            200 => Outcome::Delivered,
            429 => Outcome::Full(self.retry_after),
            503 if self.no_free_slot => Outcome::Moot(true),
            503 => Outcome::Full(self.retry_after),
            504 => Outcome::Moot(false),
            410 => return AttemptResult { outcome: Outcome::Moot(false), is_final: true },
            // The endpoint could not read the batch, or it was too large: none has run.
            400 | 413 if form == CallForm::Batch => Outcome::Moot(false),
            _ => Outcome::Failed,
        };
        outcome.into()
    }
}

/// The results of the webhooks that a response with status 200 to a batch names; `None` if its body is
/// malformed.
fn named_results(response: &Message<ResponseHead>) -> Option<BTreeMap<&str, AttemptResult>> {
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
    Some(results)
}

/// The results of a call's webhooks, in their order; `None` if the response's body is malformed.
pub fn attempt_results(
    response: &Message<ResponseHead>, form: CallForm, ids: &[&str],
) -> Option<Vec<AttemptResult>> {
    if form == CallForm::Single || response.head.status != 200 {
        return Some(vec![response.head.attempt_result(form); ids.len()]);
    }
    let results = named_results(response)?;
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

/// Whether a response belongs to the call that is in flight on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attribution {
    /// It belongs to the call.
    Confirmed,
    /// It may belong to the call or to an earlier one: the call may have run, and is not known to be delivered.
    Unconfirmed,
    /// It belongs to an earlier call. The response to this one is still to come.
    Unsolicited,
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
    /// How it carries its webhooks.
    pub form: CallForm,
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
    fn results(&self, response: &Message<ResponseHead>) -> Option<Vec<AttemptResult>> {
        let ids: Vec<&str> = self.webhooks.iter().map(|webhook| webhook.id.as_str()).collect();
        let results = attempt_results(response, self.form, &ids)?;
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

    /// Whether a response names the call's webhooks: all of them, some, or none. `None` if it names others
    /// beside them, or nothing.
    fn named_share(&self, response: &Message<ResponseHead>) -> Option<NamedShare> {
        let named = named_results(response).filter(|named| !named.is_empty())?;
        let is_named = |webhook: &&CalledWebhook| named.contains_key(webhook.id.as_str());
        match self.webhooks.iter().filter(is_named).count() {
            0 => Some(NamedShare::None),
            count if count < named.len() => None,
            count if count < self.webhooks.len() => Some(NamedShare::Some),
            _ => Some(NamedShare::All),
        }
    }
}

/// How many of a call's webhooks a response names that names no other webhooks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NamedShare {
    None,
    Some,
    All,
}

/// What a response means for the call in flight on its connection.
#[derive(Debug)]
pub struct CallEnd {
    /// Whether it belongs to the call.
    pub attribution: Attribution,
    /// The results of the call's webhooks, in their order.
    pub results: Vec<AttemptResult>,
    /// Whether the connection can carry a further call, as far as the response tells.
    pub is_reusable: bool,
}

/// A connection to an endpoint. It carries one call at a time.
///
/// It is used again only after responses with status 200 that named all webhooks of their calls as finished.
/// Then a response that names webhooks tells which call it belongs to, and any other response cannot be a copy
/// of an earlier one.
#[derive(Debug)]
pub struct EndpointConnection {
    /// The endpoint's name.
    pub name: String,
    /// The call that waits for the connection to open, or is in flight on it.
    pub call: Option<Call>,
    /// The last call that ended on it.
    pub last_call: Option<CallId>,
    /// When that one ended.
    pub last_ended_at: Option<f64>,
    /// Calls that ended on it.
    pub ended_calls: u32,
    /// Decodes the responses.
    pub decoder: Decoder<ResponseHead>,
}

impl EndpointConnection {
    /// A connection without a call.
    pub fn new(name: String) -> Self {
        let decoder = Decoder::for_responses(MAX_RESPONSE_BODY_BYTES);
        EndpointConnection { name, call: None, last_call: None, last_ended_at: None, ended_calls: 0, decoder }
    }

    /// Takes the call in flight, which has ended.
    pub fn take_ended_call(&mut self, now: f64) -> Option<Call> {
        let call = self.call.take()?;
        (self.last_call, self.last_ended_at) = (Some(call.id), Some(now));
        self.ended_calls += 1;
        Some(call)
    }

    /// Whether a response belongs to the call in flight.
    fn attribution(&self, call: &Call, response: &Message<ResponseHead>) -> Attribution {
        let is_first_call = self.ended_calls == 0;
        if is_first_call || (call.form == CallForm::Batch && response.head.status != 200) {
            return Attribution::Confirmed;
        }
        if call.form == CallForm::Single {
            return Attribution::Unconfirmed;
        }
        match call.named_share(response) {
            Some(NamedShare::All | NamedShare::Some) => Attribution::Confirmed,
            Some(NamedShare::None) => Attribution::Unsolicited,
            None => Attribution::Unconfirmed,
        }
    }

    /// What a response means for the call in flight.
    pub fn evaluate(&self, call: &Call, response: &Message<ResponseHead>) -> CallEnd {
        let attribution = self.attribution(call, response);
        let results = call.results(response).filter(|_| attribution == Attribution::Confirmed);
        let is_reusable =
            results.as_ref().is_some_and(|results| results.iter().all(|result| result.is_final))
                && call.form == CallForm::Batch
                && call.written
                && response.head.status == 200
                && response.keep_alive
                && call.named_share(response) == Some(NamedShare::All);
        let may_have_run = || vec![Outcome::Reset.into(); call.webhooks.len()];
        CallEnd { attribution, results: results.unwrap_or_else(may_have_run), is_reusable }
    }

    /// The results of a call whose connection broke, or for which the sender stopped waiting.
    /// `outcome_if_no_response` applies if the call was written and the response so far says nothing else.
    pub fn results_when_cut_short(
        &mut self, call: &Call, outcome_if_no_response: Outcome,
    ) -> (Vec<AttemptResult>, ResponseHead) {
        let count = call.webhooks.len();
        if let Some(response) = self.decoder.end_of_stream() {
            return (self.evaluate(call, &response).results, response.head);
        }
        // Of an incomplete or malformed response only a first line with 200 is trusted, if the response has
        // only a status, and none came before it. Any other status, even one that means that nothing has run, counts as a call that may have
        // run if it was written.
        let status =
            self.decoder.pending_head().map(|head| head.status).or_else(|| self.decoder.pending_status());
        let outcome = match status {
            _ if !call.written => Outcome::ConnectFailed,
            Some(200) if call.form == CallForm::Single && self.ended_calls == 0 => Outcome::Delivered,
            _ => outcome_if_no_response,
        };
        (vec![outcome.into(); count], ResponseHead::default())
    }
}

/// The idle connections of each endpoint by connection id, the most recently used at the end.
#[derive(Debug, Default)]
pub struct ConnectionPool(BTreeMap<String, Vec<usize>>);

impl ConnectionPool {
    /// Adds a connection that has become idle.
    pub fn put(&mut self, endpoint: &str, connection_id: usize) {
        self.0.entry(endpoint.to_owned()).or_default().push(connection_id);
    }

    /// Takes the most recently used connection: it is the least likely to be closed by the endpoint soon.
    pub fn take(&mut self, endpoint: &str) -> Option<usize> {
        self.0.get_mut(endpoint)?.pop()
    }

    /// Removes a connection.
    pub fn remove(&mut self, endpoint: &str, connection_id: usize) {
        if let Some(connection_ids) = self.0.get_mut(endpoint) {
            connection_ids.retain(|other_id| *other_id != connection_id);
        }
        self.0.retain(|_, connection_ids| !connection_ids.is_empty());
    }

    /// Takes all connections to an endpoint.
    pub fn take_all(&mut self, endpoint: &str) -> Vec<usize> {
        self.0.remove(endpoint).unwrap_or_default()
    }

    /// The connection that was opened first: the one to close when file descriptors run out.
    pub fn oldest(&self) -> Option<usize> {
        self.0.values().flatten().min().copied()
    }
}

#[cfg(test)]
mod tests;
