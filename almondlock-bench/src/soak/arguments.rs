//! The command line.

use std::path::PathBuf;

use gumdrop::Options;

use super::{
    check::{BOUNDS, Bounds},
    plan::Size,
    world::Plant,
};

/// Retries of all entry hosts to a service in a window besides those of requests, where
/// they are few.
const FEW_RETRIES: usize = 6;

/// What can be asked for.
#[derive(Debug)]
#[derive(Options)]
pub struct Arguments {
    /// Prints the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What everything is drawn from.
    #[options(
        no_short,
        help = "what faults and callers are drawn from",
        meta = "N",
        default = "1"
    )]
    pub seed: u64,
    /// Runs one seed after the other.
    #[options(
        no_short,
        help = "so many seeds, one after the other",
        meta = "N",
        default = "1"
    )]
    pub seeds: u64,
    /// How long faults go on.
    #[options(
        no_short,
        help = "seconds with faults; some 20 follow without",
        meta = "N",
        default = "30"
    )]
    pub seconds: u64,
    /// Entry hosts.
    #[options(no_short, help = "entry hosts", meta = "N", default = "3")]
    pub hosts: usize,
    /// Replicas.
    #[options(no_short, help = "replicas, 3 or 5", meta = "N", default = "3")]
    pub replicas: usize,
    /// Upstreams.
    #[options(
        no_short,
        help = "upstreams; a third are plain services",
        meta = "N",
        default = "9"
    )]
    pub upstreams: usize,
    /// Callers of each host.
    #[options(
        no_short,
        help = "callers of each entry host",
        meta = "N",
        default = "4"
    )]
    pub callers: usize,
    /// No faults but planned work.
    #[options(no_short, help = "only planned work: stops, releases, limits, changes")]
    pub planned: bool,
    /// Evacuations, cold upstreams, and starts of everything.
    #[options(
        no_short,
        help = "also evacuations, upstreams that start again cold, kills of all processes"
    )]
    pub orders: bool,
    /// Replicas replaced at other addresses.
    #[options(
        no_short,
        help = "replicas replaced at other addresses, and disks lost after it, in place of other faults of replicas"
    )]
    pub replace: bool,
    /// Upstreams that ask for pauses.
    #[options(
        no_short,
        help = "also upstreams that turn requests away and ask for pauses"
    )]
    pub pauses: bool,
    /// Hard load.
    #[options(
        no_short,
        help = "also configurations in quick succession, slow upstreams, a greedy organisation"
    )]
    pub load: bool,
    /// A request that crashes upstreams.
    #[options(
        no_short,
        help = "one more caller sends a request that crashes each upstream"
    )]
    pub crashing: bool,
    /// A part of prompts that crashes upstreams.
    #[options(
        no_short,
        help = "at each host one more caller sends streams with a part that crashes each upstream"
    )]
    pub parts: bool,
    /// New connections go to one host.
    #[options(
        no_short,
        help = "also times in which all new connections go to one entry host"
    )]
    pub aim: bool,
    /// Upstreams fail while hosts are restarted.
    #[options(
        no_short,
        help = "also upstreams that refuse, fail or are silent while entry hosts are killed, stopped and suspended in series, and few retries besides those of requests"
    )]
    pub retries: bool,
    /// Upstreams name something while they start again.
    #[options(
        no_short,
        help = "also upstreams that name limits, pauses and that they leave while they start again and move to the other service, in series and together"
    )]
    pub named: bool,
    /// Records that were synced are cut.
    #[options(no_short, help = "in place of a torn record, cut one that was synced")]
    pub cut_synced: bool,
    /// Faults left out.
    #[options(
        no_short,
        help = "faults of the plan to leave out, by number",
        meta = "N,..."
    )]
    pub without: String,
    /// Leaves faults out of a failing plan.
    #[options(
        no_short,
        help = "after a failure, leave faults out as long as it still fails"
    )]
    pub shrink: bool,
    /// Prints the plan only.
    #[options(no_short, help = "print the plan and end")]
    pub plan: bool,
    /// The daemon.
    #[options(
        no_short,
        help = "the daemon's program; beside this one if not given",
        meta = "PATH"
    )]
    pub program: Option<PathBuf>,
    /// Where logs stay.
    #[options(
        no_short,
        help = "where the logs of failed runs stay",
        meta = "PATH",
        default = "target/soak"
    )]
    pub keep: PathBuf,
    /// A planted fault.
    #[options(
        no_short,
        help = "plant a fault: twice, run-refused, foreign, leak, hundredth, elsewhere, warm, curt, quiet, short",
        meta = "NAME"
    )]
    pub plant: Option<String>,
}

