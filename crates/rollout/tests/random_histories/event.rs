//! The events of a random sequence, and how likely each of them is.

use proptest::prelude::*;

/// Number of front nodes of the fleet, one per member. Their ids are 1 to this number.
pub const NODES: u64 = 5;

#[derive(Debug, Clone)]
pub enum Event {
    /// The members whose bits are set in `members` (bit 1 for id 1, and so on) apply entries of the log, poll
    /// their agents and advance their processes. If the lease holder is among them, its coordinator is
    /// polled. Then all proposals in flight but `left_in_flight` are committed. Bit 0 limits the number of
    /// log entries that each member applies.
    Round { members: u8, left_in_flight: usize },
    /// The member and its front node do nothing for `ms` milliseconds.
    Stall { member: u64, ms: u64 },
    /// A copy of the command at `places_back` places before the end of the log is committed.
    CommitCopy { places_back: usize },
    /// `ms` milliseconds pass.
    AdvanceTime { ms: u64 },
    /// The member applies up to `entries` further entries of the log.
    Apply { member: u64, entries: usize },
    /// A proposal in flight is committed. With `twice`, a copy stays in flight.
    Commit { position: usize, twice: bool },
    /// A proposal in flight is lost.
    LoseProposal { position: usize },
    /// The member's agent is polled.
    PollAgent { member: u64 },
    /// The member's coordinator is polled.
    PollCoordinator { member: u64 },
    /// The release lease is granted to the member, with a new token.
    MoveLease { member: u64 },
    /// The member restarts: a new incarnation with a new agent.
    RestartMember { member: u64 },
    /// The front node's process makes progress: it completes its shutdown, or becomes ready and answers
    /// queries.
    AdvanceProcess { member: u64 },
    /// The front node's process ends by itself.
    CrashProcess { member: u64 },
    /// Queries to the front node fail.
    FailQueries { member: u64 },
    /// The leader proposes to declare the member unreachable.
    DeclareUnreachable { member: u64 },
    /// An operator sends a command.
    Operator(OperatorCommand),
}

#[derive(Debug, Clone, Copy)]
pub enum OperatorCommand {
    Release,
    Halt,
    Resume,
    Rollback,
}

impl OperatorCommand {
    fn from_number(number: u8) -> OperatorCommand {
        match number {
            0 | 1 => OperatorCommand::Release,
            2 | 6 => OperatorCommand::Halt,
            3 | 4 => OperatorCommand::Resume,
            _ => OperatorCommand::Rollback,
        }
    }
}

pub fn event() -> impl Strategy<Value = Event> {
    let id = 1..=NODES;
    let round = |(some, others, left_in_flight): (u8, u8, usize)| Event::Round {
        members: some | others,
        left_in_flight,
    };
    prop_oneof![
        40 => (any::<u8>(), any::<u8>(), 0usize..3).prop_map(round),
        20 => Just(Event::Round { members: u8::MAX, left_in_flight: 0 }),
        12 => (1u64..400).prop_map(|ms| Event::AdvanceTime { ms }),
        2 => (3_000u64..4_000).prop_map(|ms| Event::AdvanceTime { ms }),
        3 => (id.clone(), 500u64..6_000).prop_map(|(member, ms)| Event::Stall { member, ms }),
        3 => (1usize..30).prop_map(|places_back| Event::CommitCopy { places_back }),
        10 => (id.clone(), 1usize..6).prop_map(|(member, entries)| Event::Apply { member, entries }),
        14 => (0usize..64, prop::bool::weighted(0.2))
            .prop_map(|(position, twice)| Event::Commit { position, twice }),
        2 => (0usize..64).prop_map(|position| Event::LoseProposal { position }),
        14 => id.clone().prop_map(|member| Event::PollAgent { member }),
        6 => id.clone().prop_map(|member| Event::PollCoordinator { member }),
        1 => id.clone().prop_map(|member| Event::MoveLease { member }),
        3 => id.clone().prop_map(|member| Event::RestartMember { member }),
        10 => id.clone().prop_map(|member| Event::AdvanceProcess { member }),
        3 => id.clone().prop_map(|member| Event::CrashProcess { member }),
        1 => id.clone().prop_map(|member| Event::FailQueries { member }),
        1 => id.prop_map(|member| Event::DeclareUnreachable { member }),
        2 => (0u8..7).prop_map(|number| Event::Operator(OperatorCommand::from_number(number))),
    ]
}
