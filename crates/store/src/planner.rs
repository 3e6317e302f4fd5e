//! What to do with segments and when: pure arithmetic over their sizes, without any I/O.
//!
//! Compaction must win back space faster than it is used up. With at least [`MIN_SCAN_RATIO`] bytes looked through for each byte
//! that is appended, one pass over a log of T bytes appends T / MIN_SCAN_RATIO itself. So where a pass begins at T or less with
//! `T + T / MIN_SCAN_RATIO + copy room` within the limit, the limit holds all along; and the next one need not begin before this
//! one ends where what is live is no more than `T - T / MIN_SCAN_RATIO`.

use std::collections::BTreeMap;

/// Bytes looked through by compaction for each byte appended, at least.
pub const MIN_SCAN_RATIO: u64 = 8;
/// Bytes and records that one step of compaction looks through, at least.
pub const MIN_STEP_BYTES: u64 = 64 * 1024;
pub const MIN_STEP_RECORDS: usize = 256;
/// Bytes that one step looks through, at most. Who appends more between two steps waits for room where there is none.
const LONGEST_STEP: u64 = 1024 * 1024;
/// A folder's file system hands out space in such pieces.
const BLOCK: u64 = 4096;
/// Segments are so large at most, and this part of the limit where that is less.
const LARGEST_SEGMENT: u64 = 4 * 1024 * 1024;
const SEGMENTS: u64 = 16;
const SMALLEST_SEGMENT: u64 = 16 * 1024;
/// Until a log is this large, or fills half its limit, dead records stay.
const SMALL_LOG: u64 = 32 * 1024 * 1024;
/// For the headers and blocks of segments that compaction begins, and for files beside the segments.
const SLACK: u64 = 3 * BLOCK;

fn in_blocks(bytes: u64) -> u64 {
    bytes.div_ceil(BLOCK) * BLOCK
}

/// Sizes of all segments and what follows from them.
#[derive(Debug, Clone)]
pub struct Planner {
    limit: u64,
    /// Whether records have to fit in it.
    enforced: bool,
    /// Sealed segments by number: the sizes of their files.
    sealed: BTreeMap<u32, u64>,
    sealed_bytes: u64,
    /// The unsealed segment, with the checkpoint that it will have.
    active: Option<(u32, u64)>,
    /// Bytes of records that are still needed, in all and by segment.
    live: u64,
    live_by_segment: BTreeMap<u32, u64>,
    /// The largest record so far.
    largest: u64,
}

impl Planner {
    /// A plan for an empty folder that may hold `limit` bytes.
    pub fn new(limit: u64) -> Self {
        Planner {
            limit,
            enforced: true,
            sealed: BTreeMap::new(),
            sealed_bytes: 0,
            active: None,
            live: 0,
            live_by_segment: BTreeMap::new(),
            largest: 0,
        }
    }

