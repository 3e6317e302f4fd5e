//! The page: text written by hand, and regions between two markers, `<!-- begin NAME -->` and `<!-- end NAME -->`, for tables.

use std::collections::{BTreeMap, BTreeSet};

/// The page with each region's table in its place. Every region has to be there once, and no other.
pub fn fill(page: &str, tables: &BTreeMap<String, String>) -> Result<String, String> {
    let mut filled = String::new();
    let mut found = BTreeSet::new();
    let mut open: Option<&str> = None;
    for (at, line) in page.lines().enumerate() {
        let refused = |why: String| Err(format!("line {}: {why}", at + 1));
        if let Some(name) = marker(line, "begin") {
            let Some(table) = tables.get(name) else {
                return refused(format!("no figure is in the table {name:?}"));
            };
            if open.is_some() || !found.insert(name) {
                return refused(format!("the table {name:?} begins twice or inside another"));
            }
            open = Some(name);
            filled.push_str(&format!("{line}\n{table}"));
        } else if let Some(name) = marker(line, "end") {
            if open != Some(name) {
                return refused(format!("the table {name:?} ends and has not begun"));
            }
            open = None;
            filled.push_str(&format!("{line}\n"));
        } else if open.is_none() {
            filled.push_str(&format!("{line}\n"));
        }
    }
    if let Some(name) = open {
        return Err(format!("the table {name:?} does not end"));
    }
    match tables.keys().find(|name| !found.contains(name.as_str())) {
        Some(name) => {
            Err(format!("the table {name:?} has no place: <!-- begin {name} --> and <!-- end {name} -->"))
        }
        None => Ok(filled),
    }
}

fn marker<'a>(line: &'a str, word: &str) -> Option<&'a str> {
    line.trim().strip_prefix("<!-- ")?.strip_prefix(word)?.strip_prefix(' ')?.strip_suffix(" -->")
}
