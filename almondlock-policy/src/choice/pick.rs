//! Strategies for selecting an upstream.

use almondlock_base::time::Mono;
use rand::Rng;

use super::table::{Index, Query, Row, Table};
use crate::prefix;

/// Largest number of candidates in one decision, not counting those for a prefix.
const MAX_CANDIDATES: usize = 8;
/// Largest number of candidates that a prefix adds.
const MAX_PREFIX_CANDIDATES: usize = 3;
/// Attempts added to the bound, so that a prefix is followed even while the average is low.
const BOUND_MARGIN_ATTEMPTS: u64 = 4;

/// A strategy for selecting an upstream.
pub trait Picker {
    /// Returns the upstream for an attempt, `None` if no upstream may take it.
    fn pick<R>(&self, table: &Table, query: &Query<'_>, now: Mono, rng: &mut R) -> Option<Index>
    where
        R: Rng;
}

/// Selects any upstream that accepts work, as a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl Picker for Random {
    fn pick<R>(&self, table: &Table, query: &Query<'_>, now: Mono, rng: &mut R) -> Option<Index>
    where
        R: Rng,
    {
        pick_from_all(table, query, now, rng.random(), |_| 0.0)
    }
}

/// Selects the upstream with the fewest requests in flight by the last report, as a baseline.
/// Reports don't decay, so entry hosts with the same reports select the same upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastReported;

impl Picker for LeastReported {
    fn pick<R>(&self, table: &Table, query: &Query<'_>, now: Mono, rng: &mut R) -> Option<Index>
    where
        R: Rng,
    {
        let cost = |row: &Row| f64::from(row.load.report.in_flight);
        pick_from_all(table, query, now, rng.random(), cost)
    }
}

/// Selects the lowest expected time to the first token among a few upstreams that are sampled
/// from the host's subset.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sampling;

impl Picker for Sampling {
    fn pick<R>(&self, table: &Table, query: &Query<'_>, now: Mono, rng: &mut R) -> Option<Index>
    where
        R: Rng,
    {
        let mut best = Best::default();
        for slot in sample_members(table, &table.local.chosen, query, now, rng) {
            best.consider(table, query, slot, 0, now);
        }
        for (slot, saved) in prefix_candidates(table, query) {
            if is_within_bound(table, slot) {
                best.consider(table, query, slot, saved, now);
            }
        }
        if best.index.is_none() {
            for slot in sample_members(table, &table.remote.chosen, query, now, rng) {
                best.consider(table, query, slot, 0, now);
            }
        }
        // All candidates failed recently, are excluded or are leaving: any
        // upstream that accepts work is better than a refusal.
        best.index.or_else(|| {
            pick_from_all(table, query, now, rng.random(), |row| {
                expected_seconds(table, row, query, 0, now)
            })
        })
    }
}

/// The best candidate found so far.
#[derive(Default)]
struct Best {
    /// Whether the candidate is hot, and its requests in flight if so, otherwise its expected
    /// seconds.
    rank: (bool, f64),
    index: Option<Index>,
}

impl Best {
    /// Replaces the best candidate if this one is better and usable.
    ///
    /// Cold candidates are compared by expected time. A hot one is taken only if
    /// all are hot, and then the one with the fewest requests in flight: with
    /// many in flight, old reports of the waiting time say little (Prequal).
    fn consider(&mut self, table: &Table, query: &Query<'_>, slot: u32, saved: u64, now: Mono) {
        let Some((row, index)) = table.at(slot).zip(table.index(slot)) else {
            return;
        };
        if !is_usable(row, index, query, now) {
            return;
        }
        let in_flight = in_flight(table, row, now);
        let hot =
            in_flight > table.average.hot_threshold.max(1.0) && table.average.hot_threshold > 0.0;
        let figure = if hot {
            in_flight
        } else {
            expected_seconds(table, row, query, saved, now)
        };
        let rank = (hot, figure);
        if self.index.is_none() || rank < self.rank {
            self.rank = rank;
            self.index = Some(index);
        }
    }
}

/// Samples distinct usable members of a subset at random.
///
/// If random draws don't find enough, the rest is taken in order from a random position, so
/// that every usable member of a small or partly failed subset can be found.
fn sample_members<R>(
    table: &Table,
    chosen: &[u32],
    query: &Query<'_>,
    now: Mono,
    rng: &mut R,
) -> impl Iterator<Item = u32> + use<R>
where
    R: Rng,
{
    let wanted = table.config.candidates.clamp(1, MAX_CANDIDATES);
    let mut drawn = [u32::MAX; MAX_CANDIDATES];
    let mut count = 0;
    let mut offer = |slot: u32| {
        let row = table.at(slot).zip(table.index(slot));
        let usable = row.is_some_and(|(row, index)| is_usable(row, index, query, now));
        if usable && !drawn[..count].contains(&slot) {
            drawn[count] = slot;
            count += 1;
        }
        count < wanted
    };
    if !chosen.is_empty() {
        let mut tries = (0..wanted * 2).map(|_| chosen[rng.random_range(0..chosen.len())]);
        if tries.all(&mut offer) {
            let start = rng.random_range(0..chosen.len());
            let mut rest = chosen[start..].iter().chain(&chosen[..start]).copied();
            rest.all(offer);
        }
    }
    drawn.into_iter().take(count)
}

/// Whether an upstream may take an attempt, has not failed recently and is not kept free of
/// prompts of this length.
fn is_usable(row: &Row, index: Index, query: &Query<'_>, now: Mono) -> bool {
    row.may_take(query, index) && !row.load.is_avoided(now) && !row.is_closed_to(query)
}

/// Returns the upstreams that may have the prompt's prefix cached, each with the number of
/// prompt tokens that it is expected to save.
fn prefix_candidates(table: &Table, query: &Query<'_>) -> impl Iterator<Item = (u32, u64)> + use<> {
    let mut found: [Option<(u32, u64)>; MAX_PREFIX_CANDIDATES] = [None; MAX_PREFIX_CANDIDATES];
    if let Some((slot, blocks)) = table.hints.find_longest(query.prefix) {
        found[0] = Some((slot, prefix::covered_tokens(blocks).0));
    }
    // Prompts share the first block most often: hashing by it sends all prompts
    // with the same first block to the same upstreams, from every entry host.
    if let Some(first) = query.prefix.first() {
        let whole = prefix::covered_tokens(query.prefix.len()).0;
        let assumed = whole * u64::from(table.config.assumed_hit_percent.min(100)) / 100;
        for (place, slot) in found[1..].iter_mut().zip(table.rendezvous(*first)) {
            let saved = |slot| {
                let known = prefix::covered_tokens(table.hints.cached_blocks(query.prefix, slot)).0;
                (slot, known.max(assumed))
            };
            *place = slot.map(saved);
        }
    }
    found.into_iter().flatten()
}

/// Whether an upstream has room for further attempts with a cached prefix (consistent hashing
/// with bounded loads): a popular prefix spills over to the second upstream, and then to all,
/// before it overloads the first.
fn is_within_bound(table: &Table, slot: u32) -> bool {
    let Some(row) = table.at(slot) else {
        return false;
    };
    let members = (table.local.chosen.len() as u64).max(1);
    let fair = table.average.outstanding * u64::from(table.config.bound_percent) / 100 / members;
    u64::from(row.load.outstanding) <= fair + BOUND_MARGIN_ATTEMPTS
}

/// Returns the estimated number of requests in flight at an upstream: the reported number,
/// decayed towards the average, plus this host's attempts since the report.
fn in_flight(table: &Table, row: &Row, now: Mono) -> f64 {
    let weight = row.load.report_weight(now, table.config.half_life);
    let reported = f64::from(row.load.report.in_flight);
    let faded = weight * reported + (1.0 - weight) * table.average.in_flight;
    (faded + f64::from(row.load.sent_since_report)).max(f64::from(row.load.outstanding))
}

/// Returns the expected time to the first token, in seconds.
fn expected_seconds(table: &Table, row: &Row, query: &Query<'_>, saved: u64, now: Mono) -> f64 {
    let weight = row.load.report_weight(now, table.config.half_life);
    let speed = match row.load.report.prefill_speed {
        0 => table.config.prefill_speed.max(1) as f64,
        speed => speed as f64,
    };
    let reported = row.load.report.wait.as_secs_f64();
    let wait = weight * reported + (1.0 - weight) * table.average.wait;
    let sent = row
        .load
        .tokens_since_report
        .0
        .min(row.load.unanswered_tokens.0) as f64
        / speed;
    let prefill = query.prompt.0.saturating_sub(saved) as f64 / speed;
    let distance = match (row.same_region, row.same_domain) {
        (true, true) => 0.0,
        (true, false) => table.config.domain_cost.as_secs_f64(),
        (false, _) => table.config.domain_cost.as_secs_f64() * 10.0,
    };
    let lacking = (query.prompt.0 + query.output.0).saturating_sub(saved);
    let lacking = lacking.saturating_sub(row.load.report.free_memory.0) as f64 / speed;
    let lacking = if row.load.reported_at.is_some() {
        weight * lacking
    } else {
        0.0
    };
    wait + sent + prefill + distance + lacking
}

/// Returns the upstream of the whole table with the lowest cost.
///
/// Healthy upstreams of this region that are open to prompts of this length come first, then
/// all healthy ones, then all. `start` is random and breaks ties.
fn pick_from_all<F>(
    table: &Table,
    query: &Query<'_>,
    now: Mono,
    start: u32,
    cost: F,
) -> Option<Index>
where
    F: Fn(&Row) -> f64,
{
    let all = || 0..table.rows.len() as u32;
    let near = |slot: &u32| table.at(*slot).is_some_and(|row| row.same_region);
    let healthy = |slot: &u32| table.at(*slot).is_some_and(|row| !row.load.is_avoided(now));
    let spared = |slot: &u32| table.at(*slot).is_some_and(|row| row.is_closed_to(query));
    cheapest(
        table,
        query,
        start,
        &cost,
        all().filter(near).filter(healthy).filter(|s| !spared(s)),
    )
    .or_else(|| cheapest(table, query, start, &cost, all().filter(healthy)))
    .or_else(|| cheapest(table, query, start, &cost, all()))
}

/// Returns the upstream with the lowest cost among `slots`.
fn cheapest<F, S>(table: &Table, query: &Query<'_>, start: u32, cost: &F, slots: S) -> Option<Index>
where
    F: Fn(&Row) -> f64,
    S: Iterator<Item = u32>,
{
    let mut best: Option<((f64, u32), Index)> = None;
    for slot in slots {
        let Some((row, index)) = table.at(slot).zip(table.index(slot)) else {
            continue;
        };
        if !row.may_take(query, index) {
            continue;
        }
        // Adding a random number and multiplying by an odd one permutes the
        // slots, so that ties are broken evenly.
        let tie = slot.wrapping_add(start).wrapping_mul(0x9e37_79b1);
        let rank = (cost(row), tie);
        if best.is_none_or(|(least, _)| rank < least) {
            best = Some((rank, index));
        }
    }
    best.map(|(_, index)| index)
}
