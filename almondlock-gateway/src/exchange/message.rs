//! What entry hosts and relays say to each other, a datagram each.

use std::{net::SocketAddr, time::Duration};

use almondlock_base::{
    id::{Domain, Fingerprint},
    time::Mono,
};
use almondlock_policy::throttle::{Notice, Rate};
use almondlock_state::instance::Birth;
use serde::{Deserialize, Serialize};

use super::{
    observed::{Observation, Pace},
    shares::Envelope,
};
use crate::load::{Key, Load};

/// Loads that one datagram tells at the most. Each takes up to 20 bytes.
const LOADS: usize = 2_500;

/// A datagram, or the head of one.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// A host to a relay, or to another host while no relay answers.
    Tell(Digest),
    /// A relay to a host. A [`Sum`] follows, the same bytes for all hosts, so that
    /// it is written once. `included` is the number of the host's own digest that is
    /// part of it; zero if none is.
    Sum {
        /// Which digest of the host is included.
        included: u32,
    },
    /// A relay to a host that listens seldom: it is there, and knows so many hosts.
    Beacon {
        /// How many hosts that are.
        hosts: u32,
    },
    /// A relay to a host, from time to time.
    Introduction(Introduction),
    /// A host to all relays, or a relay to all hosts: limits that have changed, or all
    /// of them from time to time.
    Limits(Vec<Limit>),
    /// A host to a relay.
    Ask(Query),
    /// A relay to the host that asked.
    Permit(Permit),
    /// A host to all relays: a request was lost with the upstream that ran it.
    Lost(Loss),
    /// A host to all relays: a request was answered that upstreams had been lost with.
    Harmless(Fingerprint),
    /// A relay to all hosts: how requests stand that upstreams were lost with, those that
    /// have changed or all of them from time to time.
    Suspects(Vec<Suspect>),
    /// A host to all relays: a [`Report`](super::shares::Report).
    Shares(Envelope),
    /// A relay to hosts that follow it: [`Totals`](super::shares::Totals).
    ShareTotals(Envelope),
    /// A host to all relays: what it observed of upstreams. Only from hosts whose settings
    /// ask for it.
    Observed(Observation),
    /// A relay to the hosts that follow its observations: what all hosts observed.
    Paces(Vec<Pace>),
}

/// A request that was lost with the upstream that ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Loss {
    /// The request.
    pub print: Fingerprint,
    /// The upstream.
    pub key: Key,
    /// Which of its lives.
    pub birth: Birth,
    /// How long ago the request was sent, in milliseconds.
    pub age_ms: u32,
}

/// How a request stands that upstreams were lost with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub print: Fingerprint,
    /// For how many more milliseconds it is refused. None: it may run.
    pub refused_ms: Option<u32>,
    /// An answer to it is news.
    pub watched: bool,
}

/// What is known of an upstream's limit for all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Limit {
    /// The upstream.
    pub key: Key,
    /// The limit. None: it has ended.
    pub rate: Option<Rate>,
    /// How long ago that was so, in milliseconds.
    pub age_ms: u32,
}

impl Limit {
    /// As it is told now.
    pub fn of(now: Mono, key: Key, notice: &Notice) -> Limit {
        Limit {
            key,
            rate: notice.rate,
            age_ms: millis(now.since(notice.at)),
        }
    }

    /// As it was told now, by the clock of whoever heard it.
    pub fn notice(&self, now: Mono) -> Notice {
        Notice {
            rate: self.rate,
            at: now - Duration::from_millis(self.age_ms.into()),
        }
    }
}

/// Asks for a permit to send one request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Query {
    /// Counts the host's questions.
    pub number: u32,
    /// The upstream, and its limit as the host knows it.
    pub limit: Limit,
    /// What the upstream bears, if it is cold. Every host has that from the configuration,
    /// so that relays don't tell it on.
    pub cold: Option<Rate>,
}

/// What comes of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Permit {
    /// The question's number.
    pub number: u32,
    /// When the relay may have a permit, in milliseconds from now. None: this is one.
    pub wait_ms: Option<u32>,
}

/// Milliseconds, rounded up so that a wait is over when they are.
pub(super) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}

/// How closely a host wants to follow a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Subscription {
    /// No sums, only introductions.
    No,
    /// No sums, but that the relay is there: to take over when the other one falls silent.
    Seldom,
    /// What has changed, each round.
    Closely,
}

/// What one host has under way.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// The host's number, drawn at its start.
    pub host: u64,
    /// Counts the host's digests, from 1.
    pub number: u32,
    /// What it wants from the relay that it tells this.
    pub listens: Subscription,
    /// Loads by upstream.
    pub loads: Vec<(Key, Load)>,
}

/// What all hosts together have under way.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Sum {
    /// How many hosts that are.
    pub hosts: u32,
    /// Upstreams that are missing have nothing under way. Otherwise they are as they
    /// were told before.
    pub is_whole: bool,
    /// Loads by upstream.
    pub loads: Vec<(Key, Load)>,
}

impl Sum {
    /// The same in parts of which each fits a datagram. What a part doesn't tell stays as it
    /// was told before, so that only the first one can be whole.
    pub fn parts(&self) -> Vec<Sum> {
        let mut parts: Vec<Sum> = self
            .loads
            .chunks(LOADS)
            .map(|loads| Sum {
                hosts: self.hosts,
                is_whole: false,
                loads: loads.to_vec(),
            })
            .collect();
        if parts.is_empty() {
            return vec![self.clone()];
        }
        parts[0].is_whole = self.is_whole;
        parts
    }
}

/// Where a relay is, and which other hosts it knows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Introduction {
    /// The relay's failure domain.
    pub domain: Domain,
    /// Some other hosts, for those that follow the relay.
    pub peers: Vec<SocketAddr>,
}
