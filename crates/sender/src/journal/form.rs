//! The file that names the folder's form and holds its timeline.

use super::legacy;
use crate::clock::Timeline;
use scalebarrow_store::Files;
use std::io;

/// Its name. An older program kept its whole journal under it.
pub(super) const FILE: &str = "journal";
const NEW_FILE: &str = "journal.new";
/// The first bytes; another number for another form.
const MARK: &[u8; 8] = b"SBARROW3";
/// The form before: the same segments, with times in Unix time.
const UNIX_TIME_MARK: &[u8; 8] = b"SBARROW2";
/// The mark, the timeline and their checksum.
const SIZE: usize = MARK.len() + Timeline::SIZE + 4;
/// What it and a new one beside it take up.
pub(super) const SPACE: usize = 2 * 4096;

/// What a folder holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Form {
    /// Segments, with times on this timeline, where it is legible.
    Present(Option<Timeline>),
    /// Segments with times in Unix time.
    UnixTime,
    /// One file of records.
    SingleFile,
    /// A form that this program does not know.
    Other,
    /// Nothing, or an old program was killed while it made its file.
    Missing,
}

impl Form {
    pub fn read<F: Files>(files: &mut F) -> io::Result<Form> {
        let mut mark = [0; MARK.len()];
        match files.read_at(FILE, 0, &mut mark) {
            Ok(()) => {}
            Err(e) if is_missing(&e) => return Ok(Form::Missing),
            Err(e) => return Err(e),
        }
        Ok(match &mark {
            MARK => Form::Present(read_timeline(files)?),
            UNIX_TIME_MARK => Form::UnixTime,
            legacy::FORM => Form::SingleFile,
            _ => Form::Other,
        })
    }
}

fn is_missing(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::UnexpectedEof)
}

fn read_timeline<F: Files>(files: &mut F) -> io::Result<Option<Timeline>> {
    let mut bytes = [0; SIZE];
    match files.read_at(FILE, 0, &mut bytes) {
        Ok(()) => {}
        Err(e) if is_missing(&e) => return Ok(None),
        Err(e) => return Err(e),
    }
    let (content, checksum) = bytes.split_at(SIZE - 4);
    let sound = crc32fast::hash(content).to_le_bytes() == checksum;
    Ok(Timeline::decode(&content[MARK.len()..]).filter(|_| sound))
}

/// Writes the form of this program, whole or not at all.
pub(super) fn write<F: Files>(files: &mut F, timeline: &Timeline) -> io::Result<()> {
    let mut bytes = [MARK.as_slice(), &timeline.encode()].concat();
    bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    files.create(NEW_FILE)?;
    files.append(NEW_FILE, &bytes)?;
    files.rename(NEW_FILE, FILE)
}
