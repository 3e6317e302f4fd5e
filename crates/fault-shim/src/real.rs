//! Calls to the functions of the C library that this library replaces.

use std::ffi::CStr;

/// The address of the next function with this name in the load order after this library's; null if there is
/// none.
pub fn next_function(name: &CStr) -> *mut libc::c_void {
    // SAFETY: `name` is a C string, and the handle is one that the system defines.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) }
}

/// Calls the function of the C library with this name and type.
macro_rules! real {
    ($name:ident($($arg:expr),*) as $function_type:ty) => {{
        static ADDRESS: std::sync::OnceLock<usize> = std::sync::OnceLock::new();
        let name = concat!(stringify!($name), "\0");
        let find = || {
            let name = std::ffi::CStr::from_bytes_with_nul(name.as_bytes()).unwrap_or_default();
            $crate::real::next_function(name) as usize
        };
        let address = *ADDRESS.get_or_init(find);
        assert_ne!(address, 0, "the C library has no function {name}");
        // SAFETY: the function of the C library with this name has this type.
        let function: $function_type = unsafe { std::mem::transmute::<usize, $function_type>(address) };
        // SAFETY: the caller passes on its own arguments, which are valid for this function.
        unsafe { function($($arg),*) }
    }};
}
pub(crate) use real;

/// Sets `errno` and returns the result of a failed call.
pub fn fail(errno: i32) -> i32 {
    // SAFETY: the location belongs to the calling thread.
    unsafe { *libc::__errno_location() = errno };
    -1
}
