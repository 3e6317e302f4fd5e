//! What all cases share: the folder, the record, the sender and the verdict.

use crate::record::Record;
use crate::sender::Sender;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

pub struct Run {
    pub record: Record,
    pub sender: Sender,
    /// False if the disruption is left out.
    pub trouble: bool,
}

/// A case that takes longer has failed to run.
const TIMEOUT: Duration = Duration::from_secs(115);

/// Ends the sender and this process once the time is over.
fn start_watchdog(pid: Arc<AtomicU32>) {
    thread::spawn(move || {
        thread::sleep(TIMEOUT);
        crate::sender::send_signal(pid.load(Ordering::SeqCst), "KILL");
        println!("the case could not run: it took too long");
        std::process::exit(2);
    });
}

/// Runs a case, which returns where the rule was broken or why it could not run. Returns 1 if the rule was
/// broken, 0 if it held and 2 if the case could not run.
pub fn run_case(folder: &Path, case: impl FnOnce(&mut Run) -> Result<Vec<String>, String>) -> i32 {
    let record = Record::create(&folder.join("record.txt"));
    let root = PathBuf::from(std::env::var_os("REVIEW_ROOT").unwrap_or_else(|| ".".into()));
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&temporary);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let sender = Sender::new(&root, &temporary, &record);
    start_watchdog(sender.current_pid.clone());
    let mut run = Run { record: record.clone(), sender, trouble };
    record.say(if trouble { "with the disruption" } else { "without the disruption" });
    let result = case(&mut run);
    run.sender.kill();
    let code = match result {
        Ok(broken) if broken.is_empty() => {
            record.say("the rule held");
            0
        }
        Ok(broken) => {
            for line in broken.iter().take(10) {
                record.say(&format!("BROKEN: {line}"));
            }
            record.say(&format!("the rule was broken {} times", broken.len()));
            1
        }
        Err(why) => {
            record.say(&format!("the case could not run: {why}"));
            2
        }
    };
    // The sender's log, for the reader of the record.
    if let Ok(log) = std::fs::read_to_string(temporary.join("log")) {
        for line in log.lines().take(400) {
            record.line(&format!("sender's log: {line}"));
        }
    }
    let _ = std::fs::remove_dir_all(&temporary);
    code
}
