//! Constants of the decisions.
//!
//! None of them depends on a deployment: they are ratios of observed values, counts and time spans.
//! docs/design.md states how sensitive the results are to each.

use crate::interface::Micros;

/// Interval at which open queries are processed while no events arrive.
pub(super) const IDLE_TIMER_INTERVAL: Micros = Micros(20_000);
/// Half-life of the counters of attempts, extra parts, retries, calls, answered work and tenants' queries.
pub(super) const COUNTER_HALF_LIFE: Micros = Micros(10_000_000);

/// Maximum number of extra parts, as a share of the attempts sent.
pub(super) const MAX_EXTRA_PART_SHARE: f64 = 0.1;
/// Maximum number of retries, as a share of the attempts sent. `MIN_RETRIES` is added to it. The limit keeps
/// retries from amplifying an overload (a retry storm).
pub(super) const MAX_RETRY_SHARE: f64 = 0.15;
/// Number of retries that are allowed in addition to `MAX_RETRY_SHARE`.
pub(super) const MIN_RETRIES: f64 = 6.0;

/// Wait before the endpoint list is polled again after a first failure.
pub(super) const INITIAL_POLL_BACKOFF: Micros = Micros(200_000);
/// Age of a change of the endpoint list after which the front node is expected to know it, according to the
/// protocol documentation.
pub(super) const LIST_STALENESS_LIMIT: Micros = Micros(6_000_000);
/// Factor by which the poll backoff grows with each failure.
pub(super) const POLL_BACKOFF_GROWTH: f64 = 2.0;
/// Maximum poll backoff, as a share of the time after which the front node is expected to know a change.
/// Three polls fit into that time.
pub(super) const MAX_POLL_BACKOFF_SHARE: f64 = 0.2;
/// Time after which an unanswered poll is repeated, as a share of `Rules::max_list_staleness`.
pub(super) const POLL_TIMEOUT_SHARE: f64 = 0.5;
/// Default of `Rules::max_list_staleness` and its lower bound, as a multiple of `INITIAL_POLL_BACKOFF`.
pub(super) const DEFAULT_STALENESS_MULTIPLE: f64 = 20.0;
/// Interval over which front nodes that start together spread their first polls, as a multiple of
/// `INITIAL_POLL_BACKOFF` and of the number of front nodes.
pub(super) const FIRST_POLL_SPREAD: f64 = 0.25;
/// Upper bound of the interval set by `FIRST_POLL_SPREAD`, as a share of `Rules::max_list_staleness`.
pub(super) const MAX_FIRST_POLL_SHARE: f64 = 0.25;
/// Time over which a fleet whose watches end together spreads its requests for new ones, for each front node.
/// At most the maximum backoff.
pub(super) const WATCH_REOPEN_SPREAD: Micros = Micros(4_000);
/// Maximum random change of the backoff between two requests for a watch, as a share of the backoff.
pub(super) const WATCH_BACKOFF_JITTER: f64 = 0.25;

/// Time by which the last attempt is decided on before its grace ends: a front node may be held up for 150 ms
/// between reading the clock and writing, and time limits are extended by 50 ms.
pub(super) const SEND_DELAY_MARGIN: Micros = Micros(100_000);
/// Time after a change of the configured discovery service from which the new service's list counts as
/// notified, according to the protocol documentation.
pub(super) const NEW_DISCOVERY_DELAY: Micros = Micros(4_000_000);
/// Time within which a request for a watch fails if discovery is down. A request that fails later was waiting
/// for an overloaded discovery service.
pub(super) const REFUSAL_TIME: Micros = Micros(250_000);
/// Maximum time for which sends are held until discovery delivers its list. An overloaded discovery service
/// answers a request within 2 s or fails it.
pub(super) const MAX_LIST_WAIT: Micros = Micros(2_500_000);
/// Maximum time for which a front node that starts waits until discovery delivers its list.
pub(super) const MAX_FIRST_LIST_WAIT: Micros = Micros(5_000_000);

/// Number of latency samples kept for each class and step, and of recent queries whose priority is kept.
pub(super) const MAX_SAMPLES: usize = 64;
/// Minimum number of samples from which quantiles are computed.
pub(super) const MIN_SAMPLES: usize = 8;
/// Typical latency that is assumed as long as none has been observed, as a share of the latency objective.
pub(super) const INITIAL_LATENCY_SHARE: f64 = 0.125;

/// Minimum age at which an attempt is overdue, as a multiple of the typical latency.
pub(super) const MIN_OVERDUE_MULTIPLE: f64 = 4.0;
/// Maximum age at which an attempt is overdue, as a share of the latency objective. Halved for classes with
/// two steps.
pub(super) const MAX_OVERDUE_SHARE: f64 = 0.5;
/// Age at which an attempt is overdue, as a multiple of the 95th percentile of latencies, within the bounds
/// of `MIN_OVERDUE_MULTIPLE` and `MAX_OVERDUE_SHARE`.
pub(super) const OVERDUE_P95_MULTIPLE: f64 = 1.1;
/// Timeout of attempts that can't be both hedged and cancelled, as a multiple of the age at which they are
/// overdue.
pub(super) const TIMEOUT_MULTIPLE: f64 = 2.0;

/// Time without any response or external event that counts as a stall, as a multiple of the typical latency.
pub(super) const STALL_MULTIPLE: f64 = 2.0;
/// Time after a stall during which pending events are read before anything is sent.
pub(super) const RESUME_DELAY: Micros = Micros(10_000);
/// Maximum time that a new query waits in a stall of all replicas, as a share of the age after which a hedged
/// request would be too late.
pub(super) const MAX_STALL_WAIT_SHARE: f64 = 0.5;

