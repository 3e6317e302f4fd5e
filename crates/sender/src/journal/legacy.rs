//! The journal of the program before segments: one file of records, each with its length and checksum.

use super::records::{End, Trace, Tries, Webhook};
use super::{Journal, MOST_ENDED};
use scalebarrow_store::Files;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::io;

/// The first bytes of the file.
pub(super) const FORM: &[u8; 8] = b"SBARROW1";
/// Length and checksum.
const FRAME: usize = 8;
/// Bytes read at once.
const CHUNK: u64 = 256 * 1024;

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum LegacyRecord {
    Taken(u64, Webhook, Tries),
    Out(u64, Trace),
    /// An attempt came back; true where it may have run.
    Back(u64, bool),
    Ended(u64, String, End),
    /// The notice was acknowledged.
    Told(u64),
}

enum Entry {
    /// Where its record stands, and the attempts since.
    Open {
        offset: u64,
        length: usize,
        tries: Tries,
    },
    Owed {
        id: String,
        end: End,
    },
}

/// What is live in the file, without bodies.
pub(super) struct Contents {
    name: String,
    /// Bytes of an unfinished record at its end.
    pub torn: usize,
    entries: BTreeMap<u64, Entry>,
    ended: VecDeque<String>,
}

/// The record at the start of `bytes` and its size; nothing where it is torn.
fn decode(bytes: &[u8]) -> Option<(LegacyRecord, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (checksum, rest) = rest.split_first_chunk::<4>()?;
    let body = rest.get(..u32::from_le_bytes(*length) as usize)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, FRAME + body.len()))
}

impl Contents {
    pub fn read<F: Files>(files: &mut F, name: &str) -> io::Result<Self> {
        let length = files.length(name)?;
        let (entries, ended) = (BTreeMap::new(), VecDeque::new());
        let mut contents = Contents { name: name.to_owned(), torn: 0, entries, ended };
        let mut offset = FORM.len() as u64;
        while offset < length {
            // Twice as much where not one whole record was in it.
            let mut span = CHUNK;
            let read = loop {
                let mut chunk = vec![0; span.min(length - offset) as usize];
                files.read_at(name, offset, &mut chunk)?;
                let read = contents.read_chunk(&chunk, offset);
                if read > 0 || offset + span >= length {
                    break read;
                }
                span *= 2;
            };
            if read == 0 {
                break;
            }
            offset += read as u64;
        }
        contents.torn = (length - offset) as usize;
        Ok(contents)
    }

    /// Takes the whole records of a chunk: how many bytes they were.
    fn read_chunk(&mut self, chunk: &[u8], offset: u64) -> usize {
        let mut read = 0;
        while let Some((record, size)) = decode(&chunk[read..]) {
            self.apply(record, offset + read as u64, size);
            read += size;
        }
        read
    }

    fn apply(&mut self, record: LegacyRecord, offset: u64, length: usize) {
        match record {
            LegacyRecord::Taken(number, _, tries) => {
                self.entries.insert(number, Entry::Open { offset, length, tries });
            }
            LegacyRecord::Out(number, trace) => {
                if let Some(Entry::Open { tries, .. }) = self.entries.get_mut(&number) {
                    tries.out(trace);
                }
            }
            LegacyRecord::Back(number, ran) => {
                if let Some(Entry::Open { tries, .. }) = self.entries.get_mut(&number) {
                    tries.close_out(ran);
                }
            }
            LegacyRecord::Ended(number, id, End::Over) => {
                self.entries.remove(&number);
                self.remember(id);
            }
            LegacyRecord::Told(number) => _ = self.entries.remove(&number),
            LegacyRecord::Ended(number, id, end) => {
                self.remember(id.clone());
                self.entries.insert(number, Entry::Owed { id, end });
            }
        }
    }

    fn remember(&mut self, id: String) {
        self.ended.push_back(id);
        if self.ended.len() > MOST_ENDED {
            self.ended.pop_front();
        }
    }

    /// Writes all of it into a journal that is empty.
    pub fn write<F: Files>(&self, journal: &mut Journal<F>) -> io::Result<()> {
        // The ids that are to be known again stand under number 0, which no webhook has.
        for id in &self.ended {
            journal.remove(0, id.as_bytes())?;
        }
        for (number, entry) in &self.entries {
            match entry {
                Entry::Open { offset, length, tries } => {
                    let mut bytes = vec![0; *length];
                    journal.store.files_mut().read_at(&self.name, *offset, &mut bytes)?;
                    let Some((LegacyRecord::Taken(_, webhook, _), _)) = decode(&bytes) else {
                        return Err(io::Error::new(
                            io::ErrorKind::InvalidData,
                            "the journal changed while it was read",
                        ));
                    };
                    journal.take(*number, webhook)?;
                    if tries.count > 0 {
                        journal.write_tries(*number, tries, scalebarrow_store::OnError::Discard)?;
                    }
                }
                Entry::Owed { id, end } => journal.write_owed(*number, id, *end)?,
            }
        }
        Ok(())
    }
}
