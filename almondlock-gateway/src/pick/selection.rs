//! What a prompt costs on each engine, and where short and middling ones go.

use std::time::Duration;

use almondlock_policy::{engine::Speed, fill};
use rand::{Rng, RngCore};

use super::{
    Candidate, Choice, Demand, MAX_READERS, MAX_SHORT_READING, SHORT_PART, groups::Groups,
};
use crate::memory;

/// How much sooner an engine of the other side must be done to be taken: several
/// passes. A stream that crosses stands still while parts are read beside it.
const CROSSING: Duration = Duration::from_millis(60);

/// An upstream in another failure domain is worth this much more waiting: the
/// way there and back within a region is a millisecond or two, and bytes
/// between domains are paid for.
const ELSEWHERE: Duration = Duration::from_millis(2);

/// A request beyond the places of an upstream waits for another one's end: with
/// 16 places and streams of two seconds each eighth of a second one ends, and
/// others wait for it too.
const OVERFLOW: Duration = Duration::from_millis(250);

/// How old a host's knowledge of the others is: up to 10 ms until a host tells, 20 ms
/// until the relay does, and the way.
const AGE: Duration = Duration::from_millis(40);

/// Passes of an engine until the first event of a short prompt: half of the one that
/// runs, and its own.
const PASSES: f64 = 1.5;

/// Seconds within which costs count as equal and a random draw decides. Until work is
/// seen elsewhere dozens of hosts choose from the same knowledge, and would all take
/// the same engine.
const LOT: f64 = 0.04;

/// One choice among engines.
pub(super) struct Selection<'a> {
    pub(super) speed: &'a Speed,
    pub(super) demand: Demand,
    pub(super) candidates: &'a [Candidate],
}

