//! Places long prompts: chooses the engines that read parts of the prompt, the one that
//! writes the answer, and those that hold memory that the writer lacks.

use std::time::Duration;

use rand::{Rng, RngCore};

use super::{
    Choice, MAX_READERS, Shortage,
    groups::Groups,
    selection::{Selection, draw_cheapest},
};
use crate::memory::{self, Share};

/// Minimum reading time of a part. Two such parts, with the steps of the pass itself beside
/// them, fit into the pause that short streams allow (a few hundred milliseconds).
const MIN_PART: Duration = Duration::from_millis(40);

/// Delay that counts against an engine for each short stream that it writes. A part would
/// make the stream pause for longer than it may, and the objective of a long prompt allows
/// this much waiting.
const SHORT_STREAM_PENALTY: Duration = Duration::from_millis(400);

/// With a backlog of this size an engine makes its short streams pause for longer than they
/// may in any case.
const TOLERABLE_BACKLOG: Duration = Duration::from_millis(150);

/// Delay that counts against an engine that writes streams of long prompts, if the part is
/// large. Such streams allow longer pauses and are fewer.
const LONG_STREAM_PENALTY: Duration = Duration::from_millis(250);

/// A prompt's part is large if its reading time exceeds this although as many engines as
/// possible take part. Two such parts in a pass come close to the pause that streams of
/// long prompts allow.
const LARGE_PART: Duration = Duration::from_millis(160);

/// The largest part that a writer reads beside the streams that it writes. These streams
/// allow a pause of about 0.8 s.
const MAX_WRITER_PART: Duration = Duration::from_millis(600);

/// Delay that counts against a writer for each stream that it writes: about a pass, since a
/// new stream makes the passes of the others longer.
const WRITER_STREAM_PENALTY: Duration = Duration::from_millis(50);

/// Readers whose costs differ by less than this number of seconds are taken in random
/// order. Most prompts take all readers.
const TIE_SECONDS: f64 = 1e-3;

/// Engines in the order in which a prompt takes them, each with the seconds until it begins
/// to read its part.
type Order = Vec<(f64, usize)>;

impl Selection<'_> {
    /// Chooses the engines for a long prompt.
    pub(super) fn choose_long<R>(
        &self,
        groups: &Groups<'_>,
        rng: &mut R,
    ) -> Result<Choice, Shortage>
    where
        R: RngCore,
    {
        // Engines for short streams are not taken beside those for long prompts: the
        // largest parts would gain most by that, and would delay every short stream of the
        // fleet at once.
        let readers = match groups.long.is_empty() {
            true => groups.short,
            false => groups.readers,
        };
        let mut order = self.order_by_cost(readers, rng);
        let writer = self.choose_writer(groups, readers.len(), rng);
        let mut count = self.choose_part_count(&order, writer);
        if let Some(writer) = writer {
            order.insert(0, writer);
        }
        // Other engines are taken only for memory that the engines for long prompts lack.
        let taken = |i: &usize| readers.contains(i) || writer.is_some_and(|(_, w)| w == *i);
        let others = groups.long.iter().chain(groups.short);
        let others: Vec<usize> = others.copied().filter(|i| !taken(i)).collect();
        order.extend(self.order_by_cost(&others, rng));
        let (first, shares) = loop {
            if let Some(found) = self.assign_memory(writer.map(|(_, i)| i), &order[..count]) {
                break found;
            }
            count += 1;
            if count > order.len().min(MAX_READERS) {
                return Err(Shortage::Memory);
            }
        };
        Ok(self.build_choice(first, shares, &order[..count]))
    }

    fn build_choice(&self, first: usize, shares: Vec<Share>, members: &[(f64, usize)]) -> Choice {
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

    /// Returns the engines with their costs for a long prompt, in ascending order.
    fn order_by_cost<R>(&self, engines: &[usize], rng: &mut R) -> Order
    where
        R: RngCore,
    {
        let costs = engines.iter().map(|i| {
            let cost = self.cost(*i) + self.stream_penalty(*i);
            (cost + rng.random::<f64>() * TIE_SECONDS, *i)
        });
        let mut order: Order = costs.collect();
        order.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        order
    }

    /// Returns the writer that is available soonest, or `None` if a part of the prompt is
    /// too large to be read beside streams.
    fn choose_writer<R>(
        &self,
        groups: &Groups<'_>,
        readers: usize,
        rng: &mut R,
    ) -> Option<(f64, usize)>
    where
        R: RngCore,
    {
        let most = (readers + 1).min(MAX_READERS);
        if self.speed.part_reading_time(self.demand.prompt, most) > MAX_WRITER_PART {
            return None;
        }
        let has_room = |i: usize| self.has_free_slot(i) && self.free_memory(i) > self.demand.output;
        let can_answer = |i: &&usize| has_room(**i) && self.takes_orders(**i);
        let open = groups.writers.iter().filter(can_answer);
        let costs = open.map(|i| {
            let streams = self.candidates[*i].total.long();
            (
                self.cost(*i) + (WRITER_STREAM_PENALTY * streams).as_secs_f64(),
                *i,
            )
        });
        draw_cheapest(costs, rng)
    }

    /// Returns the number of parts for which the first event comes soonest, given the
    /// ordered readers and the writer.
    fn choose_part_count(&self, order: &[(f64, usize)], writer: Option<(f64, usize)>) -> usize {
        let own = usize::from(writer.is_some());
        let most = max_parts(self.speed.reading_time(self.demand.prompt));
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

    /// Returns the member that answers, and the members that hold a share of the prompt's
    /// memory because the answering engine lacks room for all of it.
    ///
    /// Without a writer, the member with the most free memory of those that write for no
    /// other long prompt answers. One that names a limit answers only if no other can.
    fn assign_memory(
        &self,
        writer: Option<usize>,
        members: &[(f64, usize)],
    ) -> Option<(usize, Vec<Share>)> {
        let members = members.iter().map(|(_, i)| *i);
        let rank = |i: &usize| {
            let idle = self.candidates[*i].total.long() == 0;
            let unlimited = self.takes_orders(*i);
            (
                unlimited,
                self.has_free_slot(*i),
                idle,
                self.free_memory(*i),
            )
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

    /// Returns the seconds that count against an engine because reading a part there delays
    /// the streams that it writes. Returns zero where short streams will pause for too long
    /// in any case, so that parts of several prompts delay the same few streams and not all
    /// of them.
    fn stream_penalty(&self, i: usize) -> f64 {
        let total = &self.candidates[i].total;
        let large = self
            .speed
            .part_reading_time(self.demand.prompt, MAX_READERS)
            > LARGE_PART;
        match (total.short, total.long()) {
            (0, 1..) if large => LONG_STREAM_PENALTY.as_secs_f64(),
            (0, _) => 0.0,
            _ if total.backlog() >= TOLERABLE_BACKLOG => 0.0,
            (short, _) => (SHORT_STREAM_PENALTY * short).as_secs_f64(),
        }
    }
}

/// Returns the maximum number of parts of a prompt with this reading time.
fn max_parts(whole: Duration) -> usize {
    let parts = (whole.as_secs_f64() / MIN_PART.as_secs_f64()).ceil();
    // The reading time is bounded by the prompt's tokens, and the cast of a larger float
    // saturates.
    (parts as usize).clamp(1, MAX_READERS)
}
