//! Any order of operations, ended, torn or refused at any of the file operations that they lead to.

use proptest::prelude::*;
use scalebarrow_store::{
    Fault, FaultyFiles, Files, MemoryFiles, OnError, Record, RecordKind, ReplayedRecord, Store,
};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};

const LIMIT: u64 = 300_000;
const OPEN: u8 = 0;
const OWED: u8 = 1;

/// What is done to a store. `pick` chooses one of the numbers that are there.
#[derive(Debug, Clone)]
enum Operation {
    Put { size: usize },
    State { pick: usize, size: usize },
    Owe { pick: usize },
    Remove { pick: usize },
    Step,
    Reopen,
}

/// What a store holds: tag and payload of each value, and its state.
type Content = BTreeMap<u64, (u8, Vec<u8>, Vec<u8>)>;

fn content<F: Files>(store: &mut Store<F>, states: &States) -> Content {
    let numbers: Vec<(u64, u8)> = store.keys_with_tags().collect();
    let values = numbers.into_iter().map(|(key, tag)| {
        let payload = store.read_value(key).unwrap().unwrap();
        (key, (tag, payload, states.get(&key).cloned().unwrap_or_default()))
    });
    values.collect()
}

/// States by key.
type States = BTreeMap<u64, Vec<u8>>;

/// Opens a store with the states that it was told; a value that is owed has none.
fn open<F: Files>(files: F) -> io::Result<(Store<F>, States)> {
    let mut states = BTreeMap::new();
    let (store, _) = Store::open(files, LIMIT, |r: ReplayedRecord| match r.kind {
        RecordKind::State => _ = states.insert(r.key, r.metadata.to_vec()),
        RecordKind::Value if r.tag == OWED => _ = states.remove(&r.key),
        RecordKind::Tombstone => _ = states.remove(&r.key),
        RecordKind::Value | RecordKind::Checkpoint => {}
    })?;
    Ok((store, states))
}

fn body(key: u64, size: usize) -> Vec<u8> {
    (0..size).map(|i| (key as usize * 31 + i) as u8).collect()
}

/// A run against a model of what must be there.
struct Run<F> {
    store: Option<Store<F>>,
    model: Content,
    /// The model with the operation that was under way, which may have been done.
    doubtful: Content,
    next: u64,
    refused: usize,
}

impl<F: Files + Clone> Run<F> {
    fn new(files: F) -> io::Result<Self> {
        let store = Some(open(files)?.0);
        Ok(Run { store, model: Content::new(), doubtful: Content::new(), next: 1, refused: 0 })
    }

    fn pick(&self, pick: usize, tag: u8) -> Option<u64> {
        let numbers: Vec<u64> = self.model.iter().filter(|(_, v)| v.0 == tag).map(|(n, _)| *n).collect();
        numbers.get(pick % numbers.len().max(1)).copied()
    }

