//! The fleet's recovery from a power loss in sentences: `fleet recover`.

use crate::status::{PresenceView, RecoveryView, Status};
use std::fmt::{self, Display, Formatter};

/// Which stage the fleet's recovery has reached, and why this member's front node waits.
pub struct RecoveryReport<'a> {
    /// The member's status.
    pub status: &'a Status,
    /// Its part on the recovery.
    pub recovery: &'a RecoveryView,
}

impl Display for RecoveryReport<'_> {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let RecoveryReport { status, recovery } = self;
        write!(out, "The fleet is at: {}. ", recovery.stage)?;
        writeln!(out, "It came back from {} power losses, this one included.", recovery.epoch)?;
        writeln!(out, "The front node of member {}: {}.", status.id, recovery.admission)?;
        for PresenceView { member, serving, has_endpoint_list } in &recovery.reports {
            let serves = if *serving { "serves" } else { "does not serve" };
            let list = if *has_endpoint_list { "has discovery's list" } else { "has no list yet" };
            writeln!(out, "Member {member} {serves} and {list}.")?;
        }
        let silent = self.silent_members();
        if !silent.is_empty() {
            writeln!(out, "Not heard since the last election: {}.", silent.join(" "))?;
        }
        Ok(())
    }
}

impl RecoveryReport<'_> {
    /// Members that have not reported since the last election.
    fn silent_members(&self) -> Vec<String> {
        let has_reported = |member: u64| self.recovery.reports.iter().any(|report| report.member == member);
        self.status.members.iter().filter(|member| !has_reported(**member)).map(u64::to_string).collect()
    }
}
