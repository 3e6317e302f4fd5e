//! Faults of the state folder: creating, writing, truncating, syncing and renaming its files can fail.

use crate::control;
use crate::real::{fail, real};
use libc::{c_char, c_int, c_void, mode_t, off64_t, size_t, ssize_t};
use scalebarrow_fault_control::{ControlWord, FolderFault, STATE_FOLDER_VARIABLE};
use std::ffi::CStr;
use std::os::unix::ffi::OsStrExt;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

/// Descriptors from this number on are never marked as files of the state folder.
const MAX_DESCRIPTORS: usize = 4096;
/// Whether each descriptor is open on a file of the state folder.
static IN_STATE_FOLDER: [AtomicBool; MAX_DESCRIPTORS] = [const { AtomicBool::new(false) }; MAX_DESCRIPTORS];
/// The path of the state folder.
static STATE_FOLDER: OnceLock<Option<Vec<u8>>> = OnceLock::new();

type Open = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;
type Close = unsafe extern "C" fn(c_int) -> c_int;
type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
type WriteAt = unsafe extern "C" fn(c_int, *const c_void, size_t, off64_t) -> ssize_t;
type Truncate = unsafe extern "C" fn(c_int, off64_t) -> c_int;
type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
type Sync = unsafe extern "C" fn(c_int) -> c_int;

/// Whether a path is inside the state folder.
fn is_in_state_folder(path: *const c_char) -> bool {
    let folder = STATE_FOLDER
        .get_or_init(|| std::env::var_os(STATE_FOLDER_VARIABLE).map(|path| path.as_bytes().to_vec()));
    // SAFETY: the caller passed a C string, as the replaced function requires.
    let path = unsafe { CStr::from_ptr(path) }.to_bytes();
    folder.as_ref().is_some_and(|folder| path.starts_with(folder))
}

/// Records whether a descriptor is open on a file of the state folder.
fn mark(descriptor: c_int, in_state_folder: bool) {
    if let Some(marker) =
        usize::try_from(descriptor).ok().and_then(|descriptor| IN_STATE_FOLDER.get(descriptor))
    {
        marker.store(in_state_folder, Ordering::Relaxed);
    }
}

/// Whether a descriptor is open on a file of the state folder.
fn is_marked(descriptor: c_int) -> bool {
    let marker = usize::try_from(descriptor).ok().and_then(|descriptor| IN_STATE_FOLDER.get(descriptor));
    marker.is_some_and(|marker| marker.load(Ordering::Relaxed))
}

/// The present fault of the state folder with its `errno`; `None` if there is no fault.
fn current_fault() -> Option<(FolderFault, c_int)> {
    let fault = FolderFault::from_value(control::get(ControlWord::FolderFault));
    let errno = match fault {
        FolderFault::None => return None,
        FolderFault::NoSpace | FolderFault::NoSpaceAfterHalf => libc::ENOSPC,
        FolderFault::IoError | FolderFault::IoErrorAfterHalf => libc::EIO,
    };
    Some((fault, errno))
}

/// Fails the call with this `errno`, and counts it.
fn fail_and_count(errno: c_int) -> c_int {
    control::increment(ControlWord::FolderFaults);
    fail(errno)
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function: `path` must be a C string.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let in_state_folder = is_in_state_folder(path);
    if in_state_folder
        && flags & libc::O_CREAT != 0
        && let Some((_, errno)) = current_fault()
    {
        return fail_and_count(errno);
    }
    let descriptor = real!(open64(path, flags, mode) as Open);
    mark(descriptor, in_state_folder);
    descriptor
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn close(descriptor: c_int) -> c_int {
    mark(descriptor, false);
    real!(close(descriptor) as Close)
}

/// How many of these bytes a write to a descriptor may write now, or the `errno` with which it fails.
fn writable_byte_count(descriptor: c_int, byte_count: size_t) -> Result<size_t, c_int> {
    if !is_marked(descriptor) {
        return Ok(byte_count);
    }
    match current_fault() {
        None => Ok(byte_count),
        // The caller writes the rest in further calls, until the one for the last byte fails.
        Some((FolderFault::NoSpaceAfterHalf | FolderFault::IoErrorAfterHalf, _)) if byte_count > 1 => {
            control::increment(ControlWord::FolderFaults);
            Ok(byte_count / 2)
        }
        Some((_, errno)) => Err(errno),
    }
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function: `bytes` must be valid for `byte_count` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(descriptor: c_int, bytes: *const c_void, byte_count: size_t) -> ssize_t {
    match writable_byte_count(descriptor, byte_count) {
        Ok(byte_count) => real!(write(descriptor, bytes, byte_count) as Write),
        Err(errno) => fail_and_count(errno) as ssize_t,
    }
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function: `bytes` must be valid for `byte_count` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pwrite64(
    descriptor: c_int, bytes: *const c_void, byte_count: size_t, offset: off64_t,
) -> ssize_t {
    match writable_byte_count(descriptor, byte_count) {
        Ok(byte_count) => real!(pwrite64(descriptor, bytes, byte_count, offset) as WriteAt),
        Err(errno) => fail_and_count(errno) as ssize_t,
    }
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(descriptor: c_int, length: off64_t) -> c_int {
    match current_fault() {
        Some((_, errno)) if is_marked(descriptor) => fail_and_count(errno),
        _ => real!(ftruncate64(descriptor, length) as Truncate),
    }
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function: both paths must be C strings.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    match current_fault() {
        Some((_, errno)) if is_in_state_folder(to) => fail_and_count(errno),
        _ => real!(rename(from, to) as Rename),
    }
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(descriptor: c_int) -> c_int {
    match current_fault() {
        Some((_, errno)) if is_marked(descriptor) => fail_and_count(errno),
        _ => real!(fsync(descriptor) as Sync),
    }
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(descriptor: c_int) -> c_int {
    match current_fault() {
        Some((_, errno)) if is_marked(descriptor) => fail_and_count(errno),
        _ => real!(fdatasync(descriptor) as Sync),
    }
}
