//! A retry budget whose bound holds over all hosts, whatever happens to them.
//!
//! When upstreams fail, the retries of all hosts together could keep the remaining ones
//! from recovering. So in any window, wherever it begins, all hosts together may retry a
//! [ratio](Bound::ratio) of the requests plus a [slack](Bound::slack). The requests are
//! those of that window or of the one before it, whichever has more.
//!
//! Each host decides alone, since asking a common place would cost a round trip for each
//! retry and fail with that place. A host that starts has forgotten what its earlier life
//! spent, so nothing is given for a start: a budget begins empty and earns with each request
//! that the host reads. What it may carry from one window into the next is bounded:
//!
//! - A part of what a request earns, [`LASTING_FRACTION`], may be spent within a window
//!   after that request. In any window, all hosts together spend no more of it than the
//!   requests of two windows earned.
//! - Another part, [`PROMPT_FRACTION`], is capped at this host's share of the slack.
//! - The remaining slack is earned with time, so that a quiet service can retry at all.
//!
//! With `n` requests in the window and `m` in the one before, all hosts together spend at
//! most `ratio * ((l + p) * n + l * m) + slack`, and `2 * l + p` is at most 1. A restart
//! at any moment only takes from that. A host that doesn't know how many hosts there are
//! has no share of the slack.
//!
//! A retry is reserved when it is decided on, and spent when it is sent. Until then what
//! pays for it stays in the budget and counts towards its caps, so that retries that wait
//! for a place don't add to those of a later window.
//!
//! ```
//! use std::time::Duration;
//!
//! use almondlock_base::time::Mono;
//! use almondlock_policy::budget::{Bound, Budget};
//!
//! let bound = Bound { window: Duration::from_secs(10), ratio: 0.2, slack: 100.0 };
//! let mut now = Mono::from_millis(0);
//! let mut budget = Budget::new(bound, now);
//! assert!(!budget.reserve(Some(20), now), "a budget begins empty");
//! for _ in 0..10 {
//!     now = now + Duration::from_millis(50);
//!     budget.record_request(Some(20), now);
//! }
//! assert!(budget.reserve(Some(20), now));
//! assert!(budget.spend(Some(20), now));
//! ```

use std::{collections::VecDeque, time::Duration};

use almondlock_base::time::Mono;

/// Fraction of what a request earns that may be spent until a window after it.
///
/// Invariant: twice this and [`PROMPT_FRACTION`] are at most 1.
pub const LASTING_FRACTION: f64 = 0.25;
/// Fraction of what a request earns that is capped at the host's share of the slack.
pub const PROMPT_FRACTION: f64 = 0.5;
/// Fraction of the slack that hosts may save up. The rest is earned with time.
pub const SAVED_FRACTION: f64 = 0.75;
/// Fraction of the bound that budgets use. Requests are read a little later than callers
/// send them, and retries arrive a little later than hosts send them.
pub const USED_FRACTION: f64 = 0.95;

/// Number of parts of a window. What the requests of one part earned expires together.
const PARTS: u32 = 20;
/// Tolerance for sums of fractions.
const EPSILON: f64 = 1e-9;

/// What all hosts together may retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Length of a window.
    pub window: Duration,
    /// Retries per request.
    pub ratio: f64,
    /// Retries in a window whatever the number of requests.
    pub slack: f64,
}

/// What a budget counts, for logs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Account {
    /// Requests read within a window.
    pub requests: u64,
    /// Retries sent within a window.
    pub retries: u64,
    /// Retries that are reserved and not sent.
    pub reserved: u32,
    /// Retries that could still be reserved, with fractions.
    pub left: f64,
}

/// What happened in one part of a window.
#[derive(Clone, Copy, Debug)]
struct Part {
    begin: Mono,
    requests: u64,
    retries: u64,
    /// What the requests earned and is not spent yet, of the lasting fraction.
    lasting: f64,
}

/// The retry budget of one service at one host.
#[derive(Clone, Debug)]
pub struct Budget {
    bound: Bound,
    /// The parts of the last window in which something happened, oldest first.
    parts: VecDeque<Part>,
    /// Retries saved up. Invariant: at most the host's share of the slack that may be
    /// saved, as of the last refill.
    saved: f64,
    refilled_at: Mono,
    /// Number of reservations. Invariant: each is spent or released once.
    reserved: u32,
}

