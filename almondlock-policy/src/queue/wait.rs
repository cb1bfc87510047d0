//! Choosing the next job, and telling how long one would wait.

use std::{hash::Hash, ops::RangeInclusive, time::Duration};

use almondlock_base::{id::Organisation, time::Mono, unit::Tokens};

use super::{
    Job, Queue, Room, group,
    line::{Lane, Line, Place},
};
use crate::length::Class;

/// Whether a job may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fit {
    Now,
    /// Memory or a batch slot is lacking.
    NoRoom,
    /// Enough prompts of its kind are being processed.
    Busy,
}

impl<I> Queue<I>
where
    I: Clone + Eq + Hash,
{
    /// The place of the job to start next, and whether a longer one that is due
    /// is kept room for meanwhile.
    pub(super) fn choose(&mut self, now: Mono, room: &Room) -> Option<(Place, bool)> {
        if let Some(place) = self.choose_alone(room) {
            return Some((place, false));
        }
        if room.free_slots == 0 || self.load.alone > 0 || self.is_draining(now) {
            return None;
        }
        let lowest = self.lowest_counter(room)?;
        self.floor = self.floor.max(lowest);
        let ceiling = lowest.saturating_add(self.config.quantum_tokens);
        let mut held = self.hold;
        let mut place = self.choose_among(0..=ceiling, &mut held, now, room);
        if place.is_none() {
            // Nothing of those has room now. The others have been served more
            // and go on all the same: an idle engine helps nobody.
            let others = ceiling.saturating_add(1)..=u64::MAX;
            place = self.choose_among(others, &mut held, now, room);
        }
        place.map(|place| (place, held))
    }

    /// Whether a job that runs alone is due: nothing else starts until it did.
    fn is_draining(&self, now: Mono) -> bool {
        self.alone.first().is_some_and(|(due, _)| *due <= now)
    }

    /// The job to run alone, once the engine is idle.
    fn choose_alone(&self, room: &Room) -> Option<Place> {
        let (_, number) = self.alone.first().copied()?;
        let fits = self.waiting.get(&number)?.job.memory_need() <= room.free_memory;
        let idle = fits && self.running.is_empty() && room.free_slots > 0;
        self.place_of(number).filter(|_| idle)
    }

    /// The job that is due first and has room, of the organisations whose
    /// counter lies in a range.
    fn choose_among(
        &self,
        counters: RangeInclusive<u64>,
        held: &mut bool,
        now: Mono,
        room: &Room,
    ) -> Option<Place> {
        // Each round takes the job due next in the lanes still open. If the
        // first of a lane has no room, those behind it wait with it, so there
        // are as many rounds as lanes at most.
        let mut closed = [false; Lane::ALL.len()];
        while let Some((key, lane)) = self.first_due(room, &counters, &closed) {
            let place = self.place_of(key.1)?;
            let job = &self.waiting.get(&key.1)?.job;
            let fit = self.fit(job, room, *held);
            if fit == Fit::Now {
                return Some(place);
            }
            if !self.config.backfill {
                return None;
            }
            *held |= fit == Fit::NoRoom && now >= place.due && job.class() != Class::Short;
            closed[lane] = true;
        }
        None
    }

    /// The lowest counter of the organisations that may start something.
    fn lowest_counter(&self, room: &Room) -> Option<u64> {
        let eligible = |line: &&Line| line.is_waiting() && self.leaves_headroom(line, room);
        self.lines
            .values()
            .filter(eligible)
            .map(Line::counter)
            .min()
    }

    /// One organisation never takes the last places in the batch, so that
    /// another one's short job finds one at once and need not wait until a
    /// whole answer has ended.
    fn leaves_headroom(&self, line: &Line, room: &Room) -> bool {
        let headroom = percent(u64::from(room.total_slots), self.config.headroom_percent);
        let most = u64::from(room.total_slots).saturating_sub(headroom).max(1);
        u64::from(line.running()) < most
    }

    fn first_due(
        &self,
        room: &Room,
        counters: &RangeInclusive<u64>,
        closed: &[bool; Lane::ALL.len()],
    ) -> Option<((Mono, u64), usize)> {
        let mut best: Option<((Mono, u64), usize)> = None;
        for line in self.lines.values() {
            if !line.is_waiting()
                || !counters.contains(&line.counter())
                || !self.leaves_headroom(line, room)
            {
                continue;
            }
            for (index, lane) in Lane::ALL.into_iter().enumerate() {
                if closed[index] || (lane == Lane::SUSPECT && self.load.suspects > 0) {
                    continue;
                }
                let Some(key) = line.first(lane) else {
                    continue;
                };
                if best.is_none_or(|(b, _)| key < b) {
                    best = Some((key, index));
                }
            }
        }
        best
    }

    /// Whether the engine has room for a job. `held` says that a longer one is
    /// due, so that only the reserved part may be used.
    fn fit(&self, job: &Job, room: &Room, held: bool) -> Fit {
        if !self.prefill_fits(job) {
            return Fit::Busy;
        }
        let fits = match job.class() {
            _ if job.memory_need() > room.free_memory => false,
            Class::Short => !held || self.fits_reserve(job, room),
            Class::Medium | Class::Long | Class::Huge => !held && self.spares_reserve(job, room),
        };
        if fits { Fit::Now } else { Fit::NoRoom }
    }

    /// Whether the reserved part alone has room for a short job. Only what
    /// started while room is kept counts: if all short jobs counted, those that
    /// fill the engine when a long one falls due would stop the short ones
    /// until most of them have ended.
    fn fits_reserve(&self, job: &Job, room: &Room) -> bool {
        let memory = percent(room.total_memory.0, self.config.reserve_percent);
        let slots = percent(u64::from(room.total_slots), self.config.reserve_percent);
        self.load.held_memory.0.saturating_add(job.memory_need().0) <= memory
            && u64::from(self.load.held_slots) < slots.max(1)
    }

    /// What is to be left free of the reserved part: what short jobs don't hold
    /// of it already.
    pub fn reserve_left(&self, room: &Room) -> Tokens {
        let memory = Tokens(percent(room.total_memory.0, self.config.reserve_percent));
        memory.saturating_sub(self.load.short_memory)
    }

    /// Whether a longer job leaves the reserved part to the short ones. What
    /// short jobs hold of it already is not kept free again. A job that only
    /// fits with the reserved part gets it, else it could never run.
    fn spares_reserve(&self, job: &Job, room: &Room) -> bool {
        let need = job.memory_need().0;
        let memory = percent(room.total_memory.0, self.config.reserve_percent);
        let memory = memory.min(room.total_memory.0.saturating_sub(need));
        let slots = percent(u64::from(room.total_slots), self.config.reserve_percent);
        let unused_memory = memory.saturating_sub(self.load.short_memory.0);
        let unused_slots = slots.saturating_sub(u64::from(self.load.short_slots));
        need.saturating_add(unused_memory) <= room.free_memory.0
            && u64::from(room.free_slots) > unused_slots
    }

    /// Keeps the order in this queue and not in the engine's: what was handed
    /// over can't be passed any more. At least one job of each group runs. A
    /// short or medium one of an organisation that has little running is not
    /// kept back by those of others: the engine puts it before them.
    fn prefill_fits(&self, job: &Job) -> bool {
        let group = group(job.class());
        let active = self.load.prefill[group];
        let limit = self.config.prefill_limits[group];
        let passes = || job.class() < Class::Long && !self.has_much(&job.organisation);
        active == Tokens::ZERO || active + job.prefill_tokens() <= limit || passes()
    }

    /// Whether an organisation with one job more would have more running than
    /// its part, were there one organisation more.
    pub(super) fn has_much(&self, organisation: &Organisation) -> bool {
        let running = self.lines.get(organisation).map_or(0, Line::running) as usize;
        let active = self.lines.values().filter(|line| !line.is_idle()).count();
        (running + 1) * (active + 1) > self.running.len() + 1
    }

    /// How long a job of this class would wait if it came now: the work that
    /// goes before it, at the speed seen lately.
    pub fn estimate_wait(&self, class: Class) -> Duration {
        let waiting: Tokens = self.queued[..=class.index()].iter().copied().sum();
        let running: Tokens = self.load.prefill[..=group(class)].iter().copied().sum();
        self.service_time(waiting + running)
    }

    /// How long the engine takes for a prefill of this length.
    pub fn service_time(&self, tokens: Tokens) -> Duration {
        Duration::from_secs_f64((tokens.0 as f64 / self.meter.speed()).min(1e9))
    }

    /// Prefill speed seen lately, in tokens per second.
    pub fn prefill_speed(&self) -> f64 {
        self.meter.speed()
    }
}

fn percent(whole: u64, percent: u32) -> u64 {
    let part = u128::from(whole) * u128::from(percent.min(100)) / 100;
    u64::try_from(part).unwrap_or(u64::MAX)
}
