//! How fast an engine processes prompts, seen from beside it.
//!
//! An engine works on several prompts at once, so the pace of one says little:
//! four side by side each look four times too slow. What is measured is all
//! that was processed in a *window*, divided by its length. A window begins
//! when the first prompt starts and ends when none is left; under steady load,
//! when what was processed in it exceeds by far what was or is in part done,
//! which can't be seen.

use almondlock_base::{time::Mono, unit::Tokens};

/// How much a window counts against what was known.
const GAIN: f64 = 0.1;
/// Fewest tokens that say something about the speed.
const SAMPLE: Tokens = Tokens(512);
/// How many times what is in part done a window has to hold: its error is at
/// most one part in so many, at each end.
const MARGIN: u64 = 8;

#[derive(Clone, Debug)]
pub(super) struct Meter {
    /// Tokens per second. At least 1.
    speed: f64,
    since: Mono,
    /// Tokens of the prompts in prefill.
    active: Tokens,
    /// The same when the window began, and those that ended part-way since.
    before: Tokens,
    /// Tokens of the prompts whose prefill ended in the window.
    done: Tokens,
}

impl Meter {
    pub(super) fn new(speed: f64) -> Meter {
        Meter {
            speed: speed.max(1.0),
            since: Mono::ZERO,
            active: Tokens::ZERO,
            before: Tokens::ZERO,
            done: Tokens::ZERO,
        }
    }

    pub(super) fn speed(&self) -> f64 {
        self.speed
    }

    pub(super) fn start(&mut self, tokens: Tokens, now: Mono) {
        if self.active == Tokens::ZERO {
            self.begin(now);
        }
        self.active += tokens;
    }

    pub(super) fn done(&mut self, tokens: Tokens, now: Mono) {
        self.active = self.active.saturating_sub(tokens);
        self.done += tokens;
        let unseen = self.before.max(self.active);
        let ends = self.done.0 >= unseen.0.saturating_mul(MARGIN);
        if ends {
            self.learn(now);
            self.begin(now);
        }
    }

    /// A prefill ended part-way. How much of it was processed can't be seen
    /// either.
    pub(super) fn broke(&mut self, tokens: Tokens) {
        self.active = self.active.saturating_sub(tokens);
        self.before += tokens;
    }

    fn begin(&mut self, now: Mono) {
        self.since = now;
        self.before = self.active;
        self.done = Tokens::ZERO;
    }

    fn learn(&mut self, now: Mono) {
        let took = now.since(self.since);
        if self.done >= SAMPLE && !took.is_zero() {
            let seen = self.done.0 as f64 / took.as_secs_f64();
            self.speed = (self.speed + (seen - self.speed) * GAIN).max(1.0);
        }
    }
}
