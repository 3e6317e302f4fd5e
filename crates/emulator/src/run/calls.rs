//! The life of a call: from the attempts that it carries over its connection and the work at its endpoint to
//! its outcome.

use super::*;

impl Run<'_> {
    /// Starts an attempt that a policy asked for. Attempts of one instant at the same endpoint share a call
    /// where its destination takes batches.
    pub(super) fn start_attempt(
        &mut self, now: Nanos, sender_id: u32, webhook_id: u64, endpoint_id: u32, give_up_at: f64,
    ) {
        let Some(webhook) =
            (webhook_id as usize).checked_sub(1).and_then(|index| self.webhooks.get_mut(index))
        else {
            return;
        };
        let kind_id = self.fleet.destinations
            [self.fleet.endpoints[endpoint_id as usize].destination_id as usize]
            .kind_id;
        let max_batch = self.world.destination_kinds[usize::from(kind_id)].max_batch;
        let host = &mut self.hosts[sender_id as usize];
        let in_flight = host.calls_in_flight.len() + host.pending_batches.len();
        let open_batch = host
            .pending_batches
            .iter_mut()
            .find(|batch| batch.endpoint_id == endpoint_id && batch.webhook_ids.len() < max_batch);
        let no_slot = open_batch.is_none() && in_flight >= self.world.senders.slots;
        // Not sent: a webhook with a final answer or without attempts left, and one that finds no free slot.
        if webhook.has_final_answer || webhook.attempts_made >= self.world.senders.max_attempts || no_slot {
            let incarnation = host.incarnation;
            return self
                .queue
                .put(now, Event::NotSent { sender_id, incarnation, webhook_id, endpoint_id, no_slot });
        }
        webhook.attempts_made += 1;
        let give_up_at = nanos(give_up_at.max(0.0));
        match open_batch {
            Some(batch) => {
                // The earliest deadline counts, so that no webhook of the batch is answered too late.
                batch.give_up_at = batch.give_up_at.min(give_up_at);
                batch.webhook_ids.push(webhook_id);
            }
            None => {
                host.pending_batches.push(Batch { endpoint_id, give_up_at, webhook_ids: vec![webhook_id] })
            }
        }
        if !std::mem::replace(&mut host.flush_scheduled, true) {
            self.queue.put_last(Event::Flush { sender_id });
        }
        self.measurements.counts.attempts += 1;
        self.measurements.window_at(now).attempts += 1;
        self.log(LogEvent::Attempt { webhook_id, sender_id, endpoint_id });
    }

    /// Sends the attempts collected in this instant.
    pub(super) fn flush_batches(&mut self, now: Nanos, sender_id: u32) {
        let host = &mut self.hosts[sender_id as usize];
        host.flush_scheduled = false;
        for batch in std::mem::take(&mut host.pending_batches) {
            self.start_call(now, sender_id, batch.endpoint_id, batch.give_up_at, batch.webhook_ids);
        }
    }

    /// Starts a call with these webhooks, on an idle or a new connection.
    pub(super) fn start_call(
        &mut self, now: Nanos, sender_id: u32, endpoint_id: u32, give_up_at: Nanos, webhook_ids: Vec<u64>,
    ) {
        let call_id = self.free_calls.pop().unwrap_or_else(|| {
            self.calls.push(Call::default());
            self.calls.len() as u32 - 1
        });
        let generation = self.calls[call_id as usize].generation + 1;
        let call_key = (call_id, generation);
        for webhook_id in &webhook_ids {
            self.webhooks[*webhook_id as usize - 1].call = Some(call_key);
        }
        self.measurements.counts.calls += 1;
        let reset_probability =
            self.world.network.reset_share + self.faults.size_sum(sender_id, endpoint_id, FaultKind::Resets);
        let reset_stage =
            if reset_probability > 0.0 && self.generators.net.random::<f64>() < reset_probability {
                1 + u8::from(self.generators.net.random::<bool>())
            } else {
                0
            };
        let call = Call {
            generation,
            sender_id,
            endpoint_id,
            webhook_ids,
            sent_at: now,
            reset_stage,
            ..Call::default()
        };
        self.calls[call_id as usize] = call;
        self.hosts[sender_id as usize].calls_in_flight.insert(call_id);
        self.queue.put(give_up_at, Event::TimedOut { call: call_key });
        self.connect(now, call_key, sender_id, endpoint_id);
    }

    /// Takes an idle connection or opens a new one.
    pub(super) fn connect(&mut self, now: Nanos, call_key: CallKey, sender_id: u32, endpoint_id: u32) {
        let (world, call_id) = (self.world, call_key.0 as usize);
        let idle_timeout = nanos(world.senders.idle_timeout_s);
        let expired = self.hosts[sender_id as usize].close_expired(now, endpoint_id, idle_timeout);
        self.fleet.endpoints[endpoint_id as usize].connections -= expired;
        if let Some(idle_since) = self.hosts[sender_id as usize].take_idle_connection(endpoint_id) {
            self.calls[call_id].holds_connection = true;
            let forgets = self
                .faults
                .active_between(sender_id, endpoint_id, FaultKind::Forgets)
                .any(|fault| now >= idle_since + nanos(fault.size));
            if forgets {
                self.calls[call_id].done_at_endpoint = true;
            } else {
                let arrives_at = self.message_arrives_at(now, sender_id, endpoint_id, FaultKind::StallOut);
                self.queue.put(arrives_at, Event::Reached { call: call_key });
            }
            return;
        }
        let outward = self.message_arrives_at(now, sender_id, endpoint_id, FaultKind::StallOut) - now;
        let inward = self.message_arrives_at(now, sender_id, endpoint_id, FaultKind::StallBack) - now;
        let fail_after = |queue: &mut Queue<Event>, delay| {
            queue.put(
                now + delay,
                Event::Answer {
                    call: call_key,
                    result: AttemptResult::ConnectFailed,
                    wait: 0,
                    limit_report: None,
                },
            );
        };
        let connect_timeout = nanos(world.senders.connect_timeout_s);
        if self.faults.is_active(sender_id, endpoint_id, FaultKind::Silent) {
            return fail_after(&mut self.queue, connect_timeout);
        }
        let refuses = self.fleet.endpoints[endpoint_id as usize].overloaded
            || self.faults.is_active(sender_id, endpoint_id, FaultKind::Down)
            || self.faults.is_active(sender_id, endpoint_id, FaultKind::Leave);
        let kind = &world.destination_kinds[usize::from(
            self.fleet.destinations[self.fleet.endpoints[endpoint_id as usize].destination_id as usize]
                .kind_id,
        )];
        if !refuses && self.fleet.endpoints[endpoint_id as usize].connections >= kind.max_connections {
            // Idle connections past their timeout no longer count.
            let closed: usize =
                self.hosts.iter_mut().map(|host| host.close_expired(now, endpoint_id, idle_timeout)).sum();
            self.fleet.endpoints[endpoint_id as usize].connections -= closed;
        }
        if refuses || self.fleet.endpoints[endpoint_id as usize].connections >= kind.max_connections {
            return fail_after(&mut self.queue, (outward + inward).min(connect_timeout));
        }
        let slowdown = nanos(self.faults.size_sum(sender_id, endpoint_id, FaultKind::SlowConnect));
        let handshake =
            ((outward + inward) as f64 * world.network.handshake_round_trips).round() as Nanos + slowdown;
        if handshake > connect_timeout {
            return fail_after(&mut self.queue, connect_timeout);
        }
        self.measurements.counts.connections += 1;
        self.fleet.endpoints[endpoint_id as usize].connections += 1;
        self.calls[call_id].holds_connection = true;
        self.queue.put(now + handshake, Event::Connected { call: call_key });
    }

    /// A new connection is open: the call is written to it if the policy still allows that, as in the real
    /// sender. A repeat that was decided in time could otherwise arrive after its token has expired.
    pub(super) fn on_connected(&mut self, now: Nanos, call_key: CallKey) {
        let Some(call) = self.current_call(call_key) else { return };
        let (sender_id, endpoint_id, done_at_sender) =
            (call.sender_id, call.endpoint_id, call.done_at_sender);
        if done_at_sender {
            // The sender closed the connection before anything was written to it.
            return self.release_by_endpoint(call_key.0);
        }
        let endpoint_name = &self.fleet.endpoint_names[endpoint_id as usize];
        let policy = self.hosts[sender_id as usize].policy.as_deref();
        let may_send = |webhook_id: &u64| {
            policy.is_some_and(|policy| policy.may_send(seconds(now), *webhook_id, endpoint_name))
        };
        if call.webhook_ids.iter().all(may_send) {
            let arrives_at = self.message_arrives_at(now, sender_id, endpoint_id, FaultKind::StallOut);
            return self.queue.put(arrives_at, Event::Reached { call: call_key });
        }
        let call = &mut self.calls[call_key.0 as usize];
        call.done_at_endpoint = true;
        // The connection is fine: it becomes an idle one.
        call.holds_connection = false;
        self.hosts[sender_id as usize].idle_connections.entry(endpoint_id).or_default().push(now);
        self.finish_call(now, call_key, AttemptResult::HeldBack, 0, None);
    }

    /// When a message that leaves now arrives: after the delay between its zones and the retransmissions of
    /// lost packets, and not before the end of a stall in its direction.
    pub(super) fn message_arrives_at(
        &mut self, now: Nanos, sender_id: u32, endpoint_id: u32, stall: FaultKind,
    ) -> Nanos {
        let network = &self.world.network;
        let same_zone =
            self.hosts[sender_id as usize].zone == self.fleet.endpoints[endpoint_id as usize].zone;
        let generator = &mut self.generators.net;
        let mut delay_s = if same_zone {
            network.same_zone_delay.draw(generator)
        } else {
            network.cross_zone_delay.draw(generator)
        };
        delay_s += self.faults.size_sum(sender_id, endpoint_id, FaultKind::Delay);
        let loss =
            (network.loss_share + self.faults.size_sum(sender_id, endpoint_id, FaultKind::Loss)).min(0.99);
        let mut retransmit_s = network.retransmit_s;
        while loss > 0.0 && generator.random::<f64>() < loss {
            delay_s += retransmit_s;
            retransmit_s = (retransmit_s * 2.0).min(60.0);
        }
        (now.max(self.faults.ends_at(sender_id, endpoint_id, stall))) + nanos(delay_s)
    }

    /// The call of a key, unless its id has been reused.
    pub(super) fn current_call(&self, call_key: CallKey) -> Option<&Call> {
        self.calls.get(call_key.0 as usize).filter(|call| call.generation == call_key.1)
    }

    /// Sends the endpoint's answer back to the sender.
    pub(super) fn send_answer(
        &mut self, now: Nanos, call: CallKey, result: AttemptResult, wait: Nanos,
        limit_report: Option<(f64, f64)>,
    ) {
        let (sender_id, endpoint_id) =
            (self.calls[call.0 as usize].sender_id, self.calls[call.0 as usize].endpoint_id);
        let arrives_at = self.message_arrives_at(now, sender_id, endpoint_id, FaultKind::StallBack);
        self.queue.put(arrives_at, Event::Answer { call, result, wait, limit_report });
    }

    /// A call reaches its endpoint: it is reset, refused, or queued for work.
    pub(super) fn on_endpoint_reached(&mut self, now: Nanos, call_key: CallKey) {
        let Some(call) = self.current_call(call_key) else { return };
        let (sender_id, endpoint_id, reset_stage) = (call.sender_id, call.endpoint_id, call.reset_stage);
        if self.faults.is_active(sender_id, endpoint_id, FaultKind::Silent) {
            return self.release_by_endpoint(call_key.0);
        }
        let down = self.faults.is_active(sender_id, endpoint_id, FaultKind::Down)
            || self.faults.is_active(sender_id, endpoint_id, FaultKind::Leave);
        if down || self.fleet.endpoints[endpoint_id as usize].overloaded || reset_stage == 1 {
            return self.send_answer(now, call_key, AttemptResult::Reset, 0, None);
        }
        self.log(LogEvent::Call { sender_id, endpoint_id });
        let overloaded_ids = self.fleet.overloaded_by_call(now, endpoint_id, &self.world.rules);
        if !overloaded_ids.is_empty() {
            self.measurements.counts.falls += 1;
            self.log(LogEvent::Fell { endpoint_id });
            for overloaded_id in overloaded_ids {
                self.fleet.endpoints[overloaded_id as usize].overloaded = true;
                self.update_outage(now, overloaded_id);
                self.reset_endpoint(now, overloaded_id);
                self.queue.put(
                    now + nanos(self.world.rules.overload_outage_s),
                    Event::EndpointRecovers { endpoint_id: overloaded_id },
                );
            }
            if self.fleet.endpoints[endpoint_id as usize].overloaded {
                return self.send_answer(now, call_key, AttemptResult::Reset, 0, None);
            }
        }
        let kind_id = self.fleet.destinations
            [self.fleet.endpoints[endpoint_id as usize].destination_id as usize]
            .kind_id;
        let kind = &self.world.destination_kinds[usize::from(kind_id)];
        let limit_factor = self.faults.size_product(sender_id, endpoint_id, FaultKind::Limit);
        let refusal_wait = if self.faults.is_active(sender_id, endpoint_id, FaultKind::Shut) {
            Some(self.faults.ends_at(sender_id, endpoint_id, FaultKind::Shut).saturating_sub(now))
        } else {
            self.fleet.consume_limit(now, endpoint_id, limit_factor).err()
        };
        let limit_report = kind.reports_limit.then(|| self.fleet.limit_report(endpoint_id, limit_factor));
        if let Some(wait) = refusal_wait {
            let asks_for_wait = kind.retry_after_share > 0.0
                && self.generators.service.random::<f64>() < kind.retry_after_share;
            return self.send_answer(
                now,
                call_key,
                AttemptResult::Full,
                if asks_for_wait { wait } else { 0 },
                limit_report,
            );
        }
        if self.faults.is_active(sender_id, endpoint_id, FaultKind::Hang) {
            self.admit_call(now, call_key.0, false);
            self.record_runs(call_key.0, endpoint_id);
            return self.release_by_endpoint(call_key.0);
        }
        let endpoint = &mut self.fleet.endpoints[endpoint_id as usize];
        if endpoint.busy >= endpoint.workers && endpoint.queue.len() >= kind.max_waiting {
            return self.send_answer(now, call_key, AttemptResult::Full, 0, limit_report);
        }
        endpoint.queue.push_back(call_key.0);
        let error_probability =
            kind.error_share.max(self.faults.size_sum(sender_id, endpoint_id, FaultKind::Errors));
        let fails = error_probability > 0.0 && self.generators.service.random::<f64>() < error_probability;
        self.admit_call(now, call_key.0, fails);
        self.calls[call_key.0 as usize].arrived_at = Some(now);
        self.measurements.at_endpoints.enter(now);
        self.measurements.queueing.enter(now);
        self.start_work(now, endpoint_id);
    }

    /// Decides whether a call fails and runs, and marks the tokens of the webhooks that it will run as seen.
    pub(super) fn admit_call(&mut self, now: Nanos, call_id: u32, fails: bool) {
        let runs = !fails || self.generators.service.random::<bool>();
        let endpoint_id = self.calls[call_id as usize].endpoint_id;
        let webhook_ids = std::mem::take(&mut self.calls[call_id as usize].webhook_ids);
        let mut duplicates = Vec::new();
        for webhook_id in webhook_ids.iter().filter(|_| runs) {
            let message_id = self.webhooks[*webhook_id as usize - 1].message_id;
            let event_type =
                &self.world.event_types[usize::from(self.messages[message_id as usize].event_type_id)];
            let tokened = event_type.effect == RepeatEffect::Tokened;
            duplicates.push(
                tokened
                    && self.fleet.is_duplicate(
                        now,
                        endpoint_id,
                        message_id,
                        event_type.token_shared_by_zones,
                        nanos(event_type.token_lifetime_s),
                    ),
            );
        }
        let call = &mut self.calls[call_id as usize];
        (call.webhook_ids, call.duplicates, call.fails, call.runs) = (webhook_ids, duplicates, fails, runs);
    }

    /// Logs the webhooks of a call as run by its endpoint.
    pub(super) fn record_runs(&mut self, call_id: u32, endpoint_id: u32) {
        let call = &self.calls[call_id as usize];
        let runs: Vec<(u64, bool)> =
            call.webhook_ids.iter().copied().zip(call.duplicates.iter().copied()).collect();
        for (webhook_id, duplicate) in runs {
            self.measurements.counts.known_repeats += u64::from(duplicate);
            self.log(LogEvent::Ran { webhook_id, endpoint_id, duplicate });
        }
    }

    /// Free workers of an endpoint take the waiting calls, first in first out.
    pub(super) fn start_work(&mut self, now: Nanos, endpoint_id: u32) {
        while self.fleet.endpoints[endpoint_id as usize].busy
            < self.fleet.endpoints[endpoint_id as usize].workers
        {
            let Some(call_id) = self.fleet.endpoints[endpoint_id as usize].queue.pop_front() else { return };
            let destination_id = self.fleet.endpoints[endpoint_id as usize].destination_id;
            let kind = &self.world.destination_kinds
                [usize::from(self.fleet.destinations[destination_id as usize].kind_id)];
            let call = &self.calls[call_id as usize];
            let (sender_id, arrived_at) = (call.sender_id, call.arrived_at.unwrap_or(now));
            self.measurements.queueing.leave(now, arrived_at);
            if kind.drops_cancelled && call.done_at_sender {
                self.measurements.at_endpoints.leave(now, arrived_at);
                self.release_by_endpoint(call_id);
                continue;
            }
            let batch_size = call.webhook_ids.len().max(1);
            if call.runs {
                self.record_runs(call_id, endpoint_id);
            }
            let capacity_share = self.fleet.capacity_share(now, endpoint_id, &self.world.rules);
            let slowdown = self.faults.size_product(sender_id, endpoint_id, FaultKind::Slow);
            let work_s =
                draw_work_s(kind, batch_size, &mut self.generators.service) * slowdown / capacity_share;
            let done_at = self.faults.work_done_at(now, endpoint_id, work_s);
            let call_key = (call_id, self.calls[call_id as usize].generation);
            self.fleet.endpoints[endpoint_id as usize].busy += 1;
            self.fleet.endpoints[endpoint_id as usize].running.push(call_id);
            self.queue.put(done_at, Event::WorkDone { call: call_key });
        }
    }

    /// A worker is done with a call: the endpoint answers it and takes the next one.
    pub(super) fn on_work_done(&mut self, now: Nanos, call_key: CallKey) {
        // A call that was dropped when its endpoint went down is no longer there.
        let Some(call) = self.current_call(call_key).filter(|call| call.arrived_at.is_some()) else { return };
        let (sender_id, endpoint_id, reset_stage, fails) =
            (call.sender_id, call.endpoint_id, call.reset_stage, call.fails);
        let arrived_at = self.calls[call_key.0 as usize].arrived_at.take().unwrap_or(now);
        let endpoint = &mut self.fleet.endpoints[endpoint_id as usize];
        endpoint.busy -= 1;
        endpoint.running.retain(|call_id| *call_id != call_key.0);
        self.measurements.at_endpoints.leave(now, arrived_at);
        let silent = self.faults.is_active(sender_id, endpoint_id, FaultKind::Silent)
            || self.faults.is_active(sender_id, endpoint_id, FaultKind::Hang);
        if silent {
            self.release_by_endpoint(call_key.0);
        } else {
            let result = if reset_stage == 2 {
                AttemptResult::Reset
            } else if fails {
                AttemptResult::Failed
            } else {
                AttemptResult::Delivered
            };
            let destination_id = self.fleet.endpoints[endpoint_id as usize].destination_id;
            let kind = &self.world.destination_kinds
                [usize::from(self.fleet.destinations[destination_id as usize].kind_id)];
            let limit_factor = self.faults.size_product(sender_id, endpoint_id, FaultKind::Limit);
            let limit_report = (kind.reports_limit && result != AttemptResult::Reset)
                .then(|| self.fleet.limit_report(endpoint_id, limit_factor));
            // A destination that reports its limit may ask for a wait in a successful answer as well, once
            // the limit is used up.
            let mut wait = if kind.reports_limit && result == AttemptResult::Delivered {
                self.fleet.limit_used_up_for(now, endpoint_id)
            } else {
                0
            };
            if wait > 0 && self.generators.service.random::<f64>() >= kind.retry_after_share {
                wait = 0;
            }
            self.send_answer(now, call_key, result, wait, limit_report);
        }
        self.start_work(now, endpoint_id);
    }

    /// An endpoint goes down: its connections end, and all running and waiting calls are reset.
    pub(super) fn reset_endpoint(&mut self, now: Nanos, endpoint_id: u32) {
        let endpoint = &mut self.fleet.endpoints[endpoint_id as usize];
        endpoint.busy = 0;
        let running = std::mem::take(&mut endpoint.running);
        let waiting = std::mem::take(&mut endpoint.queue);
        for call_id in &waiting {
            let call = &self.calls[*call_id as usize];
            self.measurements.queueing.leave(now, call.arrived_at.unwrap_or(now));
            // A webhook that did not run must not be taken for a duplicate when it is sent again.
            for (webhook_id, _) in
                call.webhook_ids.iter().zip(&call.duplicates).filter(|(_, duplicate)| !**duplicate)
            {
                self.fleet.forget_token(endpoint_id, self.webhooks[*webhook_id as usize - 1].message_id);
            }
        }
        for call_id in running.into_iter().chain(waiting) {
            let arrived_at = self.calls[call_id as usize].arrived_at.take().unwrap_or(now);
            self.measurements.at_endpoints.leave(now, arrived_at);
            let call_key = (call_id, self.calls[call_id as usize].generation);
            self.send_answer(now, call_key, AttemptResult::Reset, 0, None);
        }
        let closed: usize = self
            .hosts
            .iter_mut()
            .filter_map(|host| host.idle_connections.remove(&endpoint_id))
            .map(|connections| connections.len())
            .sum();
        self.fleet.endpoints[endpoint_id as usize].connections -= closed;
    }

    /// An answer or a connection failure arrives at the sender; after an answer the connection becomes idle.
    pub(super) fn on_answer(
        &mut self, now: Nanos, call_key: CallKey, result: AttemptResult, wait: Nanos,
        limit_report: Option<(f64, f64)>,
    ) {
        let Some(call) = self.current_call(call_key) else { return };
        let (sender_id, endpoint_id, done_at_sender) =
            (call.sender_id, call.endpoint_id, call.done_at_sender);
        self.calls[call_key.0 as usize].done_at_endpoint = true;
        if done_at_sender {
            return self.free_if_done(call_key.0);
        }
        let keeps_connection =
            matches!(result, AttemptResult::Delivered | AttemptResult::Failed | AttemptResult::Full);
        if keeps_connection && std::mem::take(&mut self.calls[call_key.0 as usize].holds_connection) {
            self.hosts[sender_id as usize].idle_connections.entry(endpoint_id).or_default().push(now);
        }
        self.finish_call(now, call_key, result, wait, limit_report);
    }

    /// Ends a call for its sender: logs the outcome of each webhook and reports it to the policy.
    pub(super) fn finish_call(
        &mut self, now: Nanos, call_key: CallKey, result: AttemptResult, wait: Nanos,
        limit_report: Option<(f64, f64)>,
    ) {
        let Some(call) = self.current_call(call_key).filter(|call| !call.done_at_sender) else { return };
        let (sender_id, endpoint_id, sent_at) = (call.sender_id, call.endpoint_id, call.sent_at);
        let counts = &mut self.measurements.counts;
        match result {
            AttemptResult::Failed => counts.failed += 1,
            AttemptResult::Full => counts.full += 1,
            AttemptResult::TimedOut | AttemptResult::Cancelled => counts.timed_out += 1,
            AttemptResult::ConnectFailed => counts.connect_failed += 1,
            AttemptResult::Reset => counts.reset += 1,
            AttemptResult::HeldBack => counts.held_back += 1,
            AttemptResult::Delivered | AttemptResult::Moot => {}
        }
        let wait_s = seconds(wait);
        let outcome = match result {
            AttemptResult::Delivered => Outcome::Delivered,
            AttemptResult::Failed => Outcome::Failed,
            AttemptResult::Full => Outcome::Full(wait_s),
            AttemptResult::TimedOut => Outcome::TimedOut,
            AttemptResult::ConnectFailed => Outcome::ConnectFailed,
            AttemptResult::Reset => Outcome::Reset,
            AttemptResult::Cancelled => Outcome::Cancelled,
            AttemptResult::Moot => Outcome::Moot(false),
            AttemptResult::HeldBack => Outcome::Moot(true),
        };
        self.hosts[sender_id as usize].calls_in_flight.remove(&call_key.0);
        let webhook_ids = self.calls[call_key.0 as usize].webhook_ids.clone();
        self.release_by_sender(call_key.0);
        let outcome_may_have_run = matches!(
            result,
            AttemptResult::Failed | AttemptResult::TimedOut | AttemptResult::Reset | AttemptResult::Cancelled
        );
        let zone = self.fleet.endpoints[endpoint_id as usize].zone;
        for webhook_id in &webhook_ids {
            let webhook = &mut self.webhooks[*webhook_id as usize - 1];
            webhook.call = None;
            if outcome_may_have_run && webhook.may_have_run.is_none() {
                webhook.may_have_run = Some((zone, sent_at));
            }
            let requested_wait = if result == AttemptResult::Full { wait } else { 0 };
            self.log(LogEvent::Outcome {
                webhook_id: *webhook_id,
                sender_id,
                endpoint_id,
                result,
                wait: requested_wait,
            });
            if result == AttemptResult::Delivered && !self.webhooks[*webhook_id as usize - 1].has_final_answer
            {
                self.record_final_answer(now, *webhook_id, FinalAnswer::Delivered, 0.0);
            }
        }
        for webhook_id in webhook_ids {
            let has_final_answer = self.webhooks[webhook_id as usize - 1].has_final_answer;
            self.report_outcome(
                now,
                sender_id,
                webhook_id,
                endpoint_id,
                outcome,
                seconds(now - sent_at),
                has_final_answer,
                limit_report,
            );
        }
        if result == AttemptResult::Delivered && wait > 0 {
            self.log(LogEvent::Wait { sender_id, endpoint_id, wait });
            let endpoint_name = std::mem::take(&mut self.fleet.endpoint_names[endpoint_id as usize]);
            self.give_input(sender_id, |policy, actions| {
                policy.wait_requested(seconds(now), &endpoint_name, wait_s, actions)
            });
            self.fleet.endpoint_names[endpoint_id as usize] = endpoint_name;
        }
    }

    /// The sender no longer waits for a call; a connection that it still holds is closed.
    pub(super) fn release_by_sender(&mut self, call_id: u32) {
        let call = &mut self.calls[call_id as usize];
        call.done_at_sender = true;
        let endpoint_id = call.endpoint_id as usize;
        if std::mem::take(&mut call.holds_connection) {
            self.fleet.endpoints[endpoint_id].connections -= 1;
        }
        self.free_if_done(call_id);
    }

    /// Nothing of a call is left on the network or at its endpoint.
    pub(super) fn release_by_endpoint(&mut self, call_id: u32) {
        self.calls[call_id as usize].done_at_endpoint = true;
        self.calls[call_id as usize].arrived_at = None;
        self.free_if_done(call_id);
    }

    /// Frees the id of a call that both sides have released.
    pub(super) fn free_if_done(&mut self, call_id: u32) {
        let call = &mut self.calls[call_id as usize];
        if call.done_at_sender && call.done_at_endpoint {
            // Events of the old call are recognised by their older generation.
            *call = Call { generation: call.generation + 1, ..Call::default() };
            self.free_calls.push(call_id);
        }
    }
}
