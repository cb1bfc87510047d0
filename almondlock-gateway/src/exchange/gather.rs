//! What a relay makes of what hosts tell it. Decides only; the relay sends.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::{id::Upstream, time::Mono};

use super::message::{Digest, Sum};
use crate::load::Total;

/// A host that told nothing for this long has stopped: what it had under way
/// ends with it.
const GONE: Duration = Duration::from_secs(1);
/// How often hosts are told of each other's addresses, in sums: they only need
/// them once all relays are gone.
const INTRODUCTION: u64 = 25;

#[derive(Debug)]
struct Told {
    at: Mono,
    digest: Digest,
}

/// What hosts told last.
#[derive(Debug, Default)]
pub struct Gather {
    hosts: HashMap<SocketAddr, Told>,
    rounds: u64,
}

impl Gather {
    /// A host told something.
    pub fn tell(&mut self, now: Mono, from: SocketAddr, digest: Digest) {
        self.hosts.insert(from, Told { at: now, digest });
    }

    /// What goes to each host that listens: the sum of what the others told.
    pub fn take(&mut self, now: Mono) -> Vec<(SocketAddr, Sum)> {
        self.hosts.retain(|_, told| now.since(told.at) < GONE);
        self.rounds += 1;
        let introduces = self.rounds.is_multiple_of(INTRODUCTION);
        let mut all: BTreeMap<&Upstream, Total> = BTreeMap::new();
        for told in self.hosts.values() {
            for (upstream, total) in &told.digest.totals {
                all.entry(upstream).or_default().add(total);
            }
        }
        let listening = self.hosts.iter().filter(|(_, told)| told.digest.listens);
        let sums = listening.map(|(to, own)| {
            let mut totals = all.clone();
            for (upstream, total) in &own.digest.totals {
                totals.entry(upstream).or_default().subtract(total);
            }
            let totals = totals.into_iter().filter(|(_, t)| *t != Total::default());
            let others = self.hosts.keys().filter(|other| *other != to);
            let sum = Sum {
                hosts: u32::try_from(self.hosts.len() - 1).unwrap_or(u32::MAX),
                totals: totals.map(|(name, total)| (name.clone(), total)).collect(),
                peers: others.copied().filter(|_| introduces).collect(),
            };
            (*to, sum)
        });
        sums.collect()
    }
}
