//! What may be sent again and until when, the turn of a key, and the one final answer of each webhook; also after a restart.

use super::*;

/// A sender may be held up for so long between reading its clock and writing, in seconds.
const HOLD_UP: f64 = 0.15;
/// From a write here until the endpoint has it, in seconds.
const TRAVEL: f64 = 0.05;
/// A repeat goes out so long before its window is over.
const REPEAT_MARGIN: f64 = HOLD_UP + TRAVEL;

impl Logic {
    /// Back after a restart, with its attempts, and where and when the first went that may have run.
    pub fn resumed(&mut self, id: u64, tries: u32, ran: Option<(&str, f64)>) {
        let Some(w) = self.webhooks.get_mut(&id) else { return };
        (w.tries, w.ran) = (tries, ran.map(|(zone, at)| (zone.into(), at)));
        let key = w.key.clone().filter(|_| w.ran.is_some());
        self.hold(id);
        if let Some(k) = key {
            self.key_rests.insert(k.clone(), self.now + self.key_rest);
            self.front_again(&k);
        }
    }

    pub fn withdrawn(&mut self, now: f64, id: u64) {
        self.now = now;
        let Some(w) = self.webhooks.get_mut(&id) else { return };
        // One that is out stays on the books until its outcome: its key must not move on before.
        w.ended = true;
        if w.out.is_none() {
            self.close(id);
        }
    }

    pub(super) fn close(&mut self, id: u64) {
        let Some(w) = self.webhooks.remove(&id) else { return };
        self.held.take(id);
        let Some(k) = &w.key else { return };
        let line = self.key_lines.entry(k.clone()).or_default();
        line.retain(|x| *x != id);
        if line.is_empty() {
            self.key_lines.remove(k);
        }
        self.front_again(k);
    }

    /// Holds a webhook, or puts it where it belongs now if it is held.
    pub(super) fn hold(&mut self, id: u64) {
        let Some(w) = self.webhooks.get(&id) else { return };
        let t = self.types.get(&w.event_type);
        // No further attempt is allowed.
        let over = t.is_none() || w.tries >= self.caps.attempts;
        let by_zone = t.is_some_and(|t| t.effect == RepeatSafety::Tokened && !t.known_by_all);
        let zone = w.ran.as_ref().filter(|_| by_zone).map(|r| r.0.clone());
        let facts = Facts {
            dest: w.dest,
            // 5 ms before TTL, no attempt can come back in time any more.
            late_at: w.ttl_at - 0.005,
            spent_at: if over { f64::NEG_INFINITY } else { self.repeat_until(w) },
            own_at: w.not_before.max(self.turn_at(id, w)),
            group: (w.event_type.clone(), w.over, zone),
            target_at: w.target_at,
        };
        self.held.put(id, facts);
    }

    /// The first of a key may be another one now, or have to rest.
    pub(super) fn front_again(&mut self, key: &Name) {
        let front = self.key_lines.get(key).and_then(|l| l.front()).copied();
        if let Some(id) = front.filter(|id| self.held.has(*id)) {
            self.hold(id);
        }
    }

    /// Handing in again does no harm: nothing may have run, or whoever gets a repeat knows it.
    pub(super) fn may_reject(&self, w: &Webhook) -> bool {
        let Some(t) = self.types.get(&w.event_type) else { return w.ran.is_none() };
        w.ran.is_none()
            || t.effect == RepeatSafety::Idempotent
            || (t.effect == RepeatSafety::Tokened && t.known_by_all)
    }

    /// Until when a repeat cannot make a second effect.
    pub(super) fn repeat_until(&self, w: &Webhook) -> f64 {
        let (Some(t), Some((_, at))) = (self.types.get(&w.event_type), &w.ran) else { return f64::INFINITY };
        match t.effect {
            RepeatSafety::Idempotent => f64::INFINITY,
            RepeatSafety::Tokened => at + t.repeat_window - REPEAT_MARGIN,
            RepeatSafety::AtMostOnce => 0.0,
        }
    }

    /// Until when the last byte of an attempt may be written: a repeat is not to arrive when its window is over.
    pub fn write_until(&self, id: u64) -> f64 {
        self.webhooks.get(&id).map_or(f64::NEG_INFINITY, |w| self.repeat_until(w))
    }

    /// Why an attempt does not go out though its connection has come up, where something came in between.
    pub fn hold_back(&self, now: f64, id: u64, ep: &str) -> Option<NotSentReason> {
        let Some(w) = self.webhooks.get(&id).filter(|w| !w.ended) else { return Some(NotSentReason::Over) };
        let Some((ep, r)) = self.routes.get_key_value(ep).filter(|(_, r)| r.ready) else {
            return Some(NotSentReason::NotListed);
        };
        let waits = self.meters.get(&Self::scope(ep, r)).is_some_and(|m| now < m.wait_until);
        match () {
            () if waits => Some(NotSentReason::Waits),
            () if now + r.slow > self.closes_at => Some(NotSentReason::Closing),
            () if now >= self.repeat_until(w) => Some(NotSentReason::WindowOver),
            () => None,
        }
    }

    /// When it is a webhook's turn among those of its key, as far as time alone decides it.
    pub(super) fn turn_at(&self, id: u64, w: &Webhook) -> f64 {
        let Some(k) = &w.key else { return 0.0 };
        if self.key_lines.get(k).and_then(|l| l.front()) != Some(&id) {
            return f64::INFINITY;
        }
        // The one that has the turn need not rest. 1 ms more, so that rounding cannot end the rest early.
        if w.ran.is_some() { 0.0 } else { self.key_rests.get(k).map_or(0.0, |t| t + 0.001) }
    }

    pub(super) fn out_of_time(&self) -> Option<Pick> {
        self.held.first_late().map(Pick::Webhook)
    }

    /// No further attempt is allowed: the tries are used up, or it may have run and must not be repeated.
    pub(super) fn spent(&self) -> Option<Pick> {
        self.held.first_spent().map(Pick::Webhook)
    }

    pub(super) fn give_up(&mut self, pick: Pick, out: &mut dyn ActionSink) {
        let Pick::Webhook(id) = pick else { return };
        match self.webhooks.get(&id).map(|w| self.may_reject(w)) {
            // A second: most crowds and short refusals are over by then.
            Some(true) => out.reject(id, self.come_back.min(1.0)),
            Some(false) => out.dead_letter(id),
            None => {}
        }
        self.close(id);
    }
}
