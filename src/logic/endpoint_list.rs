//! The endpoint list: the watch on it, drains, new endpoints, and routes that are forgotten.

use super::*;

impl Logic {
    pub fn set_list(&mut self, ask: bool, within: f64, pause: f64) {
        let first = ask && !std::mem::replace(&mut self.watch.ask, ask);
        (self.watch.within, self.watch.pause) = (within, pause);
        self.watch.ask_at += if first { self.list_turn() } else { 0.0 };
    }

    pub fn list(&mut self, now: f64, mode: ListUpdate, entries: &[ListedEndpoint]) {
        self.now = now;
        match mode {
            ListUpdate::Refused => {
                // This does not say whether the watch stands: it is asked for again, less often each time.
                self.watch.watching = false;
                self.watch.refusals += 1;
                // Three quarters and a quarter of the longest pause at most.
                let step = (0.4 * f64::from(1 << self.watch.refusals.min(6))).min(self.watch.pause / 2.0);
                let wait = step * (0.5 + self.chance.draw());
                self.watch.ask_at = now + wait + self.list_turn().min(self.watch.pause / 4.0);
                return;
            }
            ListUpdate::Remembered => {}
            ListUpdate::Changes | ListUpdate::Whole => {
                (self.watch.watching, self.watch.refusals) = (self.watch.ask, 0)
            }
        }
        if mode != ListUpdate::Changes {
            for (ep, r) in &mut self.routes {
                r.ready = false;
                self.aging.timers.set(ep.clone(), r.used + AGE);
            }
            self.held.changed.extend(self.held.ready.keys());
        }
        for e in entries {
            let (batch, apart) = self.kinds.get(e.destination_kind).copied().unwrap_or((1, false));
            if !self.routes.contains_key(e.endpoint) {
                let ep: Name = e.endpoint.into();
                self.dests.entry(e.destination).or_default().push(ep.clone());
                let (zone, kind, dest) = (e.zone.into(), e.destination_kind.into(), e.destination);
                let (answered, used, window) = (now, now, self.first_window());
                let mut r =
                    Route { dest, kind, zone, batch, apart, window, answered, used, ..Route::default() };
                r.way = self.ways.get(&r.zone).copied().unwrap_or(0.0);
                (r.slow, r.score) = (Self::slow_end(&r.samples), Self::score(&r.samples));
                self.routes.insert(ep, r);
            }
            let Some(r) = self.routes.get_mut(e.endpoint) else { continue };
            (r.ready, r.rate) = (e.ready, if e.rate_limit.is_finite() { e.rate_limit.max(0.0) } else { 0.0 });
            if !r.ready {
                self.aging.timers.set(e.endpoint.into(), r.used + AGE);
            }
            // One that started lately is cold too: what all senders hold would push it over when they hear of
            // it. Harm: one that is listed as new though it is warm.
            if e.started_at > r.born.max(now - self.cold.warm_up) {
                (r.born, r.outage, r.back) = (e.started_at, true, Some(e.started_at.min(now)));
                let scope = Self::scope(&e.endpoint.into(), &self.routes[e.endpoint]);
                self.come_in_turn(&scope, false);
            }
            self.held.changed.insert(e.destination);
        }
    }

    pub(super) fn watch_due(&self) -> Option<Pick> {
        (self.watch.ask && !self.watch.watching && self.now >= self.watch.ask_at).then_some(Pick::Any)
    }

    /// A turn to ask, as crowds are refused: twenty calls a second from all, in half of the allowed time.
    pub(super) fn list_turn(&mut self) -> f64 {
        self.chance.draw() * (0.05 * (self.senders - 1.0)).min(self.watch.within / 2.0)
    }

    pub(super) fn ask_list(&mut self, _: Pick, out: &mut dyn ActionSink) {
        out.watch_list(true);
        // Asked again well inside the allowed time if no answer comes at all.
        self.watch.ask_at = self.now + self.watch.within / 3.0;
    }

    pub(super) fn aged(&self) -> Option<Pick> {
        if self.now < self.aging.next {
            return None;
        }
        // A route with calls out is in use.
        let old =
            |r: &Route| r.calls.is_empty() && r.used + AGE < self.now && !(r.ready && r.samples.is_empty());
        let found = self.aging.due.iter().find(|ep| self.routes.get(*ep).is_some_and(old));
        found.cloned().map(Pick::Route).or(Some(Pick::Any))
    }

    pub(super) fn forget(&mut self, pick: Pick, _: &mut dyn ActionSink) {
        let Pick::Route(ep) = pick else {
            self.aging.next = self.now + 5.0;
            self.aging.due.clear();
            self.key_rests.retain(|_, t| *t + 1.0 > self.now);
            return;
        };
        let first = self.first_window();
        self.held.changed.extend(self.routes.get(&ep).map(|r| r.dest));
        if let Some(r) = self.routes.get_mut(&ep).filter(|r| r.ready) {
            r.samples.clear();
            (r.slow, r.score) = (Self::slow_end(&r.samples), Self::score(&r.samples));
            (r.bad_row, r.open, r.window) = (0, false, first);
        } else if let Some(r) = self.routes.remove(&ep) {
            self.dests.entry(r.dest).or_default().retain(|x| *x != ep);
            self.spare.set(&r.kind, &ep, [false; 2]);
            let scope = (r.dest, Some(ep));
            if self.meters.get(&scope).is_some_and(|m| m.wait_until <= self.now) {
                self.meters.remove(&scope);
            }
        }
    }
}
