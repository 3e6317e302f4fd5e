//! Reads the journal of the versions that did not yet split it into segments: one file of records, each with
//! its length and checksum.

use super::records::{AttemptHistory, AttemptStart, FinalAnswer, Webhook};
use super::{Journal, MAX_ENDED_IDS};
use scalebarrow_store::Files;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::io;

/// The first bytes of the file.
pub(super) const MAGIC: &[u8; 8] = b"SBARROW1";
/// Bytes of a record's length and checksum.
const FRAME_BYTES: usize = 8;
/// Bytes read at a time.
const CHUNK_BYTES: u64 = 256 * 1024;

/// A record of the file.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum LegacyRecord {
    /// A webhook was accepted.
    Accepted(u64, Webhook, AttemptHistory),
    /// An attempt started.
    AttemptStarted(u64, AttemptStart),
    /// An attempt ended; true if it may have run.
    AttemptEnded(u64, bool),
    /// A webhook, with its id, got its final answer.
    Ended(u64, String, FinalAnswer),
    /// The notice of a final answer was acknowledged.
    Acknowledged(u64),
}

enum Entry {
    Open {
        /// Where the record of the webhook starts in the file, and its length, both in bytes.
        offset: u64,
        length: usize,
        history: AttemptHistory,
    },
    Unacknowledged {
        id: String,
        answer: FinalAnswer,
    },
}

/// The live contents of the file, without webhook bodies.
pub(super) struct Contents {
    file_name: String,
    /// Bytes of an incomplete record at the end of the file.
    pub torn_bytes: usize,
    entries: BTreeMap<u64, Entry>,
    ended_ids: VecDeque<String>,
}

/// Decodes the record at the start of `bytes` and returns it with its size; `None` if it is incomplete or
/// damaged.
fn decode(bytes: &[u8]) -> Option<(LegacyRecord, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let body = rest.get(..u32::from_le_bytes(*length) as usize)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, FRAME_BYTES + body.len()))
}

impl Contents {
    /// Reads the whole file, chunk by chunk.
    pub fn read<F: Files>(files: &mut F, file_name: &str) -> io::Result<Self> {
        let length = files.length(file_name)?;
        let (entries, ended_ids) = (BTreeMap::new(), VecDeque::new());
        let mut contents = Contents { file_name: file_name.to_owned(), torn_bytes: 0, entries, ended_ids };
        let mut offset = MAGIC.len() as u64;
        while offset < length {
            // The chunk is doubled while it does not hold one whole record.
            let mut chunk_size = CHUNK_BYTES;
            let consumed = loop {
                let mut chunk = vec![0; chunk_size.min(length - offset) as usize];
                files.read_at(file_name, offset, &mut chunk)?;
                let consumed = contents.read_chunk(&chunk, offset);
                if consumed > 0 || offset + chunk_size >= length {
                    break consumed;
                }
                chunk_size *= 2;
            };
            if consumed == 0 {
                break;
            }
            offset += consumed as u64;
        }
        contents.torn_bytes = (length - offset) as usize;
        Ok(contents)
    }

    /// Applies the whole records of a chunk and returns their size in bytes.
    fn read_chunk(&mut self, chunk: &[u8], offset: u64) -> usize {
        let mut consumed = 0;
        while let Some((record, size)) = decode(&chunk[consumed..]) {
            self.apply(record, offset + consumed as u64, size);
            consumed += size;
        }
        consumed
    }

    fn apply(&mut self, record: LegacyRecord, offset: u64, length: usize) {
        match record {
            LegacyRecord::Accepted(number, _, history) => {
                self.entries.insert(number, Entry::Open { offset, length, history });
            }
            LegacyRecord::AttemptStarted(number, start) => {
                if let Some(Entry::Open { history, .. }) = self.entries.get_mut(&number) {
                    history.start_attempt(start);
                }
            }
            LegacyRecord::AttemptEnded(number, may_have_run) => {
                if let Some(Entry::Open { history, .. }) = self.entries.get_mut(&number) {
                    history.end_in_flight(may_have_run);
                }
            }
            LegacyRecord::Ended(number, id, FinalAnswer::Over) => {
                self.entries.remove(&number);
                self.remember_ended(id);
            }
            LegacyRecord::Acknowledged(number) => _ = self.entries.remove(&number),
            LegacyRecord::Ended(number, id, answer) => {
                self.remember_ended(id.clone());
                self.entries.insert(number, Entry::Unacknowledged { id, answer });
            }
        }
    }

    fn remember_ended(&mut self, id: String) {
        self.ended_ids.push_back(id);
        if self.ended_ids.len() > MAX_ENDED_IDS {
            self.ended_ids.pop_front();
        }
    }

    /// Writes all contents into an empty journal.
    pub fn write<F: Files>(&self, journal: &mut Journal<F>) -> io::Result<()> {
        // The ids of ended webhooks are stored under number 0, which no webhook has.
        for id in &self.ended_ids {
            journal.write_tombstone(0, id.as_bytes())?;
        }
        for (number, entry) in &self.entries {
            match entry {
                Entry::Open { offset, length, history } => {
                    let mut bytes = vec![0; *length];
                    journal.store.files_mut().read_at(&self.file_name, *offset, &mut bytes)?;
                    let Some((LegacyRecord::Accepted(_, webhook, _), _)) = decode(&bytes) else {
                        return Err(io::Error::new(
                            io::ErrorKind::InvalidData,
                            "the journal changed while it was read",
                        ));
                    };
                    journal.record_webhook(*number, webhook)?;
                    if history.count > 0 {
                        journal.write_history(*number, history, scalebarrow_store::OnError::Discard)?;
                    }
                }
                Entry::Unacknowledged { id, answer } => journal.write_final_answer(*number, id, *answer)?,
            }
        }
        Ok(())
    }
}
