//! Plans and change numbers.
//!
//! An operator chooses a number for each change and sends the change again
//! under the same number when the answer was lost. The same number with the
//! same content is the same change, answered again and applied once; with other
//! content it is a conflict. Of two racing operators who chose one number, the
//! one whose proposal stands second in the log gets the conflict, and exactly
//! that one.

use std::collections::{BTreeMap, VecDeque};

use almondlock_base::{Code, time::Wall};
use serde::{Deserialize, Serialize};

use super::{Id, Plan, State, compile::Error};
use crate::{intent::Intent, limit};

/// All plans that are remembered.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    plans: BTreeMap<Id, Plan>,
    numbers: BTreeMap<String, Use>,
    /// Invariant: the keys of `numbers`, oldest first.
    order: VecDeque<String>,
    last: Id,
}

/// What a change number was used for.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
struct Use {
    digest: String,
    plan: Id,
}

impl Table {
    /// A plan by its number.
    pub fn get(&self, id: Id) -> Option<&Plan> {
        self.plans.get(&id)
    }

    /// All plans, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &Plan> {
        self.plans.values()
    }

    pub(super) fn get_mut(&mut self, id: Id) -> Option<&mut Plan> {
        self.plans.get_mut(&id)
    }

    /// Plans that are being carried out.
    pub fn active(&self) -> impl Iterator<Item = &Plan> {
        let active = |plan: &&Plan| matches!(plan.state, State::Running | State::Stopping);
        self.plans.values().filter(active)
    }

    /// The plan that this change was made into before, if it was.
    pub fn find_repeat(&self, number: &str, intent: &Intent) -> Result<Option<&Plan>, Error> {
        let Some(used) = self.numbers.get(number) else {
            return Ok(None);
        };
        if used.digest != digest(intent) {
            let message = format!(
                "number {number} stands for plan {}, another change",
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
                "it became plan {}, which is over and no longer kept",
                used.plan
            ),
        })
    }

    /// Whether one more can be proposed under this number.
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
            let message = "too many plans wait or run; stop some".to_owned();
            return Err(Error {
                code: Code::LimitReached,
                message,
            });
        }
        Ok(())
    }

    /// The number that the next plan gets.
    pub fn next_id(&self) -> Id {
        Id(self.last.0 + 1)
    }

    /// Keeps a plan and its change number.
    pub fn insert(&mut self, plan: Plan) {
        let used = Use {
            digest: digest(&plan.intent),
            plan: plan.id,
        };
        self.numbers.insert(plan.number.clone(), used);
        self.order.push_back(plan.number.clone());
        if self.order.len() > limit::MAX_CHANGE_NUMBERS {
            let oldest = self.order.pop_front();
            oldest.and_then(|oldest| self.numbers.remove(&oldest));
        }
        self.last = plan.id;
        self.plans.insert(plan.id, plan);
        self.shrink();
    }

    fn shrink(&mut self) {
        let over = self.plans.values().filter(|plan| plan.state.is_over());
        let surplus = over.clone().count().saturating_sub(limit::MAX_ENDED_PLANS);
        let oldest: Vec<Id> = over.take(surplus).map(|plan| plan.id).collect();
        for id in oldest {
            self.plans.remove(&id);
        }
    }

    /// Lets proposals lapse that waited too long.
    pub fn expire(&mut self, now: Wall) {
        let waiting = self
            .plans
            .values_mut()
            .filter(|plan| plan.state == State::Proposed);
        for plan in waiting.filter(|plan| now.since(plan.proposed_at) >= limit::PROPOSAL_LIFETIME) {
            plan.state = State::Lapsed;
        }
        self.shrink();
    }

    /// The lowest count of effects that a remembered plan was computed on.
    pub fn lowest_sequence(&self) -> Option<u64> {
        self.plans.values().map(|plan| plan.base_sequence).min()
    }
}

fn digest(intent: &Intent) -> String {
    let bytes = serde_json::to_vec(intent).unwrap_or_default();
    blake3::hash(&bytes).to_hex().to_string()
}
