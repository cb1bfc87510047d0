//! Callers get whole and right answers, streamed or in one piece.

mod fleet;

use almondlock_standin::answer;
use fleet::{Ask, Fleet, fast, text_of};

#[ntex::test]
async fn one_document() {
    let fleet = Fleet::new().await;
    fleet.engine("engine-1", fast()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let response = fleet.complete(&entry, &Ask::new("hello there")).await;
    assert_eq!(text_of(response).await, Ok(answer::whole("hello there", 8)));
}

#[ntex::test]
async fn event_stream() {
    let fleet = Fleet::new().await;
    fleet.engine("engine-1", fast()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let ask = Ask {
        stream: true,
        ..Ask::new("hello there")
    };
    let response = fleet.complete(&entry, &ask).await;
    assert!(response.header("x-almondlock-request-id").is_some());
    let body = response.body().await.unwrap();
    let body = String::from_utf8(body.to_vec()).unwrap();
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    let events = body.lines().filter_map(|line| line.strip_prefix("data: {"));
    let text: String = events
        .map(|event| serde_json::from_str::<serde_json::Value>(&format!("{{{event}")).unwrap())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    assert_eq!(text, answer::whole("hello there", 8));
}

#[ntex::test]
async fn long_body() {
    let fleet = Fleet::new().await;
    let config = almondlock_standin::engine::Config {
        memory: 2_000_000,
        prefill_rate: 10_000_000.0,
        ..fast()
    };
    fleet.engine("engine-1", config).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let prompt = "a long tale ".repeat(330_000);
    let response = fleet.complete(&entry, &Ask::new(&prompt)).await;
    assert_eq!(text_of(response).await, Ok(answer::whole(&prompt, 8)));
}
