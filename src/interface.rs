//! Interface of the decision core: its settings, its input events and its output actions.
//!
//! This module holds plain data only. All decisions are made in the private `front_node` module. The crate's
//! front page defines the terms (query, step, part, weight, work, replica, cell, attempt, call).

/// A point in time or a duration, in microseconds.
///
/// Points in time are relative to an origin that the host chooses; it has to be the same for all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Micros(pub i64);

impl std::ops::Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl std::ops::Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

impl Micros {
    /// Multiplies this duration by a factor and rounds the result toward zero.
    pub fn mul_f64(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as i64)
    }

    /// Returns the ratio of this duration to `other`. An `other` below one microsecond counts as one.
    pub fn ratio_to(self, other: Micros) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

/// Identifies a query or a part of a query. The host assigns the ids; no two open ones have the same id.
pub type Id = u32;
/// Identifies a replica. The host numbers replicas in the order in which this front node first saw them.
pub type ReplicaId = u32;

/// Whether a part of a query may be retried after an earlier attempt may have run at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of attempts has the same effect as one, so retries are always safe.
    Idempotent,
    /// Parts carry an idempotency key, by which replicas drop duplicates. Retries are safe for
    /// [`Class::idempotency_window`], counted from the send of the first attempt that may have run.
    Keyed,
    /// Running a part twice has the effect twice, so only attempts that provably did not run are retried.
    NonIdempotent,
}

/// A class of queries: queries with the same objectives, priority and retry rules.
#[derive(Clone, Debug)]
pub struct Class {
    /// Latency objective: an answer within this time earns the full priority weight.
    pub latency_objective: Micros,
    /// A query's objective is extended by this factor times its work hint, up to the deadline.
    pub objective_work_factor: f64,
    /// How long the client waits for an answer in total, over all tries of a query.
    pub deadline: Micros,
    /// Priority weight of a complete answer.
    pub priority_weight: f64,
    /// Share of the priority weight that an answer earns after the objective and before the deadline.
    pub late_weight_share: f64,
    /// Whether parts may be retried after an attempt that may have run.
    pub idempotency: Idempotency,
    /// How long replicas drop duplicates of a part. Used with [`Idempotency::Keyed`] only.
    pub idempotency_window: Micros,
    /// Share of the first step's weight that has to be answered for a complete answer.
    pub complete_share: f64,
    /// Minimum share of the first step's weight that has to be answered for a partial answer. Partial answers
    /// are not allowed unless this is below `complete_share`.
    pub partial_min_share: f64,
    /// Share of the priority weight that a partial answer earns, multiplied by its answered share divided by
    /// `complete_share`.
    pub partial_weight_share: f64,
    /// Number of parts of the second step; 0 if queries of this class have a single step.
    pub second_step_parts: u32,
}

impl Class {
    /// Returns whether queries of this class have a second step, which begins once the first is answered.
    pub fn has_second_step(&self) -> bool {
        self.second_step_parts > 0
    }
}

/// A tenant: a customer of the service, with a quota of its own.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Quota in queries per second, over all front nodes.
    pub quota_per_s: f64,
}

/// A limit on the retries that this front node sends.
///
/// Within any `window`, at most `min_retries + retry_ratio * (queries and parts received in it)` are sent.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Length of the sliding window.
    pub window: Micros,
    /// Number of retries that are allowed regardless of how much is received.
    pub min_retries: f64,
    /// Number of retries that are allowed for each query and each part received.
    pub retry_ratio: f64,
}

/// Constraints of the service: how replicas warm up and overload, and limits that front nodes have to keep.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// Minimum share of its full capacity that a replica has when it starts.
    pub cold_capacity_share: f64,
    /// Time after its start by which a replica has its full capacity.
    pub warm_up_time: Micros,
    /// A warming-up replica fails if it is sent more than this multiple of its current capacity for the whole
    /// of `overload_window`.
    pub overload_multiple: f64,
    /// How long the overload of a warming-up replica lasts until it fails.
    pub overload_window: Micros,
    /// If the endpoint list is polled: age of a change after which the front node is expected to know it.
    pub max_list_staleness: Micros,
    /// Time after the notification that a replica drains or was removed in which new attempts may still be
    /// sent to it.
    pub drain_grace: Micros,
    /// The retry budget; `None` if the service sets none.
    pub retry_budget: Option<RetryBudget>,
}

