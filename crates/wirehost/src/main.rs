//! Hosts many isolated senders on the simulator's wire: one JSON line in, one JSON line out. It turns fields
//! into calls, milliseconds into seconds and effects into actions, and decides nothing.

mod settings;

use scalebarrow::{ActionSink, ListUpdate, ListedEndpoint, Outcome, Sender};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// What is wrong with a line: the event and field (empty where the line as a whole is meant), and the fault.
pub(crate) type Fault = (String, String, &'static str);

pub(crate) fn field<'a>(event: &str, at: &'a Value, name: &str) -> Result<&'a Value, Fault> {
    match at.get(name) {
        Some(v) if !v.is_null() => Ok(v),
        _ => Err((event.into(), name.into(), "is missing")),
    }
}

pub(crate) fn number(event: &str, at: &Value, name: &str) -> Result<f64, Fault> {
    let v = field(event, at, name)?.as_f64().ok_or((event.into(), name.into(), "is not a number"))?;
    if v.abs() > 1e15 { Err((event.into(), name.into(), "is out of range")) } else { Ok(v) }
}

pub(crate) fn positive(event: &str, at: &Value, name: &str) -> Result<f64, Fault> {
    let v = number(event, at, name)?;
    if v < 0.0 { Err((event.into(), name.into(), "is below zero")) } else { Ok(v) }
}

pub(crate) fn whole(event: &str, at: &Value, name: &str) -> Result<u64, Fault> {
    field(event, at, name)?.as_u64().ok_or((event.into(), name.into(), "is not a whole number"))
}

pub(crate) fn text<'a>(event: &str, at: &'a Value, name: &str) -> Result<&'a str, Fault> {
    field(event, at, name)?.as_str().ok_or((event.into(), name.into(), "is not a text"))
}

pub(crate) fn list<'a>(event: &str, at: &'a Value, name: &str) -> Result<&'a Vec<Value>, Fault> {
    field(event, at, name)?.as_array().ok_or((event.into(), name.into(), "is not an array"))
}

/// Absent and null alike give the default; anything else must be of the right type.
pub(crate) fn flag(event: &str, at: &Value, name: &str) -> Result<bool, Fault> {
    match at.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(v) => v.as_bool().ok_or((event.into(), name.into(), "is not true or false")),
    }
}

pub(crate) fn text_if<'a>(event: &str, at: &'a Value, name: &str) -> Result<Option<&'a str>, Fault> {
    match at.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(v) if v.as_f64() == Some(0.0) => Ok(None),
        Some(_) => text(event, at, name).map(Some),
    }
}

pub(crate) fn number_if(event: &str, at: &Value, name: &str, or: f64) -> Result<f64, Fault> {
    if at.get(name).is_none_or(Value::is_null) { Ok(or) } else { positive(event, at, name) }
}

/// The actions of one instance in one reply.
struct Actions(Vec<Value>);

impl ActionSink for Actions {
    fn start_attempt(&mut self, webhook_id: u64, endpoint: &str, give_up_at: f64) {
        self.0.push(json!({"kind": "Assign", "ref": webhook_id, "receiver": endpoint, "stop-at-ms": give_up_at * 1e3}));
    }
    fn cancel_attempt(&mut self, webhook_id: u64, attempt_number: u32) {
        self.0.push(json!({"kind": "CallOff", "ref": webhook_id, "hop": attempt_number}));
    }
    fn reject(&mut self, webhook_id: u64, retry_after: f64) {
        self.0.push(json!({"kind": "PushBack", "ref": webhook_id, "hold-off-ms": retry_after * 1e3}));
    }
    fn dead_letter(&mut self, webhook_id: u64) {
        self.0.push(json!({"kind": "Abort", "ref": webhook_id}));
    }
    fn schedule_wake(&mut self, delay: f64, handle: u64) {
        self.0.push(json!({"kind": "Sleep", "offset-ms": delay * 1e3, "handle": handle}));
    }
    fn watch_list(&mut self, enabled: bool) {
        self.0.push(json!({"kind": "Subscribe", "want": enabled}));
    }
    fn close_idle_connections(&mut self, endpoint: &str) {
        self.0.push(json!({"kind": "FreeLinks", "receiver": endpoint}));
    }
    fn log(&mut self, text: &str) {
        self.0.push(json!({"kind": "Record", "body-text": text}));
    }
}

/// One instance: its sender, and where the two report values stand in a row of telemetry.
struct Instance {
    sender: Sender,
    report: (Option<usize>, Option<usize>),
    /// The list tells rates; else what stands there means nothing.
    listed: bool,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    lists: BTreeMap<u64, Vec<Value>>,
}

impl Host {
    fn batch(&mut self, line: &str) -> Result<Value, Fault> {
        let whole_line = |why| (String::new(), String::new(), why);
        let batch: Value = serde_json::from_str(line).map_err(|_| whole_line("is no JSON"))?;
        if !batch.is_object() {
            return Err(whole_line("is no object"));
        }
        let now = number("batch", &batch, "moment-ms")? / 1e3;
        let mut replies = Vec::new();
        for group in list("batch", &batch, "senders")? {
            let id = text("batch", group, "i")?;
            let mut out = Actions(Vec::new());
            for event in list("batch", group, "inbox")? {
                self.event(now, id, event, &mut out)?;
            }
            if !out.0.is_empty() {
                replies.push(json!({"i": id, "out": out.0}));
            }
        }
        Ok(json!({"senders": replies}))
    }

