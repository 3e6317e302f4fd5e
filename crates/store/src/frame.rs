//! How records and segments look on disk. All numbers are little-endian.
//!
//! ```text
//! segment    = header frame* [checkpoint trailer]
//! header     = "SBSEG" version:3 id:8
//! frame      = length:4 checksum:4 kind:1 tag:1 key:8 metadata-length:2 metadata payload   (length and checksum: of the rest)
//! checkpoint = a frame of kind Checkpoint whose payload is item*
//! item       = kind:1 tag:1 key:8 offset:4 length:4 metadata-length:2 metadata
//! trailer    = offset of the checkpoint:8 "SBSEGEND"
//! ```

use std::io;

const NAME: &str = "segment-";
const MAGIC: &[u8; 5] = b"SBSEG";
const VERSION: &[u8; 3] = b"001";
/// Length of a segment's header.
pub(crate) const HEADER: usize = 16;
const END: &[u8; 8] = b"SBSEGEND";
/// Length of a segment's trailer.
pub(crate) const TRAILER: usize = 16;
/// Length and checksum of a frame.
const PREFIX: usize = 8;
/// A frame with neither metadata nor payload.
pub(crate) const FRAME: usize = PREFIX + 1 + 1 + 8 + 2;
/// An item of a checkpoint with no metadata.
pub(crate) const ITEM: usize = 1 + 1 + 8 + 4 + 4 + 2;

/// What a record says of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum RecordKind {
    /// This is its value from now on.
    Value = 1,
    /// This is its state from now on.
    State = 2,
    /// It has neither any more.
    Tombstone = 3,
    /// No record: the list of a segment's records.
    Checkpoint = 4,
}

impl RecordKind {
    fn decode(byte: u8) -> Option<Self> {
        [RecordKind::Value, RecordKind::State, RecordKind::Tombstone, RecordKind::Checkpoint]
            .into_iter()
            .find(|k| *k as u8 == byte)
    }
}

/// Where a record stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordPosition {
    pub(crate) segment: u32,
    pub(crate) offset: u32,
    pub(crate) length: u32,
}

/// What is written of a key.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Record<'a> {
    pub kind: RecordKind,
    /// A value's sort; of a state, the sort of value that it belongs to. It ends with a value of another sort.
    pub tag: u8,
    pub key: u64,
    /// Stands in the checkpoint too, so that a start need not read the record itself; 65,535 bytes at most.
    pub metadata: &'a [u8],
    pub payload: &'a [u8],
}

/// What a record takes up that has so long a frame and metadata.
pub(crate) fn weight(frame_length: u32, metadata_length: u16) -> u64 {
    u64::from(frame_length) + ITEM as u64 + u64::from(metadata_length)
}

/// Takes the first bytes off a slice.
fn take<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
    let (first, rest) = bytes.split_first_chunk::<N>()?;
    *bytes = rest;
    Some(*first)
}

fn take_slice<'a>(bytes: &mut &'a [u8], length: usize) -> Option<&'a [u8]> {
    let (first, rest) = bytes.split_at_checked(length)?;
    *bytes = rest;
    Some(first)
}

impl Record<'_> {
    /// What the record takes up: its frame, and its item in the checkpoint.
    pub(crate) fn weight(&self) -> u64 {
        weight(self.frame_length() as u32, self.metadata.len() as u16)
    }

    pub(crate) fn frame_length(&self) -> usize {
        FRAME + self.metadata.len() + self.payload.len()
    }

    /// Appends the record's frame.
    pub(crate) fn encode(&self, out: &mut Vec<u8>) {
        let start = out.len();
        out.extend_from_slice(&((self.frame_length() - PREFIX) as u32).to_le_bytes());
        out.extend_from_slice(&[0; 4]);
        out.extend_from_slice(&[self.kind as u8, self.tag]);
        out.extend_from_slice(&self.key.to_le_bytes());
        out.extend_from_slice(&(self.metadata.len() as u16).to_le_bytes());
        out.extend_from_slice(self.metadata);
        out.extend_from_slice(self.payload);
        let checksum = crc32fast::hash(&out[start + PREFIX..]);
        out[start + 4..start + PREFIX].copy_from_slice(&checksum.to_le_bytes());
    }
}

/// The length that the frame at the start of `bytes` has, as far as its first bytes say so.
pub(crate) fn frame_length(bytes: &[u8]) -> Option<usize> {
    let length = u32::from_le_bytes(*bytes.first_chunk::<4>()?) as usize;
    (length >= FRAME - PREFIX).then_some(PREFIX + length)
}

