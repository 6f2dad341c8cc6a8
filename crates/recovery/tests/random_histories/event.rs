//! The events of a random sequence, and how likely each of them is.

use proptest::prelude::*;

/// Number of members of the fleet. Their ids are 1 to this number.
pub const MEMBERS: u64 = 7;

#[derive(Debug, Clone)]
pub enum Event {
    /// The member starts in a new incarnation, if it is down.
    Start { member: u64 },
    /// All members and their front nodes go down.
    PowerLoss,
    /// The member receives discovery's endpoint list, if it is up.
    ReceiveEndpointList { member: u64 },
    /// The member proposes a presence report.
    ReportPresence { member: u64 },
    /// The member becomes leader, if it and a majority of members are up.
    Elect { member: u64 },
    /// The coordinator is polled.
    PollCoordinator,
    /// The member's admission controller is polled.
    PollAdmission { member: u64 },
    /// A proposal in flight is committed. With `twice`, a copy stays in flight.
    Commit { position: usize, twice: bool },
    /// A proposal in flight is lost.
    LoseProposal { position: usize },
    /// `ms` milliseconds pass.
    AdvanceTime { ms: u64 },
    /// The member and its front node go down.
    Stop { member: u64 },
}

pub fn event() -> impl Strategy<Value = Event> {
    let id = 1..=MEMBERS;
    prop_oneof![
        8 => id.clone().prop_map(|member| Event::Start { member }),
        1 => Just(Event::PowerLoss),
        6 => id.clone().prop_map(|member| Event::ReceiveEndpointList { member }),
        14 => id.clone().prop_map(|member| Event::ReportPresence { member }),
        2 => id.clone().prop_map(|member| Event::Elect { member }),
        10 => Just(Event::PollCoordinator),
        14 => id.clone().prop_map(|member| Event::PollAdmission { member }),
        20 => (0usize..64, prop::bool::weighted(0.2))
            .prop_map(|(position, twice)| Event::Commit { position, twice }),
        2 => (0usize..64).prop_map(|position| Event::LoseProposal { position }),
        8 => (1u64..400).prop_map(|ms| Event::AdvanceTime { ms }),
        1 => id.prop_map(|member| Event::Stop { member }),
    ]
}
