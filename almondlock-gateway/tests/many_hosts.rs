//! A hundred entry hosts place short prompts on a hundred engines, each knowing what
//! the others sent some time ago. Prompts that come within that time see the same idle
//! engine; those that take it together wait for each other, and are late.

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
/// Requests that an engine works on at one time.
const SLOTS: u32 = 10;
/// Milliseconds until a host knows what another one has sent.
const AGE: usize = 60;
/// Milliseconds that an engine reads for a short prompt.
const READING: f32 = 20.0;
/// Short prompts come at twice their usual rate, as after a turn of the mix.
const PER_MILLISECOND: f64 = 0.4;
/// Milliseconds until its first event.
const FIRST_EVENT: usize = 130;
/// Milliseconds that a stream is written for.
const WRITING: usize = 1_600;

/// What was sent: when, by which host, to which engine.
type Sent = (usize, usize, usize);

/// Hosts and engines in as many failure domains, and the cells as each host sees them.
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

    /// The engines as one host knows them.
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

    /// Sends short prompts for a second, after one of running in.
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

    /// Of the prompts of the last second, the share that came to an engine which got
    /// more than `most` within the age of what hosts know.
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

/// A short prompt may wait for three others (60 ms) and a pass (some 70 ms), and is
/// still there within 300 ms. Nearly none may find more before it.
#[test]
fn not_crowded() {
    let share = crowded(DOMAINS, 4);
    println!("one pool {}, cells {share}", crowded(1, 4));
    assert!(share <= 0.02, "{share}");
}
