//! What outlives the process: webhooks taken on, the attempts made for them, final answers that are owed. It is kept
//! in a [`Store`]; in memory a webhook takes a few dozen bytes, and its body, id and names are read when needed.

mod cache;
mod form;
mod legacy;
mod records;
mod tries;

use crate::backlog::Resumable;
use crate::clock::{BootReading, Timeline};
use cache::Cache;
use form::Form;
use records::Facts;
pub use records::{AttemptNumber, End, Trace, Tries, Webhook, key_hash};
use scalebarrow_store::{
    Files, FolderFiles, OnError, OpenSummary, Record, RecordKind, RecordPosition, ReplayedRecord, Store,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::path::Path;
use std::rc::Rc;
use tracing::{error, info, warn};
use tries::TriesTable;

/// The tags of values: a webhook without a final answer, and a final answer that is owed.
const OPEN: u8 = 0;
const OWED: u8 = 1;
/// Room for the records that will follow that of a webhook; it counts as soon as it is taken on.
const UPKEEP: u64 = 256;
/// Of those that have ended, the ids of so many of the last are known again after a start.
const MOST_ENDED: usize = 1024;
/// Webhooks that are read are kept for a moment, in so many bytes at most.
const CACHE: usize = 1024 * 1024;

pub struct Journal<F = FolderFiles> {
    store: Store<F>,
    timeline: Timeline,
    /// The folder's timeline went on at the start.
    same_boot: bool,
    /// By the hash of the id, those without a final answer.
    ids: BTreeSet<(u64, u64)>,
    tries: TriesTable,
    cache: Cache,
    open: usize,
    next: u64,
    /// Found by the start: those without a final answer, and the ids of those that had ended last.
    resumable: Vec<Resumable>,
    ended: Vec<String>,
}

/// What a start gathers from the records.
#[derive(Default)]
struct Replay {
    facts: BTreeMap<u64, Facts>,
    tries: TriesTable,
    ended: VecDeque<(RecordKind, RecordPosition)>,
    last: u64,
}

impl Replay {
    fn record(&mut self, record: ReplayedRecord) {
        let ReplayedRecord { kind, tag, key: number, metadata: meta, position } = record;
        self.last = self.last.max(number);
        match (kind, tag) {
            (RecordKind::Value, OPEN) => _ = self.facts.insert(number, Facts::decode(meta)),
            (RecordKind::State, _) => {
                if let Ok(tries) = postcard::from_bytes(meta) {
                    self.tries.set(number, &tries);
                }
            }
            (RecordKind::Value | RecordKind::Tombstone, _) => {
                self.facts.remove(&number);
                self.tries.remove(number);
                self.ended.push_back((kind, position));
                if self.ended.len() > MOST_ENDED {
                    self.ended.pop_front();
                }
            }
            (RecordKind::Checkpoint, _) => {}
        }
    }
}

fn to_bytes(value: &impl serde::Serialize) -> io::Result<Vec<u8>> {
    postcard::to_stdvec(value).map_err(io::Error::other)
}

impl Journal {
    /// Opens the folder's journal, or starts one. `most` is the limit in bytes. A folder of the program before segments
    /// is carried over. The count is of bytes of unfinished records that were dropped.
    pub fn open(folder: &Path, most: usize, reading: &BootReading) -> io::Result<(Journal, usize)> {
        Self::open_files(FolderFiles::new(folder), most, reading)
    }
}

impl<F: Files> Journal<F> {
    /// Opens the journal among the files, as [`Journal::open`] does.
    pub fn open_files(mut files: F, most: usize, reading: &BootReading) -> io::Result<(Self, usize)> {
        match Form::read(&mut files)? {
            Form::Present(timeline) => {
                let (mut journal, torn) = Self::open_store(files, most, reading)?;
                journal.go_on(timeline, reading);
                Ok((journal, torn))
            }
            Form::UnixTime => {
                let (mut journal, torn) = Self::open_store(files, most, reading)?;
                journal.leave_unix_time(reading)?;
                Ok((journal, torn))
            }
            Form::SingleFile => Self::carry_over(files, most, reading),
            Form::Other => Err(io::Error::new(io::ErrorKind::InvalidData, "holds a journal of another form")),
            Form::Missing => {
                let timeline = Timeline::begin(reading);
                form::write(&mut files, &timeline)?;
                let (mut journal, torn) = Self::open_store(files, most, reading)?;
                journal.timeline = timeline;
                Ok((journal, torn))
            }
        }
    }

    /// The timeline that the times in the folder are on.
    pub fn timeline(&self) -> Timeline {
        self.timeline
    }

    /// The times in the folder were on this boot's clock when it was opened.
    pub fn is_same_boot(&self) -> bool {
        self.same_boot
    }

    /// Goes on with the timeline that was read, or begins one behind it where that cannot be.
    fn go_on(&mut self, read: Option<Timeline>, reading: &BootReading) {
        let last_event = self.tries.last_attempt();
        if let Some(timeline) = read.filter(|timeline| timeline.goes_on(last_event, reading)) {
            (self.timeline, self.same_boot) = (timeline, true);
            return;
        }
        self.timeline = Timeline::begin_behind(self.reached(), reading);
        info!(code = "clock-new", "the machine was booted since, or that cannot be told: all spans are over");
        // Where it cannot be written the next start begins behind this one again.
        if let Err(e) = form::write(self.store.files_mut(), &self.timeline) {
            warn!(code = "journal-write", %e, "the clock's place could not be written");
        }
    }

    /// The latest time that a record names.
    fn reached(&self) -> f64 {
        let ends = self.resumable.iter().map(|webhook| webhook.ends_at);
        ends.fold(self.tries.last_attempt(), f64::max)
    }

    /// Carries a folder over whose times are Unix time: how old they are cannot be told. Its program could take an attempt
    /// that may have run for one that had not, where it only counted it.
    fn leave_unix_time(&mut self, reading: &BootReading) -> io::Result<()> {
        for number in self.tries.without_trace() {
            let mut tries = self.tries.get(number);
            tries.ran = Some(Trace::default());
            self.write_tries(number, &tries, OnError::Discard)?;
        }
        self.timeline = Timeline::begin_behind(self.reached(), reading);
        form::write(self.store.files_mut(), &self.timeline)
    }

    fn open_store(files: F, most: usize, reading: &BootReading) -> io::Result<(Self, usize)> {
        let mut replay = Replay::default();
        let (mut store, OpenSummary { torn_bytes: torn, .. }) =
            Store::open(files, limit(most), |record| replay.record(record))?;
        let Replay { facts, mut tries, ended, last } = replay;
        tries.retain(|number| facts.contains_key(&number));
        let ended = ended.into_iter().filter_map(|(kind, position)| ended_id(&mut store, kind, position));
        let ended = ended.collect();
        let ids = facts.iter().map(|(number, facts)| (facts.id, *number)).collect();
        let open = facts.len();
        let resumable = facts.into_iter().map(|(number, facts)| facts.resumable(number)).collect();
        let cache = Cache::new(CACHE);
        let next = last + 1;
        let timeline = Timeline::begin(reading);
        let same_boot = false;
        let journal = Journal { store, timeline, same_boot, ids, tries, cache, open, next, resumable, ended };
        Ok((journal, torn as usize))
    }

    /// Writes what an older program's file holds into segments. Until that is whole the file stands; a process that is
    /// killed before begins anew.
    fn carry_over(mut files: F, most: usize, reading: &BootReading) -> io::Result<(Self, usize)> {
        for name in files.list()?.iter().filter(|name| name.starts_with("segment-")) {
            files.remove(name)?;
        }
        let old = legacy::Contents::read(&mut files, form::FILE)?;
        let (mut journal, _) = Self::open_store(files, most, reading)?;
        // Whether they fit was judged when they were taken on.
        journal.store.enforce_disk_limit(false);
        old.write(&mut journal)?;
        let torn = old.torn;
        let (mut journal, _) = Self::open_store(journal.store.into_files(), most, reading)?;
        journal.leave_unix_time(reading)?;
        Ok((journal, torn))
    }

    /// Changes the limit in bytes.
    pub fn set_most(&mut self, most: usize) {
        self.store.set_disk_limit(limit(most));
    }

    /// There is room to take on a webhook of that size and to write down all that follows from it.
    pub fn has_room(&self, webhook: &Webhook) -> bool {
        let promised = UPKEEP * (self.open as u64 + 1);
        self.store.has_space_for(records::FACTS, webhook.size(), promised)
    }

    /// A number above all that the folder knows.
    pub fn next_number(&self) -> u64 {
        self.next
    }

    /// How many have no final answer.
    pub fn open_count(&self) -> usize {
        self.open
    }

    /// Those that had no final answer when it was opened, in the order they were taken on.
    pub fn take_resumable(&mut self) -> Vec<Resumable> {
        std::mem::take(&mut self.resumable)
    }

    /// The ids of those that had ended last when it was opened.
    pub fn take_ended(&mut self) -> Vec<String> {
        std::mem::take(&mut self.ended)
    }

    /// A step of compaction is due.
    pub fn needs_step(&self) -> bool {
        self.store.needs_compaction()
    }

    /// Writes what happened and could not be written yet.
    pub fn write_deferred(&mut self) -> io::Result<()> {
        self.store.write_deferred()
    }

    /// Makes one bounded step of compaction, where one is due.
    pub fn step(&mut self) -> io::Result<()> {
        self.store.run_compaction_step()
    }

    /// The number of the webhook with this id, where it has no final answer.
    pub fn find(&mut self, id: &str) -> Option<u64> {
        let hash = records::id_hash(id);
        let candidates: Vec<u64> = self.ids.range((hash, 0)..=(hash, u64::MAX)).map(|c| c.1).collect();
        candidates.into_iter().find(|number| match self.webhook(*number) {
            Ok(Some(webhook)) => webhook.id == id,
            // It cannot be told: better not taken on than taken on twice.
            Err(_) => true,
            Ok(None) => false,
        })
    }

    pub fn take(&mut self, number: u64, webhook: Webhook) -> io::Result<()> {
        let facts = Facts::of(&webhook);
        let (meta, payload) = (facts.encode(), to_bytes(&webhook)?);
        let record =
            Record { kind: RecordKind::Value, tag: OPEN, key: number, metadata: &meta, payload: &payload };
        self.store.append(&record, OnError::Discard)?;
        self.next = self.next.max(number + 1);
        self.open += 1;
        self.ids.insert((facts.id, number));
        self.cache.put(number, Rc::new(webhook));
        Ok(())
    }

    /// An attempt is about to be written to its connection. Nothing where the webhook has its final answer.
    pub fn out(&mut self, number: u64, zone: &str, now: f64) -> io::Result<Option<AttemptNumber>> {
        if !self.is_open(number) {
            return Ok(None);
        }
        let mut tries = self.tries.get(number);
        let attempt = tries.out((zone.to_owned(), now));
        self.write_tries(number, &tries, OnError::Discard)?;
        Ok(Some(attempt))
    }

    /// An attempt that was recorded came back; `ran` where it may have run.
    pub fn back(&mut self, number: u64, attempt: AttemptNumber, ran: bool) -> io::Result<()> {
        let mut tries = self.tries.get(number);
        if !self.is_open(number) || !tries.back(attempt, ran) {
            return Ok(());
        }
        self.write_tries(number, &tries, OnError::Defer)
    }

    fn write_tries(&mut self, number: u64, tries: &Tries, on_error: OnError) -> io::Result<()> {
        let meta = to_bytes(tries)?;
        let record =
            Record { kind: RecordKind::State, tag: OPEN, key: number, metadata: &meta, payload: &[] };
        let written = self.store.append(&record, on_error);
        if written.is_ok() || on_error == OnError::Defer {
            self.tries.set(number, tries);
        }
        written
    }

    pub fn end(&mut self, number: u64, end: End) -> io::Result<()> {
        if !self.is_open(number) {
            return Ok(());
        }
        let id = self.open_webhook(number).map(|webhook| webhook.id.clone());
        self.forget(number, id.as_deref());
        match (end, id) {
            (End::Over, id) => self.remove(number, id.unwrap_or_default().as_bytes()),
            (_, Some(id)) => self.write_owed(number, &id, end),
            // Without its id nobody can be told.
            (_, None) => self.remove(number, &[]),
        }
    }

    fn write_owed(&mut self, number: u64, id: &str, end: End) -> io::Result<()> {
        let payload = to_bytes(&(id, end))?;
        let record =
            Record { kind: RecordKind::Value, tag: OWED, key: number, metadata: &[], payload: &payload };
        self.store.append(&record, OnError::Defer)
    }

    /// It is as if it had never been handed in.
    pub fn withdraw(&mut self, number: u64) -> io::Result<()> {
        if !self.is_open(number) {
            return Ok(());
        }
        let id = self.open_webhook(number).map(|webhook| webhook.id.clone());
        self.forget(number, id.as_deref());
        self.remove(number, &[])
    }

    /// The notice of a final answer was acknowledged.
    pub fn told(&mut self, number: u64) -> io::Result<()> {
        if self.store.tag(number) == Some(OWED) { self.remove(number, &[]) } else { Ok(()) }
    }

    /// The payload is the id that is to be known again after a start, if any.
    fn remove(&mut self, number: u64, payload: &[u8]) -> io::Result<()> {
        let record = Record { kind: RecordKind::Tombstone, tag: 0, key: number, metadata: &[], payload };
        self.store.append(&record, OnError::Defer)
    }

    /// It is not open any more.
    fn forget(&mut self, number: u64, id: Option<&str>) {
        self.open -= 1;
        self.tries.remove(number);
        self.cache.remove(number);
        match id {
            Some(id) => _ = self.ids.remove(&(records::id_hash(id), number)),
            None => self.ids.retain(|entry| entry.1 != number),
        }
    }

    /// It has no final answer yet.
    pub fn is_open(&self, number: u64) -> bool {
        self.store.tag(number) == Some(OPEN)
    }

    /// A webhook that has no final answer yet. One that cannot be read is told in the log.
    pub fn open_webhook(&mut self, number: u64) -> Option<Rc<Webhook>> {
        self.webhook(number).unwrap_or_else(|error| {
            error!(code = "journal-read", number, %error, "a webhook cannot be read");
            None
        })
    }

    /// The same, with the error: `InvalidData` where it will never be readable.
    pub fn webhook(&mut self, number: u64) -> io::Result<Option<Rc<Webhook>>> {
        if !self.is_open(number) {
            return Ok(None);
        }
        if let Some(webhook) = self.cache.get(number) {
            return Ok(Some(webhook));
        }
        let Some(payload) = self.store.read_value(number)? else { return Ok(None) };
        let invalid = |e| io::Error::new(io::ErrorKind::InvalidData, e);
        let webhook: Rc<Webhook> = Rc::new(postcard::from_bytes(&payload).map_err(invalid)?);
        self.cache.put(number, webhook.clone());
        Ok(Some(webhook))
    }

    /// What is known of the attempts for a webhook that has no final answer yet.
    pub fn tries(&self, number: u64) -> Tries {
        self.tries.get(number)
    }

    /// The final answer that the platform has not acknowledged, with the webhook's id.
    pub fn owed(&mut self, number: u64) -> Option<(String, End)> {
        if self.store.tag(number) != Some(OWED) {
            return None;
        }
        let payload = match self.store.read_value(number) {
            Ok(payload) => payload?,
            Err(error) => {
                error!(code = "journal-read", number, %error, "a final answer cannot be read");
                return None;
            }
        };
        postcard::from_bytes(&payload).ok()
    }

    pub fn all_owed(&self) -> Vec<u64> {
        self.store.keys_with_tags().filter(|(_, tag)| *tag == OWED).map(|(number, _)| number).collect()
    }
}

/// What the segments may take up.
fn limit(most: usize) -> u64 {
    most.saturating_sub(form::SPACE) as u64
}

/// The id that the record of an end holds; nothing where none is to be known.
fn ended_id<F: Files>(store: &mut Store<F>, kind: RecordKind, position: RecordPosition) -> Option<String> {
    let payload = store.read_payload(position).ok()?;
    let id = match kind {
        RecordKind::Value => postcard::from_bytes::<(String, End)>(&payload).ok()?.0,
        _ => String::from_utf8(payload).ok()?,
    };
    (!id.is_empty()).then_some(id)
}

#[cfg(test)]
mod tests;
