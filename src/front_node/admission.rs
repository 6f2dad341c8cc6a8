//! Admission and load shedding: the limit on parts in flight, tenants' quotas, priority by weight for work.

use super::tuning::{
    ANSWERED_FAILED_WEIGHT, CONCURRENCY_HALF_LIFE, COUNTER_HALF_LIFE, EPSILON, FAILED_WEIGHT, FLEET_CAPACITY,
    FULLNESS_CAP, IN_FLIGHT_SHARE, LEAST_CAPACITY, MAX_SAMPLES, MIN_CAPACITY, MIN_IN_FLIGHT, MIN_QUERY_TIME,
    MIN_QUERY_TIME_SHARE, OUTLIER_RATIO, OVER_QUOTA_RATIO, PRIORITY_TILT, SHED_FROM_STRAIN,
    SHED_UNTIL_STRAIN,
};
use super::FrontNode;
use crate::interface::Micros;
use crate::numeric::push_bounded;
use crate::state::{ClassStep, InFlightAttempt, Query, Replica};

/// By what a query is compared with others under strain.
struct Priority {
    /// Priority weight for each microsecond of work, as things stand.
    density: f64,
    /// The tenant is over its quota.
    over_quota: bool,
}

impl FrontNode {
    /// Starts or ends load shedding and sets the limit on parts in flight, once a batch.
    ///
    /// While shedding, the limit is the rate of answers times the latency wished for (Little's law). This
    /// covers surges, lost capacity and a slowdown of everything; it hurts where a few slow parts set the
    /// strain.
    pub(super) fn update_in_flight_limit(&mut self) {
        let strain = self.strain();
        let shedding = self.in_flight_limit.is_some();
        let threshold = if shedding { SHED_UNTIL_STRAIN } else { SHED_FROM_STRAIN };
        let strained = strain > threshold;
        if strained != shedding {
            let change = if strained { "started" } else { "ended" };
            self.log(format!("load shedding {change}, strain {strain:.2}"));
        }
        let least = MIN_IN_FLIGHT * self.replicas.len() as f64 / self.fleet_size();
        let sustained =
            self.sustained_concurrency.per_second(self.now, CONCURRENCY_HALF_LIFE) * IN_FLIGHT_SHARE;
        self.in_flight_limit = strained.then_some(sustained.max(least));
    }

    /// What parts recently take as a share of their class's latency objective, the worst of all classes, or
    /// how full this front node is. A few queries fill a front node with little traffic: being full alone,
    /// while parts are answered fast, is no strain.
    fn strain(&self) -> f64 {
        let in_flight: usize = self.queries.values().map(|query| query.parts.len() + 1).sum();
        let fullness = in_flight as f64 / f64::from(self.settings.limits.max_in_flight.max(1));
        let recent = |class_step: ClassStep| self.stats(class_step).recent_p80.unwrap_or_default();
        let mut strain = 0.0_f64;
        for (number, class) in self.settings.classes.iter().enumerate() {
            let latency = recent(ClassStep::first(number)) + recent(ClassStep::second(number));
            strain = strain.max(latency.ratio_to(class.latency_objective));
        }
        strain.max((SHED_FROM_STRAIN * fullness).min(FULLNESS_CAP * strain))
    }

    /// Decides, once for each query, whether it is let in.
    pub(super) fn admit(&mut self, query: &Query) -> bool {
        let priority = self.priority(query);
        // Blurred, so that classes of like density are admitted alike.
        let density = priority.density * (0.5 + self.random.next());
        let lower = self.recent_densities.iter().filter(|other| **other < density).count();
        // Over its quota a tenant gets nothing of what is reserved for priority, however much it asks.
        let rank =
            if priority.over_quota { 0.0 } else { lower as f64 / self.recent_densities.len().max(1) as f64 };
        push_bounded(&mut self.recent_densities, density, MAX_SAMPLES);
        if density <= 0.0 || !self.has_time_left(query) {
            return false;
        }
        self.can_reach_floor(query) && self.has_capacity(query, rank)
    }

