//! What is wrong with a message that can't be turned into domain types.

use std::fmt;

use almondlock_base::id;

/// The longest account of a problem, in characters.
const PROBLEM_LIMIT: usize = 200;

/// A message of another process that can't be used.
#[derive(Debug)]
pub struct Error {
    kind: Kind,
}

#[derive(Debug)]
enum Kind {
    Encoding(capnp::Error),
    Name(id::Error),
    Field {
        field: &'static str,
        problem: String,
    },
}

impl Error {
    /// A field whose value can't be used.
    pub fn field(field: &'static str, problem: &str) -> Error {
        let problem = problem.chars().take(PROBLEM_LIMIT).collect();
        let kind = Kind::Field { field, problem };
        Error { kind }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            Kind::Encoding(e) => write!(f, "unreadable message: {e}"),
            Kind::Name(e) => write!(f, "unusable message: {e}"),
            Kind::Field { field, problem } => write!(f, "bad {field}: {problem}"),
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

/// Reads a text field, which the protocol says is UTF-8.
pub(crate) fn text(reader: capnp::text::Reader<'_>) -> Result<&str, Error> {
    Ok(reader.to_str()?)
}