/// The record of a whole frame; nothing where the frame is torn or changed.
pub(crate) fn decode(frame: &[u8]) -> Option<Record<'_>> {
    let mut rest = frame;
    let length = u32::from_le_bytes(take(&mut rest)?) as usize;
    let checksum = u32::from_le_bytes(take(&mut rest)?);
    if length != rest.len() || crc32fast::hash(rest) != checksum {
        return None;
    }
    decode_content(rest)
}

/// The key and kind of a frame, unchecked.
pub(crate) fn peek(frame: &[u8]) -> Option<(RecordKind, u64)> {
    let mut rest = frame.get(PREFIX..)?;
    let [kind, _] = take(&mut rest)?;
    Some((RecordKind::decode(kind)?, u64::from_le_bytes(take(&mut rest)?)))
}

fn decode_content(mut rest: &[u8]) -> Option<Record<'_>> {
    let [kind, tag] = take(&mut rest)?;
    let key = u64::from_le_bytes(take(&mut rest)?);
    let metadata_length = usize::from(u16::from_le_bytes(take(&mut rest)?));
    let metadata = take_slice(&mut rest, metadata_length)?;
    Some(Record { kind: RecordKind::decode(kind)?, tag, key, metadata, payload: rest })
}

/// Appends a checkpoint's item for a record at an offset.
pub(crate) fn encode_item(out: &mut Vec<u8>, record: &Record, offset: u32) {
    out.extend_from_slice(&[record.kind as u8, record.tag]);
    out.extend_from_slice(&record.key.to_le_bytes());
    out.extend_from_slice(&offset.to_le_bytes());
    out.extend_from_slice(&(record.frame_length() as u32).to_le_bytes());
    out.extend_from_slice(&(record.metadata.len() as u16).to_le_bytes());
    out.extend_from_slice(record.metadata);
}

/// Takes one item off a checkpoint's payload: the record without its payload, its offset and length.
pub(crate) fn decode_item<'a>(items: &mut &'a [u8]) -> Option<(Record<'a>, u32, u32)> {
    let [kind, tag] = take(items)?;
    let key = u64::from_le_bytes(take(items)?);
    let offset = u32::from_le_bytes(take(items)?);
    let length = u32::from_le_bytes(take(items)?);
    let metadata_length = usize::from(u16::from_le_bytes(take(items)?));
    let metadata = take_slice(items, metadata_length)?;
    Some((Record { kind: RecordKind::decode(kind)?, tag, key, metadata, payload: &[] }, offset, length))
}

pub(crate) fn header(segment: u32) -> [u8; HEADER] {
    let mut bytes = [0; HEADER];
    bytes[..5].copy_from_slice(MAGIC);
    bytes[5..8].copy_from_slice(VERSION);
    bytes[8..].copy_from_slice(&u64::from(segment).to_le_bytes());
    bytes
}

/// Checks the header of a segment's file.
pub(crate) fn check_header(bytes: &[u8; HEADER], segment: u32) -> io::Result<()> {
    let why = match bytes {
        b if b[..5] != *MAGIC => "is no segment",
        b if b[5..8] != *VERSION => "is a segment of another version",
        b if b[8..] != u64::from(segment).to_le_bytes() => "is another segment's file",
        _ => return Ok(()),
    };
    Err(io::Error::new(io::ErrorKind::InvalidData, format!("{} {why}", segment_name(segment))))
}

pub(crate) fn trailer(checkpoint_offset: u32) -> [u8; TRAILER] {
    let mut bytes = [0; TRAILER];
    bytes[..8].copy_from_slice(&u64::from(checkpoint_offset).to_le_bytes());
    bytes[8..].copy_from_slice(END);
    bytes
}

/// Where the checkpoint stands, if these are the last bytes of a sealed segment.
pub(crate) fn decode_trailer(bytes: &[u8; TRAILER]) -> Option<u64> {
    let offset = bytes.first_chunk::<8>()?;
    (bytes[8..] == *END).then_some(u64::from_le_bytes(*offset))
}

pub(crate) fn segment_name(segment: u32) -> String {
    format!("{NAME}{segment:010}")
}

pub(crate) fn segment_id(name: &str) -> Option<u32> {
    let digits = name.strip_prefix(NAME)?;
    (digits.len() == 10).then(|| digits.parse().ok())?
}
