//! Admission and load shedding: the limit on parts in flight, quotas of tenants, and priority by the weight
//! that a query earns per unit of work.

use super::tuning::{
    CONCURRENCY_HALF_LIFE, COUNTER_HALF_LIFE, EPSILON, FAILURE_PENALTY_TIME, FAILURE_WEIGHT,
    FLEET_BASE_CAPACITY, MAX_BASE_CAPACITY, MAX_SAMPLES, MIN_BASE_CAPACITY, MIN_IN_FLIGHT_PER_REPLICA,
    MIN_QUERY_TIME_MULTIPLE, MIN_QUERY_TIME_SHARE, OCCUPANCY_STRAIN_CAP, OUTLIER_RATIO, OVER_QUOTA_RATIO,
    PRIORITY_RESERVED_SHARE, RECOVERED_FAILURE_WEIGHT, SHED_START_STRAIN, SHED_STOP_STRAIN,
    TARGET_LATENCY_SHARE,
};
use super::FrontNode;
use crate::interface::Micros;
use crate::numeric::push_bounded;
use crate::state::{ClassStep, InFlightAttempt, Query, Replica};

/// Priority of a query relative to others while load is shed.
struct Priority {
    /// Priority weight that the query would earn now, per microsecond of work.
    weight_per_work: f64,
    /// Whether the tenant of the query is over its quota.
    over_quota: bool,
}

impl FrontNode {
    /// Starts or ends load shedding and updates the limit on parts in flight. Runs once per batch.
    ///
    /// While load is shed, the limit is the rate of answers multiplied by the target latency (Little's law).
    /// This handles surges, lost capacity and a slowdown of all replicas. Its drawback is that a few slow
    /// parts can cause load shedding on their own.
    pub(super) fn update_in_flight_limit(&mut self) {
        let strain = self.strain();
        let shedding = self.in_flight_limit.is_some();
        let threshold = if shedding { SHED_STOP_STRAIN } else { SHED_START_STRAIN };
        let strained = strain > threshold;
        if strained != shedding {
            let change = if strained { "started" } else { "ended" };
            self.log(format!("load shedding {change}, strain {strain:.2}"));
        }
        let min_limit = MIN_IN_FLIGHT_PER_REPLICA * self.replicas.len() as f64 / self.fleet_size();
        let sustained =
            self.sustained_concurrency.per_second(self.now, CONCURRENCY_HALF_LIFE) * TARGET_LATENCY_SHARE;
        self.in_flight_limit = strained.then_some(sustained.max(min_limit));
    }

    /// Returns the strain, the measure of overload that load shedding depends on.
    ///
    /// It is the recent latency of parts, summed over the steps of a query and divided by the latency
    /// objective, of the class for which this is highest. Being close to the maximum number of queries and
    /// parts in flight raises it, but only by a limited factor: on a front node with little traffic a few
    /// queries reach that maximum, which is no overload as long as parts are answered fast.
    fn strain(&self) -> f64 {
        let in_flight: usize = self.queries.values().map(|query| query.parts.len() + 1).sum();
        let occupancy = in_flight as f64 / f64::from(self.settings.limits.max_in_flight.max(1));
        let recent = |class_step: ClassStep| self.stats(class_step).recent_p80.unwrap_or_default();
        let mut strain = 0.0_f64;
        for (number, class) in self.settings.classes.iter().enumerate() {
            let latency = recent(ClassStep::first(number)) + recent(ClassStep::second(number));
            strain = strain.max(latency.ratio_to(class.latency_objective));
        }
        strain.max((SHED_START_STRAIN * occupancy).min(OCCUPANCY_STRAIN_CAP * strain))
    }

    /// Returns whether a query is admitted. Called once for each query.
    pub(super) fn admit(&mut self, query: &Query) -> bool {
        let priority = self.priority(query);
        // Randomized, so that classes with a similar weight per work have similar chances of admission.
        let weight_per_work = priority.weight_per_work * (0.5 + self.random.next());
        let lower = self.recent_weights_per_work.iter().filter(|other| **other < weight_per_work).count();
        // Queries of a tenant over its quota get the lowest rank, so they can't use the capacity that is
        // reserved for higher priorities.
        let rank = if priority.over_quota {
            0.0
        } else {
            lower as f64 / self.recent_weights_per_work.len().max(1) as f64
        };
        push_bounded(&mut self.recent_weights_per_work, weight_per_work, MAX_SAMPLES);
        if weight_per_work <= 0.0 || !self.has_time_left(query) {
            return false;
        }
        self.enough_shards_have_capacity(query) && self.fits_in_flight_limit(query, rank)
    }

