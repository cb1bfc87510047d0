//! Which short prompts get an engine's concurrency slots when these are scarce.
//!
//! **Load pattern.** Short prompts arrive for some seconds at 1.0 to 1.3 times the rate at
//! which slots become free. First come, first served makes nearly all of them slightly
//! late, since the backlog lasts as long as the burst. Here a prompt that can no longer
//! meet its objective gives way to those that still can, and waits at the host.
//!
//! **Who hands on a slot.** A host learns of the end of its own streams at once, of others'
//! up to 40 ms later. A slot that one of its own streams leaves goes to its own next
//! waiting prompt, so hosts don't compete for it. Of slots that are seen free without
//! having been its own, a host takes its portion within the age of its knowledge.
//!
//! **Bounds.** A prompt that waits is sent at the latest after a part of its caller's
//! patience. So many late ones are taken that sending them delays at most a tenth of the
//! rest; others are refused at once and told when the line will have emptied.

mod occupancy;
mod queue;

use std::time::Duration;

use almondlock_base::time::Mono;
use rand::{Rng, RngCore};

use self::{occupancy::Ends, queue::Line};
pub use self::{
    occupancy::{Commitment, Engine, Occupancy},
    queue::{Prompt, Ticket},
};

/// How old a host's knowledge of other hosts' requests is at most, as a rule.
pub const STATE_AGE: Duration = Duration::from_millis(40);

/// The time after its arrival at which a prompt is sent at the latest. Callers leave after
/// 2 s; what is left is for engine queues, reading and the first pass.
const LONGEST: Duration = Duration::from_millis(1_400);

/// The probability with which prompts may meet at a free slot before slots count as scarce.
const COLLISIONS: f64 = 0.1;

/// The time after which a refused prompt comes back at the latest. Mixes of requests last
/// about nine seconds.
const RETURNS_MOST: Duration = Duration::from_secs(9);

/// The time for which a slot counts as seen free: another host that has taken it tells so
/// one such age later than it was told of it.
const TURN: Duration = STATE_AGE.saturating_mul(2);

/// The part of the slots that late prompts may take from those in time. The fraction in time
/// may be 0.1 below what slots sustain; the rest of that is for prompts that meet at an
/// engine or were counted as in time and weren't.
const LATE_SHARE: f64 = 0.06;

/// What becomes of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is sent now.
    Send,
    /// It waits at the host until it is granted a slot.
    Wait(Ticket),
    /// It is refused without having run.
    Refuse {
        /// When slots are expected to be free for it, from now.
        retry_after: Duration,
    },
}

/// One host's decisions on slots of one service.
#[derive(Debug, Default)]
pub struct Allocator {
    occupancy: Occupancy,
    ends: Ends,
    line: Line,
    // Slots seen free that this host may still take. Invariant: not negative.
    credit: f64,
    credited: Mono,
    // When the last one that was refused comes back.
    returns: Mono,
}

impl Allocator {
    /// Takes in what is known of the engines: on each placement, from the figures that it
    /// is made with. `hold` is how long a stream keeps its slot, `hosts` how many other
    /// hosts there are.
    pub fn update<I>(&mut self, now: Mono, engines: I, hold: Duration, hosts: usize)
    where
        I: IntoIterator<Item = Engine>,
    {
        self.occupancy = Occupancy::of(now, engines, hold, hosts);
    }

    /// What was last taken in.
    pub const fn occupancy(&self) -> &Occupancy {
        &self.occupancy
    }

    /// How many prompts wait.
    pub fn waiting(&self) -> usize {
        self.line.len()
    }

    /// One of this host's requests takes a slot until the given time, by forecast.
    pub fn commit(&mut self, until: Mono) -> Commitment {
        self.ends.begin(until)
    }

    /// It has ended, and leaves its slot to the prompt that is named. `has_slot`: no request
    /// that queues at its engine takes the slot.
    pub fn release(&mut self, now: Mono, commitment: Commitment, has_slot: bool) -> Option<Ticket> {
        let is_known = self.ends.end(commitment);
        (is_known && has_slot)
            .then(|| self.line.pop_urgent(now))
            .flatten()
    }

    /// Decides on a prompt. `has_slot`: the engine chosen for it has a free one.
    pub fn decide<R>(&mut self, now: Mono, case: &Prompt, has_slot: bool, rng: &mut R) -> Verdict
    where
        R: RngCore,
    {
        let answered = case.expected + self.occupancy.hold_time;
        let longest = LONGEST.saturating_sub(now.since(case.arrived));
        let patience = longest.min(case.left(now).saturating_sub(answered));
        if self.occupancy.slots == 0 || patience.is_zero() {
            return Verdict::Send;
        }
        let is_first = has_slot && !self.line.has_timely(now);
        if is_first && (self.is_plenty() || self.take(now, rng)) {
            return Verdict::Send;
        }
        let rate = self.slot_rate(now, case.objective);
        let slack = case.latest().since(now);
        let ahead = f64::from(self.line.timely(now));
        let is_late = (ahead + 1.0) / rate > slack.as_secs_f64();
        // The line is for slots in which a prompt is in time. A late one doesn't need these.
        if is_late && has_slot && self.has_spare() {
            return Verdict::Send;
        }
        let late_most = (LATE_SHARE * rate * LONGEST.as_secs_f64()).round().max(1.0);
        let timely_most = rate * case.objective.as_secs_f64();
        let most = match is_late {
            true => late_most,
            false => late_most + timely_most,
        };
        let in_line = match is_late {
            true => self.line.late(now),
            false => self.line.len(),
        };
        // Lines are far shorter than the integers that an `f64` holds exactly.
        let is_full = in_line as f64 >= most;
        if is_full {
            let returns = self.returns(now, LATE_SHARE * rate);
            return Verdict::Refuse {
                retry_after: returns,
            };
        }
        Verdict::Wait(self.line.push(now, case, is_late, patience))
    }

