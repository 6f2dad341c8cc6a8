//! The ring.

use crate::record::{Key, Record, Step};
use std::cell::{Cell, RefCell};
use std::time::Instant;

/// A bounded ring of records.
#[derive(Debug)]
pub struct Recorder {
    begun: Instant,
    /// As long as it will ever be: its memory is there from the start, and none is asked for later.
    ring: RefCell<Vec<Record>>,
    most: usize,
    /// Records that were noted, all of them.
    noted: Cell<u64>,
    /// Somebody found an invariant broken since this was last asked.
    alarmed: Cell<bool>,
}

/// Some records of the ring, in their order.
#[derive(Debug, Default)]
pub struct Slice {
    /// The records.
    pub records: Vec<Record>,
    /// Where the next slice begins.
    pub next: u64,
    /// Records before this slice that were overwritten before they were handed out.
    pub missed: u64,
}

impl Recorder {
    /// A ring of so many records; none: it notes nothing.
    pub fn new(most: usize) -> Recorder {
        Recorder {
            begun: Instant::now(),
            most,
            ring: RefCell::new(vec![Record { at: u64::MAX, ..Record::of(Step::Read, Key::MAX) }; most]),
            noted: Cell::new(0),
            alarmed: Cell::new(false),
        }
    }

    /// One that notes nothing.
    pub fn off() -> Recorder {
        Recorder::new(0)
    }

    /// Whether it notes anything.
    pub fn is_on(&self) -> bool {
        self.most > 0
    }

    /// Notes what `record` makes, with this moment.
    pub fn note(&self, record: impl FnOnce() -> Record) {
        if self.most > 0 {
            self.keep(Record { at: self.begun.elapsed().as_micros() as u64, ..record() });
        }
    }

    /// Notes that an invariant is broken, and that what is in the ring should be written out.
    pub fn alarm(&self, which: u8, record: Record) {
        self.note(|| Record { step: Step::Broken, detail: which, ..record });
        self.alarmed.set(self.most > 0);
    }

    /// Whether there was an alarm since this was last asked.
    pub fn take_alarm(&self) -> bool {
        self.alarmed.replace(false)
    }

    fn keep(&self, record: Record) {
        let noted = self.noted.get();
        let place = (noted % self.most as u64) as usize;
        self.ring.borrow_mut()[place] = record;
        self.noted.set(noted + 1);
    }

    /// Records that were noted since the start, also those that are gone.
    pub fn noted(&self) -> u64 {
        self.noted.get()
    }

    /// At most so many records from that one on, counted from the first ever noted, or from the oldest that is
    /// still there.
    pub fn slice(&self, from: u64, most: usize) -> Slice {
        let ring = self.ring.borrow();
        let noted = self.noted.get();
        let oldest = noted.saturating_sub(self.most as u64);
        let start = from.max(oldest);
        let end = noted.min(start.saturating_add(most as u64));
        let records = (start..end).map(|place| ring[(place % self.most.max(1) as u64) as usize]).collect();
        Slice { records, next: end.max(from), missed: start - from.min(start) }
    }
}
