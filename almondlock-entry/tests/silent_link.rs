//! The link between entry host and sidecar falls silent without an error.

mod fleet;

use almondlock_standin::{answer, engine};
use fleet::{Ask, Fleet, eventually, fast, text_of};

/// The link is silent when a request that may not be repeated is sent into it.
/// Nobody knows whether it arrived: the caller must not be told that it did not
/// run, and it must not run elsewhere. When the link speaks again, the bytes
/// that lay in it still arrive; whatever comes of them, it has run once at most.
#[ntex::test]
async fn ambiguous_send() {
    let fleet = Fleet::new().await;
    let (one, relay) = fleet.engine_behind("engine-1", fast()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let warm = text_of(fleet.complete(&entry, &Ask::new("warm")).await).await;
    assert_eq!(warm, Ok(answer::whole("warm", 8)));
    relay.set_silent(true);
    let two = fleet.engine("engine-2", fast()).await;
    // The second engine is there, but busy as far as the entry host knows: the
    // request may go either way, and only what went into the silence matters.
    let ask = Ask::new("a payment").header("X-Almondlock-Repeatable", "false");
    let answer = text_of(fleet.complete(&entry, &ask).await).await;
    relay.set_silent(false);
    match answer {
        Ok(text) => assert_eq!(text, answer::whole("a payment", 8)),
        Err((_, ran)) => assert_ne!(ran, "no"),
    }
    let fresh = async || {
        let answer = text_of(fleet.complete(&entry, &Ask::new("after")).await).await;
        answer == Ok(answer::whole("after", 8))
    };
    eventually(fresh).await;
    assert!(one.runs("a payment") + two.runs("a payment") <= 1);
}

/// The same with a request that may be repeated, and with the only way to its
/// upstream silent: another upstream answers it, long before its deadline.
#[ntex::test]
async fn goes_elsewhere() {
    let fleet = Fleet::new().await;
    let (one, relay) = fleet.engine_behind("engine-1", fast()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let warm = text_of(fleet.complete(&entry, &Ask::new("warm")).await).await;
    assert_eq!(warm, Ok(answer::whole("warm", 8)));
    let ask = Ask {
        tokens: 64,
        ..Ask::new("a question")
    };
    let answered = async {
        let response = fleet.complete(&entry, &ask).await;
        text_of(response).await
    };
    let cut = async {
        relay.set_silent(true);
        fleet.engine("engine-2", fast()).await;
    };
    let (answer, ()) = futures::join!(answered, cut);
    relay.set_silent(false);
    // Sent before the second engine was known, it may also have been refused;
    // then it says when to come back, and succeeds.
    if let Err((code, _)) = &answer {
        assert!([2004, 2010, 3002, 3003].contains(code), "{code}");
    }
    let again = async || {
        let answer = text_of(fleet.complete(&entry, &ask).await).await;
        answer == Ok(answer::whole("a question", 64))
    };
    eventually(again).await;
    // What the silent sidecar ran for nobody was cancelled and freed.
    eventually(async || one.reserved() == 0).await;
}

/// The link is silent in the middle of an answer. The caller gets the rest from
/// another engine; when the link speaks again, the first engine's frames come
/// late and out of turn, and none of them reaches a caller.
#[ntex::test]
async fn late_frames() {
    let fleet = Fleet::new().await;
    let (one, relay) = fleet
        .engine_behind("engine-1", engine::Config::default())
        .await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let ask = Ask {
        tokens: 100,
        ..Ask::new("a long story")
    };
    let cut = async {
        eventually(async || one.runs("a long story") == 1).await;
        let two = fleet.engine("engine-2", fast()).await;
        relay.set_silent(true);
        two
    };
    let answered = async {
        let response = fleet.complete(&entry, &ask).await;
        text_of(response).await
    };
    let (answer, _two) = futures::join!(answered, cut);
    relay.set_silent(false);
    assert_eq!(answer, Ok(answer::whole("a long story", 100)));
    for n in 0..20 {
        let prompt = format!("next {n}");
        let next = text_of(fleet.complete(&entry, &Ask::new(&prompt)).await).await;
        assert_eq!(next, Ok(answer::whole(&prompt, 8)));
    }
    eventually(async || one.reserved() == 0).await;
}

/// Guards against a doubled part of an answer: the link speaks again while the sidecar is asked
/// whether the attempt ran, so frames of that attempt arrive before another engine goes on.
#[ntex::test]
async fn frames_while_settled() {
    let fleet = Fleet::new().await;
    let (one, relay) = fleet
        .engine_behind("engine-1", engine::Config::default())
        .await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let ask = Ask {
        tokens: 1_000,
        ..Ask::new("a long story")
    };
    let cut = async {
        eventually(async || one.runs("a long story") == 1).await;
        let two = fleet.engine("engine-2", fast()).await;
        let before = relay.accepted();
        relay.set_silent(true);
        // The session is lost, and a new one is made to ask.
        eventually(async || relay.accepted() > before).await;
        relay.set_silent(false);
        two
    };
    let answered = async { text_of(fleet.complete(&entry, &ask).await).await };
    let (answer, _two) = futures::join!(answered, cut);
    assert_eq!(answer, Ok(answer::whole("a long story", 1_000)));
    eventually(async || one.reserved() == 0).await;
}

/// The link is silent for good while an answer streams: to the sidecar, the
/// entry host has vanished without closing anything. Its lease on the engine's
/// memory ends, and the engine is told to stop and to free it; otherwise each
/// such cut would take a part of the engine's memory for ever.
#[ntex::test]
async fn orphaned_memory() {
    let fleet = Fleet::new().await;
    let (one, relay) = fleet
        .engine_behind("engine-1", engine::Config::default())
        .await;
    let config = almondlock_entry::shared::Config {
        lease: std::time::Duration::from_secs(2),
        ..Default::default()
    };
    let entry = fleet.entry_with("entry-1", config).await;
    fleet.settle().await;
    let ask = Ask {
        tokens: 200_000,
        stream: true,
        ..Ask::new("no end")
    };
    let response = fleet.complete(&entry, &ask).await;
    eventually(async || one.reserved() > 0).await;
    relay.set_silent(true);
    eventually(async || one.reserved() == 0).await;
    drop(response);
    relay.set_silent(false);
}
