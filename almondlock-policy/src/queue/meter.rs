//! Measures the prefill speed of an engine from beside it.
//!
//! An engine processes several prompts at once, so the speed of one prompt says little: of
//! four prompts side by side, each looks four times too slow. The meter divides all tokens
//! that were processed in a *window* by the length of the window. A window begins when the
//! first prompt starts and ends when no prompt is in prefill. Under steady load it ends
//! when the finished tokens far exceed the tokens of prompts that are processed in part,
//! since it can't be seen how much of those is done.

use almondlock_base::{time::Mono, unit::Tokens};

/// Weight of a window's speed against the speed known before.
const SMOOTHING_RATIO: f64 = 0.1;
/// Least number of tokens in a window from which the speed is measured.
const MIN_SAMPLE: Tokens = Tokens(512);
/// How many times the tokens of prompts processed in part a window's finished tokens must
/// be. It bounds the error to one part in this number at each end of the window.
const MIN_WINDOW_RATIO: u64 = 8;

/// The measured speed and the present window.
#[derive(Clone, Debug)]
pub(super) struct Meter {
    /// Tokens per second. At least 1.
    speed: f64,
    window_start: Mono,
    /// Tokens of the prompts in prefill.
    active: Tokens,
    /// Tokens of prompts of which an unknown part was processed in the window: those in
    /// prefill when it began, and those whose prefill was aborted since.
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

    /// Records a prefill that ended early. It can't be seen how much of it was processed.
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
