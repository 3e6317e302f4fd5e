//! Starts the program in a folder of its own.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

pub const WORLD: &str = r#"
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

/// A folder for one test, emptied first.
pub fn folder(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::remove_dir_all(&dir).ok();
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

pub fn lab(dir: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_scalebarrow-lab")).current_dir(dir).args(args).output().unwrap()
}

pub fn out(o: &Output) -> String {
    String::from_utf8_lossy(&o.stdout).into_owned()
}

pub fn err(o: &Output) -> String {
    String::from_utf8_lossy(&o.stderr).into_owned()
}

pub fn write(dir: &Path, file: &str, head: &str, tail: &str) {
    std::fs::write(dir.join(file), format!("{head}{WORLD}{tail}")).unwrap();
}
