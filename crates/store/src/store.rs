//! The store: reads and writes the segment files as the planner decides, and keeps an index of the live
//! records.

mod compaction;
mod open;

use crate::files::Files;
use crate::frame::{
    self, FRAME_OVERHEAD, HEADER_LENGTH, Record, RecordKind, RecordPosition, SEAL_OFFSET, SEALED,
    TRAILER_LENGTH,
};
use crate::planner::Planner;
use compaction::Compaction;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};

pub use open::{OpenSummary, ReplayedRecord};

/// Stands for a segment id in the position of a record that is not written to disk yet.
const DEFERRED_SEGMENT_ID: u32 = u32::MAX;
/// Stands for a segment id in the position of a record that is unreadable because it is damaged.
const UNREADABLE_SEGMENT_ID: u32 = u32::MAX - 1;
/// Bytes that are kept of the payload of a damaged value.
const DAMAGED_PAYLOAD_BYTES: usize = 512;

/// What happens to a record that cannot be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnError {
    /// It is dropped without effect. For changes that are acknowledged only after they are written.
    Discard,
    /// It takes effect in memory and is written before any later record. For events that have already
    /// happened.
    Defer,
}

/// The location of a live record.
#[derive(Debug, Clone, Copy)]
struct IndexEntry {
    position: RecordPosition,
    metadata_length: u16,
    tag: u8,
}

impl IndexEntry {
    /// Returns the bytes that the record takes up on disk, including its checkpoint item.
    fn size_on_disk(&self) -> u64 {
        frame::size_on_disk(self.position.length, self.metadata_length)
    }
}

/// An owned copy of a record that could not be written yet.
#[derive(Debug)]
struct DeferredRecord {
    kind: RecordKind,
    tag: u8,
    key: u64,
    metadata: Vec<u8>,
    payload: Vec<u8>,
}

impl DeferredRecord {
    fn new(record: &Record) -> Self {
        let Record { kind, tag, key, metadata, payload } = *record;
        DeferredRecord { kind, tag, key, metadata: metadata.to_vec(), payload: payload.to_vec() }
    }

    fn record(&self) -> Record<'_> {
        let DeferredRecord { kind, tag, key, metadata, payload } = self;
        Record { kind: *kind, tag: *tag, key: *key, metadata, payload }
    }
}

/// What is kept of a value that compaction found damaged.
#[derive(Debug)]
struct DamagedValue {
    /// Where it was.
    position: RecordPosition,
    /// The first bytes of its payload.
    payload_start: Vec<u8>,
}

/// The segment that records are appended to.
#[derive(Debug)]
struct ActiveSegment {
    segment_id: u32,
    name: String,
    /// Length of the header and of all whole records, in bytes.
    length: u64,
    /// Encoded checkpoint items of the records so far.
    checkpoint_items: Vec<u8>,
    /// The file may end in part of a record, which must be cut off before the next append.
    may_have_torn_tail: bool,
}

impl ActiveSegment {
    /// Returns the length of the file in bytes after its checkpoint is written.
    fn sealed_length(&self) -> u64 {
        self.length + (self.checkpoint_items.len() + FRAME_OVERHEAD + TRAILER_LENGTH) as u64
    }
}

fn damaged_record_error(position: RecordPosition) -> io::Error {
    let name = frame::segment_name(position.segment_id);
    io::Error::new(
        ErrorKind::InvalidData,
        format!("{name}: the record at offset {} is damaged", position.offset),
    )
}

/// A key-value store in the segments of one folder; each key has a value and, optionally, a small state.
#[derive(Debug)]
pub struct Store<F> {
    files: F,
    planner: Planner,
    active: Option<ActiveSegment>,
    /// Index of the values by key.
    values: BTreeMap<u64, IndexEntry>,
    /// Index of the states by key.
    states: BTreeMap<u64, IndexEntry>,
    /// Records that could not be written yet, oldest first.
    deferred: VecDeque<DeferredRecord>,
    /// The segment that is being compacted.
    compaction: Option<Compaction>,
    /// Bytes of records appended since the last compaction step, including their checkpoint items.
    appended_since_step: u64,
    /// Compaction failed and pauses until the next append.
    compaction_stalled: bool,
    /// Number of live records that compaction found damaged.
    unreadable_count: u64,
    /// What is left of the values among them, by key.
    damaged_values: BTreeMap<u64, DamagedValue>,
    /// The keys of those that were not reported yet.
    unreported_damaged_keys: Vec<u64>,
    /// Reused for reading chunks of segments.
    read_buffer: Vec<u8>,
}

