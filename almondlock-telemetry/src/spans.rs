//! Finished hops, one JSON object a line.
//!
//! A hop is a span with a `traceparent` field holding a [`Context`]; spans
//! without one are for logs only. Joined by trace and parent, the lines of all
//! processes give the whole way of a request. Lines are written by a thread of
//! their own behind a bounded queue: a slow disk loses lines, not time.
//!
//! ```
//! use almondlock_telemetry::trace::Context;
//! use rand::{SeedableRng, rngs::SmallRng};
//!
//! let mut rng = SmallRng::seed_from_u64(1);
//! let caller = Context::root(&mut rng);
//! let hop = caller.child(&mut rng);
//! let span = tracing::info_span!("claim", traceparent = %hop, parent = %caller.span());
//! let _entered = span.enter();
//! ```

use std::{
    fs::{File, OpenOptions},
    io::{self, BufWriter, Write},
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::{Map, Value, json};
use tracing::{
    Subscriber,
    field::{Field, Visit},
    span::{Attributes, Id, Record},
};
use tracing_subscriber::{Layer, layer, registry::LookupSpan};

use crate::trace::Context;

/// Lines that may wait for the disk.
const QUEUE: usize = 4096;

/// How long a line may wait in the buffer.
const FLUSH: Duration = Duration::from_millis(200);

/// The layer that exports hops.
#[derive(Debug)]
pub struct Exporter {
    lines: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl Exporter {
    /// Appends to a file, which is made if it isn't there.
    pub fn open(path: &Path) -> io::Result<Exporter> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let (lines, queue) = sync_channel(QUEUE);
        thread::Builder::new()
            .name("spans".into())
            .spawn(move || write(file, &queue))?;
        Ok(Exporter {
            lines,
            dropped: Arc::default(),
        })
    }

    /// Counts the lines that found the queue full.
    pub fn dropped(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.dropped)
    }
}

fn write(file: File, queue: &Receiver<String>) {
    let mut file = BufWriter::new(file);
    loop {
        let result = match queue.recv_timeout(FLUSH) {
            Ok(line) => writeln!(file, "{line}"),
            Err(RecvTimeoutError::Timeout) => file.flush(),
            Err(RecvTimeoutError::Disconnected) => break,
        };
        if let Err(error) = result {
            eprintln!("writing spans failed, no more are written: {error}");
            return;
        }
    }
    if let Err(error) = file.flush() {
        eprintln!("writing the last spans failed: {error}");
    }
}

struct Hop {
    began: Instant,
    at: SystemTime,
    fields: Fields,
}

#[derive(Default)]
struct Fields {
    context: Option<Context>,
    parent: Option<String>,
    others: Map<String, Value>,
}

impl Fields {
    fn put(&mut self, field: &Field, value: Value) {
        match (field.name(), value.as_str()) {
            ("traceparent", Some(text)) => self.context = Context::parse(text),
            ("parent", Some(text)) => self.parent = Some(text.to_owned()),
            (name, _) => {
                self.others.insert(name.to_owned(), value);
            }
        }
    }
}

impl Visit for Fields {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        self.put(field, Value::String(format!("{value:?}")));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.put(field, value.into());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.put(field, value.into());
    }

    fn record_i64(&mut self, field: &Field, value: i64) {
        self.put(field, value.into());
    }

    fn record_bool(&mut self, field: &Field, value: bool) {
        self.put(field, value.into());
    }
}

impl<S> Layer<S> for Exporter
where
    S: Subscriber + for<'a> LookupSpan<'a>,
{
    fn on_new_span(&self, attributes: &Attributes<'_>, id: &Id, context: layer::Context<'_, S>) {
        let mut fields = Fields::default();
        attributes.record(&mut fields);
        let sampled = fields.context.is_some_and(|context| context.is_sampled());
        if let (true, Some(span)) = (sampled, context.span(id)) {
            span.extensions_mut().insert(Hop {
                began: Instant::now(),
                at: SystemTime::now(),
                fields,
            });
        }
    }

    fn on_record(&self, id: &Id, values: &Record<'_>, context: layer::Context<'_, S>) {
        if let Some(span) = context.span(id)
            && let Some(hop) = span.extensions_mut().get_mut::<Hop>()
        {
            values.record(&mut hop.fields);
        }
    }

    fn on_close(&self, id: Id, context: layer::Context<'_, S>) {
        let Some(span) = context.span(&id) else {
            return;
        };
        let hop = span.extensions_mut().remove::<Hop>();
        let line = hop.and_then(|hop| line(span.name(), hop));
        if let Some(line) = line
            && self.lines.try_send(line).is_err()
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn line(name: &str, hop: Hop) -> Option<String> {
    let context = hop.fields.context?;
    let start = hop.at.duration_since(UNIX_EPOCH).unwrap_or_default();
    let line = json!({
        "name": name,
        "trace": context.trace().to_string(),
        "span": context.span().to_string(),
        "parent": hop.fields.parent,
        "start_micros": micros(start),
        "duration_micros": micros(hop.began.elapsed()),
        "fields": hop.fields.others,
    });
    Some(line.to_string())
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
