//! What the engines are for, at the moment: which of them are the short streams'
//! own, which read parts of long prompts, and which write the answers to those.

use std::time::Duration;

use almondlock_policy::engine::Speed;

use super::Candidate;

/// Short streams that share an engine, as a part of its places. A pass takes longer the
/// more it writes, and the places left are for those that come at once.
const PACKED: f64 = 0.82;

/// What the engines for short streams may have to read in the mean before others
/// join them: three short prompts, a third of the shortest objectives.
const WAIT_MOST: Duration = Duration::from_millis(100);

/// Streams of long prompts that share a writer.
const PACKED_LONG: u32 = 4;

/// Writers while few streams need them. With one, prompts that come at the same
/// moment queue at it.
const WRITERS_LEAST: usize = 2;

/// Of the engines for long prompts, at most one in so many writes.
const READERS_LEAST: usize = 3;

/// Of this many engines at least one stays with the long prompts.
const LONG_LEAST: usize = 7;

/// What the engines are for, at the moment. All in the order of the candidates.
pub(super) struct Groups<'a> {
    /// All of them.
    pub(super) all: &'a [usize],
    /// For short streams. Never empty.
    pub(super) short: &'a [usize],
    /// For long prompts: readers, then writers.
    pub(super) long: &'a [usize],
    /// Those of `long` that read parts of long prompts.
    pub(super) readers: &'a [usize],
    /// Those of `long` that also write the answers. Empty with few engines.
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

/// The engines with those that name limits among the readers: beside the few requests
/// that they take they can read for others, and the short streams' engines and the
/// writers are those that can do their part.
pub(super) fn order_by_limits(engines: &[usize], candidates: &[Candidate]) -> Vec<usize> {
    let is_free = |i: &&usize| candidates[**i].takes_orders();
    let (free, limited): (Vec<usize>, Vec<usize>) = engines.iter().partition(is_free);
    let last = free.len() / LONG_LEAST + 1;
    let (front, back) = free.split_at(free.len().saturating_sub(last));
    [front, &limited, back].concat()
}

/// How many of the engines are the short streams' own.
fn short_side(speed: &Speed, streams: u32, engines: usize) -> usize {
    let needed = (streams + 1).div_ceil(packed(speed.slots)) as usize;
    needed.clamp(1, most_short(engines))
}

/// How many of the engines the short streams may have at most.
fn most_short(engines: usize) -> usize {
    engines.saturating_sub(engines / LONG_LEAST).max(1)
}

/// How many engines the short streams take so that none of them waits for long,
/// if they need `needed` for their places: further ones, as long as those have
/// less to read.
///
/// **Load pattern.** Streams that come over two seconds find their engine idle nine
/// times out of ten. When as many come at once, as at the start of a burst or when
/// callers return after a loss of power, the last one has those of all others read
/// first, nearly half a second on an engine with 13 of them.
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

/// How many streams an engine with so many places writes well.
fn packed(slots: u32) -> u32 {
    // Places are few: the product fits any integer.
    (f64::from(slots) * PACKED).max(1.0) as u32
}

/// How many of the engines for long prompts write their answers.
fn writers(streams: u32, engines: usize) -> usize {
    let needed = (streams + 1).div_ceil(PACKED_LONG) as usize;
    needed.max(WRITERS_LEAST).min(engines / READERS_LEAST)
}
