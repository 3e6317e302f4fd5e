//! Counts over the logs of a fleet of senders (`serve --log debug`): calls by outcome at each destination,
//! webhooks given up, new connections, requests for the endpoint list, and connections open at each endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::Path;

/// The outcomes of calls that are counted, in the order of the table. The last is of calls that never ran
/// because the connection could not be opened.
const OUTCOMES: [&str; 6] = ["Delivered", "Full", "Failed", "TimedOut", "Reset", "ConnectFailed"];

/// A log line that may be counted.
#[derive(Debug, PartialEq)]
struct LogLine<'a> {
    /// Since the Unix epoch.
    at_secs: f64,
    /// The value of the field `code`, or `serving` for the line that a sender writes when it starts.
    code: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

/// Parses a log line; anything may come before its time. Other lines are skipped, such as one that was cut
/// off when a sender was killed.
fn parse_line(line: &str) -> Option<LogLine<'_>> {
    let mut words = line.split_ascii_whitespace();
    let time = words.find_map(|word| humantime::parse_rfc3339(word).ok())?;
    let at_secs = time.duration_since(std::time::UNIX_EPOCH).ok()?.as_secs_f64();
    let fields: BTreeMap<_, _> =
        words.filter_map(|w| w.split_once('=')).map(|(name, v)| (name, v.trim_matches('"'))).collect();
    let code = fields.get("code").copied().or_else(|| line.contains(" serving ").then_some("serving"))?;
    Some(LogLine { at_secs, code, fields })
}

/// The counts of one span of time.
#[derive(Default)]
struct SpanCounts {
    /// Calls by destination and index into `OUTCOMES`.
    calls: BTreeMap<(u64, usize), u64>,
    /// Webhooks given up, by destination and whether there was an attempt.
    given_up: BTreeMap<(u64, bool), u64>,
    /// Connections that senders began to open.
    connecting: u64,
    /// Endpoint lists received.
    listed: u64,
    /// Connections to the list service that ended or failed.
    not_listed: u64,
}

/// The counts over all senders of a fleet.
#[derive(Default)]
pub struct FleetCounts {
    senders: usize,
    /// The length of a span.
    span_secs: f64,
    /// Spans by their index, from the first log line on.
    spans: BTreeMap<usize, SpanCounts>,
    /// The most connections that all senders had open at once, by destination and endpoint.
    max_open: BTreeMap<(u64, String), u64>,
}

/// Counts over every file in the folder whose name ends in `.log`; each is one sender's log.
pub fn count(dir: &Path, span_secs: f64) -> Result<FleetCounts, String> {
    let with_path = |e: std::io::Error| format!("{}: {e}", dir.display());
    let files = std::fs::read_dir(dir).map_err(with_path)?;
    let paths: BTreeSet<_> =
        files.map(|entry| entry.map(|entry| entry.path())).collect::<Result<_, _>>().map_err(with_path)?;
    let mut logs = Vec::new();
    for path in paths.iter().filter(|path| path.extension().is_some_and(|e| e == "log")) {
        let bytes = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        logs.push(String::from_utf8_lossy(&bytes).into_owned());
    }
    let fleet = FleetCounts::of(&logs, span_secs)
        .ok_or_else(|| format!("{}: no log lines in any *.log", dir.display()))?;
    // Without debug lines all counts would be 0, as if the senders had been idle.
    let has_attempts = fleet.spans.values().any(|span| span.connecting > 0 || !span.calls.is_empty());
    has_attempts.then_some(fleet).ok_or_else(|| {
        format!("{}: no attempts in the logs: start the senders with --log debug", dir.display())
    })
}

