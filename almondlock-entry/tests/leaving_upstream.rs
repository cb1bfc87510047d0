//! An upstream that leaves gets no new work, and nothing in progress is cut.

mod fleet;

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
