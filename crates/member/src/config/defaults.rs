//! What a key of the fleet file is taken to be where the file leaves it out.

/// Share of all units that may be away at once: no bound beyond the count.
pub(super) fn max_unavailable_share() -> f64 {
    1.0
}

/// Front nodes that go first in a release, alone.
pub(super) fn canary_nodes() -> u32 {
    1
}

/// Steps that may fail before a release halts itself.
pub(super) fn max_failed_steps() -> u32 {
    1
}

/// Share of failed queries a front node may show after its step.
pub(super) fn max_failed_query_share() -> f64 {
    0.01
}

/// Milliseconds a step of a release may take.
pub(super) fn step_timeout_ms() -> u64 {
    60_000
}

/// Milliseconds a front node serves after its step before it is judged.
pub(super) fn settle_ms() -> u64 {
    5_000
}

/// Milliseconds without a message after which a member counts as unreachable.
pub(super) fn unreachable_after_ms() -> u64 {
    5_000
}

/// Stages in which a drained index server returns.
pub(super) fn ramp_stages() -> u32 {
    4
}

/// Milliseconds of one such stage.
pub(super) fn ramp_stage_ms() -> u64 {
    5_000
}

/// Whether front nodes are admitted by waves after a power loss.
pub(super) fn waves() -> bool {
    true
}

/// Milliseconds a wave lasts at least.
pub(super) fn min_wave_ms() -> u64 {
    2_000
}

/// Milliseconds without a leader after which a front node is admitted by itself.
pub(super) fn standalone_after_ms() -> u64 {
    30_000
}

/// Milliseconds a front node may take to shut down.
pub(super) fn stop_timeout_ms() -> u64 {
    10_000
}

/// Milliseconds a front node may take to be ready.
pub(super) fn start_timeout_ms() -> u64 {
    30_000
}

/// Milliseconds between two polls of the front node.
pub(super) fn poll_interval_ms() -> u64 {
    100
}

/// Milliseconds of one tick of Raft.
pub(super) fn tick_ms() -> u64 {
    50
}

/// Ticks without a message from a leader before a member stands for election.
pub(super) fn election_ticks() -> usize {
    10
}

/// Ticks between a leader's heartbeats.
pub(super) fn heartbeat_ticks() -> usize {
    2
}

/// Milliseconds of a lease.
pub(super) fn lease_ms() -> u64 {
    2_000
}

/// Milliseconds between two actions under a lease.
pub(super) fn action_interval_ms() -> u64 {
    50
}

/// Applied entries between two snapshots.
pub(super) fn snapshot_interval() -> u64 {
    1_000
}
