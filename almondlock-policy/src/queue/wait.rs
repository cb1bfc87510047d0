//! Chooses the next job, and estimates how long a new job would wait.

use std::{hash::Hash, ops::RangeInclusive, time::Duration};

use almondlock_base::{id::Organisation, time::Mono, unit::Tokens};

use super::{
    Job, Queue, Room,
    flow::{Flow, Lane, Position},
    prefill_group,
};
use crate::length::Class;

/// Whether a job may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fit {
    Now,
    /// Memory or a batch slot is lacking.
    NoRoom,
    /// Enough prompts of its group are being processed.
    PrefillBusy,
}

impl<I> Queue<I>
where
    I: Clone + Eq + Hash,
{
    /// Returns the position of the job to start next, and whether room is kept for a longer
    /// job that is due.
    pub(super) fn choose(&mut self, now: Mono, room: &Room) -> Option<(Position, bool)> {
        if let Some(position) = self.choose_alone(room) {
            return Some((position, false));
        }
        if room.free_slots == 0 || self.load.alone > 0 || self.is_draining(now) {
            return None;
        }
        let lowest = self.lowest_counter(room)?;
        self.floor = self.floor.max(lowest);
        let ceiling = lowest.saturating_add(self.config.quantum_tokens);
        let mut room_kept = self.hold;
        let mut position = self.choose_among(0..=ceiling, &mut room_kept, now, room);
        if position.is_none() {
            // No job within the range has room now. Organisations beyond it have been
            // served more, but they may start jobs all the same, since nobody gains from an
            // idle engine.
            let others = ceiling.saturating_add(1)..=u64::MAX;
            position = self.choose_among(others, &mut room_kept, now, room);
        }
        position.map(|position| (position, room_kept))
    }

    /// Returns whether a job that runs alone is due, so that no other job starts before it.
    fn is_draining(&self, now: Mono) -> bool {
        self.alone.first().is_some_and(|(due, _)| *due <= now)
    }

    /// Returns the position of the next job that runs alone, if the engine is idle.
    fn choose_alone(&self, room: &Room) -> Option<Position> {
        let (_, number) = self.alone.first().copied()?;
        let fits = self.waiting.get(&number)?.job.memory_need() <= room.free_memory;
        let idle = fits && self.running.is_empty() && room.free_slots > 0;
        self.position_of(number).filter(|_| idle)
    }

    /// Returns the position of the job with the earliest due time that has room, among the
    /// organisations whose counter lies in a range. Sets `room_kept` when a longer job that
    /// is due has no room.
    fn choose_among(
        &self,
        counters: RangeInclusive<u64>,
        room_kept: &mut bool,
        now: Mono,
        room: &Room,
    ) -> Option<Position> {
        // Each round takes the job with the earliest due time in the open lanes. If the
        // first job of a lane has no room, the jobs behind it wait with it, so there are at
        // most as many rounds as lanes.
        let mut closed = [false; Lane::ALL.len()];
        while let Some((key, lane)) = self.first_due(room, &counters, &closed) {
            let position = self.position_of(key.1)?;
            let job = &self.waiting.get(&key.1)?.job;
            let fit = self.check_fit(job, room, *room_kept);
            if fit == Fit::Now {
                return Some(position);
            }
            if !self.config.backfill {
                return None;
            }
            *room_kept |= fit == Fit::NoRoom && now >= position.due && job.class() != Class::Short;
            closed[lane] = true;
        }
        None
    }

    /// Returns the lowest counter of the organisations that may start a job.
    fn lowest_counter(&self, room: &Room) -> Option<u64> {
        let eligible = |flow: &&Flow| flow.is_waiting() && self.has_headroom(flow, room);
        self.flows
            .values()
            .filter(eligible)
            .map(Flow::counter)
            .min()
    }

    /// Returns whether an organisation may take another batch slot. Some slots are left to
    /// the other organisations, so that their short jobs find one at once and need not wait
    /// until a whole answer has ended.
    fn has_headroom(&self, flow: &Flow, room: &Room) -> bool {
        let headroom = percent_of(u64::from(room.total_slots), self.config.headroom_percent);
        let most = u64::from(room.total_slots).saturating_sub(headroom).max(1);
        u64::from(flow.running()) < most
    }

    /// Returns the key of the waiting job with the earliest due time in the open lanes of
    /// the organisations whose counter lies in a range, with the index of its lane.
    fn first_due(
        &self,
        room: &Room,
        counters: &RangeInclusive<u64>,
        closed: &[bool; Lane::ALL.len()],
    ) -> Option<((Mono, u64), usize)> {
        let mut best: Option<((Mono, u64), usize)> = None;
        for flow in self.flows.values() {
            if !flow.is_waiting()
                || !counters.contains(&flow.counter())
                || !self.has_headroom(flow, room)
            {
                continue;
            }
            for (index, lane) in Lane::ALL.into_iter().enumerate() {
                if closed[index] || (lane == Lane::SUSPECT && self.load.suspects > 0) {
                    continue;
                }
                let Some(key) = flow.first(lane) else {
                    continue;
                };
                if best.is_none_or(|(b, _)| key < b) {
                    best = Some((key, index));
                }
            }
        }
        best
    }

    /// Returns whether the engine has room for a job. `room_kept` says that room is kept
    /// for a longer job, so that only short jobs may start, in the reserved part.
    fn check_fit(&self, job: &Job, room: &Room, room_kept: bool) -> Fit {
        if !self.may_prefill(job) {
            return Fit::PrefillBusy;
        }
        let fits = match job.class() {
            _ if job.memory_need() > room.free_memory => false,
            Class::Short => !room_kept || self.has_reserve_room(job, room),
            Class::Medium | Class::Long | Class::Huge => {
                !room_kept && self.spares_reserve(job, room)
            }
        };
        if fits { Fit::Now } else { Fit::NoRoom }
    }

    /// Returns whether the reserved part alone has room for a short job. Only short jobs
    /// that started while room was kept count: if all of them counted, those that fill the
    /// engine when a long job becomes due would stop new short jobs until most of them have
    /// ended.
    fn has_reserve_room(&self, job: &Job, room: &Room) -> bool {
        let memory = percent_of(room.total_memory.0, self.config.reserve_percent);
        let slots = percent_of(u64::from(room.total_slots), self.config.reserve_percent);
        self.load.hold_memory.0.saturating_add(job.memory_need().0) <= memory
            && u64::from(self.load.hold_slots) < slots.max(1)
    }

    /// Returns the memory of the reserved part that is to be left free, which is the part
    /// that short jobs don't hold already.
    pub fn reserve_left(&self, room: &Room) -> Tokens {
        let memory = Tokens(percent_of(room.total_memory.0, self.config.reserve_percent));
        memory.saturating_sub(self.load.short_memory)
    }

    /// Returns whether a longer job leaves the reserved part to short jobs. Memory of that
    /// part which short jobs hold already is not kept free again. A job that fits only with
    /// the reserved part gets it, else it could never run.
    fn spares_reserve(&self, job: &Job, room: &Room) -> bool {
        let need = job.memory_need().0;
        let memory = percent_of(room.total_memory.0, self.config.reserve_percent);
        let memory = memory.min(room.total_memory.0.saturating_sub(need));
        let slots = percent_of(u64::from(room.total_slots), self.config.reserve_percent);
        let unused_memory = memory.saturating_sub(self.load.short_memory.0);
        let unused_slots = slots.saturating_sub(u64::from(self.load.short_slots));
        need.saturating_add(unused_memory) <= room.free_memory.0
            && u64::from(room.free_slots) > unused_slots
    }

    /// Returns whether a job's prompt may be handed to the engine beside those in prefill.
    /// The limit keeps the order in this queue: a job that was handed over can't be passed
    /// any more. At least one job of each group runs. A short or medium job of an
    /// organisation that has little running is not kept back by jobs of other
    /// organisations, since the engine processes it before them.
    fn may_prefill(&self, job: &Job) -> bool {
        let group = prefill_group(job.class());
        let active = self.load.prefill[group];
        let limit = self.config.prefill_limits[group];
        let passes = || job.class() < Class::Long && !self.has_excess_running(&job.organisation);
        active == Tokens::ZERO || active + job.prefill_tokens() <= limit || passes()
    }

    /// Returns whether an organisation, with one more job, would have more than an equal
    /// part of the running jobs if there were one more active organisation.
    pub(super) fn has_excess_running(&self, organisation: &Organisation) -> bool {
        let running = self.flows.get(organisation).map_or(0, Flow::running) as usize;
        let active = self.flows.values().filter(|flow| !flow.is_idle()).count();
        (running + 1) * (active + 1) > self.running.len() + 1
    }

    /// Returns the time that a job of this class would wait if it came now: the time for
    /// the work that goes before it at the measured speed.
    pub fn estimate_wait(&self, class: Class) -> Duration {
        let waiting: Tokens = self.queued_tokens[..=class.index()].iter().copied().sum();
        let running: Tokens = self.load.prefill[..=prefill_group(class)]
            .iter()
            .copied()
            .sum();
        self.service_time(waiting + running)
    }

    /// Returns the time that the engine takes for a prefill of this length.
    pub fn service_time(&self, tokens: Tokens) -> Duration {
        Duration::from_secs_f64((tokens.0 as f64 / self.meter.speed()).min(1e9))
    }

    /// Returns the measured prefill speed in tokens per second.
    pub fn prefill_speed(&self) -> f64 {
        self.meter.speed()
    }
}

fn percent_of(whole: u64, percent: u32) -> u64 {
    let part = u128::from(whole) * u128::from(percent.min(100)) / 100;
    u64::try_from(part).unwrap_or(u64::MAX)
}
