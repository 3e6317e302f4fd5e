//! The store: does to the files what the planner says, and knows where each live record stands.

mod compaction;
mod open;

use crate::files::Files;
use crate::frame::{self, FRAME, HEADER, Record, RecordKind, RecordPosition, TRAILER};
use crate::planner::Planner;
use compaction::Compaction;
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind};

pub use open::{OpenSummary, ReplayedRecord};

/// In place of a segment's key: the record is not on disk yet, or cannot be read any more.
const DEFERRED: u32 = u32::MAX;
const LOST: u32 = u32::MAX - 1;

/// What becomes of a record that cannot be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnError {
    /// It is as if it had never been: for what is only promised once it is written.
    Discard,
    /// It counts, and is written before any later record: for what has happened.
    Defer,
}

/// A live record.
#[derive(Debug, Clone, Copy)]
struct Cell {
    position: RecordPosition,
    metadata_length: u16,
    tag: u8,
}

impl Cell {
    fn weight(&self) -> u64 {
        frame::weight(self.position.length, self.metadata_length)
    }
}

/// A record that waits to be written.
#[derive(Debug)]
struct Deferred {
    kind: RecordKind,
    tag: u8,
    key: u64,
    metadata: Vec<u8>,
    payload: Vec<u8>,
}

impl Deferred {
    fn new(record: &Record) -> Self {
        let Record { kind, tag, key, metadata, payload } = *record;
        Deferred { kind, tag, key, metadata: metadata.to_vec(), payload: payload.to_vec() }
    }

    fn record(&self) -> Record<'_> {
        let Deferred { kind, tag, key, metadata, payload } = self;
        Record { kind: *kind, tag: *tag, key: *key, metadata, payload }
    }
}

/// The segment that records are appended to.
#[derive(Debug)]
struct Active {
    segment: u32,
    name: String,
    length: u64,
    /// The checkpoint's items for the records so far.
    items: Vec<u8>,
    /// Half of a record may stand at its end.
    in_doubt: bool,
}

impl Active {
    fn sealed_length(&self) -> u64 {
        self.length + (self.items.len() + FRAME + TRAILER) as u64
    }
}

/// Numbered values, each with a small state, in the segments of one folder.
#[derive(Debug)]
pub struct Store<F> {
    files: F,
    planner: Planner,
    active: Option<Active>,
    values: BTreeMap<u64, Cell>,
    states: BTreeMap<u64, Cell>,
    deferred: VecDeque<Deferred>,
    compaction: Option<Compaction>,
    /// Bytes appended since the last step of compaction.
    appended: u64,
    /// Compaction failed: it goes on after the next append.
    stalled: bool,
    /// Live records that turned out to be unreadable.
    lost: u64,
    buffer: Vec<u8>,
}

impl<F: Files> Store<F> {
    /// Changes the limit in bytes.
    pub fn set_disk_limit(&mut self, limit: u64) {
        self.planner.set_disk_limit(limit);
    }

    /// Whether records have to fit in the limit, as they do at first.
    pub fn enforce_disk_limit(&mut self, enforced: bool) {
        self.planner.enforce_disk_limit(enforced);
    }

    /// There is room for a value of so many bytes, metadata included, beside what is there and `promised`, such that
    /// compaction can always make that room.
    pub fn has_space_for(&self, metadata: usize, payload: usize, promised: u64) -> bool {
        let length = (FRAME + metadata + payload) as u32;
        self.planner.has_space_for(frame::weight(length, metadata as u16), promised)
    }

    /// How many values there are.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// The tag of a key's value, where it has one.
    pub fn tag(&self, key: u64) -> Option<u8> {
        self.values.get(&key).map(|cell| cell.tag)
    }

    /// All numbers with a value, and its tag, in order.
    pub fn keys_with_tags(&self) -> impl Iterator<Item = (u64, u8)> {
        self.values.iter().map(|(key, cell)| (*key, cell.tag))
    }

    /// The files, for others beside the segments.
    pub fn files_mut(&mut self) -> &mut F {
        &mut self.files
    }

    /// Ends the store; its segments stay.
    pub fn into_files(self) -> F {
        self.files
    }

