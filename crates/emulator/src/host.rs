//! A sender's process round its policy: connections, what the policy asked for, and what it knows of the list.

use crate::fleet::Listed;
use crate::policy::Policy;
use crate::queue::Nanos;
use scalebarrow::ActionSink;
use std::collections::{BTreeMap, BTreeSet};

/// What a policy asked for, in its order.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Attempt { webhook: u64, ep: u32, stop_at: f64 },
    CallOff { webhook: u64, hop: u32 },
    Reject { webhook: u64, come_back: f64 },
    DeadLetter { webhook: u64 },
    Wake { after: f64, handle: u64 },
    Watch(bool),
    CloseIdle { ep: u32 },
    Log(String),
}

/// Takes down what a policy asks for.
#[derive(Default)]
pub struct Desk {
    pub acts: Vec<Act>,
    /// An endpoint's number by its name, as the fleet names them; names that do not exist are passed over.
    pub many: u32,
}

impl Desk {
    fn number(&self, name: &str) -> Option<u32> {
        name.strip_prefix('e')?.parse().ok().filter(|n| *n < self.many)
    }
}

impl ActionSink for Desk {
    fn start_attempt(&mut self, webhook: u64, ep: &str, stop_at: f64) {
        match self.number(ep) {
            Some(ep) => self.acts.push(Act::Attempt { webhook, ep, stop_at }),
            None => self.acts.push(Act::Log(format!("attempt of {webhook} at {ep}, which does not exist"))),
        }
    }
    fn cancel_attempt(&mut self, webhook: u64, hop: u32) {
        self.acts.push(Act::CallOff { webhook, hop });
    }
    fn reject(&mut self, webhook: u64, come_back: f64) {
        self.acts.push(Act::Reject { webhook, come_back });
    }
    fn dead_letter(&mut self, webhook: u64) {
        self.acts.push(Act::DeadLetter { webhook });
    }
    fn schedule_wake(&mut self, after: f64, handle: u64) {
        self.acts.push(Act::Wake { after, handle });
    }
    fn watch_list(&mut self, on: bool) {
        self.acts.push(Act::Watch(on));
    }
    fn close_idle_connections(&mut self, ep: &str) {
        if let Some(ep) = self.number(ep) {
            self.acts.push(Act::CloseIdle { ep });
        }
    }
    fn log(&mut self, text: &str) {
        self.acts.push(Act::Log(text.into()));
    }
}

/// Webhooks that go out to one endpoint in one call.
pub struct Batch {
    pub ep: u32,
    pub stop: Nanos,
    pub webhooks: Vec<u64>,
}

/// One sender: what outlives its process, and the process.
pub struct Host {
    pub policy: Option<Box<dyn Policy>>,
    /// Counts processes, so that what was meant for an earlier one is told apart.
    pub life: u32,
    pub zone: u16,
    /// Webhooks taken on that have no final answer. With a journal they outlive the process.
    pub open: BTreeSet<u64>,
    /// Calls that are out.
    pub calls: BTreeSet<u32>,
    /// Idle connections by endpoint, with when each was last used.
    pub idle: BTreeMap<u32, Vec<Nanos>>,
    /// Attempts of this turn, which travel together where they can.
    pub outgoing: Vec<Batch>,
    pub flushing: bool,
    /// The list as it knows it.
    pub known: Vec<Listed>,
    pub watching: bool,
    /// News of the list come in order: none before this.
    pub news_at: Nanos,
    /// Since when it is dead.
    pub dead_since: Nanos,
}

impl Host {
    pub fn new(zone: u16, known: Vec<Listed>) -> Self {
        Host {
            policy: None,
            life: 0,
            zone,
            open: BTreeSet::new(),
            calls: BTreeSet::new(),
            idle: BTreeMap::new(),
            outgoing: Vec::new(),
            flushing: false,
            known,
            watching: false,
            news_at: 0,
            dead_since: 0,
        }
    }

    pub fn up(&self) -> bool {
        self.policy.is_some()
    }

    /// Closes the connections that were idle for too long, and says how many those were.
    pub fn expire(&mut self, now: Nanos, ep: u32, stays: Nanos) -> usize {
        let Some(pool) = self.idle.get_mut(&ep) else { return 0 };
        let before = pool.len();
        pool.retain(|since| *since + stays > now);
        let gone = before - pool.len();
        if pool.is_empty() {
            self.idle.remove(&ep);
        }
        gone
    }

    /// Takes the connection that was used last, with since when it was idle.
    pub fn take_idle(&mut self, ep: u32) -> Option<Nanos> {
        let pool = self.idle.get_mut(&ep)?;
        let last = pool.pop();
        if pool.is_empty() {
            self.idle.remove(&ep);
        }
        last
    }
}
