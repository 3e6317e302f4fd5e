//! The rule on order: webhooks with one key go one at a time, in the order in which their sender took them.

use crate::standins::id::WebhookId;
use std::collections::HashMap;

/// A notice may reach the platform so long after the next webhook of its key went out.
const NOTICE_ON_ITS_WAY: f64 = 0.5;

/// The calls of one key at one sender.
#[derive(Default)]
struct Key {
    /// The highest number that was called, and when first.
    highest: Option<(u32, f64)>,
    out: Option<u32>,
}

/// All keys. The key of a webhook is its destination.
#[derive(Default)]
pub struct Orders(HashMap<(u16, u32), Key>);

impl Orders {
    /// A call came; what is wrong with it.
    pub fn called(&mut self, id: WebhookId, at: f64) -> Option<String> {
        let key = self.0.entry((id.sender, id.destination)).or_default();
        let beside = key.out.replace(id.number).filter(|other| *other != id.number);
        let behind = key.highest.filter(|(number, _)| *number > id.number);
        if key.highest.is_none_or(|(number, _)| number < id.number) {
            key.highest = Some((id.number, at));
        }
        if let Some((number, _)) = behind {
            return Some(format!("was sent after {number:08x} of its key"));
        }
        beside.map(|number| format!("was sent while {number:08x} of its key was out"))
    }

    /// The call that was out is answered, or its connection has ended.
    pub fn over(&mut self, id: WebhookId) {
        if let Some(key) = self.0.get_mut(&(id.sender, id.destination)) {
            key.out = key.out.filter(|number| *number != id.number);
        }
    }

    /// It is given up; what is wrong with that: a later one went out long before.
    pub fn given_up(&mut self, id: WebhookId, at: f64) -> Option<String> {
        let (number, called) = self.0.get(&(id.sender, id.destination))?.highest?;
        let passed = number > id.number && called + NOTICE_ON_ITS_WAY < at;
        passed.then(|| format!("was not over when {number:08x} of its key was sent"))
    }
}
