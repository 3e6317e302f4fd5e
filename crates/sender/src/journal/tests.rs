use super::legacy::LegacyRecord;
use super::*;
use crate::clock::BootId;
use scalebarrow_store::{Fault, FaultyFiles, MemoryFiles};

const MOST: usize = 200_000;

type MemoryJournal = Journal<MemoryFiles>;

fn webhook(id: &str, size: usize) -> Webhook {
    let (id, event_type) = (id.to_owned(), "e".to_owned());
    let (order_key, customer, token) = (None, Some("c".into()), Some("t".into()));
    Webhook { id, event_type, dest: 7, order_key, customer, token, ends_at: 9.5, body: vec![b'x'; size] }
}

/// A moment after the machine's boot.
fn reading() -> BootReading {
    BootReading { boot: BootId::decode("39b80d28-9f9c-490f-a6b1-14195e4128f0"), elapsed: 100.0 }
}

fn open(files: &MemoryFiles) -> MemoryJournal {
    Journal::open_files(files.clone(), MOST, &reading()).unwrap().0
}

fn open_numbers<F: Files>(journal: &Journal<F>) -> Vec<u64> {
    journal.store.keys_with_tags().filter(|(_, tag)| *tag == OPEN).map(|(number, _)| number).collect()
}

/// What a journal holds, as text.
fn state<F: Files>(journal: &mut Journal<F>) -> Vec<String> {
    let mut lines = Vec::new();
    for n in open_numbers(journal) {
        let (id, t) = (journal.webhook(n).unwrap().unwrap().id.clone(), journal.tries(n));
        lines.push(format!("{n} {id} {} tries, out {:?}, ran {:?}", t.count, t.out, t.ran));
        assert_eq!(journal.find(&id), Some(n));
    }
    assert_eq!((lines.len(), journal.ids.len()), (journal.open_count(), journal.open_count()));
    for n in journal.all_owed() {
        lines.push(format!("{n} owed {:?}", journal.owed(n).unwrap()));
    }
    lines
}

/// An attempt goes out and comes back.
fn attempt<F: Files>(journal: &mut Journal<F>, number: u64, zone: &str, at: f64, ran: bool) {
    let attempt = journal.out(number, zone, at).unwrap().unwrap();
    journal.back(number, attempt, ran).unwrap();
}

fn fill<F: Files>(journal: &mut Journal<F>) {
    for (number, id) in [(1, "a"), (2, "b"), (3, "c"), (4, "d"), (5, "e")] {
        journal.take(number, webhook(id, 100)).unwrap();
    }
    attempt(journal, 1, "z", 1.5, true);
    journal.out(1, "y", 2.5).unwrap();
    attempt(journal, 2, "z", 3.5, false);
    journal.end(3, End::Rejected(0.5)).unwrap();
    journal.end(4, End::DeadLettered).unwrap();
    journal.told(4).unwrap();
    journal.end(5, End::Over).unwrap();
}

const FILLED: [&str; 3] = [
    r#"1 a 2 tries, out Some(("y", 2.5)), ran Some(("z", 1.5))"#,
    "2 b 1 tries, out None, ran None",
    r#"3 owed ("c", Rejected(0.5))"#,
];

