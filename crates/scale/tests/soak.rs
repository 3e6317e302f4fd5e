//! What a seed of the soak draws, and what its command line takes.

use scalebarrow_scale::soak::{Event, Kind, Plan, Seeds, draw};
use std::collections::BTreeSet;

const SECONDS: f64 = 20.0;

fn plans() -> impl Iterator<Item = Plan> {
    (0..300).map(|seed| draw(seed, SECONDS, &[]))
}

#[test]
fn a_seed_draws_the_same_run_each_time() {
    for seed in [1, 2, 77] {
        assert_eq!(draw(seed, SECONDS, &[]), draw(seed, SECONDS, &[]));
    }
    assert_ne!(draw(1, SECONDS, &[]).events, draw(2, SECONDS, &[]).events);
}

#[test]
fn all_kinds_are_drawn_and_none_that_is_taken_out() {
    let drawn: BTreeSet<Kind> = plans().flat_map(|plan| plan.events).map(|event| event.kind).collect();
    assert_eq!(drawn.len(), Kind::ALL.len());
    for (kind, name) in Kind::ALL {
        assert_eq!(name.parse(), Ok(kind));
        let without = (0..50).flat_map(|seed| draw(seed, SECONDS, &[kind]).events);
        assert!(without.map(|event| event.kind).all(|other| other != kind), "{name}");
    }
}

#[test]
fn what_would_make_a_verdict_uncertain_is_kept_apart() {
    for plan in plans() {
        let silent = |event: &&Event| event.kind == Kind::DiscoverySilent;
        let drains = |event: &&Event| event.kind == Kind::Drain;
        for silence in plan.events.iter().filter(silent) {
            assert!(plan.events.iter().filter(drains).all(|drain| !drain.meets(silence, 6.0)), "{plan}");
        }
        // An endpoint that drains is reached by a way on which nothing is held up.
        let ways: BTreeSet<usize> =
            plan.events.iter().filter(|event| event.kind.is_on_the_way()).map(|event| event.target).collect();
        assert!(plan.events.iter().filter(drains).all(|drain| !ways.contains(&drain.target)), "{plan}");
        // A crash lists its destination's endpoints as serving when it is over.
        for crash in plan.events.iter().filter(|event| event.kind == Kind::Crash) {
            let own = |drain: &&Event| drain.target / 2 == crash.target;
            assert!(
                plan.events.iter().filter(drains).filter(own).all(|drain| !drain.meets(crash, 0.5)),
                "{plan}"
            );
        }
        let ends = plan.events.iter().filter(|event| event.kind.ends_process());
        assert!(ends.into_iter().all(|event| event.at > 0.5 && event.at < SECONDS), "{plan}");
    }
}

#[test]
fn windows_and_times_to_live_are_as_far_apart_as_the_page_has_them() {
    for plan in plans() {
        let settings = &plan.settings;
        assert!((2.0..=12.0).contains(&settings.ttl) && (1.0..=8.0).contains(&settings.window), "{plan}");
    }
}

#[test]
fn seeds_are_named_as_a_range_or_one() {
    assert_eq!("3..7".parse(), Ok(Seeds(3..7)));
    assert_eq!("5".parse(), Ok(Seeds(5..6)));
    for bad in ["", "7..3", "3..3", "a..b", "-1"] {
        assert!(bad.parse::<Seeds>().is_err(), "{bad}");
    }
    assert!("kills".parse::<Kind>().is_err());
}
