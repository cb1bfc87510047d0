//! Whether a long prompt is refused at once: because it would be late, or
//! because the engines' time does more for others.
//!
//! **Load pattern.** In stretches with many long prompts the engines have more
//! to read than they can in time. Each prompt that is taken all the same is
//! worth little when it comes late, and makes those behind it late as well,
//! until all are. Refused at once, its caller can come back when the stretch is
//! over. And prompts are dear very unevenly: reading takes time that grows with
//! the square of the length, so that one of 900,000 tokens takes as long as
//! eighteen of 182,000, which are four times as many tokens.
//!
//! **A price for engine time.** A caller gets about as much out of a prompt as it
//! has tokens; what it costs is the engines' time. Tokens for each second of that
//! time is what admitting it yields. The reference is a prompt that one engine
//! reads alone within its objective. One that yields half as much may be expected
//! half as late as the reference. That is a bid price (as for seats of different
//! fares) which rises in step with the wait ahead: the more is promised already,
//! the more a prompt must yield to be taken. While the engines have next to
//! nothing left to read nobody is displaced, and whatever can be in time is taken;
//! so the largest are served in calm stretches. How late a prompt may be expected then
//! depends on how many of the engines it takes: with a few of many, those that come after
//! it find others; with all of a small fleet they wait behind it.
//!
//! **When to come back.** A refused caller is told to come back once the engines have
//! read what keeps it out: after as much time as it was expected beyond its bound.
//! Coming back at once, it meets the same engines and is refused again.
//!
//! **Over its share.** While the engines are busy, the bound for an organisation that is over
//! its fair share is divided by how many times its share it has. A prompt that nothing is
//! read before is judged as any other: it displaces nobody.

use std::time::Duration;

use almondlock_base::time::Mono;

use crate::{engine::Speed, share::Standing};

/// A long prompt is refused when its first event is expected later than this
/// part of its objective. What comes after it, pauses and parts of others, has
/// the rest.
const HOPELESS: f64 = 0.55;

/// The same while the engines are idle, for a prompt that takes few of them: what is
/// expected then comes true, but for a pass or two.
const LATEST: f64 = 0.9;

/// The part of the engines that counts as all of them: prompts that come after one that
/// takes so many find few others idle.
const MANY: f64 = 1.0 / 5.0;

/// What takes an engine less time than this is worth its time also when late: refused,
/// the largest prompts of a middling kind would hardly ever be served.
const COSTLY: Duration = Duration::from_millis(1_100);

/// Engines that have less than this part of an objective left to read, in the
/// mean over the last moments, count as idle: about one prompt of 45,000 tokens
/// for each three of them.
const IDLE: f64 = 0.03;

/// Over what time the mean is taken. One large prompt on its own takes the
/// engines about as long, and mustn't count as a stretch of them.
const SMOOTHING: Duration = Duration::from_secs(1);

/// What is known of a prompt when it is decided on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its tokens.
    pub prompt: u64,
    /// When its first event should be there, from its arrival.
    pub objective: Duration,
    /// The time since its arrival.
    pub elapsed: Duration,
    /// When its first event is expected, from now.
    pub expected_delay: Duration,
    /// What an engine has left to read, in the mean of all and of the last
    /// moments.
    pub backlog: Duration,
    /// The part of all engines that would read it.
    pub engine_ratio: f64,
}

/// Whether a prompt is refused: if it is, when its caller should come back.
pub fn check(speed: &Speed, case: &Candidate) -> Option<Duration> {
    check_with_share(speed, case, Standing::Within, Duration::ZERO)
}

/// The same for a prompt of an organisation that stands like this with its share. `alone` is
/// when the prompt's first event would be expected, from now, if its engines had nothing else
/// to read.
pub fn check_with_share(
    speed: &Speed,
    case: &Candidate,
    standing: Standing,
    alone: Duration,
) -> Option<Duration> {
    if speed.reading_time(case.prompt) <= COSTLY {
        return None;
    }
    let late = case.elapsed + case.expected_delay;
    let bound = case.objective.mul_f64(HOPELESS);
    let busy_bound = bound.mul_f64(relative_yield(speed, case));
    let busy_bound = tightened(busy_bound, standing, case.elapsed + alone);
    let idle = case.objective.mul_f64(IDLE);
    let is_idle = case.backlog <= idle;
    let idle_bound = case.objective.mul_f64(idle_share(case, idle));
    let is_refused = late > if is_idle { idle_bound } else { busy_bound };
    is_refused.then(|| late.saturating_sub(busy_bound))
}

/// The bound for a prompt while the engines are busy, given how its organisation stands. Not
/// tightened below `alone`, by when the prompt is expected if its engines are idle.
fn tightened(bound: Duration, standing: Standing, alone: Duration) -> Duration {
    match standing {
        Standing::Within => bound,
        Standing::Over { by } => bound.min(bound.div_f64(1.0 + by.max(0.0)).max(alone)),
    }
}

/// By which part of its objective a prompt must be expected that comes to idle engines:
/// sooner the more they have left to read, and the more of them it takes.
fn idle_share(case: &Candidate, idle: Duration) -> f64 {
    let busy = case.backlog.as_secs_f64() / idle.as_secs_f64().max(f64::MIN_POSITIVE);
    let taken = busy.max(case.engine_ratio / MANY).clamp(0.0, 1.0);
    LATEST - (LATEST - HOPELESS) * taken
}

/// What a prompt yields for the engines' time, as a part of what one does that an
/// engine reads alone within the objective. At most 1.
fn relative_yield(speed: &Speed, case: &Candidate) -> f64 {
    let reference = speed.readable_tokens(case.objective);
    let (own, usual) = (
        speed.reading_rate(case.prompt),
        speed.reading_rate(reference),
    );
    if usual > 0.0 {
        (own / usual).min(1.0)
    } else {
        1.0
    }
}

/// The mean backlog of the engines over the last moments, weighted by how long
/// ago each was seen.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    // When it was last told, and the mean then, in seconds.
    last: Option<(Mono, f64)>,
}

impl Backlog {
    /// Takes in what the engines have left to read now, in the mean of all, and
    /// gives the mean over time.
    pub fn observe(&mut self, now: Mono, backlog: Duration) -> Duration {
        let backlog = backlog.as_secs_f64();
        let mean = self.last.map_or(backlog, |(at, mean)| {
            let age = now.since(at).as_secs_f64() / SMOOTHING.as_secs_f64();
            let kept = (-age).exp();
            mean * kept + backlog * (1.0 - kept)
        });
        self.last = Some((now, mean));
        Duration::from_secs_f64(mean)
    }
}
