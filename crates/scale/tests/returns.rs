//! Real senders, whose destinations return from an outage: all of them together must not overload one.

use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Mutex;

const PROFILE: &str = include_str!("../../../experiments/scale/returns.toml");

/// One fleet at a time: each has forty processes.
static ONE_FLEET: Mutex<()> = Mutex::new(());

/// Runs a day of real senders, built with the tests. Fails with the output if a rule was broken.
fn assert_day_keeps_rules(name: &str, profile: &str) {
    let _one_fleet = ONE_FLEET.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let scale = Path::new(env!("CARGO_BIN_EXE_scalebarrow-scale"));
    let (program, file) =
        (scale.with_file_name("scalebarrow"), Path::new(env!("CARGO_TARGET_TMPDIR")).join(name));
    assert!(program.exists(), "the tests of the whole workspace build {}", program.display());
    std::fs::write(&file, profile).unwrap();
    let mut command = Command::new(scale);
    command.arg("day").arg("--program").arg(program).arg(file).stdin(Stdio::null());
    let output = command.output().unwrap();
    let text = [output.stdout, output.stderr].map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
    assert!(output.status.success(), "{}", text.concat());
}

/// Guards against each of many senders pacing itself as if it were alone, as no rate is listed.
#[test]
fn forty_senders_without_listed_rates_do_not_overload_a_destination() {
    assert_day_keeps_rules("no-rates.toml", &PROFILE.replace("rates_listed = true", "rates_listed = false"));
}

/// Guards against a process that starts in an outage and has forgotten what the one before it saw.
#[test]
fn forty_senders_killed_within_an_outage_do_not_overload_a_destination() {
    assert_day_keeps_rules("killed.toml", &format!("{PROFILE}\n[restart]\npart = 1.0\nat = 11.0\n"));
}
