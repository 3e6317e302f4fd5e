//! Connections of the clients that hand in webhooks: their requests, the replies to these, and the states of
//! such a connection.

use crate::http::{
    Decoder, Headers, MAX_BODY_BYTES, Message, MessageHead, StartLine, decode_duration, encode_empty_response,
};
use std::collections::BTreeSet;

/// Limit for webhook ids, ordering keys and idempotency keys.
const MAX_ID_BYTES: usize = 256;

/// How many reads are discarded after the last response, so that a reset does not overtake that response.
const MAX_LINGER_READS: usize = 16;

/// A webhook that a client hands in, without its body.
#[derive(Debug, Clone, PartialEq)]
pub struct IncomingWebhook {
    /// The id that the client chose.
    pub id: String,
    /// The name of its event type.
    pub event_type: String,
    /// The number of its destination.
    pub destination: u64,
    /// The ordering key: webhooks that share one are delivered one at a time if the event type requires it.
    pub ordering_key: Option<String>,
    /// The customer whose quota the webhook counts towards.
    pub customer: Option<String>,
    /// The idempotency key.
    pub token: Option<String>,
    /// The TTL: how many seconds are left to deliver the webhook.
    pub remaining_secs: f64,
}

/// The request methods that the router distinguishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Method {
    Get,
    Post,
    Other,
}

/// The head of a request. `webhook` is set if all headers that a webhook needs are present and valid.
#[derive(Debug)]
pub struct RequestHead {
    method: Method,
    path: String,
    webhook: Option<IncomingWebhook>,
}

impl MessageHead for RequestHead {
    fn decode(start: &StartLine, headers: &Headers) -> Self {
        let StartLine::Request { method, target } = *start else {
            return RequestHead { method: Method::Other, path: String::new(), webhook: None };
        };
        let method = match method {
            "GET" => Method::Get,
            "POST" => Method::Post,
            _ => Method::Other,
        };
        let path = target.split('?').next().unwrap_or("").trim_start_matches('/');
        // The event type is the first segment of the path.
        let path = path.split('/').next().unwrap_or("").to_owned();
        let webhook = decode_webhook(&path, headers);
        RequestHead { method, path, webhook }
    }
}

/// The webhook described by the headers of a request, or none if one is missing or invalid.
fn decode_webhook(event_type: &str, headers: &Headers) -> Option<IncomingWebhook> {
    // Ids are copied to headers and lines of other messages, so they must not contain spaces or line breaks.
    let id = |name| match headers.get(name) {
        Some(value)
            if !value.is_empty()
                && value.len() <= MAX_ID_BYTES
                && value.bytes().all(|byte| byte.is_ascii_graphic()) =>
        {
            Some(Some(value.to_owned()))
        }
        Some(_) => None,
        None => Some(None),
    };
    let mut parameters = headers.get("X-Addressing")?.split([';', ',', ' ']);
    let destination =
        parameters.find_map(|parameter| parameter.trim().strip_prefix("dest="))?.parse().ok()?;
    Some(IncomingWebhook {
        id: id("Req-Id")??,
        event_type: event_type.to_owned(),
        destination,
        ordering_key: id("Req-Key")?,
        customer: headers.get("Req-Owner").map(str::to_owned),
        token: id("Idempotency-Key")?,
        remaining_secs: decode_duration(headers.get("Req-Deadline")?)?,
    })
}

/// The reply to a client's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reply {
    /// 200: the sender is ready.
    Ready,
    /// 202: the webhook is accepted.
    Accepted,
    /// 429: the webhook is rejected and can safely be handed in again, after so many seconds (0: none given).
    Rejected(f64),
    /// 503: the sender is at its limits or shutting down. The webhook can safely be handed in again.
    Unavailable,
    /// Another status code.
    Status(u16),
}

/// What a client's connection is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The next request.
    Idle,
    /// The rest of a request.
    Reading,
    /// The client, which has to read a response.
    Writing,
    /// The client, which has to close the connection after its sending side was shut down here.
    Lingering,
}

