//! Hosts many isolated senders for a simulator. For each line on standard input, a JSON message with the
//! events of a moment, it writes one with the resulting actions. It turns fields into calls, milliseconds
//! into seconds and actions into messages, and makes no decisions.

mod settings;

use scalebarrow::{ActionSink, ListUpdate, ListedEndpoint, Outcome, Sender};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Why a line is invalid: the event and the field (empty if the line as a whole is meant), and what is wrong
/// with it.
pub(crate) type InputError = (String, String, &'static str);

/// A required field. `event` is only for the error, here and in the functions below.
pub(crate) fn field<'a>(event: &str, object: &'a Value, name: &str) -> Result<&'a Value, InputError> {
    match object.get(name) {
        Some(value) if !value.is_null() => Ok(value),
        _ => Err((event.into(), name.into(), "is missing")),
    }
}

/// A required number.
pub(crate) fn number(event: &str, object: &Value, name: &str) -> Result<f64, InputError> {
    let value = field(event, object, name)?.as_f64().ok_or((event.into(), name.into(), "is not a number"))?;
    if value.abs() > 1e15 { Err((event.into(), name.into(), "is out of range")) } else { Ok(value) }
}

/// A required number that is not negative.
pub(crate) fn non_negative(event: &str, object: &Value, name: &str) -> Result<f64, InputError> {
    let value = number(event, object, name)?;
    if value < 0.0 { Err((event.into(), name.into(), "is negative")) } else { Ok(value) }
}

/// A required integer that is not negative.
pub(crate) fn whole_number(event: &str, object: &Value, name: &str) -> Result<u64, InputError> {
    field(event, object, name)?.as_u64().ok_or((event.into(), name.into(), "is not a whole number"))
}

/// A required string.
pub(crate) fn text<'a>(event: &str, object: &'a Value, name: &str) -> Result<&'a str, InputError> {
    field(event, object, name)?.as_str().ok_or((event.into(), name.into(), "is not a string"))
}

/// A required array.
pub(crate) fn array<'a>(event: &str, object: &'a Value, name: &str) -> Result<&'a Vec<Value>, InputError> {
    field(event, object, name)?.as_array().ok_or((event.into(), name.into(), "is not an array"))
}

/// An optional boolean, false if absent or null.
pub(crate) fn flag(event: &str, object: &Value, name: &str) -> Result<bool, InputError> {
    match object.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(value) => value.as_bool().ok_or((event.into(), name.into(), "is not a boolean")),
    }
}

/// An optional string; absent, null and 0 all mean none.
pub(crate) fn optional_text<'a>(
    event: &str, object: &'a Value, name: &str,
) -> Result<Option<&'a str>, InputError> {
    match object.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) if value.as_f64() == Some(0.0) => Ok(None),
        Some(_) => text(event, object, name).map(Some),
    }
}

/// An optional number that is not negative, with a default if absent or null.
pub(crate) fn number_or(event: &str, object: &Value, name: &str, default: f64) -> Result<f64, InputError> {
    if object.get(name).is_none_or(Value::is_null) { Ok(default) } else { non_negative(event, object, name) }
}

/// The actions of one instance in one reply.
struct Actions(Vec<Value>);

impl ActionSink for Actions {
    fn start_attempt(&mut self, webhook_id: u64, endpoint: &str, give_up_at: f64) {
        self.0.push(
            json!({"kind": "Assign", "ref": webhook_id, "receiver": endpoint, "stop-at-ms": give_up_at * 1e3}),
        );
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

/// A sender, and how its messages are to be read.
struct Instance {
    sender: Sender,
    /// Positions in the telemetry of an outcome: of the remaining share of the rate limit, and of the limit
    /// in calls per second.
    limit_report: (Option<usize>, Option<usize>),
    /// Whether the endpoint list contains rates; if not, the field has another meaning and is ignored.
    lists_rates: bool,
}

/// All instances, and the endpoint lists that were received, by number.
#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    lists: BTreeMap<u64, Vec<Value>>,
}

impl Host {
    /// Processes a line with the events of several instances and returns the reply.
    fn batch(&mut self, line: &str) -> Result<Value, InputError> {
        let whole_line = |reason| (String::new(), String::new(), reason);
        let batch: Value = serde_json::from_str(line).map_err(|_| whole_line("is not JSON"))?;
        if !batch.is_object() {
            return Err(whole_line("is not an object"));
        }
        let now = number("batch", &batch, "moment-ms")? / 1e3;
        let mut replies = Vec::new();
        for group in array("batch", &batch, "senders")? {
            let id = text("batch", group, "i")?;
            let mut actions = Actions(Vec::new());
            for event in array("batch", group, "inbox")? {
                self.event(now, id, event, &mut actions)?;
            }
            if !actions.0.is_empty() {
                replies.push(json!({"i": id, "out": actions.0}));
            }
        }
        Ok(json!({"senders": replies}))
    }

