//! The shipped operator file, and alarms while records are written periodically.

use super::{RecorderSettings, RingWriter, ALARM_POLL_INTERVAL};
use pinetrestle_recorder::{EventKind, Record, Recorder};
use slog::Logger;
use std::path::Path;
use std::rc::Rc;
use tokio::time::sleep;

#[test]
fn the_shipped_operator_file_is_valid_and_its_ring_takes_2_mib() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/recorder.json5");
    let settings: RecorderSettings = pinetrestle_operator::read(&file).expect("a valid operator file");
    assert_eq!(settings, RecorderSettings { records: 65_536, ..RecorderSettings::default() });
    assert_eq!(std::mem::size_of::<pinetrestle_recorder::Record>(), pinetrestle_recorder::RECORD_BYTES);
}

#[test]
fn an_alarm_is_handled_while_periodic_writes_are_more_frequent_than_the_alarm_poll() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    let file = std::env::temp_dir().join(format!("flight-{}", std::process::id()));
    let settings = RecorderSettings { records: 16, file: Some(file.clone()), at_exit: false, follow_ms: 50 };
    let recorder = Rc::new(Recorder::new(settings.records));
    let log = Logger::root(slog::Discard, slog::o!());
    let writer = Rc::new(RingWriter { settings, recorder: recorder.clone(), log });
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let run = tokio::task::spawn_local(writer.run(Rc::default()));
        recorder.raise_alarm(1, Record::for_query(EventKind::InvariantViolated, 0));
        sleep(5 * ALARM_POLL_INTERVAL).await;
        run.abort();
    });
    std::fs::remove_file(file).expect("the ring was written to the file");
    assert!(!recorder.take_alarm(), "the alarm is still pending");
}
