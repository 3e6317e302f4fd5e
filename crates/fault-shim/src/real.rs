//! The functions that this library stands before.

use std::ffi::CStr;

/// The next function of that name after this library's.
pub fn next(name: &CStr) -> *mut libc::c_void {
    // SAFETY: the name is a C string, and the handle is one that the system defines.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}

/// Calls the C library's function of that name.
macro_rules! real {
    ($name:ident($($arg:expr),*) as $kind:ty) => {{
        static FOUND: std::sync::OnceLock<usize> = std::sync::OnceLock::new();
        let name = concat!(stringify!($name), "\0");
        let find = || {
            let name = std::ffi::CStr::from_bytes_with_nul(name.as_bytes()).unwrap_or_default();
            $crate::real::next(name) as usize
        };
        let found = *FOUND.get_or_init(find);
        assert_ne!(found, 0, "{name} is not there");
        // SAFETY: the C library's function of that name has this type, and the caller hands its own arguments on.
        let function: $kind = unsafe { std::mem::transmute::<usize, $kind>(found) };
        // SAFETY: as above.
        unsafe { function($($arg),*) }
    }};
}
pub(crate) use real;

/// Fails a call with that error.
pub fn fail(error: i32) -> i32 {
    // SAFETY: the location is the calling thread's own.
    unsafe { *libc::__errno_location() = error };
    -1
}
