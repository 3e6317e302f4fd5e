//! Counts across a fleet what its senders wrote in their logs (`serve --log debug`): calls by outcome at each
//! destination, webhooks given up, new connections, calls for the list, and connections open at each endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::Path;

/// What is counted of calls, in this order; the last holds all that never ran for want of a connection.
const OUTCOMES: [&str; 6] = ["Delivered", "Full", "Failed", "TimedOut", "Reset", "ConnectFailed"];

/// One log line, as far as it is counted.
#[derive(Debug, PartialEq)]
struct Line<'a> {
    at: f64,
    code: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

/// A line of a log: anything may stand before its time. Others, as of a program that was killed while it wrote, are none.
fn read(line: &str) -> Option<Line<'_>> {
    let mut words = line.split_ascii_whitespace();
    let at = words.find_map(|w| humantime::parse_rfc3339(w).ok())?;
    let at = at.duration_since(std::time::UNIX_EPOCH).ok()?.as_secs_f64();
    let fields: BTreeMap<_, _> =
        words.filter_map(|w| w.split_once('=')).map(|(k, v)| (k, v.trim_matches('"'))).collect();
    let code = fields.get("code").copied().or_else(|| line.contains(" serving ").then_some("serving"))?;
    Some(Line { at, code, fields })
}

#[derive(Default)]
struct Span {
    /// By destination and outcome.
    calls: BTreeMap<(u64, usize), u64>,
    /// By destination, and whether it ever went out.
    given_up: BTreeMap<(u64, bool), u64>,
    connecting: u64,
    listed: u64,
    not_listed: u64,
}

#[derive(Default)]
pub struct Fleet {
    senders: usize,
    span: f64,
    spans: BTreeMap<usize, Span>,
    /// Endpoints by destination, with the most connections that all senders had open at once.
    open: BTreeMap<(u64, String), u64>,
}