    /// What the query earns for each part it needs, as things stand. Counts it for its tenant.
    fn priority(&mut self, query: &Query) -> Priority {
        let over_quota = query.tenant.is_some_and(|tenant| self.count_for_quota(tenant));
        let class = &self.settings.classes[query.class];
        let late = query.objective_at <= self.now;
        let mut weight = class.priority_weight * if late { class.late_weight_share } else { 1.0 };
        if query.tenant.is_some() {
            weight *= if over_quota { self.settings.over_quota_weight_share } else { 1.0 };
        }
        let typical = self.typical_latency(ClassStep::first(query.class));
        let work = query.parts.len().max(1) as f64 * class.complete_share * typical.0 as f64;
        Priority { density: weight / work, over_quota }
    }

    /// Counts a query of a tenant; whether the tenant is over our share of its quota.
    fn count_for_quota(&mut self, tenant: usize) -> bool {
        let quota = self.settings.tenants[tenant].quota_per_s / self.fleet_size();
        let queries = &mut self.tenant_queries[tenant];
        queries.add(self.now, COUNTER_HALF_LIFE, 1.0);
        queries.per_second(self.now, COUNTER_HALF_LIFE) > quota * OVER_QUOTA_RATIO
    }

    /// Whether the query can be done before it is given up. Those that can't are mostly tries repeated late.
    fn has_time_left(&self, query: &Query) -> bool {
        let class = &self.settings.classes[query.class];
        let first = self.typical_latency(ClassStep::first(query.class)).mul_f64(MIN_QUERY_TIME);
        let second = if class.has_second_step() {
            self.typical_latency(ClassStep::second(query.class))
        } else {
            Micros(0)
        };
        let needed = (first + second).min(class.latency_objective.mul_f64(MIN_QUERY_TIME_SHARE));
        self.stop_at(query) - self.now >= needed
    }

    /// Whether enough weight lies on shards with a replica in service that has free capacity: a query that
    /// can't reach its partial floor holds up others. Where no replica at all is in service, it waits for
    /// the list.
    fn can_reach_floor(&self, query: &Query) -> bool {
        let free = |replica: &Replica| replica.in_service() && self.has_free_capacity(replica);
        let reachable = query.parts.iter().filter(|part| self.holders(part.shard).any(|(_, r)| free(r)));
        let weight: f64 = reachable.map(|part| part.weight).sum();
        let floor = self.settings.classes[query.class].partial_min_share;
        weight > floor - EPSILON || !self.replicas.values().any(|replica| replica.in_service())
    }

    /// Whether a replica has less in flight than it answers in good time; failures count, and more while no
    /// answer has followed them.
    fn has_free_capacity(&self, replica: &Replica) -> bool {
        let least = (FLEET_CAPACITY / self.fleet_size()).clamp(LEAST_CAPACITY, MIN_CAPACITY);
        let sustained = replica.sustained_concurrency.per_second(self.now, CONCURRENCY_HALF_LIFE);
        let capacity = (sustained * IN_FLIGHT_SHARE).max(least);
        let failures = replica.failure_holds.len();
        let unanswered = replica.consecutive_failures.min(failures) as f64;
        let answered = failures as f64 - unanswered;
        capacity
            > f64::from(replica.in_flight) + ANSWERED_FAILED_WEIGHT * answered + FAILED_WEIGHT * unanswered
    }

    /// Whether the query's parts fit under the in-flight limit. `rank`, from 0 to 1, is the share of recent
    /// queries of lower priority: the lower, the less of the limit it may use.
    fn has_capacity(&self, query: &Query, rank: f64) -> bool {
        let Some(limit) = self.in_flight_limit else { return true };
        let parts = query.parts.len() as f64 * self.settings.classes[query.class].complete_share;
        let counts = |attempt: &&InFlightAttempt| {
            self.replicas[&attempt.replica].load_factor < OUTLIER_RATIO && !attempt.cancelled
        };
        let in_flight = self.in_flight.values().filter(counts).count() as f64;
        in_flight + parts <= (limit - limit * PRIORITY_TILT * (1.0 - rank)).max(parts)
    }

    /// The number of front nodes, at least 1, by which what all of them share is divided.
    pub(super) fn fleet_size(&self) -> f64 {
        f64::from(self.settings.fleet_size.max(1))
    }
}
