//! Runs the built program on scripted input and checks its replies and errors.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_scalebarrow-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The program may exit before it has read all of an invalid input.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

const FACTS: &str = r#"{"caps":{"max-attempts":4,"open-cap":9,"cancelling":true,"retry-after":true,"max-retry-after-ms":500},
"classes":[{"name":"c","aim-ms":1000,"deadline-ms":4000,"effect":"free","news":1}],"family-info":{"slots":64,
"decay":"even","bundle-max":[2],"routes-apart":[false]},"instances":1,"me":0,"membership-mode":"push","models":["m"],
"rules":{"fall-multiple":2,"cold-from":0.3,"cold-ms":9000,"tip-after-ms":1000},"weights":"nominal","zones":["z"]}"#;

fn batch(now_ms: &str, id: &str, inbox: &str) -> String {
    format!(r#"{{"moment-ms":{now_ms},"senders":[{{"i":"{id}","inbox":[{inbox}]}}]}}"#).replace('\n', " ")
        + "\n"
}

fn open(id: &str) -> String {
    let ledger = |endpoint: &str| {
        format!(
            r#"{{"kind":"Ledger","buffer":3,"rows-in":[{{"receiver":"{endpoint}","locality":"z","generation-hw":"m","owner-no":5,
"state":"Ready","units":50,"launched-ms":null}}]}},{{"kind":"Topology","mode":"remembered","epoch":1,"buffer":3}}"#
        )
    };
    // The same list number twice in a batch: each event uses the list that came last before it.
    let inbox = format!(
        r#"{{"kind":"OpenInstance","salt":9,"facts":{FACTS}}},{},{}"#,
        ledger("1.1.1.1:1"),
        ledger("2.2.2.2:2")
    );
    batch("1000.5", id, &inbox)
}

const ASK: &str =
    r#"{"kind":"Ask","ref":77,"priority":"c","account":null,"remaining-ms":4000.0,"bound-for":5}"#;

fn ask(changes: &[(&str, &str)]) -> String {
    let event = changes.iter().fold(ASK.to_string(), |text, (from, to)| text.replace(from, to));
    open("s/1") + &batch("2000.0", "s/1", &event)
}

#[test]
fn valid_input_gets_the_expected_replies() {
    let restart =
        format!(r#"{{"kind":"Teardown"}},{{"kind":"OpenInstance","salt":9,"facts":{FACTS}}},{ASK}"#);
    let failed = r#"{"kind":"ReportBack","ref":77,"hop":0,"receiver":"2.2.2.2:2","reason":"Failed","delay-seen-ms":9.5,
"final":false,"hold-ms":null,"telemetry":null}"#;
    let cases: &[(&str, String, &[&str])] = &[
        ("an empty batch", "{\"moment-ms\":1,\"senders\":[]}\n".into(), &["{\"senders\":[]}"]),
        ("no input at all", String::new(), &[]),
        (
            "a webhook is sent to the endpoint of the latest list",
            ask(&[]),
            &["{\"senders\":[]}", r#""kind":"Assign","receiver":"2.2.2.2:2","ref":77"#],
        ),
        (
            "unknown events and fields are ignored",
            ask(&[("{\"kind\":\"Ask\"", r#"{"kind":"News"},{"x":[1],"kind":"Ask""#)]),
            &["{\"senders\":[]}", r#""kind":"Assign""#],
        ),
        (
            "an outcome of an unknown webhook is ignored",
            open("s/1") + &batch("2000.0", "s/1", failed),
            &["{\"senders\":[]}", "{\"senders\":[]}"],
        ),
        (
            "a sender that is opened again in the same batch starts without endpoints",
            open("s/1") + &batch("2000.0", "s/1", &restart),
            &["{\"senders\":[]}", r#""out":[{"hold-off-ms":500.0,"kind":"PushBack","ref":77}]"#],
        ),
        (
            "an idempotent webhook is retried after an error",
            ask(&[])
                + &batch("2100.0", "s/1", failed)
                + &batch("3300.0", "s/1", r#"{"kind":"Reminder","handle":0}"#),
            &["{\"senders\":[]}", "Assign", "Sleep", r#""kind":"Assign","receiver":"2.2.2.2:2","ref":77"#],
        ),
    ];
    for (name, input, expected) in cases {
        let output = run(input.as_bytes());
        let lines: Vec<&str> = std::str::from_utf8(&output.stdout).unwrap().lines().collect();
        assert!(output.status.success(), "{name}: {}", String::from_utf8_lossy(&output.stderr));
        assert_eq!(lines.len(), expected.len(), "{name}: {lines:?}");
        for (line, part) in lines.iter().zip(*expected) {
            assert!(line.contains(part), "{name}: {part} is not in {line}");
        }
    }
}

#[test]
fn invalid_input_ends_the_program_with_an_error() {
    let cases: &[(&str, String, &str)] = &[
        ("a line that is not JSON", "nonsense\n".into(), "line 1 is not JSON"),
        ("a line that is not an object", "[1]\n".into(), "line 1 is not an object"),
        ("a batch without a time", "{\"senders\":[]}\n".into(), "line 1: batch: moment-ms is missing"),
        (
            "a time that is not a number",
            "{\"moment-ms\":\"x\",\"senders\":[]}\n".into(),
            "moment-ms is not a number",
        ),
        (
            "an instance that was never opened",
            batch("1.0", "s/9", ASK),
            "line 1: Ask: i names an instance that is not open",
        ),
        ("a string instead of a number", ask(&[("77", "\"77\"")]), "line 2: Ask: ref is not a whole number"),
        ("a negative id", ask(&[("77", "-7")]), "line 2: Ask: ref is not a whole number"),
        ("a missing field", ask(&[("\"priority\":\"c\",", "")]), "line 2: Ask: priority is missing"),
        ("a number out of range", ask(&[("4000.0", "1e300")]), "line 2: Ask: remaining-ms is out of range"),
        (
            "a limit of no slots",
            ask(&[("\"slots\":64", "\"slots\":0")]).replace("\"slots\":64", "\"slots\":0"),
            "slots must be above zero",
        ),
        (
            "settings without event types",
            open("s/1").replace("\"news\":1}]", "\"news\":1}],\"classes\":[]"),
            "classes names no event type",
        ),
        (
            "an unknown effect",
            open("s/1").replace("\"free\"", "\"odd\""),
            "line 1: OpenInstance: effect is not a known effect",
        ),
        (
            "a list number that was never received",
            open("s/1").replace("\"buffer\":3}", "\"buffer\":4}"),
            "buffer names a list that was never received",
        ),
    ];
    for (name, input, expected) in cases {
        let output = run(input.as_bytes());
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{name} was accepted");
        assert!(error.contains(expected) && error.lines().count() == 1, "{name}: {error}");
    }
    assert!(!run(b"\xff\xfe\n").status.success());
}
