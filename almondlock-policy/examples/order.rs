//! Compares scheduling orders on a simulated engine.
//!
//! Each step of the simulated engine processes up to a fixed number of prompt
//! tokens and one answer token of each running request. It takes a fixed time, a
//! time per prompt token and a time per request. The real [`Queue`] decides which
//! request starts next. Each order gets the same requests, drawn from a seed. The
//! results show how the orders compare, not what a deployment will measure.
//!
//! `cargo run --release -p almondlock-policy --example order [SEED [MEMORY]]`

use std::{collections::HashMap, time::Duration};

use almondlock_base::{id::Organisation, time::Mono, unit::Tokens};
use almondlock_policy::{
    length::Class,
    queue::{Config, Job, Queue, Room},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Number of requests that the engine runs concurrently.
const SLOTS: u32 = 64;
/// Largest number of prompt tokens that one step processes.
const CHUNK_TOKENS: u64 = 1_024;
/// Fixed time of a step.
const STEP_MICROS: u64 = 6_000;
/// Time of a step for each prompt token.
const PROMPT_TOKEN_NANOS: u64 = 45_000;
/// Time of a step for each running request.
const REQUEST_MICROS: u64 = 60;
/// Simulated time during which requests arrive.
const SPAN: Duration = Duration::from_secs(4_000);

/// A request of the simulated traffic.
#[derive(Clone)]
struct Request {
    /// Time of arrival.
    at: Mono,
    organisation: Organisation,
    /// Length of the prompt in tokens.
    prompt: u64,
    /// Length of the answer in tokens.
    output: u64,
}

/// A request that the engine runs.
struct Running {
    id: usize,
    /// Priority and order of start. The least is processed first.
    rank: (u8, u64),
    /// Prompt tokens that are not processed yet.
    left: u64,
    /// Answer tokens that are written.
    answered: u64,
}

/// Whether the engine processes requests by their priorities.
#[derive(Clone, Copy, PartialEq)]
enum Priorities {
    Honoured,
    None,
}

/// The simulated engine with its queue.
struct Engine<'a> {
    requests: &'a [Request],
    memory: Tokens,
    queue: Queue<usize>,
    priorities: Priorities,
    running: Vec<Running>,
    granted: u64,
    now: Mono,
    /// Time to first token of each request, `None` for a refused one.
    first: Vec<Option<Duration>>,
}

