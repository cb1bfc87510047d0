//! Entry hosts that no longer hear of each other pack their work onto the same
//! engines within a second. Relays stop with the control replicas beside them,
//! one after the other or all at once; a host's own part must never be counted
//! to it twice.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_gateway::{
    exchange::{Digest, Gather, Relays, Sum},
    load::{Table, Total},
};

const START: Mono = Mono::from_millis(10_000);

fn host(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 9))
}

fn engine(n: u8) -> Upstream {
    Upstream::new(&format!("i-{n}")).unwrap()
}

fn total(streams: u32) -> Total {
    Total {
        reading: 0.3 * streams as f32,
        streams,
        memory: u64::from(streams) * 100,
        ..Total::default()
    }
}

fn digest(host: u64, totals: &[(u8, u32)]) -> Digest {
    let totals = totals
        .iter()
        .map(|(n, streams)| (engine(*n), total(*streams)));
    Digest {
        host,
        listens: true,
        totals: totals.collect(),
    }
}

fn sum_for(sums: &[(SocketAddr, Sum)], to: SocketAddr) -> &Sum {
    &sums.iter().find(|(other, _)| *other == to).unwrap().1
}

/// Each host gets the sum of all others, and nothing for engines that only it
/// uses itself.
#[test]
fn sum_of_others() {
    let mut gather = Gather::default();
    gather.tell(START, host(1), digest(1, &[(1, 2), (2, 7)]));
    gather.tell(START, host(2), digest(2, &[(1, 3)]));
    gather.tell(START, host(3), digest(3, &[(1, 4)]));
    let sums = gather.take(START);
    let sum = sum_for(&sums, host(1));
    assert_eq!((sum.hosts, sum.totals.len()), (2, 1));
    let (name, told) = &sum.totals[0];
    assert_eq!((name, told.streams, told.memory), (&engine(1), 7, 700));
    assert!((told.reading - 2.1).abs() < 0.01);
    assert_eq!(sum_for(&sums, host(2)).totals.len(), 2);
}

/// A host that stopped, or doesn't listen to this relay, gets nothing; what it
/// told counts until it has been silent for a second.
#[test]
fn silent_host() {
    let mut gather = Gather::default();
    gather.tell(START, host(1), digest(1, &[(1, 2)]));
    let deaf = Digest {
        listens: false,
        ..digest(2, &[(1, 3)])
    };
    gather.tell(START, host(2), deaf);
    let later = START + Duration::from_millis(900);
    gather.tell(later, host(1), digest(1, &[]));
    let sums = gather.take(later);
    assert_eq!(sums.len(), 1);
    assert_eq!(sum_for(&sums, host(1)).totals[0].1.streams, 3);
    let sums = gather.take(later + Duration::from_millis(200));
    assert!(sum_for(&sums, host(1)).totals.is_empty());
    assert!(gather.take(later + Duration::from_secs(2)).is_empty());
}

/// One of two relays falls silent: another takes its place.
#[test]
fn silent_relay() {
    let all = [host(1), host(2), host(3)];
    let mut relays = Relays::default();
    let first = relays.listen(START, &all, 7);
    assert_eq!(first.len(), 2);
    let later = START + Duration::from_millis(200);
    relays.hear(later, first[0], &[]);
    let next = relays.listen(later, &all, 7);
    assert!(next.contains(&first[0]) && !next.contains(&first[1]));
    assert_eq!(next.len(), 2);
    // Its host comes back with another address, which the others tell.
    let moved = [first[0], host(9)];
    assert_eq!(relays.listen(later, &moved, 7), moved);
}

/// A new group of relays is found while all of the old ones are gone, and hosts
/// tell each other until then.
#[test]
fn direct_without_relays() {
    let mut relays = Relays::default();
    assert!(relays.alone(START).is_empty());
    relays.hear(START, host(1), &[host(7), host(8)]);
    assert!(relays.alone(START + Duration::from_millis(100)).is_empty());
    let alone = START + Duration::from_millis(200);
    let mut peers = relays.alone(alone);
    peers.sort_unstable();
    assert_eq!(peers, [host(7), host(8)]);
    relays.hear(alone, host(2), &[]);
    assert!(relays.alone(alone).is_empty());
}

/// Of two relays the one that hears more hosts counts; what hosts tell directly
/// counts only once no relay answers.
#[test]
fn best_source() {
    let mut table = Table::default();
    let totals = |streams| HashMap::from([(engine(1), total(streams))]);
    let known = |table: &Table, at| table.total(at, &engine(1)).streams;
    table.hear(START, host(1), 4, totals(9));
    table.hear(START + Duration::from_millis(20), host(2), 1, totals(3));
    assert_eq!((known(&table, START), table.hosts(START)), (9, 4));
    table.tell(START, 77, totals(5));
    assert_eq!(known(&table, START), 9);
    let later = START + Duration::from_millis(300);
    assert_eq!((known(&table, later), table.hosts(later)), (5, 1));
    assert_eq!(known(&table, START + Duration::from_secs(2)), 0);
}
