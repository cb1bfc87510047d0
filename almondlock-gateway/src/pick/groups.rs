//! Divides the engines into those for short streams, those that read parts of long prompts,
//! and those that write the answers to long prompts.

use std::time::Duration;

use almondlock_policy::engine::Speed;

use super::Candidate;

/// Fraction of an engine's slots that short streams fill before another engine is taken. A
/// pass takes longer the more streams it writes, and the remaining slots are for requests
/// that arrive at the same moment.
const PACKED: f64 = 0.82;

/// Mean backlog of the engines for short streams above which other engines join them: three
/// short prompts, a third of the shortest objectives.
const WAIT_MOST: Duration = Duration::from_millis(100);

/// Number of streams of long prompts that share a writer.
const PACKED_LONG: u32 = 4;

/// Minimum number of writers. With only one, prompts that arrive at the same moment queue
/// at it.
const WRITERS_LEAST: usize = 2;

/// At most one in this number of the engines for long prompts is a writer.
const READERS_LEAST: usize = 3;

/// At least one engine in this number is left for long prompts.
const LONG_LEAST: usize = 7;

/// The engines by their present use, each list in the order of the candidates.
pub(super) struct Groups<'a> {
    /// All engines.
    pub(super) all: &'a [usize],
    /// Engines for short streams. Never empty.
    pub(super) short: &'a [usize],
    /// Engines for long prompts: first readers, then writers.
    pub(super) long: &'a [usize],
    /// The engines of `long` that only read parts of long prompts.
    pub(super) readers: &'a [usize],
    /// The engines of `long` that also write answers to long prompts. Empty if there are
    /// few engines.
    pub(super) writers: &'a [usize],
}

impl<'a> Groups<'a> {
    pub(super) fn divide(speed: &Speed, all: &'a [usize], candidates: &[Candidate]) -> Groups<'a> {
        let streams = all.iter().map(|i| candidates[*i].total.short).sum();
        let needed = short_side(speed, streams, all.len());
        let backlogs = all.iter().map(|i| candidates[*i].total.backlog());
        let (short, long) = all.split_at(relieved(needed, &backlogs.collect::<Vec<_>>()));
        let streams = long.iter().map(|i| candidates[*i].total.long()).sum();
        let (readers, writers) = long.split_at(long.len() - writers(streams, long.len()));
        Groups {
            all,
            short,
            long,
            readers,
            writers,
        }
    }
}

/// Orders the engines so that those that name limits are among the readers. Beside the few
/// requests that they take they can read for others, but engines for short streams and
/// writers must be able to do all of their work.
pub(super) fn order_by_limits(engines: &[usize], candidates: &[Candidate]) -> Vec<usize> {
    let is_free = |i: &&usize| candidates[**i].takes_orders();
    let (free, limited): (Vec<usize>, Vec<usize>) = engines.iter().partition(is_free);
    let last = free.len() / LONG_LEAST + 1;
    let (front, back) = free.split_at(free.len().saturating_sub(last));
    [front, &limited, back].concat()
}

/// Returns the number of engines that the short streams need for their slots.
fn short_side(speed: &Speed, streams: u32, engines: usize) -> usize {
    let needed = (streams + 1).div_ceil(packed(speed.slots)) as usize;
    needed.clamp(1, most_short(engines))
}

/// Returns the maximum number of engines for short streams.
fn most_short(engines: usize) -> usize {
    engines.saturating_sub(engines / LONG_LEAST).max(1)
}

/// Returns the number of engines for short streams, given that their slots need `needed`.
/// Further engines join, as long as their backlog is below the mean, until no short stream
/// waits for long.
///
/// **Load pattern.** Streams that arrive spread over two seconds find their engine idle
/// nine times out of ten. When as many arrive at once, as at the start of a burst or when
/// callers return after a power loss, the last one waits until the prompts of all others
/// are read: nearly half a second on an engine with 13 of them.
fn relieved(needed: usize, backlogs: &[Duration]) -> usize {
    let mut side = needed;
    let mut sum: Duration = backlogs[..side].iter().sum();
    let mean = |sum: Duration, side: usize| sum / u32::try_from(side).unwrap_or(u32::MAX).max(1);
    while side < most_short(backlogs.len()) && mean(sum, side) > WAIT_MOST {
        let next = backlogs[side];
        if next > mean(sum, side) {
            break;
        }
        sum += next;
        side += 1;
    }
    side
}

/// Returns the number of short streams that an engine with `slots` slots writes without
/// delay.
fn packed(slots: u32) -> u32 {
    // Engines have few slots, so the product fits any integer.
    (f64::from(slots) * PACKED).max(1.0) as u32
}

/// Returns the number of engines for long prompts that write answers.
fn writers(streams: u32, engines: usize) -> usize {
    let needed = (streams + 1).div_ceil(PACKED_LONG) as usize;
    needed.max(WRITERS_LEAST).min(engines / READERS_LEAST)
}
