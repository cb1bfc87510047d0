//! A prompt larger than an engine, in parts on several.

mod common;

use almondlock_standin::{answer, engine::Config};
use serde_json::json;

use crate::common::{Stream, config, post, prompt, start, until};

// Three engines of 10,000 tokens answer a prompt of 24,000. When all is done and
// the parts are freed, no engine holds anything.
#[ntex::test]
async fn three_engines() {
    let config = Config {
        memory: 10_000,
        ..config()
    };
    let engines = [start(config.clone()), start(config.clone()), start(config)];
    let text = prompt("history", 24_000);
    let mut segments = Vec::new();
    for engine in &engines[..2] {
        let body = json!({ "id": "part", "tokens": 9_000 });
        let (status, part) = post(engine.address(), "/engine/segments", body).await;
        assert_eq!(status, 200);
        assert_eq!(engine.reserved(), 9_000);
        segments.push(json!({ "address": engine.address().to_string(), "handle": part["handle"] }));
    }
    let body = json!({ "prompt": text, "max_tokens": 30, "stream": true, "segments": segments });
    let whole = Stream::open(engines[2].address(), &[], body)
        .await
        .read()
        .await;
    assert_eq!(whole.text, answer::whole(&text, 30));
    assert_eq!(whole.usage["prompt_tokens"], 24_000);
    for engine in &engines[..2] {
        post(
            engine.address(),
            "/engine/kv/free",
            json!({ "handle": "part" }),
        )
        .await;
    }
    assert!(engines.iter().all(|engine| engine.reserved() == 0));
}

// The parts are named in a header, by a sidecar that doesn't read bodies.
#[ntex::test]
async fn by_header() {
    let (holder, runner) = (start(config()), start(config()));
    let part = json!({ "id": "7", "tokens": 5_000 });
    post(holder.address(), "/engine/segments", part).await;
    let text = prompt("history", 6_000);
    let body = json!({ "prompt": text, "max_tokens": 300_000, "stream": true });
    let place = format!("{}/7", holder.address());
    let headers = [("x-engine-segments", place.as_str())];
    let mut stream = Stream::open(runner.address(), &headers, body).await;
    assert!(stream.next().await.unwrap().is_some());
    assert_eq!(runner.reserved(), 301_000);
}

// An engine that holds a part dies while the answer runs: the stream breaks and
// its memory comes back.
#[ntex::test]
async fn lost_part() {
    let (holder, runner) = (start(config()), start(config()));
    let part = json!({ "id": "part", "tokens": 5_000 });
    post(holder.address(), "/engine/segments", part).await;
    let segments = json!([{ "address": holder.address().to_string(), "handle": "part" }]);
    let body = json!({
        "prompt": prompt("history", 6_000), "max_tokens": 300_000,
        "stream": true, "segments": segments,
    });
    let mut stream = Stream::open(runner.address(), &[], body).await;
    assert!(stream.next().await.unwrap().is_some());
    holder.kill();
    let rest = stream.read().await;
    assert!(rest.broken && !rest.done);
    until(|| runner.reserved() == 0).await;
}
