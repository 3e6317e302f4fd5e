//! Tests of the store against a model: random operations, interrupted by a kill, a full disk or a failure at
//! any of their file operations; and single cases of damaged, torn and foreign segments.

use proptest::prelude::*;
use scalebarrow_store::{
    Fault, FaultyFiles, Files, MemoryFiles, OnError, Record, RecordKind, ReplayedRecord, Store,
};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

/// The disk limit of the stores.
const LIMIT_BYTES: u64 = 300_000;
/// The tag of a value when it is put.
const FIRST_TAG: u8 = 0;
/// The tag of a value that has replaced one with the first tag.
const SECOND_TAG: u8 = 1;

/// An operation on a store. `selector` selects one of the present keys, modulo their number.
#[derive(Debug, Clone)]
enum Operation {
    Put { size: usize },
    SetState { selector: usize, size: usize },
    Replace { selector: usize },
    Remove { selector: usize },
    CompactionStep,
    Reopen,
}

/// The content of a store by key: the value's tag and payload, and the state.
type Content = BTreeMap<u64, (u8, Vec<u8>, Vec<u8>)>;

/// Reads the whole content of a store.
fn content<F: Files>(store: &mut Store<F>, states: &States) -> Content {
    let keys: Vec<(u64, u8)> = store.keys_with_tags().collect();
    let values = keys.into_iter().map(|(key, tag)| {
        let payload = store.read_value(key).unwrap().unwrap();
        (key, (tag, payload, states.get(&key).cloned().unwrap_or_default()))
    });
    values.collect()
}

/// States by key.
type States = BTreeMap<u64, Vec<u8>>;

/// Opens a store and collects the states that it replays; a value with the second tag has none.
fn open<F: Files>(files: F) -> io::Result<(Store<F>, States)> {
    let mut states = BTreeMap::new();
    let (store, _) = Store::open(files, LIMIT_BYTES, |record: ReplayedRecord| match record.kind {
        RecordKind::State => _ = states.insert(record.key, record.metadata.to_vec()),
        RecordKind::Value if record.tag == SECOND_TAG => _ = states.remove(&record.key),
        RecordKind::Tombstone => _ = states.remove(&record.key),
        RecordKind::Value | RecordKind::Checkpoint => {}
    })?;
    Ok((store, states))
}

fn test_payload(key: u64, size: usize) -> Vec<u8> {
    (0..size).map(|i| (key as usize * 31 + i) as u8).collect()
}

/// A store that runs operations, and a model of its expected content.
struct Run<F> {
    store: Option<Store<F>>,
    model: Content,
    /// The model after the current operation; expected if the operation had taken effect before a kill.
    model_after_operation: Content,
    next_key: u64,
    /// Number of values that were not put for lack of space.
    refused_count: usize,
}

impl<F: Files + Clone> Run<F> {
    fn new(files: F) -> io::Result<Self> {
        let store = Some(open(files)?.0);
        Ok(Run {
            store,
            model: Content::new(),
            model_after_operation: Content::new(),
            next_key: 1,
            refused_count: 0,
        })
    }

    /// Selects one of the keys whose value has this tag.
    fn select(&self, selector: usize, tag: u8) -> Option<u64> {
        let keys: Vec<u64> =
            self.model.iter().filter(|(_, value)| value.0 == tag).map(|(key, _)| *key).collect();
        keys.get(selector % keys.len().max(1)).copied()
    }

