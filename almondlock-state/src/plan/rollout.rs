//! Rolling a version out over the upstreams of a model.
//!
//! Each upstream is drained, told to load, and returned once it has registered
//! with the new version. Three bounds pace it: the weight store's budget of
//! loads at a time over all rollouts, the number of upstreams that must go on
//! serving, and the first upstream of all, which goes alone, so that a version
//! that can't be loaded costs one upstream. The domains take turns, so that the
//! loss of one during the rollout doesn't take all of either version.
//!
//! While it lasts, requests run on both versions ([`Config::serves`]); the
//! version in force changes half-way. A rollout stops by itself when more than
//! one in twenty of those that have it fail to load or don't stay registered.
//!
//! [`Config::serves`]: crate::config::Config::serves

use std::{collections::BTreeMap, time::Duration};

use almondlock_base::{
    Code,
    id::{Domain, Model, Upstream, Version},
};

use super::{
    Plan, Progress, Step,
    compile::{Draft, Error, draft},
    risk, table,
};
use crate::{
    config::{Change, Config, Definition, Registration, rollout_setting},
    tables::{Effect, Resource, Tables},
};

/// The setting that says how many loads may be under way at a time.
pub const LOADS_SETTING: &str = "weight-store/loads";
/// The setting that says how many seconds one load takes.
pub const LOAD_SECONDS_SETTING: &str = "weight-store/seconds";

/// A drain is known everywhere after this; then the upstream is told to load.
pub const DRAIN_PROPAGATION: Duration = Duration::from_secs(5);

/// What the reason of a drain that a rollout made begins with.
pub(super) const REASON: &str = "rollout by plan ";

const LOADS: u64 = 2;
const SECONDS: u64 = 300;
/// A load may take this many times as long as it should.
const PATIENCE: u32 = 3;
/// One failure among this many upstreams is borne.
const BORNE: usize = 20;

/// Loads that the weight store bears at a time.
pub fn max_concurrent_loads(config: &Config) -> usize {
    let loads = setting(config, LOADS_SETTING, LOADS).clamp(1, 1_000);
    usize::try_from(loads).unwrap_or(1)
}

/// How long one load takes.
pub fn load_time(config: &Config) -> Duration {
    Duration::from_secs(setting(config, LOAD_SECONDS_SETTING, SECONDS).clamp(1, 86_400))
}

/// How long a load may take before it counts as failed.
pub fn load_timeout(config: &Config) -> Duration {
    load_time(config) * PATIENCE
}

fn setting(config: &Config, name: &str, default: u64) -> u64 {
    let value = config.settings.get(name);
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn version_of<'a>(known: &'a Registration, model: &Model) -> Option<&'a Version> {
    let (name, version) = known.model.as_ref()?;
    (name == model).then_some(version)
}

/// Upstreams that new requests for the model may be given to.
pub fn serving_upstreams<'a>(
    config: &'a Config,
    model: &'a Model,
) -> impl Iterator<Item = &'a Upstream> {
    let serves = |known: &Registration| {
        version_of(known, model).is_some_and(|version| config.serves(model, version))
    };
    let all = config.upstreams.iter();
    all.filter(move |(name, known)| serves(known) && !config.is_drained(name))
        .map(|(name, _)| name)
}

/// How many upstreams must go on serving.
pub fn min_serving(config: &Config, model: &Model, keep: u8) -> usize {
    let loaded = config
        .upstreams
        .values()
        .filter(|known| version_of(known, model).is_some());
    (loaded.count() * usize::from(keep)).div_ceil(100)
}

pub(super) fn compile(
    tables: &Tables,
    (model, version): (&Model, &Version),
    keep: u8,
) -> Result<Draft, Error> {
    let config = &tables.config;
    let current = config.models.get(model);
    let current = current.ok_or_else(|| Error::invalid("no such model"))?;
    if keep > 100 {
        return Err(Error::invalid("keep is a number of a hundred"));
    }
    let todo = in_turns(config, model, version);
    let count = serving_upstreams(config, model).count();
    if !todo.is_empty() && count > 0 && count <= min_serving(config, model, keep) {
        let message = format!(
            "{count} upstreams serve {model}; to keep {keep} of 100 leaves none to upgrade"
        );
        return Err(Error::invalid(message));
    }
    let steps = steps(model, current, version, &todo);
    let pending = config.settings.contains_key(&rollout_setting(model));
    if todo.is_empty() && current.version == *version && !pending {
        let message = format!("{model} runs {version} already, everywhere");
        return Err(Error::invalid(message));
    }
    let mut draft = draft(tables, steps);
    let width = width(config, model, keep);
    risk::of_upgrades(config, model, &todo, width, &mut draft.risk);
    draft.resources.push(Resource::model(model));
    draft.resources.sort();
    draft.resources.dedup();
    Ok(draft)
}

