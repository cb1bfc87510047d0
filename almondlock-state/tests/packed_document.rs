//! Compression of published configurations, which must reach all processes over slow links in
//! time and be read back byte for byte.

use almondlock_state::document::{Delta, Document, Piece};
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

/// Guards against a delta that is as long as the text: one changed route takes hundreds of
/// bytes, and many new ones are compressed together.
#[parameterized(
    one = { 1, 700 },
    hundred = { 100, 4_000 },
    thousand = { 1_000, 40_000 },
)]
fn short_delta(added: u32, most: usize) {
    let cut = |version, text: &str| {
        let pieces = text.split_inclusive("},").map(Piece::from);
        Document::new(version, pieces)
    };
    let (old, new) = (cut(7, &routes(3_000)), cut(8, &routes(3_000 + added)));
    let delta = Delta::between(&old, &new);
    let written = serde_json::to_vec(&delta).unwrap();
    assert!(written.len() < most, "{}", written.len());
    assert_eq!(serde_json::from_slice::<Delta>(&written).unwrap(), delta);
}

/// Documents that an earlier release wrote are read, and damaged ones are not.
#[parameterized(
    plain = { r#"{"version":1,"text":"as it was"}"#, true },
    no_base = { r#"{"version":1,"text":{"packed":"%%"}}"#, false },
    no_text = { r#"{"version":1,"text":{"packed":"AAAA"}}"#, false },
)]
fn other_writers(written: &str, is_read: bool) {
    assert_eq!(serde_json::from_str::<Document>(written).is_ok(), is_read);
}
