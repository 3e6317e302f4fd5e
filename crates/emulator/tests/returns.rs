//! Destinations that return cold from an outage are not overloaded by all senders together, however many
//! there are.

mod helpers;

use helpers::{fault, spread};
use scalebarrow_emulator::events::LogEvent;
use scalebarrow_emulator::random::Shape;
use scalebarrow_emulator::spec::*;
use scalebarrow_emulator::{Rule, baselines, run};

/// How the destinations fail, for how long, and of what kind they are.
struct Outage {
    name: &'static str,
    kind: FaultKind,
    duration_s: f64,
    /// Webhooks in a call; where it is more than one, endpoints are independent.
    batch: usize,
    limit: LimitBy,
}

const OUTAGES: [Outage; 4] = [
    Outage { name: "short", kind: FaultKind::Down, duration_s: 10.0, batch: 1, limit: LimitBy::None },
    Outage { name: "long", kind: FaultKind::Down, duration_s: 40.0, batch: 1, limit: LimitBy::None },
    Outage { name: "hang", kind: FaultKind::Hang, duration_s: 20.0, batch: 1, limit: LimitBy::None },
    Outage { name: "batches", kind: FaultKind::Down, duration_s: 10.0, batch: 8, limit: LimitBy::Rate },
];

const OUTAGE_START_S: f64 = 5.0;
/// Twice the warm-up time of 12 s.
const RECOVERY_S: f64 = 24.0;
/// Allowed overloads in 1,000 returns: those that only senders without knowledge of the outage can cause.
const MAX_OVERLOADS_PER_1000_RETURNS: f64 = 10.0;

/// A hundred destinations, half of them with an outage, and 300 webhooks per second from `senders` senders.
fn world(senders: usize, outage: &Outage) -> World {
    let destination_kind = DestinationKind {
        name: "plain".into(),
        headroom: 1.5,
        max_waiting: 16,
        max_batch: outage.batch,
        independent_endpoints: outage.batch > 1,
        limit: outage.limit,
        service_time: spread(0.1, Shape::Lognormal, 0.8),
        ..DestinationKind::default()
    };
    let event_type =
        EventType { name: "order".into(), effect: RepeatEffect::Tokened, ..EventType::default() };
    World {
        day: Day { length_s: OUTAGE_START_S + outage.duration_s + RECOVERY_S, ..Day::default() },
        senders: Senders { count: senders, ..Senders::default() },
        clients: Clients { rate: 300.0, ..Clients::default() },
        destinations: Destinations { count: 100, ..Destinations::default() },
        destination_kinds: vec![destination_kind],
        event_types: vec![event_type],
        faults: vec![fault(outage.kind, OUTAGE_START_S, outage.duration_s, 0.0, 0.5)],
        ..World::default()
    }
}

/// Returns from outages, overloads, and violations of the rule on some days.
#[derive(Default)]
struct Counts {
    returns: usize,
    overloads: u64,
    violations: Vec<String>,
}

fn play_days(senders: usize, outage: &Outage, seeds: std::ops::RangeInclusive<u64>) -> Counts {
    let factory = baselines::factory_by_name("module").expect("the module is a policy");
    let mut counts = Counts::default();
    for seed in seeds {
        let mut returns = 0;
        let mut observer = |entry: &scalebarrow_emulator::events::LogEntry| {
            returns += usize::from(matches!(entry.event, LogEvent::OutageEnded { .. }));
        };
        let report =
            run(&world(senders, outage), seed, &factory, &mut observer).expect("the world can be played");
        counts.returns += returns;
        counts.overloads += report.counts.falls;
        let returns_violations = report.violations.iter().filter(|violation| violation.rule == Rule::Returns);
        counts.violations.extend(
            returns_violations.map(|violation| format!("{} {seed}: {}", outage.name, violation.text)),
        );
    }
    counts
}

#[test]
fn returning_destinations_are_not_overloaded_by_2_to_300_senders() {
    std::thread::scope(|scope| {
        let days =
            |senders: usize| move || OUTAGES.each_ref().map(|outage| play_days(senders, outage, 1..=2));
        let plays = [2, 6, 20, 30, 300].map(|senders| (senders, scope.spawn(days(senders))));
        for (senders, play) in plays {
            let counts = play.join().expect("the days are played");
            let returns: usize = counts.iter().map(|counts| counts.returns).sum();
            let overloads: u64 = counts.iter().map(|counts| counts.overloads).sum();
            let violations: Vec<_> = counts.iter().flat_map(|counts| &counts.violations).collect();
            assert!(returns >= 1_000, "{senders} senders: only {returns} returns were drawn");
            assert!(violations.is_empty(), "{senders} senders: {violations:?}");
            let allowed = MAX_OVERLOADS_PER_1000_RETURNS * returns as f64 / 1_000.0;
            assert!(
                overloads as f64 <= allowed,
                "{senders} senders: {overloads} overloads in {returns} returns"
            );
        }
    });
}

/// Guards against an overload on return that showed with few calls per second to each destination, many
/// senders and a long outage.
#[test]
fn a_long_outage_seen_by_140_senders_breaks_no_rule_on_return() {
    let destination_kind = DestinationKind {
        name: "plain".into(),
        headroom: 1.5,
        max_waiting: 16,
        service_time: spread(0.1, Shape::Lognormal, 0.8),
        ..DestinationKind::default()
    };
    let world = World {
        senders: Senders { count: 140, ..Senders::default() },
        clients: Clients { rate: 1_000.0, ..Clients::default() },
        destinations: Destinations { count: 1_000, ..Destinations::default() },
        destination_kinds: vec![destination_kind],
        event_types: vec![EventType { name: "order".into(), ..EventType::default() }],
        faults: vec![fault(FaultKind::Down, 5.0, 50.0, 0.0, 0.013)],
        ..World::default()
    };
    for seed in 1..=2 {
        let report = helpers::play(&world, seed, "module");
        assert_eq!(report.violations, [], "seed {seed}");
    }
}
