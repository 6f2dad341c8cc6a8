//! A member's status for people: a table, and sentences that explain.

use crate::wire::Status;
use std::fmt::Write;

/// The status as a table.
pub fn table(status: &Status) -> String {
    let mut out = String::new();
    let leader = if status.leader == 0 { "none".to_owned() } else { status.leader.to_string() };
    let _ = writeln!(
        out,
        "member {}  {}  leader {}  term {}  commit {}  applied {}  boot {}",
        status.id, status.role, leader, status.term, status.commit, status.applied, status.boot
    );
    let members: Vec<String> = status.members.iter().map(u64::to_string).collect();
    let _ = writeln!(out, "members {}", members.join(" "));
    let _ =
        writeln!(out, "\n{:<24} {:>6} {:>8} {:>8} {:>9}", "TASK", "HOLDER", "TOKEN", "RENEWED", "LEFT_MS");
    for lease in &status.leases {
        let left = lease.left_ms.map_or("-".to_owned(), |ms| ms.to_string());
        let _ = writeln!(
            out,
            "{:<24} {:>6} {:>8} {:>8} {:>9}",
            lease.task, lease.holder, lease.token, lease.renewal, left
        );
    }
    if !status.mine.is_empty() {
        let _ = writeln!(out, "\n{:<24} {:>5} {:<26} {:>9}", "THIS MEMBER", "WANTS", "STATE", "ACTING_MS");
        for mine in &status.mine {
            let acting = mine.acting_ms.map_or("-".to_owned(), |ms| ms.to_string());
            let _ = writeln!(out, "{:<24} {:>5} {:<26} {:>9}", mine.task, mine.want, mine.state, acting);
        }
    }
    out
}

/// Why each task this member knows of is held where it is, or waits.
pub fn explain(status: &Status) -> String {
    let mut out = String::new();
    if status.leader == 0 {
        let _ = writeln!(
            out,
            "member {} knows no leader: no lease is granted, renewed or ended until a majority of {} elects one.",
            status.id,
            status.members.len()
        );
    }
    for mine in &status.mine {
        let lease = status.leases.iter().find(|l| l.task == mine.task);
        let line = match (lease, mine.acting_ms) {
            (Some(l), Some(ms)) if l.holder == status.id => {
                format!("{}: held here under token {}; may act {ms} ms more unless renewed.", mine.task, l.token)
            }
            (Some(l), None) if l.holder == status.id => format!(
                "{}: the table names this member under token {}, but its own lease time ran out; it acts no more \
                 and asks anew.",
                mine.task, l.token
            ),
            (Some(l), _) => format!(
                "{}: held by member {} under token {}; this member {} and asks again after a quarter lease.",
                mine.task,
                l.holder,
                l.token,
                if mine.want { "waits" } else { "does not want it" }
            ),
            (None, _) if mine.want => format!("{}: free; this member is {}.", mine.task, mine.state),
            (None, _) => format!("{}: free, and not wanted here.", mine.task),
        };
        let _ = writeln!(out, "{line}");
    }
    for lease in status.leases.iter().filter(|l| !status.mine.iter().any(|m| m.task == l.task)) {
        let left = lease
            .left_ms
            .map_or(String::new(), |ms| format!("; the leader ends it in {ms} ms without renewal"));
        let _ = writeln!(
            out,
            "{}: held by member {} under token {}{left}.",
            lease.task, lease.holder, lease.token
        );
    }
    out
}
