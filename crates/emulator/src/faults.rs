//! Troubles under way: which endpoints and senders each one strikes, and what a call between two of them meets.

use crate::fleet::Fleet;
use crate::queue::{Nanos, nanos};
use crate::random::generator;
use crate::spec::{FaultKind, FaultSpec, World};
use rand::seq::SliceRandom;

/// A trouble of the day with all that it strikes.
pub struct ScheduledFault {
    pub kind: FaultKind,
    pub size: f64,
    pub period_s: f64,
    pub from: Nanos,
    pub to: Nanos,
    pub endpoints: Vec<u32>,
    pub destinations: Vec<u32>,
    /// In rising order; empty where it is not about particular senders.
    pub senders: Vec<u32>,
}

impl ScheduledFault {
    fn hits(&self, sender: u32) -> bool {
        self.senders.is_empty() || self.senders.binary_search(&sender).is_ok()
    }

    /// Whether endpoints are in an outage by it, for all senders. One between some senders and an endpoint is a
    /// matter of the network: the endpoint stays warm.
    pub fn is_outage(&self) -> bool {
        self.senders.is_empty()
            && match self.kind {
                FaultKind::Down | FaultKind::Silent | FaultKind::Hang | FaultKind::Shut => true,
                FaultKind::Errors => self.size > 0.5,
                _ => false,
            }
    }
}

fn about_senders(kind: FaultKind) -> bool {
    matches!(kind, FaultKind::Kill | FaultKind::Restart | FaultKind::ListLate | FaultKind::ListRefused)
}

/// Finds what a trouble strikes. Chance is by the day's seed and the trouble's place in the file.
fn strike(i: usize, t: &FaultSpec, world: &World, fleet: &Fleet, seed: u64) -> ScheduledFault {
    let mut chance = generator(seed, &format!("trouble {i}"));
    let kind_hit = |d: usize| {
        t.target.destination_kinds.is_empty()
            || t.target
                .destination_kinds
                .contains(&world.destination_kinds[usize::from(fleet.destinations[d].kind)].name)
    };
    let mut destinations: Vec<u32> = (0..fleet.destinations.len())
        .filter(|d| (t.target.destinations.is_empty() || t.target.destinations.contains(d)) && kind_hit(*d))
        .map(|d| d as u32)
        .collect();
    let mut senders: Vec<u32> = t.target.senders.iter().map(|s| *s as u32).collect();
    if about_senders(t.kind) && senders.is_empty() {
        senders = (0..world.senders.count as u32).collect();
    }
    if t.target.share > 0.0 {
        let some = if about_senders(t.kind) { &mut senders } else { &mut destinations };
        let many = (some.len() as f64 * t.target.share).ceil() as usize;
        some.shuffle(&mut chance);
        some.truncate(many);
    }
    senders.sort_unstable();
    destinations.sort_unstable();
    let place = |e: &&u32| {
        let ep = &fleet.endpoints[**e as usize];
        (t.target.endpoints.is_empty() || t.target.endpoints.contains(&usize::from(ep.number)))
            && (t.target.zones.is_empty() || t.target.zones.contains(&usize::from(ep.zone)))
    };
    let of = |d: &u32| fleet.destinations[*d as usize].endpoints.clone();
    let all: Vec<u32> = destinations.iter().flat_map(of).collect();
    let endpoints =
        if about_senders(t.kind) { Vec::new() } else { all.iter().filter(place).copied().collect() };
    let (from, to) = (nanos(t.start_s), nanos(t.start_s + t.duration_s));
    ScheduledFault {
        kind: t.kind,
        size: t.size,
        period_s: t.period_s,
        from,
        to,
        endpoints,
        destinations,
        senders,
    }
}

/// All troubles of a day, and those under way at each endpoint.
pub struct Faults {
    pub all: Vec<ScheduledFault>,
    active: Vec<Vec<u32>>,
}

impl Faults {
    pub fn new(world: &World, fleet: &Fleet, seed: u64) -> Self {
        let all = world.faults.iter().enumerate().map(|(i, t)| strike(i, t, world, fleet, seed)).collect();
        Faults { all, active: vec![Vec::new(); fleet.endpoints.len()] }
    }

    pub fn begin(&mut self, i: usize) {
        for e in &self.all[i].endpoints {
            self.active[*e as usize].push(i as u32);
        }
    }

    pub fn finish(&mut self, i: usize) {
        for e in &self.all[i].endpoints {
            self.active[*e as usize].retain(|x| *x != i as u32);
        }
    }

    /// Troubles of one sort between a sender and an endpoint.
    pub fn between(&self, sender: u32, ep: u32, kind: FaultKind) -> impl Iterator<Item = &ScheduledFault> {
        let here = self.active[ep as usize].iter().map(|i| &self.all[*i as usize]);
        here.filter(move |f| f.kind == kind && f.hits(sender))
    }

    pub fn met(&self, sender: u32, ep: u32, kind: FaultKind) -> bool {
        !self.active[ep as usize].is_empty() && self.between(sender, ep, kind).next().is_some()
    }

    /// The sizes of all of a sort, as a sum; 0 where there is none.
    pub fn sum(&self, sender: u32, ep: u32, kind: FaultKind) -> f64 {
        self.between(sender, ep, kind).map(|f| f.size).sum()
    }

    /// The sizes of all of a sort, multiplied; 1 where there is none.
    pub fn product(&self, sender: u32, ep: u32, kind: FaultKind) -> f64 {
        self.between(sender, ep, kind).map(|f| f.size).product()
    }

    /// When the last trouble of a sort is over that is under way between them.
    pub fn over_at(&self, sender: u32, ep: u32, kind: FaultKind) -> Nanos {
        self.between(sender, ep, kind).map(|f| f.to).max().unwrap_or(0)
    }

    /// Whether an endpoint is in an outage.
    pub fn outage(&self, ep: u32) -> bool {
        self.active[ep as usize].iter().any(|i| self.all[*i as usize].is_outage())
    }

    /// Whether a trouble strikes a sender at this moment (those of senders and lists).
    pub fn at_sender(&self, now: Nanos, sender: u32, kind: FaultKind) -> Option<&ScheduledFault> {
        self.all.iter().find(|f| {
            f.kind == kind && f.from <= now && now < f.to && f.senders.binary_search(&sender).is_ok()
        })
    }

    /// When work of so many seconds that begins now is done, given pauses.
    pub fn done_at(&self, now: Nanos, ep: u32, work: f64) -> Nanos {
        let mut done = now + nanos(work);
        for f in self.active[ep as usize].iter().map(|i| &self.all[*i as usize]) {
            if f.kind != FaultKind::Pauses {
                continue;
            }
            let (pause, every) = (nanos(f.size), nanos(f.period_s));
            // Each pause that begins before the work is done, or is under way, puts it off.
            let mut next = f.from + (now - f.from) / every * every;
            while next < done && next < f.to {
                done += pause.min((next + pause).saturating_sub(now));
                next += every;
            }
        }
        done
    }
}