/// Latency ratio, relative to the median of all replicas, from which a replica counts as more loaded than it
/// is.
pub(super) const SLOW_RATIO: f64 = 2.0;
/// Latency ratio, relative to the median of all replicas, from which a replica is an outlier. Outliers are
/// logged and get parts as a last choice only.
pub(super) const OUTLIER_RATIO: f64 = 4.0;
/// Upper bound of the latency ratio of a replica.
pub(super) const MAX_LATENCY_RATIO: f64 = 40.0;
/// Weight of one answer in the moving average that is the latency ratio of a replica.
pub(super) const LATENCY_RATIO_SMOOTHING: f64 = 0.2;
/// Half-life with which a latency ratio decays to 1 while no answers arrive.
pub(super) const LATENCY_RATIO_HALF_LIFE: Micros = Micros(4_000_000);
/// Time for which a failed attempt counts as one in flight.
pub(super) const FAILURE_PENALTY_TIME: Micros = Micros(1_500_000);
/// Share by which `FAILURE_PENALTY_TIME` is extended for each earlier failure that still counts.
pub(super) const FAILURE_PENALTY_GROWTH: f64 = 0.5;
/// Maximum number of earlier failures that extend `FAILURE_PENALTY_TIME`.
pub(super) const MAX_FAILURE_PENALTY_STEPS: usize = 4;

/// Share that is used of the capacity of a warming-up replica that falls to this front node.
pub(super) const SLOW_START_SAFETY_FACTOR: f64 = 0.7;
/// Lower bound of the share of its capacity that a warming-up replica is assumed to have.
pub(super) const MIN_CAPACITY_SHARE: f64 = 0.01;

/// Strain above which load shedding starts. The strain is, roughly, the recent latency of parts as a share of
/// the latency objective.
pub(super) const SHED_START_STRAIN: f64 = 0.6;
/// Strain below which load shedding ends.
pub(super) const SHED_STOP_STRAIN: f64 = 0.4;
/// Age up to which latency samples are used for the strain.
pub(super) const STRAIN_WINDOW: Micros = Micros(1_500_000);
/// Number of latest latency samples that are used for the strain at any age. The parts of a single query
/// alone would be too few to rely on.
pub(super) const MIN_STRAIN_SAMPLES: usize = 24;
/// Maximum factor by which being close to `Limits::max_in_flight` raises the strain that latencies show.
pub(super) const OCCUPANCY_STRAIN_CAP: f64 = 2.0;
/// Half-life of the counters of answers from which limits on parts in flight are derived.
pub(super) const CONCURRENCY_HALF_LIFE: Micros = Micros(1_000_000);
/// Average latency of parts that limits on parts in flight aim for, as a share of the latency objective.
pub(super) const TARGET_LATENCY_SHARE: f64 = 0.6;
/// Number of parts in flight that load shedding always allows per replica, over all front nodes.
pub(super) const MIN_IN_FLIGHT_PER_REPLICA: f64 = 10.0;
/// Upper bound of the number of parts in flight that admission always allows at one replica.
pub(super) const MAX_BASE_CAPACITY: f64 = 8.0;
/// Number of parts in flight that admission always allows at one replica, over all front nodes. Each front
/// node allows its share, within `MIN_BASE_CAPACITY` and `MAX_BASE_CAPACITY`.
pub(super) const FLEET_BASE_CAPACITY: f64 = 40.0;
/// Lower bound of the number of parts in flight that admission always allows at one replica.
pub(super) const MIN_BASE_CAPACITY: f64 = 2.0;
/// Number of parts in flight that a recent failure counts as when the free capacity of a replica is computed.
pub(super) const FAILURE_WEIGHT: f64 = 2.0;
/// Number of parts in flight that a recent failure counts as if the replica has answered an attempt since.
pub(super) const RECOVERED_FAILURE_WEIGHT: f64 = 0.5;
/// Number of consecutive short tries from which short tries no longer count as retries, if clients do not
/// mark retries.
pub(super) const MAX_CONSECUTIVE_SHORT_TRIES: u32 = 16;
/// Share of the time of the longest try above which a try does not count as short.
pub(super) const FULL_TRY_SHARE: f64 = 0.99;
/// Multiple of this front node's share of a quota above which the tenant is over its quota.
pub(super) const OVER_QUOTA_RATIO: f64 = 1.3;
/// Time that a query is assumed to need at least, as a multiple of the typical latency of a part.
pub(super) const MIN_QUERY_TIME_MULTIPLE: f64 = 2.0;
/// Upper bound of the time that a query is assumed to need at least, as a share of the latency objective.
pub(super) const MIN_QUERY_TIME_SHARE: f64 = 0.5;
/// Share of the in-flight limit that is not available to queries of the lowest priority.
pub(super) const PRIORITY_RESERVED_SHARE: f64 = 0.4;

/// Number of replicas that have to reset the connection of a query without answering any part of it for the
/// query to be given up as a query of death.
pub(super) const QUERY_OF_DEATH_RESETS: usize = 2;
/// Time after the crash of a replica during which wide queries send one part ahead of the others.
pub(super) const RECENT_CRASH_WINDOW: Micros = Micros(5_000_000);
/// Number of parts above which a query is wide, as a share of the number of replicas.
pub(super) const WIDE_QUERY_SHARE: f64 = 0.33;

/// Number of ticks before its deadline or its latency objective at which a query is given up.
pub(super) const GIVE_UP_MARGIN_TICKS: f64 = 2.0;
/// Tolerance for rounding errors in sums of weights. Also the lower bound of divisors that may be zero.
pub(super) const EPSILON: f64 = 0.0001;
