//! Estimates how long each engine would take to read a prompt, and places short and medium
//! prompts. Long prompts are placed in `long`.

use std::time::Duration;

use almondlock_policy::{engine::Speed, fill};
use rand::{Rng, RngCore};

use super::{
    Candidate, Choice, Demand, MAX_READERS, MAX_SHORT_READING, MAX_SMALL_PART, groups::Groups,
};
use crate::memory;

/// Time by which an engine for long prompts must be sooner before it is given a short
/// prompt: several passes. A stream on such an engine pauses while parts of long prompts
/// are read beside it.
const CROSSING_PENALTY: Duration = Duration::from_millis(60);

/// Additional waiting time that counts against an upstream in another failure domain. The
/// round trip within a region takes a millisecond or two, and traffic between domains is
/// charged for.
const OTHER_DOMAIN_PENALTY: Duration = Duration::from_millis(2);

/// Waiting time that each request beyond an upstream's slots adds, since it waits for
/// another request to end. With 16 slots and streams of two seconds each, a stream ends
/// every eighth of a second, and other requests wait for that slot too.
const NO_SLOT_PENALTY: Duration = Duration::from_millis(250);

/// Age of a host's information about the other hosts: up to 10 ms until a host reports, 20
/// ms until the relay sends the sum, and the time on the network.
const INFORMATION_AGE: Duration = Duration::from_millis(40);

/// Number of engine passes until the first event of a short prompt: on average half of the
/// pass in progress, and the prompt's own.
const PASSES_TO_FIRST_EVENT: f64 = 1.5;

/// Costs that differ by less than this number of seconds count as equal, and a random draw
/// decides. Until new work is visible to others, dozens of hosts choose from the same
/// information and would all take the same engine.
const TIE_SECONDS: f64 = 0.04;

/// The input for choosing engines for one request. Engines are identified by their index in
/// `candidates`.
pub(super) struct Selection<'a> {
    pub(super) speed: &'a Speed,
    pub(super) demand: Demand,
    pub(super) candidates: &'a [Candidate],
}

