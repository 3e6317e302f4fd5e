//! The size file (TOML): constants, the figures that are computed from them and from slopes, and mechanisms
//! that are missing.

use crate::error::Error;
use crate::slopes::MeasurementKind;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::Path;
use toml::Spanned;

/// The content of the size file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Given numbers: the size, the limits, constants of the program.
    #[serde(rename = "constant")]
    pub constants: Vec<Constant>,
    /// Computed figures; each can use those before it.
    #[serde(rename = "figure")]
    pub figures: Vec<Figure>,
    /// Mechanisms that do not exist yet, in the order in which to build them.
    #[serde(default, rename = "missing")]
    pub missing_mechanisms: Vec<MissingMechanism>,
    /// The file itself, to find the lines of fields for errors.
    #[serde(skip)]
    source: Source,
}

/// The file's path and text.
#[derive(Debug, Default)]
struct Source {
    file: String,
    text: String,
}

/// A number that is given.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Constant {
    /// The name by which expressions use it.
    pub id: Spanned<String>,
    pub value: f64,
    #[serde(default)]
    pub unit: String,
    /// What it is, for people.
    #[serde(rename = "is")]
    pub description: String,
    /// Where it comes from: the operators, an assumption, a measurement, or a source file.
    pub from: Spanned<String>,
    /// If `from` is a file: text that it must contain, so that a change of the constant there is noticed.
    pub line: Option<Spanned<String>>,
    /// How it was measured, if it was.
    pub kind: Option<MeasurementKind>,
}

/// A figure that is computed from a slope and a count, or from a formula. Count, formula and limit are
/// expressions over constants, slopes and earlier figures.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figure {
    /// The name by which expressions use it.
    pub id: Spanned<String>,
    /// The table that lists it, named after a role or a failure.
    pub table: String,
    /// What it is, for people.
    pub quantity: String,
    #[serde(default)]
    pub unit: String,
    /// The id of a slope in the slopes file.
    pub slope: Option<String>,
    /// What the slope is multiplied with.
    pub count: Option<Spanned<String>>,
    pub formula: Option<Spanned<String>>,
    /// The most that it may be, or the least if `at_least` is set.
    pub limit: Option<Spanned<String>>,
    /// Whether the limit is a minimum instead of a maximum.
    #[serde(default)]
    pub at_least: bool,
    /// Files or folders of the modules that implement it.
    #[serde(default)]
    pub mechanism: Vec<Spanned<String>>,
    /// The id of the missing mechanism that it needs.
    pub missing: Option<Spanned<String>>,
    /// Whether the summary lists it, too.
    #[serde(default, rename = "top")]
    pub in_summary: bool,
}

/// A mechanism that does not exist yet.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MissingMechanism {
    /// The name by which figures refer to it.
    pub id: Spanned<String>,
    /// What it would do, in a sentence.
    #[serde(rename = "what")]
    pub description: String,
    /// Why it has this place in the order.
    pub reason: String,
}

impl Size {
    /// Reads and checks the file; its paths are relative to `root`.
    pub fn read(path: &Path, root: &Path) -> Result<Size, Error> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| Error::Input(format!("{file}: {e}")))?;
        let mut size =
            Self::decode(&text).map_err(|(line, reason)| Error::Input(format!("{file}:{line}: {reason}")))?;
        size.source = Source { file, text };
        size.check(root)?;
        Ok(size)
    }

    /// Parses the file; an error holds the line and the reason.
    fn decode(text: &str) -> Result<Size, (usize, String)> {
        let error = |offset: Option<usize>, reason: String| (line_of(text, offset.unwrap_or(0)), reason);
        let deserializer = toml::Deserializer::parse(text)
            .map_err(|e| error(e.span().map(|span| span.start), e.message().to_owned()))?;
        serde_path_to_error::deserialize(deserializer).map_err(|e| {
            let offset = e.inner().span().map(|span| span.start);
            error(offset, format!("{}: {}", e.path(), e.inner().message()))
        })
    }

    /// Checks that ids are unique, and that everything the file refers to exists.
    fn check(&self, root: &Path) -> Result<(), Error> {
        let mut ids = BTreeSet::new();
        let constant_ids = self.constants.iter().map(|constant| &constant.id);
        for id in constant_ids.chain(self.figures.iter().map(|figure| &figure.id)) {
            if !ids.insert(id.get_ref()) {
                return Err(self.field_error(id, "id", format!("{:?} is defined twice", id.get_ref())));
            }
        }
        self.constants.iter().try_for_each(|constant| self.check_constant(constant, root))?;
        self.figures.iter().try_for_each(|figure| self.check_figure(figure, root))?;
        self.missing_mechanisms.iter().try_for_each(|missing| self.check_missing(missing))
    }

    fn check_constant(&self, constant: &Constant, root: &Path) -> Result<(), Error> {
        let Some(line) = &constant.line else { return Ok(()) };
        let source_text = std::fs::read_to_string(root.join(constant.from.get_ref()))
            .map_err(|e| self.field_error(&constant.from, "from", e.to_string()))?;
        if source_text.contains(line.get_ref().as_str()) {
            return Ok(());
        }
        let reason = format!("{} does not contain {:?}", constant.from.get_ref(), line.get_ref());
        Err(self.field_error(line, "line", reason))
    }

    fn check_figure(&self, figure: &Figure, root: &Path) -> Result<(), Error> {
        match (&figure.slope, &figure.count, &figure.formula) {
            (Some(_), Some(_), None) | (None, None, Some(_)) => {}
            _ => {
                let reason = "needs either slope and count, or a formula".to_owned();
                return Err(self.field_error(&figure.id, "figure", reason));
            }
        }
        if let Some(path) = figure.mechanism.iter().find(|path| !root.join(path.get_ref()).exists()) {
            let reason = format!("{} does not exist", path.get_ref());
            return Err(self.field_error(path, "mechanism", reason));
        }
        let Some(missing) = &figure.missing else { return Ok(()) };
        if self.missing_mechanisms.iter().any(|mechanism| mechanism.id.get_ref() == missing.get_ref()) {
            return Ok(());
        }
        let reason = format!("{:?} is none of [[missing]]", missing.get_ref());
        Err(self.field_error(missing, "missing", reason))
    }

    fn check_missing(&self, missing: &MissingMechanism) -> Result<(), Error> {
        if self.figures_needing(missing.id.get_ref()).next().is_some() {
            return Ok(());
        }
        Err(self.field_error(&missing.id, "missing", "no figure refers to it".to_owned()))
    }

    /// The figures that need this missing mechanism.
    pub fn figures_needing<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a Figure> {
        let refers_to_it =
            move |figure: &&Figure| figure.missing.as_ref().is_some_and(|missing| missing.get_ref() == id);
        self.figures.iter().filter(refers_to_it)
    }

    /// An error about a field, with its line in the file.
    pub fn field_error(&self, value: &Spanned<String>, field: &str, reason: String) -> Error {
        let line = line_of(&self.source.text, value.span().start);
        Error::Input(format!("{}:{line}: {field}: {reason}", self.source.file))
    }
}

/// The line of a byte offset, counted from 1.
fn line_of(text: &str, offset: usize) -> usize {
    text.bytes().take(offset).filter(|byte| *byte == b'\n').count() + 1
}
