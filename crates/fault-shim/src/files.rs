//! Files of the folder that lasts: writes, truncations, renames and the making of files can fail.

use crate::control;
use crate::real::{fail, real};
use libc::{c_char, c_int, c_void, mode_t, off64_t, size_t, ssize_t};
use scalebarrow_fault_control::{ControlWord, FolderFault, STATE_FOLDER_VARIABLE};
use std::ffi::CStr;
use std::os::unix::ffi::OsStrExt;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};

/// Descriptors above this are not told apart.
const MOST_FILES: usize = 4096;
static IN_FOLDER: [AtomicBool; MOST_FILES] = [const { AtomicBool::new(false) }; MOST_FILES];
static FOLDER: OnceLock<Option<Vec<u8>>> = OnceLock::new();

type Open = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;
type Close = unsafe extern "C" fn(c_int) -> c_int;
type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
type Truncate = unsafe extern "C" fn(c_int, off64_t) -> c_int;
type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;
type Sync = unsafe extern "C" fn(c_int) -> c_int;

fn in_folder(path: *const c_char) -> bool {
    let folder =
        FOLDER.get_or_init(|| std::env::var_os(STATE_FOLDER_VARIABLE).map(|f| f.as_bytes().to_vec()));
    // SAFETY: the caller handed a C string to a function that takes one.
    let path = unsafe { CStr::from_ptr(path) }.to_bytes();
    folder.as_ref().is_some_and(|folder| path.starts_with(folder))
}

fn mark(file: c_int, marked: bool) {
    if let Some(place) = usize::try_from(file).ok().and_then(|file| IN_FOLDER.get(file)) {
        place.store(marked, Ordering::Relaxed);
    }
}

fn is_marked(file: c_int) -> bool {
    let place = usize::try_from(file).ok().and_then(|file| IN_FOLDER.get(file));
    place.is_some_and(|place| place.load(Ordering::Relaxed))
}

/// What is wrong with the folder now, and the error that tells it.
fn fault() -> Option<(FolderFault, c_int)> {
    let fault = FolderFault::from_value(control::get(ControlWord::FolderFault));
    let error = match fault {
        FolderFault::None => return None,
        FolderFault::NoSpace | FolderFault::NoSpaceAfterHalf => libc::ENOSPC,
        FolderFault::IoError | FolderFault::IoErrorAfterHalf => libc::EIO,
    };
    Some((fault, error))
}

fn failed(error: c_int) -> c_int {
    control::count(ControlWord::FolderFaults);
    fail(error)
}

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function: `path` has to be a C string.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    let ours = in_folder(path);
    if ours
        && flags & libc::O_CREAT != 0
        && let Some((_, error)) = fault()
    {
        return failed(error);
    }
    let file = real!(open64(path, flags, mode) as Open);
    mark(file, ours);
    file
}

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn close(file: c_int) -> c_int {
    mark(file, false);
    real!(close(file) as Close)
}

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function: `bytes` has to be valid for `count` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, bytes: *const c_void, count: size_t) -> ssize_t {
    if !is_marked(file) {
        return real!(write(file, bytes, count) as Write);
    }
    match fault() {
        None => real!(write(file, bytes, count) as Write),
        // The first half is written; the call for the second half fails, as it is short then.
        Some((FolderFault::NoSpaceAfterHalf | FolderFault::IoErrorAfterHalf, _)) if count > 1 => {
            control::count(ControlWord::FolderFaults);
            real!(write(file, bytes, count / 2) as Write)
        }
        Some((_, error)) => failed(error) as ssize_t,
    }
}

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn ftruncate64(file: c_int, length: off64_t) -> c_int {
    match fault() {
        Some((_, error)) if is_marked(file) => failed(error),
        _ => real!(ftruncate64(file, length) as Truncate),
    }
}

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function: both have to be C strings.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    match fault() {
        Some((_, error)) if in_folder(to) => failed(error),
        _ => real!(rename(from, to) as Rename),
    }
}

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    match fault() {
        Some((_, error)) if is_marked(file) => failed(error),
        _ => real!(fsync(file) as Sync),
    }
}

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    match fault() {
        Some((_, error)) if is_marked(file) => failed(error),
        _ => real!(fdatasync(file) as Sync),
    }
}
