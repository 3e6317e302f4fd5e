//! The rule on drains: nothing new is sent to an endpoint once a grace period is over that begins when its
//! sender was sent the list that names the endpoint as draining.

use std::collections::HashMap;

/// The endpoints that drain, and when each sender was notified.
#[derive(Default)]
pub struct DrainRule {
    /// By draining endpoint: the first version of the list that says so.
    draining_since_version: HashMap<u32, u64>,
    /// By sender and endpoint: when the sender was sent the drain.
    notified_at: HashMap<(u16, u32), f64>,
    /// By sender: the newest version of the list that it was sent.
    sent_versions: HashMap<u16, u64>,
}

impl DrainRule {
    /// From this version on, the list names the endpoint as draining.
    pub fn record_listed(&mut self, endpoint: u32, version: u64) {
        self.draining_since_version.insert(endpoint, version);
    }

    /// The endpoint no longer drains.
    pub fn record_end(&mut self, endpoint: u32) {
        self.draining_since_version.remove(&endpoint);
        self.notified_at.retain(|(_, notified_endpoint), _| *notified_endpoint != endpoint);
    }

    /// A version of the list was written to a sender.
    pub fn record_list_sent(&mut self, sender: u16, version: u64, at: f64) {
        let sent_version = self.sent_versions.entry(sender).or_default();
        *sent_version = version.max(*sent_version);
        let sent_version = *sent_version;
        for (endpoint, listed_version) in &self.draining_since_version {
            if *listed_version <= sent_version {
                self.notified_at.entry((sender, *endpoint)).or_insert(at);
            }
        }
    }

    /// Checks a call from a sender whose process was ready at `ready_at`; the grace period does not begin
    /// before that. Returns by how many seconds the call came too late, if it did.
    pub fn check_call(
        &self, sender: u16, endpoint: u32, ready_at: Option<f64>, at: f64, grace_secs: f64,
    ) -> Option<f64> {
        let notified_at = *self.notified_at.get(&(sender, endpoint))?;
        let late_secs = at - ready_at.map_or(notified_at, |ready_at| notified_at.max(ready_at)) - grace_secs;
        (late_secs > 0.0).then_some(late_secs)
    }
}
