//! The lasting folder: what was taken on, what was tried, how it ended. Records are appended, each with its
//! length and checksum; a torn tail is dropped. It is written anew when it has grown, so that the old and the
//! new file together stay within the limit.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The first bytes of a journal; another number for another form.
const MARK: &[u8; 8] = b"SBARROW1";
/// Length and checksum.
const FRAME: usize = 8;
/// Room kept for what must still be written about webhooks that were taken on.
const SPARE: usize = 64 * 1024;
/// A webhook's further records until the next compaction, roughly; they count as soon as it is taken on.
const UPKEEP: usize = 256;
/// Files count in whole blocks; a margin for the two files.
const BLOCKS: usize = 4 * 512;

/// A final answer.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// Delivered, withdrawn, or known by the destination to be over: nothing is owed.
    Over,
    /// Handing it in again does no harm, after so many seconds (0: nothing said).
    Rejected(f64),
    DeadLettered,
}

/// A webhook as it was taken on. Times are Unix time in seconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Webhook {
    pub id: String,
    pub event_type: String,
    pub dest: u64,
    pub order_key: Option<String>,
    pub customer: Option<String>,
    pub token: Option<String>,
    pub ends_at: f64,
    pub body: Vec<u8>,
}

/// Where an attempt went, by zone, and when.
pub type Trace = (String, f64);

/// What is known of the attempts for a webhook.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Tries {
    pub count: u32,
    pub out: Option<Trace>,
    /// The first that may have run.
    pub ran: Option<Trace>,
}

#[derive(Debug, Serialize, Deserialize)]
enum Record {
    Taken(u64, Webhook, Tries),
    Out(u64, Trace),
    /// An attempt came back; true where it may have run.
    Back(u64, bool),
    Ended(u64, String, End),
    /// The notice was acknowledged.
    Told(u64),
}

#[derive(Debug)]
enum Entry {
    Open { webhook: Webhook, tries: Tries, size: usize },
    Owed { id: String, end: End },
}

pub struct Journal {
    folder: PathBuf,
    file: File,
    size: usize,
    /// What a file with nothing but the present entries would hold.
    live: usize,
    most: usize,
    entries: BTreeMap<u64, Entry>,
    next: u64,
    /// The ids of those that had ended when it was opened, as far as the file knows them.
    ended: Vec<String>,
    /// A write failed, and half of a record may stand at the end: the file has to be written anew first.
    in_doubt: bool,
}

fn frame(record: &Record) -> io::Result<Vec<u8>> {
    let body = postcard::to_stdvec(record).map_err(io::Error::other)?;
    let mut bytes = Vec::with_capacity(FRAME + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// The record at the start of `bytes` and its size; nothing where it is torn.
fn unframe(bytes: &[u8]) -> Option<(Record, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let body = rest.get(..u32::from_le_bytes(*length) as usize)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*sum) {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, FRAME + body.len()))
}

