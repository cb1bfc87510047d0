//! Guards against entry hosts that lose touch with each other: they would pack their work
//! onto the same engines within a second. Relays stop with the control replicas beside
//! them, one by one or all at once. A host's own work must never be counted twice.

use std::{net::SocketAddr, time::Duration};

use almondlock_base::{
    id::{Domain, Upstream},
    time::Mono,
};
use almondlock_gateway::{
    exchange::{
        Aggregator, Digest, Introduction, MAX_PEERS, RELAY_TIMEOUT, Relays, Round, Subscription,
        Sum,
    },
    load::{Key, Load, Table},
};

const START: Mono = Mono::from_millis(10_000);
/// Number of rounds in which each load is repeated.
const REPEAT: usize = 50;

fn host(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 9))
}

fn engine(n: u8) -> Upstream {
    Upstream::new(&format!("i-{n}")).unwrap()
}

fn domain(name: &str) -> Domain {
    Domain::new(name).unwrap()
}

fn load(streams: u16) -> Load {
    Load {
        reading: 30 * streams,
        streams,
        memory: streams * 100,
        ..Load::default()
    }
}

fn loads(streams: &[(u8, u16)]) -> Vec<(Key, Load)> {
    let loads = streams.iter();
    loads
        .map(|(n, streams)| (Key::of(&engine(*n)), load(*streams)))
        .collect()
}

fn digest(host: u64, number: u32, streams: &[(u8, u16)]) -> Digest {
    Digest {
        host,
        number,
        listens: Subscription::Closely,
        loads: loads(streams),
    }
}

fn take(aggregator: &mut Aggregator, now: Mono) -> Round {
    aggregator.next_round(now, &domain("d"))
}

/// Returns what a host knows that gets this sum from one relay, to which it reported `own`.
fn heard(sum: Sum, own: &[(Key, Load)]) -> Table {
    let mut table = Table::default();
    table.receive_sum(START, host(99), sum, own);
    table
}

fn streams(table: &Table, n: u8) -> u32 {
    table.total(START, &engine(n)).streams
}

/// Each host gets the same sum and subtracts its own part: the digest that the sum
/// includes, which may not be its last one.
#[test]
fn sum_of_others() {
    let mut aggregator = Aggregator::default();
    aggregator.receive_report(START, host(1), digest(1, 7, &[(1, 2), (2, 7)]));
    aggregator.receive_report(START, host(2), digest(2, 1, &[(1, 3)]));
    aggregator.receive_report(START, host(3), digest(3, 1, &[(1, 4)]));
    let round = take(&mut aggregator, START);
    let sum = round.whole.unwrap();
    assert!(round.newcomers.contains(&(host(1), 7)));
    let one = heard(sum.clone(), &loads(&[(1, 2), (2, 7)]));
    assert_eq!(
        (one.other_hosts(START), streams(&one, 1), streams(&one, 2)),
        (2, 7, 0)
    );
    let total = one.total(START, &engine(1));
    assert_eq!((total.reading, total.memory), (210.0, 700 * 64));
    let two = heard(sum, &loads(&[(1, 3)]));
    assert_eq!((streams(&two, 1), streams(&two, 2)), (6, 7));
}

/// Only loads that have changed are sent, and the rest in turn within a second, since a
/// datagram may be lost. Work that has ended is sent as an empty load.
#[test]
fn only_changes() {
    let mut aggregator = Aggregator::default();
    let many: Vec<(u8, u16)> = (0..100).map(|n| (n, 3)).collect();
    aggregator.receive_report(START, host(1), digest(1, 1, &many));
    assert_eq!(take(&mut aggregator, START).whole.unwrap().loads.len(), 100);
    aggregator.receive_report(START, host(1), digest(1, 2, &many));
    let mut told = 0;
    for _ in 0..REPEAT {
        let round = take(&mut aggregator, START);
        assert!(round.changes.loads.len() <= 2 && round.whole.is_none());
        assert_eq!(round.followers, [(host(1), 2)]);
        told += round.changes.loads.len();
    }
    assert_eq!(told, 100);
    aggregator.receive_report(START, host(1), digest(1, 3, &[(5, 9)]));
    let changes = take(&mut aggregator, START).changes.loads;
    assert!(changes.contains(&(Key::of(&engine(5)), load(9))));
    assert!(changes.contains(&(Key::of(&engine(6)), Load::default())));
}

