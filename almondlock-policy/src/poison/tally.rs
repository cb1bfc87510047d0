//! Deaths counted by relays, where entry hosts call upstreams without a sidecar.
//!
//! A host of that path sees only that a connection broke while a request ran. It tells
//! every relay, and each relay counts by itself: nothing is agreed on, and a relay that
//! starts again begins anew. From [`REFUSAL_DEATHS`] on the relays tell all hosts to refuse the
//! request.
//!
//! | what hosts tell | what counts |
//! |---|---|
//! | a loss on an upstream's life | a death, once for each life |
//! | a loss of a copy that was sent before the last death was known | nothing: one fault, such as the loss of a failure domain, ends many copies of a usual request at the same moment |
//! | a loss of a copy that was sent to a life after that one was lost | nothing: it was dead already, unless it has lost nothing for a while |
//! | a copy was answered | the deaths are forgotten, unless it is refused already |
//!
//! A request is refused for [`REFUSAL_TIME`] after its last death and then tried once: one more
//! death refuses it again.

use std::{collections::HashMap, hash::Hash, time::Duration};

use almondlock_base::{id::Fingerprint, time::Mono};

/// Deaths from which a request is refused.
pub const REFUSAL_DEATHS: usize = 3;
/// Deaths from which hosts tell when a copy is answered.
pub const WATCH_DEATHS: usize = 2;
/// How long a request is refused after its last death.
pub const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// How long deaths count that don't refuse it.
const SUSPECTED: Duration = Duration::from_secs(60);
/// Requests that are kept; the oldest go first.
pub const MAX_SUSPECTS: usize = 4_096;
/// A life that was lost counts as dead until it has lost nothing for so long: longer than
/// hosts pass over an upstream that failed before they try it again.
const DEAD: Duration = Duration::from_secs(3);
/// How much later than it happened a death may be known.
const NOTICE: Duration = Duration::from_millis(20);

#[derive(Clone, Debug)]
struct Suspect<L> {
    /// Invariant: at most [`REFUSAL_DEATHS`], none twice.
    deaths: Vec<L>,
    last: Mono,
}

impl<L> Suspect<L> {
    fn is_refused(&self, now: Mono) -> bool {
        self.deaths.len() >= REFUSAL_DEATHS && now.since(self.last) < REFUSAL_TIME
    }

    fn lasts(&self) -> Duration {
        match self.deaths.len() < REFUSAL_DEATHS {
            true => SUSPECTED,
            // Once it may run again its deaths count as long as before.
            false => REFUSAL_TIME * 2,
        }
    }
}

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Nothing stands against it.
    Clear,
    /// It may run, and an answer to it is news.
    Watched,
    /// It is refused for so long.
    Refused(Duration),
}

/// The requests that upstreams died of, and of which of their lives.
#[derive(Clone, Debug)]
pub struct Tally<L> {
    suspects: HashMap<Fingerprint, Suspect<L>>,
    /// Lives that count as dead: when each was first lost, and last.
    dead: HashMap<L, (Mono, Mono)>,
}

impl<L> Default for Tally<L> {
    fn default() -> Tally<L> {
        Tally {
            suspects: HashMap::new(),
            dead: HashMap::new(),
        }
    }
}

impl<L> Tally<L>
where
    L: Clone + Eq + Hash,
{
    /// A copy that was sent at `sent` was lost on a life of an upstream. Whether that has
    /// changed what hosts have to know.
    pub fn record_loss(&mut self, now: Mono, print: Fingerprint, life: L, sent: Mono) -> bool {
        self.forget(now);
        let (died, last) = self.dead.entry(life.clone()).or_insert((now, now));
        *last = now;
        if sent > *died + NOTICE {
            return false;
        }
        if !self.suspects.contains_key(&print) {
            self.make_room();
        }
        let suspect = self.suspects.entry(print).or_insert(Suspect {
            deaths: Vec::new(),
            last: Mono::ZERO,
        });
        if sent + NOTICE < suspect.last || suspect.deaths.contains(&life) {
            return false;
        }
        suspect.last = now;
        suspect.deaths.push(life);
        if suspect.deaths.len() > REFUSAL_DEATHS {
            suspect.deaths.remove(0);
        }
        suspect.deaths.len() >= WATCH_DEATHS
    }

    /// A copy was answered. Whether that has changed what hosts have to know.
    pub fn record_answer(&mut self, now: Mono, print: &Fingerprint) -> bool {
        let known = self.suspects.get(print);
        if known.is_none_or(|suspect| suspect.is_refused(now)) {
            return false;
        }
        self.suspects.remove(print);
        true
    }

    /// How a request stands.
    pub fn status(&self, now: Mono, print: &Fingerprint) -> Status {
        match self.suspects.get(print) {
            Some(suspect) if suspect.is_refused(now) => {
                Status::Refused(REFUSAL_TIME.saturating_sub(now.since(suspect.last)))
            }
            Some(suspect) if suspect.deaths.len() >= WATCH_DEATHS => Status::Watched,
            _ => Status::Clear,
        }
    }

    /// All requests that hosts have to know of.
    pub fn watched(&self) -> Vec<Fingerprint> {
        let known = self.suspects.iter();
        let known = known.filter(|(_, suspect)| suspect.deaths.len() >= WATCH_DEATHS);
        known.map(|(print, _)| *print).collect()
    }

    fn forget(&mut self, now: Mono) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last) < suspect.lasts());
        self.dead.retain(|_, (_, last)| now.since(*last) < DEAD);
    }

    /// The oldest goes, one that isn't refused if there is one.
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
