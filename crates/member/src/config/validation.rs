//! The checks of the fleet file beyond its form: ranges, and keys that contradict each other.

use super::{BudgetConfig, FleetConfig, FrontNodeConfig, RolloutConfig};
use pinetrestle_fleet::{Task, MAX_MEMBERS, MAX_TASKS, MAX_TASK_NAME_BYTES, TTL_RANGE_MS};
use pinetrestle_operator::{Validate, ValidationError};
use pinetrestle_rollout::MAX_NAME_BYTES;
use std::fmt::Display;
use std::ops::RangeInclusive;

/// Milliseconds a tick of Raft may have.
const TICK_MS: RangeInclusive<u64> = 10..=1_000;
/// Milliseconds between two actions under a lease.
const ACTION_INTERVAL_MS: RangeInclusive<u64> = 10..=10_000;
/// Applied entries between two snapshots.
const SNAPSHOT_INTERVAL: RangeInclusive<u64> = 10..=1_000_000;
/// A share of units or queries.
const SHARE: RangeInclusive<f64> = 0.0..=1.0;
/// Stages of an index server's return.
const RAMP_STAGES: RangeInclusive<u32> = 1..=16;
/// Milliseconds between two polls of the front node.
const POLL_INTERVAL_MS: RangeInclusive<u64> = 20..=10_000;
/// Least milliseconds for a front node to start, or to shut down.
const MIN_START_STOP_MS: u64 = 1_000;
/// Election timeouts that a lease, and the silence of a lost member, last at least: a change of leader takes one.
const MIN_ELECTIONS_PER_LEASE: u64 = 2;
/// Election timeouts without a leader that a front node waits at least before it is admitted by itself.
const MIN_ELECTIONS_STANDALONE: u64 = 4;

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
                "stands without rollout",
                "say what may be away under rollout",
            )),
        }
    }
}

impl FleetConfig {
    fn validate_members(&self) -> Result<(), ValidationError> {
        if self.peers.is_empty() || self.peers.len() > MAX_MEMBERS {
            return Err(ValidationError::new(
                "peers",
                "names no member or too many",
                format!("name 1 to {MAX_MEMBERS}"),
            ));
        }
        for index in 0..self.peers.len() {
            self.validate_peer(index)?;
        }
        if self.address_of(self.id).is_none() {
            return Err(ValidationError::new(
                "id",
                format!("{} is not among the peers", self.id),
                "name one of peers[].id",
            ));
        }
        let is_other_peer = |id: u64| id != self.id && self.address_of(id).is_some();
        if let Some(index) = self.dial.iter().position(|dial| !is_other_peer(dial.id)) {
            return Err(ValidationError::new(
                format!("dial[{index}].id"),
                "names no other peer",
                "name one of peers[].id but id",
            ));
        }
        Ok(())
    }

    fn validate_peer(&self, index: usize) -> Result<(), ValidationError> {
        let peer = &self.peers[index];
        if peer.id == 0 {
            return Err(ValidationError::new(format!("peers[{index}].id"), "is 0", "number members from 1"));
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
                "is not over twice heartbeat_ticks",
                "write election_ticks 10 and heartbeat_ticks 2",
            ));
        }
        let min_lease_ms = MIN_ELECTIONS_PER_LEASE * self.election_timeout_ms();
        if !TTL_RANGE_MS.contains(&self.lease_ms) || self.lease_ms < min_lease_ms {
            return Err(ValidationError::new(
                "lease_ms",
                format!(
                    "is outside {}..={} ms or under two election times",
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
            return Err(ValidationError::new("tasks", "names too many", format!("name at most {MAX_TASKS}")));
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
            "write a share, as 0.01",
        )?;
        if rollout.canary_nodes as usize > self.peers.len() {
            return Err(ValidationError::new("rollout.canary", "is more than there are peers", "write 1"));
        }
        require_in("rollout.ramp_stages", &rollout.ramp_stages, &RAMP_STAGES, "write 4")?;
        let min_lost_ms = MIN_ELECTIONS_PER_LEASE * self.election_timeout_ms();
        if rollout.unreachable_after_ms < min_lost_ms {
            return Err(ValidationError::new(
                "rollout.lost_ms",
                "is under two election times: a change of leader would call members lost",
                format!("write at least {min_lost_ms}"),
            ));
        }
        if rollout.step_timeout_ms <= rollout.settle_ms {
            return Err(ValidationError::new(
                "rollout.step_ms",
                "is not over settle_ms, which each step takes",
                format!("write at least {}", proposed_step_timeout_ms(rollout.settle_ms)),
            ));
        }
        self.validate_recovery()?;
        match &self.front_node {
            Some(front_node) => front_node.validate(),
            None => Ok(()),
        }
    }

    fn validate_recovery(&self) -> Result<(), ValidationError> {
        let min_standalone_ms = MIN_ELECTIONS_STANDALONE * self.election_timeout_ms();
        if self.recovery.standalone_after_ms < min_standalone_ms {
            return Err(ValidationError::new(
                "recovery.alone_ms",
                "is under four election times: a change of leader would look like no fleet",
                format!("write at least {min_standalone_ms}"),
            ));
        }
        Ok(())
    }
}

impl BudgetConfig {
    /// `key` is the budget's own key.
    fn validate(&self, key: &str) -> Result<(), ValidationError> {
        if self.max_unavailable == 0 {
            return Err(ValidationError::new(
                format!("{key}.most"),
                "is 0: nothing could ever go",
                "write at least 1",
            ));
        }
        require_in(&format!("{key}.share"), &self.max_unavailable_share, &SHARE, "write a share, as 0.2")?;
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
        let is_bad_name = |name: &str| name.is_empty() || name.len() > MAX_NAME_BYTES;
        if let Some(name) = self.versions.keys().find(|name| is_bad_name(name)) {
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
                "name one of them, or add it there",
            ));
        }
        require_in("front.look_ms", &self.poll_interval_ms, &POLL_INTERVAL_MS, "write 100")?;
        require_min_start_stop("front.start_ms", self.start_timeout_ms)?;
        require_min_start_stop("front.stop_ms", self.stop_timeout_ms)
    }
}

/// The step timeout to write where the file's is too short: several times what a step waits at least.
fn proposed_step_timeout_ms(settle_ms: u64) -> u64 {
    4 * settle_ms.max(1_000)
}

fn require_min_start_stop(key: &str, milliseconds: u64) -> Result<(), ValidationError> {
    if milliseconds < MIN_START_STOP_MS {
        return Err(ValidationError::new(key, format!("is under {MIN_START_STOP_MS}"), "write 10000"));
    }
    Ok(())
}

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
