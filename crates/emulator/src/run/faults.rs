//! Troubles of a run: what begins, and what is over.

use super::*;

impl Run<'_> {
    pub(super) fn begin(&mut self, now: Nanos, i: usize) {
        self.faults.begin(i);
        let f = &self.faults.all[i];
        let (kind, size, to, whole) = (f.kind, f.size, f.to, f.senders.is_empty());
        let (endpoints, senders, dests) = (f.endpoints.clone(), f.senders.clone(), f.destinations.clone());
        match kind {
            FaultKind::Kill => senders.iter().for_each(|s| self.die(now, *s)),
            FaultKind::Restart => {
                for s in senders {
                    self.input(s, |p, out| p.begin_shutdown(seconds(now), seconds(now) + size, out));
                    let life = self.hosts[s as usize].life;
                    self.queue.put(now + nanos(size), Event::Die { sender: s, life });
                }
            }
            FaultKind::Drain | FaultKind::Leave => {
                endpoints.iter().for_each(|e| self.fleet.endpoints[*e as usize].listed.ready = false);
                self.list_changed(now, &endpoints);
            }
            FaultKind::ListWrong => self.list_changed(now, &endpoints),
            FaultKind::ListRefused if self.world.list.ask => {
                for s in senders {
                    let h = &mut self.hosts[s as usize];
                    if std::mem::take(&mut h.watching) {
                        let (life, mode, items) = (h.life, ListUpdate::Refused, Vec::new());
                        self.queue.put(now, Event::News { sender: s, life, mode, items });
                    }
                }
            }
            FaultKind::Clump => {
                let span = seconds(to - now);
                for dest in dests {
                    for _ in 0..size as u64 {
                        let at = now + nanos(span * self.chance.arrivals.random::<f64>());
                        self.queue.put(at, Event::Clumped { dest });
                    }
                }
            }
            _ => {}
        }
        for e in &endpoints {
            if matches!(kind, FaultKind::Down | FaultKind::Leave) && whole {
                self.drop_all(now, *e);
            }
            self.outage(now, *e);
        }
    }

    pub(super) fn over(&mut self, now: Nanos, i: usize) {
        self.faults.finish(i);
        let f = &self.faults.all[i];
        let (kind, endpoints, senders) = (f.kind, f.endpoints.clone(), f.senders.clone());
        match kind {
            FaultKind::Kill | FaultKind::Restart => {
                for s in senders {
                    // One that was to end as planned may have had no time to.
                    self.die(now, s);
                    self.start(s);
                }
            }
            FaultKind::Drain | FaultKind::Leave => {
                endpoints.iter().for_each(|e| self.fleet.endpoints[*e as usize].listed.ready = true);
                self.list_changed(now, &endpoints);
            }
            FaultKind::ListWrong => self.list_changed(now, &endpoints),
            _ => {}
        }
        for e in &endpoints {
            self.outage(now, *e);
        }
    }

    /// Looks whether an endpoint went into an outage or came back from one.
    pub(super) fn outage(&mut self, now: Nanos, ep: u32) {
        let is = self.faults.outage(ep) || self.fleet.endpoints[ep as usize].fallen;
        if std::mem::replace(&mut self.out[ep as usize], is) == is {
            return;
        }
        if is {
            self.log(LogEvent::OutageBegan { ep });
        } else {
            self.fleet.back(now, ep);
            self.log(LogEvent::OutageEnded { ep });
        }
    }
}
