//! Divides the engines into those for short streams, those that read parts of long prompts,
//! and those that write the answers to long prompts.

use std::time::Duration;

use almondlock_policy::engine::Speed;

use super::Candidate;

/// Fraction of an engine's slots that short streams fill before another engine is taken. A
/// pass takes longer the more streams it writes, and the remaining slots are for requests
/// that arrive at the same moment.
const SLOT_FILL_RATIO: f64 = 0.82;

/// Mean backlog of the engines for short streams above which other engines join them: three
/// short prompts, a third of the shortest objectives.
const MAX_MEAN_BACKLOG: Duration = Duration::from_millis(100);

/// Number of streams of long prompts that share a writer.
const LONG_STREAMS_PER_WRITER: u32 = 4;

/// Minimum number of writers. With only one, prompts that arrive at the same moment queue
/// at it.
const MIN_WRITERS: usize = 2;

/// At most one in this number of the engines for long prompts is a writer.
const ENGINES_PER_WRITER: usize = 3;

/// At least one engine in this number is left for long prompts.
const ENGINES_PER_LONG_ENGINE: usize = 7;

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
        let needed = short_engines_for_slots(speed, streams, all.len());
        let backlogs = all.iter().map(|i| candidates[*i].total.backlog());
        let (short, long) = all.split_at(short_engines_for_backlog(
            needed,
            &backlogs.collect::<Vec<_>>(),
        ));
        let streams = long.iter().map(|i| candidates[*i].total.long()).sum();
        let (readers, writers) = long.split_at(long.len() - writers_needed(streams, long.len()));
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
    let last = free.len() / ENGINES_PER_LONG_ENGINE + 1;
    let (front, back) = free.split_at(free.len().saturating_sub(last));
    [front, &limited, back].concat()
}

/// Returns the number of engines that the short streams need for their slots.
fn short_engines_for_slots(speed: &Speed, streams: u32, engines: usize) -> usize {
    let needed = (streams + 1).div_ceil(streams_per_engine(speed.slots)) as usize;
    needed.clamp(1, max_short_engines(engines))
}

/// Returns the maximum number of engines for short streams.
fn max_short_engines(engines: usize) -> usize {
    engines
        .saturating_sub(engines / ENGINES_PER_LONG_ENGINE)
        .max(1)
}

/// Returns the number of engines for short streams, given that their slots need `needed`.
/// Further engines join, as long as their backlog is below the mean, until no short stream
/// waits for long.
///
/// **Load pattern.** Streams that arrive spread over two seconds find their engine idle
/// nine times out of ten. When as many arrive at once, as at the start of a burst or when
/// callers return after a power loss, the last one waits until the prompts of all others
/// are read: nearly half a second on an engine with 13 of them.
fn short_engines_for_backlog(needed: usize, backlogs: &[Duration]) -> usize {
    let mut side = needed;
    let mut sum: Duration = backlogs[..side].iter().sum();
    let mean = |sum: Duration, side: usize| sum / u32::try_from(side).unwrap_or(u32::MAX).max(1);
    while side < max_short_engines(backlogs.len()) && mean(sum, side) > MAX_MEAN_BACKLOG {
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
fn streams_per_engine(slots: u32) -> u32 {
    // Engines have few slots, so the product fits any integer.
    (f64::from(slots) * SLOT_FILL_RATIO).max(1.0) as u32
}

/// Returns the number of engines for long prompts that write answers.
fn writers_needed(streams: u32, engines: usize) -> usize {
    let needed = (streams + 1).div_ceil(LONG_STREAMS_PER_WRITER) as usize;
    needed.max(MIN_WRITERS).min(engines / ENGINES_PER_WRITER)
}