impl Selection<'_> {
    /// A short prompt goes where the least is to be read, of its own side unless
    /// the other is much sooner. An engine that names a limit belongs to both.
    pub(super) fn choose_short<R>(&self, groups: &Groups<'_>, rng: &mut R) -> Option<Choice>
    where
        R: RngCore,
    {
        let crossing = CROSSING.as_secs_f64();
        let open = |i: &&usize| self.may_answer(**i);
        let is_limited = |i: &&usize| !self.takes_orders(**i);
        let long = groups.long.iter().filter(open);
        let limited = long.clone().filter(is_limited);
        let own = groups.short.iter().filter(open).chain(limited);
        let own = own.map(|i| (self.whole_cost(*i), *i));
        let other = long.filter(|i| !is_limited(i));
        let other = other.map(|i| (self.whole_cost(*i) + crossing, *i));
        let mut costs: Vec<(f64, usize)> = own.collect();
        let least = costs.iter().map(|(cost, _)| *cost).fold(f64::MAX, f64::min);
        costs.extend(other.filter(|(cost, _)| *cost < least));
        let part = self.speed.reading_time(self.demand.prompt);
        let (cost, first) = fill::draw(&costs, self.unseen(groups.short, part), rng)?;
        Some(Choice {
            expected: self.expected(cost, part),
            part,
            ..Choice::single(first)
        })
    }

    /// A prompt whose parts are small enough for every engine is read by as
    /// many as that takes, of both sides, and written on the short side, where
    /// no large part makes its events late.
    pub(super) fn choose_medium<R>(&self, groups: &Groups<'_>, rng: &mut R) -> Option<Choice>
    where
        R: RngCore,
    {
        let needed = memory::padded(self.memory_needed());
        let side = match groups.short.iter().any(|i| self.may_answer(*i)) {
            true => groups.short,
            false => groups.all,
        };
        let open = side.iter().filter(|i| self.may_answer(**i));
        let has_room = |i: &&usize| self.free_memory(**i) >= needed && self.takes_orders(**i);
        let room = open.clone().filter(has_room);
        let mut costs: Vec<(f64, usize)> = room.map(|i| (self.cost(*i), *i)).collect();
        let is_room = !costs.is_empty();
        if !is_room {
            costs.extend(open.map(|i| (self.cost(*i), *i)));
        }
        let part = self
            .speed
            .part_reading_time(self.demand.prompt, MAX_READERS);
        let (_, first) = fill::draw(&costs, self.unseen(groups.short, part), rng)?;
        let own = memory::answering_share(first, self.free_memory(first), needed);
        let others = groups.all.iter().filter(|i| **i != first);
        let mut order: Vec<(f64, usize)> = others
            .map(|i| (self.cost(*i) + rng.random::<f64>() * LOT, *i))
            .collect();
        order.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let part = |count: usize| self.speed.part_reading_time(self.demand.prompt, count);
        let most = (order.len() + 1).min(MAX_READERS);
        let count = (1..=most)
            .find(|count| part(*count) <= SHORT_PART)
            .unwrap_or(most);
        let helpers = &order[..count - 1];
        let slowest = helpers.last().map_or(0.0, |(cost, _)| *cost);
        Some(Choice {
            helpers: helpers.iter().map(|(_, i)| *i).collect(),
            shares: own.filter(|_| is_room).into_iter().collect(),
            expected: self.expected(slowest.max(self.cost(first)), part(count)),
            part: part(count),
            ..Choice::single(first)
        })
    }

    /// Seconds of reading that come to these engines before hosts know of it, this
    /// prompt's part included. By Little's law as many prompts come within a time as
    /// wait at the engines, for each time that one waits.
    fn unseen(&self, engines: &[usize], part: Duration) -> f64 {
        let waiting = engines.iter().map(|i| self.candidates[*i].total.waiting);
        let waiting: u32 = waiting.sum();
        let wait = PASSES * self.speed.pass_time(1, self.demand.prompt).as_secs_f64();
        let others = f64::from(waiting) * AGE.as_secs_f64() / wait.max(AGE.as_secs_f64());
        part.as_secs_f64() * (1.0 + others)
    }

    pub(super) fn has_place(&self, i: usize) -> bool {
        let candidate = &self.candidates[i];
        candidate.total.requests() < candidate.slots
    }

    pub(super) fn may_answer(&self, i: usize) -> bool {
        self.candidates[i].may_answer()
    }

    pub(super) fn takes_orders(&self, i: usize) -> bool {
        self.candidates[i].takes_orders()
    }

    /// Tokens of memory that the prompt and its answer take.
    pub(super) const fn memory_needed(&self) -> u64 {
        self.demand.prompt + self.demand.output
    }

    /// Tokens of memory that can be counted on there.
    pub(super) fn free_memory(&self, i: usize) -> u64 {
        let candidate = &self.candidates[i];
        match candidate.full {
            true => 0,
            false => memory::free_tokens(self.speed, &candidate.total),
        }
    }

    /// Seconds until a new prompt is read there.
    pub(super) fn cost(&self, i: usize) -> f64 {
        let candidate = &self.candidates[i];
        let cost = read_delay(self.speed, candidate);
        if candidate.rate >= 1.0 {
            return cost;
        }
        let own = self.own_work();
        (cost + own) / candidate.rate - own
    }

    /// Seconds that the prompt itself takes an engine, which a slow one takes longer for as
    /// well.
    fn own_work(&self) -> f64 {
        let (speed, prompt) = (self.speed, self.demand.prompt);
        let whole = speed.reading_time(prompt);
        let part = match whole <= MAX_SHORT_READING {
            true => whole,
            false => speed.part_reading_time(prompt, MAX_READERS),
        };
        (part + speed.pass_time(1, prompt)).as_secs_f64()
    }

    /// The same where the prompt's memory is needed there too.
    pub(super) fn whole_cost(&self, i: usize) -> f64 {
        let has_room = self.free_memory(i) >= self.memory_needed();
        let wait = if has_room { Duration::ZERO } else { OVERFLOW };
        self.cost(i) + wait.as_secs_f64()
    }

    pub(super) fn expected(&self, wait: f64, part: Duration) -> Duration {
        let pass = self.speed.pass_time(1, self.demand.prompt);
        Duration::from_secs_f64(wait.max(0.0)) + part + pass
    }
}

/// The least cost, equals by lot.
pub(super) fn draw_cheapest<I, R>(costs: I, rng: &mut R) -> Option<(f64, usize)>
where
    I: Iterator<Item = (f64, usize)>,
    R: RngCore,
{
    costs
        .map(|(cost, i)| (cost + rng.random::<f64>() * LOT, i))
        .min_by(|a, b| a.0.total_cmp(&b.0))
}

/// Seconds until a new prompt is read there.
pub(super) fn read_delay(speed: &Speed, candidate: &Candidate) -> f64 {
    let total = &candidate.total;
    let mut cost = total.backlog();
    if total.streams > 0 {
        cost += speed.pass_time(total.streams, total.memory) / 2;
    }
    if total.requests() >= candidate.slots {
        cost += OVERFLOW * (total.requests() - candidate.slots + 1);
    }
    if !candidate.near {
        cost += ELSEWHERE;
    }
    cost.as_secs_f64()
}
