//! The tables of the page, from the figures.

use super::figures::{Figures, Row, name_of};
use super::format::{number, room, with_unit};
use super::size::{Constant, Missing, Size};
use crate::slopes::{Slope, SlopeFile};
use std::collections::{BTreeMap, BTreeSet};

const NOT_MEASURED: &str = "not measured";
/// A line from which a point lies further off than this share of it is rough.
const ROUGH: f64 = 0.5;

/// The tables by the name of their region: one for each table that figures name, and `summary`, `missing`, `given`,
/// `slopes`.
pub fn all(size: &Size, figures: &Figures, slopes: &SlopeFile) -> BTreeMap<String, String> {
    let names: BTreeSet<&str> = figures.rows.iter().map(|row| row.figure.table.as_str()).collect();
    let table = |name: &str| {
        let rows: Vec<&Row> = figures.rows.iter().filter(|row| row.figure.table == name).collect();
        (name.to_owned(), details(&rows, slopes))
    };
    let mut tables: BTreeMap<String, String> = names.into_iter().map(table).collect();
    tables.insert("summary".into(), summary(figures, slopes));
    tables.insert("missing".into(), missing(size, figures));
    tables.insert("given".into(), given(size));
    tables.insert("slopes".into(), measured(slopes));
    tables
}

/// A table in Markdown.
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

/// The figures of the top table, and each that breaks its limit: what breaks first stands first, what is not measured or has
/// no limit last.
fn summary(figures: &Figures, slopes: &SlopeFile) -> String {
    let mut rows: Vec<&Row> = figures.rows.iter().filter(|row| row.figure.top || is_broken(row)).collect();
    rows.sort_by(|a, b| {
        let (a, b) = (a.room().unwrap_or(f64::INFINITY), b.room().unwrap_or(f64::INFINITY));
        a.total_cmp(&b)
    });
    let head = ["who", "quantity", "at size", "figure is", "limit", "room", "mechanism"];
    let cells = |row: &Row| {
        vec![
            row.figure.table.replace('_', " "),
            row.figure.quantity.clone(),
            value(row),
            kind(row, slopes),
            limit(row),
            factor(row),
            mechanism(row),
        ]
    };
    markdown(&head, rows.into_iter().map(cells))
}

fn is_broken(row: &Row) -> bool {
    row.room().is_some_and(|room| room < 1.0)
}

fn details(rows: &[&Row], slopes: &SlopeFile) -> String {
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
            working(row, slope),
            value(row),
            kind(row, slopes),
            slope.map_or_else(|| "-".to_owned(), measurement),
            limit(row),
            factor(row),
            mechanism(row),
        ]
    };
    markdown(&head, rows.iter().map(cells))
}

fn value(row: &Row) -> String {
    let text = row.value.as_ref().map(|value| with_unit(value.value, &row.figure.unit));
    text.unwrap_or_else(|| NOT_MEASURED.to_owned())
}

fn limit(row: &Row) -> String {
    let least = if row.figure.at_least { "at least " } else { "" };
    row.limit.map_or_else(|| "-".to_owned(), |limit| least.to_owned() + &with_unit(limit, &row.figure.unit))
}

fn factor(row: &Row) -> String {
    row.room().map_or_else(|| "-".to_owned(), room)
}

/// Whether it is a measured slope carried to the size, or worked out, and from what.
fn kind(row: &Row, slopes: &SlopeFile) -> String {
    let Some(value) = &row.value else { return "-".to_owned() };
    let from = value.rests_on.iter().copied().collect::<Vec<_>>().join(" and ");
    let slope = row.figure.slope.as_deref().and_then(|id| slopes.get(id));
    match (slope, from.as_str()) {
        (Some(slope), from) => format!("{from} slope{}{}", beyond(slope, row.count), rough(slope)),
        (None, "") => "worked out".to_owned(),
        (None, from) => format!("worked out from {from}"),
    }
}