/// The same carried over from a folder in Unix time: an attempt that was only counted may have run, long ago.
const CARRIED: [&str; 3] = [FILLED[0], r#"2 b 1 tries, out None, ran Some(("", 0.0))"#, FILLED[2]];

/// Enough comes and goes that all which stays was copied to other segments.
fn churn<F: Files>(journal: &mut Journal<F>) {
    let first = journal.next_number();
    for number in first..first + 1000 {
        journal.take(number, webhook(&format!("churn-{number}"), 500)).unwrap();
        journal.end(number, End::Over).unwrap();
        journal.step().unwrap();
    }
}

#[test]
fn what_was_written_is_there_again_also_after_it_was_compacted() {
    let files = MemoryFiles::default();
    let mut journal = open(&files);
    fill(&mut journal);
    assert_eq!(state(&mut journal), FILLED);
    let (mut journal, dropped) = Journal::open_files(files.clone(), MOST, &reading()).unwrap();
    assert_eq!((state(&mut journal), dropped), (FILLED.map(String::from).to_vec(), 0));
    assert_eq!((journal.next_number(), journal.open_count()), (6, 2));
    assert_eq!(journal.take_ended(), ["c", "d", "e"]);
    churn(&mut journal);
    assert!(files.length("segment-0000000001").is_err());
    let mut journal = open(&files);
    assert_eq!(state(&mut journal), FILLED);
    assert_eq!(*journal.open_webhook(2).unwrap(), webhook("b", 100));
    let resumable = [1, 2].map(|number| Resumable { number, ends_at: 9.5, key: None });
    assert_eq!(journal.take_resumable(), resumable);
    assert_eq!(journal.take_ended().last().unwrap(), "churn-1005");
}

#[test]
fn an_attempt_that_was_out_when_the_process_ended_may_have_run_whatever_follows() {
    let files = MemoryFiles::default();
    let mut journal = open(&files);
    for (number, id) in [(1, "a"), (2, "b")] {
        journal.take(number, webhook(id, 100)).unwrap();
    }
    journal.out(1, "z", 1.5).unwrap();
    journal.out(2, "z", 1.5).unwrap();
    // Killed; one goes out again and is turned away, the other again and again without an outcome.
    let mut journal = open(&files);
    attempt(&mut journal, 1, "z", 2.5, false);
    journal.out(2, "y", 2.5).unwrap();
    let mut journal = open(&files);
    attempt(&mut journal, 2, "x", 3.5, true);
    let after =
        [r#"1 a 2 tries, out None, ran Some(("z", 1.5))"#, r#"2 b 3 tries, out None, ran Some(("z", 1.5))"#];
    assert_eq!(state(&mut journal), after);
    churn(&mut journal);
    assert_eq!(state(&mut open(&files)), after);
}

/// Guards against a repeat outside its group: the outcome of one attempt must not stand for another's.
#[test]
fn an_outcome_closes_only_the_attempt_that_it_belongs_to() {
    let files = MemoryFiles::default();
    let mut journal = open(&files);
    journal.take(1, webhook("a", 100)).unwrap();
    let first = journal.out(1, "z", 1.5).unwrap().unwrap();
    let second = journal.out(1, "z", 2.5).unwrap().unwrap();
    journal.back(1, first, false).unwrap();
    let both = r#"1 a 2 tries, out Some(("z", 2.5)), ran Some(("z", 1.5))"#;
    assert_eq!(state(&mut journal), [both]);
    journal.back(1, second, false).unwrap();
    let first_alone = r#"1 a 2 tries, out None, ran Some(("z", 1.5))"#;
    assert_eq!(state(&mut open(&files)), [first_alone]);
}

#[test]
fn a_torn_tail_is_dropped_wherever_it_is_cut() {
    let files = MemoryFiles::default();
    let segment = "segment-0000000001";
    let mut journal = open(&files);
    journal.take(1, webhook("a", 30)).unwrap();
    let whole = files.length(segment).unwrap();
    journal.take(2, webhook("b", 30)).unwrap();
    let end = files.length(segment).unwrap();
    for cut in whole..end {
        let mut torn = files.deep_copy();
        torn.truncate(segment, cut).unwrap();
        let (mut journal, dropped) = Journal::open_files(torn.clone(), MOST, &reading()).unwrap();
        assert_eq!((state(&mut journal).len(), dropped as u64), (1, cut - whole), "cut at {cut}");
        // What follows stands behind whole records only.
        journal.take(3, webhook("c", 30)).unwrap();
        assert_eq!(state(&mut open(&torn)).len(), 2, "cut at {cut}");
    }
    // A changed byte is found by the checksum.
    let mut bytes = vec![0; end as usize];
    files.clone().read_at(segment, 0, &mut bytes).unwrap();
    for at in [whole + 1, whole + 5, whole + 20] {
        let (mut bad, mut changed) = (bytes.clone(), files.deep_copy());
        bad[at as usize] ^= 0x40;
        changed.create(segment).unwrap();
        changed.append(segment, &bad).unwrap();
        assert_eq!(state(&mut open(&changed)).len(), 1, "changed at {at}");
    }
}

#[test]
fn a_folder_of_another_form_is_refused_and_left_alone() {
    for (content, error) in [
        (&b"something else"[..], Some("holds a journal of another form")),
        (b"SBARROW4", Some("holds a journal of another form")),
        (b"SBARROW3", None),
        (b"SBARROW2", None),
        // An older program was killed while it began.
        (b"SBA", None),
        (b"", None),
    ] {
        let mut files = MemoryFiles::default();
        files.create("journal").unwrap();
        files.append("journal", content).unwrap();
        let opened = Journal::open_files(files.clone(), MOST, &reading());
        assert_eq!(opened.map(drop).map_err(|e| e.to_string()).err().as_deref(), error, "{content:?}");
        if error.is_some() {
            assert_eq!(files.total_bytes(), content.len() as u64);
        }
    }
    // What an older program reads: not its own form, so that it does not take the folder for an empty one.
    let files = MemoryFiles::default();
    drop(open(&files));
    let mut form = [0; 8];
    files.clone().read_at("journal", 0, &mut form).unwrap();
    assert_eq!((&form, files.length("journal").unwrap()), (b"SBARROW3", 36));
}

/// A folder of the program before, with the same segments and times in Unix time.
fn folder_in_unix_time() -> MemoryFiles {
    let files = MemoryFiles::default();
    fill(&mut open(&files));
    let mut changed = files.clone();
    changed.create("journal").unwrap();
    changed.append("journal", b"SBARROW2").unwrap();
    files
}

/// Guards against spans that are told by a clock which says nothing of them: after another boot, or in a folder in Unix
/// time, all times in the folder are long past.
#[test]
fn spans_go_on_in_the_same_boot_and_are_over_after_another_one() {
    let filled = MemoryFiles::default();
    fill(&mut open(&filled));
    let now = open(&filled).timeline().at(&reading());
    let other = BootId::decode("00000000-9f9c-490f-a6b1-14195e4128f0");
    let mut illegible = filled.deep_copy();
    illegible.append("journal", b"x").unwrap();
    let mut flipped = filled.deep_copy();
    flipped.create("journal").unwrap();
    flipped.append("journal", b"SBARROW3xxxxxxxxxxxxxxxxxxxxxxxxxxxx").unwrap();
    // The folder, the boot and seconds since it, whether the timeline goes on there.
    let cases = [
        ("the same boot", &filled, reading().boot, 130.0, true),
        ("bytes behind the timeline", &illegible, reading().boot, 130.0, true),
        ("another boot", &filled, other, 130.0, false),
        ("a boot that cannot be told", &filled, None, 130.0, false),
        ("a timeline that cannot be read", &flipped, reading().boot, 130.0, false),
        ("a folder in Unix time", &folder_in_unix_time(), reading().boot, 130.0, false),
    ];
    for (name, files, boot, elapsed, goes_on) in cases {
        let (files, later) = (files.deep_copy(), BootReading { boot, elapsed });
        for _ in 0..2 {
            let journal = Journal::open_files(files.clone(), MOST, &later).unwrap().0;
            let then = journal.timeline().at(&later);
            assert_eq!(then == now + 30.0, goes_on, "{name}: {then} after {now}");
            assert!(goes_on || then > journal.reached() + 1e7, "{name}: {then}");
        }
    }
}

#[test]
fn a_folder_in_unix_time_is_carried_over_whenever_it_is_killed() {
    let before = folder_in_unix_time();
    let whole = FaultyFiles::new(before.deep_copy(), None);
    let count = whole.operation_counter();
    let (mut journal, _) = Journal::open_files(whole, MOST, &reading()).unwrap();
    assert_eq!(state(&mut journal), CARRIED);
    for at in 0..count.get() {
        for fault in [Fault::KillBefore(at), Fault::KillWithin(at, 0), Fault::KillWithin(at, 60)] {
            let disk = before.deep_copy();
            assert!(
                Journal::open_files(FaultyFiles::new(disk.clone(), Some(fault)), MOST, &reading()).is_err()
            );
            assert_eq!(state(&mut open(&disk)), CARRIED, "{fault:?}");
            assert_eq!(state(&mut open(&disk)), CARRIED, "{fault:?}");
        }
    }
}

#[test]
fn all_segments_together_stay_within_the_limit() {
    let files = MemoryFiles::default();
    let mut journal = open(&files);
    let (mut taken, mut highest) = (0, 0);
    for number in 1..=3000 {
        let w = webhook(&number.to_string(), 4000);
        if journal.has_room(&w) {
            journal.take(number, w).unwrap();
            taken += 1;
        }
        highest = highest.max(files.total_bytes());
        // Of all that are held, each is tried again and again and a few end.
        let open = open_numbers(&journal);
        for open in open.iter().copied() {
            attempt(&mut journal, open, "zone", 1.0, open % 2 == 0);
            highest = highest.max(files.total_bytes());
        }
        for first in open.first().iter().filter(|_| number % 3 == 0) {
            journal.end(**first, End::DeadLettered).unwrap();
            journal.told(**first).unwrap();
        }
        journal.step().unwrap();
        highest = highest.max(files.total_bytes());
    }
    assert!(taken > 900 && highest <= MOST as u64, "{taken} taken, {highest} bytes");
    assert_eq!(state(&mut open(&files)), state(&mut journal));
}

#[test]
fn a_small_folder_holds_as_many_as_the_single_file_did() {
    for (most, size) in [(3_000_000, 0), (3_000_000, 212), (3_000_000, 64 * 1024), (250_000, 212)] {
        // What it weighed there: its record twice, and room for what follows.
        let mut record = Vec::new();
        legacy_frame(
            &mut record,
            &LegacyRecord::Taken(1000, webhook("0123456789abcdef", size), Tries::default()),
        );
        let before = (most - 4 * 512 - 64 * 1024) / (2 * (record.len() + 8 + 256));
        let mut journal = Journal::open_files(MemoryFiles::default(), most, &reading()).unwrap().0;
        let mut held = 0;
        while journal.has_room(&webhook("0123456789abcdef", size)) {
            held += 1;
            journal.take(held, webhook(&format!("{held:016}"), size)).unwrap();
        }
        assert!(held as usize >= before, "{held} of {size} bytes in {most}, {before} before");
    }
}

#[test]
fn what_is_held_can_be_ended_in_a_full_folder() {
    let files = MemoryFiles::default();
    let mut journal = open(&files);
    let mut held = 0;
    while journal.has_room(&webhook(&format!("{held:064}"), 10)) {
        held += 1;
        journal.take(held, webhook(&format!("{held:064}"), 10)).unwrap();
    }
    for round in 0..5 {
        for number in 1..=held {
            attempt(&mut journal, number, "a-zone-with-a-name", f64::from(round), true);
        }
    }
    for number in 1..=held {
        journal.end(number, End::Rejected(1.5)).unwrap();
        assert!(files.total_bytes() <= MOST as u64);
    }
    assert_eq!(open(&files).all_owed().len() as u64, held);
    for number in 1..=held {
        journal.told(number).unwrap();
        assert!(files.total_bytes() <= MOST as u64);
    }
    assert!(state(&mut open(&files)).is_empty());
}

#[test]
fn a_write_that_fails_leaves_no_half_record() {
    // The third operation that appends, and some after it, meet a full disk; half of each append is written.
    let disk = MemoryFiles::default();
    let count = {
        let files = FaultyFiles::new(disk.deep_copy(), None);
        let count = files.operation_counter();
        Journal::open_files(files, MOST, &reading()).unwrap().0.take(1, webhook("a", 10)).unwrap();
        count.get()
    };
    // An append that fails is followed by a cut.
    let full = Fault::Full { first_operation: count, operation_count: 4, written_percent: 50 };
    let files = FaultyFiles::new(disk.clone(), Some(full));
    let mut journal = Journal::open_files(files, MOST, &reading()).unwrap().0;
    journal.take(1, webhook("a", 10)).unwrap();
    assert!(journal.take(2, webhook("b", 10)).is_err());
    assert_eq!(state(&mut journal).len(), 1);
    assert_eq!(journal.find("b"), None);
    // What has happened counts all the same.
    assert!(journal.end(1, End::DeadLettered).is_err());
    assert_eq!(journal.owed(1), Some(("a".into(), End::DeadLettered)));
    assert_eq!(state(&mut open(&disk.deep_copy())).len(), 1);
    // It is written before anything more goes in.
    journal.take(3, webhook("c", 10)).unwrap();
    assert_eq!(state(&mut journal).len(), 2);
    assert_eq!(state(&mut open(&disk)), state(&mut journal));
}

#[test]
fn ids_with_one_hash_are_told_apart() {
    let files = MemoryFiles::default();
    let mut journal = open(&files);
    journal.take(1, webhook("a", 10)).unwrap();
    journal.take(2, webhook("b", 10)).unwrap();
    // As if their hashes were the same.
    let hash = |id| records::id_hash(id);
    journal.ids = BTreeSet::from([(hash("a"), 1), (hash("a"), 2), (hash("c"), 1), (hash("c"), 2)]);
    journal.cache = Cache::new(0);
    assert_eq!([journal.find("a"), journal.find("c")], [Some(1), None]);
}

fn legacy_frame(out: &mut Vec<u8>, record: &LegacyRecord) {
    let body = postcard::to_stdvec(record).unwrap();
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    out.extend_from_slice(&body);
}

/// The file of an older program that did what [`fill`] does.
fn legacy_file() -> Vec<u8> {
    let mut bytes = legacy::FORM.to_vec();
    let trace = |zone: &str, at| (zone.to_owned(), at);
    for (number, id) in [(1, "a"), (2, "b"), (3, "c"), (4, "d"), (5, "e")] {
        legacy_frame(&mut bytes, &LegacyRecord::Taken(number, webhook(id, 100), Tries::default()));
    }
    for record in [
        LegacyRecord::Out(1, trace("z", 1.5)),
        LegacyRecord::Back(1, true),
        LegacyRecord::Out(1, trace("y", 2.5)),
        LegacyRecord::Out(2, trace("z", 3.5)),
        LegacyRecord::Back(2, false),
        LegacyRecord::Ended(3, "c".into(), End::Rejected(0.5)),
        LegacyRecord::Ended(4, "d".into(), End::DeadLettered),
        LegacyRecord::Told(4),
        LegacyRecord::Ended(5, "e".into(), End::Over),
    ] {
        legacy_frame(&mut bytes, &record);
    }
    bytes
}

#[test]
fn a_folder_of_an_older_program_is_carried_over_whenever_it_is_killed() {
    let before = MemoryFiles::default();
    let mut files = before.clone();
    files.create("journal").unwrap();
    files.append("journal", &legacy_file()).unwrap();
    files.append("journal", b"torn").unwrap();
    let whole = FaultyFiles::new(before.deep_copy(), None);
    let count = whole.operation_counter();
    let (mut journal, dropped) = Journal::open_files(whole, MOST, &reading()).unwrap();
    assert_eq!((state(&mut journal), dropped), (CARRIED.map(String::from).to_vec(), 4));
    let operations = count.get();
    for at in 0..operations {
        for fault in [Fault::KillBefore(at), Fault::KillWithin(at, 0), Fault::KillWithin(at, 60)] {
            let disk = before.deep_copy();
            assert!(
                Journal::open_files(FaultyFiles::new(disk.clone(), Some(fault)), MOST, &reading()).is_err()
            );
            let mut journal = open(&disk);
            assert_eq!(state(&mut journal), CARRIED, "{fault:?}");
            assert_eq!(journal.take_ended(), ["c", "d", "e", "c"], "{fault:?}");
            assert_eq!(*journal.open_webhook(2).unwrap(), webhook("b", 100));
            assert_eq!(journal.next_number(), 4);
            // It is carried over once.
            assert_eq!(state(&mut open(&disk)), CARRIED, "{fault:?}");
        }
    }
}

#[test]
fn a_larger_folder_of_an_older_program_is_carried_over_within_its_limit() {
    let disk = MemoryFiles::default();
    let mut bytes = legacy::FORM.to_vec();
    for number in 1..=3000 {
        let id = format!("{number:016}");
        legacy_frame(&mut bytes, &LegacyRecord::Taken(number, webhook(&id, 212), Tries::default()));
    }
    let mut files = disk.clone();
    files.create("journal").unwrap();
    files.append("journal", &bytes).unwrap();
    let mut journal = Journal::open_files(disk.clone(), 3_000_000, &reading()).unwrap().0;
    assert!(disk.total_bytes() <= 3_000_000);
    assert_eq!(open_numbers(&journal).len(), 3000);
    for number in 1..=3000 {
        journal.end(number, End::DeadLettered).unwrap();
        assert!(disk.total_bytes() <= 3_000_000);
    }
}
