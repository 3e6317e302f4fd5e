//! Random operations against the model, interrupted by a fault at any of their file operations.

use crate::forgery::{Forgery, HEADER_LENGTH};
use crate::model::{
    Content, FIRST_TAG, LIMIT_BYTES, MAX_STATE_BYTES, Operation, Run, SECOND_TAG, content, open,
};
use proptest::prelude::*;
use scalebarrow_store::{Fault, FaultyFiles, Files, MemoryFiles, OnError, Record, RecordKind};
use std::io::ErrorKind;

/// Two of three payloads and states are forged.
fn forgery() -> impl Strategy<Value = Option<Forgery>> {
    prop_oneof![
        1 => Just(None),
        2 => proptest::sample::select(Forgery::ALL.to_vec()).prop_map(Some),
    ]
}

fn operation() -> impl Strategy<Value = Operation> {
    let selector = 0usize..1000;
    prop_oneof![
        6 => (0usize..3000, forgery()).prop_map(|(size, forgery)| Operation::Put { size, forgery }),
        1 => (30_000usize..66_000, forgery()).prop_map(|(size, forgery)| Operation::Put { size, forgery }),
        6 => (selector.clone(), 0usize..MAX_STATE_BYTES, forgery())
            .prop_map(|(selector, size, forgery)| Operation::SetState { selector, size, forgery }),
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
    expected_after_append.insert(1 << 40, (FIRST_TAG, b"next".as_slice().into(), Vec::new()));
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
        run.model.insert(1 << 40, (SECOND_TAG, b"next".as_slice().into(), Vec::new()));
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
            (1u32..5, proptest::collection::vec(any::<u8>(), 0..200), 0u8..4),
            0..4,
        )
    ) {
        let mut disk = MemoryFiles::default();
        for (segment_id, bytes, header) in files {
            let name = format!("segment-{segment_id:010}");
            disk.create(&name).unwrap();
            let id = segment_id.to_le_bytes();
            // None, one of version 001, and one of version 002, not sealed and sealed.
            let header = match header {
                0 => Vec::new(),
                1 => [&b"SBSEG001"[..], &id, &[0; 4]].concat(),
                seal => [&b"SBSEG002"[..], &id, &[seal - 2, 0, 0, 0]].concat(),
            };
            disk.append(&name, &header).unwrap();
            disk.append(&name, &bytes).unwrap();
        }
        if let Ok((mut store, states)) = open(disk) {
            content(&mut store, &states);
        }
    }

    /// Guards against a value that a damaged folder yields under a key that it was not put under.
    #[test]
    fn damaged_segments_yield_no_value_that_was_not_put(
        operations in operations(),
        damages in proptest::collection::vec((0usize..100, 0usize..100_000, 1u8..=255), 1..6),
        cut in proptest::option::of(0usize..100_000),
    ) {
        let disk = MemoryFiles::default();
        let mut run = Run::new(disk.clone()).unwrap();
        for operation in &operations {
            run.apply(operation, &disk).unwrap();
        }
        let mut names = disk.list().unwrap();
        names.sort();
        for (selector, position, mask) in damages {
            let name = &names[selector % names.len()];
            let mut bytes = vec![0; disk.length(name).unwrap() as usize];
            disk.clone().read_at(name, 0, &mut bytes).unwrap();
            // The header tells the version, which decides whether the folder is opened at all.
            let position = HEADER_LENGTH + position % (bytes.len() - HEADER_LENGTH).max(1);
            if let Some(byte) = bytes.get_mut(position) {
                *byte ^= mask;
            }
            bytes.truncate(cut.map_or(bytes.len(), |cut| HEADER_LENGTH.max(cut)));
            disk.clone().create(name).unwrap();
            disk.clone().append(name, &bytes).unwrap();
        }
        let (mut store, _) = open(disk).unwrap();
        let keys: Vec<u64> = store.keys_with_tags().map(|(key, _)| key).collect();
        for key in keys {
            if let Ok(Some(payload)) = store.read_value(key) {
                let was_put = run.all_values.get(&key).is_some_and(|values| values.contains(&payload));
                prop_assert!(was_put, "key {key}: {} bytes", payload.len());
            }
            let _ = store.read_damaged_value(key);
        }
    }
}
