//! Dispatch of events to the subsystems, and the events of clients: queries, their parts and disconnections.

use super::tuning::{FULL_TRY_SHARE, MAX_CONSECUTIVE_SHORT_TRIES};
use super::FrontNode;
use crate::interface::{Action, Event, Id, Micros};
use crate::state::{AttemptId, Part, Query};

/// A query that has just arrived, with the fields of [`Event::Query`].
struct ArrivedQuery {
    id: Id,
    number: u64,
    class: usize,
    tenant: Option<usize>,
    expires_in: Micros,
    work_hint: Option<Micros>,
    retry: bool,
}

impl FrontNode {
    /// Applies an event to the state. Decisions on queries are made later, once for the whole batch.
    pub(super) fn apply_event(&mut self, event: &Event) {
        match *event {
            Event::EndpointList { ref replicas, cached } => self.on_endpoint_list(replicas, cached),
            Event::EndpointListChanged(ref entries) => self.on_endpoint_list_changed(entries),
            Event::WatchFailed(failure) => self.on_watch_failed(failure),
            Event::DiscoveryChanging => self.on_discovery_changing(),
            Event::DiscoveryChanged => self.on_discovery_changed(),
            Event::Query { id, number, class, tenant, expires_in, work_hint, retry } => {
                self.on_query(ArrivedQuery { id, number, class, tenant, expires_in, work_hint, retry });
            }
            Event::Part { id, query_number, shard, weight, work_hint: _ } => {
                self.on_part(query_number, Part { id, shard, weight, ..Part::default() });
            }
            Event::AttemptEnded { part, attempt, outcome, elapsed } => {
                self.on_attempt_ended(AttemptId { part, attempt }, outcome, elapsed);
            }
            Event::ClientDisconnected(id) => self.on_client_disconnected(id),
            Event::TimerFired => self.idle_timer_at = self.idle_timer_at.filter(|at| *at > self.now),
            Event::HealthChecked => {}
        }
    }

    fn on_query(&mut self, arrived: ArrivedQuery) {
        self.count_received();
        let Some(class) = self.settings.classes.get(arrived.class) else {
            // No part of it has run.
            self.actions.push(Action::Reject { query: arrived.id, retry_after: None });
            return;
        };
        let stretch = arrived.work_hint.unwrap_or_default().mul_f64(class.objective_work_factor);
        let objective = (class.latency_objective + stretch).min(class.deadline);
        let waited = self.time_waited_in_earlier_tries(&arrived);
        let query = Query {
            id: arrived.id,
            number: arrived.number,
            class: arrived.class,
            tenant: arrived.tenant,
            arrived_at: self.now,
            objective_at: self.now + (objective - waited),
            deadline_at: self.now + arrived.expires_in,
            marked_retry: self.settings.clients_mark_retries && arrived.retry,
            step: 1,
            ..Query::default()
        };
        // Each query has a timer of its own, so that its final answer does not depend on other timers.
        let time_left = self.give_up_at(&query) - self.now;
        self.actions.push(Action::SetTimer(time_left.max(Micros(0))));
        self.queries.insert(arrived.number, query);
    }

    /// Returns how long the client has already waited in earlier tries of this query.
    ///
    /// A retry that is given less time than the longest try of its class is limited by the client's deadline,
    /// so the time left before the deadline shows how long the client has waited. If clients do not mark
    /// retries, a short try counts as a retry while fewer than [`MAX_CONSECUTIVE_SHORT_TRIES`] short tries
    /// have come in a row. From that number on, the clients of the class are assumed to allow less time for
    /// every try than before.
    fn time_waited_in_earlier_tries(&mut self, arrived: &ArrivedQuery) -> Micros {
        let tries = &mut self.client_tries[arrived.class];
        let is_full = arrived.expires_in.ratio_to(tries.longest) > FULL_TRY_SHARE;
        tries.consecutive_short = if is_full { 0 } else { tries.consecutive_short + 1 };
        tries.longest = tries.longest.max(arrived.expires_in);
        let is_retry = if self.settings.clients_mark_retries {
            arrived.retry
        } else {
            tries.consecutive_short < MAX_CONSECUTIVE_SHORT_TRIES
        };
        if is_retry && !is_full {
            self.settings.classes[arrived.class].deadline - arrived.expires_in
        } else {
            Micros(0)
        }
    }

    fn on_part(&mut self, query: u64, part: Part) {
        self.count_received();
        if let Some(query) = self.queries.get_mut(&query) {
            query.parts.push(Part { step: query.step, ..part });
        }
    }

    fn on_client_disconnected(&mut self, id: Id) {
        if let Some(query) = self.remove_query(id) {
            self.cancel_in_flight(&query, false);
        }
    }

    /// Counts a received query or part for the retry budget.
    fn count_received(&mut self) {
        self.received_window.add(self.now, 1.0, self.now - self.budget_retention);
    }
}
