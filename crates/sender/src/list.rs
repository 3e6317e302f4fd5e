//! The platform's list of endpoints: how it is asked for, and what it says.

use crate::http::{Decoder, Fault, Status};
use serde::Deserialize;
use std::net::SocketAddr;

/// How long the platform may hold a watch that has nothing to tell: a third of what it allows.
pub const WATCH_MS: u64 = 20_000;
/// A list of ten thousand endpoints takes about 2 MB.
const MOST_LIST: usize = 4 * 1024 * 1024;
/// An agent answers at once; one that has said nothing for so long is silent.
const PATIENCE: f64 = 1.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    Serving,
    Draining,
    Deleted,
}

/// One line of the list.
#[derive(Debug, Clone, Deserialize)]
pub struct Host {
    pub host: String,
    pub dial: SocketAddr,
    pub site: String,
    #[serde(rename = "class")]
    pub kind: String,
    /// An endpoint of no destination gets no calls.
    #[serde(rename = "block")]
    pub dest: Option<u64>,
    pub health: Health,
    #[serde(rename = "share")]
    pub rate: Option<f64>,
}

/// A list, or what changed in it.
#[derive(Debug, Clone, Deserialize)]
pub struct News {
    pub seq: u64,
    pub whole: bool,
    pub hosts: Vec<Host>,
}

/// Which call is due or out: the whole list first, then watches from the version it had.
pub struct List {
    decoder: Decoder<Status>,
    seq: Option<u64>,
    /// A standing watch whose connection ended goes on over another one, once.
    renewed: bool,
}

impl List {
    pub fn new() -> Self {
        List { decoder: Decoder::answers(MOST_LIST), seq: None, renewed: false }
    }

    /// The call to make now, and how long its answer may take.
    pub fn call(&self, host: &SocketAddr) -> (Vec<u8>, f64) {
        let (query, patience) = match self.seq {
            None => (String::new(), PATIENCE),
            Some(seq) => (format!("?since={seq}&timeout_ms={WATCH_MS}"), WATCH_MS as f64 / 1e3 + PATIENCE),
        };
        (format!("GET /v1/endpoints{query} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes(), patience)
    }

    /// What an answer tells, and whether the connection serves further calls. Garbage is a fault.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<(News, bool)>, Fault> {
        self.decoder.feed(bytes);
        let Some(answer) = self.decoder.message()? else { return Ok(None) };
        if answer.head.0 != 200 {
            return Err(Fault::Malformed);
        }
        let news: News = serde_json::from_slice(&answer.body).map_err(|_| Fault::Malformed)?;
        (self.seq, self.renewed) = (Some(news.seq), false);
        Ok(Some((news, answer.keep && self.decoder.is_clear())))
    }

    /// The platform is reached at another address: the whole list is asked for there.
    pub fn moved(&mut self) {
        *self = List::new();
    }

    /// The connection is gone. True where the watch goes on over a new one at once.
    pub fn broken(&mut self) -> bool {
        self.decoder = Decoder::answers(MOST_LIST);
        let goes_on = self.seq.is_some() && !self.renewed;
        self.renewed = true;
        if !goes_on {
            // Where nothing is known of what the platform counts as told, the whole list is asked for.
            (self.seq, self.renewed) = (None, false);
        }
        goes_on
    }
}
