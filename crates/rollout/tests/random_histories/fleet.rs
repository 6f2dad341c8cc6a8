//! A simulated fleet: the log, the members with their front nodes, and the checks after each event.

use crate::event::{Event, OperatorCommand, NODES};
use crate::process::Process;
use pinetrestle_fleet::{MemberId, Token};
use pinetrestle_rollout::{
    Agent, AgentConfig, AgentOutput, Budget, Command, NodePlan, Outcome, Plan, ProcessAction, ReleaseStage,
    RolloutCoordinator, RolloutState, StartPermission,
};
use std::collections::BTreeMap;

/// Length of a round, in milliseconds.
const ROUND_MS: u64 = 40;
/// Number of log entries that a member applies in a round in which members apply the log slowly.
const SLOW_APPLY_ENTRIES: usize = 2;
/// The token that a member which has lost the lease still uses.
const LOST_TOKEN: Token = Token(7);
/// The tokens of leases that were moved to another member are higher than this.
const MOVED_TOKEN_BASE: u64 = 1_000;
/// Maximum and minimum number of rounds without faults until the fleet is idle: no release runs and no slot
/// is held.
const MAX_ROUNDS_WITHOUT_FAULTS: u32 = 4_000;
const MIN_ROUNDS_WITHOUT_FAULTS: u32 = 100;
/// Number of rounds without faults between two resumes by an operator.
const RESUME_EVERY: u32 = 50;

pub struct Member {
    pub process: Process,
    agent: Agent,
    coordinator: RolloutCoordinator,
    /// The replicated state as this member has it: it may not have applied the whole log.
    view: RolloutState,
    applied: usize,
    incarnation: u64,
    stalled_until_ms: u64,
}

/// A start of a version in a step.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct StepStart {
    member: u64,
    slot_index: u64,
    version: String,
}

struct LeaseHolder {
    member: u64,
    token: Token,
}

struct LoggedCommand {
    command: Command,
    /// The token of the release lease at the log index of the command.
    release_lease: Token,
}

pub struct Fleet {
    pub members: BTreeMap<u64, Member>,
    /// The replicated state with the whole log applied.
    pub state: RolloutState,
    /// The largest number of slots that were held at the same time.
    pub max_slots_held: usize,
    now_ms: u64,
    log: Vec<LoggedCommand>,
    lease: LeaseHolder,
    /// Proposals that have been neither committed nor lost.
    in_flight: Vec<Command>,
    node_limit: usize,
    operator_commands: u64,
    releases: u64,
    step_starts: BTreeMap<StepStart, u64>,
    /// Whether no member has restarted and no process has crashed. As long as that is so, each step starts
    /// its version only once.
    is_without_crashes: bool,
}

fn plan(max_unavailable: u32) -> Plan {
    let zone = |id: u64| if id.is_multiple_of(2) { "a" } else { "b" };
    Plan {
        revision: 1,
        nodes: (1..=NODES).map(|id| (MemberId(id), NodePlan { zone: Some(zone(id).into()) })).collect(),
        node_budget: Budget {
            max_unavailable,
            max_unavailable_per_mille: 500,
            max_unavailable_per_zone: Some(1),
        },
        server_budget: Budget {
            max_unavailable: 1,
            max_unavailable_per_mille: 500,
            max_unavailable_per_zone: None,
        },
        canary_nodes: 1,
        max_failed_steps: 1,
        max_failed_queries_per_mille: 10,
        step_timeout_ms: 3_000,
        settle_ms: 500,
        unreachable_after_ms: 1_000,
        ramp_stages: 2,
        ramp_stage_ms: 500,
    }
}

fn agent(member: u64, incarnation: u64) -> Agent {
    Agent::new(AgentConfig {
        node: MemberId(member),
        versions: ["v1", "v2", "v3"].map(String::from).into(),
        initial_version: "v1".into(),
        report_seq_base: incarnation << 32,
        stop_timeout_ms: 2_000,
        start_timeout_ms: 2_000,
    })
}

impl Member {
    fn new(id: u64) -> Member {
        Member {
            process: Process::serving("v1"),
            agent: agent(id, 1),
            coordinator: RolloutCoordinator::new(),
            view: RolloutState::new(),
            applied: 0,
            incarnation: 1,
            stalled_until_ms: 0,
        }
    }

    /// Starts a new incarnation, which applies the log again from its beginning.
    fn restart(&mut self, id: u64) {
        self.incarnation += 1;
        self.agent = agent(id, self.incarnation);
        self.coordinator = RolloutCoordinator::new();
        self.view = RolloutState::new();
        self.applied = 0;
    }
}

