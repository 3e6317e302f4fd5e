//! Injected faults: which endpoints and senders each one affects, and which faults are active between two of
//! them.

use crate::fleet::Fleet;
use crate::queue::{Nanos, nanos};
use crate::random::generator;
use crate::spec::{FaultKind, FaultSpec, World};
use rand::seq::SliceRandom;

/// A fault of the day, with all that it affects.
pub struct ScheduledFault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// How much; see [`FaultKind`].
    pub size: f64,
    /// For pauses: from the start of one to the start of the next.
    pub period_s: f64,
    /// Start of the fault.
    pub begins_at: Nanos,
    /// End of the fault.
    pub ends_at: Nanos,
    /// The affected endpoints.
    pub endpoint_ids: Vec<u32>,
    /// The affected destinations.
    pub destination_ids: Vec<u32>,
    /// The affected senders in ascending order; empty where the fault does not depend on the sender.
    pub sender_ids: Vec<u32>,
}

impl ScheduledFault {
    /// Whether it affects a sender.
    fn affects(&self, sender_id: u32) -> bool {
        self.sender_ids.is_empty() || self.sender_ids.binary_search(&sender_id).is_ok()
    }

    /// Whether its endpoints are in an outage for all senders. A fault between some senders and an endpoint
    /// is one of the network: the endpoint stays warm.
    pub fn is_outage(&self) -> bool {
        self.sender_ids.is_empty()
            && match self.kind {
                FaultKind::Down | FaultKind::Silent | FaultKind::Hang | FaultKind::Shut => true,
                FaultKind::Errors => self.size > 0.5,
                _ => false,
            }
    }
}

/// Whether a kind of fault affects senders rather than endpoints.
fn targets_senders(kind: FaultKind) -> bool {
    matches!(kind, FaultKind::Kill | FaultKind::Restart | FaultKind::ListLate | FaultKind::ListRefused)
}

/// Finds what a fault affects. Random choices depend on the day's seed and the fault's position in the file.
fn schedule(index: usize, spec: &FaultSpec, world: &World, fleet: &Fleet, seed: u64) -> ScheduledFault {
    let mut rng = generator(seed, &format!("trouble {index}"));
    let kind_matches = |destination_id: usize| {
        spec.target.destination_kinds.is_empty()
            || spec.target.destination_kinds.contains(
                &world.destination_kinds[usize::from(fleet.destinations[destination_id].kind_id)].name,
            )
    };
    let mut destination_ids: Vec<u32> = (0..fleet.destinations.len())
        .filter(|destination_id| {
            (spec.target.destinations.is_empty() || spec.target.destinations.contains(destination_id))
                && kind_matches(*destination_id)
        })
        .map(|destination_id| destination_id as u32)
        .collect();
    let mut sender_ids: Vec<u32> = spec.target.senders.iter().map(|sender_id| *sender_id as u32).collect();
    if targets_senders(spec.kind) && sender_ids.is_empty() {
        sender_ids = (0..world.senders.count as u32).collect();
    }
    if spec.target.share > 0.0 {
        let targets = if targets_senders(spec.kind) { &mut sender_ids } else { &mut destination_ids };
        let target_count = (targets.len() as f64 * spec.target.share).ceil() as usize;
        targets.shuffle(&mut rng);
        targets.truncate(target_count);
    }
    sender_ids.sort_unstable();
    destination_ids.sort_unstable();
    let position_matches = |endpoint_id: &&u32| {
        let endpoint = &fleet.endpoints[**endpoint_id as usize];
        (spec.target.endpoints.is_empty() || spec.target.endpoints.contains(&usize::from(endpoint.number)))
            && (spec.target.zones.is_empty() || spec.target.zones.contains(&usize::from(endpoint.zone)))
    };
    let endpoints_of = |destination_id: &u32| fleet.destinations[*destination_id as usize].endpoints.clone();
    let candidate_ids: Vec<u32> = destination_ids.iter().flat_map(endpoints_of).collect();
    let endpoint_ids = if targets_senders(spec.kind) {
        Vec::new()
    } else {
        candidate_ids.iter().filter(position_matches).copied().collect()
    };
    let (begins_at, ends_at) = (nanos(spec.start_s), nanos(spec.start_s + spec.duration_s));
    ScheduledFault {
        kind: spec.kind,
        size: spec.size,
        period_s: spec.period_s,
        begins_at,
        ends_at,
        endpoint_ids,
        destination_ids,
        sender_ids,
    }
}

