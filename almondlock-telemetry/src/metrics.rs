//! Counters and timers, sent to statsd over UDP.
//!
//! One typed function a figure, so that a name is spelt in one place and
//! `docs/telemetry.md` can list them all. Lines are put into a bounded queue
//! which a thread empties; when it is full they are lost. Without an address
//! every function does nothing.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Weak},
    thread,
    time::Duration,
};

use almondlock_base::{
    Code,
    unit::{Revision, Tokens},
};
use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, Histogrammed, MetricSink, QueuingMetricSink,
    StatsdClient, Timed,
};

/// Lines that may wait to be sent.
const QUEUE: usize = 8192;

/// How long a line may wait in the buffer.
const FLUSH: Duration = Duration::from_secs(1);

/// Prompt lengths that are watched apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Length {
    /// Up to 4,096 tokens.
    Short,
    /// Up to 32,768 tokens.
    Medium,
    /// Up to 262,144 tokens.
    Long,
    /// More than that.
    Huge,
}

impl Length {
    /// Every class, shortest first.
    pub const ALL: [Length; 4] = [Length::Short, Length::Medium, Length::Long, Length::Huge];

    /// The class of a prompt.
    pub const fn of(prompt: Tokens) -> Length {
        match prompt.0 {
            0..=4_096 => Length::Short,
            4_097..=32_768 => Length::Medium,
            32_769..=262_144 => Length::Long,
            _ => Length::Huge,
        }
    }

    /// The word used in metric names.
    pub const fn as_str(self) -> &'static str {
        match self {
            Length::Short => "short",
            Length::Medium => "medium",
            Length::Long => "long",
            Length::Huge => "huge",
        }
    }
}

/// Where metrics go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Config {
    /// The statsd address; none turns metrics off.
    pub statsd: Option<SocketAddr>,
    /// What every name starts with.
    pub prefix: String,
}

/// The process's metrics; clones share one queue.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    client: Option<Arc<StatsdClient>>,
}

impl Metrics {
    /// Metrics that go nowhere.
    pub fn none() -> Metrics {
        Metrics::default()
    }

    /// Opens a socket, if there is an address to send to.
    pub fn open(config: &Config) -> io::Result<Metrics> {
        let Some(address) = config.statsd else {
            return Ok(Metrics::none());
        };
        let any: SocketAddr = match address {
            SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
            SocketAddr::V6(_) => ([0; 16], 0).into(),
        };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        Metrics::with_sink(&config.prefix, sink)
    }

    /// Sends to any sink of the `cadence` library, for tests.
    pub fn with_sink<S>(prefix: &str, sink: S) -> io::Result<Metrics>
    where
        S: MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    {
        let queue = QueuingMetricSink::with_capacity(sink, QUEUE);
        let client = Arc::new(StatsdClient::from_sink(prefix, queue));
        let weak = Arc::downgrade(&client);
        thread::Builder::new()
            .name("metrics".into())
            .spawn(move || flush(&weak))?;
        Ok(Metrics {
            client: Some(client),
        })
    }

    /// Time from a request's arrival to its first token.
    pub fn first_token(&self, length: Length, span: Duration) {
        self.time(&format!("first_token.{}", length.as_str()), span);
    }

    /// Time a request waited before it was handed to an upstream.
    pub fn queue_time(&self, length: Length, span: Duration) {
        self.time(&format!("queue.{}", length.as_str()), span);
    }

    /// A request was refused or failed with a code.
    pub fn refusal(&self, code: Code) {
        self.count(&format!("refusals.{}", code.number()), 1);
    }

    /// A request was sent again by the system.
    pub fn retry(&self) {
        self.count("retries", 1);
    }

    /// So many more panics in a task of this name.
    pub fn panics(&self, task: &str, count: u64) {
        if count > 0 {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.count(&format!("panics.{}", plain(task)), count);
        }
    }

    /// Retries that the budget still allows.
    pub fn budget_left(&self, retries: u64) {
        self.level("retry_budget", retries);
    }

    /// Time of the deadline that was left when an answer was whole.
    pub fn deadline_left(&self, length: Length, span: Duration) {
        self.time(&format!("deadline_left.{}", length.as_str()), span);
    }

    /// Engine memory that the system holds on an upstream.
    pub fn memory_held(&self, upstream: &str, tokens: Tokens) {
        self.level(&format!("memory_held.{}", plain(upstream)), tokens.0);
    }

    /// A level or count of callers' bodies, by its name.
    pub fn caller_bodies(&self, what: &str, level: u64) {
        self.level(&format!("caller_bodies.{what}"), level);
    }

    /// A level or count of the bodies of answers that are collected, by its name.
    pub fn answer_bodies(&self, what: &str, level: u64) {
        self.level(&format!("answer_bodies.{what}"), level);
    }

    /// A level or count of callers' connections, by its name.
    pub fn caller_connections(&self, what: &str, level: u64) {
        self.level(&format!("caller_connections.{what}"), level);
    }

    /// The revision in force in this process.
    pub fn revision(&self, revision: Revision) {
        self.level("revision", revision.0);
    }

    /// Tokens of one request's prompt.
    pub fn prompt(&self, tokens: Tokens) {
        if let Some(client) = &self.client {
            client.histogram("prompt_tokens", tokens.0).ok();
        }
    }

    fn time(&self, name: &str, span: Duration) {
        if let Some(client) = &self.client {
            client.time(name, span).ok();
        }
    }

    fn count(&self, name: &str, by: i64) {
        if let Some(client) = &self.client {
            client.count(name, by).ok();
        }
    }

    fn level(&self, name: &str, value: u64) {
        if let Some(client) = &self.client {
            client.gauge(name, value).ok();
        }
    }
}

/// A name as one part of a metric's name: statsd gives meaning to dots, colons
/// and bars.
fn plain(name: &str) -> String {
    name.chars()
        .map(|c| match c {
            'a'..='z' | 'A'..='Z' | '0'..='9' | '-' | '_' => c,
            _ => '_',
        })
        .collect()
}

fn flush(client: &Weak<StatsdClient>) {
    loop {
        thread::sleep(FLUSH);
        match client.upgrade() {
            Some(client) => drop(client.flush()),
            None => return,
        }
    }
}
