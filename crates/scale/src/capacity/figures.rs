//! Works the figures out: slope times count plus base, or a formula over constants, slopes and figures above it.

use super::size::{Constant, Figure, Size};
use crate::error::Error;
use crate::slopes::{MeasurementKind, SlopeFile};
use exmex::{Express, FlatEx};
use std::collections::{BTreeMap, BTreeSet};
use toml::Spanned;

/// A value and the kinds of measurement that it rests on.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    pub value: f64,
    pub rests_on: BTreeSet<&'static str>,
}

/// A figure with its worked-out value and limit.
#[derive(Debug)]
pub struct Row<'a> {
    pub figure: &'a Figure,
    /// None where a slope that it needs is not measured.
    pub value: Option<Value>,
    /// The count that its slope is multiplied by.
    pub count: Option<f64>,
    pub limit: Option<f64>,
}

impl Row<'_> {
    /// How often the figure goes into its limit; below one the limit is broken. None without a limit, and for a figure of 0.
    pub fn room(&self) -> Option<f64> {
        let (value, limit) = (self.value.as_ref()?.value, self.limit?);
        let room = if self.figure.at_least { value / limit } else { limit / value };
        room.is_finite().then_some(room)
    }
}

/// All figures, in the order of the file.
pub struct Figures<'a> {
    pub rows: Vec<Row<'a>>,
}

/// What an expression can name.
struct Names<'a> {
    slopes: &'a SlopeFile,
    /// Constants and the figures so far; none where one is not measured.
    known: BTreeMap<&'a str, Option<Value>>,
}

impl<'a> Figures<'a> {
    pub fn work_out(size: &'a Size, slopes: &SlopeFile) -> Result<Figures<'a>, Error> {
        let given = |constant: &'a Constant| {
            let rests_on = constant.kind.map(name_of).into_iter().collect();
            (constant.id.get_ref().as_str(), Some(Value { value: constant.value, rests_on }))
        };
        let known = size.constant.iter().map(given);
        let mut names = Names { slopes, known: known.collect() };
        let mut rows = Vec::new();
        for figure in &size.figure {
            let row = names.row(size, figure)?;
            names.known.insert(figure.id.get_ref(), row.value.clone());
            rows.push(row);
        }
        Ok(Figures { rows })
    }
}

impl Names<'_> {
    fn row<'a>(&self, size: &Size, figure: &'a Figure) -> Result<Row<'a>, Error> {
        let value = |field: &str, text: &Option<Spanned<String>>| match text {
            None => Ok(None),
            Some(text) => self.value(text.get_ref()).map_err(|why| size.refused(text, field, why)),
        };
        let count = value("count", &figure.count)?;
        let limit = value("limit", &figure.limit)?.map(|limit| limit.value);
        let worked_out = value("formula", &figure.formula)?;
        let slope = figure.slope.as_deref().and_then(|id| self.slopes.get(id));
        if let Some(slope) = slope.filter(|slope| slope.unit != figure.unit) {
            let why = format!("{:?}, and the slope {} is in {:?}", figure.unit, slope.id, slope.unit);
            return Err(size.refused(&figure.id, "unit", why));
        }
        let measured = slope.zip(count.as_ref()).map(|(slope, count)| {
            let mut rests_on = count.rests_on.clone();
            rests_on.insert(name_of(slope.kind));
            Value { value: slope.value_at(count.value), rests_on }
        });
        let count = count.map(|count| count.value);
        Ok(Row { figure, value: worked_out.or(measured), count, limit })
    }

    /// The value of an expression; none where it names something that is not measured.
    fn value(&self, text: &str) -> Result<Option<Value>, String> {
        let expression = FlatEx::<f64>::parse(text).map_err(|e| e.to_string())?;
        let mut values = Vec::new();
        let mut rests_on = BTreeSet::new();
        for name in expression.var_names() {
            let Some(found) = self.find(name)? else { return Ok(None) };
            values.push(found.value);
            rests_on.extend(found.rests_on);
        }
        let value = expression.eval(&values).map_err(|e| e.to_string())?;
        if value.is_finite() {
            Ok(Some(Value { value, rests_on }))
        } else {
            Err("has no finite value".into())
        }
    }

    /// A constant or figure by its id; a slope by its id, with a dot in it.
    fn find(&self, name: &str) -> Result<Option<Value>, String> {
        let name = name.trim_start_matches('{').trim_end_matches('}');
        if name.contains('.') {
            let slope = self.slopes.get(name);
            return Ok(slope
                .map(|slope| Value { value: slope.slope, rests_on: BTreeSet::from([name_of(slope.kind)]) }));
        }
        let unknown = || format!("{name:?} is no constant and no figure above");
        self.known.get(name).cloned().ok_or_else(unknown)
    }
}

/// The kind of a slope, as the page tells it.
pub fn name_of(kind: MeasurementKind) -> &'static str {
    match kind {
        MeasurementKind::Real => "real",
        MeasurementKind::Emulated => "emulated",
        MeasurementKind::Simulated => "simulated",
    }
}
