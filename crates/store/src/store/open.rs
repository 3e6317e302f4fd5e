//! Opening a store: reads the checkpoints of sealed segments, and all records of the other ones.

use super::{ActiveSegment, Store};
use crate::files::Files;
use crate::frame::{self, HEADER_LENGTH, Record, RecordKind, RecordPosition, SealState, TRAILER_LENGTH};
use crate::planner::Planner;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};

/// Bytes read from a segment at once, unless a single frame is larger.
pub(super) const READ_CHUNK_BYTES: usize = 64 * 1024;

/// A record as it is replayed when the store is opened, without its payload.
#[derive(Debug, Clone, Copy)]
pub struct ReplayedRecord<'a> {
    /// What the record does to its key.
    pub kind: RecordKind,
    /// The type of the value, as in [`Record::tag`].
    pub tag: u8,
    /// The key that the record is about.
    pub key: u64,
    /// The record's metadata, as in [`Record::metadata`].
    pub metadata: &'a [u8],
    /// Where the payload can be read with [`Store::read_payload`].
    pub position: RecordPosition,
}

/// Figures about opening a store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OpenSummary {
    /// Bytes of incomplete or damaged records that were dropped.
    pub torn_bytes: u64,
    /// Bytes that were read from segments.
    pub read_bytes: u64,
}

/// Reads the whole frames at `offset` of a file into `buffer`: as many as fit in a chunk, and at least one if
/// a whole frame starts there. The buffer is empty if none does.
pub(super) fn read_frames<F: Files>(
    files: &mut F, name: &str, offset: u64, end_offset: u64, buffer: &mut Vec<u8>,
) -> io::Result<()> {
    let remaining_bytes = (end_offset - offset) as usize;
    buffer.resize(remaining_bytes.min(READ_CHUNK_BYTES), 0);
    files.read_at(name, offset, buffer)?;
    let first_frame_length = frame::declared_frame_length(buffer).unwrap_or(usize::MAX);
    if first_frame_length > buffer.len() && first_frame_length <= remaining_bytes {
        buffer.resize(first_frame_length, 0);
        files.read_at(name, offset, buffer)?;
    }
    let mut whole_length = 0;
    while let Some(length) = frame::declared_frame_length(&buffer[whole_length..])
        .filter(|length| *length <= buffer.len() - whole_length)
    {
        whole_length += length;
    }
    buffer.truncate(whole_length);
    Ok(())
}

impl<F: Files> Store<F> {
    /// Opens the segments among the files, which may take up `limit_bytes` on disk together. Calls `replay`
    /// for each record in the order they were written, including records that are no longer live.
    ///
    /// Fails with `InvalidData` if a segment has another format version.
    pub fn open(
        files: F, limit_bytes: u64, mut replay: impl FnMut(ReplayedRecord),
    ) -> io::Result<(Self, OpenSummary)> {
        let mut segment_ids: Vec<u32> =
            files.list()?.iter().filter_map(|name| frame::parse_segment_name(name)).collect();
        segment_ids.sort_unstable();
        let mut store = Store {
            files,
            planner: Planner::new(limit_bytes),
            active: None,
            values: BTreeMap::new(),
            states: BTreeMap::new(),
            deferred: VecDeque::new(),
            compaction: None,
            appended_since_step: 0,
            compaction_stalled: false,
            unreadable_count: 0,
            damaged_values: BTreeMap::new(),
            unreported_damaged_keys: Vec::new(),
            read_buffer: Vec::new(),
        };
        // Read all headers first, so that a folder with an unsupported segment is left unchanged.
        let mut segments = Vec::with_capacity(segment_ids.len());
        for segment_id in segment_ids {
            segments.push((segment_id, store.read_header(segment_id)?));
        }
        let mut summary = OpenSummary::default();
        let last_segment_id = segments.last().map(|segment| segment.0);
        for (segment_id, seal_state) in segments {
            let Some(seal_state) = seal_state else {
                store.drop_incomplete_segment(segment_id, &mut summary)?;
                continue;
            };
            let is_last = Some(segment_id) == last_segment_id;
            store.open_segment(segment_id, seal_state, is_last, &mut replay, &mut summary)?;
        }
        store.ensure_active_segment()?;
        Ok((store, summary))
    }

