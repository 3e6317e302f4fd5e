//! The record of a run: what was sent, answered and run, one line each with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Begins a record in a file, which is replaced.
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { began_at: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Adds a line that tells of the present.
    pub fn add(&self, line: &str) {
        self.add_at(Instant::now(), line);
    }

    /// Adds a line that tells of this moment.
    pub fn add_at(&self, at: Instant, line: &str) {
        let line = format!("{:8.3} {line}\n", self.secs(at));
        print!("{line}");
        let _ = self.file.lock().expect("no thread panics with the lock").write_all(line.as_bytes());
    }

    /// Seconds since the start of the run.
    pub fn secs(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began_at).as_secs_f64()
    }
}
