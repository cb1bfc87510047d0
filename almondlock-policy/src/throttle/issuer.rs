//! The relay's side: gives out the permits of its part of each limit as they become due.

use std::{borrow::Borrow, collections::HashMap, hash::Hash, time::Duration};

use almondlock_base::time::Mono;

use super::Rate;
use crate::bucket::Bucket;

/// Time over which unused permits may be saved up, since the hosts' questions come
/// unevenly.
const BURST: Duration = Duration::from_millis(500);

/// Rate for an upstream that names a limit of 0, in thousandths of requests per second. An
/// occasional request shows when the limit has ended.
const MIN_RATE_THOUSANDTHS: u32 = 50;

/// Gives out one relay's part of each limit.
///
/// In any time it gives out at most the permits due in that time, plus one permit or those
/// of half a second, whichever is more. This holds also across a restart, since it starts
/// without permits.
#[derive(Debug)]
pub struct Issuer<K> {
    buckets: HashMap<K, Bucket>,
}

impl<K> Default for Issuer<K> {
    fn default() -> Issuer<K> {
        Issuer {
            buckets: HashMap::new(),
        }
    }
}

impl<K> Issuer<K>
where
    K: Eq + Hash,
{
    /// Takes a permit to send one request to an upstream that accepts `rate` from all
    /// hosts. This relay has one of `parts` equal parts of the rate.
    ///
    /// # Errors
    ///
    /// Returns the time until the next permit is due if there is none now.
    pub fn take(&mut self, now: Mono, key: K, rate: Rate, parts: u32) -> Result<(), Duration> {
        let rate =
            u64::from(rate.thousandths().max(MIN_RATE_THOUSANDTHS)) / u64::from(parts.max(1));
        let bucket = self.buckets.entry(key).or_insert(Bucket::empty(now));
        bucket.refill(rate, BURST, now);
        bucket.take(rate)
    }

    /// Forgets upstreams whose limits have ended.
    pub fn retain<Q, F>(&mut self, is_limited: F)
    where
        K: Borrow<Q>,
        F: Fn(&Q) -> bool,
    {
        self.buckets.retain(|key, _| is_limited(key.borrow()));
    }
}
