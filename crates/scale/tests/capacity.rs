//! The verb `capacity`: the committed page is up to date with the committed files; all else is tested with
//! small files in a temporary repository.

use scalebarrow_scale::capacity::{Options, run};
use scalebarrow_scale::error::Error;
use scalebarrow_scale::slopes::{MeasurementKind, SlopeFile};
use std::fs;
use std::path::{Path, PathBuf};

const SLOPES: &str = r#"{"slopes": [
  {"id": "held.resident_bytes", "role": "sender", "quantity": "resident memory", "per": "webhook held", "unit": "B",
   "slope": 1000.0, "base": 5e6, "points": [[1000, 6e6], [100000, 1.05e8]], "range": [1000, 100000], "residual": 0.6,
   "kind": "real", "verb": "scalebarrow-scale slope held", "commit": "abc1234"},
  {"id": "down.tries", "role": "receiver", "quantity": "tries", "per": "sender", "unit": "1/s",
   "slope": 0.5, "base": 0.0, "points": [[1, 0.5], [10, 5.0]], "range": [1, 1000], "residual": 0.0,
   "kind": "emulated", "verb": "scalebarrow-lab sweep", "commit": "abc1234"}
]}"#;

const SIZE: &str = r#"
[[constant]]
id = "senders"
value = 10
is = "senders"
from = "operators"

[[constant]]
id = "backlog"
value = 2e6
is = "webhooks held by all"
from = "operators"

[[constant]]
id = "watch_s"
value = 2
unit = "s"
is = "a watch"
from = "src/list.rs"
line = "const WATCH: u64 = 2;"

[[figure]]
id = "held"
table = "sender"
quantity = "webhooks held"
formula = "backlog / senders"

[[figure]]
id = "memory"
table = "sender"
quantity = "memory"
unit = "B"
slope = "held.resident_bytes"
count = "held"
limit = "128000000"
mechanism = ["src/list.rs"]
missing = "store"
top = true

[[figure]]
id = "each"
table = "sender"
quantity = "memory a webhook"
unit = "B"
formula = "{held.resident_bytes} + {down.tries} * 0"

[[figure]]
id = "rest"
table = "machine_lost"
quantity = "calls"
unit = "1/s"
slope = "down.unknown"
count = "senders"
limit = "1"
top = true

[[figure]]
id = "after"
table = "machine_lost"
quantity = "calls, all"
formula = "rest * turn_s"

[[figure]]
id = "answers"
table = "machine_lost"
quantity = "answers"
unit = "s"
formula = "senders / 4"
limit = "1"
at_least = true
top = true

[[missing]]
id = "store"
what = "Bodies on disk."
reason = "First."

[[constant]]
id = "turn_s"
value = 3
is = "a turn"
from = "`scalebarrow-scale day` at abc1234"
kind = "real"

[[figure]]
id = "turns"
table = "sender"
quantity = "two turns"
formula = "2 * turn_s"
"#;

const PAGE_TEMPLATE: &str = "# Page\n\n<!-- begin summary -->\nold\n<!-- end summary -->\n<!-- begin missing -->\n<!-- end missing -->\n\
    Kept.\n<!-- begin sender -->\n<!-- end sender -->\n<!-- begin machine_lost -->\n<!-- end machine_lost -->\n\
    <!-- begin given -->\n<!-- end given -->\n<!-- begin slopes -->\n<!-- end slopes -->\n";

/// A small repository in a temporary folder, which is removed at the end of the test.
struct TestRepository(PathBuf);

impl TestRepository {
    fn new(name: &str) -> TestRepository {
        let root = std::env::temp_dir().join(format!("scalebarrow-capacity-{}-{name}", std::process::id()));
        let repository = TestRepository(root);
        for folder in ["docs/capacity", "src"] {
            fs::create_dir_all(repository.0.join(folder)).unwrap();
        }
        repository.write("src/list.rs", "const WATCH: u64 = 2;\n");
        repository.write("docs/capacity/slopes.json", SLOPES);
        repository.write("docs/capacity/size.toml", SIZE);
        repository.write("docs/CAPACITY.md", PAGE_TEMPLATE);
        repository
    }

    fn write(&self, file: &str, text: &str) {
        fs::write(self.0.join(file), text).unwrap();
    }

    fn page(&self) -> String {
        fs::read_to_string(self.0.join("docs/CAPACITY.md")).unwrap()
    }

    fn run(&self, check: bool) -> Result<(), Error> {
        run(&Options::under(&self.0, check))
    }
}