impl<'a> Engine<'a> {
    fn new(requests: &'a [Request], memory: Tokens, order: &Order) -> Engine<'a> {
        let Order {
            config, priorities, ..
        } = *order;
        Engine {
            requests,
            memory,
            queue: Queue::new(config),
            priorities,
            running: Vec::new(),
            granted: 0,
            now: Mono::ZERO,
            first: vec![None; requests.len()],
        }
    }

    /// Processes all requests, and returns the time to first token of each.
    fn run(mut self) -> Vec<Option<Duration>> {
        let mut next = 0;
        loop {
            while let Some(request) = self.requests.get(next)
                && request.at <= self.now
            {
                self.enqueue(next);
                next += 1;
            }
            self.grant();
            if !self.running.is_empty() {
                self.step();
            } else if let Some(request) = self.requests.get(next) {
                self.now = request.at;
            } else {
                return self.first;
            }
        }
    }

    /// Adds a request to the queue.
    fn enqueue(&mut self, id: usize) {
        let request = &self.requests[id];
        let job = Job {
            organisation: request.organisation.clone(),
            weight: 1,
            prompt: Tokens(request.prompt),
            cached: Tokens::ZERO,
            max_output: Tokens(request.output),
            deadline: request.at + Duration::from_secs(100_000),
            suspect: false,
        };
        let room = self.room();
        // A refused request has no time to first token and is left out of the results.
        let _ = self.queue.push(id, job, &room, self.now);
    }

    /// Returns the free slots and memory of the engine.
    fn room(&self) -> Room {
        let need = |run: &Running| {
            let request = &self.requests[run.id];
            Tokens(request.prompt + request.output)
        };
        let used: Tokens = self.running.iter().map(need).sum();
        Room {
            free_memory: self.memory.saturating_sub(used),
            free_slots: SLOTS - self.running.len() as u32,
            ..Room::idle(self.memory, SLOTS)
        }
    }

    /// Starts the requests that the queue grants.
    fn grant(&mut self) {
        while let Some(grant) = self.queue.grant(self.now, &self.room()) {
            self.granted += 1;
            let priority = match self.priorities {
                Priorities::Honoured => grant.priority,
                Priorities::None => 0,
            };
            self.running.push(Running {
                id: grant.id,
                rank: (priority, self.granted),
                left: self.requests[grant.id].prompt,
                answered: 0,
            });
        }
    }

    /// Runs one step of the engine.
    fn step(&mut self) {
        self.running.sort_by_key(|run| run.rank);
        let mut budget = CHUNK_TOKENS;
        let mut done = Vec::new();
        for run in &mut self.running {
            let part = run.left.min(budget);
            budget -= part;
            if run.left > 0 {
                run.left -= part;
                if run.left > 0 {
                    continue;
                }
                done.push(run.id);
            }
            run.answered += 1;
        }
        let tokens = CHUNK_TOKENS - budget;
        let micros = STEP_MICROS
            + tokens * PROMPT_TOKEN_NANOS / 1_000
            + self.running.len() as u64 * REQUEST_MICROS;
        self.now = self.now + Duration::from_micros(micros);
        for id in done {
            self.first[id] = Some(self.now.since(self.requests[id].at));
            self.queue.end_prefill(&id, self.now);
        }
        let (requests, queue) = (self.requests, &mut self.queue);
        self.running.retain(|run| {
            let output = requests[run.id].output;
            let over = run.answered >= output;
            if over {
                queue.finish(&run.id, Tokens(output));
            }
            !over
        });
    }
}

fn organisation(name: &str) -> Organisation {
    Organisation::new(name).expect("a plain name")
}

/// Draws requests with exponentially distributed intervals, `rate` per second. One in `long` has
/// over a hundred thousand prompt tokens, none if `long` is 0.
fn draw_requests(rng: &mut SmallRng, name: &str, rate: f64, long: u32) -> Vec<Request> {
    let mut at = 0.0;
    let mut requests = Vec::new();
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= SPAN.as_secs_f64() {
            return requests;
        }
        // Most prompts have a few thousand tokens, some have tens of thousands.
        let shape: f64 = rng.random_range(0.0..1.0);
        let usual = (1_000.0 * 30f64.powf(shape * shape)) as u64;
        let huge = rng.random_range(100_000..400_000);
        let is_long = rng.random_range(0..long.max(1)) == 0 && long > 0;
        requests.push(Request {
            at: Mono::from_micros((at * 1e6) as u64),
            organisation: organisation(name),
            prompt: if is_long { huge } else { usual },
            output: rng.random_range(20..300),
        });
    }
}

fn percentile(mut times: Vec<Duration>, percent: usize) -> Duration {
    times.sort();
    let at = (times.len() * percent / 100).min(times.len().saturating_sub(1));
    times.get(at).copied().unwrap_or_default()
}

/// Returns the times to first token of the requests that pass a filter.
fn select_times<F>(requests: &[Request], first: &[Option<Duration>], keep: F) -> Vec<Duration>
where
    F: Fn(&Request) -> bool,
{
    let kept = requests
        .iter()
        .zip(first)
        .filter(|(request, _)| keep(request));
    kept.filter_map(|(_, first)| *first).collect()
}

/// A scheduling order to compare.
struct Order {
    name: &'static str,
    config: Config,
    priorities: Priorities,
}

fn orders() -> [Order; 4] {
    let order = |name, config, priorities| Order {
        name,
        config,
        priorities,
    };
    [
        order("fifo", Config::fifo(), Priorities::None),
        order("fifo+prio", Config::fifo(), Priorities::Honoured),
        order("short", Config::short(), Priorities::Honoured),
        order("even", Config::even(), Priorities::Honoured),
    ]
}

