//! Creates a sender from the settings in the message that opens an instance.

use crate::{InputError, array, field, flag, non_negative, number_or, optional_text, text, whole_number};
use scalebarrow::{RepeatSafety, Sender};
use serde_json::Value;

const EVENT: &str = "OpenInstance";

/// An optional array, empty if absent or null.
fn optional_array<'a>(facts: &'a Value, name: &str) -> Result<&'a [Value], InputError> {
    if facts.get(name).is_none_or(Value::is_null) {
        Ok(&[])
    } else {
        array(EVENT, facts, name).map(Vec::as_slice)
    }
}

/// An optional duration in milliseconds, converted to seconds; the default is in seconds.
fn seconds_or(object: &Value, name: &str, default: f64) -> Result<f64, InputError> {
    Ok(number_or(EVENT, object, name, default * 1e3)? / 1e3)
}

/// A required number above zero.
fn above_zero(object: &Value, name: &str) -> Result<f64, InputError> {
    let value = non_negative(EVENT, object, name)?;
    if value == 0.0 { Err((EVENT.into(), name.into(), "must be above zero")) } else { Ok(value) }
}

/// Creates a sender and passes all settings to it.
pub fn open(now: f64, seed: u64, facts: &Value) -> Result<Sender, InputError> {
    let (caps, rules) = (field(EVENT, facts, "caps")?, field(EVENT, facts, "rules")?);
    let info = field(EVENT, facts, "family-info")?;
    let mut sender =
        Sender::new(now, seed, whole_number(EVENT, facts, "me")?, above_zero(facts, "instances")? as u64);

    let classes = array(EVENT, facts, "classes")?;
    if classes.is_empty() {
        return Err((EVENT.into(), "classes".into(), "names no event type"));
    }
    let value_halves = optional_text(EVENT, info, "decay")? == Some("by_half");
    for class in classes {
        let name = text(EVENT, class, "name")?;
        let (target_latency, ttl) =
            (non_negative(EVENT, class, "aim-ms")? / 1e3, above_zero(class, "deadline-ms")? / 1e3);
        let (value, late_value_share) =
            (number_or(EVENT, class, "worth", 1.0)?, number_or(EVENT, class, "late-value", 0.0)?);
        sender.set_event_type(name, target_latency, ttl, value, late_value_share, value_halves);
        let repeat_safety = match text(EVENT, class, "effect")? {
            "free" => RepeatSafety::Idempotent,
            "guarded" => RepeatSafety::Tokened,
            "single_shot" => RepeatSafety::AtMostOnce,
            _ => return Err((EVENT.into(), "effect".into(), "is not a known effect")),
        };
        let token_shared_by_zones = optional_text(EVENT, class, "group")? == Some("all");
        let token_lifetime = seconds_or(class, "repeat-window-ms", 0.0)?;
        sender.set_repeat_safety(
            name,
            repeat_safety,
            token_lifetime,
            token_shared_by_zones,
            flag(EVENT, class, "fifo-by-key")?,
        );
    }

    let (batches, independent) = (optional_array(info, "bundle-max")?, optional_array(info, "routes-apart")?);
    for (index, kind) in optional_array(facts, "models")?.iter().enumerate() {
        let name = kind.as_str().ok_or((
            EVENT.into(),
            "models".into(),
            "contains something that is not a string",
        ))?;
        let max_batch = batches.get(index).and_then(Value::as_u64).unwrap_or(1);
        sender.set_destination_kind(
            name,
            max_batch as usize,
            independent.get(index).and_then(Value::as_bool).unwrap_or(false),
        );
    }
    let cross_zone_cost = match facts.get("deductions") {
        Some(deductions) if !deductions.is_null() => number_or(EVENT, deductions, "cross-zone", 0.0)?,
        _ => 0.0,
    };
    let own_zone = optional_text(EVENT, facts, "locality")?;
    for zone in optional_array(facts, "zones")? {
        let name =
            zone.as_str().ok_or((EVENT.into(), "zones".into(), "contains something that is not a string"))?;
        sender.set_zone_cost(name, if own_zone == Some(name) { 0.0 } else { cross_zone_cost });
    }
    let over_quota_weight = number_or(EVENT, facts, "over-share-worth", 1.0)?;
    for customer in optional_array(facts, "orgs")? {
        // The root of the largest number stands for no limit; it stays finite in products.
        let quota = number_or(EVENT, customer, "quota-per-s", f64::MAX.sqrt())?;
        sender.set_customer(text(EVENT, customer, "name")?, quota, over_quota_weight);
    }

    let (slots, max_pending) = (above_zero(info, "slots")?, above_zero(caps, "open-cap")?);
    let max_attempts = above_zero(caps, "max-attempts")?;
    sender.set_limits(
        slots as usize,
        max_pending as usize,
        max_attempts as u32,
        flag(EVENT, caps, "cancelling")?,
    );
    if flag(EVENT, caps, "retry-after")? {
        sender.set_max_retry_after(seconds_or(caps, "max-retry-after-ms", 0.0)?);
    }
    sender.set_idle_timeout(seconds_or(caps, "conn-idle-ms", f64::MAX.sqrt())?);
    let list_watch_required = optional_text(EVENT, facts, "membership-mode")? == Some("ask");
    // The wire allows a pause of four intervals after a failed request.
    let max_interval = seconds_or(rules, "ask-within-ms", 10.0)?;
    sender.set_list_watch(list_watch_required, max_interval, 4.0 * max_interval);
    let overload_multiple = number_or(EVENT, rules, "fall-multiple", 1e9)?;
    let (initial_share, warm_up) =
        (number_or(EVENT, rules, "cold-from", 1.0)?, seconds_or(rules, "cold-ms", 0.0)?);
    let overload_span = seconds_or(rules, "tip-after-ms", 1000.0)?;
    sender.set_cold_start(initial_share, warm_up, overload_multiple, overload_span);
    sender.set_key_cooldown(seconds_or(rules, "key-rest-ms", 0.0)?);
    Ok(sender)
}
