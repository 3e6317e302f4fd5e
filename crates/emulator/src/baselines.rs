//! Simple policies to compare the decision module with: a rule for choosing an endpoint, and capped
//! exponential backoff. They repeat a webhook that may have run only where that is safe, and keep requested
//! waits. They have no circuit breakers, concurrency windows, shares of limits, or care for cold
//! destinations.

use crate::policy::{Policy, SenderStart};
use crate::random::{Generator, generator};
use crate::spec::{RepeatEffect, World};
use rand::RngExt;
use scalebarrow::{ActionSink, ListUpdate, ListedEndpoint, Outcome};
use std::collections::BTreeMap;

/// How a baseline chooses among the endpoints of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// A random one.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest calls in flight.
    LeastOutstanding,
    /// Of two random ones, the one with fewer calls in flight.
    TwoChoices,
}

/// Names of the policies that an experiment file or a command line may name.
pub const POLICY_NAMES: [&str; 6] =
    ["module", "random", "round-robin", "least-outstanding", "two-choices", "straight"];

/// The factory of the policy with this name.
pub fn factory_by_name(name: &str) -> Option<fn(SenderStart) -> Box<dyn Policy>> {
    Some(match name {
        "module" => crate::policy::decision_module,
        "random" => |start| Baseline::open(start, Choice::Random),
        "round-robin" => |start| Baseline::open(start, Choice::RoundRobin),
        "least-outstanding" => |start| Baseline::open(start, Choice::LeastOutstanding),
        "two-choices" => |start| Baseline::open(start, Choice::TwoChoices),
        "straight" => |_| Box::new(Straight::default()),
        _ => return None,
    })
}

/// A webhook without final answer.
struct PendingWebhook {
    event_type_id: usize,
    destination: u64,
    ttl_at: f64,
    attempts_made: u32,
    may_have_run: Option<(String, f64)>,
    in_flight: bool,
}

/// An endpoint of a destination.
struct Route {
    endpoint: String,
    zone: String,
    ready: bool,
    calls_in_flight: u32,
    /// When the last requested wait ends.
    waits_until: f64,
}

/// A policy with one rule for choosing an endpoint.
pub struct Baseline {
    choice: Choice,
    world: World,
    rng: Generator,
    routes_by_destination: BTreeMap<u64, Vec<Route>>,
    round_robin_positions: BTreeMap<u64, usize>,
    pending: BTreeMap<u64, PendingWebhook>,
}

impl Baseline {
    /// A baseline for a sender that starts.
    pub fn open(start: SenderStart, choice: Choice) -> Box<dyn Policy> {
        let rng = generator(start.seed, "baseline");
        let (routes_by_destination, round_robin_positions, pending) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        // The policy knows the settings, but not the faults of the day.
        let world = World { faults: Vec::new(), ..start.world.clone() };
        Box::new(Baseline { choice, world, rng, routes_by_destination, round_robin_positions, pending })
    }

    /// The route of an endpoint.
    fn route(&mut self, endpoint: &str) -> Option<&mut Route> {
        self.routes_by_destination.values_mut().flatten().find(|route| route.endpoint == endpoint)
    }

    /// Gives the webhook its final answer: rejected if it cannot have run or a repeat is harmless, else
    /// dead-lettered.
    fn give_up(&mut self, webhook_id: u64, actions: &mut dyn ActionSink) {
        let Some(webhook) = self.pending.remove(&webhook_id) else { return };
        let event_type = &self.world.event_types[webhook.event_type_id];
        let repeat_is_harmless = event_type.effect == RepeatEffect::Idempotent
            || (event_type.effect == RepeatEffect::Tokened && event_type.token_shared_by_zones);
        if webhook.may_have_run.is_none() || repeat_is_harmless {
            actions.reject(webhook_id, 0.0)
        } else {
            actions.dead_letter(webhook_id)
        }
    }

