//! Tracks the work in progress on each upstream, as far as this entry host knows.
//!
//! An upstream's own report is old when it arrives, and meanwhile all entry hosts would
//! choose the same idle upstream. So each entry host counts exactly and at once what it has
//! sent itself, and adds the work of the other hosts. It takes that from the last sum of a
//! relay, or from the hosts' direct reports while no relay answers, until these are too
//! old.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::{id::Upstream, time::Mono};
use serde::{Deserialize, Serialize};

use crate::exchange::{RELAY_TIMEOUT, Sum};

/// Maximum age of another entry host's direct report: ten of its usual reports. By then its
/// work has ended by itself, or the host has stopped.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1000);

/// Maximum age of an upstream's load in a relay's sum. The relay repeats each load within a
/// second, or 2.5 s with hundreds of followers.
const LOAD_MAX_AGE: Duration = Duration::from_secs(4);

/// Another relay's sum is used if it includes this number of times as many hosts: the relay
/// that is followed closely is cut off from some of them.
const MORE_HOSTS_FACTOR: f64 = 1.2;

/// Number of tokens in a block, the unit in which hosts report memory: 0.01% of an engine's
/// memory.
const BLOCK_TOKENS: u64 = 64;

/// Time for which requests count that an upstream reported and no host knows of. A stream
/// of a few dozen events takes about as long, and the next answer brings a new report.
const UNKNOWN_MAX_AGE: Duration = Duration::from_millis(1500);

/// Fraction of a prompt's reading time that counts as left until its first event proves
/// that it was read. Estimates run out before the engine is done if it also serves others.
const MIN_FRACTION_LEFT: f32 = 0.25;

/// The work that one request asks of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Time that the engine takes to read for the request.
    pub reading: Duration,
    /// Time that the engine has to read before that.
    pub wait: Duration,
    /// Whether the upstream writes the answer.
    pub writes: bool,
    /// Whether the prompt is short.
    pub short: bool,
    /// Tokens of memory that the request takes there.
    pub memory: u64,
}

/// Sum of the work in progress on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// Milliseconds of reading that are left.
    pub reading: f32,
    /// Number of requests whose answer hasn't begun.
    pub waiting: u32,
    /// Number of streams that are being written.
    pub streams: u32,
    /// Number of waiting requests and streams with a short prompt.
    pub short: u32,
    /// Tokens of memory in use.
    pub memory: u64,
}

impl Total {
    /// Adds the work of another host.
    pub fn add(&mut self, other: &Total) {
        self.reading += other.reading;
        self.waiting += other.waiting;
        self.streams += other.streams;
        self.short += other.short;
        self.memory += other.memory;
    }

    /// Returns the time of reading that is left.
    pub fn backlog(&self) -> Duration {
        Duration::from_secs_f32(self.reading.max(0.0) / 1e3)
    }

    /// Returns the number of streams and waiting requests with longer prompts.
    pub fn long(&self) -> u32 {
        self.requests().saturating_sub(self.short)
    }

    /// Returns the number of requests that take a slot.
    pub fn requests(&self) -> u32 {
        self.waiting + self.streams
    }
}

/// Hash of an upstream's name that entry hosts exchange in place of the name, a third as
/// long. Two upstreams with the same key would share their loads; with 3,000 upstreams the
/// probability that two have the same key is one in a thousand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key(u32);

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl Key {
    /// Returns the key of an upstream.
    pub fn of(name: &Upstream) -> Key {
        Key::of_name(name.as_str())
    }

    /// Returns the key of any other name.
    pub fn of_name(name: &str) -> Key {
        Key(crc32fast::hash(name.as_bytes()))
    }
}

/// A [`Total`] as hosts exchange it, in whole units, so that a host's own part can be
/// subtracted from a sum exactly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Milliseconds of reading that are left.
    pub reading: u16,
    /// Number of requests whose answer hasn't begun.
    pub waiting: u16,
    /// Number of streams that are being written.
    pub streams: u16,
    /// Number of waiting requests and streams with a short prompt.
    pub short: u16,
    /// Memory in use, in blocks of 64 tokens.
    pub memory: u16,
}

impl Load {
    /// Adds the work of another host.
    pub fn add(&mut self, other: &Load) {
        self.merge(other, u16::saturating_add);
    }

    /// Subtracts a load that was added before.
    pub fn subtract(&mut self, other: &Load) {
        self.merge(other, u16::saturating_sub);
    }

    fn merge<F>(&mut self, other: &Load, act: F)
    where
        F: Fn(u16, u16) -> u16,
    {
        self.reading = act(self.reading, other.reading);
        self.waiting = act(self.waiting, other.waiting);
        self.streams = act(self.streams, other.streams);
        self.short = act(self.short, other.short);
        self.memory = act(self.memory, other.memory);
    }
}

impl From<&Total> for Load {
    fn from(total: &Total) -> Load {
        let count = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
        Load {
            // The cast saturates.
            reading: total.reading.ceil() as u16,
            waiting: count(total.waiting),
            streams: count(total.streams),
            short: count(total.short),
            memory: u16::try_from(total.memory.div_ceil(BLOCK_TOKENS)).unwrap_or(u16::MAX),
        }
    }
}

