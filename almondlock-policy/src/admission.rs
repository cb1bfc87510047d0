//! Decides whether a long prompt is refused on arrival, because its answer would be late or
//! because the engines' time is worth more to other requests.
//!
//! **Load pattern.** At times so many long prompts arrive that the engines can't process
//! them all within their objectives. A prompt that is admitted all the same gets a late
//! answer, which is worth little, and delays the prompts behind it until all of them are
//! late. If it is refused at once, its caller can come back after the peak. The cost of
//! prompts differs widely: the processing time grows with the square of the length, so that
//! a prompt of 900,000 tokens takes as long as eighteen of 182,000, which together have
//! four times as many tokens.
//!
//! **A price for engine time.** The value of a prompt to its caller is taken to be its
//! number of tokens, and its cost is the engine time. Tokens per second of engine time are
//! its yield. The reference is a prompt that one engine, working on it alone, processes
//! within its objective. A prompt with half the yield of the reference is admitted only if
//! it is expected in half the time. This is a bid price (as airlines use for fare classes)
//! that rises with the wait: the more work the engines have been promised, the more a
//! prompt must yield to be admitted. While the engines have almost nothing left to process,
//! no other request is displaced, and each prompt that can be in time is admitted; so the
//! largest prompts are served in quiet times. How late a prompt may then be expected
//! depends on the part of the engines that it takes: if it takes a few of many, later
//! prompts find other engines; if it takes all engines of a small fleet, they wait behind
//! it.
//!
//! **Retry delay.** A refused caller is told to come back once the engines have worked off
//! what delays its prompt too much, which is the time by which the prompt exceeds its
//! bound. If it came back at once, it would meet the same engines and be refused again.
//!
//! **Fair share.** While the engines are busy, the bound for an organisation over its fair
//! share is divided by the multiple of its share that it has. A prompt that would not wait
//! for others is not affected: it displaces no other request.

use std::time::Duration;

use almondlock_base::time::Mono;

use crate::{engine::Speed, share::Standing};

/// Part of the objective within which the first event of a prompt at the reference yield
/// must be expected while the engines are busy. The rest is a margin for the pauses and the
/// work of other prompts that come later.
const BUSY_LIMIT_RATIO: f64 = 0.55;

/// Part of the objective within which the first event must be expected while the engines
/// are idle, for a prompt that takes few of them. The estimate is then accurate to a pass
/// or two.
const IDLE_LIMIT_RATIO: f64 = 0.9;

/// Part of the engines from which on a prompt counts as taking all of them, since later
/// prompts then find few idle engines.
const WHOLE_FLEET_RATIO: f64 = 1.0 / 5.0;

/// A prompt that an engine processes in less time than this is never refused, even if it
/// will be late. Otherwise the largest prompts of medium length would hardly ever be
/// served.
const EXEMPT_READ_TIME: Duration = Duration::from_millis(1_100);

/// Engines whose mean backlog is below this part of the objective count as idle. It is
/// about one prompt of 45,000 tokens for every three engines.
const IDLE_BACKLOG_RATIO: f64 = 0.03;

/// Time constant of the mean backlog. One large prompt takes the engines about as long, and
/// must not count as a peak by itself.
const BACKLOG_TIME_CONSTANT: Duration = Duration::from_secs(1);

/// A prompt to be admitted or refused, with the state of the engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// Time from the prompt's arrival within which its first event should come.
    pub objective: Duration,
    /// Time since the prompt's arrival.
    pub elapsed: Duration,
    /// Time from now until its first event is expected.
    pub expected_delay: Duration,
    /// Time that an engine needs for the work it has left: the mean over all engines and
    /// over the last moments.
    pub backlog: Duration,
    /// Part of all engines that would process the prompt.
    pub engine_ratio: f64,
}

/// Decides on a prompt of an organisation within its share. Returns the time after which
/// the caller should come back if the prompt is refused, and `None` if it is admitted.
pub fn check(speed: &Speed, candidate: &Candidate) -> Option<Duration> {
    check_with_share(speed, candidate, Standing::Within, Duration::ZERO)
}

/// Decides on a prompt as [`check`] does, with the standing of its organisation. `idle_delay` is
/// the time from now until the prompt's first event would be expected if its engines had no
/// other work.
pub fn check_with_share(
    speed: &Speed,
    candidate: &Candidate,
    standing: Standing,
    idle_delay: Duration,
) -> Option<Duration> {
    if speed.reading_time(candidate.prompt) <= EXEMPT_READ_TIME {
        return None;
    }
    let late = candidate.elapsed + candidate.expected_delay;
    let bound = candidate.objective.mul_f64(BUSY_LIMIT_RATIO);
    let busy_bound = bound.mul_f64(relative_yield(speed, candidate));
    let busy_bound = tighten_bound(busy_bound, standing, candidate.elapsed + idle_delay);
    let idle = candidate.objective.mul_f64(IDLE_BACKLOG_RATIO);
    let is_idle = candidate.backlog <= idle;
    let idle_bound = candidate
        .objective
        .mul_f64(idle_limit_ratio(candidate, idle));
    let is_refused = late > if is_idle { idle_bound } else { busy_bound };
    is_refused.then(|| late.saturating_sub(busy_bound))
}

/// Returns the bound for a prompt while the engines are busy, lowered if its organisation
/// is over its share, but not below `idle_delay`, the time at which it is expected on idle
/// engines.
fn tighten_bound(bound: Duration, standing: Standing, idle_delay: Duration) -> Duration {
    match standing {
        Standing::Within => bound,
        Standing::Over { by } => bound.min(bound.div_f64(1.0 + by.max(0.0)).max(idle_delay)),
    }
}

/// Returns the part of its objective within which a prompt must be expected on idle
/// engines. It is lower the more work the engines have left and the more of them the prompt
/// takes.
fn idle_limit_ratio(candidate: &Candidate, idle: Duration) -> f64 {
    let busy = candidate.backlog.as_secs_f64() / idle.as_secs_f64().max(f64::MIN_POSITIVE);
    let taken = busy
        .max(candidate.engine_ratio / WHOLE_FLEET_RATIO)
        .clamp(0.0, 1.0);
    IDLE_LIMIT_RATIO - (IDLE_LIMIT_RATIO - BUSY_LIMIT_RATIO) * taken
}

/// Returns a prompt's yield in tokens per second of engine time, relative to that of a
/// prompt that an engine processes alone within the objective. At most 1.
fn relative_yield(speed: &Speed, candidate: &Candidate) -> f64 {
    let reference = speed.readable_tokens(candidate.objective);
    let (own, usual) = (
        speed.reading_rate(candidate.prompt),
        speed.reading_rate(reference),
    );
    if usual > 0.0 {
        (own / usual).min(1.0)
    } else {
        1.0
    }
}

/// Mean backlog of the engines over the last moments. The weight of a value falls
/// exponentially with its age.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    // Time of the last value, and the mean at that time in seconds.
    last: Option<(Mono, f64)>,
}

impl Backlog {
    /// Adds the present backlog, a mean over all engines, and returns the mean over time.
    pub fn observe(&mut self, now: Mono, backlog: Duration) -> Duration {
        let backlog = backlog.as_secs_f64();
        let mean = self.last.map_or(backlog, |(at, mean)| {
            let age = now.since(at).as_secs_f64() / BACKLOG_TIME_CONSTANT.as_secs_f64();
            let kept = (-age).exp();
            mean * kept + backlog * (1.0 - kept)
        });
        self.last = Some((now, mean));
        Duration::from_secs_f64(mean)
    }
}
