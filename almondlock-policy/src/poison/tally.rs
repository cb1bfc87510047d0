//! Deaths counted by relays, for entry hosts that call upstreams without a sidecar.
//!
//! Such a host sees only that a connection broke while a request ran. It tells every relay,
//! and each relay counts by itself: relays don't agree on anything, and a relay that
//! restarts begins with no deaths. What is counted are fingerprints: of the whole request,
//! which its copies share, and of parts of its prompt, which other requests share. From
//! [`REFUSAL_DEATHS`] on, the relays tell all hosts to refuse requests.
//!
//! | what hosts tell | what counts |
//! |---|---|
//! | a loss on an upstream's life | a death of each fingerprint of the request, once for each life |
//! | a loss of a request that was sent before the last death was known, or just after it | nothing: one fault, such as the loss of a failure domain, ends many usual requests at the same moment. A while after that death it counts, since requests with a fingerprint may overlap all the time |
//! | a loss of a request that was sent to a life after that life was lost | nothing: the life was dead already, unless it has lost nothing for a while |
//! | a loss on a life that another, refused fingerprint has ended | nothing |
//! | a fingerprint was answered | its deaths are forgotten, unless it alone is refused already |
//!
//! What is refused is all that the lost requests had in common and that was not answered
//! since ([`Rule`]): a request that shares only some of it runs, and its answer tells which
//! of the rest is to blame. A fingerprint that died only where another one died too is not
//! refused, as the other one explains its deaths.
//!
//! A request is refused for [`REFUSAL_TIME`] after the last death and may then be tried
//! once: one more death refuses it again.

mod suspect;

use std::{
    collections::{BTreeSet, HashMap},
    hash::Hash,
    time::Duration,
};

use almondlock_base::{id::Fingerprint, time::Mono};

use self::suspect::{End, Suspect};
use super::profile::{Profile, Rule};

/// Number of deaths from which on a request is refused.
pub const REFUSAL_DEATHS: usize = 3;
/// Number of deaths from which on hosts tell when a copy is answered.
pub const WATCH_DEATHS: usize = 2;
/// Time for which a request is refused after its last death.
pub const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// Time that hosts have to tell of answers, from the death that made a fingerprint watched
/// until it is refused.
pub const APPEAL_TIME: Duration = Duration::from_millis(200);
/// Time after a death within which hosts report all requests that were lost with it.
const REPORT_TIME: Duration = Duration::from_millis(50);
/// Maximum number of fingerprints that are remembered; the oldest are forgotten first.
pub const MAX_SUSPECTS: usize = 4_096;
/// Time without a loss after which a lost life no longer counts as dead. It is longer than
/// the time for which hosts pass over a failed upstream before they try it again.
const LOSS_RETENTION: Duration = Duration::from_secs(3);
/// Time by which a death may be known later than it happened.
const DETECTION_DELAY: Duration = Duration::from_millis(20);

/// A request that was lost with an upstream.
#[derive(Clone, Debug)]
pub struct Loss<'a, L> {
    /// What the request can be recognised by.
    pub profile: &'a Profile,
    /// The upstream's life.
    pub life: L,
    /// When the request was sent to it.
    pub sent: Mono,
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

/// What a reported loss counts as. Of several fingerprints, the greatest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Count {
    /// Nothing: the upstream's life had been lost before the request was sent.
    DeadAlready,
    /// Nothing: another fingerprint, which is refused, ended the life.
    Explained,
    /// Nothing: the death is known.
    Repeated,
    /// Nothing: the request was sent before the last death was known.
    Overlapping,
    /// A death.
    Death,
}

/// A life that counts as dead.
#[derive(Clone, Copy, Debug)]
struct Lost {
    first: Mono,
    last: Mono,
    /// Whether a refused fingerprint ended it.
    is_explained: bool,
}

/// The fingerprints that upstreams were lost with, and the lives that were lost.
#[derive(Clone, Debug)]
pub struct Tally<L> {
    /// Number of deaths from which on a request is refused.
    refusal_deaths: usize,
    suspects: HashMap<Fingerprint, Suspect<L>>,
    lost_lives: HashMap<L, Lost>,
    /// Fingerprints of which hosts have to know more than they were told.
    changed: BTreeSet<Fingerprint>,
}

impl<L> Default for Tally<L> {
    fn default() -> Tally<L> {
        Tally::new(REFUSAL_DEATHS)
    }
}

impl<L> Tally<L> {
    /// Makes an empty tally that refuses requests from this number of deaths on.
    pub fn new(refusal_deaths: usize) -> Tally<L> {
        Tally {
            refusal_deaths,
            suspects: HashMap::new(),
            lost_lives: HashMap::new(),
            changed: BTreeSet::new(),
        }
    }
}

