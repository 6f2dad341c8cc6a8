//! Validates a member's configuration file: checks that values are in range and do not contradict each other.

use super::{BudgetConfig, FleetConfig, FrontNodeConfig, RolloutConfig};
use pinetrestle_fleet::{Task, MAX_MEMBERS, MAX_TASKS, MAX_TASK_NAME_BYTES, TTL_RANGE_MS};
use pinetrestle_operator::{Validate, ValidationError};
use pinetrestle_rollout::MAX_NAME_BYTES;
use std::fmt::Display;
use std::ops::RangeInclusive;

/// Allowed duration of a Raft tick, in milliseconds.
const TICK_MS: RangeInclusive<u64> = 10..=1_000;
/// Allowed interval between two actions under a lease, in milliseconds.
const ACTION_INTERVAL_MS: RangeInclusive<u64> = 10..=10_000;
/// Allowed number of applied log entries between two snapshots.
const SNAPSHOT_INTERVAL: RangeInclusive<u64> = 10..=1_000_000;
/// Allowed share of front nodes, index servers or queries.
const SHARE: RangeInclusive<f64> = 0.0..=1.0;
/// Allowed number of stages of the return of an index server.
const RAMP_STAGES: RangeInclusive<u32> = 1..=16;
/// Allowed interval between two polls of the front node, in milliseconds.
const POLL_INTERVAL_MS: RangeInclusive<u64> = 20..=10_000;
/// Minimum timeout for the start and for the shutdown of a front node, in milliseconds.
const MIN_START_STOP_TIMEOUT_MS: u64 = 1_000;
/// Minimum duration of a lease, and of the silence after which a member counts as unreachable, in election
/// timeouts. Neither may run out during a change of leader, which takes one election timeout.
const MIN_ELECTION_TIMEOUTS: u64 = 2;
/// Minimum time without a leader after which a member starts its front node without a decision of the fleet,
/// in election timeouts.
const MIN_STANDALONE_ELECTION_TIMEOUTS: u64 = 4;

impl Validate for FleetConfig {
    fn validate(&self) -> Result<(), ValidationError> {
        self.validate_members()?;
        self.validate_raft_times()?;
        self.validate_tasks()?;
        require_in("act_ms", &self.action_interval_ms, &ACTION_INTERVAL_MS, "write 50")?;
        require_in("snapshot_every", &self.snapshot_interval, &SNAPSHOT_INTERVAL, "write 1000")?;
        match (&self.rollout, &self.front_node) {
            (Some(rollout), _) => self.validate_rollout(rollout),
            (None, None) => Ok(()),
            (None, Some(_)) => Err(ValidationError::new(
                "front",
                "requires rollout",
                "add rollout with the limits for nodes and servers",
            )),
        }
    }
}

impl FleetConfig {
    fn validate_members(&self) -> Result<(), ValidationError> {
        if self.peers.is_empty() || self.peers.len() > MAX_MEMBERS {
            return Err(ValidationError::new(
                "peers",
                "has no members or too many",
                format!("list 1 to {MAX_MEMBERS} members"),
            ));
        }
        for index in 0..self.peers.len() {
            self.validate_peer(index)?;
        }
        if self.address_of(self.id).is_none() {
            return Err(ValidationError::new(
                "id",
                format!("{} is not among the peers", self.id),
                "use one of peers[].id",
            ));
        }
        let is_other_peer = |id: u64| id != self.id && self.address_of(id).is_some();
        if let Some(index) = self.dial.iter().position(|dial| !is_other_peer(dial.id)) {
            return Err(ValidationError::new(
                format!("dial[{index}].id"),
                "is not the id of another peer",
                "use one of peers[].id other than id",
            ));
        }
        Ok(())
    }

    fn validate_peer(&self, index: usize) -> Result<(), ValidationError> {
        let peer = &self.peers[index];
        if peer.id == 0 {
            return Err(ValidationError::new(
                format!("peers[{index}].id"),
                "is 0",
                "number the members from 1",
            ));
        }
        let is_same = |other: &super::Peer| other.id == peer.id || other.address == peer.address;
        if let Some(earlier) = self.peers[..index].iter().position(is_same) {
            return Err(ValidationError::new(
                format!("peers[{index}]"),
                format!("has the id or address of peers[{earlier}]"),
                "give each member its own id and address",
            ));
        }
        Ok(())
    }

    fn validate_raft_times(&self) -> Result<(), ValidationError> {
        require_in("tick_ms", &self.tick_ms, &TICK_MS, "write 50")?;
        if self.heartbeat_ticks == 0 || self.election_ticks <= 2 * self.heartbeat_ticks {
            return Err(ValidationError::new(
                "election_ticks",
                "is not greater than twice heartbeat_ticks",
                "write election_ticks 10 and heartbeat_ticks 2",
            ));
        }
        let min_lease_ms = MIN_ELECTION_TIMEOUTS * self.election_timeout_ms();
        if !TTL_RANGE_MS.contains(&self.lease_ms) || self.lease_ms < min_lease_ms {
            return Err(ValidationError::new(
                "lease_ms",
                format!(
                    "is outside {}..={} ms or shorter than two election timeouts",
                    TTL_RANGE_MS.start(),
                    TTL_RANGE_MS.end()
                ),
                format!("write at least {}", min_lease_ms.max(*TTL_RANGE_MS.start())),
            ));
        }
        Ok(())
    }

