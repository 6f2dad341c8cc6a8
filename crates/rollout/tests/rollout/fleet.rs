//! The replicated state of a fleet of four front nodes and five index servers, and helpers to apply commands
//! to it.

use pinetrestle_fleet::{MemberId, Token};
use pinetrestle_rollout::{
    Budget, Command, HealthCounters, NodePlan, Outcome, Plan, RolloutState, ServerPhase, ServerState,
};

/// The token of the release lease.
pub const LEASE: Token = Token(9);
/// The ids of the front nodes.
pub const NODES: std::ops::RangeInclusive<u64> = 1..=4;

pub struct Fleet {
    pub state: RolloutState,
    index: u64,
}

pub fn plan(revision: u64) -> Plan {
    Plan {
        revision,
        nodes: NODES.map(|id| (MemberId(id), NodePlan { zone: None })).collect(),
        node_budget: Budget {
            max_unavailable: 2,
            max_unavailable_per_mille: 500,
            max_unavailable_per_zone: None,
        },
        server_budget: Budget {
            max_unavailable: 2,
            max_unavailable_per_mille: 400,
            max_unavailable_per_zone: Some(1),
        },
        canary_nodes: 1,
        max_failed_steps: 1,
        max_failed_queries_per_mille: 10,
        step_timeout_ms: 1_000,
        settle_ms: 100,
        unreachable_after_ms: 500,
        ramp_stages: 2,
        ramp_stage_ms: 300,
    }
}

impl Fleet {
    /// Creates a fleet with a plan in which every front node has reported that it serves `v1` and every index
    /// server is up.
    pub fn new() -> Fleet {
        let mut fleet = Fleet { state: RolloutState::new(), index: 0 };
        assert_eq!(fleet.apply(Command::Configure(plan(1))), Outcome::Applied);
        for node in NODES {
            assert_eq!(fleet.report(node, 1, "v1"), Outcome::Applied);
        }
        for (server, zone) in [("s0", "a"), ("s1", "a"), ("s2", "b"), ("s3", "b"), ("s4", "c")] {
            assert_eq!(fleet.observe(server, zone, true), Outcome::Applied);
        }
        fleet
    }

    pub fn apply(&mut self, command: Command) -> Outcome {
        self.index += 1;
        self.state.apply(self.index, &command, Some(LEASE))
    }

    /// Applies a report that the front node serves `version`.
    pub fn report(&mut self, node: u64, report_seq: u64, version: &str) -> Outcome {
        self.report_status(node, report_seq, version, true)
    }

    pub fn report_status(&mut self, node: u64, report_seq: u64, version: &str, ready: bool) -> Outcome {
        let (node, version) = (MemberId(node), version.to_owned());
        self.apply(Command::ReportStatus { node, report_seq, version, ready })
    }

    pub fn declare_unreachable(&mut self, node: u64, report_seq: u64) -> Outcome {
        self.apply(Command::DeclareUnreachable { node: MemberId(node), report_seq })
    }

    pub fn release(&mut self, id: &str, to_version: &str) -> Outcome {
        self.apply(Command::Release { id: id.into(), to_version: to_version.into() })
    }

    pub fn halt(&mut self, id: &str) -> Outcome {
        self.apply(Command::Halt { id: id.into(), reason: "looks wrong".into() })
    }

    pub fn resume(&mut self, id: &str) -> Outcome {
        self.apply(Command::Resume { id: id.into() })
    }

    pub fn grant(&mut self, node: u64) -> Outcome {
        self.apply(Command::GrantSlot { token: LEASE, node: MemberId(node) })
    }

    pub fn slot_index(&self, node: u64) -> u64 {
        self.state.node(MemberId(node)).unwrap().slot.as_ref().unwrap().index
    }

    pub fn begin(&mut self, node: u64, slot_index: u64) -> Outcome {
        self.apply(Command::BeginStep { node: MemberId(node), slot_index })
    }

    /// Ends the step with counters that show no fault.
    pub fn finish(&mut self, node: u64, slot_index: u64) -> Outcome {
        self.finish_with(node, slot_index, HealthCounters::default())
    }

    pub fn finish_with(&mut self, node: u64, slot_index: u64, health: HealthCounters) -> Outcome {
        self.apply(Command::StepFinished { node: MemberId(node), slot_index, health })
    }

    /// Applies a whole step of the front node, from the grant to its success.
    pub fn pass_step(&mut self, node: u64) {
        assert_eq!(self.grant(node), Outcome::Applied);
        let slot_index = self.slot_index(node);
        assert_eq!(self.begin(node, slot_index), Outcome::Applied);
        assert_eq!(self.finish(node, slot_index), Outcome::Applied);
    }

    pub fn observe(&mut self, server: &str, zone: &str, up: bool) -> Outcome {
        self.apply(Command::ObserveServer { server: server.into(), zone: zone.into(), up })
    }

    pub fn drain(&mut self, id: &str, server: &str) -> Outcome {
        self.apply(Command::DrainServer { id: id.into(), server: server.into() })
    }

    pub fn acknowledge(&mut self, node: u64, server: &str, change_index: u64) -> Outcome {
        let (node, server) = (MemberId(node), server.to_owned());
        self.apply(Command::AcknowledgeDrain { node, server, change_index })
    }

    pub fn server(&self, server: &str) -> &ServerState {
        self.state.servers().find(|(name, _)| *name == server).unwrap().1
    }

    pub fn phase(&self, server: &str) -> ServerPhase {
        self.server(server).phase
    }
}
