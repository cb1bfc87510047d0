//! The stand-in engine: its settings, its life and the handle on it.
//!
//! The engine runs on the ntex runtime of the caller (`#[ntex::main]`,
//! `#[ntex::test]`), as a few local tasks. Its clock is the runtime's, run
//! faster by [`Config::factor`]; a step that ends late is made up for by the
//! next ones, so that the mean speed is right also where the runtime's timer is
//! coarser than a step.
//!
//! ```
//! use almondlock_standin::engine::{Config, Engine};
//!
//! #[ntex::main]
//! async fn main() -> std::io::Result<()> {
//!     let handle = Engine::start(Config { memory: 50_000, ..Config::default() })?;
//!     println!("serving at http://{}", handle.address());
//!     handle.kill();
//!     Ok(())
//! }
//! ```

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    io,
    net::{Ipv4Addr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

use crate::{
    answer::Key,
    batch::{Batch, Step},
    failing::{Failing, Log},
    framing::Framing,
    listener::Listener,
    order::Loaded,
    report::Report,
};

pub use crate::report::Load;

/// A prompt with this text kills the engine when its prefill starts.
pub const CRASH_MARKER: &str = "CRASH-ENGINE";

/// A prompt with this text kills the engine once it has written two tokens of an answer.
pub const WRITING_CRASH_MARKER: &str = "CRASH-WRITER";

/// A prompt with this text gets one token and then nothing more.
pub const STALL_MARKER: &str = "STALL-ENGINE";

/// What an engine is like. Durations are those of the engine's own clock.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where to listen. Port 0 lets the system choose.
    pub address: SocketAddr,
    /// The model that is loaded at the start, and its version.
    pub model: String,
    /// That model's version.
    pub version: String,
    /// Memory for KV cache, in tokens.
    pub memory: u64,
    /// Prompt tokens prefilled in a second.
    pub prefill_rate: f64,
    /// Prompt tokens prefilled in one step at most.
    pub chunk: u64,
    /// How long a step lasts at least.
    pub step: Duration,
    /// What each decoding stream adds to a step.
    pub stream: Duration,
    /// Requests that run together at most.
    pub batch: usize,
    /// How much faster than real time the engine's clock runs.
    pub factor: f64,
    /// Whether orders with an old fencing number are refused.
    pub fenced: bool,
    /// Whether priorities are honoured.
    pub priorities: bool,
    /// How long a load order takes.
    pub load_time: Duration,
    /// Tokens of KV cache imported in a second.
    pub import_rate: f64,
    /// How old load reports are.
    pub report_lag: Duration,
    /// How late cache events are told.
    pub cache_lag: Duration,
    /// The fraction of cache events that is never told.
    pub cache_gaps: f64,
    /// Seed of what is random: the gaps.
    pub seed: u64,
    /// How answers are framed, at first.
    pub framing: Framing,
    /// When it fails its requests, if it does.
    pub failing: Option<Failing>,
    /// Where it records what it receives.
    pub log: Log,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            model: "almond".to_owned(),
            version: "1".to_owned(),
            memory: 400_000,
            prefill_rate: 20_000.0,
            chunk: 2_048,
            step: Duration::from_millis(20),
            stream: Duration::from_micros(200),
            batch: 64,
            factor: 1.0,
            fenced: true,
            priorities: true,
            load_time: Duration::from_secs(10),
            import_rate: 400_000.0,
            report_lag: Duration::from_millis(500),
            cache_lag: Duration::from_millis(500),
            cache_gaps: 0.05,
            seed: 1,
            framing: Framing::Marked,
            failing: None,
            log: Log::default(),
        }
    }
}

/// What an engine has seen since its handle was made, over all its lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests read.
    pub arrived: u64,
    /// Requests whose prefill started.
    pub started: u64,
    /// Requests that came to their end.
    pub finished: u64,
    /// Requests cancelled by order or by a lost connection.
    pub cancelled: u64,
    /// Deaths by a marked prompt.
    pub crashes: u64,
    /// Orders taken.
    pub orders: u64,
}

/// The stand-in engine. See [`Engine::start`].
#[derive(Debug)]
pub struct Engine {
    pub(crate) config: Config,
    pub(crate) state: RefCell<State>,
    pub(crate) wake: Notify,
    pub(crate) counters: Cell<Counters>,
    runs: RefCell<HashMap<Key, u32>>,
    runs_by_id: RefCell<HashMap<String, u32>>,
    listener: RefCell<Option<Rc<Listener>>>,
    origin: Instant,
}

/// What dies with the engine's process.
#[derive(Debug)]
pub(crate) struct State {
    /// Counts the lives; a task of an earlier one must not touch this one.
    pub(crate) life: u64,
    pub(crate) batch: Batch,
    pub(crate) loaded: Loaded,
    pub(crate) report: Report,
    pub(crate) last_id: u64,
}

impl State {
    fn new(config: &Config, life: u64) -> State {
        let batch = Batch::new(config.clone());
        State {
            life,
            report: Report::new(config.report_lag, batch.load()),
            loaded: Loaded::new(&config.model, &config.version, config.fenced),
            batch,
            last_id: 0,
        }
    }
}

