//! The slope that the emulator gives: tries a second at a destination that is down, against senders. Taken from the folder
//! of results that `scalebarrow-lab sweep experiments/capacity-down.toml --out DIR` writes.

use crate::error::Error;
use crate::slopes::{FittedLine, MeasurementKind, Slope};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::path::Path;

pub const SLOPE: &str = "emulated.down_tries_per_second";
pub const EXPERIMENT: &str = "experiments/capacity-down.toml";
/// The field that the experiment varies.
const SENDERS: &str = "world.senders.count";

/// What is read of the experiment: all of its destinations are down all day.
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

#[derive(Deserialize)]
struct Summary {
    experiment: String,
}

/// What is read of a line of `runs.jsonl`.
#[derive(Deserialize)]
struct Played {
    point: Vec<(String, String)>,
    windows: Vec<Window>,
}

#[derive(Deserialize)]
struct Window {
    at_s: f64,
    attempts: u64,
}

/// The slope, from the experiment's file and the folder of its results.
pub fn slope(root: &Path, folder: &Path, commit: String) -> Result<Slope, Error> {
    let experiment: Experiment = toml::from_str(&read(&root.join(EXPERIMENT))?)
        .map_err(|e| refused(&root.join(EXPERIMENT), e.message().to_owned()))?;
    let summary: Summary = json(&folder.join("summary.json"), &read(&folder.join("summary.json"))?)?;
    if summary.experiment != experiment.name {
        let why = format!("experiment: {:?} and not {:?}", summary.experiment, experiment.name);
        return Err(refused(&folder.join("summary.json"), why));
    }
    let points = points(&experiment.world, &folder.join("runs.jsonl"))?;
    let line = FittedLine::fit(&points)
        .ok_or_else(|| refused(&folder.join("runs.jsonl"), format!("{SENDERS}: two counts are needed")))?;
    let counts = || points.iter().map(|point| point.0);
    Ok(Slope {
        id: SLOPE.into(),
        role: "receiver".into(),
        quantity: "tries at a destination that is down, rates listed".into(),
        per: "sender".into(),
        unit: "1/s".into(),
        slope: line.slope,
        base: line.base,
        range: (counts().fold(f64::INFINITY, f64::min), counts().fold(0.0, f64::max)),
        residual: line.residual,
        points,
        kind: MeasurementKind::Emulated,
        verb: format!("scalebarrow-lab sweep {EXPERIMENT}"),
        commit,
    })
}

/// Tries a second at one destination by the number of senders, the mean of the days played.
fn points(world: &World, path: &Path) -> Result<Vec<(f64, f64)>, Error> {
    let mut by_senders: BTreeMap<u32, Vec<f64>> = BTreeMap::new();
    for (at, line) in read(path)?.lines().enumerate() {
        let fail = |why: String| refused(path, format!("line {}: {why}", at + 1));
        let mut from = serde_json::Deserializer::from_str(line);
        let played: Played = serde_path_to_error::deserialize(&mut from)
            .map_err(|e| fail(format!("{}: {}", e.path(), e.inner())))?;
        let senders = played.point.iter().find(|(field, _)| field == SENDERS);
        let senders = senders.and_then(|(_, count)| count.parse().ok());
        let senders = senders.ok_or_else(|| fail(format!("point: no count for {SENDERS}")))?;
        let tries =
            tries(world, &played.windows).ok_or_else(|| fail("windows: none in the second half".into()))?;
        by_senders.entry(senders).or_default().push(tries);
    }
    let mean = |days: &[f64]| days.iter().sum::<f64>() / days.len() as f64;
    Ok(by_senders.iter().map(|(senders, days)| (f64::from(*senders), mean(days))).collect())
}

/// Counted over the second half of the day, when each sender holds webhooks for each destination, without the last span:
/// what comes after the day counts as its own.
fn tries(world: &World, windows: &[Window]) -> Option<f64> {
    let (last, spans) = windows.split_last()?;
    let counted = spans.iter().filter(|span| span.at_s >= world.day.length_s / 2.0 && span.at_s < last.at_s);
    let attempts: Vec<u64> = counted.map(|span| span.attempts).collect();
    let seconds = attempts.len() as f64 * world.day.window_s;
    let each = |sum: u64| sum as f64 / seconds / f64::from(world.destinations.count);
    (!attempts.is_empty()).then(|| each(attempts.iter().sum()))
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|e| refused(path, e.to_string()))
}

fn json<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, Error> {
    let mut from = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut from)
        .map_err(|e| refused(path, format!("{}: {}", e.path(), e.inner())))
}

fn refused(path: &Path, why: String) -> Error {
    Error::Input(format!("{}: {why}", path.display()))
}
