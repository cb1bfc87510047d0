//! Allocates engines' concurrency slots to short prompts while slots are scarce.
//!
//! **Load pattern.** Short prompts arrive for some seconds at 1.0 to 1.3 times the rate at
//! which slots become free. First come, first served makes nearly all of them slightly
//! late, since the backlog lasts as long as the burst. Here a prompt that can no longer
//! meet its objective gives way to those that still can, and waits at the host.
//!
//! **Slots that become free.** A host learns of the end of its own streams at once, and of
//! other hosts' streams up to 40 ms later. The slot of one of its own streams goes to its
//! own next waiting prompt, so that hosts don't compete for it. Of the other slots that it
//! sees free, a host takes its share, spread over the time until it would learn that
//! another host has taken them.
//!
//! **Bounds.** A waiting prompt is sent after a fixed part of its caller's patience at the
//! latest. Late prompts are accepted only in such numbers that sending them delays at most a
//! tenth of the rest. Further ones are refused at once and told when the queue is expected
//! to be empty.

mod occupancy;
mod queue;

use std::time::Duration;

use almondlock_base::time::Mono;
use rand::{Rng, RngCore};

use self::{occupancy::Commitments, queue::Queue};
pub use self::{
    occupancy::{Commitment, Engine, Occupancy},
    queue::{Prompt, Ticket},
};

/// Usual upper limit of the age of a host's information about other hosts' requests.
pub const STATE_AGE: Duration = Duration::from_millis(40);

/// Time after its arrival at which a waiting prompt is sent at the latest. Callers give up after
/// 2 s; the remaining time is for engine queues, reading and the first pass.
const MAX_WAIT: Duration = Duration::from_millis(1_400);

/// Slots count as scarce once the probability that two prompts are sent to the same free slot is
/// above this.
const MAX_COLLISION_PROBABILITY: f64 = 0.1;

/// Longest time after which a refused prompt is told to return. Bursts of requests last about
/// nine seconds.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(9);

/// Time for which a slot that another host takes is seen as free: that host learns of the slot
/// one [`STATE_AGE`] after it became free, and its request is known here another one later.
const FREE_SLOT_TIME: Duration = STATE_AGE.saturating_mul(2);

/// Part of the slots that late prompts may take from those in time. The fraction of prompts in
/// time may be 0.1 below what the slots sustain. The remaining 0.04 is for prompts that meet at
/// an engine, or that were expected to be in time and are not.
const LATE_SLOT_SHARE: f64 = 0.06;

/// The decision on a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The prompt is sent now.
    Send,
    /// The prompt waits at the host until it is granted a slot.
    Wait(Ticket),
    /// The prompt is refused without having run.
    Refuse {
        /// Time until slots are expected to be free for the prompt.
        retry_after: Duration,
    },
}

/// Allocates the slots of one service's engines to the prompts of one host.
#[derive(Debug, Default)]
pub struct Allocator {
    occupancy: Occupancy,
    commitments: Commitments,
    queue: Queue,
    // Number of free slots that this host may still take. Invariant: not negative.
    credit: f64,
    // Time at which `credit` was last updated.
    credited: Mono,
    // Time at which the prompt refused last was told to return.
    last_return: Mono,
}

impl Allocator {
    /// Updates the occupancy of the engines. It is called on each placement, with the load
    /// information that the placement uses. `hold` is the time for which a stream keeps its
    /// slot, `hosts` the number of other hosts.
    pub fn update<I>(&mut self, now: Mono, engines: I, hold: Duration, hosts: usize)
    where
        I: IntoIterator<Item = Engine>,
    {
        self.occupancy = Occupancy::of(now, engines, hold, hosts);
    }

    /// Returns the occupancy as last updated.
    pub const fn occupancy(&self) -> &Occupancy {
        &self.occupancy
    }

    /// Returns the number of waiting prompts.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Records that one of this host's requests has a slot, which is expected to end at `until`.
    pub fn commit(&mut self, until: Mono) -> Commitment {
        self.commitments.add(until)
    }

    /// Records the end of a request, and returns the waiting prompt that gets its slot, if any.
    /// `has_slot` is whether the slot is free: no request that queues at the engine takes it.
    pub fn release(&mut self, now: Mono, commitment: Commitment, has_slot: bool) -> Option<Ticket> {
        let is_known = self.commitments.remove(commitment);
        (is_known && has_slot)
            .then(|| self.queue.pop_urgent(now))
            .flatten()
    }

    /// Decides on a prompt. `has_slot` is whether the engine chosen for it has a free slot.
    pub fn decide<R>(&mut self, now: Mono, prompt: &Prompt, has_slot: bool, rng: &mut R) -> Verdict
    where
        R: RngCore,
    {
        let answered = prompt.expected_delay + self.occupancy.hold_time;
        let longest = MAX_WAIT.saturating_sub(now.since(prompt.arrived));
        let patience = longest.min(prompt.time_left(now).saturating_sub(answered));
        if self.occupancy.slots == 0 || patience.is_zero() {
            return Verdict::Send;
        }
        let is_first = has_slot && !self.queue.has_timely(now);
        if is_first && (self.has_plenty() || self.take_slot(now, rng)) {
            return Verdict::Send;
        }
        let rate = self.slot_rate(now, prompt.objective);
        let slack = prompt.latest_start().since(now);
        let ahead = f64::from(self.queue.timely_count(now));
        let is_late = (ahead + 1.0) / rate > slack.as_secs_f64();
        // The queue is for slots in which a prompt is in time. A late one doesn't need these.
        if is_late && has_slot && self.has_spare() {
            return Verdict::Send;
        }
        let late_most = (LATE_SLOT_SHARE * rate * MAX_WAIT.as_secs_f64())
            .round()
            .max(1.0);
        let timely_most = rate * prompt.objective.as_secs_f64();
        let most = match is_late {
            true => late_most,
            false => late_most + timely_most,
        };
        let in_queue = match is_late {
            true => self.queue.late_count(now),
            false => self.queue.len(),
        };
        // The queue is far shorter than the integers that an `f64` holds exactly.
        let is_full = in_queue as f64 >= most;
        if is_full {
            let retry_after = self.estimate_retry_after(now, LATE_SLOT_SHARE * rate);
            return Verdict::Refuse { retry_after };
        }
        Verdict::Wait(self.queue.push(now, prompt, is_late, patience))
    }