/// What the driver has to do next on a client's connection once its output buffer is empty.
#[derive(Debug)]
pub enum Step {
    /// Handle a request that was received completely.
    HandleRequest(Message<RequestHead>),
    /// Send an error status as the last response, since the bytes received are not a valid request.
    Reject(u16),
    /// Send `100 Continue`, for which the client waits before it sends the body.
    SendContinue,
    /// Read more.
    Read,
    /// Shut down the sending side. No request is handled from then on.
    ShutdownWrite,
    /// Close the connection.
    Close,
}

/// One client's connection. Its sending side is shut down before it is closed: closing a socket with unread
/// bytes resets the connection, and the reset may overtake the last response.
#[derive(Debug)]
pub struct Client {
    decoder: Decoder<RequestHead>,
    /// What the connection is waiting for.
    pub stage: Stage,
    /// No request was received yet.
    pub awaits_first_request: bool,
    /// The connection is closed once its output is written; further input is discarded.
    closing: bool,
    /// Reads that were discarded since then.
    discarded_reads: usize,
    /// The number of the webhook whose 202 is not yet written completely.
    pub unreplied_webhook: Option<u64>,
}

impl Default for Client {
    fn default() -> Self {
        let decoder = Decoder::for_requests(MAX_BODY_BYTES);
        Client {
            decoder,
            stage: Stage::Idle,
            awaits_first_request: true,
            closing: false,
            discarded_reads: 0,
            unreplied_webhook: None,
        }
    }
}

impl Client {
    /// A connection on which nothing was received yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The next step. May be called only when nothing is left to write.
    pub fn next_step(&mut self) -> Step {
        if self.closing && self.stage != Stage::Lingering {
            return Step::ShutdownWrite;
        }
        if self.closing {
            return if self.discarded_reads > MAX_LINGER_READS { Step::Close } else { Step::Read };
        }
        match self.decoder.next_message() {
            Ok(Some(request)) => Step::HandleRequest(request),
            Ok(None) if self.decoder.take_expect_continue() => Step::SendContinue,
            Ok(None) => Step::Read,
            Err(error) => Step::Reject(error.status()),
        }
    }

    /// Takes bytes that were read from the connection.
    pub fn receive(&mut self, bytes: &[u8]) {
        if self.closing { self.discarded_reads += 1 } else { self.decoder.feed(bytes) }
    }

    /// Handles a read that found nothing and returns what the connection is waiting for. While the process
    /// shuts down, a connection between requests is closed instead, and nothing is returned.
    pub fn read_blocked(&mut self, shutting_down: bool) -> Option<Stage> {
        let between_requests = self.decoder.is_between_messages();
        if !self.closing && between_requests && shutting_down && !self.awaits_first_request {
            self.begin_close();
            return None;
        }
        let open_stage = if between_requests { Stage::Idle } else { Stage::Reading };
        Some(if self.closing { Stage::Lingering } else { open_stage })
    }

    /// Closes the connection once its output is written; further input is discarded.
    pub fn begin_close(&mut self) {
        self.closing = true;
        self.decoder = Decoder::for_requests(0);
    }

    /// The memory taken by the buffers.
    pub fn buffered_bytes(&self) -> usize {
        self.decoder.buffered_bytes()
    }
}

/// Routes a request: to the webhook that it hands in, or directly to a reply.
pub fn route(request: RequestHead, event_types: &BTreeSet<String>) -> Result<IncomingWebhook, Reply> {
    match (request.method, request.path.as_str()) {
        (Method::Get, "ready") => Err(Reply::Ready),
        (_, "ready") => Err(Reply::Status(405)),
        (_, path) if !event_types.contains(path) => Err(Reply::Status(404)),
        (Method::Post, _) => request.webhook.ok_or(Reply::Status(400)),
        _ => Err(Reply::Status(405)),
    }
}

/// Appends a reply; `close` marks it as the last one on its connection.
pub fn encode_reply(out: &mut Vec<u8>, reply: Reply, close: bool) {
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
