//! Streams that come with neither a length nor chunks and end with their connection. Only
//! their events tell a complete stream from one that was cut.

mod fake;
mod gateway;

use fake::{Step, field, start, stream_head};
use gateway::{ask, status};
use yare::parameterized;

fn unframed_head() -> Step {
    let head = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\
                content-type: text/event-stream\r\nconnection: close\r\n\r\n";
    Step::Write(head.to_owned())
}

fn text(text: &str) -> Step {
    Step::Write(text.to_owned())
}

fn event(number: u64) -> Step {
    Step::Write(format!("id: {number}\ndata: x\n\n"))
}

fn ids(response: &str) -> Vec<&str> {
    let lines = response.lines();
    lines.filter_map(|line| line.strip_prefix("id: ")).collect()
}

/// Guards against a stream that was cut inside an event reaching its caller as complete.
#[test]
fn cut_inside_event() {
    let first = vec![
        Step::Read,
        unframed_head(),
        event(1),
        Step::Pause(100),
        text("id: 2\nda"),
    ];
    let second = vec![Step::Read, unframed_head(), event(2), event(3)];
    // One upstream with two connections, so that their order is fixed.
    let (one, heads) = start(vec![first, second]);
    let (response, _) = ask(gateway::start(&[one]), "/stream/");
    assert_eq!(ids(&response), ["1", "2", "3"], "{response}");
    assert!(response.ends_with("0\r\n\r\n"));
    let heads: Vec<String> = heads.try_iter().collect();
    assert_eq!(field(&heads[1], "last-event-id").unwrap(), "1");
}

/// Guards against a stream that ends with its connection, after an event, not being
/// delivered.
#[test]
fn complete_stream() {
    let steps = vec![Step::Read, unframed_head(), event(1), event(2)];
    let (one, _heads) = start(vec![steps]);
    let (response, _) = ask(gateway::start(&[one]), "/once/");
    assert_eq!(status(&response), 200);
    assert_eq!(ids(&response), ["1", "2"], "{response}");
    assert!(response.ends_with("0\r\n\r\n"));
}

/// Guards against a stream that was cut inside an event, and may not be resumed, reaching its
/// caller as complete.
#[parameterized(
    half_event = { unframed_head(), event(1), "id: 2\nda" },
    half_end = { unframed_head(), event(1), "id: 2\ndata: x\n" },
    last_chunk = { stream_head(), fake::event(1), "7\r\nid: 2\nd\r\n0\r\n\r\n" },
)]
fn cut_once(head: Step, first: Step, half: &str) {
    let steps = vec![Step::Read, head, first, Step::Pause(100), text(half)];
    let (one, _heads) = start(vec![steps]);
    let (response, ended) = ask(gateway::start(&[one]), "/once/");
    assert!(ended, "the connection stays open");
    assert_eq!(ids(&response), ["1"], "{response}");
    assert!(!response.ends_with("0\r\n\r\n"));
}

/// Guards against an event stream on a plain route, cut inside an event, reaching its caller
/// as complete.
#[parameterized(
    half_event = { "id: 1\ndata: x\n\nid: 2\nda" },
    no_event = { "" },
)]
fn cut_plain_answer(body: &str) {
    let steps = vec![Step::Read, unframed_head(), text(body)];
    let (one, _heads) = start(vec![steps]);
    let (response, _) = ask(gateway::start(&[one]), "/unsafe/");
    assert_eq!(status(&response), 502);
}

/// Guards against a plain answer that ends with its connection not being delivered.
#[parameterized(
    text_body = { "content-type: text/plain\r\n", "all of it" },
    event_body = { "content-type: text/event-stream\r\n", "id: 1\ndata: x\n\n" },
    crlf_body = { "content-type: text/event-stream\r\n", "id: 1\r\ndata: x\r\n\r\n" },
    empty_body = { "", "" },
)]
fn complete_answer(content_type: &str, body: &str) {
    let head = format!("HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n{content_type}\r\n");
    let steps = vec![Step::Read, text(&head), Step::Pause(50), text(body)];
    let (one, _heads) = start(vec![steps]);
    let (response, _) = ask(gateway::start(&[one]), "/unsafe/");
    assert_eq!(status(&response), 200);
    assert!(response.ends_with(&format!("\r\n\r\n{body}")), "{response}");
}

/// Guards against a plain answer whose connection was reset reaching its caller as complete.
#[test]
fn reset_plain_answer() {
    let head = "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\r\nhalf";
    let steps = vec![Step::Read, text(head), Step::Pause(50), Step::Reset];
    let (one, _heads) = start(vec![steps]);
    let (response, _) = ask(gateway::start(&[one]), "/unsafe/");
    assert_eq!(status(&response), 502);
}