    /// Runs one operation. Returns the error if it failed or the simulated process was killed.
    fn apply(&mut self, operation: &Operation, files: &F) -> io::Result<()> {
        let mut model_after = self.model.clone();
        let Some(store) = self.store.as_mut() else { return Err(ErrorKind::NotFound.into()) };
        let (result, takes_effect_on_error) = match operation {
            Operation::Put { size } => {
                let (key, payload) = (self.next_key, test_payload(self.next_key, *size));
                if !store.has_space_for(8, *size, 400 * self.model.len() as u64) {
                    self.refused_count += 1;
                    return Ok(());
                }
                self.next_key += 1;
                model_after.insert(key, (FIRST_TAG, payload.clone(), Vec::new()));
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
            Operation::SetState { selector, size } => {
                let Some(key) = self.select(*selector, FIRST_TAG) else { return Ok(()) };
                let Some(store) = self.store.as_mut() else { return Ok(()) };
                let metadata = test_payload(key, *size);
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
                model_after.insert(key, (SECOND_TAG, payload.clone(), Vec::new()));
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

fn operation() -> impl Strategy<Value = Operation> {
    let selector = 0usize..1000;
    prop_oneof![
        6 => (0usize..3000).prop_map(|size| Operation::Put { size }),
        1 => (30_000usize..66_000).prop_map(|size| Operation::Put { size }),
        6 => (selector.clone(), 0usize..200)
            .prop_map(|(selector, size)| Operation::SetState { selector, size }),
        2 => selector.clone().prop_map(|selector| Operation::Replace { selector }),
        3 => selector.prop_map(|selector| Operation::Remove { selector }),
        6 => Just(Operation::CompactionStep),
        1 => Just(Operation::Reopen),
    ]
}

/// Enough operations to fill and compact several segments.
fn operations() -> impl Strategy<Value = Vec<Operation>> {
    proptest::collection::vec(operation(), 50..400)
}

/// Runs operations until the fault kills the process, and opens the store again. Its content must be that of
/// the model before or after the interrupted operation.
fn check_kill(operations: &[Operation], fault: Fault) -> Result<(), TestCaseError> {
    let disk = MemoryFiles::default();
    let files = FaultyFiles::new(disk.clone(), Some(fault));
    let kill_flag = files.kill_flag();
    let mut expected = (Content::new(), Content::new());
    if let Ok(mut run) = Run::new(files.clone()) {
        for operation in operations {
            run.model_after_operation = run.model.clone();
            let model_before = run.model.clone();
            let result = run.apply(operation, &files);
            if kill_flag.get() {
                run.model = model_before;
                break;
            }
            prop_assert!(result.is_ok(), "{operation:?}: {result:?}");
        }
        expected = (run.model, run.model_after_operation);
    }
    prop_assert!(disk.total_bytes() <= LIMIT_BYTES);
    let (mut store, states) = open(disk.clone()).unwrap();
    let found = content(&mut store, &states);
    let differs = |expected: &Content| -> Vec<u64> {
        let keys = expected.keys().chain(found.keys()).copied();
        keys.filter(|key| expected.get(key) != found.get(key)).collect()
    };
    let differing_keys = (differs(&expected.0), differs(&expected.1));
    prop_assert!(
        differing_keys.0.is_empty() || differing_keys.1.is_empty(),
        "{fault:?}: content differs from the acknowledged operations: {differing_keys:?}"
    );
    // The store must accept another record and be the same when it is opened once more.
    let record =
        Record { kind: RecordKind::Value, tag: FIRST_TAG, key: 1 << 40, metadata: &[], payload: b"next" };
    store.append(&record, OnError::Discard).unwrap();
    drop(store);
    let (mut store, states) = open(disk).unwrap();
    let mut expected_after_append = found;
    expected_after_append.insert(1 << 40, (FIRST_TAG, b"next".to_vec(), Vec::new()));
    prop_assert!(
        content(&mut store, &states) == expected_after_append,
        "{fault:?}: content changed when the store was opened a second time"
    );
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn acknowledged_operations_survive_a_kill_at_any_file_operation(operations in operations()) {
        let disk = MemoryFiles::default();
        let files = FaultyFiles::new(disk.clone(), None);
        let operation_counter = files.operation_counter();
        let mut run = Run::new(files.clone()).unwrap();
        for operation in &operations {
            run.apply(operation, &files).unwrap();
            prop_assert!(disk.total_bytes() <= LIMIT_BYTES, "{} bytes", disk.total_bytes());
            prop_assert!(run.store.as_ref().unwrap().planner().used_bytes() <= LIMIT_BYTES);
        }
        for fault_operation in 0..operation_counter.get() {
            check_kill(&operations, Fault::KillBefore(fault_operation))?;
            check_kill(&operations, Fault::KillWithin(fault_operation, (fault_operation * 37 % 101) as u8))?;
        }
    }

    #[test]
    fn a_full_disk_is_reported_and_loses_no_acknowledged_operation(
        operations in operations(),
        first_operation in 0u64..300,
        operation_count in 1u64..40,
        written_percent in 0u8..100,
    ) {
        let disk = MemoryFiles::default();
        let files = FaultyFiles::new(
            disk.clone(),
            Some(Fault::Full { first_operation, operation_count, written_percent }),
        );
        let operation_counter = files.operation_counter();
        let mut run = Run::new(files.clone()).unwrap();
        for operation in &operations {
            // Reopening while the disk is full would lose the deferred records.
            if matches!(operation, Operation::Reopen) && operation_counter.get() >= first_operation {
                continue;
            }
            let operations_before = operation_counter.get();
            if let Err(error) = run.apply(operation, &files) {
                prop_assert!(
                    operation_counter.get() > first_operation
                        && operations_before < first_operation + operation_count,
                    "{operation:?}: {error}"
                );
                prop_assert_eq!(error.kind(), ErrorKind::StorageFull);
            }
            prop_assert!(disk.total_bytes() <= LIMIT_BYTES);
        }
        let mut store = run.store.take().unwrap();
        // Once there is space again, the next append also writes the deferred records.
        let record = Record {
            kind: RecordKind::Value,
            tag: SECOND_TAG,
            key: 1 << 40,
            metadata: &[],
            payload: b"next",
        };
        while let Err(error) = store.append(&record, OnError::Discard) {
            prop_assert_eq!(error.kind(), ErrorKind::StorageFull);
        }
        run.model.insert(1 << 40, (SECOND_TAG, b"next".to_vec(), Vec::new()));
        drop(store);
        let (mut store, states) = open(disk).unwrap();
        prop_assert!(
            content(&mut store, &states) == run.model,
            "content differs from the acknowledged operations"
        );
    }

    #[test]
    fn a_single_failed_file_operation_affects_one_store_operation(
        operations in operations(),
        fault_operation in 0u64..400,
    ) {
        let disk = MemoryFiles::default();
        let files = FaultyFiles::new(disk.clone(), Some(Fault::Once(fault_operation)));
        let Ok(mut run) = Run::new(files.clone()) else { return Ok(()) };
        let mut failures = 0;
        for operation in operations.iter().filter(|operation| !matches!(operation, Operation::Reopen)) {
            failures += usize::from(run.apply(operation, &files).is_err());
        }
        prop_assert!(failures <= 1, "{failures} failures");
        let mut store = run.store.take().unwrap();
        let record =
            Record { kind: RecordKind::Tombstone, tag: 0, key: 1 << 40, metadata: &[], payload: &[] };
        if store.append(&record, OnError::Defer).is_err() {
            store.append(&record, OnError::Defer).unwrap();
        }
        drop(store);
        let (mut store, states) = open(disk).unwrap();
        prop_assert!(
            content(&mut store, &states) == run.model,
            "content differs from the acknowledged operations"
        );
    }

    #[test]
    fn segments_of_arbitrary_bytes_are_read_or_refused_without_a_panic(
        files in proptest::collection::vec(
            (1u32..5, proptest::collection::vec(any::<u8>(), 0..200), any::<bool>()),
            0..4,
        )
    ) {
        let mut disk = MemoryFiles::default();
        for (segment_id, bytes, has_header) in files {
            let name = format!("segment-{segment_id:010}");
            disk.create(&name).unwrap();
            if has_header {
                disk.append(&name, b"SBSEG001").unwrap();
                disk.append(&name, &u64::from(segment_id).to_le_bytes()).unwrap();
            }
            disk.append(&name, &bytes).unwrap();
        }
        if let Ok((mut store, states)) = open(disk) {
            content(&mut store, &states);
        }
    }
}

fn put(store: &mut Store<MemoryFiles>, key: u64, size: usize) {
    let payload = test_payload(key, size);
    let record = Record { kind: RecordKind::Value, tag: FIRST_TAG, key, metadata: &[], payload: &payload };
    store.append(&record, OnError::Discard).unwrap();
}

fn remove(store: &mut Store<MemoryFiles>, key: u64) {
    let record = Record { kind: RecordKind::Tombstone, tag: 0, key, metadata: &[], payload: &[] };
    store.append(&record, OnError::Defer).unwrap();
}

#[test]
fn a_damaged_record_makes_no_other_record_unreadable() {
    let mut disk = MemoryFiles::default();
    let (mut store, _) = open(disk.clone()).unwrap();
    for key in 1..=100 {
        put(&mut store, key, 500);
    }
    drop(store);
    // Flip a bit in the payload of key 4 and in the length field of key 7, both in a sealed segment.
    let name = "segment-0000000001";
    let mut bytes = vec![0; disk.length(name).unwrap() as usize];
    disk.read_at(name, 0, &mut bytes).unwrap();
    let frame_length = 20 + 500;
    bytes[16 + 3 * frame_length + 100] ^= 1;
    bytes[16 + 6 * frame_length + 1] ^= 0x40;
    disk.create(name).unwrap();
    disk.append(name, &bytes).unwrap();
    let (mut store, _) = open(disk.clone()).unwrap();
    assert_eq!(store.len(), 100);
    let unreadable_keys = |store: &mut Store<MemoryFiles>| -> Vec<u64> {
        let keys: Vec<u64> = store.keys_with_tags().map(|entry| entry.0).collect();
        keys.into_iter().filter(|key| store.read_value(*key).is_err()).collect()
    };
    assert_eq!(unreadable_keys(&mut store), [4, 7]);
    let error = store.read_value(4).unwrap_err();
    assert_eq!(error.to_string(), "segment-0000000001: the record at offset 1576 is damaged");
    // Compaction must copy the other records of the segment.
    for key in 30..=100 {
        remove(&mut store, key);
    }
    for key in 1000..4000 {
        put(&mut store, key, 500);
        remove(&mut store, key);
        store.run_compaction_step().unwrap();
    }
    assert!(disk.length(name).is_err());
    assert_eq!((unreadable_keys(&mut store), store.unreadable_count(), store.len()), (vec![4, 7], 2, 29));
}

#[test]
fn compaction_steps_are_bounded_in_a_large_log() {
    let disk = MemoryFiles::default();
    let files = FaultyFiles::new(disk.clone(), None);
    let operation_counter = files.operation_counter();
    let limit_bytes = 40_000_000;
    let (mut store, _) = Store::open(files, limit_bytes, |_| ()).unwrap();
    let append = |store: &mut Store<_>, kind, key| {
        let payload: &[u8] = if kind == RecordKind::Value { &[7; 300] } else { &[] };
        store.append(&Record { kind, tag: 0, key, metadata: &[], payload }, OnError::Discard).unwrap();
    };
    for key in 0..60_000 {
        append(&mut store, RecordKind::Value, key);
        store.run_compaction_step().unwrap();
    }
    // Removing two of three records in all segments leaves live records to copy in each of them.
    let mut step_count = 0;
    let removed = (0..60_000).filter(|key| key % 3 != 0).map(Some);
    for key in removed.chain(std::iter::repeat_n(None, 1000)) {
        key.into_iter().for_each(|key| append(&mut store, RecordKind::Tombstone, key));
        let (operations_before, bytes_before) = (operation_counter.get(), disk.total_bytes());
        store.run_compaction_step().unwrap();
        step_count += usize::from(operation_counter.get() > operations_before);
        assert!(
            operation_counter.get() - operations_before <= 300,
            "{} operations in one step",
            operation_counter.get() - operations_before
        );
        // A step adds at most the bytes that it scans and the checkpoint of a segment that it fills; the
        // checkpoint takes up at most half of the segment.
        let (bytes_after, max_checkpoint_bytes) =
            (disk.total_bytes(), store.planner().target_segment_bytes() / 2);
        assert!(
            bytes_after <= bytes_before + 64 * 1024 + max_checkpoint_bytes && bytes_after <= limit_bytes,
            "{bytes_before} bytes before, {bytes_after} bytes after a step"
        );
    }
    // Most of the 20,000 live records were copied, at most 256 per step.
    assert!(step_count > 50, "{step_count} steps");
    assert_eq!(store.len(), 20_000);
}

#[test]
fn opening_reads_checkpoints_but_no_payloads_of_sealed_segments() {
    let disk = MemoryFiles::default();
    let (mut store, _) = Store::open(disk.clone(), 100_000_000, |_| ()).unwrap();
    for key in 0..20_000 {
        put(&mut store, key, 2000);
    }
    drop(store);
    let (store, summary) = Store::open(disk.clone(), 100_000_000, |_| ()).unwrap();
    assert_eq!((store.len(), summary.torn_bytes), (20_000, 0));
    assert!(disk.total_bytes() > 40_000_000 && summary.read_bytes < 6_000_000, "{} read", summary.read_bytes);
}

#[test]
fn a_segment_of_another_version_is_refused_and_left_unchanged() {
    let mut disk = MemoryFiles::default();
    let (mut store, _) = open(disk.clone()).unwrap();
    put(&mut store, 1, 10);
    drop(store);
    disk.create("segment-0000000002").unwrap();
    disk.append("segment-0000000002", b"SBSEG002\x02\0\0\0\0\0\0\0records of another form").unwrap();
    let bytes_before = disk.total_bytes();
    let error = open(disk.clone()).map(drop).unwrap_err();
    assert_eq!(error.to_string(), "segment-0000000002 has an unsupported segment format version");
    assert_eq!((error.kind(), disk.total_bytes()), (ErrorKind::InvalidData, bytes_before));
}

#[test]
fn a_store_can_be_opened_and_read_on_a_full_disk() {
    let disk = MemoryFiles::default();
    let (mut store, _) = open(disk.clone()).unwrap();
    let mut key = 0;
    while disk.list().unwrap().len() < 3 {
        key += 1;
        put(&mut store, key, 500);
    }
    drop(store);
    // Leave a sealed segment as the last one, as if the process had been killed before it created the next.
    disk.clone().remove("segment-0000000003").unwrap();
    let disk_full = Fault::Full { first_operation: 0, operation_count: 10, written_percent: 0 };
    let (mut store, states) = open(FaultyFiles::new(disk, Some(disk_full))).unwrap();
    assert_eq!(content(&mut store, &states).len() as u64, key - 1);
    let record = Record { kind: RecordKind::Value, tag: FIRST_TAG, key, metadata: &[], payload: b"x" };
    assert_eq!(store.append(&record, OnError::Discard).unwrap_err().kind(), ErrorKind::StorageFull);
}

#[test]
fn a_torn_last_record_is_dropped_wherever_it_is_cut() {
    let disk = MemoryFiles::default();
    let (mut store, _) = open(disk.clone()).unwrap();
    put(&mut store, 1, 30);
    let whole_length = disk.total_bytes();
    put(&mut store, 2, 30);
    for torn_length in whole_length..disk.total_bytes() {
        let mut torn = disk.deep_copy();
        torn.truncate("segment-0000000001", torn_length).unwrap();
        let (mut store, summary) = Store::open(torn.clone(), LIMIT_BYTES, |_| ()).unwrap();
        assert_eq!((store.len(), summary.torn_bytes), (1, torn_length - whole_length));
        put(&mut store, 3, 30);
        assert_eq!(Store::open(torn, LIMIT_BYTES, |_| ()).unwrap().0.len(), 2);
    }
}
