//! Requests that run at most once.
//!
//! Such a request is claimed at the control replicas before anything is handed
//! on. Once it is granted it runs to its end whether or not its caller stays:
//! a caller that timed out sends it again, and is then given what the first
//! copy came to. So it is detached from its caller here, and the outcome is
//! left with the replicas before the caller hears of it.

use std::{rc::Rc, time::Duration};

use almondlock_base::{Code, Ran, id::Attempt};
use almondlock_node::{
    clock,
    replicas::{Claim, Verdict},
};
use almondlock_state::blob::Blob;
use almondlock_wire::answer::Usage;
use tokio::{
    sync::{mpsc, oneshot},
    task::spawn_local,
};
use tracing::Instrument;

use crate::{
    answer::{Cost, Kept},
    attempt::Piece,
    failure::Failure,
    life::Worker,
    request::Request,
};

/// Pieces gathered before the run waits for the gatherer.
const DEPTH: usize = 64;
/// How long the replicas are tried with an outcome before it is given up; the
/// claim then stays open until its holder's life ends, and is never granted.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The most of the time left that a claim may take.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// When to come back for the answer of a copy that is running.
const RUNNING_RETRY: Duration = Duration::from_secs(1);

/// Runs a request at most once, fleet-wide.
pub async fn run(
    worker: Rc<Worker>,
    request: Rc<Request>,
    key: String,
    pieces: mpsc::Sender<Piece>,
) -> Result<(), Failure> {
    let claim = Claim {
        organisation: request.organisation.clone(),
        key,
        body: request.digest,
        holder: holder(&worker),
        keep: worker.shared.config.keep,
    };
    let allowed = request.left(clock::mono()).min(CLAIM_TIMEOUT);
    let hop = tracing::info_span!(
        "claim",
        request = %request.id,
        traceparent = %worker.hop(&request),
        parent = %request.context.span(),
    );
    let asked = worker.replicas.claim(&claim, allowed).instrument(hop);
    let verdict = asked.await;
    worker.note(
        &request,
        format!("claim {}: {verdict:?}", claim.holder)
            .chars()
            .take(200)
            .collect(),
    );
    match verdict {
        Ok(Verdict::Granted) => {}
        Ok(Verdict::Done(bytes)) => return replay(&bytes, &pieces).await,
        Ok(Verdict::Refused(code)) => return Err(refusal(code)),
        Err(_) => {
            // It may have been granted all the same, to a holder that will not
            // run it: freed in the background, so that a copy sent later isn't
            // told for ever that this one is running.
            let owner = worker.shared.handle.owner().clone();
            owner.spawn_part("claim-release", free(worker, claim));
            return Err(Failure::new(Code::ClaimUnavailable).retry_after(RUNNING_RETRY));
        }
    }
    let owner = worker.shared.handle.owner().clone();
    let (tell, ended) = oneshot::channel();
    // Goes on when the caller leaves, so that a copy of the request finds the outcome.
    spawn_local(async move {
        let held = hold(Rc::clone(&worker), request, claim.clone(), pieces);
        let result = match owner.guard("claimed-request", held).await {
            Ok(result) => result,
            Err(_) => {
                // Copies of the request would be told for good that this one is running.
                settle(&worker, &claim, Ran::Unknown, &[]).await;
                Err(Failure::new(Code::OutcomeLost))
            }
        };
        // Without a receiver the caller has left.
        let _ = tell.send(result);
    });
    ended
        .await
        .unwrap_or_else(|_| Err(Failure::new(Code::OutcomeLost)))
}

fn holder(worker: &Worker) -> Attempt {
    worker.shared.attempt()
}

fn refusal(code: Code) -> Failure {
    let failure = Failure::new(code);
    if code.is_retryable() {
        failure.retry_after(RUNNING_RETRY)
    } else {
        failure
    }
}

async fn free(worker: Rc<Worker>, claim: Claim) {
    let told = worker.replicas.settle(&claim, Ran::No, &[], SETTLE_TIMEOUT);
    if let Err(code) = told.await {
        tracing::warn!(%code, holder = %claim.holder, "a claim could not be freed");
    }
}

/// Runs a granted request to its end and leaves its outcome with the replicas.
async fn hold(
    worker: Rc<Worker>,
    request: Rc<Request>,
    claim: Claim,
    pieces: mpsc::Sender<Piece>,
) -> Result<(), Failure> {
    let (own, mut gathered) = mpsc::channel(DEPTH);
    let gather = async {
        let mut kept = Kept::default();
        let mut caller = Some(pieces);
        let mut last = None;
        while let Some(piece) = gathered.recv().await {
            take(&mut kept, &piece);
            if matches!(piece, Piece::End(_)) {
                // Held back until the outcome is safe.
                last = Some(piece);
            } else if let Some(to) = &caller
                && to.send(piece).await.is_err()
            {
                caller = None;
            }
        }
        (kept, caller.zip(last))
    };
    let run = async {
        let result = worker.run(&request, &own).await;
        drop(own);
        result
    };
    let (result, (kept, end)) = futures::join!(run, gather);
    let ran = match &result {
        Ok(()) => Ran::Yes,
        Err(failure) => failure.ran,
    };
    let outcome = match &result {
        Ok(()) => serde_json::to_vec(&kept).unwrap_or_default(),
        Err(_) => Vec::new(),
    };
    settle(&worker, &claim, ran, &outcome).await;
    if let Some((caller, piece)) = end {
        let _ = caller.send(piece).await;
    }
    result
}

async fn settle(worker: &Worker, claim: &Claim, ran: Ran, outcome: &[u8]) {
    // An answer that was not whole is not kept as one: later copies are told
    // that it may have run and that its answer is lost.
    let ran = if outcome.is_empty() && ran == Ran::Yes {
        Ran::Unknown
    } else {
        ran
    };
    let told = worker
        .replicas
        .settle(claim, ran, outcome, SETTLE_TIMEOUT)
        .await;
    if let Err(code) = told {
        tracing::warn!(%code, holder = %claim.holder, "an outcome could not be left");
    }
}

fn take(kept: &mut Kept, piece: &Piece) {
    match piece {
        Piece::Restart => *kept = Kept::default(),
        Piece::Begin(status, content_type) => {
            kept.status = *status;
            kept.content_type.clone_from(content_type);
        }
        Piece::Text(text) => kept.text.push_str(text),
        Piece::Bytes(bytes) => kept.bytes.0.extend_from_slice(bytes),
        Piece::End(usage) => kept.usage = Cost::from(usage),
    }
}

/// Gives a second copy the answer that the first one got.
async fn replay(bytes: &[u8], pieces: &mpsc::Sender<Piece>) -> Result<(), Failure> {
    let kept: Kept =
        serde_json::from_slice(bytes).map_err(|_| Failure::new(Code::AnswerDropped))?;
    let Blob(bytes) = kept.bytes;
    let parts = [
        Some(Piece::Begin(kept.status, kept.content_type)),
        (!kept.text.is_empty()).then_some(Piece::Text(kept.text)),
        (!bytes.is_empty()).then_some(Piece::Bytes(bytes)),
        Some(Piece::End(Usage::from(&kept.usage))),
    ];
    for piece in parts.into_iter().flatten() {
        let sent = pieces.send(piece).await;
        sent.map_err(|_| Failure::new(Code::CallerLeft))?;
    }
    Ok(())
}
