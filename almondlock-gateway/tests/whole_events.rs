//! A server stops in the middle of an event. If the caller had received the first half of
//! it, the run that continues after the last event would repeat or break that event.

use almondlock_gateway::event::Splitter;

#[test]
fn cut_anywhere() {
    let stream = "id: 7\ndata: a\n\nid: 8\ndata: b\n\nid: 9\nda";
    for step in 1..stream.len() {
        let mut splitter = Splitter::new();
        let mut passed = Vec::new();
        for piece in stream.as_bytes().chunks(step) {
            passed.extend(splitter.push(piece).into_iter().flatten());
        }
        let whole = "id: 7\ndata: a\n\nid: 8\ndata: b\n\n";
        assert_eq!(passed, whole.as_bytes());
        assert_eq!(splitter.last_id(), Some(8));
        assert!(splitter.incomplete_bytes() > 0);
    }
}

#[test]
fn resumed_run() {
    let mut splitter = Splitter::new();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    splitter.discard_rest();
    let events = splitter.push(b"id: 2\ndata: b\n\n").unwrap();
    assert_eq!(&events[..], b"id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some(2));
}

#[test]
fn end_without_event() {
    let mut splitter = Splitter::new();
    assert!(splitter.push(b"no event").is_none());
    assert_eq!(splitter.last_id(), None);
    assert_eq!(splitter.incomplete_bytes(), 8);
    splitter.discard_rest();
    assert_eq!(splitter.incomplete_bytes(), 0);
}

/// Guards against events whose lines end with a carriage return and a line feed never being
/// complete.
#[test]
fn crlf_events() {
    let stream = "id: 7\r\ndata: a\r\n\r\nid: 8\r\ndata: b\r\n\r\nid: 9\r\n";
    for step in 1..stream.len() {
        let mut splitter = Splitter::new();
        let mut passed = Vec::new();
        for piece in stream.as_bytes().chunks(step) {
            passed.extend(splitter.push(piece).into_iter().flatten());
        }
        let whole = "id: 7\r\ndata: a\r\n\r\nid: 8\r\ndata: b\r\n\r\n";
        assert_eq!(passed, whole.as_bytes());
        assert_eq!(splitter.last_id(), Some(8));
        assert_eq!(splitter.incomplete_bytes(), 7);
    }
}

/// Guards against an event without an end that is kept until the process has no memory.
#[test]
fn endless_event() {
    let mut splitter = Splitter::new();
    let piece = [b'x'; 4096];
    let pieces = (0..1_000).take_while(|_| {
        assert_eq!(splitter.push(&piece), None);
        !splitter.is_overlong()
    });
    assert!(pieces.count() < 100);
}

/// Guards against an end that is missed because it arrives in two pieces.
#[test]
fn end_in_pieces() {
    let mut splitter = Splitter::new();
    assert_eq!(splitter.push(b"id: 1\r\ndata: a\r\n\r"), None);
    assert!(splitter.push(b"\nid: 2").is_some());
    assert_eq!(splitter.last_id(), Some(1));
    assert_eq!(splitter.push(b"\ndata: b\n"), None);
    assert!(splitter.push(b"\n").is_some());
    assert_eq!(splitter.incomplete_bytes(), 0);
}