    fn event(&mut self, now: f64, id: &str, at: &Value, out: &mut Actions) -> Result<(), Fault> {
        let kind = text("event", at, "kind")?;
        match kind {
            "Ledger" => {
                self.lists.insert(whole(kind, at, "buffer")?, list(kind, at, "rows-in")?.clone());
                return Ok(());
            }
            "OpenInstance" => {
                let sender = settings::open(now, whole(kind, at, "salt")?, field(kind, at, "facts")?)?;
                let fields = at["facts"]["report"]["fields"].as_array().cloned().unwrap_or_default();
                let place = |name: &str| fields.iter().position(|f| f == name);
                let report = (place("x0"), place("x1"));
                let listed = text_if(kind, &at["facts"], "weights")? != Some("none");
                self.instances.insert(id.into(), Instance { sender, report, listed });
                return Ok(());
            }
            "Teardown" => {
                self.instances.remove(id);
                return Ok(());
            }
            "Topology" | "Ask" | "ReportBack" | "Vanished" | "Reminder" => {}
            // News that no decision uses, and kinds that are not known.
            _ => return Ok(()),
        }
        let Some(instance) = self.instances.get_mut(id) else {
            return Err((kind.into(), "i".into(), "names an instance that is not open"));
        };
        let lists = &self.lists;
        let decided = catch_unwind(AssertUnwindSafe(|| instance.event(now, kind, at, lists, out)));
        decided.unwrap_or_else(|_| {
            out.0.push(json!({"kind": "InternalError", "body-text": format!("a decision failed on {kind}")}));
            Ok(())
        })
    }
}

impl Instance {
    fn event(
        &mut self, now: f64, kind: &str, at: &Value, lists: &BTreeMap<u64, Vec<Value>>, out: &mut Actions,
    ) -> Result<(), Fault> {
        let sender = &mut self.sender;
        match kind {
            "Topology" => {
                let mode = match text(kind, at, "mode")? {
                    "changes" => ListUpdate::Changes,
                    "all" => ListUpdate::Whole,
                    "remembered" => ListUpdate::Remembered,
                    "refused" => ListUpdate::Refused,
                    _ => return Err((kind.into(), "mode".into(), "is not a known mode")),
                };
                let mut entries = Vec::new();
                if mode != ListUpdate::Refused {
                    let rows = lists.get(&whole(kind, at, "buffer")?);
                    let rows =
                        rows.ok_or((kind.into(), "buffer".into(), "names a list that has not come"))?;
                    for row in rows {
                        entries.push(ListedEndpoint {
                            endpoint: text("Ledger", row, "receiver")?,
                            zone: text("Ledger", row, "locality")?,
                            destination_kind: text("Ledger", row, "generation-hw")?,
                            destination: whole("Ledger", row, "owner-no")?,
                            ready: text("Ledger", row, "state")? == "Ready",
                            rate_limit: if self.listed {
                                number_if("Ledger", row, "units", 0.0)?
                            } else {
                                0.0
                            },
                            started_at: number_if("Ledger", row, "launched-ms", 0.0)? / 1e3,
                        });
                    }
                }
                sender.update_list(now, mode, &entries, out);
            }
            "Ask" => sender.accept(
                now,
                whole(kind, at, "ref")?,
                text(kind, at, "priority")?,
                whole(kind, at, "bound-for")?,
                text_if(kind, at, "key")?,
                text_if(kind, at, "account")?,
                number(kind, at, "remaining-ms")? / 1e3,
                out,
            ),
            "ReportBack" => {
                let wait = number_if(kind, at, "hold-ms", 0.0)?;
                let outcome = match text(kind, at, "reason")? {
                    "Ok" => Outcome::Delivered,
                    "Failed" => Outcome::Failed,
                    "QueueFull" => Outcome::Full(wait / 1e3),
                    "TimedOut" => Outcome::TimedOut,
                    "ConnectError" => Outcome::ConnectFailed,
                    "ResetByPeer" => Outcome::Reset,
                    "Canceled" => Outcome::Cancelled,
                    "Ignored" => Outcome::Moot(wait == 1.0),
                    _ => return Err((kind.into(), "reason".into(), "is not a known outcome")),
                };
                let row = at.get("telemetry").and_then(Value::as_array);
                let value = |place: Option<usize>| row.and_then(|r| r.get(place?)).and_then(Value::as_f64);
                let report = value(self.report.0).zip(value(self.report.1));
                let took = number_if(kind, at, "delay-seen-ms", 0.0)? / 1e3;
                let (id, ended) = (whole(kind, at, "ref")?, flag(kind, at, "final")?);
                sender.attempt_ended(now, id, text(kind, at, "receiver")?, outcome, took, ended, report, out);
            }
            "Vanished" => sender.withdraw(now, whole(kind, at, "ref")?, out),
            _ => sender.wake(now, whole(kind, at, "handle")?, out),
        }
        Ok(())
    }
}

fn main() -> io::Result<()> {
    // A failed decision is told on the wire, not printed.
    std::panic::set_hook(Box::new(|_| {}));
    let mut host = Host::default();
    let (mut input, mut output) = (io::stdin().lock(), io::BufWriter::new(io::stdout().lock()));
    let mut line = Vec::new();
    for count in 1_u64.. {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            break;
        }
        let reply = match std::str::from_utf8(&line) {
            Ok(text) => host.batch(text.trim_end()),
            Err(_) => Err((String::new(), String::new(), "is not UTF-8")),
        };
        match reply {
            Ok(reply) => serde_json::to_writer(&mut output, &reply)?,
            Err((event, field, why)) => {
                let place = if event.is_empty() { String::new() } else { format!(": {event}: {field}") };
                eprintln!("scalebarrow-wirehost: line {count}{place} {why}");
                std::process::exit(2);
            }
        }
        output.write_all(b"\n")?;
        output.flush()?;
    }
    Ok(())
}
