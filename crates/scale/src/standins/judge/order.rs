//! The rule on order: webhooks with one ordering key are sent one at a time, in the order in which their
//! sender accepted them.

use crate::standins::id::WebhookId;
use std::collections::HashMap;

/// A notice may reach the platform this long after the next webhook of its ordering key was sent.
const NOTICE_TRANSIT_SECS: f64 = 0.5;

/// The calls of one ordering key at one sender.
#[derive(Default)]
struct KeyState {
    /// The highest webhook number that was called, and when it was called first.
    highest_called: Option<(u32, f64)>,
    /// The number of the webhook whose call is in flight.
    in_flight: Option<u32>,
}

/// The state of all ordering keys, by sender and destination: the ordering key of a webhook is its
/// destination.
#[derive(Default)]
pub struct OrderRule(HashMap<(u16, u32), KeyState>);

impl OrderRule {
    /// Records a call. Returns the breach, if it breaks the rule.
    pub fn check_call(&mut self, id: WebhookId, at: f64) -> Option<String> {
        let key = self.0.entry((id.sender, id.destination)).or_default();
        let concurrent = key.in_flight.replace(id.number).filter(|other| *other != id.number);
        let overtaking = key.highest_called.filter(|(number, _)| *number > id.number);
        if key.highest_called.is_none_or(|(number, _)| number < id.number) {
            key.highest_called = Some((id.number, at));
        }
        if let Some((number, _)) = overtaking {
            return Some(format!("was sent after {number:08x} of its ordering key"));
        }
        concurrent.map(|number| format!("was sent while {number:08x} of its ordering key was in flight"))
    }

    /// The webhook's call is answered, or its connection has ended.
    pub fn end_call(&mut self, id: WebhookId) {
        if let Some(key) = self.0.get_mut(&(id.sender, id.destination)) {
            key.in_flight = key.in_flight.filter(|number| *number != id.number);
        }
    }

    /// Checks a notice that the webhook was given up. Returns the breach, if a later webhook was sent long
    /// before.
    pub fn check_notice(&mut self, id: WebhookId, at: f64) -> Option<String> {
        let (number, called_at) = self.0.get(&(id.sender, id.destination))?.highest_called?;
        let overtaken = number > id.number && called_at + NOTICE_TRANSIT_SECS < at;
        overtaken.then(|| format!("had no final answer when {number:08x} of its ordering key was sent"))
    }
}
