//! Compaction: copies the live records of the oldest segment to the newest one, in bounded steps, and then
//! removes the oldest segment.

use super::open::read_frames;
use super::{DAMAGED_PAYLOAD_BYTES, DamagedValue, IndexEntry, Store, UNREADABLE_SEGMENT_ID};
use crate::files::Files;
use crate::frame::{self, FRAME_OVERHEAD, HEADER_LENGTH, RecordKind, RecordPosition};
use crate::planner::MIN_STEP_RECORDS;
use std::io::{self, ErrorKind};

/// The progress of compacting one segment.
#[derive(Debug)]
pub(super) struct Compaction {
    segment_id: u32,
    name: String,
    /// The records before this offset are copied or dead.
    offset: u64,
    /// Length of the segment's file.
    end_offset: u64,
}

impl<F: Files> Store<F> {
    /// Returns whether a compaction step is due.
    pub fn needs_compaction(&self) -> bool {
        !self.compaction_stalled && (self.compaction.is_some() || self.planner.compaction_due())
    }

    /// Runs one bounded compaction step if one is due.
    ///
    /// After an error, no step is due until the next record is appended.
    pub fn run_compaction_step(&mut self) -> io::Result<()> {
        let appended_bytes = std::mem::take(&mut self.appended_since_step);
        if !self.needs_compaction() {
            return Ok(());
        }
        let max_bytes = self.planner.step_budget_bytes(appended_bytes);
        let result = self.compact(max_bytes, MIN_STEP_RECORDS.max(max_bytes as usize / 256));
        self.compaction_stalled = result.is_err();
        result.map(drop)
    }

    /// Compacts until a record of this size fits. Fails with `StorageFull` if it does not fit after all
    /// segments were compacted.
    pub(super) fn free_space_for(&mut self, record_bytes: u64) -> io::Result<()> {
        // The number of segments is taken once: segments that compaction itself fills need not be compacted
        // again.
        for _ in 0..=self.planner.segment_count() {
            while !self.compact(u64::MAX, usize::MAX)? {}
            if self.planner.fits(record_bytes) {
                return Ok(());
            }
        }
        Err(ErrorKind::StorageFull.into())
    }

