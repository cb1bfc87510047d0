//! Aggregates the loads that hosts report to a relay, and decides what the relay sends to
//! which host. Does no I/O.
//!
//! **Load pattern.** Three hundred hosts send requests to three thousand upstreams. When
//! the relay made a complete sum for each host every 40 ms, the sums filled the hosts'
//! links and took all of the relay's time. The relay shares a processor with a control
//! replica, and no configuration was acknowledged any more. So one sum is made for all
//! hosts, and each host subtracts its own part. A sum has only the loads that have changed.
//! Every upstream is repeated after some rounds, in case a datagram was lost.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::{id::Domain, time::Mono};

use super::message::{Digest, Introduction, Subscription, Sum};
use crate::load::{Key, Load};

/// A host that has sent no report for this time has stopped, and its work ended with it.
const HOST_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time between two rounds of sums.
const MIN_ROUND: Duration = Duration::from_millis(20);
/// Minimum time between two rounds for each host that follows the relay closely. This
/// bounds the relay to 2,000 sums a second, a few hundredths of a core.
const ROUND_PER_HOST: Duration = Duration::from_micros(500);
/// Maximum time between two rounds, however many hosts follow the relay, as when it is the
/// only one left: a third of the silence after which they leave it.
const MAX_ROUND: Duration = Duration::from_millis(50);
/// A sum without changes is sent only every this number of rounds, to show that the relay
/// is alive. This holds only while the time between rounds is the shortest.
const ROUNDS_PER_QUIET_SUM: u64 = 3;

/// Number of rounds in which each upstream's load is sent once even if it hasn't changed,
/// and after which introductions are sent. This is 1 s, or 2.5 s with the longest rounds.
const REPEAT_ROUNDS: u64 = 50;
/// Number of rounds between two beacons to a host.
const BEACON_ROUNDS: u64 = 25;
/// Maximum number of other hosts that a host is told of. It reports its loads to them while
/// no relay answers. Each host is told of those that follow it in the order of addresses,
/// so that all hosts hear from the same number of others.
pub const MAX_PEERS: usize = 64;
/// Change of a backlog, in milliseconds, that is sent at once: the reading time of a short
/// prompt. A smaller change makes no difference to a choice, and is sent when the upstream
/// is repeated.
const READING_CHANGE_MS: u16 = 20;
/// Change of the memory in use, in blocks, that is sent at once: that of a short prompt.
const MEMORY_CHANGE_BLOCKS: u16 = 64;

/// The last report of a host.
#[derive(Debug)]
struct Received {
    at: Mono,
    digest: Digest,
    /// Whether the host was sent a complete sum since it began to follow closely.
    has_whole_sum: bool,
}

/// The last reports of all hosts.
#[derive(Debug, Default)]
pub struct Aggregator {
    hosts: HashMap<SocketAddr, Received>,
    /// The loads as they were last sent.
    sent: BTreeMap<Key, Load>,
    rounds: u64,
}

/// What the relay sends in one round. The numbers beside addresses are those of the host's
/// digest that the sum includes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Round {
    /// Loads that have changed, and those whose turn it is to be repeated.
    pub changes: Sum,
    /// Hosts that get the changes.
    pub followers: Vec<(SocketAddr, u32)>,
    /// All loads. `None` if no host gets them.
    pub whole: Option<Sum>,
    /// Hosts that get all loads, since they began to follow closely after the last round.
    pub newcomers: Vec<(SocketAddr, u32)>,
    /// Hosts that get only a beacon.
    pub beacons: Vec<SocketAddr>,
    /// Hosts that get an introduction.
    pub introductions: Vec<(SocketAddr, Introduction)>,
}

impl Aggregator {
    /// Takes in a host's report.
    pub fn receive_report(&mut self, now: Mono, from: SocketAddr, digest: Digest) {
        let last = self.hosts.get(&from);
        let has_whole_sum = last.is_some_and(|last| {
            let same = last.digest.host == digest.host;
            last.has_whole_sum && same && last.digest.listens == digest.listens
        });
        // A datagram that arrives after a later one is out of date.
        let is_late = last.is_some_and(|last| {
            last.digest.host == digest.host && last.digest.number > digest.number
        });
        if !is_late {
            let at = now;
            self.hosts.insert(
                from,
                Received {
                    at,
                    digest,
                    has_whole_sum,
                },
            );
        }
    }

    /// Returns the hosts that report to this relay.
    pub fn hosts(&self) -> impl Iterator<Item = SocketAddr> {
        self.hosts.keys().copied()
    }

