//! Whether a long prompt is refused at once, because it would be late.
//!
//! **Load pattern.** In stretches with many long prompts the engines have more
//! to read than they can in time. Each prompt that is taken all the same is
//! worth a quarter when it comes late, and makes those behind it late as well,
//! until all are. Refused at once, its caller can come back when the stretch is
//! over.
//!
//! **The largest first.** A prompt's cost grows with the square of its tokens,
//! its worth with the tokens. So the largest are refused as soon as there is
//! much to read, and served while there is not.
//!
//! **Grounds.** Mean share of the worth that callers gave to their requests, over
//! 24 paired runs of half a minute with bursts of either length: 0.605 when
//! prompts are refused that are expected later than their objective; 0.610
//! from 0.8 of it; 0.626 with the largest refused under load besides; 0.635
//! with that and from 0.6 of the objective. In calm stretches it costs: fewer
//! late ones are served. Refusing short prompts too lost 0.014, since those that
//! come back and find the same are lost.

use std::time::Duration;

use crate::pick::Choice;

/// A long prompt is refused when its first event is expected later than this
/// part of its objective. What comes after it, pauses and parts of others, has
/// the rest.
const HOPELESS: f64 = 0.6;

/// The largest prompts are refused while an engine has more to read, in the
/// mean, than this part of their objective.
const LOADED: f64 = 0.05;

/// What takes an engine less time than this is worth its time also when late.
const COSTLY: Duration = Duration::from_millis(600);

/// Whether a request is refused. `spent` is the time since its arrival.
pub fn refuses(choice: &Choice, objective: Duration, spent: Duration) -> bool {
    if choice.large && choice.backlog > objective.mul_f64(LOADED) {
        return true;
    }
    let parts = u32::try_from(choice.helpers.len() + 1).unwrap_or(1);
    choice.part * parts > COSTLY && spent + choice.expected > objective.mul_f64(HOPELESS)
}
