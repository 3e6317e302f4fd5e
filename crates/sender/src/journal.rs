//! The persistent journal in the state directory (here called the folder): accepted webhooks, the attempts
//! made for them, and final answers that the platform has not yet acknowledged. Each webhook has a number, in
//! the order of acceptance. Records are kept in a [`Store`]; in memory a webhook takes a few dozen bytes, and
//! its body, id and names are read from disk when needed.

mod attempts;
mod cache;
mod format;
mod legacy;
mod records;

use crate::backlog::PendingWebhook;
use crate::clock::{BootReading, Timeline};
use attempts::AttemptTable;
use cache::Cache;
use format::Format;
pub use records::{AttemptHistory, AttemptNumber, AttemptStart, FinalAnswer, Webhook, hash_ordering_key};
use records::{ScopeRecord, WebhookMetadata};
use scalebarrow::{RememberedOutage, ScopeMemory};
use scalebarrow_store::{
    Files, FolderFiles, OnError, OpenSummary, Record, RecordKind, RecordPosition, ReplayedRecord, Store,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::path::Path;
use std::rc::Rc;
use tracing::{error, info, warn};

/// The tag of a value that holds a webhook without a final answer.
const OPEN: u8 = 0;
/// The tag of a value that holds a final answer without an acknowledgement.
const UNACKNOWLEDGED: u8 = 1;
/// The tag of a value that holds what is remembered of a destination or endpoint.
const SCOPE: u8 = 2;
/// Disk space reserved for the records that follow that of a webhook, from its acceptance on.
const RESERVED_BYTES_PER_WEBHOOK: u64 = 256;
/// The number of most recently ended webhooks whose ids are still known after a restart.
const MAX_ENDED_IDS: usize = 1024;
/// The limit of the cache of webhooks.
const CACHE_BYTES: usize = 1024 * 1024;

/// The journal of a folder.
pub struct Journal<F = FolderFiles> {
    store: Store<F>,
    timeline: Timeline,
    /// Whether the stored timeline was still valid when the journal was opened.
    same_boot: bool,
    /// Open webhooks as pairs of id hash and number.
    open_ids: BTreeSet<(u64, u64)>,
    attempts: AttemptTable,
    cache: Cache,
    open_count: usize,
    next_number: u64,
    /// The webhooks that were open when the journal was opened.
    pending: Vec<PendingWebhook>,
    /// The ids of those that had ended last by then.
    ended_ids: Vec<String>,
    /// What was remembered of destinations and endpoints when the journal was opened.
    memories: Vec<ScopeMemory>,
}

/// What opening the journal collects from its records.
#[derive(Default)]
struct Replay {
    open: BTreeMap<u64, WebhookMetadata>,
    attempts: AttemptTable,
    ended: VecDeque<(RecordKind, RecordPosition)>,
    scopes: BTreeMap<u64, ScopeRecord>,
    last_number: u64,
}

impl Replay {
    fn apply(&mut self, record: ReplayedRecord) {
        let ReplayedRecord { kind, tag, key: number, metadata, position } = record;
        if records::is_scope_key(number) {
            return self.apply_scope(kind, number, metadata);
        }
        self.last_number = self.last_number.max(number);
        match (kind, tag) {
            (RecordKind::Value, OPEN) => _ = self.open.insert(number, WebhookMetadata::decode(metadata)),
            (RecordKind::State, _) => {
                if let Ok(history) = postcard::from_bytes(metadata) {
                    self.attempts.set(number, &history);
                }
            }
            (RecordKind::Value | RecordKind::Tombstone, _) => {
                self.open.remove(&number);
                self.attempts.remove(number);
                self.ended.push_back((kind, position));
                if self.ended.len() > MAX_ENDED_IDS {
                    self.ended.pop_front();
                }
            }
            (RecordKind::Checkpoint, _) => {}
        }
    }

    fn apply_scope(&mut self, kind: RecordKind, key: u64, metadata: &[u8]) {
        match postcard::from_bytes(metadata) {
            Ok(record) if kind == RecordKind::Value => _ = self.scopes.insert(key, record),
            _ => _ = self.scopes.remove(&key),
        }
    }
}

fn to_bytes(value: &impl serde::Serialize) -> io::Result<Vec<u8>> {
    postcard::to_stdvec(value).map_err(io::Error::other)
}

impl Journal {
    /// Opens the folder's journal, or creates one that takes up at most `max_bytes`. A folder of an older
    /// version is converted. Also returns how many bytes of incomplete records were dropped.
    pub fn open(folder: &Path, max_bytes: usize, reading: &BootReading) -> io::Result<(Journal, usize)> {
        Self::open_files(FolderFiles::new(folder), max_bytes, reading)
    }
}

impl<F: Files> Journal<F> {
    /// Opens the journal in the given files, as [`Journal::open`] does.
    pub fn open_files(mut files: F, max_bytes: usize, reading: &BootReading) -> io::Result<(Self, usize)> {
        match Format::read(&mut files)? {
            Format::Current(timeline) => {
                let (mut journal, dropped_bytes) = Self::open_store(files, max_bytes, reading)?;
                journal.continue_timeline(timeline, reading);
                Ok((journal, dropped_bytes))
            }
            Format::UnixTime => {
                let (mut journal, dropped_bytes) = Self::open_store(files, max_bytes, reading)?;
                journal.convert_from_unix_time(reading)?;
                Ok((journal, dropped_bytes))
            }
            Format::SingleFile => Self::convert_from_single_file(files, max_bytes, reading),
            Format::Unknown => {
                Err(io::Error::new(io::ErrorKind::InvalidData, "holds a journal in an unknown format"))
            }
            Format::Missing => {
                let timeline = Timeline::new(reading);
                format::write(&mut files, &timeline)?;
                let (mut journal, dropped_bytes) = Self::open_store(files, max_bytes, reading)?;
                journal.timeline = timeline;
                Ok((journal, dropped_bytes))
            }
        }
    }

    /// The timeline of the folder's times.
    pub fn timeline(&self) -> Timeline {
        self.timeline
    }

    /// Whether the machine has not been rebooted since the folder's last process, as far as that is known.
    pub fn is_same_boot(&self) -> bool {
        self.same_boot
    }

    /// Continues the stored timeline if it is still valid, or else starts one that is later than all stored
    /// times.
    fn continue_timeline(&mut self, stored: Option<Timeline>, reading: &BootReading) {
        let last_event_at = self.attempts.last_attempt_at();
        if let Some(timeline) = stored.filter(|timeline| timeline.is_valid_at(last_event_at, reading)) {
            (self.timeline, self.same_boot) = (timeline, true);
            return;
        }
        self.timeline = Timeline::after_reboot(self.latest_time(), reading);
        info!(
            code = "clock-new",
            "the machine was rebooted, or may have been: all stored time spans have ended"
        );
        // If this write fails, the next start again begins a later timeline.
        if let Err(e) = format::write(self.store.files_mut(), &self.timeline) {
            warn!(code = "journal-write", %e, "the timeline could not be written");
        }
    }

    /// The latest time that a record names.
    fn latest_time(&self) -> f64 {
        let expiry_times = self.pending.iter().map(|webhook| webhook.expires_at);
        expiry_times.fold(self.attempts.last_attempt_at(), f64::max)
    }

    /// Converts a folder whose times are Unix time: how long ago they were is unknown. The version that wrote
    /// it may have taken an attempt that may have run for one that had not and only counted it, so each
    /// webhook whose attempts are only counted is marked as having one that may have run.
    fn convert_from_unix_time(&mut self, reading: &BootReading) -> io::Result<()> {
        for number in self.attempts.only_counted() {
            let mut history = self.attempts.get(number);
            history.may_have_run = Some(AttemptStart::default());
            self.write_history(number, &history, OnError::Discard)?;
        }
        self.timeline = Timeline::after_reboot(self.latest_time(), reading);
        format::write(self.store.files_mut(), &self.timeline)
    }

    fn open_store(files: F, max_bytes: usize, reading: &BootReading) -> io::Result<(Self, usize)> {
        let mut replay = Replay::default();
        let (mut store, OpenSummary { torn_bytes: dropped_bytes, .. }) =
            Store::open(files, segments_limit(max_bytes), |record| replay.apply(record))?;
        let Replay { open, mut attempts, ended, scopes, last_number } = replay;
        attempts.retain(|number| open.contains_key(&number));
        let ended_ids =
            ended.into_iter().filter_map(|(kind, position)| read_ended_id(&mut store, kind, position));
        let ended_ids = ended_ids.collect();
        let open_ids = open.iter().map(|(number, metadata)| (metadata.id_hash, *number)).collect();
        let open_count = open.len();
        let pending = open.into_iter().map(|(number, metadata)| metadata.pending(number)).collect();
        let cache = Cache::new(CACHE_BYTES);
        let next_number = last_number + 1;
        let timeline = Timeline::new(reading);
        let same_boot = false;
        let journal = Journal {
            store,
            timeline,
            same_boot,
            open_ids,
            attempts,
            cache,
            open_count,
            next_number,
            pending,
            ended_ids,
            memories: scopes.into_values().map(ScopeMemory::from).collect(),
        };
        Ok((journal, dropped_bytes as usize))
    }

    /// Writes the contents of an older version's single file into segments. The file stays until all is
    /// written; if the process is killed before, the next one starts over.
    fn convert_from_single_file(
        mut files: F, max_bytes: usize, reading: &BootReading,
    ) -> io::Result<(Self, usize)> {
        for name in files.list()?.iter().filter(|name| name.starts_with("segment-")) {
            files.remove(name)?;
        }
        let contents = legacy::Contents::read(&mut files, format::FILE_NAME)?;
        let (mut journal, _) = Self::open_store(files, max_bytes, reading)?;
        // The space for them was checked when they were accepted.
        journal.store.enforce_disk_limit(false);
        contents.write(&mut journal)?;
        let dropped_bytes = contents.torn_bytes;
        let (mut journal, _) = Self::open_store(journal.store.into_files(), max_bytes, reading)?;
        journal.convert_from_unix_time(reading)?;
        Ok((journal, dropped_bytes))
    }

    /// Changes the limit of the folder's size.
    pub fn set_max_bytes(&mut self, max_bytes: usize) {
        self.store.set_disk_limit(segments_limit(max_bytes));
    }

    /// Whether the disk limit leaves space for this webhook and for all records that will follow from it.
    pub fn has_space_for(&self, webhook: &Webhook) -> bool {
        let reserved_bytes = RESERVED_BYTES_PER_WEBHOOK * (self.open_count as u64 + 1);
        self.store.has_space_for(records::MAX_METADATA_BYTES, webhook.size(), reserved_bytes)
    }

    /// A number above all that are in use.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// The number of open webhooks: those without a final answer.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Takes the webhooks that were open when the journal was opened, in the order of their acceptance.
    pub fn take_pending(&mut self) -> Vec<PendingWebhook> {
        std::mem::take(&mut self.pending)
    }

    /// Takes the ids of the webhooks that had ended last when the journal was opened.
    pub fn take_ended_ids(&mut self) -> Vec<String> {
        std::mem::take(&mut self.ended_ids)
    }

    /// Takes what was remembered of destinations and endpoints when the journal was opened. After a reboot
    /// their waits have ended, as all stored time spans.
    pub fn take_memories(&mut self) -> Vec<ScopeMemory> {
        let mut memories = std::mem::take(&mut self.memories);
        if !self.same_boot {
            for memory in &mut memories {
                memory.wait_until = 0.0;
                memory.outage = memory.outage.map(|_| RememberedOutage::Down);
            }
        }
        memories
    }

    /// Records what has to be remembered of a destination or endpoint, or removes the record where that is
    /// over.
    pub fn record_memory(&mut self, memory: &ScopeMemory, now: f64) -> io::Result<()> {
        let key = records::scope_key(memory);
        if memory.is_over(now) {
            return if self.store.tag(key).is_some() { self.write_tombstone(key, &[]) } else { Ok(()) };
        }
        let metadata = to_bytes(&ScopeRecord::from(memory))?;
        let record = Record { kind: RecordKind::Value, tag: SCOPE, key, metadata: &metadata, payload: &[] };
        self.store.append(&record, OnError::Defer)
    }

    /// Whether a step of compaction is due.
    pub fn needs_compaction(&self) -> bool {
        self.store.needs_compaction()
    }

    /// Writes the records of past events that could not be written before.
    pub fn write_deferred(&mut self) -> io::Result<()> {
        self.store.write_deferred()
    }

    /// Makes one bounded step of compaction, if one is due.
    pub fn run_compaction_step(&mut self) -> io::Result<()> {
        self.store.run_compaction_step()
    }

    /// The number of the open webhook with this id.
    pub fn find_open(&mut self, id: &str) -> Option<u64> {
        let id_hash = records::hash_id(id);
        let candidates: Vec<u64> =
            self.open_ids.range((id_hash, 0)..=(id_hash, u64::MAX)).map(|entry| entry.1).collect();
        candidates.into_iter().find(|number| match self.read_webhook(*number) {
            Ok(Some(webhook)) => webhook.id == id,
            // It may be this one: not recording a new webhook is better than recording one twice.
            Err(_) => true,
            Ok(None) => false,
        })
    }

    /// Records an accepted webhook.
    pub fn record_webhook(&mut self, number: u64, webhook: Webhook) -> io::Result<()> {
        let metadata = WebhookMetadata::of(&webhook);
        let (encoded_metadata, payload) = (metadata.encode(), to_bytes(&webhook)?);
        let record = Record {
            kind: RecordKind::Value,
            tag: OPEN,
            key: number,
            metadata: &encoded_metadata,
            payload: &payload,
        };
        self.store.append(&record, OnError::Discard)?;
        self.next_number = self.next_number.max(number + 1);
        self.open_count += 1;
        self.open_ids.insert((metadata.id_hash, number));
        self.cache.put(number, Rc::new(webhook));
        Ok(())
    }

    /// Records that an attempt is about to be written to its connection. Returns `None` if the webhook is not
    /// open.
    pub fn record_attempt_start(
        &mut self, number: u64, zone: &str, now: f64,
    ) -> io::Result<Option<AttemptNumber>> {
        if !self.is_open(number) {
            return Ok(None);
        }
        let mut history = self.attempts.get(number);
        let attempt = history.start_attempt((zone.to_owned(), now));
        self.write_history(number, &history, OnError::Discard)?;
        Ok(Some(attempt))
    }

    /// Records that an attempt ended; `may_have_run` says whether it may have run.
    pub fn record_attempt_end(
        &mut self, number: u64, attempt: AttemptNumber, may_have_run: bool,
    ) -> io::Result<()> {
        let mut history = self.attempts.get(number);
        if !self.is_open(number) || !history.end_attempt(attempt, may_have_run) {
            return Ok(());
        }
        self.write_history(number, &history, OnError::Defer)
    }

    fn write_history(&mut self, number: u64, history: &AttemptHistory, on_error: OnError) -> io::Result<()> {
        let metadata = to_bytes(history)?;
        let record =
            Record { kind: RecordKind::State, tag: OPEN, key: number, metadata: &metadata, payload: &[] };
        let written = self.store.append(&record, on_error);
        if written.is_ok() || on_error == OnError::Defer {
            self.attempts.set(number, history);
        }
        written
    }

    /// Records the final answer of an open webhook.
    pub fn record_final_answer(&mut self, number: u64, answer: FinalAnswer) -> io::Result<()> {
        if !self.is_open(number) {
            return Ok(());
        }
        let id = self.webhook_id(number);
        self.remove_from_index(number, id.as_deref());
        match (answer, id) {
            (FinalAnswer::Over, id) => self.write_tombstone(number, id.unwrap_or_default().as_bytes()),
            (_, Some(id)) => self.write_final_answer(number, &id, answer),
            // Without its id the platform cannot be notified.
            (_, None) => self.write_tombstone(number, &[]),
        }
    }

    fn write_final_answer(&mut self, number: u64, id: &str, answer: FinalAnswer) -> io::Result<()> {
        let payload = to_bytes(&(id, answer))?;
        let record = Record {
            kind: RecordKind::Value,
            tag: UNACKNOWLEDGED,
            key: number,
            metadata: &[],
            payload: &payload,
        };
        self.store.append(&record, OnError::Defer)
    }

    /// Records that an open webhook was withdrawn. Its id is forgotten, as if it had never been handed in.
    pub fn record_withdrawal(&mut self, number: u64) -> io::Result<()> {
        if !self.is_open(number) {
            return Ok(());
        }
        let id = self.webhook_id(number);
        self.remove_from_index(number, id.as_deref());
        self.write_tombstone(number, &[])
    }

    /// Records that the platform acknowledged the notice of a final answer.
    pub fn record_acknowledgement(&mut self, number: u64) -> io::Result<()> {
        if self.store.tag(number) == Some(UNACKNOWLEDGED) {
            self.write_tombstone(number, &[])
        } else {
            Ok(())
        }
    }

    /// Removes the webhook from the store. The payload is the id that is to be known after a restart, if
    /// any.
    fn write_tombstone(&mut self, number: u64, payload: &[u8]) -> io::Result<()> {
        let record = Record { kind: RecordKind::Tombstone, tag: 0, key: number, metadata: &[], payload };
        self.store.append(&record, OnError::Defer)
    }

    /// Removes a webhook that is no longer open from the tables in memory.
    fn remove_from_index(&mut self, number: u64, id: Option<&str>) {
        self.open_count -= 1;
        self.attempts.remove(number);
        self.cache.remove(number);
        match id {
            Some(id) => _ = self.open_ids.remove(&(records::hash_id(id), number)),
            None => self.open_ids.retain(|entry| entry.1 != number),
        }
    }

    /// Whether the webhook with this number has no final answer.
    pub fn is_open(&self, number: u64) -> bool {
        self.store.tag(number) == Some(OPEN)
    }

    /// An open webhook. If it cannot be read, the error is logged.
    pub fn open_webhook(&mut self, number: u64) -> Option<Rc<Webhook>> {
        self.read_webhook(number).unwrap_or_else(|error| {
            error!(code = "journal-read", number, %error, "a webhook cannot be read");
            None
        })
    }

    /// An open webhook, or the error: `InvalidData` if it can never be read.
    pub fn read_webhook(&mut self, number: u64) -> io::Result<Option<Rc<Webhook>>> {
        if !self.is_open(number) {
            return Ok(None);
        }
        if let Some(webhook) = self.cache.get(number) {
            return Ok(Some(webhook));
        }
        let Some(payload) = self.store.read_value(number)? else { return Ok(None) };
        let invalid_data = |error| io::Error::new(io::ErrorKind::InvalidData, error);
        let webhook: Rc<Webhook> = Rc::new(postcard::from_bytes(&payload).map_err(invalid_data)?);
        self.cache.put(number, webhook.clone());
        Ok(Some(webhook))
    }

    /// The id of an open webhook, also of one whose record is damaged, if the id itself is not.
    pub fn webhook_id(&mut self, number: u64) -> Option<String> {
        match self.read_webhook(number) {
            Ok(webhook) => webhook.map(|webhook| webhook.id.clone()),
            Err(_) => self.read_damaged_id(number),
        }
    }

    /// The id in a damaged record: it comes first, and its hash is known from the record's metadata.
    fn read_damaged_id(&mut self, number: u64) -> Option<String> {
        let payload = self.store.read_damaged_value(number).ok()??;
        let (id, _) = postcard::take_from_bytes::<String>(&payload).ok()?;
        self.open_ids.contains(&(records::hash_id(&id), number)).then_some(id)
    }

    /// Takes the open webhooks whose records compaction has found damaged.
    pub fn take_damaged(&mut self) -> Vec<u64> {
        let mut numbers = self.store.take_damaged_keys();
        numbers.retain(|number| self.is_open(*number));
        numbers
    }

    /// What is known of the attempts for an open webhook.
    pub fn attempt_history(&self, number: u64) -> AttemptHistory {
        self.attempts.get(number)
    }

    /// The webhook's id and final answer, if the platform has not acknowledged the answer.
    pub fn unacknowledged_answer(&mut self, number: u64) -> Option<(String, FinalAnswer)> {
        if self.store.tag(number) != Some(UNACKNOWLEDGED) {
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

    /// The numbers of the webhooks whose final answers the platform has not acknowledged.
    pub fn unacknowledged_numbers(&self) -> Vec<u64> {
        self.store
            .keys_with_tags()
            .filter(|(_, tag)| *tag == UNACKNOWLEDGED)
            .map(|(number, _)| number)
            .collect()
    }
}

/// The limit of all segments together, in bytes.
fn segments_limit(max_bytes: usize) -> u64 {
    max_bytes.saturating_sub(format::RESERVED_BYTES) as u64
}

/// The id that the record of an ended webhook holds; `None` if it holds none.
fn read_ended_id<F: Files>(
    store: &mut Store<F>, kind: RecordKind, position: RecordPosition,
) -> Option<String> {
    let payload = store.read_payload(position).ok()?;
    let id = match kind {
        RecordKind::Value => postcard::from_bytes::<(String, FinalAnswer)>(&payload).ok()?.0,
        _ => String::from_utf8(payload).ok()?,
    };
    (!id.is_empty()).then_some(id)
}

#[cfg(test)]
mod tests;
