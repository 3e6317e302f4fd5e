//! Compares the indexes with plain scans of all pending webhooks, before each rule that fires on random
//! inputs.

use super::*;
use proptest::prelude::*;

/// Destinations and ids of the pending webhooks: those accepted or back from an attempt, neither in flight
/// nor ended.
fn pending(engine: &RuleEngine) -> Vec<(u64, u64)> {
    let mut all: Vec<(u64, u64)> =
        engine.pending.ids().map(|id| (engine.webhooks[id].destination, *id)).collect();
    let in_flight = engine.webhooks.iter().filter(|(_, webhook)| webhook.in_flight_to.is_some()).count();
    assert_eq!(all.len() + in_flight, engine.webhooks.len(), "each webhook is either pending or in flight");
    all.sort_by_key(|entry| entry.0);
    all
}

fn may_repeat(engine: &RuleEngine, webhook: &Webhook, zone: &str) -> bool {
    let (Some(event_type), Some((first_zone, _))) =
        (engine.event_types.get(&webhook.event_type), &webhook.may_have_run)
    else {
        return webhook.may_have_run.is_none();
    };
    let recognized = event_type.repeat_safety != RepeatSafety::Tokened
        || event_type.token_shared_by_zones
        || **first_zone == *zone;
    recognized && engine.now < engine.repeat_deadline(webhook)
}

fn is_sendable(engine: &RuleEngine, id: u64) -> bool {
    let webhook = &engine.webhooks[&id];
    engine.now >= webhook.not_before.max(engine.key_turn_at(id, webhook))
}

fn expired(engine: &RuleEngine) -> Option<u64> {
    pending(engine)
        .into_iter()
        .map(|entry| entry.1)
        .find(|id| engine.now >= engine.webhooks[id].ttl_deadline - 0.005)
}

fn exhausted(engine: &RuleEngine) -> Option<u64> {
    let is_exhausted = |id: &u64| {
        let webhook = &engine.webhooks[id];
        engine.now >= engine.repeat_deadline(webhook)
            || webhook.attempts >= engine.limits.max_attempts
            || !engine.event_types.contains_key(&webhook.event_type)
    };
    pending(engine).into_iter().map(|entry| entry.1).find(is_exhausted)
}

fn next_attempt(engine: &RuleEngine) -> Option<(u64, Name)> {
    let mut best: Option<(SendRank, u64, Name)> = None;
    for (destination, id) in pending(engine) {
        let routes = engine.ranked_routes(destination);
        let Some(first) = routes.first() else { continue };
        let webhook = &engine.webhooks[&id];
        let rank = engine.send_rank(webhook, RuleEngine::tail_latency(&engine.routes[*first].samples));
        let fits = |endpoint: &&&Name| may_repeat(engine, webhook, &engine.routes[**endpoint].zone);
        if let Some(endpoint) = routes.iter().find(fits).filter(|_| is_sendable(engine, id))
            && best.as_ref().is_none_or(|other| rank < other.0)
        {
            best = Some((rank, id, (*endpoint).clone()));
        }
    }
    best.map(|found| (found.1, found.2))
}

fn due_probe(engine: &RuleEngine) -> Option<(u64, Name)> {
    let all = pending(engine);
    for (destination, endpoints) in &engine.endpoints {
        for endpoint in endpoints {
            let route = &engine.routes[endpoint];
            if !route.circuit_open || engine.available_at(endpoint, route) > engine.now {
                continue;
            }
            let fits = |entry: &&(u64, u64)| {
                entry.0 == *destination
                    && is_sendable(engine, entry.1)
                    && may_repeat(engine, &engine.webhooks[&entry.1], &route.zone)
            };
            let risk = |entry: &&(u64, u64)| {
                let repeat_safety = engine
                    .event_types
                    .get(&engine.webhooks[&entry.1].event_type)
                    .map(|event_type| event_type.repeat_safety);
                (
                    repeat_safety == Some(RepeatSafety::AtMostOnce),
                    repeat_safety == Some(RepeatSafety::Tokened),
                )
            };
            if let Some(entry) = all.iter().filter(fits).min_by_key(risk) {
                return Some((entry.1, endpoint.clone()));
            }
        }
    }
    None
}

