//! Tests of the classification of errors, and of the retry of interrupted calls.

use pinetrestle_system_calls::{
    is_accept_resource_error, is_out_of_buffers, is_transient_disk_error, is_transient_local_error,
    retry_interrupted,
};
use rustix::io::Errno;
use std::{fmt, io};

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

/// An error as returned by a library that adds the path of the file. Its source is the operating system's
/// error.
#[derive(Debug)]
struct WithPath(io::Error);

impl fmt::Display for WithPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "/store/log: {}", self.0)
    }
}

impl std::error::Error for WithPath {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.0)
    }
}

#[test]
fn transient_local_errors_are_distinguished_from_errors_of_the_peer() {
    for errno in [Errno::ADDRNOTAVAIL, Errno::MFILE, Errno::NOBUFS, Errno::NETUNREACH, Errno::INTR] {
        assert!(is_transient_local_error(&error(errno)), "{errno}");
    }
    for errno in [Errno::CONNREFUSED, Errno::CONNRESET, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        assert!(!is_transient_local_error(&error(errno)), "{errno}");
    }
}

#[test]
fn out_of_buffers_and_accept_resource_errors_are_recognized() {
    assert!(is_out_of_buffers(&error(Errno::NOBUFS)) && is_out_of_buffers(&error(Errno::NOMEM)));
    assert!(!is_out_of_buffers(&error(Errno::MFILE)));
    assert!(is_accept_resource_error(&error(Errno::MFILE)));
    assert!(!is_accept_resource_error(&error(Errno::CONNABORTED)));
}

#[test]
fn transient_disk_errors_are_recognized_with_and_without_a_wrapper() {
    for errno in [Errno::NOSPC, Errno::DQUOT, Errno::FBIG, Errno::IO] {
        let wrapped = io::Error::other(WithPath(error(errno)));
        assert!(is_transient_disk_error(&error(errno)) && is_transient_disk_error(&wrapped), "{errno}");
    }
    for errno in [Errno::NOENT, Errno::ACCESS, Errno::ROFS] {
        let wrapped = io::Error::other(WithPath(error(errno)));
        assert!(!is_transient_disk_error(&error(errno)) && !is_transient_disk_error(&wrapped), "{errno}");
    }
}

#[test]
fn an_interrupted_call_is_retried_until_it_completes() {
    let mut calls = 0;
    let result = retry_interrupted(|| {
        calls += 1;
        if calls < 4 {
            Err(error(Errno::INTR))
        } else {
            Ok(calls)
        }
    });
    assert_eq!(result.unwrap(), 4);
}
