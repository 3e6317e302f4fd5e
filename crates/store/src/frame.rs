//! The on-disk format of records and segments. All integers are little-endian.
//!
//! ```text
//! segment    = header frame* [checkpoint trailer]
//! header     = "SBSEG" "002" id:4 seal:1 zero:3
//! frame      = length:4 checksum:4 kind:1 tag:1 key:8 metadata-length:2 metadata payload
//!              (length and checksum cover the fields after them)
//! checkpoint = a frame of kind Checkpoint whose payload is item*
//! item       = kind:1 tag:1 key:8 offset:4 length:4 metadata-length:2 metadata
//! trailer    = offset of the checkpoint:8 "SBSEGEND"
//! ```
//!
//! A segment is sealed if, and only if, the seal byte of its header says so: the store writes that byte itself,
//! at a fixed offset in front of all records, after the checkpoint and the trailer. In a segment that is not
//! sealed, each frame is found by the lengths of the frames in front of it; so bytes within a record are never
//! read as a seal, a checkpoint or another record, whatever they are and wherever a write was cut off.
//!
//! Version 001 had `id:8` in place of the id, the seal byte and the zeros, so its header does not tell whether
//! the segment is sealed. It is, if the lengths of its frames lead from the header to a checkpoint to which
//! the trailer points.

use std::io;

const SEGMENT_NAME_PREFIX: &str = "segment-";
const HEADER_MAGIC: &[u8; 5] = b"SBSEG";
const FORMAT_VERSION: &[u8; 3] = b"002";
/// The version whose headers have no seal byte. Its segments are read, but not written.
const UNMARKED_VERSION: &[u8; 3] = b"001";
/// Length of a segment's header in bytes.
pub(crate) const HEADER_LENGTH: usize = 16;
/// Offset of the seal byte in a segment's file.
pub(crate) const SEAL_OFFSET: u64 = 12;
/// The seal byte of a sealed segment.
pub(crate) const SEALED: u8 = 1;
const TRAILER_MAGIC: &[u8; 8] = b"SBSEGEND";
/// Length of a segment's trailer in bytes.
pub(crate) const TRAILER_LENGTH: usize = 16;
/// Bytes of a frame's length and checksum fields.
const FRAME_PREFIX_LENGTH: usize = 8;
/// Length of a frame with neither metadata nor payload.
pub(crate) const FRAME_OVERHEAD: usize = FRAME_PREFIX_LENGTH + 1 + 1 + 8 + 2;
/// Length of a checkpoint item without metadata.
pub(crate) const CHECKPOINT_ITEM_OVERHEAD: usize = 1 + 1 + 8 + 4 + 4 + 2;

/// What a record does to its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum RecordKind {
    /// Sets the value.
    Value = 1,
    /// Sets the state.
    State = 2,
    /// Deletes the value and the state.
    Tombstone = 3,
    /// Not a change of a key, but the list of a segment's records.
    Checkpoint = 4,
}

impl RecordKind {
    fn decode(byte: u8) -> Option<Self> {
        [RecordKind::Value, RecordKind::State, RecordKind::Tombstone, RecordKind::Checkpoint]
            .into_iter()
            .find(|kind| *kind as u8 == byte)
    }
}

/// The location of a record's frame: segment, offset in the segment's file, and length in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordPosition {
    pub(crate) segment_id: u32,
    pub(crate) offset: u32,
    pub(crate) length: u32,
}

/// A record of the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Record<'a> {
    /// What the record does to its key.
    pub kind: RecordKind,
    /// The type of a value, as defined by the caller. For a state, the type of the value that it belongs to:
    /// a state is dropped when its key gets a value of another type.
    pub tag: u8,
    /// The key that the record is about; for a checkpoint, the segment id.
    pub key: u64,
    /// Data that is also copied to the checkpoint, so that opening the store need not read the record itself;
    /// at most 65,535 bytes.
    pub metadata: &'a [u8],
    /// Data that is only read on demand.
    pub payload: &'a [u8],
}

/// Returns the bytes that a record takes up on disk: its frame and its checkpoint item.
pub(crate) fn size_on_disk(frame_length: u32, metadata_length: u16) -> u64 {
    u64::from(frame_length) + CHECKPOINT_ITEM_OVERHEAD as u64 + u64::from(metadata_length)
}

/// Removes the first `N` bytes from a slice and returns them.
fn take_array<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
    let (first, rest) = bytes.split_first_chunk::<N>()?;
    *bytes = rest;
    Some(*first)
}

