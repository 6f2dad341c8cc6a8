//! Commands that only the leader proposes: a newer plan from its configuration file, and index servers that
//! discovery lists differently from the replicated state.

use crate::relay::DiscoveredServer;
use pinetrestle_fleet::{RetryTimer, RETRY_INTERVAL_MS};
use pinetrestle_rollout::{Command, Plan, RolloutState};
use std::collections::BTreeMap;

/// The maximum number of index servers reported in one tick.
const MAX_SERVERS_PER_REPORT: usize = 32;

/// Limits how often the leader proposes its reports again while they are not applied.
#[derive(Default)]
pub(super) struct LeaderReports {
    plan: RetryTimer,
    /// When index servers were last compared with the replicated state, in milliseconds of the member's
    /// monotonic clock.
    servers_compared_ms: u64,
}

impl LeaderReports {
    /// Returns the command that makes `plan`, from the leader's configuration file, the current plan if the
    /// replicated state has no plan or one with a lower revision.
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

    /// Returns a report of each index server that discovery lists differently from the replicated state or no
    /// longer lists. An index server that is no longer listed is reported as not up.
    pub(super) fn changed_servers(
        &mut self,
        now: u64,
        listed: &BTreeMap<String, DiscoveredServer>,
        state: &RolloutState,
    ) -> Vec<Command> {
        if now < self.servers_compared_ms + RETRY_INTERVAL_MS {
            return Vec::new();
        }
        self.servers_compared_ms = now;
        let known: BTreeMap<&str, (&str, bool)> =
            state.servers().map(|(name, server)| (name, (server.zone.as_str(), server.up))).collect();
        let changed = listed
            .iter()
            .filter(|(name, server)| known.get(name.as_str()) != Some(&(server.zone.as_str(), server.up)))
            .map(|(name, server)| observe_server(name, &server.zone, server.up));
        let unlisted = known
            .iter()
            .filter(|(name, (_, up))| *up && !listed.contains_key(**name))
            .map(|(name, (zone, _))| observe_server(name, zone, false));
        changed.chain(unlisted).take(MAX_SERVERS_PER_REPORT).collect()
    }
}

fn observe_server(server: &str, zone: &str, up: bool) -> Command {
    Command::ObserveServer { server: server.to_owned(), zone: zone.to_owned(), up }
}