    /// Starts an attempt, schedules the next try, or gives the webhook up.
    fn try_send(&mut self, now: f64, webhook_id: u64, actions: &mut dyn ActionSink) {
        let Some(webhook) = self.pending.get(&webhook_id).filter(|known| !known.in_flight) else { return };
        let event_type = &self.world.event_types[webhook.event_type_id];
        let send_by = match (&webhook.may_have_run, event_type.effect) {
            (None, _) | (_, RepeatEffect::Idempotent) => webhook.ttl_at,
            (_, RepeatEffect::AtMostOnce) => 0.0,
            // 50 ms of margin, since the repeat takes time to arrive.
            (Some((_, at)), RepeatEffect::Tokened) => {
                (at + event_type.token_lifetime_s - 0.05).min(webhook.ttl_at)
            }
        };
        // An attempt that starts so late cannot be answered in time.
        if now >= send_by - 0.01 || webhook.attempts_made >= self.world.senders.max_attempts {
            return self.give_up(webhook_id, actions);
        }
        let required_zone = webhook
            .may_have_run
            .as_ref()
            .filter(|_| event_type.effect == RepeatEffect::Tokened && !event_type.token_shared_by_zones)
            .map(|first| first.0.as_str());
        let routes = self.routes_by_destination.entry(webhook.destination).or_default();
        let is_usable = |route: &Route| {
            route.ready && now >= route.waits_until && required_zone.is_none_or(|zone| zone == route.zone)
        };
        let usable: Vec<usize> = (0..routes.len()).filter(|index| is_usable(&routes[*index])).collect();
        if usable.is_empty() {
            let opens_at = routes
                .iter()
                .filter(|route| route.ready)
                .map(|route| route.waits_until)
                .fold(f64::INFINITY, f64::min);
            let retry_at = if opens_at.is_finite() { opens_at.max(now + 0.1) } else { now + 0.25 };
            return self.schedule_retry(now, webhook_id, retry_at + 0.001, send_by, actions);
        }
        let usable_count = usable.len();
        let chosen = match self.choice {
            Choice::Random => usable[self.rng.random_range(0..usable_count)],
            Choice::RoundRobin => {
                let position = self.round_robin_positions.entry(webhook.destination).or_default();
                *position += 1;
                usable[*position % usable_count]
            }
            Choice::LeastOutstanding => {
                usable.iter().copied().min_by_key(|index| routes[*index].calls_in_flight).unwrap_or(usable[0])
            }
            Choice::TwoChoices => {
                let (first, second) = (
                    usable[self.rng.random_range(0..usable_count)],
                    usable[self.rng.random_range(0..usable_count)],
                );
                if routes[first].calls_in_flight <= routes[second].calls_in_flight { first } else { second }
            }
        };
        routes[chosen].calls_in_flight += 1;
        // An attempt may take as long as the target latency.
        let give_up_at = (now + event_type.target_latency_s).min(webhook.ttl_at - 0.005);
        actions.start_attempt(webhook_id, &routes[chosen].endpoint, give_up_at);
        if let Some(webhook) = self.pending.get_mut(&webhook_id) {
            (webhook.in_flight, webhook.attempts_made) = (true, webhook.attempts_made + 1);
        }
    }

    /// Tries again at a given time, or gives the webhook up where that is too late.
    fn schedule_retry(
        &mut self, now: f64, webhook_id: u64, at: f64, send_by: f64, actions: &mut dyn ActionSink,
    ) {
        if at >= send_by - 0.01 {
            self.give_up(webhook_id, actions)
        } else {
            actions.schedule_wake(at - now, webhook_id)
        }
    }
}

impl Policy for Baseline {
    fn update_list(
        &mut self, _now: f64, update: ListUpdate, entries: &[ListedEndpoint], actions: &mut dyn ActionSink,
    ) {
        match update {
            ListUpdate::Refused => return actions.schedule_wake(0.5, 0),
            ListUpdate::Remembered if self.world.endpoint_list.watch_required => actions.watch_list(true),
            ListUpdate::Whole => {
                self.routes_by_destination.values_mut().flatten().for_each(|route| route.ready = false)
            }
            ListUpdate::Remembered | ListUpdate::Changes => {}
        }
        for entry in entries {
            let routes = self.routes_by_destination.entry(entry.destination).or_default();
            match routes.iter_mut().find(|route| route.endpoint == entry.endpoint) {
                Some(route) => route.ready = entry.ready,
                None => {
                    let (endpoint, zone) = (entry.endpoint.into(), entry.zone.into());
                    routes.push(Route {
                        endpoint,
                        zone,
                        ready: entry.ready,
                        calls_in_flight: 0,
                        waits_until: 0.0,
                    });
                }
            }
        }
    }

    fn accept(
        &mut self, now: f64, webhook_id: u64, event_type: &str, destination: u64,
        _ordering_key: Option<&str>, _customer: Option<&str>, ttl_left: f64, actions: &mut dyn ActionSink,
    ) {
        let event_type_id =
            self.world.event_types.iter().position(|known| known.name == event_type).unwrap_or(0);
        self.pending.insert(
            webhook_id,
            PendingWebhook {
                event_type_id,
                destination,
                ttl_at: now + ttl_left,
                attempts_made: 0,
                may_have_run: None,
                in_flight: false,
            },
        );
        self.try_send(now, webhook_id, actions);
    }

    fn resume(
        &mut self, now: f64, webhook_id: u64, event_type: &str, destination: u64,
        _ordering_key: Option<&str>, _customer: Option<&str>, ttl_left: f64, attempts_made: u32,
        may_have_run: Option<(&str, f64)>, actions: &mut dyn ActionSink,
    ) {
        let event_type_id =
            self.world.event_types.iter().position(|known| known.name == event_type).unwrap_or(0);
        let may_have_run = may_have_run.map(|(zone, at)| (zone.into(), at));
        self.pending.insert(
            webhook_id,
            PendingWebhook {
                event_type_id,
                destination,
                ttl_at: now + ttl_left,
                attempts_made,
                may_have_run,
                in_flight: false,
            },
        );
        self.try_send(now, webhook_id, actions);
    }

    fn begin_shutdown(&mut self, _now: f64, _shutdown_at: f64, _actions: &mut dyn ActionSink) {}

