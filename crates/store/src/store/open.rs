//! A start: checkpoints of sealed segments are read, and the records of those without one.

use super::{Active, Store};
use crate::files::Files;
use crate::frame::{self, FRAME, HEADER, Record, RecordKind, RecordPosition, TRAILER};
use crate::planner::Planner;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};

/// Bytes read at once.
pub(super) const CHUNK: usize = 64 * 1024;

/// A record as a start finds it, without its payload.
#[derive(Debug, Clone, Copy)]
pub struct ReplayedRecord<'a> {
    pub kind: RecordKind,
    pub tag: u8,
    pub key: u64,
    pub metadata: &'a [u8],
    pub position: RecordPosition,
}

/// What a start found besides records.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenSummary {
    /// Bytes of unfinished records that were dropped.
    pub torn_bytes: u64,
    /// Bytes that were read.
    pub read_bytes: u64,
}

/// Reads from a place in a file: a whole frame at least where one stands there, and as many as fit in a chunk. The
/// buffer is left with whole frames only; empty where there is none.
pub(super) fn read_frames<F: Files>(
    files: &mut F, name: &str, offset: u64, end: u64, buffer: &mut Vec<u8>,
) -> io::Result<()> {
    let left = (end - offset) as usize;
    buffer.resize(left.min(CHUNK), 0);
    files.read_at(name, offset, buffer)?;
    let first = frame::frame_length(buffer).unwrap_or(usize::MAX);
    if first > buffer.len() && first <= left {
        buffer.resize(first, 0);
        files.read_at(name, offset, buffer)?;
    }
    let mut whole = 0;
    while let Some(length) = frame::frame_length(&buffer[whole..]).filter(|l| *l <= buffer.len() - whole) {
        whole += length;
    }
    buffer.truncate(whole);
    Ok(())
}

impl<F: Files> Store<F> {
    /// Opens the segments among the files, which may take up `limit` bytes together. `replay` is told each record in
    /// the order they were written, those that are not live any more among them.
    ///
    /// `InvalidData` where a segment is of another version.
    pub fn open(
        files: F, limit: u64, mut replay: impl FnMut(ReplayedRecord),
    ) -> io::Result<(Self, OpenSummary)> {
        let mut segments: Vec<u32> =
            files.list()?.iter().filter_map(|name| frame::segment_id(name)).collect();
        segments.sort_unstable();
        let mut store = Store {
            files,
            planner: Planner::new(limit),
            active: None,
            values: BTreeMap::new(),
            states: BTreeMap::new(),
            deferred: VecDeque::new(),
            compaction: None,
            appended: 0,
            stalled: false,
            lost: 0,
            buffer: Vec::new(),
        };
        // Nothing is changed before all of them are known to be of this version.
        for segment in &segments {
            store.check_version(*segment)?;
        }
        let mut opened = OpenSummary::default();
        let last = segments.last().copied();
        for segment in segments {
            let is_last = Some(segment) == last;
            store.open_segment(segment, is_last, &mut replay, &mut opened)?;
        }
        store.open_active()?;
        Ok((store, opened))
    }

    /// Makes sure that there is a segment to append to, and that its file is open: records can be written from then on
    /// also where descriptors are short. Where the disk fails a start still has to read what there is.
    fn open_active(&mut self) -> io::Result<()> {
        let opened = match &self.active {
            Some(active) => self.files.append(&active.name, &[]),
            None => self.create_active(),
        };
        let forbidden = [ErrorKind::PermissionDenied, ErrorKind::ReadOnlyFilesystem];
        opened.or_else(|error| if forbidden.contains(&error.kind()) { Err(error) } else { Ok(()) })
    }

    fn check_version(&mut self, segment: u32) -> io::Result<()> {
        let name = frame::segment_name(segment);
        if self.files.length(&name)? < HEADER as u64 {
            return Ok(());
        }
        let mut header = [0; HEADER];
        self.files.read_at(&name, 0, &mut header)?;
        frame::check_header(&header, segment)
    }

