//! Versions are published while requests are served. Parsing a version takes longer than a
//! request may wait, so the version in force serves requests meanwhile.

mod fake;
mod versions;

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

use versions::{Gateway, document};

/// Maximum duration of a request while a version is parsed. Slices take 20 ms, and the
/// machine that runs the tests may be busy.
const QUICK: Duration = Duration::from_millis(250);

/// Starts a gateway whose first version has these pieces.
fn start(first: &[&str]) -> Gateway {
    let (upstream, _) = fake::serve(|_| vec![fake::answer("200 OK", "hi")]);
    Gateway::start(upstream, document(1, first))
}

/// Sends a request and returns its status and duration.
fn ask(gateway: &Gateway, path: &str, key: &str) -> (u16, Duration) {
    let begin = Instant::now();
    let mut stream = TcpStream::connect(gateway.address).unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nx-id: r-1\r\nx-key: {key}\r\nx-deadline: 5000\r\n\
         content-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    let status = response.split(' ').nth(1);
    let status = status.and_then(|status| status.parse().ok());
    (status.unwrap_or(0), begin.elapsed())
}

/// Repeats a request until it has this status, and returns how long that took.
fn until(gateway: &Gateway, (path, key): (&str, &str), status: u16) -> Duration {
    let begin = Instant::now();
    while ask(gateway, path, key).0 != status {
        assert!(begin.elapsed() < Duration::from_secs(8), "{path} {key}");
        std::thread::sleep(Duration::from_millis(5));
    }
    begin.elapsed()
}

/// Returns routes that take 2 ms each to parse.
fn slow(count: usize, name: &str) -> Vec<String> {
    (0..count).map(|n| format!("r {name}-{n} s 2")).collect()
}

/// Joins the pieces of a version.
fn with<'a>(first: &[&'a str], slow: &'a [String], last: &[&'a str]) -> Vec<&'a str> {
    let slow = slow.iter().map(String::as_str);
    first
        .iter()
        .copied()
        .chain(slow)
        .chain(last.iter().copied())
        .collect()
}

/// Guards against requests that wait until a version is parsed.
#[test]
fn served_meanwhile() {
    let gateway = start(&["s s", "r old s 0"]);
    assert_eq!(ask(&gateway, "/old/", "").0, 200);
    let many = slow(400, "slow");
    gateway.publish(document(2, &with(&["s s"], &many, &["r old s 0"])));
    let begin = Instant::now();
    let mut served = 0;
    while ask(&gateway, "/slow-399/", "").0 != 200 {
        let (status, took) = ask(&gateway, "/old/", "");
        assert_eq!(status, 200);
        assert!(took < QUICK, "{took:?}");
        served += 1;
        assert!(begin.elapsed() < Duration::from_secs(8), "not in force");
    }
    assert!(served >= 10, "{served} while a version was read");
    assert_eq!(gateway.dialect.times("r old s 0"), 1, "it was kept");
}

/// Guards against parsing that stalls while requests keep arriving: the version must be in
/// force within 2,500 ms.
#[test]
fn read_under_load() {
    let gateway = start(&["s s", "r old s 0"]);
    let many = slow(200, "slow");
    gateway.publish(document(2, &with(&["s s"], &many, &["r old s 0"])));
    let took = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..6)
            .map(|_| scope.spawn(|| until(&gateway, ("/slow-0/", ""), 200)))
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .max()
    });
    assert!(took.unwrap() < Duration::from_millis(2_500), "{took:?}");
}

/// Guards against parsing versions that a newer one has replaced.
#[test]
fn newest_only() {
    let gateway = start(&["s s", "r old s 0"]);
    assert_eq!(ask(&gateway, "/old/", "").0, 200);
    let many = slow(200, "slow");
    gateway.publish(document(2, &with(&["s s"], &many, &["r old s 0"])));
    // Waits until the second version is being parsed.
    while gateway.dialect.times("r slow-0 s 2") == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    for (version, route) in [(3, "r three s 0"), (4, "r four s 0"), (5, "r five s 0")] {
        gateway.publish(document(version, &["s s", "r old s 0", route]));
    }
    until(&gateway, ("/five/", ""), 200);
    assert_eq!(gateway.dialect.times("r three s 0"), 0);
    assert_eq!(gateway.dialect.times("r four s 0"), 0);
    assert_eq!(ask(&gateway, "/slow-0/", "").0, 404, "a route that is gone");
}

/// Guards against a series of versions of which none comes into force, since each one
/// replaces the version that is still being parsed.
#[test]
fn quick_series() {
    let gateway = start(&["s s", "r old s 0"]);
    assert_eq!(ask(&gateway, "/old/", "").0, 200);
    let begin = Instant::now();
    let mut in_force = 0;
    for version in 2..=12 {
        let many = slow(100, &format!("slow-{version}"));
        let route = format!("r in-{version} s 0");
        let pieces = with(&["s s"], &many, &["r old s 0", &route]);
        gateway.publish(document(version, &pieces));
        while begin.elapsed() < Duration::from_millis(100 * (version - 1)) {
            let (status, took) = ask(&gateway, "/old/", "");
            assert!(status == 200 && took < QUICK, "{status} {took:?}");
            for earlier in in_force + 1..=version {
                if ask(&gateway, &format!("/in-{earlier}/"), "").0 == 200 {
                    in_force = earlier;
                }
            }
        }
    }
    assert!(in_force >= 2, "none in force during the series");
    until(&gateway, ("/in-12/", ""), 200);
}

