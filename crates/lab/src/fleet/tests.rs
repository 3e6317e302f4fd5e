use super::*;

fn log(lines: &[(&str, &str)]) -> String {
    lines.iter().map(|(at, rest)| format!("0.1 2026-01-02T03:04:{at}Z DEBUG {rest}\n")).collect()
}

#[test]
fn counts_add_up_all_senders_and_a_restart_closes_connections() {
    let one = log(&[
        ("00.000000", r#"serving name="n0" senders=2"#),
        ("00.000000", r#"an endpoint is listed code="endpoint" ep="a" dest=4 kind="plain" rate=50.0"#),
        ("00.000000", r#"the list is told code="listed" seq=0 mode=Remembered"#),
        ("00.100000", r#"a connection is opened code="connecting" ep="a""#),
        ("00.200000", r#"an attempt is back code="back" ep="a" outcome=Delivered over=true"#),
        ("00.900000", r#"an attempt is back code="back" ep="a" outcome=Full(0.5) over=false"#),
        ("01.100000", r#"connection ended peer="list" code="refused" link=4"#),
        ("01.200000", r#"serving name="n0" senders=2"#),
        ("01.300000", r#"a connection is opened code="connecting" ep="a""#),
        ("01.400000", r#"connection ended peer="endpoint" code="idle" ep="a""#),
    ]) + "0.1 2026-01-02T03:04:01.5";
    let two = log(&[
        ("00.300000", r#"a connection is opened code="connecting" ep="a""#),
        ("00.400000", r#"the list is told code="listed" seq=3"#),
        ("01.900000", r#"a final answer is owed code="given-up" id="x" dest=5 end=Rejected(0.5) tries=0"#),
        ("01.900000", r#"an attempt is back code="back" ep="a" outcome=TimedOut over=false"#),
    ]);
    let fleet = FleetCounts::of(&[one, two], 1.0).unwrap();
    let (first, second) = (&fleet.spans[&0], &fleet.spans[&1]);
    assert_eq!(first.calls, BTreeMap::from([((4, 0), 1), ((4, 1), 1)]));
    assert_eq!(second.calls, BTreeMap::from([((4, 3), 1)]));
    assert_eq!(second.given_up, BTreeMap::from([((5, false), 1)]));
    assert_eq!((first.connecting, first.listed, first.not_listed), (2, 1, 0));
    assert_eq!((second.connecting, second.listed, second.not_listed), (1, 0, 1));
    assert_eq!(fleet.max_open, BTreeMap::from([((4, "a".to_owned()), 2)]));
    assert!(fleet.table().contains("4: 1/1/0 0/0/1\n"), "{}", fleet.table());
    assert!(FleetCounts::of(&["no log".into()], 1.0).is_none());
}
