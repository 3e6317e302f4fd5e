//! Figures of a day, taken as it is played.

use crate::queue::{Nanos, seconds};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Time spent in a system, counted twice: as the number inside over time, and as the time of each that was inside.
/// Little's law (L = lambda W) says that both are the same once all have left.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Little {
    inside: u64,
    since: Nanos,
    /// The number inside, summed over time.
    pub area: u128,
    pub sojourns: u128,
    pub left: u64,
}

impl Little {
    fn moved(&mut self, now: Nanos) {
        self.area += u128::from(self.inside) * u128::from(now - self.since);
        self.since = now;
    }

    pub fn enter(&mut self, now: Nanos) {
        self.moved(now);
        self.inside += 1;
    }

    pub fn leave(&mut self, now: Nanos, entered: Nanos) {
        self.moved(now);
        self.inside = self.inside.saturating_sub(1);
        self.sojourns += u128::from(now - entered);
        self.left += 1;
    }

    /// Whether the law holds; it can only be said when nothing is inside.
    pub fn holds(&self) -> bool {
        self.inside > 0 || self.area == self.sojourns
    }

    /// Mean seconds inside.
    pub fn mean_s(&self) -> f64 {
        if self.left == 0 { 0.0 } else { self.sojourns as f64 / self.left as f64 / 1e9 }
    }
}

/// One span of the day, by when webhooks were handed in for the first time.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Window {
    pub at_s: f64,
    #[serde(rename = "asked")]
    pub offered_value: f64,
    #[serde(rename = "won")]
    pub delivered_value: f64,
    /// Webhooks that all senders held when the span ended.
    #[serde(rename = "held")]
    pub queued: u64,
    /// Attempts that went out in the span.
    pub attempts: u64,
}

/// Counts of a day.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    pub messages: u64,
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Handed in while the sender was dead or full.
    #[serde(rename = "turned_away")]
    pub refused: u64,
    pub delivered: u64,
    pub rejected: u64,
    pub dead_lettered: u64,
    pub withdrawn: u64,
    pub attempts: u64,
    pub calls: u64,
    pub connections: u64,
    pub failed: u64,
    pub full: u64,
    pub timed_out: u64,
    pub connect_failed: u64,
    /// Calls that might not go out any more when their connection was up.
    pub held_back: u64,
    pub reset: u64,
    /// Repeats that a destination knew and dropped.
    pub known_repeats: u64,
    pub falls: u64,
    /// Inputs that the policies were given, and events that the model played.
    pub inputs: u64,
    pub events: u64,
    /// Most webhooks that all senders held at once.
    #[serde(rename = "held_most")]
    pub peak_queued: u64,
}

pub struct Measures {
    pub counts: Counts,
    pub windows: Vec<Window>,
    window: Nanos,
    pub offered_value: f64,
    pub delivered_value: f64,
    /// From when a webhook was first handed in until it was delivered, in microseconds.
    pub latency: Histogram<u64>,
    /// Calls at endpoints, waiting included; and webhooks at senders.
    pub at_endpoints: Little,
    pub at_senders: Little,
    /// Time that calls waited at endpoints before they were worked on.
    pub waited: Little,
}

impl Measures {
    pub fn new(length: Nanos, window: Nanos) -> Self {
        let many = length.div_ceil(window.max(1)) as usize;
        let at = |i| Window { at_s: seconds(i as u64 * window), ..Window::default() };
        Measures {
            counts: Counts::default(),
            windows: (0..many.max(1)).map(at).collect(),
            window: window.max(1),
            offered_value: 0.0,
            delivered_value: 0.0,
            // 1 us to an hour, to three figures.
            latency: Histogram::new_with_bounds(1, 3_600_000_000, 3)
                .unwrap_or_else(|_| Histogram::new(3).unwrap()),
            at_endpoints: Little::default(),
            at_senders: Little::default(),
            waited: Little::default(),
        }
    }

    /// The span that an instant falls into; what comes after the day counts as its last.
    pub fn at(&mut self, t: Nanos) -> &mut Window {
        let last = self.windows.len() - 1;
        &mut self.windows[((t / self.window) as usize).min(last)]
    }

    pub fn asked(&mut self, at: Nanos, value: f64) {
        self.offered_value += value;
        self.at(at).offered_value += value;
    }

    pub fn won(&mut self, first_at: Nanos, now: Nanos, value: f64) {
        self.delivered_value += value;
        self.at(first_at).delivered_value += value;
        self.latency.saturating_record(((now - first_at) / 1_000).max(1));
    }
}
