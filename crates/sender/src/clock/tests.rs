use super::*;

fn reading(boot: Option<u128>, elapsed: f64) -> BootReading {
    BootReading { boot: boot.map(BootId), elapsed }
}

#[test]
fn a_boot_id_is_read_as_the_system_writes_it() {
    let id = BootId::decode("39b80d28-9f9c-490f-a6b1-14195e4128f0\n");
    assert_eq!(id, Some(BootId(0x39b8_0d28_9f9c_490f_a6b1_1419_5e41_28f0)));
    for bad in ["", "39b80d28", "39b80d28-9f9c-490f-a6b1-14195e4128fg"] {
        assert_eq!(BootId::decode(bad), None, "{bad}");
    }
    assert!(BootId::read().is_some());
}

#[test]
fn a_timeline_goes_on_in_the_same_boot_alone() {
    let line = Timeline::begin(&reading(Some(7), 100.0));
    let now = line.at(&reading(Some(7), 100.0));
    // What the boot is, seconds since it, the last event, whether it goes on.
    let cases = [
        ("the same boot, later", Some(7), 130.0, now + 20.0, true),
        ("another boot", Some(8), 130.0, now, false),
        ("a boot that cannot be told", None, 130.0, now, false),
        ("something happened later than now", Some(7), 130.0, now + 40.0, false),
    ];
    for (name, boot, elapsed, last, goes_on) in cases {
        assert_eq!(line.goes_on(last, &reading(boot, elapsed)), goes_on, "{name}");
    }
    let unknown = Timeline::begin(&reading(None, 100.0));
    assert!(!unknown.goes_on(0.0, &reading(None, 130.0)));
}

#[test]
fn behind_another_boot_all_spans_are_over() {
    let reached = 5e6;
    let later = reading(Some(8), 3.0);
    let line = Timeline::begin_behind(reached, &later);
    assert!(line.at(&later) > reached + 1e7);
}

#[test]
fn a_timeline_is_read_as_it_was_written() {
    for boot in [Some(7), None] {
        let line = Timeline::begin_behind(123.5, &reading(boot, 3.25));
        assert_eq!(Timeline::decode(&line.encode()), Some(line));
    }
    assert_eq!(Timeline::decode(&[0; 20]), None);
    assert_eq!(Timeline::decode(&[0xff; 24]), None);
}