impl Drop for TestRepository {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn line_starting_with<'a>(page: &'a str, start: &str) -> &'a str {
    page.lines()
        .find(|line| line.starts_with(start))
        .unwrap_or_else(|| panic!("no line begins {start:?}:\n{page}"))
}

#[test]
fn the_committed_page_is_up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let result = run(&Options::under(&root, true));
    assert!(result.is_ok(), "update it with `scalebarrow-scale capacity`: {}", result.unwrap_err());
}

#[test]
fn figures_are_computed_from_slopes_counts_and_formulas() {
    let repository = TestRepository::new("figures");
    repository.run(false).unwrap();
    let page = repository.page();
    for (start, cells) in [
        ("| webhooks held |", "`backlog / senders` | 200,000 | worked out | - | - | - | - |"),
        (
            "| memory |",
            "1 kB x 200,000 + 5 MB (`held.resident_bytes` x `held`) | 205 MB | real slope, 2 times beyond its fit, rough | \
             `scalebarrow-scale slope held` at abc1234, fit from 1,000 to 100,000, residual 60% | \
             128 MB | **0.62** | `src/list.rs`; **missing**: store |",
        ),
        ("| memory a webhook |", "1 kB | worked out from emulated and real | - | - | - | - |"),
        ("| calls |", "`down.unknown` x `senders` + base | not measured | - | - | 1 a second | - | - |"),
        ("| calls, all |", "`rest * turn_s` | not measured | - | - | - | - | - |"),
        ("| answers |", "`senders / 4` | 2.5 s | worked out | - | at least 1 s | 2.5 | - |"),
        ("| two turns |", "`2 * turn_s` | 6 | worked out from real | - | - | - | - |"),
        ("| `turn_s` |", "3 | a turn | `scalebarrow-scale day` at abc1234 (real) |"),
        ("| `watch_s` |", "2 s | a watch | `src/list.rs`: `const WATCH: u64 = 2;` |"),
        ("| 1 | store |", "Bodies on disk. | First. | memory: 205 MB, room **0.62** |"),
        (
            "| `down.tries` |",
            "1: 0.5 a second; 10: 5 a second | 0% | emulated | `scalebarrow-lab sweep` at abc1234 |",
        ),
    ] {
        let line = line_starting_with(&page, start);
        assert!(line.ends_with(cells), "{line}\ndoes not end\n{cells}");
    }
}

#[test]
fn the_summary_is_sorted_by_headroom_and_text_between_tables_is_kept() {
    let repository = TestRepository::new("order");
    repository.run(false).unwrap();
    let page = repository.page();
    let summary = &page[page.find("<!-- begin summary").unwrap()..page.find("<!-- end summary").unwrap()];
    let quantities: Vec<&str> =
        summary.lines().skip(3).map(|line| line.split(" | ").nth(1).unwrap()).collect();
    assert_eq!(quantities, ["memory", "answers", "calls"]);
    assert!(page.starts_with("# Page\n\n<!-- begin summary -->\n|"), "{page}");
    assert!(page.contains("<!-- end missing -->\nKept.\n<!-- begin sender -->"), "{page}");
}

#[test]
fn the_summary_lists_a_broken_limit_without_top() {
    let repository = TestRepository::new("broken");
    repository.write("docs/capacity/size.toml", &SIZE.replacen("top = true", "", 1));
    repository.run(false).unwrap();
    let page = repository.page();
    assert!(
        page.contains(
            "| sender | memory | 205 MB | real slope, 2 times beyond its fit, rough | 128 MB | **0.62** |"
        ),
        "{page}"
    );
}

#[test]
fn check_reports_the_difference_and_writes_nothing() {
    let repository = TestRepository::new("check");
    repository.run(false).unwrap();
    repository.run(true).unwrap();
    let good = repository.page();
    let edited = good.replace("205 MB", "105 MB");
    assert_ne!(edited, good);
    repository.write("docs/CAPACITY.md", &edited);
    let error = repository.run(true).unwrap_err();
    assert_eq!(error.exit_code(), 1);
    let message = error.to_string();
    assert!(message.contains("\n-| memory |") && message.contains("\n+| memory |"), "{message}");
    assert_eq!(repository.page(), edited);
    repository.run(false).unwrap();
    assert_eq!(repository.page(), good);
    repository.write("docs/capacity/slopes.json", &SLOPES.replace("\"slope\": 1000.0", "\"slope\": 1100.0"));
    assert_eq!(repository.run(true).unwrap_err().exit_code(), 1);
}

