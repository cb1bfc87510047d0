//! Who changed what, when, under which number, and how it ended.
//!
//! One record for each thing that an operator did or a plan came to. The
//! newest [`limit::MAX_HISTORY_RECORDS`] are kept.

use std::collections::VecDeque;

use almondlock_base::{time::Wall, unit::Revision};
use serde::{Deserialize, Serialize};

use crate::{limit, plan};

/// One thing that happened.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// When, by the leader's clock.
    pub at: Wall,
    /// The operator, or empty for what the system did by itself.
    pub operator: String,
    /// The plan.
    pub plan: plan::Id,
    /// The change number of the plan.
    pub number: String,
    /// What happened: proposed, confirmed, stopped, done, failed.
    pub event: String,
    /// The intent, or what went wrong.
    pub detail: String,
    /// The revision after it.
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

    /// The records, newest first.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.records.iter().rev()
    }
}
