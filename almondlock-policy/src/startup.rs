//! What a host does with prompts in the first moments after its start.
//!
//! **Load pattern.** All hosts lose power at once. Callers that were cut off are back as soon as
//! a listener is, with those that come anyway: two seconds' worth of requests within a few
//! tenths of a second. The first ones are placed before the host has heard what the others have
//! under way, so that dozens of hosts send to the same engine. And the long prompts among them
//! are read in parts by nearly all engines, half a second on each, so that every short prompt
//! that comes after them is late, though it could have been read in between.
//!
//! **Order.** Prompts wait until loads are known, which takes a way to a relay and back. Long
//! ones wait besides for a part of their objective, which is many times that of short ones, and
//! let these go first.

use std::time::Duration;

/// How long a prompt waits at the most until loads of other hosts are known: a round of the
/// relay and the ways, twice.
const UNKNOWN: Duration = Duration::from_millis(50);

/// Of its objective, the part that a prompt may wait for.
const SHARE: f64 = 1.0 / 8.0;

/// A prompt that takes one engine longer than this is long: its parts delay the short prompts
/// of many engines.
const LONG: Duration = Duration::from_secs(1);

/// What is known of a prompt that is about to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// The time since the host's start.
    pub host_age: Duration,
    /// The time since the prompt's arrival.
    pub waited: Duration,
    /// When its first event should be there, from its arrival.
    pub objective: Duration,
    /// The time that one engine would take to read it.
    pub reading_time: Duration,
    /// Loads of other hosts are known, or there is nobody to tell them.
    pub knows_loads: bool,
}

/// How much longer a prompt waits, in a host that settles for so long after its start. None:
/// it is placed now. Asked again when loads become known.
pub fn hold_time(settling: Duration, case: &Prompt) -> Option<Duration> {
    let most = match (case.reading_time > LONG, case.knows_loads) {
        (true, _) => settling,
        (false, false) => UNKNOWN,
        (false, true) => return None,
    };
    let allowed = most.min(case.objective.mul_f64(SHARE));
    let left = allowed.saturating_sub(case.waited);
    let settles = settling.saturating_sub(case.host_age);
    Some(left.min(settles)).filter(|left| !left.is_zero())
}
