//! The prompts that wait at a host, and their order.

use std::{cmp::Reverse, time::Duration};

use almondlock_base::time::Mono;

use crate::share::Standing;

/// The part of its patience after which a prompt goes first, so that it gets a slot before
/// it is sent without one.
const OVERDUE_SHARE: f64 = 0.85;

/// What is known of a prompt that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prompt {
    /// When it came to the host.
    pub arrived: Mono,
    /// When its time is over.
    pub until: Mono,
    /// When its first event should be there, from its arrival.
    pub objective: Duration,
    /// The time from its slot to its first event.
    pub expected: Duration,
    /// Its rank at an engine; the lower, the more urgent.
    pub priority: u32,
    /// How its organisation stands with its share.
    pub standing: Standing,
}

impl Prompt {
    /// When it has to get its slot to meet its objective.
    pub fn latest(&self) -> Mono {
        self.arrived + self.objective.saturating_sub(self.expected)
    }

    pub(super) const fn left(&self, now: Mono) -> Duration {
        self.until.since(now)
    }
}

/// Names a prompt that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

#[derive(Clone, Copy, Debug)]
struct Entry {
    ticket: Ticket,
    priority: u32,
    is_over: bool,
    // `Mono::ZERO` for one that was late from the start.
    latest: Mono,
    // From when it goes first, and when it is sent in any case.
    overdue: Mono,
    sent_by: Mono,
}

impl Entry {
    fn is_timely(&self, now: Mono) -> bool {
        now <= self.latest
    }

    /// The least goes first. Priority precedes shares, and shares precede objectives.
    fn rank(&self, now: Mono) -> (bool, u32, bool, bool, Ticket) {
        let (is_early, is_late) = (now < self.overdue, !self.is_timely(now));
        (is_early, self.priority, self.is_over, is_late, self.ticket)
    }
}

/// Bounded by [`super::Allocator`] to a few dozen entries: scans are short.
#[derive(Debug, Default)]
pub(super) struct Line {
    // In order of arrival.
    entries: Vec<Entry>,
    last: u64,
}

impl Line {
    /// `patience`: how long it waits at most.
    pub(super) fn push(
        &mut self,
        now: Mono,
        case: &Prompt,
        is_late: bool,
        patience: Duration,
    ) -> Ticket {
        self.last += 1;
        let ticket = Ticket(self.last);
        self.entries.push(Entry {
            ticket,
            priority: case.priority,
            is_over: matches!(case.standing, Standing::Over { .. }),
            latest: if is_late { Mono::ZERO } else { case.latest() },
            overdue: now + patience.mul_f64(OVERDUE_SHARE),
            sent_by: now + patience,
        });
        ticket
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn has_timely(&self, now: Mono) -> bool {
        self.entries.iter().any(|entry| entry.is_timely(now))
    }

    pub(super) fn late(&self, now: Mono) -> usize {
        let late = self.entries.iter().filter(|entry| !entry.is_timely(now));
        late.count()
    }

    pub(super) fn timely(&self, now: Mono) -> u32 {
        u32::try_from(self.len() - self.late(now)).unwrap_or(u32::MAX)
    }

    pub(super) fn pop(&mut self, now: Mono) -> Option<Ticket> {
        let order = self.entries.iter().enumerate();
        let (place, _) = order.min_by_key(|(_, entry)| entry.rank(now))?;
        Some(self.entries.remove(place).ticket)
    }

    /// The next one that can meet its objective or has waited for long.
    pub(super) fn pop_urgent(&mut self, now: Mono) -> Option<Ticket> {
        self.has_urgent(now).then(|| self.pop(now)).flatten()
    }

    /// Whether the next one is such.
    pub(super) fn has_urgent(&self, now: Mono) -> bool {
        let next = self.entries.iter().min_by_key(|entry| entry.rank(now));
        next.is_some_and(|entry| entry.is_timely(now) || now >= entry.overdue)
    }

    /// The next one that is late, if it is its turn.
    pub(super) fn pop_late(&mut self, now: Mono) -> Option<Ticket> {
        let next = self.entries.iter().min_by_key(|entry| entry.rank(now))?;
        (!next.is_timely(now)).then(|| self.pop(now)).flatten()
    }

    /// Those that have waited for as long as they may.
    pub(super) fn expired(&mut self, now: Mono) -> Vec<Ticket> {
        let expired = self.entries.extract_if(.., |entry| entry.sent_by <= now);
        let mut expired: Vec<Entry> = expired.collect();
        expired.sort_by_key(|entry| Reverse(now.since(entry.sent_by)));
        expired.into_iter().map(|entry| entry.ticket).collect()
    }

    pub(super) fn drain(&mut self) -> Vec<Ticket> {
        self.entries.drain(..).map(|entry| entry.ticket).collect()
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.entries.retain(|entry| entry.ticket != ticket);
    }
}
