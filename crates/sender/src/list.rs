//! The platform's list of endpoints: its contents, and the requests for it and for its changes.

use crate::http::{Decoder, StatusHead};
use serde::Deserialize;
use std::net::SocketAddr;

/// After a request that failed, was refused or timed out, the platform counts a change of the list as
/// received by the sender this long after the discovery service had it and could be reached.
pub const CHANGE_DEADLINE_SECS: f64 = 6.0;
/// How long the server may hold a watch (a request for changes) without changes. Where lists are pushed, a
/// local agent answers at no cost, and its changes count as received whether or not a watch is open: a lost
/// watch has to be detected soon. Where lists are pulled, each request costs the platform, and a change
/// missed by a lost watch counts as received 2 s after the wait ends; the wait is a third of the longest that
/// the platform allows.
const PUSH_WATCH_MS: u64 = 2_000;
const PULL_WATCH_MS: u64 = 20_000;
/// The same for a request after a failure: missed changes are sent at once, so a response without changes may
/// come at once, too.
const PUSH_RETRY_WATCH_MS: u64 = 100;
const PULL_RETRY_WATCH_MS: u64 = 1;
/// Limit for the body of a response; a list of ten thousand endpoints takes about 2 MB.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// How long a response may be overdue where lists are pushed; normally it is sent as soon as it is due. With
/// this timeout and the pause before a retry, an agent that did not respond in an outage is asked again within
/// half a second, the time in which calls to a draining endpoint have to stop.
const PUSH_RESPONSE_TIMEOUT_SECS: f64 = 0.4;
/// The same for a watch where lists are pulled. It is shorter than the platform's queue may take: the changes
/// that a lost watch missed count as received 2 s after its wait, and have to be requested again before.
const PULL_WATCH_TIMEOUT_SECS: f64 = 0.9;
/// The same for any other request there. The platform's queue takes at most 2 s, or the request is refused. A
/// request that is given up earlier gets no list as long as the queue is that long, and each one makes it
/// longer.
const PULL_RESPONSE_TIMEOUT_SECS: f64 = 2.1;
/// Time reserved for network latency and for opening connections.
const LATENCY_MARGIN_SECS: f64 = 0.5;

/// The maximum pause between two requests where lists are pulled. In the worst case, discovery can be reached
/// again just after a request was sent: that one times out, the pause passes, and the next response takes the
/// full timeout.
pub const MAX_PULL_PAUSE_SECS: f64 = CHANGE_DEADLINE_SECS
    - LATENCY_MARGIN_SECS
    - 2.0 * (PULL_RETRY_WATCH_MS as f64 / 1e3 + PULL_RESPONSE_TIMEOUT_SECS);

/// Whether an endpoint accepts calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    /// It accepts calls.
    Serving,
    /// It accepts no calls for now.
    Draining,
    /// It was removed permanently.
    Deleted,
}

/// An endpoint in the list.
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
    /// The number of its destination. An endpoint without one gets no calls.
    #[serde(rename = "block")]
    pub destination: Option<u64>,
    /// Whether it accepts calls.
    pub health: Health,
    /// The rate limit of its destination in calls per second, if it is listed.
    #[serde(rename = "share")]
    pub rate_limit: Option<f64>,
    /// When it last started, in milliseconds of Unix time.
    #[serde(rename = "born_ms")]
    pub started_unix_ms: Option<f64>,
}

/// A complete list, or the changes to it.
#[derive(Debug, Clone, Deserialize)]
pub struct EndpointListUpdate {
    /// The version of the list.
    #[serde(rename = "seq")]
    pub version: u64,
    /// True if `endpoints` has all endpoints, false if only those that changed.
    #[serde(rename = "whole")]
    pub is_complete: bool,
    /// The endpoints.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<EndpointEntry>,
}

/// Why a request for the list failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListError {
    /// The platform is overloaded. The known list is still valid.
    Refused,
    /// The response cannot be decoded, or does not continue from the known version.
    InvalidResponse,
}

/// Builds the requests for the list and decodes the responses: it watches for changes since the known
/// version, or requests the complete list if none is known.
pub struct ListClient {
    decoder: Decoder<StatusHead>,
    /// No response has come on the connection yet.
    awaits_first_response: bool,
    /// The version of the known list; none if the complete list has to be requested.
    known_version: Option<u64>,
    /// Requests that failed since the last success. After the first failure a lost watch is resumed on a new
    /// connection.
    consecutive_failures: u32,
    /// Lists are pulled from the platform; otherwise they are pushed to a local agent, which is asked here.
    pulls_list: bool,
}

