//! What only the leader proposes: its file's plan where it is newer, and what discovery lists.

use crate::relay::DiscoveredServer;
use pinetrestle_fleet::{RetryTimer, RETRY_INTERVAL_MS};
use pinetrestle_rollout::{Command, Plan, RolloutState};
use std::collections::BTreeMap;

/// Index servers reported in one tick, at most.
const MAX_SERVERS_REPORTED: usize = 32;

/// When the leader last proposed each of its reports.
#[derive(Default)]
pub(super) struct LeaderReports {
    plan: RetryTimer,
    servers_ms: u64,
}

impl LeaderReports {
    /// The file's plan, if the state has none or an older revision.
    pub(super) fn newer_plan(
        &mut self,
        now: u64,
        plan: Option<&Plan>,
        state: &RolloutState,
    ) -> Option<Command> {
        let plan = plan?;
        let newer = state.plan().is_none_or(|known| known.revision < plan.revision);
        (newer && self.plan.fire_if_due(now)).then(|| Command::Configure(plan.clone()))
    }

    /// Index servers that discovery lists otherwise than the state has them, and those that it lists no more.
    pub(super) fn changed_servers(
        &mut self,
        now: u64,
        listed: &BTreeMap<String, DiscoveredServer>,
        state: &RolloutState,
    ) -> Vec<Command> {
        if now < self.servers_ms + RETRY_INTERVAL_MS {
            return Vec::new();
        }
        self.servers_ms = now;
        let known: BTreeMap<&str, (&str, bool)> =
            state.servers().map(|(name, server)| (name, (server.zone.as_str(), server.up))).collect();
        let changed = listed
            .iter()
            .filter(|(name, server)| known.get(name.as_str()) != Some(&(server.zone.as_str(), server.up)))
            .map(|(name, server)| observed(name, &server.zone, server.up));
        let gone = known
            .iter()
            .filter(|(name, (_, up))| *up && !listed.contains_key(**name))
            .map(|(name, (zone, _))| observed(name, zone, false));
        changed.chain(gone).take(MAX_SERVERS_REPORTED).collect()
    }
}

fn observed(server: &str, zone: &str, up: bool) -> Command {
    Command::ObserveServer { server: server.to_owned(), zone: zone.to_owned(), up }
}