impl Journal {
    /// Opens the folder's journal, or starts one, and reads what it holds. `most` is the limit in bytes.
    pub fn open(folder: &Path, most: usize) -> io::Result<(Journal, usize)> {
        let path = folder.join("journal");
        // Left by a process that was killed while it wrote a new one: the old one still stands.
        let _ = fs::remove_file(folder.join("journal.new"));
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(e),
        };
        let mut whole = 0;
        let mut found = Vec::new();
        if bytes.starts_with(MARK) {
            whole = MARK.len();
            while let Some((record, size)) = unframe(&bytes[whole..]) {
                found.push((record, size));
                whole += size;
            }
        } else if bytes.len() >= MARK.len() {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "holds a journal of another form"));
        }
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        file.set_len(whole as u64)?;
        let (folder, entries) = (folder.to_owned(), BTreeMap::new());
        let most = most.saturating_sub(BLOCKS);
        let (live, next, in_doubt) = (MARK.len(), 1, false);
        let ended = found.iter().filter_map(|(record, _)| match record {
            Record::Ended(_, id, _) => Some(id.clone()),
            _ => None,
        });
        let ended = ended.collect();
        let mut journal = Journal { folder, file, size: whole, live, most, entries, next, ended, in_doubt };
        for (record, size) in found {
            journal.apply(record, size);
        }
        if whole == 0 {
            journal.file.write_all(MARK)?;
            journal.size = MARK.len();
        }
        Ok((journal, bytes.len() - whole))
    }

    /// Changes the limit in bytes.
    pub fn set_most(&mut self, most: usize) {
        self.most = most.saturating_sub(BLOCKS);
    }

    fn weight(entry: &Entry) -> usize {
        match entry {
            Entry::Open { size, .. } => size + UPKEEP,
            Entry::Owed { id, .. } => FRAME + id.len() + 32,
        }
    }

    fn put(&mut self, number: u64, entry: Entry) {
        self.live += Self::weight(&entry);
        if let Some(old) = self.entries.insert(number, entry) {
            self.live -= Self::weight(&old);
        }
    }

    fn drop_entry(&mut self, number: u64) {
        if let Some(old) = self.entries.remove(&number) {
            self.live -= Self::weight(&old);
        }
    }

    fn apply(&mut self, record: Record, size: usize) {
        match record {
            Record::Taken(number, webhook, tries) => {
                self.next = self.next.max(number + 1);
                self.put(number, Entry::Open { webhook, tries, size });
            }
            Record::Out(number, trace) => {
                if let Some(Entry::Open { tries, .. }) = self.entries.get_mut(&number) {
                    tries.count += 1;
                    // One attempt is out at a time. An earlier one without an outcome was out when a process ended, or
                    // its outcome could not be written: it may have run, also when this one turns out not to have.
                    let lost = tries.out.replace(trace);
                    tries.ran = tries.ran.take().or(lost);
                }
            }
            Record::Back(number, ran) => {
                if let Some(Entry::Open { tries, .. }) = self.entries.get_mut(&number) {
                    let out = tries.out.take();
                    if ran && tries.ran.is_none() {
                        tries.ran = out;
                    }
                }
            }
            Record::Ended(number, _, End::Over) | Record::Told(number) => self.drop_entry(number),
            Record::Ended(number, id, end) => {
                self.next = self.next.max(number + 1);
                self.put(number, Entry::Owed { id, end });
            }
        }
    }

    /// One more record. It is in the file as a whole when this returns, or not at all. What is promised to others
    /// counts only once it is written; what has happened counts also if it cannot be, until the file is written anew.
    fn append(&mut self, record: Record) -> io::Result<()> {
        let bytes = frame(&record)?;
        let written = self.write(&bytes);
        self.in_doubt |= written.is_err();
        if written.is_ok() || !matches!(record, Record::Taken(..) | Record::Out(..)) {
            self.apply(record, bytes.len());
        }
        written
    }

    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.in_doubt || self.size + bytes.len() + self.live > self.most {
            self.compact()?;
        }
        if self.size + bytes.len() > self.most {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.file.write_all(bytes)?;
        self.size += bytes.len();
        Ok(())
    }

    /// Writes the present entries into a new file that takes the old one's place.
    fn compact(&mut self) -> io::Result<()> {
        let mut bytes = MARK.to_vec();
        for (number, entry) in &self.entries {
            bytes.extend(frame(&match entry {
                Entry::Open { webhook, tries, .. } => Record::Taken(*number, webhook.clone(), tries.clone()),
                Entry::Owed { id, end } => Record::Ended(*number, id.clone(), *end),
            })?);
        }
        let (new, path) = (self.folder.join("journal.new"), self.folder.join("journal"));
        let written = fs::write(&new, &bytes).and_then(|()| fs::rename(&new, &path));
        if let Err(e) = written {
            let _ = fs::remove_file(&new);
            return Err(e);
        }
        self.file = OpenOptions::new().append(true).open(&path)?;
        (self.size, self.in_doubt) = (bytes.len(), false);
        Ok(())
    }

    /// There is room to take on a webhook of that size and to write down all that follows from it, also while
    /// old and new file stand side by side.
    pub fn has_room(&self, webhook: &Webhook) -> bool {
        let text = |t: &Option<String>| t.as_ref().map_or(0, String::len);
        let texts = webhook.id.len() + webhook.event_type.len() + text(&webhook.token);
        let size = webhook.body.len() + texts + text(&webhook.order_key) + text(&webhook.customer);
        2 * (self.live + size + FRAME + UPKEEP) + SPARE <= self.most
    }

    /// A number above all that the file knows.
    pub fn next_number(&self) -> u64 {
        self.next
    }

    pub fn take(&mut self, number: u64, webhook: Webhook) -> io::Result<()> {
        self.append(Record::Taken(number, webhook, Tries::default()))
    }

    /// An attempt is about to be written to its connection.
    pub fn out(&mut self, number: u64, zone: &str, now: f64) -> io::Result<()> {
        self.append(Record::Out(number, (zone.to_owned(), now)))
    }

    pub fn back(&mut self, number: u64, ran: bool) -> io::Result<()> {
        let out = matches!(self.entries.get(&number), Some(Entry::Open { tries, .. }) if tries.out.is_some());
        if out { self.append(Record::Back(number, ran)) } else { Ok(()) }
    }

    pub fn end(&mut self, number: u64, end: End) -> io::Result<()> {
        let Some(Entry::Open { webhook, .. }) = self.entries.get(&number) else { return Ok(()) };
        let id = webhook.id.clone();
        self.append(Record::Ended(number, id, end))
    }

    /// It is as if it had never been handed in.
    pub fn withdraw(&mut self, number: u64) -> io::Result<()> {
        self.told(number)
    }

    /// The ids of those that had ended when it was opened.
    pub fn take_ended(&mut self) -> Vec<String> {
        std::mem::take(&mut self.ended)
    }

    pub fn told(&mut self, number: u64) -> io::Result<()> {
        if self.entries.contains_key(&number) { self.append(Record::Told(number)) } else { Ok(()) }
    }

    /// A webhook that has no final answer yet.
    pub fn open_webhook(&self, number: u64) -> Option<&Webhook> {
        match self.entries.get(&number) {
            Some(Entry::Open { webhook, .. }) => Some(webhook),
            _ => None,
        }
    }

    /// What is known of the attempts for a webhook that has no final answer yet.
    pub fn tries(&self, number: u64) -> Option<&Tries> {
        match self.entries.get(&number) {
            Some(Entry::Open { tries, .. }) => Some(tries),
            _ => None,
        }
    }

    /// All that have no final answer, in the order they were taken on.
    pub fn open_webhooks(&self) -> impl Iterator<Item = (u64, &Webhook, &Tries)> {
        self.entries.iter().filter_map(|(number, entry)| match entry {
            Entry::Open { webhook, tries, .. } => Some((*number, webhook, tries)),
            Entry::Owed { .. } => None,
        })
    }

    /// The final answer that the platform has not acknowledged, with the webhook's id.
    pub fn owed(&self, number: u64) -> Option<(&str, End)> {
        match self.entries.get(&number) {
            Some(Entry::Owed { id, end }) => Some((id, *end)),
            _ => None,
        }
    }

    pub fn all_owed(&self) -> Vec<u64> {
        let owed = self.entries.iter().filter(|(_, e)| matches!(e, Entry::Owed { .. }));
        owed.map(|(number, _)| *number).collect()
    }
}

#[cfg(test)]
mod tests;