impl Fleet {
    pub fn new(max_unavailable: u32) -> Fleet {
        let plan = plan(max_unavailable);
        let mut fleet = Fleet {
            members: (1..=NODES).map(|id| (id, Member::new(id))).collect(),
            state: RolloutState::new(),
            max_slots_held: 0,
            now_ms: 0,
            log: Vec::new(),
            lease: LeaseHolder { member: 1, token: Token(1) },
            in_flight: Vec::new(),
            node_limit: plan.node_budget.limit(NODES as usize) as usize,
            operator_commands: 0,
            releases: 0,
            step_starts: BTreeMap::new(),
            is_without_crashes: true,
        };
        fleet.commit(Command::Configure(plan));
        fleet
    }

    pub fn commit(&mut self, command: Command) {
        let is_halted = self.state.halt().is_some();
        let token = self.lease.token;
        let index = self.log.len() as u64 + 1;
        let is_applied = self.state.apply(index, &command, Some(token)) == Outcome::Applied;
        if let Command::GrantSlot { token: granted_under, .. } = &command {
            assert!(
                !is_applied || *granted_under == token,
                "a grant of a coordinator without the lease was applied"
            );
        }
        let begins = is_applied && matches!(command, Command::BeginStep { .. });
        assert!(!(begins && is_halted), "a step began during a halt");
        self.log.push(LoggedCommand { command, release_lease: token });
    }

    /// Commits all proposals in flight, the last one first.
    pub fn commit_in_flight(&mut self) {
        while let Some(command) = self.in_flight.pop() {
            self.commit(command);
        }
    }

    /// Plays an event, then checks that no more front nodes are stopped than the budget allows.
    pub fn play(&mut self, event: &Event) {
        match event {
            Event::Round { members, left_in_flight } => self.play_round(*members, *left_in_flight),
            Event::Stall { member, ms } => {
                let until_ms = self.now_ms + ms;
                self.member(*member).stalled_until_ms = until_ms;
            }
            Event::CommitCopy { places_back } => self.commit_copy(*places_back),
            Event::AdvanceTime { ms } => self.now_ms += ms,
            Event::Apply { member, entries } => self.apply(*member, *entries),
            Event::Commit { position, twice } => self.commit_proposal(*position, *twice),
            Event::LoseProposal { position } => {
                self.take_proposal(*position);
            }
            Event::PollAgent { member } => self.poll_agent(*member),
            Event::PollCoordinator { member } => self.poll_coordinator(*member),
            Event::MoveLease { member } => {
                let token = Token(self.log.len() as u64 + MOVED_TOKEN_BASE);
                self.lease = LeaseHolder { member: *member, token };
            }
            Event::RestartMember { member } => {
                self.is_without_crashes = false;
                self.member(*member).restart(*member);
            }
            Event::AdvanceProcess { member } => self.advance_process(*member),
            Event::CrashProcess { member } => {
                self.is_without_crashes = false;
                self.member(*member).process.end();
            }
            Event::FailQueries { member } => self.member(*member).process.counters.failed += 5,
            Event::DeclareUnreachable { member } => self.declare_unreachable(*member),
            Event::Operator(command) => self.send_operator_command(*command),
        }
        self.check_budget();
    }

    fn check_budget(&mut self) {
        let stopped = self.members.values().filter(|member| member.process.stopped_by_agent).count();
        let slots_held = self.state.nodes().filter(|(_, node)| node.slot.is_some()).count();
        self.max_slots_held = self.max_slots_held.max(slots_held);
        assert!(
            stopped <= self.node_limit,
            "{stopped} front nodes stopped at once, {} allowed",
            self.node_limit
        );
    }

    fn member(&mut self, id: u64) -> &mut Member {
        self.members.get_mut(&id).expect("a member of the fleet")
    }

    fn is_stalled(&self, id: u64) -> bool {
        self.members[&id].stalled_until_ms > self.now_ms
    }

    fn play_round(&mut self, members: u8, left_in_flight: usize) {
        self.now_ms += ROUND_MS;
        let takes_part = |id: &u64| members & (1 << id) != 0;
        // No member has the id 0: bit 0 says whether the members apply the log slowly in this round.
        let entries = if members & 1 == 0 { usize::MAX } else { SLOW_APPLY_ENTRIES };
        for id in (1..=NODES).filter(takes_part) {
            if self.is_stalled(id) {
                continue;
            }
            self.apply(id, entries);
            self.poll_agent(id);
            self.play(&Event::AdvanceProcess { member: id });
        }
        let holder = self.lease.member;
        if !self.is_stalled(holder) && takes_part(&holder) {
            self.poll_coordinator(holder);
        }
        while self.in_flight.len() > left_in_flight {
            let command = self.in_flight.remove(0);
            self.commit(command);
        }
    }

    fn commit_copy(&mut self, places_back: usize) {
        let position = self.log.len().checked_sub(places_back);
        let logged = position.and_then(|position| self.log.get(position));
        if let Some(command) = logged.map(|logged| logged.command.clone()) {
            self.commit(command);
        }
    }

