//! What callers are told is true, whatever fails meanwhile.

mod fleet;

use std::{
    cell::{Cell, RefCell},
    time::{Duration, Instant},
};

use almondlock_standin::answer;
use fleet::{Entry, Fleet, Sidecar, eventually, fast};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time allowed to a request, and what its last word may take beyond it.
const DEADLINE: Duration = Duration::from_secs(5);
const GRACE: Duration = Duration::from_secs(5);
/// Faults put in, one after the other.
const FAULTS: usize = 14;
/// Callers that ask at the same time.
const CALLERS: usize = 6;

/// What a caller was told of one sending.
#[derive(Debug)]
struct Told {
    prompt: String,
    answer: Option<Result<String, (u64, String)>>,
    took: Duration,
}

struct Run<'a> {
    fleet: &'a Fleet,
    entries: &'a [Entry],
    over: Cell<bool>,
    history: RefCell<Vec<Told>>,
}

impl Run<'_> {
    /// Sends one prompt and notes what came of it.
    async fn send(&self, entry: usize, prompt: &str, key: Option<&str>) -> bool {
        let deadline = DEADLINE.as_millis().to_string();
        let mut headers = vec![("X-Almondlock-Deadline-Ms", deadline.as_str())];
        headers.extend(key.map(|key| ("Idempotency-Key", key)));
        let sent = Instant::now();
        let entry = &self.entries[entry % self.entries.len()];
        let answer = self.fleet.text(entry, prompt, &headers).await;
        let done = matches!(answer, Some(Ok(_)));
        self.history.borrow_mut().push(Told {
            prompt: prompt.to_owned(),
            answer,
            took: sent.elapsed(),
        });
        done
    }

    /// A caller that asks questions, and sends payments again through another
    /// entry host when it doesn't get an answer.
    async fn caller(&self, who: usize) {
        let mut count = 0;
        while !self.over.get() {
            let question = format!("question {who} {count}");
            self.send(who + count, &question, None).await;
            let payment = format!("payment {who} {count}");
            for copy in 0..3 {
                if self
                    .send(who + count + copy, &payment, Some(&payment))
                    .await
                {
                    break;
                }
            }
            count += 1;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn faults(&self, sidecars: &[Sidecar], seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..FAULTS {
            let pause = Duration::from_millis(rng.random_range(200..900));
            let which = rng.random_range(0..3);
            let replica = &self.fleet.replicas[which];
            let sidecar = &sidecars[which];
            match rng.random_range(0..6) {
                0 => {
                    replica.kill();
                    tokio::time::sleep(pause).await;
                    replica.start();
                }
                1 => {
                    replica.pause();
                    tokio::time::sleep(pause * 4).await;
                    replica.resume();
                }
                2 => {
                    sidecar.process.kill();
                    tokio::time::sleep(pause).await;
                    sidecar.process.start();
                }
                3 => {
                    sidecar.process.pause();
                    tokio::time::sleep(pause * 4).await;
                    sidecar.process.resume();
                }
                4 => {
                    sidecar.engine.kill();
                    tokio::time::sleep(pause).await;
                    sidecar.engine.revive().unwrap();
                }
                _ => {
                    let entry = &self.entries[which % self.entries.len()];
                    entry.process.kill();
                    tokio::time::sleep(pause).await;
                    entry.process.start();
                }
            }
            tokio::time::sleep(pause).await;
        }
        self.over.set(true);
    }
}

/// Six callers ask and send payments through two entry hosts, while replicas,
/// sidecars, engines and entry hosts are killed, paused for longer than every
/// heartbeat, and started again. Of every answer: it is whole and the caller's
/// own; what was called not run was never seen by an engine; no payment ran
/// twice, however often it was sent; and every sending had its last word
/// shortly after its time at the latest.
#[ntex::test]
async fn seed_one() {
    let fleet = Fleet::start().await;
    let mut sidecars = Vec::new();
    for n in 0..3 {
        sidecars.push(fleet.sidecar(&format!("engine-{n}"), fast()).await);
    }
    let entries = [fleet.entry("entry-1").await, fleet.entry("entry-2").await];
    for entry in &entries {
        let whole = Some(Ok(answer::whole("warm", 8)));
        eventually(async || fleet.text(entry, "warm", &[]).await == whole).await;
    }
    let run = Run {
        fleet: &fleet,
        entries: &entries,
        over: Cell::new(false),
        history: RefCell::default(),
    };
    let callers = futures::future::join_all((0..CALLERS).map(|who| run.caller(who)));
    futures::join!(run.faults(&sidecars, 1), callers);
    let history = run.history.take();
    let runs = |prompt: &str| -> u32 { sidecars.iter().map(|s| s.engine.runs(prompt)).sum() };
    for told in &history {
        let prompt = &told.prompt;
        match &told.answer {
            Some(Ok(text)) => assert_eq!(*text, answer::whole(prompt, 8), "{told:?}"),
            Some(Err((_, ran))) if ran == "no" && prompt.starts_with("question") => {
                assert_eq!(runs(prompt), 0, "{told:?}");
            }
            Some(Err(_)) | None => {}
        }
        if prompt.starts_with("payment") {
            assert!(runs(prompt) <= 1, "{} runs: {told:?}", runs(prompt));
        }
        assert!(told.took <= DEADLINE + GRACE, "{told:?}");
    }
    let answered = history.iter().filter(|t| matches!(t.answer, Some(Ok(_))));
    let answered = answered.count();
    assert!(
        answered > history.len() / 4,
        "{answered} of {}",
        history.len()
    );
    // When all is well again, everything is answered, and nothing is held.
    for entry in &entries {
        let whole = Some(Ok(answer::whole("after", 8)));
        eventually(async || fleet.text(entry, "after", &[]).await == whole).await;
    }
    eventually(async || sidecars.iter().all(|s| s.engine.reserved() == 0)).await;
}
