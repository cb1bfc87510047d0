//! Who speaks: the few facts that go with every exchange.
//!
//! Revisions spread along the data path as well as along the tree: whichever
//! side of an exchange sees that the other holds a newer one goes to fetch it.

use almondlock_base::{
    id::{self, Host, Incarnation},
    unit::Revision,
};

use crate::almondlock_capnp::peer;

/// The version of the inner protocol that this build speaks.
pub const VERSION: u16 = 1;

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

/// A message that breaks the protocol's rules.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: Kind,
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum Kind {
    #[error("unreadable message: {0}")]
    Message(String),
    #[error(transparent)]
    Name(#[from] id::Error),
    #[error("bad {field}: {problem}")]
    Field {
        field: &'static str,
        problem: String,
    },
}

impl Error {
    /// A field whose value can't be used.
    pub fn field(field: &'static str, problem: &str) -> Error {
        let problem = problem.chars().take(200).collect();
        Error {
            kind: Kind::Field { field, problem },
        }
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.kind.fmt(f)
    }
}

impl std::error::Error for Error {}

impl From<id::Error> for Error {
    fn from(error: id::Error) -> Error {
        Error { kind: error.into() }
    }
}

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Error {
        Error {
            kind: Kind::Message(error.to_string()),
        }
    }
}

impl From<Error> for capnp::Error {
    fn from(error: Error) -> capnp::Error {
        capnp::Error::failed(error.to_string())
    }
}

/// Reads a text field, which the protocol says is UTF-8.
pub(crate) fn text(reader: capnp::text::Reader<'_>) -> Result<&str, Error> {
    reader
        .to_str()
        .map_err(|error| Error::field("text", &error.to_string()))
}
