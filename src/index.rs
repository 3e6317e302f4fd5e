//! Sorted containers for what the rule engine searches, so that it need not scan everything after every
//! input. They make no decisions: the engine supplies every due time and every group.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A number with a total order: a time in seconds, a score or a cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct OrderedF64(pub f64);

impl Eq for OrderedF64 {}
impl PartialOrd for OrderedF64 {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for OrderedF64 {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// The median; of an even number of values, the upper of the middle two.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}

/// Keys that are due at a time; each key has at most one.
#[derive(Debug)]
pub(crate) struct Timers<K> {
    by_time: BTreeSet<(OrderedF64, K)>,
    times: BTreeMap<K, OrderedF64>,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Timers { by_time: BTreeSet::new(), times: BTreeMap::new() }
    }
}

impl<K: Ord + Clone> Timers<K> {
    /// Sets or replaces the time of a key. Infinity removes it.
    pub fn set(&mut self, key: K, due_at: f64) {
        self.remove(&key);
        if due_at < f64::INFINITY {
            self.by_time.insert((OrderedF64(due_at), key.clone()));
            self.times.insert(key, OrderedF64(due_at));
        }
    }

    /// Removes a key, if it is there.
    pub fn remove(&mut self, key: &K) {
        if let Some(due_at) = self.times.remove(key) {
            self.by_time.remove(&(due_at, key.clone()));
        }
    }

    /// The earliest time, or infinity.
    pub fn next_at(&self) -> f64 {
        self.by_time.first().map_or(f64::INFINITY, |(due_at, _)| due_at.0)
    }

    /// Removes and returns the earliest key if it is due.
    pub fn pop_due(&mut self, now: f64) -> Option<K> {
        if self.by_time.first().is_none_or(|(due_at, _)| now < due_at.0) {
            return None;
        }
        let (_, key) = self.by_time.pop_first()?;
        self.times.remove(&key);
        Some(key)
    }
}

/// What has to be known of a pending webhook to index it.
#[derive(Clone, Debug)]
pub(crate) struct PendingEntry<G> {
    pub destination: u64,
    /// From this time on an attempt could no longer end within the TTL.
    pub expires_at: f64,
    /// From this time on no further attempt is allowed; a past time takes effect at once.
    pub exhausted_at: f64,
    /// Before this time no attempt is allowed.
    pub sendable_at: f64,
    /// Webhooks of one group differ only in their target deadline and their sequence number.
    pub group: G,
    pub target_deadline: f64,
}

/// The sendable webhooks of one destination and group. Whether a route can take them is decided elsewhere.
#[derive(Debug, Default)]
pub(crate) struct SendableQueue {
    /// Target deadlines and sequence numbers.
    pub by_target: BTreeSet<(OrderedF64, u64)>,
    /// Ids by sequence number: the order in which the webhooks became pending.
    pub by_sequence: BTreeMap<u64, u64>,
}

impl SendableQueue {
    /// The sequence number and id of the webhook to send first. Among those whose target deadline is at or
    /// after `delivery_at` that is the one with the earliest deadline. If all are late, it is the first of
    /// those whose `value` equals that of the latest deadline; `value` must never fall as the deadline grows.
    pub fn first_ranked(&self, delivery_at: f64, value: impl Fn(u64) -> f64) -> Option<(u64, u64)> {
        let from = |time: OrderedF64| self.by_target.range((time, 0)..).next();
        let with_id = |entry: &(OrderedF64, u64)| Some((entry.1, *self.by_sequence.get(&entry.1)?));
        if let Some(on_time) = from(OrderedF64(delivery_at)) {
            return with_id(on_time);
        }
        let worth = |entry: &(OrderedF64, u64)| self.by_sequence.get(&entry.1).map_or(0.0, |id| value(*id));
        let (first, last) = (self.by_target.first()?, self.by_target.last()?);
        let highest = worth(last);
        if worth(first) == highest {
            return with_id(first);
        }
        // Bisection: entries up to and including `low` are worth less, entries from `high` on as much as the
        // last.
        let (mut low, mut high) = (first.0.0, last.0.0);
        let before_last = self.by_target.range(..(last.0, 0)).next_back();
        let mut unfinished = before_last.is_some_and(|entry| worth(entry) == highest);
        // 60 halvings are finer than the difference of any two times.
        for _ in 0..60 {
            let middle = low + (high - low) / 2.0;
            unfinished = unfinished && low < middle && middle < high;
            match from(OrderedF64(middle)).filter(|_| unfinished) {
                Some(entry) if worth(entry) == highest => high = middle,
                Some(entry) => low = entry.0.0,
                None => break,
            }
        }
        from(OrderedF64(high)).and_then(with_id)
    }
}

/// All pending webhooks: those without a final answer and without an attempt in flight.
#[derive(Debug)]
pub(crate) struct PendingWebhooks<G> {
    next_sequence: u64,
    /// Sequence number and entry, by id.
    entries: BTreeMap<u64, (u64, PendingEntry<G>)>,
    /// Ids by destination and sequence number. A destination without pending webhooks has no entry.
    by_destination: BTreeMap<u64, BTreeMap<u64, u64>>,
    expiry_timers: Timers<u64>,
    exhaustion_timers: Timers<u64>,
    sendable_timers: Timers<u64>,
    /// Destination, sequence number and id.
    expired: BTreeSet<(u64, u64, u64)>,
    /// Destination, sequence number and id.
    exhausted: BTreeSet<(u64, u64, u64)>,
    /// Sendable webhooks by destination and group. There are no empty entries.
    pub sendable: BTreeMap<u64, BTreeMap<G, SendableQueue>>,
    /// Destinations whose pending or sendable webhooks changed since the engine last evaluated them.
    pub changed: BTreeSet<u64>,
}

impl<G> Default for PendingWebhooks<G> {
    fn default() -> Self {
        PendingWebhooks {
            next_sequence: 0,
            entries: BTreeMap::new(),
            by_destination: BTreeMap::new(),
            expiry_timers: Timers::default(),
            exhaustion_timers: Timers::default(),
            sendable_timers: Timers::default(),
            expired: BTreeSet::new(),
            exhausted: BTreeSet::new(),
            sendable: BTreeMap::new(),
            changed: BTreeSet::new(),
        }
    }
}

impl<G: Ord + Clone> PendingWebhooks<G> {
    /// Adds a webhook behind all others. One that is already pending gets the new entry but keeps its
    /// sequence number.
    pub fn insert(&mut self, id: u64, entry: PendingEntry<G>) {
        let sequence = match self.entries.get(&id) {
            Some((sequence, _)) => *sequence,
            None => self.next_sequence,
        };
        self.remove(id);
        self.next_sequence = self.next_sequence.max(sequence + 1);
        self.expiry_timers.set(id, entry.expires_at);
        self.exhaustion_timers.set(id, entry.exhausted_at);
        self.sendable_timers.set(id, entry.sendable_at);
        self.by_destination.entry(entry.destination).or_default().insert(sequence, id);
        self.changed.insert(entry.destination);
        self.entries.insert(id, (sequence, entry));
    }

