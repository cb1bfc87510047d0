//! Which upstream takes a request, and which others help to read its prompt.
//!
//! **Load pattern.** Prompts of five thousand tokens and of a million share the
//! same engines, and the mix swings within seconds. Read whole on one engine, a
//! prompt of 200,000 tokens takes seconds, in which every stream that is being
//! written there stands still and every short prompt behind it is late. Read in
//! parts by many engines it takes none of them longer than the pause that a
//! short stream allows, and its own first event comes sooner as well. So a
//! prompt is cut into as many parts as bring its first event soonest, but into
//! no more than make each part 40 ms long: a part costs its engines a pass,
//! and smaller ones would only take part in more passes.
//!
//! **Three groups.** Short streams are packed onto as few engines as write them
//! without delay, counted from one end of a list that all entry hosts have in
//! the same order. Of the others the last few write the answers to long prompts,
//! and the rest only read. The borders follow the streams under way, so they
//! move within a second of the mix, and no engine changes groups by decree: what
//! it still reads or writes makes it dearer for other work until it is done.
//!
//! **Readers apart from writers.** A pass that writes stops at each step for up
//! to a chunk of whatever is read beside it, so a part of half a second delays
//! the next event of every stream on its engine by as much, and parts of several
//! prompts add up. So streams of long prompts are written on engines that read
//! only the first part of what they will write. The memory that a writer lacks is
//! held by readers.
//!
//! **Turns of the mix.** When short prompts give way to long ones, engines that were
//! packed with short streams become readers while the last of those end. A long
//! prompt can wait for a reader that writes none for a part of its objective; a
//! short stream that stands still for one large part is late. So each stream makes
//! its engine costlier by as much, until parts that are read there already have made
//! it late in any case.
//!
//! **Placement.** Each part goes where the least is left to read. A prompt whose
//! parts are too large for any stream beside them is written by a reader that
//! writes nothing else.

mod groups;
mod long;
mod selection;
mod slots;

use std::{collections::BTreeMap, time::Duration};

use almondlock_policy::{cell, engine::Speed};
use rand::{Rng, RngCore};

pub(crate) use self::slots::is_backlogged;
pub use self::slots::{draw_engine_with_slot, redirect, slot_duration, slot_usage};
use self::{
    groups::{Groups, order_by_limits},
    selection::{Selection, read_delay},
};
use crate::{load::Total, memory::Share};

/// A prompt that one engine reads in this time is short: it is read whole, and
/// its engine's other streams hardly notice.
pub const MAX_SHORT_READING: Duration = Duration::from_millis(120);

/// A part that any engine may read: with a pass of its own it stays within the
/// shortest pauses that streams allow.
const SHORT_PART: Duration = Duration::from_millis(35);

/// The most engines that may read parts of one prompt: the engines' protocol takes
/// a list of so many, in which the one that answers stands for its memory.
pub const MAX_READERS: usize = 16;

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
    /// How it stands with the limit that it names, if it does.
    pub quota: Quota,
    /// It said just now that it has no memory to set aside.
    pub full: bool,
    /// Its cell. This host's own one is 0.
    pub cell: usize,
    /// Work that it does in a time, against what its figures say. At most 1.
    pub rate: f64,
    /// It fails often or is far slower than others: only if nothing else is left.
    pub ejected: bool,
}

impl Candidate {
    /// Whether it gets requests only if nothing else is left.
    pub(crate) const fn is_avoided(&self) -> bool {
        self.suspect || self.ejected
    }

    /// Whether a request may be sent to it now.
    pub(crate) const fn may_answer(&self) -> bool {
        !matches!(self.quota, Quota::Exhausted)
    }

    /// Whether a request that is sent to it now gets a slot.
    pub(crate) const fn has_slot(&self) -> bool {
        self.total.waiting + self.total.streams < self.slots
    }

    /// Whether it may be sent orders for memory, which its limit would count.
    const fn takes_orders(&self) -> bool {
        matches!(self.quota, Quota::Unlimited)
    }
}

/// How an upstream stands with a limit on requests of all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quota {
    /// It names none.
    Unlimited,
    /// There may be room for a request.
    Available,
    /// There is none now. It may still read parts for others, which are no requests of
    /// hosts.
    Exhausted,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Tokens of its answer at most.
    pub output: u64,
    /// When its first event should be there, from now.
    pub objective: Duration,
}

/// Where a request goes. Numbers are places in the list of candidates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Who answers.
    pub primary: usize,
    /// Who reads parts besides. Empty for a short prompt.
    pub helpers: Vec<usize>,
    /// Memory that has to be set aside before the prompt is sent. Empty for a short
    /// prompt. Invariant: one on the engine that answers comes first, all others are
    /// on helpers.
    pub shares: Vec<Share>,
    /// When the first event is expected, from now.
    pub expected: Duration,
    /// The reading time of each part.
    pub part: Duration,
    /// What an engine has left to read, in the mean of all.
    pub backlog: Duration,
}

impl Choice {
    fn single(primary: usize) -> Choice {
        Choice {
            primary,
            helpers: Vec::new(),
            shares: Vec::new(),
            expected: Duration::ZERO,
            part: Duration::ZERO,
            backlog: Duration::ZERO,
        }
    }
}

/// What is missing for a request to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Shortage {
    /// No upstream is enrolled that could take it.
    #[error("no instance is enrolled")]
    Upstream,
    /// The engines together don't have the memory free that its prompt takes.
    #[error("the engines don't have enough memory free")]
    Memory,
    /// Every upstream that could take it is at the limit that it names.
    #[error("every upstream is at its limit")]
    Limit,
    /// Every upstream that could take it has asked for a pause, or leaves.
    #[error("every upstream has asked for a pause or leaves")]
    Backoff,
}

