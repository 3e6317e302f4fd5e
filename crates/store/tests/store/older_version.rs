//! Folders of segment version 001, whose headers do not tell whether a segment is sealed.

use crate::forgery::{self, FRAME_OVERHEAD, HEADER_LENGTH, TRAILER_LENGTH};
use crate::model::{FIRST_TAG, LIMIT_BYTES, test_payload};
use scalebarrow_store::{Files, MemoryFiles, OnError, Record, RecordKind, Store};

/// A segment as version 001 wrote it.
struct OlderSegment {
    segment_id: u32,
    bytes: Vec<u8>,
    items: Vec<u8>,
}

impl OlderSegment {
    fn new(segment_id: u32) -> Self {
        let bytes = [&b"SBSEG001"[..], &u64::from(segment_id).to_le_bytes()].concat();
        OlderSegment { segment_id, bytes, items: Vec::new() }
    }

    fn append(&mut self, kind: RecordKind, key: u64, metadata: &[u8], payload: &[u8]) {
        let frame = forgery::frame(kind, FIRST_TAG, key, metadata, payload);
        self.items.extend(forgery::item(kind, FIRST_TAG, key, self.bytes.len(), frame.len(), metadata));
        self.bytes.extend(frame);
    }

    fn put(&mut self, key: u64) {
        self.append(RecordKind::Value, key, &key.to_le_bytes(), &test_payload(key, 300));
    }

    /// Puts a value whose payload reads as the segment's seal.
    fn put_forged_seal(&mut self, key: u64) {
        let payload = self.forged_seal();
        self.append(RecordKind::Value, key, &[], &payload);
    }

    /// A seal that fits as the payload of the next record. Its items fill the segment up to it, with a value
    /// that nobody has put.
    fn forged_seal(&self) -> Vec<u8> {
        let offset = self.bytes.len() + FRAME_OVERHEAD;
        let items = forgery::item(RecordKind::Value, 0, 99, HEADER_LENGTH, offset - HEADER_LENGTH, &[]);
        forgery::seal(self.segment_id, offset, &items)
    }

    fn seal(&mut self) {
        let seal = forgery::seal(self.segment_id, self.bytes.len(), &self.items);
        self.bytes.extend(seal);
    }

    fn write(&self, files: &mut MemoryFiles) {
        let name = format!("segment-{:010}", self.segment_id);
        files.create(&name).unwrap();
        files.append(&name, &self.bytes).unwrap();
    }
}

fn open(files: &MemoryFiles) -> Store<MemoryFiles> {
    Store::open(files.clone(), LIMIT_BYTES, |_| ()).unwrap().0
}

/// The keys of all values, each of which must be readable.
fn readable_keys(store: &mut Store<MemoryFiles>) -> Vec<u64> {
    let keys: Vec<u64> = store.keys_with_tags().map(|(key, _)| key).collect();
    for key in &keys {
        store.read_value(*key).unwrap().unwrap();
    }
    keys
}

/// A sealed segment with the values 1 to 20 of which 3 is removed, and an unsealed one with 21 to 30. The last
/// record of each has a payload that reads as a seal.
fn older_folder() -> MemoryFiles {
    let mut files = MemoryFiles::default();
    let mut sealed = OlderSegment::new(1);
    (1..=19).for_each(|key| sealed.put(key));
    sealed.append(RecordKind::State, 2, b"state", &[]);
    sealed.append(RecordKind::Tombstone, 3, &[], b"id");
    sealed.put_forged_seal(20);
    sealed.seal();
    sealed.write(&mut files);
    let mut unsealed = OlderSegment::new(2);
    (21..=29).for_each(|key| unsealed.put(key));
    unsealed.put_forged_seal(30);
    unsealed.write(&mut files);
    files
}

/// The keys of the values in [`older_folder`].
fn older_keys() -> Vec<u64> {
    (1..=30).filter(|key| *key != 3).collect()
}

