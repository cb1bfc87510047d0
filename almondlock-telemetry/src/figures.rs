//! Counters and latency histograms, shared by the threads of a process and
//! served as text: `GET /metrics`.

use std::{
    collections::BTreeMap,
    fmt::Write,
    future::Future,
    io,
    net::{SocketAddr, TcpListener},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;
use ntex::{
    server::Server,
    web::{self, App, HttpResponse, HttpServer},
};

/// The longest time that a histogram tells apart, in milliseconds: beyond every
/// timeout that a route has in practice.
const LONGEST: u64 = 120_000;
/// Significant digits of a histogram: 1% is enough for latencies.
const DIGITS: u8 = 2;
/// The quantiles that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];
/// The most series of one kind; routes come from the configuration, which
/// bounds them, but their names change over a process's life.
const SERIES: usize = 1024;

/// A process's figures. Clones aren't needed: it is shared behind an `Arc`.
#[derive(Debug, Default)]
pub struct Figures {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    counters: BTreeMap<String, u64>,
    levels: BTreeMap<String, i64>,
    times: BTreeMap<String, Histogram<u32>>,
}

impl Figures {
    /// Counts one more.
    pub fn count(&self, name: &str, label: &str) {
        self.add(name, label, 1);
    }

    /// Counts so many more.
    pub fn add(&self, name: &str, label: &str, count: u64) {
        let key = format!("{name}{{{label}}}");
        let mut inner = self.lock();
        if inner.counters.len() < SERIES || inner.counters.contains_key(&key) {
            *inner.counters.entry(key).or_default() += count;
        }
    }

    /// One more is there now.
    pub fn rise(&self, name: &str, label: &str) {
        self.change(name, label, 1);
    }

    /// One less is there now.
    pub fn fall(&self, name: &str, label: &str) {
        self.change(name, label, -1);
    }

    /// So many are there now.
    pub fn set(&self, name: &str, label: &str, level: i64) {
        self.level(name, label, |old| *old = level);
    }

    fn change(&self, name: &str, label: &str, by: i64) {
        self.level(name, label, |level| *level += by);
    }

    fn level<F>(&self, name: &str, label: &str, act: F)
    where
        F: FnOnce(&mut i64),
    {
        let key = format!("{name}{{{label}}}");
        let mut inner = self.lock();
        if inner.levels.len() < SERIES || inner.levels.contains_key(&key) {
            act(inner.levels.entry(key).or_default());
        }
    }

    /// Takes a time into a histogram.
    pub fn time(&self, name: &str, label: &str, span: Duration) {
        let key = format!("{name}{{{label}}}");
        let millis = u64::try_from(span.as_millis()).unwrap_or(LONGEST);
        let mut inner = self.lock();
        if inner.times.len() >= SERIES && !inner.times.contains_key(&key) {
            return;
        }
        if !inner.times.contains_key(&key) {
            // The bounds are constants that the library accepts.
            let Ok(made) = Histogram::new_with_bounds(1, LONGEST, DIGITS) else {
                return;
            };
            inner.times.insert(key.clone(), made);
        }
        if let Some(times) = inner.times.get_mut(&key) {
            times.saturating_record(millis.max(1));
        }
    }

    /// All figures, a line each.
    pub fn text(&self) -> String {
        let inner = self.lock();
        let mut text = String::new();
        for (name, count) in &inner.counters {
            let _ = writeln!(text, "{name} {count}");
        }
        for (name, level) in &inner.levels {
            let _ = writeln!(text, "{name} {level}");
        }
        for (name, times) in &inner.times {
            let _ = writeln!(text, "{name} count {}", times.len());
            for quantile in QUANTILES {
                let millis = times.value_at_quantile(quantile);
                let _ = writeln!(text, "{name} q{quantile} {millis} ms");
            }
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves what `text` gives at `GET /metrics`, on one thread; 503 while it gives nothing.
pub fn serve<F, R>(address: SocketAddr, text: F) -> io::Result<Server>
where
    F: Fn() -> R + Clone + Send + 'static,
    R: Future<Output = Option<String>> + 'static,
{
    let listener = TcpListener::bind(address)?;
    let factory = async move || {
        let text = text.clone();
        let answer = async move || match text().await {
            Some(text) => HttpResponse::Ok().body(text),
            None => HttpResponse::ServiceUnavailable().finish(),
        };
        App::new().route("/metrics", web::get().to(answer))
    };
    let server = HttpServer::new(factory).workers(1).disable_signals();
    Ok(server.listen(listener)?.run())
}
