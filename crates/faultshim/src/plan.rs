//! The fault plan: which calls fail, how and when.

use crate::real;
use libc::{c_int, timespec};
use std::ffi::{CStr, CString};
use std::sync::atomic::{AtomicU64, Ordering};

/// A function of the C library into which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Call {
    Accept,
    Bind,
    Connect,
    EpollWait,
    Open,
    Recv,
    Send,
    Socket,
    Writev,
}

/// Names of the calls in a plan.
const CALLS: [(&str, Call); 9] = [
    ("accept4", Call::Accept),
    ("bind", Call::Bind),
    ("connect", Call::Connect),
    ("epoll_wait", Call::EpollWait),
    ("open", Call::Open),
    ("recv", Call::Recv),
    ("send", Call::Send),
    ("socket", Call::Socket),
    ("writev", Call::Writev),
];

/// Names of the errors in a plan.
const ERRORS: [(&str, c_int); 17] = [
    ("EADDRINUSE", libc::EADDRINUSE),
    ("EADDRNOTAVAIL", libc::EADDRNOTAVAIL),
    ("EAGAIN", libc::EAGAIN),
    ("ECONNABORTED", libc::ECONNABORTED),
    ("ECONNRESET", libc::ECONNRESET),
    ("EHOSTUNREACH", libc::EHOSTUNREACH),
    ("EINTR", libc::EINTR),
    ("EIO", libc::EIO),
    ("EMFILE", libc::EMFILE),
    ("ENETDOWN", libc::ENETDOWN),
    ("ENETUNREACH", libc::ENETUNREACH),
    ("ENFILE", libc::ENFILE),
    ("ENOBUFS", libc::ENOBUFS),
    ("ENOMEM", libc::ENOMEM),
    ("EPERM", libc::EPERM),
    ("EPROTO", libc::EPROTO),
    ("ETIMEDOUT", libc::ETIMEDOUT),
];

impl Call {
    /// Returns true if the call doesn't operate on an existing socket.
    pub(crate) fn needs_no_socket(self) -> bool {
        matches!(self, Call::Socket | Call::EpollWait | Call::Open)
    }
}

/// A fault that is injected into a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The call fails with this `errno` and has no effect.
    Error(c_int),
    /// The call transfers at most one byte.
    Short,
}

/// A plan entry that injects a fault into a fraction of the calls during a time window.
#[derive(Debug)]
struct Rule {
    call: Call,
    fault: Fault,
    /// The fault is injected into one call in this many, on average.
    one_in: u64,
    /// Start of the window, in milliseconds after the library was loaded.
    from_ms: i64,
    /// End of the window, exclusive, in milliseconds after the library was loaded.
    until_ms: i64,
    /// Line that each fault appends to the report file.
    report_line: String,
    /// Number of calls within the window so far.
    calls: AtomicU64,
}

/// An offset of the wall clock.
#[derive(Debug)]
struct ClockOffset {
    /// Start of the offset, in milliseconds after the library was loaded.
    from_ms: i64,
    /// Milliseconds added to the wall clock; negative to set it back.
    offset_ms: i64,
}

/// A parsed fault plan and its report file.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    seed: u64,
    rules: Vec<Rule>,
    realtime: Option<ClockOffset>,
    /// Descriptor of the report file; negative if there is none.
    report: c_int,
    /// Monotonic time in milliseconds at which the library was loaded (at the first intercepted call).
    loaded_ms: i64,
    /// Suffix of the paths for which `open` may fail; empty if it never fails.
    file_suffix: Vec<u8>,
}