/// Two of three sums without changes are left out. Guards against gaps that hosts take for
/// silence, also when one relay is left for hundreds of hosts.
#[test]
fn quiet_rounds() {
    let most = |hosts: u8| {
        let mut aggregator = Aggregator::default();
        let tell = |aggregator: &mut Aggregator, number| {
            for n in 0..hosts {
                aggregator.receive_report(START, host(n), digest(n.into(), number, &[]));
            }
        };
        tell(&mut aggregator, 1);
        take(&mut aggregator, START);
        tell(&mut aggregator, 2);
        let (mut pause, mut longest) = (Duration::ZERO, Duration::ZERO);
        for _ in 0..60 {
            pause += aggregator.period();
            if !take(&mut aggregator, START).followers.is_empty() {
                longest = longest.max(std::mem::take(&mut pause));
            }
        }
        longest
    };
    assert_eq!(most(1), Duration::from_millis(60));
    for hosts in [20, 41, 100, 255] {
        assert!(
            most(hosts) <= RELAY_TIMEOUT / 2,
            "{hosts}: {:?}",
            most(hosts)
        );
    }
}

/// Guards against a datagram that arrives after a later one of the same host.
#[test]
fn overtaken_digest() {
    let mut aggregator = Aggregator::default();
    aggregator.receive_report(START, host(1), digest(1, 5, &[(1, 2)]));
    aggregator.receive_report(START, host(1), digest(1, 4, &[(1, 9)]));
    assert_eq!(
        take(&mut aggregator, START).whole.unwrap().loads[0]
            .1
            .streams,
        2
    );
    // A restarted host counts its digests anew.
    aggregator.receive_report(START, host(1), digest(2, 1, &[(1, 1)]));
    assert_eq!(
        take(&mut aggregator, START).whole.unwrap().loads[0]
            .1
            .streams,
        1
    );
}

/// A host that stopped, or doesn't listen to this relay, gets no sums. Its last report
/// counts until it has been silent for a second.
#[test]
fn silent_host() {
    let mut aggregator = Aggregator::default();
    aggregator.receive_report(START, host(1), digest(1, 1, &[(1, 2)]));
    let deaf = Digest {
        listens: Subscription::No,
        ..digest(2, 1, &[(1, 3)])
    };
    aggregator.receive_report(START, host(2), deaf);
    let later = START + Duration::from_millis(900);
    aggregator.receive_report(later, host(1), digest(1, 2, &[]));
    let round = take(&mut aggregator, later);
    assert_eq!((round.newcomers.len(), round.followers.len()), (1, 0));
    assert_eq!(round.whole.unwrap().loads[0].1.streams, 3);
    let round = take(&mut aggregator, later + Duration::from_millis(200));
    assert_eq!(round.changes.loads[0].1, Load::default());
    let round = take(&mut aggregator, later + Duration::from_secs(2));
    assert!(round.newcomers.is_empty() && round.followers.is_empty() && round.changes.hosts == 0);
}

/// If one of two relays falls silent, another takes its place.
#[test]
fn silent_relay() {
    let all = [host(1), host(2), host(3)];
    let mut relays = Relays::default();
    let first = relays.choose_relays(START, &all, 7);
    let paces: Vec<Subscription> = first.iter().map(|(_, pace)| *pace).collect();
    assert_eq!(paces, [Subscription::Closely, Subscription::Seldom]);
    let later = START + Duration::from_millis(200);
    relays.receive(later, first[1].0, 3);
    let next = relays.choose_relays(later, &all, 7);
    // The relay that still answers is followed closely from now on.
    assert_eq!(next[0], (first[1].0, Subscription::Closely));
    assert!(next.len() == 2 && next[1].0 != first[0].0);
    // The relay returns with another address.
    let moved = [next[0].0, host(9)];
    let addresses: Vec<SocketAddr> = relays
        .choose_relays(later, &moved, 7)
        .iter()
        .map(|l| l.0)
        .collect();
    assert_eq!(addresses, moved);
}

