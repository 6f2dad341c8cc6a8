//! A library for tests that is loaded into a process with `LD_PRELOAD` and injects faults into its system
//! calls.
//!
//! The environment variable `FAULTSHIM` contains the fault plan, a comma-separated list of entries:
//!
//! - `seed=7`: seed of the random choice of failing calls. The same seed and the same calls give the same
//!   faults.
//! - `recv=EINTR/300`: one call in 300 fails with this error and has no effect.
//! - `writev=short/20`: one call in 20 transfers one byte only.
//! - `connect=EADDRNOTAVAIL/10/3000/500`: one call in 10 fails, but only in the 500 ms that begin 3,000 ms
//!   after the library was loaded.
//! - `realtime=-3600000/2000`: from 2,000 ms after the library was loaded, `CLOCK_REALTIME` is 3,600,000 ms
//!   behind. The offset is rounded toward zero to whole seconds.
//!
//! Calls: `accept4`, `bind`, `connect`, `epoll_wait`, `open`, `recv`, `send`, `socket`, `writev`. `open`
//! fails only for files whose path ends with the value of `FAULTSHIM_FILES`, `socket` only for IPv4 sockets,
//! and `epoll_wait` for any descriptor. All other calls fail only on TCP sockets over IPv4.
//!
//! Each fault appends a line to the file named by `FAULTSHIM_REPORT`, so that a test can check that faults
//! occurred. A malformed entry aborts the process.

#![warn(missing_docs)]

mod plan;
mod real;

use libc::{
    c_char, c_int, c_void, clockid_t, epoll_event, iovec, mode_t, sockaddr, socklen_t, ssize_t, timespec,
};
use plan::{Call, Fault, Plan};
use std::ffi::CStr;
use std::sync::OnceLock;

static PLAN: OnceLock<Plan> = OnceLock::new();

fn plan() -> &'static Plan {
    PLAN.get_or_init(Plan::from_environment)
}

/// Returns true if the descriptor is a TCP socket over IPv4.
fn is_tcp(descriptor: c_int) -> bool {
    let option = |name| {
        let mut value: c_int = 0;
        let mut length = size_of::<c_int>() as socklen_t;
        // SAFETY: `value` and `length` outlive the call; `length` is the size of `value`.
        let result = unsafe {
            libc::getsockopt(descriptor, libc::SOL_SOCKET, name, (&raw mut value).cast(), &raw mut length)
        };
        (result == 0).then_some(value)
    };
    option(libc::SO_TYPE) == Some(libc::SOCK_STREAM) && option(libc::SO_DOMAIN) == Some(libc::AF_INET)
}

/// Counts the call and returns the fault that the plan injects into it, if any.
fn planned_fault(call: Call, descriptor: c_int) -> Option<Fault> {
    if !plan().has_rule_for(call) || !(call.needs_no_socket() || is_tcp(descriptor)) {
        return None;
    }
    plan().next_fault(call)
}

/// Sets the thread's `errno` and returns -1, the result of a failed call.
fn fail(error: c_int) -> c_int {
    // SAFETY: the C library returns a valid pointer to this thread's `errno`.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Replaces `accept4(2)` and injects errors.
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    descriptor: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    match planned_fault(Call::Accept, descriptor) {
        Some(Fault::Error(error)) => fail(error),
        // SAFETY: arguments as passed by the caller.
        _ => unsafe { real::accept4()(descriptor, address, length, flags) },
    }
}

/// Replaces `bind(2)` and injects errors.
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn bind(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    match planned_fault(Call::Bind, descriptor) {
        Some(Fault::Error(error)) => fail(error),
        // SAFETY: arguments as passed by the caller.
        _ => unsafe { real::bind()(descriptor, address, length) },
    }
}

/// Replaces `connect(2)` and injects errors.
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    match planned_fault(Call::Connect, descriptor) {
        Some(Fault::Error(error)) => fail(error),
        // SAFETY: arguments as passed by the caller.
        _ => unsafe { real::connect()(descriptor, address, length) },
    }
}

