//! The shim in a process of its own: this test's program, started again with it.

use scalebarrow_fault_control::{
    CONTROL_FILE_VARIABLE, ControlFile, ControlWord, FolderFault, STATE_FOLDER_VARIABLE, find_shim,
};
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Names what the started program is to do.
const ROLE: &str = "FAULT_SHIM_TEST_ROLE";

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("fault-shim-{}-{name}", std::process::id()));
    fs::create_dir_all(&path).unwrap();
    path
}

/// What this test's program prints in a role, with the shim.
fn play(role: &str, control: &ControlFile, folder: &Path) -> String {
    let mut command = Command::new(std::env::current_exe().unwrap());
    command.args(["--exact", "plays_its_role", "--nocapture"]).env(ROLE, role);
    let shim = find_shim(&std::env::current_exe().unwrap()).unwrap();
    command
        .env("LD_PRELOAD", shim)
        .env(CONTROL_FILE_VARIABLE, control.path())
        .env(STATE_FOLDER_VARIABLE, folder);
    String::from_utf8(command.output().unwrap().stdout).unwrap()
}

#[test]
fn plays_its_role() {
    let Ok(role) = std::env::var(ROLE) else { return };
    let folder = PathBuf::from(std::env::var_os(STATE_FOLDER_VARIABLE).unwrap());
    match role.as_str() {
        "wall" => {
            println!("wall={}", SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs());
        }
        "hold" => {
            let since = Instant::now();
            for _ in 0..20 {
                let _ = Instant::now();
            }
            println!("held={}", since.elapsed().as_millis());
        }
        _ => println!("wrote={:?}", fs::write(folder.join("file"), b"0123456789").map_err(|e| e.kind())),
    }
}

fn value(output: &str, name: &str) -> String {
    output.lines().find_map(|line| line.split_once(name)).map(|(_, value)| value.to_owned()).unwrap()
}

#[test]
fn the_wall_clock_is_stepped_either_way() {
    let folder = folder("wall");
    let control = ControlFile::create(&folder.join("control")).unwrap();
    for step in [0_i64, 3600, -3600] {
        control.set_wall_clock_offset(step as f64).unwrap();
        let told: i64 = value(&play("wall", &control, &folder), "wall=").parse().unwrap();
        let here = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs() as i64;
        assert!((told - here - step).abs() < 10, "{told} {here} {step}");
    }
}

#[test]
fn a_reader_of_the_clock_is_held_up() {
    let folder = folder("hold");
    let control = ControlFile::create(&folder.join("control")).unwrap();
    let held = || value(&play("hold", &control, &folder), "held=").parse::<u64>().unwrap();
    assert!(held() < 100);
    control.set(ControlWord::HoldUpRate, scalebarrow_fault_control::FULL_RATE).unwrap();
    control.set(ControlWord::HoldUpMicros, Duration::from_millis(150).as_micros() as u64).unwrap();
    assert!(held() > 300);
    assert!(control.get(ControlWord::HoldUps).unwrap() >= 20);
}

#[test]
fn writes_to_the_folder_fail_as_they_are_told_to() {
    let folder = folder("files");
    let control = ControlFile::create(&folder.join("control")).unwrap();
    let wrote = || value(&play("write", &control, &folder), "wrote=");
    assert_eq!(wrote(), "Ok(())");
    control.set(ControlWord::FolderFault, FolderFault::NoSpace as u64).unwrap();
    assert_eq!(wrote(), "Err(StorageFull)");
    control.set(ControlWord::FolderFault, FolderFault::None as u64).unwrap();
    assert_eq!(wrote(), "Ok(())");
}
