//! The table of plans, and the change numbers that make proposals idempotent.
//!
//! An operator chooses a number for each change, and sends the change again under the
//! same number when the answer was lost. The same number with the same intent is the same
//! change, which is answered again and applied once; with another intent it is a conflict.
//! If two operators choose the same number at the same time, only the one whose proposal
//! comes second in the log gets a conflict.

use std::collections::{BTreeMap, VecDeque};

use almondlock_base::{Code, time::Wall};
use serde::{Deserialize, Serialize};

use super::{Id, Plan, State, compile::Error};
use crate::{intent::Intent, limit};

/// The plans that are kept.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    plans: BTreeMap<Id, Plan>,
    numbers: BTreeMap<String, Use>,
    /// Invariant: the keys of `numbers`, oldest first.
    #[serde(rename = "order")]
    number_order: VecDeque<String>,
    /// The number of the newest plan.
    #[serde(rename = "last")]
    last_id: Id,
}

/// What a change number was used for.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Use {
    /// Hash of the intent.
    digest: String,
    plan: Id,
}

impl Table {
    /// Returns a plan by its number.
    pub fn get(&self, id: Id) -> Option<&Plan> {
        self.plans.get(&id)
    }

    /// Returns all plans, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Plan> {
        self.plans.values()
    }

    pub(super) fn get_mut(&mut self, id: Id) -> Option<&mut Plan> {
        self.plans.get_mut(&id)
    }

    /// Returns the plans that are being carried out or stopped.
    pub fn active(&self) -> impl Iterator<Item = &Plan> {
        let active = |plan: &&Plan| matches!(plan.state, State::Running | State::Stopping);
        self.plans.values().filter(active)
    }

    /// Returns the plan that the same proposal made before, if any.
    ///
    /// # Errors
    ///
    /// If the number stands for another change, or the plan is no longer kept.
    pub fn find_repeat(&self, number: &str, intent: &Intent) -> Result<Option<&Plan>, Error> {
        let Some(used) = self.numbers.get(number) else {
            return Ok(None);
        };
        if used.digest != digest(intent) {
            let message = format!(
                "change number {number} is taken by plan {}, another change",
                used.plan
            );
            return Err(Error {
                code: Code::Conflict,
                message,
            });
        }
        let plan = self.plans.get(&used.plan);
        plan.map(Some).ok_or_else(|| Error {
            code: Code::UnknownPlan,
            message: format!(
                "the change became plan {}, which has ended and is no longer kept",
                used.plan
            ),
        })
    }

    /// Checks the change number of a new plan, and that there is room for the plan.
    pub fn check_proposal(&self, number: &str) -> Result<(), Error> {
        if number.is_empty() || number.len() > limit::MAX_CHANGE_NUMBER_BYTES {
            return Err(Error::invalid("a change number is 1 to 64 bytes"));
        }
        let open = self
            .plans
            .values()
            .filter(|plan| !plan.state.is_over())
            .count();
        if open >= limit::MAX_OPEN_PLANS {
            let message = "too many plans are waiting or running; stop some of them".to_owned();
            return Err(Error {
                code: Code::LimitReached,
                message,
            });
        }
        Ok(())
    }

    /// Returns the number of the next plan.
    pub fn next_id(&self) -> Id {
        Id(self.last_id.0 + 1)
    }

    /// Stores a plan and its change number.
    pub fn insert(&mut self, plan: Plan) {
        let used = Use {
            digest: digest(&plan.intent),
            plan: plan.id,
        };
        self.numbers.insert(plan.number.clone(), used);
        self.number_order.push_back(plan.number.clone());
        if self.number_order.len() > limit::MAX_CHANGE_NUMBERS {
            let oldest = self.number_order.pop_front();
            oldest.and_then(|oldest| self.numbers.remove(&oldest));
        }
        self.last_id = plan.id;
        self.plans.insert(plan.id, plan);
        self.evict_ended();
    }

    /// Removes the oldest plans that are over until the rest is within the limit.
    fn evict_ended(&mut self) {
        let over = self.plans.values().filter(|plan| plan.state.is_over());
        let surplus = over.clone().count().saturating_sub(limit::MAX_ENDED_PLANS);
        let oldest: Vec<Id> = over.take(surplus).map(|plan| plan.id).collect();
        for id in oldest {
            self.plans.remove(&id);
        }
    }

    /// Marks proposals as lapsed that were not confirmed in time.
    pub fn expire(&mut self, now: Wall) {
        let waiting = self
            .plans
            .values_mut()
            .filter(|plan| plan.state == State::Proposed);
        for plan in waiting.filter(|plan| now.since(plan.proposed_at) >= limit::PROPOSAL_LIFETIME) {
            plan.state = State::Lapsed;
        }
        self.evict_ended();
    }

    /// Returns the lowest [`Plan::base_sequence`] of all plans.
    pub fn lowest_sequence(&self) -> Option<u64> {
        self.plans.values().map(|plan| plan.base_sequence).min()
    }
}

fn digest(intent: &Intent) -> String {
    let bytes = serde_json::to_vec(intent).unwrap_or_default();
    blake3::hash(&bytes).to_hex().to_string()
}
