//! Upstreams fail before, while and after they run a request. Callers must receive one
//! complete answer or a failure that is true, and a request that may not be repeated must
//! reach an upstream once.

mod fake;
mod gateway;

use std::{
    sync::mpsc::Receiver,
    time::{Duration, Instant},
};

use fake::{Step, answer, end, event, field, start, stream_head};
use gateway::{ask, status};

/// Returns the heads of the requests that reached an upstream.
fn reached(heads: &Receiver<String>) -> Vec<String> {
    heads.try_iter().collect()
}

/// Returns an answer with the statement that the request did not run.
fn not_run() -> Step {
    let head = "HTTP/1.1 503 Service Unavailable\r\nx-id: ID\r\nx-not-run: 1\r\n\
                content-length: 0\r\n\r\n";
    Step::Write(head.to_owned())
}

#[test]
fn unchanged_answer() {
    let (upstream, heads) = start(vec![vec![Step::Read, answer("200 OK", "yes")]]);
    let (response, _) = ask(gateway::start(&[upstream]), "/unsafe/a?b=c");
    assert_eq!(status(&response), 200);
    assert!(response.ends_with("yes") && response.contains("x-seal: s"));
    let head = &reached(&heads)[0];
    assert!(
        head.starts_with("POST /unsafe/a?b=c HTTP/1.1\r\n"),
        "{head}"
    );
    assert_eq!(field(head, "host").unwrap(), "h");
    assert_eq!(field(head, "x-instance").unwrap(), "i-0");
    let left: u64 = field(head, "x-deadline").unwrap().parse().unwrap();
    assert!((1_000..=1_500).contains(&left));
}

/// The connection is reset after the request was sent, so it may have run.
#[test]
fn lost_unsafe() {
    let reset = vec![Step::Read, Step::Reset];
    let (one, heads_one) = start(vec![reset.clone()]);
    let (two, heads_two) = start(vec![reset]);
    let (response, _) = ask(gateway::start(&[one, two]), "/unsafe/");
    assert_eq!(status(&response), 502);
    assert!(!response.contains("retry-after"));
    assert_eq!(reached(&heads_one).len() + reached(&heads_two).len(), 1);
}

#[test]
fn lost_safe() {
    let reset = vec![Step::Read, Step::Reset];
    let (one, _heads) = start(vec![reset]);
    let (two, _more) = start(vec![vec![Step::Read, answer("200 OK", "yes")]]);
    // Either upstream may be chosen first; the one that resets is tried at most once.
    let (response, _) = ask(gateway::start(&[one, two]), "/safe/");
    assert_eq!(status(&response), 200);
}

/// Every upstream states that it did not run the request, so the refusal may say so too and
/// name a time to try again.
#[test]
fn rejected_everywhere() {
    let (one, _heads) = start(vec![vec![Step::Read, not_run()]]);
    let (response, _) = ask(gateway::start(&[one]), "/unsafe/");
    assert_eq!(status(&response), 503);
    assert!(response.contains("retry-after: "), "{response}");
    assert!(!response.contains("x-seal"));
}

/// Guards against waiting for the end of a refusal that has neither a length nor chunks, when
/// its head has said all.
#[test]
fn unframed_refusal() {
    let head = "HTTP/1.1 503 Service Unavailable\r\nx-id: ID\r\nx-not-run: 1\r\n\r\n";
    let refusal = vec![Step::Read, Step::Write(head.to_owned()), Step::Hang];
    let (one, _heads) = start(vec![refusal]);
    let asked = Instant::now();
    let (response, _) = ask(gateway::start(&[one]), "/unsafe/");
    assert_eq!(status(&response), 503);
    assert!(asked.elapsed() < Duration::from_millis(1_000));
}

/// An upstream's failure doesn't tell whether the request ran, but a 503 to the caller
/// would.
#[test]
fn promise_not_made() {
    let (one, _heads) = start(vec![vec![Step::Read, answer("503 Busy", "")]]);
    let (response, _) = ask(gateway::start(&[one]), "/unsafe/");
    assert_eq!(status(&response), 502);
}

#[test]
fn success_without_seal() {
    let bare = "HTTP/1.1 200 OK\r\nx-id: ID\r\ncontent-length: 3\r\n\r\nyes".to_owned();
    let (one, _heads) = start(vec![vec![Step::Read, Step::Write(bare)]]);
    let (response, _) = ask(gateway::start(&[one]), "/unsafe/");
    assert_eq!(status(&response), 502);
}

#[test]
fn silent_until_timeout() {
    let (one, _heads) = start(vec![vec![Step::Read, Step::Hang]]);
    let (response, _) = ask(gateway::start(&[one]), "/unsafe/");
    assert_eq!(status(&response), 504);
}

