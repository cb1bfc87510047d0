//! An entry host's side: whom to ask for a permit, and what to tell callers without one.

use std::{collections::HashMap, hash::Hash, time::Duration};

use almondlock_base::time::Mono;

use super::Rate;

/// A relay that didn't answer is asked again after this long.
const SILENT: Duration = Duration::from_millis(500);

/// When relays that had no permit have one again.
#[derive(Debug)]
pub struct Selector<K, R> {
    // By upstream and relay.
    empty: HashMap<(K, R), Mono>,
    silent: HashMap<R, Mono>,
}

impl<K, R> Default for Selector<K, R> {
    fn default() -> Selector<K, R> {
        Selector {
            empty: HashMap::new(),
            silent: HashMap::new(),
        }
    }
}

impl<K, R> Selector<K, R>
where
    K: Clone + Eq + Hash,
    R: Copy + Eq + Hash,
{
    /// The first of the relays that may have a permit for this upstream.
    pub fn next_relay(&self, now: Mono, key: &K, relays: &[R]) -> Option<R> {
        let mut relays = relays.iter().copied();
        relays.find(|relay| self.until(key, *relay) <= now)
    }

    /// A relay has none until so long after now.
    pub fn note_refusal(&mut self, now: Mono, key: &K, relay: R, wait: Duration) {
        self.silent.remove(&relay);
        self.empty.retain(|_, until| now < *until);
        self.empty.insert((key.clone(), relay), now + wait);
    }

    /// A relay did not answer.
    pub fn note_no_answer(&mut self, now: Mono, relay: R) {
        self.silent.retain(|_, until| now < *until);
        self.silent.insert(relay, now + SILENT);
    }

    /// When one of the relays may have a permit.
    pub fn time_to_permit(&self, now: Mono, key: &K, relays: &[R]) -> Duration {
        let untils = relays.iter().map(|relay| self.until(key, *relay));
        let first = untils.min().unwrap_or(now + SILENT);
        first.since(now)
    }

    fn until(&self, key: &K, relay: R) -> Mono {
        let empty = self.empty.get(&(key.clone(), relay)).copied();
        let silent = self.silent.get(&relay).copied();
        empty.max(silent).unwrap_or(Mono::ZERO)
    }
}

/// When callers come back that found all upstreams of a service at their limits: one
/// after the other, as fast as this host can expect permits. Told the same moment, all
/// but one of them would be refused again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Stagger {
    last: Mono,
}

impl Stagger {
    /// When the next caller returns. The first permit is due after `opens`, and this host
    /// has one of `hosts` equal parts of `rate`. A caller that can't wait longer than
    /// `patience` keeps no place.
    pub fn next_retry(
        &mut self,
        now: Mono,
        opens: Duration,
        (rate, hosts): (Rate, u32),
        patience: Duration,
    ) -> Duration {
        let next = (now + opens).max(self.last);
        let wait = next.since(now);
        if wait <= patience {
            let gap = f64::from(hosts.max(1)) / rate.per_second().max(f64::MIN_POSITIVE);
            self.last = next + Duration::try_from_secs_f64(gap).unwrap_or(patience);
        }
        wait
    }
}
