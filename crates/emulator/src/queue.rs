//! What happens next: events by simulated time, and by a stated order where several come at one instant.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Simulated time in whole nanoseconds, so that equal instants are equal on any machine.
pub type Nanos = u64;

/// Seconds with fractions to simulated time; what is below zero or not a number counts as zero.
pub fn nanos(seconds: f64) -> Nanos {
    (seconds * 1e9).round() as Nanos
}

/// Simulated time as seconds with fractions.
pub fn seconds(at: Nanos) -> f64 {
    at as f64 / 1e9
}

struct Entry<E> {
    at: Nanos,
    /// Place among those of one instant.
    tie: u64,
    seq: u64,
    event: E,
}

impl<E> Entry<E> {
    fn place(&self) -> (Nanos, u64, u64) {
        (self.at, self.tie, self.seq)
    }
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.place() == other.place()
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
        self.place().cmp(&other.place())
    }
}

/// A priority queue of events. Those of one instant come as they were put in, or shuffled by a number other than 0:
/// an order that a real day could have had as well.
pub struct Queue<E> {
    heap: BinaryHeap<Reverse<Entry<E>>>,
    now: Nanos,
    seq: u64,
    order: u64,
    tick: Nanos,
}

impl<E> Queue<E> {
    /// `tick` is the grid that all times are moved up to; 0 or 1 for none.
    pub fn new(order: u64, tick: Nanos) -> Self {
        Queue { heap: BinaryHeap::new(), now: 0, seq: 0, order, tick: tick.max(1) }
    }

    /// Puts in an event; one that would be in the past comes now.
    pub fn put(&mut self, at: Nanos, event: E) {
        let at = at.max(self.now).div_ceil(self.tick) * self.tick;
        self.seq += 1;
        // The lower half of the ties, so that `put_last` comes behind.
        let tie = if self.order == 0 { 0 } else { mix(self.order ^ mix(self.seq)) >> 1 };
        self.heap.push(Reverse(Entry { at, tie, seq: self.seq, event }));
    }

    /// Puts in an event behind all others of this instant that are known by then.
    pub fn put_last(&mut self, event: E) {
        self.seq += 1;
        self.heap.push(Reverse(Entry { at: self.now, tie: u64::MAX, seq: self.seq, event }));
    }

    /// Takes out the next event and moves the time on.
    pub fn next(&mut self) -> Option<(Nanos, E)> {
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.at;
        Some((entry.at, entry.event))
    }

    pub fn now(&self) -> Nanos {
        self.now
    }
}

/// Moves every bit of a number (the finaliser of SplitMix64, Steele, Lea and Flood 2014).
pub fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