/// All faults of a day, and the active ones of each endpoint.
pub struct Faults {
    /// In the order of the world.
    pub all: Vec<ScheduledFault>,
    /// Indices of the active faults, by endpoint id.
    active: Vec<Vec<u32>>,
}

impl Faults {
    /// Finds what each fault of a world affects.
    pub fn new(world: &World, fleet: &Fleet, seed: u64) -> Self {
        let all = world
            .faults
            .iter()
            .enumerate()
            .map(|(index, spec)| schedule(index, spec, world, fleet, seed))
            .collect();
        Faults { all, active: vec![Vec::new(); fleet.endpoints.len()] }
    }

    /// Makes a fault active.
    pub fn begin(&mut self, index: usize) {
        for endpoint_id in &self.all[index].endpoint_ids {
            self.active[*endpoint_id as usize].push(index as u32);
        }
    }

    /// Ends an active fault.
    pub fn end(&mut self, index: usize) {
        for endpoint_id in &self.all[index].endpoint_ids {
            self.active[*endpoint_id as usize].retain(|active| *active != index as u32);
        }
    }

    /// Active faults of a kind between a sender and an endpoint.
    pub fn active_between(
        &self, sender_id: u32, endpoint_id: u32, kind: FaultKind,
    ) -> impl Iterator<Item = &ScheduledFault> {
        let at_endpoint = self.active[endpoint_id as usize].iter().map(|index| &self.all[*index as usize]);
        at_endpoint.filter(move |fault| fault.kind == kind && fault.affects(sender_id))
    }

    /// Whether a fault of a kind is active between a sender and an endpoint.
    pub fn is_active(&self, sender_id: u32, endpoint_id: u32, kind: FaultKind) -> bool {
        !self.active[endpoint_id as usize].is_empty()
            && self.active_between(sender_id, endpoint_id, kind).next().is_some()
    }

    /// The sum of the sizes of all active faults of a kind; 0 where there is none.
    pub fn size_sum(&self, sender_id: u32, endpoint_id: u32, kind: FaultKind) -> f64 {
        self.active_between(sender_id, endpoint_id, kind).map(|fault| fault.size).sum()
    }

    /// The product of the sizes of all active faults of a kind; 1 where there is none.
    pub fn size_product(&self, sender_id: u32, endpoint_id: u32, kind: FaultKind) -> f64 {
        self.active_between(sender_id, endpoint_id, kind).map(|fault| fault.size).product()
    }

    /// When the last active fault of a kind ends; 0 where there is none.
    pub fn ends_at(&self, sender_id: u32, endpoint_id: u32, kind: FaultKind) -> Nanos {
        self.active_between(sender_id, endpoint_id, kind).map(|fault| fault.ends_at).max().unwrap_or(0)
    }

    /// Whether an active fault puts an endpoint into an outage.
    pub fn causes_outage(&self, endpoint_id: u32) -> bool {
        self.active[endpoint_id as usize].iter().any(|index| self.all[*index as usize].is_outage())
    }

    /// The active fault of a kind that affects a sender, for kinds that concern senders and the list.
    pub fn active_at_sender(&self, now: Nanos, sender_id: u32, kind: FaultKind) -> Option<&ScheduledFault> {
        self.all.iter().find(|fault| {
            fault.kind == kind
                && fault.begins_at <= now
                && now < fault.ends_at
                && fault.sender_ids.binary_search(&sender_id).is_ok()
        })
    }

    /// When work of `work_s` seconds that begins now is done, given the pauses of the endpoint.
    pub fn work_done_at(&self, now: Nanos, endpoint_id: u32, work_s: f64) -> Nanos {
        let mut done_at = now + nanos(work_s);
        for fault in self.active[endpoint_id as usize].iter().map(|index| &self.all[*index as usize]) {
            if fault.kind != FaultKind::Pauses {
                continue;
            }
            let (pause, period) = (nanos(fault.size), nanos(fault.period_s));
            // Each pause that is under way, or begins before the work is done, delays it.
            let mut next_pause_at = fault.begins_at + (now - fault.begins_at) / period * period;
            while next_pause_at < done_at && next_pause_at < fault.ends_at {
                done_at += pause.min((next_pause_at + pause).saturating_sub(now));
                next_pause_at += period;
            }
        }
        done_at
    }
}
