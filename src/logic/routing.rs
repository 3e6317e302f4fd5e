//! The ordinary route of a webhook: gates, score, argmax with a margin, hash ties; and the calls that go out by it.

use super::*;

impl Logic {
    /// Looks at a destination where something changed; with calls out each time (patience follows all).
    pub(super) fn look(&mut self, dest: u64) {
        let (now, idle_for, waits) = (self.now, self.idle_for, self.held.any_for(dest));
        let eps = self.dests.get(&dest).map_or(&[][..], Vec::as_slice);
        let (mut idle, mut open) = (self.held.ready.contains_key(&dest), false);
        let (mut next, mut again) = (f64::INFINITY, f64::INFINITY);
        for (ep, r) in eps.iter().filter_map(|ep| Some((ep, self.routes.get(ep)?))) {
            let free = r.links > r.calls.len() && !waits;
            self.spare.set(&r.kind, ep, [free, free && r.call_gap > idle_for]);
            idle &= r.calls.is_empty();
            if idle {
                let at = self.opens_at(ep, r);
                open |= at <= now;
                next = if at > now { next.min(at) } else { next };
                // The rate that is told changes as reports of it grow old.
                let m = self.meters.get(&Self::scope(ep, r));
                let old = m.into_iter().flat_map(|m| &m.limits).map(|l| l.0 + 5.0).filter(|t| *t > now);
                again = old.fold(again, f64::min);
            }
        }
        if idle {
            self.gates.set(dest, open, next, again)
        } else {
            self.gates.set(dest, false, f64::INFINITY, f64::INFINITY)
        }
    }

    /// Destinations with webhooks to send and calls out.
    pub(super) fn active(&self) -> BTreeSet<u64> {
        let (out, ready) = (&self.out, &self.held.ready);
        // Through the shorter of the two.
        if out.len() < ready.len() {
            out.keys().filter(|d| ready.contains_key(d)).copied().collect()
        } else {
            ready.keys().filter(|d| out.contains_key(d)).copied().collect()
        }
    }

    /// Destinations with webhooks to send where a route may take a call now, in order.
    pub(super) fn movable(&self) -> BTreeSet<u64> {
        let mut all = self.active();
        // Without a free slot only calls of this turn take more, and those are out.
        all.extend(self.gates.open().iter().filter(|_| self.busy < self.caps.slots));
        all
    }

    /// The design's score, from what is measured; kept at the route, as it changes with that alone.
    pub(super) fn score(samples: &VecDeque<Sample>) -> f64 {
        let n = samples.len() as f64;
        let (mut done, mut fast, mut calm) = (1.0, 0.5, 1.0);
        if n >= 5.0 {
            done = samples.iter().filter(|s| s.good).count() as f64 / n;
            let mean = samples.iter().map(|s| s.took).sum::<f64>() / n;
            // From a quick answer to one past any target latency.
            fast = 1.0 - (mean.clamp(0.1, 3.0) - 0.1) / 2.9;
            calm = 1.0 - samples.iter().filter(|s| s.incident).count() as f64 / n;
        }
        0.5 * done + 0.3 * fast + 0.2 * calm
    }

    pub(super) fn gated(&self, ep: &Name, r: &Route) -> bool {
        // Until one back from an outage has answered, a call takes one webhook: a full one is as much work as three.
        let well_at = self.meters.get(&Self::scope(ep, r)).and_then(|m| m.well_at);
        let unknown = r.outage && well_at.is_none_or(|at| at < r.back.unwrap_or(f64::INFINITY));
        let room = |c: &Call| c.at == self.now && !c.trial && !unknown && c.webhooks.len() < r.batch;
        let joins = r.calls.last().is_some_and(room);
        let at = if joins && r.ready { self.pace_end(ep, r, true) } else { self.free_at(ep, r) };
        r.open || at > self.now
    }

    /// Routes of a destination that may take a call now, best first.
    pub(super) fn routes_now(&self, dest: u64) -> Vec<&Name> {
        let Some(eps) = self.dests.get(&dest) else { return Vec::new() };
        let free = |ep: &&Name| self.routes.get(*ep).is_some_and(|r| !self.gated(ep, r));
        let score = |ep: &Name| self.routes.get(ep).map_or(0.0, |r| r.score);
        let mut scored: Vec<(f64, &Name)> = eps.iter().filter(free).map(|ep| (score(ep), ep)).collect();
        let top = scored.iter().map(|s| s.0).fold(f64::NEG_INFINITY, f64::max);
        let stays = self.current.get(&dest);
        // Within 0.05 of the top all tie: the current route stays, else the hash decides.
        // One whose last call did not go well comes after the others: for 10 s, as long as samples count.
        scored.sort_by_cached_key(|(score, ep)| {
            let (r, ties) = (&self.routes[*ep], *score >= top - 0.05);
            let unwell = r.unwell_at.is_some_and(|t| t > self.now - 10.0);
            let tied = (unwell, Moment(r.way), Some(*ep) != stays, hash(self.number, ep));
            (Moment(if ties { -9.0 } else { -score }), tied)
        });
        scored.into_iter().map(|s| s.1).collect()
    }

