//! Where an attempt goes: who answers, who reads parts, whose memory is set aside, and
//! leave to send where an upstream names a limit.

use std::rc::Rc;

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_node::clock;
use almondlock_policy::{
    admission,
    places::Verdict,
    share::{Resource, Standing},
};

use crate::{
    attempt::Broken,
    dialect::Dialect,
    held::Held,
    lease::Leases,
    life::{Course, Request, note},
    pick::{self, Candidate, Choice, Shortage},
    slots::{Admission, Grant, Waiter},
    startup,
    verdict::Failure,
    worker::{Target, Worker},
};

/// How often others are chosen for engines that have no memory to give. Each time takes
/// a way there and back.
const PLACEMENTS: usize = 4;
/// The part of its objective within which a request asks for memory on the engine that
/// answers. Engines that leave orders unanswered take most of that.
const ASKING_SHARE: f64 = 0.25;

/// How a placement ends that doesn't fail.
pub(crate) enum Placed<D>
where
    D: Dialect,
{
    /// The attempt is sent.
    Sent(Choice, Box<Held<D>>),
    /// It waits for a slot, and is then placed anew.
    Waits(Waiter<D>),
}

/// What was found out while an attempt is placed.
#[derive(Default)]
struct Search {
    /// Upstreams that have no memory to give.
    full: Vec<Upstream>,
    /// Those of them that didn't answer.
    silent: Vec<Upstream>,
    /// How often memory was asked for in vain.
    placements: usize,
    /// How often leave to send was asked for in vain.
    questions: usize,
}

impl Search {
    /// Whether memory is asked for no more on the engine that answers: it admits the
    /// prompt when a stream of its own has ended.
    fn is_last(&self, request: &Request, now: Mono) -> bool {
        let spent = now.since(request.arrived);
        let is_over = spent > request.route.objective.mul_f64(ASKING_SHARE);
        self.placements == PLACEMENTS || self.placements > 0 && is_over
    }

    /// Some had no memory to give.
    fn note<D>(
        &mut self,
        worker: &Worker<D>,
        request: &Request,
        failed: Vec<Broken>,
        attempt: usize,
    ) where
        D: Dialect,
    {
        for broken in failed {
            note(worker, request, &broken, attempt);
            if broken.failure == Failure::Unsent {
                self.silent.extend(broken.upstream.clone());
            }
            self.full.extend(broken.upstream);
        }
        self.placements += 1;
    }
}

/// Chooses who takes part, and sets memory aside where a long prompt might find too
/// little. An engine that has none to give is left out, and others are chosen.
///
/// **Failure.** Several hosts send long prompts to the same engine before they hear of
/// each other, or an engine writes more than was known. A prompt that doesn't fit there
/// waits until a stream ends, a second or two, while the engines that have read its
/// parts hold them, and whatever comes to that engine waits behind it. An engine that
/// has set the memory aside admits the prompt at once.
pub(crate) async fn place<D>(
    worker: &Rc<Worker<D>>,
    request: &Request,
    course: &Course,
    targets: &[Target],
    (after, grant): (Option<u64>, Option<&Grant>),
) -> Result<Placed<D>, Broken>
where
    D: Dialect,
{
    let is_new = course.tried.is_empty() && after.is_none();
    if is_new {
        startup::settle(worker, request).await;
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
            .map(|target| worker.candidate(now, target, &course.tried, &search.full))
            .collect();
        let probe = worker
            .may_probe(course)
            .then(|| worker.probe(now, request, targets, &candidates))
            .flatten();
        let is_probe = probe.is_some();
        let choice = probe.map_or_else(|| choose(worker, request, &candidates), Ok);
        let mut choice = choice.map_err(|lack| refused_for(worker, request, lack, now))?;
        if is_last {
            choice.shares.retain(|share| share.place != choice.primary);
        }
        let verdict = match is_probe {
            true => Verdict::Send,
            false => admit(
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
                return Ok(Placed::Waits(Waiter::new(worker, request, ticket)));
            }
            Verdict::Refuse { returns } => {
                return Err(Broken {
                    returns: Some(returns),
                    ..Broken::new(Failure::Unsent, None, "too many wait for a slot")
                });
            }
        }
        let refused = refusal(worker, request, (targets, &choice), now);
        if let Some(refused) = refused.filter(|_| is_new) {
            worker.note_refused(request, Resource::Reading, now, refused.returns);
            return Err(refused);
        }
        let first = targets.get(choice.primary);
        let first = first.ok_or_else(|| lacking(Shortage::Upstream))?;
        if !worker.permit(request, first).await {
            // It is known as spent from now on, so that another one is chosen.
            search.questions += 1;
            if search.questions > targets.len() {
                return Err(refused_for(worker, request, Shortage::Limit, clock::mono()));
            }
            continue;
        }
        let held = Held::new(worker, request, targets, &choice, now);
        if choice.shares.is_empty() {
            return Ok(Placed::Sent(choice, Box::new(held)));
        }
        match Leases::take(worker, &request.id, targets, &choice.shares).await {
            Ok(leases) => {
                held.keep(leases);
                return Ok(Placed::Sent(choice, Box::new(held)));
            }
            Err(failed) => search.note(worker, request, failed, course.tried.len()),
        }
        if is_last {
            return Err(lacking(Shortage::Memory));
        }
    }
}

