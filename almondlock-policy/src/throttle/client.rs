//! The entry host's side: which relay to ask for a permit, and when refused callers come
//! back.

use std::{collections::HashMap, hash::Hash, time::Duration};

use almondlock_base::time::Mono;

use super::Rate;

/// Time after which a relay that didn't answer is asked again.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(500);

/// Selects the relay to ask for a permit, from when each may have one again.
#[derive(Debug)]
pub struct Selector<K, R> {
    // By upstream and relay.
    refused_until: HashMap<(K, R), Mono>,
    /// By relay.
    unanswered_until: HashMap<R, Mono>,
}

impl<K, R> Default for Selector<K, R> {
    fn default() -> Selector<K, R> {
        Selector {
            refused_until: HashMap::new(),
            unanswered_until: HashMap::new(),
        }
    }
}

impl<K, R> Selector<K, R>
where
    K: Clone + Eq + Hash,
    R: Copy + Eq + Hash,
{
    /// Returns the first of the relays that may have a permit for this upstream.
    pub fn next_relay(&self, now: Mono, key: &K, relays: &[R]) -> Option<R> {
        let mut relays = relays.iter().copied();
        relays.find(|relay| self.blocked_until(key, *relay) <= now)
    }

    /// Records that a relay has no permit for the time `wait`.
    pub fn note_refusal(&mut self, now: Mono, key: &K, relay: R, wait: Duration) {
        self.unanswered_until.remove(&relay);
        self.refused_until.retain(|_, until| now < *until);
        self.refused_until.insert((key.clone(), relay), now + wait);
    }

    /// Records that a relay did not answer.
    pub fn note_no_answer(&mut self, now: Mono, relay: R) {
        self.unanswered_until.retain(|_, until| now < *until);
        self.unanswered_until.insert(relay, now + UNANSWERED_PAUSE);
    }

    /// Returns the time until one of the relays may have a permit.
    pub fn time_to_permit(&self, now: Mono, key: &K, relays: &[R]) -> Duration {
        let untils = relays.iter().map(|relay| self.blocked_until(key, *relay));
        let first = untils.min().unwrap_or(now + UNANSWERED_PAUSE);
        first.since(now)
    }

    /// Returns the time from which on a relay may have a permit.
    fn blocked_until(&self, key: &K, relay: R) -> Mono {
        let refused = self.refused_until.get(&(key.clone(), relay)).copied();
        let unanswered = self.unanswered_until.get(&relay).copied();
        refused.max(unanswered).unwrap_or(Mono::ZERO)
    }
}

/// Staggers the callers that found all upstreams of a service at their limits. They come
/// back one after the other, as fast as this host can expect permits. If all came back at
/// the same moment, all but one would be refused again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stagger {
    /// Time from which on the next caller may come back.
    next_turn: Mono,
}

impl Stagger {
    /// Returns the time after which the next caller is to come back. The first permit is
    /// due after `permit_delay`, and this host has one of `hosts` equal parts of `rate`. A caller
    /// that can't wait longer than `patience` reserves no turn.
    pub fn next_retry(
        &mut self,
        now: Mono,
        permit_delay: Duration,
        (rate, hosts): (Rate, u32),
        patience: Duration,
    ) -> Duration {
        let next = (now + permit_delay).max(self.next_turn);
        let wait = next.since(now);
        if wait <= patience {
            let gap = f64::from(hosts.max(1)) / rate.per_second().max(f64::MIN_POSITIVE);
            self.next_turn = next + Duration::try_from_secs_f64(gap).unwrap_or(patience);
        }
        wait
    }
}
