//! Pools what hosts observed of upstreams' pace, at a relay. Does no I/O.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::time::Mono;
use almondlock_policy::outlier::{Summary, WINDOW};
use almondlock_state::instance::Birth;
use serde::{Deserialize, Serialize};

use super::message::millis;
use crate::load::Key;

/// Maximum number of upstreams in one datagram. Each takes up to 25 bytes.
pub const MAX_PACES: usize = 2_000;
/// Time between two reports of a host with nothing to report, which show that it listens.
pub(super) const IDLE_REPORT_PERIOD: Duration = Duration::from_millis(1_000);
/// Minimum and maximum time between two reports of a host, and between two rounds of a
/// relay.
const MIN_ROUND: Duration = Duration::from_millis(200);
const MAX_ROUND: Duration = Duration::from_millis(1_000);
/// Minimum time between two reports or rounds for each upstream in them, so that a relay
/// and a host send each other at most 20 kB a second with a thousand upstreams.
const ROUND_PER_UPSTREAM: Duration = Duration::from_millis(1);
/// Number of steps of the slowness scale for each doubling, and the step of a slowness of
/// 1.
const STEPS_PER_DOUBLING: f64 = 16.0;
const STEP_OF_ONE: f64 = 64.0;

/// Returns the time until the next report or round, after one with this number of
/// upstreams.
pub(super) fn period(upstreams: usize) -> Duration {
    let upstreams = u32::try_from(upstreams).unwrap_or(u32::MAX);
    let period = ROUND_PER_UPSTREAM.saturating_mul(upstreams);
    period.clamp(MIN_ROUND, MAX_ROUND)
}

/// What was observed of an upstream within the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Pace {
    /// Key of the upstream.
    pub key: Key,
    /// Start of the upstream's process, which tells it from earlier ones of the same name.
    pub birth: Birth,
    /// Number of hosts that observed it.
    pub hosts: u8,
    /// Number of requests that it answered.
    pub answers: u8,
    /// Number of requests that failed by its fault.
    pub failures: u8,
    /// Number of requests that failed by its fault, counting at most one for each host.
    pub witnessed: u8,
    /// Weight of the times that were compared with expected ones.
    pub samples: u8,
    /// Weighted median of these times divided by the expected ones, on a logarithmic scale.
    pub slowness: u8,
    /// Milliseconds since the newest observation.
    pub age_ms: u16,
}

impl Pace {
    /// Makes the message for an account, as sent at `now`.
    pub fn of(now: Mono, key: Key, birth: Birth, account: &Summary) -> Pace {
        let count = |count: u32| u8::try_from(count).unwrap_or(u8::MAX);
        let step = account.slowness.max(1e-3).log2() * STEPS_PER_DOUBLING + STEP_OF_ONE;
        Pace {
            key,
            birth,
            hosts: count(account.hosts),
            answers: count(account.answers),
            failures: count(account.failures),
            witnessed: count(account.capped_failures),
            samples: count(account.time_weight),
            // The cast saturates.
            slowness: step.round() as u8,
            age_ms: u16::try_from(millis(now.since(account.newest))).unwrap_or(u16::MAX),
        }
    }

    /// Returns the account of a message that was received at `now`, in the receiver's time.
    pub fn account(&self, now: Mono) -> Summary {
        Summary {
            hosts: self.hosts.into(),
            answers: self.answers.into(),
            failures: self.failures.into(),
            capped_failures: self.witnessed.into(),
            time_weight: self.samples.into(),
            slowness: ((f64::from(self.slowness) - STEP_OF_ONE) / STEPS_PER_DOUBLING).exp2(),
            newest: now - Duration::from_millis(self.age_ms.into()),
        }
    }
}

/// Report of what one host observed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Observation {
    /// Random number that the host draws at its start.
    pub host: u64,
    /// Number of the report, counted by the host.
    pub number: u32,
    /// Whether the host asks to be sent what all hosts observed.
    pub follows: bool,
    /// What the host observed of each upstream. Replaces its earlier report.
    pub paces: Vec<Pace>,
}

/// The last report of a host.
#[derive(Debug)]
struct Received {
    at: Mono,
    report: Observation,
}

/// The hosts' observations that one relay knows.
#[derive(Debug, Default)]
pub struct Paces {
    hosts: HashMap<SocketAddr, Received>,
    next: Mono,
}

impl Paces {
    /// Takes in a host's report.
    pub fn receive(&mut self, now: Mono, from: SocketAddr, report: Observation) {
        let last = self.hosts.get(&from).map(|received| &received.report);
        // A datagram that arrives after a later one is out of date.
        let is_late =
            last.is_some_and(|last| last.host == report.host && last.number > report.number);
        if !is_late {
            self.hosts.insert(from, Received { at: now, report });
        }
    }

    /// If a round is due, returns the hosts to send to and the pooled observations.
    pub fn take_updates(&mut self, now: Mono) -> Option<(Vec<SocketAddr>, Vec<Pace>)> {
        if self.hosts.is_empty() || now < self.next {
            return None;
        }
        self.hosts
            .retain(|_, received| now.since(received.at) < WINDOW);
        let paces = self.pool_reports(now);
        self.next = now + period(paces.len());
        let followers = self
            .hosts
            .iter()
            .filter(|(_, received)| received.report.follows);
        let followers = followers.map(|(host, _)| *host).collect();
        Some((followers, paces))
    }

    /// Pools the reports of all hosts. If they differ in which process of an upstream they
    /// observed, the one that most hosts observed counts.
    fn pool_reports(&self, now: Mono) -> Vec<Pace> {
        let mut lives: BTreeMap<(Key, Birth), Vec<Summary>> = BTreeMap::new();
        for received in self.hosts.values() {
            for pace in &received.report.paces {
                let account = Summary {
                    hosts: 1,
                    ..pace.account(received.at)
                };
                if now.since(account.newest) < WINDOW {
                    let accounts = lives.entry((pace.key, pace.birth)).or_default();
                    accounts.push(account);
                }
            }
        }
        let mut known: BTreeMap<Key, (Birth, Summary)> = BTreeMap::new();
        for ((key, birth), accounts) in lives {
            let account = Summary::pool(&accounts);
            let last = known.get(&key);
            if last.is_none_or(|(_, last)| last.hosts <= account.hosts) {
                known.insert(key, (birth, account));
            }
        }
        let paces = known.iter();
        let paces = paces.map(|(key, (birth, account))| Pace::of(now, *key, *birth, account));
        let mut paces: Vec<Pace> = paces.collect();
        if paces.len() > MAX_PACES {
            paces.sort_by_key(|pace| Reverse((pace.failures, pace.slowness)));
            paces.truncate(MAX_PACES);
        }
        paces
    }
}
