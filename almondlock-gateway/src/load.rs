//! What is under way on each upstream, as far as this entry host knows.
//!
//! An upstream's own report is old when it arrives, and while it is under way
//! all entry hosts would follow the same one to the same idle upstream. So each
//! entry host counts what it has sent itself, exactly and at once, and adds
//! what the others have, as a relay last added it up or they told it themselves,
//! until they fall silent.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::{id::Upstream, time::Mono};
use serde::{Deserialize, Serialize};

use crate::exchange::SILENCE;

/// What another entry host told counts no longer than this. Ten of its usual
/// messages: its work has ended by itself meanwhile, or it has stopped.
const FORGET: Duration = Duration::from_millis(1000);

/// Requests that an upstream reported and nobody knows of count this long. A
/// stream of a few dozen events takes about as much; its next answer tells anew.
const REMEMBER: Duration = Duration::from_millis(1500);

/// Of the reading time that is thought to be left, the part that stays until
/// the first event proves that it is done. Estimates run out before the engine
/// does when it also serves others.
const DOUBT: f32 = 0.25;

/// Milliseconds of reading that may be left when sums of an `f32` are taken
/// apart again. Far less than any prompt takes.
const ROUNDING: f32 = 0.1;

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
#[derive(Serialize, Deserialize)]
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

    /// Takes out what was added before. What is left of the reading time by
    /// rounding is none.
    pub fn subtract(&mut self, other: &Total) {
        self.reading -= other.reading;
        self.waiting = self.waiting.saturating_sub(other.waiting);
        self.streams = self.streams.saturating_sub(other.streams);
        self.short = self.short.saturating_sub(other.short);
        self.memory = self.memory.saturating_sub(other.memory);
        if self.reading < ROUNDING {
            self.reading = 0.0;
        }
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
    told: HashMap<u64, (Mono, HashMap<Upstream, Total>)>,
    // By the relay that sent it.
    sums: HashMap<SocketAddr, Sum>,
    next: u64,
}

/// What all other entry hosts that a relay knows have under way.
#[derive(Debug)]
struct Sum {
    at: Mono,
    hosts: u32,
    totals: HashMap<Upstream, Total>,
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
    pub fn read(&mut self, upstream: &Upstream, ticket: Ticket) {
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
    pub fn own(&self, now: Mono) -> Vec<(Upstream, Total)> {
        let totals = self.own.iter();
        totals
            .map(|(name, items)| (name.clone(), sum(now, items)))
            .collect()
    }

    /// Another entry host told what it has under way.
    pub fn tell(&mut self, now: Mono, host: u64, totals: HashMap<Upstream, Total>) {
        self.told.insert(host, (now, totals));
        self.told.retain(|_, (at, _)| now.since(*at) < FORGET);
    }

    /// A relay told what all other entry hosts that it knows have under way.
    pub fn hear(
        &mut self,
        now: Mono,
        relay: SocketAddr,
        hosts: u32,
        totals: HashMap<Upstream, Total>,
    ) {
        let sum = Sum {
            at: now,
            hosts,
            totals,
        };
        self.sums.insert(relay, sum);
        self.sums.retain(|_, sum| now.since(sum.at) < FORGET);
    }

    /// The sum of the relay that knows most hosts. Once no relay answers any more,
    /// what hosts tell each other directly counts, if they do.
    fn sum(&self, now: Mono) -> Option<&Sum> {
        let directly = self.fresh(now).next().is_some();
        let age = if directly { SILENCE } else { FORGET };
        let fresh = self.sums.values().filter(|sum| now.since(sum.at) < age);
        fresh.max_by_key(|sum| (sum.hosts, sum.at))
    }

    fn fresh(&self, now: Mono) -> impl Iterator<Item = &HashMap<Upstream, Total>> {
        let told = self.told.values();
        let fresh = told.filter(move |(at, _)| now.since(*at) < FORGET);
        fresh.map(|(_, totals)| totals)
    }

    /// What the other entry hosts have under way on an upstream.
    fn others(&self, now: Mono, upstream: &Upstream) -> Total {
        if let Some(sum) = self.sum(now) {
            return sum.totals.get(upstream).copied().unwrap_or_default();
        }
        let mut total = Total::default();
        for told in self.fresh(now).filter_map(|totals| totals.get(upstream)) {
            total.add(told);
        }
        total
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
    pub fn report(&mut self, now: Mono, upstream: &Upstream, requests: u32) {
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

    /// How many other entry hosts are heard of.
    pub fn hosts(&self, now: Mono) -> usize {
        let summed = self.sum(now).map(|sum| sum.hosts as usize);
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
