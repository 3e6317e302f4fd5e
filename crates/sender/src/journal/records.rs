//! The contents of the journal's records.

use crate::backlog::PendingWebhook;
use scalebarrow::{RememberedOutage, ScopeMemory};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The final answer of a webhook.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum FinalAnswer {
    /// Delivered, withdrawn, or known by the destination to be finished: the platform needs no notice.
    Over,
    /// Given up, and handing it in again does no harm, after this many seconds (0: no time given).
    Rejected(f64),
    /// Given up, and it may have run.
    DeadLettered,
}

/// An accepted webhook. Times are seconds on the folder's [timeline](crate::clock::Timeline).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Webhook {
    /// The id that the client gave it.
    pub id: String,
    /// The name of its event type.
    pub event_type: String,
    /// The number of its destination.
    pub destination: u64,
    /// Its ordering key: event types can ask that webhooks with the same key are delivered one at a time, in
    /// order.
    pub ordering_key: Option<String>,
    /// The customer that it belongs to.
    pub customer: Option<String>,
    /// Its idempotency key.
    pub token: Option<String>,
    /// When its TTL ends.
    pub expires_at: f64,
    /// The body to deliver.
    pub body: Vec<u8>,
}

impl Webhook {
    /// An upper limit of its encoded size in bytes.
    pub fn size(&self) -> usize {
        let length = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let texts = self.id.len() + self.event_type.len() + length(&self.token);
        // Lengths and numbers take 32 bytes at most.
        self.body.len() + texts + length(&self.ordering_key) + length(&self.customer) + 32
    }
}

/// The zone that an attempt went to, and when it started.
pub type AttemptStart = (String, f64);

/// Identifies an attempt among those of one webhook: the first that is recorded is 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptNumber(u32);

/// What is known of the attempts for a webhook.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptHistory {
    /// The number of attempts.
    pub count: u32,
    /// The attempt that is in flight.
    pub in_flight: Option<AttemptStart>,
    /// The first attempt that ended and may have run at the destination.
    pub may_have_run: Option<AttemptStart>,
}

impl AttemptHistory {
    /// An attempt starts. Only one is in flight at a time: an earlier one without an outcome was in flight
    /// when a process ended, or its outcome could not be written. It may have run, even if the new attempt
    /// turns out not to have.
    pub fn start_attempt(&mut self, start: AttemptStart) -> AttemptNumber {
        self.count += 1;
        let without_outcome = self.in_flight.replace(start);
        self.may_have_run = self.may_have_run.take().or(without_outcome);
        AttemptNumber(self.count)
    }

    /// An attempt ended; `may_have_run` says whether it may have run. Returns false if it is not the one in
    /// flight.
    pub fn end_attempt(&mut self, attempt: AttemptNumber, may_have_run: bool) -> bool {
        if attempt != AttemptNumber(self.count) {
            return false;
        }
        self.end_in_flight(may_have_run)
    }

    /// The attempt in flight, whichever it is, ended. Returns false if there is none.
    pub fn end_in_flight(&mut self, may_have_run: bool) -> bool {
        let Some(ended) = self.in_flight.take() else { return false };
        if may_have_run && self.may_have_run.is_none() {
            self.may_have_run = Some(ended);
        }
        true
    }
}

fn hash(text: &str) -> u64 {
    // Hashes are stored: the function and its keys must not change.
    let mut hasher = SipHasher13::new_with_keys(0x5ca1_eba2, 0x0b5e_55ed);
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// The hash by which a webhook is found from its id.
pub fn hash_id(id: &str) -> u64 {
    hash(id)
}

/// The hash that stands for an ordering key.
pub fn hash_ordering_key(ordering_key: &str) -> u64 {
    hash(ordering_key)
}

/// What is remembered of a destination, or of one independent endpoint. Times are seconds on the folder's
/// [timeline](crate::clock::Timeline).
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScopeRecord {
    destination: u64,
    endpoint: Option<String>,
    wait_until: f64,
    /// Whether an outage may not be over, and since when calls are delivered again.
    outage: Option<Option<f64>>,
}

/// The keys of records of scopes; webhooks have lower ones.
const FIRST_SCOPE_KEY: u64 = 1 << 63;

/// Whether a record belongs to a scope rather than to a webhook.
pub fn is_scope_key(key: u64) -> bool {
    key >= FIRST_SCOPE_KEY
}

/// The key of the record of a scope.
pub fn scope_key(memory: &ScopeMemory) -> u64 {
    let endpoint = memory.endpoint.as_deref().map_or_else(String::new, |endpoint| format!("/{endpoint}"));
    FIRST_SCOPE_KEY | hash(&format!("{}{endpoint}", memory.destination))
}

impl From<&ScopeMemory> for ScopeRecord {
    fn from(memory: &ScopeMemory) -> Self {
        let outage = memory.outage.map(|outage| match outage {
            RememberedOutage::Down => None,
            RememberedOutage::Recovering(since) => Some(since),
        });
        let (destination, endpoint) = (memory.destination, memory.endpoint.clone());
        ScopeRecord { destination, endpoint, wait_until: memory.wait_until, outage }
    }
}

impl From<ScopeRecord> for ScopeMemory {
    fn from(record: ScopeRecord) -> Self {
        let outage = record
            .outage
            .map(|recovered_at| recovered_at.map_or(RememberedOutage::Down, RememberedOutage::Recovering));
        let ScopeRecord { destination, endpoint, wait_until, .. } = record;
        ScopeMemory { destination, endpoint, wait_until, outage }
    }
}

/// The metadata of an open webhook's record: what a start has to know without reading the webhook itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WebhookMetadata {
    /// The hash of its id.
    pub id_hash: u64,
    /// When its TTL ends.
    pub expires_at: f64,
    /// The hash of its ordering key.
    pub key_hash: Option<u64>,
}

/// The largest size of encoded metadata in bytes.
pub const MAX_METADATA_BYTES: usize = 24;

impl WebhookMetadata {
    /// The metadata of a webhook.
    pub fn of(webhook: &Webhook) -> Self {
        let key_hash = webhook.ordering_key.as_deref().map(hash_ordering_key);
        WebhookMetadata { id_hash: hash_id(&webhook.id), expires_at: webhook.expires_at, key_hash }
    }

    /// The bytes that a record stores.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(MAX_METADATA_BYTES);
        bytes.extend_from_slice(&self.id_hash.to_le_bytes());
        bytes.extend_from_slice(&self.expires_at.to_le_bytes());
        bytes.extend(self.key_hash.iter().flat_map(|key_hash| key_hash.to_le_bytes()));
        bytes
    }

    /// Decodes stored bytes. A missing id hash or time is read as 0.
    pub fn decode(bytes: &[u8]) -> Self {
        let field =
            |offset: usize| bytes.get(offset..offset + 8).and_then(|field| field.first_chunk::<8>()).copied();
        WebhookMetadata {
            id_hash: u64::from_le_bytes(field(0).unwrap_or_default()),
            expires_at: f64::from_le_bytes(field(8).unwrap_or_default()),
            key_hash: field(16).map(u64::from_le_bytes),
        }
    }

    /// The webhook as the backlog takes it.
    pub fn pending(&self, number: u64) -> PendingWebhook {
        PendingWebhook { number, expires_at: self.expires_at, key_hash: self.key_hash }
    }
}
