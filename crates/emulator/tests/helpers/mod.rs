//! Worlds that tests start from, and a policy that can be made to break one rule.
#![allow(dead_code)]

use scalebarrow::{ActionSink, ListUpdate, ListedEndpoint, Outcome};
use scalebarrow_emulator::policy::{Policy, SenderStart};
use scalebarrow_emulator::random::{Shape, Spread};
use scalebarrow_emulator::spec::*;
use scalebarrow_emulator::{Report, run};
use std::collections::BTreeMap;

/// One destination with one endpoint of `workers` workers, without network delays and limits, and with a very
/// long TTL.
pub fn single_queue(rate: f64, workers: usize, service_time: Spread, length_s: f64) -> World {
    let kind = DestinationKind {
        service_time,
        workers,
        max_waiting: usize::MAX,
        max_connections: usize::MAX,
        ..DestinationKind::default()
    };
    let event_type = EventType { target_latency_s: 1e5, ttl_s: 1e6, ..EventType::default() };
    World {
        day: Day { length_s, ..Day::default() },
        senders: Senders { count: 1, slots: usize::MAX, max_pending: usize::MAX, ..Senders::default() },
        clients: Clients { rate, ..Clients::default() },
        destinations: Destinations { count: 1, zipf_exponent: 0.0, endpoint_count: (1, 1) },
        destination_kinds: vec![kind],
        event_types: vec![event_type],
        network: Network {
            zones: 1,
            same_zone_delay: Spread::fixed(0.0),
            cross_zone_delay: Spread::fixed(0.0),
            client_delay: Spread::fixed(0.0),
            handshake_round_trips: 0.0,
            ..Network::default()
        },
        ..World::default()
    }
}

/// Three senders, ten destinations, kinds with shared and with independent endpoints, and all event types.
pub fn mixed_world(length_s: f64) -> World {
    let types = [
        ("idem", RepeatEffect::Idempotent, false, false),
        ("token", RepeatEffect::Tokened, false, false),
        ("once", RepeatEffect::AtMostOnce, false, false),
        ("line", RepeatEffect::Tokened, true, true),
    ];
    let event_type =
        |(name, effect, token_shared_by_zones, ordered): (&str, RepeatEffect, bool, bool)| EventType {
            name: name.into(),
            target_latency_s: 2.0,
            ttl_s: 8.0,
            effect,
            token_lifetime_s: 8.5,
            token_shared_by_zones,
            ordered,
            ..EventType::default()
        };
    let shared = DestinationKind { name: "plain".into(), limit: LimitBy::Span, ..DestinationKind::default() };
    let independent = DestinationKind {
        name: "apart".into(),
        independent_endpoints: true,
        max_batch: 5,
        limit: LimitBy::Rate,
        reports_limit: true,
        min_rate: 6.0,
        ..DestinationKind::default()
    };
    World {
        day: Day { length_s, ..Day::default() },
        clients: Clients { rate: 60.0, clump_share: 0.1, ..Clients::default() },
        destinations: Destinations { count: 10, ..Destinations::default() },
        destination_kinds: vec![shared, independent],
        event_types: types.into_iter().map(event_type).collect(),
        ..World::default()
    }
}

/// A fault of a share of the destinations, or of the senders for kinds that affect senders; 0: all.
pub fn fault(kind: FaultKind, start_s: f64, duration_s: f64, size: f64, share: f64) -> FaultSpec {
    let target = FaultTarget { share, ..FaultTarget::default() };
    FaultSpec { kind, start_s, duration_s, size, period_s: 0.0, target }
}

/// Plays a day with the policy of this name.
pub fn play(world: &World, seed: u64, policy: &str) -> Report {
    let factory = scalebarrow_emulator::baselines::factory_by_name(policy).unwrap();
    run(world, seed, &factory, &mut |_| {}).unwrap()
}

/// A random duration.
pub fn spread(mean_s: f64, shape: Shape, cv: f64) -> Spread {
    Spread { mean_s, shape, cv }
}

/// A way in which a policy breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Keeps all rules.
    None,
    /// Drops webhooks without a final answer.
    DropsWebhooks,
    /// Gives a second final answer.
    AnswersTwice,
    /// Repeats webhooks that may have run, whatever a repeat does.
    Repeats,
    /// Goes on sending to endpoints that drain.
    UsesDraining,
    /// Sends everything at once to a destination that returns from an outage.
    Overloads,
    /// Ignores ordering keys.
    IgnoresOrder,
    /// Sends before the end of a requested wait.
    IgnoresWaits,
    /// The same, but only for a webhook that arrives at the instant at which the wait is requested.
    IgnoresWaitsOnArrival,
}

