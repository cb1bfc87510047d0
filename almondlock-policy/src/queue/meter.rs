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
const SMOOTHING_RATIO: f64 = 0.1;
/// Fewest tokens that say something about the speed.
const MIN_SAMPLE: Tokens = Tokens(512);
/// How many times what is in part done a window has to hold: its error is at
/// most one part in so many, at each end.
const MIN_WINDOW_RATIO: u64 = 8;

#[derive(Clone, Debug)]
pub(super) struct Meter {
    /// Tokens per second. At least 1.
    speed: f64,
    window_start: Mono,
    /// Tokens of the prompts in prefill.
    active: Tokens,
    /// The same when the window began, and those that ended part-way since.
    unseen_tokens: Tokens,
    /// Tokens of the prompts whose prefill ended in the window.
    finished_tokens: Tokens,
}

impl Meter {
    pub(super) fn new(speed: f64) -> Meter {
        Meter {
            speed: speed.max(1.0),
            window_start: Mono::ZERO,
            active: Tokens::ZERO,
            unseen_tokens: Tokens::ZERO,
            finished_tokens: Tokens::ZERO,
        }
    }

    pub(super) fn speed(&self) -> f64 {
        self.speed
    }

    pub(super) fn start_prefill(&mut self, tokens: Tokens, now: Mono) {
        if self.active == Tokens::ZERO {
            self.begin_window(now);
        }
        self.active += tokens;
    }

    pub(super) fn finish_prefill(&mut self, tokens: Tokens, now: Mono) {
        self.active = self.active.saturating_sub(tokens);
        self.finished_tokens += tokens;
        let unseen = self.unseen_tokens.max(self.active);
        let ends = self.finished_tokens.0 >= unseen.0.saturating_mul(MIN_WINDOW_RATIO);
        if ends {
            self.update_speed(now);
            self.begin_window(now);
        }
    }

    /// A prefill ended part-way. How much of it was processed can't be seen
    /// either.
    pub(super) fn abort_prefill(&mut self, tokens: Tokens) {
        self.active = self.active.saturating_sub(tokens);
        self.unseen_tokens += tokens;
    }

    fn begin_window(&mut self, now: Mono) {
        self.window_start = now;
        self.unseen_tokens = self.active;
        self.finished_tokens = Tokens::ZERO;
    }

    fn update_speed(&mut self, now: Mono) {
        let took = now.since(self.window_start);
        if self.finished_tokens >= MIN_SAMPLE && !took.is_zero() {
            let seen = self.finished_tokens.0 as f64 / took.as_secs_f64();
            self.speed = (self.speed + (seen - self.speed) * SMOOTHING_RATIO).max(1.0);
        }
    }
}
