//! All decisions of a sender, as a rule engine; `src/lib.rs` is its interface. After each input, `run_rules`
//! applies the first rule of `RULES` that matches, and starts over until none matches.
//!
//! `routing` selects the route of a webhook as `docs/design.md` describes it: availability, a weighted score,
//! the best score within a margin, ties by hash, and a limit on the calls in flight per route. The other
//! modules are:
//! 1. `repeats`: exactly one final answer within the TTL; repeats of what may have run; ordering keys;
//!    restarts
//! 2. `endpoint_list`: the watch on the endpoint list, drains
//! 3. `waits`: requested waits, this sender's share of each rate limit, batches
//! 4. `cold_budget`: outages, this sender's share of the calls to a cold destination, warm-up
//! 5. `admission`, `connections`: which webhooks get scarce slots and memory; scarce and stale connections
//! 6. `retries`: attempt timeouts and retries
//! 7. `memory`: what outlives a restart of outages and waits
//! 8. `wake`: when a rule can match without a further input

mod admission;
mod cold_budget;
mod connections;
mod endpoint_list;
mod memory;
mod repeats;
mod retries;
mod routing;
mod waits;
mod wake;

use crate::chance::{Rng, hash};
use crate::index::{IdleDestinations, KeysByKind, OrderedF64, PendingEntry, PendingWebhooks, median};
use crate::state::*;
use crate::{
    ActionSink, ListUpdate, ListedEndpoint, NotSentReason, Outcome, RememberedOutage, RepeatSafety,
    ScopeMemory,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A route that was unused for this long is treated as new: the span for which `docs/design.md` trusts what
/// is known.
const ROUTE_MEMORY_SECS: f64 = 60.0;

/// The longest pause between two attempts for a webhook.
const MAX_RETRY_PAUSE_SECS: f64 = 2.0;

/// A condition, and the action that runs when it selects a target.
struct Rule {
    name: &'static str,
    condition: fn(&RuleEngine) -> Option<RuleTarget>,
    action: fn(&mut RuleEngine, RuleTarget, &mut dyn ActionSink),
}

/// All rules, in order of precedence.
const RULES: [Rule; 11] = [
    Rule { name: "expired", condition: RuleEngine::expired, action: RuleEngine::give_up },
    Rule { name: "exhausted", condition: RuleEngine::exhausted, action: RuleEngine::give_up },
    Rule { name: "overflow", condition: RuleEngine::overflow, action: RuleEngine::give_up },
    Rule { name: "watch", condition: RuleEngine::watch_due, action: RuleEngine::request_list },
    Rule { name: "unused-route", condition: RuleEngine::unused_route, action: RuleEngine::forget_route },
    Rule { name: "missed-turn", condition: RuleEngine::missed_turn, action: RuleEngine::draw_turn },
    Rule { name: "probe", condition: RuleEngine::due_probe, action: RuleEngine::start_attempt },
    Rule { name: "send", condition: RuleEngine::next_attempt, action: RuleEngine::start_attempt },
    Rule { name: "overdue-call", condition: RuleEngine::overdue_call, action: RuleEngine::cancel_call },
    Rule {
        name: "close-idle",
        condition: RuleEngine::idle_to_close,
        action: RuleEngine::close_idle_connections,
    },
    Rule { name: "wake", condition: RuleEngine::wake_due, action: RuleEngine::schedule_wake },
];

/// The state of one sender and its rules.
#[derive(Default)]
pub(crate) struct RuleEngine {
    /// The time of the current input.
    pub now: f64,
    sender_index: u64,
    sender_count: f64,
    rng: Rng,
    /// Random numbers for the turns that are drawn in place of missed ones.
    turn_rng: Rng,
    pub event_types: BTreeMap<Name, EventType>,
    webhooks: BTreeMap<u64, Webhook>,
    /// The webhooks of each ordering key; only the front one may be sent.
    key_queues: BTreeMap<Name, VecDeque<u64>>,
    /// Until when the webhooks of an ordering key wait because an earlier attempt may still run.
    key_cooldown_until: BTreeMap<Name, f64>,
    /// How long the cooldown of an ordering key lasts, in seconds.
    pub key_cooldown: f64,
    /// For each kind of destination, webhooks in one call at most, and whether its endpoints are independent.
    pub destination_kinds: BTreeMap<Name, (usize, bool)>,
    pub list_watch: ListWatch,
    routes: BTreeMap<Name, Route>,
    /// Endpoints whose route is replaced once its calls have ended.
    moved_endpoints: BTreeMap<Name, MovedEndpoint>,
    /// Routes with calls in flight.
    active_routes: BTreeSet<Name>,
    /// Calls in flight by destination.
    calls_in_flight: BTreeMap<u64, usize>,
    /// By kind of destination: routes with idle connections that no pending webhook needs, and those of them
    /// that are called less often than the idle timeout.
    unneeded_connections: KeysByKind<Name>,
    /// By kind of destination: until when no idle connection is kept, and calls delivered since a connect
    /// failed.
    connection_scarcity: BTreeMap<Name, (f64, u32)>,
    /// How long an unused connection stays open, in seconds.
    pub idle_timeout: f64,
    /// The endpoints of each destination.
    endpoints: BTreeMap<u64, Vec<Name>>,
    rate_limiters: BTreeMap<LimitScope, RateLimiter>,
    /// Cost of the path to each zone.
    pub zone_costs: BTreeMap<Name, f64>,
    /// The last reported limits of all destinations, and their median.
    recent_limits: VecDeque<f64>,
    typical_limit: f64,
    /// When a reported limit was last used up.
    limit_used_up_at: f64,
    pub cold_start: ColdStart,
    pending: PendingWebhooks<WebhookGroup>,
    idle_destinations: IdleDestinations,
    pub limits: SenderLimits,
    /// Calls in flight; each takes a slot.
    used_slots: usize,
    /// The longest delay that clients honor before they hand a webhook in again, in seconds.
    pub max_retry_after: f64,
    /// For each customer: its quota, the weight of value beyond it, and the times of recent webhooks.
    pub customers: BTreeMap<Name, (f64, f64, VecDeque<f64>)>,
    /// Whether each of the recent retries was delivered.
    retry_results: VecDeque<bool>,
    /// Recent calls of all routes: true for one lost between two deliveries, false for a delivery.
    recent_losses: VecDeque<bool>,
    /// Recent calls: when each ended, whether its connection had been idle, and whether it was lost.
    recent_connection_uses: VecDeque<(f64, bool, bool)>,
    /// The route that each destination used last.
    current_routes: BTreeMap<u64, Name>,
    /// When the wake-up that was scheduled last is due.
    wake_at: Option<f64>,
    unused_routes: UnusedRoutes,
    /// When the process will end.
    pub shutdown_at: f64,
    /// Scopes whose outage or wait may have changed since it was stored.
    changed_scopes: BTreeSet<LimitScope>,
    /// Outages that the process before this one saw, until their endpoints are listed.
    remembered_outages: BTreeMap<LimitScope, RememberedOutage>,
}

impl RuleEngine {
    /// An engine without settings; see [`crate::Sender::new`].
    pub fn new(now: f64, seed: u64, sender_index: u64, sender_count: u64) -> Self {
        let sender_count = sender_count.max(1) as f64;
        let mut engine = RuleEngine { now, sender_index, sender_count, ..RuleEngine::default() };
        (engine.rng, engine.turn_rng) = (Rng::new(seed), Rng::new(hash(seed, "turns")));
        (engine.list_watch.max_interval, engine.idle_timeout) = (f64::INFINITY, f64::INFINITY);
        (engine.list_watch.request_at, engine.unused_routes.next_check_at) = (now, now);
        (engine.shutdown_at, engine.limit_used_up_at) = (f64::INFINITY, f64::NEG_INFINITY);
        (engine.limits.slots, engine.limits.max_pending, engine.limits.max_attempts) = (1, 1, 1);
        engine
    }

    /// Applies rules until none matches.
    pub fn run_rules(&mut self, actions: &mut dyn ActionSink) {
        self.store_memories(actions);
        // Every action ends or sends a webhook or moves a time, so the loop ends; the bound guards against a
        // bug there.
        let mut last = "";
        for _ in 0..100_000 {
            self.apply_moved_endpoints();
            self.refresh_indexes();
            let found = RULES.iter().find_map(|rule| (rule.condition)(self).map(|target| (rule, target)));
            let Some((rule, target)) = found else {
                if self.used_slots < self.limits.slots {
                    self.idle_destinations.clear_available();
                }
                return;
            };
            last = rule.name;
            (rule.action)(self, target, actions);
        }
        actions.log(&format!("rules still match after 100,000 steps; the last one was {last}"));
    }

    /// Brings the indexes up to date: timers that are due, and destinations where something changed.
    fn refresh_indexes(&mut self) {
        let now = self.now;
        self.pending.advance(now);
        // Whether an attempt can end before the shutdown depends on the time and on each route's tail
        // latency.
        if self.shutdown_at < f64::INFINITY {
            self.pending.changed.extend(self.pending.sendable.keys());
        }
        while let Some(destination) = self.idle_destinations.pop_due(now) {
            self.pending.changed.insert(destination);
        }
        while let Some(destination) = self.pending.changed.pop_first() {
            self.refresh_destination(destination);
        }
        while now >= self.unused_routes.next_check_at
            && let Some(endpoint) = self.unused_routes.timers.pop_due(now)
        {
            self.unused_routes.due.insert(endpoint);
        }
    }

    /// Accepts a webhook whose TTL ends in `ttl_left` seconds.
    pub fn accept(
        &mut self, now: f64, id: u64, event_type: &str, destination: u64, ordering_key: Option<&str>,
        customer: Option<&str>, ttl_left: f64,
    ) {
        self.now = now;
        let ttl_deadline = now + ttl_left;
        let settings = self.event_types.get(event_type);
        let target_deadline =
            settings.map_or(now, |settings| ttl_deadline - settings.ttl + settings.target_latency);
        let ordering_key =
            ordering_key.filter(|_| settings.is_some_and(|settings| settings.ordered)).map(Name::from);
        if let Some(key) = &ordering_key {
            self.key_queues.entry(key.clone()).or_default().push_back(id);
        }
        let (event_type, over_quota) =
            (event_type.into(), customer.is_some_and(|customer| self.exceeds_quota(customer)));
        // A destination that was never listed gets no attempts.
        let attempts = if self.endpoints.contains_key(&destination) { 0 } else { u32::MAX };
        let webhook = Webhook {
            event_type,
            destination,
            ordering_key,
            over_quota,
            target_deadline,
            ttl_deadline,
            attempts,
            ..Webhook::default()
        };
        self.webhooks.insert(id, webhook);
        self.make_pending(id);
    }

    /// An attempt ended after `duration` seconds; see [`crate::Sender::attempt_ended`].
    pub fn attempt_ended(
        &mut self, now: f64, id: u64, endpoint: &str, outcome: Outcome, duration: f64, is_final: bool,
        limit_report: Option<(f64, f64)>,
    ) {
        self.now = now;
        // Only the first webhook of a call that reports its outcome counts for the destination's health.
        let call = self
            .routes
            .get(endpoint)
            .and_then(|route| route.calls.iter().find(|call| call.webhook_ids.contains(&id)));
        let sent_at = call.filter(|call| !call.evaluated).map(|call| call.sent_at);
        if sent_at.is_some() && outcome == Outcome::Delivered {
            self.detect_recovery(endpoint);
        }
        let limit_reached = self.record_call_end(id, endpoint, outcome, duration, limit_report);
        if let Some(sent_at) = sent_at {
            self.detect_outage(endpoint, outcome, sent_at);
        }
        let Some(webhook) = self.webhooks.get_mut(&id) else { return };
        if webhook.in_flight_to.take().is_none() {
            return;
        }
        let may_have_run =
            matches!(outcome, Outcome::Failed | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if may_have_run && webhook.may_have_run.is_none() {
            let zone = self.routes.get(endpoint).map_or_else(|| Name::from(""), |route| route.zone.clone());
            webhook.may_have_run = Some((zone, now - duration));
        }
        // An attempt that may still run starts a cooldown of its ordering key; the front webhook of the key
        // does not wait for it.
        let may_still_run = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        self.key_cooldown_until.extend(
            webhook.ordering_key.clone().filter(|_| may_still_run).map(|key| (key, now + self.key_cooldown)),
        );
        if webhook.attempts > 1 {
            self.retry_results.push_back(outcome == Outcome::Delivered);
            // 20 retries: enough to tell a success rate of one in ten from one in two.
            self.retry_results.drain(..self.retry_results.len().saturating_sub(20));
        }
        if is_final || webhook.withdrawn {
            self.finish(id);
            return;
        }
        // Retries are 0.1 s apart (a short stall) if all recent ones succeeded, up to 2 s if none did.
        let delivered = self.retry_results.iter().filter(|delivered| **delivered).count() + 1;
        let pause =
            (0.1 * (self.retry_results.len() + 1) as f64 / delivered as f64).min(MAX_RETRY_PAUSE_SECS);
        let yielding =
            if limit_reached { self.yield_duration(id) * (0.5 + self.rng.next_f64()) } else { 0.0 };
        self.webhooks.entry(id).and_modify(|webhook| webhook.not_before = now + pause.max(yielding));
        self.make_pending(id);
    }

    /// A scheduled wake-up is due.
    pub fn wake(&mut self, now: f64, _handle: u64) {
        self.now = now;
        self.wake_at = self.wake_at.filter(|wake_at| now < wake_at - 1e-6);
    }
}

#[cfg(test)]
#[path = "scan.rs"]
mod scan;
