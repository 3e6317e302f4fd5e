//! The verb `slope`: measures quantities at several counts, fits a line to each, and writes the lines to the
//! slopes file.

pub mod destinations;
pub mod held;
pub mod senders;

use crate::error::Error;
use crate::guard::{Guard, Limits};
use crate::interrupt::StopFlag;
use crate::slopes::{FittedLine, MeasurementKind, Slope, SlopeFile};
use crate::verbs::report::progress_bar;
use bpaf::Bpaf;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;

/// What is counted: a quantity is measured at several counts of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counted {
    /// Destinations in the endpoint list.
    Destinations,
    /// Pending webhooks of one sender.
    Held,
    /// Senders.
    Senders,
}

impl Counted {
    /// The counts to measure at by default.
    fn default_points(self) -> &'static [u64] {
        match self {
            Counted::Destinations => destinations::DEFAULT_POINTS,
            Counted::Held => held::DEFAULT_POINTS,
            Counted::Senders => senders::DEFAULT_POINTS,
        }
    }

    /// The name on the command line.
    fn name(self) -> &'static str {
        match self {
            Counted::Destinations => "destinations",
            Counted::Held => "held",
            Counted::Senders => "senders",
        }
    }

    /// How values are measured if the highest count is this.
    fn kind(self, highest_count: f64) -> MeasurementKind {
        let has_hollow = self == Counted::Senders && highest_count > senders::MAX_REAL_SENDERS as f64;
        if has_hollow { MeasurementKind::Emulated } else { MeasurementKind::Real }
    }

    /// One counted thing, as the slopes file calls it.
    fn unit(self) -> &'static str {
        match self {
            Counted::Destinations => "destination listed",
            Counted::Held => "webhook held",
            Counted::Senders => "sender",
        }
    }

    /// Measures all quantities at a count.
    fn measure(self, program: &Path, count: u64, guard: &SharedGuard) -> Result<Vec<Measurement>, Error> {
        match self {
            Counted::Destinations => destinations::measure(program, count, guard),
            Counted::Held => held::measure(program, count, guard),
            Counted::Senders => senders::measure(program, count, senders::DEFAULT_SPANS, guard),
        }
    }
}

impl std::str::FromStr for Counted {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let all = [Counted::Destinations, Counted::Held, Counted::Senders];
        let named = all.into_iter().find(|counted| counted.name() == text);
        named.ok_or_else(|| "is none of destinations, held, senders".into())
    }
}

/// Options of `slope`
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The built sender program; if given several times, each is measured at each count
    #[bpaf(long, argument("PATH"))]
    program: Vec<PathBuf>,
    /// Counts to measure at, separated by commas
    #[bpaf(long, argument("N,N,..."), optional)]
    points: Option<String>,
    /// The slope file, which gets the slopes of the first program (docs/capacity/slopes.json)
    #[bpaf(long, argument("FILE"), fallback(PathBuf::from("docs/capacity/slopes.json")))]
    out: PathBuf,
    /// The commit that the program was built from (default: what git has checked out)
    #[bpaf(long, argument("HASH"), optional)]
    commit: Option<String>,
    /// Measure and print, and do not write the slope file
    #[bpaf(long)]
    dry_run: bool,
    /// What to vary: destinations (in the list), held (pending webhooks), senders
    #[bpaf(positional("COUNTED"))]
    counted: Counted,
}

impl Options {
    /// The command that repeats the measurement, without paths of this machine.
    fn command(&self) -> String {
        let points = self.points.as_ref().map_or(String::new(), |points| format!(" --points {points}"));
        format!("scalebarrow-scale slope {}{points}", self.counted.name())
    }
}

/// A quantity that is measured, as the slopes file describes it.
#[derive(Debug, Clone, Copy)]
pub struct Quantity {
    /// Its name in the slopes file.
    pub id: &'static str,
    /// The party that it belongs to, such as `sender`.
    pub role: &'static str,
    /// What it is, in words.
    pub name: &'static str,
    /// The unit of its values, such as `B` or `s`.
    pub unit: &'static str,
}

/// The value of one quantity at one count.
#[derive(Debug, Clone, Copy)]
pub struct Measurement {
    /// What was measured.
    pub quantity: Quantity,
    /// Its value, in the unit of the quantity.
    pub value: f64,
}

/// Parses whole numbers above zero that are separated by commas.
pub fn parse_counts(text: &str) -> Result<Vec<u64>, Error> {
    let number = |part: &str| part.trim().replace('_', "").parse::<u64>().ok().filter(|count| *count > 0);
    let numbers: Option<Vec<u64>> = text.split(',').map(number).collect();
    numbers.ok_or_else(|| {
        Error::Input(format!("--points {text}: must be whole numbers above 0, such as 1000,5000"))
    })
}

