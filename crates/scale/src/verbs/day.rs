//! The verb `day`: runs a fleet under load while a part of the destinations has an outage and comes back
//! cold.

use crate::error::Error;
use crate::fleet::{Fleet, FleetPlan};
use crate::guard::{Guard, Limits};
use crate::interrupt::StopFlag;
use crate::process::CpuTime;
use crate::standins::receivers::Behaviour;
use crate::verbs::load::{Load, steady_tasks};
use crate::verbs::report::{print_verdict, progress_bar};
use bpaf::Bpaf;
use nix::sys::signal::Signal;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How long after the last webhook's deadline the judge waits for final answers.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// The most senders of a run, real and hollow ones together.
pub const MAX_SENDERS: usize = 560;

/// Options of `day`
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The built sender program
    #[bpaf(long, argument("PATH"), fallback(PathBuf::from("target/release/scalebarrow")))]
    pub program: PathBuf,
    /// The load profile; experiments/scale/tenth.toml is one in which each field is explained
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// How a destination answers during its outage.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageBehaviour {
    /// It answers 500.
    Fails,
    /// It answers 503.
    Refuses,
    /// It accepts calls and never answers.
    Silent,
    /// It closes each connection without an answer.
    HangsUp,
}

impl From<OutageBehaviour> for Behaviour {
    fn from(outage_behaviour: OutageBehaviour) -> Behaviour {
        match outage_behaviour {
            OutageBehaviour::Fails => Behaviour::Fail,
            OutageBehaviour::Refuses => Behaviour::Refuse,
            OutageBehaviour::Silent => Behaviour::Silent,
            OutageBehaviour::HangsUp => Behaviour::HangUp,
        }
    }
}

/// A load profile. All times are seconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadProfile {
    /// How long clients hand in webhooks.
    pub seconds: f64,
    /// Real senders, each a process of the program.
    pub senders: usize,
    /// Hollow senders, which share processes.
    #[serde(default)]
    pub hollow: usize,
    /// Clients of each sender, with one connection each.
    pub clients: u32,
    /// Destinations in the endpoint list, with one endpoint each.
    pub destinations: u32,
    /// Webhooks per second, over all senders.
    pub rate: f64,
    /// TTL of a webhook.
    pub ttl: f64,
    /// The rate that a destination can take, as a multiple of the rate that it is sent on average.
    pub headroom: f64,
    /// Whether the endpoint list names the rates that destinations can take.
    pub rates_listed: bool,
    /// How long a destination takes to answer a call.
    pub service: f64,
    /// Calls that a sender may have in flight at once.
    pub slots: usize,
    /// Webhooks that a sender may hold at once.
    pub holds: usize,
    /// The outage of a part of the destinations.
    pub outage: Outage,
    /// A restart of a part of the senders.
    pub restart: Option<Restart>,
}

/// A restart of some senders at the same time, by SIGKILL.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Restart {
    /// The fraction of the senders that are killed and started again.
    pub part: f64,
    /// When they are killed, in seconds since the begin of the load.
    pub at: f64,
}

/// An outage that some destinations have at the same time. All times are seconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// The fraction of the destinations that have the outage.
    pub part: f64,
    /// When it begins, since the begin of the load.
    pub from: f64,
    /// How long it lasts.
    pub lasts: f64,
    /// How the destinations answer meanwhile, in turn.
    pub does: Vec<OutageBehaviour>,
}

