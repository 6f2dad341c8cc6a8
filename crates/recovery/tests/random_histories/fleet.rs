//! A simulated fleet: the replicated state, the members and their front nodes, and the checks after each
//! change.

use crate::event::{Event, MEMBERS};
use pinetrestle_fleet::{MemberId, Token};
use pinetrestle_recovery::{
    AdmissionController, AdmissionDecision, Command, Outcome, RecoveryCoordinator, RecoveryStage,
    RecoveryState,
};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum duration of a wave, in milliseconds.
const MIN_WAVE_MS: u64 = 500;
/// A time without a leader, in milliseconds, that is never reached, so that no member enters safe mode.
const NO_SAFE_MODE_MS: u64 = u64::MAX / 2;
/// Number of rounds without faults within which every front node has to be running again.
const MAX_ROUNDS_WITHOUT_FAULTS: u32 = 400;

struct Member {
    id: MemberId,
    incarnation: u64,
    up: bool,
    front_node_runs: bool,
    has_endpoint_list: bool,
    admission: AdmissionController,
}

/// A wave that was opened.
struct Wave {
    size: u32,
    opened_ms: u64,
}

pub struct Fleet {
    now_ms: u64,
    term: u64,
    token: Token,
    state: RecoveryState,
    coordinator: RecoveryCoordinator,
    members: BTreeMap<u64, Member>,
    /// Proposals that have been neither committed nor lost.
    in_flight: Vec<Command>,
    /// Whether the fleet has not reached the normal stage since the last power loss.
    is_recovering: bool,
    /// The waves opened since the last power loss.
    waves: Vec<Wave>,
}

impl Member {
    fn new(id: u64) -> Member {
        let id = MemberId(id);
        Member {
            id,
            incarnation: 0,
            up: false,
            front_node_runs: false,
            has_endpoint_list: false,
            admission: AdmissionController::new(id, 0, 1),
        }
    }

    fn start(&mut self) {
        if !self.up {
            self.up = true;
            self.incarnation += 1;
            self.admission = AdmissionController::new(self.id, self.incarnation, NO_SAFE_MODE_MS);
        }
    }

    fn stop(&mut self) {
        self.up = false;
        self.front_node_runs = false;
        self.has_endpoint_list = false;
    }

    fn presence(&self, term: u64) -> Command {
        Command::ReportPresence {
            node: self.id,
            incarnation: self.incarnation,
            term,
            serving: self.front_node_runs,
            has_endpoint_list: self.has_endpoint_list,
        }
    }
}

impl Fleet {
    pub fn new() -> Fleet {
        Fleet {
            now_ms: 0,
            term: 0,
            token: Token(1),
            state: RecoveryState::new(),
            coordinator: RecoveryCoordinator::new(),
            members: (1..=MEMBERS).map(|id| (id, Member::new(id))).collect(),
            in_flight: Vec::new(),
            is_recovering: true,
            waves: Vec::new(),
        }
    }

    /// Applies a command and checks the change: during a recovery no member loses its admission, no wave
    /// opens too early, and a stage is only advanced from [`RecoveryStage::AwaitingEndpointLists`] or
    /// [`RecoveryStage::Waves`].
    fn commit(&mut self, command: &Command) {
        let admitted_before = self.admitted();
        let stage_before = self.state.stage();
        let outcome = self.state.apply(command, Some(self.token));
        let stage = self.state.stage();
        if stage == RecoveryStage::Normal && self.has_leader() {
            self.is_recovering = false;
        }
        let admitted = self.admitted();
        let is_in_recovery =
            matches!(stage_before, RecoveryStage::AwaitingEndpointLists | RecoveryStage::Waves(_));
        assert!(
            !is_in_recovery || admitted_before.is_subset(&admitted),
            "members {admitted_before:?} were admitted before {command:?}, only {admitted:?} after it"
        );
        if let RecoveryStage::Waves(size) = stage {
            if stage != stage_before {
                self.record_wave(size);
            }
        }
        if matches!(command, Command::AdvanceStage { .. }) && outcome == Outcome::Applied {
            assert!(stage_before != RecoveryStage::CountingMembers && stage_before != RecoveryStage::Normal);
        }
    }

    fn record_wave(&mut self, size: u32) {
        if let Some(last) = self.waves.last() {
            let lasted_ms = self.now_ms - last.opened_ms;
            assert!(
                size <= last.size || lasted_ms >= MIN_WAVE_MS,
                "a wave was opened {lasted_ms} ms after the previous one"
            );
        }
        self.waves.push(Wave { size, opened_ms: self.now_ms });
    }

    /// Returns the members that are up and whose current incarnation is admitted.
    fn admitted(&self) -> BTreeSet<u64> {
        let is_admitted = |member: &Member| self.state.is_admitted(member.id, member.incarnation);
        let admitted = self.members.iter().filter(|(_, member)| member.up && is_admitted(member));
        admitted.map(|(id, _)| *id).collect()
    }

    /// Returns whether the election of the leader of the current term has been applied.
    fn has_leader(&self) -> bool {
        self.term == self.state.term()
    }

