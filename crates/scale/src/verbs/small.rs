//! The verb `small`: runs the other verbs at sizes that take seconds, so that CI covers all of them. It fails
//! if a rule is broken, a list change is applied late, or a sender does not start.

use crate::error::Error;
use crate::guard::{Guard, Limits};
use crate::interrupt::StopFlag;
use crate::process::TempFolder;
use crate::verbs::slope::{destinations, held, senders};
use crate::verbs::{changes, day, restarts};
use bpaf::Bpaf;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The load profile for `day`.
const DAY_FILE: &str = include_str!("../../../../experiments/scale/small.toml");
/// How long the slopes over senders are measured.
const SPANS: senders::Spans =
    senders::Spans { settle: Duration::from_millis(500), measure: Duration::from_millis(1500) };
/// Pending webhooks at which the slopes over them are measured.
const PENDING_WEBHOOKS: u64 = 1000;
/// Destinations at which the slopes over them are measured.
const DESTINATIONS: u64 = 1000;
/// Senders at which the slopes over them are measured.
const SENDERS: u64 = 3;
/// How long all verbs together may take.
const TIME_LIMIT: Duration = Duration::from_secs(60);

/// Options of `small`
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The built sender program
    #[bpaf(long, argument("PATH"), fallback(PathBuf::from("target/release/scalebarrow")))]
    program: PathBuf,
}

/// Runs all verbs, and stops at the first that fails.
pub fn run(options: &Options, stop: &StopFlag) -> Result<(), Error> {
    let began_at = Instant::now();
    measure_slopes(&options.program, stop)?;
    println!("== restarts");
    let program = || options.program.clone();
    let restart_options = restarts::Options {
        program: program(),
        senders: 2,
        restarts: 4,
        kill: false,
        rate: 100.0,
        backlog: 200,
        ttl: 30.0,
        seed: 1,
    };
    restarts::run(&restart_options, stop)?;
    println!("== restarts of a sender that loses its backlog");
    check_lost_backlog_is_detected(&restart_options, stop)?;
    println!("== changes");
    let change_options = changes::Options {
        program: program(),
        senders: 2,
        hollow: 6,
        destinations: 200,
        idle: 1.0,
        hour: 5,
        pause: 0.1,
        burst: 100,
        ask: false,
    };
    changes::run(&change_options, stop)?;
    println!("== day");
    day::run_profile(&options.program, &day::LoadProfile::decode(DAY_FILE).map_err(Error::Input)?, stop)?;
    let took = began_at.elapsed();
    println!("all verbs in {:.1} s", took.as_secs_f64());
    if took > TIME_LIMIT {
        Err(Error::Broken(format!("all verbs together took {took:?}, {TIME_LIMIT:?} allowed")))
    } else {
        Ok(())
    }
}

/// Runs restarts of a sender that loses its state. Unless the judge reports that, the verdicts above prove
/// nothing.
fn check_lost_backlog_is_detected(restart_options: &restarts::Options, stop: &StopFlag) -> Result<(), Error> {
    let folder = TempFolder::new("forgetful")?;
    let script = folder.path().join("program");
    let program = std::path::absolute(&restart_options.program)?;
    std::fs::write(
        &script,
        format!("#!/bin/sh\nrm -f \"$LB_STATE\"/*\nexec {} \"$@\"\n", program.display()),
    )?;
    std::fs::set_permissions(&script, std::fs::Permissions::from_mode(0o755))?;
    let options =
        restarts::Options { program: script, senders: 1, restarts: 1, ttl: 4.0, ..restart_options.clone() };
    match restarts::run(&options, stop) {
        Err(Error::Broken(text)) if text.contains("Lost") => {
            println!("detected");
            Ok(())
        }
        Ok(()) => Err(Error::Broken("the lost backlog of a sender was not detected".into())),
        Err(error) => Err(error),
    }
}

/// Measures one point of each slope. At this size a line through several would mean nothing.
fn measure_slopes(program: &Path, stop: &StopFlag) -> Result<(), Error> {
    println!("== slope");
    let guard = Guard::start(Limits::default(), stop)?;
    let measurements = [
        destinations::measure(program, DESTINATIONS, &guard)?,
        held::measure(program, PENDING_WEBHOOKS, &guard)?,
        senders::measure(program, SENDERS, SPANS, &guard)?,
    ];
    for measurement in measurements.iter().flatten() {
        println!("{} {:.6} {}", measurement.quantity.id, measurement.value, measurement.quantity.unit);
    }
    Ok(())
}
