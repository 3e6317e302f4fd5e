//! Checks the six delivery rules against the event log. It reads log entries and the settings that the rules
//! name, and shares no code with any policy or with the simulation of destinations.

use crate::events::{AttemptResult, FinalAnswer, LogEntry, LogEvent};
use crate::fleet::Fleet;
use crate::queue::{Nanos, nanos, seconds};
use crate::spec::{RepeatEffect, World};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A delivery rule that every policy has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each webhook gets exactly one final answer within its TTL, and is not sent after it.
    Lost,
    /// No message takes effect twice, and none that may have run is repeated or rejected where that could do
    /// harm.
    Twice,
    /// Nothing is sent, after a grace time, to an endpoint that the sender knows as draining or gone from the
    /// list.
    Drains,
    /// A destination that returns from an outage is not overloaded by senders that saw the outage.
    Returns,
    /// Webhooks with the same ordering key are sent one after another.
    Order,
    /// Nothing is sent before the end of a wait that a destination asked for.
    Waits,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The broken rule.
    pub rule: Rule,
    /// Simulated time in seconds.
    pub at_s: f64,
    /// The webhook, sender and endpoint involved.
    pub text: String,
}

/// An accepted webhook, as far as the log tells.
struct WebhookState {
    sender_id: u32,
    message_id: u64,
    event_type_id: u16,
    key: u64,
    ttl_at: Nanos,
    /// Endpoint and start time of the attempt in flight.
    in_flight: Option<(u32, Nanos)>,
    /// Zone and start time of the first attempt that may have run.
    may_have_run: Option<(u16, Nanos)>,
    has_final_answer: bool,
}

/// What the rules need of an event type.
struct EventTypeRules {
    effect: RepeatEffect,
    token_lifetime: Nanos,
    token_shared_by_zones: bool,
    ordered: bool,
}

/// Endpoints that share limits, waits and outages: a destination, or one endpoint of it where each has its
/// own limit.
type RouteGroup = (u32, Option<u32>);

/// The latest outage of a route group.
#[derive(Default)]
struct Outage {
    /// Endpoints in an outage now.
    endpoints_down: u32,
    began_at: Nanos,
    ended_at: Option<Nanos>,
    /// Time and sender of the calls of the last `overload_span`, recorded while the group warms up.
    recent_calls: VecDeque<(Nanos, u32)>,
    /// When each sender last saw a call fail or be refused there.
    failure_seen_at: BTreeMap<u32, Nanos>,
}

/// Checks log entries one by one and collects the violations.
pub struct RuleChecker {
    event_types: Vec<EventTypeRules>,
    /// Route group of each endpoint.
    groups: Vec<RouteGroup>,
    /// Zone of each endpoint.
    zones: Vec<u16>,
    answer_grace: Nanos,
    drain_grace: Nanos,
    overload_span: Nanos,
    warm_up: Nanos,
    key_cooldown: Nanos,
    /// By webhook id, which counts from 1.
    webhooks: Vec<WebhookState>,
    /// How often each message took effect.
    effect_counts: Vec<u8>,
    /// When each sender's process started; `None` while it is dead.
    running_since: Vec<Option<Nanos>>,
    /// Since when a sender knows an endpoint as draining or gone, by sender and endpoint.
    unlisted_since: BTreeMap<(u32, u32), Nanos>,
    /// By sender and route group.
    waits_until: BTreeMap<(u32, RouteGroup), Nanos>,
    /// Unfinished webhooks in order of acceptance, by sender and ordering key.
    key_queues: BTreeMap<(u32, u64), VecDeque<u64>>,
    /// End of the cooldown and the webhook that caused it, by sender and ordering key.
    key_cooldowns: BTreeMap<(u32, u64), (Nanos, u64)>,
    outages: BTreeMap<RouteGroup, Outage>,
    violations: Vec<Violation>,
    /// Violations beyond those that are kept.
    omitted_violations: u64,
}

