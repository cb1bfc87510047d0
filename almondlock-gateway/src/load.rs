//! What is under way on each upstream, as far as this entry host knows.
//!
//! An upstream's own report is old when it arrives, and while it is under way
//! all entry hosts would follow the same one to the same idle upstream. So each
//! entry host counts what it has sent itself, exactly and at once, and adds
//! what the others have, as a relay last added it up or they told it themselves,
//! until they fall silent.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::{id::Upstream, time::Mono};
use serde::{Deserialize, Serialize};

use crate::exchange::{RELAY_TIMEOUT, Sum};

/// What another entry host told counts no longer than this. Ten of its usual
/// messages: its work has ended by itself meanwhile, or it has stopped.
const FORGET: Duration = Duration::from_millis(1000);

/// What a relay told of an upstream counts no longer than this unless it tells it
/// again, which it does within a second, or 2.5 s with hundreds of followers.
const OUTDATED: Duration = Duration::from_secs(4);

/// Of the relay that is followed closely another one takes the place if it knows so
/// many times as many hosts: the closer one is cut off from some.
const FAR_MORE: f64 = 1.2;

/// Tokens of memory in a block, the unit in which hosts tell it: 0.01% of an engine's.
const BLOCK: u64 = 64;

/// Requests that an upstream reported and nobody knows of count this long. A
/// stream of a few dozen events takes about as much; its next answer tells anew.
const REMEMBER: Duration = Duration::from_millis(1500);

/// Of the reading time that is thought to be left, the part that stays until
/// the first event proves that it is done. Estimates run out before the engine
/// does when it also serves others.
const DOUBT: f32 = 0.25;

/// What one request asks of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Time that the engine will read for it.
    pub reading: Duration,
    /// Time that the engine has to read before.
    pub wait: Duration,
    /// It will write a stream there.
    pub writes: bool,
    /// That stream's prompt is short.
    pub short: bool,
    /// Tokens of memory that it takes there.
    pub memory: u64,
}

/// The sum of what is under way on an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// Milliseconds of reading that are left.
    pub reading: f32,
    /// Requests whose answer hasn't begun.
    pub waiting: u32,
    /// Streams that are being written.
    pub streams: u32,
    /// Of those and of the waiting, the ones with a short prompt.
    pub short: u32,
    /// Tokens of memory in use.
    pub memory: u64,
}

impl Total {
    /// Adds what another host has there.
    pub fn add(&mut self, other: &Total) {
        self.reading += other.reading;
        self.waiting += other.waiting;
        self.streams += other.streams;
        self.short += other.short;
        self.memory += other.memory;
    }

    /// The time that is left to read.
    pub fn backlog(&self) -> Duration {
        Duration::from_secs_f32(self.reading.max(0.0) / 1e3)
    }

    /// Streams of longer prompts, and requests for some.
    pub fn long(&self) -> u32 {
        self.requests().saturating_sub(self.short)
    }

    /// Requests that take a place.
    pub fn requests(&self) -> u32 {
        self.waiting + self.streams
    }
}

/// Stands for an upstream's name among entry hosts: a number made of it, a third as
/// long. Two upstreams with the same one would share their loads; among 3,000 there
/// are two such once in a thousand times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Key(u32);

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl Key {
    /// That of an upstream.
    pub fn of(name: &Upstream) -> Key {
        Key::of_name(name.as_str())
    }

    /// That of anything else with a name.
    pub fn of_name(name: &str) -> Key {
        Key(crc32fast::hash(name.as_bytes()))
    }
}

/// A [`Total`] as hosts tell it, in whole units, so that sums can be taken apart
/// again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Milliseconds of reading that are left.
    pub reading: u16,
    /// Requests whose answer hasn't begun.
    pub waiting: u16,
    /// Streams that are being written.
    pub streams: u16,
    /// Of those and of the waiting, the ones with a short prompt.
    pub short: u16,
    /// Memory in use, in blocks of 64 tokens.
    pub memory: u16,
}

