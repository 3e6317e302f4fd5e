//! The configuration of each sender in a run.

use crate::standins::id::EventType;
use crate::standins::judge::RuleParameters;
use crate::standins::list_service::{Endpoint, ListUpdate};
use serde_json::json;
use std::net::SocketAddr;

/// What differs between senders and between runs.
#[derive(Debug, Clone)]
pub struct SenderSettings {
    /// The number of the sender, from 0 to `sender_count` - 1.
    pub number: u16,
    /// All senders of the run.
    pub sender_count: usize,
    /// Where the sender listens for clients.
    pub listen_address: SocketAddr,
    /// Where this sender, and no other, reaches the list service.
    pub list_address: SocketAddr,
    /// Webhooks that the sender may hold at once.
    pub max_pending: usize,
    /// Calls that the sender may have in flight at once.
    pub slots: usize,
    /// Sockets that the sender may have open.
    pub max_sockets: usize,
    /// The most that the sender's state folder may contain.
    pub disk_limit_mb: f64,
    /// The TTL of webhooks whose client names none.
    pub ttl_secs: f64,
    /// The most attempts for one webhook.
    pub max_attempts: u32,
    /// Whether the endpoint list names the rates that destinations can take.
    pub rates_listed: bool,
    /// Whether the sender requests the endpoint list; otherwise an agent beside the sender is sent it.
    pub pulls_list: bool,
    /// The most webhooks in one call.
    pub max_batch: usize,
}

impl SenderSettings {
    /// The configuration as JSON, as the platform writes it, with the endpoint list that the sender starts
    /// with.
    pub fn encode(&self, rule_parameters: &RuleParameters, endpoints: &[Endpoint]) -> String {
        let millis = |secs: f64| secs * 1e3;
        let class_json = |event_type: EventType| {
            let effect = match event_type {
                EventType::Idempotent | EventType::Ordered => "free",
                EventType::Tokened | EventType::TokenedInZone => "guarded",
                EventType::AtMostOnce => "single_shot",
            };
            json!({
                "name": event_type.name(), "aim-ms": 2000.0, "deadline-ms": millis(self.ttl_secs),
                "effect": effect, "group": if event_type == EventType::TokenedInZone { "zone" } else { "all" }, "late-value": 0.3, "worth": 1.0,
                "repeat-window-ms": millis(rule_parameters.repeat_window_secs),
                "fifo-by-key": event_type == EventType::Ordered,
            })
        };
        let settings = json!({
            "caps": {
                "cancelling": true, "conn-idle-ms": 20_000.0, "connect-timeout-ms": 1000.0,
                "max-attempts": self.max_attempts, "max-retry-after-ms": 2000.0, "open-cap": self.max_pending,
                "retry-after": false,
            },
            "classes": EventType::ALL.map(class_json),
            "family-info": {
                "bundle-max": [self.max_batch], "decay": "by_half", "routes-apart": [false], "slots": self.slots,
            },
            "instances": self.sender_count, "me": self.number,
            "membership-mode": if self.pulls_list { "ask" } else { "push" },
            "models": ["plain"], "orgs": [],
            "rules": {
                "cold-from": rule_parameters.recovery.cold_rate_fraction, "cold-ms": millis(rule_parameters.recovery.warm_up_secs),
                "fall-multiple": rule_parameters.recovery.overload_multiple, "tip-after-ms": millis(rule_parameters.recovery.overload_window_secs),
                "stop-sending-within-ms": millis(rule_parameters.drain_grace_secs),
                "key-rest-ms": millis(rule_parameters.ordering_key_pause_secs), "ask-within-ms": 10_000.0,
            },
            "weights": if self.rates_listed { "nominal" } else { "none" },
        });
        let config = json!({
            "name": format!("n{}", self.number), "listen": self.listen_address, "discovery": self.list_address,
            "seed": format!("{:016x}", 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(u64::from(self.number) + 1)),
            "limits": { "cores": 1.0, "sockets": self.max_sockets, "disk_mb": self.disk_limit_mb },
            "known": ListUpdate { seq: 1, whole: true, hosts: endpoints.iter().collect() },
            "settings": settings,
        });
        config.to_string()
    }
}