impl<L> Tally<L>
where
    L: Clone + Eq + Hash,
{
    /// Records that a request was lost on a life of an upstream.
    pub fn record_loss(&mut self, now: Mono, loss: &Loss<'_, L>) -> Count {
        self.forget_expired(now);
        let lost = self.lost_lives.entry(loss.life.clone()).or_insert(Lost {
            first: now,
            last: now,
            is_explained: false,
        });
        lost.last = now;
        if loss.sent > lost.first + DETECTION_DELAY {
            return Count::DeadAlready;
        }
        let end = End {
            life: loss.life.clone(),
            at: lost.first,
        };
        let is_explained = lost.is_explained;
        let prints = loss.profile.prints.iter();
        let counts = prints.map(|print| match is_explained && !self.is_final(print) {
            true => Count::Explained,
            false => self.blame(now, *print, loss, end.clone()),
        });
        let count = counts.max().unwrap_or(Count::Repeated);
        self.explain_by_final(loss.profile, end);
        self.settle(now);
        count
    }

    /// Counts a loss for one fingerprint of the request.
    fn blame(&mut self, now: Mono, print: Fingerprint, loss: &Loss<'_, L>, end: End<L>) -> Count {
        if !self.suspects.contains_key(&print) {
            self.make_room();
        }
        let suspect = self.suspects.entry(print);
        let suspect = suspect.or_insert_with(|| Suspect::new(loss.profile));
        let is_narrower = suspect.rule.narrow(loss.profile);
        let count = suspect.record_end(now, end, loss.sent);
        let is_watched = suspect.deaths.len() >= WATCH_DEATHS;
        if is_watched && (is_narrower || count == Count::Death) {
            self.changed.insert(print);
        }
        count
    }

    /// Explains the end of a life by the lost request, if that is one to be refused.
    fn explain_by_final(&mut self, profile: &Profile, end: End<L>) {
        let mut prints = profile.prints.iter();
        let found = prints.find(|print| {
            let suspect = self.suspects.get(print);
            suspect.is_some_and(|s| s.is_final && s.rule.matches(profile))
        });
        if let Some(print) = found {
            self.explain(*print, &[end]);
        }
    }

    /// Records that a fingerprint ended these lives, so that nothing else is blamed for it,
    /// but for what was lost only together with it.
    fn explain(&mut self, print: Fingerprint, ends: &[End<L>]) {
        for end in ends {
            let lost = self.lost_lives.get_mut(&end.life);
            if let Some(lost) = lost.filter(|lost| lost.first == end.at) {
                lost.is_explained = true;
            }
        }
        let (changed, needed) = (&mut self.changed, self.refusal_deaths);
        self.suspects.retain(|other, suspect| {
            let is_apart = *other != print && !suspect.rule.prints.contains(&print);
            if suspect.is_final || !is_apart {
                return true;
            }
            if suspect.deaths.len() >= WATCH_DEATHS {
                changed.insert(*other);
            }
            suspect.forget(ends);
            if suspect.deaths.len() < needed {
                suspect.proven = None;
            }
            !suspect.ends.is_empty()
        });
    }

    /// Refuses the fingerprints that have had enough deaths, if no other one explains these.
    /// To be called now and then, since time alone can decide it.
    pub fn settle(&mut self, now: Mono) {
        let due = self.suspects.iter().filter(|(_, suspect)| {
            let is_enough = suspect.deaths.len() >= self.refusal_deaths;
            is_enough && !suspect.is_final && now.since(suspect.watched) >= APPEAL_TIME
        });
        let due: Vec<Fingerprint> = due.map(|(print, _)| *print).collect();
        for print in due {
            let is_explained = self.is_explained(&print);
            let Some(suspect) = self.suspects.get_mut(&print) else {
                continue;
            };
            if is_explained {
                suspect.proven = None;
                continue;
            }
            let proven = *suspect.proven.get_or_insert(now);
            if now.since(proven) < REPORT_TIME {
                continue;
            }
            suspect.is_final = true;
            let ends = suspect.ends.iter().map(|(end, _)| end.clone());
            let ends: Vec<End<L>> = ends.collect();
            self.changed.insert(print);
            self.explain(print, &ends);
        }
    }

    /// Returns whether a fingerprint died only where another one died too, which it didn't
    /// always come with. If both died on the same lives, the one whose requests had run longer
    /// is explained by the other: a request that crashes upstreams does so as it begins.
    fn is_explained(&self, print: &Fingerprint) -> bool {
        let Some(suspect) = self.suspects.get(print) else {
            return false;
        };
        self.suspects.iter().any(|(key, other)| {
            let is_apart = key != print && !suspect.rule.prints.contains(key);
            let is_tied = || other.is_covered_by(suspect);
            let is_younger = || (other.total_age(), *key) < (suspect.total_age(), *print);
            is_apart && suspect.is_covered_by(other) && (!is_tied() || is_younger())
        })
    }

    /// Records that a request with this fingerprint was answered. Returns whether this
    /// changed anything.
    pub fn record_answer(&mut self, now: Mono, print: &Fingerprint) -> bool {
        let stays = |s: &Suspect<L>| s.is_refused(now) && s.rule.prints.len() == 1;
        if self.suspects.get(print).is_some_and(stays) {
            return false;
        }
        let mut is_changed = self.suspects.remove(print).is_some();
        if is_changed {
            self.changed.insert(*print);
        }
        for (other, suspect) in &mut self.suspects {
            if suspect.rule.remove(print) {
                is_changed = true;
                self.changed.insert(*other);
            }
        }
        is_changed
    }

    /// Records that a host had an answer to something with this fingerprint shortly before, so
    /// that it isn't to blame. Unlike [`Tally::record_answer`] this lifts a refusal.
    pub fn record_appeal(&mut self, now: Mono, print: &Fingerprint) -> bool {
        let is_known = self.suspects.remove(print).is_some();
        if is_known {
            self.changed.insert(*print);
        }
        self.record_answer(now, print) || is_known
    }

    /// Takes over a refusal that another relay decided on, unless more is known here.
    pub fn adopt(&mut self, now: Mono, print: Fingerprint, rule: Rule, left: Duration) -> bool {
        let known = self.suspects.get(&print);
        if known.is_some_and(|suspect| suspect.is_final) {
            return false;
        }
        if known.is_none() {
            self.make_room();
        }
        let last = now - REFUSAL_TIME.saturating_sub(left);
        self.suspects
            .insert(print, Suspect::adopted(now, rule, last));
        self.changed.insert(print);
        true
    }

    /// Returns whether a request with this fingerprint may run.
    pub fn status(&self, now: Mono, print: &Fingerprint) -> Status {
        match self.suspects.get(print) {
            Some(suspect) if suspect.is_refused(now) => {
                Status::Refused(REFUSAL_TIME.saturating_sub(now.since(suspect.last)))
            }
            Some(suspect) if suspect.deaths.len() >= WATCH_DEATHS => Status::Watched,
            _ => Status::Clear,
        }
    }

    /// Returns whether a refusal may be told to hosts: all losses that could change it have
    /// been reported.
    pub fn is_final(&self, print: &Fingerprint) -> bool {
        let known = self.suspects.get(print);
        known.is_some_and(|suspect| suspect.is_final)
    }

    /// Returns which requests with this fingerprint the status concerns. `None` if nothing
    /// is known of it.
    pub fn rule(&self, print: &Fingerprint) -> Option<&Rule> {
        self.suspects.get(print).map(|suspect| &suspect.rule)
    }

    /// Returns whether one of these fingerprints of a request is watched or refused, in a way
    /// that concerns this request.
    pub fn is_watched(&self, now: Mono, profile: &Profile, prints: &[Fingerprint]) -> bool {
        let mut concerned = self
            .concerned(profile)
            .filter(|print| prints.contains(print));
        concerned.any(|print| self.status(now, &print) != Status::Clear)
    }

    /// Returns for how long a request is refused, and because of which fingerprint.
    pub fn refusal(&self, now: Mono, profile: &Profile) -> Option<(Duration, Fingerprint)> {
        let refused = self
            .concerned(profile)
            .filter_map(|print| match self.status(now, &print) {
                Status::Refused(left) => Some((left, print)),
                Status::Clear | Status::Watched => None,
            });
        refused.max()
    }

    /// Returns a request's fingerprints whose status concerns it.
    fn concerned(&self, profile: &Profile) -> impl Iterator<Item = Fingerprint> {
        let prints = profile.prints.iter().copied();
        prints.filter(|print| self.rule(print).is_some_and(|rule| rule.matches(profile)))
    }

    /// Returns whether nothing is remembered of any fingerprint.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the fingerprints that became watched so recently that hosts may still tell of
    /// answers before they are refused.
    pub fn appealable(&self, now: Mono) -> impl Iterator<Item = Fingerprint> {
        let recent = self.suspects.iter().filter(move |(_, suspect)| {
            let is_watched = suspect.deaths.len() >= WATCH_DEATHS;
            is_watched && now.since(suspect.watched) < APPEAL_TIME
        });
        recent.map(|(print, _)| *print)
    }

    /// Returns all fingerprints that hosts have to know of.
    pub fn watched(&self) -> Vec<Fingerprint> {
        let known = self.suspects.iter();
        let known = known.filter(|(_, s)| s.is_final || s.deaths.len() >= WATCH_DEATHS);
        known.map(|(print, _)| *print).collect()
    }

    /// Returns and forgets the fingerprints whose status has changed.
    pub fn take_changed(&mut self) -> BTreeSet<Fingerprint> {
        std::mem::take(&mut self.changed)
    }

    fn forget_expired(&mut self, now: Mono) {
        self.suspects
            .retain(|_, suspect| now.since(suspect.last) < suspect.retention());
        self.lost_lives
            .retain(|_, lost| now.since(lost.last) < LOSS_RETENTION);
    }

    /// Forgets the oldest fingerprint, if possible one with few deaths.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let order = |s: &Suspect<L>| (s.proven.is_some(), s.deaths.len() >= WATCH_DEATHS, s.last);
        let oldest = self.suspects.iter().min_by_key(|(_, s)| order(s));
        if let Some(print) = oldest.map(|(print, _)| *print) {
            self.suspects.remove(&print);
        }
    }
}