impl RuleChecker {
    /// A checker for a day with this world and fleet.
    pub fn new(world: &World, fleet: &Fleet) -> Self {
        let route_group = |(index, endpoint): (usize, &crate::fleet::Endpoint)| {
            let kind_id = fleet.destinations[endpoint.destination_id as usize].kind_id;
            (
                endpoint.destination_id,
                world.destination_kinds[usize::from(kind_id)].independent_endpoints.then_some(index as u32),
            )
        };
        let event_type_rules = |event_type: &crate::spec::EventType| EventTypeRules {
            effect: event_type.effect,
            token_lifetime: nanos(event_type.token_lifetime_s),
            token_shared_by_zones: event_type.token_shared_by_zones,
            ordered: event_type.ordered,
        };
        let settings = &world.rules;
        RuleChecker {
            event_types: world.event_types.iter().map(event_type_rules).collect(),
            groups: fleet.endpoints.iter().enumerate().map(route_group).collect(),
            zones: fleet.endpoints.iter().map(|endpoint| endpoint.zone).collect(),
            answer_grace: nanos(settings.answer_grace_s),
            drain_grace: nanos(settings.drain_grace_s),
            overload_span: nanos(settings.overload_span_s),
            warm_up: nanos(settings.warm_up_s),
            key_cooldown: nanos(settings.key_cooldown_s),
            webhooks: Vec::new(),
            effect_counts: Vec::new(),
            running_since: vec![None; world.senders.count],
            unlisted_since: BTreeMap::new(),
            waits_until: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            key_cooldowns: BTreeMap::new(),
            outages: BTreeMap::new(),
            violations: Vec::new(),
            omitted_violations: 0,
        }
    }

    /// Keeps a violation for the report.
    fn record_violation(&mut self, rule: Rule, at: Nanos, text: String) {
        // Twenty of each rule are enough to see what is wrong; a policy that always breaks one would fill the
        // memory.
        if self.violations.iter().filter(|violation| violation.rule == rule).count() < 20 {
            self.violations.push(Violation { rule, at_s: seconds(at), text });
        } else {
            self.omitted_violations += 1;
        }
    }

    /// Checks the next entry of the log.
    pub fn check_entry(&mut self, entry: &LogEntry) {
        let now = entry.at;
        match entry.event {
            LogEvent::Started { sender_id } => self.running_since[sender_id as usize] = Some(now),
            LogEvent::Killed { sender_id } => self.record_kill(now, sender_id),
            LogEvent::Taken { webhook_id, message_id, sender_id, event_type_id, key, ttl_at, .. } => {
                debug_assert_eq!(self.webhooks.len() as u64 + 1, webhook_id);
                let state = WebhookState {
                    sender_id,
                    message_id,
                    event_type_id,
                    key,
                    ttl_at,
                    in_flight: None,
                    may_have_run: None,
                    has_final_answer: false,
                };
                self.webhooks.push(state);
                let messages = self.effect_counts.len().max(message_id as usize + 1);
                self.effect_counts.resize(messages, 0);
                if self.event_types[usize::from(event_type_id)].ordered {
                    self.key_queues.entry((sender_id, key)).or_default().push_back(webhook_id);
                }
            }
            LogEvent::Attempt { webhook_id, sender_id, endpoint_id } => {
                self.check_attempt(now, webhook_id, sender_id, endpoint_id)
            }
            LogEvent::Outcome { webhook_id, sender_id, endpoint_id, result, wait } => {
                self.record_outcome(now, webhook_id, sender_id, endpoint_id, result);
                if wait > 0 {
                    self.set_wait(now + wait, sender_id, endpoint_id);
                }
            }
            LogEvent::Wait { sender_id, endpoint_id, wait } => {
                self.set_wait(now + wait, sender_id, endpoint_id)
            }
            LogEvent::Ran { webhook_id, endpoint_id, duplicate } => {
                self.check_run(now, webhook_id, endpoint_id, duplicate)
            }
            LogEvent::End { webhook_id, sender_id, final_answer } => {
                self.check_final_answer(now, webhook_id, sender_id, final_answer)
            }
            LogEvent::Listed { sender_id, endpoint_id, ready: true } => {
                self.unlisted_since.remove(&(sender_id, endpoint_id));
            }
            LogEvent::Listed { sender_id, endpoint_id, ready: false } => {
                self.unlisted_since.entry((sender_id, endpoint_id)).or_insert(now);
            }
            LogEvent::OutageBegan { endpoint_id } => {
                let outage = self.outages.entry(self.groups[endpoint_id as usize]).or_default();
                outage.began_at = if outage.endpoints_down == 0 { now } else { outage.began_at };
                outage.endpoints_down += 1;
            }
            LogEvent::OutageEnded { endpoint_id } => {
                let outage = self.outages.entry(self.groups[endpoint_id as usize]).or_default();
                outage.endpoints_down = outage.endpoints_down.saturating_sub(1);
                outage.ended_at = Some(now);
            }
            LogEvent::Call { sender_id, endpoint_id } => {
                let (overload_span, warm_up) = (self.overload_span, self.warm_up);
                let Some(outage) = self.outages.get_mut(&self.groups[endpoint_id as usize]) else { return };
                if outage.ended_at.is_some_and(|ended_at| now <= ended_at + warm_up) {
                    outage.recent_calls.push_back((now, sender_id));
                    while outage.recent_calls.front().is_some_and(|call| call.0 + overload_span < now) {
                        outage.recent_calls.pop_front();
                    }
                }
            }
            LogEvent::Fell { endpoint_id } => self.check_overload(now, endpoint_id),
        }
    }

