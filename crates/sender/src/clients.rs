//! Those who hand in webhooks: what they ask, and what they are answered.

use crate::http::{
    Decoder, Headers, MAX_BODY_BYTES, Message, MessageHead, StartLine, decode_duration, encode_empty_response,
};
use std::collections::BTreeSet;

/// Ids, keys and names of customers: longer ones are no ids.
const MOST_ID: usize = 256;

/// After the last answer, what still comes is passed over in so many reads, so that no reset overtakes it.
const LINGER_READS: usize = 16;

/// A webhook as it is handed in, less its body.
#[derive(Debug, Clone, PartialEq)]
pub struct IncomingWebhook {
    /// The id that the client gave it.
    pub id: String,
    /// The name of its event type.
    pub event_type: String,
    /// The number of its destination.
    pub dest: u64,
    /// Webhooks with the same order key go one at a time, where the event type asks for it.
    pub order_key: Option<String>,
    /// The customer that it counts for.
    pub customer: Option<String>,
    /// The idempotency key.
    pub token: Option<String>,
    /// Seconds in which it may still be delivered.
    pub remaining_secs: f64,
}

/// The methods that are told apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Method {
    Get,
    Post,
    Other,
}

/// A request, less its body. `hand_in` is there when all its lines are.
#[derive(Debug)]
pub struct RequestHead {
    method: Method,
    path: String,
    hand_in: Option<IncomingWebhook>,
}

impl MessageHead for RequestHead {
    fn decode(start: &StartLine, fields: &Headers) -> Self {
        let StartLine::Request { method, target } = *start else {
            return RequestHead { method: Method::Other, path: String::new(), hand_in: None };
        };
        let method = match method {
            "GET" => Method::Get,
            "POST" => Method::Post,
            _ => Method::Other,
        };
        let path = target.split('?').next().unwrap_or("").trim_start_matches('/');
        // The event type is the first part of the path.
        let path = path.split('/').next().unwrap_or("").to_owned();
        let hand_in = decode_hand_in(&path, fields);
        RequestHead { method, path, hand_in }
    }
}

fn decode_hand_in(event_type: &str, fields: &Headers) -> Option<IncomingWebhook> {
    // An id goes into lines of other messages: without blanks or signs that would end it there.
    let id = |name| match fields.get(name) {
        Some(v) if !v.is_empty() && v.len() <= MOST_ID && v.bytes().all(|b| b.is_ascii_graphic()) => {
            Some(Some(v.to_owned()))
        }
        Some(_) => None,
        None => Some(None),
    };
    let mut extras = fields.get("X-Addressing")?.split([';', ',', ' ']);
    let dest = extras.find_map(|e| e.trim().strip_prefix("dest="))?.parse().ok()?;
    Some(IncomingWebhook {
        id: id("Req-Id")??,
        event_type: event_type.to_owned(),
        dest,
        order_key: id("Req-Key")?,
        customer: fields.get("Req-Owner").map(str::to_owned),
        token: id("Idempotency-Key")?,
        remaining_secs: decode_duration(fields.get("Req-Deadline")?)?,
    })
}

/// What a client gets to hear.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reply {
    /// The sender serves.
    Ready,
    /// The webhook is taken on.
    Accepted,
    /// Handing in again does no harm, after so many seconds (0: nothing said).
    Rejected(f64),
    /// No room, or no longer taking anything: harmless as well.
    Unavailable,
    /// Another status, without more.
    Status(u16),
}

/// What is awaited on a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The next request.
    Idle,
    /// The rest of a request.
    Reading,
    /// The client's reading of an answer.
    Writing,
    /// The sending side is shut; the client has to close.
    Lingering,
}

/// What is to be done next on a client's connection once all that was to be written is written.
#[derive(Debug)]
pub enum Step {
    /// A request has come as a whole.
    Serve(Message<RequestHead>),
    /// What came is no request; the last answer says why.
    Refuse(u16),
    /// The client waits for leave to send the body.
    Leave,
    /// More has to be read.
    Read,
    /// Nothing more will be said: the sending side is shut, and no request is taken from then on.
    Shut,
    /// The connection is closed.
    Close,
}

