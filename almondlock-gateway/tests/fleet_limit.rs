//! An overloaded upstream names the requests per second that it accepts from all entry
//! hosts together. Each host alone knows only its own requests. Without a common count,
//! each host would send as much as the upstream allowed all of them, or as much as without
//! a limit.

mod fake;
mod gateway;

use std::{
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{self, JoinHandle, sleep},
    time::{Duration, Instant},
};

use fake::{Step, serve};
use gateway::{ask, start_relay, start_with_relays, status};

/// Time after a limit was first named from which it must be kept.
const CONTACT: Duration = Duration::from_secs(3);
/// Time span over which requests are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Objective of the requests. A refusal must arrive within it.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Time within which hosts apply another limit that an answer names.
const NOTICE: Duration = Duration::from_millis(500);

/// Returns the maximum number of requests in a span at a limit in thousandths per second:
/// half as many again, and five.
fn allowed(limit: u32) -> usize {
    let spans = limit as usize * SPAN.as_secs() as usize;
    spans * 3 / 2_000 + 5
}

/// An upstream that names a limit while it has one, and records its requests.
struct Upstream {
    address: SocketAddr,
    /// Limit in thousandths of requests per second. 0 if there is none.
    limit: Arc<AtomicU32>,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Upstream {
    fn start(limit: u32) -> Upstream {
        let limit = Arc::new(AtomicU32::new(limit));
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let (named, seen) = (Arc::clone(&limit), Arc::clone(&arrivals));
        let (address, _) = serve(move |_| {
            seen.lock().unwrap().push(Instant::now());
            let header = match named.load(Ordering::Relaxed) {
                0 => String::new(),
                limit => format!("x-limit: {}\r\n", f64::from(limit) / 1e3),
            };
            let head = format!("HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n{header}");
            vec![Step::Write(format!("{head}content-length: 2\r\n\r\nhi"))]
        });
        Upstream {
            address,
            limit,
            arrivals,
        }
    }

    fn name(&self, limit: u32) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the number of requests between two times.
    fn got(&self, from: Instant, to: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let came = arrivals.iter().filter(|at| **at >= from && **at < to);
        came.count()
    }

    /// Returns the largest number of requests in a span between two times.
    fn most(&self, from: Instant, to: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let within: Vec<&Instant> = arrivals.iter().filter(|at| **at >= from).collect();
        let starts = within.iter().filter(|at| ***at + SPAN <= to);
        let counts = starts.map(|start| {
            let span = within
                .iter()
                .filter(|at| *at >= start && **at < &(**start + SPAN));
            span.count()
        });
        counts.max().unwrap_or(0)
    }
}

/// A link from one host to a relay that can be cut.
struct Link {
    address: SocketAddr,
    is_open: Arc<AtomicBool>,
}

impl Link {
    fn to(relay: SocketAddr) -> Link {
        let near = UdpSocket::bind("127.0.0.1:0").unwrap();
        let far = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = near.local_addr().unwrap();
        let is_open = Arc::new(AtomicBool::new(true));
        let host: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let (out, back) = (far.try_clone().unwrap(), near.try_clone().unwrap());
        let (open, from) = (Arc::clone(&is_open), Arc::clone(&host));
        thread::spawn(move || {
            pass(&near, &open, |bytes, sender| {
                *from.lock().unwrap() = Some(sender);
                out.send_to(bytes, relay).ok();
            });
        });
        let open = Arc::clone(&is_open);
        thread::spawn(move || {
            pass(&far, &open, |bytes, _| {
                let host = *host.lock().unwrap();
                host.map(|host| back.send_to(bytes, host).ok());
            });
        });
        Link { address, is_open }
    }

