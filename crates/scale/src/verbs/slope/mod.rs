//! The verb `slope`: one quantity after another at several counts, a line through each, written to the file of slopes.

pub mod destinations;
pub mod held;
pub mod senders;

use crate::error::Error;
use crate::guard::{Guard, Limits};
use crate::interrupt::Stop;
use crate::slopes::{FittedLine, MeasurementKind, Slope, SlopeFile};
use crate::verbs::report::progress;
use bpaf::Bpaf;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Of {
    Destinations,
    Held,
    Senders,
}

impl Of {
    /// Counts where none are told.
    fn usual_points(self) -> &'static [u64] {
        match self {
            Of::Destinations => destinations::POINTS,
            Of::Held => held::POINTS,
            Of::Senders => senders::POINTS,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Of::Destinations => "destinations",
            Of::Held => "held",
            Of::Senders => "senders",
        }
    }

    /// How the figures up to a count come about.
    fn kind(self, highest: f64) -> MeasurementKind {
        let hollow = self == Of::Senders && highest > senders::MOST_REAL as f64;
        if hollow { MeasurementKind::Emulated } else { MeasurementKind::Real }
    }

    fn unit(self) -> &'static str {
        match self {
            Of::Destinations => "destination listed",
            Of::Held => "webhook held",
            Of::Senders => "sender",
        }
    }

    fn measure(self, program: &Path, count: u64, guard: &SharedGuard) -> Result<Vec<Measured>, Error> {
        match self {
            Of::Destinations => destinations::measure(program, count, guard),
            Of::Held => held::measure(program, count, guard),
            Of::Senders => senders::measure(program, count, senders::SPANS, guard),
        }
    }
}

impl std::str::FromStr for Of {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let all = [Of::Destinations, Of::Held, Of::Senders];
        let named = all.into_iter().find(|of| of.name() == text);
        named.ok_or_else(|| "is none of destinations, held, senders".into())
    }
}

/// What `slope` is told.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The built program; given several times, each is measured at each count, one after the other
    #[bpaf(long, argument("PATH"))]
    program: Vec<PathBuf>,
    /// Counts to measure at, separated by commas
    #[bpaf(long, argument("N,N,..."), optional)]
    points: Option<String>,
    /// The file that the slopes of the first program are written to (docs/capacity/slopes.json)
    #[bpaf(long, argument("FILE"), fallback(PathBuf::from("docs/capacity/slopes.json")))]
    out: PathBuf,
    /// The commit that the program was built from; asked from git where it is not given
    #[bpaf(long, argument("HASH"), optional)]
    commit: Option<String>,
    /// Measure and print, and leave the file as it is
    #[bpaf(long)]
    dry_run: bool,
    /// What is counted: destinations (listed), held (webhooks), senders
    #[bpaf(positional("COUNTED"))]
    of: Of,
}

impl Options {
    /// The command that gives the same figures, without paths of this machine.
    fn command(&self) -> String {
        let points = self.points.as_ref().map_or(String::new(), |points| format!(" --points {points}"));
        format!("scalebarrow-scale slope {}{points}", self.of.name())
    }
}

/// A quantity that a verb measures: its name in the file and what the file says of it.
#[derive(Debug, Clone, Copy)]
pub struct Quantity {
    pub id: &'static str,
    pub role: &'static str,
    pub name: &'static str,
    pub unit: &'static str,
}

/// One quantity at one count.
#[derive(Debug, Clone, Copy)]
pub struct Measured {
    pub quantity: Quantity,
    pub value: f64,
}

/// Whole numbers above zero, separated by commas.
pub fn counts(text: &str) -> Result<Vec<u64>, Error> {
    let number = |part: &str| part.trim().replace('_', "").parse::<u64>().ok().filter(|n| *n > 0);
    let numbers: Option<Vec<u64>> = text.split(',').map(number).collect();
    numbers
        .ok_or_else(|| Error::Input(format!("--points {text}: must be whole numbers above 0, as 1000,5000")))
}

