//! Computes the figures: slope times count plus base, or a formula over constants, slopes and earlier
//! figures.

use super::size::{Constant, Figure, Size};
use crate::error::Error;
use crate::slopes::{MeasurementKind, SlopeFile};
use exmex::{Express, FlatEx};
use std::collections::{BTreeMap, BTreeSet};
use toml::Spanned;

/// A value and the kinds of measurement that it depends on.
#[derive(Debug, Clone, PartialEq)]
pub struct Value {
    pub value: f64,
    pub measured_by: BTreeSet<&'static str>,
}

/// A figure with its computed value and limit.
#[derive(Debug)]
pub struct Row<'a> {
    pub figure: &'a Figure,
    /// `None` if a slope that it depends on is not measured.
    pub value: Option<Value>,
    /// The count that its slope is multiplied with; `None` for a formula, and if the count depends on
    /// something that is not measured.
    pub count: Option<f64>,
    pub limit: Option<f64>,
}

impl Row<'_> {
    /// The limit divided by the value, or the value by the limit if that is a minimum; below 1 the limit is
    /// broken. `None` without a limit or a value, and for a value of 0 below a maximum.
    pub fn headroom(&self) -> Option<f64> {
        let (value, limit) = (self.value.as_ref()?.value, self.limit?);
        let headroom = if self.figure.at_least { value / limit } else { limit / value };
        headroom.is_finite().then_some(headroom)
    }
}

/// All figures, in the order of the size file.
pub struct Figures<'a> {
    pub rows: Vec<Row<'a>>,
}

/// The names that an expression can use.
struct Scope<'a> {
    slopes: &'a SlopeFile,
    /// Constants and the figures computed so far; `None` for a figure that is not measured.
    known: BTreeMap<&'a str, Option<Value>>,
}

impl<'a> Figures<'a> {
    /// Computes all figures; an error names the line and the field of the size file.
    pub fn compute(size: &'a Size, slopes: &SlopeFile) -> Result<Figures<'a>, Error> {
        let constant_value = |constant: &'a Constant| {
            let measured_by = constant.kind.map(kind_name).into_iter().collect();
            (constant.id.get_ref().as_str(), Some(Value { value: constant.value, measured_by }))
        };
        let known = size.constants.iter().map(constant_value);
        let mut scope = Scope { slopes, known: known.collect() };
        let mut rows = Vec::new();
        for figure in &size.figures {
            let row = scope.row(size, figure)?;
            scope.known.insert(figure.id.get_ref(), row.value.clone());
            rows.push(row);
        }
        Ok(Figures { rows })
    }
}

impl Scope<'_> {
    /// Computes a figure.
    fn row<'a>(&self, size: &Size, figure: &'a Figure) -> Result<Row<'a>, Error> {
        let value = |field: &str, text: &Option<Spanned<String>>| match text {
            None => Ok(None),
            Some(text) => self.value(text.get_ref()).map_err(|reason| size.field_error(text, field, reason)),
        };
        let count = value("count", &figure.count)?;
        let limit = value("limit", &figure.limit)?.map(|limit| limit.value);
        let from_formula = value("formula", &figure.formula)?;
        let slope = figure.slope.as_deref().and_then(|id| self.slopes.get(id));
        if let Some(slope) = slope.filter(|slope| slope.unit != figure.unit) {
            let reason = format!("{:?}, and the slope {} is in {:?}", figure.unit, slope.id, slope.unit);
            return Err(size.field_error(&figure.id, "unit", reason));
        }
        let from_slope = slope.zip(count.as_ref()).map(|(slope, count)| {
            let mut measured_by = count.measured_by.clone();
            measured_by.insert(kind_name(slope.kind));
            Value { value: slope.value_at(count.value), measured_by }
        });
        let count = count.map(|count| count.value);
        Ok(Row { figure, value: from_formula.or(from_slope), count, limit })
    }

    /// The value of an expression, or `None` if it uses something that is not measured.
    fn value(&self, text: &str) -> Result<Option<Value>, String> {
        let expression = FlatEx::<f64>::parse(text).map_err(|e| e.to_string())?;
        let mut values = Vec::new();
        let mut measured_by = BTreeSet::new();
        for name in expression.var_names() {
            let Some(found) = self.find(name)? else { return Ok(None) };
            values.push(found.value);
            measured_by.extend(found.measured_by);
        }
        let value = expression.eval(&values).map_err(|e| e.to_string())?;
        if value.is_finite() {
            Ok(Some(Value { value, measured_by }))
        } else {
            Err("has no finite value".into())
        }
    }

    /// The value of a name: the id of a slope, which contains a dot, or of a constant or an earlier figure.
    fn find(&self, name: &str) -> Result<Option<Value>, String> {
        let name = name.trim_start_matches('{').trim_end_matches('}');
        if name.contains('.') {
            let slope = self.slopes.get(name);
            return Ok(slope.map(|slope| Value {
                value: slope.slope,
                measured_by: BTreeSet::from([kind_name(slope.kind)]),
            }));
        }
        let unknown = || format!("{name:?} is no constant and no earlier figure");
        self.known.get(name).cloned().ok_or_else(unknown)
    }
}

/// The name of a kind of measurement in the page.
pub fn kind_name(kind: MeasurementKind) -> &'static str {
    match kind {
        MeasurementKind::Real => "real",
        MeasurementKind::Emulated => "emulated",
        MeasurementKind::Simulated => "simulated",
    }
}
