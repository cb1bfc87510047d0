//! A passage that prompts begin with crashes each engine that processes it, whatever question
//! follows.

mod fleet;

use std::cell::Cell;

use almondlock_standin::{answer, engine};
use fleet::{Ask, Fleet, fast, text_of};

/// Engines of the fleet.
const ENGINES: usize = 12;
/// Engines that one passage may cost, sent one after the other: the first prompt's two, which
/// prove only that this prompt is to blame, and two more.
const LOST: usize = 4;
/// Prompts with the passage.
const PROMPTS: usize = 30;

/// What all prompts of the organisation begin with.
fn instructions() -> String {
    "Answer in one sentence. ".repeat(120)
}

fn passage(marker: &str) -> String {
    let text = "The lessee pays on the first of each month. ".repeat(100);
    format!("{}{text}{marker} {text}", instructions())
}

async fn refused_after(marker: &str) {
    let fleet = Fleet::new().await;
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        engines.push(fleet.engine(&format!("engine-{n}"), fast()).await);
    }
    let entries = [
        fleet.entry("entry-1").await,
        fleet.entry("entry-2").await,
        fleet.entry("entry-3").await,
    ];
    fleet.settle().await;
    let over = Cell::new(false);
    let crashing = async {
        let mut refused = 0;
        for n in 0..PROMPTS {
            let prompt = format!("{} What about case {n}?", passage(marker));
            let ask = Ask::new(&prompt);
            let answer = text_of(fleet.complete(&entries[n % 3], &ask).await).await;
            let (code, _) = answer.unwrap_err();
            refused += usize::from(code == 2007);
        }
        over.set(true);
        refused
    };
    // Prompts of the same organisation with the same instructions, on another passage.
    let sound = async |who: usize| {
        let (mut served, mut lost) = (0, Vec::new());
        while !over.get() {
            let question = served + lost.len();
            let prompt = format!(
                "{} Case {who}, question {question}?",
                passage("Nothing else.")
            );
            let response = fleet.complete(&entries[who % 3], &Ask::new(&prompt)).await;
            match text_of(response).await {
                Ok(text) => {
                    assert_eq!(text, answer::whole(&prompt, 8));
                    served += 1;
                }
                Err((code, _)) => lost.push(code),
            }
        }
        (served, lost)
    };
    let others = futures::future::join_all((0..3).map(sound));
    let (refused, sound) = futures::join!(crashing, others);
    let lost = engines.iter().filter(|e| !e.is_alive()).count();
    println!("{lost} engines lost, {refused} of {PROMPTS} refused, others: {sound:?}");
    assert!((1..=LOST).contains(&lost), "{lost} engines lost");
    assert!(refused + LOST >= PROMPTS, "{refused} of {PROMPTS} refused");
    for (served, lost) in sound {
        assert!(
            served > 0 && !lost.contains(&2007),
            "{served} served, {lost:?}"
        );
    }
}

/// Guards against a passage that crashes one engine after the other because no two prompts
/// with it are alike, and against others that are refused because they begin like it.
#[ntex::test]
async fn another_question() {
    refused_after(engine::CRASH_MARKER).await;
}

/// The same for engines that crash only once they write.
#[ntex::test]
async fn crash_while_writing() {
    refused_after(engine::WRITING_CRASH_MARKER).await;
}
