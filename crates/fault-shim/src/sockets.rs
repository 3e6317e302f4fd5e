//! Calls on sockets: each can fail as the manual pages say, or come short.

use crate::chance::{draw, happens};
use crate::control;
use crate::real::{fail, real};
use libc::{c_int, c_void, epoll_event, size_t, sockaddr, socklen_t, ssize_t};
use scalebarrow_fault_control::ControlWord;

type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Receive = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type EpollWait = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;

/// One of the errors, where chance has it.
fn fault(errors: &[c_int]) -> Option<c_int> {
    if !happens(ControlWord::SocketFailRate) {
        return None;
    }
    control::count(ControlWord::SocketFaults);
    Some(fail(errors[draw() as usize % errors.len()]))
}

/// How much of a read or write is asked for.
fn shortened(count: size_t) -> size_t {
    if count < 2 || !happens(ControlWord::ShortRate) {
        return count;
    }
    control::count(ControlWord::SocketFaults);
    1 + draw() as size_t % (count - 1)
}

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let errors = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    fault(&errors).unwrap_or_else(|| real!(socket(domain, kind, protocol) as Socket))
}

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function: `address` has to be valid for `length` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(file: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let errors = [
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::ECONNREFUSED,
        libc::ETIMEDOUT,
        libc::EHOSTUNREACH,
        libc::ENOBUFS,
    ];
    fault(&errors).unwrap_or_else(|| real!(connect(file, address, length) as Connect))
}

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function: `address` and `length` have to be valid or null.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    file: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int,
) -> c_int {
    let errors = [libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::EINTR];
    fault(&errors).unwrap_or_else(|| real!(accept4(file, address, length, flags) as Accept))
}

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function: `bytes` has to be valid for `count` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(file: c_int, bytes: *mut c_void, count: size_t, flags: c_int) -> ssize_t {
    if let Some(failed) = fault(&[libc::EINTR]) {
        return failed as ssize_t;
    }
    let count = if flags & libc::MSG_PEEK == 0 { shortened(count) } else { count };
    real!(recv(file, bytes, count, flags) as Receive)
}

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function: `bytes` has to be valid for `count` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(file: c_int, bytes: *const c_void, count: size_t, flags: c_int) -> ssize_t {
    if let Some(failed) = fault(&[libc::EINTR]) {
        return failed as ssize_t;
    }
    real!(send(file, bytes, shortened(count), flags) as Send)
}

/// Stands before the C library's function.
///
/// # Safety
/// As the C library's function: `events` has to be valid for `count` events.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    file: c_int, events: *mut epoll_event, count: c_int, timeout: c_int,
) -> c_int {
    fault(&[libc::EINTR]).unwrap_or_else(|| real!(epoll_wait(file, events, count, timeout) as EpollWait))
}
