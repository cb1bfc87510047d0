//! A retry budget that keeps the retries of all entry hosts together in bounds.
//!
//! **Load pattern.** Some upstreams fail, callers repeat their requests, and the retries of
//! each entry host come on top: together they could keep the remaining upstreams from
//! recovering. So retries are limited to a ratio of the requests in a sliding window plus a
//! small number that lets a quiet service retry at all. Each host has that small number to
//! itself; it is low enough that hundreds of hosts together stay within what the fleet may
//! spend.

use std::{collections::VecDeque, time::Duration};

use almondlock_base::time::Mono;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in a window whatever the number of requests.
    pub min_retries: u32,
}

/// What a budget counts, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Account {
    /// Requests in the window.
    pub requests: usize,
    /// Retries in the window.
    pub retries: usize,
}

/// The retry budget of one service at one entry host.
#[derive(Clone, Debug)]
pub struct Budget {
    config: Config,
    requests: VecDeque<Mono>,
    attempts: VecDeque<Mono>,
}

impl Budget {
    /// Creates a budget from which nothing was taken.
    pub fn new(config: Config) -> Budget {
        Budget {
            config,
            requests: VecDeque::new(),
            attempts: VecDeque::new(),
        }
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Mono) {
        self.evict_expired(now);
        self.requests.push_back(now);
    }

    /// Takes a retry from the budget. Returns `false` if none is left.
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

    /// Returns what the budget counts at present.
    pub fn account(&mut self, now: Mono) -> Account {
        self.evict_expired(now);
        Account {
            requests: self.requests.len(),
            retries: self.attempts.len(),
        }
    }

    /// Discards requests and retries that have left the window.
    fn evict_expired(&mut self, now: Mono) {
        let old = |at: &Mono| now.since(*at) >= self.config.window;
        while self.requests.pop_front_if(|at| old(at)).is_some() {}
        while self.attempts.pop_front_if(|at| old(at)).is_some() {}
    }
}
