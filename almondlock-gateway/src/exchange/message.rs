//! What entry hosts and relays say to each other, a datagram each.

use std::net::SocketAddr;

use almondlock_base::id::Upstream;
use serde::{Deserialize, Serialize};

use crate::load::Total;

/// A datagram.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// A host to a relay, or to another host while no relay answers.
    Tell(Digest),
    /// A relay to a host.
    Sum(Sum),
}

/// What one host has under way.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Digest {
    /// The host's number, drawn at its start.
    pub host: u64,
    /// It wants sums from the relay that it tells this.
    pub listens: bool,
    /// Totals by upstream.
    pub totals: Vec<(Upstream, Total)>,
}

/// What all other hosts together have under way.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Sum {
    /// How many hosts that are.
    pub hosts: u32,
    /// Totals by upstream.
    pub totals: Vec<(Upstream, Total)>,
    /// Where they are, from time to time.
    pub peers: Vec<SocketAddr>,
}
