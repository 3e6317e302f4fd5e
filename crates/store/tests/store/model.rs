//! A model of a store's content, and operations that are run on both.

use crate::forgery::{self, FRAME_OVERHEAD, Forgery, HEADER_LENGTH, Place};
use scalebarrow_store::{Files, OnError, Record, RecordKind, ReplayedRecord, Store};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::rc::Rc;

/// The disk limit of the stores.
pub const LIMIT_BYTES: u64 = 300_000;
/// The tag of a value when it is put.
pub const FIRST_TAG: u8 = 0;
/// The tag of a value that has replaced one with the first tag.
pub const SECOND_TAG: u8 = 1;

/// An operation on a store. `selector` selects one of the present keys, modulo their number.
#[derive(Debug, Clone)]
pub enum Operation {
    Put { size: usize, forgery: Option<Forgery> },
    SetState { selector: usize, size: usize, forgery: Option<Forgery> },
    Replace { selector: usize },
    Remove { selector: usize },
    CompactionStep,
    Reopen,
}

/// The content of a store by key: the value's tag and payload, and the state.
pub type Content = BTreeMap<u64, (u8, Rc<[u8]>, Vec<u8>)>;

/// Reads the whole content of a store.
pub fn content<F: Files>(store: &mut Store<F>, states: &States) -> Content {
    let keys: Vec<(u64, u8)> = store.keys_with_tags().collect();
    let values = keys.into_iter().map(|(key, tag)| {
        let payload = store.read_value(key).unwrap().unwrap();
        (key, (tag, payload.into(), states.get(&key).cloned().unwrap_or_default()))
    });
    values.collect()
}

/// States by key.
pub type States = BTreeMap<u64, Vec<u8>>;

/// Opens a store and collects the states that it replays; a value with the second tag has none.
pub fn open<F: Files>(files: F) -> io::Result<(Store<F>, States)> {
    let mut states = BTreeMap::new();
    let (store, _) = Store::open(files, LIMIT_BYTES, |record: ReplayedRecord| match record.kind {
        RecordKind::State => _ = states.insert(record.key, record.metadata.to_vec()),
        RecordKind::Value if record.tag == SECOND_TAG => _ = states.remove(&record.key),
        RecordKind::Tombstone => _ = states.remove(&record.key),
        RecordKind::Value | RecordKind::Checkpoint => {}
    })?;
    Ok((store, states))
}

/// The bytes of metadata of a value.
pub const VALUE_METADATA_BYTES: usize = 8;
/// An upper limit of a state's size.
pub const MAX_STATE_BYTES: usize = 200;
/// Disk space reserved for the records that follow that of a value.
pub const RESERVED_BYTES_PER_VALUE: u64 = 400;

/// Where the data of the next record will be, unless records are deferred: `prefix_length` bytes of its frame
/// come before it.
pub fn next_place<F: Files>(store: &Store<F>, files: &F, prefix_length: usize, size: usize) -> Place {
    let record_bytes = (2 * FRAME_OVERHEAD + prefix_length + size) as u64;
    let names = files.list().unwrap_or_default();
    let last = names.iter().filter(|name| name.starts_with("segment-")).max();
    let segment_id = last.and_then(|name| name["segment-".len()..].parse().ok()).unwrap_or(1);
    let length = last.and_then(|name| files.length(name).ok()).unwrap_or(HEADER_LENGTH as u64) as usize;
    if store.planner().should_seal(length > HEADER_LENGTH, record_bytes) {
        return Place { segment_id: segment_id + 1, offset: HEADER_LENGTH + prefix_length };
    }
    Place { segment_id, offset: length + prefix_length }
}

pub fn test_payload(key: u64, size: usize) -> Vec<u8> {
    (0..size).map(|i| (key as usize * 31 + i) as u8).collect()
}

/// A store that runs operations, and a model of its expected content.
pub struct Run<F> {
    pub store: Option<Store<F>>,
    pub model: Content,
    /// The model after the current operation; expected if the operation had taken effect before a kill.
    pub model_after_operation: Content,
    /// All payloads that were ever put, by key.
    pub all_values: BTreeMap<u64, Vec<Vec<u8>>>,
    next_key: u64,
}

impl<F: Files + Clone> Run<F> {
    pub fn new(files: F) -> io::Result<Self> {
        let store = Some(open(files)?.0);
        Ok(Run {
            store,
            model: Content::new(),
            model_after_operation: Content::new(),
            all_values: BTreeMap::new(),
            next_key: 1,
        })
    }

