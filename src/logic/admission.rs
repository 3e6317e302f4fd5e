//! Which webhooks are turned away or go first: room, customers' shares, and what a delivery is still worth.

use super::*;

impl Logic {
    /// The holding limit is near: the held webhook with the least still to win makes room.
    pub(super) fn no_room(&self) -> Option<Pick> {
        if self.webhooks.len() < self.caps.holds.max(2) {
            return None;
        }
        let worth = |id: &&u64| self.webhooks.get(id).map_or(0.0, |w| self.value(w, self.now + 1.0));
        let least = |a: &&u64, b: &&u64| worth(a).total_cmp(&worth(b));
        self.held.ids().min_by(least).map(|id| Pick::Webhook(*id))
    }

    pub(super) fn over_share(&mut self, customer: &str) -> bool {
        let (now, senders) = (self.now, self.senders);
        let Some((quota, _, seen)) = self.customers.get_mut(customer) else { return false };
        seen.push_back(now);
        seen.retain(|t| *t >= now - 2.0);
        // Twice an even part of the share over two seconds: senders carry unequal traffic.
        seen.len() as f64 > (*quota * 2.0 * 2.0 / senders).max(4.0)
    }

    /// What a delivery at `at` would still be worth.
    pub(super) fn value(&self, w: &Webhook, at: f64) -> f64 {
        let Some(t) = self.types.get(&w.event_type) else { return 0.0 };
        let past = at - w.target_at;
        let share = if past <= 0.0 {
            1.0
        } else if at > w.ttl_at {
            0.0
        } else if t.value_halves {
            0.5_f64.powf(past / t.target_latency.max(0.001)).max(t.late_value_share)
        } else {
            (1.0 - (1.0 - t.late_value_share) * past / (w.ttl_at - w.target_at).max(0.001))
                .max(t.late_value_share)
        };
        // Value beyond a customer's share counts little; all customers' parts are alike in the settings.
        let part = self.customers.values().next().map_or(1.0, |c| c.1);
        t.value * share * if w.over { part } else { 1.0 }
    }

    /// Order of service, least first: those in time for their target, dearest and soonest; then late ones.
    pub(super) fn rank(&self, w: &Webhook, usual: f64) -> Rank {
        let at = self.now + usual;
        (u8::from(at > w.target_at), -self.value(w, at), w.target_at)
    }
}
