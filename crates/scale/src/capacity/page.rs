//! Inserts tables into the page, between the markers `<!-- begin NAME -->` and `<!-- end NAME -->`. The rest
//! of the page is written by hand.

use std::collections::{BTreeMap, BTreeSet};

/// Returns the page with each table between its markers. The page must have the markers of every table once,
/// and no others.
pub fn fill(page: &str, tables: &BTreeMap<String, String>) -> Result<String, String> {
    let mut filled = String::new();
    let mut inserted = BTreeSet::new();
    let mut open_table: Option<&str> = None;
    for (index, line) in page.lines().enumerate() {
        let line_error = |reason: String| Err(format!("line {}: {reason}", index + 1));
        if let Some(name) = marker(line, "begin") {
            let Some(table) = tables.get(name) else {
                return line_error(format!("no figure is in the table {name:?}"));
            };
            if open_table.is_some() || !inserted.insert(name) {
                return line_error(format!("the table {name:?} begins twice or inside another"));
            }
            open_table = Some(name);
            filled.push_str(&format!("{line}\n{table}"));
        } else if let Some(name) = marker(line, "end") {
            if open_table != Some(name) {
                return line_error(format!("the table {name:?} ends without having begun"));
            }
            open_table = None;
            filled.push_str(&format!("{line}\n"));
        } else if open_table.is_none() {
            filled.push_str(&format!("{line}\n"));
        }
    }
    if let Some(name) = open_table {
        return Err(format!("the table {name:?} does not end"));
    }
    match tables.keys().find(|name| !inserted.contains(name.as_str())) {
        Some(name) => {
            Err(format!("the table {name:?} has no markers: <!-- begin {name} --> and <!-- end {name} -->"))
        }
        None => Ok(filled),
    }
}

/// The table's name, if the line is a marker that starts with this word.
fn marker<'a>(line: &'a str, word: &str) -> Option<&'a str> {
    line.trim().strip_prefix("<!-- ")?.strip_prefix(word)?.strip_prefix(' ')?.strip_suffix(" -->")
}
