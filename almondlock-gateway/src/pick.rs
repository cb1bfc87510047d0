//! Which upstream takes a request, and which others help to read its prompt.
//!
//! **Load pattern.** Prompts of five thousand tokens and of a million share the
//! same engines, and the mix swings within seconds. Read whole on one engine, a
//! prompt of 200,000 tokens takes seconds, in which every stream that is being
//! written there stands still and every short prompt behind it is late. Read in
//! parts by many engines it takes none of them longer than the pause that a
//! short stream allows, and its own first event comes sooner as well. So a
//! prompt is cut into as many parts as bring its first event soonest, but into
//! no more than make each part [`PART`] long: a part costs its engines a pass,
//! and smaller ones would only take part in more passes.
//!
//! **Placement.** Each part goes where the least is left to read. The engine
//! that writes the answer also holds the whole context, so it is the one with
//! the most memory free among them.

use std::time::Duration;

use rand::{Rng, RngCore};

use crate::{engine::Speed, load::Total};

/// The reading time that a part of a prompt should have at least. It fits into
/// the pauses of short streams (a few hundred milliseconds) twice, with the
/// steps of the pass itself beside it.
pub const PART: Duration = Duration::from_millis(40);

/// The most engines that may help one request; what the engines' protocol
/// allows.
pub const HELPERS: usize = 16;

/// Part of an engine's memory that is counted on. The rest absorbs answers
/// longer than expected.
const MEMORY_SHARE: f64 = 0.94;

/// An upstream in another failure domain is worth this much more waiting: the
/// way there and back within a region is a millisecond or two, and bytes
/// between domains are paid for.
const ELSEWHERE: Duration = Duration::from_millis(2);

/// A request beyond the places of an upstream waits for another one's end,
/// which takes about this long for a stream of a few dozen events.
const OVERFLOW: Duration = Duration::from_millis(400);

/// One upstream that could take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// What is known to be under way there.
    pub total: Total,
    /// Requests that it works on at one time.
    pub slots: u32,
    /// It stands in this host's failure domain.
    pub near: bool,
    /// It failed lately, or was tried for this request: only if nothing else
    /// is left.
    pub suspect: bool,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens of its answer at most.
    pub output: u64,
}

/// Where a request goes. Numbers are places in the list of candidates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Who answers.
    pub first: usize,
    /// Who reads parts besides. Empty for a short prompt.
    pub helpers: Vec<usize>,
    /// When the first event is expected, from now.
    pub expected: Duration,
    /// The reading time of each part.
    pub part: Duration,
}

/// Chooses among plain services: the one with the fewest requests for its
/// places.
pub fn plain<R>(candidates: &[Candidate], rng: &mut R) -> Option<Choice>
where
    R: RngCore,
{
    let first = least(candidates, rng, |candidate| {
        let requests = f64::from(candidate.total.requests());
        requests / f64::from(candidate.slots.max(1))
    })?;
    Some(Choice {
        first,
        helpers: Vec::new(),
        expected: Duration::ZERO,
        part: Duration::ZERO,
    })
}

/// Chooses among engines.
pub fn engine<R>(
    speed: &Speed,
    demand: Demand,
    candidates: &[Candidate],
    rng: &mut R,
) -> Option<Choice>
where
    R: RngCore,
{
    let whole = speed.reading(demand.prompt);
    let mut order: Vec<(f64, usize)> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| !candidate.suspect)
        .map(|(i, candidate)| (cost(speed, candidate) + rng.random::<f64>() * 1e-3, i))
        .collect();
    order.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    if order.is_empty() {
        return suspects(speed, whole, demand, candidates, rng);
    }
    let most = parts(whole).min(order.len());
    let count = soonest(&order, most, |count| speed.part(demand.prompt, count));
    let chosen = &order[..count];
    let room = |i: usize| free(speed, &candidates[i]);
    let fits = |i: &usize| room(*i) >= demand.prompt + demand.output;
    let places = |i: &usize| candidates[*i].total.requests() < candidates[*i].slots;
    let members = || chosen.iter().map(|(_, i)| *i);
    let first = if count == 1 {
        order.iter().map(|(_, i)| *i).find(|i| fits(i) && places(i))
    } else {
        members().filter(places).max_by_key(|i| room(*i))
    };
    let first = first.or_else(|| members().next())?;
    let part = speed.part(demand.prompt, count);
    let slowest = chosen.last().map_or(0.0, |(cost, _)| *cost);
    Some(Choice {
        first,
        helpers: members().filter(|i| *i != first).take(HELPERS).collect(),
        expected: Duration::from_secs_f64(slowest.max(0.0))
            + part
            + speed.writing(1, demand.prompt),
        part,
    })
}

/// Into how many parts a prompt may be cut at most.
fn parts(whole: Duration) -> usize {
    let parts = (whole.as_secs_f64() / PART.as_secs_f64()).ceil();
    // A prompt's reading time is bounded by its tokens; a float beyond the
    // range saturates.
    (parts as usize).clamp(1, HELPERS + 1)
}

/// How many of the engines, least loaded first, bring the first event soonest.
fn soonest<F>(order: &[(f64, usize)], most: usize, part: F) -> usize
where
    F: Fn(usize) -> Duration,
{
    let end = |count: usize| order[count - 1].0 + part(count).as_secs_f64();
    (1..=most)
        .min_by(|a, b| end(*a).total_cmp(&end(*b)))
        .unwrap_or(1)
}

/// Seconds until a new prompt is read there.
fn cost(speed: &Speed, candidate: &Candidate) -> f64 {
    let total = &candidate.total;
    let mut cost = total.backlog();
    if total.streams > 0 {
        cost += speed.writing(total.streams, total.memory) / 2;
    }
    if total.requests() >= candidate.slots {
        cost += OVERFLOW * (total.requests() - candidate.slots + 1);
    }
    if !candidate.near {
        cost += ELSEWHERE;
    }
    cost.as_secs_f64()
}

fn free(speed: &Speed, candidate: &Candidate) -> u64 {
    // Token counts are far below the precision of an `f64`.
    let counted = (speed.memory as f64 * MEMORY_SHARE) as u64;
    counted.saturating_sub(candidate.total.memory)
}

fn suspects<R>(
    speed: &Speed,
    whole: Duration,
    demand: Demand,
    candidates: &[Candidate],
    rng: &mut R,
) -> Option<Choice>
where
    R: RngCore,
{
    let first = least(candidates, rng, |candidate| cost(speed, candidate))?;
    Some(Choice {
        first,
        helpers: Vec::new(),
        expected: whole + speed.writing(1, demand.prompt),
        part: whole,
    })
}

/// The candidate with the least cost, suspects last, equals by lot.
fn least<R, F>(candidates: &[Candidate], rng: &mut R, cost: F) -> Option<usize>
where
    R: RngCore,
    F: Fn(&Candidate) -> f64,
{
    let keys = candidates.iter().enumerate().map(|(i, candidate)| {
        let far = f64::from(u8::from(!candidate.near)) * 0.05;
        let key = cost(candidate) + far + rng.random::<f64>() * 0.01;
        (candidate.suspect, key, i)
    });
    keys.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
        .map(|(_, _, i)| i)
}
