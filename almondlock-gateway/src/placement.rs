//! Decides where an attempt goes: which engine answers, which engines help to read the
//! prompt, and on which engines memory is reserved. Obtains a permit if an upstream limits
//! its rate.

use std::rc::Rc;

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_node::clock;
use almondlock_policy::{
    admission,
    share::{Resource, Standing},
    slots::Verdict,
};

use crate::{
    attempt::Fault,
    dialect::Dialect,
    failure::Failure,
    lease::Leases,
    pick::{self, Candidate, Choice, Shortage},
    request::{History, Request, record_failure},
    resources::Resources,
    slots::{Admission, Grant, Waiter},
    startup,
    worker::{Target, Worker},
};

/// Maximum number of placements after engines refused memory. Each one takes a round trip.
const MAX_PLACEMENTS: usize = 4;
/// Fraction of the objective within which a request asks for memory on the answering
/// engine. Engines that leave commands unanswered take most of that time.
const RESERVATION_FRACTION: f64 = 0.25;

/// Result of a placement.
pub(crate) enum Placement<D>
where
    D: Dialect,
{
    /// The attempt can be sent.
    Send(Choice, Box<Resources<D>>),
    /// The attempt waits for a slot and is then placed again.
    Wait(Waiter<D>),
}

/// What is learned while an attempt is being placed.
#[derive(Default)]
struct Search {
    /// Upstreams that have no memory to reserve.
    full: Vec<Upstream>,
    /// Those upstreams in `full` that did not answer.
    silent: Vec<Upstream>,
    /// Number of placements at which an engine refused memory.
    refused_placements: usize,
    /// Number of requests for a permit that were refused.
    refused_permits: usize,
}

impl Search {
    /// Returns whether this is the last placement. It reserves no memory on the answering
    /// engine, which admits the prompt when one of its own streams has ended.
    fn is_last(&self, request: &Request, now: Mono) -> bool {
        let spent = now.since(request.arrived);
        let is_over = spent > request.route.objective.mul_f64(RESERVATION_FRACTION);
        self.refused_placements == MAX_PLACEMENTS || self.refused_placements > 0 && is_over
    }

    /// Records engines that refused memory.
    fn record_refusals<D>(
        &mut self,
        worker: &Worker<D>,
        request: &Request,
        failed: Vec<Fault>,
        attempt: usize,
    ) where
        D: Dialect,
    {
        for fault in failed {
            record_failure(worker, request, &fault, attempt);
            if fault.failure == Failure::Unsent {
                self.silent.extend(fault.upstream.clone());
            }
            self.full.extend(fault.upstream);
        }
        self.refused_placements += 1;
    }
}

/// Chooses the participating upstreams, and reserves memory where a long prompt might find
/// too little. An engine that refuses is left out, and others are chosen.
///
/// **Failure.** Several hosts send long prompts to the same engine before they hear of each
/// other, or an engine writes more than was known. A prompt that doesn't fit there waits a
/// second or two until a stream ends, while the helpers that have read its parts hold them
/// and later prompts queue behind it. An engine that has reserved the memory admits the
/// prompt at once.
pub(crate) async fn place<D>(
    worker: &Rc<Worker<D>>,
    request: &Request,
    history: &History,
    targets: &[Target],
    (after, grant): (Option<u64>, Option<&Grant>),
) -> Result<Placement<D>, Fault>
where
    D: Dialect,
{
    let is_new = history.tried.is_empty() && after.is_none();
    if is_new {
        startup::wait_after_start(worker, request).await;
    }
    let mut search = Search::default();
    loop {
        let now = clock::mono();
        let is_last = search.is_last(request, now);
        if is_last {
            let Search { full, silent, .. } = &mut search;
            full.retain(|upstream| silent.contains(upstream));
        }
        worker.review_pace(now, &request.service);
        let candidates = targets.iter();
        let candidates: Vec<Candidate> = candidates
            .map(|target| worker.candidate(now, target, &history.tried, &search.full))
            .collect();
        let probe = worker
            .may_probe(history)
            .then(|| worker.probe(now, request, targets, &candidates))
            .flatten();
        let is_probe = probe.is_some();
        let choice = probe.map_or_else(|| choose(worker, request, &candidates), Ok);
        let mut choice = choice.map_err(|lack| refuse(worker, request, lack, now))?;
        if is_last {
            choice.shares.retain(|share| share.place != choice.primary);
        }
        let verdict = match is_probe {
            true => Verdict::Send,
            false => admit_to_slot(
                worker,
                request,
                (targets, &candidates),
                &mut choice,
                (is_new, grant),
                now,
            ),
        };
        match verdict {
            Verdict::Send => {}
            Verdict::Wait(ticket) => {
                return Ok(Placement::Wait(Waiter::new(worker, request, ticket)));
            }
            Verdict::Refuse { retry_after } => {
                return Err(Fault {
                    retry_after: Some(retry_after),
                    ..Fault::new(Failure::Unsent, None, "too many wait for a slot")
                });
            }
        }
        let refused = admission_fault(worker, request, (targets, &choice), now);
        if let Some(refused) = refused.filter(|_| is_new) {
            worker.note_refused(request, Resource::Reading, now, refused.retry_after);
            return Err(refused);
        }
        let first = targets.get(choice.primary);
        let first = first.ok_or_else(|| lack_fault(Shortage::Upstream))?;
        if !worker.obtain_permit(request, first).await {
            // The permit is now known to be unavailable, so the next round chooses another
            // upstream.
            search.refused_permits += 1;
            if search.refused_permits > targets.len() {
                return Err(refuse(worker, request, Shortage::Limit, clock::mono()));
            }
            continue;
        }
        let resources = Resources::new(worker, request, targets, &choice, now);
        if choice.shares.is_empty() {
            return Ok(Placement::Send(choice, Box::new(resources)));
        }
        match Leases::acquire(worker, &request.id, targets, &choice.shares).await {
            Ok(leases) => {
                resources.attach_leases(leases);
                return Ok(Placement::Send(choice, Box::new(resources)));
            }
            Err(failed) => search.record_refusals(worker, request, failed, history.tried.len()),
        }
        if is_last {
            return Err(lack_fault(Shortage::Memory));
        }
    }
}

