//! The command line: help, and errors for bad input.

use scalebarrow_scale::verbs::day::LoadProfile;
use std::process::{Command, Output};

const TENTH_PROFILE: &str = include_str!("../../../experiments/scale/tenth.toml");
const FLEET_PROFILE: &str = include_str!("../../../experiments/scale/fleet.toml");

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_scalebarrow-scale")).args(args).output().unwrap()
}

#[test]
fn help_lists_all_verbs_except_hollow() {
    let output = run(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    for verb in ["slope", "restarts", "changes", "day", "small", "capacity"] {
        assert!(text.contains(verb), "{verb}");
        assert_eq!(run(&[verb, "--help"]).status.code(), Some(0), "{verb}");
    }
    assert!(!text.contains("hollow"));
}

#[test]
fn bad_input_ends_with_status_2_and_is_named() {
    let existing_program = env!("CARGO_BIN_EXE_scalebarrow-scale");
    let cases: [(&[&str], &str); 11] = [
        (&["nothing"], "nothing"),
        (&["slope"], "COUNTED"),
        (&["slope", "stars"], "is none of destinations, held, senders"),
        (&["slope", "held", "--points", "10,x", "--program", existing_program], "--points 10,x"),
        (&["slope", "held", "--points", "0", "--program", existing_program], "--points 0"),
        (&["slope", "held", "--program", "/no/such"], "--program /no/such"),
        (&["restarts", "--senders", "0"], "1 to 40"),
        (&["restarts", "--program", "/no/such"], "--program /no/such"),
        (&["changes", "--pause=-1"], "0 or more"),
        (&["day"], "FILE"),
        (&["day", "/no/such.toml"], "/no/such.toml"),
    ];
    for (args, expected_text) in cases {
        let output = run(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(text.contains(expected_text), "{args:?}: {text}");
    }
}

#[test]
fn errors_in_load_profiles_name_field_and_line() {
    let tenth = LoadProfile::decode(TENTH_PROFILE).unwrap();
    assert_eq!((tenth.senders, tenth.hollow, tenth.outage.does.len()), (20, 0, 4));
    let fleet = LoadProfile::decode(FLEET_PROFILE).unwrap();
    assert_eq!((fleet.senders, fleet.hollow), (40, 520));
    for (from, to, line, expected_text) in [
        ("seconds = 60.0", "seconds = 0.0", 5, "seconds: must be above 0"),
        ("senders = 20", "senders = 41", 7, "senders: must be 1 to 40"),
        ("senders = 20", "senders = 40\nhollow = 521", 8, "hollow: must be 560 at most"),
        ("destinations = 12000", "destinations = -1", 10, "invalid value"),
        ("rate = 7500.0", "rate = inf", 12, "rate: must be above 0"),
        ("ttl = 20.0", "tll = 20.0", 14, "unknown field `tll`"),
        ("service = 0.05", "service = 30.0", 19, "service: must be 0 to ttl"),
        ("part = 0.013", "part = 1.3", 26, "outage.part: must be 0 to 1"),
        ("does = [\"fails\"", "does = [\"falls\"", 30, "unknown variant `falls`"),
        ("does = [\"fails\", \"refuses\", \"silent\", \"hangs-up\"]", "does = []", 30, "names nothing"),
    ] {
        assert!(TENTH_PROFILE.contains(from), "{from}");
        let error = LoadProfile::decode(&TENTH_PROFILE.replace(from, to)).unwrap_err();
        assert!(error.contains(expected_text) && error.contains(&format!("line {line}")), "{to}: {error}");
    }
}
