//! The attempt histories of open webhooks, in a few dozen bytes each.

use super::records::{AttemptHistory, AttemptStart};
use std::collections::BTreeMap;
use std::num::NonZeroU16;

/// The start of an attempt, with its zone as an index into a list, counted from 1.
#[derive(Debug, Clone, Copy)]
struct CompactStart {
    zone_index: NonZeroU16,
    started_at: f64,
}

#[derive(Debug, Clone, Copy)]
struct CompactHistory {
    count: u32,
    in_flight: Option<CompactStart>,
    may_have_run: Option<CompactStart>,
}

/// Attempt histories by webhook number.
#[derive(Debug, Default)]
pub(super) struct AttemptTable {
    zones: Vec<String>,
    histories: BTreeMap<u64, CompactHistory>,
}

impl AttemptTable {
    /// The history of a webhook; an empty one if no attempt is known.
    pub fn get(&self, number: u64) -> AttemptHistory {
        let Some(history) = self.histories.get(&number) else { return AttemptHistory::default() };
        let expand = |start: CompactStart| (self.zone(start.zone_index), start.started_at);
        AttemptHistory {
            count: history.count,
            in_flight: history.in_flight.map(expand),
            may_have_run: history.may_have_run.map(expand),
        }
    }

    /// Sets the history of a webhook.
    pub fn set(&mut self, number: u64, history: &AttemptHistory) {
        let in_flight = history.in_flight.as_ref().map(|start| self.compact(start));
        let may_have_run = history.may_have_run.as_ref().map(|start| self.compact(start));
        self.histories.insert(number, CompactHistory { count: history.count, in_flight, may_have_run });
    }

    /// When the latest known attempt started; negative infinity if there is none.
    pub fn last_attempt_at(&self) -> f64 {
        let starts =
            self.histories.values().flat_map(|history| [history.in_flight, history.may_have_run]).flatten();
        starts.map(|start| start.started_at).fold(f64::NEG_INFINITY, f64::max)
    }

    /// The webhooks for which only the number of attempts is known, but no attempt that is in flight or may
    /// have run.
    pub fn only_counted(&self) -> Vec<u64> {
        let only_counted = |history: &CompactHistory| {
            history.count > 0 && history.in_flight.is_none() && history.may_have_run.is_none()
        };
        self.histories
            .iter()
            .filter(|(_, history)| only_counted(history))
            .map(|(number, _)| *number)
            .collect()
    }

    /// Removes the history of a webhook.
    pub fn remove(&mut self, number: u64) {
        self.histories.remove(&number);
    }

    /// Keeps only the histories of webhooks for which `keep` is true.
    pub fn retain(&mut self, keep: impl Fn(u64) -> bool) {
        self.histories.retain(|number, _| keep(*number));
    }

    fn zone(&self, zone_index: NonZeroU16) -> String {
        self.zones.get(usize::from(zone_index.get()) - 1).cloned().unwrap_or_default()
    }

    fn compact(&mut self, (zone, started_at): &AttemptStart) -> CompactStart {
        let position = self.zones.iter().position(|known| known == zone).unwrap_or_else(|| {
            self.zones.push(zone.clone());
            self.zones.len() - 1
        });
        // Zones beyond the 65,535th share its index. No endpoint list has ever named that many.
        let zone_index =
            u16::try_from(position + 1).ok().and_then(NonZeroU16::new).unwrap_or(NonZeroU16::MAX);
        CompactStart { zone_index, started_at: *started_at }
    }
}
