//! Destinations that return cold are not pushed over by the sum of all senders, however many there are.

mod helpers;

use helpers::{spread, trouble};
use scalebarrow_emulator::events::LogEvent;
use scalebarrow_emulator::random::Shape;
use scalebarrow_emulator::spec::*;
use scalebarrow_emulator::{Rule, baselines, run};

/// How a destination fails, for how long, and what kind it is.
struct Outage {
    name: &'static str,
    what: FaultKind,
    lasts_s: f64,
    /// Webhooks in a call; where it is more than one, each route is on its own.
    batch: usize,
    limit: LimitBy,
}

const OUTAGES: [Outage; 4] = [
    Outage { name: "short", what: FaultKind::Down, lasts_s: 10.0, batch: 1, limit: LimitBy::None },
    Outage { name: "long", what: FaultKind::Down, lasts_s: 40.0, batch: 1, limit: LimitBy::None },
    Outage { name: "hang", what: FaultKind::Hang, lasts_s: 20.0, batch: 1, limit: LimitBy::None },
    Outage { name: "batches", what: FaultKind::Down, lasts_s: 10.0, batch: 8, limit: LimitBy::Rate },
];

const BEGINS_S: f64 = 5.0;
/// A return takes 12 s; twice that.
const AFTER_S: f64 = 24.0;
/// Falls that only senders without knowledge of the outage can bring about, in 1,000 returns.
const FALLS_BY_OTHERS: f64 = 10.0;

/// A hundred destinations, half of them struck, 300 webhooks a second from so many senders.
fn world(senders: usize, outage: &Outage) -> World {
    let kind = DestinationKind {
        name: "plain".into(),
        headroom: 1.5,
        queue: 16,
        batch: outage.batch,
        apart: outage.batch > 1,
        limit: outage.limit,
        service: spread(0.1, Shape::Lognormal, 0.8),
        ..DestinationKind::default()
    };
    let event_type = EventType { name: "order".into(), effect: Effect::Tokened, ..EventType::default() };
    World {
        day: Day { length_s: BEGINS_S + outage.lasts_s + AFTER_S, ..Day::default() },
        senders: Senders { count: senders, ..Senders::default() },
        clients: Clients { rate: 300.0, ..Clients::default() },
        destinations: Destinations { count: 100, ..Destinations::default() },
        destination_kinds: vec![kind],
        event_types: vec![event_type],
        faults: vec![trouble(outage.what, BEGINS_S, outage.lasts_s, 0.0, 0.5)],
        ..World::default()
    }
}

/// What came of some days: returns, destinations that fell over, breaches of the rule.
#[derive(Default)]
struct Counts {
    returns: usize,
    falls: u64,
    breaches: Vec<String>,
}

fn play_days(senders: usize, outage: &Outage, seeds: std::ops::RangeInclusive<u64>) -> Counts {
    let maker = baselines::factory_by_name("module").expect("the module is a policy");
    let mut counts = Counts::default();
    for seed in seeds {
        let mut returns = 0;
        let mut watch = |line: &scalebarrow_emulator::events::LogEntry| {
            returns += usize::from(matches!(line.event, LogEvent::OutageEnded { .. }));
        };
        let report = run(&world(senders, outage), seed, &maker, &mut watch).expect("the world can be played");
        counts.returns += returns;
        counts.falls += report.counts.falls;
        let broken = report.violations.iter().filter(|b| b.rule == Rule::Returns);
        counts.breaches.extend(broken.map(|b| format!("{} {seed}: {}", outage.name, b.text)));
    }
    counts
}

#[test]
fn returning_destinations_are_not_pushed_over_by_2_to_300_senders() {
    std::thread::scope(|scope| {
        let days = |senders: usize| move || OUTAGES.each_ref().map(|o| play_days(senders, o, 1..=2));
        let plays = [2, 6, 20, 30, 300].map(|senders| (senders, scope.spawn(days(senders))));
        for (senders, play) in plays {
            let counts = play.join().expect("the days are played");
            let returns: usize = counts.iter().map(|c| c.returns).sum();
            let falls: u64 = counts.iter().map(|c| c.falls).sum();
            let breaches: Vec<_> = counts.iter().flat_map(|c| &c.breaches).collect();
            assert!(returns >= 1_000, "{senders} senders: only {returns} returns were drawn");
            assert!(breaches.is_empty(), "{senders} senders: {breaches:?}");
            let most = FALLS_BY_OTHERS * returns as f64 / 1_000.0;
            assert!(falls as f64 <= most, "{senders} senders: {falls} falls in {returns} returns");
        }
    });
}

/// The day that showed it: few calls a second for each destination, many senders, a long outage.
#[test]
fn a_long_outage_that_many_senders_saw_ends_without_a_rush() {
    let kind = DestinationKind {
        name: "plain".into(),
        headroom: 1.5,
        queue: 16,
        service: spread(0.1, Shape::Lognormal, 0.8),
        ..DestinationKind::default()
    };
    let world = World {
        senders: Senders { count: 140, ..Senders::default() },
        clients: Clients { rate: 1_000.0, ..Clients::default() },
        destinations: Destinations { count: 1_000, ..Destinations::default() },
        destination_kinds: vec![kind],
        event_types: vec![EventType { name: "order".into(), ..EventType::default() }],
        faults: vec![trouble(FaultKind::Down, 5.0, 50.0, 0.0, 0.013)],
        ..World::default()
    };
    for seed in 1..=2 {
        let report = helpers::play(&world, seed, "module");
        assert_eq!(report.violations, [], "seed {seed}");
    }
}
