//! What organisations have in flight, told by hosts and added up by relays.
//!
//! A host tells every relay, so that each relay's sums are complete when a host changes
//! relays. A relay tells the sums to the hosts that follow it closely. Both happen every
//! [`PERIOD`]; a stream holds its slot for ten such periods. Reports count for [`FRESH`] at
//! the relay and sums for as long at the host, two periods and a bit each: one lost datagram
//! is tolerated, and nothing counts that is older than a second.
//!
//! Nothing is sent by a host whose settings don't ask for fair shares, nor to it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use almondlock_base::time::Mono;
use almondlock_policy::share::{Unlisted, Usage};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::message::millis;
use crate::load::Key;

/// The format of the contents of an [`Envelope`].
pub const FORMAT: u8 = 1;
/// How often hosts report and relays tell the sums.
pub const PERIOD: Duration = Duration::from_millis(200);
/// How long a report counts at a relay, and a sum at a host.
pub const MAX_AGE: Duration = Duration::from_millis(500);
/// Organisations that a datagram lists; the others are summed up. Each takes 12 to 25 bytes.
pub const MAX_LISTED: usize = 64;
/// Services whose unlisted organisations a datagram tells of.
const SERVICES: usize = 16;

/// Contents of some format. A receiver that knows another one ignores them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// The format.
    pub format: u8,
    /// The contents.
    pub body: Vec<u8>,
}

impl Envelope {
    /// Wraps contents of the present format.
    pub fn encode<T>(contents: &T) -> Option<Envelope>
    where
        T: Serialize,
    {
        match postcard::to_stdvec(contents) {
            Ok(body) => Some(Envelope {
                format: FORMAT,
                body,
            }),
            Err(error) => {
                tracing::error!(%error, "counts by organisation can't be written");
                None
            }
        }
    }

    /// The contents, if they have the present format.
    pub fn decode<T>(&self, from: SocketAddr) -> Option<T>
    where
        T: DeserializeOwned,
    {
        if self.format != FORMAT {
            tracing::debug!(%from, format = self.format, "counts by organisation of another format");
            return None;
        }
        let read = postcard::from_bytes(&self.body);
        read.inspect_err(
            |error| tracing::debug!(%from, %error, "unreadable counts by organisation"),
        )
        .ok()
    }
}

/// An organisation at a service's engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Tag {
    /// The service.
    pub service: Key,
    /// The organisation.
    pub organisation: Key,
}

impl Tag {
    /// That of an organisation and a service by their names.
    pub fn of(service: &str, organisation: &str) -> Tag {
        Tag {
            service: Key::of_name(service),
            organisation: Key::of_name(organisation),
        }
    }
}

/// Counts by organisation. Bounded in size.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Those with the most in flight, the first one with the most of all. Invariant: at
    /// most [`LISTED`], none empty.
    pub listed: Vec<(Tag, Usage)>,
    /// The others, by service.
    pub rests: Vec<(Key, Unlisted)>,
}

impl Counts {
    /// Lists the largest, and adds the others to the rests.
    pub fn new(all: BTreeMap<Tag, Usage>, mut rests: BTreeMap<Key, Unlisted>) -> Counts {
        let mut listed: Vec<(Tag, Usage)> = all
            .into_iter()
            .filter(|(_, count)| !count.is_empty())
            .collect();
        listed.sort_by_key(|(_, count)| Reverse(count.sort_key()));
        for (tag, count) in listed.drain(MAX_LISTED.min(listed.len())..) {
            let rest = rests.entry(tag.service).or_default();
            rest.organisations = rest.organisations.saturating_add(1);
            rest.usage.add(&count);
        }
        let mut rests: Vec<(Key, Unlisted)> = rests.into_iter().collect();
        rests.sort_by_key(|(_, rest)| Reverse(rest.usage.sort_key()));
        rests.truncate(SERVICES);
        Counts { listed, rests }
    }

    /// Whether nothing is in flight or waiting.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty() && self.rests.is_empty()
    }

    /// What organisations have at one service, and the rest.
    pub fn at(&self, service: Key) -> (Vec<(Key, Usage)>, Unlisted) {
        let listed = self.listed.iter().filter(|(tag, _)| tag.service == service);
        let listed = listed.map(|(tag, count)| (tag.organisation, *count));
        let rest = self.rests.iter().find(|(key, _)| *key == service);
        (
            listed.collect(),
            rest.map(|(_, rest)| *rest).unwrap_or_default(),
        )
    }
}

/// What organisations have in flight at one host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The host's number, drawn at its start.
    pub host: u64,
    /// Counts the host's reports.
    pub number: u32,
    /// The counts.
    pub counts: Counts,
}

/// What organisations have in flight at all hosts that a relay hears.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Totals {
    /// The age of the oldest report that is included, in milliseconds.
    pub age_ms: u32,
    /// The counts.
    pub counts: Counts,
}

/// A relay's account of what hosts report. Decides only; the relay sends.
#[derive(Debug, Default)]
pub struct Tally {
    told: HashMap<SocketAddr, (Mono, Report)>,
    taken: Mono,
}

impl Tally {
    /// A host reported.
    pub fn receive(&mut self, now: Mono, from: SocketAddr, envelope: &Envelope) {
        let Some(report) = envelope.decode::<Report>(from) else {
            return;
        };
        // A datagram that was overtaken by a later one is older news.
        let is_late = self
            .told
            .get(&from)
            .is_some_and(|(_, last)| last.host == report.host && last.number > report.number);
        if !is_late {
            self.told.insert(from, (now, report));
        }
    }

    /// The sums and the hosts that reported, if it is time to tell them.
    pub fn take_updates(&mut self, now: Mono) -> Option<(Envelope, Vec<SocketAddr>)> {
        if self.told.is_empty() || now.since(self.taken) < PERIOD {
            return None;
        }
        self.taken = now;
        let totals = self.totals(now);
        let hosts = self.told.keys().copied().collect();
        Envelope::encode(&totals).map(|envelope| (envelope, hosts))
    }

    fn totals(&mut self, now: Mono) -> Totals {
        self.told.retain(|_, (at, _)| now.since(*at) < MAX_AGE);
        let mut all: BTreeMap<Tag, Usage> = BTreeMap::new();
        let mut rests: BTreeMap<Key, Unlisted> = BTreeMap::new();
        let mut oldest = Duration::ZERO;
        for (at, report) in self.told.values() {
            oldest = oldest.max(now.since(*at));
            for (tag, count) in &report.counts.listed {
                all.entry(*tag).or_default().add(count);
            }
            for (service, rest) in &report.counts.rests {
                // Mostly the same organisations at each host.
                let sum = rests.entry(*service).or_default();
                sum.organisations = sum.organisations.max(rest.organisations);
                sum.usage.add(&rest.usage);
            }
        }
        Totals {
            age_ms: millis(oldest),
            counts: Counts::new(all, rests),
        }
    }
}
