//! Where the time of requests went, told from the log of entry hosts.
//!
//! An entry host logs when it sends a request, with the first event that it
//! expects, and when the request ends, with the first event that its caller got
//! and the longest pause. Put side by side, by the seconds in which requests were
//! sent and by the length of their prompts, these lines show which requests were
//! late, when, and whether that was known when they were sent: an error near zero
//! beside a late first event is a loaded fleet, a large one is a host that didn't
//! know what the engines had to do.
//!
//! Lines may have any text before their JSON object, such as a time and the name
//! of a host. What isn't a line of these kinds is left out.

use std::{
    collections::{BTreeMap, HashMap},
    fmt::{self, Write},
    time::Duration,
};

use serde::Deserialize;

/// Up to so many tokens a prompt is short.
const SHORT: u64 = 12_000;
/// Up to so many it is middling.
const MIDDLING: u64 = 110_000;

/// The length of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Length {
    /// Up to 12,000 tokens.
    Short,
    /// Up to 110,000.
    Middling,
    /// Beyond.
    Long,
}

impl Length {
    fn of(prompt: u64) -> Length {
        match prompt {
            0..=SHORT => Length::Short,
            _ if prompt <= MIDDLING => Length::Middling,
            _ => Length::Long,
        }
    }
}

impl fmt::Display for Length {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Length::Short => "short",
            Length::Middling => "middling",
            Length::Long => "long",
        })
    }
}

/// What one request's lines tell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Seconds in the log's own time, of the first attempt.
    pub sent: f64,
    /// Its prompt.
    pub length: Length,
    /// Milliseconds to the first event, as expected when it was sent.
    pub expected: f64,
    /// Milliseconds from its arrival to the first event. None if there was none.
    pub first: Option<f64>,
    /// Milliseconds of the longest pause between two events.
    pub pause: f64,
    /// Attempts, from 1.
    pub attempts: u32,
}

/// All that a log tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    /// Requests that were sent and have ended.
    pub requests: Vec<Request>,
    /// Seconds and reasons of attempts that failed.
    pub failures: Vec<(f64, String)>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Line {
    message: String,
    #[serde(default)]
    request: String,
    #[serde(default)]
    prompt: u64,
    // Some are logged as numbers and some as text.
    #[serde(default)]
    expected_ms: serde_json::Value,
    #[serde(default)]
    first_ms: serde_json::Value,
    #[serde(default)]
    longest_pause_ms: serde_json::Value,
    #[serde(default)]
    reason: String,
}

fn number(value: &serde_json::Value) -> Option<f64> {
    let text = value.as_str().and_then(|text| text.parse().ok());
    value.as_f64().or(text)
}

/// Reads a log whose lines begin with their time in seconds.
pub fn read(text: &str) -> Log {
    let mut log = Log::default();
    let mut sent: HashMap<String, Request> = HashMap::new();
    for line in text.lines() {
        let Some((at, line)) = parse(line) else {
            continue;
        };
        match line.message.as_str() {
            "sent" if line.prompt > 0 => {
                let request = sent.entry(line.request).or_insert(Request {
                    sent: at,
                    length: Length::of(line.prompt),
                    expected: number(&line.expected_ms).unwrap_or(0.0),
                    first: None,
                    pause: 0.0,
                    attempts: 0,
                });
                request.attempts += 1;
            }
            "attempt failed" => log.failures.push((at, line.reason)),
            "ended" => {
                if let Some(mut request) = sent.remove(&line.request) {
                    request.first = number(&line.first_ms);
                    request.pause = number(&line.longest_pause_ms).unwrap_or(0.0);
                    log.requests.push(request);
                }
            }
            _ => {}
        }
    }
    log
}

fn parse(line: &str) -> Option<(f64, Line)> {
    let start = line.find('{')?;
    let at = line[..start].split_whitespace().next()?.parse().ok()?;
    Some((at, serde_json::from_str(&line[start..]).ok()?))
}

/// One row: requests of a length that were sent in the same seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// The first of those seconds.
    pub from: u64,
    /// Their prompts.
    pub length: Length,
    /// How many there were.
    pub count: usize,
    /// Of them, those without any event.
    pub unserved: usize,
    /// Of them, those that were tried again.
    pub again: usize,
    /// Milliseconds to the first event as expected, in the median.
    pub expected: f64,
    /// First events seen less expected, in milliseconds: median and 90th
    /// percentile.
    pub error: (f64, f64),
    /// Longest pauses, in milliseconds: median and 90th percentile.
    pub pause: (f64, f64),
}

/// Sums a log up, in rows of so much time.
pub fn rows(log: &Log, span: Duration) -> Vec<Row> {
    let width = span.as_secs().max(1);
    let mut groups: BTreeMap<(u64, Length), Vec<&Request>> = BTreeMap::new();
    for request in &log.requests {
        // Before the start of the log's time nothing is sent.
        let from = request.sent.max(0.0) as u64 / width * width;
        let group = groups.entry((from, request.length)).or_default();
        group.push(request);
    }
    let rows = groups.into_iter().map(|((from, length), group)| {
        let served: Vec<&Request> = group
            .iter()
            .copied()
            .filter(|r| r.first.is_some())
            .collect();
        let errors = served.iter().map(|r| r.first.unwrap_or(0.0) - r.expected);
        let errors = sorted(errors);
        let pauses = sorted(served.iter().map(|r| r.pause));
        Row {
            from,
            length,
            count: group.len(),
            unserved: group.len() - served.len(),
            again: group.iter().filter(|r| r.attempts > 1).count(),
            expected: part(&sorted(group.iter().map(|r| r.expected)), 0.5),
            error: (part(&errors, 0.5), part(&errors, 0.9)),
            pause: (part(&pauses, 0.5), part(&pauses, 0.9)),
        }
    });
    rows.collect()
}

fn sorted<I>(values: I) -> Vec<f64>
where
    I: Iterator<Item = f64>,
{
    let mut values: Vec<f64> = values.collect();
    values.sort_unstable_by(f64::total_cmp);
    values
}

/// The value at a part of the way through sorted ones; zero if there is none.
fn part(values: &[f64], part: f64) -> f64 {
    // Counts of requests are far below what a float holds exactly.
    let at = (values.len() as f64 * part) as usize;
    let last = values.len().saturating_sub(1);
    values.get(at.min(last)).copied().unwrap_or(0.0)
}

/// Writes rows as CSV, with a line of names.
pub fn csv(rows: &[Row]) -> String {
    let mut text = String::from(
        "from_s,length,count,unserved,again,expected_p50_ms,error_p50_ms,error_p90_ms,\
         pause_p50_ms,pause_p90_ms\n",
    );
    for row in rows {
        let ((error, error_high), (pause, pause_high)) = (row.error, row.pause);
        // Writing to a string doesn't fail.
        let _ = writeln!(
            text,
            "{},{},{},{},{},{:.0},{error:.0},{error_high:.0},{pause:.0},{pause_high:.0}",
            row.from, row.length, row.count, row.unserved, row.again, row.expected,
        );
    }
    text
}
