//! Notices to the platform: they report the final answers of webhooks that were accepted and not delivered.

use crate::http::{DecodeError, Decoder, StatusHead};
use crate::journal::FinalAnswer;
use serde::Serialize;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The most lines in one notice: well below the protocol's limit for a body.
const MAX_LINES: usize = 100;
const MAX_RESPONSE_BODY_BYTES: usize = 4096;
/// How long a notice waits for its acknowledgement. The platform answers at once, and a final answer may
/// arrive 0.3 s late: one that is sent at the end of the TTL still arrives in time if the notice before it
/// got lost and a new connection has to be opened.
pub const ACK_TIMEOUT_SECS: f64 = 0.15;
/// Delay before a notice is sent again that was not acknowledged.
pub const RETRY_DELAY_SECS: f64 = 0.05;
const _: () = assert!(ACK_TIMEOUT_SECS + RETRY_DELAY_SECS < 0.25);

/// A line of a notice, as JSON.
#[derive(Serialize)]
struct Line<'a> {
    id: &'a str,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<u64>,
}

/// The final answers to report, in order, and those in flight. A notice is repeated until it is acknowledged.
pub struct Notices {
    decoder: Decoder<StatusHead>,
    /// The numbers of the webhooks to report.
    queued: VecDeque<u64>,
    /// The numbers of the webhooks in the notice that was sent last and is not acknowledged.
    in_flight: Vec<u64>,
    /// After a refused notice, lines are sent one by one, so that one which the platform cannot read does not
    /// block others.
    one_by_one: bool,
}

impl Default for Notices {
    fn default() -> Self {
        let decoder = Decoder::for_responses(MAX_RESPONSE_BODY_BYTES);
        Notices { decoder, queued: VecDeque::new(), in_flight: Vec::new(), one_by_one: false }
    }
}

impl Notices {
    /// Starts with nothing to report.
    pub fn new() -> Self {
        Self::default()
    }

    /// The number of final answers that are queued or in flight.
    pub fn len(&self) -> usize {
        self.in_flight.len() + self.queued.len()
    }

    /// Queues the final answer of a webhook.
    pub fn push(&mut self, number: u64) {
        self.queued.push_back(number);
    }

    /// Whether a notice is to be sent: answers are queued and none is in flight.
    pub fn can_send(&self) -> bool {
        self.in_flight.is_empty() && !self.queued.is_empty()
    }

    /// Whether nothing is queued or in flight.
    pub fn is_empty(&self) -> bool {
        self.in_flight.is_empty() && self.queued.is_empty()
    }

    /// The next notice as a request. `final_answer` returns a webhook's id and final answer.
    pub fn next_request(
        &mut self, host: &SocketAddr, mut final_answer: impl FnMut(u64) -> Option<(String, FinalAnswer)>,
    ) -> Vec<u8> {
        let max_lines = if self.one_by_one { 1 } else { MAX_LINES };
        let mut body = Vec::new();
        while self.in_flight.len() < max_lines
            && let Some(number) = self.queued.pop_front()
        {
            let Some((id, answer)) = final_answer(number) else { continue };
            let (state, after_ms) = match answer {
                FinalAnswer::Rejected(retry_after) => {
                    ("returned", Some((retry_after * 1e3) as u64).filter(|ms| *ms > 0))
                }
                _ => ("failed", None),
            };
            // Writing to memory does not fail.
            let _ = serde_json::to_writer(&mut body, &Line { id: &id, state, after_ms });
            body.push(b'\n');
            self.in_flight.push(number);
        }
        let length = body.len();
        let mut request = format!(
            "POST /v1/outcomes HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
        )
        .into_bytes();
        request.extend(body);
        request
    }

    /// The numbers of the webhooks whose notice is in flight.
    pub fn in_flight(&self) -> &[u64] {
        &self.in_flight
    }

    /// Reads a part of the response. Once the notice is acknowledged, returns the numbers of its webhooks.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Vec<u64>>, DecodeError> {
        self.decoder.feed(bytes);
        let Some(response) = self.decoder.next_message()? else { return Ok(None) };
        self.one_by_one = response.head.0 != 204;
        if self.one_by_one {
            return Err(DecodeError::Malformed);
        }
        Ok(Some(std::mem::take(&mut self.in_flight)))
    }

    /// The connection was closed: what is still in flight is queued again, behind the rest.
    pub fn connection_closed(&mut self) {
        self.decoder = Decoder::for_responses(MAX_RESPONSE_BODY_BYTES);
        self.queued.extend(self.in_flight.drain(..));
    }
}