    /// Does one operation. An error is returned where it was refused or the process ended.
    fn operate(&mut self, operation: &Operation, files: &F) -> io::Result<()> {
        let mut after = self.model.clone();
        let Some(store) = self.store.as_mut() else { return Err(ErrorKind::NotFound.into()) };
        let (done, counts) = match operation {
            Operation::Put { size } => {
                let (key, payload) = (self.next, body(self.next, *size));
                if !store.has_space_for(8, *size, 400 * self.model.len() as u64) {
                    self.refused += 1;
                    return Ok(());
                }
                self.next += 1;
                after.insert(key, (OPEN, payload.clone(), Vec::new()));
                self.doubtful = after.clone();
                let metadata = key.to_le_bytes();
                let record = Record {
                    kind: RecordKind::Value,
                    tag: OPEN,
                    key,
                    metadata: &metadata,
                    payload: &payload,
                };
                (store.append(&record, OnError::Discard), false)
            }
            Operation::State { pick, size } => {
                let Some(key) = self.pick(*pick, OPEN) else { return Ok(()) };
                let Some(store) = self.store.as_mut() else { return Ok(()) };
                let metadata = body(key, *size);
                after.entry(key).and_modify(|v| v.2 = metadata.clone());
                self.doubtful = after.clone();
                let record =
                    Record { kind: RecordKind::State, tag: 0, key, metadata: &metadata, payload: &[] };
                (store.append(&record, OnError::Discard), false)
            }
            Operation::Owe { pick } => {
                let Some(key) = self.pick(*pick, OPEN) else { return Ok(()) };
                let Some(store) = self.store.as_mut() else { return Ok(()) };
                let payload = format!("end of {key}").into_bytes();
                after.insert(key, (OWED, payload.clone(), Vec::new()));
                self.doubtful = after.clone();
                let record =
                    Record { kind: RecordKind::Value, tag: OWED, key, metadata: &[], payload: &payload };
                (store.append(&record, OnError::Defer), true)
            }
            Operation::Remove { pick } => {
                let owed = self.pick(*pick, OWED).filter(|_| pick % 2 == 0);
                let Some(key) = owed.or_else(|| self.pick(*pick, OPEN)) else { return Ok(()) };
                let Some(store) = self.store.as_mut() else { return Ok(()) };
                after.remove(&key);
                self.doubtful = after.clone();
                let record =
                    Record { kind: RecordKind::Tombstone, tag: 0, key, metadata: &[], payload: b"id" };
                (store.append(&record, OnError::Defer), true)
            }
            Operation::Step => (store.run_compaction_step(), false),
            Operation::Reopen => {
                self.store = None;
                self.store = Some(open(files.clone())?.0);
                (Ok(()), false)
            }
        };
        if done.is_ok() || counts {
            self.model = after;
        }
        done
    }
}

fn operation() -> impl Strategy<Value = Operation> {
    let pick = 0usize..1000;
    prop_oneof![
        6 => (0usize..3000).prop_map(|size| Operation::Put { size }),
        1 => (30_000usize..66_000).prop_map(|size| Operation::Put { size }),
        6 => (pick.clone(), 0usize..200).prop_map(|(pick, size)| Operation::State { pick, size }),
        2 => pick.clone().prop_map(|pick| Operation::Owe { pick }),
        3 => pick.prop_map(|pick| Operation::Remove { pick }),
        6 => Just(Operation::Step),
        1 => Just(Operation::Reopen),
    ]
}

/// Many operations: enough for a few segments and compactions.
fn operations() -> impl Strategy<Value = Vec<Operation>> {
    proptest::collection::vec(operation(), 50..400)
}