    /// Returns the time until a refused prompt finds room, if late prompts get `rate` slots per
    /// second: after the waiting prompts and those that were refused before it.
    fn estimate_retry_after(&mut self, now: Mono, rate: f64) -> Duration {
        let each = Duration::from_secs_f64(1.0 / rate);
        self.last_return = self.last_return.max(now + MAX_WAIT) + each;
        let farthest = now + MAX_RETRY_AFTER;
        self.last_return = self.last_return.min(farthest);
        self.last_return.since(now)
    }

    /// Removes the prompts that are sent now from the queue and returns them.
    ///
    /// These are the prompts that have waited for as long as they may, those that get this
    /// host's share of the free slots, and one late prompt if backlogged engines have free
    /// slots. If no engine is known, all prompts are sent.
    pub fn grant<R>(&mut self, now: Mono, rng: &mut R) -> Vec<Ticket>
    where
        R: RngCore,
    {
        if self.occupancy.slots == 0 {
            return self.queue.drain();
        }
        let mut granted = self.queue.pop_expired(now);
        while self.may_grant(now) && self.take_slot(now, rng) {
            granted.extend(self.queue.pop(now));
        }
        if self.has_spare() {
            granted.extend(self.queue.pop_late(now));
        }
        granted
    }

    /// Whether a waiting prompt may get a free slot. A late prompt may get one while more slots
    /// are free than prompts that are still in time arrive at other hosts.
    fn may_grant(&self, now: Mono) -> bool {
        let is_left = f64::from(self.occupancy.free) > self.unseen_arrivals();
        self.queue.has_urgent(now) || is_left && self.queue.len() > 0
    }

    /// Takes one of the free slots if this host's share has one left.
    fn take_slot<R>(&mut self, now: Mono, rng: &mut R) -> bool
    where
        R: RngCore,
    {
        let free = self.own_share() * f64::from(self.occupancy.free);
        let age = now.since(self.credited).min(STATE_AGE);
        // The factor is random, so that hosts which see the same slots become free don't take
        // them at the same time.
        let drawn = 0.5 + rng.random::<f64>();
        let gained = free * drawn * age.as_secs_f64() / FREE_SLOT_TIME.as_secs_f64();
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

    /// Removes all waiting prompts and returns them, since the host stops or the requests of
    /// other hosts aren't known.
    pub fn drain(&mut self) -> Vec<Ticket> {
        self.queue.drain()
    }

    /// Removes a waiting prompt whose caller has left.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Returns the next prompt, which gets the slot of a prompt that was granted one and left
    /// before it was sent.
    pub fn grant_next(&mut self, now: Mono) -> Option<Ticket> {
        self.queue.pop(now)
    }

    /// Returns the number of slots that become free for this host's prompts, per second.
    pub fn slot_rate(&self, now: Mono, within: Duration) -> f64 {
        let own = f64::from(self.commitments.count_ending_within(now, within));
        let own = own / within.as_secs_f64().max(f64::EPSILON);
        let all = self.occupancy.release_rate() * self.own_share();
        // At least one per second, since a host without streams has a share as well.
        own.max(all).max(1.0)
    }

    /// Returns this host's part of all requests, and at least half of an equal part.
    fn own_share(&self) -> f64 {
        let used = f64::from(self.occupancy.in_use.max(1));
        let own = f64::from(self.commitments.len()) / used;
        own.max(self.occupancy.equal_share() / 2.0).min(1.0)
    }

    /// Whether so few slots are free that hosts with the same load information would often choose
    /// the same one. The probability that a prompt meets another one at its slot is the number of
    /// unseen arrivals divided by the number of free slots.
    pub fn is_scarce(&self) -> bool {
        self.unseen_arrivals() > MAX_COLLISION_PROBABILITY * f64::from(self.occupancy.free)
    }

    /// Whether more slots are free than twice the unseen arrivals, some of which choose the same
    /// engine.
    fn has_plenty(&self) -> bool {
        f64::from(self.occupancy.free) > self.unseen_arrivals() * 2.0
    }

    /// Whether more slots of backlogged engines are free than there are unseen arrivals.
    fn has_spare(&self) -> bool {
        f64::from(self.occupancy.backlogged_free) > self.unseen_arrivals()
    }

    /// Returns the number of prompts that arrive at all hosts within the age of their load
    /// information. While all slots are in use, as many arrive as slots become free.
    fn unseen_arrivals(&self) -> f64 {
        self.occupancy.release_rate() * STATE_AGE.as_secs_f64()
    }
}
