//! The configuration that a run hands each sender.

use crate::standins::id::EventType;
use crate::standins::judge::RuleParameters;
use crate::standins::list_service::{Endpoint, ListUpdate};
use serde_json::json;
use std::net::SocketAddr;

/// What differs between senders and runs.
#[derive(Debug, Clone)]
pub struct SenderSettings {
    /// The sender's place among `instances`.
    pub me: u16,
    pub instances: usize,
    pub listen: SocketAddr,
    /// Where this sender alone reaches the list service.
    pub discovery: SocketAddr,
    /// Webhooks that it may hold.
    pub holds: usize,
    /// Calls out at once.
    pub slots: usize,
    pub sockets: usize,
    pub disk_mb: f64,
    /// Seconds in which a webhook may be delivered, where its client names no other time.
    pub ttl: f64,
    /// Attempts for one webhook at most.
    pub attempts: u32,
    /// The list tells what destinations take.
    pub rates_listed: bool,
    /// Lists have to be asked for; otherwise an agent beside the sender is sent them.
    pub asks: bool,
}

impl SenderSettings {
    /// The configuration as the platform writes it, with the list that is known at the start.
    pub fn encode(&self, terms: &RuleParameters, known: &[Endpoint]) -> String {
        let millis = |seconds: f64| seconds * 1e3;
        let class = |event_type: EventType| {
            let effect = match event_type {
                EventType::Idempotent | EventType::Ordered => "free",
                EventType::Tokened | EventType::TokenedInZone => "guarded",
                EventType::AtMostOnce => "single_shot",
            };
            json!({
                "name": event_type.name(), "aim-ms": 2000.0, "deadline-ms": millis(self.ttl),
                "effect": effect, "group": if event_type == EventType::TokenedInZone { "zone" } else { "all" }, "late-value": 0.3, "worth": 1.0,
                "repeat-window-ms": millis(terms.repeat_window_secs),
                "fifo-by-key": event_type == EventType::Ordered,
            })
        };
        let settings = json!({
            "caps": {
                "cancelling": true, "conn-idle-ms": 20_000.0, "connect-timeout-ms": 1000.0,
                "max-attempts": self.attempts, "max-retry-after-ms": 2000.0, "open-cap": self.holds,
                "retry-after": false,
            },
            "classes": EventType::ALL.map(class),
            "family-info": {
                "bundle-max": [1], "decay": "by_half", "routes-apart": [false], "slots": self.slots,
            },
            "instances": self.instances, "me": self.me,
            "membership-mode": if self.asks { "ask" } else { "push" },
            "models": ["plain"], "orgs": [],
            "rules": {
                "cold-from": terms.recovery.cold_rate_fraction, "cold-ms": millis(terms.recovery.warm_up_secs),
                "fall-multiple": terms.recovery.overload_multiple, "tip-after-ms": millis(terms.recovery.overload_window_secs),
                "stop-sending-within-ms": millis(terms.drain_grace_secs),
                "key-rest-ms": millis(terms.ordering_key_pause_secs), "ask-within-ms": 10_000.0,
            },
            "weights": if self.rates_listed { "nominal" } else { "none" },
        });
        let config = json!({
            "name": format!("n{}", self.me), "listen": self.listen, "discovery": self.discovery,
            "seed": format!("{:016x}", 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(u64::from(self.me) + 1)),
            "limits": { "cores": 1.0, "sockets": self.sockets, "disk_mb": self.disk_mb },
            "known": ListUpdate { seq: 1, whole: true, hosts: known.iter().collect() },
            "settings": settings,
        });
        config.to_string()
    }
}
