//! Whether another attempt may be sent, out of a budget that all entry hosts
//! share.
//!
//! **Load pattern.** Part of the upstreams fail, callers repeat on their own,
//! and each entry host's second attempts come on top: together they could keep
//! the rest of the upstreams from recovering. So second attempts are bounded by
//! a ratio of the requests of a sliding window plus a small number that lets a
//! quiet service retry at all. The small number is each host's own; it is kept
//! low enough that hundreds of hosts together stay within what the fleet may
//! spend.

use std::{collections::VecDeque, time::Duration};

use almondlock_base::time::Mono;

/// What the budget allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// The sliding window.
    pub window: Duration,
    /// Further attempts for each request of the window.
    pub ratio: f64,
    /// Further attempts in a window in any case.
    pub min_retries: u32,
}

/// The budget of one service at one entry host.
#[derive(Clone, Debug)]
pub struct Budget {
    config: Config,
    requests: VecDeque<Mono>,
    attempts: VecDeque<Mono>,
}

impl Budget {
    /// A full budget.
    pub fn new(config: Config) -> Budget {
        Budget {
            config,
            requests: VecDeque::new(),
            attempts: VecDeque::new(),
        }
    }

    /// A request came.
    pub fn record_request(&mut self, now: Mono) {
        self.evict_expired(now);
        self.requests.push_back(now);
    }

    /// Takes one further attempt, if there is one.
    pub fn try_take(&mut self, now: Mono) -> bool {
        self.evict_expired(now);
        // Windows hold thousands of requests, which an `f64` counts exactly.
        let earned = self.requests.len() as f64 * self.config.ratio;
        let allowed = earned + f64::from(self.config.min_retries);
        let affordable = (self.attempts.len() as f64) + 1.0 <= allowed;
        if affordable {
            self.attempts.push_back(now);
        }
        affordable
    }

    fn evict_expired(&mut self, now: Mono) {
        let old = |at: &Mono| now.since(*at) >= self.config.window;
        while self.requests.pop_front_if(|at| old(at)).is_some() {}
        while self.attempts.pop_front_if(|at| old(at)).is_some() {}
    }
}
