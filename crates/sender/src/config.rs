//! The configuration that the platform hands a sender, checked, and handed on to the decision module.

use crate::list::{self, EndpointListUpdate};
use scalebarrow::{RepeatSafety, Sender};
use serde::{Deserialize, Deserializer, de::Error};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use tracing::warn;

/// The configuration, as the platform writes it.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// The sender's name, for the log.
    pub name: String,
    /// Where clients reach it.
    pub listen: SocketAddr,
    /// Where the platform's list is asked for and notices are sent.
    pub discovery: SocketAddr,
    /// Where chance begins.
    #[serde(deserialize_with = "hex")]
    pub seed: u64,
    /// What it may use.
    pub limits: Limits,
    /// The list of endpoints as it was known last.
    #[serde(rename = "known")]
    pub known_list: EndpointListUpdate,
    /// What the decision module is told.
    pub settings: Settings,
}

/// What the process may use.
#[derive(Debug, Deserialize)]
pub struct Limits {
    /// Descriptors.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// Megabytes that the folder may hold.
    pub disk_mb: f64,
    /// Megabytes of memory, where there is a limit.
    pub memory_mb: Option<f64>,
}

/// What the decision module is told.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    caps: Caps,
    classes: Vec<EventType>,
    family_info: FamilyInfo,
    #[serde(default)]
    deductions: Option<Deductions>,
    instances: u64,
    /// The zone that this sender runs in.
    #[serde(default)]
    locality: Option<String>,
    me: u64,
    #[serde(default)]
    membership_mode: Option<Membership>,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    orgs: Vec<Customer>,
    #[serde(default)]
    over_share_worth: Option<f64>,
    #[serde(default)]
    report: Report,
    rules: Rules,
    #[serde(default)]
    weights: Option<Weights>,
    #[serde(default)]
    zones: Vec<String>,
}

