//! Single cases: damaged and torn records, segments of other versions, the cost of steps and of opening.

use crate::forgery;
use crate::model::{FIRST_TAG, LIMIT_BYTES, content, open, test_payload};
use scalebarrow_store::{Fault, FaultyFiles, Files, MemoryFiles, OnError, Record, RecordKind, Store};
use std::io::ErrorKind;

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
    let check_errors = |store: &mut Store<MemoryFiles>| {
        let error = store.read_value(4).unwrap_err();
        assert_eq!(error.to_string(), "segment-0000000001: the record at offset 1576 is damaged");
        // What is before the damage can still be read.
        assert_eq!(store.read_damaged_value(4).unwrap().unwrap()[..100 - 20], test_payload(4, 80));
        assert_eq!(store.read_damaged_value(7).unwrap().unwrap(), test_payload(7, 500));
    };
    check_errors(&mut store);
    assert!(store.take_damaged_keys().is_empty());
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
    check_errors(&mut store);
    assert_eq!((store.take_damaged_keys(), store.take_damaged_keys()), (vec![4, 7], vec![]));
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
    disk.append("segment-0000000002", b"SBSEG003\x02\0\0\0\0\0\0\0records of another form").unwrap();
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

/// Guards against records that a damaged or foreign checkpoint hides: one that names another segment, or whose
/// items leave a gap, is not used, although its checksum holds and the header says that the segment is sealed.
#[test]
fn a_checkpoint_that_does_not_fit_its_segment_is_not_used() {
    let frame = |key: u64| forgery::frame(RecordKind::Value, FIRST_TAG, key, &[], &test_payload(key, 100));
    let frames: Vec<Vec<u8>> = (1..=3).map(frame).collect();
    let length = frames[0].len();
    let offset = |key: usize| forgery::HEADER_LENGTH + (key - 1) * length;
    let item = |key: usize| forgery::item(RecordKind::Value, FIRST_TAG, key as u64, offset(key), length, &[]);
    let items = |keys: &[usize]| -> Vec<u8> { keys.iter().flat_map(|key| item(*key)).collect() };
    // Those of a segment with records of the same lengths and other keys.
    let foreign_item =
        |key: usize| forgery::item(RecordKind::Value, FIRST_TAG, key as u64 + 10, offset(key), length, &[]);
    let foreign_items = (1..=3).flat_map(foreign_item).collect();
    for (name, segment_id, items) in [
        ("of another segment", 2, foreign_items),
        ("empty", 1, Vec::new()),
        ("a gap at the start", 1, items(&[2, 3])),
        ("a gap in the middle", 1, items(&[1, 3])),
        ("a gap at the end", 1, items(&[1, 2])),
        ("another order", 1, items(&[2, 1, 3])),
        ("the right one", 1, items(&[1, 2, 3])),
    ] {
        let mut disk = MemoryFiles::default();
        let header = [&b"SBSEG002"[..], &1_u32.to_le_bytes(), &[1, 0, 0, 0]].concat();
        let seal = forgery::seal(segment_id, offset(4), &items);
        disk.create("segment-0000000001").unwrap();
        disk.append("segment-0000000001", &[header, frames.concat(), seal].concat()).unwrap();
        let (mut store, _) = open(disk).unwrap();
        let found: Vec<Vec<u8>> = (1..=3).filter_map(|key| store.read_value(key).unwrap()).collect();
        assert_eq!(found, [1, 2, 3].map(|key| test_payload(key, 100)), "{name}");
    }
}

/// Guards against a segment that is read under the name of another one.
#[test]
fn a_segment_under_the_name_of_another_one_is_refused() {
    for header in [
        [&b"SBSEG001"[..], &1_u64.to_le_bytes()].concat(),
        [&b"SBSEG002"[..], &1_u32.to_le_bytes(), &[0; 4]].concat(),
    ] {
        let mut disk = MemoryFiles::default();
        disk.create("segment-0000000002").unwrap();
        disk.append("segment-0000000002", &header).unwrap();
        let error = open(disk).map(drop).unwrap_err();
        assert_eq!(error.to_string(), "segment-0000000002 has the header of another segment");
    }
}
