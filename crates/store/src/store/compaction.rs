//! Compaction: the oldest segment's live records are copied to the newest, in bounded steps; then it is removed.

use super::open::read_frames;
use super::{Cell, LOST, Store};
use crate::files::Files;
use crate::frame::{self, HEADER, RecordKind, RecordPosition};
use crate::planner::MIN_STEP_RECORDS;
use std::io::{self, ErrorKind};

/// A segment under compaction.
#[derive(Debug)]
pub(super) struct Compaction {
    segment: u32,
    name: String,
    /// What stands before is copied, or not needed.
    offset: u64,
    end: u64,
}

impl<F: Files> Store<F> {
    /// A step of compaction is due.
    pub fn needs_compaction(&self) -> bool {
        !self.stalled && (self.compaction.is_some() || self.planner.compaction_due())
    }

    /// Makes one bounded step of compaction, where one is due.
    ///
    /// After an error nothing is due until the next record is appended.
    pub fn run_compaction_step(&mut self) -> io::Result<()> {
        let appended = std::mem::take(&mut self.appended);
        if !self.needs_compaction() {
            return Ok(());
        }
        let bytes = self.planner.step_budget_bytes(appended);
        let stepped = self.compact(bytes, MIN_STEP_RECORDS.max(bytes as usize / 256));
        self.stalled = stepped.is_err();
        stepped.map(drop)
    }

    /// Compacts until a record of so many bytes fits, or all was compacted. `StorageFull` where it does not fit then.
    pub(super) fn make_room(&mut self, bytes: u64) -> io::Result<()> {
        // Those that compaction itself fills need not be looked at.
        for _ in 0..=self.planner.segment_count() {
            while !self.compact(u64::MAX, usize::MAX)? {}
            if self.planner.fits(bytes) {
                return Ok(());
            }
        }
        Err(ErrorKind::StorageFull.into())
    }

    /// Goes on with the oldest segment for so many bytes and records. True when it is removed, or there is none.
    fn compact(&mut self, bytes: u64, records: usize) -> io::Result<bool> {
        if self.compaction.is_none() {
            self.begin_compaction()?;
        }
        let Some(mut compaction) = self.compaction.take() else { return Ok(true) };
        let copied = self.copy_live(&mut compaction, bytes, records);
        let Compaction { segment, name, .. } = &compaction;
        let (segment, name) = (*segment, name.clone());
        self.compaction = Some(compaction);
        copied?;
        if !self.planner.can_remove(segment) {
            return Ok(false);
        }
        match self.files.remove(&name) {
            Err(error) if error.kind() != ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        self.planner.remove_segment(segment);
        self.compaction = None;
        Ok(true)
    }

    fn begin_compaction(&mut self) -> io::Result<()> {
        if self.planner.oldest_sealed().is_none() {
            self.seal();
        }
        let Some(segment) = self.planner.oldest_sealed() else { return Ok(()) };
        let name = frame::segment_name(segment);
        let end = self.files.length(&name)?;
        self.compaction = Some(Compaction { segment, name, offset: HEADER as u64, end });
        Ok(())
    }

    fn copy_live(&mut self, compaction: &mut Compaction, bytes: u64, records: usize) -> io::Result<()> {
        let (mut bytes_left, mut records_left) = (bytes, records);
        let mut buffer = std::mem::take(&mut self.buffer);
        let mut copied = Ok(());
        while copied.is_ok()
            && !self.planner.is_dead(compaction.segment)
            && bytes_left > 0
            && records_left > 0
        {
            copied = self.copy_chunk(compaction, &mut buffer, &mut bytes_left, &mut records_left);
        }
        self.buffer = buffer;
        copied
    }

    fn copy_chunk(
        &mut self, compaction: &mut Compaction, buffer: &mut Vec<u8>, bytes_left: &mut u64,
        records_left: &mut usize,
    ) -> io::Result<()> {
        let Compaction { segment, name, offset, end } = compaction;
        buffer.clear();
        if *offset < *end {
            read_frames(&mut self.files, name, *offset, *end, buffer)?;
        }
        if buffer.is_empty() || frame::peek(buffer).is_none_or(|(kind, _)| kind == RecordKind::Checkpoint) {
            return self.copy_by_position(*segment);
        }
        let mut rest = buffer.as_slice();
        while let Some(length) = frame::frame_length(rest)
            && *bytes_left > 0
            && *records_left > 0
        {
            let (frame, behind) = rest.split_at(length);
            let position =
                RecordPosition { segment: *segment, offset: *offset as u32, length: length as u32 };
            let Some((kind, key)) = frame::peek(frame) else { break };
            if self.cell(kind, key).is_some_and(|cell| cell.position == position) {
                self.copy_frame(kind, key, frame)?;
            }
            *offset += length as u64;
            *bytes_left = bytes_left.saturating_sub(length as u64);
            *records_left -= 1;
            rest = behind;
        }
        Ok(())
    }

    fn copy_frame(&mut self, kind: RecordKind, key: u64, frame: &[u8]) -> io::Result<()> {
        let position = match frame::decode(frame) {
            Some(record) if record.kind == kind && record.key == key => self.write_frame(&record, frame)?,
            _ => {
                self.lost += 1;
                RecordPosition { segment: LOST, offset: 0, length: frame.len() as u32 }
            }
        };
        self.move_cell(kind, key, position);
        Ok(())
    }

    /// What is live in a segment whose frames cannot be followed to their end, because one is damaged.
    fn copy_by_position(&mut self, segment: u32) -> io::Result<()> {
        let name = frame::segment_name(segment);
        let here =
            |(key, cell): (&u64, &Cell)| (cell.position.segment == segment).then_some((*key, cell.position));
        let values = self.values.iter().filter_map(here).map(|(n, p)| (RecordKind::Value, n, p));
        let states = self.states.iter().filter_map(here).map(|(n, p)| (RecordKind::State, n, p));
        let left: Vec<(RecordKind, u64, RecordPosition)> = values.chain(states).collect();
        for (kind, key, position) in left {
            let mut frame = vec![0; position.length as usize];
            // Behind the end of a file that is too short there is nothing but zeros.
            match self.files.read_at(&name, u64::from(position.offset), &mut frame) {
                Err(error) if error.kind() != ErrorKind::UnexpectedEof => return Err(error),
                _ => self.copy_frame(kind, key, &frame)?,
            }
        }
        Ok(())
    }
}
