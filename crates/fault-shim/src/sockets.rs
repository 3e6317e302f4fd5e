//! Faults of sockets: calls can fail with errors that the manual pages name, or transfer fewer bytes than
//! requested.

use crate::control;
use crate::random::{happens, next_random};
use crate::real::{fail, real};
use libc::{c_int, c_void, epoll_event, size_t, sockaddr, socklen_t, ssize_t};
use scalebarrow_fault_control::ControlWord;

type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Receive = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
type EpollWait = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;

/// Fails the call with one of the errors, at the rate that the control file says. `None` if it does not fail.
fn maybe_fail(errors: &[c_int]) -> Option<c_int> {
    if !happens(ControlWord::SocketFailRate) {
        return None;
    }
    control::increment(ControlWord::SocketFaults);
    Some(fail(errors[next_random() as usize % errors.len()]))
}

/// The byte count for a read or write, which is lower than requested at the rate that the control file says.
fn maybe_shorten(byte_count: size_t) -> size_t {
    if byte_count < 2 || !happens(ControlWord::ShortRate) {
        return byte_count;
    }
    control::increment(ControlWord::SocketFaults);
    1 + next_random() as size_t % (byte_count - 1)
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, socket_type: c_int, protocol: c_int) -> c_int {
    let errors = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    maybe_fail(&errors).unwrap_or_else(|| real!(socket(domain, socket_type, protocol) as Socket))
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function: `address` must be valid for `length` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let errors = [
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::ECONNREFUSED,
        libc::ETIMEDOUT,
        libc::EHOSTUNREACH,
        libc::ENOBUFS,
    ];
    maybe_fail(&errors).unwrap_or_else(|| real!(connect(descriptor, address, length) as Connect))
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function: `address` and `length` must be valid or null.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    descriptor: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int,
) -> c_int {
    let errors = [libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::EINTR];
    maybe_fail(&errors).unwrap_or_else(|| real!(accept4(descriptor, address, length, flags) as Accept))
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function: `bytes` must be valid for `byte_count` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(
    descriptor: c_int, bytes: *mut c_void, byte_count: size_t, flags: c_int,
) -> ssize_t {
    if let Some(failed) = maybe_fail(&[libc::EINTR]) {
        return failed as ssize_t;
    }
    let byte_count = if flags & libc::MSG_PEEK == 0 { maybe_shorten(byte_count) } else { byte_count };
    real!(recv(descriptor, bytes, byte_count, flags) as Receive)
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function: `bytes` must be valid for `byte_count` bytes.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    descriptor: c_int, bytes: *const c_void, byte_count: size_t, flags: c_int,
) -> ssize_t {
    if let Some(failed) = maybe_fail(&[libc::EINTR]) {
        return failed as ssize_t;
    }
    real!(send(descriptor, bytes, maybe_shorten(byte_count), flags) as Send)
}

/// Replaces the function of the C library.
///
/// # Safety
/// As for the C library's function: `events` must be valid for `event_count` events.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    descriptor: c_int, events: *mut epoll_event, event_count: c_int, timeout: c_int,
) -> c_int {
    maybe_fail(&[libc::EINTR])
        .unwrap_or_else(|| real!(epoll_wait(descriptor, events, event_count, timeout) as EpollWait))
}
