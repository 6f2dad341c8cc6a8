//! Detects stalls of the machine's disk, so that tests can add them to their time bounds.
//!
//! A thread repeatedly writes a few bytes and syncs them, as each member does for each append to its log, and
//! records every write that took unusually long. A disk that stalls for a second (for example because another
//! program writes gigabytes) stops every member at once, and no time bound can hold then.

use pinetrestle_standins::wall_us;
use std::io::{Seek, SeekFrom, Write};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

/// Pause before each probe of the disk.
const PROBE_PAUSE: Duration = Duration::from_millis(5);
/// The longest time in microseconds that a pause, a write and its sync may take without counting as a stall.
/// Without a stall, the write and the sync take 0.4 ms, after the pause of 5 ms.
const STALL_US: u64 = 50_000;

/// The start and end of each stall, in wall-clock microseconds since the Unix epoch.
static STALLS: Mutex<Vec<(u64, u64)>> = Mutex::new(Vec::new());
static RECORDER: OnceLock<()> = OnceLock::new();

/// Starts the thread that records stalls until the process ends. Further calls do nothing.
pub fn start_recording() {
    RECORDER.get_or_init(|| {
        // In the directory for temporary files, where the members' data directories are too.
        let mut file = tempfile::tempfile().expect("the probe file can be created");
        std::thread::spawn(move || loop {
            let start_us = wall_us();
            std::thread::sleep(PROBE_PAUSE);
            let written = file.seek(SeekFrom::Start(0)).and_then(|_| file.write_all(b"a few bytes"));
            written.and_then(|()| file.sync_data()).expect("the probe file can be written and synced");
            let end_us = wall_us();
            if end_us - start_us > STALL_US {
                STALLS.lock().unwrap_or_else(PoisonError::into_inner).push((start_us, end_us));
            }
        });
    });
}

/// Returns for how many milliseconds the disk stalled between two wall-clock times.
pub fn stalled_ms(from_us: u64, until_us: u64) -> u64 {
    let stalls = STALLS.lock().unwrap_or_else(PoisonError::into_inner);
    let overlap_us =
        |&(start_us, end_us): &(u64, u64)| end_us.min(until_us).saturating_sub(start_us.max(from_us));
    stalls.iter().map(overlap_us).sum::<u64>() / 1000
}
