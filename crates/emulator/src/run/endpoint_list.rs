//! The endpoint list of a run: changes, watches and what senders are told.

use super::*;

impl Run<'_> {
    pub(super) fn listed(&self, sender: u32, ep: u32) -> Listed {
        let l = self.fleet.endpoints[ep as usize].listed;
        Listed { rate: l.rate * self.faults.product(sender, ep, FaultKind::ListWrong), ..l }
    }

    pub(super) fn whole_list(&self, sender: u32) -> Vec<(u32, Listed)> {
        (0..self.fleet.endpoints.len() as u32).map(|e| (e, self.listed(sender, e))).collect()
    }

    /// Sends a part of the list to a sender; parts come in order.
    pub(super) fn send_list(&mut self, now: Nanos, sender: u32, mode: ListUpdate, items: Vec<(u32, Listed)>) {
        let mut at = now + nanos(self.world.list.delay.draw(&mut self.chance.list));
        if let Some(late) = self.faults.at_sender(now, sender, FaultKind::ListLate) {
            at += nanos(late.size);
        }
        if let Some(refused) = self.faults.at_sender(now, sender, FaultKind::ListRefused) {
            at = at.max(refused.to);
        }
        let h = &mut self.hosts[sender as usize];
        at = at.max(h.news_at + 1);
        h.news_at = at;
        self.queue.put(at, Event::News { sender, life: h.life, mode, items });
    }

    pub(super) fn list_changed(&mut self, now: Nanos, endpoints: &[u32]) {
        for sender in 0..self.hosts.len() as u32 {
            let h = &self.hosts[sender as usize];
            if h.up() && (!self.world.list.ask || h.watching) {
                let items = endpoints.iter().map(|e| (*e, self.listed(sender, *e))).collect();
                self.send_list(now, sender, ListUpdate::Changes, items);
            }
        }
    }

    pub(super) fn watch_list(&mut self, now: Nanos, sender: u32, on: bool) {
        let life = self.hosts[sender as usize].life;
        if !on {
            self.hosts[sender as usize].watching = false;
        } else if self.faults.at_sender(now, sender, FaultKind::ListRefused).is_some() {
            let after = nanos(self.world.list.delay.draw(&mut self.chance.list));
            let items = Vec::new();
            self.queue.put(now + after, Event::News { sender, life, mode: ListUpdate::Refused, items });
        } else {
            self.hosts[sender as usize].watching = true;
            self.send_list(now, sender, ListUpdate::Whole, self.whole_list(sender));
        }
    }

    pub(super) fn news(&mut self, now: Nanos, sender: u32, mode: ListUpdate, items: &[(u32, Listed)]) {
        for (ep, l) in items {
            let known = &mut self.hosts[sender as usize].known[*ep as usize];
            let changed = known.ready != l.ready;
            *known = *l;
            if changed {
                self.log(LogEvent::Listed { sender, ep: *ep, ready: l.ready });
            }
        }
        self.tell(now, sender, mode, items);
    }

    pub(super) fn tell(&mut self, now: Nanos, sender: u32, mode: ListUpdate, items: &[(u32, Listed)]) {
        let world = self.world;
        let names = std::mem::take(&mut self.fleet.names);
        let zones = std::mem::take(&mut self.fleet.zones);
        let entry = |(ep, l): &(u32, Listed)| {
            let e = &self.fleet.endpoints[*ep as usize];
            ListedEndpoint {
                endpoint: &names[*ep as usize],
                zone: &zones[usize::from(e.zone)],
                destination_kind: &world.destination_kinds
                    [usize::from(self.fleet.destinations[e.dest as usize].kind)]
                .name,
                destination: u64::from(e.dest),
                ready: l.ready,
                rate_limit: l.rate,
                started_at: 0.0,
            }
        };
        let entries: Vec<ListedEndpoint> = items.iter().map(entry).collect();
        self.input(sender, |p, out| p.update_list(seconds(now), mode, &entries, out));
        (self.fleet.names, self.fleet.zones) = (names, zones);
    }
}
