//! Each rule is seen to be broken where it is, and by nothing else.

mod helpers;
use helpers::{Careful, Flaw, office, play, trouble};
use scalebarrow_emulator::spec::{Effect, EventType, FaultKind, FaultSpec, FaultTarget, LimitBy, World};
use scalebarrow_emulator::{Rule, run};

fn troubled(of: Vec<FaultSpec>) -> World {
    let mut world = office(30.0);
    world.faults = of;
    world
}

/// Days that bring each rule into reach.
fn days() -> Vec<World> {
    let mut cut = troubled(vec![trouble(FaultKind::Limit, 5.0, 15.0, 0.2, 0.0)]);
    cut.destination_kinds.iter_mut().for_each(|k| (k.limit, k.tells_wait) = (LimitBy::Span, 1.0));
    vec![
        troubled(vec![trouble(FaultKind::Down, 5.0, 6.0, 0.0, 0.5)]),
        troubled(vec![trouble(FaultKind::Errors, 5.0, 10.0, 0.6, 0.5)]),
        troubled(vec![trouble(FaultKind::Drain, 5.0, 12.0, 0.0, 0.5)]),
        cut,
    ]
}

#[test]
fn a_flaw_breaks_its_rule_and_care_breaks_none() {
    let cases = [
        (Flaw::None, None),
        (Flaw::Forgets, Some(Rule::Lost)),
        (Flaw::AnswersTwice, Some(Rule::Lost)),
        (Flaw::Repeats, Some(Rule::Twice)),
        (Flaw::Drains, Some(Rule::Drains)),
        (Flaw::Pushes, Some(Rule::Returns)),
        (Flaw::Disorders, Some(Rule::Order)),
        (Flaw::Hurries, Some(Rule::Waits)),
    ];
    for (flaw, rule) in cases {
        let mut found = Vec::new();
        for (i, world) in days().iter().enumerate() {
            let day = run(world, 4 + i as u64, &Careful::maker(flaw), &mut |_| {}).unwrap();
            found.extend(day.violations);
        }
        match rule {
            None => assert!(found.is_empty(), "care was found to break {:?}", found.first()),
            Some(rule) => {
                assert!(found.iter().any(|b| b.rule == rule), "{flaw:?} did not break {rule:?}: {found:?}")
            }
        }
    }
}

#[test]
fn a_day_can_break_by_the_order_of_two_events_at_one_instant() {
    // One sender, and a grid on which a wait is often told at the instant that a webhook comes.
    let mut world = troubled(vec![trouble(FaultKind::Limit, 2.0, 25.0, 0.3, 0.0)]);
    world.destination_kinds.truncate(1);
    (world.senders.count, world.destinations.count, world.destination_kinds[0].tells_wait) = (1, 1, 1.0);
    (world.clients.rate, world.day.tick_us) = (4.0, 50_000);
    let breaks = |order| {
        let mut world = world.clone();
        world.day.shuffle_seed = order;
        let day = run(&world, 11, &Careful::maker(Flaw::HurriesAtOnce), &mut |_| {}).unwrap();
        day.violations.iter().any(|b| b.rule == Rule::Waits)
    };
    let orders: Vec<bool> = (1..40).map(breaks).collect();
    assert!(orders.contains(&true) && orders.contains(&false), "{orders:?}");
}

#[test]
fn the_module_keeps_the_rules_through_each_trouble() {
    let all = [
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
    for (what, size) in all {
        for part in [0.0, 0.4] {
            let day = play(&troubled(vec![trouble(what, 6.0, 7.0, size, part)]), 7, "module");
            assert!(day.violations.is_empty(), "{what:?} of {part}: {:?}", day.violations.first());
            assert!(day.policy_messages.is_empty(), "{what:?}: {}", day.policy_messages[0]);
            assert!(day.little_holds(), "{what:?}: Little's law");
            assert!(day.value > 0.4, "{what:?} of {part}: value {}", day.value);
        }
    }
}

#[test]
fn lists_that_are_asked_for_senders_without_journal_and_withdrawals_keep_the_rules() {
    let mut world = troubled(vec![
        trouble(FaultKind::ListRefused, 4.0, 6.0, 0.0, 0.0),
        trouble(FaultKind::Drain, 6.0, 9.0, 0.0, 0.4),
        trouble(FaultKind::Kill, 12.0, 3.0, 0.0, 0.3),
    ]);
    (world.list.ask, world.senders.journal) = (true, false);
    (world.clients.withdraw_share, world.clients.short_ttl_share) = (0.1, 0.1);
    let day = play(&world, 9, "module");
    assert!(day.violations.is_empty(), "{:?}", day.violations.first());
    assert!(day.counts.withdrawn > 5 && day.counts.delivered > 500, "{:?}", day.counts);
}

#[test]
fn endpoints_that_return_fall_over_when_pushed_by_all_but_not_by_those_that_know_nothing() {
    // Only sender 0 calls while it is down; the others come with a surge later and have seen nothing.
    let mut world = troubled(vec![trouble(FaultKind::Down, 5.0, 6.0, 0.0, 0.0)]);
    world.event_types.iter_mut().for_each(|t| t.effect = Effect::Idempotent);
    let day = play(&world, 3, "random");
    assert!(day.counts.falls > 0 && day.violations.iter().any(|b| b.rule == Rule::Returns));
    // A trouble between one sender and the endpoints is no outage of theirs: nothing is cold after it.
    world.faults[0].target = FaultTarget { senders: vec![0], ..FaultTarget::default() };
    let day = play(&world, 3, "random");
    assert_eq!(day.counts.falls, 0);
}

/// A repeat is decided while it is still known and its connection comes up when it is not: in the log it goes out in
/// time, at its endpoint it would take effect a second time.
#[test]
fn a_repeat_whose_connection_comes_up_too_late_does_not_go_out() {
    let mut world = office(8.0);
    world.destination_kinds.truncate(1);
    world.event_types = vec![EventType { known_s: 3.0, ttl_s: 8.0, ..world.event_types[1].clone() }];
    (world.senders.count, world.destinations.endpoints, world.clients.rate) = (4, (1, 1), 80.0);
    // A connection takes longer than the margin that repeats leave.
    world.faults = vec![
        trouble(FaultKind::Hang, 2.0, 6.0, 0.0, 0.0),
        trouble(FaultKind::SlowConnect, 2.0, 12.0, 0.4, 0.0),
    ];
    let days: Vec<_> = (0..6).map(|seed| play(&world, seed, "module")).collect();
    let broken: Vec<_> = days.iter().flat_map(|d| &d.violations).collect();
    assert!(broken.is_empty(), "{broken:?}");
    assert!(days.iter().map(|d| d.counts.held_back).sum::<u64>() > 0, "no call came that late");
}