impl<F: Files> Store<F> {
    /// Changes the disk limit.
    pub fn set_disk_limit(&mut self, limit_bytes: u64) {
        self.planner.set_disk_limit(limit_bytes);
    }

    /// Sets whether records must fit in the disk limit. They must by default.
    pub fn enforce_disk_limit(&mut self, enforced: bool) {
        self.planner.enforce_disk_limit(enforced);
    }

    /// Returns whether a value of this size fits besides the present records and `reserved_bytes` of later
    /// ones, such that compaction can always free the space for them.
    pub fn has_space_for(&self, metadata_length: usize, payload_length: usize, reserved_bytes: u64) -> bool {
        let frame_length = (FRAME_OVERHEAD + metadata_length + payload_length) as u32;
        self.planner.has_space_for(frame::size_on_disk(frame_length, metadata_length as u16), reserved_bytes)
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether there are no values.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Returns the tag of a key's value; `None` if it has no value.
    pub fn tag(&self, key: u64) -> Option<u8> {
        self.values.get(&key).map(|entry| entry.tag)
    }

    /// Iterates over the keys that have a value, in ascending order, with the value's tag.
    pub fn keys_with_tags(&self) -> impl Iterator<Item = (u64, u8)> {
        self.values.iter().map(|(key, entry)| (*key, entry.tag))
    }

    /// Gives access to the files, for files of the same folder that are not segments.
    pub fn files_mut(&mut self) -> &mut F {
        &mut self.files
    }

    /// Consumes the store and returns the files; the segments remain.
    pub fn into_files(self) -> F {
        self.files
    }

    /// Returns the number of live records that compaction has found damaged so far.
    pub fn unreadable_count(&self) -> u64 {
        self.unreadable_count
    }

    /// Returns the planner, for its size figures.
    pub fn planner(&self) -> &Planner {
        &self.planner
    }

    /// Appends a record, after any deferred ones. If writing fails, `on_error` decides whether the record
    /// takes effect. A partly written record is never found when the store is opened again.
    pub fn append(&mut self, record: &Record, on_error: OnError) -> io::Result<()> {
        self.compaction_stalled = false;
        let result = self.write_deferred().and_then(|()| self.write(record));
        match result {
            Ok(position) => {
                self.update_index(record, position);
                Ok(())
            }
            Err(error) => {
                if on_error == OnError::Defer {
                    self.deferred.push_back(DeferredRecord::new(record));
                    let length = record.frame_length() as u32;
                    self.update_index(
                        record,
                        RecordPosition { segment_id: DEFERRED_SEGMENT_ID, offset: 0, length },
                    );
                }
                Err(error)
            }
        }
    }

    /// Reads the payload of a key's value; `None` if it has no value. Fails with `InvalidData` if the record
    /// is damaged.
    pub fn read_value(&mut self, key: u64) -> io::Result<Option<Vec<u8>>> {
        let Some(entry) = self.values.get(&key) else { return Ok(None) };
        let position = entry.position;
        if position.segment_id == DEFERRED_SEGMENT_ID {
            let is_value =
                |deferred: &&DeferredRecord| deferred.key == key && deferred.kind == RecordKind::Value;
            return Ok(self.deferred.iter().rev().find(is_value).map(|deferred| deferred.payload.clone()));
        }
        // The segment of a value that compaction found damaged is gone.
        let position = self.damaged_values.get(&key).map_or(position, |damaged| damaged.position);
        if entry.position.segment_id == UNREADABLE_SEGMENT_ID {
            return Err(damaged_record_error(position));
        }
        self.read_payload(position).map(Some)
    }

    /// Reads the first bytes of the payload of a key's value as they are on disk, even if the record is damaged;
    /// `None` if it has no value.
    pub fn read_damaged_value(&mut self, key: u64) -> io::Result<Option<Vec<u8>>> {
        if let Some(damaged) = self.damaged_values.get(&key) {
            return Ok(Some(damaged.payload_start.clone()));
        }
        let Some(entry) = self.values.get(&key) else { return Ok(None) };
        let payload_offset = FRAME_OVERHEAD + usize::from(entry.metadata_length);
        let Some(payload_length) = (entry.position.length as usize).checked_sub(payload_offset) else {
            return Ok(None);
        };
        let mut bytes = vec![0; payload_length.min(DAMAGED_PAYLOAD_BYTES)];
        let name = frame::segment_name(entry.position.segment_id);
        self.files.read_at(&name, u64::from(entry.position.offset) + payload_offset as u64, &mut bytes)?;
        Ok(Some(bytes))
    }

    /// Takes the keys of the values that compaction found damaged since the last call.
    pub fn take_damaged_keys(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.unreported_damaged_keys)
    }

