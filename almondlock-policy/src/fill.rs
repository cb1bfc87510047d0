//! Choosing an engine on knowledge that is some time old.
//!
//! **Load pattern.** Many hosts choose from the same knowledge until they are told of
//! each other's choices. If each takes the engine that looks best, all take the same
//! one: an engine that becomes idle gets every prompt of the next moments, and the
//! last of these waits for all others.
//!
//! **Filling up.** The prompts that come at all hosts within the age of what they know
//! are too many for the best engine. Together they fill the engines up to one level,
//! the lowest ones most; so each host draws an engine with the probability of what it
//! takes to reach that level (M. Dahlin, "Interpreting stale load information", 2000).
//! With few prompts that is the least loaded engine or its equals, with many it is any
//! of them, and nothing needs to be set for the number of hosts.

use rand::{Rng, RngCore};

/// Draws among engines, given with the seconds until a new prompt is read there, for
/// one of the prompts that come within the age of these figures. `work` are the seconds
/// of reading that all of those bring.
///
/// Gives the engine and its seconds.
pub fn draw<R>(costs: &[(f64, usize)], work: f64, rng: &mut R) -> Option<(f64, usize)>
where
    R: RngCore,
{
    let mut order = costs.to_vec();
    order.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let level = fill_level(&order, work);
    let mut drawn = rng.random::<f64>() * work;
    for (cost, engine) in &order {
        drawn -= (level - cost).max(0.0);
        if drawn <= 0.0 {
            return Some((*cost, *engine));
        }
    }
    // Nothing but rounding is left.
    order.first().copied()
}

/// The cost up to which this much work fills the engines, the least cost first.
fn fill_level(order: &[(f64, usize)], work: f64) -> f64 {
    let mut sum = 0.0;
    let mut level = 0.0;
    for ((cost, _), count) in order.iter().zip(1_u32..) {
        sum += cost;
        let reached = (work + sum) / f64::from(count);
        if count > 1 && *cost >= level {
            break;
        }
        level = reached;
    }
    level
}