    /// A sender has to wait before it sends to the route group of an endpoint again.
    fn set_wait(&mut self, until: Nanos, sender_id: u32, endpoint_id: u32) {
        let wait_until = self.waits_until.entry((sender_id, self.groups[endpoint_id as usize])).or_default();
        *wait_until = (*wait_until).max(until);
    }

    /// Checks an attempt when it starts.
    fn check_attempt(&mut self, now: Nanos, webhook_id: u64, sender_id: u32, endpoint_id: u32) {
        let Some(state) = self.webhooks.get(webhook_id as usize - 1) else { return };
        let event_type = &self.event_types[usize::from(state.event_type_id)];
        let mut violations = Vec::new();
        if state.has_final_answer {
            violations.push((Rule::Lost, format!("webhook {webhook_id} was sent after its final answer")));
        }
        if state.in_flight.is_some() {
            violations
                .push((Rule::Twice, format!("webhook {webhook_id} was sent while an attempt was in flight")));
        }
        if let Some((zone, at)) = state.may_have_run {
            let harm = match event_type.effect {
                RepeatEffect::Idempotent => None,
                RepeatEffect::AtMostOnce => Some("is at-most-once"),
                RepeatEffect::Tokened if now > at + event_type.token_lifetime => {
                    Some("its token has expired")
                }
                RepeatEffect::Tokened
                    if !event_type.token_shared_by_zones && zone != self.zones[endpoint_id as usize] =>
                {
                    Some("its token is known in another zone only")
                }
                RepeatEffect::Tokened => None,
            };
            violations.extend(harm.map(|harm| {
                (Rule::Twice, format!("webhook {webhook_id} may have run, {harm}, and was sent again"))
            }));
        }
        if self
            .unlisted_since
            .get(&(sender_id, endpoint_id))
            .is_some_and(|since| now > since + self.drain_grace)
        {
            violations.push((
                Rule::Drains,
                format!(
                    "sender {sender_id} sent to endpoint {endpoint_id}, which drains or has left the list"
                ),
            ));
        }
        let route_group = self.groups[endpoint_id as usize];
        if self.waits_until.get(&(sender_id, route_group)).is_some_and(|until| now < *until) {
            violations.push((
                Rule::Waits,
                format!(
                    "sender {sender_id} sent to destination {} before the end of a requested wait",
                    route_group.0
                ),
            ));
        }
        if event_type.ordered {
            let key_queue = self.key_queues.get(&(sender_id, state.key));
            let mut earlier_webhooks =
                key_queue.into_iter().flatten().take_while(|other| **other != webhook_id);
            let unfinished = |webhook_id: &&u64| {
                let state = &self.webhooks[**webhook_id as usize - 1];
                !state.has_final_answer || state.in_flight.is_some()
            };
            if let Some(earlier) = earlier_webhooks.find(unfinished) {
                violations.push((
                    Rule::Order,
                    format!("webhook {webhook_id} was sent before webhook {earlier} of its key was finished"),
                ));
            }
            let cooldown = self.key_cooldowns.get(&(sender_id, state.key));
            if cooldown.is_some_and(|(until, cause)| now < *until && *cause != webhook_id) {
                violations.push((
                    Rule::Order,
                    format!("webhook {webhook_id} was sent during the cooldown of its ordering key"),
                ));
            }
        }
        for (rule, text) in violations {
            self.record_violation(rule, now, text);
        }
        self.webhooks[webhook_id as usize - 1].in_flight = Some((endpoint_id, now));
    }

