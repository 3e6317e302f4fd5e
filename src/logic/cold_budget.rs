//! Outages, and what a destination that returns from one is sent by all senders together.

use super::*;

/// A destination where so many calls failed, over so many seconds, and none went well is out.
const OUTAGE_CALLS: u32 = 3;
const OUTAGE_SPAN: f64 = 2.0;
/// So many that failed one after another are no chance, however quickly they did.
const MANY_OUTAGE_CALLS: u32 = 8;

impl Logic {
    /// Calls a second that all senders may make together at a scope back from an outage, if `wanting` want it.
    pub(super) fn cold_rate(&self, r: &Route, m: Option<&Meter>, wanting: f64) -> f64 {
        let part = self.cold.part(r.back.map_or(0.0, |back| self.now - back));
        // A limit that was cut does not make the destination weaker: what is listed counts.
        let sure = self.rate(r, m).max(r.rate);
        // A call a second where no rate is known: that must not shut a route for good.
        let budget = if sure > 0.0 { sure } else { 1.0 }
            * part
            * self.cold.overload_multiple
            * self.cold.overload_span;
        // What pushes it over; a third of that is left to senders that may not have seen the outage.
        let most = (budget + 2.0 * budget.sqrt() + 2.0) * (wanting / self.senders).max(2.0 / 3.0);
        // Calls that come independently stay within a deviation of their mean, as fewer want it than are counted;
        // those of a few senders stay within one call of each.
        let mean = (((1.0 + 4.0 * most).sqrt() - 1.0) / 2.0).powi(2);
        mean.max(most - wanting).min(budget) / self.cold.overload_span
    }

    /// Seconds until each sender that may want a scope back from an outage, or still in one, has had a call within
    /// the cold budget: no more of them than webhooks that came since, and are not over yet.
    pub(super) fn turn(&self, r: &Route, m: Option<&Meter>, since: f64) -> f64 {
        let rate = if r.rate > 0.0 { r.rate } else { self.rate(r, m) };
        let ttl = self.types.values().map(|t| t.ttl).fold(0.0, f64::max);
        // A sender that saw calls fail does not know for how long others have: since it saw one go well.
        let failing = m.filter(|_| r.outage || r.bad_row > 0).map(|m| m.well_at.unwrap_or(f64::NEG_INFINITY));
        let since = failing.map_or(since, |well_at| since.min(well_at));
        // Twice what the rate lets expect: few calls from many senders bunch by chance.
        let came = 2.0 * rate * (self.now - since).clamp(0.0, ttl) + 1.0;
        let wanting = came.min(self.senders);
        let wait = wanting / self.cold_rate(r, m, wanting);
        // Once it answers the budget grows meanwhile; what is taken until a time is a quadratic in it.
        let Cold { initial_share, warm_up, .. } = self.cold;
        let grows = |back: f64| {
            (1.0 - initial_share)
                / (initial_share * warm_up + (1.0 - initial_share) * (self.now - back)).max(0.001)
        };
        let more = r.back.map_or(0.0, grows);
        if more > 0.0 { ((1.0 + 2.0 * more * wait).sqrt() - 1.0) / more } else { wait }
    }