    /// Removes a webhook, if it is pending.
    pub fn remove(&mut self, id: u64) {
        let Some((sequence, entry)) = self.entries.remove(&id) else { return };
        self.expiry_timers.remove(&id);
        self.exhaustion_timers.remove(&id);
        self.sendable_timers.remove(&id);
        self.expired.remove(&(entry.destination, sequence, id));
        self.exhausted.remove(&(entry.destination, sequence, id));
        if let Some(ids) = self.by_destination.get_mut(&entry.destination) {
            ids.remove(&sequence);
            if ids.is_empty() {
                self.by_destination.remove(&entry.destination);
            }
        }
        if let Some(groups) = self.sendable.get_mut(&entry.destination) {
            if let Some(queue) = groups.get_mut(&entry.group) {
                queue.by_target.remove(&(OrderedF64(entry.target_deadline), sequence));
                queue.by_sequence.remove(&sequence);
                if queue.by_sequence.is_empty() {
                    groups.remove(&entry.group);
                }
            }
            if groups.is_empty() {
                self.sendable.remove(&entry.destination);
            }
        }
        self.changed.insert(entry.destination);
    }

    /// Applies all timers that are due: marks webhooks as expired or exhausted, or makes them sendable.
    pub fn advance(&mut self, now: f64) {
        while let Some(id) = self.expiry_timers.pop_due(now) {
            let (sequence, entry) = &self.entries[&id];
            self.expired.insert((entry.destination, *sequence, id));
        }
        while let Some(id) = self.exhaustion_timers.pop_due(now) {
            let (sequence, entry) = &self.entries[&id];
            self.exhausted.insert((entry.destination, *sequence, id));
        }
        while let Some(id) = self.sendable_timers.pop_due(now) {
            let (sequence, entry) = &self.entries[&id];
            let queue =
                self.sendable.entry(entry.destination).or_default().entry(entry.group.clone()).or_default();
            queue.by_target.insert((OrderedF64(entry.target_deadline), *sequence));
            queue.by_sequence.insert(*sequence, id);
            self.changed.insert(entry.destination);
        }
    }

