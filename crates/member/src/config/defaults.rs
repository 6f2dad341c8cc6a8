//! Default values of the configuration file's keys, named like the fields that they are for.

/// Maximum share of front nodes or index servers that are unavailable at once: no limit besides the number.
pub(super) fn max_unavailable_share() -> f64 {
    1.0
}

/// Number of front nodes that a release updates before all others.
pub(super) fn canary_nodes() -> u32 {
    1
}

/// Number of failed steps that a release tolerates before it is halted.
pub(super) fn max_failed_steps() -> u32 {
    1
}

/// Maximum share of failed queries of a front node after its update.
pub(super) fn max_failed_query_share() -> f64 {
    0.01
}

/// Maximum duration of a step of a release, in milliseconds.
pub(super) fn step_timeout_ms() -> u64 {
    60_000
}

/// Milliseconds for which an updated front node serves before its health is checked.
pub(super) fn settle_ms() -> u64 {
    5_000
}

/// Milliseconds without a message from a member after which it counts as unreachable.
pub(super) fn unreachable_after_ms() -> u64 {
    5_000
}

/// Number of stages of the return of an index server.
pub(super) fn ramp_stages() -> u32 {
    4
}

/// Duration of one stage of the return of an index server, in milliseconds.
pub(super) fn ramp_stage_ms() -> u64 {
    5_000
}

/// Whether front nodes are admitted in waves after a power loss.
pub(super) fn waves() -> bool {
    true
}

/// Minimum duration of a wave, in milliseconds.
pub(super) fn min_wave_ms() -> u64 {
    2_000
}

/// Milliseconds without a leader after which a front node is admitted without a decision of the fleet.
pub(super) fn standalone_after_ms() -> u64 {
    30_000
}

/// Maximum duration of the graceful shutdown of a front node, in milliseconds.
pub(super) fn stop_timeout_ms() -> u64 {
    10_000
}

/// Maximum time from the start of a front node until it is ready, in milliseconds.
pub(super) fn start_timeout_ms() -> u64 {
    30_000
}

/// Interval between two polls of the front node, in milliseconds.
pub(super) fn poll_interval_ms() -> u64 {
    100
}

/// Duration of one Raft tick, in milliseconds.
pub(super) fn tick_ms() -> u64 {
    50
}

/// Raft ticks without a message from a leader after which a member starts an election.
pub(super) fn election_ticks() -> usize {
    10
}

/// Raft ticks between two heartbeats of a leader.
pub(super) fn heartbeat_ticks() -> usize {
    2
}

/// Duration of a lease, in milliseconds.
pub(super) fn lease_ms() -> u64 {
    2_000
}

/// Interval between two actions under a lease, in milliseconds.
pub(super) fn action_interval_ms() -> u64 {
    50
}

/// Number of applied log entries between two snapshots.
pub(super) fn snapshot_interval() -> u64 {
    1_000
}
