use super::*;

const MOST: usize = 200_000;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("scalebarrow-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

fn webhook(id: &str, size: usize) -> Webhook {
    let (id, event_type) = (id.to_owned(), "e".to_owned());
    let (order_key, customer, token) = (None, Some("c".into()), Some("t".into()));
    Webhook { id, event_type, dest: 7, order_key, customer, token, ends_at: 9.5, body: vec![b'x'; size] }
}

/// What a journal holds, as text.
fn state(journal: &Journal) -> Vec<String> {
    let open = journal
        .open_webhooks()
        .map(|(n, w, t)| format!("{n} {} {} tries, out {:?}, ran {:?}", w.id, t.count, t.out, t.ran));
    let owed = journal.all_owed().into_iter().map(|n| format!("{n} owed {:?}", journal.owed(n).unwrap()));
    open.chain(owed).collect()
}

fn fill(journal: &mut Journal) {
    for (number, id) in [(1, "a"), (2, "b"), (3, "c"), (4, "d"), (5, "e")] {
        journal.take(number, webhook(id, 100)).unwrap();
    }
    journal.out(1, "z", 1.5).unwrap();
    journal.back(1, true).unwrap();
    journal.out(1, "y", 2.5).unwrap();
    journal.out(2, "z", 3.5).unwrap();
    journal.back(2, false).unwrap();
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

#[test]
fn what_was_written_is_there_again_also_after_it_was_written_anew() {
    let folder = folder("replay");
    let (mut journal, _) = Journal::open(&folder, MOST).unwrap();
    fill(&mut journal);
    assert_eq!(state(&journal), FILLED);
    let (mut journal, dropped) = Journal::open(&folder, MOST).unwrap();
    assert_eq!((state(&journal), dropped, journal.next_number()), (FILLED.map(String::from).to_vec(), 0, 6));
    journal.compact().unwrap();
    fs::write(folder.join("journal.new"), b"left over").unwrap();
    let (journal, _) = Journal::open(&folder, MOST).unwrap();
    assert_eq!(state(&journal), FILLED);
    assert_eq!(journal.open_webhook(2), Some(&webhook("b", 100)));
    assert!(!folder.join("journal.new").exists());
}

#[test]
fn an_attempt_that_was_out_when_the_process_ended_may_have_run_whatever_follows() {
    let folder = folder("twice-killed");
    let (mut journal, _) = Journal::open(&folder, MOST).unwrap();
    for (number, id) in [(1, "a"), (2, "b")] {
        journal.take(number, webhook(id, 100)).unwrap();
    }
    journal.out(1, "z", 1.5).unwrap();
    journal.out(2, "z", 1.5).unwrap();
    // Killed; one goes out again and is turned away, the other again and again without an outcome.
    let (mut journal, _) = Journal::open(&folder, MOST).unwrap();
    journal.out(1, "z", 2.5).unwrap();
    journal.back(1, false).unwrap();
    journal.out(2, "y", 2.5).unwrap();
    let (mut journal, _) = Journal::open(&folder, MOST).unwrap();
    journal.out(2, "x", 3.5).unwrap();
    journal.back(2, true).unwrap();
    let after =
        [r#"1 a 2 tries, out None, ran Some(("z", 1.5))"#, r#"2 b 3 tries, out None, ran Some(("z", 1.5))"#];
    assert_eq!(state(&journal), after);
    journal.compact().unwrap();
    assert_eq!(state(&Journal::open(&folder, MOST).unwrap().0), after);
}

#[test]
fn a_torn_tail_is_dropped_wherever_it_is_cut() {
    let folder = folder("torn");
    let (mut journal, _) = Journal::open(&folder, MOST).unwrap();
    journal.take(1, webhook("a", 30)).unwrap();
    let whole = journal.size;
    journal.take(2, webhook("b", 30)).unwrap();
    let bytes = fs::read(folder.join("journal")).unwrap();
    for cut in whole..bytes.len() {
        fs::write(folder.join("journal"), &bytes[..cut]).unwrap();
        let (mut journal, dropped) = Journal::open(&folder, MOST).unwrap();
        assert_eq!((state(&journal).len(), dropped), (1, cut - whole), "cut at {cut}");
        // What follows stands behind whole records only.
        journal.take(3, webhook("c", 30)).unwrap();
        assert_eq!(state(&Journal::open(&folder, MOST).unwrap().0).len(), 2, "cut at {cut}");
    }
    // A changed byte is found by the checksum.
    for at in [whole + 1, whole + 5, whole + 20] {
        let mut bad = bytes.clone();
        bad[at] ^= 0x40;
        fs::write(folder.join("journal"), &bad).unwrap();
        assert_eq!(state(&Journal::open(&folder, MOST).unwrap().0).len(), 1, "changed at {at}");
    }
    // Cut within the mark it starts anew; of another form it is left alone.
    fs::write(folder.join("journal"), &bytes[..3]).unwrap();
    assert!(state(&Journal::open(&folder, MOST).unwrap().0).is_empty());
    fs::write(folder.join("journal"), b"something else").unwrap();
    assert!(Journal::open(&folder, MOST).is_err());
}

#[test]
fn old_and_new_file_together_stay_within_the_limit() {
    let folder = folder("limit");
    let (mut journal, _) = Journal::open(&folder, MOST).unwrap();
    let (mut taken, mut highest) = (0, 0);
    for number in 1..=3000 {
        let w = webhook(&number.to_string(), 4000);
        if journal.has_room(&w) {
            journal.take(number, w).unwrap();
            taken += 1;
        }
        highest = highest.max(journal.size + journal.live);
        // Of all that are held, each is tried again and again and a few end.
        let open: Vec<u64> = journal.open_webhooks().map(|o| o.0).collect();
        for open in open.iter().copied() {
            journal.out(open, "zone", 1.0).unwrap();
            journal.back(open, open % 2 == 0).unwrap();
        }
        for first in open.first().iter().filter(|_| number % 3 == 0) {
            journal.end(**first, End::DeadLettered).unwrap();
            journal.told(**first).unwrap();
        }
    }
    assert!(taken > 900 && highest <= MOST, "{taken} taken, {highest} bytes");
    let (read, _) = Journal::open(&folder, MOST).unwrap();
    assert_eq!(state(&read), state(&journal));
}

#[test]
fn a_write_that_fails_leaves_no_half_record() {
    let folder = folder("fails");
    let (mut journal, _) = Journal::open(&folder, MOST).unwrap();
    journal.take(1, webhook("a", 10)).unwrap();
    // A file that cannot be written stands for a folder that is full.
    let sound = std::mem::replace(&mut journal.file, File::open(folder.join("journal")).unwrap());
    assert!(journal.take(2, webhook("b", 10)).is_err());
    assert_eq!(state(&journal).len(), 1);
    // What has happened counts all the same.
    journal.in_doubt = false;
    assert!(journal.end(1, End::DeadLettered).is_err());
    assert_eq!(journal.owed(1), Some(("a", End::DeadLettered)));
    // In doubt, it is written anew before anything more goes in.
    journal.take(3, webhook("c", 10)).unwrap();
    drop(sound);
    assert_eq!(state(&Journal::open(&folder, MOST).unwrap().0), state(&journal));
    assert_eq!(state(&journal).len(), 2);
}