/// Plays until a kill; what a start then finds must be the model's or that with the last operation done.
fn play_and_kill(operations: &[Operation], fault: Fault) -> Result<(), TestCaseError> {
    let disk = MemoryFiles::default();
    let files = FaultyFiles::new(disk.clone(), Some(fault));
    let killed = files.kill_flag();
    let mut expected = (Content::new(), Content::new());
    if let Ok(mut run) = Run::new(files.clone()) {
        for operation in operations {
            run.doubtful = run.model.clone();
            let before = run.model.clone();
            let done = run.operate(operation, &files);
            if killed.get() {
                run.model = before;
                break;
            }
            prop_assert!(done.is_ok(), "{operation:?}: {done:?}");
        }
        expected = (run.model, run.doubtful);
    }
    prop_assert!(disk.total_bytes() <= LIMIT);
    let (mut store, states) = open(disk.clone()).unwrap();
    let found = content(&mut store, &states);
    let differs = |expected: &Content| -> Vec<u64> {
        let numbers = expected.keys().chain(found.keys()).copied();
        numbers.filter(|n| expected.get(n) != found.get(n)).collect()
    };
    let wrong = (differs(&expected.0), differs(&expected.1));
    prop_assert!(wrong.0.is_empty() || wrong.1.is_empty(), "{fault:?}: not what was acknowledged: {wrong:?}");
    // It can be gone on with, and opened once more.
    let record = Record { kind: RecordKind::Value, tag: OPEN, key: 1 << 40, metadata: &[], payload: b"next" };
    store.append(&record, OnError::Discard).unwrap();
    drop(store);
    let (mut store, states) = open(disk).unwrap();
    let mut next = found;
    next.insert(1 << 40, (OPEN, b"next".to_vec(), Vec::new()));
    prop_assert!(content(&mut store, &states) == next, "{fault:?}: changed by a second start");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_was_acknowledged_is_there_after_a_kill_at_any_operation(operations in operations()) {
        let disk = MemoryFiles::default();
        let files = FaultyFiles::new(disk.clone(), None);
        let count = files.operation_counter();
        let mut run = Run::new(files.clone()).unwrap();
        for operation in &operations {
            run.operate(operation, &files).unwrap();
            prop_assert!(disk.total_bytes() <= LIMIT, "{} bytes", disk.total_bytes());
            prop_assert!(run.store.as_ref().unwrap().planner().used_bytes() <= LIMIT);
        }
        for at in 0..count.get() {
            play_and_kill(&operations, Fault::KillBefore(at))?;
            play_and_kill(&operations, Fault::KillWithin(at, (at * 37 % 101) as u8))?;
        }
    }

    #[test]
    fn a_full_disk_says_so_and_loses_nothing(operations in operations(), from in 0u64..300, span in 1u64..40, leaves in 0u8..100) {
        let disk = MemoryFiles::default();
        let files = FaultyFiles::new(disk.clone(), Some(Fault::Full { first_operation: from, operation_count: span, written_percent: leaves }));
        let count = files.operation_counter();
        let mut run = Run::new(files.clone()).unwrap();
        for operation in &operations {
            // A process that starts again while the disk is full forgets what could not be written.
            if matches!(operation, Operation::Reopen) && count.get() >= from {
                continue;
            }
            let window = count.get();
            if let Err(error) = run.operate(operation, &files) {
                prop_assert!(count.get() > from && window < from + span, "{operation:?}: {error}");
                prop_assert_eq!(error.kind(), ErrorKind::StorageFull);
            }
            prop_assert!(disk.total_bytes() <= LIMIT);
        }
        let mut store = run.store.take().unwrap();
        // Room again: with the next record all is written that had to wait.
        let record = Record { kind: RecordKind::Value, tag: OWED, key: 1 << 40, metadata: &[], payload: b"next" };
        while let Err(error) = store.append(&record, OnError::Discard) {
            prop_assert_eq!(error.kind(), ErrorKind::StorageFull);
        }
        run.model.insert(1 << 40, (OWED, b"next".to_vec(), Vec::new()));
        drop(store);
        let (mut store, states) = open(disk).unwrap();
        prop_assert!(content(&mut store, &states) == run.model, "not what was acknowledged");
    }

    #[test]
    fn an_operation_that_fails_once_costs_nothing_else(operations in operations(), at in 0u64..400) {
        let disk = MemoryFiles::default();
        let files = FaultyFiles::new(disk.clone(), Some(Fault::Once(at)));
        let Ok(mut run) = Run::new(files.clone()) else { return Ok(()) };
        let mut failures = 0;
        for operation in operations.iter().filter(|o| !matches!(o, Operation::Reopen)) {
            failures += usize::from(run.operate(operation, &files).is_err());
        }
        prop_assert!(failures <= 1, "{failures} failures");
        let mut store = run.store.take().unwrap();
        let record = Record { kind: RecordKind::Tombstone, tag: 0, key: 1 << 40, metadata: &[], payload: &[] };
        if store.append(&record, OnError::Defer).is_err() {
            store.append(&record, OnError::Defer).unwrap();
        }
        drop(store);
        let (mut store, states) = open(disk).unwrap();
        prop_assert!(content(&mut store, &states) == run.model, "not what was acknowledged");
    }

    #[test]
    fn a_folder_of_any_bytes_is_read_or_refused(files in proptest::collection::vec((1u32..5, proptest::collection::vec(any::<u8>(), 0..200), any::<bool>()), 0..4)) {
        let mut disk = MemoryFiles::default();
        for (segment, bytes, header) in files {
            let name = format!("segment-{segment:010}");
            disk.create(&name).unwrap();
            if header {
                disk.append(&name, b"SBSEG001").unwrap();
                disk.append(&name, &u64::from(segment).to_le_bytes()).unwrap();
            }
            disk.append(&name, &bytes).unwrap();
        }
        if let Ok((mut store, states)) = open(disk) {
            content(&mut store, &states);
        }
    }
}

