//! The file that identifies the folder's format and stores its timeline.

use super::legacy;
use crate::clock::Timeline;
use scalebarrow_store::Files;
use std::io;

/// The file's name. An older version kept its whole journal in a file of this name.
pub(super) const FILE_NAME: &str = "journal";
const NEW_FILE_NAME: &str = "journal.new";
/// The first bytes of the file; each format has its own number.
const MAGIC: &[u8; 8] = b"SBARROW3";
/// The previous format: the same segments, with times in Unix time.
const UNIX_TIME_MAGIC: &[u8; 8] = b"SBARROW2";
/// Bytes of the magic, the timeline and their checksum.
const FILE_SIZE: usize = MAGIC.len() + Timeline::SIZE + 4;
/// Disk space for the file and for a new one beside it, in bytes.
pub(super) const RESERVED_BYTES: usize = 2 * 4096;

/// The format of a folder.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Format {
    /// Segments with times on this timeline; `None` where the timeline is damaged.
    Current(Option<Timeline>),
    /// Segments with times in Unix time.
    UnixTime,
    /// One file of records.
    SingleFile,
    /// A format that this version does not know.
    Unknown,
    /// No journal, or an older version was killed while it created its file.
    Missing,
}

impl Format {
    /// Reads the format of a folder.
    pub fn read<F: Files>(files: &mut F) -> io::Result<Format> {
        let mut magic = [0; MAGIC.len()];
        match files.read_at(FILE_NAME, 0, &mut magic) {
            Ok(()) => {}
            Err(error) if is_missing(&error) => return Ok(Format::Missing),
            Err(error) => return Err(error),
        }
        Ok(match &magic {
            MAGIC => Format::Current(read_timeline(files)?),
            UNIX_TIME_MAGIC => Format::UnixTime,
            legacy::MAGIC => Format::SingleFile,
            _ => Format::Unknown,
        })
    }
}

fn is_missing(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::UnexpectedEof)
}

fn read_timeline<F: Files>(files: &mut F) -> io::Result<Option<Timeline>> {
    let mut bytes = [0; FILE_SIZE];
    match files.read_at(FILE_NAME, 0, &mut bytes) {
        Ok(()) => {}
        Err(error) if is_missing(&error) => return Ok(None),
        Err(error) => return Err(error),
    }
    let (content, checksum) = bytes.split_at(FILE_SIZE - 4);
    let checksum_matches = crc32fast::hash(content).to_le_bytes() == checksum;
    Ok(Timeline::decode(&content[MAGIC.len()..]).filter(|_| checksum_matches))
}

/// Writes the file in the current format. It is replaced atomically.
pub(super) fn write<F: Files>(files: &mut F, timeline: &Timeline) -> io::Result<()> {
    let mut bytes = [MAGIC.as_slice(), &timeline.encode()].concat();
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    files.create(NEW_FILE_NAME)?;
    files.append(NEW_FILE_NAME, &bytes)?;
    files.rename(NEW_FILE_NAME, FILE_NAME)
}
