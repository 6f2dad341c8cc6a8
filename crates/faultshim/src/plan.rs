//! Which calls fail, how and when.

use crate::real;
use libc::{c_int, timespec};
use std::ffi::{CStr, CString};
use std::sync::atomic::{AtomicU64, Ordering};

/// A call that can be made to fail.
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

/// Names of calls in a plan.
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

/// Names of errors in a plan.
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
    /// Whether it is not about a socket that is there already.
    pub(crate) fn is_anywhere(self) -> bool {
        matches!(self, Call::Socket | Call::EpollWait | Call::Open)
    }
}

/// How a call fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// With this error; nothing is done.
    Error(c_int),
    /// It takes or gives one byte only.
    Short,
}

/// One entry: one in so many of the calls, within a span.
#[derive(Debug)]
struct Rule {
    call: Call,
    fault: Fault,
    one_in: u64,
    from_ms: i64,
    until_ms: i64,
    /// What it adds to the report.
    word: String,
    calls: AtomicU64,
}

/// All entries.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    seed: u64,
    rules: Vec<Rule>,
    /// From when on the wall clock is off, and by how much, in milliseconds.
    realtime: Option<(i64, i64)>,
    report: c_int,
    loaded_ms: i64,
    /// What the paths of files that can't be opened end in; empty where all can.
    files: Vec<u8>,
}

/// The monotonic clock in milliseconds.
fn monotonic_ms() -> i64 {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` outlives the call.
    unsafe { real::clock_gettime()(libc::CLOCK_MONOTONIC, &raw mut time) };
    time.tv_sec * 1000 + time.tv_nsec / 1_000_000
}

/// An even spread of the bits (the finalizer of SplitMix64).
fn spread(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

impl Plan {
    /// The plan that the environment names; an empty one without.
    pub(crate) fn from_environment() -> Plan {
        let mut plan = Plan { report: -1, loaded_ms: monotonic_ms(), ..Plan::default() };
        for entry in std::env::var("FAULTSHIM").unwrap_or_default().split(',').filter(|e| !e.is_empty()) {
            if plan.take(entry).is_none() {
                eprintln!("faultshim: not understood: {entry}");
                std::process::abort();
            }
        }
        plan.files = std::env::var("FAULTSHIM_FILES").unwrap_or_default().into_bytes();
        let path = std::env::var("FAULTSHIM_REPORT").ok().and_then(|path| CString::new(path).ok());
        if let Some(path) = path {
            let flags = libc::O_WRONLY | libc::O_CREAT | libc::O_APPEND | libc::O_CLOEXEC;
            // SAFETY: the path ends in a zero byte and outlives the call.
            plan.report = unsafe { libc::open(path.as_ptr(), flags, 0o644) };
        }
        plan
    }

    fn take(&mut self, entry: &str) -> Option<()> {
        let (name, value) = entry.split_once('=')?;
        let words: Vec<&str> = value.split('/').collect();
        let number = |place: usize, or: i64| words.get(place).map_or(Some(or), |word| word.parse().ok());
        match name {
            "seed" => self.seed = value.parse().ok()?,
            "realtime" => self.realtime = Some((number(1, 0)?, number(0, 0)?)),
            _ => {
                let call = CALLS.iter().find(|known| known.0 == name)?.1;
                let fault = match *words.first()? {
                    "short" => Fault::Short,
                    word => Fault::Error(ERRORS.iter().find(|known| known.0 == word)?.1),
                };
                let (one_in, from_ms, lasts) = (number(1, 1)?, number(2, 0)?, number(3, i64::MAX / 2)?);
                self.rules.push(Rule {
                    call,
                    fault,
                    one_in: u64::try_from(one_in).ok()?.max(1),
                    from_ms,
                    until_ms: from_ms + lasts,
                    word: format!("{name} {}\n", words[0]),
                    calls: AtomicU64::new(0),
                });
            }
        }
        Some(())
    }

    /// Whether any entry is about this call.
    pub(crate) fn concerns(&self, call: Call) -> bool {
        self.rules.iter().any(|rule| rule.call == call)
    }

    /// Whether a file is among those that calls may fail for.
    pub(crate) fn concerns_file(&self, path: &CStr) -> bool {
        !self.files.is_empty() && path.to_bytes().ends_with(&self.files)
    }

    /// The fault that one more call meets.
    pub(crate) fn strikes(&self, call: Call) -> Option<Fault> {
        let now = monotonic_ms() - self.loaded_ms;
        let rules = self.rules.iter().enumerate().filter(|(_, rule)| rule.call == call);
        for (place, rule) in rules.filter(|(_, rule)| (rule.from_ms..rule.until_ms).contains(&now)) {
            let number = rule.calls.fetch_add(1, Ordering::Relaxed);
            let drawn =
                spread(self.seed ^ spread(number.wrapping_add(place as u64) ^ ((place as u64) << 48)));
            if drawn.is_multiple_of(rule.one_in) {
                self.tell(&rule.word);
                return Some(rule.fault);
            }
        }
        None
    }

    /// By how much the wall clock is off now.
    pub(crate) fn realtime_offset_ms(&self) -> i64 {
        let now = monotonic_ms() - self.loaded_ms;
        self.realtime.filter(|(from, _)| now >= *from).map_or(0, |(_, offset)| offset)
    }

    fn tell(&self, word: &str) {
        if self.report >= 0 {
            // SAFETY: the bytes outlive the call.
            unsafe { libc::write(self.report, word.as_ptr().cast(), word.len()) };
        }
    }
}
