//! Chooses the upstream that answers a request, and the engines that help to read its
//! prompt.
//!
//! **Load pattern.** Prompts of five thousand and of a million tokens share the same
//! engines, and the mix changes within seconds. A prompt of 200,000 tokens that one engine
//! reads alone takes seconds. Meanwhile every stream that this engine writes stands still,
//! and every short prompt behind it is late. If many engines read parts of the prompt, none
//! of them is busy for longer than the pause that a short stream allows, and the prompt's
//! own first event comes sooner. So a prompt is cut into as many parts as bring its first
//! event soonest, but each part has at least 40 ms of reading: a part costs its engine a
//! pass, and smaller parts would only take part in more passes.
//!
//! **Three groups.** Short streams are packed onto as few engines as write them without
//! delay, counted from one end of a list that all entry hosts have in the same order. Of
//! the other engines, the last few write the answers to long prompts, and the rest only
//! read. The borders follow the streams in progress, so they move within a second of a
//! change of the mix. No engine is told to change groups: what it still reads or writes
//! raises its cost for other work until that is done.
//!
//! **Readers apart from writers.** A pass that writes stops at each step for up to a chunk
//! of what is read beside it. So a part of half a second delays the next event of every
//! stream on its engine by as much, and parts of several prompts add up. Therefore streams
//! of long prompts are written on engines that read only the first part of the prompts that
//! they answer. Memory that a writer lacks is held by readers.
//!
//! **Changes of the mix.** When long prompts replace short ones, engines that were packed
//! with short streams become readers while the last of these streams end. A long prompt can
//! wait for a reader without streams for a part of its objective, but a short stream that
//! stands still for one large part is late. So each short stream raises its engine's cost
//! by that waiting time, until parts that are already read there make the stream late in
//! any case.
//!
//! **Placement.** Each part goes to the engine with the least left to read. A prompt whose
//! parts are too large to be read beside any stream is answered by a reader that writes
//! nothing else.

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

/// Maximum reading time of a short prompt. It is read whole by one engine, whose other
/// streams hardly notice.
pub const MAX_SHORT_READING: Duration = Duration::from_millis(120);

/// Maximum reading time of a part that any engine may read. Together with a pass it stays
/// within the shortest pauses that streams allow.
const MAX_SMALL_PART: Duration = Duration::from_millis(35);

/// Maximum number of engines that read parts of one prompt. The engines' protocol takes a
/// list of this length, in which the answering engine is listed for its memory.
pub const MAX_READERS: usize = 16;

/// An upstream that could take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The work in progress there, as far as this host knows.
    pub total: Total,
    /// Number of requests that it processes at the same time.
    pub slots: u32,
    /// Whether it is in this host's failure domain.
    pub near: bool,
    /// Whether it failed recently or was tried for this request. Such an upstream is taken
    /// only if no other is left.
    pub suspect: bool,
    /// Whether a limit that it names allows another request.
    pub quota: Quota,
    /// Whether it has just reported that it has no memory left to reserve.
    pub full: bool,
    /// Number of its cell. This host's own cell is 0.
    pub cell: usize,
    /// Its observed rate of work as a fraction of its configured rate. At most 1.
    pub rate: f64,
    /// Whether it is ejected, since it fails often or is far slower than others. Such an
    /// upstream is taken only if no other is left.
    pub ejected: bool,
}

impl Candidate {
    /// Returns whether it gets requests only if no other upstream is left.
    pub(crate) const fn is_avoided(&self) -> bool {
        self.suspect || self.ejected
    }

    /// Returns whether a request may be sent to it now.
    pub(crate) const fn may_answer(&self) -> bool {
        !matches!(self.quota, Quota::Exhausted)
    }

    /// Returns whether a request that is sent to it now gets a slot.
    pub(crate) const fn has_slot(&self) -> bool {
        self.total.waiting + self.total.streams < self.slots
    }

