//! Whether a request is a caller's first attempt, or comes back after a
//! refusal.
//!
//! **Load pattern.** In overload every request that waits makes the next one
//! wait too, until all of them are late. Refusing the ones that would be late
//! keeps the rest in time. Those that were refused come back, late by now
//! whatever happens: refusing them again would lose them, and serving them
//! before others would make the others late. So they are told apart and go
//! last.
//!
//! An attempt bears no mark of its own, but its deadline is what is left of its
//! caller's time. The longest deadline seen on a route is what callers give a
//! first attempt; whatever is missing was spent before.

use std::{collections::HashMap, sync::Arc, time::Duration};

/// A deadline shorter than the longest by up to this part is still a first
/// attempt's: callers count from before they connect.
const SLACK: f64 = 0.02;

/// Routes remembered; beyond it requests count as first attempts.
const ROUTES: usize = 4096;

/// The longest deadlines, by route.
#[derive(Debug, Default)]
pub struct Table {
    longest: HashMap<Arc<str>, Duration>,
}

impl Table {
    /// The time that a request's caller has spent on it before.
    pub fn spent(&mut self, route: &Arc<str>, deadline: Duration) -> Duration {
        if !self.longest.contains_key(route) && self.longest.len() >= ROUTES {
            return Duration::ZERO;
        }
        let longest = self.longest.entry(Arc::clone(route)).or_default();
        *longest = (*longest).max(deadline);
        let spent = *longest - deadline;
        if spent <= longest.mul_f64(SLACK) {
            return Duration::ZERO;
        }
        spent
    }
}