/// What is run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// What everything is drawn from.
    pub seed: u64,
    /// Seconds with faults.
    pub seconds: u64,
    /// How many there are of what.
    pub size: Size,
    /// Callers of each host.
    pub callers: usize,
    /// Only planned work.
    pub planned: bool,
    /// Also evacuations, upstreams that start again cold, and kills of all processes.
    pub orders: bool,
    /// Replicas are replaced at other addresses, in place of other faults of replicas.
    pub replace: bool,
    /// Also upstreams that ask for pauses.
    pub pauses: bool,
    /// Also configurations in quick succession, slow upstreams, and a greedy organisation.
    /// Entry hosts decide by slots, shares and observed pace.
    pub load: bool,
    /// One more caller sends a request that crashes upstreams.
    pub crashing: bool,
    /// At each host one more caller sends streams with a part that crashes upstreams.
    pub parts: bool,
    /// Also times in which all new connections go to one entry host.
    pub aim: bool,
    /// Also upstreams that refuse, fail or are silent, while entry hosts are killed, stopped
    /// and suspended in series. Few retries besides those of requests.
    pub retries: bool,
    /// Also upstreams that name limits, pauses and that they leave while they start again.
    pub named: bool,
    /// In place of a torn record, one that was synced is cut.
    pub cuts_synced: bool,
    /// Faults left out, by number.
    pub without: Vec<usize>,
    /// The daemon.
    pub program: PathBuf,
    /// Where logs stay.
    pub keep: PathBuf,
    /// The planted fault.
    pub plant: Option<Plant>,
}

impl Setup {
    /// What the run is judged by. Entry hosts get the same bound of retries by their settings.
    pub fn bounds(&self) -> Bounds {
        let slack = if self.retries {
            FEW_RETRIES
        } else {
            BOUNDS.retries.1
        };
        Bounds {
            retries: (BOUNDS.retries.0, slack),
            ..BOUNDS
        }
    }
}

impl Arguments {
    /// Checks the arguments.
    ///
    /// # Errors
    ///
    /// What is wrong with them, for people.
    pub fn options(&self) -> Result<Setup, String> {
        if !matches!(self.replicas, 3 | 5) {
            return Err(format!("--replicas {}: 3 or 5", self.replicas));
        }
        for (name, count, most) in [
            ("hosts", self.hosts, 100),
            ("upstreams", self.upstreams, 200),
            ("callers", self.callers, 50),
        ] {
            if !(1..=most).contains(&count) {
                return Err(format!("--{name} {count}: from 1 to {most}"));
            }
        }
        if !(5..=3_600).contains(&self.seconds) {
            return Err(format!("--seconds {}: from 5 to 3600", self.seconds));
        }
        let without = self.without.split(',').filter(|text| !text.is_empty());
        let without = without.map(|text| {
            let number = text.trim().parse();
            number.map_err(|_| format!("--without {text}: no number of a fault"))
        });
        let plant = self
            .plant
            .as_deref()
            .map(|name| Plant::parse(name).ok_or_else(|| format!("--plant {name}: unknown fault")));
        let plant = plant.transpose()?;
        Ok(Setup {
            seed: self.seed,
            seconds: self.seconds,
            size: Size {
                hosts: self.hosts,
                replicas: self.replicas,
                upstreams: self.upstreams,
            },
            callers: self.callers,
            planned: self.planned,
            orders: self.orders,
            replace: self.replace,
            pauses: self.pauses,
            load: self.load,
            crashing: self.crashing,
            parts: self.parts,
            aim: self.aim,
            retries: self.retries,
            named: self.named,
            cuts_synced: self.cut_synced,
            without: without.collect::<Result<_, _>>()?,
            program: self.program()?,
            keep: self.keep.clone(),
            plant,
        })
    }

    fn program(&self) -> Result<PathBuf, String> {
        let beside = || {
            let own = std::env::current_exe().ok()?;
            Some(own.with_file_name("almondlockd"))
        };
        let program = self.program.clone().or_else(beside).unwrap_or_default();
        match program.is_file() {
            true => Ok(program.canonicalize().unwrap_or(program)),
            false => Err(format!("--program {}: no such program", program.display())),
        }
    }
}
