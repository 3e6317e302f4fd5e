//! Waits that were told, shares of limits, and when a route takes its next call.

use super::*;

impl Logic {
    /// How long a webhook leaves a full limit to dearer ones: while it loses a tenth of the dearest value.
    pub(super) fn yields(&self, id: u64) -> f64 {
        let Some(w) = self.webhooks.get(&id) else { return 0.0 };
        let dearest = self.types.values().map(|t| t.value).fold(0.0, f64::max);
        let least = self.value(w, self.now) - 0.1 * dearest;
        let steps = (0..8).map(|k| 0.2 * f64::from(1 << k));
        let bears = |d: &f64| self.value(w, self.now + d) >= least && *d < (w.ttl_at - self.now) / 5.0;
        steps.take_while(bears).last().unwrap_or(0.0)
    }

    pub(super) fn scope(ep: &Name, r: &Route) -> Scope {
        (r.dest, r.apart.then(|| ep.clone()))
    }

    /// Calls a second that a scope takes from all: as reported in the last 5 s, listed, reported or usual.
    pub(super) fn rate(&self, r: &Route, m: Option<&Meter>) -> f64 {
        let since = if r.rate > 0.0 { self.now - 5.0 } else { f64::NEG_INFINITY };
        let told = m.into_iter().flat_map(|m| &m.limits).filter(|l| l.0 > since);
        median(told.map(|l| l.1)).unwrap_or(if r.rate > 0.0 { r.rate } else { self.usual })
    }

    /// When the scope takes a call, or a further webhook in a call of this turn.
    pub(super) fn pace_end(&self, ep: &Name, r: &Route, joins: bool) -> f64 {
        let Some(m) = self.meters.get(&Self::scope(ep, r)) else { return 0.0 };
        let cold = if r.outage { m.cold_due } else { 0.0 };
        if joins {
            return m.wait_until;
        }
        // Reports come every few tenths of a second; an empty allowance is believed for that long.
        let empty = m.left.map_or(0.0, |(left, at)| if left < 0.05 { at + 0.3 } else { 0.0 });
        let rate = self.rate(r, Some(m));
        let mine = (rate * m.share).max(1.0 / self.senders);
        // Whole calls in about a second, the shortest span that limits here come in.
        let most = mine.ceil();
        let oldest = m.sent.len().checked_sub(most as usize).and_then(|i| m.sent.get(i));
        let spent = oldest.filter(|_| rate.min(m.least) > 0.0).map_or(0.0, |at| at + most / mine);
        m.wait_until.max(empty).max(cold).max(spent)
    }

    pub(super) fn cooling_off(&mut self, ep: &Name, scope: &Scope, wait: f64) -> bool {
        let (now, senders, jitter) = (self.now, self.senders, self.chance.draw());
        let left = self.meters.get(scope).and_then(|m| m.left).filter(|l| l.1 == now).map(|l| l.0);
        // It may drain, be cold or slow. A limit makes all refuse: below 4 calls/s each, one tells of it.
        let alone = left.is_some_and(|left| left >= 0.2);
        let free = |r: &Route| (alone || r.rate >= 4.0 * senders) && r.ready && !r.open && r.aside <= now;
        let eps = self.dests.get(&scope.0).map_or(&[][..], Vec::as_slice);
        let other = |x: &Name| x != ep && self.routes.get(x).is_some_and(free);
        if wait <= 0.0 && scope.1.is_none() && eps.iter().any(other) {
            self.routes.entry(ep.clone()).and_modify(|r| r.aside = now + 1.0);
            return false;
        }
        for x in eps {
            self.routes.entry(x.clone()).and_modify(|r| r.aside = 0.0);
        }
        let m = self.meters.entry(scope.clone()).or_default();
        m.full_since = if m.full_row == 0 { now } else { m.full_since };
        m.full_row += 1;
        let r = &self.routes[ep];
        // Nothing good is known, or refused twice: it may be shut, and a clump of two seconds may wait.
        let good = r.samples.iter().any(|s| s.good);
        let shut = m.full_row > 1 || !good;
        // What a report says was used went to calls that it took: a limit, but for a row with nothing good.
        let long = m.full_row > 1 && now - m.full_since > 2.0;
        let fine = r.bad_row == 0 && !r.outage && !long && (good || m.full_row < 2);
        let taking = fine && left.is_some_and(|left| left < 0.95);
        let (since, m) = (m.full_since - wait - if shut { 2.0 } else { 0.0 }, self.meters.get(scope));
        // Until a limit has room for a call though it were cold, 0.2 s at least; up to eight times that.
        let rate = self.rate(r, m);
        let room = if taking {
            (1.0 / (self.cold.initial_share * self.cold.overload_multiple * rate)).clamp(0.2, 4.0)
        } else {
            0.2
        };
        // More is called than it takes, and refused calls use it up too: until all together use half of it.
        let gone = taking && left.is_some_and(|left| left < 0.001);
        let part = [1.0, 0.0, 0.5][usize::from(taking) + usize::from(gone)];
        let turn = part * self.turn(r, m, since);
        let most = (8.0 * room).max(if gone { 2.0 * senders / rate } else { 0.0 });
        let m = self.meters.entry(scope.clone()).or_default();
        let own = (room * f64::from(1 << (m.full_row - 1).min(9))).min(most) * (0.75 + 0.5 * jitter);
        let late = if taking { own.max(turn) } else { turn };
        let spread = if wait > 0.0 { wait + late * jitter } else { own.max(turn * (0.2 + 1.6 * jitter)) };
        m.wait_until = m.wait_until.max(now + spread);
        m.full_at = if taking { now } else { f64::NEG_INFINITY };
        // A fifth less of the limit, by half far above an even part, since refused calls use up most limits.
        m.share = (m.share * if m.share > 2.0 / senders { 0.5 } else { 0.8 }).max(m.least);
        if wait > 2.0 || long {
            let since = m.full_since;
            self.mark_outage(scope, now);
            let first =
                |r: &mut Route| r.bad_since = if r.bad_row > 0 { r.bad_since.min(since) } else { since };
            self.routes.entry(ep.clone()).and_modify(first);
        }
        taking
    }

    /// When a route takes a call, as far as time alone decides it.
    pub(super) fn free_at(&self, ep: &Name, r: &Route) -> f64 {
        if self.busy >= self.caps.slots { f64::INFINITY } else { self.opens_at(ep, r) }
    }

    /// The same where there are slots.
    pub(super) fn opens_at(&self, ep: &Name, r: &Route) -> f64 {
        let full = if r.open { !r.calls.is_empty() } else { r.calls.len() as f64 + 1.0 > r.window };
        // A call that is out when the process ends may have run, and nobody hears how it ended.
        let closes = self.now + r.slow > self.closes_at;
        if !r.ready || full || closes || (!r.open && self.silent(r)) {
            return f64::INFINITY;
        }
        self.pace_end(ep, r, false).max(if r.open { r.trial_at } else { r.aside })
    }
}
