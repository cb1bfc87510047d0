//! What entry hosts and relays say to each other, a datagram each.

use std::net::SocketAddr;

use almondlock_base::id::Domain;
use serde::{Deserialize, Serialize};

use crate::load::{Key, Load};

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
    /// A relay to a host, from time to time.
    Introduction(Introduction),
}

/// How closely a host wants to follow a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Listen {
    /// No sums, only introductions.
    No,
    /// All sums, now and then: to take over when the other relay falls silent.
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
    pub listens: Listen,
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

/// Where a relay is, and which other hosts it knows.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Introduction {
    /// The relay's failure domain.
    pub domain: Domain,
    /// The other hosts, for those that follow the relay.
    pub peers: Vec<SocketAddr>,
}