/// Returns the fault for a request that can't be placed. For a rate limit it is known when
/// to try again.
fn refuse<D>(worker: &Worker<D>, request: &Request, lack: Shortage, now: Mono) -> Fault
where
    D: Dialect,
{
    if lack == Shortage::Memory {
        // Memory of engines is held by prompts that are being read.
        worker.note_refused(request, Resource::Reading, now, None);
    }
    match lack {
        Shortage::Upstream | Shortage::Memory | Shortage::Backoff => lack_fault(lack),
        Shortage::Limit => Fault {
            retry_after: Some(worker.limit_retry_after(request, now)),
            ..Fault::new(Failure::Limited, None, lack)
        },
    }
}

/// Returns the fault for a request that can't be placed, without further effects.
pub(crate) fn lack_fault(lack: Shortage) -> Fault {
    Fault::new(Failure::Unsent, None, lack)
}

/// Returns a fault if the prompt would be late, or if the engines' time is better spent on
/// other requests.
fn admission_fault<D>(
    worker: &Worker<D>,
    request: &Request,
    (targets, choice): (&[Target], &Choice),
    now: Mono,
) -> Option<Fault>
where
    D: Dialect,
{
    let snapshot = worker.snapshot();
    let service = snapshot
        .rules
        .as_ref()
        .and_then(|rules| rules.service(&request.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    let (speed, demand) = (engine?, request.demand?);
    let backlog = worker.mean_backlog(now, &request.service, choice);
    let case = admission::Candidate {
        prompt: demand.prompt,
        objective: request.route.objective,
        elapsed: now.since(request.arrived),
        expected_delay: choice.expected,
        backlog,
        // Counts of engines are far below the precision of an `f64`.
        engine_ratio: (choice.helpers.len() + 1) as f64 / targets.len().max(1) as f64,
    };
    let standing = worker.standing(now, request);
    let alone = choice.part + speed.pass_time(1, demand.prompt);
    let returns = admission::check_with_share(speed, &case, standing, alone)?;
    if standing != Standing::Within && admission::check(speed, &case).is_none() {
        worker.note_deprioritised(request, now, "refused");
    }
    let (expected, backlog) = (choice.expected.as_millis(), backlog.as_millis());
    let reason = format!(
        "first event expected in {expected} ms, mean backlog over the last second {backlog} ms"
    );
    Some(Fault {
        retry_after: Some(returns),
        ..Fault::new(Failure::Unsent, None, reason)
    })
}

/// Decides whether a short prompt gets a slot now.
fn admit_to_slot<D>(
    worker: &Worker<D>,
    request: &Request,
    (targets, candidates): (&[Target], &[Candidate]),
    choice: &mut Choice,
    (may_wait, grant): (bool, Option<&Grant>),
    now: Mono,
) -> Verdict
where
    D: Dialect,
{
    let is_short = choice.helpers.is_empty() && choice.part <= pick::MAX_SHORT_READING;
    if !worker.features.slot_admission || !is_short {
        return Verdict::Send;
    }
    let snapshot = worker.snapshot();
    let rules = snapshot.rules.as_ref();
    let service = rules.and_then(|rules| rules.service(&request.service));
    let Some(speed) = service.and_then(|service| service.engine.as_ref()) else {
        return Verdict::Send;
    };
    let question = Admission {
        request,
        speed,
        targets,
        candidates,
        may_wait,
        grant,
    };
    worker.admit(&question, choice, now)
}

/// Chooses an upstream, and helpers if the request is a prompt for engines.
fn choose<D>(
    worker: &Worker<D>,
    request: &Request,
    candidates: &[Candidate],
) -> Result<Choice, Shortage>
where
    D: Dialect,
{
    let snapshot = worker.snapshot();
    let rules = snapshot.rules.as_ref();
    let service = rules.and_then(|rules| rules.service(&request.service));
    let service = service.ok_or(Shortage::Upstream)?;
    let mut rng = worker.rng.borrow_mut();
    match (&service.engine, request.demand) {
        (Some(speed), Some(demand)) => pick::choose_engine(speed, demand, candidates, &mut *rng),
        _ => pick::choose_plain(candidates, &mut *rng),
    }
}
