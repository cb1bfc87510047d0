//! A relay's part of the limits: permits, as they fall due.

use std::{borrow::Borrow, collections::HashMap, hash::Hash, time::Duration};

use almondlock_base::time::Mono;

use super::Rate;
use crate::bucket::Bucket;

/// How long unused permits may be saved up. Hosts' questions come unevenly.
const BURST: Duration = Duration::from_millis(500);

/// What an upstream takes when it names a limit of 0: a question now and then, by which
/// the end of the limit is seen. In thousandths of requests a second.
const LEAST: u32 = 50;

/// Gives out one relay's part of each limit.
///
/// In any time it gives out no more than the part earns in that time, and the larger of one
/// permit and what it earns in half a second, also when it starts again: it begins with none.
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
    /// Takes a permit to send one request to an upstream that takes `rate` from all
    /// hosts, of which this relay has one of `parts` equal parts.
    ///
    /// # Errors
    ///
    /// When the next one is due, if there is none now.
    pub fn take(&mut self, now: Mono, key: K, rate: Rate, parts: u32) -> Result<(), Duration> {
        let rate = u64::from(rate.thousandths().max(LEAST)) / u64::from(parts.max(1));
        let bucket = self.buckets.entry(key).or_insert(Bucket::empty(now));
        bucket.fill(rate, BURST, now);
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
