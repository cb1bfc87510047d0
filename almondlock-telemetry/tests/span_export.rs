//! Finished hops reach the file; spans that are no hops, and hops that the
//! caller doesn't want recorded, don't.

use std::fs;

use almondlock_telemetry::{Secret, spans::Exporter, trace::Context};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::Value;
use tracing_subscriber::{Registry, layer::SubscriberExt};

fn record<F>(work: F) -> Vec<Value>
where
    F: FnOnce(),
{
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("spans.jsonl");
    let exporter = Exporter::open(&path).expect("a file");
    tracing::subscriber::with_default(Registry::default().with(exporter), work);
    // The subscriber is gone: its thread writes what is left and ends.
    let wanted = std::time::Duration::from_secs(20);
    let began = std::time::Instant::now();
    loop {
        let text = fs::read_to_string(&path).expect("text");
        let whole = text.contains("\"name\":\"last\"") && text.ends_with('\n');
        if whole || began.elapsed() > wanted {
            let parse = |line| serde_json::from_str(line).expect("JSON");
            return text.lines().map(parse).collect();
        }
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
}

#[test]
fn hops_are_joined() {
    let mut rng = SmallRng::seed_from_u64(7);
    let root = Context::root(&mut rng);
    let hop = root.child(&mut rng);
    let last = hop.child(&mut rng);
    let lines = record(|| {
        drop(tracing::info_span!("no_hop", key = 1));
        let span = tracing::info_span!(
            "claim",
            traceparent = %hop,
            parent = %root.span(),
            key = %Secret::new("sk-1234"),
            code = tracing::field::Empty,
        );
        span.record("code", 0);
        drop(span);
        drop(tracing::info_span!("last", traceparent = %last, parent = %hop.span()));
    });
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert_eq!(lines[0]["name"], "claim");
    assert_eq!(lines[0]["trace"], root.trace().to_string());
    assert_eq!(lines[0]["parent"], root.span().to_string());
    assert_eq!(lines[0]["fields"]["code"], 0);
    assert!(!lines[0].to_string().contains("sk-1234"));
    assert_eq!(lines[1]["parent"], lines[0]["span"]);
}

#[test]
fn unsampled_hops_stay_out() {
    let mut rng = SmallRng::seed_from_u64(8);
    let quiet = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00";
    let last = Context::root(&mut rng);
    let lines = record(|| {
        drop(tracing::info_span!("quiet", traceparent = quiet));
        drop(tracing::info_span!("last", traceparent = %last));
    });
    assert_eq!(lines.len(), 1, "{lines:?}");
}
