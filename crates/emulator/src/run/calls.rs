//! Calls of a run: from an attempt over its connection and the work at its endpoint to its outcome.

use super::*;

impl Run<'_> {
    /// An attempt goes out with this turn; webhooks for one endpoint go as one call where it takes batches.
    pub(super) fn attempt(&mut self, now: Nanos, sender: u32, webhook: u64, ep: u32, stop_at: f64) {
        let Some(hook) = (webhook as usize).checked_sub(1).and_then(|i| self.hooks.get_mut(i)) else {
            return;
        };
        let kind = self.fleet.destinations[self.fleet.endpoints[ep as usize].dest as usize].kind;
        let batch = self.world.destination_kinds[usize::from(kind)].batch;
        let host = &mut self.hosts[sender as usize];
        let out = host.calls.len() + host.outgoing.len();
        let joins = host.outgoing.iter_mut().find(|b| b.ep == ep && b.webhooks.len() < batch);
        let no_slot = joins.is_none() && out >= self.world.senders.slots;
        // What is over, or was tried too often, or finds no slot, is not sent.
        if hook.ended || hook.tries >= self.world.senders.attempts || no_slot {
            let life = host.life;
            return self.queue.put(now, Event::Moot { sender, life, webhook, ep, no_slot });
        }
        hook.tries += 1;
        let stop = nanos(stop_at.max(0.0));
        match joins {
            Some(b) => {
                // The earliest, so that none of them is answered too late.
                b.stop = b.stop.min(stop);
                b.webhooks.push(webhook);
            }
            None => host.outgoing.push(Batch { ep, stop, webhooks: vec![webhook] }),
        }
        if !std::mem::replace(&mut host.flushing, true) {
            self.queue.put_last(Event::Flush { sender });
        }
        self.measures.counts.attempts += 1;
        self.measures.at(now).attempts += 1;
        self.log(LogEvent::Attempt { webhook, sender, ep });
    }

    pub(super) fn flush(&mut self, now: Nanos, sender: u32) {
        let host = &mut self.hosts[sender as usize];
        host.flushing = false;
        for b in std::mem::take(&mut host.outgoing) {
            self.launch(now, sender, b.ep, b.stop, b.webhooks);
        }
    }

    pub(super) fn launch(&mut self, now: Nanos, sender: u32, ep: u32, stop: Nanos, hooks: Vec<u64>) {
        let at = self.free.pop().unwrap_or_else(|| {
            self.calls.push(Call::default());
            self.calls.len() as u32 - 1
        });
        let turn = self.calls[at as usize].turn + 1;
        let place = (at, turn);
        for webhook in &hooks {
            self.hooks[*webhook as usize - 1].call = Some(place);
        }
        self.measures.counts.calls += 1;
        let p = self.world.net.resets + self.faults.sum(sender, ep, FaultKind::Resets);
        let reset = if p > 0.0 && self.chance.net.random::<f64>() < p {
            1 + u8::from(self.chance.net.random::<bool>())
        } else {
            0
        };
        let call = Call { turn, sender, ep, hooks, sent_at: now, reset, ..Call::default() };
        self.calls[at as usize] = call;
        self.hosts[sender as usize].calls.insert(at);
        self.queue.put(stop, Event::Stop { call: place });
        self.connect(now, place, sender, ep);
    }

    pub(super) fn connect(&mut self, now: Nanos, place: Place, sender: u32, ep: u32) {
        let (world, at) = (self.world, place.0 as usize);
        let idle_for = nanos(world.senders.idle_s);
        let expired = self.hosts[sender as usize].expire(now, ep, idle_for);
        self.fleet.endpoints[ep as usize].connections -= expired;
        if let Some(since) = self.hosts[sender as usize].take_idle(ep) {
            self.calls[at].connected = true;
            let forgets =
                self.faults.between(sender, ep, FaultKind::Forgets).any(|f| now >= since + nanos(f.size));
            if forgets {
                self.calls[at].gone = true;
            } else {
                let reaches = self.way(now, sender, ep, FaultKind::StallOut);
                self.queue.put(reaches, Event::Reached { call: place });
            }
            return;
        }
        let trip = self.way(now, sender, ep, FaultKind::StallOut) - now;
        let back = self.way(now, sender, ep, FaultKind::StallBack) - now;
        let fails = |q: &mut Queue<Event>, after| {
            q.put(
                now + after,
                Event::Answer { call: place, told: Told::ConnectFailed, wait: 0, report: None },
            );
        };
        let patience = nanos(world.senders.connect_timeout_s);
        if self.faults.met(sender, ep, FaultKind::Silent) {
            return fails(&mut self.queue, patience);
        }
        let refuses = self.fleet.endpoints[ep as usize].fallen
            || self.faults.met(sender, ep, FaultKind::Down)
            || self.faults.met(sender, ep, FaultKind::Leave);
        let k = &world.destination_kinds
            [usize::from(self.fleet.destinations[self.fleet.endpoints[ep as usize].dest as usize].kind)];
        if !refuses && self.fleet.endpoints[ep as usize].connections >= k.connections {
            // Idle ones that have ended by now make room.
            let gone: usize = self.hosts.iter_mut().map(|h| h.expire(now, ep, idle_for)).sum();
            self.fleet.endpoints[ep as usize].connections -= gone;
        }
        if refuses || self.fleet.endpoints[ep as usize].connections >= k.connections {
            return fails(&mut self.queue, (trip + back).min(patience));
        }
        let slow = nanos(self.faults.sum(sender, ep, FaultKind::SlowConnect));
        let shakes = ((trip + back) as f64 * world.net.handshakes).round() as Nanos + slow;
        if shakes > patience {
            return fails(&mut self.queue, patience);
        }
        self.measures.counts.connections += 1;
        self.fleet.endpoints[ep as usize].connections += 1;
        self.calls[at].connected = true;
        self.queue.put(now + shakes, Event::Up { call: place });
    }

    /// A new connection is up: the call goes out on it if it still may, as in the sender on sockets. A repeat that
    /// was decided in time could otherwise arrive when nobody knows it for one any more.
    pub(super) fn up(&mut self, now: Nanos, place: Place) {
        let Some(call) = self.current(place) else { return };
        let (sender, ep, left) = (call.sender, call.ep, call.left);
        if left {
            // Its sender closed the connection before anything was written to it.
            return self.vanish(place.0);
        }
        let name = &self.fleet.names[ep as usize];
        let policy = self.hosts[sender as usize].policy.as_deref();
        let may = |w: &u64| policy.is_some_and(|p| p.may_send(seconds(now), *w, name));
        if call.hooks.iter().all(may) {
            let reaches = self.way(now, sender, ep, FaultKind::StallOut);
            return self.queue.put(reaches, Event::Reached { call: place });
        }
        let call = &mut self.calls[place.0 as usize];
        call.gone = true;
        // The connection itself is as good as any.
        call.connected = false;
        self.hosts[sender as usize].idle.entry(ep).or_default().push(now);
        self.finish(now, place, Told::HeldBack, 0, None);
    }

    /// When a message that leaves now arrives: the way of its zones, what is lost sent again, and no sooner than a
    /// stall in its direction is over.
    pub(super) fn way(&mut self, now: Nanos, sender: u32, ep: u32, stall: FaultKind) -> Nanos {
        let net = &self.world.net;
        let same = self.hosts[sender as usize].zone == self.fleet.endpoints[ep as usize].zone;
        let with = &mut self.chance.net;
        let mut takes = if same { net.same.draw(with) } else { net.cross.draw(with) };
        takes += self.faults.sum(sender, ep, FaultKind::Delay);
        let loss = (net.loss + self.faults.sum(sender, ep, FaultKind::Loss)).min(0.99);
        let mut pause = net.resend_s;
        while loss > 0.0 && with.random::<f64>() < loss {
            takes += pause;
            pause = (pause * 2.0).min(60.0);
        }
        (now.max(self.faults.over_at(sender, ep, stall))) + nanos(takes)
    }

    pub(super) fn current(&self, place: Place) -> Option<&Call> {
        self.calls.get(place.0 as usize).filter(|c| c.turn == place.1)
    }

    pub(super) fn answer(
        &mut self, now: Nanos, call: Place, told: Told, wait: Nanos, report: Option<(f64, f64)>,
    ) {
        let (sender, ep) = (self.calls[call.0 as usize].sender, self.calls[call.0 as usize].ep);
        let at = self.way(now, sender, ep, FaultKind::StallBack);
        self.queue.put(at, Event::Answer { call, told, wait, report });
    }

    pub(super) fn reached(&mut self, now: Nanos, place: Place) {
        let Some(call) = self.current(place) else { return };
        let (sender, ep, reset) = (call.sender, call.ep, call.reset);
        if self.faults.met(sender, ep, FaultKind::Silent) {
            return self.vanish(place.0);
        }
        let down =
            self.faults.met(sender, ep, FaultKind::Down) || self.faults.met(sender, ep, FaultKind::Leave);
        if down || self.fleet.endpoints[ep as usize].fallen || reset == 1 {
            return self.answer(now, place, Told::Reset, 0, None);
        }
        self.log(LogEvent::Call { sender, ep });
        let fall = self.fleet.pushed_over(now, ep, &self.world.rules);
        if !fall.is_empty() {
            self.measures.counts.falls += 1;
            self.log(LogEvent::Fell { ep });
            for e in fall {
                self.fleet.endpoints[e as usize].fallen = true;
                self.outage(now, e);
                self.drop_all(now, e);
                self.queue.put(now + nanos(self.world.rules.fallen_s), Event::Recover { ep: e });
            }
            if self.fleet.endpoints[ep as usize].fallen {
                return self.answer(now, place, Told::Reset, 0, None);
            }
        }
        let kind = self.fleet.destinations[self.fleet.endpoints[ep as usize].dest as usize].kind;
        let k = &self.world.destination_kinds[usize::from(kind)];
        let factor = self.faults.product(sender, ep, FaultKind::Limit);
        let refused = if self.faults.met(sender, ep, FaultKind::Shut) {
            Some(self.faults.over_at(sender, ep, FaultKind::Shut).saturating_sub(now))
        } else {
            self.fleet.take(now, ep, factor).err()
        };
        let report = k.reports.then(|| self.fleet.report(ep, factor));
        if let Some(wait) = refused {
            let tells = k.tells_wait > 0.0 && self.chance.service.random::<f64>() < k.tells_wait;
            return self.answer(now, place, Told::Full, if tells { wait } else { 0 }, report);
        }
        if self.faults.met(sender, ep, FaultKind::Hang) {
            self.accept(now, place.0, false);
            self.ran(place.0, ep);
            return self.vanish(place.0);
        }
        let e = &mut self.fleet.endpoints[ep as usize];
        if e.busy >= e.workers && e.waiting.len() >= k.queue {
            return self.answer(now, place, Told::Full, 0, report);
        }
        e.waiting.push_back(place.0);
        let p = k.errors.max(self.faults.sum(sender, ep, FaultKind::Errors));
        let fails = p > 0.0 && self.chance.service.random::<f64>() < p;
        self.accept(now, place.0, fails);
        self.calls[place.0 as usize].there = Some(now);
        self.measures.at_endpoints.enter(now);
        self.measures.waited.enter(now);
        self.work(now, ep);
    }

    /// An endpoint takes a call in: what it will run is known from now on.
    pub(super) fn accept(&mut self, now: Nanos, at: u32, fails: bool) {
        let runs = !fails || self.chance.service.random::<bool>();
        let ep = self.calls[at as usize].ep;
        let hooks = std::mem::take(&mut self.calls[at as usize].hooks);
        let mut known = Vec::new();
        for webhook in hooks.iter().filter(|_| runs) {
            let message = self.hooks[*webhook as usize - 1].message;
            let t = &self.world.event_types[usize::from(self.messages[message as usize].event_type)];
            let tokened = t.effect == Effect::Tokened;
            known.push(tokened && self.fleet.knows(now, ep, message, t.by_all, nanos(t.known_s)));
        }
        let call = &mut self.calls[at as usize];
        (call.hooks, call.known, call.fails, call.runs) = (hooks, known, fails, runs);
    }

    /// An endpoint runs what a call carries.
    pub(super) fn ran(&mut self, at: u32, ep: u32) {
        let call = &self.calls[at as usize];
        let webhooks: Vec<(u64, bool)> = call.hooks.iter().copied().zip(call.known.iter().copied()).collect();
        for (webhook, known) in webhooks {
            self.measures.counts.known_repeats += u64::from(known);
            self.log(LogEvent::Ran { webhook, ep, known });
        }
    }

    /// Free workers of an endpoint take what waits, in its order.
    pub(super) fn work(&mut self, now: Nanos, ep: u32) {
        while self.fleet.endpoints[ep as usize].busy < self.fleet.endpoints[ep as usize].workers {
            let Some(at) = self.fleet.endpoints[ep as usize].waiting.pop_front() else { return };
            let dest = self.fleet.endpoints[ep as usize].dest;
            let k = &self.world.destination_kinds[usize::from(self.fleet.destinations[dest as usize].kind)];
            let call = &self.calls[at as usize];
            let (sender, came) = (call.sender, call.there.unwrap_or(now));
            self.measures.waited.leave(now, came);
            if k.cancels && call.left {
                self.measures.at_endpoints.leave(now, came);
                self.vanish(at);
                continue;
            }
            let many = call.hooks.len().max(1);
            if call.runs {
                self.ran(at, ep);
            }
            let part = self.fleet.part(now, ep, &self.world.rules);
            let slow = self.faults.product(sender, ep, FaultKind::Slow);
            let takes = work(k, many, &mut self.chance.service) * slow / part;
            let done = self.faults.done_at(now, ep, takes);
            let place = (at, self.calls[at as usize].turn);
            self.fleet.endpoints[ep as usize].busy += 1;
            self.fleet.endpoints[ep as usize].running.push(at);
            self.queue.put(done, Event::Served { call: place });
        }
    }

    pub(super) fn served(&mut self, now: Nanos, place: Place) {
        // Dropped when its endpoint went down: it is no longer there.
        let Some(call) = self.current(place).filter(|c| c.there.is_some()) else { return };
        let (sender, ep, reset, fails) = (call.sender, call.ep, call.reset, call.fails);
        let came = self.calls[place.0 as usize].there.take().unwrap_or(now);
        let e = &mut self.fleet.endpoints[ep as usize];
        e.busy -= 1;
        e.running.retain(|c| *c != place.0);
        self.measures.at_endpoints.leave(now, came);
        let mute =
            self.faults.met(sender, ep, FaultKind::Silent) || self.faults.met(sender, ep, FaultKind::Hang);
        if mute {
            self.vanish(place.0);
        } else {
            let told = if reset == 2 {
                Told::Reset
            } else if fails {
                Told::Failed
            } else {
                Told::Delivered
            };
            let dest = self.fleet.endpoints[ep as usize].dest;
            let k = &self.world.destination_kinds[usize::from(self.fleet.destinations[dest as usize].kind)];
            let factor = self.faults.product(sender, ep, FaultKind::Limit);
            let report = (k.reports && told != Told::Reset).then(|| self.fleet.report(ep, factor));
            // One that reports its limit may also tell with a good answer how long it is used up.
            let mut wait = if k.reports && told == Told::Delivered { self.fleet.used_up(now, ep) } else { 0 };
            if wait > 0 && self.chance.service.random::<f64>() >= k.tells_wait {
                wait = 0;
            }
            self.answer(now, place, told, wait, report);
        }
        self.work(now, ep);
    }

    /// An endpoint goes down: connections end, and what it worked on or had waiting is reset.
    pub(super) fn drop_all(&mut self, now: Nanos, ep: u32) {
        let e = &mut self.fleet.endpoints[ep as usize];
        e.busy = 0;
        let running = std::mem::take(&mut e.running);
        let waiting = std::mem::take(&mut e.waiting);
        for at in &waiting {
            let call = &self.calls[*at as usize];
            self.measures.waited.leave(now, call.there.unwrap_or(now));
            // What did not run must not be taken for a repeat when it comes again.
            for (webhook, _) in call.hooks.iter().zip(&call.known).filter(|(_, known)| !**known) {
                self.fleet.forget(ep, self.hooks[*webhook as usize - 1].message);
            }
        }
        for at in running.into_iter().chain(waiting) {
            let came = self.calls[at as usize].there.take().unwrap_or(now);
            self.measures.at_endpoints.leave(now, came);
            let place = (at, self.calls[at as usize].turn);
            self.answer(now, place, Told::Reset, 0, None);
        }
        let idle: usize = self.hosts.iter_mut().filter_map(|h| h.idle.remove(&ep)).map(|p| p.len()).sum();
        self.fleet.endpoints[ep as usize].connections -= idle;
    }

    pub(super) fn answered(
        &mut self, now: Nanos, place: Place, told: Told, wait: Nanos, report: Option<(f64, f64)>,
    ) {
        let Some(call) = self.current(place) else { return };
        let (sender, ep, left) = (call.sender, call.ep, call.left);
        self.calls[place.0 as usize].gone = true;
        if left {
            return self.free_if_over(place.0);
        }
        let keeps = matches!(told, Told::Delivered | Told::Failed | Told::Full);
        if keeps && std::mem::take(&mut self.calls[place.0 as usize].connected) {
            self.hosts[sender as usize].idle.entry(ep).or_default().push(now);
        }
        self.finish(now, place, told, wait, report);
    }

    /// A call is over for its sender.
    pub(super) fn finish(
        &mut self, now: Nanos, place: Place, told: Told, wait: Nanos, report: Option<(f64, f64)>,
    ) {
        let Some(call) = self.current(place).filter(|c| !c.left) else { return };
        let (sender, ep, sent_at) = (call.sender, call.ep, call.sent_at);
        let counts = &mut self.measures.counts;
        match told {
            Told::Failed => counts.failed += 1,
            Told::Full => counts.full += 1,
            Told::TimedOut | Told::Cancelled => counts.timed_out += 1,
            Told::ConnectFailed => counts.connect_failed += 1,
            Told::Reset => counts.reset += 1,
            Told::HeldBack => counts.held_back += 1,
            Told::Delivered | Told::Moot => {}
        }
        let wait_s = seconds(wait);
        let outcome = match told {
            Told::Delivered => Outcome::Delivered,
            Told::Failed => Outcome::Failed,
            Told::Full => Outcome::Full(wait_s),
            Told::TimedOut => Outcome::TimedOut,
            Told::ConnectFailed => Outcome::ConnectFailed,
            Told::Reset => Outcome::Reset,
            Told::Cancelled => Outcome::Cancelled,
            Told::Moot => Outcome::Moot(false),
            Told::HeldBack => Outcome::Moot(true),
        };
        self.hosts[sender as usize].calls.remove(&place.0);
        let hooks = self.calls[place.0 as usize].hooks.clone();
        self.leave(place.0);
        let may_run = matches!(told, Told::Failed | Told::TimedOut | Told::Reset | Told::Cancelled);
        let zone = self.fleet.endpoints[ep as usize].zone;
        for webhook in &hooks {
            let hook = &mut self.hooks[*webhook as usize - 1];
            hook.call = None;
            if may_run && hook.ran.is_none() {
                hook.ran = Some((zone, sent_at));
            }
            let full_wait = if told == Told::Full { wait } else { 0 };
            self.log(LogEvent::Outcome { webhook: *webhook, sender, ep, told, wait: full_wait });
            if told == Told::Delivered && !self.hooks[*webhook as usize - 1].ended {
                self.end(now, *webhook, Final::Delivered, 0.0);
            }
        }
        for webhook in hooks {
            let ended = self.hooks[webhook as usize - 1].ended;
            self.outcome(now, sender, webhook, ep, outcome, seconds(now - sent_at), ended, report);
        }
        if told == Told::Delivered && wait > 0 {
            self.log(LogEvent::Wait { sender, ep, wait });
            let name = std::mem::take(&mut self.fleet.names[ep as usize]);
            self.input(sender, |p, out| p.wait_requested(seconds(now), &name, wait_s, out));
            self.fleet.names[ep as usize] = name;
        }
    }

    /// The sender has no more to do with a call.
    pub(super) fn leave(&mut self, at: u32) {
        let c = &mut self.calls[at as usize];
        c.left = true;
        let ep = c.ep as usize;
        if std::mem::take(&mut c.connected) {
            self.fleet.endpoints[ep].connections -= 1;
        }
        self.free_if_over(at);
    }

    /// Nothing is left of a call on the way or at its endpoint.
    pub(super) fn vanish(&mut self, at: u32) {
        self.calls[at as usize].gone = true;
        self.calls[at as usize].there = None;
        self.free_if_over(at);
    }

    pub(super) fn free_if_over(&mut self, at: u32) {
        let c = &mut self.calls[at as usize];
        if c.left && c.gone {
            // Events that still name it see by the turn that it is another's place.
            *c = Call { turn: c.turn + 1, ..Call::default() };
            self.free.push(at);
        }
    }
}
