//! The same day gives the same log, whatever plays it and wherever.

mod helpers;
use helpers::{office, play, trouble};
use proptest::prelude::*;
use scalebarrow_emulator::spec::{FaultKind, World};
use scalebarrow_emulator::{Report, run};

fn rough() -> World {
    let mut world = office(20.0);
    world.faults = vec![
        trouble(FaultKind::Down, 4.0, 4.0, 0.0, 0.3),
        trouble(FaultKind::Kill, 8.0, 2.0, 0.0, 0.4),
        trouble(FaultKind::Loss, 3.0, 12.0, 0.05, 0.0),
    ];
    world
}

#[test]
fn hashes_are_the_same_on_one_thread_and_on_four() {
    let world = rough();
    let alone: Vec<u64> = (0..8).map(|seed| play(&world, seed, "module").hash).collect();
    let apart: Vec<u64> = std::thread::scope(|s| {
        let world = &world;
        let part = |t: u64| s.spawn(move || [0, 4].map(|n| (t + n, play(world, t + n, "module").hash)));
        let all: Vec<_> = (0..4).map(part).collect();
        let mut found: Vec<(u64, u64)> = all.into_iter().flat_map(|t| t.join().unwrap()).collect();
        found.sort_unstable();
        found.into_iter().map(|f| f.1).collect()
    });
    assert_eq!(alone, apart);
    let mut different = alone.clone();
    different.sort_unstable();
    different.dedup();
    assert_eq!(different.len(), alone.len(), "each seed is a day of its own");
}

#[test]
fn policies_meet_the_same_arrivals() {
    let seen = |policy: &str| -> Report { play(&rough(), 2, policy) };
    let (a, b) = (seen("module"), seen("random"));
    assert_eq!(a.counts.messages, b.counts.messages);
    let asked = |r: &Report| r.windows.iter().map(|w| w.offered_value).collect::<Vec<_>>();
    assert_eq!(asked(&a), asked(&b));
}

#[test]
fn worlds_that_contradict_themselves_are_refused_by_field() {
    type Change = (&'static str, fn(&mut World));
    let change: [Change; 12] = [
        ("day.length_s", |w| w.day.length_s = f64::NAN),
        ("senders.count", |w| w.senders.count = 0),
        ("clients.heed", |w| w.clients.heed = 1.5),
        ("net.loss", |w| w.net.loss = 1.0),
        ("destinations.endpoints", |w| w.destinations.endpoints = (3, 2)),
        ("clients.points", |w| w.clients.points = vec![(0.0, 1.0)]),
        ("kind.1.name", |w| w.destination_kinds[1].name = "plain".into()),
        ("kind.1.reports", |w| w.destination_kinds[1].limit = Default::default()),
        ("event_type.1.known_s", |w| w.event_types[1].known_s = 0.0),
        ("event_type.0.ttl_s", |w| w.event_types[0].ttl_s = 1.0),
        ("trouble.2.size", |w| w.faults[2].size = 2.0),
        ("trouble.1.on.senders", |w| w.faults[1].target.senders = vec![9]),
    ];
    for (field, change) in change {
        let mut world = rough();
        change(&mut world);
        assert_eq!(world.check().unwrap_err().field, field);
    }
    assert_eq!(rough().check(), Ok(()));
}

fn any_trouble() -> impl Strategy<Value = (usize, f64, f64, f64)> {
    (0_usize..10, 0.0..10.0, 1.0..8.0, 0.0..1.0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]
    /// Whatever strikes, each webhook that was handed in is accounted for, and nothing stays behind.
    #[test]
    fn nothing_is_unaccounted_for(seed in 0_u64..1_000, order in 0_u64..3, of in prop::collection::vec(any_trouble(), 0..4)) {
        const SORTS: [(FaultKind, f64); 10] = [
            (FaultKind::Down, 0.0), (FaultKind::Silent, 0.0), (FaultKind::Hang, 0.0), (FaultKind::Kill, 0.0), (FaultKind::Resets, 0.3),
            (FaultKind::StallBack, 0.0), (FaultKind::Leave, 0.0), (FaultKind::Shut, 0.0), (FaultKind::Forgets, 0.2), (FaultKind::Restart, 1.0),
        ];
        let mut world = office(12.0);
        (world.day.shuffle_seed, world.day.tick_us) = (order, 1_000 * order);
        world.faults = of.iter().map(|(i, at, len, part)| trouble(SORTS[*i].0, *at, *len, SORTS[*i].1, *part)).collect();
        let maker = scalebarrow_emulator::baselines::factory_by_name("module").unwrap();
        let day = run(&world, seed, &maker, &mut |_| {}).unwrap();
        let c = &day.counts;
        prop_assert_eq!(c.accepted, c.delivered + c.rejected + c.dead_lettered + c.withdrawn);
        prop_assert!(day.little_holds());
        prop_assert!(day.value <= 1.0 && day.worst_window <= 1.0);
    }
}
