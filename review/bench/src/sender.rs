//! One sender, started by the command of the deploy file.

use crate::http::{exchange, free_address};
use crate::record::Record;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The value of `run` in the deploy file.
fn run_command(root: &Path) -> String {
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = deploy.lines().find(|line| line.starts_with("run = ")).expect("a run command");
    line.split('"').nth(1).expect("a quoted command").to_owned()
}

/// Sends a signal to a process, by the signal's name without `SIG`. 0 stands for no process.
pub fn send_signal(pid: u32, name: &str) {
    if pid != 0 {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
    }
}

pub struct Sender {
    pub listen: SocketAddr,
    pub folder: PathBuf,
    root: PathBuf,
    child: Option<Child>,
    /// The id of the running process; 0 if there is none.
    pub current_pid: Arc<AtomicU32>,
    record: Record,
}

impl Sender {
    /// Prepares a sender whose files are in `folder`.
    pub fn new(root: &Path, folder: &Path, record: &Record) -> Self {
        std::fs::create_dir_all(folder.join("state")).expect("a state folder");
        std::fs::create_dir_all(folder.join("tmp")).expect("a temporary folder");
        Sender {
            listen: free_address(1),
            folder: folder.to_owned(),
            root: root.to_owned(),
            child: None,
            current_pid: Arc::default(),
            record: record.clone(),
        }
    }

    /// Writes the configuration as a whole.
    pub fn write_config(&self, config: &str) {
        let new = self.folder.join("config.json.new");
        std::fs::write(&new, config).expect("the configuration can be written");
        std::fs::rename(new, self.folder.join("config.json")).expect("the configuration can be replaced");
    }

    /// Starts the process and waits until it is ready. False if it is not within 30 s.
    pub fn start(&mut self) -> bool {
        let log = File::options().create(true).append(true).open(self.folder.join("log")).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command(&self.root)])
            .current_dir(&self.root)
            .env("LB_CONFIG", self.folder.join("config.json"))
            .env("LB_STATE", self.folder.join("state"))
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", self.listen.to_string())
            .env("TMPDIR", self.folder.join("tmp"))
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("a shell");
        self.record.line(&format!("sender started, process {}", child.id()));
        self.current_pid.store(child.id(), Ordering::SeqCst);
        self.child = Some(child);
        let began_at = Instant::now();
        while began_at.elapsed() < Duration::from_secs(30) {
            let answer =
                exchange(self.listen, b"GET /ready HTTP/1.1\r\nHost: a\r\n\r\n", Duration::from_millis(500));
            if answer.is_some_and(|answer| answer.status() == 200) {
                self.record.line("sender ready");
                return true;
            }
            if !self.is_running() {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        self.current_pid.store(0, Ordering::SeqCst);
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line("sender killed");
        }
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.kill();
    }
}
