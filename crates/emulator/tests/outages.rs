//! Every call to a destination in or after an outage takes its turn within the budget of all senders: each
//! test is one way in which calls went out beside it.

mod helpers;

use helpers::{fault, spread};
use scalebarrow_emulator::Rule;
use scalebarrow_emulator::random::Shape;
use scalebarrow_emulator::spec::*;

const OUTAGE_START_S: f64 = 8.0;
/// Longer than destinations take to warm up.
const RECOVERY_S: f64 = 16.0;

/// A destination kind that uniform traffic loads to two thirds.
fn plain_kind() -> DestinationKind {
    DestinationKind {
        name: "plain".into(),
        headroom: 1.5,
        max_waiting: 16,
        service_time: spread(0.1, Shape::Lognormal, 0.8),
        ..DestinationKind::default()
    }
}

/// Twelve destinations and 44 senders with 120 webhooks a second; three destinations have an outage.
fn world(outage: FaultKind, duration_s: f64) -> World {
    let size = if outage == FaultKind::Errors { 1.0 } else { 0.0 };
    World {
        day: Day { length_s: OUTAGE_START_S + duration_s + RECOVERY_S, ..Day::default() },
        senders: Senders { count: 44, ..Senders::default() },
        clients: Clients { rate: 120.0, ..Clients::default() },
        destinations: Destinations { count: 12, zipf_exponent: 0.0, endpoint_count: (1, 1) },
        destination_kinds: vec![plain_kind()],
        event_types: vec![EventType { ttl_s: 12.0, ..EventType::default() }],
        faults: vec![fault(outage, OUTAGE_START_S, duration_s, size, 0.25)],
        ..World::default()
    }
}

/// A fault of the senders, of 70% of them.
fn restart(kind: FaultKind, start_s: f64) -> FaultSpec {
    let size = if kind == FaultKind::Restart { 0.5 } else { 0.0 };
    fault(kind, start_s, 1.0, size, 0.7)
}

/// Plays 24 days of a world, and panics with all violations of a rule.
fn assert_keeps(rule: Rule, world: &World) {
    let violations: Vec<String> = (1..=24)
        .flat_map(|seed| {
            let violations = helpers::play(world, seed, "module").violations;
            let broken = violations.into_iter().filter(move |violation| violation.rule == rule);
            broken.map(move |violation| format!("seed {seed}: {:.3} s: {}", violation.at_s, violation.text))
        })
        .collect();
    assert!(violations.is_empty(), "{} violations: {violations:#?}", violations.len());
}

/// Guards against all senders calling at the end of a wait that all of them were told.
#[test]
fn senders_that_were_told_to_wait_do_not_return_together() {
    let mut world = world(FaultKind::Shut, 9.0);
    let told = DestinationKind { retry_after_share: 1.0, ..plain_kind() };
    world.destination_kinds = vec![DestinationKind { limit: LimitBy::Span, reports_limit: true, ..told }];
    assert_keeps(Rule::Returns, &world);
}

/// Guards against a failure that is forgotten with the first delivery, although the destination is cold.
#[test]
fn one_failure_in_a_short_outage_is_enough_to_be_careful() {
    let mut world = world(FaultKind::Down, 2.5);
    world.senders.count = 20;
    world.clients.rate = 300.0;
    world.faults.push(fault(FaultKind::Surge, OUTAGE_START_S, 12.0, 1.8, 0.0));
    assert_keeps(Rule::Returns, &world);
}

/// Guards against a process that starts in an outage and has forgotten what the one before it saw.
#[test]
fn senders_that_restart_within_an_outage_remember_it() {
    for kind in [FaultKind::Kill, FaultKind::Restart] {
        let mut world = world(FaultKind::Down, 12.6);
        // They start again half a second after the destinations return.
        world.faults.push(restart(kind, OUTAGE_START_S + 12.6 - 0.5));
        assert_keeps(Rule::Returns, &world);
    }
}

/// Guards against a requested wait that ends with the process to which it was told.
#[test]
fn senders_that_restart_within_a_requested_wait_keep_it() {
    let mut world = world(FaultKind::Shut, 9.0);
    world.destination_kinds[0].retry_after_share = 1.0;
    world.faults.push(restart(FaultKind::Kill, OUTAGE_START_S + 5.0));
    assert_keeps(Rule::Waits, &world);
}

/// Guards against a cold budget that is drawn from a listed rate of twice what the destination takes.
#[test]
fn listed_rates_that_are_too_high_do_not_overload_a_returning_destination() {
    let mut world = world(FaultKind::Down, 12.6);
    world.faults.push(fault(FaultKind::ListWrong, 0.0, world.day.length_s, 2.0, 0.0));
    assert_keeps(Rule::Returns, &world);
}