    fn commit_proposal(&mut self, position: usize, twice: bool) {
        let Some(command) = self.take_proposal(position) else { return };
        if twice {
            let position = position % (self.in_flight.len() + 1);
            self.in_flight.insert(position, command.clone());
        }
        self.commit(command);
    }

    /// Removes the proposal at `position`, modulo the number of proposals, from those in flight, and returns
    /// it.
    fn take_proposal(&mut self, position: usize) -> Option<Command> {
        let in_flight = self.in_flight.len();
        (in_flight > 0).then(|| self.in_flight.remove(position % in_flight))
    }

    fn advance_process(&mut self, id: u64) {
        if !self.is_stalled(id) {
            self.member(id).process.advance();
        }
    }

    fn declare_unreachable(&mut self, id: u64) {
        let node = MemberId(id);
        if let Some(report_seq) = self.state.node(node).map(|known| known.report_seq) {
            self.in_flight.push(Command::DeclareUnreachable { node, report_seq });
        }
    }

    fn send_operator_command(&mut self, command: OperatorCommand) {
        let id = self.next_operator_id();
        let command = match command {
            OperatorCommand::Release => {
                self.releases += 1;
                let to_version = if self.releases % 2 == 1 { "v2" } else { "v3" };
                Command::Release { id, to_version: to_version.into() }
            }
            OperatorCommand::Halt => Command::Halt { id, reason: "requested by the test".into() },
            OperatorCommand::Resume => Command::Resume { id },
            OperatorCommand::Rollback => Command::Rollback { id },
        };
        self.in_flight.push(command);
    }

    fn next_operator_id(&mut self) -> String {
        self.operator_commands += 1;
        format!("op{}", self.operator_commands)
    }

    /// Applies up to `entries` further entries of the log at the member `id`.
    pub fn apply(&mut self, id: u64, entries: usize) {
        let member = self.members.get_mut(&id).expect("a member of the fleet");
        for logged in self.log.iter().skip(member.applied).take(entries) {
            member.applied += 1;
            member.view.apply(member.applied as u64, &logged.command, Some(logged.release_lease));
        }
    }

    pub fn poll_agent(&mut self, id: u64) {
        if self.is_stalled(id) {
            return;
        }
        let now_ms = self.now_ms;
        let member = self.member(id);
        let status = member.process.status();
        let output = member.agent.poll(now_ms, &status, &member.view, StartPermission::Normal);
        let AgentOutput { commands, action } = output;
        let slot_index = member.agent.slot_index();
        if let (Some(ProcessAction::Start(version)), Some(slot_index)) = (&action, slot_index) {
            self.record_step_start(StepStart { member: id, slot_index, version: version.clone() });
        }
        if let Some(action) = action {
            self.member(id).process.carry_out(action);
        }
        self.in_flight.extend(commands);
    }

    fn record_step_start(&mut self, start: StepStart) {
        let starts = self.step_starts.entry(start).or_default();
        *starts += 1;
        assert!(*starts == 1 || !self.is_without_crashes, "a step was done twice");
    }

    pub fn poll_coordinator(&mut self, id: u64) {
        // A member that has lost the lease may still act as coordinator for a while, with its old token.
        let token = if self.lease.member == id { self.lease.token } else { LOST_TOKEN };
        let now_ms = self.now_ms;
        let member = self.member(id);
        let commands = member.coordinator.poll(now_ms, token, &member.view);
        self.in_flight.extend(commands);
    }

    /// Runs the fleet without faults until it is idle.
    pub fn run_without_faults(&mut self) {
        for round in 0..MAX_ROUNDS_WITHOUT_FAULTS {
            self.play(&Event::AdvanceTime { ms: 20 });
            self.commit_in_flight();
            for member in 1..=NODES {
                self.apply(member, usize::MAX);
                self.play(&Event::PollAgent { member });
                self.play(&Event::AdvanceProcess { member });
            }
            self.poll_coordinator(self.lease.member);
            if round % RESUME_EVERY == 0 && self.state.halt().is_some() {
                let id = self.next_operator_id();
                self.commit(Command::Resume { id });
            }
            if round > MIN_ROUNDS_WITHOUT_FAULTS && self.is_idle() {
                return;
            }
        }
        let nodes: Vec<_> = self.state.nodes().collect();
        panic!("the fleet did not become idle: {:?} {nodes:?}", self.state.release());
    }

    /// Returns whether no release is running, nothing is halted, no slot is held, and every front node
    /// serves.
    fn is_idle(&self) -> bool {
        let no_release_runs =
            self.state.release().is_none_or(|release| release.stage != ReleaseStage::Running);
        no_release_runs
            && self.state.halt().is_none()
            && self.members.values().all(|member| member.process.ready)
            && self.state.nodes().all(|(_, node)| node.slot.is_none() && node.ready && !node.unreachable)
    }
}
