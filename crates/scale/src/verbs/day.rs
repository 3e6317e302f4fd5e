//! The verb `day`: a fleet under load while a part of the destinations is down and comes back cold.

use crate::error::Error;
use crate::fleet::{Fleet, Plan};
use crate::guard::{Guard, Limits};
use crate::interrupt::Stop;
use crate::process::ProcessorTime;
use crate::standins::receivers::Behaviour;
use crate::verbs::load::{Load, steady};
use crate::verbs::report::{progress, verdict};
use bpaf::Bpaf;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// After the last webhook's time is up, before the judge speaks.
const MARGIN: Duration = Duration::from_millis(500);

/// Senders at most, real and hollow.
pub const MOST_SENDERS: usize = 560;

/// What `day` is told.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The built program
    #[bpaf(long, argument("PATH"), fallback(PathBuf::from("target/release/scalebarrow")))]
    pub program: PathBuf,
    /// The day, as experiments/scale/tenth.toml, where each field is explained
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// What a destination that is down does.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Down {
    /// It answers 500.
    Fails,
    /// It answers 503.
    Refuses,
    /// It takes calls and answers none.
    Silent,
    /// It ends each connection without an answer.
    HangsUp,
}

impl From<Down> for Behaviour {
    fn from(down: Down) -> Behaviour {
        match down {
            Down::Fails => Behaviour::Fail,
            Down::Refuses => Behaviour::Refuse,
            Down::Silent => Behaviour::Silent,
            Down::HangsUp => Behaviour::HangUp,
        }
    }
}

/// A day. Times are seconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Day {
    /// How long webhooks come.
    pub seconds: f64,
    /// Processes of the program.
    pub senders: usize,
    /// Senders beside them that share processes of the run's own.
    #[serde(default)]
    pub hollow: usize,
    /// Clients of each sender, with one connection each.
    pub clients: u32,
    pub destinations: u32,
    /// Webhooks a second, over all senders.
    pub rate: f64,
    /// Time to live of a webhook.
    pub ttl: f64,
    /// What a destination takes, as so many times what it is sent on average.
    pub headroom: f64,
    /// Whether the list tells what destinations take.
    pub rates_listed: bool,
    /// Time that a destination takes for a call.
    pub service: f64,
    /// Calls that a sender may have out at once.
    pub slots: usize,
    /// Webhooks that a sender may hold.
    pub holds: usize,
    pub outage: Outage,
}

/// Destinations that go out and come back together.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// The part of the destinations that goes out.
    pub part: f64,
    /// When it begins, and how long it lasts.
    pub from: f64,
    pub lasts: f64,
    /// What they do meanwhile, in turn.
    pub does: Vec<Down>,
}

