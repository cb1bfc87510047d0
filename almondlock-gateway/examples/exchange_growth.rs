//! Measures what hosts and relays send each other as a fleet grows, without a network.
//!
//! `cargo run --release -p almondlock-gateway --example exchange_growth` simulates a few
//! seconds of the exchange with fleets of 100 to 3,000 entry hosts. There are a twelfth
//! more upstreams than hosts, five failure domains with two relays each, and one request in
//! four seconds at each host. It prints the datagrams and bytes a second of one relay and
//! of one host, and the power by which each grows from one size to the next. Only the bytes
//! of the messages count.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use almondlock_base::{
    id::{Domain, Upstream},
    time::Mono,
};
use almondlock_gateway::{
    exchange::{Aggregator, Digest, Message, Round, Subscription, Sum, report_interval},
    load::{Key, Load},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SIZES: [usize; 5] = [100, 300, 500, 1_000, 3_000];
const DOMAINS: usize = 5;
const RELAYS: usize = 2 * DOMAINS;
/// Milliseconds that are simulated, and those of the warm-up, which don't count.
const LENGTH: u64 = 4_000;
const WARM_UP: u64 = 1_000;
/// Milliseconds of a step of the simulation.
const STEP: u64 = 10;
/// Requests a second at a host, and milliseconds that a request takes.
const RATE: f64 = 0.25;
const REQUEST: u64 = 1_500;
/// Time between two reports of a host without work to all relays.
const IDLE: Duration = Duration::from_millis(200);

/// An entry host with its requests: the end of each, and its upstream.
#[derive(Default)]
struct Host {
    running: Vec<(u64, Key)>,
    number: u32,
    told_all: u64,
}

impl Host {
    fn loads(&self) -> Vec<(Key, Load)> {
        let mut loads: HashMap<Key, Load> = HashMap::new();
        for (_, key) in &self.running {
            let load = loads.entry(*key).or_default();
            load.streams += 1;
            load.short += 1;
            load.memory += 100;
        }
        loads.into_iter().collect()
    }
}

/// Numbers of datagrams and bytes of one kind of message.
#[derive(Clone, Copy, Default)]
struct Count {
    datagrams: usize,
    bytes: usize,
}

impl Count {
    fn add(&mut self, datagrams: usize, bytes: usize) {
        self.datagrams += datagrams;
        self.bytes += datagrams * bytes;
    }
}

/// What relays receive, and what they send to hosts that follow them and to all others.
#[derive(Clone, Copy, Default)]
struct Totals {
    told: Count,
    close: Count,
    others: Count,
}

fn main() {
    println!(
        "| hosts | relay gets a second | kB/s | sends to followers | kB/s | to others | kB/s | host gets | kB/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut last: Option<(usize, Vec<f64>)> = None;
    for hosts in SIZES {
        let figures = figures(hosts, &play(hosts));
        let shown: Vec<String> = figures.iter().map(|f| format!("{f:.1}")).collect();
        println!("| {hosts} | {} |", shown.join(" | "));
        if let Some((fewer, before)) = last.replace((hosts, figures.clone())) {
            let growth = (hosts as f64 / fewer as f64).ln();
            let powers = figures.iter().zip(&before);
            let powers = powers.map(|(now, then)| format!("{:.2}", (now / then).ln() / growth));
            println!("| power | {} |", powers.collect::<Vec<_>>().join(" | "));
        }
    }
}

/// Returns the columns: datagrams and kilobytes a second of one process.
fn figures(hosts: usize, totals: &Totals) -> Vec<f64> {
    let seconds = (LENGTH - WARM_UP) as f64 / 1e3;
    let pair = |count: Count, processes: usize| {
        let each = seconds * processes as f64;
        [
            count.datagrams as f64 / each,
            count.bytes as f64 / 1e3 / each,
        ]
    };
    let mut got = totals.close;
    got.datagrams += totals.others.datagrams;
    got.bytes += totals.others.bytes;
    let all = [
        pair(totals.told, RELAYS),
        pair(totals.close, RELAYS),
        pair(totals.others, RELAYS),
        pair(got, hosts),
    ];
    all.concat()
}

fn play(count: usize) -> Totals {
    let mut rng = SmallRng::seed_from_u64(1);
    let names = (0..count * 13 / 12).filter_map(|n| Upstream::new(&format!("i-{n}")).ok());
    let keys: Vec<Key> = names.map(|name| Key::of(&name)).collect();
    let Ok(domain) = Domain::new("d") else {
        return Totals::default();
    };
    let mut hosts: Vec<Host> = (0..count).map(|_| Host::default()).collect();
    let mut relays: Vec<(Aggregator, u64)> =
        (0..RELAYS).map(|_| (Aggregator::default(), 0)).collect();
    let mut totals = Totals::default();
    for at in (0..LENGTH).step_by(STEP as usize) {
        let now = Mono::from_millis(100_000 + at);
        let counts = at >= WARM_UP;
        for (place, host) in hosts.iter_mut().enumerate() {
            let is_changed = work(host, at, &keys, &mut rng);
            let told = tell(host, (place, count), (at, is_changed), now, &mut relays);
            if counts {
                totals.told.datagrams += told.datagrams;
                totals.told.bytes += told.bytes;
            }
        }
        for (place, (aggregator, next)) in relays.iter_mut().enumerate() {
            if at < *next {
                continue;
            }
            let round = aggregator.next_round(now, &domain);
            *next = at + millis(aggregator.period());
            if counts {
                send(&round, place, &mut totals);
            }
        }
    }
    totals
}

/// Begins and ends requests, and returns whether any began or ended.
fn work(host: &mut Host, at: u64, keys: &[Key], rng: &mut SmallRng) -> bool {
    let before = host.running.len();
    host.running.retain(|(end, _)| at < *end);
    let is_begun = rng.random_bool(RATE * STEP as f64 / 1e3);
    let is_changed = is_begun || before != host.running.len();
    if is_begun {
        let key = keys[rng.random_range(0..keys.len())];
        host.running.push((at + REQUEST, key));
    }
    is_changed
}

/// Reports changes to the relay that is followed closely, and periodically to all relays.
fn tell(
    host: &mut Host,
    (place, count): (usize, usize),
    (at, is_changed): (u64, bool),
    now: Mono,
    relays: &mut [(Aggregator, u64)],
) -> Count {
    let period = match host.running.is_empty() {
        true => IDLE,
        false => report_interval(count),
    };
    let is_all = at >= host.told_all + millis(period);
    let mut told = Count::default();
    if !is_all && !is_changed {
        return told;
    }
    if is_all {
        host.told_all = at;
    }
    host.number += 1;
    let (close, seldom) = (place % RELAYS, (place + 1) % RELAYS);
    for (relay, (aggregator, _)) in relays.iter_mut().enumerate() {
        if !is_all && relay != close {
            continue;
        }
        let digest = Digest {
            host: place as u64,
            number: host.number,
            listens: match relay {
                _ if relay == close => Subscription::Closely,
                _ if relay == seldom => Subscription::Seldom,
                _ => Subscription::No,
            },
            loads: host.loads(),
        };
        told.add(1, size(&Message::Tell(digest.clone())));
        aggregator.receive_report(now, address(place), digest);
    }
    told
}

/// Counts what a relay sends in one round.
fn send(round: &Round, relay: usize, totals: &mut Totals) {
    let head = size(&Message::Sum { included: 1 });
    for sum in round.changes.parts() {
        totals.close.add(round.followers.len(), head + size(&sum));
    }
    for sum in round.whole.iter().flat_map(Sum::parts) {
        totals.close.add(round.newcomers.len(), head + size(&sum));
    }
    let beacon = Message::Beacon {
        hosts: round.changes.hosts,
    };
    totals.others.add(round.beacons.len(), size(&beacon));
    for (to, introduction) in &round.introductions {
        let bytes = size(&Message::Introduction(introduction.clone()));
        match place(to) % RELAYS == relay {
            true => totals.close.add(1, bytes),
            false => totals.others.add(1, bytes),
        }
    }
}

fn address(place: usize) -> SocketAddr {
    let place = u32::try_from(place).unwrap_or(u32::MAX);
    SocketAddr::from((Ipv4Addr::from(place), 9))
}

/// Returns the index of the host with this address.
fn place(address: &SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => u32::from(*address.ip()) as usize,
        SocketAddr::V6(_) => 0,
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn size<T>(message: &T) -> usize
where
    T: serde::Serialize,
{
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len())
}
