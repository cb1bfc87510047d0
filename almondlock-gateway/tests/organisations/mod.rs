//! Organisations of unequal size at several hosts, which report to a relay, by a clock of the
//! test's.

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
/// What the greedy organisation sends, as a multiple of its usual rate.
const GREED: f64 = 3.0;

/// What became of an organisation's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    pub sent: u32,
    pub in_time: u32,
    pub late: u32,
}

impl Outcome {
    /// What callers got of what their requests were worth.
    pub fn utility(&self) -> f64 {
        self.served() / f64::from(self.sent.max(1))
    }

    fn served(&self) -> f64 {
        f64::from(self.in_time) + 0.25 * f64::from(self.late)
    }
}

/// What each organisation sends in a second, out of `total` in usual times.
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

/// The mean utility of the tenth of organisations that are served worst. The greedy one is
/// left out: it can't get what it asks for.
pub fn worst_tenth(outcomes: &[Outcome], greedy: usize) -> f64 {
    let mut utilities = others(outcomes, greedy);
    utilities.sort_by(f64::total_cmp);
    utilities[..ORGANISATIONS / 10].iter().sum::<f64>() / (ORGANISATIONS / 10) as f64
}

/// The mean utility of all but the greedy organisation.
pub fn mean(outcomes: &[Outcome], greedy: usize) -> f64 {
    let utilities = others(outcomes, greedy);
    utilities.iter().sum::<f64>() / utilities.len() as f64
}

fn others(outcomes: &[Outcome], greedy: usize) -> Vec<f64> {
    assert!(outcomes.iter().all(|outcome| outcome.sent > 0));
    let others = outcomes.iter().enumerate().filter(|(n, _)| *n != greedy);
    others.map(|(_, outcome)| outcome.utility()).collect()
}

/// The utility of all responses together. Not relative to what was sent: most of that are
/// the greedy organisation's repetitions.
pub fn served(outcomes: &[Outcome]) -> f64 {
    outcomes.iter().map(Outcome::served).sum()
}

pub struct Host {
    pub ledger: Ledger,
    known: Findings,
    number: u32,
}

impl Host {
    /// Whether an organisation is over its share.
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
    /// Sums on their way, and when they arrive.
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

    /// Hosts report each period, and hear the sums half a period later.
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
