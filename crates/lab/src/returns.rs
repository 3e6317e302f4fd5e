//! Random days on which some destinations have an outage and return: fleets of 20 to 100 senders, outages of
//! each kind, and up to two other faults beside them. Each seed is one day.

use crate::experiment::Experiment;
use crate::simulate::{STOP_REQUESTED, simulate_day};
use rand::RngExt;
use rayon::prelude::*;
use scalebarrow_emulator::Violation;
use scalebarrow_emulator::random::{Generator, Shape, Spread, generator};
use scalebarrow_emulator::spec::*;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::Ordering;

/// The kinds of outages that days draw from.
const OUTAGE_KINDS: [FaultKind; 5] =
    [FaultKind::Down, FaultKind::Silent, FaultKind::Hang, FaultKind::Shut, FaultKind::Errors];
/// The kinds of faults beside the outage.
const OTHER_KINDS: [FaultKind; 10] = [
    FaultKind::Kill,
    FaultKind::Restart,
    FaultKind::Clump,
    FaultKind::Surge,
    FaultKind::Drain,
    FaultKind::Loss,
    FaultKind::Limit,
    FaultKind::StallOut,
    FaultKind::StallBack,
    FaultKind::ListWrong,
];
/// When the earliest outage begins, in seconds.
const FIRST_OUTAGE_S: f64 = 8.0;
/// How long a day goes on after the outage, in seconds: longer than destinations take to warm up.
const RECOVERY_S: f64 = 16.0;

/// A random day, and the kinds of its faults.
pub struct ReturnDay {
    /// The day.
    pub experiment: Experiment,
    /// The kind of the outage.
    pub outage: FaultKind,
    /// The kinds of the other faults.
    pub others: Vec<FaultKind>,
}

impl ReturnDay {
    /// The kinds of the faults beside the outage, joined by `+`.
    fn combination(&self) -> String {
        if self.others.is_empty() {
            return "none".into();
        }
        self.others.iter().map(|kind| name_of(*kind)).collect::<Vec<_>>().join("+")
    }
}

/// The name of a kind in experiment files.
fn name_of(kind: FaultKind) -> String {
    toml::Value::try_from(kind).ok().and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
}

/// One of some values.
fn choose<T: Copy>(values: &[T], rng: &mut Generator) -> T {
    values[rng.random_range(0..values.len())]
}

/// A number of hundredths between two limits, so that files stay short.
fn between(low: f64, high: f64, rng: &mut Generator) -> f64 {
    ((low + (high - low) * rng.random::<f64>()) * 100.0).round() / 100.0
}

/// A fault beside an outage; half of them begin near the end of the outage.
fn other_fault(kind: FaultKind, outage: &FaultSpec, rng: &mut Generator) -> FaultSpec {
    let outage_end_s = outage.start_s + outage.duration_s;
    let start_s = if rng.random::<bool>() {
        between(outage.start_s, outage_end_s, rng)
    } else {
        between((outage_end_s - 2.0).max(0.0), outage_end_s + 2.0, rng)
    };
    let (size, duration_s) = match kind {
        FaultKind::Kill => (0.0, between(0.3, 1.5, rng)),
        FaultKind::Restart => (between(0.2, 1.0, rng), between(1.0, 2.0, rng)),
        FaultKind::Clump => (between(10.0, 60.0, rng).round(), between(0.1, 1.0, rng)),
        FaultKind::Surge => (between(1.2, 2.0, rng), between(2.0, 10.0, rng)),
        FaultKind::Loss => (between(0.01, 0.1, rng), between(2.0, 10.0, rng)),
        FaultKind::Limit => (between(0.3, 0.8, rng), between(2.0, 10.0, rng)),
        FaultKind::ListWrong => (between(0.5, 2.0, rng), between(2.0, 10.0, rng)),
        FaultKind::Drain => (0.0, between(2.0, 6.0, rng)),
        _ => (0.0, between(0.2, 1.0, rng)),
    };
    let target = match kind {
        FaultKind::Kill | FaultKind::Restart => {
            FaultTarget { share: between(0.2, 0.8, rng), ..FaultTarget::default() }
        }
        FaultKind::Surge => FaultTarget::default(),
        FaultKind::Drain => FaultTarget { endpoints: vec![0], ..outage.target.clone() },
        _ => outage.target.clone(),
    };
    // The list is wrong for the whole day.
    let (start_s, duration_s) =
        if kind == FaultKind::ListWrong { (0.0, outage_end_s + RECOVERY_S) } else { (start_s, duration_s) };
    FaultSpec { kind, start_s, duration_s, size, period_s: 0.0, target }
}

/// A random kind of destination.
fn random_destination_kind(rng: &mut Generator) -> DestinationKind {
    let limit = choose(&[LimitBy::None, LimitBy::None, LimitBy::Span, LimitBy::Rate], rng);
    let independent_endpoints = rng.random::<bool>();
    DestinationKind {
        independent_endpoints,
        max_batch: if independent_endpoints { choose(&[1, 8], rng) } else { 1 },
        headroom: between(1.2, 2.0, rng),
        max_waiting: 16,
        limit,
        limit_window_s: choose(&[1.0, 2.0], rng),
        retry_after_share: choose(&[0.0, 0.5, 1.0], rng),
        reports_limit: limit != LimitBy::None && rng.random::<bool>(),
        service_time: Spread { mean_s: between(0.05, 0.2, rng), shape: Shape::Lognormal, cv: 0.8 },
        ..DestinationKind::default()
    }
}

