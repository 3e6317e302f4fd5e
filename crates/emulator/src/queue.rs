//! A priority queue of events by simulated time, with a defined order for events at the same instant.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Simulated time in whole nanoseconds: integers compare equal on any machine.
pub type Nanos = u64;

/// Converts seconds to simulated time; negative numbers and NaN become 0.
pub fn nanos(seconds: f64) -> Nanos {
    (seconds * 1e9).round() as Nanos
}

/// Converts simulated time to seconds.
pub fn seconds(at: Nanos) -> f64 {
    at as f64 / 1e9
}

/// An event with its sort key.
struct Entry<E> {
    at: Nanos,
    /// Order among the events of one instant; `sequence` decides where it is equal.
    tie_order: u64,
    sequence: u64,
    event: E,
}

impl<E> Entry<E> {
    fn sort_key(&self) -> (Nanos, u64, u64) {
        (self.at, self.tie_order, self.sequence)
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.sort_key() == other.sort_key()
    }
}
impl<E> Eq for Entry<E> {}
impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.sort_key().cmp(&other.sort_key())
    }
}

/// A priority queue of events. Events of one instant come in the order of their insertion, or shuffled by a
/// seed other than 0: in reality they could have come in any order.
pub struct Queue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    now: Nanos,
    sequence: u64,
    shuffle_seed: u64,
    tick: Nanos,
}

impl<E> Queue<E> {
    /// All times are rounded up to multiples of `tick`; 0 or 1 for none.
    pub fn new(shuffle_seed: u64, tick: Nanos) -> Self {
        Queue { heap: BinaryHeap::new(), now: 0, sequence: 0, shuffle_seed, tick: tick.max(1) }
    }

    /// Inserts an event; one in the past comes now.
    pub fn put(&mut self, at: Nanos, event: E) {
        let at = at.max(self.now).div_ceil(self.tick) * self.tick;
        self.sequence += 1;
        // Only the lower half of the range, so that `put_last` sorts after it.
        let tie_order =
            if self.shuffle_seed == 0 { 0 } else { mix(self.shuffle_seed ^ mix(self.sequence)) >> 1 };
        self.heap.push(Reverse(Entry { at, tie_order, sequence: self.sequence, event }));
    }

    /// Inserts an event after all others of this instant that are in the queue when it comes up.
    pub fn put_last(&mut self, event: E) {
        self.sequence += 1;
        self.heap.push(Reverse(Entry { at: self.now, tie_order: u64::MAX, sequence: self.sequence, event }));
    }

    /// Removes the next event and advances the time to it.
    pub fn next(&mut self) -> Option<(Nanos, E)> {
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.at;
        Some((entry.at, entry.event))
    }

    /// The time of the event removed last.
    pub fn now(&self) -> Nanos {
        self.now
    }
}

/// Mixes all bits of a number (the finaliser of SplitMix64, Steele, Lea and Flood 2014).
pub fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
