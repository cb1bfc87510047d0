//! What one entry host knows of requests that upstreams were lost with.
//!
//! It is told by relays, which count the losses of all hosts ([`super::tally`]), and counts
//! the losses that it sees itself by the parts of prompts. While no relay is heard, it refuses
//! requests by that count.

use std::{hash::Hash, time::Duration};

use almondlock_base::{id::Fingerprint, time::Mono};

use super::{
    answered::Answered,
    profile::{Profile, Rule},
    refusal::{Table, Verdict},
    tally::{Count, Loss, REFUSAL_TIME, Status, Tally},
};

/// Silence of all relays from which on a host refuses requests by its own count.
pub const RELAY_SILENCE: Duration = Duration::from_secs(1);

/// Number of deaths from which on a host refuses requests by its own count. It is greater than
/// for relays, since a host doesn't know what else was lost with an upstream.
const OWN_REFUSAL_DEATHS: usize = 5;

/// Time for which a host refuses requests by its own count after the last death. It is short,
/// since nobody can tell the host that others had answers.
pub const OWN_REFUSAL_TIME: Duration = Duration::from_secs(10);

/// Who decided on a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A relay.
    Relay,
    /// The host itself, since no relay is heard.
    Own,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Time for which it is refused.
    pub left: Duration,
    /// The fingerprint of it that upstreams were lost with.
    pub print: Fingerprint,
    /// Who decided.
    pub source: Source,
}

/// What became of what a relay told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Requests are refused that were not before.
    Refused,
    /// The host had an answer to such a request, so that the relays have to take back what they
    /// told.
    Answered,
    /// Nothing that others have to know of.
    Known,
}

/// What one entry host knows. `L` names a life of an upstream.
#[derive(Clone, Debug)]
pub struct Host<L> {
    told: Table,
    /// By parts of prompts. It also knows the lives of upstreams that the host lost.
    own: Tally<L>,
    /// Parts of prompts.
    answered: Answered,
    /// When a relay was last heard.
    heard: Option<Mono>,
}

impl<L> Host<L>
where
    L: Clone + Eq + Hash,
{
    /// Knows nothing. `seed` tells hosts apart.
    pub fn new(seed: u64) -> Host<L> {
        Host {
            told: Table::new(seed),
            own: Tally::new(OWN_REFUSAL_DEATHS),
            answered: Answered::default(),
            heard: None,
        }
    }

    /// Records that a relay was heard.
    pub fn record_relay(&mut self, now: Mono) {
        self.heard = Some(now);
    }

    /// Takes in what a relay tells of a fingerprint, and which requests that concerns.
    pub fn receive(&mut self, now: Mono, print: Fingerprint, rule: Rule, status: Status) -> Heard {
        self.told.sweep(now);
        // An answer says more than losses do.
        if status != Status::Clear && self.answered.contains(now, &print) {
            self.told.watch(now, print, rule);
            return Heard::Answered;
        }
        match status {
            Status::Refused(left) => match self.told.refuse(now, print, rule, left) {
                true => Heard::Refused,
                false => Heard::Known,
            },
            Status::Watched => {
                self.told.watch(now, print, rule);
                Heard::Known
            }
            Status::Clear => {
                self.told.clear(&print);
                self.own.record_answer(now, &print);
                Heard::Known
            }
        }
    }

    /// Returns whether no request can be refused now.
    pub fn is_idle(&self, now: Mono) -> bool {
        self.told.is_empty() && !self.is_alone(now)
    }

    /// Returns whether the host has only its own count to go by.
    fn is_alone(&self, now: Mono) -> bool {
        let is_heard = self.heard.is_some_and(|at| now.since(at) < RELAY_SILENCE);
        !is_heard && !self.own.is_empty()
    }

    /// Returns whether and why a request is refused.
    pub fn refusal(&mut self, now: Mono, profile: &Profile) -> Option<Refusal> {
        if let Verdict::Refused(left, print) = self.told.verdict(now, profile) {
            return Some(Refusal {
                left,
                print,
                source: Source::Relay,
            });
        }
        if !self.is_alone(now) {
            return None;
        }
        self.own.settle(now);
        let (left, print) = self.own.refusal(now, profile)?;
        let left = left.saturating_sub(REFUSAL_TIME - OWN_REFUSAL_TIME);
        (!left.is_zero()).then_some(Refusal {
            left,
            print,
            source: Source::Own,
        })
    }

    /// Returns whether a request that was lost may run once more: no part of its prompt is
    /// suspected by the relays, and none that the host had no answer to recently by itself.
    pub fn may_run_again(&mut self, now: Mono, profile: &Profile) -> bool {
        let parts = without_whole(profile, |_| true);
        let unanswered = self.unanswered(now, profile).prints;
        !self.told.is_suspected(profile, &parts.prints)
            && !self.own.is_watched(now, &parts, &unanswered)
    }

    /// Records that a request was lost with an upstream. Returns what that counts as at this
    /// host, and the parts of the prompt that may be to blame: those that the host had no
    /// answer to recently.
    pub fn record_loss(&mut self, now: Mono, loss: &Loss<'_, L>) -> (Count, Vec<Fingerprint>) {
        let suspected = self.unanswered(now, loss.profile);
        self.told.record_loss(now, loss.profile);
        let own = Loss {
            profile: &suspected,
            life: loss.life.clone(),
            sent: loss.sent,
        };
        (self.own.record_loss(now, &own), suspected.prints)
    }

    /// Returns a profile with those parts of the prompt that the host had no answer to
    /// recently.
    fn unanswered(&mut self, now: Mono, profile: &Profile) -> Profile {
        let answered = &mut self.answered;
        without_whole(profile, |print| !answered.contains(now, print))
    }

    /// Records that a request with these parts was answered.
    pub fn record_parts<I>(&mut self, now: Mono, parts: I)
    where
        I: IntoIterator<Item = Fingerprint>,
    {
        for print in parts {
            self.answered.insert(now, print);
            self.own.record_answer(now, &print);
        }
    }

    /// Records that a request was answered. Returns which of its fingerprints the relays told
    /// of.
    pub fn record_answer(&mut self, now: Mono, profile: &Profile) -> Vec<Fingerprint> {
        self.told.record_answer(now, profile)
    }

    /// Returns what the relays said to refuse, and for how long.
    pub fn refused(&self, now: Mono) -> Vec<(Fingerprint, Rule, Duration)> {
        self.told.refused(now)
    }

    /// Returns whether the relays told of nothing.
    pub fn is_told_nothing(&self) -> bool {
        self.told.is_empty()
    }
}

/// Returns a profile without the fingerprint of the whole request, which comes first.
fn without_whole<F>(profile: &Profile, keep: F) -> Profile
where
    F: FnMut(&&Fingerprint) -> bool,
{
    let parts = profile.prints.iter().skip(1);
    Profile {
        organisation: profile.organisation,
        prints: parts.filter(keep).copied().collect(),
    }
}
