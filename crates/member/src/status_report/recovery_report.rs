//! The report on the recovery from a power loss that `fleet recover` prints.

use crate::status::{PresenceView, RecoveryView, Status};
use std::fmt::{self, Display, Formatter};

/// Formats the stage of the fleet's recovery, whether this member's front node is admitted, and what each
/// member has reported.
pub struct RecoveryReport<'a> {
    /// The member's status.
    pub status: &'a Status,
    /// The section on the recovery in the same status.
    pub recovery: &'a RecoveryView,
}

impl Display for RecoveryReport<'_> {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let RecoveryReport { status, recovery } = self;
        write!(out, "Stage of the fleet's recovery: {}. ", recovery.stage)?;
        writeln!(out, "Power losses so far, including the last one: {}.", recovery.epoch)?;
        writeln!(out, "The front node of member {}: {}.", status.id, recovery.admission)?;
        for PresenceView { member, serving, has_endpoint_list } in &recovery.reports {
            let serves = if *serving { "its front node serves" } else { "its front node does not serve" };
            let list = if *has_endpoint_list {
                "it has discovery's endpoint list"
            } else {
                "it has no endpoint list yet"
            };
            writeln!(out, "Member {member}: {serves}, {list}.")?;
        }
        let missing = self.members_without_report();
        if !missing.is_empty() {
            writeln!(out, "Members without a report since the last election: {}.", missing.join(" "))?;
        }
        Ok(())
    }
}

impl RecoveryReport<'_> {
    /// Returns the ids of the members that have not reported since the last election.
    fn members_without_report(&self) -> Vec<String> {
        let has_reported = |member: u64| self.recovery.reports.iter().any(|report| report.member == member);
        self.status.members.iter().filter(|member| !has_reported(**member)).map(u64::to_string).collect()
    }
}
