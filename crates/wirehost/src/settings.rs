//! Hands the settings of the first message to a sender, field by field.

use crate::{Fault, field, flag, list, number_if, positive, text, text_if, whole};
use scalebarrow::{RepeatSafety, Sender};
use serde_json::Value;

const EVENT: &str = "OpenInstance";

/// Settings that may be left out as a whole.
fn part<'a>(facts: &'a Value, name: &str) -> Result<&'a [Value], Fault> {
    if facts.get(name).is_none_or(Value::is_null) {
        Ok(&[])
    } else {
        list(EVENT, facts, name).map(Vec::as_slice)
    }
}

fn seconds(at: &Value, name: &str, or: f64) -> Result<f64, Fault> {
    Ok(number_if(EVENT, at, name, or * 1e3)? / 1e3)
}

fn above_zero(at: &Value, name: &str) -> Result<f64, Fault> {
    let v = positive(EVENT, at, name)?;
    if v == 0.0 { Err((EVENT.into(), name.into(), "must be above zero")) } else { Ok(v) }
}

pub fn open(now: f64, seed: u64, facts: &Value) -> Result<Sender, Fault> {
    let (caps, rules) = (field(EVENT, facts, "caps")?, field(EVENT, facts, "rules")?);
    let info = field(EVENT, facts, "family-info")?;
    let mut sender =
        Sender::new(now, seed, whole(EVENT, facts, "me")?, above_zero(facts, "instances")? as u64);

    let classes = list(EVENT, facts, "classes")?;
    if classes.is_empty() {
        return Err((EVENT.into(), "classes".into(), "names no event type"));
    }
    let halves = text_if(EVENT, info, "decay")? == Some("by_half");
    for c in classes {
        let name = text(EVENT, c, "name")?;
        let (target, ttl) = (positive(EVENT, c, "aim-ms")? / 1e3, above_zero(c, "deadline-ms")? / 1e3);
        let (value, late) = (number_if(EVENT, c, "worth", 1.0)?, number_if(EVENT, c, "late-value", 0.0)?);
        sender.set_event_type(name, target, ttl, value, late, halves);
        let effect = match text(EVENT, c, "effect")? {
            "free" => RepeatSafety::Idempotent,
            "guarded" => RepeatSafety::Tokened,
            "single_shot" => RepeatSafety::AtMostOnce,
            _ => return Err((EVENT.into(), "effect".into(), "is not a known effect")),
        };
        let known_by_all = text_if(EVENT, c, "group")? == Some("all");
        let repeat_window = seconds(c, "repeat-window-ms", 0.0)?;
        sender.set_repeat_safety(name, effect, repeat_window, known_by_all, flag(EVENT, c, "fifo-by-key")?);
    }

    let (batches, apart) = (part(info, "bundle-max")?, part(info, "routes-apart")?);
    for (i, kind) in part(facts, "models")?.iter().enumerate() {
        let name =
            kind.as_str().ok_or((EVENT.into(), "models".into(), "holds something that is not a text"))?;
        let batch = batches.get(i).and_then(Value::as_u64).unwrap_or(1);
        sender.set_destination_kind(
            name,
            batch as usize,
            apart.get(i).and_then(Value::as_bool).unwrap_or(false),
        );
    }
    let way = match facts.get("deductions") {
        Some(prices) if !prices.is_null() => number_if(EVENT, prices, "cross-zone", 0.0)?,
        _ => 0.0,
    };
    let own = text_if(EVENT, facts, "locality")?;
    for zone in part(facts, "zones")? {
        let name =
            zone.as_str().ok_or((EVENT.into(), "zones".into(), "holds something that is not a text"))?;
        sender.set_zone_cost(name, if own == Some(name) { 0.0 } else { way });
    }
    let over = number_if(EVENT, facts, "over-share-worth", 1.0)?;
    for customer in part(facts, "orgs")? {
        let quota = number_if(EVENT, customer, "quota-per-s", f64::MAX.sqrt())?;
        sender.set_customer(text(EVENT, customer, "name")?, quota, over);
    }

    let (slots, holds) = (above_zero(info, "slots")?, above_zero(caps, "open-cap")?);
    let attempts = above_zero(caps, "max-attempts")?;
    sender.set_limits(slots as usize, holds as usize, attempts as u32, flag(EVENT, caps, "cancelling")?);
    if flag(EVENT, caps, "retry-after")? {
        sender.set_max_retry_after(seconds(caps, "max-retry-after-ms", 0.0)?);
    }
    sender.set_idle_timeout(seconds(caps, "conn-idle-ms", f64::MAX.sqrt())?);
    let ask = text_if(EVENT, facts, "membership-mode")? == Some("ask");
    // The wire allows four times as long after a call that failed.
    let within = seconds(rules, "ask-within-ms", 10.0)?;
    sender.set_list_watch(ask, within, 4.0 * within);
    let multiple = number_if(EVENT, rules, "fall-multiple", 1e9)?;
    let (from, warm) = (number_if(EVENT, rules, "cold-from", 1.0)?, seconds(rules, "cold-ms", 0.0)?);
    let span = seconds(rules, "tip-after-ms", 1000.0)?;
    sender.set_cold_start(from, warm, multiple, span);
    sender.set_key_cooldown(seconds(rules, "key-rest-ms", 0.0)?);
    Ok(sender)
}
