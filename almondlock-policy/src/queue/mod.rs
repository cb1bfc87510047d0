//! Decides which attempt starts next on an engine.
//!
//! Work waits here, beside the engine, and not inside it: an attempt that waits here can be
//! withdrawn and is proved not to have run, and the order can still change when a shorter
//! or more urgent attempt comes.
//!
//! # Order
//!
//! Each job has a *due time*: its arrival plus [`Config::stretch`] times the time of its
//! own prefill. The job with the earliest due time starts first. A short prompt is due soon
//! after its arrival and passes the long ones; a long prompt is due later, but at a fixed
//! time, and all jobs that arrive after that time are due after it. So no stream of short
//! prompts can delay it for ever, and one figure sets the balance between short and long
//! prompts. Fixed priorities by class would starve the longest prompts. Highest response
//! ratio next gives a similar order but must be computed again for each choice.
//!
//! A long job that is due and finds no room would never get any if shorter jobs took each
//! piece of memory that becomes free. From then on the room outside the reserved part is
//! kept for the long job, and short jobs use only the reserved part.
//!
//! # Fairness
//!
//! Organisations come before due times. Each organisation has a counter of the tokens that
//! it was served, divided by its weight, as in the Virtual Token Counter of Sheng et al.
//! Only organisations within [`Config::quantum_tokens`] of the lowest counter that has work
//! take part in the choice by due time. The counter of an organisation that comes back
//! after a pause is raised to just below that range: its next jobs go first, and what it
//! left unused beyond that is lost. On the engine, too, an organisation that has less
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
mod flow;
mod job;
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
    flow::{Flow, Lane, Position},
    load::{Load, Running},
    meter::Meter,
};
use crate::length::Class;

/// A job that waits.
#[derive(Debug)]
struct Waiting<I> {
    id: I,
    job: Job,
    since: Mono,
}

/// How many times faster than measured the engine is assumed to be when a job is given up
/// because it can't meet its deadline.
const OPTIMISM_RATIO: f64 = 1.5;

/// Initial value of the counters: high enough that the credit of a returning organisation
/// can be subtracted.
const INITIAL_COUNTER_TOKENS: u64 = 1 << 40;

/// The jobs that wait for one engine, and those that run on it.
#[derive(Debug)]
pub struct Queue<I> {
    config: Config,
    /// Number of the next job that is added. Numbers break ties between due times.
    next_number: u64,
    // Invariant: `positions` and `waiting` hold the same jobs, and each stands in
    // the flow of its organisation and in `deadlines` exactly once.
    positions: HashMap<I, Position>,
    waiting: HashMap<u64, Waiting<I>>,
    deadlines: BTreeSet<(Mono, u64)>,
    /// Waiting jobs that must run alone, by due time.
    alone: BTreeSet<(Mono, u64)>,
    flows: HashMap<Organisation, Flow>,
    running: HashMap<I, Running>,
    load: Load,
    /// Prompt tokens of the waiting jobs that are not cached, by class.
    queued_tokens: [Tokens; 4],
    meter: Meter,
    /// Whether room is kept for work outside this queue.
    hold: bool,
    /// Lowest counter at the last grant. Only goes up.
    floor: u64,
}

