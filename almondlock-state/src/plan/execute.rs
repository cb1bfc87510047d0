//! Execution of plans: proposing, confirming, stopping, and taking their steps.
//!
//! This code runs inside the replicated state machine, on commands that the leader
//! proposed. Each transition is checked against the state at the time when the command
//! is applied. A command that was proposed twice, or by a leader that has been
//! replaced, finds the step already taken and is refused.

use almondlock_base::{Code, time::Wall, unit::Revision};

use super::{
    Id, Plan, Progress, State, Step, Transition,
    compile::{Error, compile},
    rollout, table,
};
use crate::{
    config::{Change, Drain},
    history::{self, Record},
    intent::Intent,
    tables::{Effect, Tables},
};

/// Applies commands about plans to the parts of the state that they change.
#[derive(Debug)]
pub struct Executor<'a> {
    /// The tables that plans change.
    pub tables: &'a mut Tables,
    /// The plans.
    pub plans: &'a mut table::Table,
    /// The history of plans.
    pub history: &'a mut history::Table,
    /// Receives the changes of the configuration that the command makes.
    pub changes: &'a mut Vec<(Revision, Change)>,
    /// The time of the command.
    pub now: Wall,
}

/// An operator's proposal of a change.
#[derive(Clone, Debug, PartialEq)]
pub struct Proposal {
    /// The change number, chosen by the operator.
    pub number: String,
    /// The intent to plan.
    pub intent: Intent,
    /// The operator's name.
    pub operator: String,
}