impl Load {
    /// Adds what another host has there.
    pub fn add(&mut self, other: &Load) {
        self.merge(other, u16::saturating_add);
    }

    /// Takes out what was added before.
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
            // A float beyond the range saturates.
            reading: total.reading.ceil() as u16,
            waiting: count(total.waiting),
            streams: count(total.streams),
            short: count(total.short),
            memory: u16::try_from(total.memory.div_ceil(BLOCK)).unwrap_or(u16::MAX),
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
            memory: u64::from(load.memory) * BLOCK,
        }
    }
}

/// Names one piece of work until it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

#[derive(Clone, Copy, Debug)]
struct Item {
    work: Work,
    // When the engine is thought to begin to read it. Until then all of it is
    // left, whoever's work the engine does meanwhile.
    start: Mono,
    // Its first event has come: nothing is left to read.
    begun: bool,
}

impl Item {
    /// Milliseconds of reading that are left.
    fn left(&self, now: Mono) -> f32 {
        let all = self.work.reading.as_secs_f32() * 1e3;
        let spent = now.since(self.start).as_secs_f32() * 1e3;
        (all - spent).max(all * DOUBT)
    }
}

/// All that is known.
#[derive(Debug, Default)]
pub struct Table {
    own: BTreeMap<Upstream, BTreeMap<Ticket, Item>>,
    // Requests that an upstream reported beyond those known, and when.
    unknown: HashMap<Upstream, (Mono, u32)>,
    // By the entry host that told it directly.
    told: HashMap<u64, (Mono, HashMap<Key, Load>)>,
    // By the relay that sent it.
    sums: HashMap<SocketAddr, Summed>,
    next: u64,
}

/// What all entry hosts that a relay knows have under way.
#[derive(Debug, Default)]
struct Summed {
    at: Mono,
    // How many hosts it knows, this one included.
    hosts: u32,
    // With the time at which each was told.
    loads: HashMap<Key, (Mono, Load)>,
    // What of it is this host's own.
    own: HashMap<Key, Load>,
}

impl Summed {
    fn others(&self, now: Mono, key: Key) -> Load {
        let told = self.loads.get(&key);
        let fresh = told.filter(|(at, _)| now.since(*at) < OUTDATED);
        let mut load = fresh.map(|(_, load)| *load).unwrap_or_default();
        if let Some(own) = self.own.get(&key) {
            load.subtract(own);
        }
        load
    }
}

impl Table {
    /// Work was sent.
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

    /// Its answer has begun: all of its prompt was read.
    pub fn finish_reading(&mut self, upstream: &Upstream, ticket: Ticket) {
        let items = self.own.get_mut(upstream);
        if let Some(item) = items.and_then(|items| items.get_mut(&ticket)) {
            item.begun = true;
        }
    }

    /// It has ended.
    pub fn end(&mut self, upstream: &Upstream, ticket: Ticket) {
        if let Some(items) = self.own.get_mut(upstream) {
            items.remove(&ticket);
            if items.is_empty() {
                self.own.remove(upstream);
            }
        }
    }

    /// The upstream has started again: what this host knew to be under way there
    /// has ended.
    pub fn forget(&mut self, upstream: &Upstream) {
        self.own.remove(upstream);
        self.unknown.remove(upstream);
    }

    /// What this entry host has under way, for the others.
    pub fn own_loads(&self, now: Mono) -> Vec<(Key, Load)> {
        let totals = self.own.iter();
        totals
            .map(|(name, items)| (Key::of(name), Load::from(&sum(now, items))))
            .collect()
    }

    /// Whether engines still read prompts that this host has sent.
    pub fn is_reading(&self) -> bool {
        let mut items = self.own.values().flat_map(BTreeMap::values);
        items.any(|item| !item.begun)
    }

    /// Another entry host told what it has under way.
    pub fn receive_report(&mut self, now: Mono, host: u64, loads: Vec<(Key, Load)>) {
        self.told.insert(host, (now, loads.into_iter().collect()));
        self.told.retain(|_, (at, _)| now.since(*at) < FORGET);
    }

