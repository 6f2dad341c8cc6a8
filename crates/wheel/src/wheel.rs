//! The timing wheel.
//!
//! A time is split into digits of six bits each. A timer is stored at the level of the highest digit in which
//! its deadline differs from the current time, in the slot that this digit selects. A slot spans one unit of
//! time at level 0, 64 units at level 1, and so on.
//!
//! When the current time enters a slot of a higher level, the timers of the slot cascade: they are moved to
//! lower levels in their order. This keeps timers with the same deadline in the order of insertion: a timer
//! can be inserted directly into a slot of level 0 only after the current time has entered the enclosing slot
//! of level 1, and at that point the earlier timers have already cascaded.

use crate::slab::{Slab, TimerKey, NONE};

/// The number of levels of the wheel. Eleven digits of six bits each cover 64 bits.
pub const LEVELS: usize = 11;
/// The number of bits of a digit.
const DIGIT_BITS: u32 = 6;
/// The number of slots of a level.
const SLOTS: usize = 1 << DIGIT_BITS;

/// The linked list of the timers in a slot, as the slab indexes of its first and last entry.
#[derive(Clone, Copy, Debug)]
struct SlotList {
    first: u32,
    last: u32,
}

impl SlotList {
    const EMPTY: SlotList = SlotList { first: NONE, last: NONE };
}

/// The slot with the earliest start of all that have timers.
#[derive(Clone, Copy, Debug)]
struct EarliestSlot {
    level: usize,
    /// Index of the slot in `TimingWheel::slots`.
    index: usize,
    /// The first time that the slot spans.
    starts_at: u64,
}

/// A set of timers, each with a deadline and a value.
#[derive(Debug)]
pub struct TimingWheel<T> {
    now: u64,
    slab: Slab<T>,
    /// The slots of all levels, level 0 first.
    slots: Box<[SlotList]>,
    /// A bit mask for each level, in which the bits of slots that have timers are set.
    occupied: [u64; LEVELS],
}

/// Returns the digit of a time at a level.
fn digit(time: u64, level: usize) -> usize {
    (time >> (DIGIT_BITS * level as u32)) as usize & (SLOTS - 1)
}

/// Returns a mask in which bit `first` and all higher bits are set.
fn bits_from(first: usize) -> u64 {
    u64::MAX.checked_shl(first as u32).unwrap_or(0)
}

impl<T> TimingWheel<T> {
    /// Creates an empty wheel whose current time is `now`.
    pub fn new(now: u64) -> TimingWheel<T> {
        let slots = vec![SlotList::EMPTY; LEVELS * SLOTS].into_boxed_slice();
        TimingWheel { now, slab: Slab::new(), slots, occupied: [0; LEVELS] }
    }

    /// Returns the number of timers.
    pub fn len(&self) -> usize {
        self.slab.len()
    }

    /// Returns whether the wheel has no timers.
    pub fn is_empty(&self) -> bool {
        self.slab.len() == 0
    }

