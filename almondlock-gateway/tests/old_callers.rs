//! Callers that speak HTTP/1.0, which has no chunks: a streamed body ends with its connection.

mod fake;
mod gateway;

use fake::{Step, answer, end, event, start, stream_head};
use gateway::ask_old;

fn ask(path: &str, steps: Vec<Step>) -> (String, String) {
    let (upstream, _heads) = start(vec![steps]);
    let response = ask_old(gateway::start(&[upstream]), path);
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