/// A relay in the host's own failure domain is followed closely after its introduction. If
/// it falls silent it is left, and not taken back before its next introduction.
#[test]
fn near_relay() {
    let all = [host(1), host(2), host(3), host(4), host(5)];
    let mut relays = Relays::default();
    relays.choose_relays(START, &all, 0);
    let own = domain("here");
    let told = Introduction {
        domain: own.clone(),
        peers: Vec::new(),
    };
    relays.receive_introduction(START, host(4), &own, &told);
    let listened = relays.choose_relays(START, &all, 0);
    assert_eq!(listened[0], (host(4), Subscription::Closely));
    for millis in [200, 240, 400, 440] {
        let now = START + Duration::from_millis(millis);
        listened[1..]
            .iter()
            .for_each(|(relay, _)| relays.receive(now, *relay, 3));
        let closely = relays.choose_relays(now, &all, 0)[0].0;
        relays.receive(now, closely, 3);
        assert_ne!(closely, host(4));
    }
    let back = START + Duration::from_millis(500);
    relays.receive_introduction(back, host(4), &own, &told);
    assert_eq!(relays.choose_relays(back, &all, 0)[0].0, host(4));
}

/// Guards against a host that still follows a relay that is cut off from most other hosts.
#[test]
fn cut_off_relay() {
    let all = [host(1), host(2)];
    let mut relays = Relays::default();
    let first = relays.choose_relays(START, &all, 0);
    relays.receive(START, first[0].0, 10);
    relays.receive(START, first[1].0, 11);
    assert_eq!(
        relays.choose_relays(START, &all, 0),
        first,
        "one more is no matter"
    );
    relays.receive(START, first[1].0, 30);
    let next = relays.choose_relays(START, &all, 0);
    assert_eq!(next[0], (first[1].0, Subscription::Closely));
    assert_eq!(next[1], (first[0].0, Subscription::Seldom));
}

/// Guards against traffic between failure domains that grows with hosts times upstreams or
/// with hosts times hosts: hosts that listen seldom get no sums, and no host is told of all
/// others.
#[test]
fn bounded_rounds() {
    let mut aggregator = Aggregator::default();
    let address = |n: u16| SocketAddr::from(([10, 0, (n / 200) as u8, (n % 200) as u8], 9));
    for n in 0..500 {
        let seldom = Digest {
            listens: Subscription::Seldom,
            ..digest(n.into(), 1, &[(1, 1), (2, 1)])
        };
        aggregator.receive_report(START, address(n), seldom);
    }
    let rounds: Vec<Round> = (0..REPEAT).map(|_| take(&mut aggregator, START)).collect();
    assert!(
        rounds
            .iter()
            .all(|round| round.whole.is_none() && round.newcomers.is_empty())
    );
    let beacons = rounds
        .iter()
        .map(|round| round.beacons.len())
        .sum::<usize>();
    assert_eq!(beacons, 2 * 500);
    let told = rounds.iter().flat_map(|round| &round.introductions);
    let mut heard = std::collections::HashMap::<SocketAddr, usize>::new();
    for (to, introduction) in told {
        assert!(introduction.peers.len() == MAX_PEERS && !introduction.peers.contains(to));
        for peer in &introduction.peers {
            *heard.entry(*peer).or_default() += 1;
        }
    }
    assert!(heard.len() == 500 && heard.values().all(|count| *count == MAX_PEERS));
}

