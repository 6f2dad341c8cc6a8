//! The status in sentences: `fleet explain`.

use super::RecoveryReport;
use crate::status::{
    HaltView, LeaseView, NodeView, OwnTaskView, ReleaseView, RolloutView, ServerView, SlotView, Status,
};
use std::fmt::{self, Display, Formatter};

/// Why each task that a member knows of is held by whom it is, or waits, and why a release or a drain has not gone
/// further.
pub struct Explanation<'a>(pub &'a Status);

impl Display for Explanation<'_> {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        let status = self.0;
        if status.leader == 0 {
            write!(out, "member {} knows no leader: no lease is granted, renewed or ended ", status.id)?;
            writeln!(out, "until a majority of {} elects one.", status.members.len())?;
        }
        for own_task in &status.own_tasks {
            explain_own_task(out, status, own_task)?;
        }
        for lease in &status.leases {
            if !status.own_tasks.iter().any(|own_task| own_task.task == lease.task) {
                explain_foreign_lease(out, lease)?;
            }
        }
        if let Some(recovery) = &status.recovery {
            if recovery.stage != "normal" || recovery.admission != "let in" {
                write!(out, "{}", RecoveryReport { status, recovery })?;
            }
        }
        if let Some(rollout) = &status.rollout {
            explain_rollout(out, rollout)?;
        }
        Ok(())
    }
}

/// A task that this member wants or holds, or wanted before.
fn explain_own_task(out: &mut Formatter<'_>, status: &Status, own_task: &OwnTaskView) -> fmt::Result {
    let task = &own_task.task;
    let Some(lease) = status.leases.iter().find(|lease| lease.task == *task) else {
        return if own_task.wanted {
            writeln!(out, "{task}: free; this member is {}.", own_task.state)
        } else {
            writeln!(out, "{task}: free, and not wanted here.")
        };
    };
    let token = lease.token;
    if lease.holder != status.id {
        let wish = if own_task.wanted { "waits" } else { "does not want it" };
        write!(out, "{task}: held by member {} under token {token}; ", lease.holder)?;
        return writeln!(out, "this member {wish} and asks again when it ends, or after a lease.");
    }
    match own_task.may_act_ms {
        Some(may_act_ms) => {
            writeln!(
                out,
                "{task}: held here under token {token}; may act {may_act_ms} ms more unless renewed."
            )
        }
        None => {
            write!(out, "{task}: the table names this member under token {token}, ")?;
            writeln!(out, "but its own lease time ran out; it acts no more and asks anew.")
        }
    }
}

/// A lease on a task that this member has no part in.
fn explain_foreign_lease(out: &mut Formatter<'_>, lease: &LeaseView) -> fmt::Result {
    write!(out, "{}: held by member {} under token {}", lease.task, lease.holder, lease.token)?;
    if let Some(remaining_ms) = lease.remaining_ms {
        write!(out, "; the leader ends it in {remaining_ms} ms without renewal")?;
    }
    writeln!(out, ".")
}

fn explain_rollout(out: &mut Formatter<'_>, rollout: &RolloutView) -> fmt::Result {
    if let Some(HaltView { id, reason }) = &rollout.halt {
        writeln!(out, "All is halted ({id}): {reason}. No step begins until `resume` or `rollback`.")?;
    }
    if let Some(release) = &rollout.release {
        explain_release(out, release, &rollout.nodes)?;
    }
    for node in rollout.nodes.iter().filter(|node| node.unavailable) {
        writeln!(out, "Front node {} counts as away: {}.", node.id, reason_away(node))?;
    }
    for server in &rollout.servers {
        explain_server(out, server, rollout.nodes.len())?;
    }
    Ok(())
}

fn explain_release(out: &mut Formatter<'_>, release: &ReleaseView, nodes: &[NodeView]) -> fmt::Result {
    let ReleaseView { id, direction, stage, .. } = release;
    if stage != "running" {
        return writeln!(out, "Release {id} is {stage}.");
    }
    let version = if direction == "back" { &release.from } else { &release.to };
    writeln!(out, "Release {id} goes {direction} to {version}.")?;
    for node in nodes {
        explain_step(out, node)?;
    }
    Ok(())
}

/// Why a front node's step has not ended; nothing where there is nothing to explain.
fn explain_step(out: &mut Formatter<'_>, node: &NodeView) -> fmt::Result {
    let id = node.id;
    if let Some(reason) = &node.blocked_by {
        return writeln!(out, "Front node {id} waits: {reason}.");
    }
    match node.slot {
        Some(SlotView { index, begun: true }) => {
            writeln!(out, "Front node {id} is on its way (slot {index}).")
        }
        Some(SlotView { index, begun: false }) => {
            writeln!(out, "Front node {id} may go, its agent has not begun (slot {index}).")
        }
        None if node.step.starts_with("failed") => writeln!(out, "Front node {id} {}.", node.step),
        None => Ok(()),
    }
}

/// Why a front node counts as away.
fn reason_away(node: &NodeView) -> &'static str {
    if node.unreachable {
        "its member is not heard"
    } else if node.slot.is_some() {
        "it holds a slot"
    } else if !node.ready {
        "it does not serve"
    } else {
        "its step failed"
    }
}

/// An index server that counts as away; `nodes` is the number of front nodes to be notified of a drain.
fn explain_server(out: &mut Formatter<'_>, server: &ServerView, nodes: usize) -> fmt::Result {
    let ServerView { name, phase, notified, .. } = server;
    write!(out, "Index server {name} counts as away: {phase}")?;
    match phase.as_str() {
        "draining" => write!(out, "; {notified} of {nodes} front nodes have been notified")?,
        "drained" => write!(out, "; every front node has been notified, it may be stopped")?,
        _ => {}
    }
    writeln!(out, ".")
}
