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
//! prompts add up. Written on engines that read parts for everybody, streams of
//! long prompts paused 768 ms in the median and 1,572 ms at the 90th percentile,
//! where they may pause 800 ms; on writers that read only the first part of what
//! they will write, 379 ms and 1,164 ms, in the same half minute with bursts.
//! Over 16 paired runs the share of the worth that callers got rose from 0.631
//! to 0.663. The memory that a writer lacks is held by readers.
//!
//! **Placement.** Each part goes where the least is left to read. A prompt whose
//! parts are too large for any stream beside them is written by a reader that
//! writes nothing else.

mod field;
mod long;

use std::time::Duration;

use almondlock_policy::engine::Speed;
use rand::{Rng, RngCore};

use self::field::{Field, cost};
use crate::{load::Total, memory::Share};

/// A prompt that one engine reads in this time is short: it is read whole, and
/// its engine's other streams hardly notice.
pub const SHORT: Duration = Duration::from_millis(120);

/// A part that any engine may read: with a pass of its own it stays within the
/// shortest pauses that streams allow.
const SHORT_PART: Duration = Duration::from_millis(35);

/// Short streams that share an engine, as a part of its places: 13 of the usual
/// 16. A pass takes a quarter longer with so many than with one, and the places
/// left are for those that come at once. Of 11, 13 and 15 it served the worst
/// kind of request best: 0.674, 0.693 and 0.682 of its worth, over 16 paired
/// runs.
const PACKED: f64 = 0.82;

/// What the engines for short streams may have to read in the mean before others
/// join them: three short prompts, a third of the shortest objectives. In 20 paired
/// runs with a restart of all hosts, 811 of some 4,000 callers of the four seconds
/// after it were served in time, with this 910, and the mean share of the worth went
/// from 0.560 to 0.566. Guessing besides what the other hosts send in the same moment
/// gave 868 and 0.562.
const WAIT_MOST: Duration = Duration::from_millis(100);

/// Streams of long prompts that share a writer. With 2 to 5 the same runs gave
/// 0.661, 0.658, 0.663 and 0.662 of the worth.
const PACKED_LONG: u32 = 4;

/// Writers while few streams need them. With one, prompts that come at the same
/// moment queue at it: 0.671 of the worth, against 0.681 with two, over 24 paired
/// runs.
const WRITERS_LEAST: usize = 2;

/// Of the engines for long prompts, at most one in so many writes.
const READERS_LEAST: usize = 3;

/// Of this many engines at least one stays with the long prompts.
const LONG_LEAST: usize = 7;

/// The most engines that may help one request; what the engines' protocol
/// allows.
pub const HELPERS: usize = 16;

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
    /// It said just now that it has no memory to set aside.
    pub full: bool,
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
    pub first: usize,
    /// Who reads parts besides. Empty for a short prompt. Those that also hold
    /// a share of its memory come first, in the order of `shares`.
    pub helpers: Vec<usize>,
    /// Memory that has to be set aside before the prompt is sent. Empty if the
    /// engine that answers has enough.
    pub shares: Vec<Share>,
    /// When the first event is expected, from now.
    pub expected: Duration,
    /// The reading time of each part.
    pub part: Duration,
    /// What an engine has left to read, in the mean of all.
    pub backlog: Duration,
}