/// How far the count lies outside of what was measured.
fn beyond(slope: &Slope, count: Option<f64>) -> String {
    let (low, high) = slope.range;
    match count {
        Some(count) if count > high => {
            format!(", {} times beyond its fit", number((count / high * 10.0).round() / 10.0))
        }
        Some(count) if count < low => ", below its fit".to_owned(),
        _ => String::new(),
    }
}

fn rough(slope: &Slope) -> &'static str {
    if slope.residual > ROUGH { ", rough" } else { "" }
}

/// `slope x count + base` with its figures, or the formula.
fn working(row: &Row, slope: Option<&Slope>) -> String {
    if let Some(formula) = &row.figure.formula {
        return format!("`{}`", formula.get_ref());
    }
    let count = row.figure.count.as_ref().map_or("", |count| count.get_ref());
    match (slope, row.count) {
        (Some(slope), Some(times)) => {
            let each = with_unit(slope.slope, &slope.unit);
            let sign = if slope.base < 0.0 { '-' } else { '+' };
            let base = with_unit(slope.base.abs(), &slope.unit);
            format!("{each} x {} {sign} {base} (`{}` x `{count}`)", number(times), slope.id)
        }
        _ => format!("`{}` x `{count}` + base", row.figure.slope.as_deref().unwrap_or_default()),
    }
}

fn measurement(slope: &Slope) -> String {
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

fn mechanism(row: &Row) -> String {
    let modules = row.figure.mechanism.iter().map(|path| format!("`{}`", path.get_ref()));
    let missing =
        row.figure.missing.iter().map(|id| format!("**missing**: {}", id.get_ref().replace('_', " ")));
    let all = modules.chain(missing).collect::<Vec<_>>().join("; ");
    if all.is_empty() { "-".to_owned() } else { all }
}

fn missing(size: &Size, figures: &Figures) -> String {
    let row_of = |id: &str| figures.rows.iter().find(|row| row.figure.id.get_ref() == id);
    let tell = |row: &Row| match row.room() {
        Some(factor) => format!("{}: {}, room {}", row.figure.quantity, value(row), room(factor)),
        None => format!("{}: {}", row.figure.quantity, value(row)),
    };
    let cells = |(at, missing): (usize, &Missing)| {
        let id = missing.id.get_ref();
        let rows = size.lacking(id).filter_map(|figure| row_of(figure.id.get_ref()));
        let rows = rows.filter(|row| row.figure.limit.is_some() && (row.room().is_none() || is_broken(row)));
        let figures = rows.map(tell).collect::<Vec<_>>().join("; ");
        vec![
            (at + 1).to_string(),
            id.replace('_', " "),
            missing.what.clone(),
            missing.reason.clone(),
            figures,
        ]
    };
    let head =
        ["", "mechanism", "what it does", "why here", "limits that are broken without it, or not measured"];
    markdown(&head, size.missing.iter().enumerate().map(cells))
}

fn given(size: &Size) -> String {
    let cells = |constant: &Constant| {
        let from = match &constant.line {
            Some(line) => format!("`{}`: `{}`", constant.from.get_ref(), line.get_ref()),
            None => constant.from.get_ref().clone(),
        };
        vec![
            format!("`{}`", constant.id.get_ref()),
            with_unit(constant.value, &constant.unit),
            constant.is.clone(),
            constant.kind.map_or_else(|| from.clone(), |kind| format!("{from} ({})", name_of(kind))),
        ]
    };
    markdown(&["name", "value", "what it is", "given by"], size.constant.iter().map(cells))
}

fn measured(slopes: &SlopeFile) -> String {
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
            name_of(slope.kind).to_owned(),
            format!("`{}` at {}", slope.verb, slope.commit),
        ]
    };
    let head = ["slope", "of what", "for each", "base", "points", "residual", "kind", "verb and commit"];
    markdown(&head, slopes.slopes.iter().map(cells))
}