    /// Selects one of the keys whose value has this tag.
    fn select(&self, selector: usize, tag: u8) -> Option<u64> {
        let keys: Vec<u64> =
            self.model.iter().filter(|(_, value)| value.0 == tag).map(|(key, _)| *key).collect();
        keys.get(selector % keys.len().max(1)).copied()
    }

    /// Runs one operation. Returns the error if it failed or the simulated process was killed.
    pub fn apply(&mut self, operation: &Operation, files: &F) -> io::Result<()> {
        let mut model_after = self.model.clone();
        let Some(store) = self.store.as_mut() else { return Err(ErrorKind::NotFound.into()) };
        let (result, takes_effect_on_error) = match operation {
            Operation::Put { size, forgery } => {
                let key = self.next_key;
                let payload = forgery.map_or_else(
                    || test_payload(key, *size),
                    |forgery| {
                        let prefix_length = FRAME_OVERHEAD + VALUE_METADATA_BYTES;
                        let place = next_place(store, files, prefix_length, *size);
                        let live_keys: Vec<u64> = self.model.keys().copied().collect();
                        forgery::payload(forgery, place, *size, &live_keys, &mut files.clone())
                    },
                );
                let reserved_bytes = RESERVED_BYTES_PER_VALUE * self.model.len() as u64;
                if !store.has_space_for(VALUE_METADATA_BYTES, payload.len(), reserved_bytes) {
                    return Ok(());
                }
                self.next_key += 1;
                self.all_values.entry(key).or_default().push(payload.clone());
                model_after.insert(key, (FIRST_TAG, payload.as_slice().into(), Vec::new()));
                self.model_after_operation = model_after.clone();
                let metadata = key.to_le_bytes();
                let record = Record {
                    kind: RecordKind::Value,
                    tag: FIRST_TAG,
                    key,
                    metadata: &metadata,
                    payload: &payload,
                };
                (store.append(&record, OnError::Discard), false)
            }
            Operation::SetState { selector, size, forgery } => {
                let Some(key) = self.select(*selector, FIRST_TAG) else { return Ok(()) };
                let Some(store) = self.store.as_mut() else { return Ok(()) };
                let mut metadata = forgery.map_or_else(
                    || test_payload(key, *size),
                    |forgery| {
                        let place = next_place(store, files, FRAME_OVERHEAD, *size);
                        forgery::payload(forgery, place, *size, &[key], &mut files.clone())
                    },
                );
                metadata.truncate(MAX_STATE_BYTES);
                model_after.entry(key).and_modify(|value| value.2 = metadata.clone());
                self.model_after_operation = model_after.clone();
                let record =
                    Record { kind: RecordKind::State, tag: 0, key, metadata: &metadata, payload: &[] };
                (store.append(&record, OnError::Discard), false)
            }
            Operation::Replace { selector } => {
                let Some(key) = self.select(*selector, FIRST_TAG) else { return Ok(()) };
                let Some(store) = self.store.as_mut() else { return Ok(()) };
                let payload = format!("end of {key}").into_bytes();
                self.all_values.entry(key).or_default().push(payload.clone());
                model_after.insert(key, (SECOND_TAG, payload.as_slice().into(), Vec::new()));
                self.model_after_operation = model_after.clone();
                let record = Record {
                    kind: RecordKind::Value,
                    tag: SECOND_TAG,
                    key,
                    metadata: &[],
                    payload: &payload,
                };
                (store.append(&record, OnError::Defer), true)
            }
            Operation::Remove { selector } => {
                let replaced = self.select(*selector, SECOND_TAG).filter(|_| selector % 2 == 0);
                let Some(key) = replaced.or_else(|| self.select(*selector, FIRST_TAG)) else { return Ok(()) };
                let Some(store) = self.store.as_mut() else { return Ok(()) };
                model_after.remove(&key);
                self.model_after_operation = model_after.clone();
                let record =
                    Record { kind: RecordKind::Tombstone, tag: 0, key, metadata: &[], payload: b"id" };
                (store.append(&record, OnError::Defer), true)
            }
            Operation::CompactionStep => (store.run_compaction_step(), false),
            Operation::Reopen => {
                self.store = None;
                self.store = Some(open(files.clone())?.0);
                (Ok(()), false)
            }
        };
        if result.is_ok() || takes_effect_on_error {
            self.model = model_after;
        }
        result
    }
}
