//! A span of time under one load, and what each role spent in it.

use std::{
    cell::Cell,
    collections::HashSet,
    error::Error,
    fmt::Write,
    rc::Rc,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::SmallRng};
use tokio::{task::spawn_local, time::sleep};

use crate::{
    fleet::{Fleet, Process, Role},
    sample::{Links, Sample, Traffic},
};

/// How long a load runs before it is measured.
const WARM_UP: Duration = Duration::from_secs(2);
/// How long it is measured.
const SPAN: Duration = Duration::from_secs(8);
/// A prompt's length: about a thousand tokens.
const PROMPT_BYTES: usize = 4000;
/// How long the last answers may take.
const DRAIN: Duration = Duration::from_secs(2);

/// The first line of the CSV file. Values are means over a role's processes.
pub const HEADER: &str = "seed,sidecars,entries,window,rate,tokens,role,processes,resident_kib,\
    resident_max_kib,anonymous_kib,threads,core_percent,links,stream_bytes_s,wire_bytes_s,sent,whole";

/// What callers send.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    name: &'static str,
    rate: u32,
    tokens: u32,
}

impl Load {
    /// So many requests a second with answers of so many tokens.
    pub const fn new(name: &'static str, rate: u32, tokens: u32) -> Load {
        Load { name, rate, tokens }
    }
}

/// Requests of a load and those whose answers came to their end.
#[derive(Default)]
struct Count {
    sent: Cell<u64>,
    whole: Cell<u64>,
}

/// What one process spent.
struct Spent {
    role: Role,
    end: Sample,
    share: f64,
    links: f64,
    stream: f64,
    wire: f64,
}

/// A span of time under one load.
pub struct Window {
    load: Load,
    spent: Vec<Spent>,
    sent: u64,
    whole: u64,
}

impl Window {
    /// Runs a load and measures all processes meanwhile.
    pub async fn measure(
        fleet: &Fleet,
        load: Load,
        generator: &mut SmallRng,
    ) -> Result<Window, Box<dyn Error>> {
        let count = Rc::new(Count::default());
        send(fleet, load, WARM_UP, generator, &count).await;
        let ports: HashSet<u16> = fleet.processes.iter().map(|p| p.inner.port()).collect();
        let links = Links::new(&ports)?;
        let before = samples(&fleet.processes)?;
        let started = Instant::now();
        send(fleet, load, SPAN, generator, &count).await;
        let elapsed = started.elapsed().as_secs_f64();
        let after = samples(&fleet.processes)?;
        let moved = Links::new(&ports)?.since(&links);
        let spent = fleet.processes.iter().enumerate().map(|(n, process)| {
            let busy = after[n].busy.saturating_sub(before[n].busy);
            let traffic: Traffic = moved.get(&process.id()).copied().unwrap_or_default();
            Spent {
                role: process.role,
                end: after[n],
                share: busy.as_secs_f64() / elapsed * 100.0,
                links: traffic.links as f64,
                stream: traffic.stream as f64 / elapsed,
                wire: traffic.wire as f64 / elapsed,
            }
        });
        let spent = spent.collect();
        sleep(DRAIN).await;
        Ok(Window {
            load,
            spent,
            sent: count.sent.get(),
            whole: count.whole.get(),
        })
    }

    /// One CSV line for each role.
    pub fn lines(&self, seed: u64, fleet: &Fleet) -> String {
        let mut text = String::new();
        for role in Role::ALL {
            let of: Vec<&Spent> = self.spent.iter().filter(|s| s.role == role).collect();
            let count = of.len() as f64;
            let mean =
                |value: &dyn Fn(&Spent) -> f64| of.iter().map(|s| value(s)).sum::<f64>() / count;
            let largest = of.iter().map(|s| s.end.resident).max().unwrap_or(0);
            let _ = writeln!(
                text,
                "{seed},{},{},{},{},{},{},{},{:.0},{largest},{:.0},{:.0},{:.4},{:.1},{:.0},{:.0},{},{}",
                fleet.shape.sidecars,
                fleet.shape.entries,
                self.load.name,
                self.load.rate,
                self.load.tokens,
                role.name(),
                of.len(),
                mean(&|s| s.end.resident as f64),
                mean(&|s| s.end.anonymous as f64),
                mean(&|s| s.end.threads as f64),
                mean(&|s| s.share),
                mean(&|s| s.links),
                mean(&|s| s.stream),
                mean(&|s| s.wire),
                self.sent,
                self.whole,
            );
        }
        text
    }
}

fn samples(processes: &[Process]) -> Result<Vec<Sample>, Box<dyn Error>> {
    processes.iter().map(|p| Sample::new(p.id())).collect()
}

/// Sends requests at random moments, whether or not earlier ones are answered.
async fn send(
    fleet: &Fleet,
    load: Load,
    span: Duration,
    generator: &mut SmallRng,
    count: &Rc<Count>,
) {
    let end = tokio::time::Instant::now() + span;
    let mut due = tokio::time::Instant::now();
    if load.rate == 0 {
        return tokio::time::sleep_until(end).await;
    }
    loop {
        let unit: f64 = generator.random_range(f64::MIN_POSITIVE..1.0);
        due += Duration::from_secs_f64(-unit.ln() / f64::from(load.rate));
        if due >= end {
            break;
        }
        tokio::time::sleep_until(due).await;
        let number = generator.random_range(0..fleet.entries.len());
        let (entry, api) = (fleet.entries[number], fleet.api.clone());
        let mut prompt = format!("{:016x} ", generator.random::<u64>());
        prompt.extend(std::iter::repeat_n('a', PROMPT_BYTES - prompt.len()));
        let count = Rc::clone(count);
        count.sent.set(count.sent.get() + 1);
        spawn_local(async move {
            if api.complete(entry, prompt, load.tokens).await {
                count.whole.set(count.whole.get() + 1);
            }
        });
    }
    tokio::time::sleep_until(end).await;
}
