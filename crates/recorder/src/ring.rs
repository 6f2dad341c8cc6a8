//! The ring buffer of records, in which a new record overwrites the oldest when it is full.

use crate::record::{EventKind, QueryKey, Record};
use std::cell::{Cell, RefCell};
use std::time::Instant;

/// A recorder that keeps the most recent records in a ring buffer.
#[derive(Debug)]
pub struct Recorder {
    /// When the recorder was created. Record times are relative to this instant.
    started: Instant,
    /// The ring buffer. It has its full length from the start, so that recording never allocates.
    ring: RefCell<Vec<Record>>,
    /// Capacity of the ring buffer in records; 0 if the recorder is disabled.
    capacity: usize,
    /// Number of records ever recorded, including those that were overwritten.
    total: Cell<u64>,
    /// Whether an alarm was raised since the last call of [`Recorder::take_alarm`].
    alarm: Cell<bool>,
}

/// Consecutive records copied from the ring buffer.
///
/// Positions count all records ever recorded, starting at 0.
#[derive(Debug, Default)]
pub struct RecordBatch {
    /// The records, oldest first.
    pub records: Vec<Record>,
    /// The position at which the next batch begins.
    pub next_position: u64,
    /// Number of records from the requested position on that had already been overwritten.
    pub missed: u64,
}

impl Recorder {
    /// Creates a recorder whose ring buffer holds `capacity` records. With a capacity of 0 the recorder is
    /// disabled.
    pub fn new(capacity: usize) -> Recorder {
        let unused = Record { at_us: u64::MAX, ..Record::for_query(EventKind::RequestRead, QueryKey::MAX) };
        Recorder {
            started: Instant::now(),
            ring: RefCell::new(vec![unused; capacity]),
            capacity,
            total: Cell::new(0),
            alarm: Cell::new(false),
        }
    }

    /// Creates a recorder that records nothing.
    pub fn disabled() -> Recorder {
        Recorder::new(0)
    }

    /// Returns whether the recorder is enabled.
    pub fn is_enabled(&self) -> bool {
        self.capacity > 0
    }

    /// Records the record that `make` returns, with its time set to the current time. Does not call `make` if
    /// the recorder is disabled.
    pub fn record(&self, make: impl FnOnce() -> Record) {
        if self.is_enabled() {
            let at_us = self.started.elapsed().as_micros() as u64;
            self.push(Record { at_us, ..make() });
        }
    }

    /// Records the violation of an invariant and raises the alarm, which requests that the ring buffer be
    /// written out. `invariant` is the number of the invariant and replaces the detail of `record`.
    pub fn raise_alarm(&self, invariant: u8, record: Record) {
        self.record(|| Record { kind: EventKind::InvariantViolated, detail: invariant, ..record });
        self.alarm.set(self.is_enabled());
    }

    /// Returns whether an alarm was raised since the last call, and resets the alarm.
    pub fn take_alarm(&self) -> bool {
        self.alarm.replace(false)
    }

    /// Returns the number of records ever recorded, including those that were overwritten.
    pub fn total_recorded(&self) -> u64 {
        self.total.get()
    }

    /// Copies up to `max_records` records, beginning at position `from` or, if that record was overwritten,
    /// at the oldest record in the ring buffer. Position 0 is the first record ever recorded.
    pub fn read_from(&self, from: u64, max_records: usize) -> RecordBatch {
        let ring = self.ring.borrow();
        let total = self.total.get();
        let oldest = total.saturating_sub(self.capacity as u64);
        let start = from.max(oldest);
        let end = total.min(start.saturating_add(max_records as u64));
        RecordBatch {
            records: (start..end).map(|position| ring[self.index_of(position)]).collect(),
            next_position: end.max(from),
            missed: start - from.min(start),
        }
    }

    fn push(&self, record: Record) {
        let position = self.total.get();
        self.ring.borrow_mut()[self.index_of(position)] = record;
        self.total.set(position + 1);
    }

    /// Returns the index in the ring buffer of the record at `position`.
    fn index_of(&self, position: u64) -> usize {
        (position % self.capacity.max(1) as u64) as usize
    }
}
