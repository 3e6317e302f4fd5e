//! The verb `small`: each other verb in a form that takes seconds, so that CI plays all of them. It fails where a rule is
//! broken, a change is late, or a sender does not start.

use crate::error::Error;
use crate::guard::{Guard, Limits};
use crate::interrupt::Stop;
use crate::process::Folder;
use crate::verbs::slope::{destinations, held, senders};
use crate::verbs::{changes, day, restarts};
use bpaf::Bpaf;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const DAY: &str = include_str!("../../../../experiments/scale/small.toml");
const SPANS: senders::Spans =
    senders::Spans { settle: Duration::from_millis(500), counted: Duration::from_millis(1500) };
const HELD: u64 = 1000;
const DESTINATIONS: u64 = 1000;
const SENDERS: u64 = 3;
/// All of it may take so long.
const LIMIT: Duration = Duration::from_secs(60);

/// What `small` is told.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// The built program
    #[bpaf(long, argument("PATH"), fallback(PathBuf::from("target/release/scalebarrow")))]
    program: PathBuf,
}

/// Plays all verbs, the first that fails being the last.
pub fn run(options: &Options, stop: &Stop) -> Result<(), Error> {
    let began = Instant::now();
    slopes(&options.program, stop)?;
    println!("== restarts");
    let program = || options.program.clone();
    let restart = restarts::Options {
        program: program(),
        senders: 2,
        restarts: 4,
        kill: false,
        rate: 100.0,
        backlog: 200,
        ttl: 30.0,
        seed: 1,
    };
    restarts::run(&restart, stop)?;
    println!("== restarts of a sender that forgets its backlog");
    forgetful(&restart, stop)?;
    println!("== changes");
    let change = changes::Options {
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
    changes::run(&change, stop)?;
    println!("== day");
    day::play(&options.program, &day::Day::decode(DAY).map_err(Error::Input)?, stop)?;
    let took = began.elapsed();
    println!("all verbs in {:.1} s", took.as_secs_f64());
    if took > LIMIT { Err(Error::Broken(format!("the small form took {took:?}"))) } else { Ok(()) }
}

/// A sender that loses what it held has to be found out: otherwise the verdicts above say nothing.
fn forgetful(restart: &restarts::Options, stop: &Stop) -> Result<(), Error> {
    let folder = Folder::new("forgetful")?;
    let script = folder.path().join("program");
    let program = std::path::absolute(&restart.program)?;
    std::fs::write(
        &script,
        format!("#!/bin/sh\nrm -f \"$LB_STATE\"/*\nexec {} \"$@\"\n", program.display()),
    )?;
    std::fs::set_permissions(&script, std::fs::Permissions::from_mode(0o755))?;
    let options = restarts::Options { program: script, senders: 1, restarts: 1, ttl: 4.0, ..restart.clone() };
    match restarts::run(&options, stop) {
        Err(Error::Broken(why)) if why.contains("Lost") => {
            println!("found out");
            Ok(())
        }
        Ok(()) => Err(Error::Broken("a sender that forgets its backlog was not found out".into())),
        Err(error) => Err(error),
    }
}

/// One point of each slope; lines through them say nothing at this size.
fn slopes(program: &Path, stop: &Stop) -> Result<(), Error> {
    println!("== slope");
    let guard = Guard::start(Limits::default(), stop)?;
    let measured = [
        destinations::measure(program, DESTINATIONS, &guard)?,
        held::measure(program, HELD, &guard)?,
        senders::measure(program, SENDERS, SPANS, &guard)?,
    ];
    for m in measured.iter().flatten() {
        println!("{} {:.6} {}", m.quantity.id, m.value, m.quantity.unit);
    }
    Ok(())
}
