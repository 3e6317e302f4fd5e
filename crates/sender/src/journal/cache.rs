//! A cache of webhooks, bounded in bytes: most webhooks are sent, answered and finished soon after they were
//! accepted or read from disk.

use super::Webhook;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Bytes that an entry takes up beside the webhook's texts and body.
const ENTRY_OVERHEAD_BYTES: usize = 256;

/// The most recently added webhooks.
pub(super) struct Cache {
    max_bytes: usize,
    used_bytes: usize,
    entries: BTreeMap<u64, Rc<Webhook>>,
    /// Numbers in the order in which they were added; some may have been removed since.
    insertion_order: VecDeque<u64>,
}

impl Cache {
    /// A cache of at most this many bytes.
    pub fn new(max_bytes: usize) -> Self {
        Cache { max_bytes, used_bytes: 0, entries: BTreeMap::new(), insertion_order: VecDeque::new() }
    }

    /// The webhook with this number, if it is in the cache.
    pub fn get(&self, number: u64) -> Option<Rc<Webhook>> {
        self.entries.get(&number).cloned()
    }

    /// Adds a webhook and evicts the oldest ones while the cache is over its limit.
    pub fn put(&mut self, number: u64, webhook: Rc<Webhook>) {
        self.remove(number);
        self.used_bytes += webhook.size() + ENTRY_OVERHEAD_BYTES;
        self.entries.insert(number, webhook);
        self.insertion_order.push_back(number);
        while self.used_bytes > self.max_bytes
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.remove(oldest);
        }
        // Numbers of removed webhooks must not accumulate.
        if self.insertion_order.len() > 64 + 2 * self.entries.len() {
            self.insertion_order.retain(|number| self.entries.contains_key(number));
        }
    }

    /// Removes a webhook, if it is in the cache.
    pub fn remove(&mut self, number: u64) {
        if let Some(webhook) = self.entries.remove(&number) {
            self.used_bytes -= webhook.size() + ENTRY_OVERHEAD_BYTES;
        }
    }
}
