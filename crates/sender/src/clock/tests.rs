use super::*;

fn reading(boot: Option<u128>, uptime_secs: f64) -> BootReading {
    BootReading { boot: boot.map(BootId), uptime_secs }
}

#[test]
fn a_boot_id_is_parsed_as_the_system_writes_it() {
    let id = BootId::decode("39b80d28-9f9c-490f-a6b1-14195e4128f0\n");
    assert_eq!(id, Some(BootId(0x39b8_0d28_9f9c_490f_a6b1_1419_5e41_28f0)));
    for malformed in ["", "39b80d28", "39b80d28-9f9c-490f-a6b1-14195e4128fg"] {
        assert_eq!(BootId::decode(malformed), None, "{malformed}");
    }
    assert!(BootId::read().is_some());
}

#[test]
fn a_timeline_is_valid_only_in_its_own_boot() {
    let timeline = Timeline::new(&reading(Some(7), 100.0));
    let now = timeline.time_at(&reading(Some(7), 100.0));
    // Name, boot, seconds since boot, time of the last event, whether the timeline is valid.
    let cases = [
        ("same boot, later", Some(7), 130.0, now + 20.0, true),
        ("another boot", Some(8), 130.0, now, false),
        ("unknown boot", None, 130.0, now, false),
        ("an event later than now", Some(7), 130.0, now + 40.0, false),
    ];
    for (name, boot, uptime_secs, last_event_at, is_valid) in cases {
        assert_eq!(timeline.is_valid_at(last_event_at, &reading(boot, uptime_secs)), is_valid, "{name}");
    }
    let unknown_boot = Timeline::new(&reading(None, 100.0));
    assert!(!unknown_boot.is_valid_at(0.0, &reading(None, 130.0)));
}

#[test]
fn after_a_reboot_all_time_spans_have_ended() {
    let latest_time = 5e6;
    let after_reboot = reading(Some(8), 3.0);
    let timeline = Timeline::after_reboot(latest_time, &after_reboot);
    assert!(timeline.time_at(&after_reboot) > latest_time + 1e7);
}

#[test]
fn a_timeline_decodes_to_what_was_encoded() {
    for boot in [Some(7), None] {
        let timeline = Timeline::after_reboot(123.5, &reading(boot, 3.25));
        assert_eq!(Timeline::decode(&timeline.encode()), Some(timeline));
    }
    assert_eq!(Timeline::decode(&[0; 20]), None);
    assert_eq!(Timeline::decode(&[0xff; 24]), None);
}
