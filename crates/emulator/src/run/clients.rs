//! Clients of a run: arrivals, hand-ins, and what they do after an answer.

use super::*;

impl Run<'_> {
    pub(super) fn rate_now(&self, now: Nanos) -> f64 {
        let (c, t) = (&self.world.clients, seconds(now));
        let curve = match c.curve {
            Curve::Steady => 1.0,
            Curve::Wave => 1.0 + c.swing * (std::f64::consts::TAU * t / c.swing_s.max(0.001)).sin(),
            Curve::Points => {
                let after = c.points.partition_point(|p| p.0 <= t);
                match (after.checked_sub(1).map(|i| c.points[i]), c.points.get(after)) {
                    (Some(a), Some(b)) => a.1 + (b.1 - a.1) * (t - a.0) / (b.0 - a.0),
                    (Some(p), None) | (None, Some(&p)) => p.1,
                    (None, None) => 1.0,
                }
            }
        };
        let surge =
            |f: &&crate::faults::ScheduledFault| f.kind == FaultKind::Surge && f.from <= now && now < f.to;
        c.rate * curve * self.faults.all.iter().filter(surge).map(|f| f.size).product::<f64>()
    }

    /// Arrivals at the highest rate of the day, thinned to that of the moment (Lewis and Shedler 1979).
    pub(super) fn arrival(&mut self, now: Nanos) {
        let c = &self.world.clients;
        let clump = 1.0 - c.clump_share * (1.0 - 1.0 / c.clump_size.max(1) as f64);
        if now > 0 && self.chance.arrivals.random::<f64>() * self.top_rate < self.rate_now(now) * clump {
            let dest = self.fleet.traffic.draw(&mut self.chance.arrivals) as u32;
            // A share of the webhooks, not of the arrivals, comes in clumps.
            let clumps = c.clump_share / c.clump_size.max(1) as f64 / clump;
            if c.clump_share > 0.0 && self.chance.arrivals.random::<f64>() < clumps {
                for i in 0..c.clump_size {
                    let at = now + nanos(c.clump_s * i as f64 / c.clump_size as f64);
                    self.queue.put(at, Event::Clumped { dest });
                }
            } else {
                self.message(now, dest);
            }
        }
        let gap = self.chance.arrivals.sample::<f64, _>(rand_distr::Exp1) / self.top_rate;
        if now + nanos(gap) < self.length {
            self.queue.put(now + nanos(gap), Event::Arrival);
        }
    }

    pub(super) fn message(&mut self, now: Nanos, dest: u32) {
        let (c, w) = (&self.world.clients, self.world);
        let with = &mut self.chance.clients;
        let event_type = self.event_types_drawn.draw(with) as u16;
        let t = &w.event_types[usize::from(event_type)];
        let left = if c.short_ttl_share > 0.0 && with.random::<f64>() < c.short_ttl_share {
            c.short_s.draw(with).min(t.ttl_s)
        } else {
            t.ttl_s
        };
        let customer = (!w.customers.is_empty()).then(|| self.customers.draw(with) as u16);
        // 0 is no key.
        let key =
            if t.ordered { u64::from(dest) << 20 | (1 + with.random_range(0..c.keys.max(1))) } else { 0 };
        let gives_up = (c.withdraw_share > 0.0 && with.random::<f64>() < c.withdraw_share)
            .then(|| c.withdraw_s.draw(with));
        let (message, ttl_at) = (self.messages.len() as u64, now + nanos(left));
        let (again, webhook, over) = (0, 0, false);
        self.messages.push(Message {
            event_type,
            dest,
            key,
            customer,
            first_at: now,
            ttl_at,
            again,
            webhook,
            over,
        });
        self.living += 1;
        self.measures.counts.messages += 1;
        self.measures.asked(now, t.value);
        if let Some(after) = gives_up {
            self.queue.put(now + nanos(after), Event::Withdraw { message });
        }
        self.hand_in(now, message);
    }

    /// A plain front layer: any sender that is not known to be dead.
    pub(super) fn hand_in(&mut self, now: Nanos, message: u64) {
        let many = self.hosts.len();
        let first = if many > 1 { self.chance.front.random_range(0..many) } else { 0 };
        let fine = |s: &usize| self.hosts[*s].up() || now < self.noticed_at[*s];
        let sender = (0..many).map(|i| (first + i) % many).find(fine).unwrap_or(first) as u32;
        let delay = nanos(self.world.net.client.draw(&mut self.chance.front));
        self.queue.put(now + delay, Event::HandIn { message, sender });
    }

    /// A client comes again after a while, unless there would be no time left.
    pub(super) fn again(&mut self, now: Nanos, message: u64, come_back: f64) {
        let c = &self.world.clients;
        let m = &self.messages[message as usize];
        let grow = if c.doubles { f64::from(1_u32 << m.again.saturating_sub(1).min(6)) } else { 1.0 };
        let mut wait = c.again_s.draw(&mut self.chance.clients) * grow;
        if come_back > 0.0 && self.chance.clients.random::<f64>() < c.heed {
            wait = come_back;
        }
        // 1 ms at least: a client is never faster, and a day must move on.
        let at = now + nanos(wait.max(0.001));
        if at >= m.ttl_at {
            return self.done(message);
        }
        let many = self.hosts.len();
        let first = if many > 1 { self.chance.front.random_range(0..many) } else { 0 };
        let fine = |s: &usize| self.hosts[*s].up() || at < self.noticed_at[*s];
        let sender = (0..many).map(|i| (first + i) % many).find(fine).unwrap_or(first) as u32;
        self.queue.put(at, Event::HandIn { message, sender });
    }

    pub(super) fn done(&mut self, message: u64) {
        if !std::mem::replace(&mut self.messages[message as usize].over, true) {
            self.living -= 1;
        }
    }

    pub(super) fn handed_in(&mut self, now: Nanos, message: u64, sender: u32) {
        let m = &self.messages[message as usize];
        if m.over || now >= m.ttl_at {
            return self.done(message);
        }
        let h = &self.hosts[sender as usize];
        if !h.up() || h.open.len() >= self.world.senders.holds {
            self.measures.counts.refused += 1;
            return self.again(now, message, 0.0);
        }
        let webhook = self.hooks.len() as u64 + 1;
        let (event_type, dest, key, ttl_at) = (m.event_type, m.dest, m.key, m.ttl_at);
        self.hooks.push(Hook {
            message,
            sender,
            taken_at: now,
            tries: 0,
            ran: None,
            call: None,
            ended: false,
        });
        self.messages[message as usize].webhook = webhook;
        self.hosts[sender as usize].open.insert(webhook);
        self.measures.counts.accepted += 1;
        self.measures.at_senders.enter(now);
        let held = self.measures.counts.accepted - self.measures.at_senders.left;
        self.measures.counts.peak_queued = self.measures.counts.peak_queued.max(held);
        self.log(LogEvent::Taken { webhook, message, sender, event_type, dest, key, ttl_at });
        self.give(now, webhook, None);
    }

    /// Gives a webhook to its sender's policy, after a restart with what was made of it.
    pub(super) fn give(&mut self, now: Nanos, webhook: u64, resumed: Option<(u32, Option<(u16, Nanos)>)>) {
        let hook = &self.hooks[webhook as usize - 1];
        let (m, sender) = (&self.messages[hook.message as usize], hook.sender);
        let world = self.world;
        let event_type = &world.event_types[usize::from(m.event_type)].name;
        let key = (m.key > 0).then(|| format!("k{}", m.key));
        let customer = m.customer.map(|c| world.customers[usize::from(c)].name.as_str());
        let (dest, left) = (u64::from(m.dest), m.ttl_at as f64 / 1e9 - seconds(now));
        let (now, key) = (seconds(now), key.as_deref());
        match resumed {
            None => self
                .input(sender, |p, out| p.accept(now, webhook, event_type, dest, key, customer, left, out)),
            Some((tries, ran)) => {
                let zone = ran.map(|r| (self.fleet.zones[usize::from(r.0)].clone(), seconds(r.1)));
                let ran = zone.as_ref().map(|(z, at)| (z.as_str(), *at));
                self.input(sender, |p, out| {
                    p.resume(now, webhook, event_type, dest, key, customer, left, tries, ran, out);
                });
            }
        }
    }

    pub(super) fn withdraw(&mut self, now: Nanos, message: u64) {
        let m = &self.messages[message as usize];
        let (webhook, over) = (m.webhook, m.over);
        if over {
            return;
        }
        self.done(message);
        let Some(hook) = (webhook as usize).checked_sub(1).map(|i| &self.hooks[i]) else { return };
        let (sender, ended) = (hook.sender, hook.ended);
        if !ended && self.hosts[sender as usize].up() {
            self.end(now, webhook, Final::Withdrawn, 0.0);
            self.input(sender, |p, out| p.withdraw(seconds(now), webhook, out));
        }
    }
}
