//! A silent upstream when no further attempt is allowed.

mod fake;
mod gateway;

use fake::{Step, event, start, stream_head};
use gateway::ask_within;

/// A pause after which a silent upstream is given up if another one may be tried, in
/// milliseconds.
const PAUSE: u64 = 1_350;

/// Guards against a stream that is broken off because its last run is silent for a while,
/// though no other upstream may take over.
#[test]
fn silent_midway() {
    let first = vec![
        Step::Read,
        stream_head(),
        event(1),
        Step::Pause(20),
        Step::Reset,
    ];
    let end = Step::Write("0\r\n\r\n".to_owned());
    let second = vec![
        Step::Read,
        stream_head(),
        event(2),
        Step::Pause(PAUSE),
        event(3),
        end,
    ];
    let (one, _heads) = start(vec![first, second]);
    let (response, _) = ask_within(gateway::start(&[one]), "/stream/", 2_000);
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

/// The same before the first event.
#[test]
fn silent_at_first() {
    let first = vec![Step::Read, Step::Reset];
    let end = Step::Write("0\r\n\r\n".to_owned());
    let second = vec![Step::Read, stream_head(), Step::Pause(PAUSE), event(1), end];
    let (one, _heads) = start(vec![first, second]);
    let (response, _) = ask_within(gateway::start(&[one]), "/stream/", 2_000);
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}

/// The same before the head of the answer.
#[test]
fn silent_before_head() {
    let first = vec![Step::Read, Step::Reset];
    let end = Step::Write("0\r\n\r\n".to_owned());
    let second = vec![Step::Read, Step::Pause(PAUSE), stream_head(), event(1), end];
    let (one, _heads) = start(vec![first, second]);
    let (response, _) = ask_within(gateway::start(&[one]), "/stream/", 2_000);
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
}
