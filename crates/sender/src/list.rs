//! The platform's list of endpoints: how it is asked for, and what it says.

use crate::http::{Decoder, StatusHead};
use serde::Deserialize;
use std::net::SocketAddr;

/// After a call that failed, was refused or was given up, a change counts as told so long after discovery had it and
/// could be reached.
pub const CHANGE_DEADLINE_SECS: f64 = 6.0;
/// How long a watch may be held that has nothing to tell. Where lists are pushed, the agent beside the sender answers at
/// no cost, and what it has counts as told whether or not a watch stands: one that has fallen silent is found soon. Where
/// they are asked for, each call costs the platform, and what a silent one misses counts 2 s after its wait is over: a
/// third of what the platform allows.
const PUSHED_MS: u64 = 2_000;
const ASKED_MS: u64 = 20_000;
/// The same after a call that failed: what was missed is told at once, so who has nothing to tell says that at once, too.
const AGAIN_MS: u64 = 100;
/// A list of ten thousand endpoints takes about 2 MB.
const MOST_LIST: usize = 4 * 1024 * 1024;
/// An answer that is due comes at once; who has said nothing for so long is silent. Asked again with the pause between
/// two tries, an agent that was silent in an outage tells what it has before half a second of it has passed, the time in
/// which sends to an endpoint that drains have to stop. A platform that is asked may have a queue.
const PUSHED_PATIENCE: f64 = 0.4;
const ASKED_PATIENCE: f64 = 0.9;
/// The platform's queue takes 2 s at most, or it refuses: a call for changes that is given up earlier was for nothing, and
/// all that do so after an outage keep the queue full.
const AGAIN_PATIENCE: f64 = 2.0;
/// Half a second is left for the way and for connections that have to come up.
const ON_THE_WAY: f64 = 0.5;

/// The longest pause between two calls where lists are asked for. At worst discovery can be reached again just after a
/// call went out: that one is given up, the pause passes, and the next one is answered as late as may be.
pub const MAX_PULL_PAUSE_SECS: f64 =
    CHANGE_DEADLINE_SECS - ON_THE_WAY - 2.0 * (AGAIN_MS as f64 / 1e3 + AGAIN_PATIENCE);

/// Whether an endpoint takes calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    /// It does.
    Serving,
    /// It does not for now.
    Draining,
    /// It has left for good.
    Deleted,
}

/// One line of the list.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint's name.
    #[serde(rename = "host")]
    pub name: String,
    /// Its address.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// The kind of its destination.
    #[serde(rename = "class")]
    pub destination_kind: String,
    /// An endpoint of no destination gets no calls.
    #[serde(rename = "block")]
    pub destination: Option<u64>,
    /// Whether it takes calls.
    pub health: Health,
    /// Calls a second that its destination takes, where that is listed.
    #[serde(rename = "share")]
    pub rate_limit: Option<f64>,
    /// When it last started, in Unix time.
    #[serde(rename = "born_ms")]
    pub started_unix_ms: Option<f64>,
}

/// A list, or what changed in it.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointListUpdate {
    /// The version.
    #[serde(rename = "seq")]
    pub version: u64,
    /// All endpoints are named; else those that changed.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// The endpoints.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<EndpointEntry>,
}

/// Why a call for the list brought none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListError {
    /// The platform has too much to do: nothing is wrong with what is known.
    Refused,
    /// What came cannot be read, or does not follow on what is known.
    InvalidResponse,
}

/// Which call is due or out: watches from the version that is known, the whole list where none is.
pub struct ListClient {
    decoder: Decoder<StatusHead>,
    seq: Option<u64>,
    /// Calls that brought no list since the last that did. A watch whose connection ended goes on over another one, once.
    failed: u32,
    /// The last that failed was a watch.
    fell_silent: bool,
    /// Lists have to be asked for; otherwise an agent is sent them.
    asked: bool,
}

impl ListClient {
    /// The list is known in this version. To ask for changes alone costs the platform little; whole lists for all
    /// senders that start together keep it busy for so long that all of them are refused.
    pub fn new(seq: u64, asked: bool) -> Self {
        ListClient {
            decoder: Decoder::for_responses(MOST_LIST),
            seq: Some(seq),
            failed: 0,
            fell_silent: false,
            asked,
        }
    }

    /// From which version changes are asked for; none where the whole list is.
    pub fn version(&self) -> Option<u64> {
        self.seq
    }

    /// The call to make now, and how long its answer may take.
    pub fn call(&self, host: &SocketAddr) -> (Vec<u8>, f64) {
        let (wait, patience) =
            if self.asked { (ASKED_MS, ASKED_PATIENCE) } else { (PUSHED_MS, PUSHED_PATIENCE) };
        // Right after a watch that fell silent there is no time to wait for a queue: its clock runs 2 s past its wait.
        let again = self.failed > 0 && self.asked && self.seq.is_some() && !self.fell_silent;
        let wait = if self.failed > 0 { AGAIN_MS } else { wait };
        let patience = if again { AGAIN_PATIENCE } else { patience };
        let (query, patience) = match self.seq {
            None => (String::new(), patience),
            Some(seq) => (format!("?since={seq}&timeout_ms={wait}"), wait as f64 / 1e3 + patience),
        };
        (format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes(), patience)
    }

    /// What an answer tells, and whether the connection serves further calls.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<(EndpointListUpdate, bool)>, ListError> {
        self.decoder.feed(bytes);
        let message = self.decoder.next_message().map_err(|_| ListError::InvalidResponse)?;
        let Some(answer) = message else { return Ok(None) };
        match answer.head.0 {
            200 => {}
            429 | 503 => return Err(ListError::Refused),
            _ => return Err(ListError::InvalidResponse),
        }
        let news: EndpointListUpdate =
            serde_json::from_slice(&answer.body).map_err(|_| ListError::InvalidResponse)?;
        // Against a platform that counts anew, as after a loss of its own: changes would pass by unseen.
        if !news.is_complete && self.seq.is_some_and(|known| news.version < known) {
            return Err(ListError::InvalidResponse);
        }
        (self.seq, self.failed) = (Some(news.version), 0);
        Ok(Some((news, answer.keep_alive && self.decoder.is_between_messages())))
    }

    /// The platform is reached at another address: the whole list is asked for there.
    pub fn moved(&mut self) {
        (self.decoder, self.seq, self.failed) = (Decoder::for_responses(MOST_LIST), None, 0);
    }

    /// The platform refused, and the connection is gone. What is known stays known: the next call asks for what
    /// changed since, and not before it is due. At once, and for the whole list, would keep the platform busy.
    pub fn refused(&mut self) {
        (self.decoder, self.failed, self.fell_silent) =
            (Decoder::for_responses(MOST_LIST), self.failed + 1, false);
    }

    /// The connection is gone. True where the watch goes on over a new one at once.
    pub fn broken(&mut self) -> bool {
        let goes_on = self.seq.is_some() && self.failed == 0;
        self.fell_silent = goes_on;
        (self.decoder, self.failed) = (Decoder::for_responses(MOST_LIST), self.failed + 1);
        if !goes_on {
            // Where nothing is known of what the platform counts as told, the whole list is asked for.
            self.seq = None;
        }
        goes_on
    }
}

#[cfg(test)]
mod tests;