    /// Reads the payload of a replayed record. Its position is valid until compaction first runs after the
    /// store was opened.
    pub fn read_payload(&mut self, position: RecordPosition) -> io::Result<Vec<u8>> {
        let name = frame::segment_name(position.segment_id);
        let mut bytes = vec![0; position.length as usize];
        self.files.read_at(&name, u64::from(position.offset), &mut bytes)?;
        let payload_length =
            frame::decode_frame(&bytes).ok_or_else(|| damaged_record_error(position))?.payload.len();
        bytes.drain(..bytes.len() - payload_length);
        Ok(bytes)
    }

    /// Applies a record at a position to the index.
    fn update_index(&mut self, record: &Record, position: RecordPosition) {
        let entry = IndexEntry { position, metadata_length: record.metadata.len() as u16, tag: record.tag };
        match record.kind {
            RecordKind::Value => {
                if self.states.get(&record.key).is_some_and(|state| state.tag != record.tag) {
                    self.remove_entry(RecordKind::State, record.key);
                }
                self.damaged_values.remove(&record.key);
                self.set_entry(RecordKind::Value, record.key, entry);
            }
            // During replay, a state may come before its value, if compaction has copied the value since.
            RecordKind::State => {
                if self.tag(record.key).is_none_or(|tag| tag == record.tag) {
                    self.set_entry(RecordKind::State, record.key, entry);
                }
            }
            RecordKind::Tombstone => {
                self.remove_entry(RecordKind::Value, record.key);
                self.remove_entry(RecordKind::State, record.key);
            }
            RecordKind::Checkpoint => {}
        }
    }

    fn entries(&mut self, kind: RecordKind) -> &mut BTreeMap<u64, IndexEntry> {
        if kind == RecordKind::State { &mut self.states } else { &mut self.values }
    }

    fn entry(&self, kind: RecordKind, key: u64) -> Option<&IndexEntry> {
        match kind {
            RecordKind::Value => self.values.get(&key),
            RecordKind::State => self.states.get(&key),
            RecordKind::Tombstone | RecordKind::Checkpoint => None,
        }
    }

    fn set_entry(&mut self, kind: RecordKind, key: u64, entry: IndexEntry) {
        self.planner.add_live_record(entry.position.segment_id, entry.size_on_disk());
        if let Some(old) = self.entries(kind).insert(key, entry) {
            self.planner.remove_live_record(old.position.segment_id, old.size_on_disk());
        }
    }

    fn remove_entry(&mut self, kind: RecordKind, key: u64) {
        if let Some(old) = self.entries(kind).remove(&key) {
            self.planner.remove_live_record(old.position.segment_id, old.size_on_disk());
        }
        if kind == RecordKind::Value {
            self.damaged_values.remove(&key);
        }
    }

    /// Sets the new position of a record that was copied or written.
    fn move_entry(&mut self, kind: RecordKind, key: u64, position: RecordPosition) {
        if let Some(entry) = self.entry(kind, key).copied() {
            self.set_entry(kind, key, IndexEntry { position, ..entry });
        }
    }

    /// Writes the deferred records, oldest first. After an error, the remaining ones stay deferred.
    pub fn write_deferred(&mut self) -> io::Result<()> {
        while let Some(deferred) = self.deferred.pop_front() {
            let position = match self.write(&deferred.record()) {
                Ok(position) => position,
                Err(error) => {
                    self.deferred.push_front(deferred);
                    return Err(error);
                }
            };
            let is_deferred = |entry: &IndexEntry| {
                entry.position.segment_id == DEFERRED_SEGMENT_ID && entry.tag == deferred.tag
            };
            if self.entry(deferred.kind, deferred.key).is_some_and(is_deferred) {
                self.move_entry(deferred.kind, deferred.key, position);
            }
        }
        Ok(())
    }