/// How changes of the endpoint list reach the front node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListDelivery {
    /// The front node requests the list and a watch on it with [`Action::WatchEndpointList`]. It is expected
    /// to know a change once the change is older than [`Rules::max_list_staleness`].
    Polled,
    /// The host delivers each change without a request. It never loses one.
    #[default]
    Pushed,
    /// The front node requests a watch with [`Action::WatchEndpointList`], as for [`ListDelivery::Polled`],
    /// but it is expected to know each change as soon as discovery does, whether or not a watch is open.
    Watched {
        /// Longest mean wait between two requests for a watch that fails repeatedly.
        max_backoff: Micros,
    },
}

/// What the deployment allows a front node to do, and how much of it.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Maximum number of attempts for a part, including the first one.
    pub max_attempts: u32,
    /// Whether several attempts of a part may be in flight at once (hedged requests).
    pub allow_hedging: bool,
    /// Whether attempts in flight may be cancelled at their replica.
    pub allow_cancel: bool,
    /// Whether a rejection carries a `Retry-After` for the client.
    pub send_retry_after: bool,
    /// Longest `Retry-After` that clients obey.
    pub max_retry_after: Micros,
    /// Maximum number of queries and parts that this front node may have in flight.
    pub max_in_flight: u32,
    /// Maximum number of parts in one call to a replica.
    pub max_batch: u32,
}

/// Settings of a front node. They do not change while it runs.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of front nodes.
    pub fleet_size: u32,
    /// The classes. Events refer to a class by its index.
    pub classes: Vec<Class>,
    /// The tenants. Events refer to a tenant by its index.
    pub tenants: Vec<Tenant>,
    /// Share of the priority weight that a query earns while its tenant is over its quota.
    pub over_quota_weight_share: f64,
    /// Cost of work that contributes to no answer, as a share of the priority weight of the query it was done
    /// for.
    pub wasted_work_cost: f64,
    /// Whether clients mark a query that is a retry ([`Event::Query::retry`](Event::Query)).
    pub clients_mark_retries: bool,
    /// How changes of the endpoint list are delivered.
    pub list_delivery: ListDelivery,
    /// Number of cells. A cell is a group of replicas that hold the same shards.
    pub cell_count: u32,
    /// Number of cells that hold each shard: shard `s` is held by the cells `s`, `s + 1`, ... modulo
    /// `cell_count`.
    pub cells_per_shard: u32,
    /// Minimum time between two batches of events.
    pub tick: Micros,
    /// Permissions and limits of the deployment.
    pub limits: Limits,
    /// Constraints of the service.
    pub rules: Rules,
}

/// Lifecycle state of a replica according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// The replica takes new attempts.
    InService,
    /// The replica finishes its attempts in flight and takes no new ones.
    Draining,
    /// The replica has been removed from the list, or has never been on it.
    #[default]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedReplica {
    /// The replica.
    pub replica: ReplicaId,
    /// The cell that it belongs to.
    pub cell: u32,
    /// Registered capacity of the replica, relative to the other replicas.
    pub relative_capacity: f64,
    /// Lifecycle state of the replica.
    pub lifecycle: Lifecycle,
    /// When the replica last started; `None` if that is unknown or long ago.
    pub started_at: Option<Micros>,
}

/// How an attempt of a part ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The replica answered the part.
    Ok,
    /// The replica returned an error. The attempt may have run.
    Error,
    /// The replica rejected the attempt without running it.
    Rejected,
    /// No answer arrived within the timeout of the attempt. It may have run.
    Timeout,
    /// No connection to the replica could be established. The attempt did not run.
    ConnectFailed,
    /// The connection was reset. The attempt may have run.
    Reset,
    /// The attempt was cancelled. It may have run.
    Cancelled,
    /// The host did not send the attempt.
    NotSent,
}

