//! The wheel.
//!
//! A moment is read as digits of six bits. A timer lies at the level of the highest digit in which its moment
//! differs from the present, in the slot of that digit: at level 0 a slot is one moment, at level 1 it is 64 of them,
//! and so on. When the present reaches a slot of a higher level, its timers are spread over the levels below, in their
//! order. A timer put into a slot of level 0 directly is always younger than all that were spread into it before,
//! since that happened when the present entered the slot above: hence the order among those of one moment.

use crate::slab::{Key, Slab, NONE};

/// Levels: eleven digits of six bits hold 64 bits.
pub const LEVELS: usize = 11;
const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;

#[derive(Clone, Copy, Debug)]
struct List {
    first: u32,
    last: u32,
}

const EMPTY: List = List { first: NONE, last: NONE };

/// Values held until moments.
#[derive(Debug)]
pub struct Wheel<T> {
    present: u64,
    slab: Slab<T>,
    slots: Box<[List]>,
    /// A bit for each slot that holds timers, by level.
    held: [u64; LEVELS],
}

fn digit(at: u64, level: usize) -> usize {
    (at >> (BITS * level as u32)) as usize & (SLOTS - 1)
}

/// The bits from a place on.
fn from_on(place: usize) -> u64 {
    u64::MAX.checked_shl(place as u32).unwrap_or(0)
}

impl<T> Wheel<T> {
    /// An empty wheel whose present moment is `now`.
    pub fn new(now: u64) -> Wheel<T> {
        let slots = vec![EMPTY; LEVELS * SLOTS].into_boxed_slice();
        Wheel { present: now, slab: Slab::new(), slots, held: [0; LEVELS] }
    }

    /// Timers that are held.
    pub fn len(&self) -> usize {
        self.slab.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.slab.len() == 0
    }

    /// The present moment: the latest the wheel was told, or of the latest timer it fired.
    pub fn present(&self) -> u64 {
        self.present
    }

    /// Bytes of memory that the wheel holds.
    pub fn bytes(&self) -> usize {
        self.slab.bytes() + self.slots.len() * std::mem::size_of::<List>() + std::mem::size_of::<Self>()
    }

    /// Puts a timer in. Its key is good until it fires or is cancelled.
    ///
    /// # Panics
    ///
    /// With four thousand million timers held.
    pub fn insert(&mut self, at: u64, value: T) -> Key {
        let at = at.max(self.present);
        let Some((place, key)) = self.slab.put(at, value) else { panic!("too many timers") };
        self.link(place, at);
        key
    }

    /// Takes a timer out before it fires; none if it has fired or was cancelled before.
    pub fn cancel(&mut self, key: Key) -> Option<T> {
        let place = self.slab.place(key)?;
        self.unlink(place);
        self.slab.take(place)
    }

    /// When a timer is due, as long as it is held.
    pub fn due(&self, key: Key) -> Option<u64> {
        self.slab.place(key).map(|place| self.slab.at(place).at)
    }

    /// The moment by which [`Wheel::pop`] has to be called next: that of the earliest timer, or some moment before
    /// it, at which nothing fires but the wheel can tell more. None while it is empty.
    pub fn next_look(&self) -> Option<u64> {
        self.next_slot().map(|(_, _, at)| at)
    }

    /// The next timer due at `now` or before it, with its moment. Called until there is none: then the present is
    /// `now`. Timers put in between two calls take their place among the rest.
    pub fn pop(&mut self, now: u64) -> Option<(u64, T)> {
        loop {
            let Some((level, slot, at)) = self.next_slot().filter(|(_, _, at)| *at <= now) else {
                self.present = self.present.max(now);
                return None;
            };
            // Those of a slot that began before the present are due now, not in the past.
            self.present = self.present.max(at);
            if level > 0 {
                self.spread(level, slot);
                continue;
            }
            let place = self.slots[slot].first;
            self.unlink(place);
            return self.slab.take(place).map(|value| (at, value));
        }
    }

    /// The earliest slot that holds timers: its level, its place, the first moment of it.
    fn next_slot(&self) -> Option<(usize, usize, u64)> {
        for level in 0..LEVELS {
            // At level 0 the present's own slot counts; above, it was spread when the present entered it.
            let from = digit(self.present, level) + usize::from(level > 0);
            let held = self.held[level] & from_on(from);
            if held != 0 {
                let slot = held.trailing_zeros() as usize;
                let shift = BITS * level as u32;
                // The present with this digit set and all below it at zero.
                let above = self.present.checked_shr(shift + BITS).unwrap_or(0);
                let at = above.checked_shl(shift + BITS).unwrap_or(0) | ((slot as u64) << shift);
                return Some((level, level * SLOTS + slot, at));
            }
        }
        None
    }

    /// Moves the timers of a slot, which the present has just entered, to the levels below.
    fn spread(&mut self, level: usize, slot: usize) {
        let mut place = self.slots[slot].first;
        self.slots[slot] = EMPTY;
        self.held[level] &= !(1 << (slot % SLOTS));
        while place != NONE {
            let (next, at) = (self.slab.at(place).next, self.slab.at(place).at);
            self.link(place, at);
            place = next;
        }
    }

    /// Puts a place at the end of the list of its slot.
    fn link(&mut self, place: u32, at: u64) {
        let differs = at ^ self.present;
        let level = if differs == 0 { 0 } else { (differs.ilog2() / BITS) as usize };
        let slot = level * SLOTS + digit(at, level);
        let last = self.slots[slot].last;
        let entry = self.slab.entry(place);
        (entry.slot, entry.next, entry.previous) = (slot as u16, NONE, last);
        if last == NONE {
            self.slots[slot].first = place;
            self.held[level] |= 1 << digit(at, level);
        } else {
            self.slab.entry(last).next = place;
        }
        self.slots[slot].last = place;
    }

    fn unlink(&mut self, place: u32) {
        let entry = self.slab.at(place);
        let (next, previous, slot) = (entry.next, entry.previous, entry.slot as usize);
        match previous {
            NONE => self.slots[slot].first = next,
            _ => self.slab.entry(previous).next = next,
        }
        match next {
            NONE => self.slots[slot].last = previous,
            _ => self.slab.entry(next).previous = previous,
        }
        if self.slots[slot].first == NONE {
            self.held[slot / SLOTS] &= !(1 << (slot % SLOTS));
        }
    }
}
