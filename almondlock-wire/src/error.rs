//! What is wrong with a message that can't be turned into domain types.

use std::fmt;

use almondlock_base::id;

/// A message of another process that can't be used.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    Encoding(capnp::Error),
    Name(id::Error),
    Value(&'static str),
}

impl Error {
    /// A field whose value is outside what the protocol allows.
    pub(crate) fn value(field: &'static str) -> Error {
        let kind = Kind::Value(field);
        Error { kind }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            Kind::Encoding(e) => write!(f, "unreadable message: {e}"),
            Kind::Name(e) => write!(f, "unusable message: {e}"),
            Kind::Value(field) => write!(f, "unusable message: bad value of `{field}`"),
        }
    }
}

impl std::error::Error for Error {}

impl From<capnp::Error> for Error {
    fn from(e: capnp::Error) -> Error {
        let kind = Kind::Encoding(e);
        Error { kind }
    }
}

impl From<capnp::NotInSchema> for Error {
    fn from(e: capnp::NotInSchema) -> Error {
        Error::from(capnp::Error::from(e))
    }
}

impl From<std::str::Utf8Error> for Error {
    fn from(e: std::str::Utf8Error) -> Error {
        Error::from(capnp::Error::from(e))
    }
}

impl From<id::Error> for Error {
    fn from(e: id::Error) -> Error {
        let kind = Kind::Name(e);
        Error { kind }
    }
}

impl From<Error> for capnp::Error {
    fn from(e: Error) -> capnp::Error {
        capnp::Error::failed(e.to_string())
    }
}
