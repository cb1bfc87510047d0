//! Publication of a configuration, whole or as a delta from the version in force.

use serde::{Deserialize, Serialize};

use super::{
    Document,
    delta::{Delta, Mismatch},
};
use crate::config::{Change, Config};

/// A publication, as it is stored in the log. A whole text is stored in the format of
/// earlier releases, which can't read a delta.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Publication {
    /// The text and its version.
    #[serde(rename = "document")]
    Whole(Document),
    /// The difference from the version that the proposer of the log entry had applied.
    #[serde(rename = "delta")]
    Delta(Delta),
}

impl Publication {
    /// Creates the publication of `document` while `held` is in force: a delta, if that is
    /// much shorter.
    pub fn of(held: Option<&Document>, document: Document) -> Publication {
        match held.and_then(|held| worthwhile_delta(held, &document)) {
            Some(delta) => Publication::Delta(delta),
            None => Publication::Whole(document),
        }
    }

    /// Returns the published version.
    pub fn version(&self) -> u64 {
        match self {
            Publication::Whole(document) => document.version,
            Publication::Delta(delta) => delta.version,
        }
    }

    /// Returns the version that a delta applies to; `None` for a whole text.
    pub fn base(&self) -> Option<u64> {
        match self {
            Publication::Whole(_) => None,
            Publication::Delta(delta) => Some(delta.base),
        }
    }

    /// Returns the length of the text that it contains, in bytes.
    pub fn text_bytes(&self) -> usize {
        match self {
            Publication::Whole(document) => document.len(),
            Publication::Delta(delta) => delta.inserted_bytes(),
        }
    }
}

/// Returns the change that a publication makes; `None` unless its version is the highest.
/// All replicas compute the same change from the same state.
///
/// # Errors
///
/// If the publication is a delta whose base isn't in force. It changes nothing then.
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
            match held.and_then(|held| worthwhile_delta(held, &document)) {
                Some(delta) => Change::Delta(delta),
                None => Change::Document(Some(document)),
            }
        }
    };
    Ok(Some(change))
}

/// Returns the delta from `held` to `new`, if it is worth sending. A text in one piece
/// shares no pieces with another text.
fn worthwhile_delta(held: &Document, new: &Document) -> Option<Delta> {
    if held.pieces.len() < 2 || new.pieces.len() < 2 {
        return None;
    }
    let delta = Delta::between(held, new);
    delta.is_worthwhile(new.len()).then_some(delta)
}
