//! Callers that speak HTTP/1.0, which has no chunks: a streamed body ends with its connection.

mod fake;
mod gateway;

use std::{io::Write, net::TcpStream, time::Duration};

use fake::{Step, answer, end, event, start, stream_head};

/// Sends a request in HTTP/1.0 and reads until the connection ends or nothing arrives for a
/// second. Returns the head in lower case, and the body.
fn ask(path: &str, steps: Vec<Step>) -> (String, String) {
    let (upstream, _heads) = start(vec![steps]);
    let mut stream = TcpStream::connect(gateway::start(&[upstream])).unwrap();
    let request = format!(
        "POST {path} HTTP/1.0\r\nhost: h\r\nx-id: r-1\r\nx-deadline: 1500\r\n\
         x-usage: 1500,10\r\ncontent-length: 2\r\n\r\nhi"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let response = gateway::read(&mut stream, Duration::from_secs(1));
    let (head, body) = response.split_once("\r\n\r\n").unwrap();
    (head.to_ascii_lowercase(), body.to_owned())
}

/// Guards against chunk sizes in the event stream that an HTTP/1.0 caller gets.
#[test]
fn event_stream() {
    let steps = vec![Step::Read, stream_head(), event(1), event(2), end()];
    let (head, body) = ask("/once/", steps);
    assert!(head.starts_with("http/1.0 200"), "{head}");
    assert!(!head.contains("transfer-encoding"), "{head}");
    assert_eq!(body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
}

/// Guards against a stream that was broken off looking complete to an HTTP/1.0 caller.
#[test]
fn broken_stream() {
    let steps = vec![
        Step::Read,
        stream_head(),
        event(1),
        Step::Pause(100),
        Step::Reset,
    ];
    let (_, body) = ask("/once/", steps);
    assert_eq!(body, "id: 1\ndata: x\n");
}

/// Guards against a stream of a host that is killed looking complete to an HTTP/1.0 caller.
#[test]
fn unfinished_stream() {
    let steps = vec![Step::Read, stream_head(), event(1), event(2), Step::Hang];
    let (_, body) = ask("/once/", steps);
    assert_eq!(body, "id: 1\ndata: x\n\nid: 2\ndata: x\n");
}

/// Guards against a complete answer without its length at an HTTP/1.0 caller.
#[test]
fn plain_answer() {
    let steps = vec![Step::Read, answer("200 OK", "yes")];
    let (head, body) = ask("/unsafe/", steps);
    assert!(head.contains("content-length: 3"), "{head}");
    assert_eq!(body, "yes");
}
