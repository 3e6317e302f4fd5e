//! What happens when an injected fault begins and when it ends.

use super::*;

impl Run<'_> {
    /// Begins the fault with this index.
    pub(super) fn begin_fault(&mut self, now: Nanos, fault_index: usize) {
        self.faults.begin(fault_index);
        let fault = &self.faults.all[fault_index];
        let (kind, size, ends_at, affects_all_senders) =
            (fault.kind, fault.size, fault.ends_at, fault.sender_ids.is_empty());
        let (endpoint_ids, sender_ids, destination_ids) =
            (fault.endpoint_ids.clone(), fault.sender_ids.clone(), fault.destination_ids.clone());
        match kind {
            FaultKind::Kill => sender_ids.iter().for_each(|sender_id| self.kill_sender(now, *sender_id)),
            FaultKind::Restart => {
                for affected_id in sender_ids {
                    self.give_input(affected_id, |policy, actions| {
                        policy.begin_shutdown(seconds(now), seconds(now) + size, actions)
                    });
                    let incarnation = self.hosts[affected_id as usize].incarnation;
                    self.queue.put(now + nanos(size), Event::Kill { sender_id: affected_id, incarnation });
                }
            }
            FaultKind::Drain | FaultKind::Leave => {
                endpoint_ids
                    .iter()
                    .for_each(|endpoint_id| self.fleet.endpoints[*endpoint_id as usize].listed.ready = false);
                self.broadcast_list_change(now, &endpoint_ids);
            }
            FaultKind::ListWrong => self.broadcast_list_change(now, &endpoint_ids),
            FaultKind::ListRefused if self.world.endpoint_list.watch_required => {
                for affected_id in sender_ids {
                    let host = &mut self.hosts[affected_id as usize];
                    if std::mem::take(&mut host.watching_list) {
                        let (incarnation, update, items) =
                            (host.incarnation, ListUpdate::Refused, Vec::new());
                        self.queue.put(
                            now,
                            Event::ListUpdateReceived { sender_id: affected_id, incarnation, update, items },
                        );
                    }
                }
            }
            FaultKind::Clump => {
                let duration_s = seconds(ends_at - now);
                for destination_id in destination_ids {
                    for _ in 0..size as u64 {
                        let at = now + nanos(duration_s * self.generators.arrivals.random::<f64>());
                        self.queue.put(at, Event::ClumpArrival { destination_id });
                    }
                }
            }
            _ => {}
        }
        for endpoint_id in &endpoint_ids {
            if matches!(kind, FaultKind::Down | FaultKind::Leave) && affects_all_senders {
                self.reset_endpoint(now, *endpoint_id);
            }
            self.update_outage(now, *endpoint_id);
        }
    }

    /// Ends the fault with this index.
    pub(super) fn end_fault(&mut self, now: Nanos, fault_index: usize) {
        self.faults.end(fault_index);
        let fault = &self.faults.all[fault_index];
        let (kind, endpoint_ids, sender_ids) =
            (fault.kind, fault.endpoint_ids.clone(), fault.sender_ids.clone());
        match kind {
            FaultKind::Kill | FaultKind::Restart => {
                for sender_id in sender_ids {
                    // A planned shutdown may not have ended by now.
                    self.kill_sender(now, sender_id);
                    self.start_sender(sender_id);
                }
            }
            FaultKind::Drain | FaultKind::Leave => {
                endpoint_ids
                    .iter()
                    .for_each(|endpoint_id| self.fleet.endpoints[*endpoint_id as usize].listed.ready = true);
                self.broadcast_list_change(now, &endpoint_ids);
            }
            FaultKind::ListWrong => self.broadcast_list_change(now, &endpoint_ids),
            _ => {}
        }
        for endpoint_id in &endpoint_ids {
            self.update_outage(now, *endpoint_id);
        }
    }

    /// Logs when an endpoint goes into an outage or comes back from one; it is cold after that.
    pub(super) fn update_outage(&mut self, now: Nanos, endpoint_id: u32) {
        let in_outage =
            self.faults.causes_outage(endpoint_id) || self.fleet.endpoints[endpoint_id as usize].overloaded;
        if std::mem::replace(&mut self.in_outage[endpoint_id as usize], in_outage) == in_outage {
            return;
        }
        if in_outage {
            self.log(LogEvent::OutageBegan { endpoint_id });
        } else {
            self.fleet.mark_returned(now, endpoint_id);
            self.log(LogEvent::OutageEnded { endpoint_id });
        }
    }
}
