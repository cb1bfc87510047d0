//! Plans: the steps that carry out an operator's intent, and their progress.
//!
//! An intent is compiled into a plan, which does nothing until an operator confirms
//! it. A plan records the state that it was computed on. When it is confirmed later,
//! it runs only if none of the resources that it changes has been modified since;
//! otherwise it is stale, and the refusal names the modified resource.
//!
//! The leader carries a confirmed plan out step by step. The progress of each step is
//! replicated, so that a new leader continues where the last one stopped. The leader
//! asks [`due_actions`] for the commands to propose. Each command is checked again
//! when it is applied, so that two replicas that both believe that they lead can't
//! take a step twice.
//!
//! - [`compile`] turns an intent into steps and assesses their risk;
//! - [`table`] stores plans and change numbers;
//! - [`execute`] applies the commands that propose, confirm, stop and advance a plan;
//! - [`next`] determines which steps are due;
//! - [`rollout`] paces the upgrade of a model's upstreams.

pub mod compile;
pub mod execute;
pub mod next;
pub mod risk;
pub mod rollout;
pub mod table;

use std::fmt;

use almondlock_base::{
    id::{Model, Upstream, Version},
    time::Wall,
    unit::Revision,
};
use serde::{Deserialize, Serialize};

pub use self::next::{Action, due_actions, next_action};
use crate::{
    intent::Intent,
    operator::Role,
    replica::Member,
    tables::{Effect, Resource},
};

/// The number of a plan. Plans are numbered in the order in which they were proposed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The state of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The plan waits for confirmation and has changed nothing.
    Proposed,
    /// The plan is being carried out.
    Running,
    /// The plan is stopping: steps in progress are brought to an end.
    Stopping,
    /// An operator stopped the plan. It may be confirmed again, or undone.
    Stopped,
    /// All steps have ended.
    Done,
    /// The plan stopped because of a failure. It may be confirmed again, or undone.
    Failed,
    /// The plan was not confirmed in time.
    Lapsed,
}

impl State {
    /// Returns whether the plan makes no more progress without an operator.
    pub const fn is_over(self) -> bool {
        matches!(
            self,
            State::Stopped | State::Done | State::Failed | State::Lapsed
        )
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Proposed => "proposed",
            State::Running => "running",
            State::Stopping => "stopping",
            State::Stopped => "stopped",
            State::Done => "done",
            State::Failed => "failed",
            State::Lapsed => "lapsed",
        })
    }
}

/// One step of a plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// Applies an effect to the state.
    Apply(Effect),
    /// Changes the membership of the replicated log. The leader carries this out.
    Member(Member),
    /// Drains an upstream, has it load a version, and returns it to work.
    Upgrade {
        /// The upstream to upgrade.
        upstream: Upstream,
        /// The model that the upstream runs.
        model: Model,
        /// The version to load.
        version: Version,
    },
}

/// The progress of a step.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Progress {
    /// The step has not begun.
    Pending,
    /// The step has begun: a membership change was requested, or an upstream drained.
    Begun {
        /// When the step began.
        since: Wall,
        /// Whether the plan drained the upstream, and so has to return it to work.
        drained: bool,
    },
    /// The upstream was ordered to load the version.
    Ordered {
        /// When the upstream must have registered with the version.
        until: Wall,
        /// Whether the plan drained the upstream, and so has to return it to work.
        drained: bool,
    },
    /// The step succeeded.
    Done,
    /// Nothing had to be done: the upstream is gone, runs another model, or has the
    /// version already.
    Skipped,
    /// The step failed.
    Failed {
        /// What went wrong.
        message: String,
    },
}

impl Progress {
    /// Returns whether the step has ended.
    pub const fn is_ended(&self) -> bool {
        matches!(
            self,
            Progress::Done | Progress::Skipped | Progress::Failed { .. }
        )
    }

    /// Returns whether the step has begun and not ended.
    pub const fn is_in_progress(&self) -> bool {
        matches!(self, Progress::Begun { .. } | Progress::Ordered { .. })
    }
}