impl Engine {
    /// Binds and serves. Must be called on an ntex runtime.
    pub fn start(config: Config) -> io::Result<Handle> {
        let engine = Rc::new(Engine {
            state: RefCell::new(State::new(&config, 0)),
            wake: Notify::new(),
            counters: Cell::default(),
            runs: RefCell::default(),
            runs_by_id: RefCell::default(),
            listener: RefCell::default(),
            origin: Instant::now(),
            config,
        });
        let listener = Listener::start(engine.config.address, engine.clone())?;
        listener.set_framing(engine.config.framing);
        engine.listener.replace(Some(listener.clone()));
        ntex::rt::spawn(engine.clone().run());
        Ok(Handle { engine, listener })
    }

    /// The engine's own time.
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed().mul_f64(self.config.factor)
    }

    /// How long a span of the engine's time is in real time.
    pub(crate) fn real(&self, span: Duration) -> Duration {
        span.div_f64(self.config.factor.max(f64::MIN_POSITIVE))
    }

    pub(crate) fn count<F>(&self, change: F)
    where
        F: FnOnce(&mut Counters),
    {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    /// Samples the load for the reports, after any change.
    pub(crate) fn observe(&self, state: &mut State) {
        let load = state.batch.load();
        state.report.observe(self.now(), load);
    }

    pub(crate) fn port(&self) -> u16 {
        let listener = self.listener.borrow();
        listener.as_ref().map_or(0, |l| l.address().port())
    }

    async fn run(self: Rc<Self>) {
        let mut due = Instant::now();
        loop {
            let Some((life, step)) = self.plan() else {
                self.wake.notified().await;
                due = Instant::now();
                continue;
            };
            due += self.real(step.lasts);
            if due > Instant::now() {
                tokio::time::sleep_until(due).await;
            } else {
                tokio::task::yield_now().await;
            }
            let mut state = self.state.borrow_mut();
            if state.life == life {
                let ended = state.batch.apply(&step, self.now());
                self.count(|c| c.finished += ended);
                self.observe(&mut state);
            }
        }
    }

    fn plan(&self) -> Option<(u64, Step)> {
        let mut state = self.state.borrow_mut();
        let step = state.batch.plan(self.now())?;
        for id in &step.started {
            if let Some(sequence) = state.batch.find(id) {
                self.started(&sequence.key, id, sequence.first);
            }
        }
        if step.crashes {
            drop(state);
            self.count(|c| c.crashes += 1);
            self.die();
            return None;
        }
        Some((state.life, step))
    }

    fn started(&self, key: &Key, id: &str, first: u64) {
        self.count(|c| c.started += 1);
        // An answer taken up in its middle is the same run, continued.
        if first == 0 {
            *self.runs.borrow_mut().entry(*key).or_default() += 1;
            let mut by_id = self.runs_by_id.borrow_mut();
            *by_id.entry(id.to_owned()).or_default() += 1;
        }
    }

    /// Dies as a process does: connections first, so that no stream that ends
    /// for want of its engine can look as if it ended well.
    fn die(&self) {
        if let Some(listener) = &*self.listener.borrow() {
            listener.kill();
        }
        let mut state = self.state.borrow_mut();
        let life = state.life + 1;
        *state = State::new(&self.config, life);
    }
}

/// A hold on a running engine, and what it counted. Dropping it leaves the
/// engine as it is.
#[derive(Clone, Debug)]
pub struct Handle {
    engine: Rc<Engine>,
    listener: Rc<Listener>,
}

impl Handle {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Sets the framing of the answers on connections that are accepted from
    /// now on.
    pub fn set_framing(&self, framing: Framing) {
        self.listener.set_framing(framing);
    }

    /// Accepts no more connections; what runs goes on to its end.
    pub fn stop(&self) {
        self.listener.stop();
    }

    /// Dies at once: listener closed, connections dropped, memory gone.
    pub fn kill(&self) {
        self.engine.die();
    }

    /// Serves again at the same address, with empty memory.
    pub fn revive(&self) -> io::Result<()> {
        self.listener.clone().revive(self.engine.clone())
    }

    /// Whether it accepts connections: not stopped, killed or crashed.
    pub fn is_alive(&self) -> bool {
        self.listener.is_open()
    }

    /// What it has seen, over all its lives.
    pub fn seen(&self) -> Counters {
        self.engine.counters.get()
    }

    /// How often this prompt's prefill started, over all lives. An answer that
    /// was taken up in its middle isn't counted again.
    pub fn runs(&self, prompt: &str) -> u32 {
        let runs = self.engine.runs.borrow();
        runs.get(&Key::new(prompt)).copied().unwrap_or_default()
    }

    /// How often a request of this id started, over all lives.
    pub fn runs_of(&self, id: &str) -> u32 {
        let runs = self.engine.runs_by_id.borrow();
        runs.get(id).copied().unwrap_or_default()
    }

    /// The load at this moment, without the lag of the reports.
    pub fn load(&self) -> Load {
        self.engine.state.borrow().batch.load()
    }

    /// Memory that requests, exports, imports and segments have reserved now.
    pub fn reserved(&self) -> u64 {
        self.engine.state.borrow().batch.reserved()
    }

    /// Blocks in the prefix cache now.
    pub fn cached_blocks(&self) -> usize {
        self.engine.state.borrow().batch.cache.len()
    }
}
