//! A soak: the daemon as separate processes on loopback, faults put in from outside by a
//! seeded plan, and the promises judged by what callers, upstreams and the operator saw.
//!
//! | module | job |
//! |---|---|
//! | [`arguments`] | the command line |
//! | [`plan`] | which faults, and when |
//! | [`fleet`], [`replicas`], [`process`] | processes, their settings, signals and disks |
//! | [`proxy`] | links that can be harmed |
//! | [`upstream`], [`caller`], [`operator`], [`http`] | who uses the system |
//! | [`ending`] | how upstreams frame and end their answers |
//! | [`history`] | what they saw |
//! | [`logs`] | what the processes say of faults in themselves |
//! | [`check`] | the promises |
//! | [`world`] | what the tasks of a run share |
//!
//! Links between processes of the system itself (configuration, loads) are not proxied: a
//! process announces the address that it listens on. They fail with the processes at their
//! ends, by signals.

pub mod arguments;
pub mod caller;
pub mod check;
pub mod ending;
pub mod fleet;
pub mod history;
pub mod http;
pub mod logs;
pub mod operator;
pub mod plan;
pub mod process;
pub mod proxy;
pub mod replicas;
pub mod upstream;
pub mod world;

use std::{
    cell::Cell, collections::BTreeMap, fmt, fs, io, path::PathBuf, process::ExitCode, rc::Rc,
    time::Duration,
};

use futures::future::join_all;
use gumdrop::Options;
use tokio::{
    signal::{
        ctrl_c,
        unix::{SignalKind, signal},
    },
    task::{LocalSet, spawn_local},
    time::{Instant, sleep, timeout, timeout_at},
};

use crate::retries::Worst;

use self::{
    arguments::{Arguments, Setup},
    caller::Caller,
    check::{BOUNDS, Finding, retries::worst},
    fleet::Fleet,
    history::{History, Kind, Outcome},
    operator::Operator,
    plan::{Act, Fault, failing, named, replacement},
    world::World,
};

/// Keys at the start; each revocation takes one.
const KEYS: usize = 40;
/// Callers of a greedy organisation.
const GREEDY: usize = 8;
/// How long only usual callers send, before those whose prompts crash upstreams.
const USUAL: Duration = Duration::from_secs(4);
/// Between two readings of the configuration.
const READING: Duration = Duration::from_millis(700);
/// An evacuation lasts so many times as long as other faults: hosts have some time to act on
/// it before it is judged.
const EVACUATED: u64 = 3;
/// After the recovery, how long callers go on.
const AFTERWARDS: Duration = Duration::from_secs(3);
/// After the last caller, until memory must be back: what may outlive its use, and one more
/// order that gives it back.
const QUIET: Duration = Duration::from_secs(5);
/// How long faults, and changes that were sent meanwhile, may take once all have begun.
const LAST: Duration = Duration::from_secs(25);
/// How long the first configuration may take.
const START: Duration = Duration::from_secs(20);
/// Exit status for arguments that can't be used.
const BAD_ARGUMENTS: u8 = 2;

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The plan, without what was left out.
    pub faults: Vec<Fault>,
    /// What was seen.
    pub history: History,
    /// The windows with the most retries, of those allowed; one of each service.
    pub retries: Vec<(&'static str, Worst)>,
    /// Promises that were not kept.
    pub findings: Vec<Finding>,
    /// Where the logs are, if there are findings.
    pub logs: Option<PathBuf>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
        for request in &self.history.requests {
            let kind = match request.kind {
                Kind::Version(_) => "version".to_owned(),
                kind => format!("{kind:?}").to_lowercase(),
            };
            let outcome = match request.outcome {
                Outcome::Status(status) => status.to_string(),
                outcome => format!("{outcome:?}").to_lowercase(),
            };
            *outcomes.entry(format!("{kind} {outcome}")).or_default() += 1;
        }
        let outcomes: Vec<String> = outcomes.iter().map(|(k, n)| format!("{k}: {n}")).collect();
        writeln!(
            f,
            "{} faults, {} requests, {} arrivals",
            self.faults.len(),
            self.history.requests.len(),
            self.history.arrivals.len()
        )?;
        writeln!(f, "{}", outcomes.join(", "))?;
        if let Some(seen) = check::crashes::Seen::of(&self.history, &BOUNDS) {
            writeln!(f, "{seen}")?;
        }
        for (service, worst) in &self.retries {
            writeln!(f, "{service}: {worst}")?;
        }
        for finding in &self.findings {
            writeln!(f, "FOUND {}: {}", finding.check, finding.text)?;
        }
        if let Some(logs) = &self.logs {
            writeln!(f, "logs: {}", logs.display())?;
        }
        write!(f, "{} findings", self.findings.len())
    }
}