impl Executor<'_> {
    /// Makes a plan of an intent, or finds the plan that the same proposal made before.
    pub fn propose(&mut self, proposal: Proposal) -> Result<Id, Error> {
        if let Some(known) = self.plans.find_repeat(&proposal.number, &proposal.intent)? {
            return Ok(known.id);
        }
        self.plans.check_proposal(&proposal.number)?;
        let draft = compile(self.tables, self.plans, &proposal.intent, self.now)?;
        let keep = match &proposal.intent {
            Intent::Rollout { model, keep, .. } => {
                rollout::min_serving(&self.tables.config, model, *keep)
            }
            _ => 0,
        };
        let plan = Plan {
            id: self.plans.next_id(),
            number: proposal.number,
            operator: proposal.operator,
            proposed_at: self.now,
            intent: proposal.intent,
            base_revision: self.tables.config.revision,
            base_sequence: self.tables.sequence,
            resources: draft.resources,
            stages: draft.stages,
            risk: draft.risk,
            min_serving: keep,
            state: State::Proposed,
            revision: Revision::ZERO,
            message: String::new(),
        };
        let id = plan.id;
        self.record(
            &plan,
            &plan.operator,
            "proposed",
            &masked_json(&plan.intent),
        );
        self.plans.insert(plan);
        Ok(id)
    }

    /// Starts carrying out a plan, or continues one that was stopped or has failed.
    pub fn confirm(&mut self, id: Id, operator: &str) -> Result<(), Error> {
        let plan = self.find(id)?;
        match plan.state {
            // The operator asks again because the answer was lost.
            State::Running | State::Done => return Ok(()),
            State::Proposed | State::Stopped | State::Failed => {}
            State::Stopping | State::Lapsed => {
                return Err(rollout::refusal(&format!("the plan is {}", plan.state)));
            }
        }
        self.check_unmodified(&plan)?;
        let mut plan = plan;
        for stage in &mut plan.stages {
            if matches!(stage.progress, Progress::Failed { .. }) {
                stage.progress = Progress::Pending;
            }
        }
        plan.state = State::Running;
        plan.message = String::new();
        self.record(&plan, operator, "confirmed", "");
        self.apply_ready_steps(plan);
        Ok(())
    }

    /// Refuses a plan if a resource that it changes has been modified since it was
    /// computed, or is being changed by another plan.
    fn check_unmodified(&self, plan: &Plan) -> Result<(), Error> {
        let stale = |message| {
            Err(Error {
                code: Code::PlanStale,
                message,
            })
        };
        for part in &plan.resources {
            if let Some(touch) = self
                .tables
                .modified_since(part, plan.base_sequence, plan.id)
            {
                return stale(format!(
                    "{part} changed at revision {}; the plan rests on revision {}",
                    touch.revision, plan.base_revision
                ));
            }
            let mut others = self.plans.active().filter(|other| other.id != plan.id);
            if let Some(other) = others.find(|other| other.modifies(part)) {
                return stale(format!("{part} is being changed by plan {}", other.id));
            }
        }
        // Conditions on a whole table (one administrator remains, no key belongs to two
        // organisations) can be violated by two plans that change no common resource.
        if plan.state == State::Proposed && !matches!(plan.intent, Intent::Rollout { .. }) {
            let again = compile(self.tables, self.plans, &plan.intent, self.now);
            if let Err(error) = again {
                return stale(format!("it can't be planned any more: {}", error.message));
            }
        }
        Ok(())
    }

    /// Stops a plan. Upstreams that are only drained return to work at once; those that
    /// have been ordered to load are waited for.
    pub fn stop(&mut self, id: Id, operator: &str) -> Result<(), Error> {
        let mut plan = self.find(id)?;
        match plan.state {
            State::Stopping | State::Stopped => return Ok(()),
            State::Proposed | State::Running => {}
            _ => return Err(rollout::refusal(&format!("the plan is {}", plan.state))),
        }
        self.record(&plan, operator, "stopped", "");
        self.halt(&mut plan);
        self.apply_ready_steps(plan);
        Ok(())
    }

    /// Sets the plan to stopping, and returns the upstreams that it has only drained.
    fn halt(&mut self, plan: &mut Plan) {
        plan.state = State::Stopping;
        for index in 0..plan.stages.len() {
            let stage = &plan.stages[index];
            let Step::Upgrade { upstream, .. } = &stage.step else {
                continue;
            };
            let Progress::Begun { drained, .. } = stage.progress else {
                continue;
            };
            let upstream = upstream.clone();
            plan.stages[index].progress = Progress::Pending;
            if drained {
                self.change(plan, Change::Drain(upstream, None));
            }
        }
    }

    /// Applies a transition to the step at `index`, unless the step isn't ready for it.
    pub fn apply_transition(
        &mut self,
        id: Id,
        index: usize,
        advance: Transition,
    ) -> Result<(), Error> {
        let mut plan = self.find(id)?;
        if plan.state.is_over() || plan.state == State::Proposed {
            return Err(rollout::refusal(&format!("the plan is {}", plan.state)));
        }
        if let Transition::Halt { message } = advance {
            plan.message = message;
            self.halt(&mut plan);
            self.apply_ready_steps(plan);
            return Ok(());
        }
        let stage = plan
            .stages
            .get(index)
            .ok_or_else(|| Error::invalid("no such step"))?;
        let (step, progress) = (stage.step.clone(), stage.progress.clone());
        let next = match (&step, advance) {
            (Step::Member(_) | Step::Upgrade { .. }, Transition::Begin) => {
                self.begin_step(&plan, index)?
            }
            (Step::Member(member), Transition::Finish) if progress.is_in_progress() => {
                self.tables.apply_member(member, plan.id);
                Progress::Done
            }
            (Step::Upgrade { .. }, Transition::Order) => {
                self.order_load(&mut plan, &step, &progress)?
            }
            (Step::Upgrade { .. }, Transition::Finish) => {
                self.finish_step(&mut plan, &step, &progress)?
            }
            (_, Transition::Fail { message }) if progress.is_in_progress() => {
                self.fail_step(&mut plan, &step);
                Progress::Failed { message }
            }
            _ => {
                return Err(rollout::refusal("the step is not ready for that"));
            }
        };
        plan.stages[index].progress = next;
        self.halt_on_failure(&mut plan);
        self.apply_ready_steps(plan);
        Ok(())
    }

    fn begin_step(&mut self, plan: &Plan, index: usize) -> Result<Progress, Error> {
        if plan.state != State::Running || !is_due(plan, index) {
            return Err(rollout::refusal("the step isn't due"));
        }
        let since = self.now;
        let Step::Upgrade {
            upstream,
            model,
            version,
        } = &plan.stages[index].step
        else {
            return Ok(Progress::Begun {
                since,
                drained: false,
            });
        };
        let known = self.tables.config.upstreams.get(upstream);
        let loaded = known.and_then(|known| known.model.as_ref());
        if loaded.is_none_or(|(name, loaded)| name != model || loaded == version) {
            return Ok(Progress::Skipped);
        }
        if let Some(obstacle) = rollout::upgrade_obstacle(self.tables, self.plans, plan, index) {
            return Err(rollout::refusal(obstacle));
        }
        let drain = self.tables.config.drains.get(upstream);
        // A drain whose reason begins like this was left by a rollout whose upgrade failed,
        // and not made by an operator.
        let drained =
            drain.is_none_or(|drain| drain.reason.starts_with(rollout::DRAIN_REASON_PREFIX));
        if drain.is_none() {
            let reason = format!(
                "{}{}: {model} to {version}",
                rollout::DRAIN_REASON_PREFIX,
                plan.id
            );
            let drain = Drain { since, reason };
            let effect = Effect::Config(Change::Drain(upstream.clone(), Some(drain)));
            self.changes
                .extend(self.tables.apply(effect, Some(plan.id)));
        }
        Ok(Progress::Begun { since, drained })
    }

    fn order_load(
        &mut self,
        plan: &mut Plan,
        step: &Step,
        progress: &Progress,
    ) -> Result<Progress, Error> {
        let Step::Upgrade {
            upstream,
            model,
            version,
        } = step
        else {
            return Err(rollout::refusal("only an upgrade is ordered"));
        };
        let known = self.tables.config.upstreams.get(upstream);
        let known = known.ok_or_else(|| rollout::refusal("the upstream isn't registered"))?;
        let (drained, first) = match progress {
            Progress::Begun { since, drained }
                if self.now.since(*since) >= rollout::DRAIN_PROPAGATION =>
            {
                (*drained, None)
            }
            // The sidecar has restarted: the order in force names its earlier incarnation.
            Progress::Ordered { until, drained } if self.has_stale_order(upstream) => {
                (*drained, Some(*until))
            }
            _ => return Err(rollout::refusal("the drain hasn't reached all hosts yet")),
        };
        let what = (model, version);
        let issued = self.tables.orders.issue(upstream, known, what, self.now);
        let order =
            issued.ok_or_else(|| rollout::refusal("an earlier order may still be delivered"))?;
        let limit = rollout::load_timeout(&self.tables.config);
        let until = first.unwrap_or(order.until + limit);
        self.change(plan, Change::Order(upstream.clone(), Some(order)));
        Ok(Progress::Ordered { until, drained })
    }

    fn has_stale_order(&self, upstream: &almondlock_base::id::Upstream) -> bool {
        let config = &self.tables.config;
        let order = config.orders.get(upstream);
        let known = config.upstreams.get(upstream);
        order
            .zip(known)
            .is_some_and(|(order, known)| order.issuer != known.incarnation)
    }

    fn finish_step(
        &mut self,
        plan: &mut Plan,
        step: &Step,
        progress: &Progress,
    ) -> Result<Progress, Error> {
        let (
            Step::Upgrade {
                upstream,
                model,
                version,
            },
            true,
        ) = (step, progress.is_in_progress())
        else {
            return Err(rollout::refusal("the step isn't under way"));
        };
        let known = self.tables.config.upstreams.get(upstream);
        let loaded = known.and_then(|known| known.model.as_ref());
        if loaded != Some(&(model.clone(), version.clone())) {
            return Err(rollout::refusal(
                "the upstream hasn't registered with the version",
            ));
        }
        if self.tables.config.orders.contains_key(upstream) {
            self.change(plan, Change::Order(upstream.clone(), None));
        }
        let (Progress::Begun { drained, .. } | Progress::Ordered { drained, .. }) = progress else {
            return Ok(Progress::Done);
        };
        if *drained {
            self.change(plan, Change::Drain(upstream.clone(), None));
        }
        Ok(Progress::Done)
    }

    /// Withdraws the order of a failed upgrade. The upstream stays drained, since it is
    /// not known what it has loaded.
    fn fail_step(&mut self, plan: &mut Plan, step: &Step) {
        let Step::Upgrade { upstream, .. } = step else {
            return;
        };
        if self.tables.config.orders.contains_key(upstream) {
            self.change(plan, Change::Order(upstream.clone(), None));
        }
    }

    /// Halts a rollout with too many failures, and a plan with a failed membership change.
    fn halt_on_failure(&mut self, plan: &mut Plan) {
        let member = plan
            .stages
            .iter()
            .find_map(|stage| match (&stage.step, &stage.progress) {
                (Step::Member(_), Progress::Failed { message }) => Some(message.clone()),
                _ => None,
            });
        let trouble = member.or_else(|| rollout::halt_reason(self.tables, plan));
        if let Some(message) = trouble.filter(|_| plan.state == State::Running) {
            plan.message = message;
            self.halt(plan);
        }
    }

    /// Applies the next steps that need no action of the leader, ends the plan if it is
    /// complete, and stores it.
    fn apply_ready_steps(&mut self, mut plan: Plan) {
        while plan.state == State::Running {
            let pending = |stage: &super::Stage| stage.progress == Progress::Pending;
            let Some(index) = plan.stages.iter().position(pending) else {
                break;
            };
            let Step::Apply(effect) = plan.stages[index].step.clone() else {
                break;
            };
            if !plan.stages[..index]
                .iter()
                .all(|stage| stage.progress.is_ended())
            {
                break;
            }
            plan.stages[index].inverse = Some(effect.inverse(self.tables));
            plan.stages[index].progress = Progress::Done;
            let made = self.tables.apply(effect, Some(plan.id));
            self.changes.extend(made);
            plan.revision = self.tables.config.revision;
        }
        self.end_if_complete(&mut plan);
        if let Some(kept) = self.plans.get_mut(plan.id) {
            *kept = plan;
        }
    }

    /// Ends a plan whose steps have all ended, or a stopping one without steps in progress.
    fn end_if_complete(&mut self, plan: &mut Plan) {
        let next = match plan.state {
            State::Running if plan.stages.iter().all(|stage| stage.progress.is_ended()) => {
                State::Done
            }
            State::Stopping if plan.stages_in_progress().next().is_some() => return,
            State::Stopping if plan.message.is_empty() => State::Stopped,
            State::Stopping => State::Failed,
            _ => return,
        };
        plan.state = next;
        self.record(plan, "", &next.to_string(), &plan.message);
    }

    fn change(&mut self, plan: &mut Plan, change: Change) {
        let made = self.tables.apply(Effect::Config(change), Some(plan.id));
        self.changes.extend(made);
        plan.revision = self.tables.config.revision;
    }

    fn find(&self, id: Id) -> Result<Plan, Error> {
        let plan = self.plans.get(id).cloned();
        plan.ok_or_else(|| Error {
            code: Code::UnknownPlan,
            message: format!("no plan {id}"),
        })
    }

    fn record(&mut self, plan: &Plan, operator: &str, event: &str, detail: &str) {
        self.history.push(Record {
            at: self.now,
            operator: operator.to_owned(),
            plan: plan.id,
            number: plan.number.clone(),
            event: event.to_owned(),
            detail: detail.to_owned(),
            revision: self.tables.config.revision,
        });
    }
}

/// Returns whether a step is pending and the steps before it have ended. Consecutive
/// upgrades may overlap.
pub(super) fn is_due(plan: &Plan, index: usize) -> bool {
    let upgrade = |step: &Step| matches!(step, Step::Upgrade { .. });
    let pending = plan.stages[index].progress == Progress::Pending;
    let overlaps = upgrade(&plan.stages[index].step);
    let passed =
        |stage: &super::Stage| stage.progress.is_ended() || (overlaps && upgrade(&stage.step));
    pending && plan.stages[..index].iter().all(passed)
}

/// Returns an intent as JSON, with shortened key hashes.
fn masked_json(intent: &Intent) -> String {
    let mut intent = intent.clone();
    intent.mask();
    serde_json::to_string(&intent).unwrap_or_default()
}
