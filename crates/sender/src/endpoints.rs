//! Calls to the destinations' endpoints: how they are written, and what their answers mean.

use crate::http::{Decoder, Headers, MAX_BODY_BYTES, Message, MessageHead, StartLine, decode_number};
use crate::journal::AttemptNumber;
use scalebarrow::Outcome;
use std::collections::BTreeMap;

/// An answer's body means little: a line for each webhook of a call at most.
const MOST_ANSWER: usize = MAX_BODY_BYTES;

/// A webhook as a call carries it.
pub struct Load<'a> {
    /// The webhook's id.
    pub id: &'a str,
    /// Its idempotency key.
    pub token: Option<&'a str>,
    /// Its body.
    pub body: &'a [u8],
}

/// The call for one webhook, or for several; nothing where they do not fit in one body.
pub fn encode(loads: &[Load], host: &str, wait: f64) -> Option<Vec<u8>> {
    let wait = (wait * 1e3).max(0.0) as u64;
    let common = format!("HTTP/1.1\r\nHost: {host}\r\nReq-Deadline: {wait}m\r\n");
    if let [load] = loads {
        let token = load.token.map_or(String::new(), |t| format!("Idempotency-Key: {t}\r\n"));
        let size = load.body.len();
        let head =
            format!("POST /inbox {common}Req-Id: {}\r\n{token}Content-Length: {size}\r\n\r\n", load.id);
        return Some([head.as_bytes(), load.body].concat());
    }
    let mut body = Vec::new();
    for load in loads {
        let line = format!("{} {} {}\r\n", load.id, load.token.unwrap_or("-"), load.body.len());
        body.extend_from_slice(line.as_bytes());
        body.extend_from_slice(load.body);
        body.extend_from_slice(b"\r\n");
    }
    let head = format!("POST /inbox/bulk {common}Content-Length: {}\r\n\r\n", body.len());
    (body.len() <= MAX_BODY_BYTES).then(|| [head.as_bytes(), &body].concat())
}

/// The head of an answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// Seconds to wait before the destination, or the route, is called again.
    pub retry_after: f64,
    no_slot: bool,
    /// Share of the limit that is left, and the limit in calls a second, where the answer tells them.
    pub limit_report: Option<(f64, f64)>,
}

impl MessageHead for ResponseHead {
    fn decode(start: &StartLine, fields: &Headers) -> Self {
        let status = if let StartLine::Response { status } = start { *status } else { 0 };
        let wait = fields.get("Retry-After").and_then(decode_number).unwrap_or(0.0);
        let no_slot = fields.get("X-Over-Slots") == Some("1");
        let load = fields.get("Srv-Load").and_then(|l| l.strip_prefix("TEXT"));
        let value = |name: &str| {
            let mut parts = load?.split(',').filter_map(|p| p.trim().split_once('='));
            parts.find(|(n, _)| *n == name).and_then(|(_, v)| decode_number(v))
        };
        ResponseHead { status, retry_after: wait, no_slot, limit_report: value("x0").zip(value("x1")) }
    }
}

/// How a call ended for one webhook; `over` where nothing more is owed for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptResult {
    /// What became of the attempt.
    pub outcome: Outcome,
    /// Nothing more is owed: no further attempt is made.
    pub is_final: bool,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult { outcome, is_final: outcome == Outcome::Delivered }
    }
}

impl ResponseHead {
    /// What the status says of a webhook that went alone, or of all in a call that fared alike.
    fn ending(&self, alone: bool) -> AttemptResult {
        let outcome = match self.status {
            200 => Outcome::Delivered,
            429 => Outcome::Full(self.retry_after),
            503 if self.no_slot => Outcome::Moot(true),
            503 => Outcome::Full(self.retry_after),
            504 => Outcome::Moot(false),
            410 => return AttemptResult { outcome: Outcome::Moot(false), is_final: true },
            // Of a call of several that cannot be read, or holds too many, none has run.
            400 | 413 if !alone => Outcome::Moot(false),
            _ => Outcome::Failed,
        };
        outcome.into()
    }
}

/// The endings of a call's webhooks, in their order; nothing where the answer is garbage.
pub fn attempt_results(answer: &Message<ResponseHead>, ids: &[&str]) -> Option<Vec<AttemptResult>> {
    if ids.len() == 1 || answer.head.status != 200 {
        return Some(vec![answer.head.ending(ids.len() == 1); ids.len()]);
    }
    let text = std::str::from_utf8(&answer.body).ok()?;
    let mut results = BTreeMap::new();
    for line in text.lines().filter(|l| !l.is_empty()) {
        let (id, word) = line.split_once(' ')?;
        let ending = match word.trim() {
            "ok" => Outcome::Delivered.into(),
            "error" => Outcome::Failed.into(),
            "later" => Outcome::Full(answer.head.retry_after).into(),
            "gone" => AttemptResult { outcome: Outcome::Moot(false), is_final: true },
            "exhausted" => Outcome::Moot(false).into(),
            _ => return None,
        };
        results.insert(id, ending);
    }
    // One that the answer leaves out may have run.
    Some(ids.iter().map(|id| results.get(id).copied().unwrap_or(Outcome::Failed.into())).collect())
}

