//! The experiment file (TOML): the world to simulate, the policy to run in it and the fields that a sweep
//! varies. Errors name the file, line and field.

use scalebarrow_emulator::baselines::{POLICY_NAMES, factory_by_name};
use scalebarrow_emulator::{Rule, World};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use toml::Value;
use toml::de::{DeTable, DeValue};

/// An experiment as read from its file. A "day" is one simulation of its world with one seed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    /// A description for people.
    #[serde(default)]
    pub about: String,
    /// The name of the policy that the senders follow.
    #[serde(default = "default_policy")]
    pub policy: String,
    /// The name of the policy that `compare`, `sweep --baseline` and `hunt --loss` compare with.
    #[serde(default = "default_baseline")]
    pub baseline: String,
    /// How many seeds to simulate if the command line gives no number.
    #[serde(default = "default_one")]
    pub seeds: u64,
    /// The first seed; the others follow it one by one.
    #[serde(default = "default_one")]
    pub seed: u64,
    pub world: World,
    /// The fields to vary.
    #[serde(default, rename = "sweep", skip_serializing_if = "Vec::is_empty")]
    pub sweeps: Vec<Sweep>,
    /// Only in files written by `hunt`: the result that `replay` expects to reproduce.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found: Option<Found>,
}

/// One field to vary and its values.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    /// The path of the field, separated by dots, as `world.senders.count`.
    pub field: String,
    pub values: Vec<Value>,
}

/// The result of a day that a hunt found.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Found {
    pub seed: u64,
    /// The hash of the event log, in hex.
    pub hash: String,
    /// The first rule that was broken.
    pub rule: Option<Rule>,
    /// The baseline's value minus the policy's value.
    #[serde(default)]
    pub loss: f64,
}

fn default_policy() -> String {
    "module".into()
}

fn default_baseline() -> String {
    "two-choices".into()
}

/// The default of both the first seed and the number of seeds.
fn default_one() -> u64 {
    1
}

/// Why an experiment file cannot be used.
#[derive(Debug)]
pub struct ExperimentError {
    pub file: PathBuf,
    /// Counted from 1; `None` if the error has no place in the file.
    pub line: Option<usize>,
    pub reason: String,
}

impl std::fmt::Display for ExperimentError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}: {}", self.file.display(), self.reason),
            None => write!(f, "{}: {}", self.file.display(), self.reason),
        }
    }
}

impl Experiment {
    /// An experiment of one day, that of the seed.
    pub fn of_world(name: &str, world: World, seed: u64) -> Experiment {
        Experiment {
            name: name.into(),
            about: String::new(),
            policy: default_policy(),
            baseline: default_baseline(),
            seeds: 1,
            seed,
            world,
            sweeps: Vec::new(),
            found: None,
        }
    }

    /// Reads and checks a file. Also returns it as a TOML value, in which [`Experiment::with`] can set
    /// fields.
    pub fn read(file: &Path) -> Result<(Experiment, Value), ExperimentError> {
        let error = |line, reason| ExperimentError { file: file.into(), line, reason };
        let text = std::fs::read_to_string(file).map_err(|e| error(None, e.to_string()))?;
        let line_of = |offset: usize| text[..offset.min(text.len())].matches('\n').count() + 1;
        let toml_error =
            |e: toml::de::Error| error(e.span().map(|s| line_of(s.start)), e.message().to_string());
        let value: Value = toml::from_str(&text).map_err(toml_error)?;
        let experiment: Experiment = toml::from_str(&text).map_err(toml_error)?;
        experiment.check().map_err(|(field, reason)| {
            let line = field_offset(&text, &field).map(line_of);
            error(line, format!("{field}: {reason}"))
        })?;
        Ok((experiment, value))
    }

