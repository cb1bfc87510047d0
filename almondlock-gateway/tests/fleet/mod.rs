//! Simulates hosts, a relay and faulty upstreams without a network and in virtual time.
//!
//! Short streams arrive at random hosts. Each host chooses among three upstreams by its own
//! work in progress there, unless it has ejected them. A failed request is sent once more.

#![allow(dead_code, reason = "each test uses a part of it")]

mod setup;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_gateway::{
    exchange::{Observation, Pace, Paces},
    load::Key,
};
use almondlock_policy::outlier::{Change, Detector, Sample};
use almondlock_state::instance::Birth;
use rand::{Rng, SeedableRng, rngs::SmallRng};

#[allow(unused_imports, reason = "each test uses a part of it")]
pub use self::setup::{Fault, Outcome, Setup};

/// Expected and median seconds until the first event of a short prompt.
const FIRST: f64 = 0.11;
/// Seconds of three passes.
const EVENTS: f64 = 0.15;
/// Number of groups of three events in a stream.
const PIECES: u32 = 10;
/// Seconds after which a silent upstream is given up. A probe is given up after its
/// objective.
const PATIENCE: f64 = 1.2;
/// Objective in seconds. It is above the usual errors of estimates, so that only faults
/// make a response late.
pub const OBJECTIVE: f64 = 0.45;
const FIRST_SLACK: Duration = Duration::from_millis(100);
const EVENTS_SLACK: Duration = Duration::from_millis(60);
/// Milliseconds between reports, and between reviews of the upstreams.
const ROUND: u64 = 200;
/// Milliseconds from a report until the hosts know of it.
const WAY: u64 = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Round,
    Answer {
        host: usize,
        upstream: usize,
        sent: u64,
        arrived: u64,
    },
    Fail {
        host: usize,
        upstream: usize,
        sent: u64,
        arrived: u64,
        is_last: bool,
    },
    Piece {
        host: usize,
        upstream: usize,
        since: u64,
        left: u32,
    },
}

pub struct Fleet {
    setup: Setup,
    rng: SmallRng,
    hosts: Vec<Detector<usize>>,
    // Number of a host's requests in progress at an upstream.
    loads: HashMap<(usize, usize), u32>,
    relay: Paces,
    told: Vec<(u64, Vec<Pace>)>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    number: u32,
    pub outcome: Outcome,
}

fn mono(millis: u64) -> Mono {
    Mono::from_millis(millis + 10_000)
}

fn millis(seconds: f64) -> u64 {
    (seconds * 1e3) as u64
}

pub fn key(upstream: usize) -> Key {
    Key::of(&Upstream::new(&format!("i-{upstream}")).unwrap())
}

pub fn address(host: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + host as u16))
}

impl Fleet {
    pub fn new(setup: Setup) -> Fleet {
        let hosts = (0..setup.hosts).map(|_| Detector::default());
        Fleet {
            rng: SmallRng::seed_from_u64(setup.seed),
            hosts: hosts.collect(),
            loads: HashMap::new(),
            relay: Paces::default(),
            told: Vec::new(),
            events: [Event::Arrive, Event::Round]
                .map(|e| Reverse((0, e)))
                .into(),
            number: 0,
            outcome: Outcome::default(),
            setup,
        }
    }

    /// Runs for this number of seconds.
    pub fn run(mut self, seconds: f64) -> Outcome {
        while let Some(Reverse((now, event))) = self.events.pop() {
            if now > millis(seconds) {
                break;
            }
            self.step(now, event);
        }
        let members = 0..self.setup.upstreams;
        let ejected = self.hosts.iter().map(|host| {
            let ejected = members.clone().filter(|key| host.is_ejected(key));
            ejected.collect()
        });
        self.outcome.ejected = ejected.collect();
        self.outcome
    }

    fn at(&mut self, time: u64, event: Event) {
        self.events.push(Reverse((time, event)));
    }

