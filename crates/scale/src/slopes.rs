//! The file of slopes: what each quantity costs per unit, with the points that the line was fitted to.

use crate::error::Error;
use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// How the figures of a slope came about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MeasurementKind {
    /// Processes of the built program on sockets.
    Real,
    /// The program's parts in a process of the run's own, on sockets, or its decision module in the emulator.
    Emulated,
    /// The bench's simulator, in simulated time.
    Simulated,
}

/// A quantity as `slope` times a count plus `base`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Its name in the file, as `held.resident_bytes`.
    pub id: String,
    /// Who bears it, as `sender`.
    pub role: String,
    /// What is measured, in words, as `resident memory`.
    pub quantity: String,
    /// What is counted, as `webhook held`.
    pub per: String,
    /// The unit of the quantity, as `B` or `s`.
    pub unit: String,
    pub slope: f64,
    pub base: f64,
    /// Counts and what was measured at each, by rising count.
    pub points: Vec<(f64, f64)>,
    /// The lowest and highest count.
    pub range: (f64, f64),
    /// The largest distance of a point from the line, as a share of the point.
    pub residual: f64,
    pub kind: MeasurementKind,
    /// The command that measured it.
    pub verb: String,
    /// The commit that was measured, abbreviated.
    pub commit: String,
}

/// The whole file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlopeFile {
    pub slopes: Vec<Slope>,
}

/// A line through points.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FittedLine {
    pub slope: f64,
    pub base: f64,
    /// The largest distance of a point from the line, as a share of the point.
    pub residual: f64,
}

impl FittedLine {
    /// The least-squares line; nothing where the points lie at fewer than two counts. A line that falls is not carried
    /// further: the quantity does not grow with the count, and its highest point stands.
    pub fn fit(points: &[(f64, f64)]) -> Option<FittedLine> {
        let (counts, values): (Vec<f64>, Vec<f64>) = points.iter().copied().unzip();
        let first = *counts.first()?;
        if counts.iter().all(|count| *count == first) {
            return None;
        }
        let data = RegressionDataBuilder::new().build_from([("value", values), ("count", counts)]).ok()?;
        let fit = FormulaRegressionBuilder::new()
            .data(&data)
            .formula("value ~ count")
            .fit_without_statistics()
            .ok()?;
        let [base, slope] = *fit.as_slice() else { return None };
        let highest = points.iter().map(|point| point.1).fold(f64::NEG_INFINITY, f64::max);
        let (slope, base) = if slope < 0.0 { (0.0, highest) } else { (slope, base) };
        let distance = |(count, value): &(f64, f64)| {
            let off = (slope * count + base - value).abs();
            if *value == 0.0 { off } else { off / value.abs() }
        };
        let residual = points.iter().map(distance).fold(0.0, f64::max);
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
    /// Reads the file; a file that is not there holds no slopes.
    pub fn read(path: &Path) -> Result<SlopeFile, Error> {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Ok(SlopeFile::default()),
            Err(e) => return Err(Error::Input(format!("{}: {e}", path.display()))),
        };
        Self::decode(&text).map_err(|why| Error::Input(format!("{}: {why}", path.display())))
    }

    /// The slopes that a text holds; an error names field and line.
    pub fn decode(text: &str) -> Result<SlopeFile, String> {
        let mut from = serde_json::Deserializer::from_str(text);
        serde_path_to_error::deserialize(&mut from).map_err(|e| format!("{}: {}", e.path(), e.inner()))
    }

    /// The slope of that name.
    pub fn get(&self, id: &str) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.id == id)
    }

    /// Takes a slope in, in place of one with the same name; points and names stay sorted.
    pub fn insert(&mut self, mut slope: Slope) {
        slope.points.sort_by(|a, b| a.0.total_cmp(&b.0));
        self.slopes.retain(|old| old.id != slope.id);
        self.slopes.push(slope);
        self.slopes.sort_by(|a, b| a.id.cmp(&b.id));
    }

    /// Writes the file whole or not at all.
    pub fn write(&self, path: &Path) -> Result<(), Error> {
        let fresh = path.with_extension("json.new");
        let text = serde_json::to_string_pretty(self).map_err(|e| Error::Failed(e.to_string()))?;
        std::fs::write(&fresh, text + "\n")
            .and_then(|()| std::fs::rename(&fresh, path))
            .map_err(|e| Error::Failed(format!("{}: {e}", path.display())))
    }
}
