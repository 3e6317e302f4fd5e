//! The configuration that the platform provides to a sender: reading it, checking it, and applying it to the
//! decision module.

use crate::list::{self, EndpointListUpdate};
use scalebarrow::{RepeatSafety, Sender};
use serde::{Deserialize, Deserializer, de::Error};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use tracing::warn;

/// The configuration in the format of the platform.
#[derive(Debug, Deserialize)]
pub struct Config {
    /// The sender's name, for the log.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of the discovery service, which has the endpoint list and receives notices.
    pub discovery: SocketAddr,
    /// The seed of the random number generator.
    #[serde(deserialize_with = "deserialize_hex")]
    pub seed: u64,
    /// Resource limits of the process.
    pub limits: Limits,
    /// The endpoint list as last known.
    #[serde(rename = "known")]
    pub known_list: EndpointListUpdate,
    /// The settings of the decision module.
    pub settings: Settings,
}

/// Resource limits of the process.
#[derive(Debug, Deserialize)]
pub struct Limits {
    /// The maximum number of descriptors.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// The maximum size of the state directory, in megabytes.
    pub disk_mb: f64,
    /// The memory limit in megabytes, if there is one.
    pub memory_mb: Option<f64>,
}

/// The settings of the decision module.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Settings {
    #[serde(rename = "caps")]
    call_limits: CallLimits,
    #[serde(rename = "classes")]
    event_types: Vec<EventType>,
    #[serde(rename = "family-info")]
    delivery: DeliverySettings,
    #[serde(rename = "deductions", default)]
    route_costs: Option<RouteCosts>,
    /// The number of senders.
    #[serde(rename = "instances")]
    sender_count: u64,
    /// The zone that this sender runs in.
    #[serde(rename = "locality", default)]
    own_zone: Option<String>,
    /// The number of this sender among all senders.
    #[serde(rename = "me")]
    sender_index: u64,
    #[serde(rename = "membership-mode", default)]
    list_mode: Option<ListMode>,
    #[serde(rename = "models", default)]
    destination_kinds: Vec<String>,
    #[serde(rename = "orgs", default)]
    customers: Vec<Customer>,
    /// The weight of the value of webhooks beyond their customer's quota.
    #[serde(rename = "over-share-worth", default)]
    over_quota_weight: Option<f64>,
    #[serde(default)]
    report: Report,
    #[serde(rename = "rules")]
    timing: TimingRules,
    #[serde(rename = "weights", default)]
    listed_rates: Option<ListedRates>,
    #[serde(default)]
    zones: Vec<String>,
}

/// What the rate of an endpoint in the list means. With all values but `None` it is used as the rate limit of
/// the endpoint's destination.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ListedRates {
    /// Nothing: the value is not related to what the destination can handle.
    None,
    Nominal,
    Rough,
    Live,
}

/// The costs of routes to endpoints. They have no unit: only their order matters.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RouteCosts {
    /// The cost of a call to another zone.
    cross_zone: Option<f64>,
}

/// Limits for webhooks, attempts and connections.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct CallLimits {
    #[serde(rename = "cancelling")]
    may_cancel: bool,
    /// How long endpoints keep an idle connection open.
    #[serde(rename = "conn-idle-ms")]
    connection_idle_ms: Option<f64>,
    connect_timeout_ms: Option<f64>,
    max_attempts: u32,
    max_retry_after_ms: Option<f64>,
    /// Open webhooks (accepted ones without a final answer) at most.
    #[serde(rename = "open-cap")]
    max_open: usize,
    /// Clients heed a `Retry-After` header.
    #[serde(rename = "retry-after", default)]
    heeds_retry_after: bool,
}

/// An event type, with its target latency, TTL and value.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EventType {
    name: String,
    #[serde(rename = "aim-ms")]
    target_latency_ms: f64,
    #[serde(rename = "deadline-ms")]
    ttl_ms: f64,
    #[serde(rename = "worth")]
    value: Option<f64>,
    /// The share of the value that is left at the end of the TTL.
    #[serde(rename = "late-value")]
    late_value_share: Option<f64>,
    #[serde(rename = "effect")]
    repeat_effect: RepeatEffect,
    /// `all` if all endpoints of a destination recognize a repeat, otherwise those of one zone do.
    #[serde(rename = "group")]
    token_scope: Option<String>,
    /// How long endpoints recognize a repeat.
    #[serde(rename = "repeat-window-ms")]
    token_lifetime_ms: Option<f64>,
    #[serde(rename = "fifo-by-key", default)]
    ordered_by_key: bool,
}

