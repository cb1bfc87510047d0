//! The configuration of a queue.

use std::time::Duration;

use almondlock_base::unit::Tokens;

use super::PREFILL_GROUP_COUNT;

/// How a [`Queue`](super::Queue) orders work.
///
/// [`Config::fifo`] is a baseline: first come, first served, without reserved room.
/// [`Config::short`] and [`Config::even`] are the two configurations that deployments
/// choose between.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// How many times its own service time a job may be passed by shorter jobs. It bounds
    /// the wait of the longest jobs. 0 is first come, first served; a large value
    /// approaches shortest job first.
    pub stretch: f64,
    /// Whether a job that is overdue when it starts gets the engine priority of the next
    /// shorter class, but never that of short jobs. It helps the longest jobs at the cost
    /// of medium ones.
    pub promote_overdue: bool,
    /// Percentage of engine memory and batch slots that only short prompts use.
    pub reserve_percent: u32,
    /// Number of tokens per unit of weight that an organisation may be ahead of the others
    /// before they go first whatever the length of their jobs. It also bounds the credit of
    /// an organisation that asks for little.
    pub quantum_tokens: u64,
    /// Maximum number of prompt tokens in prefill at once: of short jobs, of medium ones,
    /// and of all longer ones. One job of each group is always let through.
    pub prefill_limits: [Tokens; PREFILL_GROUP_COUNT],
    /// Percentage of batch slots that one organisation leaves to the others.
    pub headroom_percent: u32,
    /// Whether smaller jobs may pass a job that has no room yet.
    pub backfill: bool,
    /// Whether a job is given up as soon as it can't meet its deadline, instead of when the
    /// deadline passes.
    pub refuse_unreachable: bool,
    /// Prefill speed in tokens per second that is assumed before the first measurement.
    pub initial_speed: f64,
    /// Service time of a job of length zero. With [`Config::stretch`] it sets how long the
    /// shortest jobs may be passed.
    pub base_time: Duration,
    /// Maximum number of waiting jobs.
    pub max_waiting: usize,
}

impl Config {
    /// Returns the configuration that favours the slowdown of short prompts.
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

    /// Returns the configuration that favours the time to first token over all lengths.
    pub fn even() -> Config {
        Config {
            stretch: 1.0,
            promote_overdue: true,
            ..Config::short()
        }
    }

    /// Returns the baseline: first come, first served.
    pub fn fifo() -> Config {
        Config {
            stretch: 0.0,
            promote_overdue: false,
            reserve_percent: 0,
            quantum_tokens: u64::MAX,
            prefill_limits: [Tokens(u64::MAX); PREFILL_GROUP_COUNT],
            headroom_percent: 0,
            backfill: false,
            refuse_unreachable: false,
            ..Config::short()
        }
    }
}

/// Largest stretch that has an effect.
const STRETCH_LIMIT: f64 = 1_000.0;

impl Config {
    /// Returns the stretch within its bounds. Settings are read from text, where `nan` is a
    /// number too, and a duration multiplied by it would panic at the first job.
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
