//! Which attempt starts next on an engine.
//!
//! Work waits here, beside the engine, and not inside it: what waits here can
//! be withdrawn and proved not run, and the order can still change when
//! something shorter or more urgent comes.
//!
//! # Order
//!
//! Each job has a *due time*: its arrival plus [`Config::stretch`] times the
//! time its own prefill takes. The job with the earliest due time goes first.
//! A short prompt is due almost when it arrives and passes the long ones; a
//! long one is due later, but at a fixed moment, and whatever arrives after
//! that moment is due after it. So no stream of short prompts can keep it
//! waiting for ever, and the one figure says how far to lean to either side.
//! Fixed priorities by class were weighed: they starve the longest. Highest
//! response ratio orders alike but must be computed again at each look.
//!
//! A long job that is due and finds no room would never find it if shorter ones
//! took each freed piece. From then on the room outside the reserved part is
//! kept for it, and short jobs go on in the reserved part alone.
//!
//! # Fairness
//!
//! Before due times, organisations: each has a counter of the tokens it was
//! served, divided by its weight, as in the virtual token counter of Sheng et
//! al. Only organisations within [`Config::quantum_tokens`] of the lowest counter that
//! has work take part in the choice above. One that comes back after a pause is
//! lifted to just under that: what it left unused beyond it was lent for good,
//! and its next jobs go first. On the engine, too, an organisation that has less
//! running than a newcomer's fair part goes before those that have more.
//!
//! ```
//! use almondlock_base::{id::Organisation, time::Mono, unit::Tokens};
//! use almondlock_policy::queue::{Config, Job, Queue, Room};
//!
//! let mut queue = Queue::new(Config::short());
//! let now = Mono::ZERO;
//! let job = |prompt| Job {
//!     organisation: Organisation::new("bank").unwrap(),
//!     weight: 1,
//!     prompt: Tokens(prompt),
//!     cached: Tokens::ZERO,
//!     max_output: Tokens(100),
//!     deadline: Mono::from_millis(600_000),
//!     suspect: false,
//! };
//! let room = Room::idle(Tokens(400_000), 16);
//! queue.push(1, job(200_000), &room, now)?;
//! queue.push(2, job(1_000), &room, now)?;
//! // The short one came later and starts first.
//! assert_eq!(queue.grant(now, &room).map(|grant| grant.id), Some(2));
//! # Ok::<(), almondlock_policy::queue::Refusal>(())
//! ```

mod config;
mod job;
mod line;
mod load;
mod meter;
mod wait;

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
    time::Duration,
};

use almondlock_base::{Code, id::Organisation, time::Mono, unit::Tokens};

pub use self::{
    config::Config,
    job::{Expiry, Grant, Job, Refusal, Room},
};
use self::{
    line::{Lane, Line, Place},
    load::{Load, Running},
    meter::Meter,
};
use crate::length::Class;

#[derive(Debug)]
struct Waiting<I> {
    id: I,
    job: Job,
    since: Mono,
}

/// How much faster than seen an engine is taken to be before a job is given up
/// as hopeless.
const HOPE: f64 = 1.5;

/// Where counters start: high enough for what may be saved up.
const FLOOR: u64 = 1 << 40;

/// The jobs that wait for one engine, and those that run on it.
#[derive(Debug)]
pub struct Queue<I> {
    config: Config,
    next: u64,
    // Invariant: `places` and `waiting` hold the same jobs, and each stands in
    // the line of its organisation and in `deadlines` exactly once.
    places: HashMap<I, Place>,
    waiting: HashMap<u64, Waiting<I>>,
    deadlines: BTreeSet<(Mono, u64)>,
    /// Waiting jobs that run alone, by their due time.
    alone: BTreeSet<(Mono, u64)>,
    lines: HashMap<Organisation, Line>,
    running: HashMap<I, Running>,
    load: Load,
    queued: [Tokens; 4],
    meter: Meter,
    /// Whether room is kept for something outside this queue.
    hold: bool,
    /// The lowest counter last granted from. Only goes up.
    floor: u64,
}

