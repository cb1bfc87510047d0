//! Guards against entry hosts that all choose the same idle engine. A hundred of them place
//! short prompts on a hundred engines, and each learns late what the others sent. Prompts
//! that arrive meanwhile see the same idle engine; those that take it together wait for
//! each other and are late.

mod engines;

use std::time::Duration;

use almondlock_base::id::{Domain, Upstream};
use almondlock_gateway::{
    load::Total,
    pick::{self, Candidate, Demand},
};
use almondlock_policy::{cell, engine::Speed};
use engines::{engine, speed};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const DOMAINS: usize = 5;
const ENGINES: usize = 110;
const HOSTS: usize = 103;
/// Number of requests that an engine processes at the same time.
const SLOTS: u32 = 10;
/// Milliseconds until a host knows what another one has sent.
const AGE: usize = 60;
/// Milliseconds that an engine takes to read a short prompt.
const READING: f32 = 20.0;
/// Short prompts in a millisecond: twice their usual rate, as after a change of the mix.
const PER_MILLISECOND: f64 = 0.4;
/// Milliseconds until the first event of a short prompt.
const FIRST_EVENT: usize = 130;
/// Milliseconds for which a stream is written.
const WRITING: usize = 1_600;

/// A request that was sent: the time, the host and the engine.
type Sent = (usize, usize, usize);

/// Hosts and engines in several failure domains, and the cells as each host sees them.
struct Fleet {
    cells: Vec<Vec<usize>>,
    sent: Vec<Sent>,
}

impl Fleet {
    fn new(domains: usize) -> Fleet {
        let domain = |n: usize| Domain::new(&format!("d-{}", n % domains)).unwrap();
        let engines: Vec<(Upstream, Domain)> = (0..ENGINES)
            .map(|n| (Upstream::new(&format!("i-{n}")).unwrap(), domain(n)))
            .collect();
        let cells = (0..HOSTS).map(|host| {
            let engines = engines.iter().map(|(name, domain)| (name, domain));
            cell::assign(engines, &domain(host), host as u64)
        });
        Fleet {
            cells: cells.collect(),
            sent: Vec::new(),
        }
    }

    /// Returns the engines as one host knows them.
    fn candidates(&self, now: usize, host: usize) -> Vec<Candidate> {
        let mut totals = vec![Total::default(); ENGINES];
        let known = |sent: &&Sent| sent.1 == host || sent.0 + AGE <= now;
        for (at, _, engine) in self.sent.iter().filter(known) {
            let total = &mut totals[*engine];
            total.reading += (READING - (now - at) as f32).max(0.0);
            if now - at < WRITING {
                total.short += 1;
                match now - at < FIRST_EVENT {
                    true => total.waiting += 1,
                    false => total.streams += 1,
                }
            }
        }
        let candidates = totals.into_iter().zip(&self.cells[host]);
        let candidates = candidates.map(|(total, cell)| Candidate {
            slots: SLOTS,
            near: *cell == 0,
            cell: *cell,
            ..engine(total)
        });
        candidates.collect()
    }

    /// Sends short prompts for a second, after a second of warm-up.
    fn run(&mut self, rng: &mut SmallRng) {
        let demand = Demand {
            prompt: 5_000,
            output: 2_000,
            objective: Duration::from_millis(300),
        };
        let speed = Speed {
            slots: SLOTS,
            ..speed()
        };
        for now in 0..2_000 {
            self.sent.retain(|(at, _, _)| now < at + 2 * WRITING);
            if rng.random::<f64>() < PER_MILLISECOND {
                let host = rng.random_range(0..HOSTS);
                let candidates = self.candidates(now, host);
                let choice = pick::choose_engine(&speed, demand, &candidates, rng).unwrap();
                self.sent.push((now, host, choice.primary));
            }
        }
    }

    /// Returns the fraction of the last second's prompts that were sent to an engine which
    /// got more than `most` within the age of the hosts' information.
    fn crowded(&self, most: usize) -> f64 {
        let last: Vec<&Sent> = self.sent.iter().filter(|sent| sent.0 >= 1_000).collect();
        let crowded = last.iter().filter(|(at, _, engine)| {
            let others = self
                .sent
                .iter()
                .filter(|other| other.2 == *engine && other.0 <= *at && other.0 + AGE > *at);
            others.count() > most
        });
        crowded.count() as f64 / last.len() as f64
    }
}

fn crowded(domains: usize, most: usize) -> f64 {
    let shares = (0..6).map(|seed| {
        let mut fleet = Fleet::new(domains);
        fleet.run(&mut SmallRng::seed_from_u64(seed));
        fleet.crowded(most)
    });
    shares.sum::<f64>() / 6.0
}

/// A short prompt may wait for three others (60 ms) and a pass (about 70 ms), and its first
/// event still comes within 300 ms. Hardly any prompt may find more before it.
#[test]
fn not_crowded() {
    let share = crowded(DOMAINS, 4);
    println!("one pool {}, cells {share}", crowded(1, 4));
    assert!(share <= 0.02, "{share}");
}
