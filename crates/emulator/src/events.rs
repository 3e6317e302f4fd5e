//! The event log of a simulated day. The rules are checked, and days compared, by the log alone.

use crate::queue::Nanos;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3Default;

/// How an attempt ended, as reported to its sender.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum AttemptResult {
    /// The endpoint answered with success.
    Delivered,
    /// The endpoint answered with an error; the webhook may have run.
    Failed,
    /// Refused by a limit or a full queue, without running.
    Full,
    /// No answer before the attempt's deadline; the webhook may have run.
    TimedOut,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke; the webhook may have run.
    Reset,
    /// The policy cancelled the attempt; the webhook may have run.
    Cancelled,
    /// Never attempted: no slot was free, the webhook had its final answer, or its attempts were used up.
    Moot,
    /// Not written to its connection, since the policy no longer allowed it once the connection was open.
    HeldBack,
}

/// The final answer to a webhook.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum FinalAnswer {
    /// An endpoint confirmed it.
    Delivered,
    /// The client may hand it in again without harm.
    Rejected,
    /// Given up; it may have run.
    DeadLettered,
    /// The client withdrew it.
    Withdrawn,
    /// Its sender was killed and had no journal; the client decides whether to hand it in again.
    Gone,
}

/// What happened. Webhook ids count from 1, all other ids from 0; times are in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum LogEvent {
    /// A sender's process started.
    Started {
        #[serde(rename = "sender")]
        sender_id: u32,
    },
    /// A sender's process was killed.
    Killed {
        #[serde(rename = "sender")]
        sender_id: u32,
    },
    /// A sender accepted a webhook; `message_id` is the same each time that the client hands it in.
    Taken {
        #[serde(rename = "webhook")]
        webhook_id: u64,
        #[serde(rename = "message")]
        message_id: u64,
        #[serde(rename = "sender")]
        sender_id: u32,
        #[serde(rename = "event_type")]
        event_type_id: u16,
        #[serde(rename = "dest")]
        destination_id: u32,
        key: u64,
        ttl_at: Nanos,
    },
    /// An attempt started.
    Attempt {
        #[serde(rename = "webhook")]
        webhook_id: u64,
        #[serde(rename = "sender")]
        sender_id: u32,
        #[serde(rename = "ep")]
        endpoint_id: u32,
    },
    /// An attempt ended; `wait` is how long a refusal asked the sender to wait (0: no request).
    Outcome {
        #[serde(rename = "webhook")]
        webhook_id: u64,
        #[serde(rename = "sender")]
        sender_id: u32,
        #[serde(rename = "ep")]
        endpoint_id: u32,
        #[serde(rename = "told")]
        result: AttemptResult,
        wait: Nanos,
    },
    /// A successful answer asked for a wait.
    Wait {
        #[serde(rename = "sender")]
        sender_id: u32,
        #[serde(rename = "ep")]
        endpoint_id: u32,
        wait: Nanos,
    },
    /// An endpoint ran a webhook, or dropped it as a `duplicate` by its token.
    Ran {
        #[serde(rename = "webhook")]
        webhook_id: u64,
        #[serde(rename = "ep")]
        endpoint_id: u32,
        #[serde(rename = "known")]
        duplicate: bool,
    },
    /// A webhook got its final answer.
    End {
        #[serde(rename = "webhook")]
        webhook_id: u64,
        #[serde(rename = "sender")]
        sender_id: u32,
        #[serde(rename = "end")]
        final_answer: FinalAnswer,
    },
    /// A sender learned that an endpoint's readiness in the list changed.
    Listed {
        #[serde(rename = "sender")]
        sender_id: u32,
        #[serde(rename = "ep")]
        endpoint_id: u32,
        ready: bool,
    },
    /// A call reached an endpoint.
    Call {
        #[serde(rename = "sender")]
        sender_id: u32,
        #[serde(rename = "ep")]
        endpoint_id: u32,
    },
    /// An endpoint went into an outage.
    OutageBegan {
        #[serde(rename = "ep")]
        endpoint_id: u32,
    },
    /// An endpoint came back from an outage.
    OutageEnded {
        #[serde(rename = "ep")]
        endpoint_id: u32,
    },
    /// A cold destination (or route) was overloaded by a call to this endpoint and went down again.
    Fell {
        #[serde(rename = "ep")]
        endpoint_id: u32,
    },
}

/// An entry of the event log.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LogEntry {
    /// Simulated time.
    pub at: Nanos,
    /// What happened.
    #[serde(rename = "what")]
    pub event: LogEvent,
}

/// Hash of a log: XXH3 over the postcard encoding of its entries, so that equal days have equal hashes.
#[derive(Default)]
pub struct Digest(Xxh3Default);

impl Digest {
    /// Adds an entry to the hash.
    pub fn add(&mut self, entry: &LogEntry) {
        let mut buffer = [0_u8; 96];
        // No entry is longer than 96 bytes: postcard encodes an integer in at most ten.
        if let Ok(bytes) = postcard::to_slice(entry, &mut buffer) {
            self.0.update(bytes);
        }
    }

    /// The hash of the entries added so far.
    pub fn value(&self) -> u64 {
        self.0.digest()
    }
}