    pub(super) fn routes_of<'a>(&'a self, scope: &'a Scope) -> impl Iterator<Item = (&'a Name, &'a Route)> {
        let all = self.dests.get(&scope.0).into_iter().flatten();
        let own = all.filter(|ep| scope.1.as_ref().is_none_or(|own| own == *ep));
        own.filter_map(|ep| Some((ep, self.routes.get(ep)?)))
    }

    /// Each sender in its turn, as with trials: many may hold a webhook when a cold scope takes calls again.
    /// What was put off for longer while nobody knew comes earlier once it answers; a circuit's pause stays.
    pub(super) fn come_in_turn(&mut self, scope: &Scope, answers: bool) {
        let now = self.now;
        let cold = self.routes_of(scope).filter(|(_, r)| r.outage).map(|(ep, _)| ep.clone());
        for ep in cold.collect::<Vec<_>>() {
            let jitter = self.chance.draw();
            self.routes.entry(ep.clone()).and_modify(|r| r.back = r.back.or(Some(now).filter(|_| answers)));
            let turn = self.turn(&self.routes[&ep], self.meters.get(scope), now - 4.0);
            let due = now + turn * (0.2 + 1.6 * jitter);
            let latest = if answers { due } else { f64::INFINITY };
            let m = self.meters.entry(scope.clone()).or_default();
            m.cold_due = if m.cold_due < now { due } else { m.cold_due.min(latest) };
            let put_off = |r: &mut Route| r.trial_at = r.trial_at.min(latest.max(now + r.cooling));
            self.routes.entry(ep).and_modify(put_off);
        }
    }

    /// Calls to a destination got lost wherever they went: an outage, though no route had a row of three.
    pub(super) fn all_failing(&self, scope: &Scope) -> bool {
        let here = || self.routes_of(scope).map(|(_, r)| r);
        // Three as for one route; two seconds, since what was sent then tells of the same moment.
        let fine = |r: &Route| r.samples.iter().any(|s| s.good && s.at - s.took >= self.now - 2.0);
        // Where each of many has less than a call in that time, two more from each would push it over.
        let rate = here().map(|r| self.rate(r, self.meters.get(scope))).fold(0.0, f64::max);
        let enough = if 2.0 * rate < self.senders { 1 } else { 3 };
        here().map(|r| r.bad_row).sum::<u32>() >= enough && !here().any(fine)
    }

    /// A call is back that was sent at `sent_at`. Calls were made for a while, or in numbers, and none went well: an outage.
    /// What was sent before the first of them failed counts with it, as one event may end many calls.
    pub(super) fn watch_for_outage(&mut self, ep: &str, outcome: Outcome, sent_at: f64) {
        let Some((ep, r)) = self.routes.get_key_value(ep) else { return };
        let (scope, now) = (Self::scope(ep, r), self.now);
        let m = self.meters.entry(scope.clone()).or_default();
        match outcome {
            Outcome::Delivered => return m.failing = None,
            Outcome::Moot(_) => return,
            _ => {}
        }
        // A limit that is used up turns calls away in a row as well; that has paces of its own.
        let lost = u32::from(!matches!(outcome, Outcome::Full(_)));
        let failing = match m.failing {
            None => Failing { since: now, calls: 1, lost },
            Some(f) if sent_at < f.since => f,
            Some(f) => Failing { calls: f.calls + 1, lost: f.lost + lost, ..f },
        };
        m.failing = Some(failing);
        let known = self.routes_of(&scope).all(|(_, r)| r.outage && r.back.is_none());
        let lasts = failing.calls >= OUTAGE_CALLS && now - failing.since > OUTAGE_SPAN;
        if (lasts || failing.lost >= MANY_OUTAGE_CALLS) && !known {
            self.mark_outage(&scope, failing.since);
            self.come_in_turn(&scope, false);
        }
    }

    /// A call went well where others were turned away for a while: it was out until just now, though the tries that were
    /// put off left too few refusals to tell.
    pub(super) fn watch_for_return(&mut self, ep: &str) {
        let Some((ep, r)) = self.routes.get_key_value(ep) else { return };
        let scope = Self::scope(ep, r);
        let failing = self.meters.get(&scope).and_then(|m| m.failing);
        let Some(failing) = failing.filter(|f| f.calls - f.lost >= OUTAGE_CALLS) else { return };
        if self.now - failing.since > OUTAGE_SPAN && !self.routes_of(&scope).any(|(_, r)| r.outage) {
            self.mark_outage(&scope, failing.since);
        }
    }

    /// An outage was seen: routes of its scope where no call sent after `since` went well come back cold.
    pub(super) fn mark_outage(&mut self, scope: &Scope, since: f64) {
        let all = || self.dests.get(&scope.0).map_or(&[][..], Vec::as_slice);
        for ep in scope.1.as_ref().map_or_else(all, std::slice::from_ref) {
            if let Some(r) = self.routes.get_mut(ep)
                && !r.samples.iter().any(|s| s.good && s.at - s.took >= since)
            {
                (r.outage, r.back) = (true, None);
            }
        }
    }
}
