//! Runs each verb of `scalebarrow-lab` from the command line.

mod helpers;
use helpers::{empty_folder, run_lab, stderr, stdout, write_experiment};
use std::path::Path;

/// All destinations are down for three of the eight seconds.
const DOWN_FAULT: &str = "[[world.trouble]]\nwhat = \"down\"\nat_s = 2.0\nfor_s = 3.0\n";

/// The lines of a file, each parsed as JSON.
fn json_lines(dir: &Path, file: &str) -> Vec<serde_json::Value> {
    let text = std::fs::read_to_string(dir.join(file)).unwrap();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

#[test]
fn run_writes_results_from_which_plot_redraws() {
    let dir = empty_folder("run");
    write_experiment(&dir, "e.toml", "name = \"e\"\n", &DOWN_FAULT.replace("down", "drain"));
    let output = run_lab(&dir, &["run", "e.toml", "--seed", "3", "--seeds", "2", "--out", "d"]);
    assert_eq!(output.status.code(), Some(0), "{}{}", stdout(&output), stderr(&output));
    let days = json_lines(&dir, "d/runs.jsonl");
    assert_eq!(days.len(), 2);
    assert!(days.iter().all(|day| day["little_holds"] == true && day["value"].as_f64().unwrap() > 0.5));
    let summary = std::fs::read_to_string(dir.join("d/summary.json")).unwrap();
    assert!(summary.contains("\"simulated\": true") && summary.contains("\"drain\""));
    assert_eq!(run_lab(&dir, &["same", "d", "d"]).status.code(), Some(0));
    let output = run_lab(
        &dir,
        &["run", "e.toml", "--seed", "3", "--seeds", "2", "--policy", "random", "--out", "other"],
    );
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(run_lab(&dir, &["same", "d", "other"]).status.code(), Some(1));
    // An interrupted run can leave a last line that is cut off.
    let mut text = std::fs::read_to_string(dir.join("d/runs.jsonl")).unwrap();
    text.truncate(text.len() - 40);
    std::fs::write(dir.join("d/runs.jsonl"), text).unwrap();
    for plot in ["d/value.svg", "d/latency.png"] {
        std::fs::remove_file(dir.join(plot)).unwrap();
    }
    let output = run_lab(&dir, &["plot", "d"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let svg = std::fs::read_to_string(dir.join("d/value.svg")).unwrap();
    assert!(svg.contains("share of the value asked") && svg.contains("drain"));
    assert!(std::fs::read(dir.join("d/latency.png")).unwrap().starts_with(b"\x89PNG"));
}

#[test]
fn run_exits_with_1_if_the_policy_of_the_file_breaks_a_rule() {
    let dir = empty_folder("broken");
    write_experiment(&dir, "e.toml", "name = \"e\"\n", DOWN_FAULT);
    let output = run_lab(&dir, &["run", "e.toml", "--policy", "random", "--seed", "1", "--out", "d"]);
    // The file names the policy `module`; only violations of that policy change the exit code.
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    write_experiment(&dir, "e.toml", "name = \"e\"\npolicy = \"random\"\n", DOWN_FAULT);
    let output = run_lab(&dir, &["run", "e.toml", "--seed", "1", "--out", "d"]);
    assert_eq!(output.status.code(), Some(1), "{}", stdout(&output));
    assert!(stdout(&output).contains("Returns"), "{}", stdout(&output));
}

#[test]
fn invalid_files_are_rejected_with_file_line_and_field() {
    let dir = empty_folder("bad");
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
    for (before_world, after_world, location, field) in cases {
        write_experiment(&dir, "e.toml", before_world, after_world);
        let output = run_lab(&dir, &["run", "e.toml"]);
        assert_eq!(output.status.code(), Some(2), "{before_world}{after_world}");
        let message = stderr(&output);
        assert!(message.contains(location) && message.contains(field), "{location} {field}: {message}");
    }
    write_experiment(
        &dir,
        "e.toml",
        "name = \"e\"\n",
        "[[sweep]]\nfield = \"world.day.lenth_s\"\nvalues = [1.0]\n",
    );
    let output = run_lab(&dir, &["sweep", "e.toml"]);
    assert!(output.status.code() == Some(2) && stderr(&output).contains("lenth_s"), "{}", stderr(&output));
    assert_eq!(run_lab(&dir, &["run", "none.toml"]).status.code(), Some(2));
    assert_eq!(run_lab(&dir, &["walk"]).status.code(), Some(2));
}

#[test]
fn sweep_varies_any_field_and_compare_pairs_days_by_seed() {
    let dir = empty_folder("sweep");
    let sweep = "[[sweep]]\nfield = \"world.destinations.count\"\nvalues = [2, 40]\n\
                 [[sweep]]\nfield = \"world.kind.0.headroom\"\nvalues = [1.2, 3]\n";
    write_experiment(&dir, "e.toml", "name = \"e\"\n", sweep);
    let output = run_lab(&dir, &["sweep", "e.toml", "--set", "world.day.length_s=5", "--out", "d"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let days = json_lines(&dir, "d/runs.jsonl");
    assert_eq!(days.len(), 4);
    assert_eq!(
        days[3]["point"],
        serde_json::json!([["world.destinations.count", "40"], ["world.kind.0.headroom", "3"]])
    );
    assert_eq!(days[0]["windows"].as_array().unwrap().len(), 5);
    assert!(dir.join("d/cost.svg").exists());

    let output = run_lab(&dir, &["compare", "e.toml", "--with", "module", "--seeds", "3", "--out", "c"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let differences: serde_json::Value =
        serde_json::from_str(&std::fs::read_to_string(dir.join("c/differences.json")).unwrap()).unwrap();
    assert!(differences.as_array().is_some_and(|a| a.len() == 5), "{differences}");
}

#[test]
fn hunt_shrinks_a_broken_rule_to_a_file_that_replay_reproduces() {
    let dir = empty_folder("hunt");
    write_experiment(&dir, "e.toml", "name = \"e\"\npolicy = \"least-outstanding\"\n", "");
    let output = run_lab(&dir, &["hunt", "e.toml", "--days", "64", "--seed", "5", "--out", "f.toml"]);
    assert_eq!(output.status.code(), Some(1), "{}{}", stdout(&output), stderr(&output));
    let found = std::fs::read_to_string(dir.join("f.toml")).unwrap();
    assert!(found.matches("[[world.trouble]]").count() <= 2, "{found}");
    let output = run_lab(&dir, &["replay", "f.toml", "--events", "log.jsonl"]);
    assert_eq!(output.status.code(), Some(1), "{}", stderr(&output));
    assert!(stdout(&output).contains("the day as it was found"), "{}", stdout(&output));
    assert!(json_lines(&dir, "log.jsonl").iter().any(|line| line["what"]["Attempt"].is_object()));
    // With another policy the event log differs, and replay reports it.
    std::fs::write(dir.join("g.toml"), found.replace("least-outstanding", "module")).unwrap();
    let output = run_lab(&dir, &["replay", "g.toml"]);
    assert!(stdout(&output).contains("not the day that was found"), "{}", stdout(&output));
}