/// How a watch on the endpoint list, or a request for one, failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// The established watch ended: discovery closed it, or its connection was reset.
    Ended,
    /// The established watch has delivered neither a change nor a keep-alive for this long.
    Silent(Micros),
    /// Discovery refused the request, or answered it with an error.
    Refused,
    /// No connection to discovery could be established for the request: its machine is down or cut off.
    Unreachable,
    /// The request was not answered in time, or could not be sent from this machine.
    Unanswered,
    /// The host does not know which: the established watch ended, or a request was refused.
    Unknown,
}

/// An input of the decision core.
#[derive(Clone, Debug)]
pub enum Event {
    /// A complete endpoint list.
    EndpointList {
        /// An entry for each replica on the list.
        replicas: Vec<ListedReplica>,
        /// Whether the list was stored before this front node started, as opposed to received since then.
        cached: bool,
    },
    /// A watch event with the changed entries of the endpoint list.
    EndpointListChanged(Vec<ListedReplica>),
    /// Requesting the endpoint list failed, or the watch on it was lost.
    WatchFailed(WatchFailure),
    /// The configuration names another discovery service. The host has requested its list, and still delivers
    /// the changes of the previous service's list.
    DiscoveryChanging,
    /// The list of the service announced by [`Event::DiscoveryChanging`] was delivered before this event.
    DiscoveryChanged,
    /// A query has arrived. Its parts follow in the same batch.
    Query {
        /// Id of the query, by which actions refer to it.
        id: Id,
        /// Sequence number of the query, by which its parts refer to it. Open queries are processed in
        /// ascending order of this number.
        number: u64,
        /// Index of the class in [`Settings::classes`]; out of range if the class is unknown.
        class: usize,
        /// Index of the tenant in [`Settings::tenants`]; `None` if the query has no tenant.
        tenant: Option<usize>,
        /// Time left until the client abandons this try.
        expires_in: Micros,
        /// Estimated work of all parts together, if the client states it.
        work_hint: Option<Micros>,
        /// Whether the client marked this try as a retry. Meaningful only with
        /// [`Settings::clients_mark_retries`].
        retry: bool,
    },
    /// A part of the current step of a query.
    Part {
        /// Id of the part, by which actions and [`Event::AttemptEnded`] refer to it.
        id: Id,
        /// Sequence number of the query that the part belongs to.
        query_number: u64,
        /// The shard that has to answer the part.
        shard: u32,
        /// Weight of the part; the weights of a step add up to 1.
        weight: f64,
        /// Estimated work of the part, if the client states it.
        work_hint: Option<Micros>,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The part that was attempted.
        part: Id,
        /// Number of the attempt among those of its part, from 0.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// The client of the query with this id has disconnected.
    ClientDisconnected(Id),
    /// A timer that was set with [`Action::SetTimer`] has expired.
    TimerFired,
    /// A health check has finished. The decision core requests no health checks and ignores this event.
    HealthChecked,
}

/// An output of the decision core, to be carried out by the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a part to a replica.
    Attempt {
        /// The part to send.
        part: Id,
        /// The replica to send the part to.
        replica: ReplicaId,
        /// Time after which the host ends the attempt with [`Outcome::Timeout`].
        timeout: Micros,
        /// If set, the attempt must be dropped unless it can be sent within this time: a retry that is sent
        /// later could run after the idempotency window.
        send_within: Option<Micros>,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The part that was attempted.
        part: Id,
        /// Number of the attempt among those of its part, from 0.
        attempt: u32,
    },
    /// Answer the current step of the query from the parts answered so far. This is the final answer unless a
    /// second step follows.
    Answer {
        /// Id of the query.
        query: Id,
        /// Whether the answer is complete, as opposed to partial.
        complete: bool,
    },
    /// Final answer: reject the query. A retry by the client is safe.
    Reject {
        /// Id of the query.
        query: Id,
        /// Value of the `Retry-After` for the client, if one is sent.
        retry_after: Option<Micros>,
    },
    /// Final answer: fail the query. A part may have run, so a retry by the client may have a second effect.
    Fail {
        /// Id of the query.
        query: Id,
    },
    /// Deliver [`Event::TimerFired`] after this time.
    SetTimer(Micros),
    /// Fetch the endpoint list and watch it for changes.
    WatchEndpointList,
    /// Write a line to the log.
    Log(String),
}
