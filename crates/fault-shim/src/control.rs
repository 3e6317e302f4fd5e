//! The control file, mapped into the process's memory.

use scalebarrow_fault_control::{CONTROL_FILE_BYTES, CONTROL_FILE_VARIABLE, ControlWord};
use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::ptr::null_mut;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// The words of the mapped file.
struct Words(*const AtomicU64);

// SAFETY: the words are only read and written as atomics.
unsafe impl Send for Words {}
// SAFETY: as above.
unsafe impl Sync for Words {}

static WORDS: OnceLock<Option<Words>> = OnceLock::new();

/// Maps the file that the environment names; nothing where it names none.
fn map() -> Option<Words> {
    let path = CString::new(std::env::var_os(CONTROL_FILE_VARIABLE)?.as_bytes()).ok()?;
    // SAFETY: the system calls are made directly, so that none of the functions of this library is entered, and their
    // results are checked. The mapping is never taken away.
    unsafe {
        let file = libc::syscall(libc::SYS_openat, libc::AT_FDCWD, path.as_ptr(), libc::O_RDWR);
        let file = i32::try_from(file).ok().filter(|file| *file >= 0)?;
        let (access, kind) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED);
        let mapped = libc::mmap(null_mut(), CONTROL_FILE_BYTES, access, kind, file, 0);
        libc::syscall(libc::SYS_close, file);
        (mapped != libc::MAP_FAILED).then(|| Words(mapped.cast()))
    }
}

fn word(word: ControlWord) -> Option<&'static AtomicU64> {
    let words = WORDS.get_or_init(map).as_ref()?;
    // SAFETY: the mapping holds all words of the enumeration and stays for the life of the process.
    Some(unsafe { &*words.0.add(word as usize) })
}

/// The value of a word; 0 where there is no file.
pub fn get(name: ControlWord) -> u64 {
    word(name).map_or(0, |word| word.load(Ordering::Relaxed))
}

/// Counts one fault.
pub fn count(name: ControlWord) {
    if let Some(word) = word(name) {
        word.fetch_add(1, Ordering::Relaxed);
    }
}