/// The effect of delivering a webhook twice.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RepeatEffect {
    /// None: the webhook is idempotent.
    #[serde(rename = "free")]
    Idempotent,
    /// None while endpoints recognize its idempotency key.
    #[serde(rename = "guarded")]
    Tokened,
    /// It takes effect twice, so it must be delivered at most once.
    #[serde(rename = "single_shot")]
    AtMostOnce,
}

/// How the sender receives the endpoint list.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ListMode {
    /// It is pushed to a local agent.
    Push,
    /// It has to be pulled from the platform.
    #[serde(rename = "ask")]
    Pull,
}

/// How webhooks are delivered to the kinds of destinations.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct DeliverySettings {
    /// The maximum number of webhooks in one call, by the position of the destination kind.
    #[serde(rename = "bundle-max", default)]
    max_batch_sizes: Vec<usize>,
    /// `by_half` if the value of a late webhook halves with each further target latency; otherwise it falls
    /// linearly until the TTL ends.
    #[serde(rename = "decay")]
    value_decay: Option<String>,
    /// Whether the endpoints of a destination are independent (each has rate limits and outages of its own),
    /// by the position of the destination kind.
    #[serde(rename = "routes-apart", default)]
    independent_endpoints: Vec<bool>,
    /// Calls in flight at most.
    slots: usize,
}

/// A customer with its quota of webhooks per second, from all senders together.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Customer {
    name: String,
    quota_per_s: Option<f64>,
}

/// How endpoints report the state of their rate limit.
#[derive(Debug, Default, Deserialize)]
struct Report {
    /// `answers` if reports are part of their responses.
    #[serde(rename = "how", default)]
    channel: String,
}

/// Rules for list requests, cold destinations (just started or back from an outage) and ordering keys.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct TimingRules {
    /// How long a sender may go without requesting the list.
    #[serde(rename = "ask-within-ms")]
    max_list_interval_ms: Option<f64>,
    /// The share of its capacity that a cold destination has at first.
    #[serde(rename = "cold-from")]
    cold_initial_share: Option<f64>,
    /// How long a destination is cold; its capacity grows meanwhile.
    #[serde(rename = "cold-ms")]
    cold_warm_up_ms: Option<f64>,
    /// The multiple of its capacity at which a destination fails.
    #[serde(rename = "fall-multiple")]
    overload_multiple: Option<f64>,
    /// How long such an overload lasts before the destination fails.
    #[serde(rename = "tip-after-ms")]
    overload_span_ms: Option<f64>,
    /// How long an ordering key is paused after an attempt that may still run.
    #[serde(rename = "key-rest-ms")]
    key_cooldown_ms: Option<f64>,
}

impl Limits {
    /// The maximum size of the state directory, in bytes.
    pub fn disk_bytes(&self) -> usize {
        (self.disk_mb * 1e6) as usize
    }
}

/// Reads a number from a string of hex digits.
fn deserialize_hex<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    u64::from_str_radix(&text, 16).map_err(|_| D::Error::custom("must be up to 16 hex digits"))
}

/// Stands for an unlimited time or rate. Its square is still finite.
const UNBOUNDED: f64 = 1e150;

/// Converts milliseconds to seconds; without a value, returns the default in seconds.
fn seconds_or(milliseconds: Option<f64>, default: f64) -> f64 {
    milliseconds.map_or(default, |milliseconds| milliseconds / 1e3)
}

impl Config {
    /// Reads and checks a file; the error names the file or the field.
    pub fn read(path: &Path) -> Result<Config, String> {
        let bytes = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::decode(&bytes)
    }

    /// Reads the file again at run time. Changes of some fields, such as the address and the name, are logged
    /// and take effect only at the next start.
    pub fn reload(&self, path: &Path) -> Result<Config, String> {
        let reloaded = Self::read(path)?;
        let same_listed_rates = reloaded.settings.listed_rates == self.settings.listed_rates;
        for (field, is_unchanged) in [
            ("listen", reloaded.listen == self.listen),
            ("name", reloaded.name == self.name),
            ("settings.weights", same_listed_rates),
            ("settings.deductions.cross-zone", reloaded.cross_zone_cost() == self.cross_zone_cost()),
        ] {
            if !is_unchanged {
                warn!(code = "config-later", field, "the changed value takes effect at the next start");
            }
        }
        Ok(reloaded)
    }

    /// Reads and checks the text of a configuration; the error names the field.
    pub fn decode(bytes: &[u8]) -> Result<Config, String> {
        let mut deserializer = serde_json::Deserializer::from_slice(bytes);
        let config: Config = serde_path_to_error::deserialize(&mut deserializer)
            .map_err(|e| format!("{}: {}", e.path(), e.inner()))?;
        deserializer.end().map_err(|e| format!("trailing data: {e}"))?;
        config.check().map_err(|(field, problem)| format!("{field}: {problem}"))?;
        Ok(config)
    }