    /// Appends a record, after freeing space for it if necessary.
    fn write(&mut self, record: &Record) -> io::Result<RecordPosition> {
        if !self.planner.fits(record.size_on_disk()) {
            self.free_space_for(record.size_on_disk())?;
        }
        let mut frame = Vec::with_capacity(record.frame_length());
        record.encode(&mut frame);
        let position = self.write_frame(record, &frame)?;
        self.appended_since_step += record.size_on_disk();
        Ok(position)
    }

    /// Appends a whole frame to the active segment. After a failure, bytes that were written are cut off
    /// again.
    fn write_frame(&mut self, record: &Record, frame: &[u8]) -> io::Result<RecordPosition> {
        self.prepare_active_segment(record.size_on_disk())?;
        let Some(active) = &mut self.active else { return Err(ErrorKind::NotFound.into()) };
        if let Err(error) = self.files.append(&active.name, frame) {
            active.may_have_torn_tail = self.files.truncate(&active.name, active.length).is_err();
            return Err(error);
        }
        let (segment_id, offset, length) = (active.segment_id, active.length as u32, frame.len() as u32);
        frame::encode_checkpoint_item(&mut active.checkpoint_items, record, offset);
        active.length += u64::from(length);
        self.planner.set_active_segment(segment_id, active.sealed_length());
        Ok(RecordPosition { segment_id, offset, length })
    }

    /// Makes sure that there is an active segment with space for a record of this size.
    fn prepare_active_segment(&mut self, record_bytes: u64) -> io::Result<()> {
        if let Some(active) = self.active.as_mut().filter(|active| active.may_have_torn_tail) {
            self.files.truncate(&active.name, active.length)?;
            active.may_have_torn_tail = false;
        }
        if let Some(active) = &self.active
            && self.planner.should_seal(!active.checkpoint_items.is_empty(), record_bytes)
        {
            self.seal_active_segment();
        }
        if self.active.is_none() {
            self.create_active_segment()?;
        }
        Ok(())
    }

    /// Creates the next segment and makes it the active one.
    fn create_active_segment(&mut self) -> io::Result<()> {
        let segment_id = self.planner.next_segment_id();
        let name = frame::segment_name(segment_id);
        let header = frame::encode_header(segment_id);
        let created = self.files.create(&name).and_then(|()| self.files.append(&name, &header));
        if let Err(error) = created {
            // If the file cannot be removed, the next attempt replaces it, or opening the store drops it.
            let _ = self.files.remove(&name);
            return Err(error);
        }
        let active = ActiveSegment {
            segment_id,
            name,
            length: HEADER_LENGTH as u64,
            checkpoint_items: Vec::new(),
            may_have_torn_tail: false,
        };
        self.planner.set_active_segment(segment_id, active.sealed_length());
        self.active = Some(active);
        Ok(())
    }

    /// Seals the active segment. If that fails, the only effect is that the whole segment is read when the
    /// store is opened again.
    fn seal_active_segment(&mut self) {
        let Some(active) = self.active.take() else { return };
        // Best effort, see above.
        let _ = self.write_seal(&active);
        self.planner.seal_active(active.sealed_length());
    }

    /// Writes the checkpoint and the trailer of a segment, and then the seal byte in its header.
    fn write_seal(&mut self, active: &ActiveSegment) -> io::Result<()> {
        if active.may_have_torn_tail {
            self.files.truncate(&active.name, active.length)?;
        }
        let checkpoint = Record {
            kind: RecordKind::Checkpoint,
            tag: 0,
            key: u64::from(active.segment_id),
            metadata: &[],
            payload: &active.checkpoint_items,
        };
        let mut bytes = Vec::with_capacity(checkpoint.frame_length() + TRAILER_LENGTH);
        checkpoint.encode(&mut bytes);
        bytes.extend_from_slice(&frame::encode_trailer(active.length as u32));
        if let Err(error) = self.files.append(&active.name, &bytes) {
            // Only frees the space: an incomplete checkpoint is not read, as the seal byte is not set.
            let _ = self.files.truncate(&active.name, active.length);
            return Err(error);
        }
        // Nothing may be cut off once this write was tried: the byte may be set even if it fails.
        self.files.write_at(&active.name, SEAL_OFFSET, &[SEALED])
    }
}
