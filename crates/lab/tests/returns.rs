//! Random days on which destinations have an outage and return, through the command line.

#[allow(dead_code)]
mod helpers;
use helpers::{empty_folder, run_lab, stdout};

/// Simulates the days of some seeds, and fails with all broken rules.
fn assert_days_keep_rules(name: &str, seeds: &[(&str, &str)]) {
    let dir = empty_folder(name);
    for (first, days) in seeds {
        let output = run_lab(&dir, &["returns", "--seed", first, "--days", days]);
        assert_eq!(output.status.code(), Some(0), "{}", stdout(&output));
    }
}

/// Guards against calls beside the cold budget: 8 of these days broke a rule with the program before.
#[test]
fn forty_random_days_with_a_return_keep_all_rules() {
    assert_days_keep_rules("returns", &[("61", "40")]);
}

/// Guards against returns from an outage that looked like a limit, or was too short to be seen as one.
#[test]
fn random_days_with_refusals_or_a_short_outage_keep_all_rules() {
    let seeds = ["1085", "1117", "1149", "1157", "1219", "1238", "1277", "1282"];
    assert_days_keep_rules("short-returns", &seeds.map(|seed| (seed, "1")));
}

#[test]
fn the_day_of_a_seed_can_be_written_and_run() {
    let dir = empty_folder("written-day");
    assert_eq!(run_lab(&dir, &["returns", "--seed", "5", "--write", "day.toml"]).status.code(), Some(0));
    assert_eq!(run_lab(&dir, &["run", "day.toml", "--out", "out"]).status.code(), Some(0));
}
