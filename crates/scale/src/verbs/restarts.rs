//! The verb `restarts`: senders are killed or told to end, under load and with a backlog, and started again on their
//! folders. Each webhook that was taken on has to get one final answer.

use crate::draws::Draws;
use crate::error::Error;
use crate::fleet::{Fleet, Plan};
use crate::guard::{Guard, Limits};
use crate::interrupt::Stop;
use crate::process::Sender;
use crate::standins::judge::Judge;
use crate::standins::receivers::Behaviour;
use crate::verbs::load::{Load, steady};
use crate::verbs::report::{progress, quantiles, verdict};
use bpaf::Bpaf;
use nix::sys::signal::Signal;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Clients of each sender.
const CLIENTS: u32 = 4;
const DESTINATIONS: u32 = 40;
/// Of so many destinations one refuses until the last restart: a backlog gathers.
const REFUSING: u32 = 2;
/// A sender that was told to end is killed after so long.
const TERM_LIMIT: Duration = Duration::from_millis(3700);
/// Between two restarts, at least and at most.
const PAUSE: (f64, f64) = (0.2, 1.0);
const TERM_LOOK: Duration = Duration::from_millis(5);

/// After the last webhook's time is up, before the judge speaks.
const MARGIN: Duration = Duration::from_secs(1);

/// What `restarts` is told.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The built program
    #[bpaf(long, argument("PATH"), fallback(PathBuf::from("target/release/scalebarrow")))]
    pub program: PathBuf,
    /// Senders, restarted in turn
    #[bpaf(long, argument("N"), fallback(2), display_fallback, guard(|n| (1..=40).contains(n), "1 to 40"))]
    pub senders: usize,
    /// Restarts in all, by SIGKILL and SIGTERM in turn
    #[bpaf(long, argument("N"), fallback(10), display_fallback)]
    pub restarts: u64,
    /// Restart by SIGKILL alone
    #[bpaf(long)]
    pub kill: bool,
    /// Webhooks a second for each sender
    #[bpaf(long, argument("RATE"), fallback(200.0), display_fallback, guard(|r| *r > 0.0, "above 0"))]
    pub rate: f64,
    /// Webhooks that each sender holds before the first restart
    #[bpaf(long, argument("N"), fallback(2000), display_fallback)]
    pub backlog: u64,
    /// Time to live of a webhook, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(120.0), display_fallback, guard(|s| *s > 0.0 && *s <= 600.0, "above 0, 600 at most"))]
    pub ttl: f64,
    /// The moments of the restarts are drawn from this
    #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
}

/// Plays it and prints times and counts; an error where a rule is broken.
pub fn run(options: &Options, stop: &Stop) -> Result<(), Error> {
    let guard = Guard::start(Limits::default(), stop)?;
    let ttl = Duration::from_secs_f64(options.ttl);
    let plan = Plan {
        senders: options.senders,
        behaviour: Behaviour::Serve(Duration::from_millis(2)),
        ttl,
        ..Plan::one(options.program.clone(), DESTINATIONS, options.backlog as usize + 100_000)
    };
    let (mut fleet, _) = Fleet::start(&plan, &guard)?;
    let refuses = (0..DESTINATIONS).filter(|dest| dest % REFUSING == 0);
    let refusing: Vec<u32> = refuses.collect();
    let set = refusing.clone();
    fleet.receivers(move |receivers, _| {
        set.iter().for_each(|dest| receivers.set_destination_behaviour(*dest, Some(Behaviour::Refuse)));
    })?;
    let tasks = fleet
        .listen
        .iter()
        .enumerate()
        .flat_map(|(me, at)| steady(*at, me as u16, DESTINATIONS, CLIENTS, options.rate, ttl));
    let load = Load::start(tasks.collect(), &fleet.record, stop)?;
    let wanted = options.backlog * options.senders as u64;
    fleet.wait(ttl / 2, |fleet| Ok(fleet.open() >= wanted))?;
    println!("backlog at the first restart: {} webhooks", fleet.open());
    let played = play(&mut fleet, options);
    fleet.receivers(move |receivers, _| {
        refusing.iter().for_each(|dest| receivers.set_destination_behaviour(*dest, None))
    })?;
    let answers = load.finish()?;
    let (mut ready, mut ended) = played?;
    fleet.wait(ttl + MARGIN, |fleet| Ok(fleet.open() == 0))?;
    for (what, times) in [("ready after a restart", &mut ready), ("ended after SIGTERM", &mut ended)] {
        if let Some([p50, p99, worst]) = quantiles(times) {
            println!("{what}: p50 {p50:.3} s, p99 {p99:.3} s, worst {worst:.3} s of {}", times.len());
        }
    }
    verdict(&answers, &fleet.verdict())
}

/// Restarts the senders in turn. Returns the times until each was ready, and until each that was told to end had.
fn play(fleet: &mut Fleet, options: &Options) -> Result<(Vec<f64>, Vec<f64>), Error> {
    let (mut ready, mut ended) = (Vec::new(), Vec::new());
    let mut draws = Draws::new(options.seed);
    let bar = progress(options.restarts, "restarts");
    for restart in 0..options.restarts {
        let pause = PAUSE.0 + (PAUSE.1 - PAUSE.0) * draws.part();
        fleet.guard.stop().sleep(Duration::from_secs_f64(pause));
        fleet.guard.check()?;
        let me = (restart % options.senders as u64) as u16;
        // Each sender gets both signals in turn.
        let signal = if options.kill || (restart / options.senders as u64).is_multiple_of(2) {
            Signal::SIGKILL
        } else {
            Signal::SIGTERM
        };
        fleet.record.with(|judge, now| judge.record_sender_stop(me, now));
        let sender = &mut fleet.senders[usize::from(me)];
        let took = end(sender, signal)?;
        fleet.record.with(|judge, now| Judge::record_sender_exit(judge, me, now));
        if signal == Signal::SIGTERM {
            ended.push(took.as_secs_f64());
        }
        ready.push(sender.start()?.as_secs_f64());
        fleet.record.with(|judge, now| judge.record_sender_ready(me, now));
        bar.inc(1);
    }
    bar.finish_and_clear();
    Ok((ready, ended))
}

/// Ends a sender as the platform does: who was told to end and has not in time is killed.
fn end(sender: &mut Sender, signal: Signal) -> Result<Duration, Error> {
    let began = Instant::now();
    sender.signal(signal)?;
    while signal == Signal::SIGTERM && sender.runs() && began.elapsed() < TERM_LIMIT {
        std::thread::sleep(TERM_LOOK);
    }
    sender.end(Signal::SIGKILL)?;
    Ok(began.elapsed())
}
