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
//! **Two sides.** Short streams are packed onto as few engines as write them
//! without delay, counted from one end of a list that all entry hosts have in
//! the same order; long prompts are read by the others. The border follows the
//! number of short streams under way, so it moves within a second of the mix,
//! and no engine changes sides by decree: what it still reads or writes makes
//! it dearer for the other kind until it is done.
//!
//! **Placement.** Each part goes where the least is left to read. The engine
//! that writes the answer also holds the whole context, so it is the one with
//! the most memory free among them; unless the part is so small that an engine
//! of the short side can read it, where the next events come without delay.

use std::time::Duration;

use rand::{Rng, RngCore};

use crate::{
    engine::Speed,
    load::Total,
    memory::{self, Share},
};

/// The reading time that a part of a prompt should have at least. It fits into
/// the pauses of short streams (a few hundred milliseconds) twice, with the
/// steps of the pass itself beside it.
pub const PART: Duration = Duration::from_millis(40);

/// A prompt that one engine reads in this time is short: it is read whole, and
/// its engine's other streams hardly notice.
pub const SHORT: Duration = Duration::from_millis(120);

/// A part that any engine may read: with a pass of its own it stays within the
/// shortest pauses that streams allow.
const SHORT_PART: Duration = Duration::from_millis(35);

/// Short streams that share an engine. With twelve a pass takes a fifth longer
/// than with one, and a quarter of an engine's usual 16 places stay free for
/// those that come at once.
const PACKED: u32 = 11;

/// The same for the streams of long prompts, where a part is large: they allow
/// longer pauses and are fewer.
const HARM_LONG: Duration = Duration::from_millis(250);

/// A part of a long prompt that is this short leaves the other long prompts'
/// streams, on the same engine, within the pauses that they allow, also when
/// two parts meet in a pass.
const THIN: Duration = Duration::from_millis(320);

/// Of a prompt's objective, the part in which it should be read. The rest is
/// for what can't be foreseen: parts of others, and the first pass.
const READING_SHARE: f64 = 0.65;

/// Of this many engines at least one stays with the long prompts.
const LONG_LEAST: usize = 7;

/// How much sooner an engine of the other side must be done to be taken.
const CROSSING: Duration = Duration::from_millis(60);

/// What a part costs the short streams on its engine, as a delay of the part.
/// Parts take up to some hundred milliseconds, in which each of those streams
/// pauses longer than it may.
const HARM: Duration = Duration::from_millis(500);

/// The most engines that may help one request; what the engines' protocol
/// allows.
pub const HELPERS: usize = 16;

/// An upstream in another failure domain is worth this much more waiting: the
/// way there and back within a region is a millisecond or two, and bytes
/// between domains are paid for.
const ELSEWHERE: Duration = Duration::from_millis(2);

/// A request beyond the places of an upstream waits for another one's end: with
/// 16 places and streams of two seconds each eighth of a second one ends, and
/// others wait for it too.
const OVERFLOW: Duration = Duration::from_millis(250);

/// Seconds within which costs count as equal and the lot decides, so that hosts
/// which see the same engines don't all take the same one.
const LOT: f64 = 1e-3;

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
    /// Its parts are so large that they stop other streams for long.
    pub large: bool,
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
            large: false,
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
    let streams = healthy.iter().map(|i| candidates[*i].total.short).sum();
    let (short, long) = healthy.split_at(side(streams, healthy.len()));
    let field = Field {
        speed,
        demand,
        candidates,
    };
    let thin = speed.part(demand.prompt, healthy.len().min(HELPERS + 1)) <= SHORT_PART;
    let choice = match (whole <= SHORT, thin && !long.is_empty()) {
        (true, _) => field.short(short, long, rng).ok_or(Lack::Upstream),
        (false, true) => field.middling(short, &healthy, rng).ok_or(Lack::Upstream),
        (false, false) => field.long(short, long, rng),
    };
    let engines = u32::try_from(healthy.len()).unwrap_or(1).max(1);
    let backlogs = healthy.iter().map(|i| candidates[*i].total.backlog());
    let backlog = backlogs.sum::<Duration>() / engines;
    choice.map(|choice| Choice { backlog, ..choice })
}

