//! How a configuration is published: whole, or as what differs from the one in force.

use serde::{Deserialize, Serialize};

use super::{
    Document,
    delta::{Delta, Mismatch},
};
use crate::config::{Change, Config};

/// A publication, as it stands in the log. A whole one is written as by earlier versions,
/// which can't read a delta.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Publication {
    /// The text and its version.
    #[serde(rename = "document")]
    Whole(Document),
    /// What differs from the version that its proposer had applied.
    #[serde(rename = "delta")]
    Delta(Delta),
}

impl Publication {
    /// What publishes `document` where `held` is in force: a delta if that is shorter.
    pub fn of(held: Option<&Document>, document: Document) -> Publication {
        match held.and_then(|held| shorter(held, &document)) {
            Some(delta) => Publication::Delta(delta),
            None => Publication::Whole(document),
        }
    }

    /// The version that it publishes.
    pub fn version(&self) -> u64 {
        match self {
            Publication::Whole(document) => document.version,
            Publication::Delta(delta) => delta.version,
        }
    }

    /// The version that a delta applies to.
    pub fn base(&self) -> Option<u64> {
        match self {
            Publication::Whole(_) => None,
            Publication::Delta(delta) => Some(delta.base),
        }
    }

    /// The length of the text that it holds, in bytes.
    pub fn text_bytes(&self) -> usize {
        match self {
            Publication::Whole(document) => document.len(),
            Publication::Delta(delta) => delta.inserted_bytes(),
        }
    }
}

/// The change that a publication makes: none unless its version is the highest. Each
/// replica makes the same one of the same state.
///
/// # Errors
///
/// If it is a delta and its base isn't in force. Nothing is to be changed then.
pub fn publish(config: &Config, publication: Publication) -> Result<Option<Change>, Mismatch> {
    let held = config.document.as_ref();
    if held.is_some_and(|held| publication.version() <= held.version) {
        return Ok(None);
    }
    let change = match (held, publication) {
        (Some(held), Publication::Delta(delta)) => {
            delta.check(held)?;
            Change::Delta(delta)
        }
        (None, Publication::Delta(delta)) => {
            let expected = delta.base;
            return Err(Mismatch::Missing { expected });
        }
        (held, Publication::Whole(document)) => {
            match held.and_then(|held| shorter(held, &document)) {
                Some(delta) => Change::Delta(delta),
                None => Change::Document(Some(document)),
            }
        }
    };
    Ok(Some(change))
}

/// What makes `new` of `held`, if it is worth sending. A text in one piece shares no piece
/// with another text.
fn shorter(held: &Document, new: &Document) -> Option<Delta> {
    if held.pieces.len() < 2 || new.pieces.len() < 2 {
        return None;
    }
    let delta = Delta::between(held, new);
    delta.is_worthwhile(new.len()).then_some(delta)
}