    /// Makes sure that there is an active segment and that its file is open, so that records can be written
    /// later even when no file descriptor is free. Failures other than missing write permission are ignored:
    /// the store must be readable even if the disk is full or faulty.
    fn ensure_active_segment(&mut self) -> io::Result<()> {
        let result = match &self.active {
            Some(active) => self.files.append(&active.name, &[]),
            None => self.create_active_segment(),
        };
        let forbidden = [ErrorKind::PermissionDenied, ErrorKind::ReadOnlyFilesystem];
        result.or_else(|error| if forbidden.contains(&error.kind()) { Err(error) } else { Ok(()) })
    }

    /// Reads the header of a segment; `None` if it is incomplete.
    fn read_header(&mut self, segment_id: u32) -> io::Result<Option<SealState>> {
        let name = frame::segment_name(segment_id);
        if self.files.length(&name)? < HEADER_LENGTH as u64 {
            return Ok(None);
        }
        let mut header = [0; HEADER_LENGTH];
        self.files.read_at(&name, 0, &mut header)?;
        frame::decode_header(&header, segment_id).map(Some)
    }

    /// Removes a segment with an incomplete header: the process was killed while it created the file.
    fn drop_incomplete_segment(&mut self, segment_id: u32, summary: &mut OpenSummary) -> io::Result<()> {
        let name = frame::segment_name(segment_id);
        summary.torn_bytes += self.files.length(&name)?;
        // If the file cannot be removed, it is replaced later, as its id is the next one to be created.
        let _ = self.files.remove(&name);
        Ok(())
    }

    /// Replays a segment. The last one becomes the active segment, unless it is sealed or of an older
    /// version.
    fn open_segment(
        &mut self, segment_id: u32, seal_state: SealState, is_last: bool,
        replay: &mut impl FnMut(ReplayedRecord), summary: &mut OpenSummary,
    ) -> io::Result<()> {
        let name = frame::segment_name(segment_id);
        let length = self.files.length(&name)?;
        self.planner.add_sealed_segment(segment_id, length);
        if let Some(items) = self.read_checkpoint(segment_id, seal_state, length, summary)? {
            self.replay_items(segment_id, &items, replay);
            return Ok(());
        }
        let (whole_length, items) = self.replay_frames(segment_id, length, replay)?;
        summary.read_bytes += length;
        summary.torn_bytes += length - whole_length;
        if is_last && seal_state != SealState::Unmarked {
            // If the torn tail cannot be cut off now, that is done before the next append.
            let may_have_torn_tail =
                whole_length < length && self.files.truncate(&name, whole_length).is_err();
            let active = ActiveSegment {
                segment_id,
                name,
                length: whole_length,
                checkpoint_items: items,
                may_have_torn_tail,
            };
            self.planner.remove_segment(segment_id);
            self.planner.set_active_segment(segment_id, active.sealed_length());
            self.active = Some(active);
        }
        Ok(())
    }

    /// Reads the items of a segment's checkpoint; `None` if the segment is not sealed or the checkpoint is
    /// damaged.
    fn read_checkpoint(
        &mut self, segment_id: u32, seal_state: SealState, length: u64, summary: &mut OpenSummary,
    ) -> io::Result<Option<Vec<u8>>> {
        if seal_state == SealState::Unsealed {
            return Ok(None);
        }
        let name = frame::segment_name(segment_id);
        let Some(trailer_offset) = length.checked_sub(TRAILER_LENGTH as u64) else { return Ok(None) };
        let mut trailer = [0; TRAILER_LENGTH];
        self.files.read_at(&name, trailer_offset, &mut trailer)?;
        let Some(checkpoint_offset) = frame::decode_trailer(&trailer)
            .filter(|offset| (HEADER_LENGTH as u64..trailer_offset).contains(offset))
        else {
            return Ok(None);
        };
        if seal_state == SealState::Unmarked {
            summary.read_bytes += length;
            if self.find_checkpoint(&name, trailer_offset)? != Some(checkpoint_offset) {
                return Ok(None);
            }
        }
        let mut bytes = vec![0; (trailer_offset - checkpoint_offset) as usize];
        self.files.read_at(&name, checkpoint_offset, &mut bytes)?;
        summary.read_bytes += bytes.len() as u64;
        let checkpoint = frame::decode_frame(&bytes).filter(|record| {
            record.kind == RecordKind::Checkpoint
                && record.key == u64::from(segment_id)
                && frame::items_fill_segment(record.payload, checkpoint_offset)
        });
        Ok(checkpoint.map(|checkpoint| checkpoint.payload.to_vec()))
    }