impl Choice {
    fn alone(first: usize) -> Choice {
        Choice {
            first,
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
pub enum Lack {
    /// No upstream is enrolled that could take it.
    #[error("no instance is enrolled")]
    Upstream,
    /// The engines together don't have the memory free that its prompt takes.
    #[error("the engines don't have enough memory free")]
    Memory,
}

/// Chooses among plain services: the one with the fewest requests for its
/// places.
pub fn plain<R>(candidates: &[Candidate], rng: &mut R) -> Result<Choice, Lack>
where
    R: RngCore,
{
    let first = least(candidates, rng, |candidate| {
        let requests = f64::from(candidate.total.requests());
        requests / f64::from(candidate.slots.max(1))
    });
    first.map(Choice::alone).ok_or(Lack::Upstream)
}

/// Chooses among engines. All entry hosts must list them in the same order:
/// the sides are counted from its two ends.
pub fn engine<R>(
    speed: &Speed,
    demand: Demand,
    candidates: &[Candidate],
    rng: &mut R,
) -> Result<Choice, Lack>
where
    R: RngCore,
{
    let whole = speed.reading(demand.prompt);
    let healthy: Vec<usize> = (0..candidates.len())
        .filter(|i| !candidates[*i].suspect)
        .collect();
    if healthy.is_empty() {
        return suspects(speed, whole, demand, candidates, rng).ok_or(Lack::Upstream);
    }
    let field = Field {
        speed,
        demand,
        candidates,
    };
    let groups = Groups::of(speed, &healthy, candidates);
    let thin = speed.part(demand.prompt, healthy.len().min(HELPERS + 1)) <= SHORT_PART;
    let choice = match (whole <= SHORT, thin && !groups.long.is_empty()) {
        (true, _) => field.short(&groups, rng).ok_or(Lack::Upstream),
        (false, true) => field.middling(&groups, rng).ok_or(Lack::Upstream),
        (false, false) => field.long(&groups, rng),
    };
    let engines = u32::try_from(healthy.len()).unwrap_or(1).max(1);
    let backlogs = healthy.iter().map(|i| candidates[*i].total.backlog());
    let backlog = backlogs.sum::<Duration>() / engines;
    choice.map(|choice| Choice { backlog, ..choice })
}

/// What the engines are for, at the moment. All in the order of the candidates.
struct Groups<'a> {
    /// All of them.
    all: &'a [usize],
    /// For short streams. Never empty.
    short: &'a [usize],
    /// For long prompts: readers, then writers.
    long: &'a [usize],
    /// Those of `long` that read parts of long prompts.
    readers: &'a [usize],
    /// Those of `long` that also write the answers. Empty with few engines.
    writers: &'a [usize],
}

impl<'a> Groups<'a> {
    fn of(speed: &Speed, all: &'a [usize], candidates: &[Candidate]) -> Groups<'a> {
        let streams = all.iter().map(|i| candidates[*i].total.short).sum();
        let needed = short_side(speed, streams, all.len());
        let backlogs = all.iter().map(|i| candidates[*i].total.backlog());
        let (short, long) = all.split_at(relieved(needed, &backlogs.collect::<Vec<_>>()));
        let streams = long.iter().map(|i| candidates[*i].total.long()).sum();
        let (readers, writers) = long.split_at(long.len() - writers(streams, long.len()));
        Groups {
            all,
            short,
            long,
            readers,
            writers,
        }
    }
}

/// How many of the engines are the short streams' own.
fn short_side(speed: &Speed, streams: u32, engines: usize) -> usize {
    let needed = (streams + 1).div_ceil(packed(speed.slots)) as usize;
    needed.clamp(1, most_short(engines))
}

/// How many of the engines the short streams may have at most.
fn most_short(engines: usize) -> usize {
    engines.saturating_sub(engines / LONG_LEAST).max(1)
}

/// How many engines the short streams take so that none of them waits for long,
/// if they need `needed` for their places: further ones, as long as those have
/// less to read.
///
/// **Load pattern.** Streams that come over two seconds find their engine idle nine
/// times out of ten. When as many come at once, as at the start of a burst or when
/// callers return after a loss of power, the last one has those of all others read
/// first, nearly half a second on an engine with 13 of them.
fn relieved(needed: usize, backlogs: &[Duration]) -> usize {
    let mut side = needed;
    let mut sum: Duration = backlogs[..side].iter().sum();
    let mean = |sum: Duration, side: usize| sum / u32::try_from(side).unwrap_or(u32::MAX).max(1);
    while side < most_short(backlogs.len()) && mean(sum, side) > WAIT_MOST {
        let next = backlogs[side];
        if next > mean(sum, side) {
            break;
        }
        sum += next;
        side += 1;
    }
    side
}

/// How many streams an engine with so many places writes well.
fn packed(slots: u32) -> u32 {
    // Places are few: the product fits any integer.
    (f64::from(slots) * PACKED).max(1.0) as u32
}

/// How many of the engines for long prompts write their answers.
fn writers(streams: u32, engines: usize) -> usize {
    let needed = (streams + 1).div_ceil(PACKED_LONG) as usize;
    needed.max(WRITERS_LEAST).min(engines / READERS_LEAST)
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
        expected: whole + speed.writing(1, demand.prompt),
        part: whole,
        ..Choice::alone(first)
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
