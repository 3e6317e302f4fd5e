//! Senders of a run: inputs to their policies, final answers, starts and ends.

use super::*;

impl Run<'_> {
    /// Gives an input to a policy and does what it asks for.
    pub(super) fn input(&mut self, sender: u32, give: impl FnOnce(&mut dyn Policy, &mut Desk)) {
        let Some(mut policy) = self.hosts[sender as usize].policy.take() else { return };
        let mut desk = std::mem::take(&mut self.desk);
        self.measures.counts.inputs += 1;
        give(&mut *policy, &mut desk);
        self.hosts[sender as usize].policy = Some(policy);
        let now = self.queue.now();
        let life = self.hosts[sender as usize].life;
        for act in desk.acts.drain(..) {
            match act {
                Act::Attempt { webhook, ep, stop_at } => self.attempt(now, sender, webhook, ep, stop_at),
                Act::CallOff { webhook, .. } => {
                    let hook = (webhook as usize).checked_sub(1).and_then(|i| self.hooks.get(i));
                    if let Some(call) = hook.and_then(|h| h.call) {
                        self.queue.put(now, Event::CalledOff { call });
                    }
                }
                Act::Reject { webhook, come_back } => self.end(now, webhook, Final::Rejected, come_back),
                Act::DeadLetter { webhook } => self.end(now, webhook, Final::DeadLettered, 0.0),
                Act::Wake { after, handle } => {
                    self.queue.put(now + nanos(after), Event::Wake { sender, life, handle });
                }
                Act::Watch(on) => self.watch_list(now, sender, on),
                Act::CloseIdle { ep } => {
                    let closed = self.hosts[sender as usize].idle.remove(&ep).map_or(0, |p| p.len());
                    self.fleet.endpoints[ep as usize].connections -= closed;
                }
                // A hundred lines tell what is wrong with a policy.
                Act::Log(text) if self.policy_messages.len() < 100 => {
                    self.policy_messages.push(format!("{:.3} sender {sender}: {text}", seconds(now)));
                }
                Act::Log(_) => {}
            }
        }
        self.desk = desk;
    }

    #[allow(clippy::too_many_arguments)]
    pub(super) fn outcome(
        &mut self, now: Nanos, sender: u32, webhook: u64, ep: u32, outcome: Outcome, took: f64, ended: bool,
        report: Option<(f64, f64)>,
    ) {
        let name = std::mem::take(&mut self.fleet.names[ep as usize]);
        self.input(sender, |p, out| {
            p.attempt_ended(seconds(now), webhook, &name, outcome, took, ended, report, out)
        });
        self.fleet.names[ep as usize] = name;
    }

    pub(super) fn end(&mut self, now: Nanos, webhook: u64, end: Final, come_back: f64) {
        let Some(hook) = (webhook as usize).checked_sub(1).and_then(|i| self.hooks.get_mut(i)) else {
            return;
        };
        let (message, sender, first) = (hook.message, hook.sender, !hook.ended);
        hook.ended = true;
        let (taken_at, ran) = (hook.taken_at, hook.ran.is_some());
        // A second answer is written down, for the rules to see; nothing else comes of it.
        self.log(LogEvent::End { webhook, sender, end });
        if !first {
            return;
        }
        self.hosts[sender as usize].open.remove(&webhook);
        self.measures.at_senders.leave(now, taken_at);
        let m = &mut self.messages[message as usize];
        let t = &self.world.event_types[usize::from(m.event_type)];
        let counts = &mut self.measures.counts;
        match end {
            Final::Delivered => {
                counts.delivered += 1;
                let (first_at, value) = (m.first_at, t.value * worth(t, seconds(now - m.first_at)));
                if !m.over {
                    self.measures.won(first_at, now, value);
                }
                self.done(message);
            }
            Final::Rejected => {
                counts.rejected += 1;
                m.again += 1;
                if m.over || m.again > self.world.clients.retries {
                    self.done(message);
                } else {
                    self.again(now, message, come_back);
                }
            }
            Final::DeadLettered => {
                counts.dead_lettered += 1;
                self.done(message);
            }
            Final::Withdrawn => {
                counts.withdrawn += 1;
                self.done(message);
            }
            Final::Gone => {
                if !ran || t.effect == Effect::Idempotent || (t.effect == Effect::Tokened && t.by_all) {
                    self.again(now, message, 0.0);
                } else {
                    self.done(message);
                }
            }
        }
    }

    pub(super) fn start(&mut self, sender: u32) {
        let now = self.queue.now();
        let h = &mut self.hosts[sender as usize];
        if h.up() {
            return;
        }
        h.life += 1;
        h.watching = false;
        let life = h.life;
        let seed = mix(self.seed ^ mix(u64::from(sender) << 32 | u64::from(life)));
        let start = SenderStart { now: seconds(now), seed, sender_index: sender as usize, world: self.world };
        h.policy = Some((self.maker)(start));
        self.log(LogEvent::Started { sender });
        let known: Vec<(u32, Listed)> = numbered(&self.hosts[sender as usize].known);
        self.tell(now, sender, ListUpdate::Remembered, &known);
        let open: Vec<u64> = self.hosts[sender as usize].open.iter().copied().collect();
        for webhook in open {
            let hook = &self.hooks[webhook as usize - 1];
            // An earlier one of the same turn may have been its end.
            if !hook.ended {
                self.give(now, webhook, Some((hook.tries, hook.ran)));
            }
        }
        if !self.world.list.ask && now > 0 {
            self.send_list(now, sender, ListUpdate::Whole, self.whole_list(sender));
        }
    }

    pub(super) fn die(&mut self, now: Nanos, sender: u32) {
        let h = &mut self.hosts[sender as usize];
        if h.policy.take().is_none() {
            return;
        }
        h.dead_since = now;
        let outgoing = std::mem::take(&mut h.outgoing);
        let calls: Vec<u32> = std::mem::take(&mut h.calls).into_iter().collect();
        for (ep, pool) in std::mem::take(&mut h.idle) {
            self.fleet.endpoints[ep as usize].connections -= pool.len();
        }
        let open: Vec<u64> = h.open.iter().copied().collect();
        self.noticed_at[sender as usize] =
            now + nanos(self.world.senders.notice_s.draw(&mut self.chance.front));
        self.log(LogEvent::Killed { sender });
        for at in calls {
            let c = &mut self.calls[at as usize];
            let (ep, sent_at) = (c.ep, c.sent_at);
            let zone = self.fleet.endpoints[ep as usize].zone;
            for webhook in std::mem::take(&mut c.hooks) {
                let hook = &mut self.hooks[webhook as usize - 1];
                hook.call = None;
                hook.ran = hook.ran.or(Some((zone, sent_at)));
            }
            self.leave(at);
        }
        // Written down before they went out: they may have run.
        for (webhook, ep) in outgoing.iter().flat_map(|b| b.webhooks.iter().map(move |w| (*w, b.ep))) {
            let hook = &mut self.hooks[webhook as usize - 1];
            hook.ran = hook.ran.or(Some((self.fleet.endpoints[ep as usize].zone, now)));
        }
        if !self.world.senders.journal {
            for webhook in open {
                self.end(now, webhook, Final::Gone, 0.0);
            }
        }
    }
}