/// A webhook without final answer.
struct PendingWebhook {
    event_type: String,
    key: Option<String>,
    destination: u64,
    in_flight: bool,
    attempts_made: u32,
    /// An attempt may have run and a repeat could do harm.
    may_have_run: bool,
    ttl_at: f64,
}

/// A simple policy that keeps all rules, with and without faults, and can be given one flaw. It has one call
/// at a time in flight to each destination, pauses after a failed one, and repeats a webhook that may have
/// run only if its type is idempotent.
pub struct Careful {
    flaw: Flaw,
    endpoints: BTreeMap<u64, Vec<(String, bool)>>,
    pending: BTreeMap<u64, PendingWebhook>,
    calls_in_flight: BTreeMap<u64, u32>,
    paused_until: BTreeMap<u64, f64>,
    wait_requested_at: BTreeMap<u64, f64>,
    arriving: bool,
    slow_until: BTreeMap<u64, f64>,
    last_sent_at: BTreeMap<u64, f64>,
    key_cooldowns: BTreeMap<String, (f64, u64)>,
}

impl Careful {
    /// A policy with this flaw.
    pub fn open(flaw: Flaw) -> Box<dyn Policy> {
        Box::new(Careful {
            flaw,
            endpoints: BTreeMap::new(),
            pending: BTreeMap::new(),
            calls_in_flight: BTreeMap::new(),
            paused_until: BTreeMap::new(),
            wait_requested_at: BTreeMap::new(),
            arriving: false,
            slow_until: BTreeMap::new(),
            last_sent_at: BTreeMap::new(),
            key_cooldowns: BTreeMap::new(),
        })
    }

    /// A factory of policies with this flaw.
    pub fn factory(flaw: Flaw) -> impl Fn(SenderStart) -> Box<dyn Policy> + Sync {
        move |_| Careful::open(flaw)
    }

    /// Sends or answers all webhooks that are due.
    fn send_or_answer(&mut self, now: f64, actions: &mut dyn ActionSink) {
        let webhook_ids: Vec<u64> = self.pending.keys().copied().collect();
        for webhook_id in webhook_ids {
            let webhook = &self.pending[&webhook_id];
            if webhook.in_flight {
                continue;
            }
            let repeats_anything = self.flaw == Flaw::Repeats;
            if now >= webhook.ttl_at - 0.05
                || webhook.attempts_made >= 6
                || (webhook.may_have_run && !repeats_anything)
            {
                if self.flaw != Flaw::DropsWebhooks {
                    if webhook.may_have_run {
                        actions.dead_letter(webhook_id)
                    } else {
                        actions.reject(webhook_id, 0.0)
                    }
                    if self.flaw == Flaw::AnswersTwice {
                        actions.reject(webhook_id, 0.0);
                    }
                }
                self.pending.remove(&webhook_id);
                continue;
            }
            let destination = webhook.destination;
            let ignores_pauses = match self.flaw {
                Flaw::Overloads | Flaw::IgnoresWaits | Flaw::Repeats => true,
                Flaw::IgnoresWaitsOnArrival => {
                    self.arriving && self.wait_requested_at.get(&destination) == Some(&now)
                }
                _ => false,
            };
            let busy = self.calls_in_flight.get(&destination).copied().unwrap_or(0) > 0;
            let busy = busy && self.flaw != Flaw::IgnoresOrder;
            if !ignores_pauses
                && (busy || self.paused_until.get(&destination).is_some_and(|until| now < *until))
            {
                continue;
            }
            // Slow for a while after a failure, so that a cold destination is not overloaded.
            let slow = self.slow_until.get(&destination).is_some_and(|until| now < *until);
            if !ignores_pauses
                && slow
                && self.last_sent_at.get(&destination).is_some_and(|last_sent_at| now < last_sent_at + 1.6)
            {
                continue;
            }
            if let Some(key) = webhook.key.as_ref().filter(|_| self.flaw != Flaw::IgnoresOrder) {
                let is_next =
                    self.pending.iter().find(|entry| entry.1.key.as_ref() == Some(key)).map(|entry| *entry.0)
                        == Some(webhook_id);
                if !is_next
                    || self
                        .key_cooldowns
                        .get(key)
                        .is_some_and(|(until, cause)| now < *until && *cause != webhook_id)
                {
                    continue;
                }
            }
            let any_state = self.flaw == Flaw::UsesDraining;
            let endpoints = self.endpoints.get(&destination).into_iter().flatten();
            let Some((endpoint, _)) = endpoints.clone().find(|known| known.1 || any_state) else { continue };
            actions.start_attempt(webhook_id, endpoint, webhook.ttl_at);
            self.last_sent_at.insert(destination, now);
            let webhook = self.pending.get_mut(&webhook_id).unwrap();
            (webhook.in_flight, webhook.attempts_made) = (true, webhook.attempts_made + 1);
            *self.calls_in_flight.entry(destination).or_default() += 1;
        }
    }
}

