//! A day is determined by its world, seed and policy, and every accepted webhook is accounted for.

mod helpers;
use helpers::{fault, mixed_world, play};
use proptest::prelude::*;
use scalebarrow_emulator::spec::{FaultKind, World};
use scalebarrow_emulator::{Report, run};

fn world_with_faults() -> World {
    let mut world = mixed_world(20.0);
    world.faults = vec![
        fault(FaultKind::Down, 4.0, 4.0, 0.0, 0.3),
        fault(FaultKind::Kill, 8.0, 2.0, 0.0, 0.4),
        fault(FaultKind::Loss, 3.0, 12.0, 0.05, 0.0),
    ];
    world
}

#[test]
fn days_have_the_same_hashes_on_one_thread_and_on_four() {
    let world = world_with_faults();
    let sequential: Vec<u64> = (0..8).map(|seed| play(&world, seed, "module").hash).collect();
    let threaded: Vec<u64> = std::thread::scope(|scope| {
        let world = &world;
        let two_seeds = |thread: u64| {
            scope.spawn(move || {
                [0, 4].map(|offset| (thread + offset, play(world, thread + offset, "module").hash))
            })
        };
        let threads: Vec<_> = (0..4).map(two_seeds).collect();
        let mut found: Vec<(u64, u64)> =
            threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect();
        found.sort_unstable();
        found.into_iter().map(|entry| entry.1).collect()
    });
    assert_eq!(sequential, threaded);
    let mut distinct = sequential.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert_eq!(distinct.len(), sequential.len(), "each seed gives a different day");
}

#[test]
fn two_policies_get_the_same_arrivals() {
    let play_with = |policy: &str| -> Report { play(&world_with_faults(), 2, policy) };
    let (module, baseline) = (play_with("module"), play_with("random"));
    assert_eq!(module.counts.messages, baseline.counts.messages);
    let offered =
        |report: &Report| report.windows.iter().map(|window| window.offered_value).collect::<Vec<_>>();
    assert_eq!(offered(&module), offered(&baseline));
}

#[test]
fn inconsistent_worlds_are_refused_by_field() {
    type Change = (&'static str, fn(&mut World));
    let changes: [Change; 12] = [
        ("day.length_s", |world| world.day.length_s = f64::NAN),
        ("senders.count", |world| world.senders.count = 0),
        ("clients.heed", |world| world.clients.heed_retry_after_share = 1.5),
        ("net.loss", |world| world.network.loss_share = 1.0),
        ("destinations.endpoints", |world| world.destinations.endpoint_count = (3, 2)),
        ("clients.points", |world| world.clients.points = vec![(0.0, 1.0)]),
        ("kind.1.name", |world| world.destination_kinds[1].name = "plain".into()),
        ("kind.1.reports", |world| world.destination_kinds[1].limit = Default::default()),
        ("event_type.1.known_s", |world| world.event_types[1].token_lifetime_s = 0.0),
        ("event_type.0.ttl_s", |world| world.event_types[0].ttl_s = 1.0),
        ("trouble.2.size", |world| world.faults[2].size = 2.0),
        ("trouble.1.on.senders", |world| world.faults[1].target.senders = vec![9]),
    ];
    for (field, change) in changes {
        let mut world = world_with_faults();
        change(&mut world);
        assert_eq!(world.check().unwrap_err().field, field);
    }
    assert_eq!(world_with_faults().check(), Ok(()));
}

fn any_fault() -> impl Strategy<Value = (usize, f64, f64, f64)> {
    (0_usize..10, 0.0..10.0, 1.0..8.0, 0.0..1.0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]
    /// Under any faults, each accepted webhook has exactly one final answer and nothing is left at the end.
    #[test]
    fn every_accepted_webhook_has_one_final_answer_under_any_faults(seed in 0_u64..1_000, shuffle_seed in 0_u64..3, faults in prop::collection::vec(any_fault(), 0..4)) {
        const KINDS: [(FaultKind, f64); 10] = [
            (FaultKind::Down, 0.0), (FaultKind::Silent, 0.0), (FaultKind::Hang, 0.0), (FaultKind::Kill, 0.0), (FaultKind::Resets, 0.3),
            (FaultKind::StallBack, 0.0), (FaultKind::Leave, 0.0), (FaultKind::Shut, 0.0), (FaultKind::Forgets, 0.2), (FaultKind::Restart, 1.0),
        ];
        let mut world = mixed_world(12.0);
        (world.day.shuffle_seed, world.day.tick_us) = (shuffle_seed, 1_000 * shuffle_seed);
        world.faults = faults.iter().map(|(kind, start_s, duration_s, share)| fault(KINDS[*kind].0, *start_s, *duration_s, KINDS[*kind].1, *share)).collect();
        let factory = scalebarrow_emulator::baselines::factory_by_name("module").unwrap();
        let day = run(&world, seed, &factory, &mut |_| {}).unwrap();
        let counts = &day.counts;
        prop_assert_eq!(counts.accepted, counts.delivered + counts.rejected + counts.dead_lettered + counts.withdrawn);
        prop_assert!(day.little_holds());
        prop_assert!(day.value <= 1.0 && day.worst_window <= 1.0);
    }
}
