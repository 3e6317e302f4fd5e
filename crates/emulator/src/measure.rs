//! Figures of a day, recorded while it is played.

use crate::queue::{Nanos, seconds};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Time spent in a system, measured in two ways: as the number inside integrated over time, and as the sum of
/// the times that each one was inside. By Little's law (L = lambda W) both are equal once all have left.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LittlesLaw {
    inside: u64,
    #[serde(rename = "since")]
    changed_at: Nanos,
    /// The number inside, integrated over time, in nanoseconds.
    #[serde(rename = "area")]
    pub occupancy_time: u128,
    /// The sum of the times inside, in nanoseconds.
    #[serde(rename = "sojourns")]
    pub sojourn_time: u128,
    /// How many have left.
    #[serde(rename = "left")]
    pub departures: u64,
}

impl LittlesLaw {
    /// Accounts for the time since the last change.
    fn advance(&mut self, now: Nanos) {
        self.occupancy_time += u128::from(self.inside) * u128::from(now - self.changed_at);
        self.changed_at = now;
    }

    /// One more is inside.
    pub fn enter(&mut self, now: Nanos) {
        self.advance(now);
        self.inside += 1;
    }

    /// One that entered at `entered_at` has left.
    pub fn leave(&mut self, now: Nanos, entered_at: Nanos) {
        self.advance(now);
        self.inside = self.inside.saturating_sub(1);
        self.sojourn_time += u128::from(now - entered_at);
        self.departures += 1;
    }

    /// Whether the law holds; true while any are inside, since the law applies only to an empty system.
    pub fn holds(&self) -> bool {
        self.inside > 0 || self.occupancy_time == self.sojourn_time
    }

    /// Mean time inside in seconds.
    pub fn mean_s(&self) -> f64 {
        if self.departures == 0 { 0.0 } else { self.sojourn_time as f64 / self.departures as f64 / 1e9 }
    }
}

/// One window of the day. Values count in the window in which the message was first handed in.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Window {
    /// When the window begins.
    pub at_s: f64,
    /// Value of the messages handed in.
    #[serde(rename = "asked")]
    pub offered_value: f64,
    /// Value of those that were delivered, by their latency.
    #[serde(rename = "won")]
    pub delivered_value: f64,
    /// Webhooks without final answer at all senders when the window ended.
    #[serde(rename = "held")]
    pub queued: u64,
    /// Attempts started in the window.
    pub attempts: u64,
}

/// Counts of a day.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Messages that clients created.
    pub messages: u64,
    /// Webhooks that senders accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Hand-ins at a sender that was dead or full.
    #[serde(rename = "turned_away")]
    pub refused: u64,
    /// Final answer: delivered.
    pub delivered: u64,
    /// Final answer: rejected.
    pub rejected: u64,
    /// Final answer: dead-lettered.
    pub dead_lettered: u64,
    /// Final answer: withdrawn by the client.
    pub withdrawn: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Calls started.
    pub calls: u64,
    /// Connections opened.
    pub connections: u64,
    /// Calls answered with an error.
    pub failed: u64,
    /// Calls refused by a limit or a full queue.
    pub full: u64,
    /// Calls without an answer before their deadline, and cancelled ones.
    pub timed_out: u64,
    /// Calls whose connection could not be opened.
    pub connect_failed: u64,
    /// Calls that the policy no longer allowed once their connection was open.
    pub held_back: u64,
    /// Calls whose connection was reset.
    pub reset: u64,
    /// Duplicates that a destination recognised and dropped.
    pub known_repeats: u64,
    /// Overloads of cold destinations.
    pub falls: u64,
    /// Inputs that the policies got.
    pub inputs: u64,
    /// Events that the model handled.
    pub events: u64,
    /// Most webhooks without final answer at all senders at once.
    #[serde(rename = "held_most")]
    pub peak_queued: u64,
}

/// The figures of a day in progress.
pub struct Measurements {
    /// Counts of the day.
    pub counts: Counts,
    /// Figures over time.
    pub windows: Vec<Window>,
    window_length: Nanos,
    /// Value of all messages.
    pub offered_value: f64,
    /// Value of all deliveries, by their latency.
    pub delivered_value: f64,
    /// From the first hand-in to the delivery, in microseconds.
    pub latency: Histogram<u64>,
    /// Calls at endpoints, waiting or worked on.
    pub at_endpoints: LittlesLaw,
    /// Webhooks at senders.
    pub at_senders: LittlesLaw,
    /// Calls waiting at endpoints before work on them starts.
    pub queueing: LittlesLaw,
}

impl Measurements {
    /// Figures of a day of this length, with windows of this length.
    pub fn new(day_length: Nanos, window_length: Nanos) -> Self {
        let window_count = day_length.div_ceil(window_length.max(1)) as usize;
        let new_window = |index| Window { at_s: seconds(index as u64 * window_length), ..Window::default() };
        Measurements {
            counts: Counts::default(),
            windows: (0..window_count.max(1)).map(new_window).collect(),
            window_length: window_length.max(1),
            offered_value: 0.0,
            delivered_value: 0.0,
            // From 1 us to 1 hour, with three significant digits.
            latency: Histogram::new_with_bounds(1, 3_600_000_000, 3)
                .unwrap_or_else(|_| Histogram::new(3).unwrap()),
            at_endpoints: LittlesLaw::default(),
            at_senders: LittlesLaw::default(),
            queueing: LittlesLaw::default(),
        }
    }

    /// The window of an instant; what comes after the end of the day counts in the last one.
    pub fn window_at(&mut self, at: Nanos) -> &mut Window {
        let last_index = self.windows.len() - 1;
        &mut self.windows[((at / self.window_length) as usize).min(last_index)]
    }

    /// Records a message handed in for the first time.
    pub fn record_offered(&mut self, at: Nanos, value: f64) {
        self.offered_value += value;
        self.window_at(at).offered_value += value;
    }

    /// Records a delivery.
    pub fn record_delivered(&mut self, first_handed_in_at: Nanos, now: Nanos, value: f64) {
        self.delivered_value += value;
        self.window_at(first_handed_in_at).delivered_value += value;
        self.latency.saturating_record(((now - first_handed_in_at) / 1_000).max(1));
    }
}
