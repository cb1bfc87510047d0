//! A relay's account of what hosts observed of upstreams. Decides only; the relay sends.

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

/// Upstreams that one datagram tells of at the most. Each takes up to 25 bytes.
pub const MAX_PACES: usize = 2_000;
/// How often a host with nothing to report says that it listens.
pub(super) const IDLE_REPORT: Duration = Duration::from_millis(1_000);
/// Between two reports of a host, and two rounds of a relay, at the least and at the most.
const ROUND: Duration = Duration::from_millis(200);
const ROUND_MOST: Duration = Duration::from_millis(1_000);
/// The same for each upstream told of, so that a relay and a host send each other no more than
/// 20 kB a second with a thousand upstreams.
const ROUND_PER_UPSTREAM: Duration = Duration::from_millis(1);
/// Steps of the scale on which slowness is told, for each doubling, and the step of 1.
const STEPS: f64 = 16.0;
const STEP_OF_ONE: f64 = 64.0;

/// Until the next report or round, after one that told of so many upstreams.
pub(super) fn period(upstreams: usize) -> Duration {
    let upstreams = u32::try_from(upstreams).unwrap_or(u32::MAX);
    let period = ROUND_PER_UPSTREAM.saturating_mul(upstreams);
    period.clamp(ROUND, ROUND_MOST)
}

/// What was observed of an upstream within the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Pace {
    /// The upstream.
    pub key: Key,
    /// Which of its lives.
    pub birth: Birth,
    /// How many hosts observed it.
    pub hosts: u8,
    /// Requests that it answered.
    pub answers: u8,
    /// Requests that failed by its fault.
    pub failures: u8,
    /// The same, at most one of each host.
    pub witnessed: u8,
    /// The weight of times that were compared with what was expected.
    pub samples: u8,
    /// Their weighted median, on a logarithmic scale.
    pub slowness: u8,
    /// How long ago the newest observation was made, in milliseconds.
    pub age_ms: u16,
}

impl Pace {
    /// As it is told now.
    pub fn of(now: Mono, key: Key, birth: Birth, account: &Summary) -> Pace {
        let count = |count: u32| u8::try_from(count).unwrap_or(u8::MAX);
        let step = account.slowness.max(1e-3).log2() * STEPS + STEP_OF_ONE;
        Pace {
            key,
            birth,
            hosts: count(account.hosts),
            answers: count(account.answers),
            failures: count(account.failures),
            witnessed: count(account.capped_failures),
            samples: count(account.time_weight),
            // A float beyond the range saturates.
            slowness: step.round() as u8,
            age_ms: u16::try_from(millis(now.since(account.newest))).unwrap_or(u16::MAX),
        }
    }

    /// As it was told now, by the clock of whoever heard it.
    pub fn account(&self, now: Mono) -> Summary {
        Summary {
            hosts: self.hosts.into(),
            answers: self.answers.into(),
            failures: self.failures.into(),
            capped_failures: self.witnessed.into(),
            time_weight: self.samples.into(),
            slowness: ((f64::from(self.slowness) - STEP_OF_ONE) / STEPS).exp2(),
            newest: now - Duration::from_millis(self.age_ms.into()),
        }
    }
}

/// What one host observed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Observation {
    /// The host's number, drawn at its start.
    pub host: u64,
    /// Counts the host's reports.
    pub number: u32,
    /// It wants to be told what all hosts observed.
    pub follows: bool,
    /// What it observed of each upstream. Replaces what it reported before.
    pub paces: Vec<Pace>,
}

#[derive(Debug)]
struct Told {
    at: Mono,
    report: Observation,
}

/// What hosts observed, as one relay knows it.
#[derive(Debug, Default)]
pub struct Paces {
    hosts: HashMap<SocketAddr, Told>,
    next: Mono,
}

impl Paces {
    /// A host reported.
    pub fn receive(&mut self, now: Mono, from: SocketAddr, report: Observation) {
        let last = self.hosts.get(&from).map(|told| &told.report);
        // A datagram that was overtaken by a later one is older news.
        let is_late =
            last.is_some_and(|last| last.host == report.host && last.number > report.number);
        if !is_late {
            self.hosts.insert(from, Told { at: now, report });
        }
    }

    /// What is told in this round, and to whom, if one is due.
    pub fn take_updates(&mut self, now: Mono) -> Option<(Vec<SocketAddr>, Vec<Pace>)> {
        if self.hosts.is_empty() || now < self.next {
            return None;
        }
        self.hosts.retain(|_, told| now.since(told.at) < WINDOW);
        let paces = self.pooled(now);
        self.next = now + period(paces.len());
        let followers = self.hosts.iter().filter(|(_, told)| told.report.follows);
        let followers = followers.map(|(host, _)| *host).collect();
        Some((followers, paces))
    }

    /// All hosts' reports as one. Of several lives of an upstream the one that most hosts
    /// know.
    fn pooled(&self, now: Mono) -> Vec<Pace> {
        let mut lives: BTreeMap<(Key, Birth), Vec<Summary>> = BTreeMap::new();
        for told in self.hosts.values() {
            for pace in &told.report.paces {
                let account = Summary {
                    hosts: 1,
                    ..pace.account(told.at)
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