impl Selection<'_> {
    /// Chooses the engine with the least left to read for a short prompt. It is one of the
    /// engines for short streams, unless an engine for long prompts is much sooner. An
    /// engine that names a limit belongs to both groups.
    pub(super) fn choose_short<R>(&self, groups: &Groups<'_>, rng: &mut R) -> Option<Choice>
    where
        R: RngCore,
    {
        let crossing = CROSSING_PENALTY.as_secs_f64();
        let open = |i: &&usize| self.may_answer(**i);
        let is_limited = |i: &&usize| !self.takes_orders(**i);
        let long = groups.long.iter().filter(open);
        let limited = long.clone().filter(is_limited);
        let own = groups.short.iter().filter(open).chain(limited);
        let own = own.map(|i| (self.cost_with_memory(*i), *i));
        let other = long.filter(|i| !is_limited(i));
        let other = other.map(|i| (self.cost_with_memory(*i) + crossing, *i));
        let mut costs: Vec<(f64, usize)> = own.collect();
        let least = costs.iter().map(|(cost, _)| *cost).fold(f64::MAX, f64::min);
        costs.extend(other.filter(|(cost, _)| *cost < least));
        let part = self.speed.reading_time(self.demand.prompt);
        let (cost, first) = fill::draw(&costs, self.unseen_seconds(groups.short, part), rng)?;
        Some(Choice {
            expected: self.expected(cost, part),
            part,
            ..Choice::single(first)
        })
    }

    /// Chooses engines for a prompt whose parts are small enough for every engine. It is
    /// read by as many engines of both groups as that takes. Its answer is written by an
    /// engine for short streams, where no large part delays its events.
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
        let (_, first) = fill::draw(&costs, self.unseen_seconds(groups.short, part), rng)?;
        let own = memory::answering_share(first, self.free_memory(first), needed);
        let others = groups.all.iter().filter(|i| **i != first);
        let mut order: Vec<(f64, usize)> = others
            .map(|i| (self.cost(*i) + rng.random::<f64>() * TIE_SECONDS, *i))
            .collect();
        order.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        let part = |count: usize| self.speed.part_reading_time(self.demand.prompt, count);
        let most = (order.len() + 1).min(MAX_READERS);
        let count = (1..=most)
            .find(|count| part(*count) <= MAX_SMALL_PART)
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

    /// Returns the seconds of reading that reach these engines before other hosts know of
    /// them, including this prompt's part. By Little's law, the number of prompts that
    /// arrive within the age of the information is the number waiting, divided by how long
    /// each waits, times that age.
    fn unseen_seconds(&self, engines: &[usize], part: Duration) -> f64 {
        let waiting = engines.iter().map(|i| self.candidates[*i].total.waiting);
        let waiting: u32 = waiting.sum();
        let wait =
            PASSES_TO_FIRST_EVENT * self.speed.pass_time(1, self.demand.prompt).as_secs_f64();
        let others = f64::from(waiting) * INFORMATION_AGE.as_secs_f64()
            / wait.max(INFORMATION_AGE.as_secs_f64());
        part.as_secs_f64() * (1.0 + others)
    }

    pub(super) fn has_free_slot(&self, i: usize) -> bool {
        let candidate = &self.candidates[i];
        candidate.total.requests() < candidate.slots
    }

    pub(super) fn may_answer(&self, i: usize) -> bool {
        self.candidates[i].may_answer()
    }

    pub(super) fn takes_orders(&self, i: usize) -> bool {
        self.candidates[i].takes_orders()
    }

    /// Returns the tokens of memory that the prompt and its answer take.
    pub(super) const fn memory_needed(&self) -> u64 {
        self.demand.prompt + self.demand.output
    }

    /// Returns the tokens of memory that are free on an engine.
    pub(super) fn free_memory(&self, i: usize) -> u64 {
        let candidate = &self.candidates[i];
        match candidate.full {
            true => 0,
            false => memory::free_tokens(self.speed, &candidate.total),
        }
    }

    /// Returns the seconds until an engine begins to read a new prompt. For an engine that
    /// works at a reduced rate, this includes the additional time that the prompt itself
    /// takes.
    pub(super) fn cost(&self, i: usize) -> f64 {
        let candidate = &self.candidates[i];
        let cost = read_delay(self.speed, candidate);
        if candidate.rate >= 1.0 {
            return cost;
        }
        let own = self.prompt_seconds();
        (cost + own) / candidate.rate - own
    }

    /// Returns the seconds that the prompt itself takes an engine at the full rate.
    fn prompt_seconds(&self) -> f64 {
        let (speed, prompt) = (self.speed, self.demand.prompt);
        let whole = speed.reading_time(prompt);
        let part = match whole <= MAX_SHORT_READING {
            true => whole,
            false => speed.part_reading_time(prompt, MAX_READERS),
        };
        (part + speed.pass_time(1, prompt)).as_secs_f64()
    }

    /// Returns the cost of an engine that also has to hold the prompt's memory.
    pub(super) fn cost_with_memory(&self, i: usize) -> f64 {
        let has_room = self.free_memory(i) >= self.memory_needed();
        let wait = if has_room {
            Duration::ZERO
        } else {
            NO_SLOT_PENALTY
        };
        self.cost(i) + wait.as_secs_f64()
    }

    pub(super) fn expected(&self, wait: f64, part: Duration) -> Duration {
        let pass = self.speed.pass_time(1, self.demand.prompt);
        Duration::from_secs_f64(wait.max(0.0)) + part + pass
    }
}

/// Returns the lowest cost and its engine. A random draw decides between equal costs.
pub(super) fn draw_cheapest<I, R>(costs: I, rng: &mut R) -> Option<(f64, usize)>
where
    I: Iterator<Item = (f64, usize)>,
    R: RngCore,
{
    costs
        .map(|(cost, i)| (cost + rng.random::<f64>() * TIE_SECONDS, i))
        .min_by(|a, b| a.0.total_cmp(&b.0))
}

/// Returns the seconds until an engine at the full rate begins to read a new prompt.
pub(super) fn read_delay(speed: &Speed, candidate: &Candidate) -> f64 {
    let total = &candidate.total;
    let mut cost = total.backlog();
    if total.streams > 0 {
        cost += speed.pass_time(total.streams, total.memory) / 2;
    }
    if total.requests() >= candidate.slots {
        cost += NO_SLOT_PENALTY * (total.requests() - candidate.slots + 1);
    }
    if !candidate.near {
        cost += OTHER_DOMAIN_PENALTY;
    }
    cost.as_secs_f64()
}
