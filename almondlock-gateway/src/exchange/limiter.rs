//! Tracks upstreams' limits at a relay, and grants permits from this relay's part of them.
//! Does no I/O.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use almondlock_base::time::Mono;
use almondlock_policy::throttle::{Bound, Issuer, Limits, Rate};

use super::message::{Limit, Permit, Query, millis};
use crate::load::Key;

/// Time after which all limits are sent again, in case a datagram was lost.
pub(super) const REPEAT_PERIOD: Duration = Duration::from_secs(1);
/// A limit that no host has reported for this time is forgotten: the upstream is gone, or
/// no host sends to it.
const REPORT_MAX_AGE: Duration = Duration::from_secs(5);
/// Time after which to ask again a relay that doesn't know the number of relays yet.
const UNREADY_RETRY: Duration = Duration::from_millis(500);

/// Limits and permits at one relay.
#[derive(Debug, Default)]
pub struct Limiter {
    limits: Limits<Key>,
    // When each limit was last reported.
    reported: HashMap<Key, Mono>,
    issuer: Issuer<Key>,
    // Limits that have changed and were not sent to hosts yet.
    changed: BTreeSet<Key>,
    all_sent_at: Mono,
}

impl Limiter {
    /// Takes in limits that a host reported.
    pub fn receive(&mut self, now: Mono, limits: &[Limit]) {
        for limit in limits {
            self.reported.insert(limit.key, now);
            if self.limits.learn(&limit.key, limit.notice(now)) {
                let rate = limit.rate.map(Rate::per_second);
                tracing::info!(
                    upstream = %limit.key, per_second = rate, source = "host",
                    age_ms = limit.age_ms, "limit changed"
                );
                self.changed.insert(limit.key);
            }
        }
    }

    /// Answers a host's query for a permit. This relay has one of `parts` equal parts of
    /// each limit. Zero means that the number of relays isn't known yet; then no permit is
    /// granted.
    pub fn request_permit(&mut self, now: Mono, query: &Query, parts: u32) -> Permit {
        self.receive(now, &[query.limit]);
        let named = self.limits.notice(&query.limit.key);
        let rate = Bound::of(named, query.cold).map(|bound| bound.rate());
        let taken = match (rate, parts) {
            (None, _) => Ok(()),
            (Some(_), 0) => Err(UNREADY_RETRY),
            (Some(rate), parts) => self.issuer.take(now, query.limit.key, rate, parts),
        };
        Permit {
            number: query.number,
            wait_ms: taken.err().map(millis),
        }
    }

    /// Returns what to send to hosts in this round: the limits that have changed, or
    /// periodically all of them.
    pub fn take_updates(&mut self, now: Mono) -> Vec<Limit> {
        if now.since(self.all_sent_at) < REPEAT_PERIOD {
            let changed = std::mem::take(&mut self.changed).into_iter();
            let changed = changed.filter_map(|key| Some((key, self.limits.notice(&key)?)));
            return changed
                .map(|(key, notice)| Limit::of(now, key, &notice))
                .collect();
        }
        self.all_sent_at = now;
        self.changed.clear();
        self.reported
            .retain(|_, at| now.since(*at) < REPORT_MAX_AGE);
        self.limits.retain(|key| self.reported.contains_key(key));
        self.issuer.retain(|key| self.reported.contains_key(key));
        self.all(now)
    }

    /// Returns all limits, for new hosts.
    pub fn all(&self, now: Mono) -> Vec<Limit> {
        let notices = self.limits.notices();
        notices
            .map(|(key, notice)| Limit::of(now, *key, notice))
            .collect()
    }
}
