//! The control file, mapped into the memory of the process.

use scalebarrow_fault_control::{CONTROL_FILE_BYTES, CONTROL_FILE_VARIABLE, ControlWord};
use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::ptr::null_mut;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// The first word of the mapped file.
struct MappedWords(*const AtomicU64);

// SAFETY: the words are only accessed as atomics.
unsafe impl Send for MappedWords {}
// SAFETY: the words are only accessed as atomics.
unsafe impl Sync for MappedWords {}

static WORDS: OnceLock<Option<MappedWords>> = OnceLock::new();

/// Maps the file that the environment variable names; `None` if it is not set or the file cannot be mapped.
fn map_control_file() -> Option<MappedWords> {
    let path = CString::new(std::env::var_os(CONTROL_FILE_VARIABLE)?.as_bytes()).ok()?;
    // SAFETY: the file is opened and closed by direct system calls, so that no function of this library is
    // entered, and all results are checked. The mapping is never removed.
    unsafe {
        let descriptor = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR);
        let descriptor = i32::try_from(descriptor).ok().filter(|descriptor| *descriptor >= 0)?;
        let (protection, flags) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED);
        let mapped = libc::mmap(null_mut(), CONTROL_FILE_BYTES, protection, flags, descriptor, 0);
        libc::syscall(libc::SYS_close, descriptor);
        (mapped != libc::MAP_FAILED).then(|| MappedWords(mapped.cast()))
    }
}

/// A word of the mapped file; `None` if there is no file.
fn mapped_word(word: ControlWord) -> Option<&'static AtomicU64> {
    let words = WORDS.get_or_init(map_control_file).as_ref()?;
    // SAFETY: the mapping contains all words of the enum and stays until the process ends.
    Some(unsafe { &*words.0.add(word as usize) })
}

/// The value of a word; 0 if there is no file.
pub fn get(word: ControlWord) -> u64 {
    mapped_word(word).map_or(0, |value| value.load(Ordering::Relaxed))
}

/// Adds one to the count in a word.
pub fn increment(word: ControlWord) {
    if let Some(count) = mapped_word(word) {
        count.fetch_add(1, Ordering::Relaxed);
    }
}
