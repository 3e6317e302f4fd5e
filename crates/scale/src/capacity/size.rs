//! The size file: constants, the figures that are worked out from them and from slopes, and what is missing.

use crate::error::Error;
use crate::slopes::MeasurementKind;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::Path;
use toml::Spanned;

/// The whole file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Figures that are given: the size, the limits, constants of the program.
    pub constant: Vec<Constant>,
    /// Figures that are worked out, in the order in which they build on each other.
    pub figure: Vec<Figure>,
    /// Mechanisms that are missing, first the one to build first.
    #[serde(default)]
    pub missing: Vec<Missing>,
    /// Where each expression and name stands, for errors.
    #[serde(skip)]
    place: Place,
}

#[derive(Debug, Default)]
struct Place {
    file: String,
    text: String,
}

/// A figure that is given.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Constant {
    pub id: Spanned<String>,
    pub value: f64,
    #[serde(default)]
    pub unit: String,
    /// What it is, in words.
    pub is: String,
    /// Who gives it: the operators, an assumption, or a file of the program.
    pub from: Spanned<String>,
    /// Where `from` is a file: text that stands in it, so that a constant that changes there is noticed here.
    pub line: Option<Spanned<String>>,
    /// Where it was measured: how.
    pub kind: Option<MeasurementKind>,
}

/// A figure that is worked out: from a slope and a count, or from a formula.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figure {
    pub id: Spanned<String>,
    /// The table in which it stands: a role or a failure.
    pub table: String,
    pub quantity: String,
    #[serde(default)]
    pub unit: String,
    /// The name of a slope in the file of slopes.
    pub slope: Option<String>,
    /// What the slope is multiplied by.
    pub count: Option<Spanned<String>>,
    pub formula: Option<Spanned<String>>,
    /// What it may be.
    pub limit: Option<Spanned<String>>,
    /// The limit is the least that it may be, and not the most.
    #[serde(default)]
    pub at_least: bool,
    /// Files or folders of the modules that carry it.
    #[serde(default)]
    pub mechanism: Vec<Spanned<String>>,
    /// The mechanism that does not exist.
    pub missing: Option<Spanned<String>>,
    /// It stands in the table at the top, too.
    #[serde(default)]
    pub top: bool,
}

/// A mechanism that does not exist.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Missing {
    pub id: Spanned<String>,
    /// What it does, in a sentence.
    pub what: String,
    /// Why it stands where it stands in the order.
    pub reason: String,
}

impl Size {
    /// Reads and checks the file; modules and sources are looked for under `root`.
    pub fn read(path: &Path, root: &Path) -> Result<Size, Error> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| Error::Input(format!("{file}: {e}")))?;
        let mut size =
            Self::decode(&text).map_err(|(line, why)| Error::Input(format!("{file}:{line}: {why}")))?;
        size.place = Place { file, text };
        size.check(root)?;
        Ok(size)
    }

    fn decode(text: &str) -> Result<Size, (usize, String)> {
        let refused = |at: Option<usize>, why: String| (line_of(text, at.unwrap_or(0)), why);
        let from = toml::Deserializer::parse(text)
            .map_err(|e| refused(e.span().map(|span| span.start), e.message().to_owned()))?;
        serde_path_to_error::deserialize(from).map_err(|e| {
            let at = e.inner().span().map(|span| span.start);
            refused(at, format!("{}: {}", e.path(), e.inner().message()))
        })
    }

    fn check(&self, root: &Path) -> Result<(), Error> {
        let mut ids = BTreeSet::new();
        let constants = self.constant.iter().map(|constant| &constant.id);
        for id in constants.chain(self.figure.iter().map(|figure| &figure.id)) {
            if !ids.insert(id.get_ref()) {
                return Err(self.refused(id, "id", format!("{:?} stands twice", id.get_ref())));
            }
        }
        self.constant.iter().try_for_each(|constant| self.check_constant(constant, root))?;
        self.figure.iter().try_for_each(|figure| self.check_figure(figure, root))?;
        self.missing.iter().try_for_each(|missing| self.check_missing(missing))
    }

    fn check_constant(&self, constant: &Constant, root: &Path) -> Result<(), Error> {
        let Some(line) = &constant.line else { return Ok(()) };
        let source = std::fs::read_to_string(root.join(constant.from.get_ref()))
            .map_err(|e| self.refused(&constant.from, "from", e.to_string()))?;
        if source.contains(line.get_ref().as_str()) {
            return Ok(());
        }
        let why = format!("{} does not hold {:?}", constant.from.get_ref(), line.get_ref());
        Err(self.refused(line, "line", why))
    }

    fn check_figure(&self, figure: &Figure, root: &Path) -> Result<(), Error> {
        match (&figure.slope, &figure.count, &figure.formula) {
            (Some(_), Some(_), None) | (None, None, Some(_)) => {}
            _ => {
                let why = "has either slope and count, or a formula".to_owned();
                return Err(self.refused(&figure.id, "figure", why));
            }
        }
        if let Some(path) = figure.mechanism.iter().find(|path| !root.join(path.get_ref()).exists()) {
            let why = format!("{} is not there", path.get_ref());
            return Err(self.refused(path, "mechanism", why));
        }
        let Some(missing) = &figure.missing else { return Ok(()) };
        if self.missing.iter().any(|known| known.id.get_ref() == missing.get_ref()) {
            return Ok(());
        }
        let why = format!("{:?} is none of [[missing]]", missing.get_ref());
        Err(self.refused(missing, "missing", why))
    }

    fn check_missing(&self, missing: &Missing) -> Result<(), Error> {
        if self.lacking(missing.id.get_ref()).next().is_some() {
            return Ok(());
        }
        Err(self.refused(&missing.id, "missing", "no figure names it".to_owned()))
    }

    /// The figures that want for that mechanism.
    pub fn lacking<'a>(&'a self, id: &'a str) -> impl Iterator<Item = &'a Figure> {
        let names =
            move |figure: &&Figure| figure.missing.as_ref().is_some_and(|missing| missing.get_ref() == id);
        self.figure.iter().filter(names)
    }

    /// What is wrong with a field, with its line.
    pub fn refused(&self, at: &Spanned<String>, field: &str, why: String) -> Error {
        let line = line_of(&self.place.text, at.span().start);
        Error::Input(format!("{}:{line}: {field}: {why}", self.place.file))
    }
}

fn line_of(text: &str, at: usize) -> usize {
    text.bytes().take(at).filter(|byte| *byte == b'\n').count() + 1
}
