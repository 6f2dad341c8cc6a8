//! What the decision module remembers: types only, no decision and no value.

use crate::interface::{Id, Lifecycle, Micros, ReplicaId};
use crate::sums::{Fading, Window};
use std::collections::VecDeque;

/// One attempt of a part, as its query remembers it.
pub(crate) struct Attempt {
    pub(crate) replica: ReplicaId,
    pub(crate) sent: Micros,
    pub(crate) open: bool,
    pub(crate) never_ran: bool,
    pub(crate) reset: bool, // its connection dropped
}

/// A part of a query.
#[derive(Default)]
pub(crate) struct Part {
    pub(crate) id: Id,
    pub(crate) shard: u32,
    pub(crate) weight: f64,
    pub(crate) step: u8,
    pub(crate) done: bool,
    pub(crate) attempts: Vec<Attempt>,
}

/// A query that has no final answer yet.
#[derive(Default)]
pub(crate) struct Query {
    pub(crate) id: Id,
    pub(crate) number: u64,
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    pub(crate) came: Micros,
    pub(crate) aim_at: Micros,
    pub(crate) end_at: Micros,
    pub(crate) repeat: bool, // marked by its client as asked before
    pub(crate) admitted: bool,
    pub(crate) extra_asked: bool,
    pub(crate) step: u8,
    pub(crate) parts: Vec<Part>,
}

/// An attempt that is out, as its replica remembers it; outlives the query.
pub(crate) struct Flight {
    pub(crate) replica: ReplicaId,
    pub(crate) sent: Micros,
    pub(crate) call: u64,
    pub(crate) slot: usize,
    pub(crate) cancelled: bool,
    pub(crate) query: u64,   // number of the query
    pub(crate) index: usize, // place of the part in it
}

/// A replica, as seen by this front node.
#[derive(Default)]
pub(crate) struct Replica {
    pub(crate) cell: u32,
    pub(crate) size: f64,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) started: Option<Micros>,
    pub(crate) out: u32,              // our parts out: calls, where parts share a call
    pub(crate) ghosts: Vec<Micros>,   // until when attempts that failed keep counting
    pub(crate) failing: usize,        // how many failed since it last answered anything
    pub(crate) pace: f64,             // recent latency over the typical one
    pub(crate) pace_at: Micros,       // when that was last heard of
    pub(crate) flow: Fading,          // its answers of late, each as the time its class may take
    pub(crate) last_ok: Micros,       // when it last answered anything
    pub(crate) factor: f64,           // pace against its peers, 1 unless far slower
    pub(crate) condemned: bool,       // as last logged
    pub(crate) call: (u64, u64, u32), // round, number and parts of the call being put together
    pub(crate) phase: f64,            // drawn at its start: when in a spaced wait its first part may go
    pub(crate) recent: Window,        // work sent in the last `fall`
}

/// Latencies of one class and step.
#[derive(Default)]
pub(crate) struct Slot {
    pub(crate) ring: VecDeque<(Micros, Micros)>, // when, how long
    pub(crate) typical: Option<Micros>,
    pub(crate) late: Option<Micros>,
    pub(crate) recent: Option<Micros>, // an upper quantile of the last moments
    pub(crate) work: Option<Micros>,   // what a part costs a replica that is not crowded
}
