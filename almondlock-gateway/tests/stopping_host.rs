//! An entry host is told to stop while callers keep using open connections. A stream that
//! begins in the last seconds would be cut off with the process, so it is refused at once.
//! Other hosts are ready, so the caller is told to go there now: each tenth of a second of
//! waiting is a third of a short request's objective.

mod fake;
mod gateway;

use std::{
    net::{SocketAddr, TcpStream},
    thread::sleep,
    time::{Duration, Instant},
};

use fake::{Step, end, event, field, serve, stream_head};
use gateway::{read, start_engines_stopping, status, write};

const STOP: Duration = Duration::from_millis(300);
const GRACE: Duration = Duration::from_millis(2_000);

/// Deadline of the request that keeps the host busy until the end of its stop.
const BUSY: u64 = 9_000;

/// Starts an engine whose answers take 300 ms, or most of the stop for the busy request.
fn engine() -> SocketAddr {
    let answers = serve(|head| {
        let deadline = field(head, "x-deadline").and_then(|text| text.parse().ok());
        let is_busy = matches!(deadline, Some(6_000..=BUSY));
        let pause = || Step::Pause(if is_busy { 1_200 } else { 150 });
        match head.starts_with("POST /engine/") {
            true => vec![
                stream_head(),
                event(1),
                pause(),
                event(2),
                pause(),
                event(3),
                end(),
            ],
            false => vec![Step::Write(
                "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".into(),
            )],
        }
    });
    answers.0
}

/// Opens a connection before the stop and uses it `after` its begin. Returns the answer and
/// how long it took.
fn ask_after_stop(after: Duration) -> (String, Duration) {
    let engines: Vec<SocketAddr> = (0..4).map(|_| engine()).collect();
    let gateway = start_engines_stopping(&engines, STOP, GRACE);
    let mut early = TcpStream::connect(gateway).unwrap();
    let mut busy = TcpStream::connect(gateway).unwrap();
    write(&mut busy, "/engine/", BUSY);
    sleep(STOP + after);
    let asked = Instant::now();
    write(&mut early, "/engine/", 5_000);
    let answer = read(&mut early, Duration::from_secs(4));
    (answer, asked.elapsed())
}

/// The late request is refused at once, with a time to try again, on a connection that
/// closes.
#[test]
fn refused_late() {
    let (answer, took) = ask_after_stop(Duration::from_millis(600));
    assert_eq!(status(&answer), 503, "{answer}");
    let head = answer.to_ascii_lowercase();
    let returns = head.split("retry-after: ").nth(1).unwrap();
    let returns: f64 = returns.lines().next().unwrap().parse().unwrap();
    assert!(returns < 0.05, "{returns}");
    assert!(head.contains("connection: close"), "{answer}");
    assert!(took < Duration::from_millis(500), "{took:?}");
}
