//! The prompts that wait at a host for a slot, and their order.

use std::{cmp::Reverse, time::Duration};

use almondlock_base::time::Mono;

use crate::share::Standing;

/// Part of its longest wait after which a prompt goes first, so that it gets a slot before it is
/// sent without one.
const OVERDUE_SHARE: f64 = 0.85;

/// Properties of a prompt that needs a slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prompt {
    /// Time at which the prompt arrived at the host.
    pub arrived: Mono,
    /// Time at which the whole answer has to be there.
    pub deadline: Mono,
    /// Time from the prompt's arrival within which its first event should be sent.
    pub objective: Duration,
    /// Expected time from getting a slot to the first event.
    pub expected_delay: Duration,
    /// Rank of the prompt at an engine. A lower rank is more urgent.
    pub priority: u32,
    /// Whether the prompt's organisation is over its share.
    pub standing: Standing,
}

impl Prompt {
    /// Returns the latest time to get a slot at which the prompt still meets its objective.
    pub fn latest_start(&self) -> Mono {
        self.arrived + self.objective.saturating_sub(self.expected_delay)
    }

    /// Returns the time until the prompt's deadline.
    pub(super) const fn time_left(&self, now: Mono) -> Duration {
        self.deadline.since(now)
    }
}

/// Identifies a waiting prompt. Tickets are ordered by the time at which prompts began to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A waiting prompt.
#[derive(Clone, Copy, Debug)]
struct Entry {
    ticket: Ticket,
    priority: u32,
    is_over_share: bool,
    // Latest slot with which the prompt is in time, `Mono::ZERO` if it was late from the start.
    latest_start: Mono,
    // Time from which the prompt goes first, and time at which it is sent without a slot.
    urgent_from: Mono,
    sent_by: Mono,
}

impl Entry {
    /// Whether the prompt can still meet its objective.
    fn is_timely(&self, now: Mono) -> bool {
        now <= self.latest_start
    }

    /// Returns the sort key; the least goes first. Priority precedes shares, and shares precede
    /// objectives.
    fn rank(&self, now: Mono) -> (bool, u32, bool, bool, Ticket) {
        let (is_early, is_late) = (now < self.urgent_from, !self.is_timely(now));
        (
            is_early,
            self.priority,
            self.is_over_share,
            is_late,
            self.ticket,
        )
    }
}

/// Waiting prompts. [`super::Allocator`] limits them to a few dozen, so that scans are short.
#[derive(Debug, Default)]
pub(super) struct Queue {
    // Oldest first.
    entries: Vec<Entry>,
    // Number of the ticket issued last.
    last_number: u64,
}

impl Queue {
    /// Adds a prompt that waits for `patience` at most.
    pub(super) fn push(
        &mut self,
        now: Mono,
        prompt: &Prompt,
        is_late: bool,
        patience: Duration,
    ) -> Ticket {
        self.last_number += 1;
        let ticket = Ticket(self.last_number);
        self.entries.push(Entry {
            ticket,
            priority: prompt.priority,
            is_over_share: matches!(prompt.standing, Standing::Over { .. }),
            latest_start: if is_late {
                Mono::ZERO
            } else {
                prompt.latest_start()
            },
            urgent_from: now + patience.mul_f64(OVERDUE_SHARE),
            sent_by: now + patience,
        });
        ticket
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether a waiting prompt can still meet its objective.
    pub(super) fn has_timely(&self, now: Mono) -> bool {
        self.entries.iter().any(|entry| entry.is_timely(now))
    }

    /// Returns the number of prompts that can no longer meet their objective.
    pub(super) fn late_count(&self, now: Mono) -> usize {
        let late = self.entries.iter().filter(|entry| !entry.is_timely(now));
        late.count()
    }

    /// Returns the number of prompts that can still meet their objective.
    pub(super) fn timely_count(&self, now: Mono) -> u32 {
        u32::try_from(self.len() - self.late_count(now)).unwrap_or(u32::MAX)
    }

    /// Removes the next prompt.
    pub(super) fn pop(&mut self, now: Mono) -> Option<Ticket> {
        let order = self.entries.iter().enumerate();
        let (place, _) = order.min_by_key(|(_, entry)| entry.rank(now))?;
        Some(self.entries.remove(place).ticket)
    }

    /// Removes the next prompt if it can still meet its objective or has waited for long.
    pub(super) fn pop_urgent(&mut self, now: Mono) -> Option<Ticket> {
        self.has_urgent(now).then(|| self.pop(now)).flatten()
    }

    /// Whether the next prompt can still meet its objective or has waited for long.
    pub(super) fn has_urgent(&self, now: Mono) -> bool {
        let next = self.entries.iter().min_by_key(|entry| entry.rank(now));
        next.is_some_and(|entry| entry.is_timely(now) || now >= entry.urgent_from)
    }

    /// Removes the next prompt if it can no longer meet its objective.
    pub(super) fn pop_late(&mut self, now: Mono) -> Option<Ticket> {
        let next = self.entries.iter().min_by_key(|entry| entry.rank(now))?;
        (!next.is_timely(now)).then(|| self.pop(now)).flatten()
    }

    /// Removes the prompts that have waited for as long as they may, longest overdue first.
    pub(super) fn pop_expired(&mut self, now: Mono) -> Vec<Ticket> {
        let expired = self.entries.extract_if(.., |entry| entry.sent_by <= now);
        let mut expired: Vec<Entry> = expired.collect();
        expired.sort_by_key(|entry| Reverse(now.since(entry.sent_by)));
        expired.into_iter().map(|entry| entry.ticket).collect()
    }

    /// Removes all prompts.
    pub(super) fn drain(&mut self) -> Vec<Ticket> {
        self.entries.drain(..).map(|entry| entry.ticket).collect()
    }

    pub(super) fn remove(&mut self, ticket: Ticket) {
        self.entries.retain(|entry| entry.ticket != ticket);
    }
}
