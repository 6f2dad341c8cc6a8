//! Leases under faults: five member processes with a fault proxy on each link, two fleet-wide tasks whose
//! leases all five members want, and a task sink that accepts an action only if its fencing token is not
//! stale.
//!
//! Each seed injects these faults in random order: links drop, the fleet is partitioned into two and three
//! members, the lease holder is stopped (SIGSTOP) for the duration of two leases, the holder is killed
//! (SIGKILL) and started again, and so is the leader. The sink records every action with its token.
//!
//! For each of 20 seeds the test checks that
//! - no action with a stale token is accepted,
//! - the times at which actions were stamped (`sent_us`), accepted or rejected, don't overlap between any two
//!   tokens of a task. Per stop of a holder and task, at most one rejected action is left out: the first one
//!   that the stopped member stamped after SIGCONT, if it did so within [`BUSY_MACHINE_MS`] and had acted
//!   under the same token before SIGSTOP. A holder that is stopped after it has checked its lease and before
//!   it stamps the action sends that action when it continues. Only the fencing token protects against this
//!   (point 3 of the documentation of `pinetrestle_fleet`),
//! - after every fault, actions of the task are accepted again within [`MAX_GAP_MS`]. Time in which the
//!   machine's disk stalled, as measured by a thread that only writes and syncs, is added to this bound.

mod common;

use common::{disk_stalls, reserve_ports, run_seeds, ProxyMesh};
use pinetrestle_faultnet::Fault;
use pinetrestle_member::client;
use pinetrestle_member::wire::{Request, Response};
use pinetrestle_standins::wall_us;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const MEMBERS: u64 = 5;
const TICK_MS: u64 = 20;
const LEASE_MS: u64 = 1_000;
/// The longest time without an accepted action: at most two elections (10 to 20 ticks each), the 1_120 ms
/// that a new leader waits, a quarter of a lease until a member requests the lease, and [`BUSY_MACHINE_MS`].
const MAX_GAP_MS: u64 = 2 * 20 * TICK_MS + 1_120 + LEASE_MS / 4 + BUSY_MACHINE_MS;
/// The delay that is allowed for a machine under load.
const BUSY_MACHINE_MS: u64 = 600;
/// Number of seeds, unless the environment variable `PINETRESTLE_FLEET_SEEDS` sets it.
const SEEDS: u64 = 20;
/// The fleet-wide tasks whose leases all five members request.
const TASKS: [&str; 2] = ["refresh-lists", "rebuild-index"];
/// Number of seeds that run at the same time.
const SEEDS_AT_ONCE: u64 = 5;
const US_PER_MS: u64 = 1_000;