impl From<&Load> for Total {
    fn from(load: &Load) -> Total {
        Total {
            reading: load.reading.into(),
            waiting: load.waiting.into(),
            streams: load.streams.into(),
            short: load.short.into(),
            memory: u64::from(load.memory) * BLOCK_TOKENS,
        }
    }
}

/// Identifies one piece of work until it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A piece of this host's work on an upstream.
#[derive(Clone, Copy, Debug)]
struct Item {
    work: Work,
    // When the engine is estimated to begin to read it. Until then all of it counts as
    // left, whatever the engine reads before it.
    start: Mono,
    // Whether its first event has come, so that nothing is left to read.
    begun: bool,
}

impl Item {
    /// Milliseconds of reading that are left.
    fn reading_left_ms(&self, now: Mono) -> f32 {
        let all = self.work.reading.as_secs_f32() * 1e3;
        let spent = now.since(self.start).as_secs_f32() * 1e3;
        (all - spent).max(all * MIN_FRACTION_LEFT)
    }
}

/// The work in progress on all upstreams.
#[derive(Debug, Default)]
pub struct Table {
    own: BTreeMap<Upstream, BTreeMap<Ticket, Item>>,
    // Requests that an upstream reported beyond those known, and the time of the report.
    unknown: HashMap<Upstream, (Mono, u32)>,
    // Loads that entry hosts reported directly, by host.
    reports: HashMap<u64, (Mono, HashMap<Key, Load>)>,
    // Sums by the relay that sent them.
    sums: HashMap<SocketAddr, Received>,
    next: u64,
}

/// Sum of the work of all entry hosts that a relay knows.
#[derive(Debug, Default)]
struct Received {
    at: Mono,
    // Number of hosts that the relay knows, including this one.
    hosts: u32,
    // Loads, each with the time at which it was received.
    loads: HashMap<Key, (Mono, Load)>,
    // This host's own part of the loads.
    own: HashMap<Key, Load>,
}

impl Received {
    /// Returns the other hosts' part of an upstream's load.
    fn others(&self, now: Mono, key: Key) -> Load {
        let load = self.loads.get(&key);
        let fresh = load.filter(|(at, _)| now.since(*at) < LOAD_MAX_AGE);
        let mut load = fresh.map(|(_, load)| *load).unwrap_or_default();
        if let Some(own) = self.own.get(&key) {
            load.subtract(own);
        }
        load
    }
}

