//! Notices to the platform: final answers of webhooks that were taken on and not delivered.

use crate::http::{DecodeError, Decoder, StatusHead};
use crate::journal::End;
use serde::Serialize;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Lines in one notice: well under the protocol's limit for a body.
const MOST_LINES: usize = 100;
const MOST_ANSWER: usize = 4096;
/// The platform answers at once, and a final answer may come 0.3 s late: one that is sent when the time is up, behind
/// a notice that gets lost on its way, and on a connection that has to be opened anew, still comes in time.
pub const ACK_TIMEOUT_SECS: f64 = 0.15;
/// Between two tries of a notice that was not taken.
pub const RETRY_DELAY_SECS: f64 = 0.05;
const _: () = assert!(ACK_TIMEOUT_SECS + RETRY_DELAY_SECS < 0.25);

#[derive(Serialize)]
struct Line<'a> {
    id: &'a str,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<u64>,
}

/// What is due, in order, and what is out. A notice is repeated until it is acknowledged.
pub struct Notices {
    decoder: Decoder<StatusHead>,
    due: VecDeque<u64>,
    out: Vec<u64>,
    /// A line that the platform cannot read must not hold up others: then they go one by one.
    singly: bool,
}

impl Default for Notices {
    fn default() -> Self {
        let decoder = Decoder::for_responses(MOST_ANSWER);
        Notices { decoder, due: VecDeque::new(), out: Vec::new(), singly: false }
    }
}

impl Notices {
    /// Nothing is due and nothing is out.
    pub fn new() -> Self {
        Self::default()
    }

    /// How many are due or out.
    pub fn len(&self) -> usize {
        self.out.len() + self.due.len()
    }

    /// A webhook's final answer is due.
    pub fn push(&mut self, number: u64) {
        self.due.push_back(number);
    }

    /// Something is due and nothing is out.
    pub fn can_send(&self) -> bool {
        self.out.is_empty() && !self.due.is_empty()
    }

    /// Nothing is due and nothing is out.
    pub fn is_empty(&self) -> bool {
        self.out.is_empty() && self.due.is_empty()
    }

    /// The next call. `end` tells the id and the final answer of a webhook.
    pub fn next_request(
        &mut self, host: &SocketAddr, mut end: impl FnMut(u64) -> Option<(String, End)>,
    ) -> Vec<u8> {
        let most = if self.singly { 1 } else { MOST_LINES };
        let mut body = Vec::new();
        while self.out.len() < most
            && let Some(number) = self.due.pop_front()
        {
            let Some((id, end)) = end(number) else { continue };
            let (state, after_ms) = match end {
                End::Rejected(after) => ("returned", Some((after * 1e3) as u64).filter(|ms| *ms > 0)),
                _ => ("failed", None),
            };
            // Writing to memory does not fail.
            let _ = serde_json::to_writer(&mut body, &Line { id: &id, state, after_ms });
            body.push(b'\n');
            self.out.push(number);
        }
        let size = body.len();
        let mut call =
            format!("POST /v1/outcomes HTTP/1.1\r\nHost: {host}\r\nContent-Length: {size}\r\n\r\n")
                .into_bytes();
        call.extend(body);
        call
    }

    /// The webhooks whose notice is out.
    pub fn out(&self) -> &[u64] {
        &self.out
    }

    /// The webhooks whose notice was acknowledged, and whether the connection serves further calls.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<(Vec<u64>, bool)>, DecodeError> {
        self.decoder.feed(bytes);
        let Some(answer) = self.decoder.next_message()? else { return Ok(None) };
        self.singly = answer.head.0 != 204;
        if self.singly {
            return Err(DecodeError::Malformed);
        }
        Ok(Some((std::mem::take(&mut self.out), answer.keep_alive && self.decoder.is_between_messages())))
    }

    /// The connection is gone: what was out is due again, behind the rest.
    pub fn connection_lost(&mut self) {
        self.decoder = Decoder::for_responses(MOST_ANSWER);
        self.due.extend(self.out.drain(..));
    }
}
