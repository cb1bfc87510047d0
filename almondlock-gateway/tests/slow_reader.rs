//! Callers that don't read their streams.

mod fake;
mod gateway;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::mpsc::{self, Receiver},
    thread,
    time::{Duration, Instant},
};

use fake::field;

/// How long the gateway of these tests lets an answer wait.
const ALLOWED: Duration = Duration::from_secs(2);
/// Longer than that, and its checks.
const PATIENCE: Duration = Duration::from_secs(10);

/// Starts an upstream whose streams go on until nobody takes them. The channel is told when
/// that was.
fn endless() -> (SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (ended, ends) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, ended) = (stream.unwrap(), ended.clone());
            thread::spawn(move || {
                let mut head = [0; 4096];
                let count = stream.read(&mut head).unwrap();
                let head = String::from_utf8_lossy(&head[..count]).into_owned();
                let id = field(&head, "x-id").unwrap();
                let head = format!(
                    "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n\
                     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
                );
                let event = format!("id: 1\ndata: {}\n\n", "x".repeat(60_000));
                let event = format!("{:x}\r\n{event}\r\n", event.len());
                let mut written = stream.write_all(head.as_bytes());
                while written.is_ok() {
                    written = stream.write_all(event.as_bytes());
                }
                ended.send(Instant::now()).ok();
            });
        }
    });
    (address, ends)
}

/// Guards against a caller that opens a stream and never reads it: its upstream stays taken
/// until the caller goes.
#[test]
fn never_reads() {
    let (one, ends) = endless();
    let gateway = gateway::start(&[one]);
    let mut stream = TcpStream::connect(gateway).unwrap();
    gateway::write(&mut stream, "/once/", 60_000);
    let start = Instant::now();
    let end = ends.recv_timeout(PATIENCE).expect("the upstream is free");
    assert!(end.duration_since(start) > ALLOWED);
}

/// Guards against a slow caller that reads all the time and is cut off.
#[test]
fn reads_slowly() {
    let (one, _ends) = endless();
    let gateway = gateway::start(&[one]);
    let mut stream = TcpStream::connect(gateway).unwrap();
    gateway::write(&mut stream, "/once/", 60_000);
    let start = Instant::now();
    let mut piece = [0; 32 * 1024];
    while start.elapsed() < 2 * ALLOWED {
        assert!(stream.read(&mut piece).unwrap() > 0, "it was cut off");
        thread::sleep(Duration::from_millis(20));
    }
}
