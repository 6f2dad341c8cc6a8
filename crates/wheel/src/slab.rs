//! The slab that stores the timers. Unused entries are linked into a free list; the entries of timers are
//! linked into the list of a slot of the wheel.

/// An index that refers to no entry and marks the end of a list.
pub(crate) const NONE: u32 = u32::MAX;
/// The maximum number of entries for which the slab keeps its memory when its last timer is removed.
const RETAINED_ENTRIES: usize = 1024;

/// Identifies a timer. Keys of removed timers stay invalid when their entries are reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TimerKey {
    index: u32,
    generation: u32,
}

/// A slab entry, which is either a timer or free.
#[derive(Debug)]
pub(crate) struct Entry<T> {
    /// The time at which the timer fires.
    pub(crate) deadline: u64,
    /// The value of the timer; `None` while the entry is free.
    value: Option<T>,
    /// Index of the next entry in the list of the slot or, for a free entry, in the free list.
    pub(crate) next: u32,
    /// Index of the previous entry in the list of the slot.
    pub(crate) previous: u32,
    /// Incremented whenever the timer of the entry is removed, so that its key becomes invalid.
    generation: u32,
    /// Index of the slot whose list the entry is in.
    pub(crate) slot: u16,
}

/// The timers of a wheel.
#[derive(Debug)]
pub(crate) struct Slab<T> {
    entries: Vec<Entry<T>>,
    /// Index of the first entry in the free list.
    first_free: u32,
    /// Number of timers.
    len: usize,
    /// The generation that new entries start with. It is greater than the generation of every entry whose
    /// memory was released, so that the keys of those entries stay invalid.
    first_generation: u32,
}

impl<T> Slab<T> {
    pub(crate) fn new() -> Slab<T> {
        Slab { entries: Vec::new(), first_free: NONE, len: 0, first_generation: 0 }
    }

    /// Returns the number of timers.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns the memory that the entries occupy, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.entries.capacity() * std::mem::size_of::<Entry<T>>()
    }

    /// Adds a timer and returns its index and key. Returns `None` if the slab already has `u32::MAX` timers.
    pub(crate) fn insert(&mut self, deadline: u64, value: T) -> Option<(u32, TimerKey)> {
        let index = if self.first_free == NONE {
            self.push_entry(deadline, value)?
        } else {
            self.reuse_entry(deadline, value)
        };
        self.len += 1;
        let generation = self.entries[index as usize].generation;
        Some((index, TimerKey { index, generation }))
    }

    fn push_entry(&mut self, deadline: u64, value: T) -> Option<u32> {
        let index = u32::try_from(self.entries.len()).ok().filter(|index| *index != NONE)?;
        self.entries.push(Entry {
            deadline,
            value: Some(value),
            next: NONE,
            previous: NONE,
            generation: self.first_generation,
            slot: 0,
        });
        Some(index)
    }

    fn reuse_entry(&mut self, deadline: u64, value: T) -> u32 {
        let index = self.first_free;
        let entry = &mut self.entries[index as usize];
        self.first_free = entry.next;
        entry.deadline = deadline;
        entry.value = Some(value);
        entry.next = NONE;
        entry.previous = NONE;
        index
    }

    pub(crate) fn entry(&self, index: u32) -> &Entry<T> {
        &self.entries[index as usize]
    }

    pub(crate) fn entry_mut(&mut self, index: u32) -> &mut Entry<T> {
        &mut self.entries[index as usize]
    }

    /// Returns the index of a timer, or `None` if it was removed.
    pub(crate) fn index_of(&self, key: TimerKey) -> Option<u32> {
        let entry = self.entries.get(key.index as usize)?;
        (entry.generation == key.generation && entry.value.is_some()).then_some(key.index)
    }

    /// Removes a timer, which must already be unlinked from the list of its slot, and returns its value.
    pub(crate) fn remove(&mut self, index: u32) -> Option<T> {
        let entry = &mut self.entries[index as usize];
        let value = entry.value.take()?;
        entry.generation = entry.generation.wrapping_add(1);
        entry.next = self.first_free;
        self.first_free = index;
        self.len -= 1;
        if self.len == 0 && self.entries.len() > RETAINED_ENTRIES {
            self.release_memory();
        }
        Some(value)
    }

    /// Releases the memory of all entries, which must be free.
    fn release_memory(&mut self) {
        let highest = self.entries.iter().map(|entry| entry.generation).max().unwrap_or(0);
        self.first_generation = highest.wrapping_add(1);
        self.entries = Vec::new();
        self.first_free = NONE;
    }
}
