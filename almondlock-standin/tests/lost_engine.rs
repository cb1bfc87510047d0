//! An engine dies by a marked prompt, by order, or stalls.

mod common;

use almondlock_standin::answer;
use serde_json::json;

use crate::common::{Stream, complete, config, prompt, start, until};

// A request kills the engine that runs it. Its own stream and the one beside it
// break off without an end, nobody can connect, and the memory is gone. Revived,
// the engine serves again and still knows what it ran before.
#[ntex::test]
async fn marked_prompt() {
    let engine = start(config());
    let body = json!({ "prompt": "beside", "max_tokens": 50_000, "stream": true });
    let mut beside = Stream::open(engine.address(), &[], body).await;
    assert!(beside.next().await.unwrap().is_some());

    let poison = "please CRASH-ENGINE now";
    let body = json!({ "prompt": poison, "stream": true });
    let killer = Stream::open(engine.address(), &[], body).await.read().await;
    assert!(killer.broken && killer.first.is_none());
    assert!(!engine.is_alive());
    let rest = beside.read().await;
    assert!(rest.broken && !rest.done);
    assert_eq!(engine.reserved(), 0);
    assert_eq!(engine.runs(poison), 1);
    assert_eq!(engine.seen().crashes, 1);

    engine.revive().unwrap();
    let after = complete(engine.address(), "after", 3).await;
    assert_eq!(after.text, answer::whole("after", 3));
    assert_eq!(engine.runs(poison), 1);
    assert_eq!(engine.runs("beside"), 1);
}

#[ntex::test]
async fn killed_midway() {
    let engine = start(config());
    let body = json!({ "prompt": "a menu", "max_tokens": 100_000, "stream": true });
    let mut stream = Stream::open(engine.address(), &[], body).await;
    assert!(stream.next().await.unwrap().is_some());
    engine.kill();
    let rest = stream.read().await;
    assert!(rest.broken && !rest.done);
}

// Stopping is not killing: what runs comes to its end, new callers find nobody.
#[ntex::test]
async fn stopped() {
    let engine = start(config());
    let body = json!({ "prompt": "a menu", "max_tokens": 300, "stream": true });
    let stream = Stream::open(engine.address(), &[], body).await;
    engine.stop();
    let rest = stream.read().await;
    assert_eq!(rest.text, answer::whole("a menu", 300));
    assert!(rest.done);
    let url = format!("http://{}/engine/health", engine.address());
    assert!(common::client().await.get(url).send().await.is_err());
}

// A stalled stream gives one token and then stands still, beside one that goes
// on. It holds its memory until it is cancelled.
#[ntex::test]
async fn stalled() {
    let engine = start(config());
    let text = prompt("STALL-ENGINE", 300);
    let body = json!({ "prompt": text, "max_tokens": 9, "stream": true });
    let mut stalled = Stream::open(engine.address(), &[], body).await;
    assert!(stalled.next().await.unwrap().is_some());
    let beside = complete(engine.address(), "beside", 200).await;
    assert!(beside.done);
    assert_eq!(engine.reserved(), 309);
    drop(stalled);
    until(|| engine.reserved() == 0).await;
}