/// Chooses among plain services: the one with the fewest requests for its
/// places.
pub fn choose_plain<R>(candidates: &[Candidate], rng: &mut R) -> Result<Choice, Shortage>
where
    R: RngCore,
{
    let open = open(candidates)?;
    let first = find_cheapest(candidates, &open, rng, |candidate| {
        let requests = f64::from(candidate.total.requests());
        // The request itself takes longer as well where the rate is below 1.
        let own = if candidate.rate < 1.0 { 1.0 } else { 0.0 };
        let requests = (requests + own) / candidate.rate - own;
        requests / f64::from(candidate.slots.max(1))
    });
    first.map(Choice::single).ok_or(Shortage::Upstream)
}

/// Chooses among engines. All entry hosts must list them in the same order:
/// the sides are counted from its two ends.
pub fn choose_engine<R>(
    speed: &Speed,
    demand: Demand,
    candidates: &[Candidate],
    rng: &mut R,
) -> Result<Choice, Shortage>
where
    R: RngCore,
{
    let healthy: Vec<usize> = (0..candidates.len())
        .filter(|i| !candidates[*i].is_avoided())
        .collect();
    if !healthy.iter().any(|i| candidates[*i].may_answer()) {
        return choose_suspect(speed, demand, candidates, rng);
    }
    let field = Selection {
        speed,
        demand,
        candidates,
    };
    let mut cells: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for i in healthy {
        cells.entry(candidates[i].cell).or_default().push(i);
    }
    let mut cells = cells.into_values();
    let own = cells.next().ok_or(Shortage::Upstream)?;
    let others: Vec<Vec<usize>> = cells.collect();
    let own = field.place(&own, rng);
    let others = cell::sample_others(others.len(), rng)
        .into_iter()
        .filter_map(|i| field.place(&others[i], rng).ok());
    let other = others.min_by_key(|choice| choice.expected);
    match (own, other) {
        (Ok(own), Some(other)) if other.expected + cell::OVERFLOW_MARGIN < own.expected => {
            Ok(other)
        }
        (Err(_), Some(other)) => Ok(other),
        (own, _) => own,
    }
}

impl Selection<'_> {
    /// Chooses among the engines of one cell.
    fn place<R>(&self, engines: &[usize], rng: &mut R) -> Result<Choice, Shortage>
    where
        R: RngCore,
    {
        let (speed, prompt) = (self.speed, self.demand.prompt);
        let engines = &order_by_limits(engines, self.candidates);
        let groups = Groups::divide(speed, engines, self.candidates);
        let thin = speed.part_reading_time(prompt, engines.len().min(MAX_READERS)) <= SHORT_PART;
        let is_short = speed.reading_time(prompt) <= MAX_SHORT_READING;
        let choice = match (is_short, thin && !groups.long.is_empty()) {
            (true, _) => self.choose_short(&groups, rng).ok_or(Shortage::Upstream),
            (false, true) => self.choose_medium(&groups, rng).ok_or(Shortage::Upstream),
            (false, false) => self.choose_long(&groups, rng),
        };
        let count = u32::try_from(engines.len()).unwrap_or(1).max(1);
        let backlogs = engines.iter().map(|i| self.candidates[*i].total.backlog());
        let backlog = backlogs.sum::<Duration>() / count;
        choice.map(|choice| Choice { backlog, ..choice })
    }
}

fn choose_suspect<R>(
    speed: &Speed,
    demand: Demand,
    candidates: &[Candidate],
    rng: &mut R,
) -> Result<Choice, Shortage>
where
    R: RngCore,
{
    let whole = speed.reading_time(demand.prompt);
    let open = open(candidates)?;
    let first = find_cheapest(candidates, &open, rng, |candidate| {
        let full = if candidate.full { f64::MAX } else { 0.0 };
        read_delay(speed, candidate) + full
    });
    let first = first.ok_or(Shortage::Upstream)?;
    if candidates[first].full {
        return Err(Shortage::Memory);
    }
    let expected = whole + speed.pass_time(1, demand.prompt);
    let rate = match candidates[first].ejected {
        true => 1.0,
        false => candidates[first].rate,
    };
    Ok(Choice {
        expected: match rate < 1.0 {
            true => expected.div_f64(rate),
            false => expected,
        },
        part: whole,
        ..Choice::single(first)
    })
}

/// The candidates that a request may be sent to.
fn open(candidates: &[Candidate]) -> Result<Vec<usize>, Shortage> {
    let open = (0..candidates.len()).filter(|i| candidates[*i].may_answer());
    let open: Vec<usize> = open.collect();
    match open.is_empty() && !candidates.is_empty() {
        true => Err(Shortage::Limit),
        false => Ok(open),
    }
}

/// The one of these candidates with the least cost, suspects after others and ejected ones
/// last, equals by lot.
fn find_cheapest<R, F>(
    candidates: &[Candidate],
    open: &[usize],
    rng: &mut R,
    cost: F,
) -> Option<usize>
where
    R: RngCore,
    F: Fn(&Candidate) -> f64,
{
    let keys = open.iter().map(|i| {
        let candidate = &candidates[*i];
        let far = f64::from(u8::from(!candidate.near)) * 0.05;
        let key = cost(candidate) + far + rng.random::<f64>() * 0.01;
        ((candidate.ejected, candidate.suspect), key, *i)
    });
    keys.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)))
        .map(|(_, _, i)| i)
}