    /// Returns the current time.
    ///
    /// It starts at the time passed to [`TimingWheel::new`]. [`TimingWheel::pop`] advances it to the deadline
    /// of each timer that fires, and to `now` once no more timers are due.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Returns the memory that the wheel occupies, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let slot_bytes = self.slots.len() * std::mem::size_of::<SlotList>();
        self.slab.memory_bytes() + slot_bytes + std::mem::size_of::<Self>()
    }

    /// Inserts a timer and returns its key, which is valid until the timer fires or is cancelled. A deadline
    /// in the past is set to the current time.
    ///
    /// # Panics
    /// Panics if the wheel already has `u32::MAX` timers.
    pub fn insert(&mut self, deadline: u64, value: T) -> TimerKey {
        let deadline = deadline.max(self.now);
        let Some((index, key)) = self.slab.insert(deadline, value) else { panic!("too many timers") };
        self.link(index, deadline);
        key
    }

    /// Cancels a timer and returns its value, or `None` if it has already fired or was cancelled.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let index = self.slab.index_of(key)?;
        self.unlink(index);
        self.slab.remove(index)
    }

    /// Returns the deadline of a timer, or `None` if it has fired or was cancelled.
    pub fn deadline(&self, key: TimerKey) -> Option<u64> {
        self.slab.index_of(key).map(|index| self.slab.entry(index).deadline)
    }

    /// Returns the time at which [`TimingWheel::pop`] has to be called next, or `None` if the wheel is empty.
    ///
    /// This is the earliest deadline, or an earlier time at which timers cascade to lower levels and none
    /// fires.
    pub fn next_wakeup(&self) -> Option<u64> {
        self.earliest_slot().map(|slot| slot.starts_at)
    }

    /// Removes the next timer whose deadline is at or before `now`, and returns its deadline and value.
    ///
    /// Call this method until it returns `None`, which advances the current time to `now`. Timers may be
    /// inserted and cancelled between calls.
    pub fn pop(&mut self, now: u64) -> Option<(u64, T)> {
        loop {
            let Some(slot) = self.earliest_slot().filter(|slot| slot.starts_at <= now) else {
                self.now = self.now.max(now);
                return None;
            };
            // The slot may start before the current time, which must not decrease.
            self.now = self.now.max(slot.starts_at);
            if slot.level > 0 {
                self.cascade(slot);
                continue;
            }
            let index = self.slots[slot.index].first;
            self.unlink(index);
            return self.slab.remove(index).map(|value| (slot.starts_at, value));
        }
    }

    fn earliest_slot(&self) -> Option<EarliestSlot> {
        (0..LEVELS).find_map(|level| self.earliest_slot_of(level))
    }

    fn earliest_slot_of(&self, level: usize) -> Option<EarliestSlot> {
        // At level 0 the slot of the current time can have timers. At higher levels it is empty, because its
        // timers cascaded when the current time entered it.
        let first = digit(self.now, level) + usize::from(level > 0);
        let occupied = self.occupied[level] & bits_from(first);
        if occupied == 0 {
            return None;
        }
        let slot = occupied.trailing_zeros() as usize;
        let shift = DIGIT_BITS * level as u32;
        // The start is the current time with this level's digit set to the slot and all lower digits zero.
        let higher_shift = shift + DIGIT_BITS;
        let higher_digits =
            self.now.checked_shr(higher_shift).unwrap_or(0).checked_shl(higher_shift).unwrap_or(0);
        let starts_at = higher_digits | ((slot as u64) << shift);
        Some(EarliestSlot { level, index: level * SLOTS + slot, starts_at })
    }

    /// Moves the timers of a slot that the current time has just entered to lower levels.
    fn cascade(&mut self, slot: EarliestSlot) {
        let mut index = self.slots[slot.index].first;
        self.slots[slot.index] = SlotList::EMPTY;
        self.occupied[slot.level] &= !(1 << (slot.index % SLOTS));
        while index != NONE {
            let entry = self.slab.entry(index);
            let next = entry.next;
            let deadline = entry.deadline;
            self.link(index, deadline);
            index = next;
        }
    }

    /// Appends an entry to the list of the slot that its deadline selects.
    fn link(&mut self, index: u32, deadline: u64) {
        let difference = deadline ^ self.now;
        let level = difference.checked_ilog2().map_or(0, |bit| (bit / DIGIT_BITS) as usize);
        let slot_of_level = digit(deadline, level);
        let slot = level * SLOTS + slot_of_level;
        let last = self.slots[slot].last;
        let entry = self.slab.entry_mut(index);
        entry.slot = slot as u16;
        entry.next = NONE;
        entry.previous = last;
        if last == NONE {
            self.slots[slot].first = index;
            self.occupied[level] |= 1 << slot_of_level;
        } else {
            self.slab.entry_mut(last).next = index;
        }
        self.slots[slot].last = index;
    }

    /// Unlinks an entry from the list of its slot.
    fn unlink(&mut self, index: u32) {
        let entry = self.slab.entry(index);
        let next = entry.next;
        let previous = entry.previous;
        let slot = entry.slot as usize;
        if previous == NONE {
            self.slots[slot].first = next;
        } else {
            self.slab.entry_mut(previous).next = next;
        }
        if next == NONE {
            self.slots[slot].last = previous;
        } else {
            self.slab.entry_mut(next).previous = previous;
        }
        if self.slots[slot].first == NONE {
            self.occupied[slot / SLOTS] &= !(1 << (slot % SLOTS));
        }
    }
}