    /// Continues to compact the oldest segment, within a limit of scanned bytes and records. Returns true if
    /// the segment was removed or there is none.
    fn compact(&mut self, max_bytes: u64, max_records: usize) -> io::Result<bool> {
        if self.compaction.is_none() {
            self.begin_compaction()?;
        }
        let Some(mut compaction) = self.compaction.take() else { return Ok(true) };
        let copied = self.copy_live_records(&mut compaction, max_bytes, max_records);
        let Compaction { segment_id, name, .. } = &compaction;
        let (segment_id, name) = (*segment_id, name.clone());
        self.compaction = Some(compaction);
        copied?;
        if !self.planner.can_remove(segment_id) {
            return Ok(false);
        }
        match self.files.remove(&name) {
            Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        self.planner.remove_segment(segment_id);
        self.compaction = None;
        Ok(true)
    }

    /// Begins to compact the oldest segment; seals the active one if there is no other.
    fn begin_compaction(&mut self) -> io::Result<()> {
        if self.planner.oldest_sealed().is_none() {
            self.seal_active_segment();
        }
        let Some(segment_id) = self.planner.oldest_sealed() else { return Ok(()) };
        let name = frame::segment_name(segment_id);
        let end_offset = self.files.length(&name)?;
        self.compaction = Some(Compaction { segment_id, name, offset: HEADER_LENGTH as u64, end_offset });
        Ok(())
    }

    /// Copies live records to the active segment until a limit is reached or the segment has no more live
    /// records.
    fn copy_live_records(
        &mut self, compaction: &mut Compaction, max_bytes: u64, max_records: usize,
    ) -> io::Result<()> {
        let (mut remaining_bytes, mut remaining_records) = (max_bytes, max_records);
        let mut buffer = std::mem::take(&mut self.read_buffer);
        let mut copied = Ok(());
        while copied.is_ok()
            && !self.planner.is_dead(compaction.segment_id)
            && remaining_bytes > 0
            && remaining_records > 0
        {
            copied = self.copy_chunk(compaction, &mut buffer, &mut remaining_bytes, &mut remaining_records);
        }
        self.read_buffer = buffer;
        copied
    }

    /// Reads one chunk of the segment and copies its live records.
    fn copy_chunk(
        &mut self, compaction: &mut Compaction, buffer: &mut Vec<u8>, remaining_bytes: &mut u64,
        remaining_records: &mut usize,
    ) -> io::Result<()> {
        let Compaction { segment_id, name, offset, end_offset } = compaction;
        buffer.clear();
        if *offset < *end_offset {
            read_frames(&mut self.files, name, *offset, *end_offset, buffer)?;
        }
        if buffer.is_empty()
            || frame::peek_kind_and_key(buffer).is_none_or(|(kind, _)| kind == RecordKind::Checkpoint)
        {
            return self.copy_remaining_by_position(*segment_id);
        }
        let mut rest = buffer.as_slice();
        while let Some(length) = frame::declared_frame_length(rest)
            && *remaining_bytes > 0
            && *remaining_records > 0
        {
            let (frame, following) = rest.split_at(length);
            let position =
                RecordPosition { segment_id: *segment_id, offset: *offset as u32, length: length as u32 };
            let Some((kind, key)) = frame::peek_kind_and_key(frame) else { break };
            if self.entry(kind, key).is_some_and(|entry| entry.position == position) {
                self.copy_frame(kind, key, frame)?;
            }
            *offset += length as u64;
            *remaining_bytes = remaining_bytes.saturating_sub(length as u64);
            *remaining_records -= 1;
            rest = following;
        }
        Ok(())
    }

    /// Copies a live record to the active segment and updates its position; a damaged record is marked as
    /// unreadable.
    fn copy_frame(&mut self, kind: RecordKind, key: u64, frame: &[u8]) -> io::Result<()> {
        let position = match frame::decode_frame(frame) {
            Some(record) if record.kind == kind && record.key == key => self.write_frame(&record, frame)?,
            _ => {
                self.unreadable_count += 1;
                if kind == RecordKind::Value {
                    self.keep_damaged_value(key, frame);
                }
                RecordPosition { segment_id: UNREADABLE_SEGMENT_ID, offset: 0, length: frame.len() as u32 }
            }
        };
        self.move_entry(kind, key, position);
        Ok(())
    }

    /// Keeps what can be kept of a damaged value before its segment is removed.
    fn keep_damaged_value(&mut self, key: u64, frame: &[u8]) {
        let Some(entry) = self.values.get(&key) else { return };
        let payload = frame.get(FRAME_OVERHEAD + usize::from(entry.metadata_length)..).unwrap_or_default();
        let payload_start = payload[..payload.len().min(DAMAGED_PAYLOAD_BYTES)].to_vec();
        self.damaged_values.insert(key, DamagedValue { position: entry.position, payload_start });
        self.unreported_damaged_keys.push(key);
    }

    /// Copies the remaining live records by their indexed positions. Used when a damaged frame makes it
    /// impossible to follow the frames to the end of the segment.
    fn copy_remaining_by_position(&mut self, segment_id: u32) -> io::Result<()> {
        let name = frame::segment_name(segment_id);
        let in_segment = |(key, entry): (&u64, &IndexEntry)| {
            (entry.position.segment_id == segment_id).then_some((*key, entry.position))
        };
        let values = self
            .values
            .iter()
            .filter_map(in_segment)
            .map(|(key, position)| (RecordKind::Value, key, position));
        let states = self
            .states
            .iter()
            .filter_map(in_segment)
            .map(|(key, position)| (RecordKind::State, key, position));
        let remaining: Vec<(RecordKind, u64, RecordPosition)> = values.chain(states).collect();
        for (kind, key, position) in remaining {
            let mut frame = vec![0; position.length as usize];
            // If the file is too short, the zeros in the buffer are not a valid frame and the record counts
            // as unreadable.
            match self.files.read_at(&name, u64::from(position.offset), &mut frame) {
                Err(error) if error.kind() != ErrorKind::UnexpectedEof => return Err(error),
                _ => self.copy_frame(kind, key, &frame)?,
            }
        }
        Ok(())
    }
}
