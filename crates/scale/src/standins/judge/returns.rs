//! The rule on returns: after an outage a destination is cold, and the sum of the calls of all senders must not push it
//! over, where two thirds of them come from senders that saw the outage.

use crate::standins::id::WebhookId;
use std::collections::{HashMap, HashSet, VecDeque};

/// Below so many calls chance has more room.
const FEW_CALLS: f64 = 30.0;

/// What a cold destination takes.
#[derive(Debug, Clone, Copy)]
pub struct RecoveryParameters {
    /// The part of its rate that it takes right after its return.
    pub cold_rate_fraction: f64,
    /// Seconds until it takes all of it.
    pub warm_up_secs: f64,
    /// It falls over at so many times what it can take,
    pub overload_multiple: f64,
    /// sent within so many seconds.
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
    /// Calls that it takes in the window that ends `since` seconds after its return, at `rate` a second when warm.
    fn allowed(&self, since: f64, rate: f64) -> f64 {
        let middle = (since - self.overload_window_secs / 2.0).clamp(0.0, self.warm_up_secs);
        let part = self.cold_rate_fraction + (1.0 - self.cold_rate_fraction) * middle / self.warm_up_secs;
        self.overload_multiple * rate * part * self.overload_window_secs
    }

    /// More calls than that push it over: chance alone brings some more than the mean.
    fn most(&self, since: f64, rate: f64) -> f64 {
        let allowed = self.allowed(since, rate);
        // Few calls bunch more.
        let deviations = if allowed < FEW_CALLS { 3.0 } else { 2.0 };
        allowed + deviations * (allowed.sqrt() + 1.0)
    }
}

struct Outage {
    rate: f64,
    began: f64,
    back: Option<f64>,
    saw: HashSet<u16>,
    calls: VecDeque<(f64, u16)>,
    fell: bool,
}

/// All outages, the last of each destination.
pub struct Returns {
    terms: RecoveryParameters,
    outages: HashMap<u32, Outage>,
}

impl Returns {
    pub fn new(terms: RecoveryParameters) -> Self {
        Returns { terms, outages: HashMap::new() }
    }

    pub fn began(&mut self, dest: u32, at: f64, rate: f64) {
        let (saw, calls) = (HashSet::new(), VecDeque::new());
        self.outages.insert(dest, Outage { rate, began: at, back: None, saw, calls, fell: false });
    }

    pub fn ended(&mut self, dest: u32, at: f64) {
        if let Some(outage) = self.outages.get_mut(&dest) {
            outage.back = Some(at);
        }
    }

    /// A sender saw a call fail there, or be refused.
    pub fn saw(&mut self, id: WebhookId, at: f64) {
        let Some(outage) = self.outages.get_mut(&id.destination) else { return };
        if at >= outage.began && outage.back.is_none_or(|back| at <= back) {
            outage.saw.insert(id.sender);
        }
    }

    /// A sender's process has ended: what it saw is known no more.
    pub fn forget(&mut self, sender: u16) {
        for outage in self.outages.values_mut() {
            outage.saw.remove(&sender);
        }
    }

    /// A call came. At the first one that pushes the destination over, where the rule is broken, how.
    pub fn called(&mut self, id: WebhookId, at: f64) -> Option<String> {
        let outage = self.outages.get_mut(&id.destination)?;
        let since = at - outage.back?;
        if since > self.terms.warm_up_secs || outage.fell {
            return None;
        }
        outage.calls.push_back((at, id.sender));
        while outage.calls.front().is_some_and(|(earlier, _)| earlier + self.terms.overload_window_secs < at)
        {
            outage.calls.pop_front();
        }
        let (count, most) = (outage.calls.len(), self.terms.most(since, outage.rate));
        outage.fell = count as f64 > most;
        let saw = outage.calls.iter().filter(|(_, sender)| outage.saw.contains(sender)).count();
        (outage.fell && 3 * saw >= 2 * count).then(|| {
            let dest = id.destination;
            format!(
                "destination {dest} was sent {count} calls {since:.1} s after its return, {most:.1} at most; \
                 {saw} by senders that saw its outage"
            )
        })
    }
}