    fn open_segment(
        &mut self, segment: u32, is_last: bool, replay: &mut impl FnMut(ReplayedRecord),
        opened: &mut OpenSummary,
    ) -> io::Result<()> {
        let name = frame::segment_name(segment);
        let length = self.files.length(&name)?;
        if length < HEADER as u64 {
            // The process ended while it made this one.
            opened.torn_bytes += length;
            // Where it cannot be removed it is made anew, as its key is the next one.
            let _ = self.files.remove(&name);
            return Ok(());
        }
        self.planner.add_sealed_segment(segment, length);
        if let Some(items) = self.read_checkpoint(&name, length)? {
            opened.read_bytes += items.len() as u64;
            self.replay_items(segment, &items, replay);
            return Ok(());
        }
        let (whole, items) = self.replay_frames(segment, length, replay)?;
        opened.read_bytes += length;
        opened.torn_bytes += length - whole;
        if is_last {
            // Where it cannot be cut off now it is before the next record.
            let in_doubt = whole < length && self.files.truncate(&name, whole).is_err();
            let active = Active { segment, name, length: whole, items, in_doubt };
            self.planner.remove_segment(segment);
            self.planner.set_active_segment(segment, active.sealed_length());
            self.active = Some(active);
        }
        Ok(())
    }

    /// The items of a sealed segment's checkpoint; nothing where there is no sound one.
    fn read_checkpoint(&mut self, name: &str, length: u64) -> io::Result<Option<Vec<u8>>> {
        let Some(end) = length.checked_sub(TRAILER as u64).filter(|end| *end >= (HEADER + FRAME) as u64)
        else {
            return Ok(None);
        };
        let mut trailer = [0; TRAILER];
        self.files.read_at(name, end, &mut trailer)?;
        let Some(offset) = frame::decode_trailer(&trailer).filter(|o| (HEADER as u64..end).contains(o))
        else {
            return Ok(None);
        };
        let mut bytes = vec![0; (end - offset) as usize];
        self.files.read_at(name, offset, &mut bytes)?;
        let Some(checkpoint) = frame::decode(&bytes).filter(|r| r.kind == RecordKind::Checkpoint) else {
            return Ok(None);
        };
        let mut items = checkpoint.payload;
        while !items.is_empty() {
            let sound = |(_, at, length): &(Record, u32, u32)| u64::from(*at) + u64::from(*length) <= offset;
            if !frame::decode_item(&mut items).as_ref().is_some_and(sound) {
                return Ok(None);
            }
        }
        Ok(Some(checkpoint.payload.to_vec()))
    }

    fn replay_items(&mut self, segment: u32, mut items: &[u8], replay: &mut impl FnMut(ReplayedRecord)) {
        while let Some((record, offset, length)) = frame::decode_item(&mut items) {
            self.replay_record(&record, RecordPosition { segment, offset, length }, replay);
        }
    }

    /// Replays the records of a segment without a checkpoint: where they end, and the items for one.
    fn replay_frames(
        &mut self, segment: u32, end: u64, replay: &mut impl FnMut(ReplayedRecord),
    ) -> io::Result<(u64, Vec<u8>)> {
        let name = frame::segment_name(segment);
        let (mut offset, mut items) = (HEADER as u64, Vec::new());
        let mut buffer = std::mem::take(&mut self.buffer);
        'chunks: while offset < end {
            read_frames(&mut self.files, &name, offset, end, &mut buffer)?;
            let mut rest = buffer.as_slice();
            while let Some(length) = frame::frame_length(rest) {
                let (frame, behind) = rest.split_at(length);
                let Some(record) = frame::decode(frame).filter(|r| r.kind != RecordKind::Checkpoint) else {
                    break 'chunks;
                };
                frame::encode_item(&mut items, &record, offset as u32);
                let position = RecordPosition { segment, offset: offset as u32, length: length as u32 };
                self.replay_record(&record, position, replay);
                offset += length as u64;
                rest = behind;
            }
            if buffer.is_empty() {
                break;
            }
        }
        self.buffer = buffer;
        Ok((offset, items))
    }

    fn replay_record(
        &mut self, record: &Record, position: RecordPosition, replay: &mut impl FnMut(ReplayedRecord),
    ) {
        self.apply(record, position);
        let Record { kind, tag, key, metadata, .. } = *record;
        replay(ReplayedRecord { kind, tag, key, metadata, position });
    }
}
