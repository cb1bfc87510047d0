//! One request kills each engine that runs it, and its caller sends it again.

mod fleet;

use std::cell::Cell;

use almondlock_standin::{answer, engine};
use fleet::{Ask, Fleet, fast, text_of};

/// Engines that one poisonous request may cost, however often it is sent.
const LOST: usize = 3;

/// The caller sends its deadly request forty times through three entry hosts,
/// beside another organisation's innocent traffic on the same engines. Each
/// death blames all that ran there, so innocents become suspects too; run
/// again, never beside another suspect, they finish and are cleared. The
/// deadly one is refused everywhere after the deaths that prove it.
#[ntex::test]
async fn forty_copies() {
    let fleet = Fleet::new().await;
    let mut engines = Vec::new();
    for n in 0..6 {
        let name = format!("engine-{n}");
        engines.push(fleet.engine(&name, fast()).await);
    }
    let entries = [
        fleet.entry("entry-1").await,
        fleet.entry("entry-2").await,
        fleet.entry("entry-3").await,
    ];
    fleet.settle().await;
    let deadly = format!("please {} now", engine::CRASH_MARKER);
    let over = Cell::new(false);
    let poison = async {
        let mut refused = 0;
        for n in 0..40 {
            let ask = Ask::new(&deadly);
            let answer = text_of(fleet.complete(&entries[n % 3], &ask).await).await;
            let (code, _) = answer.unwrap_err();
            refused += usize::from(code == 2007);
        }
        over.set(true);
        refused
    };
    let innocent = async |who: usize| {
        let mut count = 0;
        while !over.get() {
            let prompt = format!("innocent {who} {count}");
            let ask = Ask {
                organisation: "bolt",
                ..Ask::new(&prompt)
            };
            let response = fleet.complete(&entries[who % 3], &ask).await;
            assert_eq!(text_of(response).await, Ok(answer::whole(&prompt, 8)));
            count += 1;
        }
        count
    };
    let others = futures::future::join_all((0..6).map(innocent));
    let (refused, counts) = futures::join!(poison, others);
    let lost = engines.iter().filter(|e| !e.is_alive()).count();
    assert!((1..=LOST).contains(&lost), "{lost} engines lost");
    assert!(refused >= 36, "{refused} of 40 refused");
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}

/// Forty copies come at the same moment through three entry hosts, none of
/// which has heard of anything. Each lets one copy run before the others; from
/// the first death on, a run must be charged before it starts. So at most one
/// engine is lost for each entry host, and two for all charged runs together.
#[ntex::test]
async fn same_moment() {
    let fleet = Fleet::new().await;
    let mut engines = Vec::new();
    for n in 0..8 {
        let name = format!("engine-{n}");
        engines.push(fleet.engine(&name, fast()).await);
    }
    let entries = [
        fleet.entry("entry-1").await,
        fleet.entry("entry-2").await,
        fleet.entry("entry-3").await,
    ];
    fleet.settle().await;
    let deadly = format!("please {} now", engine::CRASH_MARKER);
    let copies = (0..40).map(|n| {
        let (fleet, entry, deadly) = (&fleet, &entries[n % 3], &deadly);
        async move { text_of(fleet.complete(entry, &Ask::new(deadly)).await).await }
    });
    let answers = futures::future::join_all(copies).await;
    assert!(answers.iter().all(Result::is_err));
    let lost = engines.iter().filter(|e| !e.is_alive()).count();
    let limit = almondlock_policy::poison::loss_limit(&Default::default(), 3);
    assert!((1..=limit as usize).contains(&lost), "{lost} engines lost");
    // What is left of the fleet serves on.
    let prompt = "an innocent question";
    let answer = text_of(fleet.complete(&entries[0], &Ask::new(prompt)).await).await;
    assert_eq!(answer, Ok(answer::whole(prompt, 8)));
}