fn next_rule_at(engine: &RuleEngine) -> f64 {
    let mut due_at = if engine.list_watch.required && !engine.list_watch.active {
        engine.list_watch.request_at
    } else {
        f64::INFINITY
    };
    for (destination, id) in pending(engine) {
        let endpoints = engine.endpoints.get(&destination).into_iter().flatten();
        let times = endpoints
            .map(|endpoint| engine.available_at(endpoint, &engine.routes[endpoint]))
            .filter(|time| *time > engine.now);
        let webhook = &engine.webhooks[&id];
        let sendable_at = webhook.not_before.max(engine.key_turn_at(id, webhook));
        let attempt_at =
            if sendable_at > engine.now { sendable_at } else { times.fold(f64::INFINITY, f64::min) };
        due_at =
            due_at.min(engine.repeat_deadline(webhook)).min(webhook.ttl_deadline - 0.005).min(attempt_at);
    }
    if engine.used_slots >= engine.limits.slots && !engine.pending.is_empty() && engine.limits.may_cancel {
        due_at = engine.call_timeouts().map(|call| call.0).fold(due_at, f64::min);
    }
    due_at.max(engine.now + 0.01)
}

fn idle_to_close(engine: &RuleEngine) -> Option<Name> {
    let all = pending(engine);
    let closable = |route: &Route| {
        let (scarce_until, delivered) =
            engine.connection_scarcity.get(&route.destination_kind).copied().unwrap_or((engine.now, 0));
        let rarely_used = delivered < 30 && route.last_call_gap > engine.idle_timeout;
        route.connections > route.calls.len()
            && (engine.now < scarce_until || rarely_used)
            && !all.iter().any(|entry| entry.0 == route.destination)
    };
    engine.routes.iter().find(|(_, route)| closable(route)).map(|entry| entry.0.clone())
}

/// Records the attempts that were started.
#[derive(Default)]
struct AttemptLog {
    in_flight: Vec<(u64, String, f64)>,
}

impl ActionSink for AttemptLog {
    fn start_attempt(&mut self, webhook_id: u64, endpoint: &str, _: f64) {
        self.in_flight.push((webhook_id, endpoint.into(), 0.0));
    }
    fn cancel_attempt(&mut self, _: u64, _: u32) {}
    fn reject(&mut self, _: u64, _: f64) {}
    fn dead_letter(&mut self, _: u64) {}
    fn schedule_wake(&mut self, _: f64, _: u64) {}
    fn watch_list(&mut self, _: bool) {}
    fn close_idle_connections(&mut self, _: &str) {}
    fn log(&mut self, text: &str) {
        panic!("{text}");
    }
}

/// Applies the rules as `run_rules` does, and compares each index with its scan before each firing.
fn run_rules(engine: &mut RuleEngine, attempts: &mut AttemptLog) {
    let selected = |target: Option<RuleTarget>| match target {
        Some(RuleTarget::Webhook(id)) => Some((id, Name::from(""))),
        Some(RuleTarget::Attempt(id, endpoint)) => Some((id, endpoint)),
        Some(RuleTarget::Route(endpoint)) => Some((0, endpoint)),
        _ => None,
    };
    loop {
        engine.refresh_indexes();
        let without_endpoint = |id: Option<u64>| id.map(|id| (id, Name::from("")));
        assert_eq!(selected(engine.expired()), without_endpoint(expired(engine)), "expired");
        if expired(engine).is_none() {
            assert_eq!(selected(engine.exhausted()), without_endpoint(exhausted(engine)), "exhausted");
        }
        if expired(engine).is_none() && exhausted(engine).is_none() {
            assert_eq!(selected(engine.due_probe()), due_probe(engine), "probe");
            assert_eq!(selected(engine.next_attempt()), next_attempt(engine), "send");
            assert_eq!(
                selected(engine.idle_to_close()),
                idle_to_close(engine).map(|endpoint| (0, endpoint)),
                "close idle connections"
            );
            let (indexed, scanned) = (engine.next_rule_at(), next_rule_at(engine));
            assert!(indexed == scanned, "next wake-up {indexed}, by scan {scanned}");
        }
        let found = RULES.iter().find_map(|rule| (rule.condition)(engine).map(|target| (rule, target)));
        match found {
            Some((rule, target)) => (rule.action)(engine, target, attempts),
            None => break,
        }
    }
    if engine.used_slots < engine.limits.slots {
        engine.idle_destinations.clear_available();
    }
}