/// Runs the program: 0 if all promises were kept, 1 if not or if the run failed, 2 if the
/// arguments can't be used. They don't include the program's name.
pub fn main(arguments: &[String]) -> ExitCode {
    let parsed = Arguments::parse_args_default(arguments).map_err(|error| error.to_string());
    let parsed = parsed.and_then(|arguments| match arguments.help {
        true => Ok((arguments, None)),
        false => arguments.options().map(|setup| (arguments, Some(setup))),
    });
    let (arguments, setup) = match parsed {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("soak: {error}");
            return ExitCode::from(BAD_ARGUMENTS);
        }
    };
    let Some(mut setup) = setup else {
        println!("Usage: soak [OPTIONS]\n\n{}", Arguments::usage());
        return ExitCode::SUCCESS;
    };
    let mut failed = false;
    for seed in arguments.seed..arguments.seed + arguments.seeds {
        setup.seed = seed;
        println!("seed {seed}");
        for fault in setup.faults() {
            println!("{fault}");
        }
        if arguments.plan {
            continue;
        }
        match run(&setup) {
            Ok(report) => {
                println!("seed {seed}: {report}");
                let is_red = !report.findings.is_empty();
                failed |= is_red;
                if is_red && arguments.shrink {
                    shrink(&setup, &report.findings);
                }
            }
            Err(error) => {
                eprintln!("soak: seed {seed}: {error}");
                failed = true;
                if error.kind() == io::ErrorKind::Interrupted {
                    break;
                }
            }
        }
    }
    ExitCode::from(u8::from(failed))
}

/// Leaves out one fault after the other as long as one of the same checks fails.
fn shrink(setup: &Setup, findings: &[Finding]) {
    let mut setup = setup.clone();
    for fault in setup.faults() {
        let mut smaller = setup.clone();
        smaller.without.push(fault.number);
        let still = run(&smaller).is_ok_and(|report| {
            let mut found = report.findings.iter();
            found.any(|finding| findings.iter().any(|other| other.check == finding.check))
        });
        println!(
            "without {}: {}",
            fault.number,
            if still { "still red" } else { "green" }
        );
        if still {
            setup = smaller;
        }
    }
    let numbers: Vec<String> = setup.without.iter().map(usize::to_string).collect();
    println!(
        "smallest: --seed {} --without {}",
        setup.seed,
        numbers.join(",")
    );
}

impl Setup {
    /// The plan, without what is left out.
    pub fn faults(&self) -> Vec<Fault> {
        let millis = self.seconds * 1_000;
        let mut faults = plan::draw(self.seed, millis, self.size, self.planned);
        if self.replace {
            replacement::draw(self.seed, millis, self.size, &mut faults);
        }
        if self.orders {
            plan::draw_orders(self.seed, millis, self.size, &mut faults);
        }
        if self.load {
            plan::draw_load(self.seed, millis, self.size, &mut faults);
        }
        if self.aim {
            plan::draw_aims(self.seed, millis, self.size, &mut faults);
        }
        if self.retries {
            failing::draw(self.seed, millis, self.size, &mut faults);
        }
        if self.named {
            named::draw(self.seed, millis, self.size, &mut faults);
        }
        if self.pauses {
            plan::draw_pauses(self.seed, millis, self.size, &mut faults);
        }
        faults.retain(|fault| !self.without.contains(&fault.number));
        faults
    }
}