#[test]
fn figures_without_their_slope_are_not_measured() {
    let repository = TestRepository::new("empty");
    fs::remove_file(repository.0.join("docs/capacity/slopes.json")).unwrap();
    repository.run(false).unwrap();
    let page = repository.page();
    assert!(
        line_starting_with(&page, "| memory |").contains("| not measured | - | - | 128 MB | - |"),
        "{page}"
    );
    assert!(line_starting_with(&page, "| memory a webhook |").contains("| not measured |"), "{page}");
}

/// Each case replaces a text in one of the files and expects an error that contains the last text of the
/// case.
#[test]
fn invalid_input_is_rejected_with_field_and_line() {
    const SIZE_FILE: &str = "docs/capacity/size.toml";
    const SLOPES_FILE: &str = "docs/capacity/slopes.json";
    const PAGE_FILE: &str = "docs/CAPACITY.md";
    let cases = [
        (SIZE_FILE, "value = 10", "value = \"ten\"", "size.toml:4: constant[0].value: "),
        (SIZE_FILE, "value = 10", "value = ", "size.toml:4: "),
        (
            SIZE_FILE,
            "is = \"senders\"",
            "iz = \"senders\"",
            "size.toml:5: constant[0].iz: unknown field `iz`",
        ),
        (SIZE_FILE, "id = \"held\"", "id = \"backlog\"", "size.toml:23: id: \"backlog\" is defined twice"),
        (
            SIZE_FILE,
            "const WATCH: u64 = 2;",
            "const WATCH: u64 = 3;",
            "size.toml:20: line: src/list.rs does not contain",
        ),
        (SIZE_FILE, "from = \"src/list.rs\"", "from = \"src/none.rs\"", "size.toml:19: from: "),
        (
            SIZE_FILE,
            "backlog / senders",
            "backlog / sendrs",
            "size.toml:26: formula: \"sendrs\" is no constant",
        ),
        (SIZE_FILE, "backlog / senders", "backlog / (", "size.toml:26: formula: "),
        (
            SIZE_FILE,
            "backlog / senders",
            "backlog / (senders - 10)",
            "size.toml:26: formula: has no finite value",
        ),
        (
            SIZE_FILE,
            "formula = \"senders / 4\"",
            "count = \"2\"",
            "size.toml:64: figure: needs either slope and count",
        ),
        (
            SIZE_FILE,
            "[\"src/list.rs\"]",
            "[\"src/lost.rs\"]",
            "size.toml:36: mechanism: src/lost.rs does not exist",
        ),
        (
            SIZE_FILE,
            "missing = \"store\"",
            "missing = \"stor\"",
            "size.toml:37: missing: \"stor\" is none of",
        ),
        (SIZE_FILE, "missing = \"store\"", "", "size.toml:74: missing: no figure refers to it"),
        (
            SIZE_FILE,
            "quantity = \"memory\"\nunit = \"B\"",
            "quantity = \"memory\"\nunit = \"s\"",
            "size.toml:29: unit: ",
        ),
        (
            SLOPES_FILE,
            "\"kind\": \"real\"",
            "\"kind\": \"guessed\"",
            "slopes.json: slopes[0].kind: unknown variant `guessed`",
        ),
        (SLOPES_FILE, "\"residual\": 0.0,", "", "slopes.json: slopes[1]: missing field `residual`"),
        (
            PAGE_FILE,
            "<!-- end sender -->",
            "",
            "CAPACITY.md: line 11: the table \"machine_lost\" begins twice or inside",
        ),
        (
            PAGE_FILE,
            "begin sender",
            "begin sendr",
            "CAPACITY.md: line 9: no figure is in the table \"sendr\"",
        ),
        (
            PAGE_FILE,
            "<!-- begin slopes -->\n<!-- end slopes -->",
            "",
            "CAPACITY.md: the table \"slopes\" has no markers",
        ),
        (PAGE_FILE, "<!-- end slopes -->", "", "CAPACITY.md: the table \"slopes\" does not end"),
    ];
    for (index, (file, from, to, expected)) in cases.into_iter().enumerate() {
        let repository = TestRepository::new(&format!("bad-{index}"));
        let path = repository.0.join(file);
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.contains(from), "case {index}: {from:?} is not in {file}");
        repository.write(file, &text.replacen(from, to, 1));
        let page = repository.page();
        let error = repository.run(false).expect_err(&format!("case {index}, {to:?}, is accepted"));
        assert_eq!(error.exit_code(), 2, "case {index}: {error}");
        assert!(error.to_string().contains(expected), "case {index}: {error}\ndoes not contain {expected:?}");
        assert_eq!(repository.page(), page, "case {index}: the page is written");
    }
}

const EXPERIMENT: &str = r#"
name = "capacity-down"
[world.day]
length_s = 40.0
window_s = 10.0
[world.destinations]
count = 5
"#;