/// Compares the orders by class of prompt length.
fn compare_classes(seed: u64, memory: Tokens) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let requests = draw_requests(&mut rng, "org", 1.5, 50);
    let without: Vec<Request> = requests
        .iter()
        .filter(|request| request.prompt < 100_000)
        .cloned()
        .collect();
    println!(
        "time to first token, {} requests, one in 50 over 100,000 tokens",
        requests.len()
    );
    println!("order      class   count     p50 ms     p95 ms     p99 ms  p95 without the long");
    for order in orders() {
        let name = order.name;
        let first = Engine::new(&requests, memory, &order).run();
        let alone = Engine::new(&without, memory, &order).run();
        for class in Class::ALL {
            let is_class = |request: &Request| Class::of(Tokens(request.prompt)) == class;
            let times = select_times(&requests, &first, is_class);
            let calm = select_times(&without, &alone, is_class);
            print!("{name:<10} {:<7} {:>5}", class.as_str(), times.len());
            for percent in [50, 95, 99] {
                print!(" {:>10}", percentile(times.clone(), percent).as_millis());
            }
            let (with, calm) = (percentile(times, 95), percentile(calm, 95));
            if calm.is_zero() {
                println!();
            } else {
                let ratio = with.as_secs_f64() / calm.as_secs_f64();
                println!(" {:>10} (x{ratio:.2})", calm.as_millis());
            }
        }
    }
}

/// Compares how the orders shield one organisation from another one's flood of requests.
fn compare_flood(seed: u64, memory: Tokens) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let quiet = draw_requests(&mut rng, "quiet", 0.5, 0);
    let flood = draw_requests(&mut rng, "flood", 8.0, 0);
    let mut both = quiet.clone();
    both.extend(flood);
    both.sort_by_key(|request| request.at);
    println!("\none organisation's short requests, alone and beside another's flood");
    println!("order      p95 alone ms  p95 beside ms");
    let is_quiet = |request: &Request| {
        request.organisation.as_str() == "quiet"
            && Class::of(Tokens(request.prompt)) == Class::Short
    };
    for order in orders() {
        let name = order.name;
        let alone = Engine::new(&quiet, memory, &order).run();
        let beside = Engine::new(&both, memory, &order).run();
        let alone = percentile(select_times(&quiet, &alone, is_quiet), 95);
        let beside = percentile(select_times(&both, &beside, is_quiet), 95);
        let ratio = beside.as_secs_f64() / alone.as_secs_f64();
        println!(
            "{name:<10} {:>12} {:>14} (x{ratio:.2})",
            alone.as_millis(),
            beside.as_millis()
        );
    }
}

/// Prints how the times of each class depend on the two parameters that a deployment configures.
fn sweep_parameters(seed: u64, memory: Tokens) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let requests = draw_requests(&mut rng, "org", 1.5, 50);
    println!("\np95 in ms by stretch and reserve");
    println!("stretch reserve      short     medium       long       huge        all");
    for stretch in [0.0, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0] {
        for reserve in [0, 8, 15] {
            let config = Config {
                stretch,
                reserve_percent: reserve,
                ..Config::short()
            };
            let order = Order {
                name: "sweep",
                config,
                priorities: Priorities::Honoured,
            };
            let first = Engine::new(&requests, memory, &order).run();
            let mut times: HashMap<Class, Vec<Duration>> = HashMap::new();
            for (request, first) in requests.iter().zip(&first) {
                let class = Class::of(Tokens(request.prompt));
                times.entry(class).or_default().extend(*first);
            }
            print!("{stretch:>7} {reserve:>7}");
            for class in Class::ALL {
                let times = times.get(&class).cloned().unwrap_or_default();
                print!(" {:>10}", percentile(times, 95).as_millis());
            }
            let all = percentile(times.into_values().flatten().collect(), 95);
            println!(" {:>10}", all.as_millis());
        }
    }
}

fn argument(number: usize, default: u64) -> u64 {
    let text = std::env::args().nth(number);
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn main() {
    let seed = argument(1, 1);
    let memory = Tokens(argument(2, 700_000));
    println!("seed {seed}, {memory} tokens of memory, simulated engine");
    compare_classes(seed, memory);
    compare_flood(seed, memory);
    sweep_parameters(seed, memory);
}
