//! The rule on returns: a destination is cold after an outage, and the calls of all senders together must not
//! overload it. The rule is broken where at least two thirds of those calls come from senders that saw the
//! outage.

use crate::standins::id::WebhookId;
use std::collections::{HashMap, VecDeque};

/// Below this number of calls the limit allows for a larger random deviation.
const FEW_CALLS: f64 = 30.0;

/// What a destination takes while it is cold.
#[derive(Debug, Clone, Copy)]
pub struct RecoveryParameters {
    /// The fraction of its usual rate that it takes right after its return.
    pub cold_rate_fraction: f64,
    /// How long after its return it takes its whole rate again.
    pub warm_up_secs: f64,
    /// The destination is overloaded by this many times the calls that it can take within the overload
    /// window.
    pub overload_multiple: f64,
    /// The length of the overload window.
    pub overload_window_secs: f64,
}

impl Default for RecoveryParameters {
    fn default() -> Self {
        RecoveryParameters {
            cold_rate_fraction: 0.28,
            warm_up_secs: 14.0,
            overload_multiple: 1.5,
            overload_window_secs: 1.5,
        }
    }
}

impl RecoveryParameters {
    /// The mean number of calls that overloads a destination in the window that ends `since_return_secs`
    /// after its return. It takes `calls_per_sec` when it is warm.
    fn overload_calls(&self, since_return_secs: f64, calls_per_sec: f64) -> f64 {
        let window_middle =
            (since_return_secs - self.overload_window_secs / 2.0).clamp(0.0, self.warm_up_secs);
        let rate_fraction =
            self.cold_rate_fraction + (1.0 - self.cold_rate_fraction) * window_middle / self.warm_up_secs;
        self.overload_multiple * calls_per_sec * rate_fraction * self.overload_window_secs
    }

    /// The number of calls in that window above which the rule is broken. It is higher than the mean, as the
    /// number of calls varies at random.
    fn call_limit(&self, since_return_secs: f64, calls_per_sec: f64) -> f64 {
        let mean = self.overload_calls(since_return_secs, calls_per_sec);
        // Small numbers of calls vary more in relation to their mean.
        let deviations = if mean < FEW_CALLS { 3.0 } else { 2.0 };
        mean + deviations * (mean.sqrt() + 1.0)
    }
}

/// One outage of a destination, and the calls after it. Times are seconds since the run began.
struct Outage {
    /// What the destination takes when it is warm.
    calls_per_sec: f64,
    began_at: f64,
    ended_at: Option<f64>,
    /// The senders that saw it, and when each saw its first failed call.
    observers: HashMap<u16, f64>,
    /// The calls in the last overload window: when each arrived, and its sender.
    recent_calls: VecDeque<(f64, u16)>,
    /// Whether the destination was overloaded after the outage. Further calls are not judged then.
    overloaded: bool,
}

/// The last outage of each destination.
pub struct ReturnRule {
    parameters: RecoveryParameters,
    outages: HashMap<u32, Outage>,
}

impl ReturnRule {
    /// A rule that knows of no outage yet.
    pub fn new(parameters: RecoveryParameters) -> Self {
        ReturnRule { parameters, outages: HashMap::new() }
    }

    /// An outage begins of a destination that takes `calls_per_sec` when it is warm.
    pub fn record_outage_start(&mut self, destination: u32, began_at: f64, calls_per_sec: f64) {
        let (observers, recent_calls) = (HashMap::new(), VecDeque::new());
        self.outages.insert(
            destination,
            Outage { calls_per_sec, began_at, ended_at: None, observers, recent_calls, overloaded: false },
        );
    }

    /// The destination is back, and cold.
    pub fn record_outage_end(&mut self, destination: u32, at: f64) {
        if let Some(outage) = self.outages.get_mut(&destination) {
            outage.ended_at = Some(at);
        }
    }

    /// A call of the webhook's sender failed at its destination, or was refused.
    pub fn record_failure(&mut self, id: WebhookId, at: f64) {
        let Some(outage) = self.outages.get_mut(&id.destination) else { return };
        if at >= outage.began_at && outage.ended_at.is_none_or(|ended_at| at <= ended_at) {
            outage.observers.entry(id.sender).or_insert(at);
        }
    }

    /// A sender's process has ended. Its next process knows what this one saw, except answers that were sent
    /// after `read_until` and that the process may not have read.
    pub fn record_sender_exit(&mut self, sender: u16, read_until: f64) {
        for outage in self.outages.values_mut() {
            outage.observers.retain(|observer, seen_at| *observer != sender || *seen_at < read_until);
        }
    }

    /// Records a call. Returns the breach at the first call that overloads the destination, if at least
    /// two thirds of the calls in the overload window are from senders that saw the outage.
    pub fn check_call(&mut self, id: WebhookId, at: f64) -> Option<String> {
        let outage = self.outages.get_mut(&id.destination)?;
        let since_return_secs = at - outage.ended_at?;
        if since_return_secs > self.parameters.warm_up_secs || outage.overloaded {
            return None;
        }
        outage.recent_calls.push_back((at, id.sender));
        while outage
            .recent_calls
            .front()
            .is_some_and(|(earlier, _)| earlier + self.parameters.overload_window_secs < at)
        {
            outage.recent_calls.pop_front();
        }
        let (count, limit) =
            (outage.recent_calls.len(), self.parameters.call_limit(since_return_secs, outage.calls_per_sec));
        outage.overloaded = count as f64 > limit;
        let from_observers =
            outage.recent_calls.iter().filter(|(_, sender)| outage.observers.contains_key(sender)).count();
        (outage.overloaded && 3 * from_observers >= 2 * count).then(|| {
            let destination = id.destination;
            format!(
                "destination {destination} was sent {count} calls {since_return_secs:.1} s after its return, \
                 {limit:.1} at most; {from_observers} by senders that saw its outage"
            )
        })
    }
}