    fn attempt_ended(
        &mut self, now: f64, webhook_id: u64, endpoint: &str, outcome: Outcome, duration: f64,
        is_final: bool, _limit_report: Option<(f64, f64)>, actions: &mut dyn ActionSink,
    ) {
        let mut zone = String::new();
        if let Some(route) = self.route(endpoint) {
            route.calls_in_flight = route.calls_in_flight.saturating_sub(1);
            zone.clone_from(&route.zone);
            if let Outcome::Full(wait @ 0.001..) = outcome {
                // 1 ms of margin, so that rounding cannot end the wait early.
                route.waits_until = route.waits_until.max(now + wait + 0.001);
            }
        }
        // All routes of the destination share a wait; this is stricter than needed for independent endpoints.
        if let Outcome::Full(wait @ 0.001..) = outcome {
            let until = now + wait + 0.001;
            let routes = self
                .routes_by_destination
                .values_mut()
                .find(|routes| routes.iter().any(|route| route.endpoint == endpoint));
            routes.into_iter().flatten().for_each(|route| route.waits_until = route.waits_until.max(until));
        }
        if is_final {
            self.pending.remove(&webhook_id);
            return;
        }
        let Some(webhook) = self.pending.get_mut(&webhook_id) else { return };
        webhook.in_flight = false;
        let outcome_may_have_run =
            matches!(outcome, Outcome::Failed | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if outcome_may_have_run && webhook.may_have_run.is_none() {
            webhook.may_have_run = Some((zone, now - duration));
        }
        // Capped exponential backoff: 0.1 s, doubled each time, at most 2 s, with jitter over half of it.
        let (attempts_made, send_by) = (webhook.attempts_made.min(6), webhook.ttl_at);
        let delay = (0.1 * f64::from(1_u32 << attempts_made.saturating_sub(1))).min(2.0);
        let at = now + delay * (0.5 + 0.5 * self.rng.random::<f64>());
        self.schedule_retry(now, webhook_id, at, send_by, actions);
    }

    fn wait_requested(&mut self, now: f64, endpoint: &str, wait: f64, _actions: &mut dyn ActionSink) {
        let routes = self
            .routes_by_destination
            .values_mut()
            .find(|routes| routes.iter().any(|route| route.endpoint == endpoint));
        routes
            .into_iter()
            .flatten()
            .for_each(|route| route.waits_until = route.waits_until.max(now + wait + 0.001));
    }

    fn withdraw(&mut self, _now: f64, webhook_id: u64, _actions: &mut dyn ActionSink) {
        self.pending.remove(&webhook_id);
    }

    fn wake(&mut self, now: f64, handle: u64, actions: &mut dyn ActionSink) {
        if handle == 0 { actions.watch_list(true) } else { self.try_send(now, handle, actions) }
    }
}

/// Sends each webhook at once to the first endpoint listed for its destination, and gives it up when that
/// fails. It does almost no work, so that the speed of the model can be measured and its queues compared with
/// theory.
#[derive(Default)]
pub struct Straight {
    /// The first endpoint listed for each destination.
    first: BTreeMap<u64, String>,
}

impl Policy for Straight {
    fn update_list(
        &mut self, _now: f64, _update: ListUpdate, entries: &[ListedEndpoint], _actions: &mut dyn ActionSink,
    ) {
        for entry in entries {
            self.first.entry(entry.destination).or_insert_with(|| entry.endpoint.into());
        }
    }
    fn accept(
        &mut self, now: f64, webhook_id: u64, _event_type: &str, destination: u64,
        _ordering_key: Option<&str>, _customer: Option<&str>, ttl_left: f64, actions: &mut dyn ActionSink,
    ) {
        match self.first.get(&destination) {
            Some(endpoint) => actions.start_attempt(webhook_id, endpoint, now + ttl_left),
            None => actions.reject(webhook_id, 0.0),
        }
    }
    fn resume(
        &mut self, _now: f64, webhook_id: u64, _event_type: &str, _destination: u64,
        _ordering_key: Option<&str>, _customer: Option<&str>, _ttl_left: f64, _attempts_made: u32,
        _may_have_run: Option<(&str, f64)>, actions: &mut dyn ActionSink,
    ) {
        actions.dead_letter(webhook_id);
    }
    fn begin_shutdown(&mut self, _now: f64, _shutdown_at: f64, _actions: &mut dyn ActionSink) {}
    fn attempt_ended(
        &mut self, _now: f64, webhook_id: u64, _endpoint: &str, outcome: Outcome, _duration: f64,
        is_final: bool, _limit_report: Option<(f64, f64)>, actions: &mut dyn ActionSink,
    ) {
        match outcome {
            _ if is_final => {}
            Outcome::Full(_) | Outcome::ConnectFailed | Outcome::Moot(_) => actions.reject(webhook_id, 0.0),
            _ => actions.dead_letter(webhook_id),
        }
    }
    fn wait_requested(&mut self, _now: f64, _endpoint: &str, _wait: f64, _actions: &mut dyn ActionSink) {}
    fn withdraw(&mut self, _now: f64, _webhook_id: u64, _actions: &mut dyn ActionSink) {}
    fn wake(&mut self, _now: f64, _handle: u64, _actions: &mut dyn ActionSink) {}
}
