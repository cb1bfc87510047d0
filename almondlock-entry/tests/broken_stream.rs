//! An engine dies while it answers.

mod fleet;

use almondlock_standin::{answer, engine};
use fleet::{Ask, Fleet, eventually, text_of};

/// The engine that answers dies in the middle. The rest of the answer comes
/// from another engine, from the token where it broke: the caller sees the
/// same whole answer as if nothing had happened, and no token twice.
#[ntex::test]
async fn resumed() {
    let fleet = Fleet::new().await;
    let one = fleet.engine("engine-1", engine::Config::default()).await;
    let two = fleet.engine("engine-2", engine::Config::default()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let ask = Ask {
        tokens: 60,
        stream: true,
        ..Ask::new("a long story")
    };
    let response = fleet.complete(&entry, &ask).await;
    let died = async {
        let ran = async || one.runs("a long story") + two.runs("a long story") == 1;
        eventually(ran).await;
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        let busy = if one.runs("a long story") == 1 {
            &one
        } else {
            &two
        };
        busy.kill();
    };
    let (body, ()) = futures::join!(response.body(), died);
    let body = String::from_utf8(body.unwrap().to_vec()).unwrap();
    assert!(body.ends_with("data: [DONE]\n\n"), "{body}");
    let text: String = body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|event| serde_json::from_str::<serde_json::Value>(event).ok())
        .filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    assert_eq!(text, answer::whole("a long story", 60));
    // The stand-in counts an answer taken up in its middle as the same run.
    assert_eq!((one.seen().started, two.seen().started), (1, 1));
}

/// The only engine dies in the middle of a request that may not be repeated.
/// The caller must not be given a part as the whole, nor be told that it did
/// not run: the failure says that it ran, and it is not sent anywhere again.
#[ntex::test]
async fn not_repeatable() {
    let fleet = Fleet::new().await;
    let one = fleet.engine("engine-1", engine::Config::default()).await;
    let two = fleet.engine("engine-2", engine::Config::default()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let ask = Ask {
        tokens: 60,
        ..Ask::new("a payment").header("X-Almondlock-Repeatable", "false")
    };
    let died = async {
        let ran = async || one.runs("a payment") + two.runs("a payment") == 1;
        eventually(ran).await;
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        one.kill();
        two.kill();
    };
    let (response, ()) = futures::join!(fleet.complete(&entry, &ask), died);
    let (code, ran) = text_of(response).await.unwrap_err();
    assert!([3002, 3003].contains(&code), "{code}");
    assert_ne!(ran, "no");
    assert_eq!(one.runs("a payment") + two.runs("a payment"), 1);
}

/// The engine takes a request that may not be repeated and dies before it
/// answers anything. From outside this looks much like a connection that was
/// never made, but the request has begun to run: it must not be called "not
/// run", and must not be sent to the other engine.
#[ntex::test]
async fn died_unanswered() {
    let fleet = Fleet::new().await;
    let one = fleet.engine("engine-1", engine::Config::default()).await;
    let two = fleet.engine("engine-2", engine::Config::default()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let prompt = format!("a payment, {}", engine::CRASH_MARKER);
    let ask = Ask::new(&prompt).header("X-Almondlock-Repeatable", "false");
    let (code, ran) = text_of(fleet.complete(&entry, &ask).await)
        .await
        .unwrap_err();
    assert_eq!((code, ran.as_str()), (3002, "unknown"));
    assert_eq!(one.runs(&prompt) + two.runs(&prompt), 1);
}