/// The day of a seed.
pub fn random_day(seed: u64) -> ReturnDay {
    let mut rng = generator(seed, "returns");
    let sender_count = rng.random_range(20..=100_usize);
    let destination_count = rng.random_range(10..=30_usize);
    let outage_kind = choose(&OUTAGE_KINDS, &mut rng);
    let affected = rng.random_range(2..=destination_count / 3);
    let first = rng.random_range(0..destination_count);
    let destinations = (0..affected).map(|index| (first + 3 * index) % destination_count).collect();
    let outage = FaultSpec {
        kind: outage_kind,
        start_s: between(FIRST_OUTAGE_S, FIRST_OUTAGE_S + 4.0, &mut rng),
        duration_s: between(2.5, 18.0, &mut rng),
        size: if outage_kind == FaultKind::Errors { 1.0 } else { 0.0 },
        period_s: 0.0,
        target: FaultTarget { destinations, ..FaultTarget::default() },
    };
    let mut others: Vec<FaultKind> =
        (0..rng.random_range(0..3_u32)).map(|_| choose(&OTHER_KINDS, &mut rng)).collect();
    others.sort();
    others.dedup();
    let other_faults: Vec<FaultSpec> =
        others.iter().map(|kind| other_fault(*kind, &outage, &mut rng)).collect();
    let ttl_s = choose(&[8.0, 12.0, 16.0], &mut rng);
    let (slots, max_pending) = choose(&[(3, 40), (8, 100), (64, 2000)], &mut rng);
    let world = World {
        day: Day { length_s: outage.start_s + outage.duration_s + RECOVERY_S, ..Day::default() },
        senders: Senders { count: sender_count, slots, max_pending, ..Senders::default() },
        clients: Clients { rate: between(60.0, 300.0, &mut rng), ..Clients::default() },
        destinations: Destinations {
            count: destination_count,
            zipf_exponent: choose(&[0.0, 0.8], &mut rng),
            endpoint_count: (1, 3),
        },
        destination_kinds: vec![random_destination_kind(&mut rng)],
        event_types: vec![EventType { ttl_s, ..EventType::default() }],
        endpoint_list: EndpointList { has_rates: rng.random::<f64>() < 0.75, ..EndpointList::default() },
        faults: std::iter::once(outage).chain(other_faults).collect(),
        ..World::default()
    };
    ReturnDay { experiment: Experiment::of_world("returns", world, seed), outage: outage_kind, others }
}

/// A day on which a rule was broken.
pub struct BrokenDay {
    /// The seed of the day.
    pub seed: u64,
    /// What happened on it.
    pub description: String,
    /// The first violation of each rule.
    pub violations: Vec<Violation>,
}

/// The results of many days.
#[derive(Default)]
pub struct ReturnsReport {
    /// Simulated days.
    pub days: usize,
    /// Those on which a rule was broken.
    pub broken: Vec<BrokenDay>,
    /// Overloads of returning destinations, also those that break no rule.
    pub overloads: u64,
    /// The mean share of the offered value that was delivered.
    pub mean_value: f64,
}

impl fmt::Display for ReturnsReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mut days_by_rule = BTreeMap::<String, usize>::new();
        for day in &self.broken {
            for violation in &day.violations {
                writeln!(
                    f,
                    "seed {} ({}): {:.3} s {:?}: {}",
                    day.seed, day.description, violation.at_s, violation.rule, violation.text
                )?;
                *days_by_rule.entry(format!("{:?}", violation.rule)).or_default() += 1;
            }
        }
        writeln!(
            f,
            "{} days, {} with a broken rule {days_by_rule:?}, {} overloads, mean value {:.4}",
            self.days,
            self.broken.len(),
            self.overloads,
            self.mean_value
        )
    }
}

/// The first violation of each rule.
fn first_of_each_rule(violations: &[Violation]) -> Vec<Violation> {
    let mut first: Vec<Violation> = Vec::new();
    for violation in violations {
        if first.iter().all(|other: &Violation| other.rule != violation.rule) {
            first.push(violation.clone());
        }
    }
    first
}

/// Simulates the days of so many seeds, or only those with a combination of other faults.
pub fn simulate(first_seed: u64, days: u64, beside: Option<&str>) -> Result<ReturnsReport, String> {
    let results: Result<Vec<_>, String> = (first_seed..first_seed + days)
        .into_par_iter()
        .filter(|_| !STOP_REQUESTED.load(Ordering::Relaxed))
        .map(|seed| (seed, random_day(seed)))
        .filter(|(_, day)| beside.is_none_or(|beside| day.combination() == beside))
        .map(|(seed, day)| Ok((seed, simulate_day(&day.experiment, "module", seed, &mut |_| {})?.0, day)))
        .collect();
    let mut summary = ReturnsReport::default();
    let mut value = 0.0;
    for (seed, report, day) in results? {
        summary.days += 1;
        summary.overloads += report.counts.falls;
        value += report.value;
        let violations = first_of_each_rule(&report.violations);
        if !violations.is_empty() {
            let world = &day.experiment.world;
            let description = format!(
                "{} for {} s beside {}, {} senders, {}",
                name_of(day.outage),
                world.faults[0].duration_s,
                day.combination(),
                world.senders.count,
                if world.endpoint_list.has_rates { "rates listed" } else { "no rates" }
            );
            summary.broken.push(BrokenDay { seed, description, violations });
        }
    }
    summary.mean_value = value / summary.days.max(1) as f64;
    Ok(summary)
}