fn put(store: &mut Store<MemoryFiles>, key: u64, size: usize) {
    let payload = body(key, size);
    let record = Record { kind: RecordKind::Value, tag: OPEN, key, metadata: &[], payload: &payload };
    store.append(&record, OnError::Discard).unwrap();
}

fn remove(store: &mut Store<MemoryFiles>, key: u64) {
    let record = Record { kind: RecordKind::Tombstone, tag: 0, key, metadata: &[], payload: &[] };
    store.append(&record, OnError::Defer).unwrap();
}

#[test]
fn a_damaged_record_costs_only_itself() {
    let mut disk = MemoryFiles::default();
    let (mut store, _) = open(disk.clone()).unwrap();
    for key in 1..=100 {
        put(&mut store, key, 500);
    }
    drop(store);
    // A byte of the payload, and one of a length, in a segment that is sealed.
    let name = "segment-0000000001";
    let mut bytes = vec![0; disk.length(name).unwrap() as usize];
    disk.read_at(name, 0, &mut bytes).unwrap();
    let frame = 20 + 500;
    bytes[16 + 3 * frame + 100] ^= 1;
    bytes[16 + 6 * frame + 1] ^= 0x40;
    disk.create(name).unwrap();
    disk.append(name, &bytes).unwrap();
    let (mut store, _) = open(disk.clone()).unwrap();
    assert_eq!(store.len(), 100);
    let damaged = |store: &mut Store<MemoryFiles>| -> Vec<u64> {
        let numbers: Vec<u64> = store.keys_with_tags().map(|n| n.0).collect();
        numbers.into_iter().filter(|n| store.read_value(*n).is_err()).collect()
    };
    assert_eq!(damaged(&mut store), [4, 7]);
    let error = store.read_value(4).unwrap_err();
    assert_eq!(error.to_string(), "segment-0000000001: the record at 1576 is damaged");
    // Compaction takes the others along.
    for key in 30..=100 {
        remove(&mut store, key);
    }
    for key in 1000..4000 {
        put(&mut store, key, 500);
        remove(&mut store, key);
        store.run_compaction_step().unwrap();
    }
    assert!(disk.length(name).is_err());
    assert_eq!((damaged(&mut store), store.unreadable_count(), store.len()), (vec![4, 7], 2, 29));
}

#[test]
fn steps_are_bounded_whatever_is_held() {
    let disk = MemoryFiles::default();
    let files = FaultyFiles::new(disk.clone(), None);
    let count = files.operation_counter();
    let limit = 40_000_000;
    let (mut store, _) = Store::open(files, limit, |_| ()).unwrap();
    let append = |store: &mut Store<_>, kind, key| {
        let payload: &[u8] = if kind == RecordKind::Value { &[7; 300] } else { &[] };
        store.append(&Record { kind, tag: 0, key, metadata: &[], payload }, OnError::Discard).unwrap();
    };
    for key in 0..60_000 {
        append(&mut store, RecordKind::Value, key);
        store.run_compaction_step().unwrap();
    }
    // Some from everywhere go, so that all the rest has to be copied.
    let mut steps = 0;
    let removed = (0..60_000).filter(|n| n % 3 != 0).map(Some);
    for key in removed.chain(std::iter::repeat_n(None, 1000)) {
        key.into_iter().for_each(|key| append(&mut store, RecordKind::Tombstone, key));
        let (before, total) = (count.get(), disk.total_bytes());
        store.run_compaction_step().unwrap();
        steps += usize::from(count.get() > before);
        assert!(count.get() - before <= 300, "{} operations in one step", count.get() - before);
        // What a step looks through, and the checkpoint of a segment that it fills: half of it at most.
        let (now, checkpoint) = (disk.total_bytes(), store.planner().segment_size() / 2);
        assert!(now <= total + 64 * 1024 + checkpoint && now <= limit, "{total} bytes, {now} after a step");
    }
    // Most of 20,000 records, in steps of 256.
    assert!(steps > 50, "{steps} steps");
    assert_eq!(store.len(), 20_000);
}

