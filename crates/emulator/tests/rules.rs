//! The rule checker finds each broken rule, and the decision module keeps all rules under each kind of fault.

mod helpers;
use helpers::{Careful, Flaw, fault, mixed_world, play};
use scalebarrow_emulator::spec::{
    EventType, FaultKind, FaultSpec, FaultTarget, LimitBy, RepeatEffect, World,
};
use scalebarrow_emulator::{Rule, run};

fn world_with_faults(faults: Vec<FaultSpec>) -> World {
    let mut world = mixed_world(30.0);
    world.faults = faults;
    world
}

/// Worlds in which each rule can be broken.
fn worlds() -> Vec<World> {
    let mut cut_limit = world_with_faults(vec![fault(FaultKind::Limit, 5.0, 15.0, 0.2, 0.0)]);
    cut_limit
        .destination_kinds
        .iter_mut()
        .for_each(|kind| (kind.limit, kind.retry_after_share) = (LimitBy::Span, 1.0));
    vec![
        world_with_faults(vec![fault(FaultKind::Down, 5.0, 6.0, 0.0, 0.5)]),
        world_with_faults(vec![fault(FaultKind::Errors, 5.0, 10.0, 0.6, 0.5)]),
        world_with_faults(vec![fault(FaultKind::Drain, 5.0, 12.0, 0.0, 0.5)]),
        cut_limit,
    ]
}

#[test]
fn a_policy_with_a_flaw_breaks_its_rule_and_one_without_breaks_none() {
    let cases = [
        (Flaw::None, None),
        (Flaw::DropsWebhooks, Some(Rule::Lost)),
        (Flaw::AnswersTwice, Some(Rule::Lost)),
        (Flaw::Repeats, Some(Rule::Twice)),
        (Flaw::UsesDraining, Some(Rule::Drains)),
        (Flaw::Overloads, Some(Rule::Returns)),
        (Flaw::IgnoresOrder, Some(Rule::Order)),
        (Flaw::IgnoresWaits, Some(Rule::Waits)),
    ];
    for (flaw, rule) in cases {
        let mut found = Vec::new();
        for (index, world) in worlds().iter().enumerate() {
            let day = run(world, 4 + index as u64, &Careful::factory(flaw), &mut |_| {}).unwrap();
            found.extend(day.violations);
        }
        match rule {
            None => assert!(found.is_empty(), "the careful policy broke {:?}", found.first()),
            Some(rule) => {
                assert!(
                    found.iter().any(|violation| violation.rule == rule),
                    "{flaw:?} did not break {rule:?}: {found:?}"
                )
            }
        }
    }
}

#[test]
fn the_order_of_events_at_one_instant_can_decide_whether_a_rule_is_broken() {
    // One sender, and a coarse time grid on which a wait is often requested at the instant at which a webhook
    // arrives.
    let mut world = world_with_faults(vec![fault(FaultKind::Limit, 2.0, 25.0, 0.3, 0.0)]);
    world.destination_kinds.truncate(1);
    (world.senders.count, world.destinations.count, world.destination_kinds[0].retry_after_share) =
        (1, 1, 1.0);
    (world.clients.rate, world.day.tick_us) = (4.0, 50_000);
    let breaks_rule = |shuffle_seed| {
        let mut world = world.clone();
        world.day.shuffle_seed = shuffle_seed;
        let day = run(&world, 11, &Careful::factory(Flaw::IgnoresWaitsOnArrival), &mut |_| {}).unwrap();
        day.violations.iter().any(|violation| violation.rule == Rule::Waits)
    };
    let results: Vec<bool> = (1..40).map(breaks_rule).collect();
    assert!(results.contains(&true) && results.contains(&false), "{results:?}");
}

