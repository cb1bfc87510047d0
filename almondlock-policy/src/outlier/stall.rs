//! Detects that the host itself, not its upstreams, is slow or cut off.

use std::time::Duration;

use almondlock_base::time::Mono;

use super::Summary;

/// Delay of a timer from which on the host counts as stalled. The shortest objectives leave about
/// this much time for the first event itself.
const MIN_STALL: Duration = Duration::from_millis(120);
/// Time after a late timer for which observed times don't count. Requests that were in progress
/// during the stall have been answered by then, or later ones count in their place.
const STALL_EFFECT: Duration = Duration::from_millis(500);
/// Least number of observed upstreams for which the host can suspect itself.
const MIN_OBSERVED: usize = 3;
/// Slowness from which on an upstream looks slow.
const SLOW_FACTOR: f64 = 2.0;
/// Part of a host's requests that fail from which on the host counts as cut off itself. Such a
/// host reports no failures: a lower limit would exclude hosts that happen to see more of an
/// outage than others, and the outage would look smaller than it is.
const CUT_OFF_SHARE: f64 = 0.7;

/// Recent delays of the host itself, as its timers show them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stall {
    /// Time until which observed times don't count.
    until: Option<Mono>,
}

impl Stall {
    /// Records that a timer fired `by` too late.
    pub fn note_delay(&mut self, now: Mono, by: Duration) {
        if by >= MIN_STALL {
            self.until = Some(now + STALL_EFFECT);
        }
    }

    /// Whether the times that the host observes now may be due to its own delay.
    pub fn is_stalled(&self, now: Mono) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// Removes from a host's own summaries what it doesn't trust: the times if most upstreams look
/// slow, and the outcomes of requests if nearly all of them failed. The cause is then more likely
/// the host itself.
pub fn drop_untrusted(summaries: &mut [Summary]) {
    let timed = summaries.iter().filter(|summary| summary.time_weight > 0);
    let slow = timed
        .clone()
        .filter(|summary| summary.slowness >= SLOW_FACTOR);
    let are_slow = is_majority(slow.count(), timed.count());
    let asked = summaries.iter().filter(|summary| summary.requests() > 0);
    let requests: u32 = summaries.iter().map(Summary::requests).sum();
    let failures: u32 = summaries.iter().map(|summary| summary.failures).sum();
    let is_cut_off = f64::from(failures) >= f64::from(requests.max(1)) * CUT_OFF_SHARE;
    let are_failing = asked.count() >= MIN_OBSERVED && is_cut_off;
    for summary in summaries {
        if are_slow {
            (summary.time_weight, summary.slowness) = (0, 1.0);
        }
        if are_failing {
            (summary.answers, summary.failures) = (0, 0);
            summary.capped_failures = 0;
        }
    }
}

/// Whether `count` is more than half of `all`, with enough upstreams observed.
const fn is_majority(count: usize, all: usize) -> bool {
    all >= MIN_OBSERVED && count * 2 > all
}
