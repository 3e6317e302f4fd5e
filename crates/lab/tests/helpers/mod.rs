//! Runs `scalebarrow-lab` in a folder of the test's own.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// The world of the experiments: eight seconds, one kind of destination, one event type.
pub const SMALL_WORLD: &str = r#"
[world.day]
length_s = 8.0

[world.clients]
rate = 40.0

[[world.kind]]
name = "plain"

[[world.event_type]]
name = "order"
ttl_s = 6.0
known_s = 6.0
"#;

/// Creates an empty folder for one test, removing what an earlier run left there.
pub fn empty_folder(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::remove_dir_all(&dir).ok();
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Runs the program in the folder and waits for its end.
pub fn run_lab(dir: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_scalebarrow-lab")).current_dir(dir).args(args).output().unwrap()
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

pub fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Writes an experiment file: `before_world`, the small world, and `after_world`.
pub fn write_experiment(dir: &Path, file: &str, before_world: &str, after_world: &str) {
    std::fs::write(dir.join(file), format!("{before_world}{SMALL_WORLD}{after_world}")).unwrap();
}
