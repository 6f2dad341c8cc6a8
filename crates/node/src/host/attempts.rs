//! Table of the attempts in flight.

use super::interface::TableSize;
use pinetrestle::interface::{Id, Micros, ReplicaId};
use pinetrestle_protocol::connection::AttemptId;
use pinetrestle_wheel::TimerKey;
use std::collections::{BTreeMap, HashMap};

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct InFlightAttempt {
    pub(super) part: Id,
    /// Number of the attempt among those of its part, from 0.
    pub(super) number: u32,
    /// The replica that the attempt is sent to.
    pub(super) replica: ReplicaId,
    pub(super) sent_at: Micros,
    /// Timer of the attempt's timeout; `None` until it is set.
    pub(super) timer: Option<TimerKey>,
}

/// Identifies an attempt by its part and number, as the decision core does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AttemptKey {
    part: Id,
    number: u32,
}

/// The attempts in flight, indexed by attempt id and by part and number. Connections identify attempts by
/// their id.
#[derive(Default)]
pub(super) struct AttemptTable {
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    ids: HashMap<AttemptKey, AttemptId>,
    last_id: AttemptId,
}

impl AttemptTable {
    /// Adds an attempt and returns its newly assigned id.
    pub(super) fn insert(&mut self, attempt: InFlightAttempt) -> AttemptId {
        self.last_id += 1;
        self.ids.insert(AttemptKey { part: attempt.part, number: attempt.number }, self.last_id);
        self.attempts.insert(self.last_id, attempt);
        self.last_id
    }

    /// Removes an attempt and returns it, or `None` if it has already ended. The caller has to cancel its
    /// timer.
    pub(super) fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        let attempt = self.attempts.remove(&id)?;
        self.ids.remove(&AttemptKey { part: attempt.part, number: attempt.number });
        Some(attempt)
    }

    /// Stores the key of an attempt's timeout timer.
    pub(super) fn set_timer(&mut self, id: AttemptId, timer: TimerKey) {
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.timer = Some(timer);
        }
    }

    /// Returns the id of the attempt with this number, or `None` if it is not in flight.
    pub(super) fn id_of(&self, part: Id, number: u32) -> Option<AttemptId> {
        self.ids.get(&AttemptKey { part, number }).copied()
    }

    /// Returns the part of an attempt, or `None` if the attempt is not in flight.
    pub(super) fn part_of(&self, id: AttemptId) -> Option<Id> {
        self.attempts.get(&id).map(|attempt| attempt.part)
    }

    /// Returns the ids of the attempts of a part that are in flight, in the order of their numbers.
    /// `attempts` is the number of attempts that the part has had.
    pub(super) fn ids_of_part(&self, part: Id, attempts: u32) -> impl Iterator<Item = AttemptId> + '_ {
        (0..attempts).filter_map(move |number| self.id_of(part, number))
    }

    /// Returns the number of attempts of a part that are in flight. `attempts` is the number of attempts that
    /// the part has had.
    pub(super) fn count_of_part(&self, part: Id, attempts: u32) -> usize {
        self.ids_of_part(part, attempts).count()
    }

    /// Returns whether an attempt of a part is in flight. Takes time proportional to the size of the table.
    pub(super) fn is_part_in_flight(&self, part: Id) -> bool {
        self.attempts.values().any(|attempt| attempt.part == part)
    }

    /// Returns the ids of all attempts in flight, oldest first.
    pub(super) fn ids(&self) -> Vec<AttemptId> {
        self.attempts.keys().copied().collect()
    }

    /// Returns the number of attempts in flight.
    pub(super) fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the size of the table, as the total of both indexes.
    pub(super) fn size(&self) -> TableSize {
        TableSize { table: "attempts", entries: self.attempts.len() + self.ids.len() }
    }
}
