//! What noting a step costs, switched on and off: `cargo bench -p pinetrestle-recorder`.

use criterion::{criterion_group, criterion_main, Criterion, Throughput};
use pinetrestle_recorder::{Record, Recorder, Step};
use std::hint::black_box;

/// The steps of one part on its ordinary path.
const STEPS: [Step; 5] = [Step::Decided, Step::InLine, Step::FirstByte, Step::LastByte, Step::Heard];

fn life(recorder: &Recorder, id: &str) {
    for step in STEPS {
        recorder.note(|| Record::of_part(step, black_box(id)).on(12).with(3));
    }
}

fn note(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a part's five steps");
    group.throughput(Throughput::Elements(STEPS.len() as u64));
    let (on, off) = (Recorder::new(65_536), Recorder::off());
    let hashed = "a-query-of-another-form-of-id.17.phase2";
    group.bench_function("on, hex id", |bencher| bencher.iter(|| life(&on, "9b1f03aa5c7e2d41.17")));
    group.bench_function("on, other id", |bencher| bencher.iter(|| life(&on, hashed)));
    group.bench_function("off", |bencher| bencher.iter(|| life(&off, "9b1f03aa5c7e2d41.17")));
    group.finish();
}

criterion_group!(benches, note);
criterion_main!(benches);