    /// When a refused prompt finds room, if late ones get so many slots in a second: after
    /// those that wait and those that were refused before it.
    fn returns(&mut self, now: Mono, rate: f64) -> Duration {
        let each = Duration::from_secs_f64(1.0 / rate);
        self.returns = self.returns.max(now + LONGEST) + each;
        let farthest = now + RETURNS_MOST;
        self.returns = self.returns.min(farthest);
        self.returns.since(now)
    }

    /// The prompts that are sent now: for slots that are seen free, this host's portion of
    /// them; a late one for those of backlogged engines; those that have waited for as long as they may; all if no engine is known.
    pub fn grant<R>(&mut self, now: Mono, rng: &mut R) -> Vec<Ticket>
    where
        R: RngCore,
    {
        if self.occupancy.slots == 0 {
            return self.line.drain();
        }
        let mut granted = self.line.expired(now);
        while self.has_next(now) && self.take(now, rng) {
            granted.extend(self.line.pop(now));
        }
        if self.has_spare() {
            granted.extend(self.line.pop_late(now));
        }
        granted
    }

    /// Whether a prompt waits that may have a slot which is seen free. Late ones may while
    /// more are free than come to prompts at other hosts that are still in time.
    fn has_next(&self, now: Mono) -> bool {
        let is_left = f64::from(self.occupancy.free) > self.unseen();
        self.line.has_urgent(now) || is_left && self.line.len() > 0
    }

    /// Takes one of the slots that are seen free, if this host's portion has one left.
    fn take<R>(&mut self, now: Mono, rng: &mut R) -> bool
    where
        R: RngCore,
    {
        let free = self.portion() * f64::from(self.occupancy.free);
        let age = now.since(self.credited).min(STATE_AGE);
        // Hosts that saw the same slots become free at the same time differ in when they
        // take one.
        let drawn = 0.5 + rng.random::<f64>();
        let gained = free * drawn * age.as_secs_f64() / TURN.as_secs_f64();
        self.credited = now;
        self.credit = match self.occupancy.free {
            0 => 0.0,
            _ => (self.credit + gained).min(free.max(1.0)),
        };
        let is_taken = self.credit >= 1.0;
        if is_taken {
            self.credit -= 1.0;
            self.occupancy.free = self.occupancy.free.saturating_sub(1);
        }
        is_taken
    }

    /// Everything that waits, since the host stops or others' requests aren't known.
    pub fn drain(&mut self) -> Vec<Ticket> {
        self.line.drain()
    }

    /// A prompt waits no more: its caller has left.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.line.remove(ticket);
    }

    /// A prompt that was granted a slot left before it was sent: the next one gets it.
    pub fn grant_next(&mut self, now: Mono) -> Option<Ticket> {
        self.line.pop(now)
    }

    /// Slots that become free for this host's prompts, per second.
    pub fn slot_rate(&self, now: Mono, within: Duration) -> f64 {
        let own = f64::from(self.ends.within(now, within));
        let own = own / within.as_secs_f64().max(f64::EPSILON);
        let all = self.occupancy.release_rate() * self.portion();
        // At least one in a second: a host without streams has a portion all the same.
        own.max(all).max(1.0)
    }

    /// This host's part of all requests, or half an equal part if it has less.
    fn portion(&self) -> f64 {
        let used = f64::from(self.occupancy.in_use.max(1));
        let own = f64::from(self.ends.len()) / used;
        own.max(self.occupancy.equal() / 2.0).min(1.0)
    }

    /// Whether so few slots are free that hosts which choose on the same knowledge would
    /// often choose the same one: a prompt meets another one there with the probability of
    /// those that arrive unseen divided by those slots.
    pub fn is_scarce(&self) -> bool {
        self.unseen() > COLLISIONS * f64::from(self.occupancy.free)
    }

    /// More slots are seen free than prompts arrive unseen, twice over since some of them
    /// choose the same engine.
    fn is_plenty(&self) -> bool {
        f64::from(self.occupancy.free) > self.unseen() * 2.0
    }

    /// More slots of backlogged engines are free than prompts arrive unseen.
    fn has_spare(&self) -> bool {
        f64::from(self.occupancy.backlogged_free) > self.unseen()
    }

    /// Prompts that arrive at all hosts within the age of what they know: with all slots in
    /// use, as many as slots become free.
    fn unseen(&self) -> f64 {
        self.occupancy.release_rate() * STATE_AGE.as_secs_f64()
    }
}
