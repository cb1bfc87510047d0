//! A relay's account of requests that upstreams were lost with. Decides only; the relay
//! sends.

use std::{collections::BTreeSet, time::Duration};

use almondlock_base::{id::Fingerprint, time::Mono};
use almondlock_policy::poison::tally::{Status, Tally};
use almondlock_state::instance::Birth;

use super::message::{Loss, Suspect, millis};
use crate::load::Key;

/// How often all are told again, in case a datagram was lost.
const REPEAT: Duration = Duration::from_secs(1);
/// The most that one datagram tells.
const TOLD: usize = 512;

/// Requests under suspicion at one relay.
#[derive(Debug, Default)]
pub struct Suspects {
    tally: Tally<(Key, Birth)>,
    // Those that have changed and that hosts aren't told of yet.
    news: BTreeSet<Fingerprint>,
    repeated: Mono,
}

impl Suspects {
    /// A host lost a request with an upstream.
    pub fn record_loss(&mut self, now: Mono, loss: &Loss) {
        let sent = now - Duration::from_millis(loss.age_ms.into());
        let life = (loss.key, loss.birth);
        if self.tally.record_loss(now, loss.print, life, sent) {
            let standing = self.tally.status(now, &loss.print);
            tracing::info!(
                fingerprint = %loss.print, upstream = %loss.key, age_ms = loss.age_ms,
                ?standing, "upstreams lost with a request"
            );
            self.news.insert(loss.print);
        }
    }

    /// A host had an answer to a request.
    pub fn record_answer(&mut self, now: Mono, print: Fingerprint) {
        if self.tally.record_answer(now, &print) {
            tracing::info!(fingerprint = %print, "a suspected request was answered");
            self.news.insert(print);
        }
    }

    /// What hosts are told in this round: those that have changed or, from time to time,
    /// all of them.
    pub fn take_updates(&mut self, now: Mono) -> Vec<Suspect> {
        if now.since(self.repeated) >= REPEAT {
            self.repeated = now;
            self.news.extend(self.tally.watched());
        }
        let news = std::mem::take(&mut self.news).into_iter().take(TOLD);
        news.map(|print| self.suspect(now, print)).collect()
    }

    /// All of them, for hosts that were not heard of before.
    pub fn all(&self, now: Mono) -> Vec<Suspect> {
        let known = self.tally.watched().into_iter().take(TOLD);
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
