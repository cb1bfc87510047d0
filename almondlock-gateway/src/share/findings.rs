//! Which organisations are over their share, by what relays tell of all hosts.

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

/// Counts that are older are not acted on, however long they took.
const OUTDATED: Duration = Duration::from_secs(1);

/// What relays told last.
#[derive(Debug, Default)]
pub struct Findings {
    heard: HashMap<SocketAddr, Heard>,
}

#[derive(Debug)]
struct Heard {
    at: Mono,
    age: Duration,
    // By service, those that are over.
    rulings: HashMap<Key, Assessment<Key>>,
    // Organisations in the order of what they have in flight.
    largest: Vec<Tag>,
}

/// An organisation that is over its share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// By how much.
    pub excess: Excess<Key>,
    /// The age of the counts.
    pub age: Duration,
    /// How many organisations have more in flight.
    pub place: usize,
}

impl Findings {
    /// A relay told the sums. `capacity` gives that of a service's engines.
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
        let heard = Heard {
            at: now,
            age: Duration::from_millis(totals.age_ms.into()),
            rulings: rulings.filter(|(_, ruling)| !ruling.is_empty()).collect(),
            largest: counts.listed.iter().map(|(tag, _)| *tag).collect(),
        };
        self.heard.insert(relay, heard);
        self.heard.retain(|_, heard| now.since(heard.at) < MAX_AGE);
    }

    /// Whether an organisation is over its share, by what this relay told. None: it is
    /// within, or that isn't known.
    pub fn excess(&self, now: Mono, relay: SocketAddr, tag: Tag) -> Option<Finding> {
        let heard = self.heard.get(&relay)?;
        let since = now.since(heard.at);
        let age = heard.age + since;
        if since >= MAX_AGE || age >= OUTDATED {
            return None;
        }
        let ruling = heard.rulings.get(&tag.service)?;
        let excess = *ruling.excess(&tag.organisation)?;
        let place = heard.largest.iter().position(|other| *other == tag);
        Some(Finding {
            excess,
            age,
            place: place.unwrap_or(heard.largest.len()),
        })
    }
}