    pub fn play(&mut self, event: &Event) {
        match event {
            Event::Start { member } => self.member(*member).start(),
            Event::PowerLoss => self.lose_power(),
            Event::Stop { member } => self.member(*member).stop(),
            Event::ReceiveEndpointList { member } => {
                let member = self.member(*member);
                member.has_endpoint_list = member.up;
            }
            Event::ReportPresence { member } => self.report_presence(*member),
            Event::Elect { member } => self.elect(*member),
            Event::PollCoordinator => self.poll_coordinator(),
            Event::PollAdmission { member } => self.poll_admission(*member),
            Event::Commit { position, twice } => self.commit_proposal(*position, *twice),
            Event::LoseProposal { position } => {
                self.take_proposal(*position);
            }
            Event::AdvanceTime { ms } => self.now_ms += ms,
        }
    }

    fn member(&mut self, id: u64) -> &mut Member {
        self.members.get_mut(&id).expect("a member of the fleet")
    }

    fn lose_power(&mut self) {
        for member in self.members.values_mut() {
            member.stop();
        }
        self.is_recovering = true;
        self.waves.clear();
        self.coordinator = RecoveryCoordinator::new();
        // There is no leader in the new term until one is elected. Proposals in flight may still be
        // committed.
        self.term += 1;
    }

    fn report_presence(&mut self, id: u64) {
        let member = &self.members[&id];
        if member.up && self.state.term() > 0 && self.has_leader() {
            self.in_flight.push(member.presence(self.term));
        }
    }

    fn elect(&mut self, id: u64) {
        let up = self.members.values().filter(|member| member.up).count() as u64;
        if !self.members[&id].up || 2 * up <= MEMBERS {
            return;
        }
        self.term += 1;
        self.token = Token(self.term * 100);
        let members = (1..=MEMBERS).map(MemberId).collect();
        // The first entry of a leader is committed before all other entries of its term.
        self.commit(&Command::LeaderElected { term: self.term, members });
    }

    fn poll_coordinator(&mut self) {
        if self.term > 0 && self.has_leader() {
            let command = self.coordinator.poll(self.now_ms, self.token, &self.state, false, MIN_WAVE_MS);
            self.in_flight.extend(command);
        }
    }

    /// Starts the member's front node if it is admitted. During a recovery, checks that no more front nodes
    /// run than the waves admit.
    fn poll_admission(&mut self, id: u64) {
        let leader_known = self.term > 0 && self.has_leader();
        let member = self.members.get_mut(&id).expect("a member of the fleet");
        if !member.up {
            return;
        }
        let running = member.front_node_runs;
        let decision = member.admission.poll(self.now_ms, leader_known, running, &self.state);
        if decision != AdmissionDecision::Admit || running {
            return;
        }
        member.front_node_runs = true;
        if self.is_recovering {
            self.check_wave_size();
        }
    }

    /// Checks that no more front nodes run than the largest wave so far admits.
    ///
    /// After an election during the recovery, the next wave may be smaller than the last one, but front nodes
    /// that were admitted before the election may still come up.
    fn check_wave_size(&self) {
        let largest_wave = self.waves.iter().map(|wave| wave.size).max().unwrap_or(0) as usize;
        let running = self.members.values().filter(|member| member.front_node_runs).count();
        assert!(running <= largest_wave, "{running} front nodes run, the largest wave is {largest_wave}");
    }

    fn commit_proposal(&mut self, position: usize, twice: bool) {
        let Some(command) = self.take_proposal(position) else { return };
        if twice {
            let position = position % (self.in_flight.len() + 1);
            self.in_flight.insert(position, command.clone());
        }
        self.commit(&command);
    }

    /// Removes the proposal at `position`, modulo the number of proposals, from those in flight, and returns
    /// it.
    fn take_proposal(&mut self, position: usize) -> Option<Command> {
        let in_flight = self.in_flight.len();
        (in_flight > 0).then(|| self.in_flight.remove(position % in_flight))
    }

    /// Starts every member and runs the fleet without faults until every front node runs.
    pub fn run_to_completion(&mut self) {
        for member in 1..=MEMBERS {
            self.play(&Event::Start { member });
        }
        self.in_flight.clear();
        self.play(&Event::Elect { member: 1 });
        for _ in 0..MAX_ROUNDS_WITHOUT_FAULTS {
            self.play_round_without_faults();
            if self.members.values().all(|member| member.front_node_runs) {
                return;
            }
        }
        panic!("not every front node was admitted: {:?}", self.state);
    }

    fn play_round_without_faults(&mut self) {
        self.play(&Event::AdvanceTime { ms: 20 });
        for member in 1..=MEMBERS {
            self.play(&Event::ReceiveEndpointList { member });
            self.play(&Event::ReportPresence { member });
            self.play(&Event::PollAdmission { member });
        }
        self.play(&Event::PollCoordinator);
        while !self.in_flight.is_empty() {
            let command = self.in_flight.remove(0);
            self.commit(&command);
        }
    }
}
