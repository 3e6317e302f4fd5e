//! The state of a simulated sender around its policy: connections, calls, requested actions, and the known
//! list.

use crate::fleet::Listed;
use crate::policy::Policy;
use crate::queue::Nanos;
use scalebarrow::{ActionSink, ScopeMemory};
use std::collections::{BTreeMap, BTreeSet};

/// An action that a policy asked for; see [`ActionSink`].
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call an endpoint with a webhook; give up at this time, in seconds.
    StartAttempt { webhook_id: u64, endpoint_id: u32, give_up_at: f64 },
    /// Stop waiting for an attempt.
    CancelAttempt { webhook_id: u64, attempt_number: u32 },
    /// Final answer: rejected, not to be handed in before so many seconds.
    Reject { webhook_id: u64, retry_after: f64 },
    /// Final answer: dead-lettered.
    DeadLetter { webhook_id: u64 },
    /// Wake the policy after so many seconds.
    ScheduleWake { delay: f64, handle: u64 },
    /// Watch the endpoint list, or stop watching.
    WatchList(bool),
    /// Close the idle connections to an endpoint.
    CloseIdleConnections { endpoint_id: u32 },
    /// Keep this for the next process.
    StoreMemory(ScopeMemory),
    /// Write a message for the operators.
    Log(String),
}

/// Records the actions of a policy in their order, with endpoint names resolved to ids.
#[derive(Default)]
pub struct ActionRecorder {
    /// The recorded actions.
    pub actions: Vec<Action>,
    /// Endpoints of the fleet; names beyond them are unknown.
    pub endpoint_count: u32,
}

impl ActionRecorder {
    /// The id of an endpoint by its name in the fleet, such as `e7`.
    fn endpoint_id(&self, name: &str) -> Option<u32> {
        name.strip_prefix('e')?.parse().ok().filter(|endpoint_id| *endpoint_id < self.endpoint_count)
    }
}

impl ActionSink for ActionRecorder {
    fn start_attempt(&mut self, webhook_id: u64, endpoint_name: &str, give_up_at: f64) {
        match self.endpoint_id(endpoint_name) {
            Some(endpoint_id) => {
                self.actions.push(Action::StartAttempt { webhook_id, endpoint_id, give_up_at })
            }
            None => self.actions.push(Action::Log(format!(
                "attempt of webhook {webhook_id} at unknown endpoint {endpoint_name}"
            ))),
        }
    }
    fn cancel_attempt(&mut self, webhook_id: u64, attempt_number: u32) {
        self.actions.push(Action::CancelAttempt { webhook_id, attempt_number });
    }
    fn reject(&mut self, webhook_id: u64, retry_after: f64) {
        self.actions.push(Action::Reject { webhook_id, retry_after });
    }
    fn dead_letter(&mut self, webhook_id: u64) {
        self.actions.push(Action::DeadLetter { webhook_id });
    }
    fn schedule_wake(&mut self, delay: f64, handle: u64) {
        self.actions.push(Action::ScheduleWake { delay, handle });
    }
    fn watch_list(&mut self, enabled: bool) {
        self.actions.push(Action::WatchList(enabled));
    }
    fn close_idle_connections(&mut self, endpoint_name: &str) {
        if let Some(endpoint_id) = self.endpoint_id(endpoint_name) {
            self.actions.push(Action::CloseIdleConnections { endpoint_id });
        }
    }
    fn store_memory(&mut self, memory: ScopeMemory) {
        self.actions.push(Action::StoreMemory(memory));
    }
    fn log(&mut self, text: &str) {
        self.actions.push(Action::Log(text.into()));
    }
}

/// Webhooks for one endpoint, to be sent in one call.
pub struct Batch {
    /// The endpoint to call.
    pub endpoint_id: u32,
    /// Deadline of the call.
    pub give_up_at: Nanos,
    /// The webhooks to send.
    pub webhook_ids: Vec<u64>,
}

/// One sender: its process, and what survives the process.
pub struct Host {
    /// The policy of the running process; `None` while it is dead.
    pub policy: Option<Box<dyn Policy>>,
    /// Counts the starts, so that events for an earlier process are recognised.
    pub incarnation: u32,
    /// The sender's zone.
    pub zone: u16,
    /// Accepted webhooks without final answer. With a journal they survive the process.
    pub open_webhooks: BTreeSet<u64>,
    /// Ids of the calls in flight.
    pub calls_in_flight: BTreeSet<u32>,
    /// For each endpoint, when each of its idle connections was last used.
    pub idle_connections: BTreeMap<u32, Vec<Nanos>>,
    /// Attempts of this instant, gathered into calls.
    pub pending_batches: Vec<Batch>,
    /// Whether the event that sends them is queued.
    pub flush_scheduled: bool,
    /// The endpoint list as last received, by endpoint id; it survives the process.
    pub known_list: Vec<Listed>,
    /// Whether the process watches the list.
    pub watching_list: bool,
    /// Arrival time of the latest list update sent; updates arrive in order.
    pub last_update_at: Nanos,
    /// When its process was last killed.
    pub killed_at: Nanos,
    /// What its policy stored of destinations and endpoints. With a journal it survives the process.
    pub memories: BTreeMap<(u64, Option<String>), ScopeMemory>,
}

impl Host {
    /// A sender without a process.
    pub fn new(zone: u16, known_list: Vec<Listed>) -> Self {
        Host {
            policy: None,
            incarnation: 0,
            zone,
            open_webhooks: BTreeSet::new(),
            calls_in_flight: BTreeSet::new(),
            idle_connections: BTreeMap::new(),
            pending_batches: Vec::new(),
            flush_scheduled: false,
            known_list,
            watching_list: false,
            last_update_at: 0,
            killed_at: 0,
            memories: BTreeMap::new(),
        }
    }

    /// Whether its process runs.
    pub fn is_running(&self) -> bool {
        self.policy.is_some()
    }

    /// Closes the connections to an endpoint that have been idle for too long, and returns their number.
    pub fn close_expired(&mut self, now: Nanos, endpoint_id: u32, idle_timeout: Nanos) -> usize {
        let Some(connections) = self.idle_connections.get_mut(&endpoint_id) else { return 0 };
        let count_before = connections.len();
        connections.retain(|idle_since| *idle_since + idle_timeout > now);
        let closed = count_before - connections.len();
        if connections.is_empty() {
            self.idle_connections.remove(&endpoint_id);
        }
        closed
    }

    /// Takes the most recently used idle connection to an endpoint and returns when it was last used.
    pub fn take_idle_connection(&mut self, endpoint_id: u32) -> Option<Nanos> {
        let connections = self.idle_connections.get_mut(&endpoint_id)?;
        let last_used_at = connections.pop();
        if connections.is_empty() {
            self.idle_connections.remove(&endpoint_id);
        }
        last_used_at
    }
}
