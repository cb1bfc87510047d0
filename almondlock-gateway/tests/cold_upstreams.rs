//! Upstreams that have just started bear few requests of all hosts together.

mod fake;
mod gateway;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use fake::{Step, serve};
use gateway::{ask, dialect::COLD_RATE, start_beside_cold, start_evacuating, start_relay, status};

/// How long callers send.
const LENGTH: Duration = Duration::from_secs(5);
/// The most requests in one second at a cold upstream: half as many again, and five.
const ALLOWED: usize = (COLD_RATE * 1.5) as usize + 5;

type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// An upstream that counts what it gets.
fn upstream() -> (SocketAddr, Arrivals) {
    let arrivals = Arrivals::default();
    let seen = Arc::clone(&arrivals);
    let (address, _) = serve(move |_| {
        seen.lock().unwrap().push(Instant::now());
        let head = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n";
        vec![Step::Write(format!("{head}content-length: 2\r\n\r\nhi"))]
    });
    (address, arrivals)
}

/// The most requests that came within a second.
fn most(arrivals: &Arrivals) -> usize {
    let arrivals = arrivals.lock().unwrap();
    let from = |start: &Instant| {
        let end = *start + Duration::from_secs(1);
        let within = arrivals.iter().filter(|at| *at >= start && **at < end);
        within.count()
    };
    arrivals.iter().map(from).max().unwrap_or(0)
}

fn count(arrivals: &Arrivals) -> usize {
    arrivals.lock().unwrap().len()
}

/// Callers of one host, one request after the other with a pause between; gives the
/// statuses of their answers.
fn callers(host: SocketAddr, until: Instant) -> thread::JoinHandle<Vec<u16>> {
    thread::spawn(move || {
        let mut answers = Vec::new();
        while Instant::now() < until {
            answers.push(status(&ask(host, "/safe/").0));
            sleep(Duration::from_millis(20));
        }
        answers
    })
}

fn all(hosts: &[SocketAddr]) -> Vec<u16> {
    let until = Instant::now() + LENGTH;
    let callers: Vec<_> = hosts.iter().map(|host| callers(*host, until)).collect();
    callers
        .into_iter()
        .flat_map(|answers| answers.join().unwrap())
        .collect()
}

/// Guards against a failure domain that comes back cold and is idle to every host at once:
/// each sends it what it bears from all of them.
#[test]
fn cold_domain() {
    let upstreams: Vec<(SocketAddr, Arrivals)> = (0..4).map(|_| upstream()).collect();
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|(address, _)| *address).collect();
    let relays = [start_relay(), start_relay()];
    let start = |_| start_beside_cold(&addresses, Some(relays), 2);
    let hosts: Vec<SocketAddr> = (0..4).map(start).collect();
    let answers = all(&hosts);
    for (_, arrivals) in &upstreams[..2] {
        let most = most(arrivals);
        assert!(most <= ALLOWED, "{most} requests in a second");
        assert!(count(arrivals) > 0, "a cold upstream gets nothing");
    }
    let refused = answers.iter().filter(|status| **status != 200);
    assert_eq!(refused.count(), 0, "others had room");
}

/// Guards against hosts that know no relay and each send a cold upstream what it bears from
/// all of them.
#[test]
fn without_relay() {
    let upstreams: Vec<(SocketAddr, Arrivals)> = (0..2).map(|_| upstream()).collect();
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|(address, _)| *address).collect();
    let start = |_| start_beside_cold(&addresses, None, 1);
    let hosts: Vec<SocketAddr> = (0..3).map(start).collect();
    let answers = all(&hosts);
    assert_eq!(count(&upstreams[0].1), 0);
    assert!(answers.iter().all(|status| *status == 200), "{answers:?}");
}

/// Guards against requests that reach upstreams of a failure domain that is evacuated.
#[test]
fn evacuated_domain() {
    let upstreams: Vec<(SocketAddr, Arrivals)> = (0..3).map(|_| upstream()).collect();
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|(address, _)| *address).collect();
    let after = Duration::from_secs(2);
    let start = Instant::now();
    let host = start_evacuating(&addresses, after);
    let answers = all(&[host]);
    let bound = start + after + Duration::from_secs(1);
    let arrivals = upstreams[0].1.lock().unwrap();
    assert!(!arrivals.is_empty(), "nothing came before it");
    assert!(arrivals.iter().all(|at| *at < bound));
    assert!(answers.iter().all(|status| *status == 200), "{answers:?}");
}
