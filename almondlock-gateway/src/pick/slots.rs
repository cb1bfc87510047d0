//! The engines' slots as a choice among the engines sees them.

use std::time::Duration;

use almondlock_policy::{engine::Speed, slots};
use rand::{Rng, RngCore};

use super::{Candidate, Choice, Demand, selection::Selection};
use crate::{load::Total, memory};

/// The part of its objective for which a short prompt may wait until an engine begins to
/// read it. The first pass and the way have the rest.
const BACKLOG_SHARE: f64 = 0.5;

/// The slots of these engines, without those that are suspect, ejected or at a limit.
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

/// Whether an engine has so much to read that a short prompt would be late there.
pub(crate) fn is_backlogged(total: &Total, objective: Duration) -> bool {
    total.backlog() >= objective.mul_f64(BACKLOG_SHARE)
}

/// How long a stream keeps its slot on an engine that writes so many others.
pub fn slot_duration(speed: &Speed, demand: Demand, streams: u32) -> Duration {
    let pass = speed.pass_time(streams, demand.prompt * u64::from(streams.max(1)));
    // Outputs are far below the precision of an `f64`.
    let passes = (demand.output as f64 / speed.steps_per_pass.max(1.0)).ceil();
    speed.reading_time(demand.prompt) + pass.mul_f64(passes)
}

/// Who answers a short prompt while slots are scarce: an engine drawn with the probability
/// of its part of the free slots, each weighted by its engine's rate, in the cell of the one
/// that was chosen if any is free there. The one that was chosen if none has any.
///
/// **Load pattern.** Many hosts see the same few free slots. Short prompts are packed onto
/// some of the engines, so the cheapest of these gets more prompts than it has free slots
/// before hosts hear of each other.
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
    let place = draw(candidates, in_cell, rng).or_else(|| draw(candidates, free, rng));
    place.unwrap_or(chosen)
}

/// Has another engine answer a short prompt. What is expected of the one that was chosen before
/// doesn't hold for it.
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
    let field = Selection {
        speed,
        demand,
        candidates,
    };
    choice.primary = place;
    choice.expected = field.expected(field.whole_cost(place), choice.part);
}

/// Draws a candidate with the probability of its part of the weights.
fn draw<F, R>(candidates: &[Candidate], weight: F, rng: &mut R) -> Option<usize>
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
