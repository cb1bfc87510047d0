//! Whether the host itself is what was slow.

use std::time::Duration;

use almondlock_base::time::Mono;

use super::Summary;

/// A timer that fires this much too late delays what the host observes by as much as the
/// shortest objectives allow for a first event's own part.
const MIN_STALL: Duration = Duration::from_millis(120);
/// Times observed within this span after a late timer don't count: a request that was under
/// way meanwhile has been answered by then, or is judged by later ones.
const STALL_EFFECT: Duration = Duration::from_millis(500);
/// Upstreams that must have been observed for them to be compared with each other.
const MIN_OBSERVED: usize = 3;
/// An upstream looks slow from here on.
const SLOW_FACTOR: f64 = 2.0;
/// A host of which this part of all requests fails is cut off itself. Hosts that doubt
/// themselves don't report: a lower part would leave out those that happen to see more of an
/// outage than others, and make the outage look smaller.
const CUT_OFF_SHARE: f64 = 0.7;

/// What a host knows of its own delays.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stall {
    until: Option<Mono>,
}

impl Stall {
    /// A timer fired so much too late.
    pub fn note_delay(&mut self, now: Mono, by: Duration) {
        if by >= MIN_STALL {
            self.until = Some(now + STALL_EFFECT);
        }
    }

    /// Whether the times that it observes now are its own fault.
    pub fn is_stalled(&self, now: Mono) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// What is left of a host's own summaries of its upstreams when it suspects itself: most
/// upstreams look slow to it, or failing.
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

const fn is_majority(count: usize, all: usize) -> bool {
    all >= MIN_OBSERVED && count * 2 > all
}