    /// Records what the outcome of an attempt tells its sender.
    fn record_outcome(
        &mut self, now: Nanos, webhook_id: u64, sender_id: u32, endpoint_id: u32, result: AttemptResult,
    ) {
        if !matches!(result, AttemptResult::Delivered | AttemptResult::Moot | AttemptResult::HeldBack) {
            self.outages
                .entry(self.groups[endpoint_id as usize])
                .or_default()
                .failure_seen_at
                .insert(sender_id, now);
        }
        let Some(state) = self.webhooks.get_mut(webhook_id as usize - 1) else { return };
        if result == AttemptResult::Moot {
            return;
        }
        let attempt = state.in_flight.take();
        let outcome_may_have_run = matches!(
            result,
            AttemptResult::Failed | AttemptResult::TimedOut | AttemptResult::Reset | AttemptResult::Cancelled
        );
        if let Some((endpoint_id, at)) =
            attempt.filter(|_| outcome_may_have_run && state.may_have_run.is_none())
        {
            state.may_have_run = Some((self.zones[endpoint_id as usize], at));
        }
        let may_still_run =
            matches!(result, AttemptResult::TimedOut | AttemptResult::Reset | AttemptResult::Cancelled);
        let (key, has_final_answer) = (state.key, state.has_final_answer);
        if self.event_types[usize::from(state.event_type_id)].ordered {
            if may_still_run {
                self.key_cooldowns.insert((sender_id, key), (now + self.key_cooldown, webhook_id));
            }
            if has_final_answer {
                self.leave_key_queue(sender_id, key, webhook_id);
            }
        }
    }

    /// Removes a finished webhook from the queue of its ordering key.
    fn leave_key_queue(&mut self, sender_id: u32, key: u64, webhook_id: u64) {
        if let Some(key_queue) = self.key_queues.get_mut(&(sender_id, key)) {
            key_queue.retain(|other| *other != webhook_id);
            if key_queue.is_empty() {
                self.key_queues.remove(&(sender_id, key));
            }
        }
    }

    /// Checks a run at an endpoint for a second effect.
    fn check_run(&mut self, now: Nanos, webhook_id: u64, endpoint_id: u32, duplicate: bool) {
        let Some(state) = self.webhooks.get(webhook_id as usize - 1) else { return };
        let (message_id, effect) =
            (state.message_id, self.event_types[usize::from(state.event_type_id)].effect);
        if duplicate || effect == RepeatEffect::Idempotent {
            return;
        }
        let effect_count = &mut self.effect_counts[message_id as usize];
        *effect_count = effect_count.saturating_add(1);
        if *effect_count == 2 {
            self.record_violation(
                Rule::Twice,
                now,
                format!("message {message_id} took effect a second time, at endpoint {endpoint_id}"),
            );
        }
    }