/// What the list tells beside an endpoint as its rate.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Weights {
    /// Nothing: what stands there says nothing of the destination.
    None,
    Nominal,
    Rough,
    Live,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Deductions {
    cross_zone: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Caps {
    cancelling: bool,
    conn_idle_ms: Option<f64>,
    connect_timeout_ms: Option<f64>,
    max_attempts: u32,
    max_retry_after_ms: Option<f64>,
    open_cap: usize,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EventType {
    name: String,
    aim_ms: f64,
    deadline_ms: f64,
    worth: Option<f64>,
    late_value: Option<f64>,
    effect: RepeatEffect,
    group: Option<String>,
    repeat_window_ms: Option<f64>,
    #[serde(default)]
    fifo_by_key: bool,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RepeatEffect {
    Free,
    Guarded,
    SingleShot,
}

#[derive(Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Membership {
    Push,
    Ask,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct FamilyInfo {
    #[serde(default)]
    bundle_max: Vec<usize>,
    decay: Option<String>,
    #[serde(default)]
    routes_apart: Vec<bool>,
    slots: usize,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Customer {
    name: String,
    quota_per_s: Option<f64>,
}

#[derive(Debug, Default, Deserialize)]
struct Report {
    #[serde(default)]
    how: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    ask_within_ms: Option<f64>,
    cold_from: Option<f64>,
    cold_ms: Option<f64>,
    fall_multiple: Option<f64>,
    tip_after_ms: Option<f64>,
    key_rest_ms: Option<f64>,
}

impl Limits {
    /// What the folder may hold, in bytes.
    pub fn disk_bytes(&self) -> usize {
        (self.disk_mb * 1e6) as usize
    }
}

fn hex<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let text = String::deserialize(from)?;
    u64::from_str_radix(&text, 16).map_err(|_| D::Error::custom("must be up to 16 hex digits"))
}

/// What stands for a time or rate without bound: its square is still a number.
const UNBOUNDED: f64 = 1e150;

fn seconds(ms: Option<f64>, or: f64) -> f64 {
    ms.map_or(or, |ms| ms / 1e3)
}

impl Config {
    /// Reads and checks a file; the error names the file or the field.
    pub fn read(path: &Path) -> Result<Config, String> {
        let bytes = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::decode(&bytes)
    }

    /// Reads it again while it serves. Where it listens and what it is called cannot change then.
    pub fn reload(&self, path: &Path) -> Result<Config, String> {
        let new = Self::read(path)?;
        let weights = new.settings.weights == self.settings.weights;
        for (field, same) in [
            ("listen", new.listen == self.listen),
            ("name", new.name == self.name),
            ("settings.weights", weights),
            ("settings.deductions.cross-zone", new.crossing_cost() == self.crossing_cost()),
        ] {
            if !same {
                warn!(code = "config-later", field, "a changed value counts from the next start");
            }
        }
        Ok(new)
    }

    /// Reads and checks the text of a configuration; the error names the field.
    pub fn decode(bytes: &[u8]) -> Result<Config, String> {
        let mut from = serde_json::Deserializer::from_slice(bytes);
        let config: Config = serde_path_to_error::deserialize(&mut from)
            .map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
        from.end().map_err(|e| format!("after the end: {e}"))?;
        config.check().map_err(|(field, why)| format!("{field}: {why}"))?;
        Ok(config)
    }

    fn check(&self) -> Result<(), (String, &'static str)> {
        let s = &self.settings;
        let at = |field: &str, ok: bool, why| if ok { Ok(()) } else { Err((field.to_owned(), why)) };
        at("limits.sockets", self.limits.max_descriptors >= 64, "must be 64 at least")?;
        at("limits.disk_mb", self.limits.disk_mb >= 0.25, "must be 0.25 at least")?;
        at("limits.memory_mb", self.limits.memory_mb.is_none_or(|m| m >= 32.0), "must be 32 at least")?;
        at("settings.instances", s.instances > 0, "must be above zero")?;
        at("settings.classes", !s.classes.is_empty(), "names no event type")?;
        at("settings.family-info.slots", s.family_info.slots > 0, "must be above zero")?;
        at("settings.caps.open-cap", s.caps.open_cap > 0, "must be above zero")?;
        at("settings.caps.max-attempts", s.caps.max_attempts > 0, "must be above zero")?;
        let field = |i: usize, name: &str| format!("settings.classes[{i}].{name}");
        for (i, c) in s.classes.iter().enumerate() {
            at(&field(i, "deadline-ms"), c.deadline_ms > 0.0, "must be above zero")?;
            let name = !c.name.is_empty() && !c.name.contains('/') && c.name != "ready";
            at(&field(i, "name"), name, "cannot be the first part of a path")?;
            for (name, value) in [
                ("aim-ms", Some(c.aim_ms)),
                ("worth", c.worth),
                ("late-value", c.late_value),
                ("repeat-window-ms", c.repeat_window_ms),
            ] {
                at(&field(i, name), value.is_none_or(|v| v >= 0.0), "is below zero")?;
            }
        }
        for (name, value) in [
            ("caps.conn-idle-ms", s.caps.conn_idle_ms),
            ("caps.connect-timeout-ms", s.caps.connect_timeout_ms),
            ("caps.max-retry-after-ms", s.caps.max_retry_after_ms),
            ("deductions.cross-zone", s.deductions.as_ref().and_then(|d| d.cross_zone)),
            ("over-share-worth", s.over_share_worth),
            ("rules.ask-within-ms", s.rules.ask_within_ms),
            ("rules.cold-from", s.rules.cold_from),
            ("rules.cold-ms", s.rules.cold_ms),
            ("rules.fall-multiple", s.rules.fall_multiple),
            ("rules.tip-after-ms", s.rules.tip_after_ms),
            ("rules.key-rest-ms", s.rules.key_rest_ms),
        ] {
            at(&format!("settings.{name}"), value.is_none_or(|v| v >= 0.0), "is below zero")?;
        }
        // Ways are priced, but from where is not told: the sender would take all of them for crossings.
        let own = s.locality.as_ref().is_some_and(|own| s.zones.contains(own));
        at("settings.locality", self.crossing_cost() == 0.0 || own, "is none of the zones")?;
        Ok(())
    }

    /// The module with all its settings, at clock time `now`.
    pub fn create_sender(&self, now: f64) -> Sender {
        let mut sender = Sender::new(now, self.seed, self.settings.me, self.settings.instances);
        self.apply_to(&mut sender);
        sender
    }

    /// Tells the module the settings, at the start or when they were read again.
    pub fn apply_to(&self, sender: &mut Sender) {
        let s = &self.settings;
        let halves = s.family_info.decay.as_deref() == Some("by_half");
        for c in &s.classes {
            let (target, ttl) = (c.aim_ms / 1e3, c.deadline_ms / 1e3);
            let (value, late) = (c.worth.unwrap_or(1.0), c.late_value.unwrap_or(0.0));
            sender.set_event_type(&c.name, target, ttl, value, late, halves);
            let effect = match c.effect {
                RepeatEffect::Free => RepeatSafety::Idempotent,
                RepeatEffect::Guarded => RepeatSafety::Tokened,
                RepeatEffect::SingleShot => RepeatSafety::AtMostOnce,
            };
            let known_by_all = c.group.as_deref() == Some("all");
            sender.set_repeat_safety(
                &c.name,
                effect,
                seconds(c.repeat_window_ms, 0.0),
                known_by_all,
                c.fifo_by_key,
            );
        }
        for (i, kind) in s.models.iter().enumerate() {
            let batch = s.family_info.bundle_max.get(i).copied().unwrap_or(1);
            let apart = s.family_info.routes_apart.get(i).copied().unwrap_or(false);
            sender.set_destination_kind(kind, batch, apart);
        }
        for zone in &s.zones {
            let own = s.locality.as_ref() == Some(zone);
            sender.set_zone_cost(zone, if own { 0.0 } else { self.crossing_cost() });
        }
        for customer in &s.orgs {
            let quota = customer.quota_per_s.unwrap_or(UNBOUNDED);
            sender.set_customer(&customer.name, quota, s.over_share_worth.unwrap_or(1.0));
        }
        sender.set_limits(s.family_info.slots, s.caps.open_cap, s.caps.max_attempts, s.caps.cancelling);
        if s.caps.retry_after {
            sender.set_max_retry_after(seconds(s.caps.max_retry_after_ms, 0.0));
        }
        sender.set_idle_timeout(seconds(s.caps.conn_idle_ms, UNBOUNDED));
        sender.set_list_watch(
            self.pulls_list(),
            seconds(s.rules.ask_within_ms, 10.0),
            list::MAX_PULL_PAUSE_SECS,
        );
        let (from, warm) = (s.rules.cold_from.unwrap_or(1.0), seconds(s.rules.cold_ms, 0.0));
        let multiple = s.rules.fall_multiple.unwrap_or(1e9);
        sender.set_cold_start(from, warm, multiple, seconds(s.rules.tip_after_ms, 1.0));
        sender.set_key_cooldown(seconds(s.rules.key_rest_ms, 0.0));
    }

    /// Calls out at once and webhooks held, at most, and the number of senders: for the log.
    pub fn capacity(&self) -> (usize, usize, u64) {
        (self.settings.family_info.slots, self.settings.caps.open_cap, self.settings.instances)
    }

    /// The list of endpoints comes only when it is asked for.
    pub fn pulls_list(&self) -> bool {
        self.settings.membership_mode == Some(Membership::Ask)
    }

    /// What a call to another zone costs.
    fn crossing_cost(&self) -> f64 {
        self.settings.deductions.as_ref().and_then(|d| d.cross_zone).unwrap_or(0.0)
    }

    /// The list tells what destinations take; where it is not said what it tells, it does.
    pub fn list_has_rates(&self) -> bool {
        self.settings.weights != Some(Weights::None)
    }

    /// Answers of endpoints carry reports.
    pub fn responses_carry_reports(&self) -> bool {
        self.settings.report.how == "answers"
    }

    /// The names of the event types.
    pub fn event_types(&self) -> BTreeSet<String> {
        self.settings.classes.iter().map(|c| c.name.clone()).collect()
    }

    /// Webhooks of an event type with one order key go one at a time.
    pub fn is_ordered(&self, event_type: &str) -> bool {
        self.settings.classes.iter().any(|c| c.name == event_type && c.fifo_by_key)
    }

    /// Webhooks in one call at most, for a kind of destination.
    pub fn max_batch(&self, kind: &str) -> usize {
        let at = self.settings.models.iter().position(|m| m == kind);
        at.and_then(|i| self.settings.family_info.bundle_max.get(i)).map_or(1, |b| (*b).max(1))
    }

    /// How long an unused connection to an endpoint stays open, and how long one may take to come up.
    pub fn connection_timeouts_secs(&self) -> (f64, f64) {
        let caps = &self.settings.caps;
        // Without a setting, as long as common systems wait for an answer to the first packet.
        (seconds(caps.conn_idle_ms, UNBOUNDED), seconds(caps.connect_timeout_ms, 10.0))
    }
}
