//! Wake-ups: when a rule can match without a further input.

use super::*;

impl RuleEngine {
    /// When the next wake-up is due, unless an early enough one is already scheduled.
    pub(super) fn wake_due(&self) -> Option<RuleTarget> {
        let due_at = self.next_rule_at();
        (due_at < f64::INFINITY && self.wake_at.is_none_or(|wake_at| wake_at > due_at + 0.005))
            .then_some(RuleTarget::At(due_at))
    }

    /// When a rule can match without a further input. What only the end of an attempt can change needs no
    /// wake-up.
    pub(super) fn next_rule_at(&self) -> f64 {
        let mut due_at = if self.list_watch.required && !self.list_watch.active {
            self.list_watch.request_at
        } else {
            f64::INFINITY
        };
        due_at = due_at.min(self.pending.next_at());
        if self.used_slots < self.limits.slots {
            due_at = due_at.min(self.idle_destinations.next_at());
            let busy = self.busy_destinations();
            let endpoints = busy.iter().filter_map(|destination| self.endpoints.get(destination)).flatten();
            let times = endpoints.filter_map(|endpoint| {
                Some(self.available_at_with_slot(endpoint, self.routes.get(endpoint)?))
            });
            due_at = times.filter(|time| *time > self.now).fold(due_at, f64::min);
        }
        if self.used_slots >= self.limits.slots && !self.pending.is_empty() && self.limits.may_cancel {
            due_at = self.call_timeouts().map(|call| call.0).fold(due_at, f64::min);
        }
        // At least 10 ms: short against every target latency, and wake-ups stay rare enough to cost little.
        due_at.max(self.now + 0.01)
    }

    /// Schedules a wake-up.
    pub(super) fn schedule_wake(&mut self, target: RuleTarget, actions: &mut dyn ActionSink) {
        let RuleTarget::At(due_at) = target else { return };
        self.wake_at = Some(due_at);
        // Half a millisecond late, so that rounding cannot make it early.
        actions.schedule_wake(due_at - self.now + 0.0005, 0);
    }
}
