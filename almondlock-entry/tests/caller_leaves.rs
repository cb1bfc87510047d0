//! A caller that leaves, or whose time is over, leaves nothing behind.

mod fleet;

use std::time::Duration;

use almondlock_standin::engine;
use fleet::{Ask, Fleet, eventually, text_of};

/// The caller closes its connection while its answer streams. The engine is
/// told to stop and its memory is free again.
#[ntex::test]
async fn while_streaming() {
    let fleet = Fleet::new().await;
    let engine = fleet.engine("engine-1", engine::Config::default()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let ask = Ask {
        tokens: 100_000,
        stream: true,
        ..Ask::new("no end")
    };
    let response = fleet.complete(&entry, &ask).await;
    eventually(async || engine.reserved() > 0).await;
    drop(response);
    eventually(async || engine.reserved() == 0).await;
    eventually(async || entry.shared().active() == 0).await;
    assert_eq!(engine.seen().cancelled, 1);
}

/// The caller closes its connection before the first token, while its request
/// waits beside the engine: it must never run.
#[ntex::test]
async fn while_waiting() {
    let fleet = Fleet::new().await;
    let config = engine::Config {
        batch: 1,
        ..engine::Config::default()
    };
    let engine = fleet.engine("engine-1", config).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let long = Ask {
        tokens: 200,
        stream: true,
        ..Ask::new("in front")
    };
    let front = fleet.complete(&entry, &long).await;
    {
        let behind = Ask::new("behind");
        let waiting = std::pin::pin!(fleet.complete(&entry, &behind));
        let waits = std::pin::pin!(eventually(async || entry.shared().active() == 2));
        futures::future::select(waiting, waits).await;
    }
    eventually(async || entry.shared().active() == 1).await;
    drop(front);
    eventually(async || entry.shared().active() == 0).await;
    eventually(async || engine.reserved() == 0).await;
    assert_eq!(engine.runs("behind"), 0);
}

/// The deadline passes while the answer comes: the caller is told so at once,
/// with a number, and the engine's memory is free again.
#[ntex::test]
async fn deadline_running() {
    let fleet = Fleet::new().await;
    let engine = fleet.engine("engine-1", engine::Config::default()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let ask = Ask {
        tokens: 100_000,
        ..Ask::new("no end").header("X-Almondlock-Deadline-Ms", "800")
    };
    let response = fleet.complete(&entry, &ask).await;
    assert!(response.header("retry-after").is_some());
    assert_eq!(text_of(response).await, Err((3001, "yes".to_owned())));
    eventually(async || engine.reserved() == 0).await;
}

/// The deadline passes while the request waits: it is proved not run, and it
/// does not run later.
#[ntex::test]
async fn deadline_waiting() {
    let fleet = Fleet::new().await;
    let config = engine::Config {
        batch: 1,
        ..engine::Config::default()
    };
    let engine = fleet.engine("engine-1", config).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let long = Ask {
        tokens: 100_000,
        stream: true,
        ..Ask::new("in front")
    };
    let front = fleet.complete(&entry, &long).await;
    let ask = Ask::new("behind").header("X-Almondlock-Deadline-Ms", "500");
    let (code, ran) = text_of(fleet.complete(&entry, &ask).await)
        .await
        .unwrap_err();
    assert!([2003, 2005].contains(&code), "{code}");
    assert_eq!(ran, "no");
    drop(front);
    eventually(async || engine.reserved() == 0).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(engine.runs("behind"), 0);
}

/// An engine that stops in the middle of an answer holds its caller no longer
/// than the deadline.
#[ntex::test]
async fn stalled_engine() {
    let fleet = Fleet::new().await;
    fleet.engine("engine-1", engine::Config::default()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let prompt = format!("now {}", engine::STALL_MARKER);
    let ask = Ask::new(&prompt).header("X-Almondlock-Deadline-Ms", "800");
    let answer = text_of(fleet.complete(&entry, &ask).await).await;
    assert_eq!(answer, Err((3001, "yes".to_owned())));
}

/// A caller asks for a long stream and never reads. What is kept for it is
/// bounded at every hop, so its engine's stream stands still; at the deadline
/// its memory is free again, and nothing is left in progress.
#[ntex::test]
async fn slow_reader() {
    use tokio::io::AsyncWriteExt;
    let fleet = Fleet::new().await;
    let config = engine::Config {
        factor: 1_000.0,
        memory: 4_000_000,
        ..engine::Config::default()
    };
    let engine = fleet.engine("engine-1", config).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let body = r#"{"model":"almond","prompt":"no end","max_tokens":1000000,"stream":true}"#;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer acme-key\r\n\
         Content-Type: application/json\r\nX-Almondlock-Deadline-Ms: 3000\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut caller = tokio::net::TcpStream::connect(entry.address())
        .await
        .unwrap();
    caller.write_all(head.as_bytes()).await.unwrap();
    caller.write_all(body.as_bytes()).await.unwrap();
    eventually(async || engine.reserved() > 0).await;
    eventually(async || engine.reserved() == 0).await;
    assert_eq!(engine.seen().finished, 0);
    drop(caller);
    eventually(async || entry.shared().active() == 0).await;
}
