//! Selects an engine on stale load information.
//!
//! **Load pattern.** Many hosts choose with the same load information until they learn
//! of each other's choices. If each one chooses the engine that looks best, all choose
//! the same: an engine that becomes idle gets every prompt of the next moments, and the
//! last of these waits for all others.
//!
//! **Water filling.** The prompts that arrive at all hosts within the age of the load
//! information are too many for the best engine. Ideally they would fill the engines up
//! to one common level, so the least loaded ones get the most. Each host therefore draws
//! an engine with a probability proportional to the work that raises it to that level
//! (M. Dahlin, "Interpreting stale load information", 2000). With few prompts that is
//! one of the least loaded engines, with many it is any engine. The number of hosts
//! doesn't have to be configured.

use rand::{Rng, RngCore};

/// Draws the engine for a prompt, and returns it with its cost.
///
/// `costs` has the seconds until a new prompt is read on an engine, and the engine. `work`
/// is the reading time, in seconds, of all prompts that arrive at all hosts within the age
/// of these costs.
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
    // Only reached through rounding errors.
    order.first().copied()
}

/// Returns the level of cost up to which `work` fills the engines, given in ascending order
/// of cost.
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
