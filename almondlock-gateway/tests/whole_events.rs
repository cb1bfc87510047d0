//! A server stops in the middle of an event. Had the caller got the first half
//! of it, the run that goes on after the last event would double or tear it.

use almondlock_gateway::event::Cutter;

#[test]
fn cut_anywhere() {
    let stream = "id: 7\ndata: a\n\nid: 8\ndata: b\n\nid: 9\nda";
    for step in 1..stream.len() {
        let mut cutter = Cutter::new();
        let mut passed = Vec::new();
        for piece in stream.as_bytes().chunks(step) {
            passed.extend(cutter.push(piece).into_iter().flatten());
        }
        let whole = "id: 7\ndata: a\n\nid: 8\ndata: b\n\n";
        assert_eq!(passed, whole.as_bytes());
        assert_eq!(cutter.last(), Some(8));
        assert!(!cutter.is_whole());
    }
}

#[test]
fn resumed_run() {
    let mut cutter = Cutter::new();
    cutter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    cutter.drop_rest();
    let events = cutter.push(b"id: 2\ndata: b\n\n").unwrap();
    assert_eq!(&events[..], b"id: 2\ndata: b\n\n");
    assert_eq!(cutter.last(), Some(2));
}

#[test]
fn end_without_event() {
    let mut cutter = Cutter::new();
    assert!(cutter.push(b"no event").is_none());
    assert_eq!(cutter.last(), None);
    assert_eq!(&cutter.finish()[..], b"no event");
    assert!(cutter.is_whole());
}