impl<I> Queue<I>
where
    I: Clone + Eq + Hash,
{
    /// Returns an empty queue.
    pub fn new(config: Config) -> Queue<I> {
        Queue {
            meter: Meter::new(config.initial_speed),
            config,
            next_number: 0,
            positions: HashMap::new(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
            alone: BTreeSet::new(),
            flows: HashMap::new(),
            running: HashMap::new(),
            load: Load::default(),
            queued_tokens: [Tokens::ZERO; 4],
            hold: false,
            floor: INITIAL_COUNTER_TOKENS,
        }
    }

    /// Replaces the configuration. The order changes for jobs that come from now on, the
    /// reserved room for all jobs.
    pub fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Sets whether room is kept for work outside this queue, as for a long job that is
    /// due: then only short jobs start, in the reserved part. Used while a
    /// [`Waitlist`](crate::gang::Waitlist) collects memory.
    pub fn set_hold(&mut self, hold: bool) {
        self.hold = hold;
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of running jobs.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of prompt tokens of waiting and running jobs that are not yet
    /// processed.
    pub fn backlog(&self) -> Tokens {
        let waiting: Tokens = self.queued_tokens.iter().copied().sum();
        waiting + self.load.prefill.iter().copied().sum()
    }

    /// Adds a job.
    ///
    /// # Errors
    ///
    /// Refused if the engine can never hold it, if too many jobs wait, or if it could not
    /// meet its deadline even if it started now.
    pub fn push(&mut self, id: I, job: Job, room: &Room, now: Mono) -> Result<(), Refusal> {
        self.check_admissible(&id, &job, room, now)?;
        let lane = Lane::of(&job);
        self.insert(id, job, lane, now);
        Ok(())
    }

    /// Adds a suspect that no other job may run beside. It starts when the engine is idle.
    /// After half of the time to its deadline no other job starts before it.
    ///
    /// # Errors
    ///
    /// Refused as by [`Queue::push`].
    pub fn push_alone(&mut self, id: I, job: Job, room: &Room, now: Mono) -> Result<(), Refusal> {
        self.check_admissible(&id, &job, room, now)?;
        self.insert(id, job, Lane::ALONE, now);
        Ok(())
    }

    /// Removes a waiting job. Returns `false` if it does not wait here.
    pub fn remove(&mut self, id: &I) -> bool {
        let found = self.positions.get(id).copied();
        found.is_some_and(|position| self.remove_waiting(position).is_some())
    }

    /// Removes and returns the jobs that are given up. Each is to be answered at once.
    ///
    /// A job is given up when its deadline passes, or earlier if an engine that started it
    /// now could not process its prompt before the deadline.
    pub fn take_expired(&mut self, now: Mono) -> Vec<Expiry<I>> {
        let mut gone = Vec::new();
        let pause = self.estimate_wait(Class::Short).max(self.config.base_time);
        while let Some((start, number)) = self.deadlines.first().copied() {
            if start > now {
                break;
            }
            let Some(position) = self.position_of(number) else {
                self.deadlines.pop_first();
                continue;
            };
            let Some(waiting) = self.remove_waiting(position) else {
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

    /// Returns the next time at which [`Queue::take_expired`] may return a job.
    pub fn next_expiry(&self) -> Option<Mono> {
        self.deadlines.first().map(|(start, _)| *start)
    }

    /// Starts the next job if there is room for it. Call this until it returns `None`, each
    /// time with the room that is left.
    pub fn grant(&mut self, now: Mono, room: &Room) -> Option<Grant<I>> {
        let (position, room_kept) = self.choose(now, room)?;
        let waiting = self.remove_waiting(position)?;
        Some(self.start_waiting(waiting, position, room_kept, now))
    }

    /// Records that a running job's prompt has been processed, because its first token
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
        self.meter.finish_prefill(tokens, now);
    }

    /// Records that a running job has ended, and the length of its answer.
    pub fn finish(&mut self, id: &I, output: Tokens) {
        let Some(running) = self.running.remove(id) else {
            return;
        };
        self.load.leave(&running);
        if running.prefilling {
            self.meter.abort_prefill(running.job.prefill_tokens());
        }
        if let Some(flow) = self.flows.get_mut(&running.job.organisation) {
            flow.finish(&running.job, output);
        }
        self.drop_idle_flow(&running.job.organisation);
    }

    /// Refuses a job that can't be added.
    fn check_admissible(&self, id: &I, job: &Job, room: &Room, now: Mono) -> Result<(), Refusal> {
        if self.positions.contains_key(id) || self.running.contains_key(id) {
            return Err(refuse(Code::AlreadyRunning, Duration::ZERO));
        }
        if job.memory_need() > room.total_memory {
            return Err(refuse(Code::PromptTooLong, Duration::ZERO));
        }
        let pause = self.estimate_wait(Class::Short).max(self.config.base_time);
        if self.waiting.len() >= self.config.max_waiting {
            return Err(refuse(Code::Overloaded, pause));
        }
        if self.config.refuse_unreachable && now + self.min_service_time(job) > job.deadline {
            return Err(refuse(Code::DeadlineUnreachable, pause));
        }
        Ok(())
    }

    fn insert(&mut self, id: I, job: Job, lane: Lane, now: Mono) {
        let number = self.next_number;
        self.next_number += 1;
        let class = job.class();
        let due = self.due_time(&job, lane, now);
        let least = self.idle_counter();
        if lane == Lane::ALONE {
            self.alone.insert((due, number));
        } else {
            let flow = self.flows.entry(job.organisation.clone());
            let flow = flow.or_insert_with(|| Flow::new(least));
            flow.arrive(lane, (due, number), least);
        }
        let last_start = self.last_start(&job);
        let position = Position {
            number,
            due,
            lane,
            last_start,
        };
        self.deadlines.insert((last_start, number));
        self.queued_tokens[class.index()] += job.prefill_tokens();
        self.positions.insert(id.clone(), position);
        self.waiting.insert(
            number,
            Waiting {
                id,
                job,
                since: now,
            },
        );
    }

    /// Returns the time up to which shorter jobs may pass a job. A job that runs alone
    /// stops all other jobs from its due time on; so for half of the time to its deadline
    /// it waits for the engine to become idle without that.
    fn due_time(&self, job: &Job, lane: Lane, now: Mono) -> Mono {
        if lane == Lane::ALONE {
            return now + job.deadline.since(now) / 2;
        }
        let service = self.service_time(job.prefill_tokens()) + self.config.base_time;
        now + service.mul_f64(self.config.bounded_stretch())
    }

    /// Returns the last time at which a job could start and still meet its deadline.
    fn last_start(&self, job: &Job) -> Mono {
        if self.config.refuse_unreachable {
            job.deadline - self.min_service_time(job)
        } else {
            job.deadline
        }
    }

    /// Returns the least time that a job's prefill takes. The engine is assumed to be
    /// faster than measured: steps that are not full make it look slow, and a request
    /// refused because of a wrong estimate is lost.
    fn min_service_time(&self, job: &Job) -> Duration {
        self.service_time(job.prefill_tokens())
            .div_f64(OPTIMISM_RATIO)
    }

    fn position_of(&self, number: u64) -> Option<Position> {
        let waiting = self.waiting.get(&number)?;
        self.positions.get(&waiting.id).copied()
    }

    /// Removes a waiting job from all indices.
    fn remove_waiting(&mut self, position: Position) -> Option<Waiting<I>> {
        let waiting = self.waiting.remove(&position.number)?;
        self.positions.remove(&waiting.id);
        self.deadlines
            .remove(&(position.last_start, position.number));
        let queued = &mut self.queued_tokens[waiting.job.class().index()];
        *queued = queued.saturating_sub(waiting.job.prefill_tokens());
        let key = (position.due, position.number);
        if position.lane == Lane::ALONE {
            self.alone.remove(&key);
        } else if let Some(flow) = self.flows.get_mut(&waiting.job.organisation) {
            flow.leave(position.lane, key);
        }
        self.drop_idle_flow(&waiting.job.organisation);
        Some(waiting)
    }

    /// Counts a job that was removed from the waiting ones as running.
    fn start_waiting(
        &mut self,
        waiting: Waiting<I>,
        position: Position,
        room_kept: bool,
        now: Mono,
    ) -> Grant<I> {
        let Waiting { id, job, since } = waiting;
        let class = job.class();
        let has_excess = self.has_excess_running(&job.organisation);
        let least = self.idle_counter();
        let flow = self.flows.entry(job.organisation.clone());
        flow.or_insert_with(|| Flow::new(least)).start(&job);
        let running = Running {
            job,
            prefilling: true,
            during_hold: room_kept,
            alone: position.lane == Lane::ALONE,
        };
        self.load.enter(&running);
        self.meter.start_prefill(running.job.prefill_tokens(), now);
        self.running.insert(id.clone(), running);
        Grant {
            id,
            class,
            priority: priority(
                class,
                self.config.promote_overdue && now >= position.due,
                has_excess,
            ),
            waited: now.since(since),
        }
    }

    /// Returns the counter of an organisation that had no work lately. It is so far below
    /// the others that the next jobs of the organisation go before any of theirs. It rises
    /// with the floor, so an organisation's credit stays bounded however often it comes and
    /// goes.
    fn idle_counter(&self) -> u64 {
        self.floor
            .saturating_sub(self.config.quantum_tokens.saturating_add(1))
    }

    /// Removes a flow without waiting and running jobs if its counter is no higher than
    /// that of a new one. A higher counter is kept, so that the organisation can't shed
    /// what it was served.
    fn drop_idle_flow(&mut self, organisation: &Organisation) {
        let least = self.idle_counter();
        let idle = |flow: &Flow| flow.is_idle() && flow.counter() <= least;
        if self.flows.get(organisation).is_some_and(idle) {
            self.flows.remove(organisation);
        }
    }
}

/// Returns the engine priority of a job: shorter classes first, and within a class
/// organisations with little running before those that have `has_excess`. A job that
/// `rises` moves up one class, but never to the class of short jobs: an engine that serves
/// equal priorities in turn would process the whole of a long prompt before them.
fn priority(class: Class, rises: bool, has_excess: bool) -> u8 {
    let rank = prefill_group(class) as u8;
    let rank = if rises && rank > 1 { rank - 1 } else { rank };
    2 * rank + u8::from(has_excess)
}

/// Returns the group of a class. Each group has its own limit of prompt tokens in prefill.
/// The two longest classes share one: the wait for a shorter job is small against the time
/// of a huge one, but large if every long job went before it.
const fn prefill_group(class: Class) -> usize {
    match class {
        Class::Short => 0,
        Class::Medium => 1,
        Class::Long | Class::Huge => 2,
    }
}

/// Number of groups that [`prefill_group`] returns.
const PREFILL_GROUP_COUNT: usize = 3;

fn refuse(code: Code, retry_after: Duration) -> Refusal {
    Refusal { code, retry_after }
}