    /// Live records that were found to be unreadable so far.
    pub fn unreadable_count(&self) -> u64 {
        self.lost
    }

    /// The planner, for its figures.
    pub fn planner(&self) -> &Planner {
        &self.planner
    }

    /// Writes a record. After an error it counts or does not, as `on_error` says; in no case does a start find it half.
    pub fn append(&mut self, record: &Record, on_error: OnError) -> io::Result<()> {
        self.stalled = false;
        let written = self.write_deferred().and_then(|()| self.write(record));
        match written {
            Ok(position) => {
                self.apply(record, position);
                Ok(())
            }
            Err(error) => {
                if on_error == OnError::Defer {
                    self.deferred.push_back(Deferred::new(record));
                    let length = record.frame_length() as u32;
                    self.apply(record, RecordPosition { segment: DEFERRED, offset: 0, length });
                }
                Err(error)
            }
        }
    }

    /// The payload of a key's value; nothing where it has none. `InvalidData` where the record is damaged.
    pub fn read_value(&mut self, key: u64) -> io::Result<Option<Vec<u8>>> {
        let Some(cell) = self.values.get(&key) else { return Ok(None) };
        let position = cell.position;
        if position.segment == DEFERRED {
            let value = |d: &&Deferred| d.key == key && d.kind == RecordKind::Value;
            return Ok(self.deferred.iter().rev().find(value).map(|d| d.payload.clone()));
        }
        self.read_payload(position).map(Some)
    }

    /// The payload of a record that was replayed, as long as no step of compaction was made since.
    pub fn read_payload(&mut self, position: RecordPosition) -> io::Result<Vec<u8>> {
        let name = frame::segment_name(position.segment);
        let damaged = || {
            let place = format!("{name}: the record at {} is damaged", position.offset);
            io::Error::new(ErrorKind::InvalidData, place)
        };
        if position.segment == LOST {
            return Err(damaged());
        }
        let mut bytes = vec![0; position.length as usize];
        self.files.read_at(&name, u64::from(position.offset), &mut bytes)?;
        let payload_length = frame::decode(&bytes).ok_or_else(damaged)?.payload.len();
        bytes.drain(..bytes.len() - payload_length);
        Ok(bytes)
    }

    fn apply(&mut self, record: &Record, position: RecordPosition) {
        let cell = Cell { position, metadata_length: record.metadata.len() as u16, tag: record.tag };
        match record.kind {
            RecordKind::Value => {
                if self.states.get(&record.key).is_some_and(|state| state.tag != record.tag) {
                    self.remove_cell(RecordKind::State, record.key);
                }
                self.set_cell(RecordKind::Value, record.key, cell);
            }
            // At a start it may come before its value, where that was copied since.
            RecordKind::State => {
                if self.tag(record.key).is_none_or(|tag| tag == record.tag) {
                    self.set_cell(RecordKind::State, record.key, cell);
                }
            }
            RecordKind::Tombstone => {
                self.remove_cell(RecordKind::Value, record.key);
                self.remove_cell(RecordKind::State, record.key);
            }
            RecordKind::Checkpoint => {}
        }
    }

    fn cells(&mut self, kind: RecordKind) -> &mut BTreeMap<u64, Cell> {
        if kind == RecordKind::State { &mut self.states } else { &mut self.values }
    }

    fn cell(&self, kind: RecordKind, key: u64) -> Option<&Cell> {
        match kind {
            RecordKind::Value => self.values.get(&key),
            RecordKind::State => self.states.get(&key),
            RecordKind::Tombstone | RecordKind::Checkpoint => None,
        }
    }

    fn set_cell(&mut self, kind: RecordKind, key: u64, cell: Cell) {
        self.planner.add_live_record(cell.position.segment, cell.weight());
        if let Some(old) = self.cells(kind).insert(key, cell) {
            self.planner.remove_live_record(old.position.segment, old.weight());
        }
    }

    fn remove_cell(&mut self, kind: RecordKind, key: u64) {
        if let Some(old) = self.cells(kind).remove(&key) {
            self.planner.remove_live_record(old.position.segment, old.weight());
        }
    }

