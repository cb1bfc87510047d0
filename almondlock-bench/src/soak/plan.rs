//! What goes wrong in a run, and when: drawn from a seed, so that a run can be repeated.

pub mod failing;
pub mod named;
pub mod replacement;

use std::fmt;

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};

/// Milliseconds before the first fault: everything serves by then.
const CALM: u64 = 1_500;
/// Milliseconds between faults of two replicas.
const CATCH_UP: u64 = 5_000;
/// Milliseconds between two faults, at the most.
const GAP: u64 = 1_400;
/// Failure domains of upstreams.
pub const DOMAINS: usize = 3;
/// Milliseconds that a fault lasts.
const LENGTH: std::ops::Range<u64> = 300..3_500;

/// Milliseconds for which all new connections go to one host.
const AIMED: std::ops::Range<u64> = 6_000..8_000;

/// Milliseconds of a pause that an upstream asks for.
const PAUSE: std::ops::Range<u64> = 800..4_000;

/// How a link misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Bytes come late.
    Delay,
    /// Connections are reset, new ones too.
    Reset,
    /// Nothing passes, and nothing says so.
    Silence,
    /// Only one direction passes.
    OneWay,
    /// Bytes come a few at a time.
    Trickle,
    /// New connections are accepted and lead nowhere.
    HalfOpen,
}

/// What happens. Numbers are places in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// An entry host is killed, and started again.
    KillHost(usize),
    /// It stands still.
    FreezeHost(usize),
    /// It is told to stop, and started again once it has.
    StopHost(usize),
    /// A replica is killed, and started again.
    KillReplica(usize),
    /// It stands still.
    FreezeReplica(usize),
    /// It is told to stop, and started again.
    StopReplica(usize),
    /// It is killed and loses its disk.
    WipeReplica(usize),
    /// It is killed while it writes: its newest file ends with a part of a record.
    TearReplica(usize),
    /// All replicas are killed at once.
    KillReplicas,
    /// All replicas are killed at once, and this one loses its disk.
    WipeAmongKilled(usize),
    /// It is killed for good, and another one starts at another address.
    ReplaceReplica(usize),
    /// Another one starts at another address, and then it is told to stop for good.
    MoveReplica(usize),
    /// The link from callers to an entry host.
    Callers(usize, Link),
    /// The links from entry hosts to an upstream.
    Upstream(usize, Link),
    /// The link from upstreams and the operator to a replica.
    Control(usize, Link),
    /// An upstream dies, and another one comes in its place.
    Crash(usize),
    /// An upstream leaves as planned, and another one comes in its place.
    Release(usize),
    /// An upstream names a limit, in thousandths of requests a second.
    Limit(usize, u32),
    /// An upstream names a limit that can't be read.
    Garble(usize),
    /// An upstream turns away what it gets and asks each host for a pause of so many
    /// milliseconds.
    Pause(usize, u64),
    /// An upstream turns away all that it gets.
    Refuse(usize),
    /// An upstream runs what it gets and fails it.
    Fail(usize),
    /// An upstream takes what it gets and answers nothing.
    Silent(usize),
    /// The operator publishes another configuration.
    Publish,
    /// The operator publishes so many configurations in quick succession, with many routes.
    Storm(usize),
    /// An upstream takes several times as long for everything.
    Slow(usize),
    /// One organisation's callers send to an entry host without a pause, and come back at
    /// once whatever they are told.
    Greedy(usize),
    /// The operator takes a key away.
    Revoke,
    /// The operator evacuates a failure domain, and readmits it afterwards.
    Evacuate(usize),
    /// An upstream dies and starts again under its own name, cold.
    Restart(usize),
    /// The same, and it serves the other service from then on.
    Move(usize),
    /// All processes are killed at once, and started again.
    KillAll,
    /// All new connections of callers go to one entry host, or to the next one that is in
    /// while that is out, and callers open one for each request.
    Aim(usize),
}

impl Act {
    /// Whether it is planned work, at which nothing may be cut off.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Act::StopHost(_)
                | Act::Release(_)
                | Act::Limit(..)
                | Act::Garble(_)
                | Act::Pause(..)
                | Act::Publish
                | Act::Storm(_)
                | Act::Slow(_)
                | Act::Greedy(_)
                | Act::Revoke
                | Act::Evacuate(_)
                | Act::Aim(_)
        )
    }

    /// The replica that is away meanwhile, if one is; `usize::MAX` for all.
    pub(super) fn replica(self) -> Option<usize> {
        match self {
            Act::KillReplica(n)
            | Act::FreezeReplica(n)
            | Act::StopReplica(n)
            | Act::WipeReplica(n)
            | Act::TearReplica(n)
            | Act::ReplaceReplica(n)
            | Act::MoveReplica(n) => Some(n),
            Act::KillReplicas | Act::WipeAmongKilled(_) | Act::KillAll => Some(usize::MAX),
            _ => None,
        }
    }
}

/// One entry of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its number in the plan, by which it can be left out.
    pub number: usize,
    /// Milliseconds after the start of traffic.
    pub at: u64,
    /// For how many milliseconds.
    pub length: u64,
    /// What happens.
    pub act: Act,
}

impl Fault {
    /// When it is over.
    pub const fn end(&self) -> u64 {
        self.at + self.length
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            number, at, length, ..
        } = self;
        write!(f, "{number:>3}  {at:>6} ms  {length:>5} ms  {:?}", self.act)
    }
}

/// How many there are of what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Entry hosts.
    pub hosts: usize,
    /// Replicas.
    pub replicas: usize,
    /// Upstreams, of which the first third are plain services.
    pub upstreams: usize,
}

