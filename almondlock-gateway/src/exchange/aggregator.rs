//! What a relay makes of what hosts tell it. Decides only; the relay sends.
//!
//! **Load pattern.** Three hundred hosts send to three thousand upstreams. Sums of
//! everything for each host, each 40 ms, filled the hosts' links and took the relay,
//! which shares a processor with a control replica, all of its time: no
//! configuration was acknowledged any more. So the sum is made once for all hosts,
//! each of which takes its own part out itself, and tells what has changed. Every
//! upstream is told again after some rounds, in case a datagram was lost.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::{id::Domain, time::Mono};

use super::message::{Digest, Introduction, Subscription, Sum};
use crate::load::{Key, Load};

/// A host that told nothing for this long has stopped: what it had under way
/// ends with it.
const GONE: Duration = Duration::from_secs(1);
/// How often a relay sends sums at the most.
const ROUND: Duration = Duration::from_millis(20);
/// The same for each host that follows it: 2,000 sums a second, some hundredths of a
/// core.
const ROUND_PER_HOST: Duration = Duration::from_micros(500);
/// How often it sends them at the least, however many hosts follow it, as when it is
/// the only relay left: a third of the silence after which they leave it.
const ROUND_MOST: Duration = Duration::from_millis(50);
/// A sum that tells of no change is left out but for each so many rounds, which show
/// that the relay is there. Only while rounds are as short as they can be.
const QUIET_ROUNDS: u64 = 3;

/// Rounds in which each upstream is told once, changed or not; and every how many
/// rounds hosts are told where the relay is. A second, or 2.5 s with the longest rounds.
const REPEAT: u64 = 50;
/// Every how many rounds those who listen seldom are told that the relay is there.
const SELDOM: u64 = 25;
/// Other hosts that a host is told of, which it tells its load while no relay answers.
/// Each is told of those that follow it in the order of addresses, so that each hears from
/// as many.
pub const MAX_PEERS: usize = 64;
/// The change of the time left to read, in milliseconds, that is told at once: what a
/// short prompt takes. A smaller one makes no difference to a choice, and is told in
/// turn.
const READING: u16 = 20;
/// The same of the memory in use, in blocks: a short prompt's.
const MEMORY: u16 = 64;

#[derive(Debug)]
struct Told {
    at: Mono,
    digest: Digest,
    /// It was sent everything once, since it began to follow closely.
    is_met: bool,
}

/// What hosts told last.
#[derive(Debug, Default)]
pub struct Aggregator {
    hosts: HashMap<SocketAddr, Told>,
    /// The loads as they were sent last.
    sent: BTreeMap<Key, Load>,
    rounds: u64,
}

/// What goes out in one round.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Round {
    /// What has changed, and part of the rest.
    pub changes: Sum,
    /// Who gets the changes, and the number of its digest that they include.
    pub followers: Vec<(SocketAddr, u32)>,
    /// Everything. Left out if nobody gets it.
    pub whole: Option<Sum>,
    /// Who gets everything.
    pub newcomers: Vec<(SocketAddr, u32)>,
    /// Who is told only that the relay is there.
    pub beacons: Vec<SocketAddr>,
    /// Who is told where the relay is.
    pub introductions: Vec<(SocketAddr, Introduction)>,
}

impl Aggregator {
    /// A host told something.
    pub fn receive_report(&mut self, now: Mono, from: SocketAddr, digest: Digest) {
        let last = self.hosts.get(&from);
        let is_met = last.is_some_and(|last| {
            let same = last.digest.host == digest.host;
            last.is_met && same && last.digest.listens == digest.listens
        });
        // A datagram that was overtaken by a later one is older news.
        let is_late = last.is_some_and(|last| {
            last.digest.host == digest.host && last.digest.number > digest.number
        });
        if !is_late {
            let at = now;
            self.hosts.insert(from, Told { at, digest, is_met });
        }
    }

    /// The hosts that are heard of.
    pub fn hosts(&self) -> impl Iterator<Item = SocketAddr> {
        self.hosts.keys().copied()
    }

    /// Whether a host follows this relay closely.
    pub fn is_followed_by(&self, host: &SocketAddr) -> bool {
        let told = self.hosts.get(host);
        told.is_some_and(|told| told.digest.listens == Subscription::Closely)
    }