    fn cut(&self) {
        self.is_open.store(false, Ordering::Relaxed);
    }
}

/// Passes datagrams to `act` while the link is open.
fn pass<F>(socket: &UdpSocket, is_open: &AtomicBool, mut act: F)
where
    F: FnMut(&[u8], SocketAddr),
{
    let mut buffer = vec![0; 65_536];
    loop {
        // An error means that a datagram was not received by anybody.
        let Ok((length, sender)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if is_open.load(Ordering::Relaxed) {
            act(&buffer[..length], sender);
        }
    }
}

/// An answer as the caller received it.
struct Answer {
    text: String,
    took: Duration,
}

impl Answer {
    /// Returns the seconds after which the caller should try again.
    fn returns(&self) -> f64 {
        let head = self.text.to_ascii_lowercase();
        let value = head.split("retry-after: ").nth(1);
        let value = value.and_then(|rest| rest.lines().next());
        value.and_then(|text| text.parse().ok()).unwrap_or(0.0)
    }
}

/// Starts the callers of one host, which send one request after another with a pause
/// between.
fn callers(host: SocketAddr, pause: Duration, until: Instant) -> JoinHandle<Vec<Answer>> {
    thread::spawn(move || {
        let mut answers = Vec::new();
        while Instant::now() < until {
            let asked = Instant::now();
            let (text, _) = ask(host, "/safe/");
            let took = asked.elapsed();
            answers.push(Answer { text, took });
            sleep(pause);
        }
        answers
    })
}

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

/// Guards against hosts that each apply a limit separately, or that lose it when a host is
/// cut off, joins or starts again, or when the limit changes or ends.
#[test]
fn limit_over_changes() {
    let upstreams = [2_000, 0, 0].map(Upstream::start);
    let addresses = upstreams.each_ref().map(|upstream| upstream.address);
    let relays = [start_relay(), start_relay()];
    let links = relays.map(Link::to);
    let cut = links.each_ref().map(|link| link.address);
    let pause = Duration::from_millis(25);
    let start = Instant::now();
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    let end = at(17.0);
    let stop = Duration::from_secs(6);
    let mut all = vec![
        callers(start_with_relays(&addresses, relays, None), pause, end),
        callers(start_with_relays(&addresses, relays, None), pause, end),
        callers(start_with_relays(&addresses, cut, None), pause, end),
        callers(
            start_with_relays(&addresses, relays, Some(stop)),
            pause,
            at(5.5),
        ),
    ];
    sleep_until(at(4.0));
    links.iter().for_each(Link::cut);
    sleep_until(at(5.0));
    all.push(callers(
        start_with_relays(&addresses, relays, None),
        pause,
        end,
    ));
    sleep_until(at(6.5));
    all.push(callers(
        start_with_relays(&addresses, relays, None),
        pause,
        end,
    ));
    sleep_until(at(9.5));
    upstreams[0].name(1_000);
    sleep_until(at(14.5));
    upstreams[0].name(0);
    let answers: Vec<Answer> = all
        .into_iter()
        .flat_map(|all| all.join().unwrap())
        .collect();
    let limited = &upstreams[0];
    let most = limited.most(start + CONTACT, at(9.5));
    assert!(most <= allowed(2_000), "{most} requests in a span");
    let most = limited.most(at(9.5) + NOTICE, at(14.5));
    assert!(most <= allowed(1_000), "{most} requests in a span");
    let before = limited.got(at(7.0), at(9.5));
    let after = limited.got(at(16.0), end);
    assert!(before > 0, "a limited upstream gets nothing");
    assert!(after > 20, "{after} requests after the end of the limit");
    let refused = answers.iter().filter(|answer| status(&answer.text) != 200);
    assert_eq!(refused.count(), 0, "others had room");
}

/// Guards against requests that wait, or are sent all the same, when every upstream of
/// their service has reached its limit.
#[test]
fn limit_everywhere() {
    let upstreams = [2_000, 2_000, 1_000].map(Upstream::start);
    let addresses = upstreams.each_ref().map(|upstream| upstream.address);
    let relays = [start_relay(), start_relay()];
    let start = Instant::now();
    let end = start + Duration::from_secs(10);
    let pause = Duration::from_millis(50);
    let hosts: Vec<SocketAddr> = (0..3)
        .map(|_| start_with_relays(&addresses, relays, None))
        .collect();
    let all: Vec<JoinHandle<Vec<Answer>>> = hosts
        .iter()
        .map(|host| callers(*host, pause, end))
        .collect();
    let answers: Vec<Answer> = all
        .into_iter()
        .flat_map(|all| all.join().unwrap())
        .collect();
    for (upstream, limit) in upstreams.iter().zip([2_000, 2_000, 1_000]) {
        let most = upstream.most(start + CONTACT, end);
        assert!(most <= allowed(limit), "{most} requests in a span");
        let got = upstream.got(start + CONTACT, end);
        let half = limit as usize * 7 / 2_000;
        assert!(
            got >= half,
            "{got} requests in 7 s at {limit} thousandths a second"
        );
    }
    let refused = answers.iter().filter(|answer| status(&answer.text) != 200);
    let refused: Vec<&Answer> = refused.collect();
    assert!(!refused.is_empty());
    for answer in refused {
        assert_eq!(status(&answer.text), 503, "{}", answer.text);
        assert!(answer.returns() > 0.0, "{}", answer.text);
        assert!(answer.took < OBJECTIVE, "{:?}", answer.took);
    }
}
