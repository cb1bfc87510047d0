//! An upstream that leaves gets no new work, and nothing in progress is cut.

mod fleet;

use std::time::Duration;

use almondlock_standin::{answer, engine};
use fleet::{Ask, Fleet, eventually, text_of};

fn slow() -> engine::Config {
    engine::Config {
        batch: 1,
        ..engine::Config::default()
    }
}

/// A drain is confirmed while one request runs and others wait beside the
/// engine. The running one ends whole; those that wait are given back as not
/// run and are answered by the other upstream, also the one that may not be
/// repeated; what comes later goes there too.
#[ntex::test]
async fn planned_stop() {
    let fleet = Fleet::new().await;
    let old = fleet.engine("engine-old", slow()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let running = Ask {
        tokens: 60,
        ..Ask::new("already running")
    };
    let waiting = Ask::new("still waiting");
    let once = Ask::new("waiting, once only").header("Idempotency-Key", "k");
    let drain = async {
        eventually(async || old.runs("already running") == 1).await;
        let waits = async || entry.shared().active() == 3;
        eventually(waits).await;
        let new = fleet.engine("engine-new", slow()).await;
        fleet.drain("engine-old");
        fleet.settle().await;
        let later = text_of(fleet.complete(&entry, &Ask::new("later")).await).await;
        assert_eq!(later, Ok(answer::whole("later", 8)));
        new
    };
    let late = async |ask: &Ask<'_>| {
        eventually(async || old.runs("already running") == 1).await;
        text_of(fleet.complete(&entry, ask).await).await
    };
    let (first, second, third, new) = futures::join!(
        fleet.complete(&entry, &running),
        late(&waiting),
        late(&once),
        drain
    );
    assert_eq!(
        text_of(first).await,
        Ok(answer::whole("already running", 60))
    );
    assert_eq!(second, Ok(answer::whole("still waiting", 8)));
    assert_eq!(third, Ok(answer::whole("waiting, once only", 8)));
    assert_eq!(old.runs("still waiting"), 0);
    assert_eq!(old.runs("waiting, once only"), 0);
    assert_eq!(new.runs("waiting, once only"), 1);
    assert_eq!(old.runs("later"), 0);
}

/// Guards against a planned stop that fails a request: the upstream that takes over is registered
/// before the other one leaves, but the entry host hears of it a moment later.
#[ntex::test]
async fn late_news() {
    let fleet = Fleet::new().await;
    let old = fleet.engine("engine-old", slow()).await;
    let (entry, above) = fleet.entry_behind("entry-1").await;
    fleet.settle().await;
    let running = Ask {
        tokens: 100,
        ..Ask::new("already running")
    };
    let waiting = Ask::new("still waiting").header("X-Almondlock-Repeatable", "false");
    let late = async {
        eventually(async || old.runs("already running") == 1).await;
        text_of(fleet.complete(&entry, &waiting).await).await
    };
    let drain = async {
        eventually(async || old.runs("already running") == 1).await;
        eventually(async || entry.shared().active() == 2).await;
        above.set_silent(true);
        let new = fleet.engine("engine-new", slow()).await;
        fleet.drain("engine-old");
        tokio::time::sleep(Duration::from_millis(500)).await;
        above.set_silent(false);
        new
    };
    let (first, second, new) = futures::join!(fleet.complete(&entry, &running), late, drain);
    assert_eq!(
        text_of(first).await,
        Ok(answer::whole("already running", 100))
    );
    assert_eq!(second, Ok(answer::whole("still waiting", 8)));
    assert_eq!(old.runs("still waiting"), 0);
    assert_eq!(new.runs("still waiting"), 1);
}

/// What the only upstream gives back is refused as not run, long before its deadline.
#[ntex::test]
async fn none_left() {
    let fleet = Fleet::new().await;
    let old = fleet.engine("engine-old", slow()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let running = Ask {
        tokens: 60,
        ..Ask::new("already running")
    };
    let waiting = Ask::new("still waiting");
    let late = async {
        eventually(async || old.runs("already running") == 1).await;
        let answer = async { text_of(fleet.complete(&entry, &waiting).await).await };
        tokio::time::timeout(Duration::from_secs(10), answer).await
    };
    let drain = async {
        eventually(async || entry.shared().active() == 2).await;
        fleet.drain("engine-old");
    };
    let (first, second, ()) = futures::join!(fleet.complete(&entry, &running), late, drain);
    assert!(text_of(first).await.is_ok());
    assert_eq!(second.unwrap(), Err((2004, "no".to_owned())));
}