/// Measures, prints each value, and writes the slopes of the first program to the slopes file.
pub fn run(options: &Options, stop: &StopFlag) -> Result<(), Error> {
    let points =
        options.points.as_deref().map_or(Ok(options.counted.default_points().to_vec()), parse_counts)?;
    let mut programs = options.program.clone();
    if programs.is_empty() {
        programs.push(PathBuf::from("target/release/scalebarrow"));
    }
    if let Some(missing) = programs.iter().find(|path| !path.is_file()) {
        return Err(Error::Input(format!(
            "--program {}: no such file; build it with cargo build --release",
            missing.display()
        )));
    }
    let guard = Guard::start(Limits::default(), stop)?;
    let mut all_measurements: Vec<Vec<(f64, Measurement)>> = vec![Vec::new(); programs.len()];
    let bar = progress_bar((points.len() * programs.len()) as u64, "slope");
    let mut result = Ok(());
    'counts: for count in &points {
        for (program, measurements) in programs.iter().zip(&mut all_measurements) {
            match options.counted.measure(program, *count, &guard) {
                Ok(new_measurements) => {
                    bar.suspend(|| {
                        print_measurements(&program.display().to_string(), *count, &new_measurements)
                    });
                    measurements
                        .extend(new_measurements.into_iter().map(|measurement| (*count as f64, measurement)));
                }
                // What was measured before the error is kept.
                Err(error) => {
                    result = Err(error);
                    break 'counts;
                }
            }
            bar.inc(1);
        }
    }
    bar.finish_and_clear();
    for (program, measurements) in programs.iter().zip(&all_measurements) {
        for slope in fit_slopes(options, measurements) {
            println!(
                "{} {}: {:.6} {} for each {}, base {:.6}, residual {:.1}%",
                program.display(),
                slope.id,
                slope.slope,
                slope.unit,
                slope.per,
                slope.base,
                slope.residual * 100.0
            );
        }
    }
    let peak_usage = guard.peak_usage();
    println!("most in use: {} MiB in {} processes", peak_usage.memory_bytes >> 20, peak_usage.processes);
    if let Some(measurements) = all_measurements.first().filter(|_| !options.dry_run) {
        let mut file = SlopeFile::read(&options.out)?;
        fit_slopes(options, measurements).into_iter().for_each(|slope| file.insert(slope));
        file.write(&options.out)?;
    }
    result
}

/// Prints the values that one program gave at one count.
fn print_measurements(program: &str, count: u64, measurements: &[Measurement]) {
    for measurement in measurements {
        println!(
            "{program} at {count}: {} {:.6} {}",
            measurement.quantity.id, measurement.value, measurement.quantity.unit
        );
    }
}

/// Fits a line to each quantity that was measured at two counts or more. Each measurement has its count
/// before it.
fn fit_slopes(options: &Options, measurements: &[(f64, Measurement)]) -> Vec<Slope> {
    let mut quantities: Vec<Quantity> = Vec::new();
    for (_, measurement) in measurements {
        if !quantities.iter().any(|quantity| quantity.id == measurement.quantity.id) {
            quantities.push(measurement.quantity);
        }
    }
    let commit = options.commit.clone().unwrap_or_else(current_commit);
    let slope = |quantity: Quantity| {
        let own_measurements =
            measurements.iter().filter(|(_, measurement)| measurement.quantity.id == quantity.id);
        let points: Vec<(f64, f64)> =
            own_measurements.map(|(count, measurement)| (*count, measurement.value)).collect();
        let line = FittedLine::fit(&points)?;
        let counts = || points.iter().map(|point| point.0);
        let range = (counts().fold(f64::INFINITY, f64::min), counts().fold(0.0, f64::max));
        Some(Slope {
            id: quantity.id.into(),
            role: quantity.role.into(),
            quantity: quantity.name.into(),
            per: options.counted.unit().into(),
            unit: quantity.unit.into(),
            slope: line.slope,
            base: line.base,
            range,
            residual: line.residual,
            points,
            kind: options.counted.kind(range.1),
            verb: options.command(),
            commit: commit.clone(),
        })
    };
    quantities.into_iter().filter_map(slope).collect()
}

/// The commit that git has checked out, abbreviated; `unknown` without git.
pub(crate) fn current_commit() -> String {
    let git = |args: &[&str]| {
        let output = Command::new("git").args(args).output().ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_owned())
    };
    git(&["rev-parse", "--short", "HEAD"]).unwrap_or_else(|| "unknown".into())
}

/// The guard of the run, as the measuring functions get it.
pub type SharedGuard = Arc<Guard>;
