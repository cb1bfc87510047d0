//! Simulates hosts and engines without a network, in steps of a millisecond.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use almondlock_base::time::Mono;
use almondlock_gateway::{
    load::Total,
    pick::{self, Candidate, Demand, Quota},
};
use almondlock_policy::{
    engine::Speed,
    share::Standing,
    slots::{self, Allocator, Commitment, Ticket, Verdict},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SLOTS: u32 = 12;
/// Milliseconds until a host learns of another host's requests.
const AGE: usize = 40;
/// Milliseconds for which a stream occupies its slot.
const HOLD: u64 = 2_100;
/// Milliseconds of an engine's pass.
const PASS: u64 = 50;
/// Minimum number of milliseconds from getting a slot to the first event: reading, and the
/// prompt's own pass. Before that it waits for the end of the pass in progress.
const FIRST: u64 = 70;
/// Milliseconds that an engine takes to read a prompt.
const READING: f32 = 20.0;
const OBJECTIVE: u64 = 300;
/// Milliseconds until a caller's deadline.
const DEADLINE: u64 = 12_000;
/// Number of refusals after which a caller doesn't return.
const REFUSALS: u32 = 2;
const PATIENCE: u64 = 2_000;
/// Milliseconds of the load before the burst, of the burst, and of the load after it.
const PHASES: [u64; 3] = [3_000, 5_000, 6_000];
const USUAL: f64 = 0.7;

pub struct Setup {
    pub hosts: usize,
    pub engines: usize,
    pub ratio: f64,
    pub places: bool,
    pub seed: u64,
}

/// Outcome of the burst's prompts.
#[derive(Debug, Default)]
pub struct Outcome {
    pub in_time: f64,
    pub served: f64,
    pub refusals: f64,
    pub waited: usize,
    pub longest: f64,
}

impl Outcome {
    pub fn value(&self) -> f64 {
        self.in_time + (self.served - self.in_time) / 4.0
    }
}

#[derive(Clone)]
struct Prompt {
    first_arrival: u64,
    arrival: u64,
    host: usize,
    first_event: Option<u64>,
    refused: u32,
    commitment: Option<Commitment>,
}

#[derive(Clone, Copy, Default)]
struct Count {
    waiting: u32,
    streams: u32,
}

struct Engine {
    queue: VecDeque<usize>,
    // End of each stream, time of its first event, and the prompt's index.
    running: Vec<(u64, u64, usize)>,
}

struct Fleet {
    now: u64,
    prompts: Vec<Prompt>,
    engines: Vec<Engine>,
    counts: Vec<Vec<Count>>,
    past: VecDeque<Vec<Vec<Count>>>,
    desks: Vec<Allocator>,
    lines: Vec<BTreeMap<Ticket, usize>>,
    granted: Vec<(usize, Option<usize>)>,
    returning: Vec<(u64, usize)>,
    refusals: usize,
    waited: usize,
    rng: SmallRng,
    speed: Speed,
    places: bool,
}

pub fn run(setup: &Setup) -> Outcome {
    let mut fleet = Fleet::new(setup);
    let capacity = setup.engines as f64 * f64::from(SLOTS) / HOLD as f64;
    let [before, burst, after] = PHASES;
    for now in 0..before + burst + after {
        let is_burst = (before..before + burst).contains(&now);
        let ratio = if is_burst { setup.ratio } else { USUAL };
        fleet.step(now, capacity * ratio);
    }
    let of_burst = |prompt: &&Prompt| (before..before + burst).contains(&prompt.first_arrival);
    let prompts: Vec<&Prompt> = fleet.prompts.iter().filter(of_burst).collect();
    let waits = prompts.iter().filter_map(|prompt| {
        let first = prompt.first_event?;
        (first <= prompt.arrival + PATIENCE).then(|| (first - prompt.first_arrival, first))
    });
    let waits: Vec<u64> = waits.map(|(wait, _)| wait).collect();
    let all = prompts.len() as f64;
    let in_time = waits.iter().filter(|wait| **wait <= OBJECTIVE).count();
    Outcome {
        in_time: in_time as f64 / all,
        served: waits.len() as f64 / all,
        refusals: fleet.refusals as f64 / all,
        waited: fleet.waited,
        longest: waits.iter().max().copied().unwrap_or_default() as f64,
    }
}

impl Fleet {
    fn new(setup: &Setup) -> Fleet {
        let hosts = setup.hosts;
        let counts = vec![vec![Count::default(); setup.engines]; hosts];
        Fleet {
            now: 0,
            prompts: Vec::new(),
            engines: (0..setup.engines)
                .map(|_| Engine {
                    queue: VecDeque::new(),
                    running: Vec::new(),
                })
                .collect(),
            past: VecDeque::from(vec![counts.clone(); AGE]),
            counts,
            desks: (0..hosts).map(|_| Allocator::default()).collect(),
            lines: vec![BTreeMap::new(); hosts],
            granted: Vec::new(),
            returning: Vec::new(),
            refusals: 0,
            waited: 0,
            rng: SmallRng::seed_from_u64(setup.seed),
            speed: Speed {
                slots: SLOTS,
                memory: 382_500,
                step_ms: 0.925,
                step_ms_per_stream: 0.00483,
                step_ms_per_context: 0.00254,
                tokens_per_ms: 256.0,
                ms_per_megapair: 0.0917,
                chunk_tokens: 2048.0,
                steps_per_pass: 52.0,
            },
            places: setup.places,
        }
    }

    fn at(&self) -> Mono {
        Mono::from_millis(self.now)
    }

    fn step(&mut self, now: u64, rate: f64) {
        self.now = now;
        self.work();
        if self.places {
            self.look();
        }
        for (id, freed) in std::mem::take(&mut self.granted) {
            self.place(id, Some(freed));
        }
        let due = self.returning.extract_if(.., |(at, _)| *at <= now);
        for (_, id) in due.collect::<Vec<_>>() {
            self.prompts[id].arrival = now;
            self.prompts[id].host = self.host();
            self.place(id, None);
        }
        if self.rng.random::<f64>() < rate {
            let host = self.host();
            self.prompts.push(Prompt {
                first_arrival: now,
                arrival: now,
                host,
                first_event: None,
                refused: 0,
                commitment: None,
            });
            self.place(self.prompts.len() - 1, None);
        }
        self.past.push_back(self.counts.clone());
        self.past.pop_front();
    }

    /// Draws a host. Six of ten prompts arrive at the first half of the hosts.
    fn host(&mut self) -> usize {
        let hosts = self.counts.len();
        let half = hosts / 2;
        match self.rng.random::<f64>() < 0.6 {
            true => self.rng.random_range(0..half),
            false => self.rng.random_range(half..hosts),
        }
    }

    /// Ends streams at the engines, and begins others.
    fn work(&mut self) {
        let now = self.now;
        for e in 0..self.engines.len() {
            let ended = self.engines[e]
                .running
                .extract_if(.., |(end, _, _)| *end <= now);
            for (_, _, id) in ended.collect::<Vec<_>>() {
                let prompt = &mut self.prompts[id];
                let host = prompt.host;
                let commitment = prompt.commitment.take();
                self.counts[host][e].streams -= 1;
                let at = Mono::from_millis(now);
                let has_slot = self.known(host, e).requests() < SLOTS;
                let next = commitment.and_then(|held| self.desks[host].release(at, held, has_slot));
                if let Some(next) = next {
                    let id = self.lines[host].remove(&next).unwrap();
                    self.granted.push((id, Some(e)));
                }
            }
            while self.engines[e].running.len() < SLOTS as usize {
                let Some(id) = self.engines[e].queue.pop_front() else {
                    break;
                };
                let first = now + FIRST + self.rng.random_range(0..PASS);
                self.prompts[id].first_event = Some(first);
                self.engines[e].running.push((now + HOLD, first, id));
            }
            for i in 0..self.engines[e].running.len() {
                let (_, first, id) = self.engines[e].running[i];
                if first == now {
                    let count = &mut self.counts[self.prompts[id].host][e];
                    count.waiting -= 1;
                    count.streams += 1;
                }
            }
        }
    }

    /// Lets hosts with waiting prompts check whether one may be sent.
    fn look(&mut self) {
        for host in 0..self.desks.len() {
            if self.desks[host].waiting() == 0 || !(self.now as usize + host).is_multiple_of(20) {
                continue;
            }
            let age = self.at().since(self.desks[host].occupancy().seen_at);
            if age >= Duration::from_millis(2 * AGE as u64) {
                let candidates = self.candidates(host);
                self.see(host, &candidates);
            }
            for ticket in self.desks[host].grant(Mono::from_millis(self.now), &mut self.rng) {
                let id = self.lines[host].remove(&ticket).unwrap();
                self.granted.push((id, None));
            }
        }
    }

    fn see(&mut self, host: usize, candidates: &[Candidate]) {
        let objective = Duration::from_millis(OBJECTIVE);
        let hold = Duration::from_millis(HOLD);
        let rows = pick::slot_usage(candidates, objective);
        let hosts = self.desks.len() - 1;
        self.desks[host].update(Mono::from_millis(self.now), rows, hold, hosts);
    }

    /// Returns the work on an engine that a host knows of.
    fn known(&self, host: usize, e: usize) -> Total {
        let mut total = Total::default();
        for (other, counts) in self.past[0].iter().enumerate() {
            let count = match other == host {
                true => self.counts[host][e],
                false => counts[e],
            };
            total.waiting += count.waiting;
            total.streams += count.streams;
        }
        total
    }

    fn candidates(&self, host: usize) -> Vec<Candidate> {
        let candidates = (0..self.engines.len()).map(|e| {
            let mut total = self.known(host, e);
            total.short = total.waiting + total.streams;
            total.reading = total.waiting as f32 * READING;
            total.memory = u64::from(total.short) * 6_600;
            Candidate {
                total,
                slots: SLOTS,
                near: true,
                ejected: false,
                rate: 1.0,
                suspect: false,
                quota: Quota::Unlimited,
                full: false,
                cell: 0,
            }
        });
        candidates.collect()
    }

    /// Places a prompt. `freed` is `Some` if it was granted a slot, and has an engine if
    /// the slot was left by one of that engine's streams.
    fn place(&mut self, id: usize, freed: Option<Option<usize>>) {
        let host = self.prompts[id].host;
        let candidates = self.candidates(host);
        let objective = Duration::from_millis(OBJECTIVE);
        let demand = Demand {
            prompt: 4_960,
            output: 1_700,
            objective,
        };
        let choice = pick::choose_engine(&self.speed, demand, &candidates, &mut self.rng).unwrap();
        let mut first = choice.primary;
        let has_slot = |e: usize| candidates[e].total.requests() < SLOTS;
        if self.places {
            self.see(host, &candidates);
            if self.desks[host].is_scarce() || !has_slot(first) {
                first = pick::draw_engine_with_slot(
                    &self.speed,
                    demand,
                    &candidates,
                    first,
                    &mut self.rng,
                );
            }
            match freed {
                Some(Some(e)) if has_slot(e) => first = e,
                Some(_) => {}
                None => {
                    let case = slots::Prompt {
                        arrived: self.at(),
                        deadline: Mono::from_millis(self.prompts[id].first_arrival + DEADLINE),
                        objective,
                        expected_delay: Duration::from_millis(FIRST + PASS),
                        priority: 1,
                        standing: Standing::Within,
                    };
                    let now = self.at();
                    match self.desks[host].decide(now, &case, has_slot(first), &mut self.rng) {
                        Verdict::Send => {}
                        Verdict::Wait(ticket) => {
                            self.waited += 1;
                            self.lines[host].insert(ticket, id);
                            return;
                        }
                        Verdict::Refuse {
                            retry_after: returns,
                        } => {
                            return self.refuse(id, returns);
                        }
                    }
                }
            }
            let until = Mono::from_millis(self.now + HOLD);
            self.prompts[id].commitment = Some(self.desks[host].commit(until));
        }
        self.counts[host][first].waiting += 1;
        self.engines[first].queue.push_back(id);
    }

    fn refuse(&mut self, id: usize, returns: Duration) {
        self.refusals += 1;
        let spread = 1.0 + self.rng.random::<f64>() * 0.5;
        let left = (self.prompts[id].first_arrival + DEADLINE).saturating_sub(self.now);
        let wait = (returns.as_millis() as f64).max(150.0) * spread;
        let wait = wait.min(left as f64 / 3.0);
        self.prompts[id].refused += 1;
        if self.prompts[id].refused < REFUSALS {
            self.returning.push((self.now + wait as u64, id));
        }
    }
}