/// A transition of a step, which the leader proposes. [`execute`] applies it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Transition {
    /// Begins the step: drains the upstream, or requests the membership change.
    Begin,
    /// Orders the drained upstream to load the version.
    Order,
    /// Ends the step as succeeded.
    Finish,
    /// Ends the step as failed.
    Fail {
        /// What went wrong.
        message: String,
    },
    /// Stops the whole plan. The index of the step is ignored.
    Halt {
        /// Why the plan stops.
        message: String,
    },
}

/// A step of a plan with its progress.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Stage {
    /// The step.
    pub step: Step,
    /// The progress of the step.
    pub progress: Progress,
    /// The effect that undoes the step. Known once the step has been applied.
    #[serde(default)]
    pub inverse: Option<Effect>,
}

/// The expected consequences of a plan, shown to an operator before confirmation.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Risk {
    /// The percentage of the present serving capacity that is left at the lowest point.
    /// `None` if no capacity is known to be affected.
    pub capacity_left: Option<u8>,
    /// Who is affected, such as callers of a model or an organisation.
    pub affected: Vec<String>,
    /// The expected duration in seconds, at the weight store's rate.
    pub seconds: u64,
    /// Risks of the plan.
    pub warnings: Vec<String>,
}

/// A plan and its progress.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Plan {
    /// The plan's number.
    pub id: Id,
    /// The change number, chosen by the operator.
    pub number: String,
    /// The operator who proposed the plan.
    pub operator: String,
    /// When the plan was proposed.
    #[serde(rename = "proposed")]
    pub proposed_at: Wall,
    /// The intent that the plan carries out.
    pub intent: Intent,
    /// The revision of the configuration that the plan was computed on.
    #[serde(rename = "base")]
    pub base_revision: Revision,
    /// The value of [`Tables::sequence`] that the plan was computed on.
    ///
    /// [`Tables::sequence`]: crate::tables::Tables::sequence
    #[serde(rename = "sequence")]
    pub base_sequence: u64,
    /// The resources that the plan changes.
    #[serde(rename = "parts")]
    pub resources: Vec<Resource>,
    /// The steps, in order.
    pub stages: Vec<Stage>,
    /// The expected consequences.
    pub risk: Risk,
    /// The number of upstreams of the model that must go on serving during a rollout.
    #[serde(default, rename = "keep")]
    pub min_serving: usize,
    /// The state of the plan.
    pub state: State,
    /// The revision that the plan's last effect made.
    #[serde(default)]
    pub revision: Revision,
    /// Why the plan failed. Empty otherwise.
    #[serde(default)]
    pub message: String,
}

impl Plan {
    /// Returns the steps in progress, each with its index.
    pub fn stages_in_progress(&self) -> impl Iterator<Item = (usize, &Stage)> {
        let stages = self.stages.iter().enumerate();
        stages.filter(|(_, stage)| stage.progress.is_in_progress())
    }

    /// Returns whether the plan changes this resource, or is upgrading the upstream
    /// whose service state the resource is.
    pub fn modifies(&self, resource: &Resource) -> bool {
        let upgrades = |(_, stage): (usize, &Stage)| match &stage.step {
            Step::Upgrade { upstream, .. } => Resource::drain(upstream) == *resource,
            _ => false,
        };
        self.resources.contains(resource) || self.stages_in_progress().any(upgrades)
    }

    /// Returns the least role that may carry the plan out. It follows from the steps and
    /// not from the intent, since undoing a change of operators is such a change too.
    pub fn required_role(&self) -> Role {
        let admin = |step: &Step| {
            matches!(
                step,
                Step::Member(_) | Step::Apply(Effect::Operator(..) | Effect::Replica(..))
            )
        };
        if self.stages.iter().any(|stage| admin(&stage.step)) {
            Role::Admin
        } else {
            Role::Operator
        }
    }

    /// Returns the number of steps that succeeded.
    pub fn completed_count(&self) -> usize {
        self.stages
            .iter()
            .filter(|stage| stage.progress == Progress::Done)
            .count()
    }
}
