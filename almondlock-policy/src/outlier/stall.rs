//! Whether the host itself is what was slow.

use std::time::Duration;

use almondlock_base::time::Mono;

use super::Summary;

/// A timer that fires this much too late delays what the host observes by as much as the
/// shortest objectives allow for a first event's own part.
const LATE: Duration = Duration::from_millis(120);
/// Times observed within this span after a late timer don't count: a request that was under
/// way meanwhile has been answered by then, or is judged by later ones.
const AFTER: Duration = Duration::from_millis(500);
/// Upstreams that must have been observed for them to be compared with each other.
const OBSERVED: usize = 3;
/// An upstream looks slow from here on.
const SLOW: f64 = 2.0;
/// A host of which this part of all requests fails is cut off itself. Hosts that doubt
/// themselves don't report: a lower part would leave out those that happen to see more of an
/// outage than others, and make the outage look smaller.
const CUT_OFF: f64 = 0.7;

/// What a host knows of its own delays.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stall {
    until: Option<Mono>,
}

impl Stall {
    /// A timer fired so much too late.
    pub fn note_delay(&mut self, now: Mono, by: Duration) {
        if by >= LATE {
            self.until = Some(now + AFTER);
        }
    }

    /// Whether the times that it observes now are its own fault.
    pub fn is_stalled(&self, now: Mono) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// What is left of a host's own accounts of its upstreams when it suspects itself: most
/// upstreams look slow to it, or failing.
pub fn drop_untrusted(accounts: &mut [Summary]) {
    let timed = accounts.iter().filter(|account| account.time_weight > 0);
    let slow = timed.clone().filter(|account| account.slowness >= SLOW);
    let are_slow = is_most(slow.count(), timed.count());
    let asked = accounts.iter().filter(|account| account.requests() > 0);
    let requests: u32 = accounts.iter().map(Summary::requests).sum();
    let failures: u32 = accounts.iter().map(|account| account.failures).sum();
    let is_cut_off = f64::from(failures) >= f64::from(requests.max(1)) * CUT_OFF;
    let are_failing = asked.count() >= OBSERVED && is_cut_off;
    for account in accounts {
        if are_slow {
            (account.time_weight, account.slowness) = (0, 1.0);
        }
        if are_failing {
            (account.answers, account.failures) = (0, 0);
            account.capped_failures = 0;
        }
    }
}

const fn is_most(count: usize, all: usize) -> bool {
    all >= OBSERVED && count * 2 > all
}