/// Returns the monotonic time in milliseconds.
fn monotonic_ms() -> i64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` outlives the call.
    unsafe { real::clock_gettime()(libc::CLOCK_MONOTONIC, &raw mut time) };
    time.tv_sec * 1000 + time.tv_nsec / 1_000_000
}

/// Applies the finalizer of SplitMix64, which gives independent bits for consecutive numbers.
fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

impl Plan {
    /// Parses the plan in the environment; without one, the plan is empty. Aborts the process if an entry is
    /// malformed.
    pub(crate) fn from_environment() -> Plan {
        let mut plan = Plan { report: -1, loaded_ms: monotonic_ms(), ..Plan::default() };
        for entry in std::env::var("FAULTSHIM").unwrap_or_default().split(',').filter(|e| !e.is_empty()) {
            if plan.add_entry(entry).is_none() {
                eprintln!("faultshim: malformed plan entry: {entry}");
                std::process::abort();
            }
        }
        plan.file_suffix = std::env::var("FAULTSHIM_FILES").unwrap_or_default().into_bytes();
        let path = std::env::var("FAULTSHIM_REPORT").ok().and_then(|path| CString::new(path).ok());
        if let Some(path) = path {
            let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC;
            // SAFETY: the path ends with a zero byte and outlives the call.
            plan.report = unsafe { libc::open(path.as_ptr(), flags, 0o644) };
        }
        plan
    }

    /// Parses an entry and adds it; returns `None` if it is malformed.
    fn add_entry(&mut self, entry: &str) -> Option<()> {
        let (name, value) = entry.split_once('=')?;
        let words: Vec<&str> = value.split('/').collect();
        let number =
            |index: usize, default: i64| words.get(index).map_or(Some(default), |word| word.parse().ok());
        match name {
            "seed" => self.seed = value.parse().ok()?,
            "realtime" => {
                let from_ms = number(1, 0)?;
                let offset_ms = number(0, 0)?;
                self.realtime = Some(ClockOffset { from_ms, offset_ms });
            }
            _ => {
                let call = CALLS.iter().find(|known| known.0 == name)?.1;
                let fault = match *words.first()? {
                    "short" => Fault::Short,
                    word => Fault::Error(ERRORS.iter().find(|known| known.0 == word)?.1),
                };
                let one_in = number(1, 1)?;
                let from_ms = number(2, 0)?;
                let duration_ms = number(3, i64::MAX / 2)?;
                self.rules.push(Rule {
                    call,
                    fault,
                    one_in: u64::try_from(one_in).ok()?.max(1),
                    from_ms,
                    until_ms: from_ms + duration_ms,
                    report_line: format!("{name} {}\n", words[0]),
                    calls: AtomicU64::new(0),
                });
            }
        }
        Some(())
    }

    /// Returns true if any entry names this call.
    pub(crate) fn has_rule_for(&self, call: Call) -> bool {
        self.rules.iter().any(|rule| rule.call == call)
    }

    /// Returns true if `open` may fail for this path.
    pub(crate) fn includes_file(&self, path: &CStr) -> bool {
        !self.file_suffix.is_empty() && path.to_bytes().ends_with(&self.file_suffix)
    }

    /// Counts the call and returns the fault to inject into it, if any. Entries whose window is open are
    /// tried in order; those after the first that selects the call don't count it.
    pub(crate) fn next_fault(&self, call: Call) -> Option<Fault> {
        let now = monotonic_ms() - self.loaded_ms;
        let rules = self.rules.iter().enumerate().filter(|(_, rule)| rule.call == call);
        for (index, rule) in rules.filter(|(_, rule)| (rule.from_ms..rule.until_ms).contains(&now)) {
            let number = rule.calls.fetch_add(1, Ordering::Relaxed);
            let index = index as u64;
            let random = mix_bits(self.seed ^ mix_bits(number.wrapping_add(index) ^ (index << 48)));
            if random.is_multiple_of(rule.one_in) {
                self.write_report(&rule.report_line);
                return Some(rule.fault);
            }
        }
        None
    }

    /// Returns the current offset of the wall clock in milliseconds.
    pub(crate) fn realtime_offset_ms(&self) -> i64 {
        let now = monotonic_ms() - self.loaded_ms;
        let offset = self.realtime.as_ref().filter(|offset| now >= offset.from_ms);
        offset.map_or(0, |offset| offset.offset_ms)
    }

    /// Appends a line to the report file, if there is one.
    fn write_report(&self, line: &str) {
        if self.report >= 0 {
            // SAFETY: the line outlives the call, and the length is the line's.
            unsafe { libc::write(self.report, line.as_ptr().cast(), line.len()) };
        }
    }
}