impl Day {
    /// Reads a file; an error names it, the line and the field.
    pub fn read(path: &Path) -> Result<Day, Error> {
        let at = |why: String| Error::Input(format!("{}: {why}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| at(e.to_string()))?;
        Self::decode(&text).map_err(at)
    }

    /// A day from its text.
    pub fn decode(text: &str) -> Result<Day, String> {
        let day: Day = toml::from_str(text).map_err(|e| e.to_string())?;
        day.check().map_err(|(field, why)| {
            let name = field.rsplit('.').next().unwrap_or(field);
            let named = |line: &str| line.split('=').next().is_some_and(|n| n.trim() == name);
            let line = text.lines().position(named).map_or(0, |line| line + 1);
            format!("line {line}: {field}: {why}")
        })?;
        Ok(day)
    }

    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let at = |field, holds: bool, why| if holds { Ok(()) } else { Err((field, why)) };
        let above = |value: f64| value > 0.0 && value.is_finite();
        at("seconds", above(self.seconds) && self.seconds <= 3600.0, "must be above 0 and 3600 at most")?;
        at("senders", (1..=40).contains(&self.senders), "must be 1 to 40")?;
        at("hollow", self.hollow + self.senders <= MOST_SENDERS, "must be 560 at most with senders")?;
        at("clients", (1..=64).contains(&self.clients), "must be 1 to 64")?;
        at("destinations", (1..=120_000).contains(&self.destinations), "must be 1 to 120000")?;
        at("rate", above(self.rate), "must be above 0")?;
        at("ttl", above(self.ttl) && self.ttl <= 600.0, "must be above 0 and 600 at most")?;
        at("headroom", above(self.headroom), "must be above 0")?;
        at("service", self.service >= 0.0 && self.service <= self.ttl, "must be 0 to ttl")?;
        at("slots", self.slots > 0, "must be above 0")?;
        at("holds", self.holds > 0, "must be above 0")?;
        let outage = &self.outage;
        at("outage.part", (0.0..=1.0).contains(&outage.part), "must be 0 to 1")?;
        at("outage.from", outage.from >= 0.0, "must be 0 or more")?;
        at("outage.lasts", outage.lasts >= 0.0, "must be 0 or more")?;
        at("outage.does", !outage.does.is_empty(), "names nothing")
    }

    /// Calls a second that a destination takes.
    fn takes(&self) -> f64 {
        self.rate / f64::from(self.destinations) * self.headroom
    }

    /// The destinations that go out, spread over all.
    fn down(&self) -> Vec<(u32, Down)> {
        let count = (f64::from(self.destinations) * self.outage.part).round() as u32;
        let step = self.destinations.checked_div(count).unwrap_or(1);
        (0..count).map(|n| (n * step, self.outage.does[n as usize % self.outage.does.len()])).collect()
    }
}

/// Plays the day and prints what came of it; an error where a rule is broken.
pub fn run(options: &Options, stop: &Stop) -> Result<(), Error> {
    play(&options.program, &Day::read(&options.file)?, stop)
}

/// Plays a day.
pub fn play(program: &Path, day: &Day, stop: &Stop) -> Result<(), Error> {
    let guard = Guard::start(Limits::default(), stop)?;
    let ttl = Duration::from_secs_f64(day.ttl);
    let plan = Plan {
        senders: day.senders,
        hollow: day.hollow,
        rate: day.takes(),
        rates_listed: day.rates_listed,
        behaviour: Behaviour::Serve(Duration::from_secs_f64(day.service)),
        slots: day.slots,
        ttl,
        ..Plan::one(program.to_owned(), day.destinations, day.holds)
    };
    let (fleet, ready) = Fleet::start(&plan, &guard)?;
    let slowest = ready.iter().max().map_or(0.0, Duration::as_secs_f64);
    println!(
        "{} senders with {} destinations: ready after {slowest:.3} s at most",
        day.senders, day.destinations
    );
    let began = Instant::now();
    let rate = day.rate / fleet.listen.len() as f64;
    let tasks = fleet
        .listen
        .iter()
        .enumerate()
        .flat_map(|(me, at)| steady(*at, me as u16, day.destinations, day.clients, rate, ttl));
    let load = Load::start(tasks.collect(), &fleet.record, stop)?;
    let bar = progress(day.seconds as u64, "day");
    let sleep_until = |seconds: f64| {
        let until = began + Duration::from_secs_f64(seconds.min(day.seconds));
        while Instant::now() < until && !stop.is_set() {
            bar.set_position(began.elapsed().as_secs());
            stop.sleep_until(until.min(Instant::now() + Duration::from_secs(1)));
        }
    };
    let (down, takes) = (day.down(), day.takes());
    sleep_until(day.outage.from);
    let begins = down.clone();
    fleet.receivers(move |receivers, _| {
        begins.iter().for_each(|(dest, does)| receivers.begin_outage(*dest, (*does).into(), takes));
    })?;
    sleep_until(day.outage.from + day.outage.lasts);
    let ends = down.clone();
    fleet.receivers(move |receivers, _| ends.iter().for_each(|(dest, _)| receivers.end_outage(*dest)))?;
    sleep_until(day.seconds);
    bar.finish_and_clear();
    let answers = load.finish()?;
    let took = began.elapsed().as_secs_f64();
    println!(
        "{} destinations were down; {:.0} webhooks a second were handed in",
        down.len(),
        answers.total() as f64 / took
    );
    fleet.wait(ttl + MARGIN, |fleet| Ok(fleet.open() == 0))?;
    tell_use(&fleet, took);
    verdict(&answers, &fleet.verdict())
}

/// Prints what the senders used. Where they waited for a processor longer than they ran, the machine was too busy for
/// times to say much of the program.
fn tell_use(fleet: &Fleet, seconds: f64) {
    let mib = |bytes: u64| bytes as f64 / f64::from(1 << 20);
    let peaks: Vec<u64> = fleet.senders.iter().map(|sender| sender.memory().peak).collect();
    let times: Vec<ProcessorTime> = fleet.senders.iter().map(|sender| sender.processor()).collect();
    let percent = |sum: f64| sum / times.len() as f64 / seconds * 100.0;
    let most = fleet.guard.most();
    println!(
        "a sender: {:.1} MiB at the peak at most; it ran {:.1}% of the time and waited {:.1}% for a processor",
        mib(peaks.into_iter().max().unwrap_or(0)),
        percent(times.iter().map(|time| time.ran).sum()),
        percent(times.iter().map(|time| time.waited).sum())
    );
    println!("the run: {:.0} MiB, {} processes", mib(most.memory), most.processes);
}