/// One client's connection. It is shut before it is closed: a close over bytes that have come unseen resets the
/// connection, and a reset may overtake the last answer.
#[derive(Debug)]
pub struct Client {
    decoder: Decoder<RequestHead>,
    /// What is awaited now.
    pub stage: Stage,
    /// No request has come yet.
    pub fresh: bool,
    /// Nothing more is taken from it once all is written; what still comes is passed over.
    last: bool,
    /// Reads that were passed over since.
    passed: usize,
    /// The webhook whose 202 is not yet written as a whole.
    pub unacknowledged: Option<u64>,
}

impl Default for Client {
    fn default() -> Self {
        let decoder = Decoder::for_requests(MAX_BODY_BYTES);
        Client { decoder, stage: Stage::Idle, fresh: true, last: false, passed: 0, unacknowledged: None }
    }
}

impl Client {
    /// A connection on which nothing has come yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The next step; only where nothing is left to write.
    pub fn step(&mut self) -> Step {
        if self.last && self.stage != Stage::Lingering {
            return Step::Shut;
        }
        if self.last {
            return if self.passed > LINGER_READS { Step::Close } else { Step::Read };
        }
        match self.decoder.next_message() {
            Ok(Some(request)) => Step::Serve(request),
            Ok(None) if self.decoder.take_expect_continue() => Step::Leave,
            Ok(None) => Step::Read,
            Err(fault) => Step::Refuse(fault.status()),
        }
    }

    /// Takes in what was read.
    pub fn bytes(&mut self, bytes: &[u8]) {
        if self.last { self.passed += 1 } else { self.decoder.feed(bytes) }
    }

    /// A read found nothing: what is awaited now. Where the process is to end, a connection between requests ends
    /// instead, and nothing is told.
    pub fn quiet(&mut self, closing: bool) -> Option<Stage> {
        let between = self.decoder.is_between_messages();
        if !self.last && between && closing && !self.fresh {
            self.end();
            return None;
        }
        let reads = if between { Stage::Idle } else { Stage::Reading };
        Some(if self.last { Stage::Lingering } else { reads })
    }

    /// The answer in hand is the last, or none was owed.
    pub fn end(&mut self) {
        self.last = true;
        self.decoder = Decoder::for_requests(0);
    }

    /// What the buffers take up.
    pub fn held(&self) -> usize {
        self.decoder.buffered_bytes()
    }
}

/// Where a request leads: to a webhook, or straight to an answer.
pub fn route(asked: RequestHead, event_types: &BTreeSet<String>) -> Result<IncomingWebhook, Reply> {
    match (asked.method, asked.path.as_str()) {
        (Method::Get, "ready") => Err(Reply::Ready),
        (_, "ready") => Err(Reply::Status(405)),
        (_, path) if !event_types.contains(path) => Err(Reply::Status(404)),
        (Method::Post, _) => asked.hand_in.ok_or(Reply::Status(400)),
        _ => Err(Reply::Status(405)),
    }
}

/// Appends an answer; `close` says that it is the last.
pub fn encode(out: &mut Vec<u8>, reply: Reply, close: bool) {
    match reply {
        Reply::Ready => encode_empty_response(out, 200, &[], close),
        Reply::Accepted => encode_empty_response(out, 202, &[], close),
        Reply::Rejected(after) if after > 0.0 => {
            encode_empty_response(out, 429, &[("Retry-After", format!("{after:.3}"))], close);
        }
        Reply::Rejected(_) => encode_empty_response(out, 429, &[], close),
        Reply::Unavailable => encode_empty_response(out, 503, &[], close),
        Reply::Status(405) => encode_empty_response(out, 405, &[("Allow", "GET, POST".into())], close),
        Reply::Status(status) => encode_empty_response(out, status, &[], close),
    }
}

#[cfg(test)]
mod tests;