    /// Checks the values; the error is the field and what is wrong with it.
    fn check(&self) -> Result<(), (String, &'static str)> {
        let settings = &self.settings;
        let require = |field: &str, is_valid: bool, problem| {
            if is_valid { Ok(()) } else { Err((field.to_owned(), problem)) }
        };
        require("limits.sockets", self.limits.max_descriptors >= 64, "must be at least 64")?;
        require("limits.disk_mb", self.limits.disk_mb >= 0.25, "must be at least 0.25")?;
        require(
            "limits.memory_mb",
            self.limits.memory_mb.is_none_or(|megabytes| megabytes >= 32.0),
            "must be at least 32",
        )?;
        require("settings.instances", settings.sender_count > 0, "must be greater than zero")?;
        require("settings.classes", !settings.event_types.is_empty(), "must name at least one event type")?;
        require("settings.family-info.slots", settings.delivery.slots > 0, "must be greater than zero")?;
        require("settings.caps.open-cap", settings.call_limits.max_open > 0, "must be greater than zero")?;
        require(
            "settings.caps.max-attempts",
            settings.call_limits.max_attempts > 0,
            "must be greater than zero",
        )?;
        let field = |index: usize, name: &str| format!("settings.classes[{index}].{name}");
        for (index, event_type) in settings.event_types.iter().enumerate() {
            require(&field(index, "deadline-ms"), event_type.ttl_ms > 0.0, "must be greater than zero")?;
            let is_path_segment =
                !event_type.name.is_empty() && !event_type.name.contains('/') && event_type.name != "ready";
            require(&field(index, "name"), is_path_segment, "must be a path segment other than `ready`")?;
            for (name, value) in [
                ("aim-ms", Some(event_type.target_latency_ms)),
                ("worth", event_type.value),
                ("late-value", event_type.late_value_share),
                ("repeat-window-ms", event_type.token_lifetime_ms),
            ] {
                require(&field(index, name), value.is_none_or(|value| value >= 0.0), "must not be negative")?;
            }
        }
        for (name, value) in [
            ("caps.conn-idle-ms", settings.call_limits.connection_idle_ms),
            ("caps.connect-timeout-ms", settings.call_limits.connect_timeout_ms),
            ("caps.max-retry-after-ms", settings.call_limits.max_retry_after_ms),
            ("deductions.cross-zone", settings.route_costs.as_ref().and_then(|costs| costs.cross_zone)),
            ("over-share-worth", settings.over_quota_weight),
            ("rules.ask-within-ms", settings.timing.max_list_interval_ms),
            ("rules.cold-from", settings.timing.cold_initial_share),
            ("rules.cold-ms", settings.timing.cold_warm_up_ms),
            ("rules.fall-multiple", settings.timing.overload_multiple),
            ("rules.tip-after-ms", settings.timing.overload_span_ms),
            ("rules.key-rest-ms", settings.timing.key_cooldown_ms),
        ] {
            require(
                &format!("settings.{name}"),
                value.is_none_or(|value| value >= 0.0),
                "must not be negative",
            )?;
        }
        // Calls to other zones have a cost, but the own zone is not among the zones: every call would count
        // as cross-zone.
        let is_listed = settings.own_zone.as_ref().is_some_and(|zone| settings.zones.contains(zone));
        require("settings.locality", self.cross_zone_cost() == 0.0 || is_listed, "must be one of the zones")?;
        Ok(())
    }

    /// Creates the decision module with all its settings, at clock time `now`.
    pub fn create_sender(&self, now: f64) -> Sender {
        let mut sender = Sender::new(now, self.seed, self.settings.sender_index, self.settings.sender_count);
        self.apply_to(&mut sender);
        sender
    }

