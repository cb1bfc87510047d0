//! Load reports lag; cache events come late and with gaps.

mod common;

use std::time::Duration;

use almondlock_standin::engine::Config;

use crate::common::{Stream, complete, config, get, prompt, start};

#[ntex::test]
async fn lagging_load() {
    let hour = Duration::from_secs(3600);
    let engine = start(Config {
        report_lag: hour,
        ..config()
    });
    let body = serde_json::json!({ "prompt": "a menu", "max_tokens": 100_000, "stream": true });
    let mut stream = Stream::open(engine.address(), &[], body).await;
    assert!(stream.next().await.unwrap().is_some());
    assert_eq!(engine.load().running, 1);
    let told = get(engine.address(), "/engine/load").await;
    assert_eq!(told["running"], 0);
    assert_eq!(told["free"], told["memory"]);
}

#[ntex::test]
async fn prompt_load() {
    let engine = start(config());
    let body = serde_json::json!({ "prompt": "a menu", "max_tokens": 100_000, "stream": true });
    let mut stream = Stream::open(engine.address(), &[], body).await;
    assert!(stream.next().await.unwrap().is_some());
    assert_eq!(get(engine.address(), "/engine/load").await["running"], 1);
}

#[ntex::test]
async fn gaps() {
    let engine = start(Config {
        cache_gaps: 0.5,
        ..config()
    });
    complete(engine.address(), &prompt("menu", 25_600), 1).await;
    assert_eq!(engine.cached_blocks(), 100);
    let told = get(engine.address(), "/engine/events?after=0").await;
    let numbers: Vec<u64> = told["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| event["number"].as_u64().unwrap())
        .collect();
    assert!(
        numbers.len() > 20 && numbers.len() < 80,
        "{}",
        numbers.len()
    );
    assert!(numbers.is_sorted());
    let half = numbers[numbers.len() / 2];
    let rest = get(engine.address(), &format!("/engine/events?after={half}")).await;
    assert_eq!(
        rest["events"].as_array().unwrap().len(),
        numbers.len() - numbers.len() / 2 - 1
    );
}

#[ntex::test]
async fn late_events() {
    let hour = Duration::from_secs(3600);
    let engine = start(Config {
        cache_lag: hour,
        ..config()
    });
    complete(engine.address(), &prompt("menu", 2_560), 1).await;
    let told = get(engine.address(), "/engine/events?after=0").await;
    assert_eq!(told["events"].as_array().unwrap().len(), 0);
}

// Memory for a running request is taken from the cache, oldest prompt first.
#[ntex::test]
async fn evicted() {
    let engine = start(Config {
        memory: 10_000,
        ..config()
    });
    complete(engine.address(), &prompt("first", 5_120), 1).await;
    complete(engine.address(), &prompt("second", 5_120), 1).await;
    assert!(engine.cached_blocks() <= 39);
    let again = complete(engine.address(), &prompt("second", 5_120), 1).await;
    let cached = again.usage["prompt_tokens_details"]["cached_tokens"].as_u64();
    assert!(cached >= Some(4_096), "{cached:?}");
}