impl Size {
    /// How many of the upstreams are plain services.
    pub fn plain(&self) -> usize {
        (self.upstreams / 3).max(1)
    }
}

/// Draws a plan. With `planned`, only planned work: nothing may be cut off then.
pub fn draw(seed: u64, millis: u64, size: Size, planned: bool) -> Vec<Fault> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut faults: Vec<Fault> = Vec::new();
    let mut at = CALM;
    while at < millis {
        let length = rng.random_range(LENGTH);
        let act = act(&mut rng, size, planned);
        if is_bearable(&faults, at, act) {
            push(&mut faults, at, length, act);
        }
        at += rng.random_range(50..GAP);
    }
    faults
}

/// Adds to a plan, from the same seed: failure domains that are evacuated, upstreams that
/// start again under their names, and all processes killed at once. What was drawn before
/// stays as it is.
pub fn draw_orders(seed: u64, millis: u64, size: Size, faults: &mut Vec<Fault>) {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let mut at = CALM;
    while at < millis {
        let length = rng.random_range(LENGTH);
        let act = match rng.random_range(0..5) {
            0 | 1 => Act::Evacuate(rng.random_range(0..DOMAINS)),
            2 | 3 => Act::Restart(rng.random_range(0..size.upstreams)),
            _ => Act::KillAll,
        };
        let last = at + length + CATCH_UP;
        let after = faults
            .iter()
            .filter(|fault| fault.at >= at && fault.at < last);
        let is_free = act.replica().is_none() || after.clone().all(|f| f.act.replica().is_none());
        if is_free && is_bearable(faults, at, act) {
            push(faults, at, length, act);
        }
        at += rng.random_range(500..4 * GAP);
    }
    faults.sort_by_key(|fault| fault.at);
}

/// Adds to a plan, from the same seed: upstreams that ask for pauses.
pub fn draw_pauses(seed: u64, millis: u64, size: Size, faults: &mut Vec<Fault>) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(32));
    let mut at = CALM;
    while at < millis {
        let length = rng.random_range(LENGTH);
        let pause = rng.random_range(PAUSE);
        let act = Act::Pause(rng.random_range(0..size.upstreams), pause);
        push(faults, at, length, act);
        at += rng.random_range(200..2 * GAP);
    }
    faults.sort_by_key(|fault| fault.at);
}

/// Adds to a plan, from the same seed: configurations in quick succession, slow upstreams,
/// and a greedy organisation.
pub fn draw_load(seed: u64, millis: u64, size: Size, faults: &mut Vec<Fault>) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(16));
    let mut at = CALM;
    while at < millis {
        let length = rng.random_range(LENGTH);
        let act = match rng.random_range(0..3) {
            0 => Act::Storm(rng.random_range(4..16)),
            1 => Act::Slow(rng.random_range(0..size.upstreams)),
            _ => Act::Greedy(rng.random_range(0..size.hosts)),
        };
        push(faults, at, length, act);
        at += rng.random_range(200..2 * GAP);
    }
    faults.sort_by_key(|fault| fault.at);
}

/// Adds to a plan, from the same seed: times in which all new connections go to one host.
pub fn draw_aims(seed: u64, millis: u64, size: Size, faults: &mut Vec<Fault>) {
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(48));
    let mut at = CALM + AIMED.start / 2;
    while at < millis {
        let length = rng.random_range(AIMED);
        push(
            faults,
            at,
            length,
            Act::Aim(rng.random_range(0..size.hosts)),
        );
        at += length + rng.random_range(AIMED) / 2;
    }
    faults.sort_by_key(|fault| fault.at);
}

fn push(faults: &mut Vec<Fault>, at: u64, length: u64, act: Act) {
    let numbers = faults.iter().map(|fault| fault.number + 1);
    let number = numbers.max().unwrap_or(0);
    faults.push(Fault {
        number,
        at,
        length,
        act,
    });
}

/// One replica at a time may be away, and for some time after; all of them only if none
/// lost its disk just before.
fn is_bearable(faults: &[Fault], at: u64, act: Act) -> bool {
    let is_near = |fault: &&Fault| fault.at <= at && at < fault.end() + CATCH_UP;
    let mut near = faults.iter().filter(is_near);
    match act.replica() {
        None => true,
        Some(_) => near.all(|fault| fault.act.replica().is_none()),
    }
}

fn act(rng: &mut SmallRng, size: Size, planned: bool) -> Act {
    let host = rng.random_range(0..size.hosts);
    let replica = rng.random_range(0..size.replicas);
    let upstream = rng.random_range(0..size.upstreams);
    let links = [
        Link::Delay,
        Link::Reset,
        Link::Silence,
        Link::OneWay,
        Link::Trickle,
        Link::HalfOpen,
    ];
    let link = *links.choose(rng).unwrap_or(&Link::Delay);
    let limit = rng.random_range(1_000..6_000);
    let draw = rng.random_range(0..if planned { 7 } else { 20 });
    match draw {
        0 => Act::StopHost(host),
        1 => Act::Release(upstream),
        2 | 3 => Act::Limit(upstream, limit),
        4 | 5 => Act::Publish,
        6 => Act::Revoke,
        7 => Act::KillHost(host),
        8 => Act::FreezeHost(host),
        9 => Act::KillReplica(replica),
        10 => Act::FreezeReplica(replica),
        11 => Act::StopReplica(replica),
        12 => Act::WipeReplica(replica),
        13 => Act::TearReplica(replica),
        14 => Act::KillReplicas,
        15 => Act::Callers(host, link),
        16 | 17 => Act::Upstream(upstream, link),
        18 => Act::Control(replica, link),
        _ => Act::Crash(upstream),
    }
}
