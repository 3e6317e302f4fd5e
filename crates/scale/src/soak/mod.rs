//! The verb `soak`: runs real sender processes under faults that a seed determines. The judge checks what
//! clients, receivers and the platform saw against the delivery rules; the senders' own logs are only shown
//! with a breach.

mod clients;
mod fault_injection;
mod plan;
mod plan_generator;
mod proxy;
mod run;
mod testbed;

pub use plan::{Fault, FaultKind, Plan, RunSettings};
pub use plan_generator::generate_plan;

use crate::error::Error;
use crate::guard::{Guard, Limits};
use crate::interrupt::StopFlag;
use bpaf::Bpaf;
use run::RunOutcome;
use std::ops::Range;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Mutex;
use std::sync::PoisonError;

/// The seeds to run: `A..B`, which excludes B, or a single seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seeds(pub Range<u64>);

impl FromStr for Seeds {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let number =
            |text: &str| text.parse::<u64>().map_err(|error| format!("--seeds takes A..B: {text}: {error}"));
        let (first, end) = match text.split_once("..") {
            Some((first, end)) => (number(first)?, number(end)?),
            None => (number(text)?, number(text)? + 1),
        };
        if first < end {
            Ok(Seeds(first..end))
        } else {
            Err(format!("--seeds takes A..B: {text} contains no seed"))
        }
    }
}

/// Options of `soak`
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The built sender program
    #[bpaf(long, argument("PATH"), fallback(PathBuf::from("target/release/scalebarrow")))]
    pub program: PathBuf,
    /// The seeds to run: a range such as 1..11, which excludes its end, or one seed
    #[bpaf(long, argument::<Seeds>("A..B"), fallback(Seeds(1..2)))]
    pub seeds: Seeds,
    /// Leave out this seed; may be given several times
    #[bpaf(long, argument("SEED"))]
    pub skip: Vec<u64>,
    /// Seconds of load for each seed
    #[bpaf(long, argument("SECONDS"), fallback(20.0), display_fallback, guard(|s| (5.0..=3600.0).contains(s), "--seconds takes 5 to 3600"))]
    pub seconds: f64,
    /// Leave out this kind of fault; may be given several times
    #[bpaf(long, argument::<FaultKind>("KIND"))]
    pub without: Vec<FaultKind>,
    /// Seeds that run at the same time
    #[bpaf(long, argument("N"), fallback(2), display_fallback, guard(|n| (1..=8).contains(n), "--jobs takes 1 to 8"))]
    pub jobs: usize,
    /// Copy the senders' logs to this folder
    #[bpaf(long, argument("DIR"))]
    pub logs: Option<PathBuf>,
    /// Print the plan of each seed and run nothing
    #[bpaf(long)]
    pub plan: bool,
}

/// Runs all seeds. Returns an error if a rule was broken, or a seed could not be run.
pub fn run(options: &Options, stop: &StopFlag) -> Result<(), Error> {
    let seeds = options.seeds.0.clone().filter(|seed| !options.skip.contains(seed));
    let plans = seeds.map(|seed| generate_plan(seed, options.seconds, &options.without));
    let plans: Vec<Plan> = plans.collect();
    if options.plan {
        plans.iter().for_each(|plan| print!("{plan}"));
        return Ok(());
    }
    let guard = Guard::start(Limits::default(), stop)?;
    let (queue, outcomes) = (Mutex::new(plans.into_iter()), Mutex::new(Vec::new()));
    let next_plan = || queue.lock().unwrap_or_else(PoisonError::into_inner).next();
    std::thread::scope(|scope| {
        for _ in 0..options.jobs {
            scope.spawn(|| {
                while let Some(plan) = next_plan()
                    && !stop.is_set()
                {
                    let outcome = run::run_plan(&options.program, &plan, options.logs.as_deref(), &guard);
                    print_outcome(&plan, &outcome);
                    outcomes.lock().unwrap_or_else(PoisonError::into_inner).push((plan.seed, outcome));
                }
            });
        }
    });
    print_summary(outcomes.into_inner().unwrap_or_else(PoisonError::into_inner))
}

/// Prints the outcome of one seed.
fn print_outcome(plan: &Plan, outcome: &Result<RunOutcome, Error>) {
    match outcome {
        Ok(outcome) => print!("{}", outcome.report(plan)),
        Err(error) => println!("seed {}: could not be played: {error}", plan.seed),
    }
}

/// Prints the summary of all seeds. Returns an error if a rule was broken, or a seed could not be run.
fn print_summary(outcomes: Vec<(u64, Result<RunOutcome, Error>)>) -> Result<(), Error> {
    let (mut broken, mut failed) = (Vec::new(), Vec::new());
    for (seed, outcome) in &outcomes {
        match outcome {
            Ok(outcome) if outcome.counts.breaches > 0 => broken.push(*seed),
            Ok(_) => {}
            Err(_) => failed.push(*seed),
        }
    }
    broken.sort_unstable();
    println!(
        "{} seeds played, {} with a rule broken: {broken:?}",
        outcomes.len() - failed.len(),
        broken.len()
    );
    if !failed.is_empty() {
        return Err(Error::Failed(format!("seeds that could not be played: {failed:?}")));
    }
    if broken.is_empty() {
        Ok(())
    } else {
        Err(Error::Broken(format!("seeds with a rule broken: {broken:?}")))
    }
}
