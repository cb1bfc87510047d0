//! Simulates organisations of unequal size at several hosts that report to a relay, on a
//! simulated clock.

#![allow(dead_code, reason = "each test uses a part of it")]

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use almondlock_base::time::Mono;
use almondlock_gateway::{
    exchange::shares::{Envelope, PERIOD, Report, Tag, Tally, Totals},
    share::{Finding, Findings, Ledger},
};
use almondlock_policy::share::Capacity;

pub const HOSTS: usize = 8;
pub const ORGANISATIONS: usize = 24;
pub const SERVICE: &str = "e";
const SKEW: f64 = 1.2;
/// Rate of the greedy organisation as a multiple of its usual rate.
const GREED: f64 = 3.0;

/// Outcome of an organisation's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    pub sent: u32,
    pub in_time: u32,
    pub late: u32,
}

impl Outcome {
    /// Returns the utility of the responses divided by the number of requests.
    pub fn utility(&self) -> f64 {
        self.served() / f64::from(self.sent.max(1))
    }

    fn served(&self) -> f64 {
        f64::from(self.in_time) + 0.25 * f64::from(self.late)
    }
}

/// Returns each organisation's requests a second. Without a greedy one they add up to
/// `total`.
pub fn rates(total: f64, greedy: Option<usize>) -> Vec<f64> {
    let weights = (1..=ORGANISATIONS).map(|n| (n as f64).powf(-SKEW));
    let weights: Vec<f64> = weights.collect();
    let sum: f64 = weights.iter().sum();
    let rate = |(n, weight): (usize, &f64)| {
        let times = if greedy == Some(n) { GREED } else { 1.0 };
        weight / sum * total * times
    };
    weights.iter().enumerate().map(rate).collect()
}

/// Returns the mean utility of the worst-served tenth of organisations. The greedy one is
/// left out, since it can't get what it asks for.
pub fn worst_tenth(outcomes: &[Outcome], greedy: usize) -> f64 {
    let mut utilities = others(outcomes, greedy);
    utilities.sort_by(f64::total_cmp);
    utilities[..ORGANISATIONS / 10].iter().sum::<f64>() / (ORGANISATIONS / 10) as f64
}

/// Returns the mean utility of all organisations but the greedy one.
pub fn mean(outcomes: &[Outcome], greedy: usize) -> f64 {
    let utilities = others(outcomes, greedy);
    utilities.iter().sum::<f64>() / utilities.len() as f64
}

fn others(outcomes: &[Outcome], greedy: usize) -> Vec<f64> {
    assert!(outcomes.iter().all(|outcome| outcome.sent > 0));
    let others = outcomes.iter().enumerate().filter(|(n, _)| *n != greedy);
    others.map(|(_, outcome)| outcome.utility()).collect()
}

/// Returns the utility of all responses together. It isn't divided by the number of
/// requests, since most of these are the greedy organisation's repetitions.
pub fn served(outcomes: &[Outcome]) -> f64 {
    outcomes.iter().map(Outcome::served).sum()
}

pub struct Host {
    pub ledger: Ledger,
    known: Findings,
    number: u32,
}

impl Host {
    /// Returns the finding if an organisation is over its share.
    pub fn finding(&self, now: Mono, organisation: &str) -> Option<Finding> {
        let tag = Tag::of(SERVICE, organisation);
        self.known.excess(now, address(99), tag)
    }
}

/// The hosts and their relay.
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub names: Vec<Arc<str>>,
    capacity: Capacity,
    relay: Tally,
    reported: Mono,
    /// Sums on their way, with the time of their arrival.
    under_way: VecDeque<(Mono, Envelope)>,
}

impl Fleet {
    pub fn new(capacity: Capacity) -> Fleet {
        let host = |_| Host {
            ledger: Ledger::default(),
            known: Findings::default(),
            number: 0,
        };
        Fleet {
            hosts: (0..HOSTS).map(host).collect(),
            names: (0..ORGANISATIONS)
                .map(|n| format!("o-{n}").into())
                .collect(),
            capacity,
            relay: Tally::default(),
            reported: Mono::ZERO,
            under_way: VecDeque::new(),
        }
    }

    /// Sends the hosts' reports each period, and delivers the sums half a period later.
    pub fn exchange(&mut self, now: Mono) {
        if now.since(self.reported) >= PERIOD {
            self.reported = now;
            self.report(now);
            let sent = self.relay.take_updates(now);
            let sent = sent.map(|(envelope, _)| (now + PERIOD / 2, envelope));
            self.under_way.extend(sent);
        }
        while self.under_way.front().is_some_and(|(at, _)| *at <= now) {
            let (_, envelope) = self.under_way.pop_front().unwrap();
            let totals: Totals = envelope.decode(address(99)).unwrap();
            for host in &mut self.hosts {
                let known = &mut host.known;
                known.receive(now, address(99), &totals, |_| self.capacity);
            }
        }
    }

    fn report(&mut self, now: Mono) {
        for (n, host) in (0..).zip(&mut self.hosts) {
            host.number += 1;
            let report = Report {
                host: n,
                number: host.number,
                counts: host.ledger.counts(),
            };
            let envelope = Envelope::encode(&report).unwrap();
            self.relay.receive(now, address(n as u16), &envelope);
        }
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}
