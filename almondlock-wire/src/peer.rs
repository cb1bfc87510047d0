//! Who speaks: sent with every exchange, so that revisions spread with traffic.

use almondlock_base::{
    id::{Host, Incarnation},
    unit::Revision,
};

use crate::{almondlock_capnp::peer, error::Error};

/// The version of the protocol that this code speaks.
pub const VERSION: u16 = 1;

/// A process of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its host.
    pub host: Host,
    /// Its life.
    pub incarnation: Incarnation,
    /// The protocol version it speaks.
    pub version: u16,
    /// The configuration revision in force there.
    pub revision: Revision,
}

/// Reads a peer.
pub fn read(from: peer::Reader<'_>) -> Result<Peer, Error> {
    Ok(Peer {
        host: Host::new(from.get_host()?.to_str()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        version: from.get_version(),
        revision: Revision(from.get_revision()),
    })
}

/// Writes a peer.
pub fn write(peer: &Peer, mut to: peer::Builder<'_>) {
    to.set_host(peer.host.as_str());
    to.set_incarnation(peer.incarnation.0);
    to.set_version(peer.version);
    to.set_revision(peer.revision.0);
}
