//! Measures spreading with many processes on loopback addresses.
//!
//! `cargo run --release -p almondlock-node --example spread -- tree 200 50`
//! starts three sources and 200 processes as tasks of one thread, makes 50
//! changes one by one, and prints how long each took to reach every process and
//! to be known as in force everywhere, and the bytes that a process moved a
//! second, idle and during changes. `-- behind 5000` prints how long a process
//! takes that missed 5,000 changes. Everything ends by itself.

mod count;

use std::{
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use almondlock_base::{
    id::{self, Domain, Host, Incarnation, Region},
    unit::Tokens,
};
use almondlock_node::{Config, Node, Parts};
use almondlock_spread::view::View;
use almondlock_state::config::{Change, Organisation};
use almondlock_transport::Security;
use count::Count;
use tokio::time::sleep;

type Problem = Box<dyn std::error::Error>;

const LIMIT: Duration = Duration::from_secs(120);
const SPAN: Duration = Duration::from_secs(10);
const SOURCES: usize = 3;

fn main() -> Result<(), Problem> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let number = |n: usize| words.get(n).and_then(|w| w.parse::<usize>().ok());
    let system = ntex::rt::System::new("spread", ntex::rt::DefaultRuntime);
    match (words.first().map(String::as_str), number(1), number(2)) {
        (Some("tree"), Some(processes), changes) if (1..=2000).contains(&processes) => {
            system.block_on(tree(processes, changes.unwrap_or(50)))
        }
        (Some("behind"), Some(missed), _) if missed <= 1_000_000 => system.block_on(behind(missed)),
        _ => Err("say: tree PROCESSES [CHANGES], or: behind CHANGES".into()),
    }
}

fn config(host: &str, n: usize, seeds: &[SocketAddr]) -> Result<Config, Problem> {
    Ok(Config {
        host: Host::new(host)?,
        domain: Domain::new(&format!("d{}", n % 6))?,
        region: Region::new(&format!("r{}", n % 2))?,
        incarnation: Incarnation(n as u64),
        listen: ([127, 0, 0, 1], 0).into(),
        seeds: seeds.to_vec(),
        security: Security::Plain,
        pace: Default::default(),
    })
}

/// A change of usual size: an organisation with two keys.
fn change(n: u64) -> Result<Change, Problem> {
    let name = id::Organisation::new(&format!("organisation-{}", n % 1500))?;
    let value = Organisation {
        keys: vec!["0".repeat(64), "1".repeat(64)],
        share: 1,
        rate: 100,
        tokens: Tokens(n),
        deadline: 60_000,
        deadline_limit: 600_000,
    };
    Ok(Change::Organisation(name, Some(value)))
}

fn accept(view: &View, changes: usize) -> Result<(), Problem> {
    let first = view.revision().next();
    let changes = (first.0..first.0 + changes as u64).map(change);
    view.extend(first, changes.collect::<Result<Vec<_>, _>>()?);
    Ok(())
}

async fn sources(view: &View) -> Result<Vec<Node>, Problem> {
    let ports = (0..SOURCES)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<Vec<_>, _>>()?;
    let seeds = ports
        .iter()
        .map(TcpListener::local_addr)
        .collect::<Result<Vec<_>, _>>()?;
    drop(ports);
    let mut sources = Vec::new();
    for (n, seed) in seeds.iter().enumerate() {
        let mut config = config(&format!("c{n}"), n, &seeds)?;
        config.listen = *seed;
        let parts = Parts {
            is_source: true,
            ..Parts::default()
        };
        sources.push(Node::start(config, view.clone(), parts).await?);
    }
    Ok(sources)
}

async fn until<F>(mut holds: F) -> Result<Duration, Problem>
where
    F: FnMut() -> bool,
{
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > LIMIT {
            return Err("not within the limit".into());
        }
        sleep(Duration::from_micros(200)).await;
    }
    Ok(began.elapsed())
}

