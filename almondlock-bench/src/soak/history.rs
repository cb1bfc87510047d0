//! What callers, upstreams and the operator saw in a run. Times are milliseconds since
//! traffic started.

use super::plan::Fault;

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A plain call that may be repeated.
    Safe,
    /// A plain call that may run once.
    Unsafe,
    /// A stream with a short prompt.
    Short,
    /// A stream whose prompt takes several engines.
    Long,
    /// A call that crashes each upstream that begins to run it; always the same one.
    Crash,
    /// A stream whose prompt has a part that crashes each upstream which begins to write an
    /// answer on it; no two of them are alike.
    Part,
    /// A call that only one version of the configuration allows.
    Version(u64),
}

impl Kind {
    /// Whether it crashes upstreams.
    pub const fn is_crashing(self) -> bool {
        matches!(self, Kind::Crash | Kind::Part)
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer with this status.
    Status(u16),
    /// A whole success that isn't the right answer.
    Wrong,
    /// The connection ended before the answer was whole.
    Broken,
    /// Nothing came in time.
    Silent,
    /// It couldn't be sent.
    Unsent,
}

/// A request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// The entry host.
    pub host: usize,
    /// Counts the host's starts.
    pub life: u32,
    /// What it asked for.
    pub kind: Kind,
    /// Its key.
    pub key: String,
    /// When all of it was sent.
    pub sent: u64,
    /// When its outcome was known.
    pub ended: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// The code that the host gave, if it refused the request.
    pub code: Option<u16>,
}

/// A request, as an upstream saw it.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: String,
    /// The upstream's number; each life has its own.
    pub upstream: usize,
    /// The service.
    pub service: &'static str,
    /// When it came.
    pub at: u64,
    /// It was run, not rejected.
    pub ran: bool,
    /// The failure domain in which it came.
    pub domain: usize,
    /// The upstream was cold.
    pub cold: bool,
    /// It goes on with a stream that was begun elsewhere.
    pub resumes: bool,
    /// When its answer began, and the limit that this named.
    pub answered: Option<(u64, Option<u32>)>,
    /// It was turned away, and its host asked for a pause until then.
    pub pause: Option<u64>,
    /// Its answer said that the upstream leaves.
    pub leaving: bool,
    /// The upstream broke its answer off, or died before its end.
    pub is_broken: bool,
    /// When it crashed the upstream.
    pub crashed: Option<u64>,
}

/// A configuration that was sent.
#[derive(Clone, Debug)]
pub struct Publication {
    /// Its version.
    pub version: u64,
    /// When it was first sent.
    pub sent: u64,
    /// When it was acknowledged.
    pub acknowledged: Option<u64>,
    /// The keys that it has.
    pub keys: Vec<String>,
}

/// A failure domain that was evacuated.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    /// The domain.
    pub domain: usize,
    /// When the order was acknowledged.
    pub acknowledged: u64,
    /// When its withdrawal was first sent.
    pub withdrawn: Option<u64>,
}

/// A configuration that was read back.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    /// When it was asked for.
    pub sent: u64,
    /// Its version.
    pub version: u64,
}

/// What a process takes.
#[derive(Clone, Debug)]
pub struct Footprint {
    /// Its name.
    pub process: String,
    /// Resident memory, in kilobytes.
    pub memory_kb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

/// Everything that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// By callers.
    pub requests: Vec<Request>,
    /// By upstreams.
    pub arrivals: Vec<Arrival>,
    /// By the operator.
    pub publications: Vec<Publication>,
    /// By the operator.
    pub reads: Vec<Read>,
    /// By the operator.
    pub evacuations: Vec<Evacuation>,
    /// The largest of each process.
    pub footprints: Vec<Footprint>,
    /// Tokens of memory still set aside on engines at the end.
    pub held: u64,
    /// Processes that did not stop in time at the end.
    pub unstopped: Vec<String>,
    /// What was done, as far as it was.
    pub faults: Vec<Fault>,
    /// Lines of the processes' logs that tell of a panic, or of a task that ended.
    pub faulty_lines: Vec<String>,
    /// When the last fault was over.
    pub healed: u64,
}