/// Removes the first `length` bytes from a slice and returns them.
fn take_slice<'a>(bytes: &mut &'a [u8], length: usize) -> Option<&'a [u8]> {
    let (first, rest) = bytes.split_at_checked(length)?;
    *bytes = rest;
    Some(first)
}

impl Record<'_> {
    /// Returns the bytes that the record takes up on disk: its frame and its checkpoint item.
    pub(crate) fn size_on_disk(&self) -> u64 {
        size_on_disk(self.frame_length() as u32, self.metadata.len() as u16)
    }

    /// Returns the length of the record's frame in bytes.
    pub(crate) fn frame_length(&self) -> usize {
        FRAME_OVERHEAD + self.metadata.len() + self.payload.len()
    }

    /// Appends the record's frame to `out`.
    pub(crate) fn encode(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&((self.frame_length() - FRAME_PREFIX_LENGTH) as u32).to_le_bytes());
        out.extend_from_slice(&[0; 4]);
        out.extend_from_slice(&[self.kind as u8, self.tag]);
        out.extend_from_slice(&self.key.to_le_bytes());
        out.extend_from_slice(&(self.metadata.len() as u16).to_le_bytes());
        out.extend_from_slice(self.metadata);
        out.extend_from_slice(self.payload);
        let checksum = crc32fast::hash(&out[start + FRAME_PREFIX_LENGTH..]);
        out[start + 4..start + FRAME_PREFIX_LENGTH].copy_from_slice(&checksum.to_le_bytes());
    }
}

/// Returns the length of the frame at the start of `bytes` according to its length field, which is not
/// verified; `None` if the field is incomplete or too small.
pub(crate) fn declared_frame_length(bytes: &[u8]) -> Option<usize> {
    let length = u32::from_le_bytes(*bytes.first_chunk::<4>()?) as usize;
    (length >= FRAME_OVERHEAD - FRAME_PREFIX_LENGTH).then_some(FRAME_PREFIX_LENGTH + length)
}

/// Decodes a whole frame; `None` if its length or checksum does not match, or its fields are invalid.
pub(crate) fn decode_frame(frame: &[u8]) -> Option<Record<'_>> {
    let mut rest = frame;
    let length = u32::from_le_bytes(take_array(&mut rest)?) as usize;
    let checksum = u32::from_le_bytes(take_array(&mut rest)?);
    if length != rest.len() || crc32fast::hash(rest) != checksum {
        return None;
    }
    decode_body(rest)
}

/// Reads kind and key of a frame without verifying its checksum.
pub(crate) fn peek_kind_and_key(frame: &[u8]) -> Option<(RecordKind, u64)> {
    let mut rest = frame.get(FRAME_PREFIX_LENGTH..)?;
    let [kind, _] = take_array(&mut rest)?;
    Some((RecordKind::decode(kind)?, u64::from_le_bytes(take_array(&mut rest)?)))
}

/// Decodes the part of a frame that its checksum covers.
fn decode_body(mut rest: &[u8]) -> Option<Record<'_>> {
    let [kind, tag] = take_array(&mut rest)?;
    let key = u64::from_le_bytes(take_array(&mut rest)?);
    let metadata_length = usize::from(u16::from_le_bytes(take_array(&mut rest)?));
    let metadata = take_slice(&mut rest, metadata_length)?;
    Some(Record { kind: RecordKind::decode(kind)?, tag, key, metadata, payload: rest })
}

/// Appends the checkpoint item of a record whose frame starts at `offset`.
pub(crate) fn encode_checkpoint_item(out: &mut Vec<u8>, record: &Record, offset: u32) {
    out.extend_from_slice(&[record.kind as u8, record.tag]);
    out.extend_from_slice(&record.key.to_le_bytes());
    out.extend_from_slice(&offset.to_le_bytes());
    out.extend_from_slice(&(record.frame_length() as u32).to_le_bytes());
    out.extend_from_slice(&(record.metadata.len() as u16).to_le_bytes());
    out.extend_from_slice(record.metadata);
}