    /// Checks the values; an error holds the path of the field and the reason.
    fn check(&self) -> Result<(), (String, String)> {
        for (field, policy) in [("policy", &self.policy), ("baseline", &self.baseline)] {
            if factory_by_name(policy).is_none() {
                return Err((field.into(), format!("{policy:?} is none of {}", POLICY_NAMES.join(", "))));
            }
        }
        if self.seeds == 0 {
            return Err(("seeds".into(), "must be at least 1".into()));
        }
        self.world.check().map_err(|e| (format!("world.{}", e.field), e.why))?;
        match self.sweeps.iter().position(|sweep| sweep.values.is_empty()) {
            Some(index) => Err((format!("sweep.{index}.values"), "has no value".into())),
            None => Ok(()),
        }
    }

    /// The experiment of a file with some fields set to other values.
    pub fn with(value: &Value, settings: &[(String, Value)]) -> Result<Experiment, String> {
        let mut value = value.clone();
        for (field, new_value) in settings {
            set_field(&mut value, field, new_value.clone())?;
        }
        let settings_text: Vec<String> =
            settings.iter().map(|(field, value)| format!("{field} = {value}")).collect();
        let error = |reason: String| format!("with {}: {reason}", settings_text.join(", "));
        let experiment: Experiment =
            value.try_into().map_err(|e: toml::de::Error| error(e.message().into()))?;
        experiment.check().map_err(|(field, reason)| error(format!("{field}: {reason}")))?;
        Ok(experiment)
    }

    /// All combinations of the sweeps' values; the first sweep varies slowest. Without sweeps there is one,
    /// empty.
    pub fn points(&self) -> Vec<Vec<(String, Value)>> {
        let mut points = vec![Vec::new()];
        for sweep in &self.sweeps {
            let mut next = Vec::new();
            for point in &points {
                for value in &sweep.values {
                    let mut extended: Vec<(String, Value)> = point.clone();
                    extended.push((sweep.field.clone(), value.clone()));
                    next.push(extended);
                }
            }
            points = next;
        }
        points
    }
}

/// Sets the field at a path; a part that is a number is an index into an array. Missing tables are created,
/// so that a field that the file leaves at its default can be varied too; a field that does not exist is
/// reported when the experiment is read from the value.
fn set_field(value: &mut Value, field: &str, new_value: Value) -> Result<(), String> {
    let mut target = value;
    for part in field.split('.') {
        target = match target {
            Value::Table(table) => table.entry(part).or_insert_with(|| Value::Table(Default::default())),
            Value::Array(array) => {
                let len = array.len();
                let index = part.parse::<usize>().ok().filter(|index| *index < len);
                let index =
                    index.ok_or_else(|| format!("{field}: {part:?} is not an index into a list of {len}"))?;
                &mut array[index]
            }
            _ => return Err(format!("{field}: {part:?} is not inside a table or list")),
        };
    }
    // People write 3 for 3.0 in a field that holds a fraction.
    *target = match (&*target, new_value) {
        (Value::Float(_), Value::Integer(integer)) => Value::Float(integer as f64),
        (_, new_value) => new_value,
    };
    Ok(())
}

/// The byte offset of a field in the text, or of the longest part of its path that the text contains.
fn field_offset(text: &str, field: &str) -> Option<usize> {
    let table = DeTable::parse(text).ok()?;
    let mut found = None;
    let mut parts = field.split('.');
    let mut current: &DeValue = &DeValue::Table(table.get_ref().clone());
    loop {
        let part = match parts.next() {
            Some(part) => part,
            None => return found,
        };
        current = match current {
            DeValue::Table(table) => match table.iter().find(|(key, _)| key.get_ref() == part) {
                Some((key, value)) => {
                    found = Some(key.span().start);
                    value.get_ref()
                }
                None => return found,
            },
            DeValue::Array(array) => match part.parse::<usize>().ok().and_then(|index| array.get(index)) {
                Some(value) => {
                    found = Some(value.span().start);
                    value.get_ref()
                }
                None => return found,
            },
            _ => return found,
        };
    }
}

#[cfg(test)]
mod tests;
