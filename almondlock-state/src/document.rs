//! The deployment's configuration as an operator publishes it: one text, whole,
//! under one version number.
//!
//! Some deployments are configured by a complete text for each version and not
//! by single changes. The replicas keep the text as it was sent, so that it can
//! be read back to the byte, and leave its meaning to whoever can read it. The
//! highest version counts: an older one that arrives late, or is sent again, is
//! answered like the first time and changes nothing, and so is another text
//! under the version in force, because processes have acted on the first one.

mod packed;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{Change, Config};

/// A published configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Document {
    /// Its version. Never goes down in the replicated state.
    pub version: u64,
    /// The text as it was sent. A long one is stored and told compressed.
    #[serde(with = "packed")]
    pub text: Arc<str>,
}

/// The change that a publication makes: none unless its version is the highest.
pub fn publish(config: &Config, document: Document) -> Option<Change> {
    let held = config.document.as_ref().map(|held| held.version);
    let newer = held.is_none_or(|held| document.version > held);
    newer.then_some(Change::Document(Some(document)))
}
