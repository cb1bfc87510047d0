//! An answer is whole, right and the same every time.

mod common;

use almondlock_standin::answer;
use serde_json::json;

use crate::common::{Stream, complete, config, post, prompt, start};

#[ntex::test]
async fn streamed() {
    let engine = start(config());
    let text = prompt("menu", 700);
    let first = complete(engine.address(), &text, 40).await;
    assert_eq!(first.text, answer::whole(&text, 40));
    assert!(first.done && !first.broken);
    assert_eq!(first.usage["prompt_tokens"], 700);
    assert_eq!(first.usage["completion_tokens"], 40);
    assert_eq!(first.usage["prompt_tokens_details"]["cached_tokens"], 0);

    let second = complete(engine.address(), &text, 40).await;
    assert_eq!(second.text, first.text);
    assert_eq!(second.usage["prompt_tokens_details"]["cached_tokens"], 512);
    assert_eq!(engine.runs(&text), 2);
}

#[ntex::test]
async fn unstreamed() {
    let engine = start(config());
    let body = json!({ "model": "almond", "prompt": "a menu", "max_tokens": 5 });
    let (status, value) = post(engine.address(), "/v1/completions", body).await;
    assert_eq!(status, 200);
    assert_eq!(value["choices"][0]["text"], answer::whole("a menu", 5));

    let messages =
        json!([{ "role": "system", "content": "a " }, { "role": "user", "content": "menu" }]);
    let body = json!({ "messages": messages, "max_tokens": 5 });
    let (status, value) = post(engine.address(), "/v1/chat/completions", body).await;
    assert_eq!(status, 200);
    let content = &value["choices"][0]["message"]["content"];
    assert_eq!(*content, answer::whole("a menu", 5));
}

#[ntex::test]
async fn resumed() {
    let engine = start(config());
    let body = json!({ "prompt": "a menu", "max_tokens": 20, "stream": true });
    let headers = [("x-engine-resume-at", "7")];
    let rest = Stream::open(engine.address(), &headers, body)
        .await
        .read()
        .await;
    assert_eq!(rest.first, Some(7));
    assert_eq!(
        answer::whole("a menu", 7) + &rest.text,
        answer::whole("a menu", 20)
    );
    assert_eq!(engine.runs("a menu"), 0);
}

#[ntex::test]
async fn unknown_model() {
    let engine = start(config());
    let body = json!({ "model": "walnut", "prompt": "a menu" });
    assert_eq!(post(engine.address(), "/v1/completions", body).await.0, 404);
}
