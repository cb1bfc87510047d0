//! Exchanges what organisations have in flight: hosts report it, and relays add it up.
//!
//! A host reports to every relay, so that each relay's sums are complete when a host
//! changes relays. A relay sends the sums to the hosts that follow it closely. Both happen
//! every [`PERIOD`]; a stream occupies its slot for ten such periods. Reports count for
//! [`MAX_AGE`] at the relay and sums for as long at the host. This is a bit more than two
//! periods each, so that one lost datagram is tolerated and nothing older than a second
//! counts.
//!
//! Hosts whose settings don't ask for fair shares neither send nor get these messages.

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

/// Version of the format of an [`Envelope`]'s contents.
pub const FORMAT: u8 = 1;
/// Time between two reports of a host, and between two sums of a relay.
pub const PERIOD: Duration = Duration::from_millis(200);
/// Time for which a report counts at a relay, and a sum at a host.
pub const MAX_AGE: Duration = Duration::from_millis(500);
/// Maximum number of organisations that a datagram lists. Each takes 12 to 25 bytes. The
/// others are summed up.
pub const MAX_LISTED: usize = 64;
/// Maximum number of services for which a datagram has a sum of unlisted organisations.
const MAX_SERVICES: usize = 16;

/// Contents with the version of their format. A receiver ignores contents of another
/// format.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// Version of the format.
    pub format: u8,
    /// The encoded contents.
    pub body: Vec<u8>,
}

impl Envelope {
    /// Encodes contents in the present format. Returns `None` if they can't be encoded.
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
                tracing::error!(%error, "counts by organisation can't be encoded");
                None
            }
        }
    }

    /// Decodes the contents, if they have the present format.
    pub fn decode<T>(&self, from: SocketAddr) -> Option<T>
    where
        T: DeserializeOwned,
    {
        if self.format != FORMAT {
            tracing::debug!(%from, format = self.format, "counts by organisation have another format, ignored");
            return None;
        }
        let read = postcard::from_bytes(&self.body);
        read.inspect_err(
            |error| tracing::debug!(%from, %error, "counts by organisation can't be decoded"),
        )
        .ok()
    }
}

/// An organisation and the service whose engines it uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Tag {
    /// Key of the service's name.
    pub service: Key,
    /// Key of the organisation's name.
    pub organisation: Key,
}

impl Tag {
    /// Makes the tag of a service and an organisation from their names.
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
    /// Organisations with the most in flight, in descending order. Invariant: at most
    /// [`MAX_LISTED`], none empty.
    pub listed: Vec<(Tag, Usage)>,
    /// Sums of the other organisations, by service.
    pub rests: Vec<(Key, Unlisted)>,
}

impl Counts {
    /// Lists the organisations with the most in flight, and adds the others to `rests`.
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
        rests.truncate(MAX_SERVICES);
        Counts { listed, rests }
    }

    /// Returns whether nothing is in flight or waiting.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty() && self.rests.is_empty()
    }

    /// Returns the listed organisations of one service, and the sum of its others.
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

/// Report of what organisations have in flight at one host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Random number that the host draws at its start.
    pub host: u64,
    /// Number of the report, counted by the host.
    pub number: u32,
    /// Counts by organisation.
    pub counts: Counts,
}

/// Sum of what organisations have in flight at all hosts that report to a relay.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Totals {
    /// Age in milliseconds of the oldest report that is included.
    pub age_ms: u32,
    /// Counts by organisation.
    pub counts: Counts,
}

/// Adds up the hosts' reports at a relay. Does no I/O.
#[derive(Debug, Default)]
pub struct Tally {
    reports: HashMap<SocketAddr, (Mono, Report)>,
    taken_at: Mono,
}

impl Tally {
    /// Takes in a host's report.
    pub fn receive(&mut self, now: Mono, from: SocketAddr, envelope: &Envelope) {
        let Some(report) = envelope.decode::<Report>(from) else {
            return;
        };
        // A datagram that arrives after a later one is out of date.
        let is_late = self
            .reports
            .get(&from)
            .is_some_and(|(_, last)| last.host == report.host && last.number > report.number);
        if !is_late {
            self.reports.insert(from, (now, report));
        }
    }

    /// If it is time to send them, returns the sums and the hosts that reported.
    pub fn take_updates(&mut self, now: Mono) -> Option<(Envelope, Vec<SocketAddr>)> {
        if self.reports.is_empty() || now.since(self.taken_at) < PERIOD {
            return None;
        }
        self.taken_at = now;
        let totals = self.totals(now);
        let hosts = self.reports.keys().copied().collect();
        Envelope::encode(&totals).map(|envelope| (envelope, hosts))
    }

    fn totals(&mut self, now: Mono) -> Totals {
        self.reports.retain(|_, (at, _)| now.since(*at) < MAX_AGE);
        let mut all: BTreeMap<Tag, Usage> = BTreeMap::new();
        let mut rests: BTreeMap<Key, Unlisted> = BTreeMap::new();
        let mut oldest = Duration::ZERO;
        for (at, report) in self.reports.values() {
            oldest = oldest.max(now.since(*at));
            for (tag, count) in &report.counts.listed {
                all.entry(*tag).or_default().add(count);
            }
            for (service, rest) in &report.counts.rests {
                // The hosts' unlisted organisations are mostly the same ones.
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
