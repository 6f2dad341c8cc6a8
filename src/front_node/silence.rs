//! Silences of all replicas and standstills of this machine, which delay everything and are no replica's
//! fault.

use super::attempts::is_response;
use super::tuning::{SETTLE_DELAY, SILENCE_MULTIPLE};
use super::FrontNode;
use crate::interface::{Event, Micros, ReplicaId};
use crate::state::{InFlightAttempt, Silence};
use std::collections::BTreeMap;

/// What replicas in service owe us.
struct OwedAnswers {
    /// For each replica that owes an answer, the send of the oldest attempt in flight there; ascending.
    since: Vec<Micros>,
    /// The longest typical latency of these attempts.
    typical_latency: Micros,
}

impl FrontNode {
    /// Detects silences and standstills, before the events of a batch are taken in.
    ///
    /// A silence: more than half of the replicas in service owe an answer, and no replica has responded for
    /// longer than parts take. Then this machine, the network or a common dependency stands still; what is
    /// sent meanwhile is read when it is over, and no replica is late by it. This covers pauses of
    /// everything; it hurts where more than half of the replicas fall silent for good while nothing else is
    /// in flight.
    ///
    /// A standstill that ends now: at least two replicas owe an answer, and for longer than parts take no
    /// event came from outside, clients included. What comes first after it may be the first of many.
    pub(super) fn detect_silence(&mut self, events: &[Event]) {
        let owed = self.owed_answers();
        let too_long = owed.typical_latency.mul_f64(SILENCE_MULTIPLE);
        let half = self.replicas.values().filter(|replica| replica.in_service()).count() / 2;
        let silent_from = owed.since.get(half).map(|since| self.last_response_at.max(*since));
        if let Some(from) = silent_from.filter(|from| self.now - *from > too_long) {
            self.silence = Silence { from, until: self.now };
        }
        if events.iter().any(comes_from_outside) {
            let still_from = owed.since.get(1).map(|since| self.last_external_event_at.max(*since));
            if still_from.is_some_and(|from| self.now - from > too_long) {
                self.settled_at = self.now + SETTLE_DELAY;
            }
            self.last_external_event_at = self.now;
        }
    }

    fn owed_answers(&self) -> OwedAnswers {
        let in_service = |id: &ReplicaId| self.replicas.get(id).is_some_and(|replica| replica.in_service());
        let expected = |attempt: &&InFlightAttempt| !attempt.cancelled && in_service(&attempt.replica);
        let mut oldest: BTreeMap<ReplicaId, Micros> = BTreeMap::new();
        let mut typical_latency = Micros(0);
        for attempt in self.in_flight.values().filter(expected) {
            let since = oldest.entry(attempt.replica).or_insert(attempt.sent_at);
            *since = attempt.sent_at.min(*since);
            typical_latency = typical_latency.max(self.typical_latency(attempt.class_step));
        }
        let mut since: Vec<Micros> = oldest.into_values().collect();
        since.sort_unstable();
        OwedAnswers { since, typical_latency }
    }

    /// The time since a moment, without the latest silence.
    pub(super) fn elapsed_without_silence(&self, since: Micros) -> Micros {
        let silent = self.silence.until - self.silence.from.max(since);
        self.now - since - silent.max(Micros(0))
    }
}

/// Whether an event was brought about by a client or a replica, and not by our own clock or choice.
fn comes_from_outside(event: &Event) -> bool {
    match event {
        Event::Query { .. } | Event::ClientDisconnected(_) => true,
        Event::AttemptEnded { outcome, .. } => is_response(*outcome),
        _ => false,
    }
}
