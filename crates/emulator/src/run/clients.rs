//! Clients: they create messages, hand them in to a sender, and retry or withdraw them.

use super::*;

impl Run<'_> {
    /// Webhooks per second at a time of the day.
    pub(super) fn current_rate(&self, now: Nanos) -> f64 {
        let (clients, now_s) = (&self.world.clients, seconds(now));
        let curve = match clients.curve {
            Curve::Steady => 1.0,
            Curve::Wave => {
                1.0 + clients.wave_amplitude
                    * (std::f64::consts::TAU * now_s / clients.wave_period_s.max(0.001)).sin()
            }
            Curve::Points => {
                let next = clients.points.partition_point(|point| point.0 <= now_s);
                match (next.checked_sub(1).map(|index| clients.points[index]), clients.points.get(next)) {
                    (Some(before), Some(after)) => {
                        before.1 + (after.1 - before.1) * (now_s - before.0) / (after.0 - before.0)
                    }
                    (Some(point), None) | (None, Some(&point)) => point.1,
                    (None, None) => 1.0,
                }
            }
        };
        let is_surge = |fault: &&crate::faults::ScheduledFault| {
            fault.kind == FaultKind::Surge && fault.begins_at <= now && now < fault.ends_at
        };
        clients.rate
            * curve
            * self.faults.all.iter().filter(is_surge).map(|fault| fault.size).product::<f64>()
    }

    /// Poisson arrivals drawn at the peak rate of the day and thinned to the current rate (Lewis and Shedler
    /// 1979).
    pub(super) fn handle_arrival(&mut self, now: Nanos) {
        let clients = &self.world.clients;
        let arrivals_per_webhook = 1.0 - clients.clump_share * (1.0 - 1.0 / clients.clump_size.max(1) as f64);
        if now > 0
            && self.generators.arrivals.random::<f64>() * self.peak_rate
                < self.current_rate(now) * arrivals_per_webhook
        {
            let destination_id = self.fleet.traffic.draw(&mut self.generators.arrivals) as u32;
            // `clump_share` is a share of the webhooks, not of the arrivals.
            let clump_probability =
                clients.clump_share / clients.clump_size.max(1) as f64 / arrivals_per_webhook;
            if clients.clump_share > 0.0 && self.generators.arrivals.random::<f64>() < clump_probability {
                for index in 0..clients.clump_size {
                    let at = now + nanos(clients.clump_s * index as f64 / clients.clump_size as f64);
                    self.queue.put(at, Event::ClumpArrival { destination_id });
                }
            } else {
                self.create_message(now, destination_id);
            }
        }
        let gap_s = self.generators.arrivals.sample::<f64, _>(rand_distr::Exp1) / self.peak_rate;
        if now + nanos(gap_s) < self.day_length {
            self.queue.put(now + nanos(gap_s), Event::Arrival);
        }
    }

    /// A client creates a message and hands it in.
    pub(super) fn create_message(&mut self, now: Nanos, destination_id: u32) {
        let (clients, world) = (&self.world.clients, self.world);
        let generator = &mut self.generators.clients;
        let event_type_id = self.event_type_weights.draw(generator) as u16;
        let event_type = &world.event_types[usize::from(event_type_id)];
        let ttl_left_s =
            if clients.short_ttl_share > 0.0 && generator.random::<f64>() < clients.short_ttl_share {
                clients.short_ttl_s.draw(generator).min(event_type.ttl_s)
            } else {
                event_type.ttl_s
            };
        let customer_id = (!world.customers.is_empty()).then(|| self.customer_weights.draw(generator) as u16);
        // 0 stands for no ordering key.
        let key = if event_type.ordered {
            u64::from(destination_id) << 20
                | (1 + generator.random_range(0..clients.keys_per_destination.max(1)))
        } else {
            0
        };
        let withdraw_after_s = (clients.withdraw_share > 0.0
            && generator.random::<f64>() < clients.withdraw_share)
            .then(|| clients.withdraw_delay_s.draw(generator));
        let (message_id, ttl_at) = (self.messages.len() as u64, now + nanos(ttl_left_s));
        let (rejections, webhook_id, settled) = (0, 0, false);
        self.messages.push(Message {
            event_type_id,
            destination_id,
            key,
            customer_id,
            first_handed_in_at: now,
            ttl_at,
            rejections,
            webhook_id,
            settled,
        });
        self.open_messages += 1;
        self.measurements.counts.messages += 1;
        self.measurements.record_offered(now, event_type.value);
        if let Some(delay_s) = withdraw_after_s {
            self.queue.put(now + nanos(delay_s), Event::Withdraw { message_id });
        }
        self.hand_in(now, message_id);
    }

    /// Hands a message in through the load balancer: to a random sender, the next one where it is known to be
    /// dead.
    pub(super) fn hand_in(&mut self, now: Nanos, message_id: u64) {
        let host_count = self.hosts.len();
        let first =
            if host_count > 1 { self.generators.load_balancer.random_range(0..host_count) } else { 0 };
        let seems_running =
            |host_id: &usize| self.hosts[*host_id].is_running() || now < self.death_noticed_at[*host_id];
        let sender_id =
            (0..host_count).map(|offset| (first + offset) % host_count).find(seems_running).unwrap_or(first)
                as u32;
        let delay = nanos(self.world.network.client_delay.draw(&mut self.generators.load_balancer));
        self.queue.put(now + delay, Event::HandIn { message_id, sender_id });
    }

    /// Schedules the client's next hand-in, or settles the message where that would be after the TTL.
    pub(super) fn schedule_retry(&mut self, now: Nanos, message_id: u64, retry_after_s: f64) {
        let clients = &self.world.clients;
        let message = &self.messages[message_id as usize];
        let growth = if clients.retry_delay_doubles {
            f64::from(1_u32 << message.rejections.saturating_sub(1).min(6))
        } else {
            1.0
        };
        let mut delay_s = clients.retry_delay_s.draw(&mut self.generators.clients) * growth;
        if retry_after_s > 0.0 && self.generators.clients.random::<f64>() < clients.heed_retry_after_share {
            delay_s = retry_after_s;
        }
        // At least 1 ms: no client is faster, and time has to pass between two hand-ins.
        let at = now + nanos(delay_s.max(0.001));
        if at >= message.ttl_at {
            return self.settle_message(message_id);
        }
        let host_count = self.hosts.len();
        let first =
            if host_count > 1 { self.generators.load_balancer.random_range(0..host_count) } else { 0 };
        let seems_running =
            |host_id: &usize| self.hosts[*host_id].is_running() || at < self.death_noticed_at[*host_id];
        let sender_id =
            (0..host_count).map(|offset| (first + offset) % host_count).find(seems_running).unwrap_or(first)
                as u32;
        self.queue.put(at, Event::HandIn { message_id, sender_id });
    }

    /// Marks a message as settled: its client does no more with it.
    pub(super) fn settle_message(&mut self, message_id: u64) {
        if !std::mem::replace(&mut self.messages[message_id as usize].settled, true) {
            self.open_messages -= 1;
        }
    }

    /// A sender accepts a message as a webhook, or the client has to retry.
    pub(super) fn receive_hand_in(&mut self, now: Nanos, message_id: u64, sender_id: u32) {
        let message = &self.messages[message_id as usize];
        if message.settled || now >= message.ttl_at {
            return self.settle_message(message_id);
        }
        let host = &self.hosts[sender_id as usize];
        if !host.is_running() || host.open_webhooks.len() >= self.world.senders.max_pending {
            self.measurements.counts.refused += 1;
            return self.schedule_retry(now, message_id, 0.0);
        }
        let webhook_id = self.webhooks.len() as u64 + 1;
        let (event_type_id, destination_id, key, ttl_at) =
            (message.event_type_id, message.destination_id, message.key, message.ttl_at);
        self.webhooks.push(AcceptedWebhook {
            message_id,
            sender_id,
            accepted_at: now,
            attempts_made: 0,
            may_have_run: None,
            call: None,
            has_final_answer: false,
        });
        self.messages[message_id as usize].webhook_id = webhook_id;
        self.hosts[sender_id as usize].open_webhooks.insert(webhook_id);
        self.measurements.counts.accepted += 1;
        self.measurements.at_senders.enter(now);
        let queued = self.measurements.counts.accepted - self.measurements.at_senders.departures;
        self.measurements.counts.peak_queued = self.measurements.counts.peak_queued.max(queued);
        self.log(LogEvent::Taken {
            webhook_id,
            message_id,
            sender_id,
            event_type_id,
            destination_id,
            key,
            ttl_at,
        });
        self.give_webhook(now, webhook_id, None);
    }

    /// Gives a webhook to its sender's policy; after a restart with the attempts made and the first one that
    /// may have run.
    pub(super) fn give_webhook(
        &mut self, now: Nanos, webhook_id: u64, resume_state: Option<(u32, Option<(u16, Nanos)>)>,
    ) {
        let webhook = &self.webhooks[webhook_id as usize - 1];
        let (message, sender_id) = (&self.messages[webhook.message_id as usize], webhook.sender_id);
        let world = self.world;
        let event_type_name = &world.event_types[usize::from(message.event_type_id)].name;
        let key = (message.key > 0).then(|| format!("k{}", message.key));
        let customer =
            message.customer_id.map(|customer_id| world.customers[usize::from(customer_id)].name.as_str());
        let (destination_id, ttl_left_s) =
            (u64::from(message.destination_id), message.ttl_at as f64 / 1e9 - seconds(now));
        let (now, key) = (seconds(now), key.as_deref());
        match resume_state {
            None => self.give_input(sender_id, |policy, actions| {
                policy.accept(
                    now,
                    webhook_id,
                    event_type_name,
                    destination_id,
                    key,
                    customer,
                    ttl_left_s,
                    actions,
                )
            }),
            Some((attempts_made, may_have_run)) => {
                let zone_and_time = may_have_run
                    .map(|first| (self.fleet.zone_names[usize::from(first.0)].clone(), seconds(first.1)));
                let may_have_run = zone_and_time.as_ref().map(|(zone, at)| (zone.as_str(), *at));
                self.give_input(sender_id, |policy, actions| {
                    policy.resume(
                        now,
                        webhook_id,
                        event_type_name,
                        destination_id,
                        key,
                        customer,
                        ttl_left_s,
                        attempts_made,
                        may_have_run,
                        actions,
                    );
                });
            }
        }
    }

    /// The client withdraws a message that is not settled.
    pub(super) fn withdraw_message(&mut self, now: Nanos, message_id: u64) {
        let message = &self.messages[message_id as usize];
        let (webhook_id, settled) = (message.webhook_id, message.settled);
        if settled {
            return;
        }
        self.settle_message(message_id);
        let Some(webhook) = (webhook_id as usize).checked_sub(1).map(|i| &self.webhooks[i]) else { return };
        let (sender_id, has_final_answer) = (webhook.sender_id, webhook.has_final_answer);
        if !has_final_answer && self.hosts[sender_id as usize].is_running() {
            self.record_final_answer(now, webhook_id, FinalAnswer::Withdrawn, 0.0);
            self.give_input(sender_id, |policy, actions| policy.withdraw(seconds(now), webhook_id, actions));
        }
    }
}
