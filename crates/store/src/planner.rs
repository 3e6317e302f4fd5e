//! Decides when segments are sealed, compacted and removed, from their sizes alone and without any I/O.
//!
//! Compaction must reclaim space faster than appends use it. As it scans at least [`MIN_SCAN_RATIO`] bytes
//! for each appended byte, `T / MIN_SCAN_RATIO` bytes are appended during one pass over a log of `T` bytes.
//! So if a pass begins at `T` bytes or less, and `T + T / MIN_SCAN_RATIO + compaction reserve` is within the
//! disk limit, the limit holds during the whole pass. The next pass need not begin before this one ends as
//! long as live records take up at most `T - T / MIN_SCAN_RATIO`.

use std::collections::BTreeMap;

/// Minimum bytes scanned by compaction for each appended byte.
pub const MIN_SCAN_RATIO: u64 = 8;
/// Minimum of the limit on the bytes that one compaction step scans.
pub const MIN_STEP_BYTES: u64 = 64 * 1024;
/// Minimum of the limit on the records that one compaction step scans.
pub const MIN_STEP_RECORDS: usize = 256;
/// Maximum of the limit on the bytes that one compaction step scans. If more than this divided by
/// [`MIN_SCAN_RATIO`] is appended between two steps, an append to a full log runs compaction until its record
/// fits.
const MAX_STEP_BYTES: u64 = 1024 * 1024;
/// Unit in which the file system allocates space.
const BLOCK_BYTES: u64 = 4096;
/// Maximum of the target size of a segment.
const MAX_SEGMENT_BYTES: u64 = 4 * 1024 * 1024;
/// A segment's target size is the disk limit divided by this, between the minimum and the maximum.
const SEGMENTS_PER_LIMIT: u64 = 16;
/// Minimum of the target size of a segment.
const MIN_SEGMENT_BYTES: u64 = 16 * 1024;
/// A log no larger than this or half of its disk limit, whichever is smaller, is not compacted merely because
/// most of it is dead.
const SMALL_LOG_BYTES: u64 = 32 * 1024 * 1024;
/// Space for the headers and partly used blocks of segments that compaction begins, and for files other than
/// segments.
const OVERHEAD_BYTES: u64 = 3 * BLOCK_BYTES;

/// Returns the space that the file system allocates for so many bytes.
fn round_up_to_blocks(bytes: u64) -> u64 {
    bytes.div_ceil(BLOCK_BYTES) * BLOCK_BYTES
}

/// Tracks the sizes of all segments and decides what to do with them.
#[derive(Debug, Clone)]
pub struct Planner {
    /// The disk limit of all segments together.
    limit_bytes: u64,
    /// Whether appends that exceed the limit are refused.
    limit_enforced: bool,
    /// File sizes of the sealed segments, in bytes, by segment id.
    sealed_sizes: BTreeMap<u32, u64>,
    /// The sum of these sizes in whole blocks.
    sealed_disk_bytes: u64,
    /// Id and size in bytes of the unsealed segment; the size includes its future checkpoint.
    active_segment: Option<(u32, u64)>,
    /// Total bytes of records that are still needed.
    live_bytes: u64,
    /// The same by segment id; segments without live records have no entry.
    live_bytes_by_segment: BTreeMap<u32, u64>,
    /// Size of the largest record since the log last had no live records.
    largest_record_bytes: u64,
}

impl Planner {
    /// Creates a planner for an empty folder that may take up `limit_bytes` on disk.
    pub fn new(limit_bytes: u64) -> Self {
        Planner {
            limit_bytes,
            limit_enforced: true,
            sealed_sizes: BTreeMap::new(),
            sealed_disk_bytes: 0,
            active_segment: None,
            live_bytes: 0,
            live_bytes_by_segment: BTreeMap::new(),
            largest_record_bytes: 0,
        }
    }

    /// Changes the disk limit.
    pub fn set_disk_limit(&mut self, limit_bytes: u64) {
        self.limit_bytes = limit_bytes;
    }

    /// Sets whether records must fit in the disk limit. Switched off while records are migrated that were
    /// accepted under the limit of another storage format.
    pub fn enforce_disk_limit(&mut self, limit_enforced: bool) {
        self.limit_enforced = limit_enforced;
    }

