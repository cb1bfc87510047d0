//! The cost of work on an engine, in time.
//!
//! An engine works in passes. A step reads up to a chunk of prompt tokens and
//! writes one token for each stream; a pass that has streams to write takes a
//! fixed number of steps before events leave. So a prompt costs its reading
//! time whoever pays for it: its own first event waits for it, and so does
//! each next event of the streams that are being written on the same engine.

use std::time::Duration;

/// An engine's published figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Speed {
    /// Requests that it works on at one time.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory: u64,
    /// Milliseconds of a step.
    pub step_ms: f64,
    /// Milliseconds more for each stream that is written.
    pub step_ms_per_stream: f64,
    /// Milliseconds more for each 1,000 tokens of those streams' context.
    pub step_ms_per_context: f64,
    /// Prompt tokens read in a millisecond.
    pub tokens_per_ms: f64,
    /// Milliseconds for a million pairs of a token and an earlier one.
    pub ms_per_megapair: f64,
    /// Prompt tokens read in one step at most.
    pub chunk_tokens: f64,
    /// Steps of a pass that writes.
    pub steps_per_pass: f64,
}

impl Speed {
    /// The time to read a prompt alone on one engine.
    pub fn reading_time(&self, tokens: u64) -> Duration {
        self.part_reading_time(tokens, 1)
    }

    /// The time to read one of several even parts of a prompt. Each part has
    /// its share of all pairs.
    pub fn part_reading_time(&self, tokens: u64, parts: usize) -> Duration {
        let tokens = precise(tokens);
        let pairs = tokens * tokens / 2.0 / 1e6;
        let millis = tokens / self.tokens_per_ms + pairs * self.ms_per_megapair;
        let parts = precise(parts as u64).max(1.0);
        Duration::from_secs_f64(millis.max(0.0) / parts / 1e3)
    }

    /// The longest prompt that one engine reads alone in this time, in tokens.
    pub fn readable_tokens(&self, time: Duration) -> u64 {
        let millis = time.as_secs_f64() * 1e3;
        let (linear, square) = (1.0 / self.tokens_per_ms, self.ms_per_megapair / 2.0 / 1e6);
        // The root of `square * n^2 + linear * n = millis`, in a form that also
        // holds where pairs cost nothing.
        let tokens = 2.0 * millis / (linear + (linear * linear + 4.0 * square * millis).sqrt());
        // Not negative, and a float beyond the range saturates.
        tokens as u64
    }

    /// Prompt tokens for each millisecond that reading a prompt of this length
    /// takes. Falls as prompts get longer.
    pub fn reading_rate(&self, tokens: u64) -> f64 {
        let millis = self.reading_time(tokens).as_secs_f64() * 1e3;
        if millis > 0.0 {
            precise(tokens) / millis
        } else {
            self.tokens_per_ms
        }
    }

    /// The time of a pass that writes this many streams with this many tokens
    /// of context in all, and reads nothing.
    pub fn pass_time(&self, streams: u32, context: u64) -> Duration {
        let streams = f64::from(streams.max(1));
        let context = precise(context) / 1e3;
        let step =
            self.step_ms + self.step_ms_per_stream * streams + self.step_ms_per_context * context;
        Duration::from_secs_f64((step * self.steps_per_pass).max(0.0) / 1e3)
    }
}

/// Token counts stay far below the 2^52 that an `f64` holds exactly.
#[allow(clippy::cast_precision_loss)]
fn precise(count: u64) -> f64 {
    count as f64
}
