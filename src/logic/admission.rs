//! Which webhooks are rejected when too many are pending and which are sent first: customers' quotas and the
//! value of a delivery.

use super::*;

impl RuleEngine {
    /// At the limit of webhooks without a final answer: the pending one with the least value left, which is
    /// given up.
    pub(super) fn overflow(&self) -> Option<RuleTarget> {
        if self.webhooks.len() < self.limits.max_pending.max(2) {
            return None;
        }
        let worth =
            |id: &&u64| self.webhooks.get(id).map_or(0.0, |webhook| self.value_at(webhook, self.now + 1.0));
        let least = |a: &&u64, b: &&u64| worth(a).total_cmp(&worth(b));
        self.pending.ids().min_by(least).map(|id| RuleTarget::Webhook(*id))
    }

    /// Counts a webhook of a customer, and tells whether it exceeds the customer's quota.
    pub(super) fn exceeds_quota(&mut self, customer: &str) -> bool {
        let (now, sender_count) = (self.now, self.sender_count);
        let Some((quota, _, accepted)) = self.customers.get_mut(customer) else { return false };
        accepted.push_back(now);
        accepted.retain(|accepted_at| *accepted_at >= now - 2.0);
        // Twice an even part of the quota over two seconds, as the senders' traffic is uneven.
        accepted.len() as f64 > (*quota * 2.0 * 2.0 / sender_count).max(4.0)
    }

    /// The value of a delivery at a time.
    pub(super) fn value_at(&self, webhook: &Webhook, delivery_at: f64) -> f64 {
        let Some(event_type) = self.event_types.get(&webhook.event_type) else { return 0.0 };
        let delay = delivery_at - webhook.target_deadline;
        let share = if delay <= 0.0 {
            1.0
        } else if delivery_at > webhook.ttl_deadline {
            0.0
        } else if event_type.value_halves {
            0.5_f64.powf(delay / event_type.target_latency.max(0.001)).max(event_type.late_value_share)
        } else {
            (1.0 - (1.0 - event_type.late_value_share) * delay
                / (webhook.ttl_deadline - webhook.target_deadline).max(0.001))
            .max(event_type.late_value_share)
        };
        // Value beyond a customer's quota counts less; the settings have one weight for all customers.
        let weight = self.customers.values().next().map_or(1.0, |customer| customer.1);
        event_type.value * share * if webhook.over_quota { weight } else { 1.0 }
    }

    /// The sending order of a webhook whose delivery takes `usual_latency` seconds, least first: those that
    /// can still meet their target, by value, then by deadline; late ones after them.
    pub(super) fn send_rank(&self, webhook: &Webhook, usual_latency: f64) -> SendRank {
        let delivery_at = self.now + usual_latency;
        (
            u8::from(delivery_at > webhook.target_deadline),
            -self.value_at(webhook, delivery_at),
            webhook.target_deadline,
        )
    }
}
