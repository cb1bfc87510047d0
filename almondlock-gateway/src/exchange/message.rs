//! The messages between entry hosts and relays. Each is one datagram.

use std::{net::SocketAddr, time::Duration};

use almondlock_base::{
    id::{Domain, Fingerprint},
    time::Mono,
};
use almondlock_policy::{
    poison::profile::{Profile, Rule},
    throttle::{Notice, Rate},
};
use almondlock_state::instance::Birth;
use serde::{Deserialize, Serialize};

use super::{
    observed::{Observation, Pace},
    shares::Envelope,
};
use crate::load::{Key, Load};

/// Maximum number of loads in one datagram. Each takes up to 20 bytes.
const MAX_LOADS: usize = 2_500;

/// A datagram, or the head of one.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// From a host to a relay, or to another host while no relay answers: its loads.
    Tell(Digest),
    /// From a relay to a host: the head of a [`Sum`]. The sum itself follows in the same
    /// datagram with the same bytes for all hosts, so that it is encoded once.
    Sum {
        /// Number of the host's own digest that the sum includes. Zero if it includes none.
        included: u32,
    },
    /// From a relay to a host that listens seldom: the relay is alive.
    Beacon {
        /// Number of hosts that the relay knows.
        hosts: u32,
    },
    /// From a relay to a host, periodically.
    Introduction(Introduction),
    /// From a host to all relays, or from a relay to all hosts: the limits that have
    /// changed, or periodically all of them.
    Limits(Vec<Limit>),
    /// From a host to a relay: asks for a permit.
    Ask(Query),
    /// From a relay to the host that asked.
    Permit(Permit),
    /// From a host to all relays: a request was lost with the upstream that ran it.
    Lost(Loss),
    /// From a host to all relays: a request with which upstreams had been lost was
    /// answered.
    Harmless(Fingerprint),
    /// From a relay to all hosts: the state of requests with which upstreams were lost.
    /// These are the ones that have changed, or periodically all of them.
    Suspects(Vec<Suspect>),
    /// From a host to all relays: a [`Report`](super::shares::Report).
    Shares(Envelope),
    /// From a relay to hosts that follow it closely: [`Totals`](super::shares::Totals).
    ShareTotals(Envelope),
    /// From a host to all relays: what it observed of upstreams. Only hosts whose settings
    /// ask for it send this.
    Observed(Observation),
    /// From a relay to the hosts that follow its observations: what all hosts observed.
    Paces(Vec<Pace>),
    /// From a host to all relays: like `Lost`, with what the request has in common with
    /// others. Sent besides `Lost`, for relays that can't read it.
    LostParts(PartLoss),
    /// From a relay to all hosts: like `Suspects`, for what can't be said there. From a host to
    /// all relays, periodically: what it refuses, for relays that have just started.
    PartSuspects(Vec<PartSuspect>),
    /// From a host to all relays: it had an answer recently to a request with this fingerprint,
    /// which relays call suspected.
    Answered(Fingerprint),
}

/// A request that was lost with the upstream that ran it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Loss {
    /// Fingerprint of the request.
    pub print: Fingerprint,
    /// Key of the upstream.
    pub key: Key,
    /// Start of the upstream's process, which tells it from earlier ones of the same name.
    pub birth: Birth,
    /// Milliseconds since the request was sent.
    pub age_ms: u32,
}

/// A request that was lost with the upstream that ran it, and what it has in common with
/// others.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartLoss {
    /// The loss.
    pub loss: Loss,
    /// Fingerprint of the organisation.
    pub organisation: Fingerprint,
    /// Fingerprints of the parts of the prompt that other requests may share and that the host
    /// has had no answer to recently.
    pub parts: Vec<Fingerprint>,
}

impl PartLoss {
    /// Returns what the request can be recognised by.
    pub fn profile(&self) -> Profile {
        let prints = std::iter::once(&self.loss.print).chain(&self.parts);
        Profile {
            organisation: self.organisation,
            prints: prints.copied().collect(),
        }
    }
}

/// State of requests that have something in common with which upstreams were lost.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartSuspect {
    /// The state, under the fingerprint that the deaths were counted for.
    pub suspect: Suspect,
    /// Fingerprint of the organisation that it concerns. `None` if it concerns all.
    pub organisation: Option<Fingerprint>,
    /// Fingerprints that a request must have, all of them, to be concerned.
    pub prints: Vec<Fingerprint>,
}

impl PartSuspect {
    /// Returns which requests it concerns.
    pub fn rule(&self) -> Rule {
        Rule {
            organisation: self.organisation,
            prints: self.prints.clone(),
        }
    }
}

/// State of a request with which upstreams were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub print: Fingerprint,
    /// Milliseconds for which it is still refused. `None` if it may run.
    pub refused_ms: Option<u32>,
    /// Whether hosts report an answer to it.
    pub watched: bool,
}

/// An upstream's limit on the requests of all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Limit {
    /// Key of the upstream.
    pub key: Key,
    /// The limit. `None` if it has ended.
    pub rate: Option<Rate>,
    /// Milliseconds since the upstream named the limit or its end.
    pub age_ms: u32,
}

impl Limit {
    /// Makes the message for a notice, as sent at `now`.
    pub fn of(now: Mono, key: Key, notice: &Notice) -> Limit {
        Limit {
            key,
            rate: notice.rate,
            age_ms: millis(now.since(notice.at)),
        }
    }

    /// Returns the notice of a message that was received at `now`, in the receiver's time.
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
    /// Number of the query, counted by the host.
    pub number: u32,
    /// The upstream and its limit as the host knows it.
    pub limit: Limit,
    /// Rate that the upstream bears, if it is cold. Every host knows it from the
    /// configuration, so relays don't pass it on.
    pub cold: Option<Rate>,
}

/// Answer to a [`Query`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Permit {
    /// Number of the query.
    pub number: u32,
    /// Milliseconds until the relay may have a permit. `None` if the permit is granted.
    pub wait_ms: Option<u32>,
}

/// Returns the milliseconds of a time, rounded up so that a wait doesn't end too early.
pub(super) fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}

/// How closely a host wants to follow a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Subscription {
    /// Gets only introductions.
    No,
    /// Gets beacons instead of sums. Follows the relay if the one that it follows closely
    /// falls silent.
    Seldom,
    /// Gets the loads that have changed, each round.
    Closely,
}

/// The work in progress of one host.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// Random number that the host draws at its start.
    pub host: u64,
    /// Number of the digest, counted by the host from 1.
    pub number: u32,
    /// How closely the host follows the relay that gets this digest.
    pub listens: Subscription,
    /// Loads by upstream.
    pub loads: Vec<(Key, Load)>,
}

/// The work in progress of all hosts together.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Sum {
    /// Number of hosts that the sum includes.
    pub hosts: u32,
    /// Whether upstreams that are missing have no work in progress. Otherwise their loads
    /// are as in earlier sums.
    pub is_whole: bool,
    /// Loads by upstream.
    pub loads: Vec<(Key, Load)>,
}

impl Sum {
    /// Splits the sum into parts that fit a datagram each. Upstreams that a part lacks keep
    /// their earlier loads, so only the first part can be whole.
    pub fn parts(&self) -> Vec<Sum> {
        let mut parts: Vec<Sum> = self
            .loads
            .chunks(MAX_LOADS)
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

/// The failure domain of a relay, and other hosts that it knows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Introduction {
    /// The relay's failure domain.
    pub domain: Domain,
    /// Other hosts. Empty for hosts that don't follow the relay.
    pub peers: Vec<SocketAddr>,
}