    /// Returns whether it may be sent orders to reserve memory. An upstream's limit would
    /// count them as requests.
    const fn takes_orders(&self) -> bool {
        matches!(self.quota, Quota::Unlimited)
    }
}

/// State of an upstream's limit on the requests of all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quota {
    /// It names no limit.
    Unlimited,
    /// The limit may allow another request.
    Available,
    /// The limit allows no request now. The upstream may still read parts for others, which
    /// are not requests of hosts.
    Exhausted,
}

/// The work that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Number of tokens of its prompt.
    pub prompt: u64,
    /// Maximum number of tokens of its answer.
    pub output: u64,
    /// Time from now within which its first event should come.
    pub objective: Duration,
}

/// The upstreams chosen for a request, as indices into the list of candidates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The upstream that answers.
    pub primary: usize,
    /// Other engines that read parts of the prompt. Empty for a short prompt.
    pub helpers: Vec<usize>,
    /// Memory that must be reserved before the prompt is sent. Empty for a short prompt.
    /// Invariant: a share on the answering engine comes first, all others are on helpers.
    pub shares: Vec<Share>,
    /// Time from now until the first event is expected.
    pub expected: Duration,
    /// The reading time of each part.
    pub part: Duration,
    /// Mean backlog of the engines.
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

/// Reason why a request can't be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Shortage {
    /// No upstream is enrolled that could take the request.
    #[error("no instance is enrolled")]
    Upstream,
    /// The engines together lack the free memory that the prompt takes.
    #[error("the engines don't have enough memory free")]
    Memory,
    /// Every upstream that could take the request is at the limit that it names.
    #[error("every upstream is at its limit")]
    Limit,
    /// Every upstream that could take the request has asked for a pause or is leaving.
    #[error("every upstream has asked for a pause or leaves")]
    Backoff,
}

/// Chooses among upstreams that are not engines: the one with the fewest requests for its
/// slots.
pub fn choose_plain<R>(candidates: &[Candidate], rng: &mut R) -> Result<Choice, Shortage>
where
    R: RngCore,
{
    let open = open_candidates(candidates)?;
    let first = find_cheapest(candidates, &open, rng, |candidate| {
        let requests = f64::from(candidate.total.requests());
        // The request itself also takes longer where the rate is below 1.
        let own = if candidate.rate < 1.0 { 1.0 } else { 0.0 };
        let requests = (requests + own) / candidate.rate - own;
        requests / f64::from(candidate.slots.max(1))
    });
    first.map(Choice::single).ok_or(Shortage::Upstream)
}

/// Chooses among engines. All entry hosts must list the engines in the same order, since
/// the groups are counted from the two ends of the list.
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
    let selection = Selection {
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
    let own = selection.choose_in_cell(&own, rng);
    let others = cell::sample_others(others.len(), rng)
        .into_iter()
        .filter_map(|i| selection.choose_in_cell(&others[i], rng).ok());
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
    fn choose_in_cell<R>(&self, engines: &[usize], rng: &mut R) -> Result<Choice, Shortage>
    where
        R: RngCore,
    {
        let (speed, prompt) = (self.speed, self.demand.prompt);
        let engines = &order_by_limits(engines, self.candidates);
        let groups = Groups::divide(speed, engines, self.candidates);
        let thin =
            speed.part_reading_time(prompt, engines.len().min(MAX_READERS)) <= MAX_SMALL_PART;
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

/// Chooses among engines of which none that is healthy may answer.
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
    let open = open_candidates(candidates)?;
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

/// Returns the candidates that a request may be sent to.
fn open_candidates(candidates: &[Candidate]) -> Result<Vec<usize>, Shortage> {
    let open = (0..candidates.len()).filter(|i| candidates[*i].may_answer());
    let open: Vec<usize> = open.collect();
    match open.is_empty() && !candidates.is_empty() {
        true => Err(Shortage::Limit),
        false => Ok(open),
    }
}

/// Returns the candidate with the lowest cost. Suspects come after others and ejected ones
/// last, and a random draw decides between equal costs.
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