/// Guards against a sum that is too large for a datagram, so that no host gets it.
#[test]
fn sum_in_parts() {
    let name = |n: u32| Upstream::new(&format!("i-{n}")).unwrap();
    let most = Load {
        reading: u16::MAX,
        waiting: u16::MAX,
        streams: 3,
        short: u16::MAX,
        memory: u16::MAX,
    };
    let whole = Sum {
        hosts: 3_000,
        is_whole: true,
        loads: (0..10_000).map(|n| (Key::of(&name(n)), most)).collect(),
    };
    let parts = whole.parts();
    let sizes = parts
        .iter()
        .map(|part| postcard::to_stdvec(part).unwrap().len());
    assert!(sizes.max().unwrap() < 60_000);
    let mut table = Table::default();
    table.receive_sum(START, host(1), parts[1].clone(), &[]);
    for part in parts {
        table.receive_sum(START, host(1), part, &[]);
    }
    let known = (0..10_000).filter(|n| table.total(START, &name(*n)).streams == 3);
    assert!(known.count() > 9_990, "but for names with the same key");
    let empty = Sum::default();
    assert_eq!(empty.parts(), [empty]);
}

/// Guards against hosts without information when all relays are replaced: hosts report to
/// each other until they find the new relays.
#[test]
fn direct_without_relays() {
    let mut relays = Relays::default();
    assert!(relays.direct_peers(START).is_empty());
    let told = Introduction {
        domain: domain("there"),
        peers: vec![host(7), host(8)],
    };
    relays.receive_introduction(START, host(1), &domain("here"), &told);
    assert!(
        relays
            .direct_peers(START + Duration::from_millis(100))
            .is_empty()
    );
    let alone = START + Duration::from_millis(200);
    let mut peers = relays.direct_peers(alone);
    peers.sort_unstable();
    assert_eq!(peers, [host(7), host(8)]);
    relays.receive(alone, host(2), 3);
    assert!(relays.direct_peers(alone).is_empty());
}

/// Of two relays' sums, the one of far more hosts is used. Direct reports count only once
/// no relay answers.
#[test]
fn best_source() {
    let mut table = Table::default();
    let sum = |hosts, streams| Sum {
        hosts,
        is_whole: true,
        loads: loads(&[(1, streams)]),
    };
    let known = |table: &Table, at| table.total(at, &engine(1)).streams;
    table.receive_sum(START, host(1), sum(5, 9), &[]);
    table.receive_sum(START + Duration::from_millis(20), host(2), sum(2, 3), &[]);
    assert_eq!((known(&table, START), table.other_hosts(START)), (9, 4));
    table.receive_report(START, 77, loads(&[(1, 5)]));
    assert_eq!(known(&table, START), 9);
    let later = START + Duration::from_millis(300);
    assert_eq!((known(&table, later), table.other_hosts(later)), (5, 1));
    assert_eq!(known(&table, START + Duration::from_secs(2)), 0);
}

/// Of two relays with about the same hosts, the last sum is used. The other relay is
/// listened to seldom, and has heard of one more host meanwhile.
#[test]
fn last_sum_used() {
    let mut table = Table::default();
    let sum = |hosts, streams| Sum {
        hosts,
        is_whole: true,
        loads: loads(&[(1, streams)]),
    };
    table.receive_sum(START, host(1), sum(101, 9), &[]);
    table.receive_sum(START + Duration::from_millis(20), host(2), sum(100, 3), &[]);
    let now = START + Duration::from_millis(20);
    assert_eq!(table.total(now, &engine(1)).streams, 3);
}

/// Guards against loads that a relay no longer repeats: it repeats each within 2.5 s unless
/// a datagram is lost.
#[test]
fn unrepeated_loads_end() {
    let mut table = Table::default();
    let sum = |streams: &[(u8, u16)]| Sum {
        hosts: 5,
        is_whole: false,
        loads: loads(streams),
    };
    table.receive_sum(START, host(1), sum(&[(1, 4), (2, 4)]), &[]);
    let later = START + Duration::from_millis(4_100);
    table.receive_sum(later, host(1), sum(&[(2, 4)]), &[]);
    let known = |n| table.total(later, &engine(n)).streams;
    assert_eq!((known(1), known(2)), (0, 4));
}