/// A webhook in a call.
#[derive(Debug, Clone, PartialEq)]
pub struct CalledWebhook {
    /// Its number in the journal.
    pub number: u64,
    /// Its id.
    pub id: String,
    /// The attempt, once it is recorded in the journal: only then may the call be written.
    pub attempt: Option<AttemptNumber>,
}

impl CalledWebhook {
    /// A webhook whose attempt is not recorded yet.
    pub fn new(number: u64, id: String) -> Self {
        CalledWebhook { number, id, attempt: None }
    }
}

/// A call that waits for its connection, or is out on it.
#[derive(Debug)]
pub struct Call {
    /// The endpoint's name in the list.
    pub endpoint: String,
    /// The endpoint's zone.
    pub zone: String,
    /// The webhooks in it.
    pub webhooks: Vec<CalledWebhook>,
    /// When it was decided.
    pub decided_at: f64,
    /// When it is given up.
    pub give_up_at: f64,
    /// Its last byte is written by then, or it is given up before.
    pub write_deadline: f64,
    /// The request as it is written; empty once it is on its connection.
    pub request: Vec<u8>,
    /// The last byte is written: from then on a webhook may run.
    pub written: bool,
}

/// One connection to an endpoint. It carries one call at a time.
#[derive(Debug)]
pub struct EndpointConnection {
    /// The endpoint's name in the list.
    pub name: String,
    /// The call that waits for the connection, or is out on it.
    pub call: Option<Call>,
    /// Reads the answers.
    pub decoder: Decoder<ResponseHead>,
}

impl EndpointConnection {
    /// A connection that carries nothing yet.
    pub fn new(name: String) -> Self {
        EndpointConnection { name, call: None, decoder: Decoder::for_responses(MOST_ANSWER) }
    }

    /// How the call ended when the connection broke, or the sender stopped waiting (`otherwise`).
    pub fn results_when_cut_short(
        &mut self, call: &Call, otherwise: Outcome,
    ) -> (Vec<AttemptResult>, ResponseHead) {
        let count = call.webhooks.len();
        if let Some(answer) = self.decoder.end_of_stream() {
            let ids: Vec<&str> = call.webhooks.iter().map(|w| w.id.as_str()).collect();
            let garbage = || vec![Outcome::Reset.into(); count];
            return (attempt_results(&answer, &ids).unwrap_or_else(garbage), answer.head);
        }
        // Of a spoilt answer only a first line with 200 is true, where one webhook went alone. Any other, also one that
        // seems to say that nothing has run, stands for a call that may have run once it was written.
        let status = self.decoder.pending_head().map(|h| h.status).or_else(|| self.decoder.pending_status());
        let outcome = match status {
            Some(200) if count == 1 => Outcome::Delivered,
            _ if call.written => otherwise,
            _ => Outcome::ConnectFailed,
        };
        (vec![outcome.into(); count], ResponseHead::default())
    }
}

/// Idle connections by endpoint, the last used at the end.
#[derive(Debug, Default)]
pub struct ConnectionPool(BTreeMap<String, Vec<usize>>);

impl ConnectionPool {
    /// Takes in a connection that carries nothing.
    pub fn put(&mut self, endpoint: &str, connection: usize) {
        self.0.entry(endpoint.to_owned()).or_default().push(connection);
    }

    /// The connection that was used last: it is the least likely to be closing.
    pub fn take(&mut self, endpoint: &str) -> Option<usize> {
        self.0.get_mut(endpoint)?.pop()
    }

    /// Forgets a connection.
    pub fn remove(&mut self, endpoint: &str, connection: usize) {
        if let Some(connections) = self.0.get_mut(endpoint) {
            connections.retain(|other| *other != connection);
        }
        self.0.retain(|_, connections| !connections.is_empty());
    }

    /// Gives up all idle connections to an endpoint.
    pub fn take_all(&mut self, endpoint: &str) -> Vec<usize> {
        self.0.remove(endpoint).unwrap_or_default()
    }

    /// One to close where descriptors are short: the one opened first.
    pub fn oldest(&self) -> Option<usize> {
        self.0.values().flatten().min().copied()
    }
}

#[cfg(test)]
mod tests;
