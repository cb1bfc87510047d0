//! Memory comes back after each way a request or a handle can end.

mod common;

use almondlock_standin::{
    answer,
    engine::{Config, Handle},
};
use ntex::http::Method;
use serde_json::json;

use crate::common::{Stream, call, config, get, post, prompt, start, until};

async fn long(engine: &Handle, id: &str, text: &str) -> Stream {
    let headers = [("x-engine-request", id)];
    let body = json!({ "prompt": text, "max_tokens": 100_000, "stream": true });
    let mut stream = Stream::open(engine.address(), &headers, body).await;
    assert!(stream.next().await.unwrap().is_some());
    stream
}

#[ntex::test]
async fn cancelled() {
    let engine = start(config());
    let stream = long(&engine, "one", "a menu").await;
    assert!(engine.reserved() > 100_000);
    let listed = get(engine.address(), "/engine/requests").await;
    assert_eq!(listed["requests"][0]["id"], "one");
    assert_eq!(listed["requests"][0]["kind"], "stream");

    let path = "/engine/requests/one";
    let (_, first) = call(Method::DELETE, engine.address(), path, None)
        .await
        .unwrap();
    let (_, again) = call(Method::DELETE, engine.address(), path, None)
        .await
        .unwrap();
    assert_eq!(first["cancelled"], true);
    assert_eq!(again["cancelled"], false);
    assert_eq!(engine.reserved(), 0);
    let rest = stream.read().await;
    assert!(rest.broken && !rest.done);
    assert_eq!(engine.seen().cancelled, 1);
}

// The caller closes its connection; nobody tells the engine in words.
#[ntex::test]
async fn disconnected() {
    let engine = start(config());
    drop(long(&engine, "one", "a menu").await);
    until(|| engine.reserved() == 0).await;
    assert_eq!(engine.seen().cancelled, 1);
}

// The caller leaves while its request still waits for memory.
#[ntex::test]
async fn left_waiting() {
    let engine = start(Config {
        memory: 150_000,
        ..config()
    });
    let _first = long(&engine, "one", "a menu").await;
    let headers = [("x-engine-request", "two")];
    let body = json!({ "prompt": "b menu", "max_tokens": 100_000, "stream": true });
    let second = Stream::open(engine.address(), &headers, body).await;
    until(|| engine.load().queued == 1).await;
    drop(second);
    until(|| engine.load().queued == 0).await;
    assert_eq!(engine.runs("b menu"), 0);
}

// A stream is moved: exported here, imported there, taken up at its offset, and
// cancelled here. Each step leaves memory where it says, and all ends at zero.
#[ntex::test]
async fn handed_over() {
    let (old, new) = (start(config()), start(config()));
    let text = prompt("contract", 4_000);
    let stream = long(&old, "one", &text).await;
    let (_, exported) = post(old.address(), "/engine/kv/export", json!({ "id": "one" })).await;
    let tokens = exported["tokens"].as_u64().unwrap();
    assert!(tokens > 4_000);
    drop(stream);
    until(|| old.reserved() == tokens).await;

    let from = json!({ "handle": exported["handle"], "from": old.address().to_string() });
    let (status, imported) = post(new.address(), "/engine/kv/import", from).await;
    assert_eq!(status, 200);
    assert_eq!(new.reserved(), tokens);

    let body =
        json!({ "prompt": text, "max_tokens": 20, "stream": true, "kv": imported["handle"] });
    let headers = [("x-engine-resume-at", "5")];
    let rest = Stream::open(new.address(), &headers, body)
        .await
        .read()
        .await;
    assert_eq!(rest.text, answer::Key::new(&text).range(5, 20));
    assert!(rest.usage["prompt_tokens_details"]["cached_tokens"].as_u64() >= Some(4_000));
    assert_eq!(new.reserved(), 0);

    let handle = json!({ "handle": exported["handle"] });
    let (_, first) = post(old.address(), "/engine/kv/free", handle.clone()).await;
    let (_, again) = post(old.address(), "/engine/kv/free", handle).await;
    assert_eq!(
        (&first["freed"], &again["freed"]),
        (&true.into(), &false.into())
    );
    assert_eq!(old.reserved(), 0);
}

// The exporting engine is gone before the import: nothing stays reserved.
#[ntex::test]
async fn failed_import() {
    let (old, new) = (start(config()), start(config()));
    old.kill();
    let from = json!({ "handle": "kv-1", "from": old.address().to_string() });
    let (status, _) = post(new.address(), "/engine/kv/import", from).await;
    assert_eq!(status, 502);
    assert_eq!(new.reserved(), 0);
}

#[ntex::test]
async fn too_large() {
    let engine = start(Config {
        memory: 1_000,
        ..config()
    });
    let body = json!({ "prompt": prompt("x", 990), "max_tokens": 11 });
    let (status, _) = post(engine.address(), "/v1/completions", body).await;
    assert_eq!(status, 413);
    assert_eq!(engine.seen().started, 0);
}
