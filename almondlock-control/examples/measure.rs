//! Measures three replicas on this machine: claims a second and syncs per
//! claim, the time until a new leader accepts after the old one fell silent, and
//! the time to catch up after missed changes.
//!
//! ```text
//! cargo run --release -p almondlock-control --example measure
//! ```
//!
//! Each replica has a thread of its own, real files under the temporary folder,
//! and talks to the others over loopback. Takes about two minutes.

#![allow(clippy::unwrap_used)]

#[path = "../tests/group/mod.rs"]
mod group;

use std::{
    fs,
    time::{Duration, Instant},
};

use almondlock_control::replica::{Builder, Remote};
use almondlock_quorum::config as quorum;
use almondlock_state::command::Command;
use futures::future::join_all;
use group::{Group, announce, claim, until};
use tokio::task::{LocalSet, spawn_local};

const LOAD: Duration = Duration::from_secs(4);
const ELECTIONS: usize = 11;

fn usual(builder: Builder) -> Builder {
    builder
        .quorum(quorum::Config::builder().build().unwrap())
        .patience(Duration::from_secs(5))
}

/// Processor time of the whole process.
fn processor_time() -> Duration {
    let stat = fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    Duration::from_millis(ticks * 10)
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        println!("claimers, claims/s, claims per processor second, leader's syncs per claim, p50 ms, p99 ms");
        for claimers in [1, 16, 128, 512] {
            load(claimers).await;
        }
        elections().await;
        println!("missed changes, seconds to catch up");
        for missed in [500, 5_000, 50_000] {
            catch_up(missed).await;
        }
    });
}

fn payment(claimer: u64, count: u64) -> Command {
    let mut command = claim(&format!("payment-{claimer}-{count}"), claimer);
    if let Command::Claim { organisation, .. } = &mut command {
        let name = format!("north-{}", claimer % 50);
        *organisation = almondlock_base::id::Organisation::new(&name).unwrap();
    }
    command
}

async fn claimer(remote: Remote, number: u64, end: Instant) -> Vec<Duration> {
    let mut spans = Vec::new();
    while Instant::now() < end {
        let start = Instant::now();
        let command = payment(number, spans.len() as u64);
        remote.propose(command).await.unwrap();
        spans.push(start.elapsed());
    }
    spans
}

async fn load(claimers: u64) {
    let group = Group::new(usual);
    let leader = group.leader().await;
    let remote = group.remote(leader).clone();
    let syncs = group.status(leader).await.syncs;
    let spent = processor_time();
    let end = Instant::now() + LOAD;
    let tasks = (0..claimers).map(|n| spawn_local(claimer(remote.clone(), n, end)));
    let tasks: Vec<_> = tasks.collect();
    let mut spans: Vec<Duration> = join_all(tasks)
        .await
        .into_iter()
        .flat_map(Result::unwrap)
        .collect();
    let spent = processor_time() - spent;
    let syncs = group.status(leader).await.syncs - syncs;
    spans.sort_unstable();
    let count = spans.len();
    let at = |share: f64| spans[(count as f64 * share) as usize].as_secs_f64() * 1e3;
    println!(
        "{claimers}, {:.0}, {:.0}, {:.4}, {:.2}, {:.2}",
        count as f64 / LOAD.as_secs_f64(),
        count as f64 / spent.as_secs_f64(),
        syncs as f64 / count as f64,
        at(0.5),
        at(0.99),
    );
}

async fn elections() {
    let group = Group::new(usual);
    let mut spans = Vec::new();
    for value in 0..ELECTIONS as u64 {
        let leader = group.leader().await;
        let running = group.running[leader].as_ref().unwrap();
        let start = Instant::now();
        running.pause(Duration::from_secs(4)).await;
        let others = (0..3).filter(|n| *n != leader);
        let others: Vec<_> = others.map(|n| (n, group.remote(n).clone())).collect();
        group::accept(&others, announce(value + 1)).await;
        spans.push(start.elapsed());
        until("the old leader is back", async || {
            running.remote.status().await.ok()
        })
        .await;
    }
    spans.sort_unstable();
    println!(
        "silent leader until the next accepted change: {ELECTIONS} times, min {:.2?}, median {:.2?}, max {:.2?}",
        spans[0],
        spans[ELECTIONS / 2],
        spans[ELECTIONS - 1],
    );
}

async fn catch_up(missed: u64) {
    let mut group = Group::new(usual);
    let leader = group.leader().await;
    let away = (leader + 1) % 3;
    group.kill(away);
    let remote = group.remote(leader).clone();
    for first in (0..missed).step_by(500) {
        let batch = (first..first + 500).map(|value| {
            let remote = remote.clone();
            async move { remote.propose(announce(value + 1)).await.unwrap() }
        });
        join_all(batch).await;
    }
    let commit = group.status(leader).await.commit;
    let start = Instant::now();
    group.start(away);
    until("it has caught up", async || {
        (group.status(away).await.applied >= commit).then_some(())
    })
    .await;
    println!("{missed}, {:.2}", start.elapsed().as_secs_f64());
}
