//! Guards against more requests to a limited upstream than it allows. Dozens of hosts want
//! to send more, while links to relays are cut, datagrams are lost, hosts and relays
//! restart, and the limit changes. A permit granted twice, or a part of the limit granted
//! by two relays, would exceed the limit.

use std::collections::VecDeque;

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_gateway::{
    exchange::{Limit, Limiter, Query},
    load::Key,
};
use almondlock_policy::throttle::{Limits, Notice, Rate, Selector};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use yare::parameterized;

const START: Mono = Mono::from_millis(100_000);
/// Milliseconds that are simulated.
const LENGTH: u64 = 40_000;
/// Milliseconds until a datagram arrives.
const WAY: u64 = 2;
/// Milliseconds between two rounds of a relay.
const ROUND: u64 = 20;
/// Milliseconds from when a limit is first named until it must be kept.
const CONTACT: u64 = 3_000;
/// Milliseconds over which requests are counted.
const SPAN: u64 = 4_000;
/// Milliseconds until a new limit is known wherever a relay is heard: two rounds, since one
/// datagram may be lost, and the repetition after a second.
const NOTICE: u64 = 1_100;

struct Host {
    limits: Limits<Key>,
    waits: Selector<Key, usize>,
    /// Time until which the link to each relay is cut.
    cut: Vec<u64>,
}

struct Fleet {
    hosts: Vec<Host>,
    relays: Vec<Limiter>,
    /// Limits on their way to a host, with the time of their arrival.
    told: VecDeque<(u64, usize, Vec<Limit>)>,
    rng: SmallRng,
}

fn key() -> Key {
    Key::of(&Upstream::new("i-1").unwrap())
}

fn moment(at: u64) -> Mono {
    START + std::time::Duration::from_millis(at)
}

impl Host {
    fn new(relays: usize) -> Host {
        Host {
            limits: Limits::default(),
            waits: Selector::default(),
            cut: vec![0; relays],
        }
    }
}

