use super::legacy::LegacyRecord;
use super::*;
use crate::clock::BootId;
use scalebarrow_store::{Fault, FaultyFiles, MemoryFiles};

const MAX_BYTES: usize = 200_000;

type MemoryJournal = Journal<MemoryFiles>;

fn webhook(id: &str, body_bytes: usize) -> Webhook {
    let (id, event_type) = (id.to_owned(), "e".to_owned());
    let (ordering_key, customer, token) = (None, Some("c".into()), Some("t".into()));
    Webhook {
        id,
        event_type,
        destination: 7,
        ordering_key,
        customer,
        token,
        expires_at: 9.5,
        body: vec![b'x'; body_bytes],
    }
}

/// The boot clock 100 s after the machine's boot.
fn reading() -> BootReading {
    BootReading { boot: BootId::decode("39b80d28-9f9c-490f-a6b1-14195e4128f0"), uptime_secs: 100.0 }
}

fn open(files: &MemoryFiles) -> MemoryJournal {
    Journal::open_files(files.clone(), MAX_BYTES, &reading()).unwrap().0
}

fn open_numbers<F: Files>(journal: &Journal<F>) -> Vec<u64> {
    journal.store.keys_with_tags().filter(|(_, tag)| *tag == OPEN).map(|(number, _)| number).collect()
}

/// The open webhooks and the unacknowledged answers of a journal, as text.
fn contents<F: Files>(journal: &mut Journal<F>) -> Vec<String> {
    let mut lines = Vec::new();
    for number in open_numbers(journal) {
        let (id, history) =
            (journal.read_webhook(number).unwrap().unwrap().id.clone(), journal.attempt_history(number));
        lines.push(format!(
            "{number} {id} {} attempts, in flight {:?}, may have run {:?}",
            history.count, history.in_flight, history.may_have_run
        ));
        assert_eq!(journal.find_open(&id), Some(number));
    }
    assert_eq!((lines.len(), journal.open_ids.len()), (journal.open_count(), journal.open_count()));
    for number in journal.unacknowledged_numbers() {
        lines.push(format!("{number} unacknowledged {:?}", journal.unacknowledged_answer(number).unwrap()));
    }
    lines
}

/// Records the start and the end of an attempt.
fn record_attempt<F: Files>(
    journal: &mut Journal<F>, number: u64, zone: &str, started_at: f64, may_have_run: bool,
) {
    let attempt = journal.record_attempt_start(number, zone, started_at).unwrap().unwrap();
    journal.record_attempt_end(number, attempt, may_have_run).unwrap();
}

/// Records webhooks in every state that the journal distinguishes.
fn fill<F: Files>(journal: &mut Journal<F>) {
    for (number, id) in [(1, "a"), (2, "b"), (3, "c"), (4, "d"), (5, "e")] {
        journal.record_webhook(number, webhook(id, 100)).unwrap();
    }
    record_attempt(journal, 1, "z", 1.5, true);
    journal.record_attempt_start(1, "y", 2.5).unwrap();
    record_attempt(journal, 2, "z", 3.5, false);
    journal.record_final_answer(3, FinalAnswer::Rejected(0.5)).unwrap();
    journal.record_final_answer(4, FinalAnswer::DeadLettered).unwrap();
    journal.record_acknowledgement(4).unwrap();
    journal.record_final_answer(5, FinalAnswer::Over).unwrap();
}

/// The contents after [`fill`].
const FILLED: [&str; 3] = [
    r#"1 a 2 attempts, in flight Some(("y", 2.5)), may have run Some(("z", 1.5))"#,
    "2 b 1 attempts, in flight None, may have run None",
    r#"3 unacknowledged ("c", Rejected(0.5))"#,
];

