//! Plans: what an intent would change, and how it is carried out.
//!
//! An intent is compiled into a plan, which does nothing until it is confirmed.
//! A plan names the state it was computed on. Confirmed on a later one, it is
//! carried out only when nothing that it touches has moved; else it is stale,
//! and the refusal says what moved.
//!
//! A confirmed plan is carried out step by step by the leader, and the state of
//! each step is replicated: a new leader goes on where the last one was. The
//! leader asks [`next()`] for the next command and proposes it; each command is
//! checked again when it is applied, so that two leaders which both believe
//! that they lead can't take a step twice.
//!
//! - [`compile`] makes steps of an intent and weighs the risk;
//! - [`table`] keeps plans and change numbers;
//! - [`execute`] takes the steps;
//! - [`next()`] says which step is due.

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

/// A plan's number. Counts up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Where a plan stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Waits for its confirmation; nothing has changed.
    Proposed,
    /// Is being carried out.
    Running,
    /// Was told to stop; what is under way is brought to an end.
    Stopping,
    /// Stopped half-way. May be confirmed again, or undone.
    Stopped,
    /// Carried out.
    Done,
    /// Stopped by itself. May be confirmed again, or undone.
    Failed,
    /// Was never confirmed.
    Lapsed,
}

impl State {
    /// Whether nothing more will happen by itself.
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

/// One step.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// Something changes.
    Apply(Effect),
    /// The log's membership changes; the leader does it.
    Member(Member),
    /// An upstream is drained, loads a version, and returns.
    Upgrade {
        /// The upstream.
        upstream: Upstream,
        /// The model.
        model: Model,
        /// The version.
        version: Version,
    },
}

/// How far a step is.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Progress {
    /// Not begun.
    Pending,
    /// Begun: a membership change is asked for, or an upstream is drained.
    Begun {
        /// When.
        since: Wall,
        /// Whether the plan drained the upstream and so returns it.
        drained: bool,
    },
    /// The upstream was told to load.
    Ordered {
        /// By when it must have registered with the version.
        until: Wall,
        /// Whether the plan drained the upstream and so returns it.
        drained: bool,
    },
    /// Ended well.
    Done,
    /// Nothing was there to be done: the upstream is gone, or needs nothing.
    Skipped,
    /// Ended badly.
    Failed {
        /// What went wrong.
        message: String,
    },
}

impl Progress {
    /// Whether nothing more is to be done.
    pub const fn is_ended(&self) -> bool {
        matches!(
            self,
            Progress::Done | Progress::Skipped | Progress::Failed { .. }
        )
    }

    /// Whether it is begun and not ended.
    pub const fn is_in_progress(&self) -> bool {
        matches!(self, Progress::Begun { .. } | Progress::Ordered { .. })
    }
}

/// How a step goes on. What the leader proposes; see [`execute`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Transition {
    /// Begin it: drain the upstream, or ask for the membership change.
    Begin,
    /// Tell the drained upstream to load.
    Order,
    /// It ended well.
    Finish,
    /// It ended badly.
    Fail {
        /// What went wrong.
        message: String,
    },
    /// The plan as a whole is to stop; the index doesn't matter.
    Halt {
        /// Why.
        message: String,
    },
}

/// A step and how far it is.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Stage {
    /// The step.
    pub step: Step,
    /// How far it is.
    pub progress: Progress,
    /// What would put back what the step changed, and is known once it did.
    #[serde(default)]
    pub inverse: Option<Effect>,
}

/// What an operator should know before confirming.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Risk {
    /// Of the capacity that serves now what the plan touches, how much of a
    /// hundred is left at the lowest point.
    pub capacity_left: Option<u8>,
    /// Who notices.
    pub affected: Vec<String>,
    /// How long it takes, in seconds, at the weight store's rate.
    pub seconds: u64,
    /// What may go wrong.
    pub warnings: Vec<String>,
}

/// A plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Plan {
    /// Its number.
    pub id: Id,
    /// The operator's number for the change.
    pub number: String,
    /// Who proposed it.
    pub operator: String,
    /// When.
    #[serde(rename = "proposed")]
    pub proposed_at: Wall,
    /// What is wanted.
    pub intent: Intent,
    /// The revision that it was computed on.
    #[serde(rename = "base")]
    pub base_revision: Revision,
    /// The count of effects that it was computed on.
    #[serde(rename = "sequence")]
    pub base_sequence: u64,
    /// What it touches.
    #[serde(rename = "parts")]
    pub resources: Vec<Resource>,
    /// What will be done, in this order.
    pub stages: Vec<Stage>,
    /// What to know before.
    pub risk: Risk,
    /// How many upstreams of the model a rollout must leave serving.
    #[serde(default, rename = "keep")]
    pub min_serving: usize,
    /// Where it stands.
    pub state: State,
    /// The revision of its last effect.
    #[serde(default)]
    pub revision: Revision,
    /// Why it stopped or failed.
    #[serde(default)]
    pub message: String,
}

impl Plan {
    /// Steps that are begun and not ended.
    pub fn stages_in_progress(&self) -> impl Iterator<Item = (usize, &Stage)> {
        let stages = self.stages.iter().enumerate();
        stages.filter(|(_, stage)| stage.progress.is_in_progress())
    }

    /// Whether it is changing this part, or will.
    pub fn modifies(&self, part: &Resource) -> bool {
        let upgrades = |(_, stage): (usize, &Stage)| match &stage.step {
            Step::Upgrade { upstream, .. } => Resource::drain(upstream) == *part,
            _ => false,
        };
        self.resources.contains(part) || self.stages_in_progress().any(upgrades)
    }

    /// The least role that may carry it out. Told by what it does, not by its
    /// intent: undoing a change of operators is one, too.
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

    /// Steps that ended well.
    pub fn completed_count(&self) -> usize {
        self.stages
            .iter()
            .filter(|stage| stage.progress == Progress::Done)
            .count()
    }
}