/// Returns the address that the sink logs when it listens. Waits for it up to 10 s.
async fn sink_address(log: &Path) -> SocketAddr {
    for _ in 0..200 {
        let text = std::fs::read_to_string(log).unwrap_or_default();
        // The sink writes the line in several parts, so a line without its line feed may be incomplete.
        let mut lines = text.split_inclusive('\n').filter_map(|line| line.strip_suffix('\n'));
        if let Some(addr) = lines.find_map(|line| line.strip_prefix("listening ")) {
            return addr.trim().parse().unwrap();
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the sink logged no listening address: {}", std::fs::read_to_string(log).unwrap_or_default());
}

/// Five members without front nodes, and the task sink. Dropping it kills the processes.
struct Fleet {
    dir: PathBuf,
    addrs: BTreeMap<u64, SocketAddr>,
    children: BTreeMap<u64, Child>,
    sink: Child,
    mesh: ProxyMesh,
}

impl Fleet {
    async fn start(dir: &Path, seed: u64) -> Fleet {
        // The kernel chooses the port of the sink, and the sink logs its address.
        let sink = Command::new(env!("CARGO_BIN_EXE_pinetrestle"))
            .args(["fleet", "sink", "--listen", "127.0.0.1:0", "--record"])
            .arg(dir.join("sink.jsonl"))
            .stdin(Stdio::null())
            .stderr(std::fs::File::create(dir.join("sink.log")).unwrap())
            .spawn()
            .unwrap();
        let sink_addr = sink_address(&dir.join("sink.log")).await;
        let first_port = 20_000 + (u64::from(std::process::id()) % 40) * 300 + seed * 12;
        let reserved = reserve_ports(first_port, MEMBERS as usize);
        let addrs: BTreeMap<u64, SocketAddr> =
            (1..=MEMBERS).map(|i| (i, reserved[i as usize - 1].1)).collect();
        let mesh = ProxyMesh::start(&addrs, seed).await;
        for from in 1..=MEMBERS {
            let text = format!(
                "{{ id: {from}, {}, data_dir: \"{}\", tick_ms: {TICK_MS}, election_ticks: 10, \
                 heartbeat_ticks: 2, lease_ms: {LEASE_MS}, tasks: [\"refresh-lists\", \"rebuild-index\"], \
                 sink: \"{sink_addr}\", \
                 act_ms: 20, snapshot_every: 200 }}",
                mesh.peer_keys(&addrs, from),
                dir.join(format!("data-{from}")).display()
            );
            std::fs::write(dir.join(format!("m{from}.json5")), text).unwrap();
        }
        drop(reserved);
        let mut fleet = Fleet { dir: dir.to_path_buf(), addrs, children: BTreeMap::new(), sink, mesh };
        for id in 1..=MEMBERS {
            fleet.start_member(id);
        }
        fleet
    }

    fn start_member(&mut self, id: u64) {
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(self.dir.join(format!("m{id}.log")));
        let child = Command::new(env!("CARGO_BIN_EXE_pinetrestle"))
            .args(["fleet", "up", "--config"])
            .arg(self.dir.join(format!("m{id}.json5")))
            .stdin(Stdio::null())
            .stderr(log.unwrap())
            .spawn()
            .unwrap();
        self.children.insert(id, child);
    }

    fn signal(&self, id: u64, signal: &str) {
        assert!(common::send_signal(self.children[&id].id(), signal));
    }

    fn kill_member(&mut self, id: u64) {
        if let Some(mut child) = self.children.remove(&id) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the leader according to the first member that answers and knows one.
    async fn leader(&self) -> Option<u64> {
        for addr in self.addrs.values() {
            if let Ok(Response::Status(status)) =
                client::request(*addr, Request::Status, Duration::from_millis(300)).await
            {
                if status.leader != 0 {
                    return Some(status.leader);
                }
            }
        }
        None
    }

    /// Returns the sink's records of all actions so far, accepted or rejected, in the order of arrival.
    fn records(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(self.dir.join("sink.jsonl")).unwrap_or_default();
        text.lines().filter_map(|l| serde_json::from_str(l).ok()).collect()
    }

    /// Returns the member that sent the last accepted action. It counts as the lease holder, whichever of the
    /// tasks the action belongs to.
    fn holder(&self) -> Option<u64> {
        self.records().iter().rev().find(|r| r["taken"] == true).and_then(|r| r["member"].as_u64())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for id in 1..=MEMBERS {
            if self.children.contains_key(&id) {
                self.signal(id, "-CONT");
            }
            self.kill_member(id);
        }
        let _ = self.sink.kill();
        let _ = self.sink.wait();
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FaultKind {
    DropLinks,
    Partition,
    StallHolder,
    KillHolder,
    KillLeader,
}

/// A fault with its start and end, in wall-clock microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy)]
struct InjectedFault {
    kind: FaultKind,
    start_us: u64,
    end_us: u64,
}

/// One stop of a lease holder, with the times of its signals by the test's wall clock, in microseconds since
/// the Unix epoch.
#[derive(Debug, Clone, Copy)]
struct HolderStall {
    member: u64,
    /// The time before SIGSTOP was sent.
    before_stop_us: u64,
    /// The time before SIGCONT was sent.
    before_continue_us: u64,
    /// The time after SIGCONT was sent.
    after_continue_us: u64,
}

/// The measurements of one seed.
#[derive(Debug, Default)]
struct SeedReport {
    /// The standard error output of the sink.
    sink_output: String,
    faults: Vec<InjectedFault>,
    stalls: Vec<HolderStall>,
    /// Number of actions that the sink accepted, and of those that it rejected.
    accepted: u64,
    rejected: u64,
    /// Number of rejected actions that [`check_one_holder_at_a_time`] left out.
    left_out: u64,
    /// Number of fencing tokens, summed over the tasks.
    tokens: u64,
    /// For each fault and task, the longest time without an accepted action between the start of the fault
    /// and [`MAX_GAP_MS`] after its end.
    outage_ms: Vec<(FaultKind, u64)>,
    /// The longest time without an accepted action of a task.
    longest_gap_ms: u64,
    /// How long the machine's disk stalled within the longest gap.
    stalled_in_gap_ms: u64,
    /// How long the machine's disk stalled during all faults.
    stalled_ms: u64,
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

impl Fleet {
    /// Injects a fault and ends it again. Returns the stop of the holder if the fault is one.
    async fn inject(&mut self, kind: FaultKind, random: &mut StdRng) -> Option<HolderStall> {
        match kind {
            FaultKind::DropLinks => self.drop_links(random).await,
            FaultKind::Partition => self.partition(random).await,
            FaultKind::StallHolder => return Some(self.stall_holder().await),
            FaultKind::KillHolder => {
                let holder = self.holder().unwrap_or(1);
                self.restart_member(holder).await;
            }
            FaultKind::KillLeader => {
                let leader = self.leader().await.unwrap_or(1);
                self.restart_member(leader).await;
            }
        }
        None
    }

    /// Stops the holder for the duration of two leases.
    async fn stall_holder(&self) -> HolderStall {
        let member = self.holder().unwrap_or(1);
        let before_stop_us = wall_us();
        self.signal(member, "-STOP");
        sleep_ms(2 * LEASE_MS).await;
        let before_continue_us = wall_us();
        self.signal(member, "-CONT");
        HolderStall { member, before_stop_us, before_continue_us, after_continue_us: wall_us() }
    }

    /// Drops up to four random links, in both directions, for one second.
    async fn drop_links(&self, random: &mut StdRng) {
        let affected: Vec<(u64, u64)> =
            (0..4).map(|_| (random.random_range(1..=MEMBERS), random.random_range(1..=MEMBERS))).collect();
        let is_affected = |from, to| affected.contains(&(from, to)) || affected.contains(&(to, from));
        self.mesh.set_fault(is_affected, Fault::Drop);
        sleep_ms(1_000).await;
        self.mesh.set_fault(|_, _| true, Fault::Heal);
    }

    /// Partitions the fleet into two and three members for 1.5 s. The holder is in the minority and can't
    /// renew its lease.
    async fn partition(&self, random: &mut StdRng) {
        let holder = self.holder().unwrap_or(1);
        let other = (holder % MEMBERS) + 1;
        let in_minority = |id: u64| id == holder || id == other;
        let fault = if random.random_range(0..2) == 0 { Fault::Drop } else { Fault::Stall };
        self.mesh.set_fault(|from, to| in_minority(from) != in_minority(to), fault);
        sleep_ms(1_500).await;
        self.mesh.set_fault(|_, _| true, Fault::Heal);
    }

    /// Kills a member and starts it again after 500 ms.
    async fn restart_member(&mut self, id: u64) {
        self.kill_member(id);
        sleep_ms(500).await;
        self.start_member(id);
    }
}

/// Returns all kinds of faults in random order.
fn shuffled_faults(random: &mut StdRng) -> Vec<FaultKind> {
    let mut kinds = vec![
        FaultKind::DropLinks,
        FaultKind::Partition,
        FaultKind::StallHolder,
        FaultKind::KillHolder,
        FaultKind::KillLeader,
    ];
    for i in (1..kinds.len()).rev() {
        kinds.swap(i, random.random_range(0..=i));
    }
    kinds
}

async fn run_seed(seed: u64) -> SeedReport {
    disk_stalls::start_recording();
    let dir = tempfile::tempdir().unwrap();
    let mut fleet = Fleet::start(dir.path(), seed).await;
    let mut random = StdRng::seed_from_u64(seed);
    let kinds = shuffled_faults(&mut random);
    sleep_ms(2_500).await;
    let mut report = SeedReport::default();
    let from_us = wall_us();
    for kind in kinds {
        let start_us = wall_us();
        report.stalls.extend(fleet.inject(kind, &mut random).await);
        report.faults.push(InjectedFault { kind, start_us, end_us: wall_us() });
        sleep_ms(MAX_GAP_MS).await;
    }
    let all_records = fleet.records();
    let until_us = wall_us();
    drop(fleet);
    report.sink_output = std::fs::read_to_string(dir.path().join("sink.log")).unwrap_or_default();
    report.stalled_ms = disk_stalls::stalled_ms(from_us, until_us);
    // More than 500 actions for each task, reduced by the share of the time in which the disk stalled.
    let min_accepted = 500 - 500 * report.stalled_ms * US_PER_MS / (until_us - from_us);
    // Each task is checked on its own, because a member numbers the requests of each of its tasks separately.
    for task in TASKS {
        let records: Vec<Value> =
            all_records.iter().filter(|record| record["task"] == task).cloned().collect();
        check_task(seed, task, &records, min_accepted, &mut report);
    }
    report
}

fn u64_field(record: &Value, key: &str) -> u64 {
    record[key].as_u64().unwrap()
}

/// Checks the sink's records of one task and adds its measurements to `report`.
fn check_task(seed: u64, task: &str, records: &[Value], min_accepted: u64, report: &mut SeedReport) {
    let accepted: Vec<&Value> = records.iter().filter(|record| record["taken"] == true).collect();
    report.accepted += accepted.len() as u64;
    report.rejected += (records.len() - accepted.len()) as u64;
    assert!(
        accepted.len() as u64 > min_accepted,
        "seed {seed}: too few actions of {task}: {} accepted, more than {min_accepted} expected; {}",
        accepted.len(),
        report.sink_output
    );
    check_no_stale_token(seed, &accepted);
    check_one_holder_at_a_time(seed, records, report);
    check_gaps(seed, &accepted, report);
    for fault in report.faults.clone() {
        report.outage_ms.push((fault.kind, longest_outage_ms(&accepted, fault)));
    }
}

/// Checks that no stale token was accepted: in the order of arrival, tokens never decrease.
fn check_no_stale_token(seed: u64, accepted: &[&Value]) {
    for pair in accepted.windows(2) {
        assert!(
            u64_field(pair[0], "token") <= u64_field(pair[1], "token"),
            "seed {seed}: stale token accepted: {pair:?}"
        );
    }
}

/// Returns the index of the record that [`check_one_holder_at_a_time`] leaves out for `stall`, if any.
///
/// It is the first record that the stopped member stamped at or after `before_continue_us`. It must have been
/// rejected and stamped at most [`BUSY_MACHINE_MS`] after `after_continue_us`, and the member must have
/// stamped another record with the same token before `before_stop_us`. `records` are those of one task.
fn late_record(records: &[Value], stall: &HolderStall) -> Option<usize> {
    let of_member = |record: &Value| u64_field(record, "member") == stall.member;
    let (index, first) = records
        .iter()
        .enumerate()
        .filter(|(_, r)| of_member(r) && u64_field(r, "sent_us") >= stall.before_continue_us)
        .min_by_key(|(_, r)| u64_field(r, "sent_us"))?;
    let latest_us = stall.after_continue_us + BUSY_MACHINE_MS * US_PER_MS;
    let acted_before = records.iter().any(|r| {
        of_member(r) && r["token"] == first["token"] && u64_field(r, "sent_us") < stall.before_stop_us
    });
    let is_late = first["taken"] == false && u64_field(first, "sent_us") <= latest_us && acted_before;
    is_late.then_some(index)
}

/// The time span in which a member stamped actions under one token, whether they were accepted or rejected.
struct TokenSpan {
    first_us: u64,
    last_us: u64,
    member: u64,
}

/// Checks that there were never two holders at the same time: the times at which actions were stamped don't
/// overlap between tokens. Rejected actions are included, because the sink rejects stale tokens and so the
/// accepted actions alone would not show an overlap. Only the [`late_record`] of each stall is left out. Adds
/// the numbers of tokens and of records left out to `report`.
fn check_one_holder_at_a_time(seed: u64, records: &[Value], report: &mut SeedReport) {
    let left_out: BTreeSet<usize> =
        report.stalls.iter().filter_map(|stall| late_record(records, stall)).collect();
    let mut spans: BTreeMap<u64, TokenSpan> = BTreeMap::new();
    for (_, record) in records.iter().enumerate().filter(|(index, _)| !left_out.contains(index)) {
        let new = TokenSpan { first_us: u64::MAX, last_us: 0, member: u64_field(record, "member") };
        let span = spans.entry(u64_field(record, "token")).or_insert(new);
        span.first_us = span.first_us.min(u64_field(record, "sent_us"));
        span.last_us = span.last_us.max(u64_field(record, "sent_us"));
    }
    let in_order: Vec<(&u64, &TokenSpan)> = spans.iter().collect();
    for pair in in_order.windows(2) {
        let (token, span) = pair[0];
        let (next_token, next) = pair[1];
        assert!(
            span.last_us < next.first_us,
            "seed {seed}: member {} acted under token {token} until {} µs, member {} under token \
             {next_token} from {} µs on",
            span.member,
            span.last_us,
            next.member,
            next.first_us
        );
    }
    report.tokens += spans.len() as u64;
    report.left_out += left_out.len() as u64;
}

/// Checks that the lease is always held again within the bound: no gap between accepted actions is longer
/// than [`MAX_GAP_MS`] plus the time for which the machine's disk stalled in the gap.
fn check_gaps(seed: u64, accepted: &[&Value], report: &mut SeedReport) {
    for pair in accepted.windows(2) {
        let last_us = u64_field(pair[0], "at_us");
        let next_us = u64_field(pair[1], "at_us");
        let gap_ms = (next_us - last_us) / US_PER_MS;
        let stalled_ms = disk_stalls::stalled_ms(last_us, next_us);
        if gap_ms > report.longest_gap_ms {
            report.longest_gap_ms = gap_ms;
            report.stalled_in_gap_ms = stalled_ms;
        }
        assert!(
            gap_ms <= MAX_GAP_MS + stalled_ms,
            "seed {seed}: {gap_ms} ms without an action; the disk stalled for {stalled_ms} ms of them"
        );
    }
}

/// Returns the longest time without an accepted action between the start of `fault` and [`MAX_GAP_MS`] after
/// its end, in milliseconds.
fn longest_outage_ms(accepted: &[&Value], fault: InjectedFault) -> u64 {
    let until_us = fault.end_us + MAX_GAP_MS * US_PER_MS;
    let mut outage_ms = 0;
    for pair in accepted.windows(2) {
        let last_us = u64_field(pair[0], "at_us");
        let next_us = u64_field(pair[1], "at_us");
        if next_us > fault.start_us && last_us < until_us {
            outage_ms = outage_ms.max((next_us - last_us.max(fault.start_us)) / US_PER_MS);
        }
    }
    outage_ms
}

/// Prints the measurements of each seed, and the outages over all seeds for each kind of fault.
fn print_reports(reports: &[(u64, SeedReport)]) {
    let mut outages: BTreeMap<FaultKind, Vec<u64>> = BTreeMap::new();
    for (seed, report) in reports {
        eprintln!(
            "seed {seed}: {} accepted, {} rejected ({} left out), {} tokens, longest gap {} ms, disk stalled \
             {} ms in it, {} ms in all, outages {:?}",
            report.accepted,
            report.rejected,
            report.left_out,
            report.tokens,
            report.longest_gap_ms,
            report.stalled_in_gap_ms,
            report.stalled_ms,
            report.outage_ms
        );
        for &(kind, ms) in &report.outage_ms {
            outages.entry(kind).or_default().push(ms);
        }
    }
    for (kind, mut ms) in outages {
        ms.sort_unstable();
        let percentile = |percent: usize| ms[(ms.len() - 1) * percent / 100];
        eprintln!(
            "{kind:?}: {} outages (one for each fault and task): median {} ms, 99th percentile {} ms",
            ms.len(),
            percentile(50),
            percentile(99)
        );
    }
}

#[test]
fn five_members_under_faults_never_act_under_two_tokens_at_once() {
    let started = Instant::now();
    let reports = run_seeds("PINETRESTLE_FLEET_SEEDS", SEEDS, SEEDS_AT_ONCE, run_seed);
    print_reports(&reports);
    eprintln!("{} seeds in {:?}", reports.len(), started.elapsed());
}

/// The stop of member 3 in the tests of [`check_one_holder_at_a_time`].
const STALL: HolderStall = HolderStall {
    member: 3,
    before_stop_us: 1_000_000,
    before_continue_us: 3_000_000,
    after_continue_us: 3_010_000,
};
/// The last time at which a record of member 3 is left out.
const LATEST_US: u64 = STALL.after_continue_us + BUSY_MACHINE_MS * US_PER_MS;
/// The action of member 3 under token 184 before [`STALL`].
const BEFORE_STALL: (u64, u64, u64, bool) = (3, 184, 990_000, true);

/// Checks the records of member 2, which acts under token 265 during and after `stall`, together with
/// `records`, each given as member, token, `sent_us` and whether it was accepted. Returns the number left out.
fn left_out_after(stall: HolderStall, records: &[(u64, u64, u64, bool)]) -> u64 {
    let of_member_2 = [(2, 265, 2_500_000, true), (2, 265, 4_000_000, true)];
    let records: Vec<Value> = records
        .iter()
        .chain(&of_member_2)
        .map(|(member, token, sent_us, accepted)| {
            json!({ "member": member, "token": token, "sent_us": sent_us, "taken": accepted })
        })
        .collect();
    let mut report = SeedReport { stalls: vec![stall], ..SeedReport::default() };
    check_one_holder_at_a_time(0, &records, &mut report);
    assert_eq!(report.tokens, 2);
    report.left_out
}

#[test]
fn first_rejected_record_after_a_stall_is_left_out() {
    assert_eq!(left_out_after(STALL, &[BEFORE_STALL]), 0);
    for sent_us in [STALL.before_continue_us, STALL.after_continue_us, LATEST_US] {
        assert_eq!(left_out_after(STALL, &[BEFORE_STALL, (3, 184, sent_us, false)]), 1);
    }
}

#[test]
#[should_panic(expected = "member 3 acted under token 184 until 3005000")]
fn accepted_late_record_is_an_overlap() {
    left_out_after(STALL, &[BEFORE_STALL, (3, 184, 3_005_000, true)]);
}

#[test]
#[should_panic(expected = "member 3 acted under token 184 until 3025000")]
fn second_late_record_is_an_overlap() {
    left_out_after(STALL, &[BEFORE_STALL, (3, 184, 3_005_000, false), (3, 184, 3_025_000, false)]);
}

#[test]
#[should_panic(expected = "member 3 acted under token 184 until 3005000")]
fn second_late_record_stamped_at_the_same_time_is_an_overlap() {
    left_out_after(STALL, &[BEFORE_STALL, (3, 184, 3_005_000, false), (3, 184, 3_005_000, false)]);
}

#[test]
#[should_panic(expected = "member 3 acted under token 184 until 3005000")]
fn late_record_of_a_member_that_was_not_stopped_is_an_overlap() {
    let stall = HolderStall { member: 4, ..STALL };
    left_out_after(stall, &[BEFORE_STALL, (3, 184, 3_005_000, false)]);
}

#[test]
#[should_panic(expected = "member 3 acted under token 184 until 2999999")]
fn late_record_before_sigcont_is_an_overlap() {
    left_out_after(STALL, &[BEFORE_STALL, (3, 184, STALL.before_continue_us - 1, false)]);
}

#[test]
#[should_panic(expected = "member 3 acted under token 184 until 3610001")]
fn late_record_after_the_bound_is_an_overlap() {
    left_out_after(STALL, &[BEFORE_STALL, (3, 184, LATEST_US + 1, false)]);
}

#[test]
#[should_panic(expected = "member 3 acted under token 184 until 3005000")]
fn late_record_of_a_member_that_had_not_acted_before_is_an_overlap() {
    left_out_after(STALL, &[(3, 184, STALL.before_stop_us, true), (3, 184, 3_005_000, false)]);
}

/// Returns what [`sink_address`] reads from a log that holds `start`, and from 100 ms later on also `rest`.
fn address_in_growing_log(start: &str, rest: &'static str) -> SocketAddr {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("sink.log");
    let mut log = std::fs::File::create(&path).unwrap();
    log.write_all(start.as_bytes()).unwrap();
    let writer = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(100));
        log.write_all(rest.as_bytes()).unwrap();
    });
    let addr = tokio::runtime::Runtime::new().unwrap().block_on(sink_address(&path));
    writer.join().unwrap();
    addr
}

#[test]
fn sink_address_waits_for_the_rest_of_the_line() {
    let addr = SocketAddr::from(([127, 0, 0, 1], 8099));
    assert_eq!(address_in_growing_log("listening ", "127.0.0.1:8099\n"), addr);
}

#[test]
fn sink_address_waits_for_the_rest_of_the_port() {
    let addr = SocketAddr::from(([127, 0, 0, 1], 8099));
    assert_eq!(address_in_growing_log("listening 127.0.0.1:80", "99\n"), addr);
}

#[test]
#[should_panic(expected = "AddrParseError")]
fn sink_address_panics_at_a_complete_line_without_an_address() {
    address_in_growing_log("listening nowhere\n", "listening 127.0.0.1:8099\n");
}
