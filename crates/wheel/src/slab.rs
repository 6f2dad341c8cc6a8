//! Places of timers, linked into the lists of the wheel's slots.

/// No place.
pub(crate) const NONE: u32 = u32::MAX;
/// Places that are kept when nothing is held.
const KEPT: usize = 1024;

/// Names one timer for good: a place that is used again has another key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key {
    place: u32,
    use_of: u32,
}

/// One place.
#[derive(Debug)]
pub(crate) struct Entry<T> {
    /// When it is due.
    pub(crate) at: u64,
    /// What it holds; nothing while it is free.
    value: Option<T>,
    /// Its neighbours in its slot's list, or the next free place.
    pub(crate) next: u32,
    pub(crate) previous: u32,
    /// Counts the uses of this place.
    use_of: u32,
    /// Its slot.
    pub(crate) slot: u16,
}

#[derive(Debug)]
pub(crate) struct Slab<T> {
    entries: Vec<Entry<T>>,
    free: u32,
    held: usize,
    /// Uses begin here, so that keys of places that were given back stay unknown.
    first_use: u32,
}

impl<T> Slab<T> {
    pub(crate) fn new() -> Slab<T> {
        Slab { entries: Vec::new(), free: NONE, held: 0, first_use: 0 }
    }

    pub(crate) fn len(&self) -> usize {
        self.held
    }

    pub(crate) fn bytes(&self) -> usize {
        self.entries.capacity() * std::mem::size_of::<Entry<T>>()
    }

    /// Takes a place; none once four thousand million are held.
    pub(crate) fn put(&mut self, at: u64, value: T) -> Option<(u32, Key)> {
        let place = if self.free == NONE {
            let place = u32::try_from(self.entries.len()).ok().filter(|place| *place != NONE)?;
            let use_of = self.first_use;
            let entry = Entry { at, value: Some(value), next: NONE, previous: NONE, use_of, slot: 0 };
            self.entries.push(entry);
            place
        } else {
            let place = self.free;
            let entry = &mut self.entries[place as usize];
            self.free = entry.next;
            *entry = Entry { at, value: Some(value), next: NONE, previous: NONE, ..*entry };
            place
        };
        self.held += 1;
        Some((place, Key { place, use_of: self.entries[place as usize].use_of }))
    }

    pub(crate) fn entry(&mut self, place: u32) -> &mut Entry<T> {
        &mut self.entries[place as usize]
    }

    pub(crate) fn at(&self, place: u32) -> &Entry<T> {
        &self.entries[place as usize]
    }

    /// The place of a key, if its timer is still there.
    pub(crate) fn place(&self, key: Key) -> Option<u32> {
        let entry = self.entries.get(key.place as usize)?;
        (entry.use_of == key.use_of && entry.value.is_some()).then_some(key.place)
    }

    /// Frees a place that is in no list any more.
    pub(crate) fn take(&mut self, place: u32) -> Option<T> {
        let free = self.free;
        let entry = &mut self.entries[place as usize];
        let value = entry.value.take()?;
        entry.use_of = entry.use_of.wrapping_add(1);
        entry.next = free;
        self.free = place;
        self.held -= 1;
        if self.held == 0 && self.entries.len() > KEPT {
            let last = self.entries.iter().map(|entry| entry.use_of).max().unwrap_or(0);
            self.first_use = last.wrapping_add(1);
            self.entries = Vec::new();
            self.free = NONE;
        }
        Some(value)
    }
}