#[test]
fn the_decision_module_keeps_the_rules_under_each_fault() {
    let kinds = [
        (FaultKind::Down, 0.0),
        (FaultKind::Silent, 0.0),
        (FaultKind::Hang, 0.0),
        (FaultKind::Slow, 8.0),
        (FaultKind::Errors, 0.8),
        (FaultKind::Shut, 0.0),
        (FaultKind::Limit, 0.4),
        (FaultKind::Loss, 0.1),
        (FaultKind::Delay, 0.3),
        (FaultKind::Resets, 0.2),
        (FaultKind::StallOut, 0.0),
        (FaultKind::StallBack, 0.0),
        (FaultKind::SlowConnect, 0.4),
        (FaultKind::Forgets, 0.5),
        (FaultKind::ListLate, 4.0),
        (FaultKind::ListWrong, 2.0),
        (FaultKind::Drain, 0.0),
        (FaultKind::Leave, 0.0),
        (FaultKind::Kill, 0.0),
        (FaultKind::Restart, 1.5),
        (FaultKind::Surge, 2.0),
        (FaultKind::Clump, 40.0),
    ];
    for (kind, size) in kinds {
        for share in [0.0, 0.4] {
            let day = play(&world_with_faults(vec![fault(kind, 6.0, 7.0, size, share)]), 7, "module");
            assert!(day.violations.is_empty(), "{kind:?} of {share}: {:?}", day.violations.first());
            assert!(day.policy_messages.is_empty(), "{kind:?}: {}", day.policy_messages[0]);
            assert!(day.little_holds(), "{kind:?}: Little's law");
            assert!(day.value > 0.4, "{kind:?} of {share}: value {}", day.value);
        }
    }
}

#[test]
fn the_decision_module_keeps_the_rules_with_list_watches_without_journal_and_with_withdrawals() {
    let mut world = world_with_faults(vec![
        fault(FaultKind::ListRefused, 4.0, 6.0, 0.0, 0.0),
        fault(FaultKind::Drain, 6.0, 9.0, 0.0, 0.4),
        fault(FaultKind::Kill, 12.0, 3.0, 0.0, 0.3),
    ]);
    (world.endpoint_list.watch_required, world.senders.journal) = (true, false);
    (world.clients.withdraw_share, world.clients.short_ttl_share) = (0.1, 0.1);
    let day = play(&world, 9, "module");
    assert!(day.violations.is_empty(), "{:?}", day.violations.first());
    assert!(day.counts.withdrawn > 5 && day.counts.delivered > 500, "{:?}", day.counts);
}

#[test]
fn returning_endpoints_are_overloaded_after_an_outage_but_not_after_a_fault_of_one_sender() {
    // All destinations are down for all senders: a policy without care for cold destinations overloads them.
    let mut world = world_with_faults(vec![fault(FaultKind::Down, 5.0, 6.0, 0.0, 0.0)]);
    world.event_types.iter_mut().for_each(|event_type| event_type.effect = RepeatEffect::Idempotent);
    let day = play(&world, 3, "random");
    assert!(day.counts.falls > 0 && day.violations.iter().any(|violation| violation.rule == Rule::Returns));
    // A fault between one sender and the endpoints is no outage: nothing is cold after it.
    world.faults[0].target = FaultTarget { senders: vec![0], ..FaultTarget::default() };
    let day = play(&world, 3, "random");
    assert_eq!(day.counts.falls, 0);
}

/// A repeat is decided while its token is known, but its connection opens after the token has expired: in the
/// log the attempt starts in time, but at its endpoint it would take effect a second time.
#[test]
fn a_repeat_whose_connection_opens_after_its_token_expired_is_not_sent() {
    let mut world = mixed_world(8.0);
    world.destination_kinds.truncate(1);
    world.event_types = vec![EventType { token_lifetime_s: 3.0, ttl_s: 8.0, ..world.event_types[1].clone() }];
    (world.senders.count, world.destinations.endpoint_count, world.clients.rate) = (4, (1, 1), 80.0);
    // Opening a connection takes longer than the margin before the token expires.
    world.faults =
        vec![fault(FaultKind::Hang, 2.0, 6.0, 0.0, 0.0), fault(FaultKind::SlowConnect, 2.0, 12.0, 0.4, 0.0)];
    let days: Vec<_> = (0..6).map(|seed| play(&world, seed, "module")).collect();
    let violations: Vec<_> = days.iter().flat_map(|day| &day.violations).collect();
    assert!(violations.is_empty(), "{violations:?}");
    assert!(days.iter().map(|day| day.counts.held_back).sum::<u64>() > 0, "no connection opened that late");
}