    fn validate_tasks(&self) -> Result<(), ValidationError> {
        if self.tasks.len() > MAX_TASKS {
            return Err(ValidationError::new(
                "tasks",
                "has too many entries",
                format!("list at most {MAX_TASKS}"),
            ));
        }
        if let Some(index) = self.tasks.iter().position(|task| !Task::is_valid_name(task)) {
            return Err(ValidationError::new(
                format!("tasks[{index}]"),
                "is empty or too long",
                format!("use 1 to {MAX_TASK_NAME_BYTES} bytes"),
            ));
        }
        Ok(())
    }

    fn validate_rollout(&self, rollout: &RolloutConfig) -> Result<(), ValidationError> {
        rollout.nodes.validate("rollout.nodes")?;
        rollout.servers.validate("rollout.servers")?;
        require_in(
            "rollout.failed_share",
            &rollout.max_failed_query_share,
            &SHARE,
            "write a share such as 0.01",
        )?;
        if rollout.canary_nodes as usize > self.peers.len() {
            return Err(ValidationError::new(
                "rollout.canary",
                "is greater than the number of peers",
                "write 1",
            ));
        }
        require_in("rollout.ramp_stages", &rollout.ramp_stages, &RAMP_STAGES, "write 4")?;
        let min_unreachable_ms = MIN_ELECTION_TIMEOUTS * self.election_timeout_ms();
        if rollout.unreachable_after_ms < min_unreachable_ms {
            return Err(ValidationError::new(
                "rollout.lost_ms",
                "is shorter than two election timeouts: a change of leader would make members unreachable",
                format!("write at least {min_unreachable_ms}"),
            ));
        }
        if rollout.step_timeout_ms <= rollout.settle_ms {
            return Err(ValidationError::new(
                "rollout.step_ms",
                "is not longer than settle_ms, which is only a part of each step",
                format!("write at least {}", suggested_step_timeout_ms(rollout.settle_ms)),
            ));
        }
        self.validate_recovery()?;
        match &self.front_node {
            Some(front_node) => front_node.validate(),
            None => Ok(()),
        }
    }

    fn validate_recovery(&self) -> Result<(), ValidationError> {
        let min_standalone_ms = MIN_STANDALONE_ELECTION_TIMEOUTS * self.election_timeout_ms();
        if self.recovery.standalone_after_ms < min_standalone_ms {
            return Err(ValidationError::new(
                "recovery.alone_ms",
                "is shorter than four election timeouts: a change of leader could start safe mode",
                format!("write at least {min_standalone_ms}"),
            ));
        }
        Ok(())
    }
}

impl BudgetConfig {
    /// Validates the limits. `key` is the path of their object in the file, for the error.
    fn validate(&self, key: &str) -> Result<(), ValidationError> {
        if self.max_unavailable == 0 {
            return Err(ValidationError::new(
                format!("{key}.most"),
                "is 0, which would never allow a drain or an update",
                "write at least 1",
            ));
        }
        require_in(
            &format!("{key}.share"),
            &self.max_unavailable_share,
            &SHARE,
            "write a share such as 0.2",
        )?;
        if self.max_unavailable_per_zone == Some(0) {
            return Err(ValidationError::new(
                format!("{key}.zone_most"),
                "is 0",
                "write at least 1, or leave it out",
            ));
        }
        Ok(())
    }
}

impl FrontNodeConfig {
    fn validate(&self) -> Result<(), ValidationError> {
        let is_invalid_name = |name: &str| name.is_empty() || name.len() > MAX_NAME_BYTES;
        if let Some(name) = self.versions.keys().find(|name| is_invalid_name(name)) {
            return Err(ValidationError::new(
                format!("front.versions.{name}"),
                "has an empty or too long name",
                format!("use 1 to {MAX_NAME_BYTES} bytes"),
            ));
        }
        if !self.versions.contains_key(&self.initial_version) {
            return Err(ValidationError::new(
                "front.version",
                format!("{:?} is not among front.versions", self.initial_version),
                "use one of them, or add this version",
            ));
        }
        require_in("front.look_ms", &self.poll_interval_ms, &POLL_INTERVAL_MS, "write 100")?;
        require_min_start_stop_timeout("front.start_ms", self.start_timeout_ms)?;
        require_min_start_stop_timeout("front.stop_ms", self.stop_timeout_ms)
    }
}

/// Returns the step timeout that is suggested if the one in the file is too short: several times the minimum
/// duration of a step, which is `settle_ms`, and at least 4 s.
fn suggested_step_timeout_ms(settle_ms: u64) -> u64 {
    4 * settle_ms.max(1_000)
}

/// Requires a timeout for the start or shutdown of the front node to be at least
/// [`MIN_START_STOP_TIMEOUT_MS`].
fn require_min_start_stop_timeout(key: &str, milliseconds: u64) -> Result<(), ValidationError> {
    if milliseconds < MIN_START_STOP_TIMEOUT_MS {
        return Err(ValidationError::new(
            key,
            format!("is less than {MIN_START_STOP_TIMEOUT_MS}"),
            "write 10000",
        ));
    }
    Ok(())
}

/// Requires a value to be in a range. `remedy` tells the operator what to write instead.
fn require_in<T: PartialOrd + Display>(
    key: &str,
    value: &T,
    allowed: &RangeInclusive<T>,
    remedy: &str,
) -> Result<(), ValidationError> {
    if allowed.contains(value) {
        return Ok(());
    }
    let problem = format!("is outside {} to {}", allowed.start(), allowed.end());
    Err(ValidationError::new(key, problem, remedy))
}
