//! The verb `restarts`: kills or terminates senders under load and with a backlog, and starts them again on
//! their folders. Each accepted webhook must get exactly one final answer.

use crate::error::Error;
use crate::fleet::{Fleet, FleetPlan};
use crate::guard::{Guard, Limits};
use crate::interrupt::StopFlag;
use crate::process::SenderProcess;
use crate::random::SeededRng;
use crate::standins::judge::Judge;
use crate::standins::receivers::Behaviour;
use crate::verbs::load::{Load, steady_tasks};
use crate::verbs::report::{print_verdict, progress_bar, quantiles};
use bpaf::Bpaf;
use nix::sys::signal::Signal;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Clients of each sender.
const CLIENTS_PER_SENDER: u32 = 4;
/// Destinations in the endpoint list.
const DESTINATION_COUNT: u32 = 40;
/// One of this many destinations refuses all calls until the last restart, so that a backlog builds up.
const REFUSING_INTERVAL: u32 = 2;
/// How long after SIGTERM a sender gets SIGKILL if its process has not ended.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3700);
/// The shortest and the longest pause between two restarts, in seconds.
const PAUSE_RANGE_SECS: (f64, f64) = (0.2, 1.0);
/// How often it is checked whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long after the last webhook's deadline the judge waits for final answers.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_secs(1);

/// Options of `restarts`
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The built sender program
    #[bpaf(long, argument("PATH"), fallback(PathBuf::from("target/release/scalebarrow")))]
    pub program: PathBuf,
    /// Senders, which are restarted in turn
    #[bpaf(long, argument("N"), fallback(2), display_fallback, guard(|n| (1..=40).contains(n), "1 to 40"))]
    pub senders: usize,
    /// Restarts of all senders together; each sender gets SIGKILL and SIGTERM alternately
    #[bpaf(long, argument("N"), fallback(10), display_fallback)]
    pub restarts: u64,
    /// Use SIGKILL for all restarts
    #[bpaf(long)]
    pub kill: bool,
    /// Webhooks per second that each sender is handed
    #[bpaf(long, argument("RATE"), fallback(200.0), display_fallback, guard(|r| *r > 0.0, "above 0"))]
    pub rate: f64,
    /// Pending webhooks of each sender before the first restart
    #[bpaf(long, argument("N"), fallback(2000), display_fallback)]
    pub backlog: u64,
    /// TTL of a webhook, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(120.0), display_fallback, guard(|s| *s > 0.0 && *s <= 600.0, "above 0, 600 at most"))]
    pub ttl: f64,
    /// Determines the times of the restarts
    #[bpaf(long, argument("SEED"), fallback(1), display_fallback)]
    pub seed: u64,
}

/// Makes the restarts and prints times and counts. Returns an error if a rule was broken.
pub fn run(options: &Options, stop: &StopFlag) -> Result<(), Error> {
    let guard = Guard::start(Limits::default(), stop)?;
    let ttl = Duration::from_secs_f64(options.ttl);
    let plan = FleetPlan {
        sender_count: options.senders,
        behaviour: Behaviour::Serve(Duration::from_millis(2)),
        ttl,
        ..FleetPlan::single_sender(
            options.program.clone(),
            DESTINATION_COUNT,
            options.backlog as usize + 100_000,
        )
    };
    let (mut fleet, _) = Fleet::start(&plan, &guard)?;
    let every_nth = (0..DESTINATION_COUNT).filter(|destination| destination % REFUSING_INTERVAL == 0);
    let refusing: Vec<u32> = every_nth.collect();
    let to_refuse = refusing.clone();
    fleet.with_receivers(move |receivers, _| {
        to_refuse.iter().for_each(|destination| {
            receivers.set_destination_behaviour(*destination, Some(Behaviour::Refuse))
        });
    })?;
    let tasks = fleet.listen_addresses.iter().enumerate().flat_map(|(sender, address)| {
        steady_tasks(*address, sender as u16, DESTINATION_COUNT, CLIENTS_PER_SENDER, options.rate, ttl)
    });
    let load = Load::start(tasks.collect(), &fleet.judge, stop)?;
    let backlog = options.backlog * options.senders as u64;
    fleet.wait_until(ttl / 2, |fleet| Ok(fleet.pending_count() >= backlog))?;
    println!("backlog at the first restart: {} webhooks", fleet.pending_count());
    let result = restart_senders(&mut fleet, options);
    fleet.with_receivers(move |receivers, _| {
        refusing.iter().for_each(|destination| receivers.set_destination_behaviour(*destination, None))
    })?;
    let answers = load.finish()?;
    let (mut ready_secs, mut exit_secs) = result?;
    fleet.wait_until(ttl + FINAL_ANSWER_MARGIN, |fleet| Ok(fleet.pending_count() == 0))?;
    for (label, times_secs) in
        [("ready after a restart", &mut ready_secs), ("ended after SIGTERM", &mut exit_secs)]
    {
        if let Some([p50, p99, worst]) = quantiles(times_secs) {
            println!("{label}: p50 {p50:.3} s, p99 {p99:.3} s, worst {worst:.3} s of {}", times_secs.len());
        }
    }
    print_verdict(&answers, &fleet.verdict())
}

/// Restarts the senders in turn. Returns the seconds until each was ready, and until each process ended after
/// SIGTERM.
fn restart_senders(fleet: &mut Fleet, options: &Options) -> Result<(Vec<f64>, Vec<f64>), Error> {
    let (mut ready_secs, mut exit_secs) = (Vec::new(), Vec::new());
    let mut rng = SeededRng::new(options.seed);
    let bar = progress_bar(options.restarts, "restarts");
    for restart in 0..options.restarts {
        let pause_secs = PAUSE_RANGE_SECS.0 + (PAUSE_RANGE_SECS.1 - PAUSE_RANGE_SECS.0) * rng.next_fraction();
        fleet.guard.stop_flag().sleep(Duration::from_secs_f64(pause_secs));
        fleet.guard.check()?;
        let number = (restart % options.senders as u64) as u16;
        // Each sender gets both signals alternately.
        let signal = if options.kill || (restart / options.senders as u64).is_multiple_of(2) {
            Signal::SIGKILL
        } else {
            Signal::SIGTERM
        };
        fleet.judge.with(|judge, now| judge.record_sender_stop(number, now));
        let sender = &mut fleet.senders[usize::from(number)];
        let took = end_process(sender, signal)?;
        fleet.judge.with(|judge, now| Judge::record_sender_exit(judge, number, now));
        if signal == Signal::SIGTERM {
            exit_secs.push(took.as_secs_f64());
        }
        ready_secs.push(sender.start()?.as_secs_f64());
        fleet.judge.with(|judge, now| judge.record_sender_ready(number, now));
        bar.inc(1);
    }
    bar.finish_and_clear();
    Ok((ready_secs, exit_secs))
}

/// Ends a sender as the platform does: after SIGTERM, a process that does not end in time is killed.
fn end_process(sender: &mut SenderProcess, signal: Signal) -> Result<Duration, Error> {
    let began_at = Instant::now();
    sender.send_signal(signal)?;
    while signal == Signal::SIGTERM && sender.is_running() && began_at.elapsed() < TERMINATION_TIMEOUT {
        std::thread::sleep(EXIT_POLL_INTERVAL);
    }
    sender.signal_and_wait(Signal::SIGKILL)?;
    Ok(began_at.elapsed())
}