/// Measures, prints each figure, and writes the lines.
pub fn run(options: &Options, stop: &Stop) -> Result<(), Error> {
    let points = options.points.as_deref().map_or(Ok(options.of.usual_points().to_vec()), counts)?;
    let mut programs = options.program.clone();
    if programs.is_empty() {
        programs.push(PathBuf::from("target/release/scalebarrow"));
    }
    if let Some(missing) = programs.iter().find(|p| !p.is_file()) {
        return Err(Error::Input(format!(
            "--program {}: no such file; cargo build --release",
            missing.display()
        )));
    }
    let guard = Guard::start(Limits::default(), stop)?;
    let mut taken: Vec<Vec<(f64, Measured)>> = vec![Vec::new(); programs.len()];
    let bar = progress((points.len() * programs.len()) as u64, "slope");
    let mut ended = Ok(());
    'all: for count in &points {
        for (program, taken) in programs.iter().zip(&mut taken) {
            match options.of.measure(program, *count, &guard) {
                Ok(measured) => {
                    bar.suspend(|| print(&program.display().to_string(), *count, &measured));
                    taken.extend(measured.into_iter().map(|m| (*count as f64, m)));
                }
                // What was measured until then is kept.
                Err(error) => {
                    ended = Err(error);
                    break 'all;
                }
            }
            bar.inc(1);
        }
    }
    bar.finish_and_clear();
    for (program, taken) in programs.iter().zip(&taken) {
        for slope in lines(options, taken) {
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
    let most = guard.most();
    println!("most in use: {} MiB in {} processes", most.memory >> 20, most.processes);
    if let Some(taken) = taken.first().filter(|_| !options.dry_run) {
        let mut file = SlopeFile::read(&options.out)?;
        lines(options, taken).into_iter().for_each(|slope| file.insert(slope));
        file.write(&options.out)?;
    }
    ended
}

fn print(program: &str, count: u64, measured: &[Measured]) {
    for m in measured {
        println!("{program} at {count}: {} {:.6} {}", m.quantity.id, m.value, m.quantity.unit);
    }
}

/// A line for each quantity that was measured at two counts or more.
fn lines(options: &Options, taken: &[(f64, Measured)]) -> Vec<Slope> {
    let mut quantities: Vec<Quantity> = Vec::new();
    for (_, measured) in taken {
        if !quantities.iter().any(|q| q.id == measured.quantity.id) {
            quantities.push(measured.quantity);
        }
    }
    let commit = options.commit.clone().unwrap_or_else(commit);
    let slope = |quantity: Quantity| {
        let own = taken.iter().filter(|(_, m)| m.quantity.id == quantity.id);
        let points: Vec<(f64, f64)> = own.map(|(count, m)| (*count, m.value)).collect();
        let line = FittedLine::fit(&points)?;
        let counts = || points.iter().map(|p| p.0);
        let range = (counts().fold(f64::INFINITY, f64::min), counts().fold(0.0, f64::max));
        Some(Slope {
            id: quantity.id.into(),
            role: quantity.role.into(),
            quantity: quantity.name.into(),
            per: options.of.unit().into(),
            unit: quantity.unit.into(),
            slope: line.slope,
            base: line.base,
            range,
            residual: line.residual,
            points,
            kind: options.of.kind(range.1),
            verb: options.command(),
            commit: commit.clone(),
        })
    };
    quantities.into_iter().filter_map(slope).collect()
}

/// The commit that is checked out, abbreviated; with `+` where files differ from it.
pub(crate) fn commit() -> String {
    let git = |args: &[&str]| {
        let output = Command::new("git").args(args).output().ok()?;
        output.status.success().then(|| String::from_utf8_lossy(&output.stdout).trim().to_owned())
    };
    git(&["rev-parse", "--short", "HEAD"]).unwrap_or_else(|| "unknown".into())
}

/// The shared guard, as measuring functions take it.
pub type SharedGuard = Arc<Guard>;
