//! Finds the outliers among the upstreams of a service.
//!
//! An upstream is compared with the others of its service at the same time: a service whose
//! upstreams are all busy or all failing has no outliers.

use almondlock_base::time::Mono;

use super::{Summary, summary::failure_bounds};

/// Least total weight of times for a finding about an upstream's speed. Expectations are wrong by
/// a few hundred milliseconds for one request in ten, but the median of several times isn't.
const MIN_TIME_WEIGHT: u32 = 6;
/// Least number of upstreams for a comparison.
const MIN_COMPARED: usize = 3;
/// Slowness below which an upstream counts as no slower than the others, since it is within the
/// usual error.
const MIN_SLOWNESS: f64 = 1.5;
/// Slowness from which on an upstream is an outlier. A first event then takes most of its
/// objective, where it should take less than half.
const EJECTION_SLOWNESS: f64 = 3.0;
/// Least number of failures for a finding from this host's own observations.
const MIN_OWN_FAILURES: u32 = 3;
/// Least number of failures for a finding from the observations of several hosts.
const MIN_POOLED_FAILURES: u32 = 2;
/// Least part of an upstream's requests that fails for it to be an outlier. Beyond this, the retry
/// budget of 0.2 of the requests doesn't cover a service whose upstreams all fail as often.
const MIN_FAILURE_SHARE: f64 = 0.15;
/// Least difference between an outlier's share of failures and the median of its service.
const MIN_EXCESS_SHARE: f64 = 0.2;
/// Upper bound of the other upstreams' share of failures from which on no upstream is an outlier,
/// since the service fails as a whole. It is above a third, so that a third of the upstreams can
/// fail all requests and still be outliers.
const SERVICE_FAILURE_SHARE: f64 = 0.37;
/// Least rate of an upstream. Placement divides by it.
const MIN_RATE: f64 = 0.1;

/// The source of the observations behind a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This host's own observations.
    Own,
    /// The observations of several hosts, as reported by a relay.
    Reported,
}

impl Source {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Source::Own => "own",
            Source::Reported => "reported",
        }
    }
}

/// The result of comparing an upstream with the others of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// Work that the upstream does per time, as a part of what it should do. At most 1.
    pub relative_rate: f64,
    /// Part of the upstream's requests that failed.
    pub failure_share: f64,
    /// How many times slower the upstream is than the median of its service.
    pub slowness: f64,
    /// Number of observed requests plus the weight of observed times.
    pub observations: u32,
    /// Source of the observations.
    pub source: Source,
    /// Time of the newest observation.
    pub newest: Mono,
    /// Whether the upstream is far slower than the others or fails often.
    pub is_outlier: bool,
}

/// Compares the upstreams of a service, and returns one finding for each, in the order of
/// `summaries`. `all` has the summaries of both sources, in the same order.
pub fn find_outliers(summaries: &[Summary], source: Source, all: [&[Summary]; 2]) -> Vec<Finding> {
    let timed = summaries.iter().filter(|summary| summary.time_weight > 0);
    let usual = median(timed.map(|summary| summary.slowness));
    let asked = summaries.iter().filter(|summary| summary.requests() > 0);
    let usual_share = median(asked.map(Summary::failure_share));
    let failures = match source {
        Source::Own => MIN_OWN_FAILURES,
        Source::Reported => MIN_POOLED_FAILURES,
    };
    let findings = summaries.iter().enumerate().map(|(index, summary)| {
        let is_timed = summary.time_weight >= MIN_TIME_WEIGHT;
        let slowness = usual.filter(|_| is_timed).map_or(1.0, |usual| {
            let slowness = summary.slowness / usual.max(1.0);
            if slowness < MIN_SLOWNESS {
                1.0
            } else {
                slowness
            }
        });
        let fails = usual_share.is_some_and(|usual| {
            summary.failures >= failures
                && summary.failure_share_bound() >= MIN_FAILURE_SHARE
                && summary.failure_share() >= usual + MIN_EXCESS_SHARE
                && !all.iter().any(|summaries| others_fail(summaries, index))
        });
        let works = if fails {
            1.0 - summary.failure_share()
        } else {
            1.0
        };
        Finding {
            relative_rate: (works / slowness).clamp(MIN_RATE, 1.0),
            failure_share: summary.failure_share(),
            slowness,
            observations: summary.requests() + summary.time_weight,
            source,
            newest: summary.newest,
            is_outlier: slowness >= EJECTION_SLOWNESS || fails,
        }
    });
    findings.collect()
}

/// Whether the other upstreams fail as well. With about two observed requests for each upstream,
/// a service that fails half of all requests has some upstreams that failed all of theirs.
fn others_fail(summaries: &[Summary], index: usize) -> bool {
    let others = summaries.iter().enumerate().filter(|(i, _)| *i != index);
    let others = others.map(|(_, summary)| (summary.answers, summary.capped_failures));
    let (answers, failures) = others.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    answers + failures > 0
        && failure_bounds(failures, answers + failures).1 >= SERVICE_FAILURE_SHARE
}

/// Returns the median, the upper one of two, since what half of the upstreams show counts as
/// normal. `None` if there are too few values to compare.
fn median<I>(values: I) -> Option<f64>
where
    I: Iterator<Item = f64>,
{
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    (values.len() >= MIN_COMPARED).then(|| values[values.len() / 2])
}
