//! Deaths counted by relays, for entry hosts that call upstreams without a sidecar.
//!
//! Such a host sees only that a connection broke while a request ran. It tells every relay,
//! and each relay counts by itself: relays don't agree on anything, and a relay that
//! restarts begins with no deaths. From [`REFUSAL_DEATHS`] on, the relays tell all hosts to
//! refuse the request.
//!
//! | what hosts tell | what counts |
//! |---|---|
//! | a loss on an upstream's life | a death, once for each life |
//! | a loss of a copy that was sent before the last death was known | nothing: one fault, such as the loss of a failure domain, ends many copies of a usual request at the same moment |
//! | a loss of a copy that was sent to a life after that life was lost | nothing: the life was dead already, unless it has lost nothing for a while |
//! | a copy was answered | the deaths are forgotten, unless the request is refused already |
//!
//! A request is refused for [`REFUSAL_TIME`] after its last death and may then be tried
//! once: one more death refuses it again.

use std::{collections::HashMap, hash::Hash, time::Duration};

use almondlock_base::{id::Fingerprint, time::Mono};

/// Number of deaths from which on a request is refused.
pub const REFUSAL_DEATHS: usize = 3;
/// Number of deaths from which on hosts tell when a copy is answered.
pub const WATCH_DEATHS: usize = 2;
/// Time for which a request is refused after its last death.
pub const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// Time for which deaths count that are too few to refuse the request.
const SUSPICION_TIME: Duration = Duration::from_secs(60);
/// Maximum number of requests that are remembered; the oldest are forgotten first.
pub const MAX_SUSPECTS: usize = 4_096;
/// Time without a loss after which a lost life no longer counts as dead. It is longer than
/// the time for which hosts pass over a failed upstream before they try it again.
const LOSS_RETENTION: Duration = Duration::from_secs(3);
/// Time by which a death may be known later than it happened.
const DETECTION_DELAY: Duration = Duration::from_millis(20);

/// A request that upstreams were lost with.
#[derive(Clone, Debug)]
struct Suspect<L> {
    /// The lives that died. Invariant: at most [`REFUSAL_DEATHS`], none twice.
    deaths: Vec<L>,
    /// Time of the last death.
    last: Mono,
}

impl<L> Suspect<L> {
    fn is_refused(&self, now: Mono) -> bool {
        self.deaths.len() >= REFUSAL_DEATHS && now.since(self.last) < REFUSAL_TIME
    }

    /// Returns the time for which the request is remembered after its last death.
    fn retention(&self) -> Duration {
        match self.deaths.len() < REFUSAL_DEATHS {
            true => SUSPICION_TIME,
            // Once the request may run again, its deaths count as long as they did before.
            false => REFUSAL_TIME * 2,
        }
    }
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// No restriction.
    Clear,
    /// It may run, and hosts tell the relays when it is answered.
    Watched,
    /// It is refused for this time.
    Refused(Duration),
}

/// What a reported loss counts as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// A death.
    Death,
    /// Nothing: the upstream's life had been lost before the copy was sent.
    DeadAlready,
    /// Nothing: the copy was sent before the last death was known.
    Overlapping,
    /// Nothing: the death is known.
    Repeated,
}

/// The requests that upstreams were lost with, and the lives that were lost.
#[derive(Clone, Debug)]
pub struct Tally<L> {
    suspects: HashMap<Fingerprint, Suspect<L>>,
    /// Lives that count as dead: the times of the first and the last loss on each.
    lost_lives: HashMap<L, (Mono, Mono)>,
}

impl<L> Default for Tally<L> {
    fn default() -> Tally<L> {
        Tally {
            suspects: HashMap::new(),
            lost_lives: HashMap::new(),
        }
    }
}

impl<L> Tally<L>
where
    L: Clone + Eq + Hash,
{
    /// Records that a copy, sent at `sent`, was lost on a life of an upstream.
    pub fn record_loss(&mut self, now: Mono, print: Fingerprint, life: L, sent: Mono) -> Count {
        self.forget_expired(now);
        let (died, last) = self.lost_lives.entry(life.clone()).or_insert((now, now));
        *last = now;
        if sent > *died + DETECTION_DELAY {
            return Count::DeadAlready;
        }
        if !self.suspects.contains_key(&print) {
            self.make_room();
        }
        let suspect = self.suspects.entry(print).or_insert(Suspect {
            deaths: Vec::new(),
            last: Mono::ZERO,
        });
        if suspect.deaths.contains(&life) {
            return Count::Repeated;
        }
        if sent + DETECTION_DELAY < suspect.last {
            return Count::Overlapping;
        }
        suspect.last = now;
        suspect.deaths.push(life);
        if suspect.deaths.len() > REFUSAL_DEATHS {
            suspect.deaths.remove(0);
        }
        Count::Death
    }

    /// Records that a copy was answered. Returns whether this changed what hosts have to
    /// know.
    pub fn record_answer(&mut self, now: Mono, print: &Fingerprint) -> bool {
        let known = self.suspects.get(print);
        if known.is_none_or(|suspect| suspect.is_refused(now)) {
            return false;
        }
        self.suspects.remove(print);
        true
    }

    /// Returns whether a request may run.
    pub fn status(&self, now: Mono, print: &Fingerprint) -> Status {
        match self.suspects.get(print) {
            Some(suspect) if suspect.is_refused(now) => {
                Status::Refused(REFUSAL_TIME.saturating_sub(now.since(suspect.last)))
            }
            Some(suspect) if suspect.deaths.len() >= WATCH_DEATHS => Status::Watched,
            _ => Status::Clear,
        }
    }

    /// Returns all requests that hosts have to know of.
    pub fn watched(&self) -> Vec<Fingerprint> {
        let known = self.suspects.iter();
        let known = known.filter(|(_, suspect)| suspect.deaths.len() >= WATCH_DEATHS);
        known.map(|(print, _)| *print).collect()
    }

    fn forget_expired(&mut self, now: Mono) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last) < suspect.retention());
        self.lost_lives
            .retain(|_, (_, last)| now.since(*last) < LOSS_RETENTION);
    }

    /// Forgets the oldest request, if possible one that isn't refused.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let order = |suspect: &Suspect<L>| (suspect.deaths.len() >= REFUSAL_DEATHS, suspect.last);
        let oldest = self.suspects.iter().min_by_key(|(_, s)| order(s));
        if let Some(print) = oldest.map(|(print, _)| *print) {
            self.suspects.remove(&print);
        }
    }
}
