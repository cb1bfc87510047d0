//! Who speaks: the few facts that go with every exchange.
//!
//! Revisions spread along the data path as well as along the tree: whichever
//! side of an exchange sees that the other holds a newer one goes to fetch it.

use almondlock_base::{
    id::{Host, Incarnation},
    unit::Revision,
};

use crate::almondlock_capnp::peer;
pub use crate::error::Error;
pub(crate) use crate::error::text;

/// The version of the inner protocol that this build speaks. From 2 on snapshots of the
/// configuration come packed.
pub const VERSION: u16 = 2;

/// A process as it names itself in an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its host's name.
    pub host: Host,
    /// Its life.
    pub incarnation: Incarnation,
    /// The version of the inner protocol it speaks.
    pub version: u16,
    /// The revision in force there.
    pub revision: Revision,
}

impl Peer {
    /// Reads and checks a peer off the wire.
    pub fn read(reader: peer::Reader<'_>) -> Result<Peer, Error> {
        Ok(Peer {
            host: Host::new(text(reader.get_host()?)?)?,
            incarnation: Incarnation(reader.get_incarnation()),
            version: reader.get_version(),
            revision: Revision(reader.get_revision()),
        })
    }

    /// Writes the peer into a message.
    pub fn write(&self, mut builder: peer::Builder<'_>) {
        builder.set_host(self.host.as_str());
        builder.set_incarnation(self.incarnation.0);
        builder.set_version(self.version);
        builder.set_revision(self.revision.0);
    }
}
