//! Detection of stalls: intervals in which no replica responds, or in which no external event arrives at all.
//!
//! The cause is a pause of this machine, of the network or of a common dependency. Such a stall delays all
//! attempts, so it is not attributed to single replicas.

use super::attempts::is_response;
use super::tuning::{RESUME_DELAY, STALL_MULTIPLE};
use super::FrontNode;
use crate::interface::{Event, Micros, ReplicaId};
use crate::state::{GlobalStall, InFlightAttempt};
use std::collections::BTreeMap;

/// The answers that are expected from replicas in service.
struct PendingAnswers {
    /// For each replica with attempts in flight that are not cancelled, when the oldest of these was sent. In
    /// ascending order.
    oldest_sends: Vec<Micros>,
    /// Maximum of the typical latencies of these attempts.
    typical_latency: Micros,
}

impl FrontNode {
    /// Detects stalls. Has to run before the events of a batch are applied.
    ///
    /// A stall of all replicas: more than half of the replicas in service have attempts in flight, and no
    /// replica has responded for longer than parts usually take. This machine, the network or a common
    /// dependency is then assumed to be paused. Whatever is sent in the meantime is read only after the
    /// pause, and no replica is considered late because of it. The assumption is wrong, and delays hedged
    /// requests, if more than half of the replicas stop responding for good while nothing else is in flight.
    ///
    /// A pause that ends with this batch: at least two replicas have attempts in flight, and no event that a
    /// client or a replica caused has arrived for longer than parts usually take. More events that piled up
    /// during the pause may be waiting to be read, so nothing is sent for a short time.
    pub(super) fn detect_stalls(&mut self, events: &[Event]) {
        let pending = self.pending_answers();
        let too_long = pending.typical_latency.mul_f64(STALL_MULTIPLE);
        let half = self.replicas.values().filter(|replica| replica.in_service()).count() / 2;
        let stalled_from = pending.oldest_sends.get(half).map(|sent_at| self.last_response_at.max(*sent_at));
        if let Some(from) = stalled_from.filter(|from| self.now - *from > too_long) {
            self.global_stall = GlobalStall { from, observed_until: self.now };
        }
        if events.iter().any(is_external) {
            let paused_from =
                pending.oldest_sends.get(1).map(|sent_at| self.last_external_event_at.max(*sent_at));
            if paused_from.is_some_and(|from| self.now - from > too_long) {
                self.resume_sends_at = self.now + RESUME_DELAY;
            }
            self.last_external_event_at = self.now;
        }
    }

    fn pending_answers(&self) -> PendingAnswers {
        let in_service = |id: &ReplicaId| self.replicas.get(id).is_some_and(|replica| replica.in_service());
        let expected = |attempt: &&InFlightAttempt| !attempt.cancelled && in_service(&attempt.replica);
        let mut oldest: BTreeMap<ReplicaId, Micros> = BTreeMap::new();
        let mut typical_latency = Micros(0);
        for attempt in self.in_flight.values().filter(expected) {
            let oldest_send = oldest.entry(attempt.replica).or_insert(attempt.sent_at);
            *oldest_send = attempt.sent_at.min(*oldest_send);
            typical_latency = typical_latency.max(self.typical_latency(attempt.class_step));
        }
        let mut oldest_sends: Vec<Micros> = oldest.into_values().collect();
        oldest_sends.sort_unstable();
        PendingAnswers { oldest_sends, typical_latency }
    }

    /// Returns the time that has passed since a point in time, without the latest stall of all replicas.
    pub(super) fn elapsed_excluding_stall(&self, since: Micros) -> Micros {
        let stalled = self.global_stall.observed_until - self.global_stall.from.max(since);
        self.now - since - stalled.max(Micros(0))
    }
}

/// Returns whether a client or a replica caused an event, as opposed to a timer or a decision of this front
/// node.
fn is_external(event: &Event) -> bool {
    match event {
        Event::Query { .. } | Event::ClientDisconnected(_) => true,
        Event::AttemptEnded { outcome, .. } => is_response(*outcome),
        _ => false,
    }
}
