//! Tests the shim in a child process: the program of this test, started again with the shim preloaded.

use scalebarrow_fault_control::{
    CONTROL_FILE_VARIABLE, ControlFile, ControlWord, FolderFault, STATE_FOLDER_VARIABLE, find_shim,
};
use std::fs;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The environment variable with what the child process is to do.
const ROLE_VARIABLE: &str = "FAULT_SHIM_TEST_ROLE";

/// Creates a folder for one test.
fn create_folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("fault-shim-{}-{name}", std::process::id()));
    fs::create_dir_all(&path).unwrap();
    path
}

/// Starts this program as a child process with the shim and a role. Returns what it prints.
fn run_role(role: &str, control: &ControlFile, folder: &Path) -> String {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", "child_process_runs_its_role", "--nocapture"]).env(ROLE_VARIABLE, role);
    let shim = find_shim(&std::env::current_exe().unwrap()).unwrap();
    command
        .env("LD_PRELOAD", shim)
        .env(CONTROL_FILE_VARIABLE, control.path())
        .env(STATE_FOLDER_VARIABLE, folder);
    String::from_utf8(command.output().unwrap().stdout).unwrap()
}

#[test]
fn child_process_runs_its_role() {
    let Ok(role) = std::env::var(ROLE_VARIABLE) else { return };
    let folder = PathBuf::from(std::env::var_os(STATE_FOLDER_VARIABLE).unwrap());
    match role.as_str() {
        "wall" => {
            println!("wall={}", SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs());
        }
        "pause" => {
            let began_at = Instant::now();
            for _ in 0..20 {
                let _ = Instant::now();
            }
            println!("paused={}", began_at.elapsed().as_millis());
        }
        "overwrite" => {
            let file = fs::OpenOptions::new().write(true).open(folder.join("file")).unwrap();
            println!("wrote={:?}", file.write_all_at(b"x", 5).map_err(|error| error.kind()));
        }
        _ => println!(
            "wrote={:?}",
            fs::write(folder.join("file"), b"0123456789").map_err(|error| error.kind())
        ),
    }
}

/// The value that the child process printed after a name.
fn value(output: &str, name: &str) -> String {
    output.lines().find_map(|line| line.split_once(name)).map(|(_, value)| value.to_owned()).unwrap()
}

#[test]
fn the_wall_clock_is_stepped_forward_and_back() {
    let folder = create_folder("wall");
    let control = ControlFile::create(&folder.join("control")).unwrap();
    for step_secs in [0_i64, 3600, -3600] {
        control.set_wall_clock_offset(step_secs as f64).unwrap();
        let child_secs: i64 = value(&run_role("wall", &control, &folder), "wall=").parse().unwrap();
        let parent_secs = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs() as i64;
        assert!((child_secs - parent_secs - step_secs).abs() < 10, "{child_secs} {parent_secs} {step_secs}");
    }
}

#[test]
fn reads_of_the_monotonic_clock_are_followed_by_pauses() {
    let folder = create_folder("pause");
    let control = ControlFile::create(&folder.join("control")).unwrap();
    let paused_ms = || value(&run_role("pause", &control, &folder), "paused=").parse::<u64>().unwrap();
    assert!(paused_ms() < 100);
    control.set(ControlWord::HoldUpRate, scalebarrow_fault_control::FULL_RATE).unwrap();
    control.set(ControlWord::HoldUpMicros, Duration::from_millis(150).as_micros() as u64).unwrap();
    assert!(paused_ms() > 300);
    assert!(control.get(ControlWord::HoldUps).unwrap() >= 20);
}

#[test]
fn writes_to_the_state_folder_fail_while_the_fault_is_set() {
    let folder = create_folder("files");
    let control = ControlFile::create(&folder.join("control")).unwrap();
    let result = |role: &str| value(&run_role(role, &control, &folder), "wrote=");
    let results = || ["write", "overwrite"].map(result);
    assert_eq!(results(), ["Ok(())"; 2]);
    control.set(ControlWord::FolderFault, FolderFault::NoSpace as u64).unwrap();
    assert_eq!(results(), ["Err(StorageFull)"; 2]);
    control.set(ControlWord::FolderFault, FolderFault::None as u64).unwrap();
    assert_eq!(results(), ["Ok(())"; 2]);
}
