//! The slopes file: measured quantities as linear functions of a count (such as memory over webhooks queued),
//! with the points that each line was fitted to.

use crate::error::Error;
use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// How a slope was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MeasurementKind {
    /// On processes of the built program, over sockets.
    Real,
    /// On parts of the program that run in the measuring process, over sockets, or on its decision module in
    /// the emulator.
    Emulated,
    /// In the simulator of the benchmarks, in simulated time.
    Simulated,
}

/// A quantity as a linear function: `slope` times a count plus `base`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Its unique name, as `held.resident_bytes`.
    pub id: String,
    /// The role of the process that the quantity is a cost of, as `sender`.
    pub role: String,
    /// What was measured, for people, as `resident memory`.
    pub quantity: String,
    /// What is counted, in the singular, as `webhook held`.
    pub per: String,
    /// The unit of the quantity, as `B` or `s`.
    pub unit: String,
    /// In `unit` for each unit of the count.
    pub slope: f64,
    /// The quantity at a count of 0, in `unit`.
    pub base: f64,
    /// Pairs of count and measured quantity, by rising count.
    pub points: Vec<(f64, f64)>,
    /// The lowest and the highest count measured.
    pub range: (f64, f64),
    /// The largest distance of a point from the line, as a share of the point's value.
    pub residual: f64,
    pub kind: MeasurementKind,
    /// The command that measured it.
    pub verb: String,
    /// The commit that was measured, abbreviated.
    pub commit: String,
}

/// The content of the slopes file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlopeFile {
    pub slopes: Vec<Slope>,
}

/// A line fitted to points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FittedLine {
    pub slope: f64,
    pub base: f64,
    /// The largest distance of a point from the line, as a share of the point's value.
    pub residual: f64,
}

impl FittedLine {
    /// The least-squares line, or `None` if the points have fewer than two different counts. A falling line
    /// is replaced by a constant at the highest point: the quantity does not grow with the count, so the fall
    /// is not extrapolated.
    pub fn fit(points: &[(f64, f64)]) -> Option<FittedLine> {
        let (counts, values): (Vec<f64>, Vec<f64>) = points.iter().copied().unzip();
        let first_count = *counts.first()?;
        if counts.iter().all(|count| *count == first_count) {
            return None;
        }
        let data = RegressionDataBuilder::new().build_from([("value", values), ("count", counts)]).ok()?;
        let parameters = FormulaRegressionBuilder::new()
            .data(&data)
            .formula("value ~ count")
            .fit_without_statistics()
            .ok()?;
        let [base, slope] = *parameters.as_slice() else { return None };
        let highest = points.iter().map(|point| point.1).fold(f64::NEG_INFINITY, f64::max);
        let (slope, base) = if slope < 0.0 { (0.0, highest) } else { (slope, base) };
        let relative_distance = |(count, value): &(f64, f64)| {
            let distance = (slope * count + base - value).abs();
            if *value == 0.0 { distance } else { distance / value.abs() }
        };
        let residual = points.iter().map(relative_distance).fold(0.0, f64::max);
        Some(FittedLine { slope, base, residual })
    }
}

impl Slope {
    /// The quantity at a count.
    pub fn value_at(&self, count: f64) -> f64 {
        self.slope * count + self.base
    }
}

impl SlopeFile {
    /// Reads the file; a missing file counts as empty.
    pub fn read(path: &Path) -> Result<SlopeFile, Error> {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(SlopeFile::default()),
            Err(e) => return Err(Error::Input(format!("{}: {e}", path.display()))),
        };
        Self::decode(&text).map_err(|reason| Error::Input(format!("{}: {reason}", path.display())))
    }

    /// Parses the text of a slopes file; an error names the field and the line.
    pub fn decode(text: &str) -> Result<SlopeFile, String> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|e| format!("{}: {}", e.path(), e.inner()))
    }

    /// The slope with this id.
    pub fn get(&self, id: &str) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.id == id)
    }

    /// Inserts a slope, replacing one with the same id. Slopes stay sorted by id, and their points by count.
    pub fn insert(&mut self, mut slope: Slope) {
        slope.points.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.slopes.retain(|existing| existing.id != slope.id);
        self.slopes.push(slope);
        self.slopes.sort_by(|a, b| a.id.cmp(&b.id));
    }

    /// Replaces the file atomically.
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let temporary = path.with_extension("json.new");
        let text = serde_json::to_string_pretty(self).map_err(|e| Error::Failed(e.to_string()))?;
        std::fs::write(&temporary, text + "\n")
            .and_then(|()| std::fs::rename(&temporary, path))
            .map_err(|e| Error::Failed(format!("{}: {e}", path.display())))
    }
}
