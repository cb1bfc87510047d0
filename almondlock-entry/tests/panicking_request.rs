//! The handling of one request panics, at the entry host or at the sidecar. Its caller is
//! answered, and both processes go on.

mod fleet;

use std::time::Duration;

use almondlock_standin::{answer, engine};
use fleet::{Ask, Fleet, eventually, text_of};
use tokio::time::timeout;
use yare::parameterized;

/// Time within which the caller must be answered: far less than the request's deadline.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const PROMPT: &str = "half done";

/// Makes the tasks of a name panic while a request is running, and returns the answer that its
/// caller gets. Afterwards another request is served.
async fn answer_after(
    fleet: &Fleet,
    task: &'static str,
    ask: Ask<'_>,
) -> Result<String, (u16, String)> {
    let engine = fleet.engine("engine-1", engine::Config::default()).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let asking = async { text_of(fleet.complete(&entry, &ask).await).await };
    let injecting = async {
        eventually(async || engine.runs(PROMPT) == 1).await;
        let owners = fleet.owners();
        owners.iter().for_each(|owner| owner.inject_panic(task));
    };
    let both = async { futures::join!(asking, injecting) };
    let (answer, ()) = timeout(ANSWER_TIMEOUT, both).await.expect("no answer");
    assert!(fleet.owners().iter().all(|owner| owner.is_sound()));
    let next = text_of(fleet.complete(&entry, &Ask::new("next")).await).await;
    assert_eq!(next, Ok(answer::whole("next", 8)));
    answer
}

fn long() -> Ask<'static> {
    Ask {
        tokens: 100,
        ..Ask::new(PROMPT)
    }
}

/// Guards against a caller who waits for an answer until the deadline, and against a process
/// that one request ends.
#[parameterized(
    at_entry = { "request" },
    at_sidecar = { "attempt" },
)]
#[test_macro(ntex::test)]
async fn answered_at_once(task: &'static str) {
    let fleet = Fleet::new().await;
    let answer = answer_after(&fleet, task, long()).await;
    // The only engine isn't tried again.
    let code = if task == "attempt" { 2004 } else { 3011 };
    assert_eq!(answer, Err((code, "unknown".to_owned())));
}

/// Guards against a claim that stays taken for good: each copy of the request would be told
/// that the first one is running.
#[ntex::test]
async fn claim_settled() {
    let fleet = Fleet::new().await;
    let ask = long().header("Idempotency-Key", "k-1");
    let answer = answer_after(&fleet, "claimed-request", ask.clone()).await;
    let lost = Err((3007, "unknown".to_owned()));
    assert_eq!(answer, lost);
    let entry = fleet.entry("entry-2").await;
    let copy = text_of(fleet.complete(&entry, &ask).await).await;
    assert_eq!(copy, lost);
}
