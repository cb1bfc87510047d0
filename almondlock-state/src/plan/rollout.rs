//! Rollout of a new version to the upstreams of a model.
//!
//! Each upstream is drained, ordered to load the version, and returned to work once it
//! has registered with it. Three bounds limit the pace:
//!
//! - the number of concurrent loads that the weight store can serve, over all rollouts;
//! - the number of upstreams of the model that must go on serving;
//! - the first upstream is upgraded alone, so that a version that can't be loaded costs
//!   one upstream only.
//!
//! Upstreams of different failure domains alternate, so that the loss of a domain during
//! the rollout doesn't take all upstreams with either version.
//!
//! During a rollout requests may run on both versions ([`Config::serves`]); the version
//! in force changes when half of the upstreams are upgraded. A rollout stops by itself
//! when more than one in twenty upgraded upstreams failed to load the version or has not
//! stayed registered with it.
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

/// The setting that holds the maximum number of concurrent loads.
pub const LOADS_SETTING: &str = "weight-store/loads";
/// The setting that holds the expected duration of one load, in seconds.
pub const LOAD_SECONDS_SETTING: &str = "weight-store/seconds";

/// Time after which a drain is known to all hosts, and the upstream is ordered to load.
pub const DRAIN_PROPAGATION: Duration = Duration::from_secs(5);

/// The beginning of the reason of each drain that a rollout made.
pub(super) const DRAIN_REASON_PREFIX: &str = "rollout by plan ";

const DEFAULT_LOADS: u64 = 2;
const DEFAULT_LOAD_SECONDS: u64 = 300;
/// A load fails after this multiple of its expected duration.
const LOAD_TIMEOUT_FACTOR: u32 = 3;
/// A rollout tolerates one failure for each this many upgraded upstreams.
const UPSTREAMS_PER_FAILURE: usize = 20;

/// Returns the maximum number of concurrent loads from the weight store.
pub fn max_concurrent_loads(config: &Config) -> usize {
    let loads = numeric_setting(config, LOADS_SETTING, DEFAULT_LOADS).clamp(1, 1_000);
    usize::try_from(loads).unwrap_or(1)
}

/// Returns the expected duration of one load.
pub fn load_time(config: &Config) -> Duration {
    Duration::from_secs(
        numeric_setting(config, LOAD_SECONDS_SETTING, DEFAULT_LOAD_SECONDS).clamp(1, 86_400),
    )
}

/// Returns the time after which a load counts as failed.
pub fn load_timeout(config: &Config) -> Duration {
    load_time(config) * LOAD_TIMEOUT_FACTOR
}

fn numeric_setting(config: &Config, name: &str, default: u64) -> u64 {
    let value = config.settings.get(name);
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn version_of<'a>(known: &'a Registration, model: &Model) -> Option<&'a Version> {
    let (name, version) = known.model.as_ref()?;
    (name == model).then_some(version)
}

/// Returns the upstreams that may be given new requests for the model.
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

/// Returns the number of upstreams that must go on serving when `keep` percent of those
/// with the model must.
pub fn min_serving(config: &Config, model: &Model, keep: u8) -> usize {
    let loaded = config
        .upstreams
        .values()
        .filter(|known| version_of(known, model).is_some());
    (loaded.count() * usize::from(keep)).div_ceil(100)
}

/// Compiles a rollout of a version during which `keep` percent of the upstreams must go on
/// serving.
pub(super) fn compile(
    tables: &Tables,
    (model, version): (&Model, &Version),
    keep: u8,
) -> Result<Draft, Error> {
    let config = &tables.config;
    let current = config.models.get(model);
    let current = current.ok_or_else(|| Error::invalid("no such model"))?;
    if keep > 100 {
        return Err(Error::invalid("keep is a percentage from 0 to 100"));
    }
    let todo = upgrade_order(config, model, version);
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
    let max_upgrades = max_upgrades(config, model, keep);
    risk::add_upgrades(config, model, &todo, max_upgrades, &mut draft.risk);
    draft.resources.push(Resource::model(model));
    draft.resources.sort();
    draft.resources.dedup();
    Ok(draft)
}

/// Returns the steps of a rollout. Both versions serve from the first step to the last;
/// the version in force changes after half of the upgrades.
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
        // An earlier rollout to this version was stopped after the version in force had
        // changed, or one to another version before it had.
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

/// Returns the upstreams with another version of the model, failure domains alternating.
fn upgrade_order(config: &Config, model: &Model, version: &Version) -> Vec<Upstream> {
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

/// Compiles a rollout back to the version that was in force before `plan`.
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

/// Returns the number of upstreams of the model that may be upgraded at a time.
fn max_upgrades(config: &Config, model: &Model, keep: u8) -> usize {
    let spare = serving_upstreams(config, model)
        .count()
        .saturating_sub(min_serving(config, model, keep));
    spare.min(max_concurrent_loads(config)).max(1)
}

/// Returns why the upgrade at `index` can't begin now; `None` if it can.
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
        return Some("the step is not an upgrade");
    };
    let config = &tables.config;
    let upgrade = |step: &Step| matches!(step, Step::Upgrade { .. });
    let under_way = |plan: &Plan| {
        plan.stages_in_progress()
            .filter(|(_, s)| upgrade(&s.step))
            .count()
    };
    if plans.active().map(under_way).sum::<usize>() >= max_concurrent_loads(config) {
        return Some("the maximum number of concurrent loads is in progress");
    }
    let upgraded = |stage: &&super::Stage| upgrade(&stage.step) && stage.progress == Progress::Done;
    if under_way(plan) > 0 && plan.stages.iter().find(upgraded).is_none() {
        return Some("the first upstream must be upgraded alone");
    }
    let still = serving_upstreams(config, model)
        .filter(|name| *name != upstream)
        .count();
    // If an operator drained the upstream or it is gone, its upgrade takes no capacity.
    let takes_away = serving_upstreams(config, model).any(|name| name == upstream);
    if takes_away && still < plan.min_serving {
        return Some("too few upstreams would go on serving");
    }
    None
}

/// Returns why a rollout must stop by itself: too many upstreams failed with the version.
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
    let too_many = bad * UPSTREAMS_PER_FAILURE > good + bad;
    too_many.then(|| {
        format!(
            "{bad} of {} fail with the new version, the last {last}",
            good + bad
        )
    })
}

/// Creates the refusal of a command that the plan's or step's state doesn't allow.
pub(super) fn refusal(message: &str) -> Error {
    Error {
        code: Code::PlanState,
        message: message.to_owned(),
    }
}
