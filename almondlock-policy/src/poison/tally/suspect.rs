//! What is remembered of one fingerprint.

use std::time::Duration;

use almondlock_base::time::Mono;

use super::{Count, DETECTION_DELAY, REFUSAL_TIME, WATCH_DEATHS};
use crate::poison::profile::{Profile, Rule};

/// Time for which deaths count that are too few to refuse the request.
const SUSPICION_TIME: Duration = Duration::from_secs(600);
/// Maximum number of lives that are remembered of each fingerprint.
const MAX_LIVES: usize = 16;
/// Time after a death within which further ones belong to the same fault.
const MIN_GAP: Duration = Duration::from_millis(50);
/// Time after a death from which on a further one counts whenever its request was sent.
const MAX_GAP: Duration = Duration::from_millis(250);

/// The loss of a life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct End<L> {
    pub(super) life: L,
    /// Time at which the life was first lost. It tells this loss from a later one of a life
    /// that had only lost connections.
    pub(super) at: Mono,
}

/// A fingerprint that upstreams were lost with.
#[derive(Clone, Debug)]
pub(super) struct Suspect<L> {
    /// The lives that were lost with it, and the age of the oldest request on each.
    ///
    /// Invariant: at most [`MAX_LIVES`], no life twice.
    pub(super) ends: Vec<(End<L>, Duration)>,
    /// The lives whose loss counts as a death.
    ///
    /// Invariant: at most [`MAX_LIVES`], none twice.
    pub(super) deaths: Vec<L>,
    /// Time of the last death.
    pub(super) last: Mono,
    /// Time of the death from which on the fingerprint is watched.
    pub(super) watched: Mono,
    /// What the lost requests have in common.
    ///
    /// Invariant: names the fingerprint itself.
    pub(super) rule: Rule,
    /// Time at which the deaths were enough and no other fingerprint explained them.
    pub(super) proven: Option<Mono>,
    /// Whether losses that were reported later can't change that any more.
    pub(super) is_final: bool,
}

impl<L> Suspect<L>
where
    L: Clone + PartialEq,
{
    pub(super) fn new(profile: &Profile) -> Suspect<L> {
        Suspect {
            ends: Vec::new(),
            deaths: Vec::new(),
            last: Mono::ZERO,
            watched: Mono::ZERO,
            rule: Rule::of(profile),
            proven: None,
            is_final: false,
        }
    }

    /// Makes one that another relay has proven, with its last death at `last`.
    pub(super) fn adopted(now: Mono, rule: Rule, last: Mono) -> Suspect<L> {
        Suspect {
            ends: Vec::new(),
            deaths: Vec::new(),
            last,
            watched: last,
            rule,
            proven: Some(now),
            is_final: true,
        }
    }

    pub(super) fn is_refused(&self, now: Mono) -> bool {
        self.proven.is_some() && now.since(self.last) < REFUSAL_TIME
    }

    /// Returns the time for which the request is remembered after its last death.
    pub(super) fn retention(&self) -> Duration {
        match self.proven {
            None => SUSPICION_TIME,
            // Once the request may run again, its deaths count as long as they did before.
            Some(_) => REFUSAL_TIME * 2,
        }
    }

    /// Records that a life ended, with a request that was sent at `sent`.
    pub(super) fn record_end(&mut self, now: Mono, end: End<L>, sent: Mono) -> Count {
        let age = now.since(sent);
        let mut known = self.ends.iter_mut();
        if let Some((_, oldest)) = known.find(|(other, _)| other.life == end.life) {
            *oldest = age.max(*oldest);
            return Count::Repeated;
        }
        self.ends.push((end.clone(), age));
        if self.ends.len() > MAX_LIVES {
            self.ends.remove(0);
        }
        let gap = now.since(self.last);
        let is_later = sent + DETECTION_DELAY >= self.last && gap >= MIN_GAP;
        if !is_later && gap < MAX_GAP {
            return Count::Overlapping;
        }
        self.last = now;
        self.deaths.push(end.life);
        if self.deaths.len() == WATCH_DEATHS {
            self.watched = now;
        }
        if self.deaths.len() > MAX_LIVES {
            self.deaths.remove(0);
        }
        Count::Death
    }

    /// Returns whether `other` was lost on each life that this one was lost on.
    pub(super) fn is_covered_by(&self, other: &Suspect<L>) -> bool {
        let ended = |end: &End<L>| other.ends.iter().any(|(other, _)| other == end);
        self.ends.iter().all(|(end, _)| ended(end))
    }

    /// Returns the sum of the ages of the requests that were lost.
    pub(super) fn total_age(&self) -> Duration {
        self.ends.iter().map(|(_, age)| *age).sum()
    }

    /// Forgets that these lives ended.
    pub(super) fn forget(&mut self, ends: &[End<L>]) {
        self.ends.retain(|(end, _)| !ends.contains(end));
        let left = &self.ends;
        let is_left = |life: &L| left.iter().any(|(end, _)| end.life == *life);
        self.deaths.retain(is_left);
    }
}
