//! Webhooks kept in memory for a moment, bounded in bytes: one is mostly sent, answered and ended soon after it was
//! taken on or read.

use super::Webhook;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// What an entry takes up beside the webhook's text and body.
const OVERHEAD: usize = 256;

/// The webhooks that were put in last.
pub(super) struct Cache {
    most: usize,
    size: usize,
    entries: BTreeMap<u64, Rc<Webhook>>,
    /// The numbers in the order they came, also of some that were taken out since.
    order: VecDeque<u64>,
}

impl Cache {
    /// A cache of so many bytes at most.
    pub fn new(most: usize) -> Self {
        Cache { most, size: 0, entries: BTreeMap::new(), order: VecDeque::new() }
    }

    pub fn get(&self, number: u64) -> Option<Rc<Webhook>> {
        self.entries.get(&number).cloned()
    }

    pub fn put(&mut self, number: u64, webhook: Rc<Webhook>) {
        self.remove(number);
        self.size += webhook.size() + OVERHEAD;
        self.entries.insert(number, webhook);
        self.order.push_back(number);
        while self.size > self.most
            && let Some(first) = self.order.pop_front()
        {
            self.remove(first);
        }
        // Numbers of those that are gone must not pile up.
        if self.order.len() > 64 + 2 * self.entries.len() {
            self.order.retain(|number| self.entries.contains_key(number));
        }
    }

    pub fn remove(&mut self, number: u64) {
        if let Some(webhook) = self.entries.remove(&number) {
            self.size -= webhook.size() + OVERHEAD;
        }
    }
}
