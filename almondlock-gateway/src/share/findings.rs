//! Determines which organisations are over their share, from the relays' sums over all
//! hosts.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::time::Mono;
use almondlock_policy::share::{Assessment, Capacity, Excess};

use crate::{
    exchange::shares::{MAX_AGE, Tag, Totals},
    load::Key,
};

/// Older counts are ignored, wherever the time was spent.
const MAX_COUNT_AGE: Duration = Duration::from_secs(1);

/// The last sums of the relays.
#[derive(Debug, Default)]
pub struct Findings {
    received: HashMap<SocketAddr, Received>,
}

/// The last sums of a relay.
#[derive(Debug)]
struct Received {
    at: Mono,
    age: Duration,
    // Rulings by service, where an organisation is over its share.
    rulings: HashMap<Key, Assessment<Key>>,
    // Organisations in descending order of what they have in flight.
    largest: Vec<Tag>,
}

/// Finding that an organisation is over its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// By how much it is over its share.
    pub excess: Excess<Key>,
    /// Age of the counts.
    pub age: Duration,
    /// Number of organisations that have more in flight.
    pub place: usize,
}

impl Findings {
    /// Takes in a relay's sums. `capacity` returns the capacity of a service's engines.
    pub fn receive<F>(&mut self, now: Mono, relay: SocketAddr, totals: &Totals, capacity: F)
    where
        F: Fn(Key) -> Capacity,
    {
        let counts = &totals.counts;
        let services: BTreeSet<Key> = counts.listed.iter().map(|(tag, _)| tag.service).collect();
        let rulings = services.into_iter().map(|service| {
            let (listed, rest) = counts.at(service);
            (service, Assessment::new(capacity(service), &listed, rest))
        });
        let received = Received {
            at: now,
            age: Duration::from_millis(totals.age_ms.into()),
            rulings: rulings.filter(|(_, ruling)| !ruling.is_empty()).collect(),
            largest: counts.listed.iter().map(|(tag, _)| *tag).collect(),
        };
        self.received.insert(relay, received);
        self.received
            .retain(|_, received| now.since(received.at) < MAX_AGE);
    }

    /// Returns the finding if an organisation is over its share by this relay's sums.
    /// `None` means that it is within its share or that this isn't known.
    pub fn excess(&self, now: Mono, relay: SocketAddr, tag: Tag) -> Option<Finding> {
        let received = self.received.get(&relay)?;
        let since = now.since(received.at);
        let age = received.age + since;
        if since >= MAX_AGE || age >= MAX_COUNT_AGE {
            return None;
        }
        let ruling = received.rulings.get(&tag.service)?;
        let excess = *ruling.excess(&tag.organisation)?;
        let place = received.largest.iter().position(|other| *other == tag);
        Some(Finding {
            excess,
            age,
            place: place.unwrap_or(received.largest.len()),
        })
    }
}
