//! Sender processes: inputs to their policies, final answers, starts and kills.

use super::*;

impl Run<'_> {
    /// Gives an input to the policy of a running sender and carries out the actions that it asks for.
    pub(super) fn give_input(
        &mut self, sender_id: u32, give: impl FnOnce(&mut dyn Policy, &mut ActionRecorder),
    ) {
        let Some(mut policy) = self.hosts[sender_id as usize].policy.take() else { return };
        let mut recorder = std::mem::take(&mut self.actions);
        self.measurements.counts.inputs += 1;
        give(&mut *policy, &mut recorder);
        self.hosts[sender_id as usize].policy = Some(policy);
        let now = self.queue.now();
        let incarnation = self.hosts[sender_id as usize].incarnation;
        for action in recorder.actions.drain(..) {
            match action {
                Action::StartAttempt { webhook_id, endpoint_id, give_up_at } => {
                    self.start_attempt(now, sender_id, webhook_id, endpoint_id, give_up_at)
                }
                Action::CancelAttempt { webhook_id, .. } => {
                    let webhook =
                        (webhook_id as usize).checked_sub(1).and_then(|index| self.webhooks.get(index));
                    if let Some(call) = webhook.and_then(|webhook| webhook.call) {
                        self.queue.put(now, Event::Cancelled { call });
                    }
                }
                Action::Reject { webhook_id, retry_after } => {
                    self.record_final_answer(now, webhook_id, FinalAnswer::Rejected, retry_after)
                }
                Action::DeadLetter { webhook_id } => {
                    self.record_final_answer(now, webhook_id, FinalAnswer::DeadLettered, 0.0)
                }
                Action::ScheduleWake { delay, handle } => {
                    self.queue.put(now + nanos(delay), Event::Wake { sender_id, incarnation, handle });
                }
                Action::WatchList(enabled) => self.watch_list(now, sender_id, enabled),
                Action::CloseIdleConnections { endpoint_id } => {
                    let closed = self.hosts[sender_id as usize]
                        .idle_connections
                        .remove(&endpoint_id)
                        .map_or(0, |connections| connections.len());
                    self.fleet.endpoints[endpoint_id as usize].connections -= closed;
                }
                Action::StoreMemory(memory) if self.world.senders.journal => {
                    let key = (memory.destination, memory.endpoint.clone());
                    self.hosts[sender_id as usize].memories.insert(key, memory);
                }
                Action::StoreMemory(_) => {}
                // A hundred messages are enough to see what is wrong with a policy.
                Action::Log(text) if self.policy_messages.len() < 100 => {
                    self.policy_messages.push(format!("{:.3} sender {sender_id}: {text}", seconds(now)));
                }
                Action::Log(_) => {}
            }
        }
        self.actions = recorder;
    }

    /// Reports the outcome of an attempt to its sender's policy.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn report_outcome(
        &mut self, now: Nanos, sender_id: u32, webhook_id: u64, endpoint_id: u32, outcome: Outcome,
        duration_s: f64, has_final_answer: bool, limit_report: Option<(f64, f64)>,
    ) {
        let endpoint_name = std::mem::take(&mut self.fleet.endpoint_names[endpoint_id as usize]);
        self.give_input(sender_id, |policy, actions| {
            policy.attempt_ended(
                seconds(now),
                webhook_id,
                &endpoint_name,
                outcome,
                duration_s,
                has_final_answer,
                limit_report,
                actions,
            )
        });
        self.fleet.endpoint_names[endpoint_id as usize] = endpoint_name;
    }

    /// Records a webhook's final answer; its client is done with the message or hands it in again.
    pub(super) fn record_final_answer(
        &mut self, now: Nanos, webhook_id: u64, final_answer: FinalAnswer, retry_after_s: f64,
    ) {
        let Some(webhook) =
            (webhook_id as usize).checked_sub(1).and_then(|index| self.webhooks.get_mut(index))
        else {
            return;
        };
        let (message_id, sender_id, is_first) =
            (webhook.message_id, webhook.sender_id, !webhook.has_final_answer);
        webhook.has_final_answer = true;
        let (accepted_at, may_have_run) = (webhook.accepted_at, webhook.may_have_run.is_some());
        // A second answer is logged, so that the rule checker sees it, and has no other effect.
        self.log(LogEvent::End { webhook_id, sender_id, final_answer });
        if !is_first {
            return;
        }
        self.hosts[sender_id as usize].open_webhooks.remove(&webhook_id);
        self.measurements.at_senders.leave(now, accepted_at);
        let message = &mut self.messages[message_id as usize];
        let event_type = &self.world.event_types[usize::from(message.event_type_id)];
        let counts = &mut self.measurements.counts;
        match final_answer {
            FinalAnswer::Delivered => {
                counts.delivered += 1;
                let (first_handed_in_at, value) = (
                    message.first_handed_in_at,
                    event_type.value
                        * remaining_value_share(event_type, seconds(now - message.first_handed_in_at)),
                );
                if !message.settled {
                    self.measurements.record_delivered(first_handed_in_at, now, value);
                }
                self.settle_message(message_id);
            }
            FinalAnswer::Rejected => {
                counts.rejected += 1;
                message.rejections += 1;
                if message.settled || message.rejections > self.world.clients.max_retries {
                    self.settle_message(message_id);
                } else {
                    self.schedule_retry(now, message_id, retry_after_s);
                }
            }
            FinalAnswer::DeadLettered => {
                counts.dead_lettered += 1;
                self.settle_message(message_id);
            }
            FinalAnswer::Withdrawn => {
                counts.withdrawn += 1;
                self.settle_message(message_id);
            }
            FinalAnswer::Gone => {
                if !may_have_run
                    || event_type.effect == RepeatEffect::Idempotent
                    || (event_type.effect == RepeatEffect::Tokened && event_type.token_shared_by_zones)
                {
                    self.schedule_retry(now, message_id, 0.0);
                } else {
                    self.settle_message(message_id);
                }
            }
        }
    }

    /// Starts a sender's process: its policy gets the last known list and all webhooks without final answer.
    pub(super) fn start_sender(&mut self, sender_id: u32) {
        let now = self.queue.now();
        let host = &mut self.hosts[sender_id as usize];
        if host.is_running() {
            return;
        }
        host.incarnation += 1;
        host.watching_list = false;
        let incarnation = host.incarnation;
        let seed = mix(self.seed ^ mix(u64::from(sender_id) << 32 | u64::from(incarnation)));
        let start =
            SenderStart { now: seconds(now), seed, sender_index: sender_id as usize, world: self.world };
        host.policy = Some((self.policy_factory)(start));
        self.log(LogEvent::Started { sender_id });
        let memories: Vec<_> = self.hosts[sender_id as usize].memories.values().cloned().collect();
        if let Some(policy) = &mut self.hosts[sender_id as usize].policy {
            memories.iter().for_each(|memory| policy.remember(seconds(now), memory));
        }
        let known_list: Vec<(u32, Listed)> = with_ids(&self.hosts[sender_id as usize].known_list);
        self.give_list_update(now, sender_id, ListUpdate::Remembered, &known_list);
        let open_webhooks: Vec<u64> = self.hosts[sender_id as usize].open_webhooks.iter().copied().collect();
        for webhook_id in open_webhooks {
            let webhook = &self.webhooks[webhook_id as usize - 1];
            // Resuming an earlier webhook may have made the policy answer this one.
            if !webhook.has_final_answer {
                self.give_webhook(now, webhook_id, Some((webhook.attempts_made, webhook.may_have_run)));
            }
        }
        if !self.world.endpoint_list.watch_required && now > 0 {
            self.send_list_update(now, sender_id, ListUpdate::Whole, self.whole_list(sender_id));
        }
    }

    /// Kills a sender's process. Its calls go on at their endpoints; without a journal its webhooks are lost.
    pub(super) fn kill_sender(&mut self, now: Nanos, sender_id: u32) {
        let host = &mut self.hosts[sender_id as usize];
        if host.policy.take().is_none() {
            return;
        }
        host.killed_at = now;
        let pending_batches = std::mem::take(&mut host.pending_batches);
        let call_ids: Vec<u32> = std::mem::take(&mut host.calls_in_flight).into_iter().collect();
        for (endpoint_id, connections) in std::mem::take(&mut host.idle_connections) {
            self.fleet.endpoints[endpoint_id as usize].connections -= connections.len();
        }
        let open_webhooks: Vec<u64> = host.open_webhooks.iter().copied().collect();
        self.death_noticed_at[sender_id as usize] =
            now + nanos(self.world.senders.failure_detection_s.draw(&mut self.generators.load_balancer));
        self.log(LogEvent::Killed { sender_id });
        for call_id in call_ids {
            let call = &mut self.calls[call_id as usize];
            let (endpoint_id, sent_at) = (call.endpoint_id, call.sent_at);
            let zone = self.fleet.endpoints[endpoint_id as usize].zone;
            for webhook_id in std::mem::take(&mut call.webhook_ids) {
                let webhook = &mut self.webhooks[webhook_id as usize - 1];
                webhook.call = None;
                webhook.may_have_run = webhook.may_have_run.or(Some((zone, sent_at)));
            }
            self.release_by_sender(call_id);
        }
        // The journal records attempts before they are sent, so these count as possibly run.
        for (webhook_id, endpoint_id) in pending_batches.iter().flat_map(|batch| {
            batch.webhook_ids.iter().map(move |webhook_id| (*webhook_id, batch.endpoint_id))
        }) {
            let webhook = &mut self.webhooks[webhook_id as usize - 1];
            webhook.may_have_run =
                webhook.may_have_run.or(Some((self.fleet.endpoints[endpoint_id as usize].zone, now)));
        }
        if !self.world.senders.journal {
            for webhook_id in open_webhooks {
                self.record_final_answer(now, webhook_id, FinalAnswer::Gone, 0.0);
            }
        }
    }
}