    /// Applies the settings to the decision module, at the start or after a reload.
    pub fn apply_to(&self, sender: &mut Sender) {
        let settings = &self.settings;
        let value_halves = settings.delivery.value_decay.as_deref() == Some("by_half");
        for event_type in &settings.event_types {
            let (target_latency, ttl) = (event_type.target_latency_ms / 1e3, event_type.ttl_ms / 1e3);
            let (value, late_value_share) =
                (event_type.value.unwrap_or(1.0), event_type.late_value_share.unwrap_or(0.0));
            sender.set_event_type(
                &event_type.name,
                target_latency,
                ttl,
                value,
                late_value_share,
                value_halves,
            );
            let repeat_safety = match event_type.repeat_effect {
                RepeatEffect::Idempotent => RepeatSafety::Idempotent,
                RepeatEffect::Tokened => RepeatSafety::Tokened,
                RepeatEffect::AtMostOnce => RepeatSafety::AtMostOnce,
            };
            let token_shared_by_zones = event_type.token_scope.as_deref() == Some("all");
            sender.set_repeat_safety(
                &event_type.name,
                repeat_safety,
                seconds_or(event_type.token_lifetime_ms, 0.0),
                token_shared_by_zones,
                event_type.ordered_by_key,
            );
        }
        for (index, destination_kind) in settings.destination_kinds.iter().enumerate() {
            let max_batch = settings.delivery.max_batch_sizes.get(index).copied().unwrap_or(1);
            let independent = settings.delivery.independent_endpoints.get(index).copied().unwrap_or(false);
            sender.set_destination_kind(destination_kind, max_batch, independent);
        }
        for zone in &settings.zones {
            let is_own_zone = settings.own_zone.as_ref() == Some(zone);
            sender.set_zone_cost(zone, if is_own_zone { 0.0 } else { self.cross_zone_cost() });
        }
        for customer in &settings.customers {
            let quota = customer.quota_per_s.unwrap_or(UNBOUNDED);
            sender.set_customer(&customer.name, quota, settings.over_quota_weight.unwrap_or(1.0));
        }
        sender.set_limits(
            settings.delivery.slots,
            settings.call_limits.max_open,
            settings.call_limits.max_attempts,
            settings.call_limits.may_cancel,
        );
        if settings.call_limits.heeds_retry_after {
            sender.set_max_retry_after(seconds_or(settings.call_limits.max_retry_after_ms, 0.0));
        }
        sender.set_idle_timeout(seconds_or(settings.call_limits.connection_idle_ms, UNBOUNDED));
        sender.set_list_watch(
            self.pulls_list(),
            seconds_or(settings.timing.max_list_interval_ms, 10.0),
            list::MAX_PULL_PAUSE_SECS,
        );
        let (initial_share, warm_up) = (
            settings.timing.cold_initial_share.unwrap_or(1.0),
            seconds_or(settings.timing.cold_warm_up_ms, 0.0),
        );
        let overload_multiple = settings.timing.overload_multiple.unwrap_or(1e9);
        sender.set_cold_start(
            initial_share,
            warm_up,
            overload_multiple,
            seconds_or(settings.timing.overload_span_ms, 1.0),
        );
        sender.set_key_cooldown(seconds_or(settings.timing.key_cooldown_ms, 0.0));
    }

    /// The maximum numbers of calls in flight and of open webhooks, and the number of senders.
    pub fn capacity(&self) -> (usize, usize, u64) {
        (self.settings.delivery.slots, self.settings.call_limits.max_open, self.settings.sender_count)
    }

    /// True if the endpoint list has to be pulled from the platform, false if it is pushed.
    pub fn pulls_list(&self) -> bool {
        self.settings.list_mode == Some(ListMode::Pull)
    }

    /// The cost of a call to another zone.
    fn cross_zone_cost(&self) -> f64 {
        self.settings.route_costs.as_ref().and_then(|costs| costs.cross_zone).unwrap_or(0.0)
    }

    /// True if the rates in the list are those of the destinations, which is the default.
    pub fn list_has_rates(&self) -> bool {
        self.settings.listed_rates != Some(ListedRates::None)
    }

    /// True if responses of endpoints carry reports on the state of their rate limit.
    pub fn responses_carry_reports(&self) -> bool {
        self.settings.report.channel == "answers"
    }

    /// The names of the event types.
    pub fn event_types(&self) -> BTreeSet<String> {
        self.settings.event_types.iter().map(|event_type| event_type.name.clone()).collect()
    }

    /// True if webhooks of an event type that share an ordering key are delivered one at a time.
    pub fn is_ordered(&self, event_type: &str) -> bool {
        self.settings
            .event_types
            .iter()
            .any(|known_type| known_type.name == event_type && known_type.ordered_by_key)
    }

    /// The maximum number of webhooks in one call to a kind of destination.
    pub fn max_batch(&self, destination_kind: &str) -> usize {
        let position =
            self.settings.destination_kinds.iter().position(|known_kind| known_kind == destination_kind);
        position
            .and_then(|index| self.settings.delivery.max_batch_sizes.get(index))
            .map_or(1, |max_batch| (*max_batch).max(1))
    }

    /// How long an idle connection to an endpoint stays open.
    pub fn connection_idle_secs(&self) -> f64 {
        seconds_or(self.settings.call_limits.connection_idle_ms, UNBOUNDED)
    }

    /// How long opening a connection to an endpoint may take.
    pub fn connect_timeout_secs(&self) -> f64 {
        // The default is how long common systems wait for the response to the first packet.
        seconds_or(self.settings.call_limits.connect_timeout_ms, 10.0)
    }
}