    /// Checks a final answer when it is given.
    fn check_final_answer(&mut self, now: Nanos, webhook_id: u64, sender_id: u32, final_answer: FinalAnswer) {
        let Some(state) = self.webhooks.get_mut(webhook_id as usize - 1) else { return };
        if std::mem::replace(&mut state.has_final_answer, true) {
            return self.record_violation(
                Rule::Lost,
                now,
                format!("webhook {webhook_id} got a second final answer"),
            );
        }
        let (ttl_at, may_have_run, in_flight, key, event_type_id) = (
            state.ttl_at,
            state.may_have_run,
            state.in_flight.is_some(),
            state.key,
            usize::from(state.event_type_id),
        );
        // A webhook whose TTL ended while its sender was dead has to be answered at once when the sender
        // runs again.
        let running_since = self.running_since[sender_id as usize].unwrap_or(0);
        let answered = matches!(
            final_answer,
            FinalAnswer::Delivered | FinalAnswer::Rejected | FinalAnswer::DeadLettered
        );
        if answered && now > ttl_at.max(running_since) + self.answer_grace {
            let late_s = seconds(now - ttl_at);
            self.record_violation(
                Rule::Lost,
                now,
                format!("webhook {webhook_id} got its final answer {late_s:.3} s after TTL"),
            );
        }
        let event_type = &self.event_types[event_type_id];
        let repeat_is_harmless = event_type.effect == RepeatEffect::Idempotent
            || (event_type.effect == RepeatEffect::Tokened && event_type.token_shared_by_zones);
        if final_answer == FinalAnswer::Rejected
            && (may_have_run.is_some() || in_flight)
            && !repeat_is_harmless
        {
            self.record_violation(
                Rule::Twice,
                now,
                format!("webhook {webhook_id} may have run and was rejected"),
            );
        }
        if self.event_types[event_type_id].ordered && !in_flight {
            self.leave_key_queue(sender_id, key, webhook_id);
        }
    }

    /// A killed sender's attempts in flight may have run.
    fn record_kill(&mut self, now: Nanos, sender_id: u32) {
        self.running_since[sender_id as usize] = None;
        let mut finished = Vec::new();
        for (index, state) in
            self.webhooks.iter_mut().enumerate().filter(|(_, state)| state.sender_id == sender_id)
        {
            let Some((endpoint_id, at)) = state.in_flight.take() else { continue };
            state.may_have_run = state.may_have_run.or(Some((self.zones[endpoint_id as usize], at)));
            if self.event_types[usize::from(state.event_type_id)].ordered {
                self.key_cooldowns
                    .insert((sender_id, state.key), (now + self.key_cooldown, index as u64 + 1));
                finished.extend(state.has_final_answer.then_some((state.key, index as u64 + 1)));
            }
        }
        finished.into_iter().for_each(|(key, webhook_id)| self.leave_key_queue(sender_id, key, webhook_id));
    }

    /// An overload breaks the rule only if most of the load came from senders that saw the outage.
    fn check_overload(&mut self, now: Nanos, endpoint_id: u32) {
        let route_group = self.groups[endpoint_id as usize];
        let Some(outage) = self.outages.get(&route_group) else { return };
        let total = outage.recent_calls.len();
        let informed = outage
            .recent_calls
            .iter()
            .filter(|call| {
                outage.failure_seen_at.get(&call.1).is_some_and(|seen_at| *seen_at >= outage.began_at)
            })
            .count();
        // The rule is broken where senders that saw the outage brought at least two thirds of the load.
        if total > 0 && 3 * informed >= 2 * total {
            let text = format!(
                "destination {} was overloaded, {informed} of {total} calls by senders that saw its outage",
                route_group.0
            );
            self.record_violation(Rule::Returns, now, text);
        }
    }

    /// All violations by time. An unanswered webhook is one only if its sender is running at the end.
    pub fn into_violations(mut self, ended_at: Nanos) -> Vec<Violation> {
        for index in 0..self.webhooks.len() {
            let state = &self.webhooks[index];
            let running_since = self.running_since[state.sender_id as usize];
            if !state.has_final_answer
                && running_since.is_some_and(|running_since| {
                    ended_at > state.ttl_at.max(running_since) + self.answer_grace
                })
            {
                let at = state.ttl_at;
                self.record_violation(
                    Rule::Lost,
                    at,
                    format!("webhook {} never got a final answer", index + 1),
                );
            }
        }
        self.violations.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        if self.omitted_violations > 0 {
            let text = format!("{} further violations are not listed", self.omitted_violations);
            let rule = self.violations.last().map_or(Rule::Lost, |violation| violation.rule);
            self.violations.push(Violation { rule, at_s: seconds(ended_at), text });
        }
        self.violations
    }
}
