//! How long an attempt is waited for, what its outcome tells of its route, and calls given up for their slots.

use super::*;

impl Logic {
    pub(super) fn first_window(&self) -> f64 {
        // An eighth of the slots, one at least: half of them opened more connections than endpoints take.
        (self.caps.slots as f64 / 8.0).max(1.0)
    }

    /// How long all but the slowest tenth of recent answers took; 0.6 s at least where few are known.
    pub(super) fn slow_end(samples: &VecDeque<Sample>) -> f64 {
        let mut took: Vec<f64> = samples.iter().filter(|s| s.good).map(|s| s.took).collect();
        took.sort_by(f64::total_cmp);
        if took.len() < 5 { took.last().copied().unwrap_or(0.0).max(0.6) } else { took[took.len() * 9 / 10] }
    }

    /// When a call is taken for lost: over three times the slow end (one in a hundred takes longer), down to
    /// twice where a tenth of calls get lost; 0.8 s at least, as stalls last half a second. Twice as long for
    /// each call lost in a row, up to eight times, so that it follows a route that slows down.
    pub(super) fn patience(&self, r: &Route) -> f64 {
        let lost = self.lost.iter().filter(|l| **l).count() as f64 / 60.0;
        let times = (3.5 - 15.0 * lost).max(2.0);
        (times * r.slow).max(0.8) * f64::from(1 << r.bad_row.min(3))
    }

    /// No answer for much longer than answers take, with calls out: no more calls until one is back.
    pub(super) fn silent(&self, r: &Route) -> bool {
        let oldest = r.calls.iter().map(|c| c.at).fold(f64::INFINITY, f64::min);
        self.now - oldest.max(r.answered) > 0.6 * self.patience(r)
    }

    pub(super) fn stop_at(&self, w: &Webhook, r: &Route) -> f64 {
        let effect = self.types.get(&w.event_type).map(|t| t.effect);
        // An at-most-once time-out could only be dead-lettered; `stuck` ends it when its slot is needed.
        let free = matches!(effect, Some(RepeatSafety::Idempotent | RepeatSafety::Tokened));
        if free { (self.now + self.patience(r)).min(w.ttl_at) } else { w.ttl_at }
    }

    /// All slots are taken and a webhook waits: the call longest past patience is called off.
    pub(super) fn stuck(&self) -> Option<Pick> {
        if !self.caps.may_call_off || self.busy < self.caps.slots || self.held.is_empty() {
            return None;
        }
        let worst = self.patience_ends().min_by(|a, b| a.0.total_cmp(&b.0))?;
        (worst.0 < self.now).then_some(Pick::Webhook(worst.1))
    }

    /// When patience with each call that is out ends, and a webhook in it.
    pub(super) fn patience_ends(&self) -> impl Iterator<Item = (f64, u64)> {
        let live = self.active.iter().filter_map(|ep| self.routes.get(ep));
        let calls = live.flat_map(|r| r.calls.iter().filter(|c| !c.called_off).map(move |c| (r, c)));
        calls.filter_map(|(r, c)| Some((c.at + self.patience(r), *c.webhooks.first()?)))
    }

    pub(super) fn call_off(&mut self, pick: Pick, out: &mut dyn ActionSink) {
        let Pick::Webhook(id) = pick else { return };
        for ep in &self.active {
            let calls = self.routes.get_mut(ep).into_iter().flat_map(|r| &mut r.calls);
            for call in calls.filter(|c| c.webhooks.contains(&id)) {
                call.called_off = true;
                for id in &call.webhooks {
                    out.cancel_attempt(*id, self.webhooks.get(id).map_or(0, |w| w.tries.saturating_sub(1)));
                }
            }
        }
    }

