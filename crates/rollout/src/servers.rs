//! The replicated state of index servers, which are drained and opened again for all front nodes of the fleet
//! together.

use crate::limits::{is_valid_name, MAX_SERVERS};
use crate::outcome::{Outcome, Refusal};
use crate::plan::Plan;
use pinetrestle_fleet::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The phase of an index server: which front nodes send to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerPhase {
    /// All front nodes may send to the server.
    Serving,
    /// No front node may send to the server, but not every front node has acknowledged the drain yet.
    Draining,
    /// Every front node has acknowledged the drain. The server may be stopped once it has answered its last
    /// parts.
    Drained,
    /// The server returns to service. The value is the number of the ramp's stages that are open.
    Ramping(u32),
}

/// The replicated state of one index server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerState {
    /// The zone of the server.
    pub zone: String,
    /// Whether discovery lists the server as up.
    pub up: bool,
    /// The phase of the server.
    pub phase: ServerPhase,
    /// The log index of the last command that changed the phase of this server; 0 before the first. The
    /// change from draining to drained does not count, because it is caused by the last acknowledgement of
    /// the same change.
    pub change_index: u64,
    /// The front nodes that have acknowledged the change at `change_index`: their endpoint lists show it.
    pub acknowledged_by: BTreeSet<MemberId>,
}

impl ServerState {
    /// Returns whether the server counts against the budget: it is down, or its phase is not serving.
    pub fn is_unavailable(&self) -> bool {
        !self.up || self.phase != ServerPhase::Serving
    }

    fn change_phase(&mut self, phase: ServerPhase, change_index: u64) {
        self.phase = phase;
        self.change_index = change_index;
        self.acknowledged_by.clear();
    }

    fn is_acknowledged_by_all(&self, plan: &Plan) -> bool {
        plan.nodes.keys().all(|node| self.acknowledged_by.contains(node))
    }
}

/// The replicated state of all known index servers, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ServerTable {
    servers: BTreeMap<String, ServerState>,
}

impl ServerTable {
    pub(crate) fn get(&self, server: &str) -> Option<&ServerState> {
        self.servers.get(server)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &ServerState)> {
        self.servers.iter().map(|(name, state)| (name.as_str(), state))
    }

    /// Records how discovery lists `server`. A server that is new to the table starts as serving.
    pub(crate) fn observe(&mut self, server: &str, zone: &str, up: bool) -> Result<Outcome, Refusal> {
        if let Some(state) = self.servers.get_mut(server) {
            let is_unchanged = state.up == up && state.zone == zone;
            state.up = up;
            state.zone = zone.to_owned();
            return Ok(if is_unchanged { Outcome::Unchanged } else { Outcome::Applied });
        }
        if !is_valid_name(server) || self.servers.len() >= MAX_SERVERS {
            return Err(Refusal::InvalidName);
        }
        let state = ServerState {
            zone: zone.to_owned(),
            up,
            phase: ServerPhase::Serving,
            change_index: 0,
            acknowledged_by: BTreeSet::new(),
        };
        self.servers.insert(server.to_owned(), state);
        Ok(Outcome::Applied)
    }

    /// Begins to drain `server`, if the server budget of `plan` allows it.
    pub(crate) fn drain(&mut self, index: u64, server: &str, plan: &Plan) -> Result<Outcome, Refusal> {
        let state = self.servers.get(server).ok_or(Refusal::UnknownUnit)?;
        match state.phase {
            ServerPhase::Draining | ServerPhase::Drained => return Ok(Outcome::Unchanged),
            ServerPhase::Serving | ServerPhase::Ramping(_) => {}
        }
        let unavailable =
            self.servers.iter().filter(|(name, other)| *name != server && other.is_unavailable());
        let unavailable_zones = unavailable.map(|(_, other)| Some(other.zone.as_str()));
        plan.server_budget.check(self.servers.len(), Some(&state.zone), unavailable_zones)?;
        if let Some(state) = self.servers.get_mut(server) {
            state.change_phase(ServerPhase::Draining, index);
        }
        self.finish_acknowledged_drains(plan);
        Ok(Outcome::Applied)
    }

    /// Ends the drain of `server` and opens the first stage of its ramp.
    pub(crate) fn begin_ramp(&mut self, index: u64, server: &str) -> Result<Outcome, Refusal> {
        let state = self.servers.get_mut(server).ok_or(Refusal::UnknownUnit)?;
        match state.phase {
            ServerPhase::Draining | ServerPhase::Drained => {
                state.change_phase(ServerPhase::Ramping(1), index);
                Ok(Outcome::Applied)
            }
            ServerPhase::Serving | ServerPhase::Ramping(_) => Ok(Outcome::Unchanged),
        }
    }

    /// Records that `node` has acknowledged the change of `server` at `change_index`.
    pub(crate) fn acknowledge(
        &mut self,
        node: MemberId,
        server: &str,
        change_index: u64,
    ) -> Result<Outcome, Refusal> {
        let state = self.server_at_change(server, change_index)?;
        let is_new = state.acknowledged_by.insert(node);
        Ok(if is_new { Outcome::Applied } else { Outcome::Unchanged })
    }

    /// Changes every draining server to drained whose drain was acknowledged by all front nodes of `plan`.
    ///
    /// That includes the front nodes of unreachable members, which may still send to the server: the drain
    /// waits until such a member is reachable again and has acknowledged it.
    pub(crate) fn finish_acknowledged_drains(&mut self, plan: &Plan) {
        for state in self.servers.values_mut() {
            if state.phase == ServerPhase::Draining && state.is_acknowledged_by_all(plan) {
                state.phase = ServerPhase::Drained;
            }
        }
    }

    /// Opens the next stage of the ramp of `server`, or changes the server to serving after the last stage.
    /// `change_index` has to be the log index of the server's last change.
    pub(crate) fn advance_ramp(
        &mut self,
        index: u64,
        server: &str,
        change_index: u64,
        ramp_stages: u32,
    ) -> Result<Outcome, Refusal> {
        let state = self.server_at_change(server, change_index)?;
        let ServerPhase::Ramping(stage) = state.phase else { return Err(Refusal::NotEligible) };
        if !state.up {
            return Err(Refusal::NotEligible);
        }
        let next = if stage >= ramp_stages { ServerPhase::Serving } else { ServerPhase::Ramping(stage + 1) };
        state.change_phase(next, index);
        Ok(Outcome::Applied)
    }

    /// Returns the state of `server` if its last change is the one at `change_index`.
    fn server_at_change(&mut self, server: &str, change_index: u64) -> Result<&mut ServerState, Refusal> {
        let state = self.servers.get_mut(server).ok_or(Refusal::UnknownUnit)?;
        if state.change_index == change_index {
            Ok(state)
        } else {
            Err(Refusal::Stale)
        }
    }
}