    /// Returns the size, including the checkpoint, up to which records are appended to a segment. Only a
    /// segment with a single larger record, or one written under a higher disk limit, exceeds it.
    pub fn target_segment_bytes(&self) -> u64 {
        (self.limit_bytes / SEGMENTS_PER_LIMIT).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES)
    }

    /// Returns the bytes on disk, in whole blocks, as if the active segment were sealed.
    pub fn used_bytes(&self) -> u64 {
        self.sealed_disk_bytes + self.active_segment.map_or(0, |(_, bytes)| round_up_to_blocks(bytes))
    }

    /// Returns the bytes of all live records, including their checkpoint items.
    pub fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    /// Adds a sealed segment of the given file size.
    pub fn add_sealed_segment(&mut self, segment_id: u32, size_bytes: u64) {
        self.sealed_sizes.insert(segment_id, size_bytes);
        self.sealed_disk_bytes += round_up_to_blocks(size_bytes);
    }

    /// Sets the active segment and its size, which includes its future checkpoint.
    pub fn set_active_segment(&mut self, segment_id: u32, size_bytes: u64) {
        self.active_segment = Some((segment_id, size_bytes));
    }

    /// Marks the active segment as sealed (even if writing its checkpoint failed), with its final size.
    pub fn seal_active(&mut self, size_bytes: u64) {
        if let Some((segment_id, _)) = self.active_segment.take() {
            self.add_sealed_segment(segment_id, size_bytes);
        }
    }

    /// Removes a sealed segment from the plan.
    pub fn remove_segment(&mut self, segment_id: u32) {
        if let Some(bytes) = self.sealed_sizes.remove(&segment_id) {
            self.sealed_disk_bytes -= round_up_to_blocks(bytes);
        }
    }

    /// Adds a live record; `record_bytes` includes its checkpoint item.
    pub fn add_live_record(&mut self, segment_id: u32, record_bytes: u64) {
        self.live_bytes += record_bytes;
        *self.live_bytes_by_segment.entry(segment_id).or_default() += record_bytes;
        self.largest_record_bytes = self.largest_record_bytes.max(record_bytes);
    }

    /// Marks a record as dead, with the same size as it was added with.
    pub fn remove_live_record(&mut self, segment_id: u32, record_bytes: u64) {
        self.live_bytes -= record_bytes;
        if let Some(live_bytes) = self.live_bytes_by_segment.get_mut(&segment_id) {
            *live_bytes -= record_bytes;
            if *live_bytes == 0 {
                self.live_bytes_by_segment.remove(&segment_id);
            }
        }
        if self.live_bytes == 0 {
            self.largest_record_bytes = 0;
        }
    }

    /// Returns whether a segment has no live records.
    pub fn is_dead(&self, segment_id: u32) -> bool {
        !self.live_bytes_by_segment.contains_key(&segment_id)
    }

    /// Returns whether the active segment must be sealed before a record of this size is appended. A segment
    /// without records takes a record of any size.
    pub fn should_seal(&self, has_records: bool, record_bytes: u64) -> bool {
        let target_bytes = self.target_segment_bytes();
        self.active_segment
            .is_some_and(|(_, active_bytes)| has_records && active_bytes + record_bytes > target_bytes)
    }

    /// Returns the space that only compaction may use: for the live records of one segment, which exist twice
    /// until the old segment is removed.
    fn compaction_reserve(&self, record_bytes: u64) -> u64 {
        round_up_to_blocks(self.target_segment_bytes() + self.largest_record_bytes.max(record_bytes))
            + OVERHEAD_BYTES
    }

    /// Returns whether a record can be appended now.
    pub fn fits(&self, record_bytes: u64) -> bool {
        // The oldest segment may be larger than today's target size: the limit may have been higher when it
        // was written.
        let oldest_bytes = self
            .sealed_sizes
            .first_key_value()
            .map_or(0, |(_, size_bytes)| round_up_to_blocks(*size_bytes) + OVERHEAD_BYTES);
        let compaction_reserve = self.compaction_reserve(record_bytes).max(oldest_bytes);
        !self.limit_enforced
            || self.used_bytes() + round_up_to_blocks(record_bytes) + compaction_reserve <= self.limit_bytes
    }

    /// Returns the size of the log at which compaction must begin: `T` in the module documentation.
    fn compaction_threshold(&self, record_bytes: u64) -> u64 {
        self.limit_bytes.saturating_sub(self.compaction_reserve(record_bytes)) / (MIN_SCAN_RATIO + 1)
            * MIN_SCAN_RATIO
    }

    /// Returns whether `record_bytes` of live records can be added to the present ones and to the
    /// `reserved_bytes` of later ones such that compaction always keeps the log within the limit.
    pub fn has_space_for(&self, record_bytes: u64, reserved_bytes: u64) -> bool {
        let compaction_threshold = self.compaction_threshold(record_bytes);
        self.live_bytes + reserved_bytes + record_bytes
            <= compaction_threshold - compaction_threshold / MIN_SCAN_RATIO
    }

    /// Returns whether the oldest segment should be compacted: the log is not small and more than half of it
    /// is dead, or the log is close to its limit and more than one part in [`MIN_SCAN_RATIO`] of it is dead.
    pub fn compaction_due(&self) -> bool {
        let used_bytes = self.used_bytes();
        let dead_bytes = used_bytes.saturating_sub(self.live_bytes);
        let small_log_bytes = SMALL_LOG_BYTES.min(self.limit_bytes / 2);
        (used_bytes > small_log_bytes && dead_bytes > used_bytes / 2)
            || (used_bytes > self.compaction_threshold(0) && dead_bytes > used_bytes / MIN_SCAN_RATIO)
    }

    /// Returns the oldest sealed segment, which is compacted next; `None` if only the active segment is left.
    pub fn oldest_sealed(&self) -> Option<u32> {
        self.sealed_sizes.first_key_value().map(|(segment_id, _)| *segment_id)
    }

    /// Returns whether a segment's file may be removed: it has no live records, and no older segment has
    /// records that its tombstones delete.
    pub fn can_remove(&self, segment_id: u32) -> bool {
        self.oldest_sealed() == Some(segment_id) && self.is_dead(segment_id)
    }

    /// Returns how many bytes a compaction step may scan, given the bytes appended since the previous step.
    pub fn step_budget_bytes(&self, appended_bytes: u64) -> u64 {
        (MIN_SCAN_RATIO * appended_bytes).clamp(MIN_STEP_BYTES, MAX_STEP_BYTES)
    }

    /// Returns the number of segments, including the active one.
    pub fn segment_count(&self) -> usize {
        self.sealed_sizes.len() + usize::from(self.active_segment.is_some())
    }

    /// Returns the id for a new segment, one above the newest.
    pub fn next_segment_id(&self) -> u32 {
        let last_segment_id = self
            .active_segment
            .map(|active| active.0)
            .or_else(|| self.sealed_sizes.last_key_value().map(|sealed| *sealed.0));
        last_segment_id.map_or(1, |last_id| last_id + 1)
    }
}