/// The same converted from an older version: an attempt that was only counted may have run, long ago.
const CONVERTED: [&str; 3] =
    [FILLED[0], r#"2 b 1 attempts, in flight None, may have run Some(("", 0.0))"#, FILLED[2]];

/// Records and ends so many webhooks that compaction copies everything live to other segments.
fn force_compaction<F: Files>(journal: &mut Journal<F>) {
    let first_number = journal.next_number();
    for number in first_number..first_number + 1000 {
        journal.record_webhook(number, webhook(&format!("churn-{number}"), 500)).unwrap();
        journal.record_final_answer(number, FinalAnswer::Over).unwrap();
        journal.run_compaction_step().unwrap();
    }
}

#[test]
fn contents_are_the_same_after_a_restart_and_after_compaction() {
    let files = MemoryFiles::default();
    let mut journal = open(&files);
    fill(&mut journal);
    assert_eq!(contents(&mut journal), FILLED);
    let (mut journal, dropped_bytes) = Journal::open_files(files.clone(), MAX_BYTES, &reading()).unwrap();
    assert_eq!((contents(&mut journal), dropped_bytes), (FILLED.map(String::from).to_vec(), 0));
    assert_eq!((journal.next_number(), journal.open_count()), (6, 2));
    assert_eq!(journal.take_ended_ids(), ["c", "d", "e"]);
    force_compaction(&mut journal);
    assert!(files.length("segment-0000000001").is_err());
    let mut journal = open(&files);
    assert_eq!(contents(&mut journal), FILLED);
    assert_eq!(*journal.open_webhook(2).unwrap(), webhook("b", 100));
    let pending = [1, 2].map(|number| PendingWebhook { number, expires_at: 9.5, key_hash: None });
    assert_eq!(journal.take_pending(), pending);
    assert_eq!(journal.take_ended_ids().last().unwrap(), "churn-1005");
}

#[test]
fn an_attempt_in_flight_at_a_kill_counts_as_may_have_run_whatever_follows() {
    let files = MemoryFiles::default();
    let mut journal = open(&files);
    for (number, id) in [(1, "a"), (2, "b")] {
        journal.record_webhook(number, webhook(id, 100)).unwrap();
    }
    journal.record_attempt_start(1, "z", 1.5).unwrap();
    journal.record_attempt_start(2, "z", 1.5).unwrap();
    // After a kill, the next attempt for 1 has not run, and 2 is attempted twice, the first time without an
    // outcome.
    let mut journal = open(&files);
    record_attempt(&mut journal, 1, "z", 2.5, false);
    journal.record_attempt_start(2, "y", 2.5).unwrap();
    let mut journal = open(&files);
    record_attempt(&mut journal, 2, "x", 3.5, true);
    let expected = [
        r#"1 a 2 attempts, in flight None, may have run Some(("z", 1.5))"#,
        r#"2 b 3 attempts, in flight None, may have run Some(("z", 1.5))"#,
    ];
    assert_eq!(contents(&mut journal), expected);
    force_compaction(&mut journal);
    assert_eq!(contents(&mut open(&files)), expected);
}

/// Guards against a repeat where the destination cannot recognise it: the outcome of one attempt must not be
/// recorded for another, which may have run.
#[test]
fn an_outcome_ends_only_its_own_attempt() {
    let files = MemoryFiles::default();
    let mut journal = open(&files);
    journal.record_webhook(1, webhook("a", 100)).unwrap();
    let first = journal.record_attempt_start(1, "z", 1.5).unwrap().unwrap();
    let second = journal.record_attempt_start(1, "z", 2.5).unwrap().unwrap();
    journal.record_attempt_end(1, first, false).unwrap();
    let both_known = r#"1 a 2 attempts, in flight Some(("z", 2.5)), may have run Some(("z", 1.5))"#;
    assert_eq!(contents(&mut journal), [both_known]);
    journal.record_attempt_end(1, second, false).unwrap();
    let only_first_known = r#"1 a 2 attempts, in flight None, may have run Some(("z", 1.5))"#;
    assert_eq!(contents(&mut open(&files)), [only_first_known]);
}

#[test]
fn an_incomplete_or_damaged_last_record_is_dropped() {
    let files = MemoryFiles::default();
    let segment = "segment-0000000001";
    let mut journal = open(&files);
    journal.record_webhook(1, webhook("a", 30)).unwrap();
    let first_record_end = files.length(segment).unwrap();
    journal.record_webhook(2, webhook("b", 30)).unwrap();
    let end = files.length(segment).unwrap();
    for cut in first_record_end..end {
        let mut torn = files.deep_copy();
        torn.truncate(segment, cut).unwrap();
        let (mut journal, dropped_bytes) = Journal::open_files(torn.clone(), MAX_BYTES, &reading()).unwrap();
        assert_eq!(
            (contents(&mut journal).len(), dropped_bytes as u64),
            (1, cut - first_record_end),
            "cut at {cut}"
        );
        // New records follow complete records only.
        journal.record_webhook(3, webhook("c", 30)).unwrap();
        assert_eq!(contents(&mut open(&torn)).len(), 2, "cut at {cut}");
    }
    // The checksum detects a changed byte.
    let mut bytes = vec![0; end as usize];
    files.clone().read_at(segment, 0, &mut bytes).unwrap();
    for offset in [first_record_end + 1, first_record_end + 5, first_record_end + 20] {
        let (mut damaged_bytes, mut damaged) = (bytes.clone(), files.deep_copy());
        damaged_bytes[offset as usize] ^= 0x40;
        damaged.create(segment).unwrap();
        damaged.append(segment, &damaged_bytes).unwrap();
        assert_eq!(contents(&mut open(&damaged)).len(), 1, "damaged at {offset}");
    }
}

#[test]
fn a_folder_in_an_unknown_format_is_refused_and_left_unchanged() {
    for (content, expected_error) in [
        (&b"something else"[..], Some("holds a journal in an unknown format")),
        (b"SBARROW4", Some("holds a journal in an unknown format")),
        (b"SBARROW3", None),
        (b"SBARROW2", None),
        // An older version was killed while it created the file.
        (b"SBA", None),
        (b"", None),
    ] {
        let mut files = MemoryFiles::default();
        files.create("journal").unwrap();
        files.append("journal", content).unwrap();
        let result = Journal::open_files(files.clone(), MAX_BYTES, &reading());
        assert_eq!(
            result.map(drop).map_err(|error| error.to_string()).err().as_deref(),
            expected_error,
            "{content:?}"
        );
        if expected_error.is_some() {
            assert_eq!(files.total_bytes(), content.len() as u64);
        }
    }
    // An older version finds a format that it does not know, so it does not take the folder for an empty one.
    let files = MemoryFiles::default();
    drop(open(&files));
    let mut magic = [0; 8];
    files.clone().read_at("journal", 0, &mut magic).unwrap();
    assert_eq!((&magic, files.length("journal").unwrap()), (b"SBARROW3", 36));
}

/// A folder of an older version, with the same segments and times in Unix time.
fn folder_in_unix_time() -> MemoryFiles {
    let files = MemoryFiles::default();
    fill(&mut open(&files));
    let mut older = files.clone();
    older.create("journal").unwrap();
    older.append("journal", b"SBARROW2").unwrap();
    files
}

/// Guards against time spans measured by a clock that does not know them: after a reboot, and in a folder in
/// Unix time, all times in the folder must be long past.
#[test]
fn time_spans_continue_in_the_same_boot_and_have_ended_after_another_one() {
    let filled = MemoryFiles::default();
    fill(&mut open(&filled));
    let now = open(&filled).timeline().time_at(&reading());
    let other_boot = BootId::decode("00000000-9f9c-490f-a6b1-14195e4128f0");
    let mut trailing_bytes = filled.deep_copy();
    trailing_bytes.append("journal", b"x").unwrap();
    let mut damaged = filled.deep_copy();
    damaged.create("journal").unwrap();
    damaged.append("journal", b"SBARROW3xxxxxxxxxxxxxxxxxxxxxxxxxxxx").unwrap();
    // Name, folder, boot, seconds since boot, whether the timeline continues.
    let cases = [
        ("same boot", &filled, reading().boot, 130.0, true),
        ("bytes after the timeline", &trailing_bytes, reading().boot, 130.0, true),
        ("another boot", &filled, other_boot, 130.0, false),
        ("unknown boot", &filled, None, 130.0, false),
        ("damaged timeline", &damaged, reading().boot, 130.0, false),
        ("Unix time", &folder_in_unix_time(), reading().boot, 130.0, false),
    ];
    for (name, files, boot, uptime_secs, continues) in cases {
        let (files, later) = (files.deep_copy(), BootReading { boot, uptime_secs });
        for _ in 0..2 {
            let journal = Journal::open_files(files.clone(), MAX_BYTES, &later).unwrap().0;
            let later_time = journal.timeline().time_at(&later);
            assert_eq!(later_time == now + 30.0, continues, "{name}: {later_time} after {now}");
            assert!(continues || later_time > journal.latest_time() + 1e7, "{name}: {later_time}");
        }
    }
}

#[test]
fn a_folder_in_unix_time_is_converted_even_if_the_process_is_killed_meanwhile() {
    let original = folder_in_unix_time();
    let without_faults = FaultyFiles::new(original.deep_copy(), None);
    let operation_count = without_faults.operation_counter();
    let (mut journal, _) = Journal::open_files(without_faults, MAX_BYTES, &reading()).unwrap();
    assert_eq!(contents(&mut journal), CONVERTED);
    for operation in 0..operation_count.get() {
        for fault in
            [Fault::KillBefore(operation), Fault::KillWithin(operation, 0), Fault::KillWithin(operation, 60)]
        {
            let disk = original.deep_copy();
            assert!(
                Journal::open_files(FaultyFiles::new(disk.clone(), Some(fault)), MAX_BYTES, &reading())
                    .is_err()
            );
            assert_eq!(contents(&mut open(&disk)), CONVERTED, "{fault:?}");
            assert_eq!(contents(&mut open(&disk)), CONVERTED, "{fault:?}");
        }
    }
}

#[test]
fn the_folder_stays_within_its_limit_under_constant_load() {
    let files = MemoryFiles::default();
    let mut journal = open(&files);
    let (mut accepted_count, mut peak_bytes) = (0, 0);
    for number in 1..=3000 {
        let candidate = webhook(&number.to_string(), 4000);
        if journal.has_space_for(&candidate) {
            journal.record_webhook(number, candidate).unwrap();
            accepted_count += 1;
        }
        peak_bytes = peak_bytes.max(files.total_bytes());
        // Every open webhook is attempted again and again, and a few end.
        let numbers = open_numbers(&journal);
        for open_number in numbers.iter().copied() {
            record_attempt(&mut journal, open_number, "zone", 1.0, open_number % 2 == 0);
            peak_bytes = peak_bytes.max(files.total_bytes());
        }
        for oldest in numbers.first().iter().filter(|_| number % 3 == 0) {
            journal.record_final_answer(**oldest, FinalAnswer::DeadLettered).unwrap();
            journal.record_acknowledgement(**oldest).unwrap();
        }
        journal.run_compaction_step().unwrap();
        peak_bytes = peak_bytes.max(files.total_bytes());
    }
    assert!(
        accepted_count > 900 && peak_bytes <= MAX_BYTES as u64,
        "{accepted_count} accepted, {peak_bytes} bytes"
    );
    assert_eq!(contents(&mut open(&files)), contents(&mut journal));
}

#[test]
fn a_small_folder_holds_as_many_webhooks_as_the_single_file_did() {
    for (max_bytes, body_bytes) in [(3_000_000, 0), (3_000_000, 212), (3_000_000, 64 * 1024), (250_000, 212)]
    {
        // The older version reserved the size of each record twice, and space for the records that follow.
        let mut record = Vec::new();
        append_legacy_record(
            &mut record,
            &LegacyRecord::Accepted(1000, webhook("0123456789abcdef", body_bytes), AttemptHistory::default()),
        );
        let older_capacity = (max_bytes - 4 * 512 - 64 * 1024) / (2 * (record.len() + 8 + 256));
        let mut journal = Journal::open_files(MemoryFiles::default(), max_bytes, &reading()).unwrap().0;
        let mut open_count = 0;
        while journal.has_space_for(&webhook("0123456789abcdef", body_bytes)) {
            open_count += 1;
            journal.record_webhook(open_count, webhook(&format!("{open_count:016}"), body_bytes)).unwrap();
        }
        assert!(
            open_count as usize >= older_capacity,
            "{open_count} of {body_bytes} bytes in {max_bytes}, {older_capacity} in the single file"
        );
    }
}

#[test]
fn open_webhooks_can_be_finished_in_a_full_folder() {
    let files = MemoryFiles::default();
    let mut journal = open(&files);
    let mut open_count = 0;
    while journal.has_space_for(&webhook(&format!("{open_count:064}"), 10)) {
        open_count += 1;
        journal.record_webhook(open_count, webhook(&format!("{open_count:064}"), 10)).unwrap();
    }
    for round in 0..5 {
        for number in 1..=open_count {
            record_attempt(&mut journal, number, "a-zone-with-a-name", f64::from(round), true);
        }
    }
    for number in 1..=open_count {
        journal.record_final_answer(number, FinalAnswer::Rejected(1.5)).unwrap();
        assert!(files.total_bytes() <= MAX_BYTES as u64);
    }
    assert_eq!(open(&files).unacknowledged_numbers().len() as u64, open_count);
    for number in 1..=open_count {
        journal.record_acknowledgement(number).unwrap();
        assert!(files.total_bytes() <= MAX_BYTES as u64);
    }
    assert!(contents(&mut open(&files)).is_empty());
}

#[test]
fn a_failed_write_leaves_no_partial_record() {
    // The second webhook and the final answer of the first one meet a full disk; half of each append is
    // written.
    let disk = MemoryFiles::default();
    let operation_count = {
        let files = FaultyFiles::new(disk.deep_copy(), None);
        let operation_count = files.operation_counter();
        Journal::open_files(files, MAX_BYTES, &reading())
            .unwrap()
            .0
            .record_webhook(1, webhook("a", 10))
            .unwrap();
        operation_count.get()
    };
    // Each failed append is followed by a truncation, which is an operation as well.
    let disk_full = Fault::Full { first_operation: operation_count, operation_count: 4, written_percent: 50 };
    let files = FaultyFiles::new(disk.clone(), Some(disk_full));
    let mut journal = Journal::open_files(files, MAX_BYTES, &reading()).unwrap().0;
    journal.record_webhook(1, webhook("a", 10)).unwrap();
    assert!(journal.record_webhook(2, webhook("b", 10)).is_err());
    assert_eq!(contents(&mut journal).len(), 1);
    assert_eq!(journal.find_open("b"), None);
    // In memory the event counts although its record failed.
    assert!(journal.record_final_answer(1, FinalAnswer::DeadLettered).is_err());
    assert_eq!(journal.unacknowledged_answer(1), Some(("a".into(), FinalAnswer::DeadLettered)));
    assert_eq!(contents(&mut open(&disk.deep_copy())).len(), 1);
    // The deferred record is written before the next one.
    journal.record_webhook(3, webhook("c", 10)).unwrap();
    assert_eq!(contents(&mut journal).len(), 2);
    assert_eq!(contents(&mut open(&disk)), contents(&mut journal));
}

#[test]
fn ids_with_the_same_hash_are_distinguished() {
    let files = MemoryFiles::default();
    let mut journal = open(&files);
    journal.record_webhook(1, webhook("a", 10)).unwrap();
    journal.record_webhook(2, webhook("b", 10)).unwrap();
    // Entries as if the hashes of both ids were the same.
    let hash = |id| records::hash_id(id);
    journal.open_ids = BTreeSet::from([(hash("a"), 1), (hash("a"), 2), (hash("c"), 1), (hash("c"), 2)]);
    journal.cache = Cache::new(0);
    assert_eq!([journal.find_open("a"), journal.find_open("c")], [Some(1), None]);
}

/// Appends a record with its length and checksum, as the older version did.
fn append_legacy_record(out: &mut Vec<u8>, record: &LegacyRecord) {
    let body = postcard::to_stdvec(record).unwrap();
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    out.extend_from_slice(&body);
}

/// The file of an older version with the contents of [`fill`].
fn legacy_file() -> Vec<u8> {
    let mut bytes = legacy::MAGIC.to_vec();
    let start = |zone: &str, started_at| (zone.to_owned(), started_at);
    for (number, id) in [(1, "a"), (2, "b"), (3, "c"), (4, "d"), (5, "e")] {
        append_legacy_record(
            &mut bytes,
            &LegacyRecord::Accepted(number, webhook(id, 100), AttemptHistory::default()),
        );
    }
    for record in [
        LegacyRecord::AttemptStarted(1, start("z", 1.5)),
        LegacyRecord::AttemptEnded(1, true),
        LegacyRecord::AttemptStarted(1, start("y", 2.5)),
        LegacyRecord::AttemptStarted(2, start("z", 3.5)),
        LegacyRecord::AttemptEnded(2, false),
        LegacyRecord::Ended(3, "c".into(), FinalAnswer::Rejected(0.5)),
        LegacyRecord::Ended(4, "d".into(), FinalAnswer::DeadLettered),
        LegacyRecord::Acknowledged(4),
        LegacyRecord::Ended(5, "e".into(), FinalAnswer::Over),
    ] {
        append_legacy_record(&mut bytes, &record);
    }
    bytes
}

#[test]
fn a_single_file_is_converted_even_if_the_process_is_killed_meanwhile() {
    let original = MemoryFiles::default();
    let mut files = original.clone();
    files.create("journal").unwrap();
    files.append("journal", &legacy_file()).unwrap();
    files.append("journal", b"torn").unwrap();
    let without_faults = FaultyFiles::new(original.deep_copy(), None);
    let operation_count = without_faults.operation_counter();
    let (mut journal, dropped_bytes) = Journal::open_files(without_faults, MAX_BYTES, &reading()).unwrap();
    assert_eq!((contents(&mut journal), dropped_bytes), (CONVERTED.map(String::from).to_vec(), 4));
    let operations = operation_count.get();
    for operation in 0..operations {
        for fault in
            [Fault::KillBefore(operation), Fault::KillWithin(operation, 0), Fault::KillWithin(operation, 60)]
        {
            let disk = original.deep_copy();
            assert!(
                Journal::open_files(FaultyFiles::new(disk.clone(), Some(fault)), MAX_BYTES, &reading())
                    .is_err()
            );
            let mut journal = open(&disk);
            assert_eq!(contents(&mut journal), CONVERTED, "{fault:?}");
            assert_eq!(journal.take_ended_ids(), ["c", "d", "e", "c"], "{fault:?}");
            assert_eq!(*journal.open_webhook(2).unwrap(), webhook("b", 100));
            assert_eq!(journal.next_number(), 4);
            // It is converted only once.
            assert_eq!(contents(&mut open(&disk)), CONVERTED, "{fault:?}");
        }
    }
}

/// Guards against work that nobody handed in: a body of the single file that holds whole records, in a record
/// that a kill cut off, must not be read as records.
#[test]
fn records_within_a_cut_record_of_the_single_file_are_not_read() {
    let mut body = Vec::new();
    for record in [
        LegacyRecord::Accepted(8, webhook("not handed in", 10), AttemptHistory::default()),
        LegacyRecord::Ended(1, "a".into(), FinalAnswer::Over),
    ] {
        append_legacy_record(&mut body, &record);
    }
    let forged = Webhook { body, ..webhook("forged", 0) };
    let mut whole = legacy_file();
    append_legacy_record(&mut whole, &LegacyRecord::Accepted(9, forged.clone(), AttemptHistory::default()));
    for (cut_bytes, expected_numbers) in [(0, vec![1, 2, 9]), (1, vec![1, 2]), (20, vec![1, 2])] {
        let mut files = MemoryFiles::default();
        files.create("journal").unwrap();
        files.append("journal", &whole[..whole.len() - cut_bytes]).unwrap();
        let mut journal = open(&files);
        assert_eq!(open_numbers(&journal), expected_numbers);
        let forged_webhook = journal.open_webhook(9).map(|webhook| (*webhook).clone());
        assert_eq!(forged_webhook, (cut_bytes == 0).then(|| forged.clone()));
    }
}

#[test]
fn a_larger_single_file_is_converted_within_the_disk_limit() {
    let disk = MemoryFiles::default();
    let mut bytes = legacy::MAGIC.to_vec();
    for number in 1..=3000 {
        let id = format!("{number:016}");
        append_legacy_record(
            &mut bytes,
            &LegacyRecord::Accepted(number, webhook(&id, 212), AttemptHistory::default()),
        );
    }
    let mut files = disk.clone();
    files.create("journal").unwrap();
    files.append("journal", &bytes).unwrap();
    let mut journal = Journal::open_files(disk.clone(), 3_000_000, &reading()).unwrap().0;
    assert!(disk.total_bytes() <= 3_000_000);
    assert_eq!(open_numbers(&journal).len(), 3000);
    for number in 1..=3000 {
        journal.record_final_answer(number, FinalAnswer::DeadLettered).unwrap();
        assert!(disk.total_bytes() <= 3_000_000);
    }
}

/// Guards against outages and waits that a restart forgets, and against records of them that take the numbers
/// of webhooks.
#[test]
fn outages_and_waits_are_remembered_until_they_are_over() {
    let files = MemoryFiles::default();
    let memory = |endpoint: Option<&str>, wait_until, outage| ScopeMemory {
        destination: 7,
        endpoint: endpoint.map(str::to_owned),
        wait_until,
        outage,
    };
    let (down, recovering) = (RememberedOutage::Down, RememberedOutage::Recovering(2.5));
    let mut journal = open(&files);
    journal.record_memory(&memory(None, 9.0, None), 1.0).unwrap();
    journal.record_memory(&memory(Some("a"), 0.0, Some(down)), 1.0).unwrap();
    journal.record_memory(&memory(Some("a"), 0.0, Some(recovering)), 2.5).unwrap();
    journal.record_memory(&memory(Some("b"), 0.0, Some(down)), 1.0).unwrap();
    journal.record_memory(&memory(Some("b"), 0.0, None), 3.0).unwrap();
    drop(journal);
    let mut journal = open(&files);
    let mut memories = journal.take_memories();
    memories.sort_by(|a, b| a.endpoint.cmp(&b.endpoint));
    assert_eq!(memories, [memory(None, 9.0, None), memory(Some("a"), 0.0, Some(recovering))]);
    assert_eq!((journal.next_number(), journal.open_count()), (1, 0));
    assert!(journal.unacknowledged_numbers().is_empty() && journal.take_pending().is_empty());
}
