//! Setting up logs.

use std::{fmt, io, path::PathBuf, str::FromStr};

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::{
    EnvFilter, Layer, Registry, fmt::writer::BoxMakeWriter, layer::SubscriberExt,
    util::SubscriberInitExt,
};

use crate::spans::Exporter;

/// How log lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for Format {
    type Err = Error;

    fn from_str(text: &str) -> Result<Format, Error> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            _ => Err(Error::new(Kind::Format(text.to_owned()))),
        }
    }
}

/// Where log lines go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Standard error, written by whoever logs.
    #[default]
    Stderr,
    /// Standard output, written by a thread of its own. Its queue is bounded:
    /// what doesn't fit is lost, so that a reader that stops reading, or a
    /// flood of lines, never holds up a request.
    Stdout,
}

/// Lines that may wait for standard output: a second of a busy host's lines.
const QUEUE: usize = 4096;

/// What a process logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Config {
    /// How lines look.
    pub format: Format,
    /// Where they go.
    pub output: Output,
    /// Which lines are written, in the syntax of `tracing-subscriber`'s
    /// `EnvFilter`; empty counts as `info`.
    pub filter: String,
    /// Where finished hops go, if anywhere.
    pub spans: Option<PathBuf>,
}

/// Why logging couldn't be set up.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
}

#[derive(Debug)]
#[derive(thiserror::Error)]
enum Kind {
    #[error("log format {0:?} is neither \"text\" nor \"json\"")]
    Format(String),
    #[error("log filter {0:?} can't be read: {1}")]
    Filter(String, tracing_subscriber::filter::ParseError),
    #[error("the spans file {0} can't be opened: {1}")]
    Spans(PathBuf, io::Error),
    #[error("logging is set up already")]
    Twice,
}

impl Error {
    fn new(kind: Kind) -> Error {
        Error { kind }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.kind.fmt(f)
    }
}

impl std::error::Error for Error {}

/// Checks a filter without using it.
pub fn check(filter: &str) -> Result<(), Error> {
    parse(filter).map(drop)
}

/// Keeps the thread that writes lines; what waits is written when it goes.
#[must_use = "lines that wait are lost when it is dropped too early"]
pub struct Guard {
    _writer: Option<WorkerGuard>,
}

/// Sets up logging for the whole process.
pub fn init(config: &Config) -> Result<Guard, Error> {
    let spans = match &config.spans {
        Some(path) => Some(
            Exporter::open(path).map_err(|error| Error::new(Kind::Spans(path.clone(), error)))?,
        ),
        None => None,
    };
    let (writer, guard) = match config.output {
        Output::Stderr => (BoxMakeWriter::new(io::stderr), None),
        Output::Stdout => {
            let builder = NonBlockingBuilder::default().buffered_lines_limit(QUEUE);
            let (writer, guard) = builder.lossy(true).finish(io::stdout());
            (BoxMakeWriter::new(writer), Some(guard))
        }
    };
    let base = tracing_subscriber::fmt::layer().with_writer(writer);
    let lines = match config.format {
        Format::Text => base.boxed(),
        Format::Json => base.json().flatten_event(true).boxed(),
    };
    // The filter stands on the lines only: hops are exported whatever is logged.
    Registry::default()
        .with(lines.with_filter(parse(&config.filter)?))
        .with(spans)
        .try_init()
        .map_err(|_| Error::new(Kind::Twice))?;
    Ok(Guard { _writer: guard })
}

fn parse(filter: &str) -> Result<EnvFilter, Error> {
    let text = if filter.is_empty() { "info" } else { filter };
    EnvFilter::builder()
        .parse(text)
        .map_err(|error| Error::new(Kind::Filter(text.to_owned(), error)))
}
