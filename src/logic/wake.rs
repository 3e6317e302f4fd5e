//! When a rule may fire without further input.

use super::*;

impl Logic {
    pub(super) fn wake_due(&self) -> Option<Pick> {
        let at = self.next_at();
        (at < f64::INFINITY && self.wake_at.is_none_or(|t| t > at + 0.005)).then_some(Pick::At(at))
    }

    /// When a rule may fire next without further input. What only an outcome can change needs no wake.
    pub(super) fn next_at(&self) -> f64 {
        let mut at = if self.watch.ask && !self.watch.watching { self.watch.ask_at } else { f64::INFINITY };
        at = at.min(self.held.next());
        if self.busy < self.caps.slots {
            at = at.min(self.gates.next());
            let active = self.active();
            let eps = active.iter().filter_map(|d| self.dests.get(d)).flatten();
            let times = eps.filter_map(|ep| Some(self.opens_at(ep, self.routes.get(ep)?)));
            at = times.filter(|t| *t > self.now).fold(at, f64::min);
        }
        if self.busy >= self.caps.slots && !self.held.is_empty() && self.caps.may_call_off {
            at = self.patience_ends().map(|c| c.0).fold(at, f64::min);
        }
        // 10 ms at least: small against every target latency, and few enough wakes to cost little.
        at.max(self.now + 0.01)
    }

    pub(super) fn set_wake(&mut self, pick: Pick, out: &mut dyn ActionSink) {
        let Pick::At(at) = pick else { return };
        self.wake_at = Some(at);
        // Half a millisecond late, so that rounding cannot make it early.
        out.schedule_wake(at - self.now + 0.0005, 0);
    }
}
