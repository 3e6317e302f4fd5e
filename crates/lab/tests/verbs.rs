//! Each verb as a user calls it.

mod helpers;
use helpers::{err, folder, lab, out, write};
use std::path::Path;

const DOWN: &str = "[[world.trouble]]\nwhat = \"down\"\nat_s = 2.0\nfor_s = 3.0\n";

fn lines(dir: &Path, file: &str) -> Vec<serde_json::Value> {
    let text = std::fs::read_to_string(dir.join(file)).unwrap();
    text.lines().map(|l| serde_json::from_str(l).unwrap()).collect()
}

#[test]
fn run_writes_results_and_plots_that_can_be_drawn_again() {
    let dir = folder("run");
    write(&dir, "e.toml", "name = \"e\"\n", &DOWN.replace("down", "drain"));
    let o = lab(&dir, &["run", "e.toml", "--seed", "3", "--seeds", "2", "--out", "d"]);
    assert_eq!(o.status.code(), Some(0), "{}{}", out(&o), err(&o));
    let rows = lines(&dir, "d/runs.jsonl");
    assert_eq!(rows.len(), 2);
    assert!(rows.iter().all(|r| r["little_holds"] == true && r["value"].as_f64().unwrap() > 0.5));
    let summary = std::fs::read_to_string(dir.join("d/summary.json")).unwrap();
    assert!(summary.contains("\"simulated\": true") && summary.contains("\"drain\""));
    assert_eq!(lab(&dir, &["same", "d", "d"]).status.code(), Some(0));
    let o =
        lab(&dir, &["run", "e.toml", "--seed", "3", "--seeds", "2", "--policy", "random", "--out", "other"]);
    assert_eq!(o.status.code(), Some(0), "{}", err(&o));
    assert_eq!(lab(&dir, &["same", "d", "other"]).status.code(), Some(1));
    // What a break leaves behind: a last line that is cut off.
    let mut text = std::fs::read_to_string(dir.join("d/runs.jsonl")).unwrap();
    text.truncate(text.len() - 40);
    std::fs::write(dir.join("d/runs.jsonl"), text).unwrap();
    for plot in ["d/value.svg", "d/latency.png"] {
        std::fs::remove_file(dir.join(plot)).unwrap();
    }
    let o = lab(&dir, &["plot", "d"]);
    assert_eq!(o.status.code(), Some(0), "{}", err(&o));
    let svg = std::fs::read_to_string(dir.join("d/value.svg")).unwrap();
    assert!(svg.contains("share of the value asked") && svg.contains("drain"));
    assert!(std::fs::read(dir.join("d/latency.png")).unwrap().starts_with(b"\x89PNG"));
}

#[test]
fn a_broken_rule_exits_with_1_and_says_which() {
    let dir = folder("broken");
    write(&dir, "e.toml", "name = \"e\"\n", DOWN);
    let o = lab(&dir, &["run", "e.toml", "--policy", "random", "--seed", "1", "--out", "d"]);
    // The module is what the file names; the exit code tells of it alone.
    assert_eq!(o.status.code(), Some(0), "{}", err(&o));
    write(&dir, "e.toml", "name = \"e\"\npolicy = \"random\"\n", DOWN);
    let o = lab(&dir, &["run", "e.toml", "--seed", "1", "--out", "d"]);
    assert_eq!(o.status.code(), Some(1), "{}", out(&o));
    assert!(out(&o).contains("Returns"), "{}", out(&o));
}

