//! Formats the figures, constants and slopes as the Markdown tables of the page.

use super::figures::{Figures, Row, kind_name};
use super::format::{headroom_text, number, with_unit};
use super::size::{Constant, MissingMechanism, Size};
use crate::slopes::{Slope, SlopeFile};
use std::collections::{BTreeMap, BTreeSet};

const NOT_MEASURED: &str = "not measured";
/// A slope is marked as rough if its residual, the largest distance of a point from the line as a share of
/// the point, is above this.
const ROUGH_RESIDUAL: f64 = 0.5;

/// All tables by their names in the page's markers: one for each table that figures are listed in, and
/// `summary`, `missing`, `given` (the constants) and `slopes`.
pub fn all_tables(size: &Size, figures: &Figures, slopes: &SlopeFile) -> BTreeMap<String, String> {
    let names: BTreeSet<&str> = figures.rows.iter().map(|row| row.figure.table.as_str()).collect();
    let table = |name: &str| {
        let rows: Vec<&Row> = figures.rows.iter().filter(|row| row.figure.table == name).collect();
        (name.to_owned(), figure_table(&rows, slopes))
    };
    let mut tables: BTreeMap<String, String> = names.into_iter().map(table).collect();
    tables.insert("summary".into(), summary_table(figures, slopes));
    tables.insert("missing".into(), missing_table(size, figures));
    tables.insert("given".into(), constant_table(size));
    tables.insert("slopes".into(), slope_table(slopes));
    tables
}

/// A Markdown table.
fn markdown(head: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let line = |cells: &[String]| {
        let cells: Vec<String> = cells.iter().map(|cell| cell.replace('|', "\\|")).collect();
        format!("| {} |\n", cells.join(" | "))
    };
    let head: Vec<String> = head.iter().map(|cell| (*cell).to_owned()).collect();
    let mut text = line(&head);
    text.push_str(&line(&vec!["---".to_owned(); head.len()]));
    rows.into_iter().for_each(|cells| text.push_str(&line(&cells)));
    text
}

/// The figures that are marked for the summary and all that break their limit, by rising headroom. Those that
/// are not measured or have no limit come last.
fn summary_table(figures: &Figures, slopes: &SlopeFile) -> String {
    let mut rows: Vec<&Row> =
        figures.rows.iter().filter(|row| row.figure.in_summary || is_broken(row)).collect();
    rows.sort_by(|a, b| {
        let (a, b) = (a.headroom().unwrap_or(f64::INFINITY), b.headroom().unwrap_or(f64::INFINITY));
        a.total_cmp(&b)
    });
    let head = ["who", "quantity", "at size", "figure is", "limit", "room", "mechanism"];
    let cells = |row: &Row| {
        vec![
            row.figure.table.replace('_', " "),
            row.figure.quantity.clone(),
            value_cell(row),
            kind_cell(row, slopes),
            limit_cell(row),
            headroom_cell(row),
            mechanism_cell(row),
        ]
    };
    markdown(&head, rows.into_iter().map(cells))
}

/// Whether the figure breaks its limit.
fn is_broken(row: &Row) -> bool {
    row.headroom().is_some_and(|headroom| headroom < 1.0)
}

/// The table of the figures of a role or a failure.
fn figure_table(rows: &[&Row], slopes: &SlopeFile) -> String {
    let head = [
        "quantity",
        "how it is worked out",
        "at size",
        "figure is",
        "measured by",
        "limit",
        "room",
        "mechanism",
    ];
    let cells = |row: &&Row| {
        let slope = row.figure.slope.as_deref().and_then(|id| slopes.get(id));
        vec![
            row.figure.quantity.clone(),
            computation_cell(row, slope),
            value_cell(row),
            kind_cell(row, slopes),
            slope.map_or_else(|| "-".to_owned(), measurement_cell),
            limit_cell(row),
            headroom_cell(row),
            mechanism_cell(row),
        ]
    };
    markdown(&head, rows.iter().map(cells))
}

/// The value with its unit.
fn value_cell(row: &Row) -> String {
    let text = row.value.as_ref().map(|value| with_unit(value.value, &row.figure.unit));
    text.unwrap_or_else(|| NOT_MEASURED.to_owned())
}

/// The limit with its unit.
fn limit_cell(row: &Row) -> String {
    let prefix = if row.figure.at_least { "at least " } else { "" };
    row.limit.map_or_else(|| "-".to_owned(), |limit| prefix.to_owned() + &with_unit(limit, &row.figure.unit))
}

/// The headroom, if the figure has one.
fn headroom_cell(row: &Row) -> String {
    row.headroom().map_or_else(|| "-".to_owned(), headroom_text)
}

/// Whether the figure is an extrapolated slope or the result of a formula, and how the slopes it depends on
/// were measured.
fn kind_cell(row: &Row, slopes: &SlopeFile) -> String {
    let Some(value) = &row.value else { return "-".to_owned() };
    let kinds = value.measured_by.iter().copied().collect::<Vec<_>>().join(" and ");
    let slope = row.figure.slope.as_deref().and_then(|id| slopes.get(id));
    match (slope, kinds.as_str()) {
        (Some(slope), kinds) => format!("{kinds} slope{}{}", range_note(slope, row.count), fit_note(slope)),
        (None, "") => "worked out".to_owned(),
        (None, kinds) => format!("worked out from {kinds}"),
    }
}

