//! The endpoint list: its changes, the senders' watches, and the updates that reach the policies.

use super::*;

impl Run<'_> {
    /// An endpoint's list entry as a sender sees it.
    pub(super) fn listed_for(&self, sender_id: u32, endpoint_id: u32) -> Listed {
        let listed = self.fleet.endpoints[endpoint_id as usize].listed;
        let error_factor = self.faults.size_product(sender_id, endpoint_id, FaultKind::ListWrong);
        let rate = if self.world.endpoint_list.has_rates { listed.rate * error_factor } else { 0.0 };
        Listed { rate, ..listed }
    }

    /// The whole list as a sender sees it.
    pub(super) fn whole_list(&self, sender_id: u32) -> Vec<(u32, Listed)> {
        (0..self.fleet.endpoints.len() as u32)
            .map(|endpoint_id| (endpoint_id, self.listed_for(sender_id, endpoint_id)))
            .collect()
    }

    /// Sends a list update to a sender; updates arrive in order.
    pub(super) fn send_list_update(
        &mut self, now: Nanos, sender_id: u32, update: ListUpdate, items: Vec<(u32, Listed)>,
    ) {
        let mut arrives_at =
            now + nanos(self.world.endpoint_list.update_delay.draw(&mut self.generators.list));
        if let Some(delay_fault) = self.faults.active_at_sender(now, sender_id, FaultKind::ListLate) {
            arrives_at += nanos(delay_fault.size);
        }
        if let Some(refusal) = self.faults.active_at_sender(now, sender_id, FaultKind::ListRefused) {
            arrives_at = arrives_at.max(refusal.ends_at);
        }
        let host = &mut self.hosts[sender_id as usize];
        arrives_at = arrives_at.max(host.last_update_at + 1);
        host.last_update_at = arrives_at;
        self.queue.put(
            arrives_at,
            Event::ListUpdateReceived { sender_id, incarnation: host.incarnation, update, items },
        );
    }

    /// Sends changed entries to the running senders: to all, or to those with a watch where one is required.
    pub(super) fn broadcast_list_change(&mut self, now: Nanos, endpoint_ids: &[u32]) {
        for sender_id in 0..self.hosts.len() as u32 {
            let host = &self.hosts[sender_id as usize];
            if host.is_running() && (!self.world.endpoint_list.watch_required || host.watching_list) {
                let items = endpoint_ids
                    .iter()
                    .map(|endpoint_id| (*endpoint_id, self.listed_for(sender_id, *endpoint_id)))
                    .collect();
                self.send_list_update(now, sender_id, ListUpdate::Changes, items);
            }
        }
    }

    /// A policy starts or stops watching the list.
    pub(super) fn watch_list(&mut self, now: Nanos, sender_id: u32, enabled: bool) {
        let incarnation = self.hosts[sender_id as usize].incarnation;
        if !enabled {
            self.hosts[sender_id as usize].watching_list = false;
        } else if self.faults.active_at_sender(now, sender_id, FaultKind::ListRefused).is_some() {
            let delay = nanos(self.world.endpoint_list.update_delay.draw(&mut self.generators.list));
            let items = Vec::new();
            self.queue.put(
                now + delay,
                Event::ListUpdateReceived { sender_id, incarnation, update: ListUpdate::Refused, items },
            );
        } else {
            self.hosts[sender_id as usize].watching_list = true;
            self.send_list_update(now, sender_id, ListUpdate::Whole, self.whole_list(sender_id));
        }
    }

    /// A list update arrives at a sender.
    pub(super) fn receive_list_update(
        &mut self, now: Nanos, sender_id: u32, update: ListUpdate, items: &[(u32, Listed)],
    ) {
        for (endpoint_id, listed) in items {
            let known = &mut self.hosts[sender_id as usize].known_list[*endpoint_id as usize];
            let changed = known.ready != listed.ready;
            *known = *listed;
            if changed {
                self.log(LogEvent::Listed { sender_id, endpoint_id: *endpoint_id, ready: listed.ready });
            }
        }
        self.give_list_update(now, sender_id, update, items);
    }

    /// Gives a list update to a sender's policy.
    pub(super) fn give_list_update(
        &mut self, now: Nanos, sender_id: u32, update: ListUpdate, items: &[(u32, Listed)],
    ) {
        let world = self.world;
        let endpoint_names = std::mem::take(&mut self.fleet.endpoint_names);
        let zone_names = std::mem::take(&mut self.fleet.zone_names);
        let to_entry = |(endpoint_id, listed): &(u32, Listed)| {
            let endpoint = &self.fleet.endpoints[*endpoint_id as usize];
            ListedEndpoint {
                endpoint: &endpoint_names[*endpoint_id as usize],
                zone: &zone_names[usize::from(endpoint.zone)],
                destination_kind: &world.destination_kinds
                    [usize::from(self.fleet.destinations[endpoint.destination_id as usize].kind_id)]
                .name,
                destination: u64::from(endpoint.destination_id),
                ready: listed.ready,
                rate_limit: listed.rate,
                started_at: 0.0,
            }
        };
        let entries: Vec<ListedEndpoint> = items.iter().map(to_entry).collect();
        self.give_input(sender_id, |policy, actions| {
            policy.update_list(seconds(now), update, &entries, actions)
        });
        (self.fleet.endpoint_names, self.fleet.zone_names) = (endpoint_names, zone_names);
    }
}
