//! The verb `soak`: real processes of the built program under faults that are drawn from a seed. What was seen by clients,
//! receivers and the platform is judged by the rules of delivery; the senders' own records are only shown.

mod clients;
mod drawing;
mod nemesis;
mod plan;
mod proxy;
mod run;
mod testbed;

pub use drawing::draw;
pub use plan::{Event, Kind, Plan, Settings};

use crate::error::Error;
use crate::guard::{Guard, Limits};
use crate::interrupt::Stop;
use bpaf::Bpaf;
use run::Outcome;
use std::ops::Range;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Seeds `A..B`, the last not among them, or one seed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seeds(pub Range<u64>);

impl FromStr for Seeds {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let number = |text: &str| text.parse::<u64>().map_err(|e| format!("--seeds takes A..B: {text}: {e}"));
        let (first, end) = match text.split_once("..") {
            Some((first, end)) => (number(first)?, number(end)?),
            None => (number(text)?, number(text)? + 1),
        };
        if first < end {
            Ok(Seeds(first..end))
        } else {
            Err(format!("--seeds takes A..B: {text} names no seed"))
        }
    }
}

/// What `soak` is told.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The built program
    #[bpaf(long, argument("PATH"), fallback(PathBuf::from("target/release/scalebarrow")))]
    pub program: PathBuf,
    /// The seeds to play, as 1..11, or one seed
    #[bpaf(long, argument::<Seeds>("A..B"), fallback(Seeds(1..2)))]
    pub seeds: Seeds,
    /// Leave a seed out; may be given several times
    #[bpaf(long, argument("SEED"))]
    pub skip: Vec<u64>,
    /// Seconds of load for each seed
    #[bpaf(long, argument("SECONDS"), fallback(20.0), display_fallback, guard(|s| (5.0..=3600.0).contains(s), "--seconds takes 5 to 3600"))]
    pub seconds: f64,
    /// Take a kind of fault out; may be given several times
    #[bpaf(long, argument::<Kind>("KIND"))]
    pub without: Vec<Kind>,
    /// Seeds side by side
    #[bpaf(long, argument("N"), fallback(2), display_fallback, guard(|n| (1..=8).contains(n), "--jobs takes 1 to 8"))]
    pub jobs: usize,
    /// Copy the senders' logs to this folder
    #[bpaf(long, argument("DIR"))]
    pub logs: Option<PathBuf>,
    /// Print what would be done, and do nothing
    #[bpaf(long)]
    pub plan: bool,
}

/// Plays all seeds; an error where a rule is broken by one of them.
pub fn run(options: &Options, stop: &Stop) -> Result<(), Error> {
    let seeds = options.seeds.0.clone().filter(|seed| !options.skip.contains(seed));
    let plans = seeds.map(|seed| draw(seed, options.seconds, &options.without));
    let plans: Vec<Plan> = plans.collect();
    if options.plan {
        plans.iter().for_each(|plan| print!("{plan}"));
        return Ok(());
    }
    let guard = Guard::start(Limits::default(), stop)?;
    let (waiting, outcomes) = (Mutex::new(plans.into_iter()), Mutex::new(Vec::new()));
    let next = || waiting.lock().unwrap_or_else(PoisonError::into_inner).next();
    std::thread::scope(|scope| {
        for _ in 0..options.jobs {
            scope.spawn(|| {
                while let Some(plan) = next()
                    && !stop.is_set()
                {
                    let outcome = run::play(&options.program, &plan, options.logs.as_deref(), &guard);
                    tell(&plan, &outcome);
                    outcomes.lock().unwrap_or_else(PoisonError::into_inner).push((plan.seed, outcome));
                }
            });
        }
    });
    conclude(outcomes.into_inner().unwrap_or_else(PoisonError::into_inner))
}

/// Prints what came of a seed.
fn tell(plan: &Plan, outcome: &Result<Outcome, Error>) {
    match outcome {
        Ok(outcome) => print!("{}", outcome.report(plan)),
        Err(error) => println!("seed {}: could not be played: {error}", plan.seed),
    }
}

/// The verdict over all seeds.
fn conclude(outcomes: Vec<(u64, Result<Outcome, Error>)>) -> Result<(), Error> {
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
