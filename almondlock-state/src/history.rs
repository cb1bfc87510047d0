//! The history of plans: who changed what and when, under which change number, and the
//! result.
//!
//! There is one record for each action of an operator and each end of a plan. The newest
//! [`limit::MAX_HISTORY_RECORDS`] records are kept.

use std::collections::VecDeque;

use almondlock_base::{time::Wall, unit::Revision};
use serde::{Deserialize, Serialize};

use crate::{limit, plan};

/// An event in the history of a plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The time of the event, by the leader's clock.
    pub at: Wall,
    /// The operator, or empty if the system acted by itself.
    pub operator: String,
    /// The plan's number.
    pub plan: plan::Id,
    /// The plan's change number.
    pub number: String,
    /// The event: proposed, confirmed, stopped, done, or failed.
    pub event: String,
    /// The intent, or the cause of a failure.
    pub detail: String,
    /// The revision of the configuration at the time of the event.
    pub revision: Revision,
}

/// The newest records, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Table {
    records: VecDeque<Record>,
}

impl Table {
    /// Adds a record.
    pub fn push(&mut self, record: Record) {
        if self.records.len() >= limit::MAX_HISTORY_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
    }

    /// Returns the records, newest first.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().rev()
    }
}