/// Replaces `socket(2)` and injects errors for IPv4 sockets.
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let fault = if domain == libc::AF_INET { planned_fault(Call::Socket, -1) } else { None };
    match fault {
        Some(Fault::Error(error)) => fail(error),
        // SAFETY: arguments as passed by the caller.
        _ => unsafe { real::socket()(domain, kind, protocol) },
    }
}

/// Replaces `open64`, which the standard library calls for `open(2)`, and injects errors for the files of the
/// plan.
///
/// # Safety
/// As for the C library's function. `mode` is passed on even if the caller gave none; the C library ignores
/// it then.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the caller guarantees a path that ends with a zero byte.
    let included = plan().includes_file(unsafe { CStr::from_ptr(path) });
    let fault = if included { planned_fault(Call::Open, -1) } else { None };
    match fault {
        Some(Fault::Error(error)) => fail(error),
        // SAFETY: arguments as passed by the caller.
        _ => unsafe { real::open64()(path, flags, mode) },
    }
}

/// Replaces `recv(2)` and injects errors and short reads.
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    buffer: *mut c_void,
    length: usize,
    flags: c_int,
) -> ssize_t {
    let length = match planned_fault(Call::Recv, descriptor) {
        Some(Fault::Error(error)) => return fail(error) as ssize_t,
        Some(Fault::Short) => length.min(1),
        None => length,
    };
    // SAFETY: arguments as passed by the caller, with a length that is at most the caller's.
    unsafe { real::recv()(descriptor, buffer, length, flags) }
}

/// Replaces `send(2)` and injects errors and short writes.
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    buffer: *const c_void,
    length: usize,
    flags: c_int,
) -> ssize_t {
    let length = match planned_fault(Call::Send, descriptor) {
        Some(Fault::Error(error)) => return fail(error) as ssize_t,
        Some(Fault::Short) => length.min(1),
        None => length,
    };
    // SAFETY: arguments as passed by the caller, with a length that is at most the caller's.
    unsafe { real::send()(descriptor, buffer, length, flags) }
}

/// Replaces `writev(2)` and injects errors and short writes.
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn writev(descriptor: c_int, slices: *const iovec, count: c_int) -> ssize_t {
    match planned_fault(Call::Writev, descriptor) {
        Some(Fault::Error(error)) => fail(error) as ssize_t,
        Some(Fault::Short) => {
            // SAFETY: the caller guarantees `count` valid elements at `slices`.
            let all = unsafe { std::slice::from_raw_parts(slices, usize::try_from(count).unwrap_or(0)) };
            let first = all.iter().find(|slice| slice.iov_len > 0);
            let first_byte = first.map(|slice| iovec { iov_base: slice.iov_base, iov_len: 1 });
            match first_byte {
                // SAFETY: the caller guarantees that this slice has at least one byte.
                Some(first_byte) => unsafe { real::writev()(descriptor, &raw const first_byte, 1) },
                None => 0,
            }
        }
        // SAFETY: arguments as passed by the caller.
        None => unsafe { real::writev()(descriptor, slices, count) },
    }
}

/// Replaces `epoll_wait(2)` and injects errors.
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    descriptor: c_int,
    events: *mut epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    match planned_fault(Call::EpollWait, descriptor) {
        Some(Fault::Error(error)) => fail(error),
        // SAFETY: arguments as passed by the caller.
        _ => unsafe { real::epoll_wait()(descriptor, events, max_events, timeout) },
    }
}

/// Replaces `clock_gettime(2)` and offsets `CLOCK_REALTIME`.
///
/// # Safety
/// As for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: arguments as passed by the caller.
    let result = unsafe { real::clock_gettime()(clock, time) };
    if result == 0 && clock == libc::CLOCK_REALTIME && !time.is_null() {
        // SAFETY: `time` is not null, and the successful call above has written it.
        let time = unsafe { &mut *time };
        time.tv_sec += plan().realtime_offset_ms() / 1000;
    }
    result
}
