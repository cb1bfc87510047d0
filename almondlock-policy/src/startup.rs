//! Holds prompts back in the first moments after a host's start.
//!
//! **Load pattern.** All hosts lose power at once. Callers that were cut off return as soon as
//! a host listens again, together with the usual ones: two seconds' worth of requests arrive
//! within a few tenths of a second. The first ones are placed before the host knows which
//! requests the other hosts have in progress, so that dozens of hosts send to the same engine.
//! The long prompts among them are read in parts by nearly all engines, half a second on each,
//! so that every short prompt that arrives later is late, though it could have been read first.
//!
//! **Order.** Prompts wait until the loads of other hosts are known, which takes a round trip to
//! a relay. Long prompts also wait for a part of their objective, which is many times that of
//! short ones, and let the short ones go first.

use std::time::Duration;

/// Longest time that a prompt waits until the loads of other hosts are known: twice the sum of the
/// relay's interval and the network delays.
const MAX_LOADS_WAIT: Duration = Duration::from_millis(50);

/// Part of its objective for which a prompt may wait.
const MAX_OBJECTIVE_SHARE: f64 = 1.0 / 8.0;

/// Reading time on one engine above which a prompt is long: its parts delay the short prompts on
/// many engines.
const LONG_READING: Duration = Duration::from_secs(1);

/// Properties of a prompt that is about to be placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Time since the host's start.
    pub host_age: Duration,
    /// Time since the prompt's arrival.
    pub waited: Duration,
    /// Time from the prompt's arrival within which its first event should be sent.
    pub objective: Duration,
    /// Time that one engine would take to read the prompt.
    pub reading_time: Duration,
    /// Whether the loads of other hosts are known, or there are none to report them.
    pub knows_loads: bool,
}

/// Returns the time for which a prompt is still held back, `None` if it is placed now. `settling`
/// is the time after the host's start during which prompts are held back. To be called again
/// when loads become known.
pub fn hold_time(settling: Duration, prompt: &Prompt) -> Option<Duration> {
    let most = match (prompt.reading_time > LONG_READING, prompt.knows_loads) {
        (true, _) => settling,
        (false, false) => MAX_LOADS_WAIT,
        (false, true) => return None,
    };
    let allowed = most.min(prompt.objective.mul_f64(MAX_OBJECTIVE_SHARE));
    let left = allowed.saturating_sub(prompt.waited);
    let settles = settling.saturating_sub(prompt.host_age);
    Some(left.min(settles)).filter(|left| !left.is_zero())
}