    /// The time until the next round.
    pub fn period(&self) -> Duration {
        let all = self.hosts.values();
        let close = all.filter(|told| told.digest.listens == Subscription::Closely);
        let followers = u32::try_from(close.count()).unwrap_or(u32::MAX);
        let shared = ROUND_PER_HOST.saturating_mul(followers);
        shared.clamp(ROUND, ROUND_MOST)
    }

    /// What goes out now, from a relay in this failure domain.
    pub fn next_round(&mut self, now: Mono, domain: &Domain) -> Round {
        self.hosts.retain(|_, told| now.since(told.at) < GONE);
        self.rounds += 1;
        let all = self.all();
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        let mut round = Round {
            changes: Sum {
                hosts,
                is_whole: false,
                loads: self.changes(&all),
            },
            ..Round::default()
        };
        let is_seldom = self.rounds.is_multiple_of(SELDOM);
        let is_short = self.period() == ROUND;
        let is_quiet =
            round.changes.loads.is_empty() && is_short && !self.rounds.is_multiple_of(QUIET_ROUNDS);
        for (to, told) in &mut self.hosts {
            let number = told.digest.number;
            match told.digest.listens {
                Subscription::Closely if told.is_met && is_quiet => {}
                Subscription::Closely if told.is_met => round.followers.push((*to, number)),
                Subscription::Closely => round.newcomers.push((*to, number)),
                Subscription::Seldom if is_seldom => round.beacons.push(*to),
                Subscription::Seldom | Subscription::No => {}
            }
            told.is_met = true;
        }
        let is_whole_due = !round.newcomers.is_empty();
        round.whole = is_whole_due.then(|| Sum {
            hosts,
            is_whole: true,
            loads: all.iter().map(|(key, load)| (*key, *load)).collect(),
        });
        if self.rounds.is_multiple_of(REPEAT) {
            round.introductions = self.introductions(domain);
        }
        round
    }

    fn all(&self) -> BTreeMap<Key, Load> {
        let mut all: BTreeMap<Key, Load> = BTreeMap::new();
        for told in self.hosts.values() {
            for (key, load) in &told.digest.loads {
                all.entry(*key).or_default().add(load);
            }
        }
        all
    }

    /// The loads to tell in this round: those that differ from what was sent last,
    /// and those whose turn it is.
    fn changes(&mut self, all: &BTreeMap<Key, Load>) -> Vec<(Key, Load)> {
        let gone = self.sent.keys().filter(|key| !all.contains_key(key));
        let gone: Vec<Key> = gone.copied().collect();
        let mut loads = Vec::new();
        for key in gone {
            self.sent.remove(&key);
            loads.push((key, Load::default()));
        }
        for ((key, load), place) in all.iter().zip(0..) {
            let is_due = place % REPEAT == self.rounds % REPEAT;
            let last = self.sent.get(key);
            if is_due || last.is_none_or(|last| differs(last, load)) {
                self.sent.insert(*key, *load);
                loads.push((*key, *load));
            }
        }
        loads
    }

    fn introductions(&self, domain: &Domain) -> Vec<(SocketAddr, Introduction)> {
        let mut all: Vec<SocketAddr> = self.hosts.keys().copied().collect();
        all.sort_unstable();
        let introductions = all.iter().enumerate().map(|(place, to)| {
            let told = self.hosts.get(to);
            let follows = told.is_some_and(|told| told.digest.listens != Subscription::No);
            let next = all.iter().cycle().skip(place + 1).take(all.len() - 1);
            let peers = next.copied().take(MAX_PEERS).filter(|_| follows);
            let introduction = Introduction {
                domain: domain.clone(),
                peers: peers.collect(),
            };
            (*to, introduction)
        });
        introductions.collect()
    }
}

/// Whether a load has changed by as much as a short prompt does.
fn differs(last: &Load, load: &Load) -> bool {
    let counts = |load: &Load| (load.waiting, load.streams, load.short);
    counts(last) != counts(load)
        || last.reading.abs_diff(load.reading) >= READING
        || last.memory.abs_diff(load.memory) >= MEMORY
}