    /// Changes the limit.
    pub fn set_disk_limit(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Whether records have to fit in the limit. Not for those that are carried over from elsewhere, where they fitted.
    pub fn enforce_disk_limit(&mut self, enforced: bool) {
        self.enforced = enforced;
    }

    /// What a segment's file may hold, with its checkpoint.
    pub fn segment_size(&self) -> u64 {
        (self.limit / SEGMENTS).clamp(SMALLEST_SEGMENT, LARGEST_SEGMENT)
    }

    /// Bytes on disk once the active segment is sealed, in whole blocks.
    pub fn used_bytes(&self) -> u64 {
        self.sealed_bytes + self.active.map_or(0, |(_, bytes)| in_blocks(bytes))
    }

    pub fn live_bytes(&self) -> u64 {
        self.live
    }

    /// A segment is there, sealed, with so many bytes.
    pub fn add_sealed_segment(&mut self, segment: u32, bytes: u64) {
        self.sealed.insert(segment, bytes);
        self.sealed_bytes += in_blocks(bytes);
    }

    /// The active segment has so many bytes, with the checkpoint that it will have.
    pub fn set_active_segment(&mut self, segment: u32, bytes: u64) {
        self.active = Some((segment, bytes));
    }

    /// The active segment is sealed, or given up as it is, with so many bytes.
    pub fn seal_active(&mut self, bytes: u64) {
        if let Some((segment, _)) = self.active.take() {
            self.add_sealed_segment(segment, bytes);
        }
    }

    /// A segment is gone.
    pub fn remove_segment(&mut self, segment: u32) {
        if let Some(bytes) = self.sealed.remove(&segment) {
            self.sealed_bytes -= in_blocks(bytes);
        }
    }

    /// A record of so many bytes, with its item in the checkpoint, is needed from now on.
    pub fn add_live_record(&mut self, segment: u32, bytes: u64) {
        self.live += bytes;
        *self.live_by_segment.entry(segment).or_default() += bytes;
        self.largest = self.largest.max(bytes);
    }

    /// It is not needed any more.
    pub fn remove_live_record(&mut self, segment: u32, bytes: u64) {
        self.live -= bytes;
        if let Some(live) = self.live_by_segment.get_mut(&segment) {
            *live -= bytes;
            if *live == 0 {
                self.live_by_segment.remove(&segment);
            }
        }
        if self.live == 0 {
            self.largest = 0;
        }
    }

    /// Nothing in a segment is needed any more.
    pub fn is_dead(&self, segment: u32) -> bool {
        !self.live_by_segment.contains_key(&segment)
    }

    /// The active segment is full: the next record goes into a new one.
    pub fn should_seal(&self, records: bool, bytes: u64) -> bool {
        let size = self.segment_size();
        self.active.is_some_and(|(_, active)| records && active + bytes > size)
    }

    /// Room that only compaction may use: for what is live in one segment, while it stands in both places.
    fn copy_room(&self, bytes: u64) -> u64 {
        in_blocks(self.segment_size() + self.largest.max(bytes)) + SLACK
    }

    /// A record of so many bytes can be appended now.
    pub fn fits(&self, bytes: u64) -> bool {
        // The oldest may be from a time when the limit, and with it the segments, were larger.
        let oldest = self.sealed.first_key_value().map_or(0, |(_, bytes)| in_blocks(*bytes) + SLACK);
        let copy_room = self.copy_room(bytes).max(oldest);
        !self.enforced || self.used_bytes() + in_blocks(bytes) + copy_room <= self.limit
    }

    /// The size of the log at which compaction has to begin.
    fn full_at(&self, bytes: u64) -> u64 {
        self.limit.saturating_sub(self.copy_room(bytes)) / (MIN_SCAN_RATIO + 1) * MIN_SCAN_RATIO
    }

    /// There is room for another `bytes` of live records beside those that are live or `promised`, for good.
    pub fn has_space_for(&self, bytes: u64, promised: u64) -> bool {
        let full_at = self.full_at(bytes);
        self.live + promised + bytes <= full_at - full_at / MIN_SCAN_RATIO
    }

    /// Enough is dead, or the folder full enough, that the oldest segment should be compacted.
    pub fn compaction_due(&self) -> bool {
        let used = self.used_bytes();
        let dead = used.saturating_sub(self.live);
        let small = SMALL_LOG.min(self.limit / 2);
        (used > small && dead > used / 2) || (used > self.full_at(0) && dead > used / MIN_SCAN_RATIO)
    }

    /// The segment to compact next: the oldest. None where only the active one is left.
    pub fn oldest_sealed(&self) -> Option<u32> {
        self.sealed.first_key_value().map(|(segment, _)| *segment)
    }

    /// A segment's file may be removed: nothing in it is needed, and no older one holds what its removals are about.
    pub fn can_remove(&self, segment: u32) -> bool {
        self.oldest_sealed() == Some(segment) && self.is_dead(segment)
    }

    /// Bytes that a step of compaction looks through where so many were appended since the last.
    pub fn step_budget_bytes(&self, appended: u64) -> u64 {
        (MIN_SCAN_RATIO * appended).clamp(MIN_STEP_BYTES, LONGEST_STEP)
    }

    /// How many segments there are.
    pub fn segment_count(&self) -> usize {
        self.sealed.len() + usize::from(self.active.is_some())
    }

    /// The number of the segment after all others.
    pub fn next_segment_id(&self) -> u32 {
        let last = self.active.map(|a| a.0).or_else(|| self.sealed.last_key_value().map(|s| *s.0));
        last.map_or(1, |last| last + 1)
    }
}