/// Guards against webhooks that are lost when a folder of the version before is opened: all records of its
/// sealed and unsealed segments are found, again after new records, and after compaction.
#[test]
fn a_folder_of_the_older_version_opens_with_all_its_records() {
    let files = older_folder();
    let mut store = open(&files);
    assert_eq!(readable_keys(&mut store), older_keys());
    let record = Record { kind: RecordKind::Value, tag: FIRST_TAG, key: 31, metadata: &[], payload: b"new" };
    store.append(&record, OnError::Discard).unwrap();
    drop(store);
    let mut store = open(&files);
    let expected: Vec<u64> = older_keys().into_iter().chain([31]).collect();
    assert_eq!(readable_keys(&mut store), expected);
    // Compaction replaces the older segments.
    for key in 100..3000 {
        let payload = test_payload(key, 500);
        let record =
            Record { kind: RecordKind::Value, tag: FIRST_TAG, key, metadata: &[], payload: &payload };
        store.append(&record, OnError::Discard).unwrap();
        let tombstone = Record { kind: RecordKind::Tombstone, tag: 0, key, metadata: &[], payload: &[] };
        store.append(&tombstone, OnError::Discard).unwrap();
        store.run_compaction_step().unwrap();
    }
    assert!(files.length("segment-0000000001").is_err() && files.length("segment-0000000002").is_err());
    drop(store);
    assert_eq!(readable_keys(&mut open(&files)), expected);
}

/// Guards against records that are lost because an unsealed segment of the version before is not the last one:
/// its seal could not be written, or an earlier start took a payload for its seal.
#[test]
fn an_unsealed_older_segment_before_others_keeps_its_records() {
    let files = older_folder();
    let mut following = OlderSegment::new(3);
    following.put(40);
    following.write(&mut files.clone());
    let expected: Vec<u64> = older_keys().into_iter().chain([40]).collect();
    assert_eq!(readable_keys(&mut open(&files)), expected);
}

/// Guards against records that are hidden or added by a record that a kill cut off within a payload, where the
/// part that was written ends like a seal, or holds whole records.
#[test]
fn a_record_that_was_cut_off_in_an_older_segment_changes_no_other_record() {
    for forged_items in [false, true] {
        let mut files = MemoryFiles::default();
        let mut segment = OlderSegment::new(1);
        (1..=5).for_each(|key| segment.put(key));
        let payload_offset = segment.bytes.len() + FRAME_OVERHEAD;
        let forged = forgery::frame(RecordKind::Value, 0, 99, &[], b"not handed in");
        let items = forgery::item(RecordKind::Value, 0, 99, payload_offset, forged.len(), &[]);
        let items = if forged_items { items } else { Vec::new() };
        let mut payload = forged.clone();
        payload.extend(forgery::seal(1, payload_offset + forged.len(), &items));
        let written_length = payload_offset + payload.len();
        payload.extend([0; 500]);
        segment.append(RecordKind::Value, 6, &[], &payload);
        segment.bytes.truncate(written_length);
        segment.write(&mut files);
        assert_eq!(readable_keys(&mut open(&files)), [1, 2, 3, 4, 5]);
        // The same where it is not the last segment.
        let mut following = OlderSegment::new(2);
        following.put(7);
        following.write(&mut files);
        assert_eq!(readable_keys(&mut open(&files)), [1, 2, 3, 4, 5, 7]);
    }
}

/// Guards against records that are lost behind a damaged one in a sealed segment of the version before.
#[test]
fn a_damaged_payload_in_a_sealed_older_segment_makes_no_other_record_unreadable() {
    let files = older_folder();
    let name = "segment-0000000001";
    let mut bytes = vec![0; files.length(name).unwrap() as usize];
    files.clone().read_at(name, 0, &mut bytes).unwrap();
    bytes[HEADER_LENGTH + FRAME_OVERHEAD + 100] ^= 1;
    files.clone().create(name).unwrap();
    files.clone().append(name, &bytes).unwrap();
    let mut store = open(&files);
    let unreadable: Vec<u64> =
        older_keys().into_iter().filter(|key| store.read_value(*key).is_err()).collect();
    assert_eq!((unreadable, store.len()), (vec![1], older_keys().len()));
}

/// Guards against sealed segments of the version before that are read as if they were not: a checkpoint that
/// the frames lead to is used, so that a trailer alone decides nothing.
#[test]
fn a_trailer_that_does_not_point_to_the_checkpoint_is_no_seal() {
    let mut files = MemoryFiles::default();
    let mut segment = OlderSegment::new(1);
    (1..=5).for_each(|key| segment.put(key));
    let forged_offset = segment.bytes.len() + FRAME_OVERHEAD;
    segment.put_forged_seal(6);
    segment.seal();
    let trailer_offset = segment.bytes.len() - TRAILER_LENGTH;
    segment.bytes[trailer_offset..trailer_offset + 8].copy_from_slice(&(forged_offset as u64).to_le_bytes());
    segment.write(&mut files);
    assert_eq!(readable_keys(&mut open(&files)), [1, 2, 3, 4, 5, 6]);
}
