//! The configuration of a sender, with the settings of a small deployment.

use crate::platform::{Entry, list_json};
use std::net::SocketAddr;

pub struct Class {
    pub name: &'static str,
    /// `free`, `guarded` or `single_shot`.
    pub effect: &'static str,
    /// `all` or `zone`.
    pub group: &'static str,
    pub deadline_ms: u64,
    pub window_ms: u64,
    pub ordered: bool,
}

pub struct Settings {
    pub classes: Vec<Class>,
    /// Names of the kinds of destination, messages in a call, and whether routes are apart.
    pub kinds: Vec<(&'static str, usize, bool)>,
    /// `push` or `ask`.
    pub mode: &'static str,
    pub slots: usize,
    pub open_cap: usize,
    pub max_attempts: u32,
    pub senders: usize,
    pub me: usize,
    pub disk_mb: f64,
    pub sockets: usize,
    pub zones: Vec<&'static str>,
}

impl Settings {
    pub fn json(&self, listen: SocketAddr, discovery: SocketAddr, known: &[Entry]) -> String {
        let class = |class: &Class| {
            format!(
                r#"{{"name":"{}","aim-ms":{:.1},"deadline-ms":{:.1},"effect":"{}","group":"{}","late-value":0.3,"repeat-window-ms":{:.1},"streamed":false,"worth":1.0,"fifo-by-key":{}}}"#,
                class.name,
                class.deadline_ms as f64 / 4.0,
                class.deadline_ms as f64,
                class.effect,
                class.group,
                class.window_ms as f64,
                class.ordered
            )
        };
        let join = |items: Vec<String>| items.join(",");
        let classes = join(self.classes.iter().map(class).collect());
        let batches = join(self.kinds.iter().map(|kind| kind.1.to_string()).collect());
        let apart = join(self.kinds.iter().map(|kind| kind.2.to_string()).collect());
        let models = join(self.kinds.iter().map(|kind| format!("\"{}\"", kind.0)).collect());
        let zones = join(self.zones.iter().map(|zone| format!("\"{zone}\"")).collect());
        format!(
            r#"{{"name":"n{}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{},"disk_mb":{}}},"known":{},
"settings":{{"caps":{{"cancelling":true,"conn-idle-ms":5000.0,"connect-timeout-ms":1000.0,"max-attempts":{},
"max-retry-after-ms":2000.0,"open-cap":{},"parallel-tries":false,"probes":true,"retry-after":false,"streams-per-conn":1}},
"classes":[{classes}],
"deductions":{{"connection":0.0,"cross-zone":0.0,"handshake":0.06,"late-fail":0.02,"probe":0.01,"waste":0.081}},
"family":"deliver",
"family-info":{{"bundle-max":[{batches}],"decay":"by_half","routes-apart":[{apart}],"slots":{}}},
"instances":{},"locality":"{}","me":{},"membership-mode":"{}","models":[{models}],"orgs":[],
"over-share-worth":0.1,"report":{{"fields":[],"how":"none"}},
"rules":{{"ask-within-ms":10000.0,"cold-from":0.28,"cold-ms":14000.0,"fall-multiple":1.5,"grace-to-answer-ms":20.0,"stop-sending-within-ms":500.0,"tip-after-ms":1500.0,"key-rest-ms":300.0}},
"weights":"nominal","zones":[{zones}]}}}}"#,
            self.me,
            self.sockets,
            self.disk_mb,
            list_json(1, true, known),
            self.max_attempts,
            self.open_cap,
            self.slots,
            self.senders,
            self.zones[0],
            self.me,
            self.mode,
        )
    }
}