#[test]
fn files_that_can_not_be_played_are_refused_by_file_line_and_field() {
    let dir = folder("bad");
    let cases = [
        ("name = \"e\"\nseedz = 1\n", "", "e.toml:2", "seedz"),
        ("name = \"e\"\npolicy = \"best\"\n", "", "e.toml:2", "policy"),
        (
            "name = \"e\"\n",
            "[[world.trouble]]\nwhat = \"down\"\nat_s = -1.0\n",
            "e.toml:18",
            "world.trouble.0.at_s",
        ),
        ("name = \"e\"\n", "[[world.trouble]]\nwhat = \"flood\"\nat_s = 1.0\n", "e.toml:17", "flood"),
        (
            "name = \"e\"\n",
            "[[sweep]]\nfield = \"world.day.length_s\"\nvalues = []\n",
            "e.toml:18",
            "sweep.0.values",
        ),
    ];
    for (head, tail, place, field) in cases {
        write(&dir, "e.toml", head, tail);
        let o = lab(&dir, &["run", "e.toml"]);
        assert_eq!(o.status.code(), Some(2), "{head}{tail}");
        let said = err(&o);
        assert!(said.contains(place) && said.contains(field), "{place} {field}: {said}");
    }
    write(&dir, "e.toml", "name = \"e\"\n", "[[sweep]]\nfield = \"world.day.lenth_s\"\nvalues = [1.0]\n");
    let o = lab(&dir, &["sweep", "e.toml"]);
    assert!(o.status.code() == Some(2) && err(&o).contains("lenth_s"), "{}", err(&o));
    assert_eq!(lab(&dir, &["run", "none.toml"]).status.code(), Some(2));
    assert_eq!(lab(&dir, &["walk"]).status.code(), Some(2));
}

#[test]
fn sweep_varies_any_field_and_compare_pairs_seeds() {
    let dir = folder("sweep");
    let sweep = "[[sweep]]\nfield = \"world.destinations.count\"\nvalues = [2, 40]\n\
                 [[sweep]]\nfield = \"world.kind.0.headroom\"\nvalues = [1.2, 3]\n";
    write(&dir, "e.toml", "name = \"e\"\n", sweep);
    let o = lab(&dir, &["sweep", "e.toml", "--set", "world.day.length_s=5", "--out", "d"]);
    assert_eq!(o.status.code(), Some(0), "{}", err(&o));
    let rows = lines(&dir, "d/runs.jsonl");
    assert_eq!(rows.len(), 4);
    assert_eq!(
        rows[3]["point"],
        serde_json::json!([["world.destinations.count", "40"], ["world.kind.0.headroom", "3"]])
    );
    assert_eq!(rows[0]["windows"].as_array().unwrap().len(), 5);
    assert!(dir.join("d/cost.svg").exists());

    let o = lab(&dir, &["compare", "e.toml", "--with", "module", "--seeds", "3", "--out", "c"]);
    assert_eq!(o.status.code(), Some(0), "{}", err(&o));
    let all: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(dir.join("c/differences.json")).unwrap()).unwrap();
    assert!(all.as_array().is_some_and(|a| a.len() == 5), "{all}");
}

#[test]
fn hunt_finds_a_broken_rule_makes_the_day_small_and_replay_plays_it() {
    let dir = folder("hunt");
    write(&dir, "e.toml", "name = \"e\"\npolicy = \"least-outstanding\"\n", "");
    let o = lab(&dir, &["hunt", "e.toml", "--days", "64", "--seed", "5", "--out", "f.toml"]);
    assert_eq!(o.status.code(), Some(1), "{}{}", out(&o), err(&o));
    let found = std::fs::read_to_string(dir.join("f.toml")).unwrap();
    assert!(found.matches("[[world.trouble]]").count() <= 2, "{found}");
    let o = lab(&dir, &["replay", "f.toml", "--events", "log.jsonl"]);
    assert_eq!(o.status.code(), Some(1), "{}", err(&o));
    assert!(out(&o).contains("the day as it was found"), "{}", out(&o));
    assert!(lines(&dir, "log.jsonl").iter().any(|l| l["what"]["Attempt"].is_object()));
    // The same day under another policy is another day, and says so.
    std::fs::write(dir.join("g.toml"), found.replace("least-outstanding", "module")).unwrap();
    let o = lab(&dir, &["replay", "g.toml"]);
    assert!(out(&o).contains("not the day that was found"), "{}", out(&o));
}