    pub(super) fn end_call(
        &mut self, id: u64, ep: &str, outcome: Outcome, took: f64, report: Option<(f64, f64)>,
    ) -> bool {
        let (now, slots, senders, jitter) =
            (self.now, self.caps.slots as f64, self.senders, self.chance.draw());
        let Some((ep, r)) = self.routes.get_key_value(ep) else { return false };
        let (ep, scope) = (ep.clone(), Self::scope(ep, r));
        let Some(r) = self.routes.get_mut(&ep) else { return false };
        self.held.changed.insert(scope.0);
        let m = self.meters.entry(scope.clone()).or_default();
        if let Outcome::Full(wait @ 0.001..) = outcome {
            // 1 ms more, so that rounding cannot end it early; a batch tells it again with each outcome.
            m.wait_until = m.wait_until.max(now + wait + 0.001);
        }
        let Some(at) = r.calls.iter().position(|c| c.webhooks.contains(&id)) else { return false };
        let call = &mut r.calls[at];
        let (sent_at, trial, idle) = (call.at, call.trial, call.idle);
        // Several webhooks in a call have one fate, told one by one: the first is judged, the last frees it.
        let first = !std::mem::replace(&mut call.judged, true);
        call.webhooks.remove(&id);
        if call.webhooks.is_empty() {
            r.calls.remove(at);
            self.busy -= 1;
            if r.calls.is_empty() {
                self.active.remove(&ep);
            }
            match self.out.get_mut(&scope.0).filter(|n| **n > 1) {
                Some(n) => *n -= 1,
                None => drop(self.out.remove(&scope.0)),
            }
        }
        if !first {
            return m.full_at == now;
        }
        r.used = now;
        self.aging.timers.set(ep.clone(), now + AGE);
        // Only the first loss of a row counts: a hung endpoint is tried again and again after a pause.
        let lost = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::Reset);
        self.stale.extend((!trial && r.bad_row == 0).then_some((now, idle, lost)));
        // The last 100 calls in 20 s: enough to see one in ten idle ones, short enough to try again.
        self.stale.retain(|s| s.0 >= now - 20.0);
        self.stale.drain(..self.stale.len().saturating_sub(100));
        if let Some((left, limit)) = report.filter(|r| r.1 > 0.0) {
            m.left = Some((left, now));
            // All of it is used: refused calls may use it up too, and only even parts leave room for any.
            if left < 0.001 {
                (m.share, self.used_up_at) = (m.share.min(2.0 * m.least), now);
            }
            m.limits.push_back((now, limit));
            // The median of the last five reports: they are noisy.
            m.limits.drain(..m.limits.len().saturating_sub(5));
            self.told.push_back(limit);
            self.told.drain(..self.told.len().saturating_sub(20));
            self.usual = median(self.told.iter().copied()).unwrap_or(0.0);
        }
        let (good, mut returns) = (outcome == Outcome::Delivered, false);
        r.unwell_at = (!good).then_some(now);
        let incident = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset);
        match outcome {
            Outcome::Moot(_) => return false,
            Outcome::Full(wait) => {
                r.answered = now;
                r.window = (r.window / 2.0).max(1.0);
                if trial {
                    r.cooling = (r.cooling * 2.0).min(2.0);
                    r.trial_at = now + r.cooling;
                }
                return self.cooling_off(&ep, &scope, wait);
            }
            Outcome::Delivered => {
                (r.answered, m.well_at) = (now, Some(now));
                self.thrift.entry(r.kind.clone()).or_default().1 += 1;
                if r.no_link_at.is_some_and(|t| now < t + 4.0) {
                    // A connect failed just before: too short for an outage, so connections are scarce there,
                    // most likely at all of its kind. A minute, the design's span for what is known.
                    self.thrift.insert(r.kind.clone(), (now + 60.0, 0));
                }
                // One or two unanswered calls before a good answer were lost; more would be an outage.
                let lost = if r.bad_row < 3 { r.bad_row as usize } else { 0 };
                self.lost.extend(std::iter::repeat_n(true, lost).chain([false]));
                // The last 60: enough to tell one in twenty from one in ten.
                self.lost.drain(..self.lost.len().saturating_sub(60));
                r.bad_row = 0;
                // Where room is left and a whole call waits the share grows fast: others use less.
                let waits = self.held.waiting(scope.0) >= r.batch && now > m.full_at + 2.0;
                let room = waits && report.is_some_and(|r| r.0 >= 0.2);
                let more = if room { 0.2 * m.share } else { 0.02 / senders };
                (m.full_row, m.share) = (0, (m.share + more).min(m.share.max(1.0)));
                if now >= r.short_until {
                    r.window = (r.window + 1.0).min((slots * 0.33).max(1.0));
                }
                if std::mem::take(&mut r.open) {
                    r.samples.clear();
                }
                returns = r.outage && r.back.is_none();
                if r.outage && now - *r.back.get_or_insert(now) > self.cold.warm_up {
                    (r.outage, r.back) = (false, None);
                }
            }
            Outcome::Failed => r.answered = now,
            Outcome::ConnectFailed => {
                r.no_link_at = Some(now);
                let others = r.samples.iter().any(|s| s.good && s.at >= sent_at);
                let scarce = self.thrift.get(&r.kind).is_some_and(|t| now < t.0);
                self.thrift.entry(r.kind.clone()).or_default().1 = 0;
                if others || (scarce && r.bad_row < 3) {
                    // No connection, yet others answer: calls that are out show how many it gets; 5 s,
                    // since idle ones elsewhere close after some seconds.
                    r.window = r.window.min(r.calls.len() as f64).max(1.0);
                    r.short_until = now + 5.0;
                    r.bad_row += 1;
                    return false;
                }
                r.window = (r.window / 2.0).max(1.0);
            }
            Outcome::TimedOut | Outcome::Cancelled => r.window = (r.window / 2.0).max(1.0),
            Outcome::Reset => {}
        }
        r.samples.push_back(Sample { at: now, good, incident, took });
        // 30 samples or the design's 10 s, whichever is less.
        r.samples.retain(|s| s.at >= now - 10.0);
        r.samples.drain(..r.samples.len().saturating_sub(30));
        (r.slow, r.score) = (Self::slow_end(&r.samples), Self::score(&r.samples));
        if good {
            if returns {
                self.come_in_turn(&scope, true);
            }
            return false;
        }
        // A kept connection that ends says nothing of its endpoint; one that is down refuses the next.
        r.bad_row += u32::from(outcome != Outcome::Reset);
        r.bad_since = if r.bad_row == 1 && !r.outage { sent_at } else { r.bad_since };
        let fine = r.samples.iter().filter(|s| s.good).count();
        let quiet = !r.samples.iter().any(|s| s.good && s.at >= sent_at);
        if self.all_failing(&scope) {
            self.mark_outage(&scope, now - 2.0);
            self.come_in_turn(&scope, false);
        }
        let Some(r) = self.routes.get_mut(&ep) else { return false };
        // Two in a row with nothing good since, one error with nothing good known, or most of five: it opens.
        let alone = fine == 0 && outcome == Outcome::Failed;
        if ((r.bad_row >= 2 || alone) && quiet)
            || (r.samples.len() >= 5 && 2 * fine < r.samples.len())
            || trial
        {
            r.cooling = if std::mem::replace(&mut r.open, true) { (r.cooling * 1.5).min(2.0) } else { 0.5 };
            let (cooling, bad_row, since) = (r.cooling, r.bad_row, r.bad_since);
            let row_at = r.samples.iter().rev().take_while(|s| !s.good).last().map_or(now, |s| s.at);
            let turn = self.turn(&self.routes[&ep], self.meters.get(&scope), since - 2.0);
            if let Some(r) = self.routes.get_mut(&ep) {
                r.trial_at = now + (cooling * (0.75 + 0.5 * jitter)).max(turn * (0.2 + 1.6 * jitter));
            }
            // One lost call more, or a failed trial, and it is an outage; fewer can be chance.
            if (trial && outcome != Outcome::Reset) || bad_row >= 3 {
                // What went well since the row began (two seconds at most) is up, however fast this failed.
                self.mark_outage(&scope, row_at.max(now - 2.0));
            }
        }
        false
    }
}
