//! Measurements, not run with the tests: `cargo test --release -p pinetrestle-member --test measure -- --ignored
//! --nocapture --test-threads 1`. Figures go to `docs/results.md`.

mod common;

use common::fleet::{Fleet, Setup, LONG};
use common::front::{p99_ms, Load};
use common::wall_us;
use std::time::{Duration, Instant};

async fn roll(members: u64, budget: usize) {
    let dir = tempfile::tempdir().unwrap();
    let base = 16_000 + (u64::from(std::process::id()) % 20) * 200;
    let setup =
        Setup { members, budget, mesh: false, tick_ms: if members > 10 { 50 } else { 20 }, base, seed: 1 };
    let fleet = Fleet::start(dir.path(), setup).await;
    let mut load = Load::start(&fleet.fronts, 4, Duration::from_millis(10));
    fleet
        .until("all serve", LONG, |v| v.nodes.len() as u64 == members && v.nodes.iter().all(|n| !n.away))
        .await;
    while load.ready() < members as usize {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let quiet = wall_us();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let from = wall_us();
    let begun = Instant::now();
    fleet.ordered(&["release", "v2", "--id", "r1"], 1);
    let done = |v: &pinetrestle_member::wire::RolloutView| {
        v.release.as_ref().is_some_and(|r| r.id == "r1" && r.stage == "done")
    };
    fleet.until("done", Duration::from_secs(900), done).await;
    let took = begun.elapsed();
    let end = wall_us();
    load.stop();
    let asked = load.asked();
    let during = asked.iter().filter(|a| a.at_us >= from).count();
    let bad = asked.iter().filter(|a| a.status != 200).count();
    println!(
        "{members} members, budget {budget}: {:.1} s; most away {}; queries {during} during, {bad} of {} not 200; \
         p99 {:.1} ms quiet, {:.1} ms during",
        took.as_secs_f64(),
        load.most_away(from),
        asked.len(),
        p99_ms(&asked, quiet, from),
        p99_ms(&asked, from, end)
    );
    if std::env::var("PINETRESTLE_SHOW_STEPS").is_ok() {
        println!("{}", fleet.logs());
    }
}

#[test]
#[ignore = "a measurement of some minutes"]
fn time_to_roll() {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
    for (members, budget) in [(7, 1), (7, 2), (50, 1), (50, 10)] {
        runtime.block_on(roll(members, budget));
    }
}