    fn step(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrive => {
                let pause = -self.rng.random::<f64>().max(1e-9).ln() / self.setup.per_second;
                self.at(now + millis(pause), Event::Arrive);
                let host = self.rng.random_range(0..self.setup.hosts);
                self.outcome.requests += 1;
                self.send(now, host, now, None);
            }
            Event::Round => {
                self.at(now + ROUND, Event::Round);
                self.round(now);
            }
            Event::Answer {
                host,
                upstream,
                sent,
                arrived,
            } => {
                self.answer(now, host, upstream, sent);
                let is_in_time = now - arrived <= millis(OBJECTIVE);
                self.outcome.in_time += u32::from(is_in_time);
                self.piece(now, host, upstream, PIECES);
            }
            Event::Fail {
                host,
                upstream,
                sent,
                arrived,
                is_last,
            } => {
                self.outcome.failures += 1;
                self.end(host, upstream);
                self.hosts[host].observe(mono(now), &upstream, Sample::Failure);
                self.hosts[host].record_probe(&upstream, mono(sent), false);
                if !is_last {
                    self.send(now, host, arrived, Some(upstream));
                }
            }
            Event::Piece {
                host,
                upstream,
                since,
                left,
            } => {
                let expected = Duration::from_secs_f64(EVENTS);
                let observed = Duration::from_millis(now - since);
                let sample = Sample::time(observed, expected, EVENTS_SLACK);
                self.hosts[host].observe(mono(now), &upstream, sample);
                match left {
                    1 => self.end(host, upstream),
                    _ => self.piece(now, host, upstream, left - 1),
                }
            }
        }
    }

    /// Returns how much later than usual an event is, in seconds: a few tenths for one in
    /// ten.
    fn error(&mut self, host: usize) -> f64 {
        let late = self.setup.late.filter(|(other, _)| *other == host);
        let tail = match self.rng.random::<f64>() < 0.1 {
            true => self.rng.random_range(0.1..0.3),
            false => self.rng.random_range(-0.02..0.05),
        };
        tail + late.map_or(0.0, |(_, by)| by)
    }

    fn answer(&mut self, now: u64, host: usize, upstream: usize, sent: u64) {
        let expected = Duration::from_secs_f64(FIRST);
        let observed = Duration::from_millis(now - sent);
        let sample = Sample::time(observed, expected, FIRST_SLACK);
        let Sample::Time(multiple) = sample else {
            return;
        };
        let table = &mut self.hosts[host];
        table.observe(mono(now), &upstream, Sample::Answer);
        table.observe(mono(now), &upstream, sample);
        table.record_probe(&upstream, mono(sent), multiple < 2.0);
    }

    fn piece(&mut self, now: u64, host: usize, upstream: usize, left: u32) {
        let slow = match (self.setup.fault)(upstream, now as f64 / 1e3) {
            Fault::Slow(times) => times,
            _ => 1.0,
        };
        let error = self.error(host).max(-0.05);
        let end = now + millis(EVENTS * slow + error.max(0.0));
        self.at(
            end,
            Event::Piece {
                host,
                upstream,
                since: now,
                left,
            },
        );
    }

    fn end(&mut self, host: usize, upstream: usize) {
        if let Some(load) = self.loads.get_mut(&(host, upstream)) {
            *load = load.saturating_sub(1);
        }
    }

    fn send(&mut self, now: u64, host: usize, arrived: u64, tried: Option<usize>) {
        let (upstream, is_probe) = self.choose(now, host, tried);
        *self.loads.entry((host, upstream)).or_default() += 1;
        let fault = (self.setup.fault)(upstream, now as f64 / 1e3);
        let is_last = tried.is_some();
        let drawn = self.rng.random::<f64>();
        let fail = |at| {
            (
                at,
                Event::Fail {
                    host,
                    upstream,
                    sent: now,
                    arrived,
                    is_last,
                },
            )
        };
        let first = FIRST + self.error(host);
        let answer = |times: f64| {
            let at = now + millis(first * times);
            (
                at,
                Event::Answer {
                    host,
                    upstream,
                    sent: now,
                    arrived,
                },
            )
        };
        let patience = if is_probe { OBJECTIVE } else { PATIENCE };
        let (at, event) = match fault {
            Fault::Error(part) if drawn < part => fail(now + 5),
            Fault::Hang(part) if drawn < part => fail(now + millis(patience)),
            Fault::Slow(times) => answer(times),
            _ => answer(1.0),
        };
        self.at(at, event);
    }

    /// Returns the upstream for a request, and whether the request probes it.
    fn choose(&mut self, now: u64, host: usize, tried: Option<usize>) -> (usize, bool) {
        let table = &mut self.hosts[host];
        let (all, hosts) = (self.setup.upstreams, self.setup.hosts);
        if self.setup.is_judging && tried.is_none() && table.has_ejected() {
            let due = (0..all).find(|key| table.try_probe(mono(now), key, hosts, &mut self.rng));
            if let Some(due) = due {
                self.outcome.probes += 1;
                return (due, true);
            }
        }
        let mut rng = SmallRng::seed_from_u64(self.rng.random());
        let is_open = |key: &usize| Some(*key) != tried && !self.is_ejected(host, *key);
        let open: Vec<usize> = (0..all).filter(is_open).collect();
        let drawn = [0; 3].map(|_| open[rng.random_range(0..open.len())]);
        let cost = |key: &usize| {
            let load = f64::from(self.loads.get(&(host, *key)).copied().unwrap_or(0));
            (load + 1.0) / self.rate(host, *key)
        };
        let best = drawn.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        (best.unwrap_or(drawn[0]), false)
    }

    fn is_ejected(&self, host: usize, key: usize) -> bool {
        self.setup.is_judging && self.hosts[host].is_ejected(&key)
    }

    fn rate(&self, host: usize, key: usize) -> f64 {
        match self.setup.is_judging {
            true => self.hosts[host].relative_rate(&key),
            false => 1.0,
        }
    }

    fn round(&mut self, now: u64) {
        if !self.setup.is_judging {
            return;
        }
        if self.setup.has_relays {
            self.report(now);
            while self.told.first().is_some_and(|(at, _)| *at <= now) {
                let (at, paces) = self.told.remove(0);
                self.hear(at, &paces);
            }
        }
        let members: Vec<usize> = (0..self.setup.upstreams).collect();
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let changes = host.review(mono(now), &members, &mut self.rng);
            let seconds = now as f64 / 1e3;
            let changes = changes.iter().map(
                |Change {
                     key, is_ejected, ..
                 }| { (seconds, number, *key, *is_ejected) },
            );
            self.outcome.changes.extend(changes);
            let ejected = members.iter().filter(|key| host.is_ejected(key)).count();
            self.outcome.most_ejected = self.outcome.most_ejected.max(ejected);
        }
    }

    fn report(&mut self, now: u64) {
        self.number += 1;
        for host in 0..self.setup.hosts {
            let mut paces: Vec<Pace> = self.hosts[host]
                .report(mono(now))
                .iter()
                .map(|(upstream, account)| Pace::of(mono(now), key(*upstream), Birth(0), account))
                .collect();
            if self.setup.liar == Some(host) {
                paces = (0..self.setup.upstreams).map(lie).collect();
            }
            let report = Observation {
                host: host as u64,
                number: self.number,
                follows: true,
                paces,
            };
            self.relay.receive(mono(now), address(host), report);
        }
        if let Some((_, paces)) = self.relay.take_updates(mono(now)) {
            self.told.push((now + WAY, paces));
        }
    }

    fn hear(&mut self, at: u64, paces: &[Pace]) {
        let upstreams = (0..self.setup.upstreams).map(|upstream| (key(upstream), upstream));
        let names: HashMap<Key, usize> = upstreams.collect();
        for host in &mut self.hosts {
            let accounts = paces
                .iter()
                .map(|pace| (names[&pace.key], pace.account(mono(at))));
            host.replace_reported(mono(at), accounts.collect());
        }
    }
}

/// Returns a report that an upstream always fails and is thirty times slower than it should
/// be.
pub fn lie(upstream: usize) -> Pace {
    Pace {
        key: key(upstream),
        birth: Birth(0),
        hosts: 1,
        answers: 0,
        failures: 255,
        witnessed: 255,
        samples: 255,
        slowness: 144,
        age_ms: 0,
    }
}