    /// Returns whether a host follows this relay closely.
    pub fn is_followed_by(&self, host: &SocketAddr) -> bool {
        let received = self.hosts.get(host);
        received.is_some_and(|received| received.digest.listens == Subscription::Closely)
    }

    /// Returns the time until the next round.
    pub fn period(&self) -> Duration {
        let all = self.hosts.values();
        let close = all.filter(|received| received.digest.listens == Subscription::Closely);
        let followers = u32::try_from(close.count()).unwrap_or(u32::MAX);
        let shared = ROUND_PER_HOST.saturating_mul(followers);
        shared.clamp(MIN_ROUND, MAX_ROUND)
    }

    /// Begins a round and returns what to send in it. `domain` is the relay's failure
    /// domain.
    pub fn next_round(&mut self, now: Mono, domain: &Domain) -> Round {
        self.hosts
            .retain(|_, received| now.since(received.at) < HOST_TIMEOUT);
        self.rounds += 1;
        let all = self.sum_all();
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        let mut round = Round {
            changes: Sum {
                hosts,
                is_whole: false,
                loads: self.take_changes(&all),
            },
            ..Round::default()
        };
        let is_seldom = self.rounds.is_multiple_of(BEACON_ROUNDS);
        let is_short = self.period() == MIN_ROUND;
        let is_quiet = round.changes.loads.is_empty()
            && is_short
            && !self.rounds.is_multiple_of(ROUNDS_PER_QUIET_SUM);
        for (to, received) in &mut self.hosts {
            let number = received.digest.number;
            match received.digest.listens {
                Subscription::Closely if received.has_whole_sum && is_quiet => {}
                Subscription::Closely if received.has_whole_sum => {
                    round.followers.push((*to, number))
                }
                Subscription::Closely => round.newcomers.push((*to, number)),
                Subscription::Seldom if is_seldom => round.beacons.push(*to),
                Subscription::Seldom | Subscription::No => {}
            }
            received.has_whole_sum = true;
        }
        let is_whole_due = !round.newcomers.is_empty();
        round.whole = is_whole_due.then(|| Sum {
            hosts,
            is_whole: true,
            loads: all.iter().map(|(key, load)| (*key, *load)).collect(),
        });
        if self.rounds.is_multiple_of(REPEAT_ROUNDS) {
            round.introductions = self.build_introductions(domain);
        }
        round
    }

    /// Adds up the loads of all hosts.
    fn sum_all(&self) -> BTreeMap<Key, Load> {
        let mut all: BTreeMap<Key, Load> = BTreeMap::new();
        for received in self.hosts.values() {
            for (key, load) in &received.digest.loads {
                all.entry(*key).or_default().add(load);
            }
        }
        all
    }

    /// Returns the loads to send in this round: those that differ from the last ones sent,
    /// and those whose turn it is to be repeated.
    fn take_changes(&mut self, all: &BTreeMap<Key, Load>) -> Vec<(Key, Load)> {
        let gone = self.sent.keys().filter(|key| !all.contains_key(key));
        let gone: Vec<Key> = gone.copied().collect();
        let mut loads = Vec::new();
        for key in gone {
            self.sent.remove(&key);
            loads.push((key, Load::default()));
        }
        for ((key, load), place) in all.iter().zip(0..) {
            let is_due = place % REPEAT_ROUNDS == self.rounds % REPEAT_ROUNDS;
            let last = self.sent.get(key);
            if is_due || last.is_none_or(|last| has_changed(last, load)) {
                self.sent.insert(*key, *load);
                loads.push((*key, *load));
            }
        }
        loads
    }

    /// Makes the introductions for all hosts.
    fn build_introductions(&self, domain: &Domain) -> Vec<(SocketAddr, Introduction)> {
        let mut all: Vec<SocketAddr> = self.hosts.keys().copied().collect();
        all.sort_unstable();
        let introductions = all.iter().enumerate().map(|(place, to)| {
            let received = self.hosts.get(to);
            let follows =
                received.is_some_and(|received| received.digest.listens != Subscription::No);
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

/// Returns whether a load has changed by at least as much as a short prompt changes it.
fn has_changed(last: &Load, load: &Load) -> bool {
    let counts = |load: &Load| (load.waiting, load.streams, load.short);
    counts(last) != counts(load)
        || last.reading.abs_diff(load.reading) >= READING_CHANGE_MS
        || last.memory.abs_diff(load.memory) >= MEMORY_CHANGE_BLOCKS
}
