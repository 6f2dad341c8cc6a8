//! The C library's own functions, which this library replaces and calls.

use libc::{
    c_char, c_int, c_void, clockid_t, epoll_event, iovec, mode_t, sockaddr, socklen_t, ssize_t, timespec,
};
use std::sync::atomic::{AtomicPtr, Ordering};

/// Looks up the next definition of a symbol after this library's, and caches it. Aborts the process if there
/// is none.
fn next_symbol(cache: &AtomicPtr<c_void>, name: &'static [u8]) -> *mut c_void {
    let cached = cache.load(Ordering::Relaxed);
    if !cached.is_null() {
        return cached;
    }
    // SAFETY: the name ends with a zero byte; `RTLD_NEXT` is a valid handle for `dlsym`.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr().cast::<c_char>()) };
    if found.is_null() {
        std::process::abort();
    }
    cache.store(found, Ordering::Relaxed);
    found
}

/// Defines functions that return the C library's function of the same name and signature.
macro_rules! real {
    ($($name:ident: fn($($argument:ty),*) -> $result:ty;)*) => {
        $(pub(crate) fn $name() -> unsafe extern "C" fn($($argument),*) -> $result {
            type Function = unsafe extern "C" fn($($argument),*) -> $result;
            static CACHE: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
            let found = next_symbol(&CACHE, concat!(stringify!($name), "\0").as_bytes());
            // SAFETY: the C library defines this function with this signature.
            unsafe { std::mem::transmute::<*mut c_void, Function>(found) }
        })*
    };
}

real! {
    accept4: fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    bind: fn(c_int, *const sockaddr, socklen_t) -> c_int;
    connect: fn(c_int, *const sockaddr, socklen_t) -> c_int;
    socket: fn(c_int, c_int, c_int) -> c_int;
    open64: fn(*const c_char, c_int, mode_t) -> c_int;
    recv: fn(c_int, *mut c_void, usize, c_int) -> ssize_t;
    send: fn(c_int, *const c_void, usize, c_int) -> ssize_t;
    writev: fn(c_int, *const iovec, c_int) -> ssize_t;
    epoll_wait: fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
    clock_gettime: fn(clockid_t, *mut timespec) -> c_int;
}
