//! Retries of calls that fail for a lack of local resources.

use pinetrestle_system_calls::retry_transient_errors;
use rustix::io::Errno;
use std::cell::Cell;
use std::future::pending;
use std::io;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::time::{timeout, Instant};

/// Time within which a call has to succeed.
const CALL_TIMEOUT: Duration = Duration::from_millis(60);
/// The table of open files is full.
const LOCAL_ERROR: Errno = Errno::NFILE;

#[test]
fn a_call_that_hangs_after_a_local_error_fails_with_that_error_at_the_deadline() {
    let runtime = Builder::new_current_thread().enable_time().build().expect("a runtime");
    let calls = Cell::new(0);
    let call = || {
        calls.set(calls.get() + 1);
        let is_first = calls.get() == 1;
        async move {
            if is_first {
                return Err(io::Error::from_raw_os_error(LOCAL_ERROR.raw_os_error()));
            }
            pending::<io::Result<()>>().await
        }
    };
    let result = runtime.block_on(async {
        timeout(Duration::from_secs(5), retry_transient_errors(Instant::now() + CALL_TIMEOUT, call)).await
    });
    let error = result.expect("the call ends at its deadline").expect_err("the call fails");
    assert_eq!((error.raw_os_error(), calls.get()), (Some(LOCAL_ERROR.raw_os_error()), 2));
}