impl Budget {
    /// Creates the empty budget of a host that started at `started`. Its part of the slack
    /// is earned from then on.
    pub fn new(bound: Bound, started: Mono) -> Budget {
        Budget {
            bound,
            parts: VecDeque::new(),
            saved: 0.0,
            refilled_at: started,
            reserved: 0,
        }
    }

    /// Records a request that was read, of which the budget earns. `hosts` is the number of
    /// hosts that share the bound, if known.
    pub fn record_request(&mut self, hosts: Option<u32>, now: Mono) {
        self.refill(hosts, now);
        let earned = self.bound.ratio * USED_FRACTION;
        let part = self.current_part(now);
        part.requests += 1;
        part.lasting += earned * LASTING_FRACTION;
        self.save(earned * PROMPT_FRACTION, hosts);
    }

    /// Records a request that may have been sent long before it was read, of which the
    /// budget earns nothing.
    pub fn record_late_request(&mut self, now: Mono) {
        self.current_part(now).requests += 1;
    }

    /// Reserves a retry. Returns `false` if none is left.
    pub fn reserve(&mut self, hosts: Option<u32>, now: Mono) -> bool {
        self.refill(hosts, now);
        let is_affordable = self.left() + EPSILON >= 1.0;
        self.reserved += u32::from(is_affordable);
        is_affordable
    }

    /// Gives a reserved retry back that was not sent.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Spends a reserved retry, which is sent now. Returns `false` if what was to pay for
    /// it has expired since; the reservation has ended then as well.
    pub fn spend(&mut self, hosts: Option<u32>, now: Mono) -> bool {
        self.refill(hosts, now);
        self.release();
        if self.balance() + EPSILON < 1.0 {
            return false;
        }
        // What expires first is spent first.
        let mut missing = 1.0;
        for part in &mut self.parts {
            let taken = part.lasting.min(missing);
            part.lasting -= taken;
            missing -= taken;
        }
        self.saved = (self.saved - missing).max(0.0);
        self.current_part(now).retries += 1;
        true
    }

    /// Returns what the budget counts at present.
    pub fn account(&mut self, hosts: Option<u32>, now: Mono) -> Account {
        self.refill(hosts, now);
        Account {
            requests: self.parts.iter().map(|part| part.requests).sum(),
            retries: self.parts.iter().map(|part| part.retries).sum(),
            reserved: self.reserved,
            left: self.left().max(0.0),
        }
    }

    /// Discards what has expired, and adds what time has earned.
    fn refill(&mut self, hosts: Option<u32>, now: Mono) {
        self.evict_expired(now);
        let windows = now.since(self.refilled_at).as_secs_f64() / self.window_secs();
        self.refilled_at = self.refilled_at.max(now);
        let earned = self.share(hosts) * (1.0 - SAVED_FRACTION) * windows;
        self.save(earned, hosts);
    }

    /// Adds to what is saved up, within the host's share of the slack.
    fn save(&mut self, earned: f64, hosts: Option<u32>) {
        let most = self.share(hosts) * SAVED_FRACTION;
        self.saved = (self.saved + earned).min(most);
    }

    /// Returns this host's share of the slack.
    fn share(&self, hosts: Option<u32>) -> f64 {
        let hosts = hosts.map(|hosts| f64::from(hosts.max(1)));
        hosts.map_or(0.0, |hosts| self.bound.slack * USED_FRACTION / hosts)
    }

    /// Returns what could be reserved.
    fn left(&self) -> f64 {
        self.balance() - f64::from(self.reserved)
    }

    fn balance(&self) -> f64 {
        let lasting: f64 = self.parts.iter().map(|part| part.lasting).sum();
        self.saved + lasting
    }

    fn window_secs(&self) -> f64 {
        self.bound.window.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns the part of the window that `now` is in.
    fn current_part(&mut self, now: Mono) -> &mut Part {
        let length = self.bound.window / PARTS;
        let is_current = |part: &Part| now.since(part.begin) < length;
        if !self.parts.back().is_some_and(is_current) {
            self.parts.push_back(Part {
                begin: now,
                requests: 0,
                retries: 0,
                lasting: 0.0,
            });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }

    /// Discards parts that began a window ago.
    fn evict_expired(&mut self, now: Mono) {
        let is_expired = |part: &mut Part| now.since(part.begin) >= self.bound.window;
        while self.parts.pop_front_if(is_expired).is_some() {}
    }
}
