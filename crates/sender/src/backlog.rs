//! Webhooks that a start found and that the decision module does not know yet: which it is told next.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// What has to be known of a webhook to tell when its turn comes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Resumable {
    pub number: u64,
    /// When its time is over.
    pub ends_at: f64,
    /// The hash of its order key.
    pub key: Option<u64>,
}

/// A time that can be ordered.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Moment(f64);

impl Eq for Moment {}
impl PartialOrd for Moment {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Moment {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The oldest comes first, but before it whatever's time is over. One that is taken on meanwhile and has the order key
/// of one that waits has to wait behind it.
#[derive(Debug, Default)]
pub struct Backlog {
    by_number: BTreeMap<u64, Resumable>,
    by_end: BTreeSet<(Moment, u64)>,
    /// How many wait with a key.
    keys: BTreeMap<u64, usize>,
}

impl FromIterator<Resumable> for Backlog {
    fn from_iter<I: IntoIterator<Item = Resumable>>(all: I) -> Self {
        let by_number: BTreeMap<u64, Resumable> = all.into_iter().map(|r| (r.number, r)).collect();
        let by_end = by_number.values().map(|r| (Moment(r.ends_at), r.number)).collect();
        let mut keys = BTreeMap::new();
        for key in by_number.values().filter_map(|r| r.key) {
            *keys.entry(key).or_default() += 1;
        }
        Backlog { by_number, by_end, keys }
    }
}

impl Backlog {
    pub fn len(&self) -> usize {
        self.by_number.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    /// One with this order key waits.
    pub fn has_key(&self, key: u64) -> bool {
        self.keys.contains_key(&key)
    }

    pub fn add(&mut self, one: Resumable) {
        self.remove(one.number);
        self.by_number.insert(one.number, one);
        self.by_end.insert((Moment(one.ends_at), one.number));
        if let Some(key) = one.key {
            *self.keys.entry(key).or_default() += 1;
        }
    }

    pub fn remove(&mut self, number: u64) -> Option<Resumable> {
        let one = self.by_number.remove(&number)?;
        self.by_end.remove(&(Moment(one.ends_at), number));
        if let Some(key) = one.key
            && let Some(count) = self.keys.get_mut(&key)
        {
            *count -= 1;
            if *count == 0 {
                self.keys.remove(&key);
            }
        }
        Some(one)
    }

    /// Takes out the next: one whose time is over at `now`, or the oldest.
    pub fn next(&mut self, now: f64) -> Option<Resumable> {
        let over = self.by_end.first().filter(|(ends_at, _)| ends_at.0 <= now).map(|(_, number)| *number);
        let number = over.or_else(|| self.by_number.first_key_value().map(|(number, _)| *number))?;
        self.remove(number)
    }
}

#[cfg(test)]
mod tests;