/// Runs one plan to its end.
///
/// # Errors
///
/// If the processes can't be started, or the first configuration isn't taken.
pub fn run(setup: &Setup) -> io::Result<Report> {
    let folder = tempfile::tempdir()?;
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build()?;
    let faults = setup.faults();
    let world = World::new(setup);
    let played = async {
        tokio::select! {
            played = play(&world, setup, &faults, folder.path()) => played,
            interrupted = interrupted() => interrupted,
        }
    };
    let played = LocalSet::new().block_on(&runtime, played);
    drop(runtime);
    played?;
    let mut history = world.history.take();
    history.faulty_lines = logs::faults(folder.path())?;
    let bounds = setup.bounds();
    let retries = worst(&history, &bounds);
    let findings = check::all(&history, &bounds);
    let logs = match findings.is_empty() {
        true => None,
        false => Some(keep(setup, folder.path())?),
    };
    Ok(Report {
        faults,
        history,
        retries,
        findings,
        logs,
    })
}

/// Waits until this program is told to stop. The processes that it has started end with the
/// run, which they would not if it were ended by the signal.
async fn interrupted() -> io::Result<()> {
    let mut terminated = signal(SignalKind::terminate())?;
    tokio::select! {
        told = ctrl_c() => told?,
        _ = terminated.recv() => {}
    }
    Err(io::ErrorKind::Interrupted.into())
}

/// Copies logs and settings to where they stay.
fn keep(setup: &Setup, folder: &std::path::Path) -> io::Result<PathBuf> {
    let kept = setup.keep.join(format!("seed-{}", setup.seed));
    fs::create_dir_all(&kept)?;
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.metadata()?.is_file() {
            fs::copy(entry.path(), kept.join(entry.file_name()))?;
        }
    }
    Ok(kept)
}

async fn play(
    world: &Rc<World>,
    setup: &Setup,
    faults: &[Fault],
    folder: &std::path::Path,
) -> io::Result<()> {
    let fleet = Rc::new(Fleet::start(world, &setup.program, folder).await?);
    let operator = Rc::new(Operator::new(world, fleet.control.clone()));
    let keys: Vec<String> = (0..KEYS)
        .map(|n| format!("key-{}-{n}", setup.seed))
        .collect();
    let first = operator.publish(keys.clone());
    if timeout(START, first).await.is_err() {
        return Err(io::Error::other("the first configuration was not taken"));
    }
    fleet.founded()?;
    world.serving.set(true);
    for host in 0..fleet.hosts.len() {
        for place in 0..setup.callers {
            let caller = Caller {
                world: Rc::clone(world),
                host,
                hosts: fleet.places(),
                keys: keys.clone(),
                leads: host == 0 && place == 0,
                crashes: None,
                greedy: None,
                opened: Cell::new(host),
            };
            spawn_local(caller.run());
        }
    }
    if setup.crashing {
        crash(world, &fleet, keys.clone(), (Kind::Crash, 0));
    }
    if setup.parts {
        spawn_local(crash_later(
            Rc::clone(world),
            Rc::clone(&fleet),
            keys.clone(),
        ));
    }
    if setup.crashing || setup.parts {
        spawn_local(replace_crashed(Rc::clone(&fleet), setup.parts));
    }
    let tended = Rc::clone(&fleet);
    spawn_local(async move { tended.tend().await });
    let balanced = Rc::clone(&fleet);
    spawn_local(async move { balanced.balance().await });
    spawn_local(read(Rc::clone(world), Rc::clone(&operator)));
    disturb(world, &fleet, &operator, faults, keys).await?;
    recover(world, &fleet, &operator).await;
    Ok(())
}

/// Adds a caller of a host whose requests crash upstreams.
fn crash(world: &Rc<World>, fleet: &Fleet, keys: Vec<String>, (kind, host): (Kind, usize)) {
    let caller = Caller {
        world: Rc::clone(world),
        host,
        hosts: fleet.places(),
        keys,
        leads: false,
        crashes: Some(kind),
        greedy: None,
        opened: Cell::new(host),
    };
    spawn_local(caller.run());
}

