//! An upstream that was away is used again.

mod fleet;

use almondlock_standin::{answer, engine};
use fleet::{Ask, Fleet, eventually, fast, text_of};

/// The only engine dies and comes back. Requests are refused as not run while
/// it is away, at once and with when to come back; then they are answered
/// again, without anybody's doing. The entry host once marked it as leaving and
/// never looked at it again.
#[ntex::test]
async fn after_death() {
    let fleet = Fleet::new().await;
    let engine = fleet.engine("engine-1", fast()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let whole = Ok(answer::whole("hello", 8));
    let ask = Ask::new("hello");
    assert_eq!(text_of(fleet.complete(&entry, &ask).await).await, whole);
    engine.kill();
    eventually(async || {
        let response = fleet.complete(&entry, &ask).await;
        let wait = response.header("retry-after").is_some();
        match text_of(response).await {
            Err((2004 | 2010, ran)) => wait && ran == "no",
            _ => false,
        }
    })
    .await;
    engine.revive().unwrap();
    let again = async || text_of(fleet.complete(&entry, &ask).await).await == whole;
    eventually(again).await;
}

/// The same, but the engine comes back at another address, and announces
/// itself from there under its name.
#[ntex::test]
async fn other_address() {
    use almondlock_base::id::{Model, Upstream, Version};
    use almondlock_sidecar::announce::Announcement;
    use almondlock_state::config::Kind;
    let fleet = Fleet::new().await;
    let registry = fleet.sidecar("host-1").await;
    let announce = async |engine: &engine::Handle| {
        let announcement = Announcement {
            name: Upstream::new("engine-1").unwrap(),
            address: engine.address(),
            kind: Kind::Engine,
            model: Some(Model::new("almond").unwrap()),
            version: Some(Version::new("1").unwrap()),
            service: None,
            capacity: 400_000,
            slots: Some(64),
            prefill_rate: None,
            fenced: true,
            resumable: true,
        };
        registry.announce(announcement).await.unwrap();
    };
    let first = engine::Engine::start(fast()).unwrap();
    announce(&first).await;
    fleet.await_upstream("engine-1").await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let ask = Ask::new("hello");
    let whole = Ok(answer::whole("hello", 8));
    assert_eq!(text_of(fleet.complete(&entry, &ask).await).await, whole);
    first.kill();
    let second = engine::Engine::start(fast()).unwrap();
    announce(&second).await;
    let again = async || text_of(fleet.complete(&entry, &ask).await).await == whole;
    eventually(again).await;
    assert_eq!(second.runs("hello"), 1);
}
