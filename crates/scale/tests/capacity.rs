//! The verb `capacity`: the committed page is the one that the committed files give; made-up files for all else.

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

const PAGE: &str = "# Page\n\n<!-- begin summary -->\nold\n<!-- end summary -->\n<!-- begin missing -->\n<!-- end missing -->\n\
    Kept.\n<!-- begin sender -->\n<!-- end sender -->\n<!-- begin machine_lost -->\n<!-- end machine_lost -->\n\
    <!-- begin given -->\n<!-- end given -->\n<!-- begin slopes -->\n<!-- end slopes -->\n";

/// A made-up repository in a folder of its own.
struct Made(PathBuf);

impl Made {
    fn new(name: &str) -> Made {
        let root = std::env::temp_dir().join(format!("scalebarrow-capacity-{}-{name}", std::process::id()));
        let made = Made(root);
        for folder in ["docs/capacity", "src"] {
            fs::create_dir_all(made.0.join(folder)).unwrap();
        }
        made.put("src/list.rs", "const WATCH: u64 = 2;\n");
        made.put("docs/capacity/slopes.json", SLOPES);
        made.put("docs/capacity/size.toml", SIZE);
        made.put("docs/CAPACITY.md", PAGE);
        made
    }

    fn put(&self, file: &str, text: &str) {
        fs::write(self.0.join(file), text).unwrap();
    }

    fn page(&self) -> String {
        fs::read_to_string(self.0.join("docs/CAPACITY.md")).unwrap()
    }

    fn run(&self, check: bool) -> Result<(), Error> {
        run(&Options::under(&self.0, check))
    }
}

impl Drop for Made {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn line_with<'a>(page: &'a str, start: &str) -> &'a str {
    page.lines()
        .find(|line| line.starts_with(start))
        .unwrap_or_else(|| panic!("no line begins {start:?}:\n{page}"))
}

#[test]
fn the_committed_page_is_the_one_that_the_committed_files_give() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let done = run(&Options::under(&root, true));
    assert!(done.is_ok(), "make it with `scalebarrow-scale capacity`: {}", done.unwrap_err());
}

#[test]
fn figures_follow_from_slopes_counts_and_formulas() {
    let made = Made::new("figures");
    made.run(false).unwrap();
    let page = made.page();
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
        let line = line_with(&page, start);
        assert!(line.ends_with(cells), "{line}\ndoes not end\n{cells}");
    }
}

#[test]
fn what_breaks_first_stands_first_and_prose_stays() {
    let made = Made::new("order");
    made.run(false).unwrap();
    let page = made.page();
    let summary = &page[page.find("<!-- begin summary").unwrap()..page.find("<!-- end summary").unwrap()];
    let quantities: Vec<&str> =
        summary.lines().skip(3).map(|line| line.split(" | ").nth(1).unwrap()).collect();
    assert_eq!(quantities, ["memory", "answers", "calls"]);
    assert!(page.starts_with("# Page\n\n<!-- begin summary -->\n|"), "{page}");
    assert!(page.contains("<!-- end missing -->\nKept.\n<!-- begin sender -->"), "{page}");
}

#[test]
fn a_broken_limit_stands_at_the_top_unasked() {
    let made = Made::new("broken");
    made.put("docs/capacity/size.toml", &SIZE.replacen("top = true", "", 1));
    made.run(false).unwrap();
    let page = made.page();
    assert!(
        page.contains(
            "| sender | memory | 205 MB | real slope, 2 times beyond its fit, rough | 128 MB | **0.62** |"
        ),
        "{page}"
    );
}

#[test]
fn a_check_tells_the_difference_and_writes_nothing() {
    let made = Made::new("check");
    made.run(false).unwrap();
    made.run(true).unwrap();
    let good = made.page();
    let edited = good.replace("205 MB", "105 MB");
    assert_ne!(edited, good);
    made.put("docs/CAPACITY.md", &edited);
    let error = made.run(true).unwrap_err();
    assert_eq!(error.exit_code(), 1);
    let told = error.to_string();
    assert!(told.contains("\n-| memory |") && told.contains("\n+| memory |"), "{told}");
    assert_eq!(made.page(), edited);
    made.run(false).unwrap();
    assert_eq!(made.page(), good);
    made.put("docs/capacity/slopes.json", &SLOPES.replace("\"slope\": 1000.0", "\"slope\": 1100.0"));
    assert_eq!(made.run(true).unwrap_err().exit_code(), 1);
}

#[test]
fn without_slopes_nothing_is_made_up() {
    let made = Made::new("empty");
    fs::remove_file(made.0.join("docs/capacity/slopes.json")).unwrap();
    made.run(false).unwrap();
    let page = made.page();
    assert!(line_with(&page, "| memory |").contains("| not measured | - | - | 128 MB | - |"), "{page}");
    assert!(line_with(&page, "| memory a webhook |").contains("| not measured |"), "{page}");
}

