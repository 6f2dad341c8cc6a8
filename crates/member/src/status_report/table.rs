//! The tables that `fleet status` prints.

use crate::status::{
    LeaseView, NodeView, OwnTaskView, RecoveryView, ReleaseView, RolloutView, ServerView, SlotView, Status,
};
use std::fmt::{self, Display, Formatter};

/// The text of an empty table cell.
const EMPTY_CELL: &str = "-";

/// Formats a member's status as tables. Sections other than the member and the leases are left out if the
/// status has nothing for them.
pub struct StatusTable<'a>(pub &'a Status);

impl Display for StatusTable<'_> {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let status = self.0;
        write_member(out, status)?;
        write_leases(out, &status.leases)?;
        if !status.own_tasks.is_empty() {
            write_own_tasks(out, &status.own_tasks)?;
        }
        if let Some(rollout) = &status.rollout {
            write_rollout(out, rollout)?;
        }
        if let Some(recovery) = &status.recovery {
            write_recovery(out, recovery)?;
        }
        Ok(())
    }
}

fn write_member(out: &mut Formatter<'_>, status: &Status) -> fmt::Result {
    let leader = if status.leader == 0 { "none".to_owned() } else { status.leader.to_string() };
    write!(out, "member {}  {}  leader {leader}  term {}", status.id, status.role, status.term)?;
    write!(out, "  commit {}  applied {}", status.commit_index, status.applied_index)?;
    writeln!(out, "  boot {}", status.incarnation)?;
    let members: Vec<String> = status.members.iter().map(u64::to_string).collect();
    writeln!(out, "members {}", members.join(" "))
}

fn write_leases(out: &mut Formatter<'_>, leases: &[LeaseView]) -> fmt::Result {
    writeln!(out, "\n{:<24} {:>6} {:>8} {:>8} {:>9}", "TASK", "HOLDER", "TOKEN", "RENEWED", "LEFT_MS")?;
    for lease in leases {
        let LeaseView { task, holder, token, renewals, .. } = lease;
        let remaining = duration_cell(lease.remaining_ms);
        writeln!(out, "{task:<24} {holder:>6} {token:>8} {renewals:>8} {remaining:>9}")?;
    }
    Ok(())
}

fn write_own_tasks(out: &mut Formatter<'_>, tasks: &[OwnTaskView]) -> fmt::Result {
    writeln!(out, "\n{:<24} {:>5} {:<26} {:>9}", "THIS MEMBER", "WANTS", "STATE", "ACTING_MS")?;
    for own_task in tasks {
        let OwnTaskView { task, wanted, state, .. } = own_task;
        let may_act = duration_cell(own_task.may_act_ms);
        writeln!(out, "{task:<24} {wanted:>5} {state:<26} {may_act:>9}")?;
    }
    Ok(())
}

fn write_rollout(out: &mut Formatter<'_>, rollout: &RolloutView) -> fmt::Result {
    write_rollout_summary(out, rollout)?;
    if let Some(halt) = &rollout.halt {
        writeln!(out, "HALTED by {}: {}", halt.id, halt.reason)?;
    }
    if let Some(release) = &rollout.release {
        write_release(out, release, rollout.nodes.len())?;
    }
    write_nodes(out, &rollout.nodes)?;
    if !rollout.servers.is_empty() {
        write_servers(out, &rollout.servers)?;
    }
    Ok(())
}

fn write_rollout_summary(out: &mut Formatter<'_>, rollout: &RolloutView) -> fmt::Result {
    let last_good = match rollout.last_good_version.as_str() {
        "" => EMPTY_CELL,
        version => version,
    };
    let nodes_away = rollout.nodes.iter().filter(|node| node.unavailable).count();
    let servers_away = rollout.servers.len();
    write!(out, "\nplan {}  last good {last_good}", rollout.revision)?;
    write!(out, "  front nodes away {nodes_away} of {} allowed", rollout.node_limit)?;
    writeln!(out, "  index servers away {servers_away} of {} allowed", rollout.server_limit)
}

fn write_release(out: &mut Formatter<'_>, release: &ReleaseView, nodes: usize) -> fmt::Result {
    let ReleaseView { id, from, to, direction, stage, passed, failures } = release;
    write!(out, "release {id}  {from} to {to}  {direction}  {stage}")?;
    writeln!(out, "  {passed} of {nodes} passed  {failures} failed")
}

fn write_nodes(out: &mut Formatter<'_>, nodes: &[NodeView]) -> fmt::Result {
    writeln!(out, "\n{:>6} {:<16} {:<7} {:<5} {:<16} STEP", "NODE", "VERSION", "READY", "AWAY", "SLOT")?;
    for node in nodes {
        let NodeView { id, version, step, .. } = node;
        let ready = match (node.unreachable, node.ready) {
            (true, _) => "unheard",
            (false, true) => "yes",
            (false, false) => "no",
        };
        let away = if node.unavailable { "yes" } else { "no" };
        let slot = match node.slot {
            None => EMPTY_CELL.to_owned(),
            Some(SlotView { index, begun: true }) => format!("{index} begun"),
            Some(SlotView { index, begun: false }) => index.to_string(),
        };
        writeln!(out, "{id:>6} {version:<16} {ready:<7} {away:<5} {slot:<16} {step}")?;
    }
    Ok(())
}

fn write_servers(out: &mut Formatter<'_>, servers: &[ServerView]) -> fmt::Result {
    writeln!(out, "\n{:<24} {:<8} {:<5} {:>8} PHASE", "INDEX SERVER", "ZONE", "UP", "NOTIFIED")?;
    for server in servers {
        let ServerView { name, zone, up, phase, notified } = server;
        writeln!(out, "{name:<24} {zone:<8} {up:<5} {notified:>8} {phase}")?;
    }
    Ok(())
}

fn write_recovery(out: &mut Formatter<'_>, recovery: &RecoveryView) -> fmt::Result {
    let reports = recovery.reports.len();
    write!(out, "\nfleet {}  power losses {}", recovery.stage, recovery.epoch)?;
    write!(out, "  said how they stand {reports} of {}", recovery.fleet_size)?;
    writeln!(out, "  this front node {}", recovery.admission)
}

/// Formats a duration in milliseconds for a table cell.
fn duration_cell(milliseconds: Option<u64>) -> String {
    milliseconds.map_or(EMPTY_CELL.to_owned(), |milliseconds| milliseconds.to_string())
}
