//! Classification of the errors of system calls.

use rustix::io::Errno;
use std::io;

/// Returns whether a call failed because this machine temporarily lacks a resource (ports, file descriptors,
/// memory, a route) or because the call was interrupted. Such an error gives no information about the peer.
pub fn is_transient_local_error(error: &io::Error) -> bool {
    const ERRNOS: [Errno; 11] = [
        Errno::ADDRINUSE,
        Errno::ADDRNOTAVAIL,
        Errno::AGAIN,
        Errno::INTR,
        Errno::MFILE,
        Errno::NETDOWN,
        Errno::NETUNREACH,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::NOSPC, // epoll_ctl: the user has reached max_user_watches
    ];
    is_one_of(error, &ERRNOS)
}

/// Returns whether a read or write on an open connection had no effect because this machine temporarily lacks
/// buffers.
pub fn is_out_of_buffers(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::NOBUFS, Errno::NOMEM])
}

/// Returns whether `accept` failed because this machine lacks the resources to accept any connection. After
/// other errors only the connection to be accepted is lost, and the caller may accept the next one
/// immediately.
pub fn is_accept_resource_error(error: &io::Error) -> bool {
    is_one_of(error, &[Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM])
}

/// Returns whether a file operation failed because of a temporary condition of the disk or of this machine:
/// no space, no quota, an I/O error of the device, no file descriptors. Such an operation may be retried
/// later, unlike one that failed because of a wrong path or missing permission.
pub fn is_transient_disk_error(error: &io::Error) -> bool {
    const ERRNOS: [Errno; 9] = [
        Errno::AGAIN,
        Errno::DQUOT,
        Errno::FBIG,
        Errno::INTR,
        Errno::IO,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOMEM,
        Errno::NOSPC,
    ];
    // A library may have wrapped the operating system's error to add the path of the file. The original error
    // is then the source of the wrapper.
    let source = error.get_ref().and_then(|wrapper| wrapper.source());
    let system = source.and_then(|source| source.downcast_ref::<io::Error>()).unwrap_or(error);
    is_one_of(system, &ERRNOS)
}

fn is_one_of(error: &io::Error, errnos: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| errnos.contains(&errno))
}
