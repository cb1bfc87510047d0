//! Counts the upstreams that were lost with requests, at a relay. Does no I/O.

use std::{collections::BTreeSet, time::Duration};

use almondlock_base::{id::Fingerprint, time::Mono};
use almondlock_policy::poison::tally::{Count, Status, Tally};
use almondlock_state::instance::Birth;

use super::message::{Loss, Suspect, millis};
use crate::load::Key;

/// Time after which all suspected requests are sent again, in case a datagram was lost.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of requests in one datagram.
const MAX_SUSPECTS: usize = 512;

/// The suspected requests that one relay knows.
#[derive(Debug, Default)]
pub struct Suspects {
    tally: Tally<(Key, Birth)>,
    // Requests whose state has changed and was not sent to hosts yet.
    changed: BTreeSet<Fingerprint>,
    all_sent_at: Mono,
}

impl Suspects {
    /// Records that a host lost a request with an upstream.
    pub fn record_loss(&mut self, now: Mono, loss: &Loss) {
        let sent = now - Duration::from_millis(loss.age_ms.into());
        let life = (loss.key, loss.birth);
        let count = self.tally.record_loss(now, loss.print, life, sent);
        let standing = self.tally.status(now, &loss.print);
        tracing::info!(
            fingerprint = %loss.print, upstream = %loss.key, age_ms = loss.age_ms,
            ?count, ?standing, "upstreams lost with a request"
        );
        if count == Count::Death && standing != Status::Clear {
            self.changed.insert(loss.print);
        }
    }

    /// Records that a host had an answer to a request.
    pub fn record_answer(&mut self, now: Mono, print: Fingerprint) {
        if self.tally.record_answer(now, &print) {
            tracing::info!(fingerprint = %print, "a suspected request was answered");
            self.changed.insert(print);
        }
    }

    /// Returns what to send to hosts in this round: the requests whose state has changed,
    /// or periodically all of them.
    pub fn take_updates(&mut self, now: Mono) -> Vec<Suspect> {
        if now.since(self.all_sent_at) >= REPEAT_PERIOD {
            self.all_sent_at = now;
            self.changed.extend(self.tally.watched());
        }
        let changed = std::mem::take(&mut self.changed)
            .into_iter()
            .take(MAX_SUSPECTS);
        changed.map(|print| self.suspect(now, print)).collect()
    }

    /// Returns all suspected requests, for new hosts.
    pub fn all(&self, now: Mono) -> Vec<Suspect> {
        let known = self.tally.watched().into_iter().take(MAX_SUSPECTS);
        known.map(|print| self.suspect(now, print)).collect()
    }

    fn suspect(&self, now: Mono, print: Fingerprint) -> Suspect {
        let standing = self.tally.status(now, &print);
        Suspect {
            print,
            refused_ms: match standing {
                Status::Refused(left) => Some(millis(left)),
                Status::Clear | Status::Watched => None,
            },
            watched: standing == Status::Watched,
        }
    }
}