#[test]
fn no_instances() {
    let (response, _) = ask(gateway::start(&[]), "/stream/");
    assert_eq!(status(&response), 503);
}

#[test]
fn no_route() {
    let (response, _) = ask(gateway::start(&[]), "/nowhere/");
    assert_eq!(status(&response), 404);
}

/// The upstream is lost midway and nobody can continue. The caller must see that the answer
/// is incomplete: no last chunk, and no other response in the body.
#[test]
fn broken_off() {
    let steps = vec![
        Step::Read,
        stream_head(),
        event(1),
        Step::Pause(100),
        Step::Reset,
    ];
    let (one, _heads) = start(vec![steps]);
    let (response, ended) = ask(gateway::start(&[one]), "/once/");
    assert_eq!(status(&response), 200);
    assert!(ended, "the connection stays open");
    assert!(response.contains("id: 1\n"));
    assert!(!response.ends_with("0\r\n\r\n"));
    assert_eq!(response.matches("HTTP/1.1").count(), 1);
}

/// The upstream is lost midway and another run may continue after the last complete event,
/// in the same response.
#[test]
fn resumed() {
    let half = Step::Write("7\r\nid: 2\nd\r\n".to_owned());
    let first = vec![
        Step::Read,
        stream_head(),
        event(1),
        half,
        Step::Pause(100),
        Step::Reset,
    ];
    let second = vec![Step::Read, stream_head(), event(2), event(3), end()];
    // One upstream with two connections, so that their order is fixed.
    let (one, heads) = start(vec![first, second]);
    let (response, _) = ask(gateway::start(&[one]), "/stream/");
    let ids: Vec<&str> = response
        .lines()
        .filter_map(|line| line.strip_prefix("id: "))
        .collect();
    assert_eq!(ids, ["1", "2", "3"], "{response}");
    assert!(response.ends_with("0\r\n\r\n"));
    let heads = reached(&heads);
    assert_eq!(field(&heads[0], "last-event-id"), None);
    assert_eq!(field(&heads[1], "last-event-id").unwrap(), "1");
}

/// A run that continues at the wrong event would repeat or lose one.
#[test]
fn resumed_elsewhere() {
    let first = vec![
        Step::Read,
        stream_head(),
        event(1),
        event(2),
        Step::Pause(100),
        Step::Reset,
    ];
    let second = vec![Step::Read, stream_head(), event(1), event(2), end()];
    let (one, _heads) = start(vec![first, second]);
    let (response, ended) = ask(gateway::start(&[one]), "/stream/");
    assert!(ended);
    assert_eq!(response.matches("id: 1\n").count(), 1);
    assert!(!response.ends_with("0\r\n\r\n"));
}

/// The upstream's own failure is passed on if no better answer follows.
#[test]
fn failure_delivered() {
    let (one, _heads) = start(vec![
        vec![Step::Read, answer("500 Failed", "why")],
        vec![Step::Read, Step::Reset],
    ]);
    let (response, _) = ask(gateway::start(&[one]), "/safe/");
    assert_eq!(status(&response), 500);
    assert!(response.contains("x-seal: s") && response.ends_with("why"));
}

/// The upstream reports a failure and stops in the middle of its body. The caller must be
/// answered when the route's time is over.
#[test]
fn truncated_failure() {
    let half = "HTTP/1.1 500 Failed\r\nx-id: ID\r\ncontent-length: 9\r\n\r\nhalf".to_owned();
    let (one, _heads) = start(vec![vec![Step::Read, Step::Write(half), Step::Hang]]);
    let (response, _) = ask(gateway::start(&[one]), "/unsafe/");
    assert_eq!(status(&response), 504);
}

/// All processes were lost, and a caller is back before the gateway has a configuration.
/// The request waits for the moment that this takes, and is answered.
#[test]
fn cold_start() {
    let (one, _heads) = start(vec![vec![Step::Read, answer("200 OK", "yes")]]);
    let gateway = gateway::start_cold(&[one], Duration::from_millis(150));
    let (response, _) = ask(gateway, "/unsafe/");
    assert_eq!(status(&response), 200, "{response}");
}

/// No configuration arrives. The caller is refused well before its deadline and told when
/// to try again.
#[test]
fn never_configured() {
    let asked = Instant::now();
    let gateway = gateway::start_cold(&[], Duration::from_secs(60));
    let (response, _) = ask(gateway, "/unsafe/");
    assert_eq!(status(&response), 503);
    assert!(response.contains("retry-after: "), "{response}");
    assert!(asked.elapsed() < Duration::from_millis(1_200));
}
