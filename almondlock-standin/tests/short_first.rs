//! Priorities let short prompts by; without them the order is that of arrival.

mod common;

use almondlock_standin::engine::Config;
use serde_json::json;
use yare::parameterized;

use crate::common::{Stream, config, prompt, start, until};

// A long prompt is being prefilled when a short one comes. The engine that
// honours priorities ends the short one first, the other one makes it wait.
#[parameterized(
    honoured = { true, true },
    ignored = { false, false },
)]
#[test_macro(ntex::test)]
async fn beside_long(priorities: bool, short_first: bool) {
    let engine = start(Config {
        priorities,
        ..config()
    });
    let body = json!({ "prompt": prompt("long", 300_000), "max_tokens": 1, "stream": true });
    let headers = [("x-engine-priority", "9")];
    let long = Stream::open(engine.address(), &headers, body).await;
    until(|| engine.load().running == 1).await;

    let body = json!({ "prompt": "short", "max_tokens": 1, "stream": true });
    let headers = [("x-engine-priority", "1")];
    let short = Stream::open(engine.address(), &headers, body).await;
    assert!(short.read().await.done);
    assert_eq!(engine.load().backlog > 0, short_first);
    assert!(long.read().await.done);
}