impl LoadProfile {
    /// Reads a file. An error names the file, the line and the field.
    pub fn read(path: &Path) -> Result<LoadProfile, Error> {
        let input_error = |reason: String| Error::Input(format!("{}: {reason}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|error| input_error(error.to_string()))?;
        Self::decode(&text).map_err(input_error)
    }

    /// Parses a profile from TOML. An error names the line and the field.
    pub fn decode(text: &str) -> Result<LoadProfile, String> {
        let profile: LoadProfile = toml::from_str(text).map_err(|error| error.to_string())?;
        profile.check().map_err(|(field, requirement)| {
            let key = field.rsplit('.').next().unwrap_or(field);
            let sets_field =
                |line: &str| line.split('=').next().is_some_and(|line_key| line_key.trim() == key);
            let line = text.lines().position(sets_field).map_or(0, |index| index + 1);
            format!("line {line}: {field}: {requirement}")
        })?;
        Ok(profile)
    }

    /// Checks all values. An error is a field and what it must be.
    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let require =
            |field, holds: bool, requirement| if holds { Ok(()) } else { Err((field, requirement)) };
        let is_positive = |value: f64| value > 0.0 && value.is_finite();
        require(
            "seconds",
            is_positive(self.seconds) && self.seconds <= 3600.0,
            "must be above 0 and 3600 at most",
        )?;
        require("senders", (1..=40).contains(&self.senders), "must be 1 to 40")?;
        require("hollow", self.hollow + self.senders <= MAX_SENDERS, "must be 560 at most with senders")?;
        require("clients", (1..=64).contains(&self.clients), "must be 1 to 64")?;
        require("destinations", (1..=120_000).contains(&self.destinations), "must be 1 to 120000")?;
        require("rate", is_positive(self.rate), "must be above 0")?;
        require("ttl", is_positive(self.ttl) && self.ttl <= 600.0, "must be above 0 and 600 at most")?;
        require("headroom", is_positive(self.headroom), "must be above 0")?;
        require("service", self.service >= 0.0 && self.service <= self.ttl, "must be 0 to ttl")?;
        require("slots", self.slots > 0, "must be above 0")?;
        require("holds", self.holds > 0, "must be above 0")?;
        let outage = &self.outage;
        require("outage.part", (0.0..=1.0).contains(&outage.part), "must be 0 to 1")?;
        require("outage.from", outage.from >= 0.0, "must be 0 or more")?;
        require("outage.lasts", outage.lasts >= 0.0, "must be 0 or more")?;
        require("outage.does", !outage.does.is_empty(), "names nothing")?;
        let Some(restart) = self.restart else { return Ok(()) };
        require("restart.part", (0.0..=1.0).contains(&restart.part), "must be 0 to 1")?;
        require("restart.at", (0.0..self.seconds).contains(&restart.at), "must be 0 to seconds")
    }

    /// Calls per second that a destination can take.
    fn calls_per_sec(&self) -> f64 {
        self.rate / f64::from(self.destinations) * self.headroom
    }

    /// The destinations that have the outage, spread evenly over all, and how they answer meanwhile.
    fn destinations_down(&self) -> Vec<(u32, OutageBehaviour)> {
        let count = (f64::from(self.destinations) * self.outage.part).round() as u32;
        let step = self.destinations.checked_div(count).unwrap_or(1);
        (0..count)
            .map(|index| (index * step, self.outage.does[index as usize % self.outage.does.len()]))
            .collect()
    }
}

/// Runs the load profile of a file and prints the results. Returns an error if a rule was broken.
pub fn run(options: &Options, stop: &StopFlag) -> Result<(), Error> {
    run_profile(&options.program, &LoadProfile::read(&options.file)?, stop)
}

/// Runs a load profile and prints the results. Returns an error if a rule was broken.
pub fn run_profile(program: &Path, profile: &LoadProfile, stop: &StopFlag) -> Result<(), Error> {
    let guard = Guard::start(Limits::default(), stop)?;
    let ttl = Duration::from_secs_f64(profile.ttl);
    let plan = FleetPlan {
        sender_count: profile.senders,
        hollow_count: profile.hollow,
        calls_per_sec: profile.calls_per_sec(),
        rates_listed: profile.rates_listed,
        behaviour: Behaviour::Serve(Duration::from_secs_f64(profile.service)),
        slots: profile.slots,
        ttl,
        ..FleetPlan::single_sender(program.to_owned(), profile.destinations, profile.holds)
    };
    let (mut fleet, ready_after) = Fleet::start(&plan, &guard)?;
    let slowest_secs = ready_after.iter().max().map_or(0.0, Duration::as_secs_f64);
    println!(
        "{} senders with {} destinations: ready after {slowest_secs:.3} s at most",
        profile.senders, profile.destinations
    );
    let began_at = Instant::now();
    let webhooks_per_sec = profile.rate / fleet.listen_addresses.len() as f64;
    let tasks = fleet.listen_addresses.iter().enumerate().flat_map(|(sender, address)| {
        steady_tasks(*address, sender as u16, profile.destinations, profile.clients, webhooks_per_sec, ttl)
    });
    let load = Load::start(tasks.collect(), &fleet.judge, stop)?;
    let bar = progress_bar(profile.seconds as u64, "day");
    let sleep_until = |load_secs: f64| {
        let wake_at = began_at + Duration::from_secs_f64(load_secs.min(profile.seconds));
        while Instant::now() < wake_at && !stop.is_set() {
            bar.set_position(began_at.elapsed().as_secs());
            stop.sleep_until(wake_at.min(Instant::now() + Duration::from_secs(1)));
        }
    };
    let (destinations_down, calls_per_sec) = (profile.destinations_down(), profile.calls_per_sec());
    sleep_until(profile.outage.from);
    let beginning = destinations_down.clone();
    fleet.with_receivers(move |receivers, _| {
        beginning.iter().for_each(|(destination, behaviour)| {
            receivers.begin_outage(*destination, (*behaviour).into(), calls_per_sec)
        });
    })?;
    let outage_end_secs = profile.outage.from + profile.outage.lasts;
    if let Some(restart) = profile.restart.filter(|restart| restart.at <= outage_end_secs) {
        sleep_until(restart.at);
        restart_senders(&mut fleet, restart.part)?;
    }
    sleep_until(outage_end_secs);
    let ending = destinations_down.clone();
    fleet.with_receivers(move |receivers, _| {
        ending.iter().for_each(|(destination, _)| receivers.end_outage(*destination))
    })?;
    if let Some(restart) = profile.restart.filter(|restart| restart.at > outage_end_secs) {
        sleep_until(restart.at);
        restart_senders(&mut fleet, restart.part)?;
    }
    sleep_until(profile.seconds);
    bar.finish_and_clear();
    let answers = load.finish()?;
    let took_secs = began_at.elapsed().as_secs_f64();
    println!(
        "{} destinations were down; {:.0} webhooks a second were handed in",
        destinations_down.len(),
        answers.total() as f64 / took_secs
    );
    fleet.wait_until(ttl + FINAL_ANSWER_MARGIN, |fleet| Ok(fleet.pending_count() == 0))?;
    print_usage(&fleet, took_secs);
    print_verdict(&answers, &fleet.verdict())
}

/// Kills a fraction of the senders, all at once, and starts them again.
fn restart_senders(fleet: &mut Fleet, part: f64) -> Result<(), Error> {
    let count = (fleet.senders.len() as f64 * part).round() as usize;
    for (number, sender) in fleet.senders.iter_mut().enumerate().take(count) {
        fleet.judge.with(|judge, now| judge.record_sender_stop(number as u16, now));
        sender.signal_and_wait(Signal::SIGKILL)?;
        fleet.judge.with(|judge, now| judge.record_sender_exit(number as u16, now));
    }
    let restarted_at = Instant::now();
    for sender in fleet.senders.iter_mut().take(count) {
        sender.launch()?;
    }
    for (number, sender) in fleet.senders.iter_mut().enumerate().take(count) {
        sender.wait_until_ready(restarted_at)?;
        fleet.judge.with(|judge, now| judge.record_sender_ready(number as u16, now));
    }
    Ok(())
}

/// Prints what the senders used. If they waited for a processor longer than they ran, the machine was too
/// busy, and the measured times say little about the program.
fn print_usage(fleet: &Fleet, took_secs: f64) {
    let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    let peak_bytes: Vec<u64> = fleet.senders.iter().map(|sender| sender.memory().peak_bytes).collect();
    let cpu_times: Vec<CpuTime> = fleet.senders.iter().map(|sender| sender.cpu_time()).collect();
    let percent = |total_secs: f64| total_secs / cpu_times.len() as f64 / took_secs * 100.0;
    let peak_usage = fleet.guard.peak_usage();
    println!(
        "a sender: {:.1} MiB at the peak at most; it ran {:.1}% of the time and waited {:.1}% for a processor",
        mib(peak_bytes.into_iter().max().unwrap_or(0)),
        percent(cpu_times.iter().map(|cpu_time| cpu_time.running_secs).sum()),
        percent(cpu_times.iter().map(|cpu_time| cpu_time.waiting_secs).sum())
    );
    println!("the run: {:.0} MiB, {} processes", mib(peak_usage.memory_bytes), peak_usage.processes);
}
