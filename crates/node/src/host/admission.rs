//! Admission of queries: duplicate ids and capacity are checked here, load is shed by the decision core.

use super::interface::{AdmitError, QueryRequest};
use super::query_table::{OpenPart, OpenQuery};
use super::timers::Timer;
use super::Host;
use pinetrestle::interface::{Event, Id, Micros};
use pinetrestle_protocol::frames::idempotency_key_attribute;
use pinetrestle_protocol::query::RequestedPart;

impl Host {
    /// Admits a query and hands it to the decision core with the next batch. Returns its id, by which
    /// [`Command::Reply`](super::Command::Reply) names it.
    pub fn admit(&mut self, now: Micros, request: QueryRequest) -> Result<Id, AdmitError> {
        self.check_duplicate(now, &request)?;
        self.check_capacity(&request)?;
        let expires_in = self.limit_to_shutdown(now, request.expires_in);
        let work_hint = total_work(&request.parts);
        let (class, is_client_retry) = (request.class, request.is_client_retry);

        let mut query =
            self.queries.new_query(request.wire_id, request.text, request.class, now + expires_in);
        query.idempotency_options =
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
        self.count_query(class, |queries| {
            queries.admitted.increment();
            queries.open.increment();
            queries.client_retries.add(u64::from(is_client_retry));
        });
        Ok(id)
    }

    /// Adds a part to the query's present step and hands it to the decision core with the next batch.
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

    /// A query's id must be unique among open queries and for the longest deadline after: index servers would take a
    /// later query of the same id for the earlier one.
    fn check_duplicate(&mut self, now: Micros, request: &QueryRequest) -> Result<(), AdmitError> {
        let classes = &self.deployment.settings.classes;
        let longest_deadline = classes.iter().map(|class| class.deadline).max().unwrap_or_default();
        if self.queries.claim_wire_id(now, longest_deadline, &request.wire_id) {
            Ok(())
        } else {
            Err(AdmitError::DuplicateId)
        }
    }

    fn check_capacity(&self, request: &QueryRequest) -> Result<(), AdmitError> {
        let limits = &self.deployment.settings.limits;
        let needed = self.queries.open_queries_and_parts() + 1 + request.parts.len();
        if needed <= limits.max_in_flight as usize {
            return Ok(());
        }
        self.count_query(request.class, |queries| queries.over_capacity.increment());
        let retry_after = limits.send_retry_after.then_some(limits.max_retry_after.0);
        Err(AdmitError::OverCapacity { retry_after })
    }

    /// The time left for a query, no longer than a graceful shutdown leaves.
    fn limit_to_shutdown(&self, now: Micros, expires_in: Micros) -> Micros {
        match self.shutdown_deadline {
            Some(deadline) => expires_in.min(deadline - now),
            None => expires_in,
        }
    }
}

/// The work of all parts together, if any part states its work.
fn total_work(parts: &[RequestedPart]) -> Option<Micros> {
    let stated: Vec<i64> = parts.iter().filter_map(|part| part.work_hint_us).collect();
    (!stated.is_empty()).then(|| Micros(stated.iter().sum()))
}