    pub(super) fn sendable(&self) -> Option<Pick> {
        let mut best: Option<(Rank, u64, Name)> = None;
        for dest in self.movable() {
            let routes = self.routes_now(dest);
            let (Some(first), Some(groups)) = (routes.first(), self.held.ready.get(&dest)) else { continue };
            let usual = self.routes[*first].slow;
            let mut here: Option<(Rank, u64, u64, &Name)> = None;
            for (group, queue) in groups {
                let fits = |ep: &&&Name| group.2.as_ref().is_none_or(|zone| *zone == self.routes[**ep].zone);
                let Some(ep) = routes.iter().find(fits) else { continue };
                let at = self.now + usual;
                let value = |id| self.webhooks.get(&id).map_or(0.0, |w| self.value(w, at));
                let Some((place, id)) = queue.first(at, value) else { continue };
                let rank = self.rank(&self.webhooks[&id], usual);
                if here.as_ref().is_none_or(|h| (rank, place) < (h.0, h.1)) {
                    here = Some((rank, place, id, ep));
                }
            }
            if let Some((rank, _, id, ep)) = here.filter(|h| best.as_ref().is_none_or(|b| h.0 < b.0)) {
                best = Some((rank, id, ep.clone()));
            }
        }
        best.map(|(_, id, ep)| Pick::Send(id, ep))
    }

    /// An open circuit admits one trial call when its time has come: the webhook that loses least by it.
    pub(super) fn trial_due(&self) -> Option<Pick> {
        for dest in self.movable() {
            let eps = self.dests.get(&dest).into_iter().flatten();
            let eps = eps.filter_map(|ep| Some((ep, self.routes.get(ep)?)));
            for (ep, r) in eps.filter(|(ep, r)| r.open && self.free_at(ep, r) <= self.now) {
                let able = |g: &Group| g.2.as_ref().is_none_or(|zone| *zone == r.zone);
                let is = |g: &Group, e| self.types.get(&g.0).is_some_and(|t| t.effect == e);
                let harm = |g: &Group| (is(g, RepeatSafety::AtMostOnce), is(g, RepeatSafety::Tokened));
                let groups = self.held.ready.get(&dest).into_iter().flatten().filter(|(g, _)| able(g));
                let firsts = groups.filter_map(|(g, q)| Some((harm(g), q.by_place.first_key_value()?)));
                if let Some((_, (_, id))) = firsts.min() {
                    return Some(Pick::Send(*id, ep.clone()));
                }
            }
        }
        None
    }

    pub(super) fn send(&mut self, pick: Pick, out: &mut dyn ActionSink) {
        let Pick::Send(id, ep) = pick else { return };
        let (now, senders) = (self.now, self.senders);
        let (Some(w), Some(r)) = (self.webhooks.get(&id), self.routes.get(&ep)) else { return };
        let (scope, stop_at, dest, trial) = (Self::scope(&ep, r), self.stop_at(w, r), w.dest, r.open);
        let turn = self.turn(r, self.meters.get(&scope), r.bad_since - 2.0);
        // An even part, 1.3 where routes share a limit; up to a call a second where one comes once in a TTL
        // or less, as chance decides then who has something to send; else that would jam the limit.
        let ttl = self.types.values().map(|t| t.ttl).fold(f64::INFINITY, f64::min);
        let rate = if r.rate > 0.0 { r.rate } else { self.rate(r, self.meters.get(&scope)) };
        let thin = (senders / (rate * ttl)).min(1.0);
        let share = (if r.apart { 1.0 } else { 1.3 } / senders).max(thin / rate);
        // Half a second: a connection in steady use is never idle for so long.
        let mut idle = r.links > r.calls.len() && now - r.used > 0.5;
        if idle && self.links_go_stale() {
            // A handshake costs less than a lost call. It hurts only where the losses had another cause.
            idle = false;
            self.close_links(Pick::Route(ep.clone()), out);
        }
        out.start_attempt(id, &ep, stop_at);
        let Some(r) = self.routes.get_mut(&ep) else { return };
        let joined = r.calls.last_mut().filter(|c| c.at == now && !c.trial && c.webhooks.len() < r.batch);
        let m = self.meters.entry(scope).or_default();
        // Where a rate is told but not listed: all of it, unless limits were used up in the last minute.
        if m.least <= 0.0 && rate > 0.0 {
            let all = if now < self.used_up_at + AGE { share } else { share.max(1.0) };
            (m.share, m.least) = if r.rate > 0.0 { (share, 0.5 / senders) } else { (all, 0.5 * share) };
        }
        if let Some(call) = joined {
            call.webhooks.insert(id);
            // A further webhook in a call is some more work for the destination, about a quarter of a call.
            m.cold_due += if r.outage { 0.25 * turn } else { 0.0 };
        } else {
            r.calls.push(Call { at: now, trial, idle, webhooks: BTreeSet::from([id]), ..Call::default() });
            r.links = r.links.max(r.calls.len());
            (r.call_gap, r.call_at) = (now - r.call_at, now);
            self.busy += 1;
            *self.out.entry(dest).or_default() += 1;
            m.cold_due = m.cold_due.max(now) + if r.outage { turn } else { 0.0 };
            m.sent.push_back(now);
            // 400 calls: more than any destination here takes in a second.
            m.sent.drain(..m.sent.len().saturating_sub(400));
        }
        r.used = now;
        self.webhooks.entry(id).and_modify(|w| (w.out, w.tries) = (Some(ep.clone()), w.tries + 1));
        self.held.take(id);
        self.active.insert(ep.clone());
        self.aging.timers.set(ep.clone(), now + AGE);
        self.current.insert(dest, ep);
    }
}
