//! Upstreams that have just started can take few requests from all hosts together.

mod fake;
mod gateway;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use fake::{Step, serve};
use gateway::{
    ask, dialect::COLD_RATE, start_evacuating, start_relay, start_with_cold_upstreams, status,
};

/// How long callers send requests.
const LENGTH: Duration = Duration::from_secs(5);
/// Maximum number of requests per second at a cold upstream: half as many again as it can
/// take, and five.
const ALLOWED: usize = (COLD_RATE * 1.5) as usize + 5;

type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts an upstream that records its requests.
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

/// Returns the largest number of requests that arrived within a second.
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

/// Starts the callers of one host, which send one request after another with a pause
/// between. Returns the statuses of their answers.
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

/// Calls all hosts for a while and returns the statuses of all answers.
fn all(hosts: &[SocketAddr]) -> Vec<u16> {
    let until = Instant::now() + LENGTH;
    let callers: Vec<_> = hosts.iter().map(|host| callers(*host, until)).collect();
    callers
        .into_iter()
        .flat_map(|answers| answers.join().unwrap())
        .collect()
}

/// Guards against overload of a failure domain that comes back cold. It looks idle to every
/// host, so each host would send it all that it can take from all hosts together.
#[test]
fn cold_domain() {
    let upstreams: Vec<(SocketAddr, Arrivals)> = (0..4).map(|_| upstream()).collect();
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|(address, _)| *address).collect();
    let relays = [start_relay(), start_relay()];
    let start = |_| start_with_cold_upstreams(&addresses, Some(relays), 2);
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

/// Guards against hosts that know no relay and each send a cold upstream all that it can
/// take from all hosts together.
#[test]
fn without_relay() {
    let upstreams: Vec<(SocketAddr, Arrivals)> = (0..2).map(|_| upstream()).collect();
    let addresses: Vec<SocketAddr> = upstreams.iter().map(|(address, _)| *address).collect();
    let start = |_| start_with_cold_upstreams(&addresses, None, 1);
    let hosts: Vec<SocketAddr> = (0..3).map(start).collect();
    let answers = all(&hosts);
    assert_eq!(count(&upstreams[0].1), 0);
    assert!(answers.iter().all(|status| *status == 200), "{answers:?}");
}

/// Guards against requests to upstreams in an evacuated failure domain.
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
