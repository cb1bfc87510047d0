//! An upstream that named a rate limit crashes and starts again under its name. The host ends
//! the limit and discards what else it knew of the upstream's earlier life.

mod fake;
mod versions;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread::sleep,
    time::{Duration, Instant},
};

use almondlock_state::instance::Birth;
use fake::{Step, serve};
use versions::{Gateway, document};

/// Time within which a version must be in force.
const APPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts an upstream that names a limit in its answers to `/old/`.
fn limited_upstream() -> SocketAddr {
    let (address, _) = serve(|head| {
        let limit = match head.starts_with("POST /old/") {
            true => "x-limit: 20.0\r\n",
            false => "",
        };
        let head = format!("HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n{limit}");
        vec![Step::Write(format!("{head}content-length: 2\r\n\r\nhi"))]
    });
    address
}

/// Sends a request and returns the status of its answer.
fn ask(gateway: &Gateway, path: &str) -> u16 {
    let mut stream = TcpStream::connect(gateway.address).unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: h\r\nx-id: r-1\r\nx-deadline: 5000\r\n\
         content-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    let status = response.split(' ').nth(1);
    status.and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// Guards against a restarted upstream whose limit ends the task that follows versions, so
/// that no later version comes into force.
#[test]
fn version_after_restart() {
    let gateway = Gateway::start(limited_upstream(), document(1, &["s s", "r old s 0"]));
    assert_eq!(ask(&gateway, "/old/"), 200);
    gateway.publish_with(document(1, &["s s", "r old s 0"]), Birth(1));
    sleep(Duration::from_millis(100));
    gateway.publish_with(document(2, &["s s", "r new s 0"]), Birth(1));
    let begin = Instant::now();
    while ask(&gateway, "/new/") != 200 {
        assert!(begin.elapsed() < APPLY_TIMEOUT, "version 2 is not in force");
        sleep(Duration::from_millis(20));
    }
}
