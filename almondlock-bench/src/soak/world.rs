//! What the parts of a run share.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Instant,
};

use almondlock_gateway::dialect::{Dialect as _, Names};
use almondlock_platform::header::Dialect;
use rand::{SeedableRng, rngs::SmallRng};

use super::{
    arguments::Setup,
    history::{History, Publication},
    plan::Size,
};

/// The host that all routes are on.
pub const HOST: &str = "soak.example";
/// The plain service.
pub const PLAIN: &str = "plain";
/// The engines' service.
pub const ENGINES: &str = "engines";

/// A fault of the stand-ins' own, which a check has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Some calls that may run once are run twice.
    Twice,
    /// Some calls are run and called not run.
    RunRefused,
    /// Some answers belong to another request.
    Foreign,
    /// Engines keep memory that was given back.
    Leak,
    /// Upstreams count by a hundredth of the limit that they name.
    Hundredth,
    /// Upstreams tell another failure domain than theirs.
    Elsewhere,
    /// Cold upstreams don't say so.
    Warm,
    /// Upstreams want a pause and name none.
    Curt,
    /// Upstreams leave and don't say so.
    Quiet,
    /// Some streams end before their last event, framed as complete.
    Short,
}

impl Plant {
    /// By its name on the command line.
    pub fn parse(name: &str) -> Option<Plant> {
        Some(match name {
            "twice" => Plant::Twice,
            "run-refused" => Plant::RunRefused,
            "foreign" => Plant::Foreign,
            "leak" => Plant::Leak,
            "hundredth" => Plant::Hundredth,
            "elsewhere" => Plant::Elsewhere,
            "warm" => Plant::Warm,
            "curt" => Plant::Curt,
            "quiet" => Plant::Quiet,
            "short" => Plant::Short,
            _ => return None,
        })
    }
}

/// Shared by all tasks of a run, which run on one thread.
pub struct World {
    start: Instant,
    /// How many there are of what.
    pub size: Size,
    /// What was seen so far.
    pub history: RefCell<History>,
    /// The platform's header names.
    pub names: Names,
    /// For what the plan doesn't decide.
    pub rng: RefCell<SmallRng>,
    /// Torn records lose bytes that were synced.
    pub cuts_synced: bool,
    /// Entry hosts decide by slots, shares and observed pace.
    pub load: bool,
    /// What all entry hosts together may retry: for each request, and in any case.
    pub retries: (f64, usize),
    /// Where the part that crashes upstreams stands in prompts that have it.
    pub place: usize,
    /// The planted fault.
    pub plant: Option<Plant>,
    /// Callers have begun: what starts from now on is cold.
    pub serving: Cell<bool>,
    /// Keys that were taken away are no longer tried, nor are old versions.
    pub quiet: Cell<bool>,
    /// The entry host that all new connections go to.
    pub aimed: Cell<Option<usize>>,
    /// No more requests are begun.
    pub over: Cell<bool>,
    /// Numbers for upstreams and requests.
    next: Cell<u64>,
}

impl World {
    /// A run that starts now.
    pub fn new(setup: &Setup) -> Rc<World> {
        let Setup { seed, size, .. } = *setup;
        Rc::new(World {
            start: Instant::now(),
            size,
            history: RefCell::default(),
            names: Dialect::new().names().clone(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            cuts_synced: setup.cuts_synced,
            load: setup.load,
            retries: setup.bounds().retries,
            place: usize::try_from(seed % SHARED.len() as u64).unwrap_or(0),
            plant: setup.plant,
            serving: Cell::new(false),
            quiet: Cell::new(false),
            aimed: Cell::new(None),
            over: Cell::new(false),
            next: Cell::new(1),
        })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// A number that nothing else has.
    pub fn number(&self) -> u64 {
        let next = self.next.get();
        self.next.set(next + 1);
        next
    }

    /// The newest configuration that was acknowledged.
    pub fn acknowledged(&self) -> Option<Publication> {
        let history = self.history.borrow();
        let acknowledged = history.publications.iter();
        let acknowledged = acknowledged.filter(|p| p.acknowledged.is_some());
        acknowledged.max_by_key(|p| p.version).cloned()
    }
}

/// The right answer to a plain request.
pub fn answer(id: &str) -> String {
    blake3::hash(id.as_bytes()).to_hex().to_string()
}

/// The right events of a stream: from, to, each with its number.
pub fn events(id: &str, from: u64, to: u64) -> String {
    (from..=to)
        .map(|n| format!("id: {n}\ndata: {id}-{n}\n\n"))
        .collect()
}

/// The body of a request that crashes upstreams.
pub const CRASH_BODY: &str = "crash";

/// Events of each stream.
pub const EVENTS: u64 = 10;

/// Parts of prompts that streams share: all of them the first two, half of them the third.
pub const SHARED: [&str; 3] = ["5e57e3", "3a40a1", "901de"];

/// The part that crashes upstreams, in the place of one of these.
pub const CRASHING: &str = "bad0bad";

/// The list of a prompt's parts, of which the last is its own.
pub fn parts(shared: &[&str], id: &str) -> String {
    let own = &answer(id)[..12];
    let shared = shared.iter().map(|part| format!("{part}:100,"));
    shared.collect::<String>() + own + ":20"
}

/// Whether a prompt has the part that crashes upstreams.
pub fn crashes(list: &str) -> bool {
    let (shared, _own) = list.rsplit_once(',').unwrap_or_default();
    let mut ids = shared.split(',').filter_map(|entry| entry.split_once(':'));
    ids.any(|(id, _)| id == CRASHING)
}
