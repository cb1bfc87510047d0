//! The actions that are due: steps of plans, and expiry.
//!
//! The leader asks after each command that it applies and once a second, and carries
//! the actions out. No state but the replicated one is kept between two calls, so a new
//! leader continues where the last one stopped.

use almondlock_base::time::Wall;

use super::{Plan, Progress, State, Step, Transition, execute::is_due, rollout};
use crate::{command::Command, limit, machine::Machine, order, replica::Member};

/// An action for the leader to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Propose a command.
    Propose(Command),
    /// Request a membership change, unless it has been requested already, and propose
    /// [`Transition::Finish`] or [`Transition::Fail`] for the step when it has ended.
    Member {
        /// The plan that the step belongs to.
        plan: super::Id,
        /// The index of the step.
        index: usize,
        /// The membership change.
        member: Member,
    },
}

/// Returns the first action that is due, if any.
pub fn next_action(machine: &Machine, now: Wall) -> Option<Action> {
    due_actions(machine, now).into_iter().next()
}

/// Returns all actions that are due now. One of them may make another one unnecessary;
/// a command that is refused when it is applied can be ignored.
pub fn due_actions(machine: &Machine, now: Wall) -> Vec<Action> {
    let mut actions = Vec::new();
    if now.since(machine.clock()) >= limit::SWEEP_INTERVAL {
        actions.push(Action::Propose(Command::Expire { at: now }));
    }
    for plan in machine.plans().active() {
        collect_due(machine, plan, now, &mut actions);
    }
    actions
}

fn collect_due(machine: &Machine, plan: &Plan, now: Wall, actions: &mut Vec<Action>) {
    let step = |index: usize, advance: Transition| {
        Action::Propose(Command::Step {
            plan: plan.id,
            index,
            transition: advance,
            at: now,
        })
    };
    if plan.state == State::Running
        && let Some(message) = rollout::halt_reason(machine.tables(), plan)
    {
        actions.push(step(0, Transition::Halt { message }));
        return;
    }
    for (index, stage) in plan.stages_in_progress() {
        match &stage.step {
            Step::Member(member) => {
                let (plan, member) = (plan.id, member.clone());
                actions.push(Action::Member {
                    plan,
                    index,
                    member,
                });
            }
            Step::Upgrade { .. } => {
                let advance = due_transition(machine, stage, now);
                actions.extend(advance.map(|advance| step(index, advance)));
            }
            Step::Apply(_) => {}
        }
    }
    let first = (0..plan.stages.len()).find(|index| is_due(plan, *index));
    let begins = first.filter(|index| {
        let upgrade = matches!(plan.stages[*index].step, Step::Upgrade { .. });
        plan.state == State::Running && (!upgrade || may_begin_step(machine, plan, *index))
    });
    actions.extend(begins.map(|index| step(index, Transition::Begin)));
}

fn may_begin_step(machine: &Machine, plan: &Plan, index: usize) -> bool {
    let Step::Upgrade { upstream, .. } = &plan.stages[index].step else {
        return true;
    };
    let gone = !machine.config().upstreams.contains_key(upstream);
    gone || rollout::upgrade_obstacle(machine.tables(), machine.plans(), plan, index).is_none()
}

fn due_transition(machine: &Machine, stage: &super::Stage, now: Wall) -> Option<Transition> {
    let Step::Upgrade {
        upstream,
        model,
        version,
    } = &stage.step
    else {
        return None;
    };
    let config = machine.config();
    let known = config.upstreams.get(upstream);
    let loaded = known.and_then(|known| known.model.as_ref());
    if loaded.is_some_and(|(name, loaded)| name == model && loaded == version) {
        return Some(Transition::Finish);
    }
    let ready = known.is_some_and(|known| now >= machine.tables().orders.ready_at(upstream, known));
    match &stage.progress {
        Progress::Begun { since, .. } => {
            let waited = now.since(*since);
            let limit = rollout::load_timeout(config) + order::LIFETIME + order::CLOCK_MARGIN;
            if waited >= limit {
                let message = "the upstream disappeared while it was drained".to_owned();
                return Some(Transition::Fail { message });
            }
            (ready && waited >= rollout::DRAIN_PROPAGATION).then_some(Transition::Order)
        }
        Progress::Ordered { until, .. } if now >= *until => {
            let message = format!("the upstream did not register with {version} in time");
            Some(Transition::Fail { message })
        }
        Progress::Ordered { .. } => {
            let issuer = config.orders.get(upstream).map(|order| order.issuer);
            let is_stale = known.is_some_and(|known| Some(known.incarnation) != issuer);
            (is_stale && ready).then_some(Transition::Order)
        }
        _ => None,
    }
}
