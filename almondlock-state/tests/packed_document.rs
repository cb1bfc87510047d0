//! An operator publishes a configuration of a thousand routes. It reaches every
//! process over slow links in time, and is read back to the byte.

use almondlock_state::document::Document;
use yare::parameterized;

fn routes(count: u32) -> String {
    let route = |n| {
        format!(
            r#"{{"name":"r-{n:07x}","host":"h{}.example","pathPrefix":"/p{n}/","kind":"safe",
            "timeoutMs":10000,"targetLatencyMs":300,"priority":1,"service":"s1"}}"#,
            n % 7
        )
    };
    (0..count).map(route).collect::<Vec<_>>().join(",")
}

#[parameterized(
    empty = { 0 },
    short = { 3 },
    long = { 1_000 },
)]
fn same_text(count: u32) {
    let document = Document::whole(7, &routes(count));
    let written = serde_json::to_vec(&document).unwrap();
    assert_eq!(
        serde_json::from_slice::<Document>(&written).unwrap(),
        document
    );
}

#[test]
fn a_tenth() {
    let document = Document::whole(7, &routes(1_000));
    let written = serde_json::to_vec(&document).unwrap();
    assert!(written.len() * 10 < document.len(), "{}", written.len());
}

/// What an earlier version wrote, or somebody else damaged.
#[parameterized(
    plain = { r#"{"version":1,"text":"as it was"}"#, true },
    no_base = { r#"{"version":1,"text":{"packed":"%%"}}"#, false },
    no_text = { r#"{"version":1,"text":{"packed":"AAAA"}}"#, false },
)]
fn other_writers(written: &str, is_read: bool) {
    assert_eq!(serde_json::from_str::<Document>(written).is_ok(), is_read);
}
