//! Prompts larger than one engine run on several, beside short ones.

mod fleet;

use std::{cell::Cell, time::Duration};

use almondlock_node::clock;
use almondlock_standin::{answer, engine};
use fleet::{Ask, Fleet, PATIENCE, eventually, text_of};

const ENGINES: usize = 5;

fn config() -> engine::Config {
    engine::Config {
        memory: 400_000,
        prefill_rate: 2_000_000.0,
        chunk: 20_000,
        ..engine::Config::default()
    }
}

async fn engines(fleet: &Fleet) -> Vec<engine::Handle> {
    engines_with(fleet, config()).await
}

async fn engines_with(fleet: &Fleet, config: engine::Config) -> Vec<engine::Handle> {
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let name = format!("engine-{n}");
        engines.push(fleet.engine(&name, config.clone()).await);
    }
    engines
}

/// A million tokens, each prompt another one. The escape and the wide letter
/// stand all over, so that a cut at a wrong place would be noticed.
fn giant(n: usize) -> String {
    format!("{n:07}\n\u{e9} ").repeat(4_000_000 / 11)
}

fn ask(prompt: &str) -> Ask<'_> {
    Ask::new(prompt).header("X-Almondlock-Deadline-Ms", "60000")
}

async fn freed(engines: &[engine::Handle]) {
    eventually(async || engines.iter().all(|e| e.reserved() == 0)).await;
}

/// Three prompts of a million tokens come at once to five engines, each of
/// which holds less than half of one. Each needs four members (a fifth of each
/// engine is kept for short prompts), so every two of them share some, and a part held by each would block both for ever. All
/// must end whole, and the engines' memory be free again; short prompts are
/// answered throughout.
#[ntex::test]
async fn three_at_once() {
    let fleet = Fleet::new().await;
    let engines = engines(&fleet).await;
    let entries = [fleet.entry("entry-1").await, fleet.entry("entry-2").await];
    fleet.settle().await;
    let prompts: Vec<String> = (0..3).map(giant).collect();
    let over = Cell::new(false);
    let giants = async {
        let all = prompts.iter().enumerate().map(|(n, prompt)| {
            let entry = &entries[n % 2];
            let fleet = &fleet;
            async move { text_of(fleet.complete(entry, &ask(prompt)).await).await }
        });
        let answers = futures::future::join_all(all).await;
        over.set(true);
        answers
    };
    let short = async {
        let mut count = 0;
        while !over.get() {
            let prompt = format!("a short question {count}");
            let response = fleet
                .complete(&entries[count % 2], &Ask::new(&prompt))
                .await;
            assert_eq!(text_of(response).await, Ok(answer::whole(&prompt, 8)));
            count += 1;
        }
        count
    };
    let (answers, count) = futures::join!(giants, short);
    for (prompt, answer) in prompts.iter().zip(answers) {
        assert_eq!(answer, Ok(answer::whole(prompt, 8)));
    }
    assert!(count > 0);
    freed(&engines).await;
}

/// Guards against a refusal of what live engines could hold, because each of them has missed a
/// probe: the prompt's attempts were over long before the engines were looked at again.
#[ntex::test]
async fn missed_probes() {
    let fleet = Fleet::new().await;
    let small = engine::Config {
        memory: 8_000,
        ..config()
    };
    let engines = engines_with(&fleet, small).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let shared = entry.shared();
    let prompt = "a long question ".repeat(80_000 / 16);
    let wanted = ask(&prompt);
    let answered = async { text_of(fleet.complete(&entry, &wanted).await).await };
    let missing = async {
        loop {
            for pool in shared.pool_names() {
                shared.with_pool(&pool, |table| {
                    for name in table.names() {
                        let index = table.find(&name).unwrap();
                        table.record_failure(index, clock::mono());
                    }
                });
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let answer = tokio::select! {
        answer = answered => answer,
        () = missing => unreachable!(),
    };
    assert_eq!(answer, Ok(answer::whole(&prompt, 8)));
    freed(&engines).await;
}

/// One member dies while the parts are processed. The others give their parts
/// back; the caller is answered by the engines that are left.
#[ntex::test]
async fn member_dies() {
    let fleet = Fleet::new().await;
    let engines = engines(&fleet).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let prompt = giant(7);
    let wanted = ask(&prompt);
    let running = fleet.complete(&entry, &wanted);
    let dying = async {
        let busy = || engines.iter().filter(|e| e.reserved() > 0).count();
        eventually(async || busy() >= 2).await;
        engines.iter().find(|e| e.reserved() > 0).unwrap().kill();
    };
    let (response, ()) = futures::join!(running, dying);
    match text_of(response).await {
        Ok(text) => assert_eq!(text, answer::whole(&prompt, 8)),
        Err((code, _)) => assert!([2016, 3002, 3003, 2004, 2010].contains(&code), "{code}"),
    }
    freed(&engines).await;
    let again = text_of(fleet.complete(&entry, &ask(&prompt)).await).await;
    assert_eq!(again, Ok(answer::whole(&prompt, 8)));
    freed(&engines).await;
}

/// Guards against a caller who waits for ever: the link to a member falls silent while it processes
/// its part, and nobody looks whether the session lives.
#[ntex::test]
async fn member_silent() {
    let fleet = Fleet::new().await;
    // All five have to take part, for seconds.
    let slow = engine::Config {
        memory: 8_000,
        prefill_rate: 1_000.0,
        ..config()
    };
    let (first, relay) = fleet.engine_behind("engine-0", slow.clone()).await;
    let mut engines = vec![first];
    for n in 1..ENGINES {
        let name = format!("engine-{n}");
        engines.push(fleet.engine(&name, slow.clone()).await);
    }
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let prompt = "a long question ".repeat(104_000 / 16);
    let wanted = ask(&prompt);
    let cut = async {
        eventually(async || engines.iter().filter(|e| e.reserved() > 0).count() >= 4).await;
        relay.set_silent(true);
    };
    let answered = async { text_of(fleet.complete(&entry, &wanted).await).await };
    let both = async { futures::join!(answered, cut).0 };
    let answer = tokio::time::timeout(PATIENCE, both).await;
    let (code, _) = answer.expect("it is answered").unwrap_err();
    assert!([2016, 3002, 2010].contains(&code), "{code}");
    relay.set_silent(false);
    freed(&engines).await;
}

/// The caller leaves while memory is gathered: what is held goes back.
#[ntex::test]
async fn caller_leaves() {
    let fleet = Fleet::new().await;
    let engines = engines(&fleet).await;
    let entry = fleet.entry("entry-1").await;
    fleet.settle().await;
    let prompt = giant(8);
    {
        let wanted = ask(&prompt);
        let running = std::pin::pin!(fleet.complete(&entry, &wanted));
        let held = async || engines.iter().any(|e| e.reserved() > 0);
        let held = std::pin::pin!(eventually(held));
        futures::future::select(running, held).await;
    }
    eventually(async || entry.shared().active() == 0).await;
    freed(&engines).await;
}