    /// Returns the priority of a query, and counts the query for the quota of its tenant.
    fn priority(&mut self, query: &Query) -> Priority {
        let over_quota = query.tenant.is_some_and(|tenant| self.count_query_and_check_quota(tenant));
        let class = &self.settings.classes[query.class];
        let late = query.objective_at <= self.now;
        let mut weight = class.priority_weight * if late { class.late_weight_share } else { 1.0 };
        if query.tenant.is_some() {
            weight *= if over_quota { self.settings.over_quota_weight_share } else { 1.0 };
        }
        let typical = self.typical_latency(ClassStep::first(query.class));
        let work = query.parts.len().max(1) as f64 * class.complete_share * typical.0 as f64;
        Priority { weight_per_work: weight / work, over_quota }
    }

    /// Counts a query of a tenant. Returns whether the tenant is over this front node's share of its quota.
    fn count_query_and_check_quota(&mut self, tenant: usize) -> bool {
        let quota = self.settings.tenants[tenant].quota_per_s / self.fleet_size();
        let queries = &mut self.tenant_queries[tenant];
        queries.add(self.now, COUNTER_HALF_LIFE, 1.0);
        queries.per_second(self.now, COUNTER_HALF_LIFE) > quota * OVER_QUOTA_RATIO
    }

    /// Returns whether there is enough time to answer the query before it is given up. Queries without enough
    /// time are mostly late retries by clients.
    fn has_time_left(&self, query: &Query) -> bool {
        let class = &self.settings.classes[query.class];
        let first = self.typical_latency(ClassStep::first(query.class)).mul_f64(MIN_QUERY_TIME_MULTIPLE);
        let second = if class.has_second_step() {
            self.typical_latency(ClassStep::second(query.class))
        } else {
            Micros(0)
        };
        let needed = (first + second).min(class.latency_objective.mul_f64(MIN_QUERY_TIME_SHARE));
        self.give_up_at(query) - self.now >= needed
    }

    /// Returns whether the shards that have a replica in service with free capacity hold enough weight for a
    /// partial answer.
    ///
    /// A query that can't be answered even partially would only delay others. If no replica at all is in
    /// service, the result is true, so that the query waits for an endpoint list.
    ///
    /// If no replica has free capacity and nothing is in flight, all of them have failed, and no answer can
    /// show that they have recovered. A query then probes those whose last failure is some time ago.
    fn enough_shards_have_capacity(&self, query: &Query) -> bool {
        let probes = self.in_flight.is_empty() && !self.replicas.values().any(|r| self.takes_queries(r));
        let failed_long_ago = |replica: &Replica| self.now - replica.last_failed_at >= FAILURE_PENALTY_TIME;
        let free = |replica: &Replica| {
            self.takes_queries(replica) || probes && replica.in_service() && failed_long_ago(replica)
        };
        let reachable =
            query.parts.iter().filter(|part| self.replicas_of_shard(part.shard).any(|(_, r)| free(r)));
        let weight: f64 = reachable.map(|part| part.weight).sum();
        let min_share = self.settings.classes[query.class].partial_min_share;
        weight > min_share - EPSILON || !self.replicas.values().any(|replica| replica.in_service())
    }

    fn takes_queries(&self, replica: &Replica) -> bool {
        replica.in_service() && self.has_free_capacity(replica)
    }

    /// Returns whether a replica has less in flight than it can answer within the target latency.
    ///
    /// Recent failures count as parts in flight, with a higher weight as long as no answer has followed them.
    fn has_free_capacity(&self, replica: &Replica) -> bool {
        let base_capacity =
            (FLEET_BASE_CAPACITY / self.fleet_size()).clamp(MIN_BASE_CAPACITY, MAX_BASE_CAPACITY);
        let sustained = replica.sustained_concurrency.per_second(self.now, CONCURRENCY_HALF_LIFE);
        let capacity = (sustained * TARGET_LATENCY_SHARE).max(base_capacity);
        let failures = replica.failure_penalty_ends.len();
        let unrecovered = replica.consecutive_failures.min(failures) as f64;
        let recovered = failures as f64 - unrecovered;
        capacity
            > f64::from(replica.in_flight)
                + RECOVERED_FAILURE_WEIGHT * recovered
                + FAILURE_WEIGHT * unrecovered
    }

    /// Returns whether the parts of a query fit into the limit on parts in flight.
    ///
    /// `rank`, from 0 to 1, is the share of recent queries that have a lower priority. The lower the rank,
    /// the smaller the part of the limit that the query may use. Parts at outliers are not counted.
    fn fits_in_flight_limit(&self, query: &Query, rank: f64) -> bool {
        let Some(limit) = self.in_flight_limit else { return true };
        let parts = query.parts.len() as f64 * self.settings.classes[query.class].complete_share;
        let counts = |attempt: &&InFlightAttempt| {
            self.replicas[&attempt.replica].load_factor < OUTLIER_RATIO && !attempt.cancelled
        };
        let in_flight = self.in_flight.values().filter(counts).count() as f64;
        in_flight + parts <= (limit - limit * PRIORITY_RESERVED_SHARE * (1.0 - rank)).max(parts)
    }

    /// Returns the number of front nodes, at least 1. Shared quotas and capacities are divided by it.
    pub(super) fn fleet_size(&self) -> f64 {
        f64::from(self.settings.fleet_size.max(1))
    }
}