/// Refused because something is missing. For a limit it is known when to come back.
fn refused_for<D>(worker: &Worker<D>, request: &Request, lack: Shortage, now: Mono) -> Broken
where
    D: Dialect,
{
    if lack == Shortage::Memory {
        // Memory of engines is held by prompts that are read.
        worker.note_refused(request, Resource::Reading, now, None);
    }
    match lack {
        Shortage::Upstream | Shortage::Memory | Shortage::Backoff => lacking(lack),
        Shortage::Limit => Broken {
            returns: Some(worker.limit_returns(request, now)),
            ..Broken::new(Failure::Limited, None, lack)
        },
    }
}

pub(crate) fn lacking(lack: Shortage) -> Broken {
    Broken::new(Failure::Unsent, None, lack)
}

/// Whether a prompt would be late, or the engines' time does more for others.
fn refusal<D>(
    worker: &Worker<D>,
    request: &Request,
    (targets, choice): (&[Target], &Choice),
    now: Mono,
) -> Option<Broken>
where
    D: Dialect,
{
    let known = worker.known();
    let service = known
        .rules
        .as_ref()
        .and_then(|rules| rules.service(&request.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    let (speed, demand) = (engine?, request.demand?);
    let backlog = worker.backlog(now, &request.service, choice);
    let case = admission::Case {
        prompt: demand.prompt,
        objective: request.route.objective,
        spent: now.since(request.arrived),
        expected: choice.expected,
        backlog,
        // Counts of engines are far below the precision of an `f64`.
        taken: (choice.helpers.len() + 1) as f64 / targets.len().max(1) as f64,
    };
    let standing = worker.standing(now, request);
    let alone = choice.part + speed.writing(1, demand.prompt);
    let returns = admission::refusal_of(speed, &case, standing, alone)?;
    if standing != Standing::Within && admission::refusal(speed, &case).is_none() {
        worker.note_deprioritised(request, now, "refused");
    }
    let (expected, backlog) = (choice.expected.as_millis(), backlog.as_millis());
    let reason =
        format!("first event expected in {expected} ms, mean backlog over a second {backlog} ms");
    Some(Broken {
        returns: Some(returns),
        ..Broken::new(Failure::Unsent, None, reason)
    })
}

/// Whether a short prompt gets a slot now.
fn admit<D>(
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
    if !worker.features.places || !is_short {
        return Verdict::Send;
    }
    let known = worker.known();
    let rules = known.rules.as_ref();
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

fn choose<D>(
    worker: &Worker<D>,
    request: &Request,
    candidates: &[Candidate],
) -> Result<Choice, Shortage>
where
    D: Dialect,
{
    let known = worker.known();
    let rules = known.rules.as_ref();
    let service = rules.and_then(|rules| rules.service(&request.service));
    let service = service.ok_or(Shortage::Upstream)?;
    let mut rng = worker.rng.borrow_mut();
    match (&service.engine, request.demand) {
        (Some(speed), Some(demand)) => pick::choose_engine(speed, demand, candidates, &mut *rng),
        _ => pick::choose_plain(candidates, &mut *rng),
    }
}
