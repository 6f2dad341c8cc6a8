//! Admission of queries: checks for duplicate ids and for capacity. Load shedding is up to the decision core.

use super::interface::{AdmitError, QueryRequest};
use super::query_table::{OpenPart, OpenQuery};
use super::timers::Timer;
use super::Host;
use pinetrestle::interface::{Event, Id, Micros};
use pinetrestle_protocol::frames::idempotency_key_attribute;
use pinetrestle_protocol::query::RequestedPart;

impl Host {
    /// Admits a query and passes it to the decision core in the next batch. Returns the id of the query, by
    /// which [`Command::Reply`](super::Command::Reply) refers to it.
    ///
    /// # Errors
    /// [`AdmitError::DuplicateId`] if the wire id is in use or was used recently,
    /// [`AdmitError::OverCapacity`] if the query would exceed the maximum number of open queries and parts, or if
    /// too many wire ids were used recently.
    pub fn admit(&mut self, now: Micros, request: QueryRequest) -> Result<Id, AdmitError> {
        self.claim_wire_id(now, &request)?;
        let expires_in = self.limit_to_shutdown_deadline(now, request.expires_in);
        let work_hint = total_work_hint(&request.parts);
        let (class, is_client_retry) = (request.class, request.is_client_retry);

        let mut query =
            self.queries.new_query(request.wire_id, request.text, request.class, now + expires_in);
        query.idempotency_attributes =
            request.idempotency_key.as_deref().map(idempotency_key_attribute).unwrap_or_default();
        let id = self.next_free_id();
        self.events.push(Event::Query {
            id,
            number: query.number,
            class,
            tenant: request.tenant,
            expires_in,
            work_hint,
            retry: is_client_retry,
        });
        for part in &request.parts {
            self.add_part(id, &mut query, part);
        }
        query.timer = Some(self.timers.set(query.deadline, Timer::QueryDeadline(id)));
        self.queries.insert(id, query);
        self.update_query_counters(class, |queries| {
            queries.admitted.increment();
            queries.open.increment();
            queries.client_retries.add(u64::from(is_client_retry));
        });
        Ok(id)
    }

    /// Adds a part to the current step of a query and passes it to the decision core in the next batch.
    pub(super) fn add_part(&mut self, query_id: Id, query: &mut OpenQuery, requested: &RequestedPart) {
        let id = self.next_free_id();
        self.events.push(Event::Part {
            id,
            query_number: query.number,
            shard: requested.shard,
            weight: requested.weight,
            work_hint: requested.work_hint_us.map(Micros),
        });
        self.queries.insert_part(id, OpenPart::new(query_id, requested.shard, query.step));
        query.parts.push(id);
    }

    /// Checks that the wire id of a query is not in use, and claims it if the query does not exceed the maximum
    /// number of open queries and parts.
    ///
    /// A wire id stays claimed while its query is open and, if a part was sent, for at least the longest deadline of
    /// all classes after it was claimed: index servers can't tell two queries with the same id apart. A query that
    /// is rejected claims nothing, or a client could displace the ids of others with rejected queries.
    fn claim_wire_id(&mut self, now: Micros, request: &QueryRequest) -> Result<(), AdmitError> {
        let classes = &self.deployment.settings.classes;
        let longest_deadline = classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        if self.queries.is_wire_id_in_use(now, longest_deadline, &request.wire_id) {
            return Err(AdmitError::DuplicateId);
        }
        if self.has_capacity(request) && self.queries.claim_wire_id(&request.wire_id) {
            return Ok(());
        }
        self.update_query_counters(request.class, |queries| queries.over_capacity.increment());
        let limits = &self.deployment.settings.limits;
        let retry_after = limits.send_retry_after.then_some(limits.max_retry_after.0);
        Err(AdmitError::OverCapacity { retry_after })
    }

    /// Returns whether the query and its parts do not exceed the maximum number of open queries and parts.
    fn has_capacity(&self, request: &QueryRequest) -> bool {
        let needed = self.queries.open_queries_and_parts() + 1 + request.parts.len();
        needed <= self.deployment.settings.limits.max_in_flight as usize
    }

    /// Limits the time left for a query to the time until the shutdown deadline, if there is one.
    fn limit_to_shutdown_deadline(&self, now: Micros, expires_in: Micros) -> Micros {
        match self.shutdown_deadline {
            Some(deadline) => expires_in.min(deadline - now),
            None => expires_in,
        }
    }
}

/// Returns the total estimated work of the parts for which the client stated it, or `None` if it stated none.
fn total_work_hint(parts: &[RequestedPart]) -> Option<Micros> {
    let work_hints: Vec<i64> = parts.iter().filter_map(|part| part.work_hint_us).collect();
    (!work_hints.is_empty()).then(|| Micros(work_hints.iter().sum()))
}
