//! The plans that the soak generates from seeds, and its command line arguments.

use scalebarrow_scale::soak::{Fault, FaultKind, Plan, Seeds, generate_plan};
use std::collections::BTreeSet;

const LOAD_SECS: f64 = 20.0;

fn plans() -> impl Iterator<Item = Plan> {
    (0..300).map(|seed| generate_plan(seed, LOAD_SECS, &[]))
}

#[test]
fn the_same_seed_gives_the_same_plan() {
    for seed in [1, 2, 77] {
        assert_eq!(generate_plan(seed, LOAD_SECS, &[]), generate_plan(seed, LOAD_SECS, &[]));
    }
    assert_ne!(generate_plan(1, LOAD_SECS, &[]).faults, generate_plan(2, LOAD_SECS, &[]).faults);
}

#[test]
fn plans_contain_all_kinds_except_the_excluded_ones() {
    let generated: BTreeSet<FaultKind> =
        plans().flat_map(|plan| plan.faults).map(|fault| fault.kind).collect();
    assert_eq!(generated.len(), FaultKind::all().count());
    for (kind, name) in FaultKind::all() {
        assert_eq!(name.parse(), Ok(kind));
        let faults = (0..50).flat_map(|seed| generate_plan(seed, LOAD_SECS, &[kind]).faults);
        assert!(faults.map(|fault| fault.kind).all(|other| other != kind), "{name}");
    }
}

#[test]
fn faults_that_would_make_a_verdict_uncertain_are_kept_apart() {
    for plan in plans() {
        let is_silence = |fault: &&Fault| fault.kind == FaultKind::DiscoverySilent;
        let is_drain = |fault: &&Fault| fault.kind == FaultKind::Drain;
        for silence in plan.faults.iter().filter(is_silence) {
            assert!(plan.faults.iter().filter(is_drain).all(|drain| !drain.overlaps(silence, 6.0)), "{plan}");
        }
        // The connections to an endpoint that drains have no faults.
        let disturbed_endpoints: BTreeSet<usize> = plan
            .faults
            .iter()
            .filter(|fault| fault.kind.is_connection_fault())
            .map(|fault| fault.target)
            .collect();
        assert!(
            plan.faults.iter().filter(is_drain).all(|drain| !disturbed_endpoints.contains(&drain.target)),
            "{plan}"
        );
        // The end of a crash lists the destination's endpoints as serving.
        for crash in plan.faults.iter().filter(|fault| fault.kind == FaultKind::Crash) {
            let same_destination = |drain: &&Fault| drain.target / 2 == crash.target;
            assert!(
                plan.faults
                    .iter()
                    .filter(is_drain)
                    .filter(same_destination)
                    .all(|drain| !drain.overlaps(crash, 0.5)),
                "{plan}"
            );
        }
        let process_ends = plan.faults.iter().filter(|fault| fault.kind.ends_process());
        assert!(
            process_ends.into_iter().all(|fault| fault.start_secs > 0.5 && fault.start_secs < LOAD_SECS),
            "{plan}"
        );
    }
}

#[test]
fn ttls_and_repeat_windows_stay_in_their_ranges() {
    for plan in plans() {
        let settings = &plan.settings;
        assert!(
            (2.0..=12.0).contains(&settings.ttl_secs) && (1.0..=8.0).contains(&settings.repeat_window_secs),
            "{plan}"
        );
    }
}

#[test]
fn seeds_are_parsed_as_a_range_or_a_single_seed() {
    assert_eq!("3..7".parse(), Ok(Seeds(3..7)));
    assert_eq!("5".parse(), Ok(Seeds(5..6)));
    for invalid in ["", "7..3", "3..3", "a..b", "-1"] {
        assert!(invalid.parse::<Seeds>().is_err(), "{invalid}");
    }
    assert!("kills".parse::<FaultKind>().is_err());
}

// Guards against seeds whose known faults change with each new kind of fault.
#[test]
fn faults_of_messages_leave_the_other_faults_of_a_seed_as_they_are() {
    let of_messages = FaultKind::OF_MESSAGES.map(|(kind, _)| kind);
    for seed in 0..50 {
        let mut plan = generate_plan(seed, LOAD_SECS, &[]);
        plan.faults.retain(|fault| !of_messages.contains(&fault.kind));
        assert_eq!(plan, generate_plan(seed, LOAD_SECS, &of_messages));
    }
}