/// Results of a sweep: the number of senders, and the attempts in each window of ten seconds.
const RUNS: &str = r#"{"point": [["world.senders.count", "10"]], "windows": [{"at_s": 0.0, "attempts": 900}, {"at_s": 10.0, "attempts": 800}, {"at_s": 20.0, "attempts": 90}, {"at_s": 30.0, "attempts": 700}]}
{"point": [["world.senders.count", "10"]], "windows": [{"at_s": 0.0, "attempts": 900}, {"at_s": 10.0, "attempts": 800}, {"at_s": 20.0, "attempts": 110}, {"at_s": 30.0, "attempts": 700}]}
{"point": [["world.senders.count", "40"]], "windows": [{"at_s": 0.0, "attempts": 900}, {"at_s": 10.0, "attempts": 800}, {"at_s": 20.0, "attempts": 400}, {"at_s": 30.0, "attempts": 700}]}
"#;

impl TestRepository {
    fn with_lab(name: &str) -> TestRepository {
        let repository = TestRepository::new(name);
        for folder in ["experiments", "lab"] {
            fs::create_dir_all(repository.0.join(folder)).unwrap();
        }
        repository.write("experiments/capacity-down.toml", EXPERIMENT);
        repository.write("lab/summary.json", r#"{"experiment": "capacity-down"}"#);
        repository.write("lab/runs.jsonl", RUNS);
        repository
    }

    fn update_from_lab(&self) -> Result<(), Error> {
        run(&Options { lab: Some(self.0.join("lab")), ..Options::under(&self.0, false) })
    }
}

#[test]
fn the_emulated_slope_counts_the_second_half_of_the_day() {
    let repository = TestRepository::with_lab("lab");
    repository.update_from_lab().unwrap();
    let file = SlopeFile::read(&repository.0.join("docs/capacity/slopes.json")).unwrap();
    assert_eq!(file.slopes.len(), 3, "the existing slopes are kept");
    let slope = file.get("emulated.down_tries_per_second").unwrap();
    // 100 (the mean of 90 and 110) and 400 attempts in ten seconds at five destinations are 2 and 8 per
    // second at each.
    assert_eq!(slope.points, [(10.0, 2.0), (40.0, 8.0)]);
    assert!((slope.slope - 0.2).abs() < 1e-9 && slope.base.abs() < 1e-9, "{slope:?}");
    assert_eq!((slope.range, slope.kind), ((10.0, 40.0), MeasurementKind::Emulated));
    repository.run(true).unwrap();
}

#[test]
fn an_invalid_lab_folder_is_rejected_and_nothing_is_written() {
    let cases = [
        (
            "lab/summary.json",
            "capacity-down",
            "sender-scale",
            "summary.json: experiment: \"sender-scale\" and not",
        ),
        (
            "lab/runs.jsonl",
            "\"40\"",
            "\"many\"",
            "runs.jsonl: line 3: point: no count for world.senders.count",
        ),
        (
            "lab/runs.jsonl",
            "\"attempts\": 90}",
            "\"tries\": 90}",
            "runs.jsonl: line 1: windows[2]: missing field `attempts`",
        ),
        ("lab/runs.jsonl", "\"40\"", "\"10\"", "runs.jsonl: world.senders.count: two counts are needed"),
        ("experiments/capacity-down.toml", "count = 5", "", "capacity-down.toml: missing field `count`"),
    ];
    for (index, (file, from, to, expected)) in cases.into_iter().enumerate() {
        let repository = TestRepository::with_lab(&format!("bad-lab-{index}"));
        let text = fs::read_to_string(repository.0.join(file)).unwrap();
        assert!(text.contains(from), "case {index}: {from:?} is not in {file}");
        repository.write(file, &text.replacen(from, to, 1));
        let error = repository.update_from_lab().expect_err(&format!("case {index} is accepted"));
        assert_eq!(error.exit_code(), 2, "case {index}: {error}");
        assert!(error.to_string().contains(expected), "case {index}: {error}\ndoes not contain {expected:?}");
        let slopes = fs::read_to_string(repository.0.join("docs/capacity/slopes.json")).unwrap();
        assert_eq!(
            (repository.page().as_str(), slopes.as_str()),
            (PAGE_TEMPLATE, SLOPES),
            "case {index}: something is written"
        );
    }
    let repository = TestRepository::with_lab("lab-check");
    let options = Options { lab: Some(repository.0.join("lab")), ..Options::under(&repository.0, true) };
    assert_eq!(run(&options).unwrap_err().exit_code(), 2);
}
