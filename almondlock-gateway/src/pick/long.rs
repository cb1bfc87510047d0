//! Where a long prompt goes: which engines read parts of it, which one writes
//! the answer, and which hold the memory that the writer lacks.

use std::time::Duration;

use rand::{Rng, RngCore};

use super::{
    Choice, MAX_READERS, Shortage,
    groups::Groups,
    selection::{Selection, draw_cheapest},
};
use crate::memory::{self, Share};

/// The reading time that a part of a prompt should have at least. It fits into
/// the pauses of short streams (a few hundred milliseconds) twice, with the
/// steps of the pass itself beside it.
const PART: Duration = Duration::from_millis(40);

/// What a part costs each short stream on its engine, as a delay of the part. The
/// stream would pause for longer than it may; the objective of a long prompt bears
/// this much waiting.
const HARM: Duration = Duration::from_millis(400);

/// With this much to read beside its passes an engine makes its short streams pause for
/// longer than they may.
const BEARABLE: Duration = Duration::from_millis(150);

/// What a large part costs the streams of long prompts, which allow longer pauses
/// and are fewer.
const HARM_LONG: Duration = Duration::from_millis(250);

/// A part of more than this, on as many engines as may take part, is large: two
/// of them in a pass come near the pause that streams of long prompts allow.
const LARGE: Duration = Duration::from_millis(160);

/// The largest part that a writer reads beside the streams that it writes. They
/// allow a pause of some eight tenths of a second.
const WRITER_PART: Duration = Duration::from_millis(600);

/// What each stream that a writer has counts against it, as a delay: about a
/// pass, since a new stream makes the others' passes longer.
const WRITING: Duration = Duration::from_millis(50);

/// Seconds within which the order of readers is drawn. Most prompts take all of them.
const LOT: f64 = 1e-3;

/// Engines in the order in which a prompt takes them, with the seconds until
/// each of them begins to read its part.
type Order = Vec<(f64, usize)>;

