//! Open webhooks that the journal held at start and that have not yet been handed to the decision module, and
//! the order in which they are handed to it.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// What the backlog has to know of a webhook to order it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PendingWebhook {
    /// Its number in the journal; lower numbers were accepted earlier.
    pub number: u64,
    /// When its TTL ends.
    pub expires_at: f64,
    /// The hash of its ordering key.
    pub key_hash: Option<u64>,
}

/// A time with a total order.
#[derive(Debug, Clone, Copy, PartialEq)]
struct OrderedTime(f64);

impl Eq for OrderedTime {}
impl PartialOrd for OrderedTime {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for OrderedTime {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// A queue that returns expired webhooks first, then the oldest. A webhook accepted meanwhile is added to it
/// if another one with the same ordering key is still waiting.
#[derive(Debug, Default)]
pub struct Backlog {
    by_number: BTreeMap<u64, PendingWebhook>,
    by_expiry: BTreeSet<(OrderedTime, u64)>,
    count_by_key: BTreeMap<u64, usize>,
}

impl FromIterator<PendingWebhook> for Backlog {
    fn from_iter<I: IntoIterator<Item = PendingWebhook>>(webhooks: I) -> Self {
        let by_number: BTreeMap<u64, PendingWebhook> =
            webhooks.into_iter().map(|webhook| (webhook.number, webhook)).collect();
        let by_expiry =
            by_number.values().map(|webhook| (OrderedTime(webhook.expires_at), webhook.number)).collect();
        let mut count_by_key = BTreeMap::new();
        for key_hash in by_number.values().filter_map(|webhook| webhook.key_hash) {
            *count_by_key.entry(key_hash).or_default() += 1;
        }
        Backlog { by_number, by_expiry, count_by_key }
    }
}

impl Backlog {
    /// The number of waiting webhooks.
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    /// Whether no webhook is waiting.
    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// Whether a webhook with this hash of its ordering key is waiting.
    pub fn has_key(&self, key_hash: u64) -> bool {
        self.count_by_key.contains_key(&key_hash)
    }

    /// Adds a webhook, or replaces the one with the same number.
    pub fn add(&mut self, webhook: PendingWebhook) {
        self.remove(webhook.number);
        self.by_number.insert(webhook.number, webhook);
        self.by_expiry.insert((OrderedTime(webhook.expires_at), webhook.number));
        if let Some(key_hash) = webhook.key_hash {
            *self.count_by_key.entry(key_hash).or_default() += 1;
        }
    }

    /// Removes a webhook, if it is waiting.
    pub fn remove(&mut self, number: u64) -> Option<PendingWebhook> {
        let webhook = self.by_number.remove(&number)?;
        self.by_expiry.remove(&(OrderedTime(webhook.expires_at), number));
        if let Some(key_hash) = webhook.key_hash
            && let Some(count) = self.count_by_key.get_mut(&key_hash)
        {
            *count -= 1;
            if *count == 0 {
                self.count_by_key.remove(&key_hash);
            }
        }
        Some(webhook)
    }

    /// Removes and returns the next webhook: one that has expired at `now`, or else the oldest.
    pub fn take_next(&mut self, now: f64) -> Option<PendingWebhook> {
        let expired =
            self.by_expiry.first().filter(|(expires_at, _)| expires_at.0 <= now).map(|(_, number)| *number);
        let number = expired.or_else(|| self.by_number.first_key_value().map(|(number, _)| *number))?;
        self.remove(number)
    }
}

#[cfg(test)]
mod tests;
