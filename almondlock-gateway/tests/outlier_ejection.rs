//! Ejection of upstreams by hosts that observe them and exchange their observations through
//! relays.

mod fake;
mod gateway;

use std::{
    net::{SocketAddr, UdpSocket},
    sync::mpsc::Receiver,
    thread::sleep,
    time::{Duration, Instant},
};

use fake::{Step, answer, serve};
use gateway::{ask, start_observing_pace, start_relay, status};
use yare::parameterized;

const PAUSE: Duration = Duration::from_millis(20);

/// Starts an upstream with one response to all requests.
fn upstream(step: Step) -> (SocketAddr, Receiver<String>) {
    serve(move |_| vec![step.clone()])
}

fn well() -> Step {
    answer("200 OK", "ok")
}

fn error() -> Step {
    answer("500 X", "no")
}

/// A refusal that doesn't state whether the request ran.
fn refusal() -> Step {
    Step::Write("HTTP/1.1 503 X\r\nx-id: ID\r\ncontent-length: 0\r\n\r\n".into())
}

/// A refusal that states that the request has not run.
fn not_run() -> Step {
    Step::Write("HTTP/1.1 503 X\r\nx-id: ID\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n".into())
}

/// Starts a failing upstream and five healthy ones. Returns the requests that reach the
/// failing one.
fn upstreams(failing: Step) -> (Vec<SocketAddr>, Receiver<String>) {
    let (first, heads) = upstream(failing);
    let others = [0; 5].map(|_| upstream(well()).0);
    let all = [&[first][..], &others].concat();
    (all, heads)
}

fn ask_often(gateway: SocketAddr, path: &str, times: usize) -> Vec<u16> {
    let responses = (0..times).map(|_| {
        sleep(PAUSE);
        status(&ask(gateway, path).0)
    });
    responses.collect()
}

/// Guards against requests that are still sent to an upstream that fails all of them, since
/// it is enrolled and its health check passes.
#[parameterized(
    with_500 = { error(), false },
    with_503 = { refusal(), true },
    with_503_not_run = { not_run(), false },
)]
fn failing_upstream(step: Step, is_passed_over: bool) {
    let reached = [false, true].map(|judges| {
        let (upstreams, heads) = upstreams(step.clone());
        let gateway = start_observing_pace(&upstreams, None, judges);
        ask_often(gateway, "/safe/", 60);
        heads.try_iter().count();
        ask_often(gateway, "/safe/", 60);
        heads.try_iter().count()
    });
    println!("reached {reached:?}");
    // There is a probe every two seconds on average, and the requests took about two
    // seconds.
    assert!(reached[1] <= 6, "{reached:?}");
    // Without ejection, an upstream that is passed over for longer than that may get no
    // request.
    match is_passed_over {
        true => assert!(reached[0] <= 6, "{reached:?}"),
        false => assert!(reached[1] <= reached[0], "{reached:?}"),
    }
}

/// Guards against requests that may run only once and are sent to an ejected upstream.
#[test]
fn once_elsewhere() {
    let (upstreams, heads) = upstreams(error());
    let gateway = start_observing_pace(&upstreams, None, true);
    ask_often(gateway, "/safe/", 60);
    heads.try_iter().count();
    let statuses = ask_often(gateway, "/unsafe/", 40);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!(heads.try_iter().count(), 0);
}

/// Guards against a probe with a request whose route allows only one attempt: a failure
/// would reach the caller. A probe is sent every 2 s on average; without one for 10 s, the
/// upstream is reinstated.
#[test]
fn single_attempt() {
    let (upstreams, heads) = upstreams(error());
    let gateway = start_observing_pace(&upstreams, None, true);
    let begun = Instant::now();
    ask_often(gateway, "/safe/", 60);
    heads.try_iter().count();
    while begun.elapsed() < Duration::from_secs(9) {
        assert_eq!(ask_often(gateway, "/single/", 1), [200]);
    }
    assert_eq!(heads.try_iter().count(), 0);
}

/// Guards against requests that are still sent to an upstream that answers seven times
/// later than the others of its service.
#[test]
fn slow_upstream() {
    let reached = [false, true].map(|judges| {
        let late = |millis| {
            let step = answer("200 OK", "ok");
            serve(move |_| vec![Step::Pause(millis), step.clone()])
        };
        let (first, heads) = late(210);
        let others = [0; 5].map(|_| late(30).0);
        let gateway = start_observing_pace(&[&[first][..], &others].concat(), None, judges);
        ask_often(gateway, "/safe/", 80);
        heads.try_iter().count();
        ask_often(gateway, "/safe/", 120);
        heads.try_iter().count()
    });
    println!("reached {reached:?}");
    assert!(reached[1] * 2 <= reached[0], "{reached:?}");
}

/// Guards against hosts that learn of a failing upstream only by their own requests.
#[test]
fn learned_from_others() {
    let relays = [start_relay(), start_relay()];
    let (upstreams, heads) = upstreams(error());
    let start = || start_observing_pace(&upstreams, Some(relays), true);
    let hosts = [start(), start(), start()];
    sleep(Duration::from_millis(500));
    // Upstreams are drawn at random: sends requests until each of two hosts has reached the
    // failing one, and then the others to compare it with.
    for host in [hosts[0], hosts[1]] {
        while !ask_often(host, "/unsafe/", 1).contains(&500) {}
    }
    for _ in 0..15 {
        ask_often(hosts[0], "/unsafe/", 1);
        ask_often(hosts[1], "/unsafe/", 1);
    }
    sleep(Duration::from_millis(600));
    heads.try_iter().count();
    let statuses = ask_often(hosts[2], "/unsafe/", 30);
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    assert_eq!(heads.try_iter().count(), 0);
}

/// Guards against messages from hosts whose settings don't ask for them, and against
/// messages missing from hosts whose settings do.
#[parameterized(
    off = { false },
    on = { true },
)]
fn on_the_wire(judges: bool) {
    use almondlock_gateway::exchange::Message;

    let relays = [0; 2].map(|_| UdpSocket::bind("127.0.0.1:0").unwrap());
    let addresses = [0, 1].map(|i| relays[i].local_addr().unwrap());
    let (upstreams, heads) = upstreams(error());
    let gateway = start_observing_pace(&upstreams, Some(addresses), judges);
    ask_often(gateway, "/safe/", 10);
    // Upstreams are drawn at random: sends requests until the failing one is reached.
    while heads.try_iter().count() == 0 {
        ask_often(gateway, "/safe/", 5);
    }
    let timeout = Some(Duration::from_millis(100));
    relays[0].set_read_timeout(timeout).unwrap();
    let (begun, mut buffer) = (Instant::now(), vec![0; 65_536]);
    let mut reports = Vec::new();
    while begun.elapsed() < Duration::from_secs(1) {
        let Ok(length) = relays[0].recv(&mut buffer) else {
            continue;
        };
        if let Message::Observed(report) = postcard::from_bytes(&buffer[..length]).unwrap() {
            reports.push(report);
        }
    }
    assert_eq!(!reports.is_empty(), judges);
    if judges {
        let paces = reports.iter().flat_map(|report| &report.paces);
        assert!(paces.clone().any(|pace| pace.failures > 0), "{reports:?}");
        assert!(paces.clone().any(|pace| pace.answers > 0));
    }
}
