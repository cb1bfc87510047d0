//! A model of the time that work takes on an engine.
//!
//! An engine works in passes of several steps. A step reads up to a chunk of
//! prompt tokens and writes one token for each stream. A pass that writes streams
//! takes a fixed number of steps before their events are sent. Reading a prompt
//! therefore delays not only its own first event, but also the next event of each
//! stream that is written on the same engine.

use std::time::Duration;

/// Parameters of an engine's speed, as published in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Speed {
    /// Number of requests that the engine processes concurrently.
    pub slots: u32,
    /// Engine memory, in tokens.
    pub memory: u64,
    /// Time of a step, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a step for each stream that is written, in milliseconds.
    pub step_ms_per_stream: f64,
    /// Additional time of a step for each 1,000 tokens of the streams' context, in milliseconds.
    pub step_ms_per_context: f64,
    /// Number of prompt tokens read per millisecond, without the time for pairs.
    pub tokens_per_ms: f64,
    /// Time for a million pairs of a prompt token and an earlier one, in milliseconds.
    pub ms_per_megapair: f64,
    /// Largest number of prompt tokens read in one step.
    pub chunk_tokens: f64,
    /// Number of steps in a pass that writes streams.
    pub steps_per_pass: f64,
}

impl Speed {
    /// Returns the time to read a prompt of this length on one engine.
    pub fn reading_time(&self, tokens: u64) -> Duration {
        self.part_reading_time(tokens, 1)
    }

    /// Returns the time to read one of several equal parts of a prompt. Each part is
    /// assumed to have an equal number of pairs.
    pub fn part_reading_time(&self, tokens: u64, parts: usize) -> Duration {
        let tokens = to_f64(tokens);
        let pairs = tokens * tokens / 2.0 / 1e6;
        let millis = tokens / self.tokens_per_ms + pairs * self.ms_per_megapair;
        let parts = to_f64(parts as u64).max(1.0);
        Duration::from_secs_f64(millis.max(0.0) / parts / 1e3)
    }

    /// Returns the length of the longest prompt that one engine reads within `time`, in
    /// tokens.
    pub fn readable_tokens(&self, time: Duration) -> u64 {
        let millis = time.as_secs_f64() * 1e3;
        let (linear, square) = (1.0 / self.tokens_per_ms, self.ms_per_megapair / 2.0 / 1e6);
        // The root of `square * n^2 + linear * n = millis`, in a form that is also
        // defined if `square` is 0.
        let tokens = 2.0 * millis / (linear + (linear * linear + 4.0 * square * millis).sqrt());
        // The value isn't negative, and the cast saturates.
        tokens as u64
    }

    /// Returns the number of tokens read per millisecond for a prompt of this length. The
    /// rate falls as prompts get longer.
    pub fn reading_rate(&self, tokens: u64) -> f64 {
        let millis = self.reading_time(tokens).as_secs_f64() * 1e3;
        if millis > 0.0 {
            to_f64(tokens) / millis
        } else {
            self.tokens_per_ms
        }
    }

    /// Returns the time of a pass that reads nothing and writes this many streams, which
    /// have this many tokens of context together.
    pub fn pass_time(&self, streams: u32, context: u64) -> Duration {
        let streams = f64::from(streams.max(1));
        let context = to_f64(context) / 1e3;
        let step =
            self.step_ms + self.step_ms_per_stream * streams + self.step_ms_per_context * context;
        Duration::from_secs_f64((step * self.steps_per_pass).max(0.0) / 1e3)
    }
}

/// Converts a count of tokens, which is far below the 2^52 that an `f64` holds exactly.
#[allow(clippy::cast_precision_loss)]
fn to_f64(count: u64) -> f64 {
    count as f64
}
