//! Requests that may not be repeated run at most once, fleet-wide.

mod fleet;

use almondlock_standin::answer;
use fleet::{Ask, Fleet, eventually, fast, text_of};

fn keyed(key: &str) -> Ask<'_> {
    Ask::new("the only payment").header("Idempotency-Key", key)
}

/// A caller times out and sends its payment again; the balancer gives the copy
/// to another entry host at the same instant. Both callers must see one answer
/// or a number that says it is running, and the engine must see it once:
/// the claim is decided before anything is handed on.
#[ntex::test]
async fn same_instant() {
    let fleet = Fleet::new().await;
    let engine = fleet.engine("engine-1", fast()).await;
    let one = fleet.entry("entry-1").await;
    let two = fleet.entry("entry-2").await;
    fleet.settle().await;
    let ask = keyed("t-1");
    let (first, second) = futures::join!(fleet.complete(&one, &ask), fleet.complete(&two, &ask));
    let answers = [text_of(first).await, text_of(second).await];
    let whole = Ok(answer::whole("the only payment", 8));
    let running = Err((3006, "yes".to_owned()));
    assert!(answers.contains(&whole), "{answers:?}");
    assert!(
        answers.iter().all(|a| *a == whole || *a == running),
        "{answers:?}"
    );
    assert_eq!(engine.runs("the only payment"), 1);
}

/// The copy comes after the first has been answered, through another entry
/// host: it is given the same answer, and nothing runs.
#[ntex::test]
async fn after_answer() {
    let fleet = Fleet::new().await;
    let engine = fleet.engine("engine-1", fast()).await;
    let one = fleet.entry("entry-1").await;
    let two = fleet.entry("entry-2").await;
    fleet.settle().await;
    let ask = keyed("t-2");
    let first = text_of(fleet.complete(&one, &ask).await).await;
    let second = text_of(fleet.complete(&two, &ask).await).await;
    assert_eq!(first, Ok(answer::whole("the only payment", 8)));
    assert_eq!(second, first);
    assert_eq!(engine.runs("the only payment"), 1);
}

/// The caller hangs up while its payment runs. The run goes on, because the
/// copy that the caller will send must be given its outcome.
#[ntex::test]
async fn caller_gone() {
    let fleet = Fleet::new().await;
    let engine = fleet.engine("engine-1", almondlock_standin::engine::Config::default());
    let engine = engine.await;
    let one = fleet.entry("entry-1").await;
    let two = fleet.entry("entry-2").await;
    fleet.settle().await;
    let ask = Ask {
        tokens: 32,
        ..keyed("t-3")
    };
    {
        let first = std::pin::pin!(fleet.complete(&one, &ask));
        let started = eventually(async || engine.runs("the only payment") == 1);
        futures::future::select(first, std::pin::pin!(started)).await;
    }
    let whole = answer::whole("the only payment", 32);
    eventually(async || {
        let copy = text_of(fleet.complete(&two, &ask).await).await;
        match copy {
            Ok(text) => {
                assert_eq!(text, whole);
                true
            }
            Err(error) => {
                assert_eq!(error, (3006, "yes".to_owned()));
                false
            }
        }
    })
    .await;
    assert_eq!(engine.runs("the only payment"), 1);
}

/// The same key with another body is another payment under a used key: it is
/// refused, and does not run.
#[ntex::test]
async fn other_body() {
    let fleet = Fleet::new().await;
    let engine = fleet.engine("engine-1", fast()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    text_of(fleet.complete(&entry, &keyed("t-4")).await)
        .await
        .unwrap();
    let other = Ask::new("another payment").header("Idempotency-Key", "t-4");
    let refused = text_of(fleet.complete(&entry, &other).await).await;
    assert_eq!(refused, Err((1008, "no".to_owned())));
    assert_eq!(engine.runs("another payment"), 0);
}

/// No quorum answers: at-most-once can't be promised, so the payment is refused
/// as not run, and it was not run. Repeatable work goes on.
#[ntex::test]
async fn no_quorum() {
    let fleet = Fleet::new().await;
    let engine = fleet.engine("engine-1", fast()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    fleet.control.mute.set(true);
    let ask = keyed("t-5").header("X-Almondlock-Deadline-Ms", "700");
    let refused = text_of(fleet.complete(&entry, &ask).await).await;
    assert_eq!(refused, Err((2008, "no".to_owned())));
    assert_eq!(engine.runs("the only payment"), 0);
    let other = text_of(fleet.complete(&entry, &Ask::new("a question")).await).await;
    assert_eq!(other, Ok(answer::whole("a question", 8)));
}
