//! An upstream that refuses a request may ask the host for a pause. It has no load then, so
//! a host that forgets the pause sends it more requests the longer it refuses them.

mod fake;
mod gateway;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use fake::{Step, answer, serve};
use gateway::{ask, start, status};

/// Pause that the upstreams ask for.
const PAUSE: Duration = Duration::from_secs(2);
/// Time after its answer from which an upstream must be left alone.
const NOTICE: Duration = Duration::from_millis(500);
/// Number of requests that may arrive in a pause all the same.
const ALLOWED: usize = 2;

/// An upstream that refuses requests for the time `busy` and asks for a pause each time.
struct Upstream {
    address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Upstream {
    fn start(busy: Duration) -> Upstream {
        let until = Instant::now() + busy;
        let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let seen = Arc::clone(&arrivals);
        let (address, _) = serve(move |_| {
            seen.lock().unwrap().push(Instant::now());
            match Instant::now() < until {
                true => vec![turned_away()],
                false => vec![answer("200 OK", "hi")],
            }
        });
        Upstream { address, arrivals }
    }

    /// Returns the largest number of requests that arrived in one of the upstream's pauses.
    fn most(&self, busy: Duration, start: Instant) -> usize {
        let arrivals = self.arrivals.lock().unwrap();
        let asked = arrivals.iter().filter(|at| **at < start + busy);
        let counts = asked.map(|asked| {
            let pause = *asked + NOTICE..*asked + PAUSE;
            arrivals.iter().filter(|at| pause.contains(*at)).count()
        });
        counts.max().unwrap_or(0)
    }

    fn count(&self) -> usize {
        self.arrivals.lock().unwrap().len()
    }
}

fn turned_away() -> Step {
    let seconds = PAUSE.as_secs_f64();
    Step::Write(format!(
        "HTTP/1.1 503 X\r\nx-id: ID\r\nx-not-run: 1\r\nretry-after: {seconds}\r\ncontent-length: 0\r\n\r\n"
    ))
}

/// Guards against requests to an upstream that has asked this host for a pause.
#[test]
fn pause_kept() {
    let busy = Duration::from_millis(2_500);
    let start_at = Instant::now();
    let upstreams = [busy, Duration::ZERO, Duration::ZERO].map(Upstream::start);
    let gateway = start(&upstreams.each_ref().map(|upstream| upstream.address));
    let mut refused = 0;
    while start_at.elapsed() < Duration::from_secs(6) {
        for path in ["/safe/", "/unsafe/"] {
            let (response, _) = ask(gateway, path);
            refused += usize::from(status(&response) != 200);
        }
        sleep(Duration::from_millis(20));
    }
    let most = upstreams[0].most(busy, start_at);
    assert!(most <= ALLOWED, "{most} requests within a pause");
    assert_eq!(refused, 0, "others had room");
    let count = upstreams[0].count();
    assert!(count > 10, "{count} requests though the pause was over");
}
