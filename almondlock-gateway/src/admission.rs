//! Whether a long prompt is refused at once, because it would be late.
//!
//! **Load pattern.** In stretches with many long prompts the engines have more
//! to read than they can in time. Each prompt that is taken all the same is
//! worth a quarter when it comes late, and makes those behind it late as well,
//! until all are. Refused at once, its caller can come back when the stretch is
//! over.
//!
//! **Grounds.** Mean share of the worth that callers gave to their requests, in
//! paired runs of half a minute with bursts of either length. Refused when
//! expected later than 0.7, 0.6, 0.55 and 0.5 of the objective: 0.644 and 0.663
//! over 16 runs; 0.660, 0.680 and 0.672 over 24 others; 0.695 and 0.690 for the
//! last two over 24 more. With 26 and 31 hosts, over four runs each, 0.625 from
//! 0.7, 0.662 from 0.55, 0.677 from 0.5 and 0.680 from 0.45: between 0.45 and 0.55
//! the runs don't decide.
//!
//! Tried and lost: refusing the largest besides while there is much to read (0.019
//! less, before engines that write were kept apart from those that read); waiting
//! at the entry host for a moment in which the prompt would be in time (0.014
//! less); being milder with callers that come back (0.017 less); refusing short
//! prompts too (0.014 less, since those that come back and find the same are
//! lost).

use std::time::Duration;

use crate::pick::Choice;

/// A long prompt is refused when its first event is expected later than this
/// part of its objective. What comes after it, pauses and parts of others, has
/// the rest.
const HOPELESS: f64 = 0.55;

/// What takes an engine less time than this is worth its time also when late: a
/// prompt of 110,000 tokens takes 1.0 s. From 0.6 s the largest tenth of the
/// prompts around 45,000 tokens was refused, and served half as often as the rest.
const COSTLY: Duration = Duration::from_millis(1_100);

/// Whether a request is refused. `spent` is the time since its arrival.
pub fn refuses(choice: &Choice, objective: Duration, spent: Duration) -> bool {
    let parts = u32::try_from(choice.helpers.len() + 1).unwrap_or(1);
    choice.part * parts > COSTLY && spent + choice.expected > objective.mul_f64(HOPELESS)
}
