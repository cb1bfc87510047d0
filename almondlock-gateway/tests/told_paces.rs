//! Pooling of hosts' observations of upstreams at a relay.

mod fleet;

use std::{net::SocketAddr, time::Duration};

use almondlock_base::time::Mono;
use almondlock_gateway::exchange::{MAX_PACES, Message, Observation, Pace, Paces};
use almondlock_policy::outlier::Summary;
use almondlock_state::instance::Birth;
use fleet::{address, key, lie};
use yare::parameterized;

const START: Mono = Mono::from_millis(10_000);

fn after(millis: u64) -> Mono {
    START + Duration::from_millis(millis)
}

fn pace(upstream: usize, failures: u8) -> Pace {
    Pace {
        answers: 3,
        failures,
        witnessed: failures.min(1),
        samples: 4,
        slowness: 64,
        ..lie(upstream)
    }
}

fn report(number: u32, follows: bool, paces: Vec<Pace>) -> Observation {
    Observation {
        host: 1,
        number,
        follows,
        paces,
    }
}

/// Returns the pooled number of failures of upstream 0.
fn failures(paces: &mut Paces, now: Mono) -> Option<u8> {
    let (_, told) = paces.take_updates(now)?;
    told.iter()
        .find(|pace| pace.key == key(0))
        .map(|p| p.failures)
}

/// Guards against failures that count although only one host reports them.
#[parameterized(
    one = { &[200], 0 },
    two = { &[2, 2], 4 },
    one_of_many = { &[0, 0, 200, 0], 0 },
    beside_an_honest_one = { &[0, 1, 200, 0], 2 },
)]
fn pooled(hosts: &[u8], told: u8) {
    let mut paces = Paces::default();
    for (host, failures) in hosts.iter().enumerate() {
        paces.receive(
            START,
            address(host),
            report(1, true, vec![pace(0, *failures)]),
        );
    }
    assert_eq!(failures(&mut paces, START), Some(told));
}

/// Guards against reports that count although they are older than 3 s, or were replaced by
/// a later one of the same host.
#[test]
fn replaced_and_old() {
    let mut paces = Paces::default();
    for host in 0..3 {
        paces.receive(START, address(host), report(2, true, vec![pace(0, 2)]));
        paces.receive(after(1), address(host), report(1, true, vec![pace(0, 9)]));
    }
    assert_eq!(failures(&mut paces, after(10)), Some(6));
    paces.receive(after(300), address(0), report(3, true, Vec::new()));
    assert_eq!(failures(&mut paces, after(400)), Some(4));
    assert_eq!(failures(&mut paces, after(3_002)), None);
}

/// Guards against judging an upstream by observations of its process before a restart, and
/// against one host that claims another process.
#[test]
fn restarted_upstream() {
    let mut paces = Paces::default();
    let of = |birth, failures| Pace {
        birth: Birth(birth),
        ..pace(0, failures)
    };
    paces.receive(START, address(0), report(1, true, vec![of(1, 3)]));
    paces.receive(START, address(1), report(1, true, vec![of(2, 0)]));
    paces.receive(START, address(2), report(1, true, vec![of(2, 0)]));
    paces.receive(START, address(3), report(1, true, vec![of(9, 5)]));
    let (_, told) = paces.take_updates(START).unwrap();
    assert_eq!(told.len(), 1);
    assert_eq!((told[0].birth, told[0].failures), (Birth(2), 0));
}

/// Guards against sums sent to hosts that listen to another relay or don't ask for them.
#[test]
fn followers() {
    let mut paces = Paces::default();
    assert!(paces.take_updates(START).is_none());
    paces.receive(START, address(0), report(1, true, Vec::new()));
    paces.receive(START, address(1), report(1, false, Vec::new()));
    let (hosts, _) = paces.take_updates(START).unwrap();
    assert_eq!(hosts, [address(0)] as [SocketAddr; 1]);
    assert!(
        paces.take_updates(after(100)).is_none(),
        "not sooner than 200 ms"
    );
}

/// Guards against datagrams that are too large and links that are overloaded, with 31 hosts
/// and 880 upstreams, and with more upstreams than a datagram may have.
#[parameterized(
    large = { 31, 880 },
    largest = { 3, 12_000 },
)]
fn sizes(hosts: usize, upstreams: usize) {
    let mut paces = Paces::default();
    let paces_of = |birth| {
        (0..upstreams.min(MAX_PACES)).map(move |i| Pace {
            birth: Birth(birth),
            age_ms: 2_000,
            ..lie(i)
        })
    };
    // A birth is a time in milliseconds.
    let birth = 1_764_000_000_000;
    let one = report(1, true, paces_of(birth).collect());
    let size = postcard::to_stdvec(&Message::Observed(one.clone()))
        .unwrap()
        .len();
    for host in 0..hosts {
        paces.receive(START, address(host), one.clone());
    }
    let (_, told) = paces.take_updates(START).unwrap();
    let sum = postcard::to_stdvec(&Message::Paces(told)).unwrap().len();
    println!("report {size}, sum {sum} bytes");
    assert!(size < 60_000 && sum < 60_000);
    let mut soonest = (1..2_000).filter(|millis| paces.take_updates(after(*millis)).is_some());
    let pause = soonest.next().unwrap();
    assert!(
        sum as u64 * 1_000 / pause < 60_000,
        "bytes a second to each host"
    );
}

/// Guards against large rounding errors in messages.
#[test]
fn rounded() {
    for slowness in [0.5, 1.0, 1.3, 7.0, 30.0] {
        let account = Summary {
            hosts: 3,
            answers: 300,
            failures: 2,
            capped_failures: 2,
            time_weight: 9,
            slowness,
            newest: START,
        };
        let told = Pace::of(after(5), key(1), Birth(1), &account).account(after(9));
        assert!((told.slowness / slowness - 1.0).abs() < 0.03, "{told:?}");
        assert_eq!((told.answers, told.failures, told.hosts), (255, 2, 3));
        assert_eq!(told.newest, after(4));
    }
}