/// How far the count is outside of the measured range.
fn range_note(slope: &Slope, count: Option<f64>) -> String {
    let (low, high) = slope.range;
    match count {
        Some(count) if count > high => {
            format!(", {} times beyond its fit", number((count / high * 10.0).round() / 10.0))
        }
        Some(count) if count < low => ", below its fit".to_owned(),
        _ => String::new(),
    }
}

/// Marks a slope whose line fits badly.
fn fit_note(slope: &Slope) -> &'static str {
    if slope.residual > ROUGH_RESIDUAL { ", rough" } else { "" }
}

/// How the figure is computed: `slope x count + base` with its numbers, or the formula.
fn computation_cell(row: &Row, slope: Option<&Slope>) -> String {
    if let Some(formula) = &row.figure.formula {
        return format!("`{}`", formula.get_ref());
    }
    let count = row.figure.count.as_ref().map_or("", |count| count.get_ref());
    match (slope, row.count) {
        (Some(slope), Some(count_value)) => {
            let per_unit = with_unit(slope.slope, &slope.unit);
            let sign = if slope.base < 0.0 { '-' } else { '+' };
            let base = with_unit(slope.base.abs(), &slope.unit);
            format!("{per_unit} x {} {sign} {base} (`{}` x `{count}`)", number(count_value), slope.id)
        }
        _ => format!("`{}` x `{count}` + base", row.figure.slope.as_deref().unwrap_or_default()),
    }
}

/// How the slope was measured.
fn measurement_cell(slope: &Slope) -> String {
    let (low, high) = slope.range;
    let residual = number(slope.residual * 100.0);
    format!(
        "`{}` at {}, fit from {} to {}, residual {residual}%",
        slope.verb,
        slope.commit,
        number(low),
        number(high)
    )
}

/// The modules that implement the figure, and the mechanism that is missing.
fn mechanism_cell(row: &Row) -> String {
    let modules = row.figure.mechanism.iter().map(|path| format!("`{}`", path.get_ref()));
    let missing =
        row.figure.missing.iter().map(|id| format!("**missing**: {}", id.get_ref().replace('_', " ")));
    let all = modules.chain(missing).collect::<Vec<_>>().join("; ");
    if all.is_empty() { "-".to_owned() } else { all }
}

/// The missing mechanisms, with the figures whose limits they are needed for.
fn missing_table(size: &Size, figures: &Figures) -> String {
    let row_of = |id: &str| figures.rows.iter().find(|row| row.figure.id.get_ref() == id);
    let figure_text = |row: &Row| match row.headroom() {
        Some(factor) => {
            format!("{}: {}, room {}", row.figure.quantity, value_cell(row), headroom_text(factor))
        }
        None => format!("{}: {}", row.figure.quantity, value_cell(row)),
    };
    let cells = |(index, missing): (usize, &MissingMechanism)| {
        let id = missing.id.get_ref();
        let rows = size.figures_needing(id).filter_map(|figure| row_of(figure.id.get_ref()));
        let rows =
            rows.filter(|row| row.figure.limit.is_some() && (row.headroom().is_none() || is_broken(row)));
        let figures = rows.map(figure_text).collect::<Vec<_>>().join("; ");
        vec![
            (index + 1).to_string(),
            id.replace('_', " "),
            missing.description.clone(),
            missing.reason.clone(),
            figures,
        ]
    };
    let head =
        ["", "mechanism", "what it does", "why here", "limits that are broken without it, or not measured"];
    markdown(&head, size.missing_mechanisms.iter().enumerate().map(cells))
}

/// The constants.
fn constant_table(size: &Size) -> String {
    let cells = |constant: &Constant| {
        let from = match &constant.line {
            Some(line) => format!("`{}`: `{}`", constant.from.get_ref(), line.get_ref()),
            None => constant.from.get_ref().clone(),
        };
        vec![
            format!("`{}`", constant.id.get_ref()),
            with_unit(constant.value, &constant.unit),
            constant.description.clone(),
            constant.kind.map_or_else(|| from.clone(), |kind| format!("{from} ({})", kind_name(kind))),
        ]
    };
    markdown(&["name", "value", "what it is", "given by"], size.constants.iter().map(cells))
}

/// The slopes with the points they were fitted to.
fn slope_table(slopes: &SlopeFile) -> String {
    let cells = |slope: &Slope| {
        let points = slope
            .points
            .iter()
            .map(|(count, value)| format!("{}: {}", number(*count), with_unit(*value, &slope.unit)));
        vec![
            format!("`{}`", slope.id),
            format!("{} of the {} per {}", slope.quantity, slope.role, slope.per),
            with_unit(slope.slope, &slope.unit),
            with_unit(slope.base, &slope.unit),
            points.collect::<Vec<_>>().join("; "),
            format!("{}%", number(slope.residual * 100.0)),
            kind_name(slope.kind).to_owned(),
            format!("`{}` at {}", slope.verb, slope.commit),
        ]
    };
    let head = ["slope", "of what", "for each", "base", "points", "residual", "kind", "verb and commit"];
    markdown(&head, slopes.slopes.iter().map(cells))
}
