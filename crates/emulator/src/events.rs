//! The event log: what happened, as an onlooker writes it down. Rules are checked and days compared by it alone.

use crate::queue::Nanos;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3Default;

/// How an attempt ended, as its sender was told.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Told {
    Delivered,
    Failed,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    /// Never attempted: no slot was free, or the webhook was over.
    Moot,
    /// Attempted, but not written: it might not go out any more when its connection was up.
    HeldBack,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Final {
    Delivered,
    Rejected,
    DeadLettered,
    /// The client withdrew it.
    Withdrawn,
    /// Its sender was killed and had no journal; clients know what to do.
    Gone,
}

/// What happened. Numbers are those of the world: webhooks from 1, all others from 0.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum LogEvent {
    Started {
        sender: u32,
    },
    Killed {
        sender: u32,
    },
    /// A sender took a webhook on; `message` is the same each time that a client hands it in.
    Taken {
        webhook: u64,
        message: u64,
        sender: u32,
        event_type: u16,
        dest: u32,
        key: u64,
        ttl_at: Nanos,
    },
    Attempt {
        webhook: u64,
        sender: u32,
        ep: u32,
    },
    Outcome {
        webhook: u64,
        sender: u32,
        ep: u32,
        told: Told,
        wait: Nanos,
    },
    /// An answer told a wait when nobody waited for the answer any more.
    Wait {
        sender: u32,
        ep: u32,
        wait: Nanos,
    },
    /// An endpoint ran a webhook; `known` if it knew it for a repeat and dropped it.
    Ran {
        webhook: u64,
        ep: u32,
        known: bool,
    },
    End {
        webhook: u64,
        sender: u32,
        end: Final,
    },
    /// A sender learned whether an endpoint takes new work.
    Listed {
        sender: u32,
        ep: u32,
        ready: bool,
    },
    /// A call reached an endpoint.
    Call {
        sender: u32,
        ep: u32,
    },
    OutageBegan {
        ep: u32,
    },
    OutageEnded {
        ep: u32,
    },
    /// A destination (or route) that came back cold was sent too much and fell over, by a call to this endpoint.
    Fell {
        ep: u32,
    },
}

/// A line of the log.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LogEntry {
    pub at: Nanos,
    #[serde(rename = "what")]
    pub event: LogEvent,
}

/// A number that is the same for the same lines in the same order: XXH3 over their postcard encoding.
#[derive(Default)]
pub struct Digest(Xxh3Default);

impl Digest {
    pub fn add(&mut self, line: &LogEntry) {
        let mut room = [0_u8; 96];
        // No line is longer than 96 bytes: a number takes up ten at most.
        if let Ok(bytes) = postcard::to_slice(line, &mut room) {
            self.0.update(bytes);
        }
    }

    pub fn value(&self) -> u64 {
        self.0.digest()
    }
}