/// How many of the engines are the short streams' own.
fn side(streams: u32, engines: usize) -> usize {
    let needed = (streams + 1).div_ceil(PACKED) as usize;
    let most = engines.saturating_sub(engines / LONG_LEAST).max(1);
    needed.clamp(1, most)
}

struct Field<'a> {
    speed: &'a Speed,
    demand: Demand,
    candidates: &'a [Candidate],
}

impl Field<'_> {
    fn short<R>(&self, short: &[usize], long: &[usize], rng: &mut R) -> Option<Choice>
    where
        R: RngCore,
    {
        let own = short.iter().map(|i| (self.cost(*i), *i));
        let other = long
            .iter()
            .map(|i| (self.cost(*i) + CROSSING.as_secs_f64(), *i));
        let (cost, first) = best(own.chain(other), rng)?;
        let part = self.speed.reading(self.demand.prompt);
        Some(Choice {
            expected: self.expected(cost, part),
            part,
            ..Choice::alone(first)
        })
    }

    fn long<R>(&self, short: &[usize], long: &[usize], rng: &mut R) -> Result<Choice, Lack>
    where
        R: RngCore,
    {
        // Never both sides: the largest parts would win most by crossing, and
        // make every short stream of the fleet late at once.
        let (readers, spare) = match long.is_empty() {
            true => (short, long),
            false => (long, short),
        };
        let mut order = self.order(readers, rng);
        let mut count = self.count(&order);
        // But for memory that their own side lacks.
        order.extend(self.order(spare, rng));
        let (first, shares) = loop {
            let readers: Vec<usize> = order[..count].iter().map(|(_, i)| *i).collect();
            match self.memory(&readers) {
                Some(found) => break found,
                None if count < order.len().min(HELPERS + 1) => count += 1,
                None => return Err(Lack::Memory),
            }
        };
        let part = self.speed.part(self.demand.prompt, count);
        let costs = order[..count].iter().map(|(cost, _)| *cost);
        let slowest = costs.fold(0.0, f64::max);
        let holders = shares.iter().map(|share| share.place);
        let mut helpers: Vec<usize> = holders.collect();
        let readers = order[..count].iter().map(|(_, i)| *i);
        let others: Vec<usize> = readers
            .filter(|i| *i != first && !helpers.contains(i))
            .collect();
        helpers.extend(others);
        helpers.truncate(HELPERS);
        Ok(Choice {
            helpers,
            shares,
            expected: self.expected(slowest, part),
            part,
            large: part > THIN,
            ..Choice::alone(first)
        })
    }

    /// Engines with their costs to a long prompt, the least first.
    fn order<R>(&self, engines: &[usize], rng: &mut R) -> Vec<(f64, usize)>
    where
        R: RngCore,
    {
        let costs = engines.iter().map(|i| {
            let cost = self.cost(*i) + self.harm(*i);
            (cost + rng.random::<f64>() * LOT, *i)
        });
        let mut order: Vec<(f64, usize)> = costs.collect();
        order.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        order
    }

    /// Which of the readers answers, and which others hold a share of the
    /// prompt because its memory is too small for all of it.
    fn memory(&self, readers: &[usize]) -> Option<(usize, Vec<Share>)> {
        let room = |i: &usize| (self.has_place(*i), self.free(*i));
        let first = readers.iter().copied().max_by_key(room)?;
        let others = readers.iter().filter(|i| **i != first);
        let others: Vec<(usize, u64)> = others.map(|i| (*i, self.free(*i))).collect();
        let needed = self.demand.prompt + self.demand.output;
        let shares = memory::spread(needed, self.free(first), &others)?;
        Some((first, shares))
    }

    /// A prompt whose parts are small enough for every engine is read by as
    /// many as that takes, of both sides, and written on the short side, where
    /// no large part makes its events late.
    fn middling<R>(&self, short: &[usize], all: &[usize], rng: &mut R) -> Option<Choice>
    where
        R: RngCore,
    {
        let (_, first) = best(short.iter().map(|i| (self.cost(*i), *i)), rng)?;
        let others = all.iter().filter(|i| **i != first);
        let mut order: Vec<(f64, usize)> = others
            .map(|i| (self.cost(*i) + rng.random::<f64>() * LOT, *i))
            .collect();
        order.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let part = |count: usize| self.speed.part(self.demand.prompt, count);
        let most = (order.len() + 1).min(HELPERS + 1);
        let count = (1..=most)
            .find(|count| part(*count) <= SHORT_PART)
            .unwrap_or(most);
        let helpers = &order[..count - 1];
        let slowest = helpers.last().map_or(0.0, |(cost, _)| *cost);
        Some(Choice {
            helpers: helpers.iter().map(|(_, i)| *i).collect(),
            expected: self.expected(slowest.max(self.cost(first)), part(count)),
            part: part(count),
            ..Choice::alone(first)
        })
    }

    /// Into how many parts the prompt is cut, given the readers in order.
    fn count(&self, order: &[(f64, usize)]) -> usize {
        let prompt = self.demand.prompt;
        let whole = self.speed.reading(prompt);
        let part = |count: usize| self.speed.part(prompt, count);
        if part(order.len().min(HELPERS + 1)) > THIN {
            return self.fewest(order);
        }
        let most = parts(whole).min(order.len());
        soonest(order, most, part)
    }

    /// The fewest engines that read the prompt in time, or as many as there
    /// are. Its parts stop the streams of each of them for longer than those
    /// may pause, however many engines share them, so few should be hit.
    fn fewest(&self, order: &[(f64, usize)]) -> usize {
        let most = order.len().min(HELPERS + 1);
        let in_time = self.demand.objective.as_secs_f64() * READING_SHARE;
        let end = |count: &usize| {
            order[count - 1].0 + self.speed.part(self.demand.prompt, *count).as_secs_f64()
        };
        (1..=most)
            .find(|count| end(count) <= in_time)
            .unwrap_or(most)
    }

    /// What reading a part there costs the streams that are written there, as
    /// a delay.
    fn harm(&self, i: usize) -> f64 {
        let total = &self.candidates[i].total;
        let long = total.streams.saturating_sub(total.short);
        let large = self.speed.part(self.demand.prompt, HELPERS + 1) > THIN / 2;
        match (total.short, long) {
            (0, 1..) if large => HARM_LONG.as_secs_f64(),
            (0, _) => 0.0,
            _ => HARM.as_secs_f64(),
        }
    }

    fn has_place(&self, i: usize) -> bool {
        let candidate = &self.candidates[i];
        candidate.total.requests() < candidate.slots
    }

    /// Tokens of memory that can be counted on there.
    fn free(&self, i: usize) -> u64 {
        let candidate = &self.candidates[i];
        match candidate.full {
            true => 0,
            false => memory::free(self.speed, &candidate.total),
        }
    }

    /// Seconds until a new prompt is read there.
    fn cost(&self, i: usize) -> f64 {
        cost(self.speed, &self.candidates[i])
    }

    fn expected(&self, wait: f64, part: Duration) -> Duration {
        let pass = self.speed.writing(1, self.demand.prompt);
        Duration::from_secs_f64(wait.max(0.0)) + part + pass
    }
}

/// The least cost, equals by lot.
fn best<I, R>(costs: I, rng: &mut R) -> Option<(f64, usize)>
where
    I: Iterator<Item = (f64, usize)>,
    R: RngCore,
{
    costs
        .map(|(cost, i)| (cost + rng.random::<f64>() * LOT, i))
        .min_by(|a, b| a.0.total_cmp(&b.0))
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
        large: whole > THIN,
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