/// Adds a caller of each host whose prompts have a part that crashes upstreams, once usual
/// ones have been served for a while.
async fn crash_later(world: Rc<World>, fleet: Rc<Fleet>, keys: Vec<String>) {
    sleep(USUAL).await;
    for host in 0..fleet.hosts.len() {
        crash(&world, &fleet, keys.clone(), (Kind::Part, host));
    }
}

/// Puts others in the place of upstreams that a request has crashed: at once, or `late`,
/// after some seconds.
async fn replace_crashed(fleet: Rc<Fleet>, late: bool) {
    if let Err(error) = fleet.replace_crashed(late).await {
        eprintln!("soak: no upstream in the place of a crashed one: {error}");
    }
}

/// One organisation's callers send to a host as fast as they can, for so many milliseconds.
async fn greed(world: &Rc<World>, fleet: &Fleet, host: usize, keys: Vec<String>, length: u64) {
    // The last one is never taken away.
    let Some(key) = keys.last() else { return };
    let until = world.now() + length;
    let callers = (0..GREEDY).map(|_| Caller {
        world: Rc::clone(world),
        host,
        hosts: fleet.places(),
        keys: vec![key.clone()],
        leads: false,
        crashes: None,
        greedy: Some(until),
        opened: Cell::new(host),
    });
    join_all(callers.map(Caller::run)).await;
}

async fn read(world: Rc<World>, operator: Rc<Operator>) {
    while !world.over.get() {
        sleep(READING).await;
        operator.read().await;
    }
}

/// Puts the faults in, overlapping as the plan says, until all of them are over.
async fn disturb(
    world: &Rc<World>,
    fleet: &Rc<Fleet>,
    operator: &Rc<Operator>,
    faults: &[Fault],
    mut keys: Vec<String>,
) -> io::Result<()> {
    let start = world.now();
    let mut tasks = Vec::new();
    for fault in faults {
        let wait = (start + fault.at).saturating_sub(world.now());
        sleep(Duration::from_millis(wait)).await;
        if fault.act == Act::Revoke && keys.len() > 1 {
            keys.remove(0);
        }
        let (world, fleet, operator) = (Rc::clone(world), Rc::clone(fleet), Rc::clone(operator));
        let (fault, keys) = (*fault, keys.clone());
        tasks.push(spawn_local(async move {
            let at = world.now();
            let done = match fault.act {
                Act::Publish | Act::Revoke => {
                    operator.publish(keys).await;
                    Ok(())
                }
                Act::Storm(count) => {
                    operator.storm(count).await;
                    Ok(())
                }
                Act::Greedy(host) => {
                    greed(&world, &fleet, host, keys, fault.length).await;
                    Ok(())
                }
                Act::Evacuate(domain) => {
                    let span = Duration::from_millis(fault.length * EVACUATED);
                    operator.evacuate(domain, span).await;
                    Ok(())
                }
                _ => fleet.act(&fault).await,
            };
            let length = world.now() - at;
            let done_fault = Fault {
                at,
                length,
                ..fault
            };
            world.history.borrow_mut().faults.push(done_fault);
            done
        }));
    }
    // A change that nobody takes must not keep the run from its end.
    let last = Instant::now() + LAST;
    for task in tasks {
        if let Ok(done) = timeout_at(last, task).await {
            done.map_err(io::Error::other)??;
        }
    }
    fleet.heal()?;
    world.history.borrow_mut().healed = world.now();
    world.quiet.set(true);
    Ok(())
}

/// Goes on without faults until everything must be served again and memory must be back.
async fn recover(world: &Rc<World>, fleet: &Fleet, operator: &Operator) {
    sleep(Duration::from_millis(BOUNDS.recovery) + AFTERWARDS).await;
    operator.read().await;
    world.over.set(true);
    sleep(QUIET).await;
    let held = fleet.held();
    world.history.borrow_mut().held = held;
    fleet.end().await;
}
