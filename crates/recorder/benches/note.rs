//! Cost of recording the events of a part, with the recorder enabled and disabled.
//!
//! Run with `cargo bench -p pinetrestle-recorder`.

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use pinetrestle_recorder::{EventKind, Record, Recorder};
use std::hint::black_box;

/// The events of a part that is sent and answered without a retry or an error.
const EVENTS: [EventKind; 5] = [
    EventKind::AttemptDecided,
    EventKind::PartQueued,
    EventKind::FirstByteWritten,
    EventKind::LastByteWritten,
    EventKind::AnswerRead,
];

fn record_part(recorder: &Recorder, id: &str) {
    for kind in EVENTS {
        recorder.record(|| Record::for_part(kind, black_box(id)).on_connection(12).with_value(3));
    }
}

fn record(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("five events of a part");
    group.throughput(Throughput::Elements(EVENTS.len() as u64));
    let enabled = Recorder::new(65_536);
    let disabled = Recorder::disabled();
    let hashed_id = "a-query-of-another-form-of-id.17.phase2";
    group.bench_function("enabled, hex id", |bencher| {
        bencher.iter(|| record_part(&enabled, "9b1f03aa5c7e2d41.17"))
    });
    group.bench_function("enabled, hashed id", |bencher| bencher.iter(|| record_part(&enabled, hashed_id)));
    group
        .bench_function("disabled", |bencher| bencher.iter(|| record_part(&disabled, "9b1f03aa5c7e2d41.17")));
    group.finish();
}

criterion_group!(benches, record);
criterion_main!(benches);