async fn tree(processes: usize, changes: usize) -> Result<(), Problem> {
    let view = View::new();
    accept(&view, 1500)?;
    let sources = sources(&view).await?;
    let seeds: Vec<_> = sources.iter().map(Node::address).collect();
    let (before, began, count) = (resident(), Instant::now(), Count::default());
    let mut nodes = Vec::new();
    for n in 0..processes {
        let config = config(&format!("h{n}"), n, &seeds)?;
        let layer = |_| count.clone();
        nodes.push(Node::start_with(config, View::new(), Parts::default(), layer).await?);
    }
    until(|| nodes.iter().all(Node::is_recent)).await?;
    println!("{processes} processes ready after {:?}", began.elapsed());
    let all = processes + SOURCES;
    let known = |node: &Node| node.handle().summary().processes as usize == all;
    until(|| sources.iter().all(known)).await?;
    println!("known to each source after {:?}", began.elapsed());
    let mut depths = [0_u32; 8];
    for node in &nodes {
        depths[node.handle().way().len().min(7)] += 1;
    }
    println!("processes by depth from 1: {:?}", &depths[1..]);
    let grown = resident().saturating_sub(before);
    println!("memory per process: {} KiB", grown / processes);
    rates(&count, processes, "idle", || Ok(())).await?;
    one_by_one(&view, &sources, &nodes, changes).await?;
    // 2,700 changes a day are one in 32 s; this is 320 times as many.
    rates(&count, processes, "10 changes/s", || accept(&view, 1)).await
}

async fn one_by_one(
    view: &View,
    sources: &[Node],
    nodes: &[Node],
    changes: usize,
) -> Result<(), Problem> {
    let (mut reached, mut in_force) = (Vec::new(), Vec::new());
    for _ in 0..changes {
        accept(view, 1)?;
        let revision = view.revision();
        let began = Instant::now();
        let have = |node: &Node| node.handle().view().revision() == revision;
        until(|| nodes.iter().all(have)).await?;
        reached.push(began.elapsed());
        let told = |node: &Node| node.handle().summary().lowest == revision;
        until(|| sources.iter().all(told)).await?;
        in_force.push(began.elapsed());
        sleep(Duration::from_millis(20)).await;
    }
    show("change reached every process", reached);
    show("known as in force to each source", in_force);
    Ok(())
}

fn show(what: &str, mut spans: Vec<Duration>) {
    spans.sort_unstable();
    let at = |part: usize| spans.get(spans.len().saturating_sub(1) * part / 100);
    if let (Some(half), Some(most), Some(last)) = (at(50), at(99), spans.last()) {
        println!("{what}: p50 {half:?}, p99 {most:?}, max {last:?}");
    }
}

async fn rates<F>(count: &Count, processes: usize, when: &str, mut step: F) -> Result<(), Problem>
where
    F: FnMut() -> Result<(), Problem>,
{
    let (bytes, writes, cpu) = (count.bytes(), count.writes(), processor()?);
    for _ in 0..SPAN.as_millis() / 100 {
        sleep(Duration::from_millis(100)).await;
        step()?;
    }
    let each = |n: u64| n as f64 / SPAN.as_secs_f64() / processes as f64;
    let cpu = (processor()? - cpu) / SPAN.as_secs_f64() / (processes + SOURCES) as f64;
    println!(
        "{when}: per process {:.0} B/s to and from its parent, {:.2} reads and writes/s, {:.3}% of a core",
        each(count.bytes() - bytes),
        each(count.writes() - writes),
        cpu * 100.0
    );
    Ok(())
}

/// Seconds of processor time used by this program.
fn processor() -> Result<f64, Problem> {
    let text = std::fs::read_to_string("/proc/self/stat")?;
    let (_, fields) = text.rsplit_once(')').ok_or("no processor time")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok());
    let all = ticks(11).zip(ticks(12)).ok_or("no processor time")?;
    Ok((all.0 + all.1) / 100.0)
}

/// KiB of memory that this program holds.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let field = line.and_then(|l| l.split_whitespace().next());
    field.and_then(|f| f.parse().ok()).unwrap_or(0)
}

async fn behind(missed: usize) -> Result<(), Problem> {
    let view = View::new();
    accept(&view, missed)?;
    let sources = sources(&view).await?;
    let seeds: Vec<_> = sources.iter().map(Node::address).collect();
    let (mut spans, count) = (Vec::new(), Count::default());
    for n in 0..10 {
        let began = Instant::now();
        let config = config(&format!("h{n}"), n, &seeds)?;
        let layer = |_| count.clone();
        let node = Node::start_with(config, View::new(), Parts::default(), layer).await?;
        let have = || node.is_recent() && node.handle().view().revision() == view.revision();
        until(have).await?;
        spans.push(began.elapsed());
        node.stop().await;
    }
    show(&format!("caught up with {missed} changes"), spans);
    println!("{} KiB each", count.bytes() / 1024 / 10);
    Ok(())
}
