//! Which upstreams of a service are outliers.
//!
//! Each is compared with the others of its service at the same time: a fleet that is busy, or
//! fails as a whole, has no outliers.

use almondlock_base::time::Mono;

use super::{Summary, summary::bounds};

/// The weight of times without which nothing is said of an upstream's speed. Expectations are
/// wrong by a few hundred milliseconds for one request in ten; the median of some isn't.
const SAMPLES: u32 = 6;
/// Other upstreams that one is compared with, itself included, at the least.
const COMPARED: usize = 3;
/// Below this an upstream counts as no slower than the others: it is within the usual error.
const SLOWER: f64 = 1.5;
/// From here on it is ejected. A first event takes most of its objective where it should take
/// less than half.
const FAR_SLOWER: f64 = 3.0;
/// Failures without which nothing is said, of one host's observations and of several hosts'.
const FAILURES_OWN: u32 = 3;
const FAILURES_POOLED: u32 = 2;
/// An upstream fails often if at least this part of its requests fails: beyond it the budget of
/// further attempts, 0.2 of requests, doesn't cover a service of which all fail as often.
const FAILS: f64 = 0.15;
/// How much larger its share of failures must be than the service's median.
const FAILS_MORE: f64 = 0.2;
/// Of a service whose other upstreams may fail this part of requests none is an outlier: it
/// fails as a whole. More than where a third of the upstreams always fail.
const ALL_FAIL: f64 = 0.37;
/// The least rate that placement divides by.
const RATE_LEAST: f64 = 0.1;

/// Whose observations a finding rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This host's.
    Own,
    /// Several hosts', as a relay reported them.
    Reported,
}

impl Source {
    /// The word used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Source::Own => "own",
            Source::Reported => "reported",
        }
    }
}

/// What was found of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// Work that it does in a time, against what it should. At most 1.
    pub rate: f64,
    /// The part of its requests that failed.
    pub failure_share: f64,
    /// How many times slower it is than the others of its service.
    pub slowness: f64,
    /// Requests and times that this rests on.
    pub observations: u32,
    /// Whose they are.
    pub source: Source,
    /// When the newest of them was made.
    pub newest: Mono,
    /// It is far slower, or fails often.
    pub is_outlier: bool,
}

/// Finds the outliers among the upstreams of a service, given the accounts of all of them in
/// the order of the result, and in `all` those of either source.
pub fn find_outliers(accounts: &[Summary], source: Source, all: [&[Summary]; 2]) -> Vec<Finding> {
    let timed = accounts.iter().filter(|account| account.time_weight > 0);
    let usual = median(timed.map(|account| account.slowness));
    let asked = accounts.iter().filter(|account| account.requests() > 0);
    let usual_share = median(asked.map(Summary::failure_share));
    let failures = match source {
        Source::Own => FAILURES_OWN,
        Source::Reported => FAILURES_POOLED,
    };
    let findings = accounts.iter().enumerate().map(|(place, account)| {
        let is_timed = account.time_weight >= SAMPLES;
        let slowness = usual.filter(|_| is_timed).map_or(1.0, |usual| {
            let slowness = account.slowness / usual.max(1.0);
            if slowness < SLOWER { 1.0 } else { slowness }
        });
        let fails = usual_share.is_some_and(|usual| {
            account.failures >= failures
                && account.failure_share_bound() >= FAILS
                && account.failure_share() >= usual + FAILS_MORE
                && !all.iter().any(|accounts| others_fail(accounts, place))
        });
        let works = if fails {
            1.0 - account.failure_share()
        } else {
            1.0
        };
        Finding {
            rate: (works / slowness).clamp(RATE_LEAST, 1.0),
            failure_share: account.failure_share(),
            slowness,
            observations: account.requests() + account.time_weight,
            source,
            newest: account.newest,
            is_outlier: slowness >= FAR_SLOWER || fails,
        }
    });
    findings.collect()
}

/// Whether the others fail as well. With two observed requests or so of each upstream a fleet
/// that fails half of all has some that failed all of theirs.
fn others_fail(accounts: &[Summary], place: usize) -> bool {
    let others = accounts.iter().enumerate().filter(|(i, _)| *i != place);
    let others = others.map(|(_, account)| (account.answers, account.capped_failures));
    let (answers, failures) = others.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    answers + failures > 0 && bounds(failures, answers + failures).1 >= ALL_FAIL
}

/// The median, the upper one of two: what half of a service shows is usual. None if there are
/// too few to compare.
fn median<I>(values: I) -> Option<f64>
where
    I: Iterator<Item = f64>,
{
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    (values.len() >= COMPARED).then(|| values[values.len() / 2])
}
