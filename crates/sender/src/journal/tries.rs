//! The attempts of webhooks, in a few dozen bytes for each that had any.

use super::records::{Trace, Tries};
use std::collections::BTreeMap;
use std::num::NonZeroU16;

/// A trace whose zone is told by its place in a list, counted from 1.
#[derive(Debug, Clone, Copy)]
struct CompactTrace {
    zone: NonZeroU16,
    at: f64,
}

#[derive(Debug, Clone, Copy)]
struct CompactTries {
    count: u32,
    out: Option<CompactTrace>,
    ran: Option<CompactTrace>,
}

/// Attempts by webhook.
#[derive(Debug, Default)]
pub(super) struct TriesTable {
    zones: Vec<String>,
    tries: BTreeMap<u64, CompactTries>,
}

impl TriesTable {
    pub fn get(&self, number: u64) -> Tries {
        let Some(tries) = self.tries.get(&number) else { return Tries::default() };
        let trace = |t: CompactTrace| (self.zone(t.zone), t.at);
        Tries { count: tries.count, out: tries.out.map(trace), ran: tries.ran.map(trace) }
    }

    pub fn set(&mut self, number: u64, tries: &Tries) {
        let out = tries.out.as_ref().map(|trace| self.compact(trace));
        let ran = tries.ran.as_ref().map(|trace| self.compact(trace));
        self.tries.insert(number, CompactTries { count: tries.count, out, ran });
    }

    /// When the last attempt was made.
    pub fn last_attempt(&self) -> f64 {
        let traces = self.tries.values().flat_map(|tries| [tries.out, tries.ran]).flatten();
        traces.map(|trace| trace.at).fold(f64::NEG_INFINITY, f64::max)
    }

    /// Those of which attempts are counted and none is known to have been out.
    pub fn without_trace(&self) -> Vec<u64> {
        let unknown = |tries: &CompactTries| tries.count > 0 && tries.out.is_none() && tries.ran.is_none();
        self.tries.iter().filter(|(_, tries)| unknown(tries)).map(|(number, _)| *number).collect()
    }

    pub fn remove(&mut self, number: u64) {
        self.tries.remove(&number);
    }

    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.tries.retain(|number, _| keep(*number));
    }

    fn zone(&self, place: NonZeroU16) -> String {
        self.zones.get(usize::from(place.get()) - 1).cloned().unwrap_or_default()
    }

    fn compact(&mut self, (zone, at): &Trace) -> CompactTrace {
        let place = self.zones.iter().position(|z| z == zone).unwrap_or_else(|| {
            self.zones.push(zone.clone());
            self.zones.len() - 1
        });
        // Of more zones than a list has ever named, the last ones are not told apart.
        let zone = u16::try_from(place + 1).ok().and_then(NonZeroU16::new).unwrap_or(NonZeroU16::MAX);
        CompactTrace { zone, at: *at }
    }
}
