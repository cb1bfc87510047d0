//! Operators, and what each may do.
//!
//! An operator proves itself by a key, of which only the hash is kept. The
//! first administrator's hash comes from the settings at the first start;
//! every other one is added by a plan, like any other change.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::KeyHash;

/// What an operator may do. Each role may do all that the ones before may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// May look.
    Viewer,
    /// May change organisations, models and upstreams.
    Operator,
    /// May change operators and replicas.
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
    /// The hash of its key.
    pub key: KeyHash,
    /// What it may do.
    pub role: Role,
}

/// The hash that a key is kept as.
pub fn hash_key(key: &str) -> KeyHash {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Whether a text can be the hash of a key.
pub fn is_key_hash(text: &str) -> bool {
    text.len() == 64
        && text
            .bytes()
            .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}