fn engine(list_watch_required: bool, slots: usize) -> RuleEngine {
    let mut engine = RuleEngine::new(0.0, 5, 1, 3);
    let event_types = [
        ("idem", RepeatSafety::Idempotent, false, false, true),
        ("token", RepeatSafety::Tokened, false, false, false),
        ("once", RepeatSafety::AtMostOnce, false, false, true),
        ("line", RepeatSafety::Tokened, true, true, true),
    ];
    for (name, repeat_safety, token_shared_by_zones, ordered, value_halves) in event_types {
        let (target_latency, ttl, value, late_value_share, token_lifetime) = (1.0, 6.0, 1.0, 0.3, 4.0);
        let event_type = EventType {
            target_latency,
            ttl,
            value,
            late_value_share,
            value_halves,
            repeat_safety,
            token_lifetime,
            token_shared_by_zones,
            ordered,
        };
        engine.event_types.insert(name.into(), event_type);
    }
    engine.destination_kinds.insert("plain".into(), (1, false));
    engine.destination_kinds.insert("apart".into(), (3, true));
    engine.customers.insert("c".into(), (2.0, 0.5, VecDeque::new()));
    (engine.limits.slots, engine.limits.max_pending, engine.limits.max_attempts, engine.limits.may_cancel) =
        (slots, 60, 5, true);
    engine.cold_start =
        ColdStart { initial_share: 0.3, warm_up: 4.0, overload_multiple: 1.5, overload_span: 1.5 };
    (engine.idle_timeout, engine.key_cooldown, engine.list_watch.required, engine.list_watch.max_interval) =
        (2.0, 0.4, list_watch_required, 5.0);
    engine
}

/// Lists ten endpoints, or only the one that is gone if the update contains changes.
fn update_list(engine: &mut RuleEngine, update: ListUpdate, gone: usize) {
    let names: Vec<String> = (0..10).map(|index| format!("e{index}")).collect();
    let now = engine.now;
    let entry = |index: usize| ListedEndpoint {
        endpoint: &names[index],
        zone: ["x", "y"][index % 2],
        destination_kind: if index < 6 { "plain" } else { "apart" },
        destination: [1, 1, 1, 2, 2, 3, 4, 4, 5, 5][index],
        ready: index != gone,
        rate_limit: [6.0, 20.0, 0.0][index % 3],
        started_at: [0.0, now - 1.0][index % 2],
    };
    let entries: Vec<ListedEndpoint> =
        (0..10).filter(|index| update != ListUpdate::Changes || *index == gone).map(entry).collect();
    engine.update_list(engine.now, update, &entries);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn indexes_select_the_same_as_scans_on_random_inputs(
        list_watch_required in any::<bool>(), slots in 1_usize..10,
        steps in prop::collection::vec((0_u8..12, 0_usize..1_000, 0.0..0.3_f64), 20..300),
    ) {
        let (mut engine, mut attempts, mut id) =
            (engine(list_watch_required, slots), AttemptLog::default(), 0);
        update_list(&mut engine, ListUpdate::Remembered, 99);
        run_rules(&mut engine, &mut attempts);
        for (input, number, delay) in steps {
            let now = engine.now + if number % 3 == 0 { 0.0 } else { delay };
            engine.now = now;
            match input {
                0..=5 => {
                    id += 1;
                    let event_type =
                        ["idem", "token", "once", "line", "token", "idem", "token", "unknown"][number % 8];
                    let key = (number % 8 == 3).then_some(["a", "b"][number % 2]);
                    let ttl_left = if number % 11 == 0 { 0.3 } else { 6.0 };
                    engine.accept(
                        now, id, event_type, 1 + (number as u64 % 6).min(4), key,
                        (number % 7 == 0).then_some("c"), ttl_left
                    );
                    if number % 13 == 0 {
                        engine.resume(
                            id, number as u32 % 5, (number % 2 == 0).then_some(("x", now - 1.0))
                        );
                    }
                }
                6..=8 if !attempts.in_flight.is_empty() => {
                    let (webhook_id, endpoint, _) =
                        attempts.in_flight.remove(number % attempts.in_flight.len());
                    let outcome = match number % 9 {
                        0 => Outcome::Failed,
                        1 => Outcome::Full(0.0),
                        2 => Outcome::Full(0.7),
                        3 => Outcome::TimedOut,
                        4 => Outcome::ConnectFailed,
                        5 => Outcome::Reset,
                        6 => Outcome::Moot(true),
                        _ => Outcome::Delivered,
                    };
                    let limit_report = (number % 4 == 0).then_some((0.4, 8.0));
                    engine.attempt_ended(
                        now, webhook_id, &endpoint, outcome, 0.1, outcome == Outcome::Delivered, limit_report
                    );
                }
                9 => update_list(
                    &mut engine,
                    [ListUpdate::Changes, ListUpdate::Whole, ListUpdate::Refused][number % 3],
                    number % 10
                ),
                10 => engine.withdraw(now, 1 + number as u64 % id.max(1)),
                _ => engine.wake(now, 0),
            }
            run_rules(&mut engine, &mut attempts);
        }
    }
}
