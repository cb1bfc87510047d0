//! Counts the upstreams that were lost with requests, at a relay. Does no I/O.

use std::time::Duration;

use almondlock_base::{id::Fingerprint, time::Mono};
use almondlock_policy::poison::{
    profile::{Profile, Rule},
    tally::{self, Status, Tally},
};
use almondlock_state::instance::Birth;

use super::message::{Loss, PartLoss, PartSuspect, Suspect, millis};
use crate::load::Key;

/// Time after which all suspected requests are sent again, in case a datagram was lost.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of requests in one datagram.
const MAX_SUSPECTS: usize = 512;
/// Maximum number of requests with several fingerprints in one datagram. Each takes up to
/// 1,100 bytes.
pub(crate) const MAX_PART_SUSPECTS: usize = 48;
/// Time after its start in which a relay takes over what hosts refuse. Later it would take
/// back what answers have lifted meanwhile.
const ADOPTION_TIME: Duration = Duration::from_secs(5);
/// Organisation of losses that name none. They have one fingerprint, of a whole request,
/// which includes the organisation.
const UNNAMED: Fingerprint = Fingerprint([0; 16]);

/// The suspected requests that one relay knows.
#[derive(Debug, Default)]
pub struct Suspects {
    tally: Tally<(Key, Birth)>,
    all_sent_at: Mono,
    started: Option<Mono>,
}

impl Suspects {
    /// Records that a host lost a request with an upstream.
    pub fn record_loss(&mut self, now: Mono, loss: &Loss) {
        let profile = Profile {
            organisation: UNNAMED,
            prints: vec![loss.print],
        };
        self.record(now, loss, &profile);
    }

    /// Records that a host lost a request that has something in common with others.
    pub fn record_part_loss(&mut self, now: Mono, loss: &PartLoss) {
        self.record(now, &loss.loss, &loss.profile());
    }

    fn record(&mut self, now: Mono, loss: &Loss, profile: &Profile) {
        let lost = tally::Loss {
            profile,
            life: (loss.key, loss.birth),
            sent: now - Duration::from_millis(loss.age_ms.into()),
        };
        let count = self.tally.record_loss(now, &lost);
        let standing = self.tally.status(now, &loss.print);
        tracing::info!(
            fingerprint = %loss.print, upstream = %loss.key, age_ms = loss.age_ms,
            prints = profile.prints.len(), ?count, ?standing, "upstreams lost with a request"
        );
    }

    /// Records that a request with this fingerprint was answered.
    pub fn record_answer(&mut self, now: Mono, print: Fingerprint) {
        if self.tally.record_answer(now, &print) {
            tracing::info!(fingerprint = %print, "a suspected request was answered");
        }
    }

    /// Records that a host had an answer recently to a request with this fingerprint.
    pub fn record_appeal(&mut self, now: Mono, print: Fingerprint) {
        if self.tally.record_appeal(now, &print) {
            tracing::info!(fingerprint = %print, "a suspected request was answered before");
        }
    }

    /// Takes over what a host refuses, if this relay has just started: others, or an earlier
    /// life of this one, told the host.
    pub fn adopt(&mut self, now: Mono, refused: &[PartSuspect]) {
        let started = *self.started.get_or_insert(now);
        if now.since(started) >= ADOPTION_TIME {
            return;
        }
        for part in refused {
            let Some(left) = part.suspect.refused_ms else {
                continue;
            };
            let (print, left) = (part.suspect.print, Duration::from_millis(left.into()));
            if self.tally.adopt(now, print, part.rule(), left) {
                tracing::info!(
                    fingerprint = %print, left_ms = left.as_millis(),
                    "refusal taken over from a host"
                );
            }
        }
    }

    /// Returns what to send to hosts in this round: the requests whose state has changed,
    /// or periodically all of them.
    pub fn take_updates(&mut self, now: Mono) -> (Vec<Suspect>, Vec<PartSuspect>) {
        self.started.get_or_insert(now);
        self.tally.settle(now);
        let mut changed = self.tally.take_changed();
        for print in changed.iter().filter(|print| self.tally.is_final(print)) {
            tracing::info!(
                fingerprint = %print, standing = ?self.tally.status(now, print),
                prints = self.tally.rule(print).map_or(0, |rule| rule.prints.len()),
                organisations = self.scope(print), "requests to be refused"
            );
        }
        // Hosts have little time to tell of answers, so these don't wait for the next period.
        changed.extend(self.tally.appealable(now));
        if now.since(self.all_sent_at) >= REPEAT_PERIOD {
            self.all_sent_at = now;
            changed.extend(self.tally.watched());
        }
        self.updates(now, changed)
    }

    /// Returns all suspected requests, for new hosts.
    pub fn all(&self, now: Mono) -> (Vec<Suspect>, Vec<PartSuspect>) {
        self.updates(now, self.tally.watched())
    }

    fn updates<I>(&self, now: Mono, prints: I) -> (Vec<Suspect>, Vec<PartSuspect>)
    where
        I: IntoIterator<Item = Fingerprint>,
    {
        let (mut copies, mut parts) = (Vec::new(), Vec::new());
        for print in prints {
            let suspect = self.suspect(now, print);
            match self.tally.rule(&print) {
                Some(rule) if !is_plain(rule, &print) => parts.push(PartSuspect {
                    suspect,
                    organisation: rule.organisation,
                    prints: rule.prints.clone(),
                }),
                _ => copies.push(suspect),
            }
        }
        // What is refused matters most, and the rest is sent again.
        copies.sort_by_key(|suspect| suspect.refused_ms.is_none());
        parts.sort_by_key(|part| part.suspect.refused_ms.is_none());
        copies.truncate(MAX_SUSPECTS);
        parts.truncate(MAX_PART_SUSPECTS);
        (copies, parts)
    }

    fn suspect(&self, now: Mono, print: Fingerprint) -> Suspect {
        let standing = self.tally.status(now, &print);
        let refused_ms = match standing {
            Status::Refused(left) if self.tally.is_final(&print) => Some(millis(left)),
            Status::Clear | Status::Watched | Status::Refused(_) => None,
        };
        Suspect {
            print,
            refused_ms,
            watched: standing != Status::Clear && refused_ms.is_none(),
        }
    }

    /// Returns whom a refusal concerns, for the log.
    fn scope(&self, print: &Fingerprint) -> &'static str {
        match self.tally.rule(print) {
            Some(rule) if rule.organisation.is_some() => "one",
            _ => "all",
        }
    }
}

/// Returns whether a rule names nothing but this fingerprint.
fn is_plain(rule: &Rule, print: &Fingerprint) -> bool {
    let is_open = rule
        .organisation
        .is_none_or(|organisation| organisation == UNNAMED);
    is_open && rule.prints == [*print]
}