    /// The same record stands somewhere else from now on.
    fn move_cell(&mut self, kind: RecordKind, key: u64, position: RecordPosition) {
        if let Some(cell) = self.cell(kind, key).copied() {
            self.set_cell(kind, key, Cell { position, ..cell });
        }
    }

    /// Writes the records that wait. What cannot be written goes on waiting.
    pub fn write_deferred(&mut self) -> io::Result<()> {
        while let Some(deferred) = self.deferred.pop_front() {
            let position = match self.write(&deferred.record()) {
                Ok(position) => position,
                Err(error) => {
                    self.deferred.push_front(deferred);
                    return Err(error);
                }
            };
            let waits = |cell: &Cell| cell.position.segment == DEFERRED && cell.tag == deferred.tag;
            if self.cell(deferred.kind, deferred.key).is_some_and(waits) {
                self.move_cell(deferred.kind, deferred.key, position);
            }
        }
        Ok(())
    }

    fn write(&mut self, record: &Record) -> io::Result<RecordPosition> {
        if !self.planner.fits(record.weight()) {
            self.make_room(record.weight())?;
        }
        let mut frame = Vec::with_capacity(record.frame_length());
        record.encode(&mut frame);
        let position = self.write_frame(record, &frame)?;
        self.appended += record.weight();
        Ok(position)
    }

    /// Appends a whole frame to the active segment. What fails is cut off again.
    fn write_frame(&mut self, record: &Record, frame: &[u8]) -> io::Result<RecordPosition> {
        self.ready_active(record.weight())?;
        let Some(active) = &mut self.active else { return Err(ErrorKind::NotFound.into()) };
        if let Err(error) = self.files.append(&active.name, frame) {
            active.in_doubt = self.files.truncate(&active.name, active.length).is_err();
            return Err(error);
        }
        let (segment, offset, length) = (active.segment, active.length as u32, frame.len() as u32);
        frame::encode_item(&mut active.items, record, offset);
        active.length += u64::from(length);
        self.planner.set_active_segment(segment, active.sealed_length());
        Ok(RecordPosition { segment, offset, length })
    }

    /// Sees to an active segment that takes a record of so many bytes.
    fn ready_active(&mut self, bytes: u64) -> io::Result<()> {
        if let Some(active) = self.active.as_mut().filter(|a| a.in_doubt) {
            self.files.truncate(&active.name, active.length)?;
            active.in_doubt = false;
        }
        if let Some(active) = &self.active
            && self.planner.should_seal(!active.items.is_empty(), bytes)
        {
            self.seal();
        }
        if self.active.is_none() {
            self.create_active()?;
        }
        Ok(())
    }

    fn create_active(&mut self) -> io::Result<()> {
        let segment = self.planner.next_segment_id();
        let name = frame::segment_name(segment);
        let header = frame::header(segment);
        let created = self.files.create(&name).and_then(|()| self.files.append(&name, &header));
        if let Err(error) = created {
            // Where it cannot be removed it is made anew with the next try, and dropped by a start.
            let _ = self.files.remove(&name);
            return Err(error);
        }
        let active = Active { segment, name, length: HEADER as u64, items: Vec::new(), in_doubt: false };
        self.planner.set_active_segment(segment, active.sealed_length());
        self.active = Some(active);
        Ok(())
    }

    /// Ends the active segment with its checkpoint. One without is read as a whole at the next start, nothing more.
    fn seal(&mut self) {
        let Some(active) = self.active.take() else { return };
        let key = u64::from(active.segment);
        let checkpoint =
            Record { kind: RecordKind::Checkpoint, tag: 0, key, metadata: &[], payload: &active.items };
        let mut bytes = Vec::with_capacity(checkpoint.frame_length() + TRAILER);
        checkpoint.encode(&mut bytes);
        bytes.extend_from_slice(&frame::trailer(active.length as u32));
        if self.files.append(&active.name, &bytes).is_err() {
            // What may stand behind the records is no record.
            let _ = self.files.truncate(&active.name, active.length);
        }
        self.planner.seal_active(active.sealed_length());
    }
}