impl Table {
    /// Adds work that was sent to an upstream.
    pub fn begin(&mut self, now: Mono, upstream: &Upstream, work: Work) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let item = Item {
            work,
            start: now + work.wait,
            begun: false,
        };
        let items = self.own.entry(upstream.clone()).or_default();
        items.insert(ticket, item);
        ticket
    }

    /// Marks work whose answer has begun: all of its prompt was read.
    pub fn finish_reading(&mut self, upstream: &Upstream, ticket: Ticket) {
        let items = self.own.get_mut(upstream);
        if let Some(item) = items.and_then(|items| items.get_mut(&ticket)) {
            item.begun = true;
        }
    }

    /// Removes work that has ended.
    pub fn end(&mut self, upstream: &Upstream, ticket: Ticket) {
        if let Some(items) = self.own.get_mut(upstream) {
            items.remove(&ticket);
            if items.is_empty() {
                self.own.remove(upstream);
            }
        }
    }

    /// Removes this host's work on an upstream that has restarted, since it ended with the
    /// restart.
    pub fn forget(&mut self, upstream: &Upstream) {
        self.own.remove(upstream);
        self.unknown.remove(upstream);
    }

    /// Returns this entry host's own work, for the other hosts.
    pub fn own_loads(&self, now: Mono) -> Vec<(Key, Load)> {
        let totals = self.own.iter();
        totals
            .map(|(name, items)| (Key::of(name), Load::from(&sum(now, items))))
            .collect()
    }

    /// Returns whether engines still read prompts that this host has sent.
    pub fn is_reading(&self) -> bool {
        let mut items = self.own.values().flat_map(BTreeMap::values);
        items.any(|item| !item.begun)
    }

    /// Takes in the direct report of another entry host.
    pub fn receive_report(&mut self, now: Mono, host: u64, loads: Vec<(Key, Load)>) {
        self.reports
            .insert(host, (now, loads.into_iter().collect()));
        self.reports
            .retain(|_, (at, _)| now.since(*at) < REPORT_MAX_AGE);
    }

    /// Takes in a relay's sum of the work of all entry hosts that it knows. `own` is this
    /// host's part of it.
    pub fn receive_sum(&mut self, now: Mono, relay: SocketAddr, sum: Sum, own: &[(Key, Load)]) {
        let known = self.sums.entry(relay).or_default();
        if sum.is_whole {
            known.loads.clear();
        }
        known.at = now;
        known.hosts = sum.hosts;
        known.own = own.iter().copied().collect();
        let loads = sum.loads.into_iter();
        known
            .loads
            .extend(loads.map(|(key, load)| (key, (now, load))));
        self.sums
            .retain(|_, sum| now.since(sum.at) < REPORT_MAX_AGE);
    }

    /// Returns the last sum received, unless another relay knows far more hosts. Once no
    /// relay answers any more, returns `None` if hosts report to each other directly.
    fn sum(&self, now: Mono) -> Option<&Received> {
        self.newest_sum(now).map(|(_, sum)| sum)
    }

    /// Returns the relay whose sums are used at present, if any.
    pub fn current_relay(&self, now: Mono) -> Option<SocketAddr> {
        self.newest_sum(now).map(|(relay, _)| relay)
    }

    /// Returns the relay whose sums are used, and its last sum. See [`Table::sum`].
    fn newest_sum(&self, now: Mono) -> Option<(SocketAddr, &Received)> {
        let directly = self.fresh_reports(now).next().is_some();
        let age = if directly {
            RELAY_TIMEOUT
        } else {
            REPORT_MAX_AGE
        };
        let sums = self.sums.iter().map(|(relay, sum)| (*relay, sum));
        let fresh = sums.filter(|(_, sum)| now.since(sum.at) < age);
        let last = fresh.clone().max_by_key(|(_, sum)| (sum.at, sum.hosts))?;
        let most = fresh.max_by_key(|(_, sum)| (sum.hosts, sum.at))?;
        let is_far_more = f64::from(most.1.hosts) > f64::from(last.1.hosts) * MORE_HOSTS_FACTOR;
        Some(if is_far_more { most } else { last })
    }

    /// Returns the loads of the direct reports that still count.
    fn fresh_reports(&self, now: Mono) -> impl Iterator<Item = &HashMap<Key, Load>> {
        let reports = self.reports.values();
        let fresh = reports.filter(move |(at, _)| now.since(*at) < REPORT_MAX_AGE);
        fresh.map(|(_, loads)| loads)
    }

    /// Returns the other entry hosts' work on an upstream.
    fn others(&self, now: Mono, upstream: &Upstream) -> Total {
        let key = Key::of(upstream);
        if let Some(sum) = self.sum(now) {
            return Total::from(&sum.others(now, key));
        }
        let mut load = Load::default();
        for reported in self.fresh_reports(now).filter_map(|loads| loads.get(&key)) {
            load.add(reported);
        }
        Total::from(&load)
    }

    /// Returns all known work on an upstream.
    pub fn total(&self, now: Mono, upstream: &Upstream) -> Total {
        let mut total = self
            .own
            .get(upstream)
            .map(|items| sum(now, items))
            .unwrap_or_default();
        total.add(&self.others(now, upstream));
        total.streams += self.unknown_requests(now, upstream);
        total
    }

    /// Records the number of requests that an upstream reported with an answer. After entry
    /// hosts lost power, the upstream still works for callers that are gone, of which no
    /// host knows. Without this record the next requests would be sent there first.
    pub fn record_reported(&mut self, now: Mono, upstream: &Upstream, requests: u32) {
        let known = self.total(now, upstream).requests() - self.unknown_requests(now, upstream);
        let unknown = requests.saturating_sub(known);
        self.unknown.insert(upstream.clone(), (now, unknown));
        self.unknown
            .retain(|_, (at, _)| now.since(*at) < UNKNOWN_MAX_AGE);
    }

    /// Returns the number of requests that the upstream reported and no host knows of.
    fn unknown_requests(&self, now: Mono, upstream: &Upstream) -> u32 {
        let known = self.unknown.get(upstream);
        let fresh = known.filter(|(at, _)| now.since(*at) < UNKNOWN_MAX_AGE);
        fresh.map_or(0, |(_, count)| *count)
    }

    /// Returns whether the other hosts' work is known.
    pub fn is_informed(&self, now: Mono) -> bool {
        self.sum(now).is_some() || self.fresh_reports(now).next().is_some()
    }

    /// Returns the age of the relay's last sum, if sums come from a relay.
    pub fn sum_age(&self, now: Mono) -> Option<Duration> {
        self.sum(now).map(|sum| now.since(sum.at))
    }

    /// Returns the number of entry hosts, this one included, that a relay knows.
    pub fn relayed_hosts(&self, now: Mono) -> Option<u32> {
        self.sum(now).map(|sum| sum.hosts.max(1))
    }

    /// Returns the number of other entry hosts that are known.
    pub fn other_hosts(&self, now: Mono) -> usize {
        let summed = self
            .sum(now)
            .map(|sum| sum.hosts.saturating_sub(1) as usize);
        summed.unwrap_or_else(|| self.fresh_reports(now).count())
    }
}

fn sum(now: Mono, items: &BTreeMap<Ticket, Item>) -> Total {
    let mut total = Total::default();
    for item in items.values() {
        total.memory += item.work.memory;
        total.short += u32::from(item.work.short);
        if item.begun {
            total.streams += u32::from(item.work.writes);
            continue;
        }
        total.waiting += u32::from(item.work.writes);
        total.reading += item.reading_left_ms(now);
    }
    total
}
