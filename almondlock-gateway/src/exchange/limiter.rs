//! A relay's account of upstreams' limits: what hosts told of them, and the permits of
//! this relay's part. Decides only; the relay sends.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use almondlock_base::time::Mono;
use almondlock_policy::throttle::{Bound, Issuer, Limits, Rate};

use super::message::{Limit, Permit, Query, millis};
use crate::load::Key;

/// How often all limits are told again, in case a datagram was lost.
pub(super) const REPEAT: Duration = Duration::from_secs(1);
/// A limit that no host told for this long is forgotten: the upstream is gone, or nobody
/// sends to it.
const FORGET: Duration = Duration::from_secs(5);
/// When to ask again, of a relay that doesn't know how many others there are.
const UNREADY: Duration = Duration::from_millis(500);

/// Limits and permits at one relay.
#[derive(Debug, Default)]
pub struct Limiter {
    limits: Limits<Key>,
    // When each limit was last told.
    told: HashMap<Key, Mono>,
    issuer: Issuer<Key>,
    // Limits that have changed and that hosts aren't told of yet.
    news: BTreeSet<Key>,
    repeated: Mono,
}

impl Limiter {
    /// A host told limits.
    pub fn receive(&mut self, now: Mono, limits: &[Limit]) {
        for limit in limits {
            self.told.insert(limit.key, now);
            if self.limits.learn(&limit.key, limit.notice(now)) {
                let rate = limit.rate.map(Rate::per_second);
                tracing::info!(
                    upstream = %limit.key, per_second = rate, source = "host",
                    age_ms = limit.age_ms, "limit changed"
                );
                self.news.insert(limit.key);
            }
        }
    }

    /// A host asks for a permit. This relay has one of `parts` equal parts of each limit;
    /// none if how many there are isn't known yet.
    pub fn request_permit(&mut self, now: Mono, ask: &Query, parts: u32) -> Permit {
        self.receive(now, &[ask.limit]);
        let named = self.limits.notice(&ask.limit.key);
        let rate = Bound::of(named, ask.cold).map(|bound| bound.rate());
        let taken = match (rate, parts) {
            (None, _) => Ok(()),
            (Some(_), 0) => Err(UNREADY),
            (Some(rate), parts) => self.issuer.take(now, ask.limit.key, rate, parts),
        };
        Permit {
            number: ask.number,
            wait_ms: taken.err().map(millis),
        }
    }

    /// What hosts are told in this round: limits that have changed or, from time to time,
    /// all of them.
    pub fn take_updates(&mut self, now: Mono) -> Vec<Limit> {
        if now.since(self.repeated) < REPEAT {
            let news = std::mem::take(&mut self.news).into_iter();
            let news = news.filter_map(|key| Some((key, self.limits.notice(&key)?)));
            return news
                .map(|(key, notice)| Limit::of(now, key, &notice))
                .collect();
        }
        self.repeated = now;
        self.news.clear();
        self.told.retain(|_, at| now.since(*at) < FORGET);
        self.limits.retain(|key| self.told.contains_key(key));
        self.issuer.retain(|key| self.told.contains_key(key));
        self.all(now)
    }

    /// All limits, for hosts that were not heard of before.
    pub fn all(&self, now: Mono) -> Vec<Limit> {
        let notices = self.limits.notices();
        notices
            .map(|(key, notice)| Limit::of(now, *key, notice))
            .collect()
    }
}