impl FleetCounts {
    /// Counts over the logs, one for each sender; nothing if there is no log line.
    fn of(logs: &[String], span_secs: f64) -> Option<FleetCounts> {
        let lines: Vec<(usize, LogLine)> = logs
            .iter()
            .enumerate()
            .flat_map(|(sender, log)| log.lines().filter_map(parse_line).map(move |line| (sender, line)))
            .collect();
        let first_at = lines.iter().map(|entry| entry.1.at_secs).min_by(f64::total_cmp)?;
        let mut fleet = FleetCounts { senders: logs.len(), span_secs, ..FleetCounts::default() };
        // Most lines name only the endpoint; the lines of the endpoint list say which destination it belongs
        // to.
        let destinations: BTreeMap<&str, u64> = lines
            .iter()
            .filter(|entry| entry.1.code == "endpoint")
            .filter_map(|entry| Some((*entry.1.fields.get("ep")?, entry.1.fields.get("dest")?.parse().ok()?)))
            .collect();
        // Time, sender, change (1 opened, -1 closed, 0 the sender started), destination and endpoint.
        let mut changes: Vec<(f64, usize, i64, u64, &str)> = Vec::new();
        for (sender, line) in &lines {
            let field = |name| line.fields.get(name).copied();
            let endpoint = field("ep").unwrap_or_default();
            let destination =
                field("dest").and_then(|d| d.parse().ok()).or_else(|| destinations.get(endpoint).copied());
            let span = fleet.spans.entry(((line.at_secs - first_at) / fleet.span_secs) as usize).or_default();
            match (line.code, field("peer"), destination) {
                ("back", _, Some(destination)) => {
                    let outcome = field("outcome").unwrap_or_default();
                    if let Some(index) = OUTCOMES.iter().position(|name| outcome.starts_with(name)) {
                        *span.calls.entry((destination, index)).or_default() += 1;
                    }
                }
                ("given-up", _, Some(destination)) => {
                    *span.given_up.entry((destination, field("tries") != Some("0"))).or_default() += 1;
                }
                ("connecting", _, Some(destination)) => {
                    span.connecting += 1;
                    changes.push((line.at_secs, *sender, 1, destination, endpoint));
                }
                ("listed", ..) if field("mode") != Some("Remembered") => span.listed += 1,
                ("serving", ..) => changes.push((line.at_secs, *sender, 0, 0, "")),
                (_, Some("list"), _) => span.not_listed += 1,
                (_, Some("endpoint"), Some(destination)) => {
                    changes.push((line.at_secs, *sender, -1, destination, endpoint));
                }
                _ => {}
            }
        }
        fleet.count_open(changes);
        Some(fleet)
    }

    /// Finds the most connections that were open at once at each endpoint.
    fn count_open(&mut self, mut changes: Vec<(f64, usize, i64, u64, &str)>) {
        changes.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let mut open_now: BTreeMap<(u64, &str), BTreeMap<usize, u64>> = BTreeMap::new();
        for (_, sender, step, destination, endpoint) in changes {
            if step == 0 {
                // The sender started: connections of its earlier process are closed, even if its log does not
                // say so.
                open_now.values_mut().for_each(|by_sender| {
                    by_sender.remove(&sender);
                });
                continue;
            }
            let by_sender = open_now.entry((destination, endpoint)).or_default();
            let open = by_sender.entry(sender).or_default();
            *open = open.saturating_add_signed(step);
            let total: u64 = by_sender.values().sum();
            let max = self.max_open.entry((destination, endpoint.to_owned())).or_default();
            *max = total.max(*max);
        }
    }

    /// The counts as text tables: the fleet by span, each destination by span, and the connections of each
    /// endpoint.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{} senders, spans of {} s\n\n{:>6} {:>9} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>8} {:>6} {:>9}\n",
            self.senders,
            self.span_secs,
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
        let calls = |span: &SpanCounts, i| span.calls.iter().filter(|c| c.0.1 == i).map(|c| c.1).sum::<u64>();
        let given_up = |span: &SpanCounts, attempted| {
            span.given_up.iter().filter(|g| g.0.1 == attempted).map(|g| g.1).sum::<u64>()
        };
        for (index, span) in &self.spans {
            let by_outcome: Vec<u64> = (0..OUTCOMES.len()).map(|i| calls(span, i)).collect();
            let _ = writeln!(
                text,
                "{:>6.1} {:>9} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>7} {:>8} {:>6} {:>9}",
                *index as f64 * self.span_secs,
                by_outcome[0],
                by_outcome[1],
                by_outcome[2],
                by_outcome[3],
                by_outcome[4],
                by_outcome[5],
                given_up(span, false),
                given_up(span, true),
                span.connecting,
                span.listed,
                span.not_listed
            );
        }
        let destinations: BTreeSet<u64> =
            self.spans.values().flat_map(|span| span.calls.keys().map(|c| c.0)).collect();
        let _ =
            writeln!(text, "\neach destination by span: delivered/full/other, and given up unsent after a +");
        for destination in destinations {
            let _ = write!(text, "{destination:>4}:");
            for span in self.spans.values() {
                let calls = |i| span.calls.get(&(destination, i)).copied().unwrap_or(0);
                let (other, unsent) =
                    ((2..OUTCOMES.len()).map(calls).sum::<u64>(), span.given_up.get(&(destination, false)));
                let _ = write!(text, " {}/{}/{other}", calls(0), calls(1));
                let _ = unsent.map_or(Ok(()), |count| write!(text, "+{count}"));
            }
            text.push('\n');
        }
        let _ = writeln!(text, "\nmost connections open at once, by endpoint");
        for ((destination, endpoint), max) in &self.max_open {
            let _ = writeln!(text, "{destination:>4} {endpoint} {max}");
        }
        text
    }
}

#[cfg(test)]
mod tests;
