//! A task of the gateway panics, or the handling of one request. The host says that it isn't
//! ready, requests in progress end, and none waits for what doesn't come.

mod fake;
mod versions;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use almondlock_task::{End, Failure};
use fake::{Step, answer, end, event, serve, stream_head};
use versions::{Gateway, document};
use yare::parameterized;

/// Time within which the end of a task must be known.
const NOTICE: Duration = Duration::from_secs(2);
/// How long the upstream takes for an answer, in milliseconds.
const WORK: u64 = 600;

/// Starts a gateway in front of an upstream that takes a while for answers to `/slow/` and
/// `/events/`.
fn start() -> Gateway {
    let (upstream, _) = serve(|head| match head.split(' ').nth(1) {
        Some("/slow/") => vec![Step::Pause(WORK), answer("200 OK", "slow")],
        Some("/events/") => vec![stream_head(), event(1), Step::Pause(WORK), event(2), end()],
        _ => vec![answer("200 OK", "hi")],
    });
    let routes = ["s s", "r slow s 0", "r quick s 0", "r events s stream"];
    let first = document(1, &routes);
    let nobody = SocketAddr::from(([127, 0, 0, 1], 9));
    Gateway::start_with_relays(upstream, first, vec![nobody])
}

/// Sends a request and returns the response and how long it took.
fn ask(address: SocketAddr, target: &str) -> (String, Duration) {
    ask_with(address, target, "")
}

fn ask_with(address: SocketAddr, target: &str, body: &str) -> (String, Duration) {
    let begin = Instant::now();
    let mut stream = TcpStream::connect(address).unwrap();
    let length = body.len();
    let request = format!(
        "{target} HTTP/1.1\r\nhost: h\r\nx-id: r-1\r\nx-deadline: 5000\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    (response, begin.elapsed())
}

fn status(response: &str) -> u16 {
    let status = response.split(' ').nth(1);
    status.and_then(|status| status.parse().ok()).unwrap_or(0)
}

fn is_ready(gateway: &Gateway) -> bool {
    status(&ask(gateway.ready, "GET /readyz").0) == 200
}

fn wait_until<F>(what: &str, mut is_done: F)
where
    F: FnMut() -> bool,
{
    let begin = Instant::now();
    while !is_done() {
        assert!(begin.elapsed() < NOTICE, "{what}");
        sleep(Duration::from_millis(10));
    }
}

/// Guards against a task that ends alone and leaves a host that looks well.
#[parameterized(
    lease_releases = { "lease-releases" },
    versions = { "versions" },
    sweep = { "sweep" },
    suspension_watch = { "suspension-watch" },
    host_exchange = { "host-exchange" },
    inner_listener = { "inner-listener" },
)]
fn not_ready(task: &'static str) {
    let gateway = start();
    wait_until("not ready at first", || is_ready(&gateway));
    let address = gateway.address;
    let slow = thread::spawn(move || ask(address, "POST /slow/").0);
    sleep(Duration::from_millis(100));
    gateway.owner.inject_panic(task);
    wait_until("still ready", || !is_ready(&gateway));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    let failure = runtime.block_on(gateway.owner.failed());
    let end = End::Panicked;
    assert_eq!(failure, Failure { task, end });
    let ending = thread::scope(|scope| {
        let ending = scope.spawn(|| gateway.abandon());
        sleep(Duration::from_millis(100));
        let (refused, took) = ask(address, "POST /quick/");
        assert_eq!(status(&refused), 503, "{refused}");
        assert!(refused.contains("retry-after: "), "{refused}");
        assert!(took < Duration::from_millis(300), "{took:?}");
        ending.join().unwrap()
    });
    let slow = slow.join().unwrap();
    assert_eq!(status(&slow), 200, "cut off: {slow}");
    assert!(ending < Duration::from_secs(3), "{ending:?}");
}

/// Guards against a request whose handling panics and whose caller waits until its deadline,
/// and against a host that such a request ends.
#[test]
fn panicking_request() {
    let gateway = start();
    wait_until("not ready", || is_ready(&gateway));
    let address = gateway.address;
    let slow = thread::spawn(move || ask(address, "POST /slow/"));
    sleep(Duration::from_millis(100));
    gateway.owner.inject_panic("request");
    let (response, took) = slow.join().unwrap();
    assert_eq!(status(&response), 502, "{response}");
    assert!(response.contains("x-almondlock-code: 3011"), "{response}");
    assert!(took < Duration::from_millis(WORK), "{took:?}");
    assert_eq!(status(&ask(address, "POST /quick/").0), 200);
    assert!(gateway.owner.is_sound() && is_ready(&gateway));
}

/// Guards against memory for bodies that a panicking request never gives back.
#[test]
fn panicking_body() {
    let gateway = start();
    wait_until("not ready", || is_ready(&gateway));
    let address = gateway.address;
    // There is memory for one body of the largest size.
    let body = "x".repeat(versions::LIMITS.body);
    for _ in 0..3 {
        let slow = thread::scope(|scope| {
            let slow = scope.spawn(|| ask_with(address, "POST /slow/", &body));
            sleep(Duration::from_millis(300));
            gateway.owner.inject_panic("request");
            slow.join().unwrap()
        });
        assert_eq!(status(&slow.0), 502, "{}", slow.0);
    }
    let (response, _) = ask_with(address, "POST /quick/", &body);
    assert_eq!(status(&response), 200, "{response}");
}

/// Guards against a stream whose handling panics and that its caller waits for, or takes for
/// complete.
#[test]
fn panicking_stream() {
    let gateway = start();
    wait_until("not ready", || is_ready(&gateway));
    let address = gateway.address;
    let events = thread::spawn(move || ask(address, "POST /events/"));
    sleep(Duration::from_millis(200));
    gateway.owner.inject_panic("stream");
    let (response, took) = events.join().unwrap();
    assert!(response.contains("id: 1"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    assert!(took < Duration::from_millis(WORK), "{took:?}");
    assert_eq!(status(&ask(address, "POST /quick/").0), 200);
    assert!(gateway.owner.is_sound());
}
