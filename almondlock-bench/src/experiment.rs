//! Runs of one or more systems under the same requests.
//!
//! All systems of a run, its arms, get the same requests at the same moments,
//! side by side, so that what else the machine does at the time falls on each of
//! them alike. Ratios are taken within a run, and then their median over runs.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use almondlock_standin::engine;
use ntex::rt::{DefaultRuntime, System};

use crate::{
    drive::Drive,
    fleet::Fleet,
    record::Record,
    retries::{self, Bound, Worst},
    router::{Policy, Router},
    send::Manner,
    workload::{self, LONG_FROM, Request},
};

/// Real time that a system gets to register the engines announced to it.
const REGISTRATION: Duration = Duration::from_secs(6);

/// Where the system of an arm comes from.
#[derive(Clone, Debug)]
pub enum Source {
    /// It runs already, at these entry hosts.
    Running(Vec<SocketAddr>),
    /// Bare engines, started for each pass, with a baseline router before them.
    Embedded {
        /// How the router chooses.
        policy: Policy,
        /// How many engines.
        engines: usize,
        /// What they are like.
        config: Box<engine::Config>,
    },
}

/// One of the systems that are compared.
#[derive(Clone, Debug)]
pub struct Arm {
    /// Its name in reports.
    pub name: String,
    /// Where it comes from.
    pub source: Source,
}

/// Which requests are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pass {
    /// All of them.
    All,
    /// All but the long ones, at the same moments.
    WithoutLong,
}

impl Pass {
    /// The name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Pass::All => "all",
            Pass::WithoutLong => "without long",
        }
    }

    fn takes(self, request: &Request) -> bool {
        self == Pass::All || request.prompt < LONG_FROM
    }
}

/// What is to be done.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The systems.
    pub arms: Vec<Arm>,
    /// The requests. Each run adds one to the seed.
    pub workload: workload::Config,
    /// Who sends, and how.
    pub manner: Manner,
    /// Real time that answers get after the last request was sent.
    pub drain: Duration,
    /// How many runs.
    pub runs: u64,
    /// Whether each run is done again without long prompts.
    pub slowdown: bool,
    /// Engines for the running systems, if they have none; one entry a system.
    pub announced: Vec<Announced>,
    /// What announced engines may receive again.
    pub bound: Option<Bound>,
}

/// Engines that announce themselves to sidecars of a running system.
#[derive(Clone, Debug)]
pub struct Announced {
    /// How many.
    pub engines: usize,
    /// What they are like.
    pub config: engine::Config,
    /// How many of them fail, if the configuration says that engines do.
    pub failing: usize,
    /// The sidecars' addresses for announcements, taken in turn.
    pub sidecars: Vec<SocketAddr>,
}

/// What one pass of one run measured of one arm.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Index of the arm.
    pub arm: usize,
    /// Number of the run.
    pub run: u64,
    /// Which requests were sent.
    pub pass: Pass,
    /// The figures.
    pub record: Record,
    /// The window with the most retries that announced engines received, of those allowed.
    pub retries: Option<Worst>,
}

impl Plan {
    /// Carries it out, calling `progress` before each pass.
    pub fn run<F>(&self, mut progress: F) -> Result<Vec<Measured>, String>
    where
        F: FnMut(u64, Pass, usize),
    {
        let _engines = self.announce()?;
        let mut measured = Vec::new();
        for run in 0..self.runs {
            for pass in self.passes() {
                let mut config = self.workload.clone();
                config.seed += run;
                config.salt = config.salt.wrapping_add(2 * run + *pass as u64);
                let all = workload::plan(&config);
                let taken = all.into_iter().filter(|request| pass.takes(request));
                let requests: Arc<[Request]> = taken.collect();
                progress(run, *pass, requests.len());
                self.announced.iter().for_each(|a| a.config.log.clear());
                let start = Instant::now();
                let records = self.pass(&requests, config.seed)?;
                let retries = self.worst_retries(&requests, start);
                for (arm, record) in records.into_iter().enumerate() {
                    measured.push(Measured {
                        arm,
                        run,
                        pass: *pass,
                        record,
                        retries,
                    });
                }
            }
        }
        Ok(measured)
    }

    /// Starts the engines of running systems and gives these time to register them.
    fn announce(&self) -> Result<Vec<Fleet>, String> {
        let start =
            |a: &Announced| Fleet::start_failing(a.engines, &a.config, &a.sidecars, a.failing);
        let fleets = self.announced.iter().map(start).collect();
        if !self.announced.is_empty() {
            thread::sleep(REGISTRATION);
        }
        fleets
    }

    /// Returns the worst window of a pass. Each system gets all requests and has engines of
    /// its own.
    fn worst_retries(&self, requests: &[Request], start: Instant) -> Option<Worst> {
        let bound = self.bound?;
        let millis = |span: Duration| u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        let due = |request: &Request| millis(request.at.div_f64(self.manner.factor));
        let asked: Vec<u64> = requests.iter().map(due).collect();
        let worst = self.announced.iter().filter_map(|announced| {
            let again = announced.config.log.repeats().into_iter();
            let again = again.map(|at| millis(at.saturating_duration_since(start)));
            retries::worst(asked.clone(), again.collect(), &bound)
        });
        worst.max_by_key(|worst| worst.made.saturating_sub(worst.allowed))
    }

    fn passes(&self) -> &'static [Pass] {
        if self.slowdown {
            &[Pass::All, Pass::WithoutLong]
        } else {
            &[Pass::All]
        }
    }

    /// Runs every arm on a thread of its own.
    fn pass(&self, requests: &Arc<[Request]>, seed: u64) -> Result<Vec<Record>, String> {
        thread::scope(|scope| {
            let spawn = |arm: &Arm| {
                let (arm, requests) = (arm.clone(), requests.clone());
                let (manner, drain) = (self.manner.clone(), self.drain);
                scope.spawn(move || drive(&arm, requests, manner, drain, seed))
            };
            let threads: Vec<_> = self.arms.iter().map(spawn).collect();
            let join = |thread: thread::ScopedJoinHandle<'_, Result<Record, String>>| {
                let died = |_| Err("an arm's thread died".to_owned());
                thread.join().unwrap_or_else(died)
            };
            threads.into_iter().map(join).collect()
        })
    }
}

fn drive(
    arm: &Arm,
    requests: Arc<[Request]>,
    mut manner: Manner,
    drain: Duration,
    seed: u64,
) -> Result<Record, String> {
    let (policy, targets, fleet) = match &arm.source {
        Source::Running(targets) => (Policy::Round, targets.clone(), None),
        Source::Embedded {
            policy,
            engines,
            config,
        } => {
            let fleet = Fleet::start(*engines, config, &[])?;
            manner.priority = config.priorities;
            (*policy, fleet.addresses().to_vec(), Some(fleet))
        }
    };
    let router = Router::new(policy, targets, seed);
    let drive = Drive {
        router,
        manner,
        drain,
    };
    let system = System::build().disable_signals().build(DefaultRuntime);
    let record = system.block_on(drive.run(requests));
    drop(fleet);
    Ok(record)
}