    /// Processes an event of an instance, which may create or remove the instance.
    fn event(&mut self, now: f64, id: &str, event: &Value, actions: &mut Actions) -> Result<(), InputError> {
        let kind = text("event", event, "kind")?;
        match kind {
            "Ledger" => {
                self.lists
                    .insert(whole_number(kind, event, "buffer")?, array(kind, event, "rows-in")?.clone());
                return Ok(());
            }
            "OpenInstance" => {
                let sender =
                    settings::open(now, whole_number(kind, event, "salt")?, field(kind, event, "facts")?)?;
                let fields = event["facts"]["report"]["fields"].as_array().cloned().unwrap_or_default();
                let position = |name: &str| fields.iter().position(|field| field == name);
                let limit_report = (position("x0"), position("x1"));
                let lists_rates = optional_text(kind, &event["facts"], "weights")? != Some("none");
                self.instances.insert(id.into(), Instance { sender, limit_report, lists_rates });
                return Ok(());
            }
            "Teardown" => {
                self.instances.remove(id);
                return Ok(());
            }
            "Topology" | "Ask" | "ReportBack" | "Vanished" | "Reminder" => {}
            // Events that no decision needs, and unknown ones.
            _ => return Ok(()),
        }
        let Some(instance) = self.instances.get_mut(id) else {
            return Err((kind.into(), "i".into(), "names an instance that is not open"));
        };
        let lists = &self.lists;
        let decided = catch_unwind(AssertUnwindSafe(|| instance.event(now, kind, event, lists, actions)));
        decided.unwrap_or_else(|_| {
            actions
                .0
                .push(json!({"kind": "InternalError", "body-text": format!("a decision failed on {kind}")}));
            Ok(())
        })
    }
}

impl Instance {
    /// Passes an event to the sender.
    fn event(
        &mut self, now: f64, kind: &str, event: &Value, lists: &BTreeMap<u64, Vec<Value>>,
        actions: &mut Actions,
    ) -> Result<(), InputError> {
        let sender = &mut self.sender;
        match kind {
            "Topology" => {
                let update = match text(kind, event, "mode")? {
                    "changes" => ListUpdate::Changes,
                    "all" => ListUpdate::Whole,
                    "remembered" => ListUpdate::Remembered,
                    "refused" => ListUpdate::Refused,
                    _ => return Err((kind.into(), "mode".into(), "is not a known mode")),
                };
                let mut entries = Vec::new();
                if update != ListUpdate::Refused {
                    let rows = lists.get(&whole_number(kind, event, "buffer")?);
                    let rows =
                        rows.ok_or((kind.into(), "buffer".into(), "names a list that was never received"))?;
                    for row in rows {
                        entries.push(ListedEndpoint {
                            endpoint: text("Ledger", row, "receiver")?,
                            zone: text("Ledger", row, "locality")?,
                            destination_kind: text("Ledger", row, "generation-hw")?,
                            destination: whole_number("Ledger", row, "owner-no")?,
                            ready: text("Ledger", row, "state")? == "Ready",
                            rate_limit: if self.lists_rates {
                                number_or("Ledger", row, "units", 0.0)?
                            } else {
                                0.0
                            },
                            started_at: number_or("Ledger", row, "launched-ms", 0.0)? / 1e3,
                        });
                    }
                }
                sender.update_list(now, update, &entries, actions);
            }
            "Ask" => sender.accept(
                now,
                whole_number(kind, event, "ref")?,
                text(kind, event, "priority")?,
                whole_number(kind, event, "bound-for")?,
                optional_text(kind, event, "key")?,
                optional_text(kind, event, "account")?,
                number(kind, event, "remaining-ms")? / 1e3,
                actions,
            ),
            "ReportBack" => {
                let wait_ms = number_or(kind, event, "hold-ms", 0.0)?;
                let outcome = match text(kind, event, "reason")? {
                    "Ok" => Outcome::Delivered,
                    "Failed" => Outcome::Failed,
                    "QueueFull" => Outcome::Full(wait_ms / 1e3),
                    "TimedOut" => Outcome::TimedOut,
                    "ConnectError" => Outcome::ConnectFailed,
                    "ResetByPeer" => Outcome::Reset,
                    "Canceled" => Outcome::Cancelled,
                    // Here the field holds a flag: 1 if no slot was free.
                    "Ignored" => Outcome::Moot(wait_ms == 1.0),
                    _ => return Err((kind.into(), "reason".into(), "is not a known outcome")),
                };
                let telemetry = event.get("telemetry").and_then(Value::as_array);
                let value = |position: Option<usize>| {
                    telemetry.and_then(|values| values.get(position?)).and_then(Value::as_f64)
                };
                let limit_report = value(self.limit_report.0).zip(value(self.limit_report.1));
                let duration = number_or(kind, event, "delay-seen-ms", 0.0)? / 1e3;
                let (id, is_final) = (whole_number(kind, event, "ref")?, flag(kind, event, "final")?);
                sender.attempt_ended(
                    now,
                    id,
                    text(kind, event, "receiver")?,
                    outcome,
                    duration,
                    is_final,
                    limit_report,
                    actions,
                );
            }
            "Vanished" => sender.withdraw(now, whole_number(kind, event, "ref")?, actions),
            _ => sender.wake(now, whole_number(kind, event, "handle")?, actions),
        }
        Ok(())
    }
}

fn main() -> io::Result<()> {
    // A panic in a decision becomes an `InternalError` in the reply instead of being printed.
    std::panic::set_hook(Box::new(|_| {}));
    let mut host = Host::default();
    let (mut input, mut output) = (io::stdin().lock(), io::BufWriter::new(io::stdout().lock()));
    let mut line = Vec::new();
    for line_number in 1_u64.. {
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
            Err((event, field, reason)) => {
                let place = if event.is_empty() { String::new() } else { format!(": {event}: {field}") };
                eprintln!("scalebarrow-wirehost: line {line_number}{place} {reason}");
                std::process::exit(2);
            }
        }
        output.write_all(b"\n")?;
        output.flush()?;
    }
    Ok(())
}