/// Both versions serve from the first step to the last; the one in force changes
/// when half of the upstreams have it.
fn steps(model: &Model, current: &Definition, to: &Version, todo: &[Upstream]) -> Vec<Step> {
    let change = |change| Step::Apply(Effect::Config(change));
    let other = |version: Option<&Version>| {
        let value = version.map(|version| version.as_str().to_owned());
        change(Change::Setting(rollout_setting(model), value))
    };
    let upgrade = |upstream: &Upstream| Step::Upgrade {
        upstream: upstream.clone(),
        model: model.clone(),
        version: to.clone(),
    };
    let mut steps = Vec::new();
    if current.version == *to {
        // A rollout that was stopped, or its undoing, before the change.
        steps.extend(todo.iter().map(upgrade));
    } else {
        let mut next = current.clone();
        next.version = to.clone();
        let (first, second) = todo.split_at(todo.len().div_ceil(2));
        steps.push(other(Some(to)));
        steps.extend(first.iter().map(upgrade));
        steps.push(change(Change::Model(model.clone(), Some(next))));
        steps.push(other(Some(&current.version)));
        steps.extend(second.iter().map(upgrade));
    }
    steps.push(other(None));
    steps
}

/// Upstreams with another version of the model, the domains taking turns.
fn in_turns(config: &Config, model: &Model, version: &Version) -> Vec<Upstream> {
    let mut turns: BTreeMap<&Domain, usize> = BTreeMap::new();
    let mut todo = Vec::new();
    for (name, known) in &config.upstreams {
        if version_of(known, model).is_some_and(|loaded| loaded != version) {
            let turn = turns.entry(&known.domain).or_default();
            todo.push((*turn, &known.domain, name.clone()));
            *turn += 1;
        }
    }
    todo.sort();
    todo.into_iter().map(|(_, _, name)| name).collect()
}

pub(super) fn undo(tables: &Tables, plan: &Plan, model: &Model, keep: u8) -> Result<Draft, Error> {
    let before = plan
        .stages
        .iter()
        .find_map(|stage| match (&stage.step, &stage.inverse) {
            (Step::Apply(_), Some(Effect::Config(Change::Model(_, Some(before))))) => {
                Some(before.version.clone())
            }
            _ => None,
        });
    let current = tables
        .config
        .models
        .get(model)
        .map(|known| known.version.clone());
    let version = before
        .or(current)
        .ok_or_else(|| Error::invalid("no such model"))?;
    compile(tables, (model, &version), keep)
}

/// How many upstreams of the model the plan may have out of service at a time.
fn width(config: &Config, model: &Model, keep: u8) -> usize {
    let spare = serving_upstreams(config, model)
        .count()
        .saturating_sub(min_serving(config, model, keep));
    spare.min(max_concurrent_loads(config)).max(1)
}

/// Why the upgrade at `index` can't begin now; `None` when it can.
pub fn upgrade_obstacle(
    tables: &Tables,
    plans: &table::Table,
    plan: &Plan,
    index: usize,
) -> Option<&'static str> {
    let Some(Step::Upgrade {
        upstream, model, ..
    }) = plan.stages.get(index).map(|s| &s.step)
    else {
        return Some("it is no upgrade");
    };
    let config = &tables.config;
    let upgrade = |step: &Step| matches!(step, Step::Upgrade { .. });
    let under_way = |plan: &Plan| {
        plan.stages_in_progress()
            .filter(|(_, s)| upgrade(&s.step))
            .count()
    };
    if plans.active().map(under_way).sum::<usize>() >= max_concurrent_loads(config) {
        return Some("the weight store has enough to do");
    }
    let upgraded = |stage: &&super::Stage| upgrade(&stage.step) && stage.progress == Progress::Done;
    if under_way(plan) > 0 && plan.stages.iter().find(upgraded).is_none() {
        return Some("the first upstream goes alone");
    }
    let still = serving_upstreams(config, model)
        .filter(|name| *name != upstream)
        .count();
    // Drained by an operator or gone, it takes nothing away from what serves.
    let takes_away = serving_upstreams(config, model).any(|name| name == upstream);
    if takes_away && still < plan.min_serving {
        return Some("too few would go on serving");
    }
    None
}

/// Why a rollout must stop by itself.
pub fn halt_reason(tables: &Tables, plan: &Plan) -> Option<String> {
    let (mut good, mut bad, mut last) = (0, 0, "");
    for stage in &plan.stages {
        let Step::Upgrade {
            upstream,
            model,
            version,
        } = &stage.step
        else {
            continue;
        };
        let known = tables.config.upstreams.get(upstream);
        let runs = known.and_then(|known| version_of(known, model)) == Some(version);
        match &stage.progress {
            Progress::Done if runs => good += 1,
            Progress::Done => (bad, last) = (bad + 1, upstream.as_str()),
            Progress::Failed { .. } => (bad, last) = (bad + 1, upstream.as_str()),
            _ => {}
        }
    }
    let too_many = bad * BORNE > good + bad;
    too_many.then(|| {
        format!(
            "{bad} of {} fail with the new version, the last {last}",
            good + bad
        )
    })
}

/// The refusal of a step that the state doesn't allow now.
pub(super) fn refusal(message: &str) -> Error {
    Error {
        code: Code::PlanState,
        message: message.to_owned(),
    }
}