/// Reads every file in the folder whose name ends in `.log` as one sender's.
pub fn count(dir: &Path, span: f64) -> Result<Fleet, String> {
    let named = |e: std::io::Error| format!("{}: {e}", dir.display());
    let files = std::fs::read_dir(dir).map_err(named)?;
    let paths: BTreeSet<_> = files.map(|f| f.map(|f| f.path())).collect::<Result<_, _>>().map_err(named)?;
    let mut logs = Vec::new();
    for path in paths.iter().filter(|p| p.extension().is_some_and(|e| e == "log")) {
        let bytes = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        logs.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let fleet =
        Fleet::of(&logs, span).ok_or_else(|| format!("{}: no log lines in any *.log", dir.display()))?;
    // Counts of nothing would look like a fleet that does nothing.
    let followed = fleet.spans.values().any(|s| s.connecting > 0 || !s.calls.is_empty());
    followed
        .then_some(fleet)
        .ok_or_else(|| format!("{}: no attempts: start senders with --log debug", dir.display()))
}

impl Fleet {
    fn of(logs: &[String], span: f64) -> Option<Fleet> {
        let lines: Vec<(usize, Line)> = logs
            .iter()
            .enumerate()
            .flat_map(|(i, log)| log.lines().filter_map(read).map(move |l| (i, l)))
            .collect();
        let start = lines.iter().map(|l| l.1.at).min_by(f64::total_cmp)?;
        let mut fleet = Fleet { senders: logs.len(), span, ..Fleet::default() };
        // Senders name endpoints; which destination an endpoint is of, the list told them.
        let eps: BTreeMap<&str, u64> = lines
            .iter()
            .filter(|l| l.1.code == "endpoint")
            .filter_map(|l| Some((*l.1.fields.get("ep")?, l.1.fields.get("dest")?.parse().ok()?)))
            .collect();
        let mut links: Vec<(f64, usize, i64, u64, &str)> = Vec::new();
        for (sender, line) in &lines {
            let text = |name| line.fields.get(name).copied();
            let ep = text("ep").unwrap_or_default();
            let dest = text("dest").and_then(|d| d.parse().ok()).or_else(|| eps.get(ep).copied());
            let span = fleet.spans.entry(((line.at - start) / fleet.span) as usize).or_default();
            match (line.code, text("peer"), dest) {
                ("back", _, Some(dest)) => {
                    let outcome = text("outcome").unwrap_or_default();
                    if let Some(i) = OUTCOMES.iter().position(|o| outcome.starts_with(o)) {
                        *span.calls.entry((dest, i)).or_default() += 1;
                    }
                }
                ("given-up", _, Some(dest)) => {
                    *span.given_up.entry((dest, text("tries") != Some("0"))).or_default() += 1;
                }
                ("connecting", _, Some(dest)) => {
                    span.connecting += 1;
                    links.push((line.at, *sender, 1, dest, ep));
                }
                ("listed", ..) if text("mode") != Some("Remembered") => span.listed += 1,
                ("serving", ..) => links.push((line.at, *sender, 0, 0, "")),
                (_, Some("list"), _) => span.not_listed += 1,
                (_, Some("endpoint"), Some(dest)) => {
                    links.push((line.at, *sender, -1, dest, ep));
                }
                _ => {}
            }
        }
        fleet.count_open(links);
        Some(fleet)
    }

    fn count_open(&mut self, mut links: Vec<(f64, usize, i64, u64, &str)>) {
        links.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut now: BTreeMap<(u64, &str), BTreeMap<usize, u64>> = BTreeMap::new();
        for (_, sender, step, dest, ep) in links {
            if step == 0 {
                // A start: what an earlier life of the sender had open is closed, whether or not it said so.
                now.values_mut().for_each(|by| {
                    by.remove(&sender);
                });
                continue;
            }
            let by = now.entry((dest, ep)).or_default();
            let open = by.entry(sender).or_default();
            *open = open.saturating_add_signed(step);
            let all: u64 = by.values().sum();
            let most = self.open.entry((dest, ep.to_owned())).or_default();
            *most = all.max(*most);
        }
    }

    /// Tables for a person: the fleet by span, each destination by span, each endpoint's connections.
    pub fn table(&self) -> String {
        let mut t = format!(
            "{} senders, spans of {} s\n\n{:>6} {:>9} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>8} {:>6} {:>9}\n",
            self.senders,
            self.span,
            "from",
            "delivered",
            "full",
            "failed",
            "lost",
            "reset",
            "noconn",
            "unsent",
            "spent",
            "connects",
            "listed",
            "not-listed"
        );
        let count = |s: &Span, i| s.calls.iter().filter(|c| c.0.1 == i).map(|c| c.1).sum::<u64>();
        let given = |s: &Span, sent| s.given_up.iter().filter(|g| g.0.1 == sent).map(|g| g.1).sum::<u64>();
        for (i, s) in &self.spans {
            let c: Vec<u64> = (0..OUTCOMES.len()).map(|i| count(s, i)).collect();
            let _ = writeln!(
                t,
                "{:>6.1} {:>9} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>8} {:>6} {:>9}",
                *i as f64 * self.span,
                c[0],
                c[1],
                c[2],
                c[3],
                c[4],
                c[5],
                given(s, false),
                given(s, true),
                s.connecting,
                s.listed,
                s.not_listed
            );
        }
        let dests: BTreeSet<u64> = self.spans.values().flat_map(|s| s.calls.keys().map(|c| c.0)).collect();
        let _ =
            writeln!(t, "\neach destination by span: delivered/full/other, and given up unsent after a +");
        for dest in dests {
            let _ = write!(t, "{dest:>4}:");
            for s in self.spans.values() {
                let n = |i| s.calls.get(&(dest, i)).copied().unwrap_or(0);
                let (other, unsent) =
                    ((2..OUTCOMES.len()).map(n).sum::<u64>(), s.given_up.get(&(dest, false)));
                let _ = write!(t, " {}/{}/{other}", n(0), n(1));
                let _ = unsent.map_or(Ok(()), |u| write!(t, "+{u}"));
            }
            t.push('\n');
        }
        let _ = writeln!(t, "\nmost connections open at once, by endpoint");
        for ((dest, ep), most) in &self.open {
            let _ = writeln!(t, "{dest:>4} {ep} {most}");
        }
        t
    }
}

#[cfg(test)]
mod tests;
