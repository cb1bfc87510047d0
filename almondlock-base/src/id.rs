//! Names and numbers that identify things.
//!
//! A name is a shared immutable string: copying one copies a pointer. All
//! names obey the same rule, so that they can stand in paths, metrics and
//! settings without quoting.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// The longest name, in bytes.
pub const NAME_LIMIT: usize = 96;

/// A name that breaks the rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    text: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "bad name {:?}: use 1 to {NAME_LIMIT} of a-z, A-Z, 0-9, '.', '-', '_', ':' or '/'",
            self.text
        )
    }
}

impl std::error::Error for Error {}

fn check(text: &str) -> Result<Arc<str>, Error> {
    let fits = !text.is_empty() && text.len() <= NAME_LIMIT;
    let plain = text
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b".-_:/".contains(&b));
    if fits && plain {
        Ok(Arc::from(text))
    } else {
        let text = text.chars().take(NAME_LIMIT).collect();
        Err(Error { text })
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(
            // Invariant: keeps the rule of `check`.
            Arc<str>,
        );

        impl $name {
            /// Checks the text and makes a name of it.
            pub fn new(text: &str) -> Result<$name, Error> {
                check(text).map($name)
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<$name, Error> {
                $name::new(&text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// A host, as its settings name it.
    Host
);
name!(
    /// A failure domain: hosts that may be lost together.
    Domain
);
name!(
    /// A region: failure domains close to each other.
    Region
);
name!(
    /// An organisation: who owns a share of the fleet.
    Organisation
);
name!(
    /// An upstream: a model engine or a plain service's process.
    Upstream
);
name!(
    /// A model as callers name it.
    Model
);
name!(
    /// An adapter of a model.
    Adapter
);
name!(
    /// A version of a model's or an adapter's weights.
    Version
);
name!(
    /// A plain service.
    Service
);

/// One life of a process. Two lives never share a number: it is made of the
/// wall clock in milliseconds and random low bits, and compared for equality
/// only; which life is the newer one is decided by the order of registrations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Bits taken by the random part.
    const RANDOM_BITS: u32 = 22;

    /// The number of a life that starts at `now`.
    pub fn new(now: crate::time::Wall, random: u64) -> Incarnation {
        let low = random & ((1 << Incarnation::RANDOM_BITS) - 1);
        Incarnation((now.as_millis() << Incarnation::RANDOM_BITS) | low)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One attempt to run a request. Unique over restarts and hosts, so that an
/// answer which comes late can be told from the current one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Attempt {
    /// The entry host that made it.
    pub host: Host,
    /// That host's life.
    pub incarnation: Incarnation,
    /// Counts up within that life.
    pub counter: u64,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.host, self.incarnation, self.counter)
    }
}

/// What a request is told by: a hash over its organisation and its body, so
/// that blame for a crash can never reach another organisation's request. Also
/// a hash of something that requests share, such as a part of their prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

impl Fingerprint {
    /// Hashes an organisation's name, a path and a body.
    pub fn new(organisation: &Organisation, path: &str, body: &[u8]) -> Fingerprint {
        Fingerprint::of_fields(&[organisation.as_str().as_bytes(), path.as_bytes(), body])
    }

    /// Hashes the id of a part of prompts, as a service's callers name it. Other services may
    /// use the same id for something else.
    pub fn of_part(service: &Service, id: &str) -> Fingerprint {
        Fingerprint::of_fields(&[b"part", service.as_str().as_bytes(), id.as_bytes(), b""])
    }

    /// Hashes an organisation's name.
    pub fn of_organisation(organisation: &Organisation) -> Fingerprint {
        Fingerprint::of_fields(&[b"organisation", organisation.as_str().as_bytes()])
    }

    fn of_fields(fields: &[&[u8]]) -> Fingerprint {
        let mut hasher = blake3::Hasher::new();
        for field in fields {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        let mut short = [0; 16];
        short.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Fingerprint(short)
    }

    /// Reads a fingerprint from bytes off the wire.
    pub fn from_slice(bytes: &[u8]) -> Option<Fingerprint> {
        bytes.try_into().ok().map(Fingerprint)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}