impl Fleet {
    fn new(hosts: usize, relays: usize, seed: u64) -> Fleet {
        Fleet {
            hosts: (0..hosts).map(|_| Host::new(relays)).collect(),
            relays: (0..relays).map(|_| Limiter::default()).collect(),
            told: VecDeque::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns whether a datagram between this host and relay arrives.
    fn passes(&mut self, at: u64, host: usize, relay: usize) -> bool {
        self.hosts[host].cut[relay] <= at && !self.rng.random_bool(0.02)
    }

    /// Restarts hosts and relays and cuts links, a few times a second.
    fn trouble(&mut self, at: u64) {
        let relays = self.relays.len();
        let host = self.rng.random_range(0..self.hosts.len());
        let relay = self.rng.random_range(0..relays);
        match self.rng.random_range(0..2_000) {
            0 => self.hosts[host] = Host::new(relays),
            1 => self.relays[relay] = Limiter::default(),
            2 => self.hosts[host].cut = vec![at + 3_000; relays],
            3..6 => self.hosts[host].cut[relay] = at + 2_000,
            _ => {}
        }
    }

    /// Sends the relays' changes to hosts.
    fn round(&mut self, at: u64) {
        for relay in 0..self.relays.len() {
            let limits = self.relays[relay].take_updates(moment(at));
            for host in 0..self.hosts.len() {
                if !limits.is_empty() && self.passes(at, host, relay) {
                    self.told.push_back((at + WAY, host, limits.clone()));
                }
            }
        }
        while let Some((_, host, limits)) = self.told.pop_front_if(|told| told.0 <= at) {
            for limit in limits {
                let notice = limit.notice(moment(at));
                self.hosts[host].limits.learn(&limit.key, notice);
            }
        }
    }

    /// Returns whether a host gets a permit for one request.
    fn permit(&mut self, at: u64, host: usize) -> bool {
        let now = moment(at);
        let relays: Vec<usize> = (0..self.relays.len()).collect();
        let near = host % relays.len();
        let order = [&relays[near..], &relays[..near]].concat();
        loop {
            let Some(notice) = self.hosts[host].limits.notice(&key()) else {
                return true;
            };
            if notice.rate.is_none() {
                return true;
            }
            let Some(relay) = self.hosts[host].waits.next_relay(now, &key(), &order) else {
                return false;
            };
            let ask = Query {
                number: 1,
                limit: Limit::of(now, key(), &notice),
                cold: None,
            };
            let parts = self.relays.len() as u32;
            let arrives = self.passes(at, host, relay);
            let permit = arrives.then(|| self.relays[relay].request_permit(now, &ask, parts));
            let permit = permit.filter(|_| self.passes(at, host, relay));
            let waits = &mut self.hosts[host].waits;
            match permit.map(|permit| permit.wait_ms) {
                Some(None) => return true,
                Some(Some(wait)) => {
                    let wait = std::time::Duration::from_millis(wait.into());
                    waits.note_refusal(now, &key(), relay, wait);
                }
                None => waits.note_no_answer(now, relay),
            }
        }
    }

    /// Lets a host learn a limit from an answer and report it to all relays.
    fn hear(&mut self, at: u64, host: usize, rate: Option<Rate>) {
        let now = moment(at);
        let notice = Notice::of(rate, now, now);
        if !self.hosts[host].limits.learn(&key(), notice) {
            return;
        }
        for relay in 0..self.relays.len() {
            if self.passes(at, host, relay) {
                self.relays[relay].receive(now, &[Limit::of(now, key(), &notice)]);
            }
        }
    }
}

/// Returns the limit at a time.
fn limit(at: u64) -> f64 {
    if at < LENGTH / 2 { 6.0 } else { 3.0 }
}

/// Runs the simulation, and returns the times of requests.
fn play(hosts: usize, relays: usize, seed: u64) -> Vec<u64> {
    let mut fleet = Fleet::new(hosts, relays, seed);
    let mut arrivals = Vec::new();
    for at in 0..LENGTH {
        fleet.trouble(at);
        if at % ROUND == 0 {
            fleet.round(at);
        }
        // Each host has ten requests a second for this upstream.
        for host in 0..hosts {
            if !fleet.rng.random_bool(0.01) {
                continue;
            }
            // A host's requests don't count until it knows of the limit.
            let is_told = fleet.hosts[host].limits.rate(&key()).is_some();
            if fleet.permit(at, host) {
                arrivals.extend(is_told.then_some(at));
                let rate = Rate::parse(&limit(at).to_string());
                fleet.hear(at, host, rate);
            }
        }
    }
    arrivals
}

/// Returns the maximum number of arrivals in any span between two times.
fn most(arrivals: &[u64], from: u64, to: u64) -> usize {
    let starts = arrivals
        .iter()
        .filter(|at| **at >= from && **at + SPAN <= to);
    let counts = starts.map(|start| {
        let span = arrivals
            .iter()
            .filter(|at| (*start..start + SPAN).contains(at));
        span.count()
    });
    counts.max().unwrap_or(0)
}

fn allowed(limit: f64) -> usize {
    (1.5 * limit * SPAN as f64 / 1e3) as usize + 5
}

/// Guards against permits that add up to more than the limit, whatever is cut or restarted.
#[parameterized(
    few = { 4, 3 },
    dozens = { 24, 5 },
    hundred = { 103, 5 },
)]
fn never_more_than_named(hosts: usize, relays: usize) {
    let seeds = if hosts > 50 { 8 } else { 50 };
    for seed in 0..seeds {
        let arrivals = play(hosts, relays, seed);
        let before = most(&arrivals, CONTACT, LENGTH / 2);
        assert!(before <= allowed(limit(0)), "seed {seed}: {before}");
        let after = most(&arrivals, LENGTH / 2 + NOTICE, LENGTH);
        assert!(after <= allowed(limit(LENGTH)), "seed {seed}: {after}");
        let got = arrivals.iter().filter(|at| **at < LENGTH / 2).count();
        let named = (limit(0) * LENGTH as f64 / 2e3) as usize;
        assert!(got >= named / 2, "seed {seed}: {got} of {named}");
    }
}
