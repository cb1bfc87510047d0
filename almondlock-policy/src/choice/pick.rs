//! Ways of choosing.

use almondlock_base::time::Mono;
use rand::Rng;

use super::table::{Index, Query, Row, Table};
use crate::prefix;

/// Most candidates looked at in one decision, beside those for a prefix.
const DRAW_LIMIT: usize = 8;
/// Candidates that a prefix may add.
const PREFIX_CANDIDATES: usize = 3;
/// Attempts that an upstream may always have, whatever the average.
const BOUND_FLOOR: u64 = 4;

/// A way of choosing an upstream.
pub trait Picker {
    /// The upstream for an attempt, `None` when none may take it.
    fn pick<R>(&self, table: &Table, ask: &Query<'_>, now: Mono, rng: &mut R) -> Option<Index>
    where
        R: Rng;
}

/// Any upstream that takes work, as a baseline.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl Picker for Random {
    fn pick<R>(&self, table: &Table, ask: &Query<'_>, now: Mono, rng: &mut R) -> Option<Index>
    where
        R: Rng,
    {
        scan(table, ask, now, rng.random(), |_| 0.0)
    }
}

/// The upstream whose last report was the lowest, as a baseline. It reads the
/// reports as they came: entry hosts that heard the same choose the same.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastReported;

impl Picker for LeastReported {
    fn pick<R>(&self, table: &Table, ask: &Query<'_>, now: Mono, rng: &mut R) -> Option<Index>
    where
        R: Rng,
    {
        let cost = |row: &Row| f64::from(row.load.report.in_flight);
        scan(table, ask, now, rng.random(), cost)
    }
}

/// A few candidates from a subset, by expected time to the first token.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sampling;

impl Picker for Sampling {
    fn pick<R>(&self, table: &Table, ask: &Query<'_>, now: Mono, rng: &mut R) -> Option<Index>
    where
        R: Rng,
    {
        let mut best = Best::default();
        for slot in draw(table, &table.near.chosen, ask, now, rng) {
            best.offer(table, ask, slot, 0, now);
        }
        for (slot, saved) in prefix_candidates(table, ask) {
            if is_within_bound(table, slot) {
                best.offer(table, ask, slot, saved, now);
            }
        }
        if best.index.is_none() {
            for slot in draw(table, &table.far.chosen, ask, now, rng) {
                best.offer(table, ask, slot, 0, now);
            }
        }
        // All that was looked at failed lately, is excluded or leaving: any
        // that takes work at all is better than a refusal.
        best.index.or_else(|| {
            scan(table, ask, now, rng.random(), |row| {
                cost(table, row, ask, 0, now)
            })
        })
    }
}

/// The best candidate so far.
#[derive(Default)]
struct Best {
    /// Whether it is hot, and its expected time.
    rank: (bool, f64),
    index: Option<Index>,
}

impl Best {
    /// Cold ones are compared by expected time. Hot ones are taken only when
    /// all are hot, and then the one with least in flight: with many in
    /// flight, old figures for the time say little (Prequal's rule).
    fn offer(&mut self, table: &Table, ask: &Query<'_>, slot: u32, saved: u64, now: Mono) {
        let Some((row, index)) = table.at(slot).zip(table.index(slot)) else {
            return;
        };
        if !is_usable(row, index, ask, now) {
            return;
        }
        let in_flight = in_flight(table, row, now);
        let hot = in_flight > table.average.hot.max(1.0) && table.average.hot > 0.0;
        let figure = if hot {
            in_flight
        } else {
            cost(table, row, ask, saved, now)
        };
        let rank = (hot, figure);
        if self.index.is_none() || rank < self.rank {
            self.rank = rank;
            self.index = Some(index);
        }
    }
}

/// Different members of a subset, drawn at random. Where draws keep hitting the
/// same or unusable ones, members are taken in order from a random place, so
/// that a small or half-failed subset is looked at whole.
fn draw<R>(
    table: &Table,
    chosen: &[u32],
    ask: &Query<'_>,
    now: Mono,
    rng: &mut R,
) -> impl Iterator<Item = u32> + use<R>
where
    R: Rng,
{
    let wanted = table.config.candidates.clamp(1, DRAW_LIMIT);
    let mut drawn = [u32::MAX; DRAW_LIMIT];
    let mut count = 0;
    let mut offer = |slot: u32| {
        let row = table.at(slot).zip(table.index(slot));
        let usable = row.is_some_and(|(row, index)| is_usable(row, index, ask, now));
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

/// Whether an attempt may go there and there is no reason to go elsewhere.
fn is_usable(row: &Row, index: Index, ask: &Query<'_>, now: Mono) -> bool {
    row.takes(ask, index) && !row.load.is_avoided(now) && !row.spares(ask)
}

/// Upstreams that may have the prompt's start cached, and the tokens that
/// would save.
fn prefix_candidates(table: &Table, ask: &Query<'_>) -> impl Iterator<Item = (u32, u64)> + use<> {
    let mut found: [Option<(u32, u64)>; PREFIX_CANDIDATES] = [None; PREFIX_CANDIDATES];
    if let Some((slot, blocks)) = table.hints.longest(ask.prefix) {
        found[0] = Some((slot, prefix::covered_tokens(blocks).0));
    }
    // The first block is what prompts share most often: hashing by it brings
    // all that share it together, from every entry host.
    if let Some(first) = ask.prefix.first() {
        let whole = prefix::covered_tokens(ask.prefix.len()).0;
        let hoped = whole * u64::from(table.config.assumed_hit_percent.min(100)) / 100;
        for (place, slot) in found[1..].iter_mut().zip(table.rendezvous(*first)) {
            let saved = |slot| {
                let known = prefix::covered_tokens(table.hints.depth(ask.prefix, slot)).0;
                (slot, known.max(hoped))
            };
            *place = slot.map(saved);
        }
    }
    found.into_iter().flatten()
}

/// Bounded load: a popular prefix spills over to the second upstream, and then
/// to all, before it overloads the first.
fn is_within_bound(table: &Table, slot: u32) -> bool {
    let Some(row) = table.at(slot) else {
        return false;
    };
    let members = (table.near.chosen.len() as u64).max(1);
    let fair = table.average.outstanding * u64::from(table.config.bound_percent) / 100 / members;
    u64::from(row.load.outstanding) <= fair + BOUND_FLOOR
}

/// Requests in flight there: what was reported, faded towards the average, and
/// what was sent since.
fn in_flight(table: &Table, row: &Row, now: Mono) -> f64 {
    let trust = row.load.trust(now, table.config.half_life);
    let reported = f64::from(row.load.report.in_flight);
    let faded = trust * reported + (1.0 - trust) * table.average.in_flight;
    (faded + f64::from(row.load.sent)).max(f64::from(row.load.outstanding))
}

/// Expected seconds to the first token.
fn cost(table: &Table, row: &Row, ask: &Query<'_>, saved: u64, now: Mono) -> f64 {
    let trust = row.load.trust(now, table.config.half_life);
    let speed = match row.load.report.prefill_speed {
        0 => table.config.prefill_speed.max(1) as f64,
        speed => speed as f64,
    };
    let reported = row.load.report.wait.as_secs_f64();
    let wait = trust * reported + (1.0 - trust) * table.average.wait;
    let sent = row.load.sent_tokens.0.min(row.load.unanswered.0) as f64 / speed;
    let prefill = ask.prompt.0.saturating_sub(saved) as f64 / speed;
    let distance = match (row.near, row.same_domain) {
        (true, true) => 0.0,
        (true, false) => table.config.domain_cost.as_secs_f64(),
        (false, _) => table.config.domain_cost.as_secs_f64() * 10.0,
    };
    let lacking = (ask.prompt.0 + ask.output.0).saturating_sub(saved);
    let lacking = lacking.saturating_sub(row.load.report.free_memory.0) as f64 / speed;
    let lacking = if row.load.at.is_some() {
        trust * lacking
    } else {
        0.0
    };
    wait + sent + prefill + distance + lacking
}

/// The cheapest of the subset in this region, then of the other, then of all;
/// equal ones by a random starting point. Upstreams that failed lately are
/// taken only when there is no other.
fn scan<F>(table: &Table, ask: &Query<'_>, now: Mono, start: u32, cost: F) -> Option<Index>
where
    F: Fn(&Row) -> f64,
{
    let all = || 0..table.rows.len() as u32;
    let near = |slot: &u32| table.at(*slot).is_some_and(|row| row.near);
    let healthy = |slot: &u32| table.at(*slot).is_some_and(|row| !row.load.is_avoided(now));
    let spared = |slot: &u32| table.at(*slot).is_some_and(|row| row.spares(ask));
    cheapest(
        table,
        ask,
        start,
        &cost,
        all().filter(near).filter(healthy).filter(|s| !spared(s)),
    )
    .or_else(|| cheapest(table, ask, start, &cost, all().filter(healthy)))
    .or_else(|| cheapest(table, ask, start, &cost, all()))
}

fn cheapest<F, S>(table: &Table, ask: &Query<'_>, start: u32, cost: &F, slots: S) -> Option<Index>
where
    F: Fn(&Row) -> f64,
    S: Iterator<Item = u32>,
{
    let mut best: Option<((f64, u32), Index)> = None;
    for slot in slots {
        let Some((row, index)) = table.at(slot).zip(table.index(slot)) else {
            continue;
        };
        if !row.takes(ask, index) {
            continue;
        }
        // Multiplying by an odd number and adding a random one shuffles the
        // slots, so that equal costs are spread evenly.
        let tie = slot.wrapping_add(start).wrapping_mul(0x9e37_79b1);
        let rank = (cost(row), tie);
        if best.is_none_or(|(least, _)| rank < least) {
            best = Some((rank, index));
        }
    }
    best.map(|(_, index)| index)
}