/// Bad input: which file, what is replaced by what, and how the error begins and goes on.
#[test]
fn bad_input_is_refused_with_field_and_line() {
    const SIZE_FILE: &str = "docs/capacity/size.toml";
    const SLOPE_FILE: &str = "docs/capacity/slopes.json";
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
        (SIZE_FILE, "id = \"held\"", "id = \"backlog\"", "size.toml:23: id: \"backlog\" stands twice"),
        (
            SIZE_FILE,
            "const WATCH: u64 = 2;",
            "const WATCH: u64 = 3;",
            "size.toml:20: line: src/list.rs does not hold",
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
            "size.toml:64: figure: has either slope and count",
        ),
        (
            SIZE_FILE,
            "[\"src/list.rs\"]",
            "[\"src/lost.rs\"]",
            "size.toml:36: mechanism: src/lost.rs is not there",
        ),
        (
            SIZE_FILE,
            "missing = \"store\"",
            "missing = \"stor\"",
            "size.toml:37: missing: \"stor\" is none of",
        ),
        (SIZE_FILE, "missing = \"store\"", "", "size.toml:74: missing: no figure names it"),
        (
            SIZE_FILE,
            "quantity = \"memory\"\nunit = \"B\"",
            "quantity = \"memory\"\nunit = \"s\"",
            "size.toml:29: unit: ",
        ),
        (
            SLOPE_FILE,
            "\"kind\": \"real\"",
            "\"kind\": \"guessed\"",
            "slopes.json: slopes[0].kind: unknown variant `guessed`",
        ),
        (SLOPE_FILE, "\"residual\": 0.0,", "", "slopes.json: slopes[1]: missing field `residual`"),
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
            "CAPACITY.md: the table \"slopes\" has no place",
        ),
        (PAGE_FILE, "<!-- end slopes -->", "", "CAPACITY.md: the table \"slopes\" does not end"),
    ];
    for (at, (file, from, to, told)) in cases.into_iter().enumerate() {
        let made = Made::new(&format!("bad-{at}"));
        let path = made.0.join(file);
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.contains(from), "case {at}: {from:?} is not in {file}");
        made.put(file, &text.replacen(from, to, 1));
        let page = made.page();
        let error = made.run(false).expect_err(&format!("case {at}, {to:?}, is taken"));
        assert_eq!(error.exit_code(), 2, "case {at}: {error}");
        assert!(error.to_string().contains(told), "case {at}: {error}\ndoes not tell {told:?}");
        assert_eq!(made.page(), page, "case {at}: the page is written all the same");
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

/// Days of a made-up sweep: senders, and attempts in each span of ten seconds.
const RUNS: &str = r#"{"point": [["world.senders.count", "10"]], "windows": [{"at_s": 0.0, "attempts": 900}, {"at_s": 10.0, "attempts": 800}, {"at_s": 20.0, "attempts": 90}, {"at_s": 30.0, "attempts": 700}]}
{"point": [["world.senders.count", "10"]], "windows": [{"at_s": 0.0, "attempts": 900}, {"at_s": 10.0, "attempts": 800}, {"at_s": 20.0, "attempts": 110}, {"at_s": 30.0, "attempts": 700}]}
{"point": [["world.senders.count", "40"]], "windows": [{"at_s": 0.0, "attempts": 900}, {"at_s": 10.0, "attempts": 800}, {"at_s": 20.0, "attempts": 400}, {"at_s": 30.0, "attempts": 700}]}
"#;

impl Made {
    fn with_lab(name: &str) -> Made {
        let made = Made::new(name);
        for folder in ["experiments", "lab"] {
            fs::create_dir_all(made.0.join(folder)).unwrap();
        }
        made.put("experiments/capacity-down.toml", EXPERIMENT);
        made.put("lab/summary.json", r#"{"experiment": "capacity-down"}"#);
        made.put("lab/runs.jsonl", RUNS);
        made
    }

    fn take_lab(&self) -> Result<(), Error> {
        run(&Options { lab: Some(self.0.join("lab")), ..Options::under(&self.0, false) })
    }
}

#[test]
fn the_emulators_slope_is_that_of_the_second_half_of_its_days() {
    let made = Made::with_lab("lab");
    made.take_lab().unwrap();
    let file = SlopeFile::read(&made.0.join("docs/capacity/slopes.json")).unwrap();
    assert_eq!(file.slopes.len(), 3, "those that were there stay");
    let slope = file.get("emulated.down_tries_per_second").unwrap();
    // 100 and 400 tries in ten seconds at five destinations: 2 and 8 a second at each.
    assert_eq!(slope.points, [(10.0, 2.0), (40.0, 8.0)]);
    assert!((slope.slope - 0.2).abs() < 1e-9 && slope.base.abs() < 1e-9, "{slope:?}");
    assert_eq!((slope.range, slope.kind), ((10.0, 40.0), MeasurementKind::Emulated));
    made.run(true).unwrap();
}

#[test]
fn a_lab_folder_that_cannot_be_used_is_refused_and_nothing_is_written() {
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
    for (at, (file, from, to, told)) in cases.into_iter().enumerate() {
        let made = Made::with_lab(&format!("bad-lab-{at}"));
        let text = fs::read_to_string(made.0.join(file)).unwrap();
        assert!(text.contains(from), "case {at}: {from:?} is not in {file}");
        made.put(file, &text.replacen(from, to, 1));
        let error = made.take_lab().expect_err(&format!("case {at} is taken"));
        assert_eq!(error.exit_code(), 2, "case {at}: {error}");
        assert!(error.to_string().contains(told), "case {at}: {error}\ndoes not tell {told:?}");
        let slopes = fs::read_to_string(made.0.join("docs/capacity/slopes.json")).unwrap();
        assert_eq!(
            (made.page().as_str(), slopes.as_str()),
            (PAGE, SLOPES),
            "case {at}: something is written"
        );
    }
    let made = Made::with_lab("lab-check");
    let both = Options { lab: Some(made.0.join("lab")), ..Options::under(&made.0, true) };
    assert_eq!(run(&both).unwrap_err().exit_code(), 2);
}
