//! An experiment file: a world, what plays it, and what is varied. Read as TOML; a fault names file, line and field.

use scalebarrow_emulator::baselines::{POLICY_NAMES, factory_by_name};
use scalebarrow_emulator::{Rule, World};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use toml::Value;
use toml::de::{DeTable, DeValue};

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    #[serde(default)]
    pub about: String,
    #[serde(default = "module")]
    pub policy: String,
    #[serde(default = "baseline")]
    pub baseline: String,
    /// How many seeds a run or a comparison plays where the command line names none.
    #[serde(default = "one")]
    pub seeds: u64,
    /// The first of them.
    #[serde(default = "one")]
    pub seed: u64,
    pub world: World,
    #[serde(default, rename = "sweep", skip_serializing_if = "Vec::is_empty")]
    pub sweeps: Vec<Sweep>,
    /// Set in a file that `hunt` wrote: what `replay` is to find again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub found: Option<Found>,
}

/// One field, as a path with dots, and the values that it takes in turn.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sweep {
    pub field: String,
    pub values: Vec<Value>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Found {
    pub seed: u64,
    /// The hash of the event log, in hex.
    pub hash: String,
    pub rule: Option<Rule>,
    /// Value lost against the baseline.
    #[serde(default)]
    pub loss: f64,
}

fn module() -> String {
    "module".into()
}

fn baseline() -> String {
    "two-choices".into()
}

fn one() -> u64 {
    1
}

/// What keeps a file from being read or played.
#[derive(Debug)]
pub struct Refused {
    pub file: PathBuf,
    pub line: Option<usize>,
    pub why: String,
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}: {}", self.file.display(), self.why),
            None => write!(f, "{}: {}", self.file.display(), self.why),
        }
    }
}

impl Experiment {
    pub fn read(file: &Path) -> Result<(Experiment, Value), Refused> {
        let refused = |line, why| Refused { file: file.into(), line, why };
        let text = std::fs::read_to_string(file).map_err(|e| refused(None, e.to_string()))?;
        let line_of = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let fail = |e: toml::de::Error| refused(e.span().map(|s| line_of(s.start)), e.message().to_string());
        let value: Value = toml::from_str(&text).map_err(fail)?;
        let experiment: Experiment = toml::from_str(&text).map_err(fail)?;
        experiment.check().map_err(|(field, why)| {
            let line = locate(&text, &field).map(line_of);
            refused(line, format!("{field}: {why}"))
        })?;
        Ok((experiment, value))
    }

    fn check(&self) -> Result<(), (String, String)> {
        for (field, policy) in [("policy", &self.policy), ("baseline", &self.baseline)] {
            if factory_by_name(policy).is_none() {
                return Err((field.into(), format!("{policy:?} is none of {}", POLICY_NAMES.join(", "))));
            }
        }
        if self.seeds == 0 {
            return Err(("seeds".into(), "must be at least 1".into()));
        }
        self.world.check().map_err(|f| (format!("world.{}", f.field), f.why))?;
        match self.sweeps.iter().position(|s| s.values.is_empty()) {
            Some(i) => Err((format!("sweep.{i}.values"), "names no value".into())),
            None => Ok(()),
        }
    }

    /// The experiment as it was written, with some fields set anew.
    pub fn with(value: &Value, settings: &[(String, Value)]) -> Result<Experiment, String> {
        let mut value = value.clone();
        for (field, to) in settings {
            set(&mut value, field, to.clone())?;
        }
        let shown: Vec<String> = settings.iter().map(|(f, v)| format!("{f} = {v}")).collect();
        let fault = |why: String| format!("with {}: {why}", shown.join(", "));
        let experiment: Experiment =
            value.try_into().map_err(|e: toml::de::Error| fault(e.message().into()))?;
        experiment.check().map_err(|(field, why)| fault(format!("{field}: {why}")))?;
        Ok(experiment)
    }

    /// All settings that the sweeps name, in turn: the first varies slowest.
    pub fn points(&self) -> Vec<Vec<(String, Value)>> {
        let mut points = vec![Vec::new()];
        for sweep in &self.sweeps {
            let mut next = Vec::new();
            for point in &points {
                for v in &sweep.values {
                    let mut p: Vec<(String, Value)> = point.clone();
                    p.push((sweep.field.clone(), v.clone()));
                    next.push(p);
                }
            }
            points = next;
        }
        points
    }
}

/// Sets a field by its path; parts that are numbers go into lists. Tables that were left out are made, so that a
/// default can be varied too; whether such a field exists is seen when the whole is read.
fn set(value: &mut Value, field: &str, to: Value) -> Result<(), String> {
    let mut at = value;
    for part in field.split('.') {
        at = match at {
            Value::Table(t) => t.entry(part).or_insert_with(|| Value::Table(Default::default())),
            Value::Array(a) => {
                let many = a.len();
                let i = part.parse::<usize>().ok().filter(|i| *i < many);
                let i = i.ok_or_else(|| format!("{field}: {part:?} is no place in a list of {many}"))?;
                &mut a[i]
            }
            _ => return Err(format!("{field}: there is nothing below {part:?}")),
        };
    }
    // A whole number for one with a fraction, as people write it.
    *at = match (&*at, to) {
        (Value::Float(_), Value::Integer(n)) => Value::Float(n as f64),
        (_, to) => to,
    };
    Ok(())
}

/// Where a field stands in a file: as much of its path as is written there.
fn locate(text: &str, field: &str) -> Option<usize> {
    let table = DeTable::parse(text).ok()?;
    let mut found = None;
    let mut parts = field.split('.');
    let mut at: &DeValue = &DeValue::Table(table.get_ref().clone());
    loop {
        let part = match parts.next() {
            Some(part) => part,
            None => return found,
        };
        at = match at {
            DeValue::Table(t) => match t.iter().find(|(k, _)| k.get_ref() == part) {
                Some((k, v)) => {
                    found = Some(k.span().start);
                    v.get_ref()
                }
                None => return found,
            },
            DeValue::Array(a) => match part.parse::<usize>().ok().and_then(|i| a.get(i)) {
                Some(v) => {
                    found = Some(v.span().start);
                    v.get_ref()
                }
                None => return found,
            },
            _ => return found,
        };
    }
}

#[cfg(test)]
mod tests;
