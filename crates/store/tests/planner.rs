//! When segments are sealed, compacted and removed, by their sizes alone.

use scalebarrow_store::planner::{MIN_SCAN_RATIO, Planner};

const MB: u64 = 1_000_000;

/// Live records of a kilobyte each.
fn add_records(planner: &mut Planner, bytes: u64) {
    (0..bytes / 1000).for_each(|_| planner.add_live_record(1, 1000));
}

#[test]
fn the_size_of_segments_follows_from_the_limit() {
    for (limit, size) in [(MB / 4, 16 * 1024), (3 * MB, 187_500), (16 * MB, MB), (4000 * MB, 4 * 1024 * 1024)]
    {
        assert_eq!(Planner::new(limit).segment_size(), size, "{limit}");
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
fn compaction_begins_where_half_is_dead_or_the_folder_is_nearly_full() {
    // Sealed segments of a megabyte, the bytes of them that are live, the limit: whether it is due.
    for (segments, live, limit, due) in [
        (40, 10 * MB, 1000 * MB, true),
        (40, 30 * MB, 1000 * MB, false),
        (20, 0, 1000 * MB, false),
        (20, 0, 30 * MB, true),
        (20, 9 * MB, 30 * MB, true),
        (20, 11 * MB, 30 * MB, false),
        (27, 20 * MB, 30 * MB, true),
        // Nearly all is live: to copy it would win nothing.
        (27, 26 * MB, 30 * MB, false),
    ] {
        let mut planner = Planner::new(limit);
        (1..=segments).for_each(|segment| planner.add_sealed_segment(segment, MB));
        add_records(&mut planner, live);
        assert_eq!(planner.compaction_due(), due, "{segments} segments, {live} live, limit {limit}");
    }
}

#[test]
fn the_oldest_goes_first_and_only_when_it_is_dead() {
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
fn where_there_is_room_compaction_at_its_pace_never_exceeds_the_limit() {
    // A log as full of live records as there is room for, each byte dying as another comes: worst for compaction is
    // that the oldest segments are the live ones.
    for limit in [MB / 4, 3 * MB, 100 * MB] {
        let mut planner = Planner::new(limit);
        let (size, record) = (planner.segment_size(), 1000);
        let mut live = 0;
        while planner.has_space_for(record, live) {
            live += record;
        }
        // A tenth more than a log that was written anew as a whole, twice in size, could hold.
        assert!(live as f64 > 1.1 * 0.5 * (limit as f64 - 65536.0), "{live} of {limit}");
        let due_at = (1..).find(|segments| {
            let mut planner = Planner::new(limit);
            (1..=*segments).for_each(|s| planner.add_sealed_segment(s, size));
            add_records(&mut planner, live.min(u64::from(*segments) * size));
            planner.compaction_due()
        });
        let used = u64::from(due_at.unwrap()) * size;
        // A whole pass at its pace, one segment in two places, and the last record.
        assert!(used + used / MIN_SCAN_RATIO + size + record <= limit + 2 * size, "{used} of {limit}");
        add_records(&mut planner, live);
        assert!(planner.fits(record));
    }
}

#[test]
fn a_large_record_needs_its_copy_room() {
    let planner = Planner::new(MB / 4);
    assert!(planner.has_space_for(66_000, 0) && !planner.has_space_for(66_000, 66_000));
    assert!(planner.has_space_for(1000, 100_000));
}