    /// The first expired webhook, by destination and sequence number.
    pub fn first_expired(&self) -> Option<u64> {
        self.expired.first().map(|entry| entry.2)
    }

    /// The first webhook without further attempts, by destination and sequence number.
    pub fn first_exhausted(&self) -> Option<u64> {
        self.exhausted.first().map(|entry| entry.2)
    }

    /// When the next webhook expires, is exhausted or becomes sendable.
    pub fn next_at(&self) -> f64 {
        self.expiry_timers.next_at().min(self.exhaustion_timers.next_at()).min(self.sendable_timers.next_at())
    }

    /// Whether a webhook is pending.
    pub fn contains(&self, id: u64) -> bool {
        self.entries.contains_key(&id)
    }

    /// Whether any webhook of a destination is pending.
    pub fn has_any_for(&self, destination: u64) -> bool {
        self.by_destination.contains_key(&destination)
    }

    /// The number of sendable webhooks of a destination.
    pub fn sendable_count(&self, destination: u64) -> usize {
        self.sendable
            .get(&destination)
            .into_iter()
            .flat_map(|groups| groups.values())
            .map(|queue| queue.by_sequence.len())
            .sum()
    }

    /// Whether no webhook is pending.
    pub fn is_empty(&self) -> bool {
        self.by_destination.is_empty()
    }

    /// All pending webhooks, by destination and sequence number.
    pub fn ids(&self) -> impl Iterator<Item = &u64> {
        self.by_destination.values().flat_map(|ids| ids.values())
    }
}

/// Destinations with sendable webhooks and no calls in flight, by whether and when one of their routes admits
/// a call.
#[derive(Debug, Default)]
pub(crate) struct IdleDestinations {
    available: BTreeSet<u64>,
    availability_timers: Timers<u64>,
    refresh_timers: Timers<u64>,
}

impl IdleDestinations {
    /// Records whether a route of a destination admits a call now, when the next of its other routes does,
    /// and when the destination has to be evaluated again in any case.
    pub fn set(&mut self, destination: u64, available: bool, next_available_at: f64, refresh_at: f64) {
        if available {
            self.available.insert(destination);
        } else {
            self.available.remove(&destination);
        }
        self.availability_timers.set(destination, next_available_at);
        self.refresh_timers.set(destination, refresh_at);
    }

    /// Removes the timer of a destination that has to be evaluated again, and returns the destination.
    pub fn pop_due(&mut self, now: f64) -> Option<u64> {
        self.availability_timers.pop_due(now).or_else(|| self.refresh_timers.pop_due(now))
    }

    /// When the next route admits a call.
    pub fn next_at(&self) -> f64 {
        self.availability_timers.next_at()
    }

    /// The destinations where a route admits a call now.
    pub fn available(&self) -> &BTreeSet<u64> {
        &self.available
    }

    /// Forgets the available destinations once nothing can be sent to them until something changes.
    pub fn clear_available(&mut self) {
        self.available.clear();
    }
}

/// Keys by kind, each in up to two sets of its kind.
#[derive(Debug)]
pub(crate) struct KeysByKind<K>(BTreeMap<K, [BTreeSet<K>; 2]>);

impl<K> Default for KeysByKind<K> {
    fn default() -> Self {
        KeysByKind(BTreeMap::new())
    }
}

impl<K: Ord + Clone> KeysByKind<K> {
    /// Sets which of its kind's two sets contain a key.
    pub fn set(&mut self, kind: &K, key: &K, membership: [bool; 2]) {
        if !self.0.contains_key(kind) {
            self.0.insert(kind.clone(), Default::default());
        }
        let sets = self.0.get_mut(kind).into_iter().flatten();
        for (set, is_member) in sets.zip(membership) {
            if !is_member {
                set.remove(key);
            } else if !set.contains(key) {
                set.insert(key.clone());
            }
        }
    }

    /// The smallest key of all kinds, looking for each kind in the set that `set_index` selects, if any.
    pub fn first(&self, set_index: impl Fn(&K) -> Option<usize>) -> Option<K> {
        let firsts = self.0.iter().filter_map(|(kind, sets)| sets.get(set_index(kind)?)?.first());
        firsts.min().cloned()
    }
}

#[cfg(test)]
mod tests;
