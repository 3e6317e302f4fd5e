//! What the journal's records hold.

use crate::backlog::Resumable;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// A final answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// Delivered, withdrawn, or known by the destination to be over: nothing is owed.
    Over,
    /// Handing it in again does no harm, after so many seconds (0: nothing said).
    Rejected(f64),
    DeadLettered,
}

/// A webhook as it was taken on. Times are seconds on the folder's [timeline](crate::clock::Timeline).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Webhook {
    pub id: String,
    pub event_type: String,
    pub dest: u64,
    pub order_key: Option<String>,
    pub customer: Option<String>,
    pub token: Option<String>,
    pub ends_at: f64,
    pub body: Vec<u8>,
}

impl Webhook {
    /// Bytes of its texts and body, with what tells their lengths.
    pub fn size(&self) -> usize {
        let text = |t: &Option<String>| t.as_ref().map_or(0, String::len);
        let texts = self.id.len() + self.event_type.len() + text(&self.token);
        // Lengths and numbers take 32 bytes at most.
        self.body.len() + texts + text(&self.order_key) + text(&self.customer) + 32
    }
}

/// Where an attempt went, by zone, and when.
pub type Trace = (String, f64);

/// Tells the attempts of one webhook apart: the first that is recorded is 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptNumber(u32);

/// What is known of the attempts for a webhook.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Tries {
    pub count: u32,
    pub out: Option<Trace>,
    /// The first that may have run.
    pub ran: Option<Trace>,
}

impl Tries {
    /// An attempt goes out. One attempt is out at a time: an earlier one without an outcome was out when a process
    /// ended, or its outcome could not be written. It may have run, also when this one turns out not to have.
    pub fn out(&mut self, trace: Trace) -> AttemptNumber {
        self.count += 1;
        let lost = self.out.replace(trace);
        self.ran = self.ran.take().or(lost);
        AttemptNumber(self.count)
    }

    /// An attempt came back; `ran` where it may have run. False where it is not the one that is out.
    pub fn back(&mut self, attempt: AttemptNumber, ran: bool) -> bool {
        if attempt != AttemptNumber(self.count) {
            return false;
        }
        self.close_out(ran)
    }

    /// Whichever attempt is out came back. False where none was out.
    pub fn close_out(&mut self, ran: bool) -> bool {
        let Some(out) = self.out.take() else { return false };
        if ran && self.ran.is_none() {
            self.ran = Some(out);
        }
        true
    }
}

fn hash(text: &str) -> u64 {
    // Hashes are written to disk: the function and its key must stay.
    let mut hasher = SipHasher13::new_with_keys(0x5ca1_eba2, 0x0b5e_55ed);
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// By which a webhook is found by its id.
pub fn id_hash(id: &str) -> u64 {
    hash(id)
}

/// By which those with one order key are known.
pub fn key_hash(key: &str) -> u64 {
    hash(key)
}

/// What a start has to know of a webhook without reading it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Facts {
    pub id: u64,
    pub ends_at: f64,
    pub key: Option<u64>,
}

/// Bytes that facts take up on disk at most.
pub const FACTS: usize = 24;

impl Facts {
    pub fn of(webhook: &Webhook) -> Self {
        let key = webhook.order_key.as_deref().map(key_hash);
        Facts { id: id_hash(&webhook.id), ends_at: webhook.ends_at, key }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(FACTS);
        bytes.extend_from_slice(&self.id.to_le_bytes());
        bytes.extend_from_slice(&self.ends_at.to_le_bytes());
        bytes.extend(self.key.iter().flat_map(|key| key.to_le_bytes()));
        bytes
    }

    /// Bytes that are missing count as zeros.
    pub fn decode(bytes: &[u8]) -> Self {
        let part = |at: usize| bytes.get(at..at + 8).and_then(|part| part.first_chunk::<8>()).copied();
        Facts {
            id: u64::from_le_bytes(part(0).unwrap_or_default()),
            ends_at: f64::from_le_bytes(part(8).unwrap_or_default()),
            key: part(16).map(u64::from_le_bytes),
        }
    }

    pub fn resumable(&self, number: u64) -> Resumable {
        Resumable { number, ends_at: self.ends_at, key: self.key }
    }
}
