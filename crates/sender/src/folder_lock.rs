//! The lock on the state directory (the folder): two processes that write to one journal damage it.

use std::fs::{File, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::{Duration, Instant};
use tracing::warn;

/// How long a start waits for a process that has just been killed to release the folder.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause between two tries to get the lock.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Why the folder cannot be locked.
#[derive(Debug)]
pub enum LockError {
    /// Another process holds it; its id, if the system tells it.
    Held(Option<u32>),
    /// The folder cannot be opened.
    Io(io::Error),
}

/// An exclusive lock on a folder. The kernel releases it when this is dropped or the process ends, however it
/// ends.
#[derive(Debug)]
pub struct FolderLock {
    _folder: File,
}

impl FolderLock {
    /// Locks a folder. Where the file system has no locks, a warning is logged instead.
    pub fn acquire(folder: &Path) -> Result<Self, LockError> {
        let file = File::open(folder).map_err(LockError::Io)?;
        let started_at = Instant::now();
        loop {
            match file.try_lock() {
                Ok(()) => return Ok(FolderLock { _folder: file }),
                Err(TryLockError::Error(error)) => {
                    warn!(
                        code = "folder-lock",
                        %error,
                        "the folder cannot be locked: a second process on it would not be noticed"
                    );
                    return Ok(FolderLock { _folder: file });
                }
                Err(TryLockError::WouldBlock) if started_at.elapsed() < RELEASE_TIMEOUT => {
                    std::thread::sleep(RETRY_PAUSE);
                }
                Err(TryLockError::WouldBlock) => return Err(LockError::Held(find_holder(&file))),
            }
        }
    }
}

/// The process that holds a lock on this file, according to the system's list of locks.
fn find_holder(file: &File) -> Option<u32> {
    let inode = file.metadata().ok()?.ino().to_string();
    let locks = std::fs::read_to_string("/proc/locks").ok()?;
    locks.lines().find_map(|line| holder_in(line, &inode))
}

/// The process id in a line such as `1: FLOCK  ADVISORY  WRITE 812 08:02:1234 0 EOF`, if the line is about this
/// inode.
fn holder_in(line: &str, inode: &str) -> Option<u32> {
    let mut fields = line.split_whitespace().skip(1);
    let [kind, _, _, process_id, file] =
        [fields.next()?, fields.next()?, fields.next()?, fields.next()?, fields.next()?];
    let is_same_file = kind == "FLOCK" && file.rsplit(':').next() == Some(inode);
    process_id.parse().ok().filter(|_| is_same_file)
}