    /// Follows the lengths of a segment's frames and returns the offset of the checkpoint that they lead to;
    /// `None` if they lead to none.
    fn find_checkpoint(&mut self, name: &str, end_offset: u64) -> io::Result<Option<u64>> {
        let mut offset = HEADER_LENGTH as u64;
        let mut buffer = std::mem::take(&mut self.read_buffer);
        let mut checkpoint_offset = None;
        while offset < end_offset && checkpoint_offset.is_none() {
            read_frames(&mut self.files, name, offset, end_offset, &mut buffer)?;
            if buffer.is_empty() {
                break;
            }
            let mut rest = buffer.as_slice();
            while let Some(length) = frame::declared_frame_length(rest) {
                let (frame, following) = rest.split_at(length);
                if frame::peek_kind_and_key(frame).is_some_and(|(kind, _)| kind == RecordKind::Checkpoint) {
                    checkpoint_offset = Some(offset);
                    break;
                }
                offset += length as u64;
                rest = following;
            }
        }
        self.read_buffer = buffer;
        Ok(checkpoint_offset)
    }

    /// Replays the records that a checkpoint lists.
    fn replay_items(&mut self, segment_id: u32, mut items: &[u8], replay: &mut impl FnMut(ReplayedRecord)) {
        while let Some((record, offset, length)) = frame::decode_checkpoint_item(&mut items) {
            self.replay_record(&record, RecordPosition { segment_id, offset, length }, replay);
        }
    }

    /// Replays the records of a segment without a checkpoint. Returns the offset at which they end and their
    /// encoded checkpoint items.
    fn replay_frames(
        &mut self, segment_id: u32, end_offset: u64, replay: &mut impl FnMut(ReplayedRecord),
    ) -> io::Result<(u64, Vec<u8>)> {
        let name = frame::segment_name(segment_id);
        let (mut offset, mut items) = (HEADER_LENGTH as u64, Vec::new());
        let mut buffer = std::mem::take(&mut self.read_buffer);
        'chunks: while offset < end_offset {
            read_frames(&mut self.files, &name, offset, end_offset, &mut buffer)?;
            let mut rest = buffer.as_slice();
            while let Some(length) = frame::declared_frame_length(rest) {
                let (frame, following) = rest.split_at(length);
                let Some(record) =
                    frame::decode_frame(frame).filter(|record| record.kind != RecordKind::Checkpoint)
                else {
                    break 'chunks;
                };
                frame::encode_checkpoint_item(&mut items, &record, offset as u32);
                let position = RecordPosition { segment_id, offset: offset as u32, length: length as u32 };
                self.replay_record(&record, position, replay);
                offset += length as u64;
                rest = following;
            }
            if buffer.is_empty() {
                break;
            }
        }
        self.read_buffer = buffer;
        Ok((offset, items))
    }

    /// Applies a record to the index and passes it to the caller of [`Store::open`].
    fn replay_record(
        &mut self, record: &Record, position: RecordPosition, replay: &mut impl FnMut(ReplayedRecord),
    ) {
        self.update_index(record, position);
        let Record { kind, tag, key, metadata, .. } = *record;
        replay(ReplayedRecord { kind, tag, key, metadata, position });
    }
}
