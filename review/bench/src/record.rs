//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), began_at: Instant::now() }
    }

    /// Seconds since the run began.
    pub fn secs(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began_at).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.began_at.elapsed().as_secs_f64());
    }

    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