impl<I> Queue<I>
where
    I: Clone + Eq + Hash,
{
    /// An empty queue.
    pub fn new(config: Config) -> Queue<I> {
        Queue {
            meter: Meter::new(config.initial_speed),
            config,
            next: 0,
            places: HashMap::new(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            alone: BTreeSet::new(),
            lines: HashMap::new(),
            running: HashMap::new(),
            load: Load::default(),
            queued: [Tokens::ZERO; 4],
            hold: false,
            floor: FLOOR,
        }
    }

    /// Changes the order for jobs that come from now on, and the reserved room
    /// for all.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Says whether room is to be kept for something outside this queue, as for
    /// a longer job that is due: only short jobs start then, in the reserved
    /// part. A [`Waitlist`](crate::gang::Waitlist) that collects memory asks for it.
    pub fn set_hold(&mut self, hold: bool) {
        self.hold = hold;
    }

    /// How many jobs wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many jobs run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Prompt tokens that are not processed yet, waiting and running.
    pub fn backlog(&self) -> Tokens {
        let waiting: Tokens = self.queued.iter().copied().sum();
        waiting + self.load.prefill.iter().copied().sum()
    }

    /// Puts a job in.
    ///
    /// # Errors
    ///
    /// Refused when the engine can never hold it, when too much waits, or when
    /// its deadline can't be met even if it started now.
    pub fn push(&mut self, id: I, job: Job, room: &Room, now: Mono) -> Result<(), Refusal> {
        self.check(&id, &job, room, now)?;
        let lane = Lane::of(&job);
        self.insert(id, job, lane, now);
        Ok(())
    }

    /// Puts a suspect in that nothing else may run beside. It starts when the
    /// engine falls idle; after half of its time nothing else starts before it.
    ///
    /// # Errors
    ///
    /// Refused as by [`Queue::push`].
    pub fn push_alone(&mut self, id: I, job: Job, room: &Room, now: Mono) -> Result<(), Refusal> {
        self.check(&id, &job, room, now)?;
        self.insert(id, job, Lane::ALONE, now);
        Ok(())
    }

    /// Takes a waiting job out. `false` when it does not wait here.
    pub fn remove(&mut self, id: &I) -> bool {
        let found = self.places.get(id).copied();
        found.is_some_and(|place| self.take(place).is_some())
    }

    /// Takes out the jobs that are given up, each to be answered at once.
    ///
    /// A job goes when its deadline passes, and already before when even an
    /// engine that turned to it now would not be done with its prompt in time.
    pub fn take_expired(&mut self, now: Mono) -> Vec<Expiry<I>> {
        let mut gone = Vec::new();
        let pause = self.estimate_wait(Class::Short).max(self.config.base_time);
        while let Some((start, number)) = self.deadlines.first().copied() {
            if start > now {
                break;
            }
            let Some(place) = self.place_of(number) else {
                self.deadlines.pop_first();
                continue;
            };
            let Some(waiting) = self.take(place) else {
                continue;
            };
            let passed = waiting.job.deadline <= now;
            let code = if passed {
                Code::QueueTimeout
            } else {
                Code::DeadlineUnreachable
            };
            gone.push(Expiry {
                id: waiting.id,
                code,
                retry_after: pause,
            });
        }
        gone
    }

    /// When [`Queue::take_expired`] has something to say next.
    pub fn next_expiry(&self) -> Option<Mono> {
        self.deadlines.first().map(|(start, _)| *start)
    }

    /// Starts the next job, if there is room for it. To be called until it
    /// returns `None`, with the room that is left each time.
    pub fn grant(&mut self, now: Mono, room: &Room) -> Option<Grant<I>> {
        let (place, held) = self.choose(now, room)?;
        let waiting = self.take(place)?;
        Some(self.enter(waiting, place, held, now))
    }

    /// Notes that a running job's prompt has been processed: its first token
    /// came.
    pub fn end_prefill(&mut self, id: &I, now: Mono) {
        let Some(running) = self.running.get_mut(id) else {
            return;
        };
        if !std::mem::replace(&mut running.prefilling, false) {
            return;
        }
        let (class, tokens) = (running.job.class(), running.job.prefill_tokens());
        self.load.end_prefill(class, tokens);
        self.meter.done(tokens, now);
    }

    /// Notes that a running job is over and what it answered.
    pub fn finish(&mut self, id: &I, output: Tokens) {
        let Some(running) = self.running.remove(id) else {
            return;
        };
        self.load.leave(&running);
        if running.prefilling {
            self.meter.broke(running.job.prefill_tokens());
        }
        if let Some(line) = self.lines.get_mut(&running.job.organisation) {
            line.finish(&running.job, output);
        }
        self.forget_idle(&running.job.organisation);
    }

    fn check(&self, id: &I, job: &Job, room: &Room, now: Mono) -> Result<(), Refusal> {
        if self.places.contains_key(id) || self.running.contains_key(id) {
            return Err(refusal(Code::AlreadyRunning, Duration::ZERO));
        }
        if job.memory_need() > room.total_memory {
            return Err(refusal(Code::PromptTooLong, Duration::ZERO));
        }
        let pause = self.estimate_wait(Class::Short).max(self.config.base_time);
        if self.waiting.len() >= self.config.max_waiting {
            return Err(refusal(Code::Overloaded, pause));
        }
        if self.config.refuse_unreachable && now + self.hoped(job) > job.deadline {
            return Err(refusal(Code::DeadlineUnreachable, pause));
        }
        Ok(())
    }

    fn insert(&mut self, id: I, job: Job, lane: Lane, now: Mono) {
        let number = self.next;
        self.next += 1;
        let class = job.class();
        let due = self.due(&job, lane, now);
        let least = self.least_counter();
        if lane == Lane::ALONE {
            self.alone.insert((due, number));
        } else {
            let line = self.lines.entry(job.organisation.clone());
            let line = line.or_insert_with(|| Line::new(least));
            line.arrive(lane, (due, number), least);
        }
        let last_start = self.last_start(&job);
        let place = Place {
            number,
            due,
            lane,
            last_start,
        };
        self.deadlines.insert((last_start, number));
        self.queued[class.index()] += job.prefill_tokens();
        self.places.insert(id.clone(), place);
        self.waiting.insert(
            number,
            Waiting {
                id,
                job,
                since: now,
            },
        );
    }

    /// When a job should start at the latest. One that runs alone stops all
    /// others from that moment on, so it first waits for the engine to fall idle
    /// by itself, through half of its time.
    fn due(&self, job: &Job, lane: Lane, now: Mono) -> Mono {
        if lane == Lane::ALONE {
            return now + job.deadline.since(now) / 2;
        }
        let service = self.service_time(job.prefill_tokens()) + self.config.base_time;
        now + service.mul_f64(self.config.bounded_stretch())
    }

    /// The last moment at which a job could start and still be in time.
    fn last_start(&self, job: &Job) -> Mono {
        if self.config.refuse_unreachable {
            job.deadline - self.hoped(job)
        } else {
            job.deadline
        }
    }

    /// How long a job takes at least. The engine is taken for faster than it
    /// was seen to be: steps that are not full look slow, and a request that is
    /// refused by a wrong estimate is lost.
    fn hoped(&self, job: &Job) -> Duration {
        self.service_time(job.prefill_tokens()).div_f64(HOPE)
    }

    fn place_of(&self, number: u64) -> Option<Place> {
        let waiting = self.waiting.get(&number)?;
        self.places.get(&waiting.id).copied()
    }

    fn take(&mut self, place: Place) -> Option<Waiting<I>> {
        let waiting = self.waiting.remove(&place.number)?;
        self.places.remove(&waiting.id);
        self.deadlines.remove(&(place.last_start, place.number));
        let queued = &mut self.queued[waiting.job.class().index()];
        *queued = queued.saturating_sub(waiting.job.prefill_tokens());
        let key = (place.due, place.number);
        if place.lane == Lane::ALONE {
            self.alone.remove(&key);
        } else if let Some(line) = self.lines.get_mut(&waiting.job.organisation) {
            line.leave(place.lane, key);
        }
        self.forget_idle(&waiting.job.organisation);
        Some(waiting)
    }

    fn enter(&mut self, waiting: Waiting<I>, place: Place, held: bool, now: Mono) -> Grant<I> {
        let Waiting { id, job, since } = waiting;
        let class = job.class();
        let much = self.has_much(&job.organisation);
        let least = self.least_counter();
        let line = self.lines.entry(job.organisation.clone());
        line.or_insert_with(|| Line::new(least)).start(&job);
        let running = Running {
            job,
            prefilling: true,
            held,
            alone: place.lane == Lane::ALONE,
        };
        self.load.enter(&running);
        self.meter.start(running.job.prefill_tokens(), now);
        self.running.insert(id.clone(), running);
        Grant {
            id,
            class,
            priority: priority(class, self.config.promote_overdue && now >= place.due, much),
            waited: now.since(since),
        }
    }

    /// The counter of an organisation that asked for nothing lately: behind the
    /// others by so much that its next jobs go before any of theirs. It goes up
    /// with the floor, so what is saved up stays bounded, however often an
    /// organisation comes and goes.
    fn least_counter(&self) -> u64 {
        self.floor
            .saturating_sub(self.config.quantum_tokens.saturating_add(1))
    }

    /// A line that neither waits nor runs is dropped when its counter would be
    /// lifted anyway; otherwise it would escape what it owes.
    fn forget_idle(&mut self, organisation: &Organisation) {
        let least = self.least_counter();
        let idle = |line: &Line| line.is_idle() && line.counter() <= least;
        if self.lines.get(organisation).is_some_and(idle) {
            self.lines.remove(organisation);
        }
    }
}

/// Shorter classes first, and within a class the organisations that have `much`
/// running after the others. A job that `rises` does so by a class, but never to
/// the level of short ones: an engine that takes equals in turn would process
/// the whole of a long prompt before them.
fn priority(class: Class, rises: bool, much: bool) -> u8 {
    let rank = group(class) as u8;
    let rank = if rises && rank > 1 { rank - 1 } else { rank };
    2 * rank + u8::from(much)
}

/// The classes that have prompts in prefill apart from each other. The longest
/// two share: what the longer one waits for the shorter one here is little
/// against its own time, and much if each of those went before it.
const fn group(class: Class) -> usize {
    match class {
        Class::Short => 0,
        Class::Medium => 1,
        Class::Long | Class::Huge => 2,
    }
}

/// How many of those there are.
const GROUPS: usize = 3;

fn refusal(code: Code, retry_after: Duration) -> Refusal {
    Refusal { code, retry_after }
}
