//! What a queue can be told.

use std::time::Duration;

use almondlock_base::unit::Tokens;

use super::GROUPS;

/// How a [`Queue`](super::Queue) orders work.
///
/// [`Config::fifo`] is the baseline: first come, first served, nothing
/// reserved. [`Config::short`] and [`Config::even`] are the two settings that
/// deployments choose between.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// How many times its own service time a job may be passed over for
    /// shorter ones. 0 is first come first served; a large figure comes near
    /// to shortest job first. It bounds how long the longest wait.
    pub stretch: f64,
    /// Whether a job that is overdue when it starts gets the engine priority of
    /// the next shorter class, yet never that of short ones. Helps the longest
    /// at the cost of the medium ones.
    pub promote_overdue: bool,
    /// The share of engine memory and batch slots that only short prompts use,
    /// in percent.
    pub reserve_percent: u32,
    /// How many tokens (per unit of weight) an organisation may be ahead of the
    /// others before they go first whatever their jobs' length. As much may be
    /// saved up by one that asks for little.
    pub quantum_tokens: u64,
    /// Prompt tokens that may be in prefill at once: of short jobs, of medium
    /// ones, of all longer ones. One job of each is always let through.
    pub prefill_limits: [Tokens; GROUPS],
    /// Batch slots, in percent, that one organisation leaves to the others.
    pub headroom_percent: u32,
    /// Whether smaller jobs may pass a job that has no room yet.
    pub backfill: bool,
    /// Whether a job is given up as soon as its deadline can't be met, rather
    /// than when it passes.
    pub refuse_unreachable: bool,
    /// Prefill speed to assume before the first is seen, in tokens per second.
    pub initial_speed: f64,
    /// How long a job of no length takes: what [`Config::stretch`] stretches
    /// for the shortest ones.
    pub base_time: Duration,
    /// Jobs that may wait.
    pub max_waiting: usize,
}

impl Config {
    /// Weighs the slowdown of short prompts most.
    pub fn short() -> Config {
        Config {
            stretch: 4.0,
            promote_overdue: false,
            reserve_percent: 15,
            quantum_tokens: 16_384,
            prefill_limits: [4_096, 32_768, 65_536].map(Tokens),
            headroom_percent: 12,
            backfill: true,
            refuse_unreachable: true,
            initial_speed: 8_000.0,
            base_time: Duration::from_millis(20),
            max_waiting: 4_096,
        }
    }

    /// Weighs the time to first token over all lengths most.
    pub fn even() -> Config {
        Config {
            stretch: 1.0,
            promote_overdue: true,
            ..Config::short()
        }
    }

    /// First come, first served, as a baseline.
    pub fn fifo() -> Config {
        Config {
            stretch: 0.0,
            promote_overdue: false,
            reserve_percent: 0,
            quantum_tokens: u64::MAX,
            prefill_limits: [Tokens(u64::MAX); GROUPS],
            headroom_percent: 0,
            backfill: false,
            refuse_unreachable: false,
            ..Config::short()
        }
    }
}

/// Largest stretch that is acted on.
const STRETCH_LIMIT: f64 = 1_000.0;

impl Config {
    /// Settings are read from text, where `nan` is a number too; multiplying a
    /// span by it would panic at the first job.
    pub(super) fn bounded_stretch(&self) -> f64 {
        if self.stretch.is_nan() {
            return 0.0;
        }
        self.stretch.clamp(0.0, STRETCH_LIMIT)
    }
}

impl Default for Config {
    fn default() -> Config {
        Config::short()
    }
}
