//! Figures of an experiment, over its runs: medians with their spread, ratios
//! between arms, and the slowdown that long prompts cause.

use std::collections::BTreeMap;

use almondlock_policy::length::Class;
use serde::Serialize;

use crate::{
    experiment::{Arm, Measured, Pass},
    record::{Record, seconds},
};

/// A median and the range around it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Spread {
    /// The median.
    pub median: f64,
    /// The smallest value.
    pub low: f64,
    /// The largest value.
    pub high: f64,
}

impl Spread {
    /// Of some values; `None` if there are none.
    pub fn new(mut values: Vec<f64>) -> Option<Spread> {
        values.sort_by(f64::total_cmp);
        let (low, high) = (*values.first()?, *values.last()?);
        let middle = values.len() / 2;
        let median = if values.len().is_multiple_of(2) {
            (values[middle - 1] + values[middle]) / 2.0
        } else {
            values[middle]
        };
        Some(Spread { median, low, high })
    }
}

/// The figures of one arm and length class. Times are in seconds.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Row {
    /// The arm.
    pub arm: String,
    /// Which requests were sent.
    pub pass: &'static str,
    /// The length class, or `all`.
    pub class: &'static str,
    /// Requests over all runs.
    pub requests: u64,
    /// How many ended in each way.
    pub ends: BTreeMap<String, u64>,
    /// Time to the first token, by percentile.
    pub first_p50: Option<Spread>,
    /// The same.
    pub first_p95: Option<Spread>,
    /// The same.
    pub first_p99: Option<Spread>,
    /// Time between tokens.
    pub gap_p50: Option<Spread>,
    /// The same.
    pub gap_p95: Option<Spread>,
    /// Time to the end.
    pub total_p95: Option<Spread>,
}

/// How an arm's time to the first token, at the 95th percentile, compares.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Ratio {
    /// The arm.
    pub arm: String,
    /// What it is divided by: another arm, or itself without long prompts.
    pub against: String,
    /// The length class, or `all`.
    pub class: &'static str,
    /// The ratio, over the runs.
    pub ratio: Spread,
}

/// All figures.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Summary {
    /// By arm, pass and class.
    pub rows: Vec<Row>,
    /// Between arms and between passes.
    pub ratios: Vec<Ratio>,
    /// Answers that were wrong. Anything but zero is a defect.
    pub wrong: u64,
}

/// A class of requests, or all of them.
type Group = Option<Class>;

fn groups() -> impl Iterator<Item = Group> {
    let classes = Class::ALL.into_iter().map(Some);
    classes.chain([None])
}

fn group_name(group: Group) -> &'static str {
    group.map_or("all", Class::as_str)
}

impl Summary {
    /// Sums up.
    pub fn new(arms: &[Arm], measured: &[Measured]) -> Summary {
        let mut rows = Vec::new();
        for (index, arm) in arms.iter().enumerate() {
            for pass in [Pass::All, Pass::WithoutLong] {
                let of_arm = measured.iter().filter(|m| m.arm == index && m.pass == pass);
                let records: Vec<&Record> = of_arm.map(|m| &m.record).collect();
                rows.extend(groups().filter_map(|group| row(arm, pass, group, &records)));
            }
        }
        Summary {
            rows,
            ratios: ratios(arms, measured),
            wrong: measured.iter().map(|m| m.record.wrong()).sum(),
        }
    }
}

fn row(arm: &Arm, pass: Pass, group: Group, records: &[&Record]) -> Option<Row> {
    let mut ends = BTreeMap::new();
    for record in records {
        for class in Class::ALL
            .into_iter()
            .filter(|c| group.is_none_or(|g| g == *c))
        {
            for (end, count) in record.ends(class) {
                *ends.entry(end.name()).or_default() += count;
            }
        }
    }
    let spread = |value: fn(&Record, Group, f64) -> Option<f64>, percentile: f64| {
        let values = records.iter().filter_map(|r| value(r, group, percentile));
        Spread::new(values.collect())
    };
    let requests = ends.values().sum();
    (requests > 0).then(|| Row {
        arm: arm.name.clone(),
        pass: pass.as_str(),
        class: group_name(group),
        requests,
        ends,
        first_p50: spread(first, 50.0),
        first_p95: spread(first, 95.0),
        first_p99: spread(first, 99.0),
        gap_p50: spread(gap, 50.0),
        gap_p95: spread(gap, 95.0),
        total_p95: spread(total, 95.0),
    })
}

fn first(record: &Record, group: Group, percentile: f64) -> Option<f64> {
    let histogram = match group {
        Some(class) => record.times(class)?.first.clone(),
        None => record.first_overall()?,
    };
    (!histogram.is_empty()).then(|| seconds(&histogram, percentile))
}

fn gap(record: &Record, group: Group, percentile: f64) -> Option<f64> {
    let histogram = &record.times(group?)?.gap;
    (!histogram.is_empty()).then(|| seconds(histogram, percentile))
}

fn total(record: &Record, group: Group, percentile: f64) -> Option<f64> {
    let histogram = &record.times(group?)?.total;
    (!histogram.is_empty()).then(|| seconds(histogram, percentile))
}

fn ratios(arms: &[Arm], measured: &[Measured]) -> Vec<Ratio> {
    let mut ratios = Vec::new();
    for (index, arm) in arms.iter().enumerate() {
        for group in groups() {
            let base = &arms[0].name;
            let between = compare(measured, group, (index, Pass::All), (0, Pass::All));
            let pair = between.filter(|_| index > 0).map(|r| (base.clone(), r));
            let itself = format!("{} without long", arm.name);
            let slowdown = compare(
                measured,
                group,
                (index, Pass::All),
                (index, Pass::WithoutLong),
            );
            for (against, ratio) in pair.into_iter().chain(slowdown.map(|r| (itself, r))) {
                let (arm, class) = (arm.name.clone(), group_name(group));
                ratios.push(Ratio {
                    arm,
                    against,
                    class,
                    ratio,
                });
            }
        }
    }
    ratios
}

/// One arm and pass by another, in each run that has both.
fn compare(
    measured: &[Measured],
    group: Group,
    above: (usize, Pass),
    below: (usize, Pass),
) -> Option<Spread> {
    let find = |run: u64, (arm, pass): (usize, Pass)| {
        let mut of = measured
            .iter()
            .filter(|m| m.run == run && m.arm == arm && m.pass == pass);
        first(&of.next()?.record, group, 95.0)
    };
    let runs = measured.iter().map(|m| m.run).max()?;
    let ratio = |run| Some(find(run, above)? / find(run, below)?.max(1e-6));
    Spread::new((0..=runs).filter_map(ratio).collect())
}