    /// A relay told what all entry hosts that it knows have under way, this one
    /// included with `own`.
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
        self.sums.retain(|_, sum| now.since(sum.at) < FORGET);
    }

    /// The sum that was told last, unless another relay knows far more hosts. Once no
    /// relay answers any more, what hosts tell each other directly counts, if they do.
    fn sum(&self, now: Mono) -> Option<&Summed> {
        self.relayed(now).map(|(_, sum)| sum)
    }

    /// The relay that loads come from at present. None if they don't come from one.
    pub fn current_relay(&self, now: Mono) -> Option<SocketAddr> {
        self.relayed(now).map(|(relay, _)| relay)
    }

    fn relayed(&self, now: Mono) -> Option<(SocketAddr, &Summed)> {
        let directly = self.fresh(now).next().is_some();
        let age = if directly { RELAY_TIMEOUT } else { FORGET };
        let sums = self.sums.iter().map(|(relay, sum)| (*relay, sum));
        let fresh = sums.filter(|(_, sum)| now.since(sum.at) < age);
        let last = fresh.clone().max_by_key(|(_, sum)| (sum.at, sum.hosts))?;
        let most = fresh.max_by_key(|(_, sum)| (sum.hosts, sum.at))?;
        let is_far_more = f64::from(most.1.hosts) > f64::from(last.1.hosts) * FAR_MORE;
        Some(if is_far_more { most } else { last })
    }

    fn fresh(&self, now: Mono) -> impl Iterator<Item = &HashMap<Key, Load>> {
        let told = self.told.values();
        let fresh = told.filter(move |(at, _)| now.since(*at) < FORGET);
        fresh.map(|(_, loads)| loads)
    }

    /// What the other entry hosts have under way on an upstream.
    fn others(&self, now: Mono, upstream: &Upstream) -> Total {
        let key = Key::of(upstream);
        if let Some(sum) = self.sum(now) {
            return Total::from(&sum.others(now, key));
        }
        let mut load = Load::default();
        for told in self.fresh(now).filter_map(|loads| loads.get(&key)) {
            load.add(told);
        }
        Total::from(&load)
    }

    /// All that is known of an upstream.
    pub fn total(&self, now: Mono, upstream: &Upstream) -> Total {
        let mut total = self
            .own
            .get(upstream)
            .map(|items| sum(now, items))
            .unwrap_or_default();
        total.add(&self.others(now, upstream));
        total.streams += self.unknown(now, upstream);
        total
    }

    /// An upstream reported, with an answer, how many requests it has. After
    /// entry hosts lost power it still works for callers that are gone, which
    /// nobody else could know; without this the next requests would be sent
    /// there first.
    pub fn record_reported(&mut self, now: Mono, upstream: &Upstream, requests: u32) {
        let known = self.total(now, upstream).requests() - self.unknown(now, upstream);
        let unknown = requests.saturating_sub(known);
        self.unknown.insert(upstream.clone(), (now, unknown));
        self.unknown.retain(|_, (at, _)| now.since(*at) < REMEMBER);
    }

    fn unknown(&self, now: Mono, upstream: &Upstream) -> u32 {
        let known = self.unknown.get(upstream);
        let fresh = known.filter(|(at, _)| now.since(*at) < REMEMBER);
        fresh.map_or(0, |(_, count)| *count)
    }

    /// Whether others' requests are known.
    pub fn is_informed(&self, now: Mono) -> bool {
        self.sum(now).is_some() || self.fresh(now).next().is_some()
    }

    /// How long ago a relay last told of them, if one does.
    pub fn sum_age(&self, now: Mono) -> Option<Duration> {
        self.sum(now).map(|sum| now.since(sum.at))
    }

    /// How many other entry hosts are heard of.
    pub fn other_hosts(&self, now: Mono) -> usize {
        let summed = self
            .sum(now)
            .map(|sum| sum.hosts.saturating_sub(1) as usize);
        summed.unwrap_or_else(|| self.fresh(now).count())
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
        total.reading += item.left(now);
    }
    total
}