/// Guards against a key that is still accepted after a version was seen that lacks the key
/// or gives it to another organisation.
#[test]
fn revoked_first() {
    let keys = ["k one key-1", "k two key-2", "k three key-3"];
    let gateway = start(&with(&["s s", "r old s 0"], &[], &keys));
    for key in ["key-1", "key-2", "key-3"] {
        assert_eq!(ask(&gateway, "/old/", key).0, 200);
    }
    let many = slow(400, "slow");
    let routes = with(&["s s", "r old s 0"], &many, &[]);
    let keys = ["k other key-2", "k three key-3"];
    gateway.publish(document(2, &with(&routes, &[], &keys)));
    let refused = ask(&gateway, "/old/", "key-1").0;
    let given_on = ask(&gateway, "/old/", "key-2").0;
    assert_eq!(ask(&gateway, "/old/", "key-3").0, 200);
    assert_ne!(ask(&gateway, "/slow-399/", "key-3").0, 200, "already read");
    // The key that now belongs to another organisation is accepted once the version is in
    // force.
    assert_eq!((refused, given_on), (401, 503));
    until(&gateway, ("/slow-399/", "key-3"), 200);
    assert_eq!(ask(&gateway, "/old/", "key-1").0, 401);
    assert_eq!(ask(&gateway, "/old/", "key-2").0, 200);
}

/// Guards against a final refusal, 404 or 401, for a route or key in a version that is
/// still being parsed: another host may serve it already.
#[test]
fn not_in_force_yet() {
    let gateway = start(&["s s", "r old s 0", "k one key-1"]);
    assert_eq!(ask(&gateway, "/old/", "key-1").0, 200);
    assert_eq!(ask(&gateway, "/new/", "key-1").0, 404);
    let many = slow(400, "slow");
    let pieces = with(
        &["s s", "r old s 0"],
        &many,
        &["r new s 0", "k one key-1", "k two key-2"],
    );
    gateway.publish(document(2, &pieces));
    assert_eq!(ask(&gateway, "/new/", "key-1").0, 503, "a route");
    assert_eq!(ask(&gateway, "/old/", "key-2").0, 503, "a key");
    assert_eq!(ask(&gateway, "/old/", "key-3").0, 401, "no key of either");
    until(&gateway, ("/new/", "key-2"), 200);
    assert_eq!(ask(&gateway, "/other/", "key-2").0, 404);
}

/// Guards against a host that loses its configuration after it saw one that it can't parse.
/// The keys that the unreadable version lacks are revoked all the same.
#[test]
fn unreadable_stays_out() {
    let gateway = start(&["s s", "r old s 0", "k one key-1", "k two key-2"]);
    assert_eq!(ask(&gateway, "/old/", "key-1").0, 200);
    gateway.publish(document(2, &["s s", "r old s", "k two key-2"]));
    until(&gateway, ("/old/", "key-1"), 401);
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(ask(&gateway, "/old/", "key-2").0, 200);
    assert_eq!(ask(&gateway, "/old/", "key-1").0, 401);
    gateway.publish(document(3, &["s s", "r new s 0", "k one key-1"]));
    until(&gateway, ("/new/", "key-1"), 200);
    assert_eq!(ask(&gateway, "/old/", "key-1").0, 404);
}

/// Guards against a revoked key that is accepted again because the next version's keys
/// can't be parsed. Neither version comes into force here.
#[test]
fn unreadable_keys() {
    let gateway = start(&["s s", "r old s 0", "k one key-1", "k two key-2"]);
    assert_eq!(ask(&gateway, "/old/", "key-1").0, 200);
    gateway.publish(document(2, &["s s", "r old s", "k two key-2"]));
    until(&gateway, ("/old/", "key-1"), 401);
    for version in 3..6 {
        gateway.publish(document(version, &["s s", "r old s", "k two"]));
        assert_eq!(ask(&gateway, "/old/", "key-1").0, 401, "{version}");
        assert_eq!(ask(&gateway, "/old/", "key-2").0, 200, "{version}");
        std::thread::sleep(Duration::from_millis(50));
        assert_eq!(ask(&gateway, "/old/", "key-1").0, 401, "{version}");
    }
    gateway.publish(document(6, &["s s", "r new s 0", "k one key-1"]));
    until(&gateway, ("/new/", "key-1"), 200);
}

/// Guards against a stop that waits for a version to be parsed, or that puts half of one
/// into force.
#[test]
fn stopped_midway() {
    let gateway = start(&["s s", "r old s 0", "k one key-1", "k two key-2"]);
    assert_eq!(ask(&gateway, "/old/", "key-1").0, 200);
    let many = slow(1_000, "slow");
    gateway.publish(document(
        2,
        &with(&["s s"], &many, &["r old s 0", "k two key-2"]),
    ));
    assert_eq!(ask(&gateway, "/old/", "key-1").0, 401);
    assert_eq!(ask(&gateway, "/old/", "key-2").0, 200);
    let took = gateway.stop();
    assert!(took < Duration::from_millis(1_000), "{took:?}");
    let read = gateway.dialect.read.lock().unwrap().len();
    assert!(read < many.len(), "it was read to the end");
}