/// Removes the first item from a checkpoint's payload and returns the record without its payload, and the
/// offset and length of its frame.
pub(crate) fn decode_checkpoint_item<'a>(items: &mut &'a [u8]) -> Option<(Record<'a>, u32, u32)> {
    let [kind, tag] = take_array(items)?;
    let key = u64::from_le_bytes(take_array(items)?);
    let offset = u32::from_le_bytes(take_array(items)?);
    let length = u32::from_le_bytes(take_array(items)?);
    let metadata_length = usize::from(u16::from_le_bytes(take_array(items)?));
    let metadata = take_slice(items, metadata_length)?;
    Some((Record { kind: RecordKind::decode(kind)?, tag, key, metadata, payload: &[] }, offset, length))
}

/// What a segment's header tells about its seal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SealState {
    /// The segment ends with a checkpoint and a trailer.
    Sealed,
    /// It ends with a record, or with part of a record or checkpoint.
    Unsealed,
    /// The header is of a version that does not tell.
    Unmarked,
}

/// Returns whether a checkpoint's items are whole and list records that follow each other from the header to
/// the checkpoint without a gap, as in each segment that the store has sealed.
pub(crate) fn items_fill_segment(mut items: &[u8], checkpoint_offset: u64) -> bool {
    let mut expected_offset = HEADER_LENGTH as u64;
    while !items.is_empty() {
        let Some((record, offset, length)) = decode_checkpoint_item(&mut items) else { return false };
        let has_room_for_metadata = length as usize >= record.frame_length();
        if record.kind == RecordKind::Checkpoint
            || u64::from(offset) != expected_offset
            || !has_room_for_metadata
        {
            return false;
        }
        expected_offset += u64::from(length);
    }
    expected_offset == checkpoint_offset
}

/// Encodes the header of a segment that is not sealed.
pub(crate) fn encode_header(segment_id: u32) -> [u8; HEADER_LENGTH] {
    let mut bytes = [0; HEADER_LENGTH];
    bytes[..5].copy_from_slice(HEADER_MAGIC);
    bytes[5..8].copy_from_slice(FORMAT_VERSION);
    bytes[8..12].copy_from_slice(&segment_id.to_le_bytes());
    bytes
}

/// Decodes the header of a segment's file; fails with `InvalidData`.
pub(crate) fn decode_header(bytes: &[u8; HEADER_LENGTH], segment_id: u32) -> io::Result<SealState> {
    let is_unmarked = bytes[5..8] == *UNMARKED_VERSION;
    let has_id = if is_unmarked {
        bytes[8..] == u64::from(segment_id).to_le_bytes()
    } else {
        bytes[8..12] == segment_id.to_le_bytes()
    };
    let problem = match bytes {
        bytes if bytes[..5] != *HEADER_MAGIC => "is not a segment file",
        bytes if !is_unmarked && bytes[5..8] != *FORMAT_VERSION => {
            "has an unsupported segment format version"
        }
        _ if !has_id => "has the header of another segment",
        _ if is_unmarked => return Ok(SealState::Unmarked),
        bytes if bytes[SEAL_OFFSET as usize] == SEALED => return Ok(SealState::Sealed),
        _ => return Ok(SealState::Unsealed),
    };
    Err(io::Error::new(io::ErrorKind::InvalidData, format!("{} {problem}", segment_name(segment_id))))
}

/// Encodes a sealed segment's trailer.
pub(crate) fn encode_trailer(checkpoint_offset: u32) -> [u8; TRAILER_LENGTH] {
    let mut bytes = [0; TRAILER_LENGTH];
    bytes[..8].copy_from_slice(&u64::from(checkpoint_offset).to_le_bytes());
    bytes[8..].copy_from_slice(TRAILER_MAGIC);
    bytes
}

/// Returns the offset of the checkpoint; `None` if these are not the last bytes of a sealed segment.
pub(crate) fn decode_trailer(bytes: &[u8; TRAILER_LENGTH]) -> Option<u64> {
    let offset = bytes.first_chunk::<8>()?;
    (bytes[8..] == *TRAILER_MAGIC).then_some(u64::from_le_bytes(*offset))
}

/// Returns the file name of a segment.
pub(crate) fn segment_name(segment_id: u32) -> String {
    format!("{SEGMENT_NAME_PREFIX}{segment_id:010}")
}

/// Returns the segment id in a file name; `None` if the file is not a segment.
pub(crate) fn parse_segment_name(name: &str) -> Option<u32> {
    let digits = name.strip_prefix(SEGMENT_NAME_PREFIX)?;
    let is_id = digits.len() == 10 && digits.bytes().all(|byte| byte.is_ascii_digit());
    is_id.then(|| digits.parse().ok())?
}
