//! Payloads made of the format's own bytes, with each fault at each file operation in turn.

use crate::forgery::Forgery;
use crate::model::{Operation, Run, SECOND_TAG, content, open};
use scalebarrow_store::{Fault, FaultyFiles, MemoryFiles, OnError, Record, RecordKind};

/// Values put in each run.
const PUT_COUNT: usize = 120;

/// Puts values, of which every third is not forged, removes some and compacts now and then.
fn operations(seed: usize) -> Vec<Operation> {
    let mut operations = Vec::new();
    for number in 0..PUT_COUNT {
        let mixed = (number + 1) * (2 * seed + 37);
        let forgery = (number % 3 > 0).then(|| Forgery::ALL[mixed % Forgery::ALL.len()]);
        operations.push(Operation::Put { size: mixed * 71 % 2500, forgery });
        match mixed % 11 {
            0 | 1 => operations.push(Operation::Remove { selector: mixed }),
            2 => operations.push(Operation::Replace { selector: mixed }),
            3 => operations.push(Operation::SetState { selector: mixed, size: 100, forgery }),
            4 | 5 => operations.push(Operation::CompactionStep),
            _ => {}
        }
    }
    operations
}

/// Runs the operations on files with a fault, opens the store again and returns whether its content is that of
/// the model.
fn is_kept(operations: &[Operation], fault: Fault) -> bool {
    let disk = MemoryFiles::default();
    let files = FaultyFiles::new(disk.clone(), Some(fault));
    let kill_flag = files.kill_flag();
    let Ok(mut run) = Run::new(files.clone()) else { return kill_flag.get() };
    for operation in operations {
        run.model_after_operation = run.model.clone();
        let model_before = run.model.clone();
        let _ = run.apply(operation, &files);
        if kill_flag.get() {
            run.model = model_before;
            break;
        }
    }
    if !kill_flag.get() {
        // Writes the deferred records.
        let store = run.store.as_mut().unwrap();
        let record = Record {
            kind: RecordKind::Tombstone,
            tag: SECOND_TAG,
            key: 1 << 40,
            metadata: &[],
            payload: &[],
        };
        while store.append(&record, OnError::Discard).is_err() {}
        run.model_after_operation = run.model.clone();
    }
    drop(run.store);
    let (mut store, states) = open(disk).unwrap();
    let keys: Vec<u64> = store.keys_with_tags().map(|(key, _)| key).collect();
    if keys.iter().any(|key| store.read_value(*key).is_err()) {
        return false;
    }
    let found = content(&mut store, &states);
    found == run.model || found == run.model_after_operation
}

/// Every fault at each file operation of a run.
fn faults(operations: &[Operation]) -> Vec<Fault> {
    let files = FaultyFiles::new(MemoryFiles::default(), None);
    let operation_counter = files.operation_counter();
    let mut run = Run::new(files.clone()).unwrap();
    for operation in operations {
        run.apply(operation, &files).unwrap();
    }
    let faults_at = |operation: u64| {
        let written_percent = (operation * 37 % 100) as u8;
        let full =
            |operation_count| Fault::Full { first_operation: operation, operation_count, written_percent };
        let failing =
            |operation_count| Fault::Failing { first_operation: operation, operation_count, written_percent };
        [
            Fault::KillBefore(operation),
            Fault::KillWithin(operation, written_percent),
            Fault::KillWithin(operation, 100),
            Fault::Once(operation),
            full(1),
            full(3),
            failing(2),
            failing(3),
            failing(5),
        ]
    };
    (0..operation_counter.get()).flat_map(faults_at).collect()
}

/// Guards against webhooks that are lost at a restart because the body of one of them reads as the seal of the
/// segment: in the last segment, or in one whose own seal could not be written.
#[test]
fn payloads_like_seals_hide_and_add_no_record_after_any_fault() {
    let mut run_count = 0;
    for seed in 0..4 {
        let operations = operations(seed);
        let faults = faults(&operations);
        run_count += faults.len();
        let broken: Vec<Fault> = faults.into_iter().filter(|fault| !is_kept(&operations, *fault)).collect();
        assert!(broken.is_empty(), "seed {seed}: {} runs broken, such as {:?}", broken.len(), broken.first());
    }
    assert!(run_count > 5_000, "{run_count} runs");
}
