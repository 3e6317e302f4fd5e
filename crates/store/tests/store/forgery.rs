//! Payloads built from the store's own on-disk format, with the offsets that make them fit their place: what a
//! client that knows the format can hand in.

use scalebarrow_store::{Files, RecordKind};

/// Length of a segment's header in bytes.
pub const HEADER_LENGTH: usize = 16;
/// Length of a frame with neither metadata nor payload.
pub const FRAME_OVERHEAD: usize = 20;
/// Length of a segment's trailer in bytes.
pub const TRAILER_LENGTH: usize = 16;
/// Keys of records that only forged bytes contain.
pub const FIRST_FORGED_KEY: u64 = 1 << 50;

/// What a payload pretends to be.
#[derive(Debug, Clone, Copy)]
pub enum Forgery {
    /// A seal whose checkpoint lists no record.
    EmptySeal,
    /// Such seals one behind another, so that a write that is cut off may end with one as well.
    RepeatedSeals,
    /// A seal whose checkpoint lists a tombstone of each live key.
    SealWithTombstones,
    /// A record, and a seal that lists it alone.
    SealWithRecord,
    /// A seal whose items fill the segment from its header on.
    SealThatFillsTheSegment,
    /// The end of the oldest segment, from its last whole trailer's checkpoint on, moved to this place.
    OlderTail,
    /// The whole oldest segment.
    OlderSegment,
    /// The header of a segment, and records and tombstones as they follow each other in a segment.
    Records,
}

impl Forgery {
    /// All forgeries.
    pub const ALL: [Forgery; 8] = [
        Forgery::EmptySeal,
        Forgery::RepeatedSeals,
        Forgery::SealWithTombstones,
        Forgery::SealWithRecord,
        Forgery::SealThatFillsTheSegment,
        Forgery::OlderTail,
        Forgery::OlderSegment,
        Forgery::Records,
    ];
}

/// Where the bytes of a payload will be in the files.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    /// The segment.
    pub segment_id: u32,
    /// Offset of the payload's first byte.
    pub offset: usize,
}

/// Encodes a frame.
pub fn frame(kind: RecordKind, tag: u8, key: u64, metadata: &[u8], payload: &[u8]) -> Vec<u8> {
    let mut body = vec![kind as u8, tag];
    body.extend(key.to_le_bytes());
    body.extend((metadata.len() as u16).to_le_bytes());
    body.extend(metadata);
    body.extend(payload);
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Encodes the checkpoint item of a frame.
pub fn item(kind: RecordKind, tag: u8, key: u64, offset: usize, length: usize, metadata: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind as u8, tag];
    bytes.extend(key.to_le_bytes());
    bytes.extend((offset as u32).to_le_bytes());
    bytes.extend((length as u32).to_le_bytes());
    bytes.extend((metadata.len() as u16).to_le_bytes());
    bytes.extend(metadata);
    bytes
}

/// Encodes a checkpoint that starts at `offset`, and its trailer.
pub fn seal(segment_id: u32, offset: usize, items: &[u8]) -> Vec<u8> {
    let mut bytes = frame(RecordKind::Checkpoint, 0, u64::from(segment_id), &[], items);
    bytes.extend((offset as u64).to_le_bytes());
    bytes.extend(b"SBSEGEND");
    bytes
}

/// Reads the oldest segment; empty if there is none.
fn oldest_segment<F: Files>(files: &mut F) -> Vec<u8> {
    let names = files.list().unwrap_or_default();
    let Some(name) = names.iter().filter(|name| name.starts_with("segment-")).min() else {
        return Vec::new();
    };
    let mut bytes = vec![0; files.length(name).unwrap_or(0) as usize];
    files.read_at(name, 0, &mut bytes).unwrap_or_default();
    bytes
}

/// The end of a sealed segment from its checkpoint on, with the trailer's offset changed to `offset`.
fn moved_tail(segment: &[u8], offset: usize) -> Vec<u8> {
    let Some((rest, trailer)) = segment.split_last_chunk::<TRAILER_LENGTH>() else { return Vec::new() };
    let checkpoint_offset = u64::from_le_bytes(*trailer.first_chunk().unwrap()) as usize;
    let Some(checkpoint) = rest.get(checkpoint_offset..) else { return Vec::new() };
    [checkpoint, &(offset as u64).to_le_bytes(), b"SBSEGEND"].concat()
}

/// Builds a payload of at least `size` bytes for a place. Where the forgery is shorter, it is at the end.
pub fn payload<F: Files>(
    forgery: Forgery, place: Place, size: usize, live_keys: &[u64], files: &mut F,
) -> Vec<u8> {
    let Place { segment_id, offset } = place;
    let forged_record = frame(RecordKind::Value, 0, FIRST_FORGED_KEY, &[], b"work that nobody handed in");
    let record_length = forged_record.len();
    let tombstones = |offset| -> Vec<u8> {
        let tombstone = |key: &u64| item(RecordKind::Tombstone, 0, *key, offset, FRAME_OVERHEAD, &[]);
        live_keys.iter().take(40).flat_map(tombstone).collect()
    };
    // Builds the forged bytes for the place where they start; their length does not depend on it.
    let mut forge = |start: usize| match forgery {
        Forgery::EmptySeal => seal(segment_id, start, &[]),
        Forgery::RepeatedSeals => {
            let seal_length = FRAME_OVERHEAD + TRAILER_LENGTH;
            let starts = (0..size.max(600) / seal_length).map(|position| start + position * seal_length);
            starts.flat_map(|start| seal(segment_id, start, &[])).collect()
        }
        Forgery::SealWithTombstones => seal(segment_id, start, &tombstones(HEADER_LENGTH)),
        Forgery::SealWithRecord => {
            let items = item(RecordKind::Value, 0, FIRST_FORGED_KEY, start, record_length, &[]);
            [forged_record.clone(), seal(segment_id, start + record_length, &items)].concat()
        }
        Forgery::SealThatFillsTheSegment => {
            let length = start - HEADER_LENGTH;
            let items = item(RecordKind::Value, 0, FIRST_FORGED_KEY, HEADER_LENGTH, length, &[]);
            seal(segment_id, start, &items)
        }
        Forgery::OlderTail => moved_tail(&oldest_segment(files), start),
        Forgery::OlderSegment => oldest_segment(files),
        Forgery::Records => {
            let header = [&b"SBSEG002"[..], &segment_id.to_le_bytes(), &[1, 0, 0, 0]].concat();
            let tombstones =
                live_keys.iter().take(20).flat_map(|key| frame(RecordKind::Tombstone, 0, *key, &[], &[]));
            header.into_iter().chain(forged_record.clone()).chain(tombstones).collect()
        }
    };
    let forged_length = forge(HEADER_LENGTH).len();
    let filler_length = size.saturating_sub(forged_length);
    let mut bytes = vec![b'f'; filler_length];
    bytes.extend(forge(offset + filler_length));
    bytes
}