impl Selection<'_> {
    pub(super) fn choose_long<R>(
        &self,
        groups: &Groups<'_>,
        rng: &mut R,
    ) -> Result<Choice, Shortage>
    where
        R: RngCore,
    {
        // Never both sides: the largest parts would win most by crossing, and
        // make every short stream of the fleet late at once.
        let readers = match groups.long.is_empty() {
            true => groups.short,
            false => groups.readers,
        };
        let mut order = self.order(readers, rng);
        let writer = self.writer(groups, readers.len(), rng);
        let mut count = self.count(&order, writer);
        if let Some(writer) = writer {
            order.insert(0, writer);
        }
        // But for memory that their own side lacks.
        let taken = |i: &usize| readers.contains(i) || writer.is_some_and(|(_, w)| w == *i);
        let others = groups.long.iter().chain(groups.short);
        let others: Vec<usize> = others.copied().filter(|i| !taken(i)).collect();
        order.extend(self.order(&others, rng));
        let (first, shares) = loop {
            if let Some(found) = self.memory(writer.map(|(_, i)| i), &order[..count]) {
                break found;
            }
            count += 1;
            if count > order.len().min(MAX_READERS) {
                return Err(Shortage::Memory);
            }
        };
        Ok(self.placed(first, shares, &order[..count]))
    }

    fn placed(&self, first: usize, shares: Vec<Share>, members: &[(f64, usize)]) -> Choice {
        let part = self
            .speed
            .part_reading_time(self.demand.prompt, members.len());
        let waits = members.iter().map(|(_, i)| self.cost(*i));
        let slowest = waits.fold(0.0, f64::max);
        let helpers = members.iter().map(|(_, i)| *i).filter(|i| *i != first);
        Choice {
            helpers: helpers.collect(),
            shares,
            expected: self.expected(slowest, part),
            part,
            ..Choice::single(first)
        }
    }

    /// Engines with their costs to a long prompt, the least first.
    fn order<R>(&self, engines: &[usize], rng: &mut R) -> Order
    where
        R: RngCore,
    {
        let costs = engines.iter().map(|i| {
            let cost = self.cost(*i) + self.harm(*i);
            (cost + rng.random::<f64>() * LOT, *i)
        });
        let mut order: Order = costs.collect();
        order.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        order
    }

    /// The writer that is free soonest. None if a part of the prompt is too
    /// large to be read beside streams.
    fn writer<R>(&self, groups: &Groups<'_>, readers: usize, rng: &mut R) -> Option<(f64, usize)>
    where
        R: RngCore,
    {
        let most = (readers + 1).min(MAX_READERS);
        if self.speed.part_reading_time(self.demand.prompt, most) > WRITER_PART {
            return None;
        }
        let has_room = |i: usize| self.has_place(i) && self.free_memory(i) > self.demand.output;
        let can_answer = |i: &&usize| has_room(**i) && self.takes_orders(**i);
        let open = groups.writers.iter().filter(can_answer);
        let costs = open.map(|i| {
            let streams = self.candidates[*i].total.long();
            (self.cost(*i) + (WRITING * streams).as_secs_f64(), *i)
        });
        draw_cheapest(costs, rng)
    }

    /// Into how many parts the prompt is cut, given the readers in order and the
    /// writer: as many as bring the first event soonest.
    fn count(&self, order: &[(f64, usize)], writer: Option<(f64, usize)>) -> usize {
        let own = usize::from(writer.is_some());
        let most = parts(self.speed.reading_time(self.demand.prompt));
        let most = most.min(order.len() + own).max(1);
        let end = |count: usize| {
            let last = count.checked_sub(own + 1).map_or(0.0, |last| order[last].0);
            let begin = writer.map_or(last, |(cost, _)| cost.max(last));
            begin
                + self
                    .speed
                    .part_reading_time(self.demand.prompt, count)
                    .as_secs_f64()
        };
        (1..=most)
            .min_by(|a, b| end(*a).total_cmp(&end(*b)))
            .unwrap_or(1)
    }

    /// Which of the members answers, and which others hold a share of the prompt
    /// because its memory is too small for all of it. Without a writer the one
    /// that writes for no other long prompt and has most memory answers; one that names a
    /// limit only if nobody else can.
    fn memory(
        &self,
        writer: Option<usize>,
        members: &[(f64, usize)],
    ) -> Option<(usize, Vec<Share>)> {
        let members = members.iter().map(|(_, i)| *i);
        let rank = |i: &usize| {
            let idle = self.candidates[*i].total.long() == 0;
            let unlimited = self.takes_orders(*i);
            (unlimited, self.has_place(*i), idle, self.free_memory(*i))
        };
        let can_answer =
            |i: &usize| self.free_memory(*i) > self.demand.output && self.may_answer(*i);
        let others = members.clone().filter(can_answer);
        let first = writer.or_else(|| others.max_by_key(rank))?;
        let others = members.filter(|i| *i != first && self.takes_orders(*i));
        let others: Vec<(usize, u64)> = others.map(|i| (i, self.free_memory(i))).collect();
        let own = (first, self.free_memory(first));
        let mut shares = memory::distribute(self.memory_needed(), own, &others)?;
        shares.retain(|share| self.takes_orders(share.place));
        Some((first, shares))
    }

    /// What reading a part there costs the streams that are written there, as
    /// a delay. Nothing where the short ones will pause for too long in any case: so
    /// the parts of several prompts stop the same few streams, and not all of them.
    fn harm(&self, i: usize) -> f64 {
        let total = &self.candidates[i].total;
        let large = self
            .speed
            .part_reading_time(self.demand.prompt, MAX_READERS)
            > LARGE;
        match (total.short, total.long()) {
            (0, 1..) if large => HARM_LONG.as_secs_f64(),
            (0, _) => 0.0,
            _ if total.backlog() >= BEARABLE => 0.0,
            (short, _) => (HARM * short).as_secs_f64(),
        }
    }
}

/// Into how many parts a prompt may be cut at most.
fn parts(whole: Duration) -> usize {
    let parts = (whole.as_secs_f64() / PART.as_secs_f64()).ceil();
    // A prompt's reading time is bounded by its tokens; a float beyond the
    // range saturates.
    (parts as usize).clamp(1, MAX_READERS)
}
