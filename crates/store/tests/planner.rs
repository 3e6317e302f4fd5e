//! Tests when segments are sealed, compacted and removed, given their sizes.

use scalebarrow_store::planner::{MIN_SCAN_RATIO, Planner};

const MB: u64 = 1_000_000;

/// Adds live records of 1000 bytes each to segment 1.
fn add_records(planner: &mut Planner, total_bytes: u64) {
    (0..total_bytes / 1000).for_each(|_| planner.add_live_record(1, 1000));
}

#[test]
fn target_segment_size_is_a_bounded_fraction_of_the_limit() {
    for (limit_bytes, segment_bytes) in
        [(MB / 4, 16 * 1024), (3 * MB, 187_500), (16 * MB, MB), (4000 * MB, 4 * 1024 * 1024)]
    {
        assert_eq!(Planner::new(limit_bytes).target_segment_bytes(), segment_bytes, "limit {limit_bytes}");
    }
}

#[test]
fn a_segment_is_sealed_before_it_exceeds_its_size_unless_one_record_does() {
    let mut planner = Planner::new(3 * MB);
    planner.set_active_segment(1, 100_000);
    assert!(!planner.should_seal(true, 87_500) && planner.should_seal(true, 87_501));
    assert!(!planner.should_seal(false, MB));
}

#[test]
fn compaction_is_due_if_half_is_dead_or_the_log_is_nearly_full() {
    // Number of sealed segments of a megabyte, live bytes, disk limit, and whether compaction is due.
    for (segment_count, live_bytes, limit_bytes, is_due) in [
        (40, 10 * MB, 1000 * MB, true),
        (40, 30 * MB, 1000 * MB, false),
        (20, 0, 1000 * MB, false),
        (20, 0, 30 * MB, true),
        (20, 9 * MB, 30 * MB, true),
        (20, 11 * MB, 30 * MB, false),
        (27, 20 * MB, 30 * MB, true),
        // Nearly all records are live: copying them would free no space.
        (27, 26 * MB, 30 * MB, false),
    ] {
        let mut planner = Planner::new(limit_bytes);
        (1..=segment_count).for_each(|segment_id| planner.add_sealed_segment(segment_id, MB));
        add_records(&mut planner, live_bytes);
        assert_eq!(
            planner.compaction_due(),
            is_due,
            "{segment_count} segments, {live_bytes} live, limit {limit_bytes}"
        );
    }
}

#[test]
fn only_the_oldest_segment_can_be_removed_and_only_without_live_records() {
    let mut planner = Planner::new(30 * MB);
    assert_eq!((planner.oldest_sealed(), planner.next_segment_id()), (None, 1));
    planner.set_active_segment(3, 1000);
    planner.seal_active(1200);
    planner.set_active_segment(4, 100);
    planner.add_live_record(3, 500);
    assert_eq!(
        (planner.oldest_sealed(), planner.next_segment_id(), planner.segment_count()),
        (Some(3), 5, 2)
    );
    assert!(!planner.can_remove(3));
    planner.add_live_record(4, 500);
    planner.remove_live_record(3, 500);
    assert!(planner.can_remove(3) && !planner.can_remove(4));
    planner.remove_segment(3);
    assert_eq!((planner.oldest_sealed(), planner.live_bytes()), (None, 500));
}

#[test]
fn compaction_of_a_log_filled_with_live_records_stays_within_the_limit() {
    // A log with as many live records as `has_space_for` admits, in which one byte dies for each that is
    // appended. The worst case for compaction is that the oldest segments hold the live records.
    for limit_bytes in [MB / 4, 3 * MB, 100 * MB] {
        let mut planner = Planner::new(limit_bytes);
        let (segment_bytes, record_bytes) = (planner.target_segment_bytes(), 1000);
        let mut live_bytes = 0;
        while planner.has_space_for(record_bytes, live_bytes) {
            live_bytes += record_bytes;
        }
        // The store must hold a tenth more than a log that is compacted by rewriting it whole, which needs
        // twice its size.
        assert!(
            live_bytes as f64 > 1.1 * 0.5 * (limit_bytes as f64 - 65536.0),
            "{live_bytes} of {limit_bytes}"
        );
        let due_segment_count = (1..).find(|segment_count| {
            let mut planner = Planner::new(limit_bytes);
            (1..=*segment_count).for_each(|segment_id| planner.add_sealed_segment(segment_id, segment_bytes));
            add_records(&mut planner, live_bytes.min(u64::from(*segment_count) * segment_bytes));
            planner.compaction_due()
        });
        let used_bytes = u64::from(due_segment_count.unwrap()) * segment_bytes;
        // What one pass appends, one segment that exists twice, and the last record.
        assert!(
            used_bytes + used_bytes / MIN_SCAN_RATIO + segment_bytes + record_bytes
                <= limit_bytes + 2 * segment_bytes,
            "{used_bytes} of {limit_bytes}"
        );
        add_records(&mut planner, live_bytes);
        assert!(planner.fits(record_bytes));
    }
}

#[test]
fn a_large_record_raises_the_compaction_reserve() {
    let planner = Planner::new(MB / 4);
    assert!(planner.has_space_for(66_000, 0) && !planner.has_space_for(66_000, 66_000));
    assert!(planner.has_space_for(1000, 100_000));
}
