//! Counts and chooses engines' slots for short prompts.

use std::time::Duration;

use almondlock_policy::{engine::Speed, slots};
use rand::{Rng, RngCore};

use super::{Candidate, Choice, Demand, selection::Selection};
use crate::{load::Total, memory};

/// Fraction of its objective for which a short prompt may wait until an engine begins to
/// read it. The rest is for the first pass and the network.
const MAX_BACKLOG_SHARE: f64 = 0.5;

/// Returns the slots of these engines, except those that are suspect, ejected or at a
/// limit.
pub fn slot_usage(
    candidates: &[Candidate],
    objective: Duration,
) -> impl Iterator<Item = slots::Engine> + use<'_> {
    let open = |candidate: &&Candidate| !candidate.is_avoided() && candidate.may_answer();
    let healthy = candidates.iter().filter(open);
    healthy.map(move |candidate| {
        let total = &candidate.total;
        slots::Engine {
            slots: candidate.slots,
            streams: total.streams,
            waiting: total.waiting,
            is_backlogged: is_backlogged(total, objective),
        }
    })
}

/// Returns whether an engine has so much to read that a short prompt would be late there.
pub(crate) fn is_backlogged(total: &Total, objective: Duration) -> bool {
    total.backlog() >= objective.mul_f64(MAX_BACKLOG_SHARE)
}

/// Returns how long a stream occupies its slot on an engine that writes `streams` streams.
pub fn slot_duration(speed: &Speed, demand: Demand, streams: u32) -> Duration {
    let pass = speed.pass_time(streams, demand.prompt * u64::from(streams.max(1)));
    // The output's token count is far below the precision of an `f64`.
    let passes = (demand.output as f64 / speed.steps_per_pass.max(1.0)).ceil();
    speed.reading_time(demand.prompt) + pass.mul_f64(passes)
}

/// Chooses the engine that answers a short prompt while slots are scarce. Draws one with a
/// probability in proportion to its free slots times its rate, from the cell of the engine
/// that was chosen before if one is free there. Returns the engine that was chosen before
/// if no engine has a free slot.
///
/// **Load pattern.** Many hosts see the same few free slots. Short prompts are packed onto
/// some of the engines, so the cheapest of these gets more prompts than it has free slots
/// before the hosts hear of each other's.
pub fn draw_engine_with_slot<R>(
    speed: &Speed,
    demand: Demand,
    candidates: &[Candidate],
    chosen: usize,
    rng: &mut R,
) -> usize
where
    R: RngCore,
{
    let memory = demand.prompt + demand.output;
    let free = |candidate: &Candidate| {
        let is_open = !candidate.is_avoided()
            && candidate.may_answer()
            && !is_backlogged(&candidate.total, demand.objective);
        let has_room = memory::free_tokens(speed, &candidate.total) >= memory;
        let slots = candidate.slots.saturating_sub(candidate.total.requests());
        match is_open && has_room {
            true => f64::from(slots) * candidate.rate,
            false => 0.0,
        }
    };
    let cell = candidates.get(chosen).map(|candidate| candidate.cell);
    let in_cell = |candidate: &Candidate| match Some(candidate.cell) == cell {
        true => free(candidate),
        false => 0.0,
    };
    let place =
        draw_weighted(candidates, in_cell, rng).or_else(|| draw_weighted(candidates, free, rng));
    place.unwrap_or(chosen)
}

/// Replaces the engine that answers a short prompt, and updates the expected time of the
/// first event.
pub fn redirect(
    speed: &Speed,
    demand: Demand,
    candidates: &[Candidate],
    choice: &mut Choice,
    place: usize,
) {
    if place == choice.primary || place >= candidates.len() {
        return;
    }
    let selection = Selection {
        speed,
        demand,
        candidates,
    };
    choice.primary = place;
    choice.expected = selection.expected(selection.cost_with_memory(place), choice.part);
}

/// Draws a candidate with a probability in proportion to its weight.
fn draw_weighted<F, R>(candidates: &[Candidate], weight: F, rng: &mut R) -> Option<usize>
where
    F: Fn(&Candidate) -> f64,
    R: RngCore,
{
    let all: f64 = candidates.iter().map(&weight).sum();
    let mut drawn = (all > 0.0).then(|| rng.random_range(0.0..all))?;
    candidates.iter().position(|candidate| {
        let own = weight(candidate);
        let is_drawn = drawn < own;
        drawn -= own;
        is_drawn
    })
}