#[test]
fn a_start_reads_checkpoints_and_no_payloads() {
    let disk = MemoryFiles::default();
    let (mut store, _) = Store::open(disk.clone(), 100_000_000, |_| ()).unwrap();
    for key in 0..20_000 {
        put(&mut store, key, 2000);
    }
    drop(store);
    let (store, opened) = Store::open(disk.clone(), 100_000_000, |_| ()).unwrap();
    assert_eq!((store.len(), opened.torn_bytes), (20_000, 0));
    assert!(disk.total_bytes() > 40_000_000 && opened.read_bytes < 6_000_000, "{} read", opened.read_bytes);
}

#[test]
fn another_version_is_refused_and_left_alone() {
    let mut disk = MemoryFiles::default();
    let (mut store, _) = open(disk.clone()).unwrap();
    put(&mut store, 1, 10);
    drop(store);
    disk.create("segment-0000000002").unwrap();
    disk.append("segment-0000000002", b"SBSEG002\x02\0\0\0\0\0\0\0records of another form").unwrap();
    let before = disk.total_bytes();
    let error = open(disk.clone()).map(drop).unwrap_err();
    assert_eq!(error.to_string(), "segment-0000000002 is a segment of another version");
    assert_eq!((error.kind(), disk.total_bytes()), (ErrorKind::InvalidData, before));
}

#[test]
fn a_start_on_a_full_disk_reads_what_there_is() {
    let disk = MemoryFiles::default();
    let (mut store, _) = open(disk.clone()).unwrap();
    let mut key = 0;
    while disk.list().unwrap().len() < 3 {
        key += 1;
        put(&mut store, key, 500);
    }
    drop(store);
    // The last segment is a sealed one, as where a process was killed before it made the next.
    disk.clone().remove("segment-0000000003").unwrap();
    let full = Fault::Full { first_operation: 0, operation_count: 10, written_percent: 0 };
    let (mut store, states) = open(FaultyFiles::new(disk, Some(full))).unwrap();
    assert_eq!(content(&mut store, &states).len() as u64, key - 1);
    let record = Record { kind: RecordKind::Value, tag: OPEN, key, metadata: &[], payload: b"x" };
    assert_eq!(store.append(&record, OnError::Discard).unwrap_err().kind(), ErrorKind::StorageFull);
}

#[test]
fn a_torn_tail_is_dropped_wherever_it_is_cut() {
    let disk = MemoryFiles::default();
    let (mut store, _) = open(disk.clone()).unwrap();
    put(&mut store, 1, 30);
    let whole = disk.total_bytes();
    put(&mut store, 2, 30);
    for cut in whole..disk.total_bytes() {
        let mut torn = disk.deep_copy();
        torn.truncate("segment-0000000001", cut).unwrap();
        let (mut store, opened) = Store::open(torn.clone(), LIMIT, |_| ()).unwrap();
        assert_eq!((store.len(), opened.torn_bytes), (1, cut - whole));
        put(&mut store, 3, 30);
        assert_eq!(Store::open(torn, LIMIT, |_| ()).unwrap().0.len(), 2);
    }
}
