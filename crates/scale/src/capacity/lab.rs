//! Computes the slope that is measured in the emulator: attempts per second at a destination that is down,
//! over the number of senders. It comes from the results that `scalebarrow-lab sweep
//! experiments/capacity-down.toml --out DIR` writes.

use crate::error::Error;
use crate::slopes::{FittedLine, MeasurementKind, Slope};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::path::Path;

/// The id of the slope.
pub const SLOPE_ID: &str = "emulated.down_tries_per_second";
/// The experiment that the results have to be of, relative to the root of the repository.
pub const EXPERIMENT_FILE: &str = "experiments/capacity-down.toml";
/// The field that the experiment sweeps.
const SENDERS_FIELD: &str = "world.senders.count";

/// The parts of the experiment file that are used. All destinations of this experiment are down all day.
#[derive(Deserialize)]
struct Experiment {
    name: String,
    world: World,
}

#[derive(Deserialize)]
struct World {
    day: Day,
    destinations: Destinations,
}

#[derive(Deserialize)]
struct Day {
    length_s: f64,
    window_s: f64,
}

#[derive(Deserialize)]
struct Destinations {
    count: u32,
}

/// The part of `summary.json` that is used.
#[derive(Deserialize)]
struct Summary {
    experiment: String,
}

/// The parts of a line of `runs.jsonl`, the result of one simulated day, that are used.
#[derive(Deserialize)]
struct DayResult {
    /// The fields that the sweep set, with their values.
    point: Vec<(String, String)>,
    windows: Vec<Window>,
}

/// A part of the day, `window_s` long.
#[derive(Deserialize)]
struct Window {
    at_s: f64,
    attempts: u64,
}

/// Computes the slope from the experiment file and the folder with its results.
pub fn slope(root: &Path, folder: &Path, commit: String) -> Result<Slope, Error> {
    let experiment: Experiment = toml::from_str(&read_file(&root.join(EXPERIMENT_FILE))?)
        .map_err(|e| input_error(&root.join(EXPERIMENT_FILE), e.message().to_owned()))?;
    let summary: Summary =
        parse_json(&folder.join("summary.json"), &read_file(&folder.join("summary.json"))?)?;
    if summary.experiment != experiment.name {
        let reason = format!("experiment: {:?} and not {:?}", summary.experiment, experiment.name);
        return Err(input_error(&folder.join("summary.json"), reason));
    }
    let points = points(&experiment.world, &folder.join("runs.jsonl"))?;
    let line = FittedLine::fit(&points).ok_or_else(|| {
        input_error(&folder.join("runs.jsonl"), format!("{SENDERS_FIELD}: two counts are needed"))
    })?;
    let sender_counts = || points.iter().map(|point| point.0);
    Ok(Slope {
        id: SLOPE_ID.into(),
        role: "receiver".into(),
        quantity: "tries at a destination that is down, rates listed".into(),
        per: "sender".into(),
        unit: "1/s".into(),
        slope: line.slope,
        base: line.base,
        range: (sender_counts().fold(f64::INFINITY, f64::min), sender_counts().fold(0.0, f64::max)),
        residual: line.residual,
        points,
        kind: MeasurementKind::Emulated,
        verb: format!("scalebarrow-lab sweep {EXPERIMENT_FILE}"),
        commit,
    })
}

/// Attempts per second at one destination by the number of senders, as the mean over the days.
fn points(world: &World, path: &Path) -> Result<Vec<(f64, f64)>, Error> {
    let mut by_senders: BTreeMap<u32, Vec<f64>> = BTreeMap::new();
    for (index, line) in read_file(path)?.lines().enumerate() {
        let line_error = |reason: String| input_error(path, format!("line {}: {reason}", index + 1));
        let mut deserializer = serde_json::Deserializer::from_str(line);
        let day: DayResult = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|e| line_error(format!("{}: {}", e.path(), e.inner())))?;
        let senders = day.point.iter().find(|(field, _)| field == SENDERS_FIELD);
        let senders = senders.and_then(|(_, count)| count.parse().ok());
        let senders = senders.ok_or_else(|| line_error(format!("point: no count for {SENDERS_FIELD}")))?;
        let attempts_per_second = attempts_per_second(world, &day.windows)
            .ok_or_else(|| line_error("windows: none in the second half".into()))?;
        by_senders.entry(senders).or_default().push(attempts_per_second);
    }
    let mean = |days: &[f64]| days.iter().sum::<f64>() / days.len() as f64;
    Ok(by_senders.iter().map(|(senders, days)| (f64::from(*senders), mean(days))).collect())
}

/// Attempts per second at one destination in the second half of the day, when each sender has webhooks queued
/// for each destination. The last window is left out, since it also counts the attempts after the end of the
/// day.
fn attempts_per_second(world: &World, windows: &[Window]) -> Option<f64> {
    let (last, earlier) = windows.split_last()?;
    let counted =
        earlier.iter().filter(|window| window.at_s >= world.day.length_s / 2.0 && window.at_s < last.at_s);
    let attempts: Vec<u64> = counted.map(|window| window.attempts).collect();
    let seconds = attempts.len() as f64 * world.day.window_s;
    let per_destination = |total: u64| total as f64 / seconds / f64::from(world.destinations.count);
    (!attempts.is_empty()).then(|| per_destination(attempts.iter().sum()))
}

fn read_file(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|e| input_error(path, e.to_string()))
}

fn parse_json<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, Error> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|e| input_error(path, format!("{}: {}", e.path(), e.inner())))
}

fn input_error(path: &Path, reason: String) -> Error {
    Error::Input(format!("{}: {reason}", path.display()))
}