impl Policy for Careful {
    fn update_list(
        &mut self, now: f64, _update: ListUpdate, entries: &[ListedEndpoint], actions: &mut dyn ActionSink,
    ) {
        for entry in entries {
            let endpoints = self.endpoints.entry(entry.destination).or_default();
            match endpoints.iter_mut().find(|known| known.0 == entry.endpoint) {
                Some(known) => known.1 = entry.ready,
                None => endpoints.push((entry.endpoint.into(), entry.ready)),
            }
        }
        self.send_or_answer(now, actions);
        if now == 0.0 {
            actions.schedule_wake(0.05, 0);
        }
    }
    fn accept(
        &mut self, now: f64, webhook_id: u64, event_type: &str, destination: u64, key: Option<&str>,
        _customer: Option<&str>, ttl_left: f64, actions: &mut dyn ActionSink,
    ) {
        let key = key.map(Into::into);
        let event_type = event_type.into();
        let webhook = PendingWebhook {
            event_type,
            key,
            destination,
            in_flight: false,
            attempts_made: 0,
            may_have_run: false,
            ttl_at: now + ttl_left,
        };
        self.pending.insert(webhook_id, webhook);
        self.arriving = true;
        self.send_or_answer(now, actions);
        self.arriving = false;
    }
    fn resume(
        &mut self, now: f64, webhook_id: u64, event_type: &str, destination: u64, key: Option<&str>,
        customer: Option<&str>, ttl_left: f64, _attempts_made: u32, may_have_run: Option<(&str, f64)>,
        actions: &mut dyn ActionSink,
    ) {
        if may_have_run.is_some() {
            actions.dead_letter(webhook_id);
        } else {
            self.accept(now, webhook_id, event_type, destination, key, customer, ttl_left, actions);
        }
    }
    fn begin_shutdown(&mut self, _now: f64, _shutdown_at: f64, _actions: &mut dyn ActionSink) {}
    fn attempt_ended(
        &mut self, now: f64, webhook_id: u64, endpoint: &str, outcome: Outcome, _duration: f64,
        is_final: bool, _limit_report: Option<(f64, f64)>, actions: &mut dyn ActionSink,
    ) {
        let destination = self
            .endpoints
            .iter()
            .find(|(_, endpoints)| endpoints.iter().any(|known| known.0 == endpoint))
            .map_or(0, |entry| *entry.0);
        *self.calls_in_flight.entry(destination).or_default() -= 1;
        match outcome {
            Outcome::Delivered => {}
            Outcome::Full(wait) => {
                self.wait_requested_at.insert(destination, now);
                self.paused_until.insert(destination, now + wait.max(1.0) + 0.001);
            }
            _ => {
                self.paused_until.insert(destination, now + 2.0);
                self.slow_until.insert(destination, now + 25.0);
            }
        }
        if let Some(webhook) = self.pending.get_mut(&webhook_id) {
            webhook.in_flight = false;
            if matches!(outcome, Outcome::Failed | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                webhook.may_have_run |= webhook.event_type != "idem";
                if let Some(key) = &webhook.key {
                    self.key_cooldowns.insert(key.clone(), (now + 0.6, webhook_id));
                }
            }
        }
        if is_final {
            self.pending.remove(&webhook_id);
        }
        self.send_or_answer(now, actions);
    }
    fn wait_requested(&mut self, now: f64, endpoint: &str, wait: f64, _actions: &mut dyn ActionSink) {
        let destination = self
            .endpoints
            .iter()
            .find(|(_, endpoints)| endpoints.iter().any(|known| known.0 == endpoint))
            .map_or(0, |entry| *entry.0);
        let until = now + wait + 0.001;
        let paused_until = self.paused_until.entry(destination).or_default();
        *paused_until = paused_until.max(until);
    }
    fn withdraw(&mut self, now: f64, webhook_id: u64, actions: &mut dyn ActionSink) {
        if self.pending.get(&webhook_id).is_some_and(|webhook| !webhook.in_flight) {
            self.pending.remove(&webhook_id);
        }
        self.send_or_answer(now, actions);
    }
    fn wake(&mut self, now: f64, _handle: u64, actions: &mut dyn ActionSink) {
        self.send_or_answer(now, actions);
        actions.schedule_wake(0.05, 0);
    }
}
