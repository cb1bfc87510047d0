//! What a run measured, by length class.
//!
//! Times count from the moment a request was meant to be sent, not from when it
//! was: a tool that falls behind must not hide the waiting it caused. They are
//! in the system's own time, that is, real time by the factor.

use std::{collections::BTreeMap, time::Duration};

use almondlock_policy::length::Class;
use hdrhistogram::Histogram;

/// Longest time told apart, in microseconds: an hour.
const LIMIT: u64 = 3_600_000_000;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Whole and right.
    Whole,
    /// Refused or failed, with almondlock's code or else the HTTP status. What
    /// came before was right.
    Failed(u16),
    /// The connection was lost, or never made, or closed without the last event.
    Lost,
    /// Still running when the run's time was over.
    Unfinished,
    /// Passed off as right, but not: the verdict's name.
    Wrong(&'static str),
}

impl End {
    /// The name in reports.
    pub fn name(&self) -> String {
        match self {
            End::Whole => "whole".to_owned(),
            End::Failed(code) => code.to_string(),
            End::Lost => "lost".to_owned(),
            End::Unfinished => "unfinished".to_owned(),
            End::Wrong(verdict) => (*verdict).to_owned(),
        }
    }
}

/// What was seen of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its length class.
    pub class: Class,
    /// How it ended.
    pub end: End,
    /// Until the first token.
    pub first: Option<Duration>,
    /// Until the end.
    pub total: Duration,
    /// Times between tokens, and how many tokens each stands for.
    pub gaps: Vec<(Duration, u64)>,
}

/// Times of one length class.
#[derive(Clone, Debug)]
pub struct Times {
    /// Until the first token.
    pub first: Histogram<u64>,
    /// Between tokens.
    pub gap: Histogram<u64>,
    /// Until the end of whole answers.
    pub total: Histogram<u64>,
}

impl Times {
    fn new() -> Option<Times> {
        let histogram = || Histogram::new_with_max(LIMIT, DIGITS).ok();
        Some(Times {
            first: histogram()?,
            gap: histogram()?,
            total: histogram()?,
        })
    }
}

/// All that one run measured of one system.
#[derive(Clone, Debug, Default)]
pub struct Record {
    times: [Option<Times>; Class::ALL.len()],
    ends: BTreeMap<(usize, End), u64>,
}

impl Record {
    /// Takes an outcome in.
    pub fn add(&mut self, outcome: &Outcome) {
        let index = outcome.class.index();
        *self.ends.entry((index, outcome.end.clone())).or_default() += 1;
        let times = &mut self.times[index];
        if times.is_none() {
            *times = Times::new();
        }
        let Some(times) = times else { return };
        if let Some(first) = outcome.first {
            times.first.saturating_record(micros(first));
        }
        for (gap, tokens) in &outcome.gaps {
            times.gap.saturating_record_n(micros(*gap), *tokens);
        }
        if outcome.end == End::Whole {
            times.total.saturating_record(micros(outcome.total));
        }
    }

    /// The times of a class, if any request was of it.
    pub fn times(&self, class: Class) -> Option<&Times> {
        self.times[class.index()].as_ref()
    }

    /// Requests of a class that ended in each way.
    pub fn ends(&self, class: Class) -> impl Iterator<Item = (&End, u64)> {
        let index = class.index();
        let of_class = self.ends.iter().filter(move |((i, _), _)| *i == index);
        of_class.map(|((_, end), count)| (end, *count))
    }

    /// Requests of a class.
    pub fn count(&self, class: Class) -> u64 {
        self.ends(class).map(|(_, count)| count).sum()
    }

    /// Answers that were wrong. Anything but zero is a defect.
    pub fn wrong(&self) -> u64 {
        let wrong = self
            .ends
            .iter()
            .filter(|((_, end), _)| matches!(end, End::Wrong(_)));
        wrong.map(|(_, count)| count).sum()
    }

    /// The time to the first token over all classes.
    pub fn first_overall(&self) -> Option<Histogram<u64>> {
        let mut all = Histogram::new_with_max(LIMIT, DIGITS).ok()?;
        for times in self.times.iter().flatten() {
            all.add(&times.first).ok()?;
        }
        Some(all)
    }
}

/// A percentile in seconds.
pub fn seconds(histogram: &Histogram<u64>, percentile: f64) -> f64 {
    histogram.value_at_percentile(percentile) as f64 / 1e6
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
