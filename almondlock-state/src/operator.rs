//! Operators and their roles.
//!
//! An operator is authenticated by a key, of which only the hash is stored. The first
//! administrator's hash comes from the settings at the first start; all other operators are
//! added by plans, like any other change.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::KeyHash;

/// The role of an operator. Each role includes the permissions of those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// May read the state.
    Viewer,
    /// May also change organisations, models, services, settings and upstreams.
    Operator,
    /// May also change operators and replicas.
    Admin,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::Viewer => "viewer",
            Role::Operator => "operator",
            Role::Admin => "admin",
        })
    }
}

/// An operator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Operator {
    /// The hash of the operator's key.
    pub key: KeyHash,
    /// The operator's role.
    pub role: Role,
}

/// Returns the hash under which a key is stored.
pub fn hash_key(key: &str) -> KeyHash {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Returns whether a text has the form of a key's hash.
pub fn is_key_hash(text: &str) -> bool {
    text.len() == 64
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}