impl ListClient {
    /// A client that knows this version of the list. Requesting only the changes costs the platform little,
    /// while complete lists for many senders that start together overload it, so that all of them are
    /// refused.
    pub fn new(known_version: u64, pulls_list: bool) -> Self {
        ListClient {
            decoder: Decoder::for_responses(MAX_LIST_BYTES),
            awaits_first_response: true,
            known_version: Some(known_version),
            consecutive_failures: 0,
            pulls_list,
        }
    }

    /// The version from which changes are requested; none if the complete list is.
    pub fn known_version(&self) -> Option<u64> {
        self.known_version
    }

    /// A new connection is being opened. What is left of earlier ones is not read as a response on it.
    pub fn connection_opened(&mut self) {
        self.decoder = Decoder::for_responses(MAX_LIST_BYTES);
        self.awaits_first_response = true;
    }

    /// The request to send now, and the timeout for its response in seconds.
    pub fn next_request(&self, server: &SocketAddr) -> (Vec<u8>, f64) {
        let is_watch = self.known_version.is_some() && self.consecutive_failures == 0;
        let (watch_ms, response_timeout_secs) = match (self.pulls_list, is_watch) {
            (true, true) => (PULL_WATCH_MS, PULL_WATCH_TIMEOUT_SECS),
            (true, false) => (PULL_RETRY_WATCH_MS, PULL_RESPONSE_TIMEOUT_SECS),
            (false, true) => (PUSH_WATCH_MS, PUSH_RESPONSE_TIMEOUT_SECS),
            (false, false) => (PUSH_RETRY_WATCH_MS, PUSH_RESPONSE_TIMEOUT_SECS),
        };
        let (query, response_timeout_secs) = match self.known_version {
            None => (String::new(), response_timeout_secs),
            Some(known_version) => (
                format!("?since={known_version}&timeout_ms={watch_ms}"),
                watch_ms as f64 / 1e3 + response_timeout_secs,
            ),
        };
        (
            format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {server}\r\n\r\n").into_bytes(),
            response_timeout_secs,
        )
    }

    /// Takes received bytes. Returns the content of a complete response, and whether the connection can be
    /// used for further requests.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<(EndpointListUpdate, bool)>, ListError> {
        self.decoder.feed(bytes);
        let message = self.decoder.next_message().map_err(|_| ListError::InvalidResponse)?;
        let Some(response) = message else { return Ok(None) };
        let is_first_response = std::mem::replace(&mut self.awaits_first_response, false);
        match response.head.0 {
            200 => {}
            429 | 503 => return Err(ListError::Refused),
            _ => return Err(ListError::InvalidResponse),
        }
        let update: EndpointListUpdate =
            serde_json::from_slice(&response.body).map_err(|_| ListError::InvalidResponse)?;
        // A lower version means that the platform lost its state and counts anew: changes would be missed. A
        // complete list misses none, but unless it is the first response of the connection, it may be a late
        // or second response to an earlier request.
        let is_current = update.is_complete && is_first_response;
        if !is_current && self.known_version.is_some_and(|known| update.version < known) {
            return Err(ListError::InvalidResponse);
        }
        (self.known_version, self.consecutive_failures) = (Some(update.version), 0);
        Ok(Some((update, response.keep_alive && self.decoder.is_between_messages())))
    }

    /// The platform has a new address, where the complete list is requested.
    pub fn server_moved(&mut self) {
        (self.known_version, self.consecutive_failures) = (None, 0);
    }

    /// The platform refused the request, and the connection is closed. The known list is kept: the next
    /// request is for the changes since, and is sent only when it is due. An immediate request for the
    /// complete list would overload the platform.
    pub fn request_refused(&mut self) {
        self.consecutive_failures += 1;
    }

    /// The connection is closed. True if the watch is to be resumed on a new one at once.
    pub fn connection_lost(&mut self) -> bool {
        let resumes_watch = self.known_version.is_some() && self.consecutive_failures == 0;
        self.consecutive_failures += 1;
        if !resumes_watch {
            // It is unknown which changes the platform counts as received, so the complete list is requested.
            self.known_version = None;
        }
        resumes_watch
    }
}

#[cfg(test)]
mod tests;
