//! Compilation of an intent into the steps of a plan.
//!
//! Compiling reads the state and changes nothing. An intent that can't be carried out is
//! refused before an operator is asked to confirm; what can fail later is listed as a risk.

use almondlock_base::{
    Code,
    id::{Domain, Model, Organisation, Upstream, Version},
    time::Wall,
    unit::Tokens,
};

use super::{Plan, Progress, Risk, Stage, Step, risk, rollout, table};
use crate::{
    config::{self, Change, Definition, Drain, ENTRY_HOSTS_SETTING},
    evacuation,
    intent::{Intent, Limits},
    limit,
    operator::{Operator, Role, is_key_hash},
    replica::{self, Member, Replica},
    tables::{Effect, Resource, Tables},
};

/// A compiled intent, of which a plan is made.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// The resources that the steps change.
    pub resources: Vec<Resource>,
    /// The steps, in order.
    pub stages: Vec<Stage>,
    /// The expected consequences.
    pub risk: Risk,
}

/// The refusal of an intent, or of a command about a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The code of the refusal.
    pub code: Code,
    /// The reason, for people.
    pub message: String,
}

impl Error {
    /// Creates the error for an invalid intent.
    pub fn invalid<M>(message: M) -> Error
    where
        M: Into<String>,
    {
        Error {
            code: Code::BadChange,
            message: message.into(),
        }
    }

    fn full(what: &str) -> Error {
        Error {
            code: Code::LimitReached,
            message: format!("there are too many {what}"),
        }
    }
}

/// Compiles an intent, unless it is invalid in this state or would exceed a limit.
pub fn compile(
    tables: &Tables,
    plans: &table::Table,
    intent: &Intent,
    now: Wall,
) -> Result<Draft, Error> {
    if let Intent::Rollout {
        model,
        version,
        keep,
    } = intent
    {
        return rollout::compile(tables, (model, version), *keep);
    }
    if let Intent::Undo { plan } = intent {
        let plan = plans
            .get(*plan)
            .ok_or_else(|| Error::invalid("no such plan to undo"))?;
        return undo(tables, plan);
    }
    let steps = steps(tables, intent, now)?;
    Ok(draft(tables, steps))
}

pub(super) fn draft(tables: &Tables, steps: Vec<Step>) -> Draft {
    let resources = changed_resources(&steps);
    let risk = risk::assess(tables, &steps);
    let stage = |step| Stage {
        step,
        progress: Progress::Pending,
        inverse: None,
    };
    let stages = steps.into_iter().map(stage).collect();
    Draft {
        resources,
        stages,
        risk,
    }
}

fn changed_resources(steps: &[Step]) -> Vec<Resource> {
    let resource = |step: &Step| match step {
        Step::Apply(effect) => Some(effect.resource()),
        Step::Member(_) => Some(Resource::replicas()),
        // Only while it is in progress, so that a rollout of hours doesn't keep operators
        // from draining the upstream; see `Plan::modifies`.
        Step::Upgrade { .. } => None,
    };
    let mut resources: Vec<Resource> = steps.iter().filter_map(resource).collect();
    resources.sort();
    resources.dedup();
    resources
}

/// Returns the steps of any intent but a rollout or an undo.
fn steps(tables: &Tables, intent: &Intent, now: Wall) -> Result<Vec<Step>, Error> {
    match intent {
        Intent::AddReplica { .. }
        | Intent::RemoveReplica { .. }
        | Intent::ReplaceReplica { .. } => members(tables, intent),
        Intent::SetOperator { name, hash, role } => {
            operator(tables, name, Some((hash, *role))).map(|effect| vec![Step::Apply(effect)])
        }
        Intent::RemoveOperator { name } => {
            operator(tables, name, None).map(|effect| vec![Step::Apply(effect)])
        }
        _ => {
            let change = change(tables, intent, now)?;
            Ok(vec![Step::Apply(Effect::Config(change))])
        }
    }
}

fn change(tables: &Tables, intent: &Intent, now: Wall) -> Result<Change, Error> {
    match intent {
        Intent::AddOrganisation { .. }
        | Intent::ChangeOrganisation { .. }
        | Intent::RemoveOrganisation { .. }
        | Intent::AddKey { .. }
        | Intent::RevokeKey { .. } => organisation(tables, intent),
        Intent::AddModel { .. }
        | Intent::RemoveModel { .. }
        | Intent::SetAdapter { .. }
        | Intent::RemoveAdapter { .. } => model(tables, intent),
        Intent::SetService { .. } | Intent::RemoveService { .. } => service(tables, intent),
        Intent::Drain { upstream, reason } => drain(tables, upstream, reason, now),
        Intent::Return { upstream } if tables.config.drains.contains_key(upstream) => {
            Ok(Change::Drain(upstream.clone(), None))
        }
        Intent::Return { .. } => Err(Error::invalid("the upstream is not drained")),
        Intent::Evacuate { domain, reason } => evacuate(tables, domain, reason, now),
        Intent::Readmit { domain } => evacuation::end(&tables.config, domain.clone())
            .ok_or_else(|| Error::invalid(format!("failure domain {domain} is not evacuated"))),
        Intent::SetSetting { name, value } => setting(tables, name, value.as_deref()),
        _ => Err(Error::invalid("not about the configuration")),
    }
}

fn organisation(tables: &Tables, intent: &Intent) -> Result<Change, Error> {
    let all = &tables.config.organisations;
    let known = |name: &Organisation| {
        all.get(name)
            .cloned()
            .ok_or_else(|| Error::invalid(format!("no organisation {name}")))
    };
    let (name, value) = match intent {
        Intent::AddOrganisation { name, .. } if all.contains_key(name) => {
            return Err(Error::invalid(format!("organisation {name} exists")));
        }
        Intent::AddOrganisation { .. } if all.len() >= limit::MAX_ORGANISATIONS => {
            return Err(Error::full("organisations"));
        }
        Intent::AddOrganisation { name, limits } => {
            (name, Some(apply_limits(new_organisation(), limits)?))
        }
        Intent::ChangeOrganisation { name, limits } => {
            (name, Some(apply_limits(known(name)?, limits)?))
        }
        Intent::RemoveOrganisation { name } => (name, known(name).map(|_| None)?),
        Intent::AddKey { organisation, hash } => (
            organisation,
            Some(add_key(tables, known(organisation)?, hash)?),
        ),
        Intent::RevokeKey { organisation, hash } => {
            (organisation, Some(remove_key(known(organisation)?, hash)?))
        }
        _ => return Err(Error::invalid("not about an organisation")),
    };
    Ok(Change::Organisation(name.clone(), value))
}

/// Creates an organisation without keys and with the default limits.
fn new_organisation() -> config::Organisation {
    config::Organisation {
        keys: Vec::new(),
        share: 1,
        rate: 0,
        tokens: Tokens::ZERO,
        deadline: 60_000,
        deadline_limit: 600_000,
    }
}

/// The longest deadline that can be allowed. An open claim must outlive it.
const MAX_DEADLINE_MS: u64 = 6 * 3600 * 1000;

fn apply_limits(mut it: config::Organisation, new: &Limits) -> Result<config::Organisation, Error> {
    it.share = new.share.unwrap_or(it.share);
    it.rate = new.rate.unwrap_or(it.rate);
    it.tokens = new.tokens.unwrap_or(it.tokens);
    it.deadline = new.deadline.unwrap_or(it.deadline);
    it.deadline_limit = new.deadline_limit.unwrap_or(it.deadline_limit);
    if !(1..=1_000_000).contains(&it.share) {
        return Err(Error::invalid("a share is 1 to 1000000"));
    }
    if it.deadline == 0 || it.deadline > it.deadline_limit || it.deadline_limit > MAX_DEADLINE_MS {
        let message = "the deadline is at least 1 ms, and at most its limit, which is at most 6 h";
        return Err(Error::invalid(message));
    }
    Ok(it)
}

fn add_key(
    tables: &Tables,
    mut it: config::Organisation,
    hash: &str,
) -> Result<config::Organisation, Error> {
    if !is_key_hash(hash) {
        return Err(Error::invalid("a key's hash is 64 hexadecimal digits"));
    }
    let mut all = tables.config.organisations.values();
    if all.any(|other| other.keys.iter().any(|key| key == hash)) {
        return Err(Error::invalid("the key is in use"));
    }
    if it.keys.len() >= limit::MAX_KEYS_PER_ORGANISATION {
        return Err(Error::full("keys"));
    }
    it.keys.push(hash.to_owned());
    Ok(it)
}

fn remove_key(mut it: config::Organisation, hash: &str) -> Result<config::Organisation, Error> {
    let matching = it.keys.iter().filter(|key| key.starts_with(hash)).count();
    if hash.len() < 8 || matching != 1 {
        return Err(Error::invalid(
            "give 8 or more digits that one key's hash begins with",
        ));
    }
    it.keys.retain(|key| !key.starts_with(hash));
    Ok(it)
}

fn model(tables: &Tables, intent: &Intent) -> Result<Change, Error> {
    let all = &tables.config.models;
    let known = |name: &Model| {
        let found = all.get(name).cloned();
        found.ok_or_else(|| Error::invalid(format!("no model {name}")))
    };
    let (name, value) = match intent {
        Intent::AddModel { name, .. } if all.contains_key(name) => {
            return Err(Error::invalid(format!("model {name} exists")));
        }
        Intent::AddModel { .. } if all.len() >= limit::MAX_MODELS => {
            return Err(Error::full("models"));
        }
        Intent::AddModel {
            name,
            version,
            context,
        } => (name, Some(new_model(version, *context)?)),
        Intent::RemoveModel { name } => (name, known(name).map(|_| None)?),
        Intent::SetAdapter { model, .. } | Intent::RemoveAdapter { model, .. } => {
            (model, Some(change_adapter(known(model)?, intent)?))
        }
        _ => return Err(Error::invalid("not about a model")),
    };
    Ok(Change::Model(name.clone(), value))
}

fn new_model(version: &Version, context: Tokens) -> Result<Definition, Error> {
    if context == Tokens::ZERO {
        return Err(Error::invalid("a context is at least one token"));
    }
    let (version, adapters) = (version.clone(), Default::default());
    Ok(Definition {
        version,
        context,
        adapters,
    })
}

fn change_adapter(mut definition: Definition, intent: &Intent) -> Result<Definition, Error> {
    let adapters = &mut definition.adapters;
    match intent {
        Intent::SetAdapter {
            adapter, version, ..
        } => {
            adapters.insert(adapter.clone(), version.clone());
        }
        Intent::RemoveAdapter { adapter, .. } => {
            let gone = adapters.remove(adapter);
            gone.ok_or_else(|| Error::invalid(format!("no adapter {adapter}")))?;
        }
        _ => {}
    }
    if adapters.len() > limit::MAX_ADAPTERS_PER_MODEL {
        return Err(Error::full("adapters"));
    }
    Ok(definition)
}

fn service(tables: &Tables, intent: &Intent) -> Result<Change, Error> {
    let all = &tables.config.services;
    match intent {
        Intent::SetService { name, repeatable } => {
            if !all.contains_key(name) && all.len() >= limit::MAX_SERVICES {
                return Err(Error::full("services"));
            }
            let method = |text: &String| {
                (1..=16).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_uppercase())
            };
            if repeatable.len() > 16 || !repeatable.iter().all(method) {
                return Err(Error::invalid("a method is written in capital letters"));
            }
            let plain = config::Plain {
                repeatable: repeatable.clone(),
            };
            Ok(Change::Service(name.clone(), Some(plain)))
        }
        Intent::RemoveService { name } if all.contains_key(name) => {
            Ok(Change::Service(name.clone(), None))
        }
        _ => Err(Error::invalid("no such service")),
    }
}

fn drain(tables: &Tables, name: &Upstream, reason: &str, now: Wall) -> Result<Change, Error> {
    let config = &tables.config;
    if config.drains.contains_key(name) {
        return Err(Error::invalid("the upstream is drained already"));
    }
    // An upstream that isn't registered may be restarting, so it may be drained too.
    if config.drains.len() >= limit::MAX_UPSTREAMS {
        return Err(Error::full("drained upstreams"));
    }
    if reason.len() > limit::MAX_TEXT_BYTES || reason.starts_with(rollout::DRAIN_REASON_PREFIX) {
        return Err(Error::invalid(
            "the reason is too long, or is one that rollouts give",
        ));
    }
    let drain = Drain {
        since: now,
        reason: reason.to_owned(),
    };
    Ok(Change::Drain(name.clone(), Some(drain)))
}

fn evacuate(tables: &Tables, domain: &Domain, reason: &str, now: Wall) -> Result<Change, Error> {
    if !evacuation::is_known(tables, domain) {
        let message = format!("no upstream and no replica is in failure domain {domain}");
        return Err(Error::invalid(message));
    }
    if reason.len() > limit::MAX_TEXT_BYTES {
        return Err(Error::invalid("the reason is too long"));
    }
    let drain = evacuation::drain(reason, now);
    evacuation::begin(&tables.config, domain.clone(), drain)
        .map_err(|evacuation::Full| Error::full("evacuated failure domains"))?
        .ok_or_else(|| Error::invalid(format!("failure domain {domain} is evacuated already")))
}

fn setting(tables: &Tables, name: &str, value: Option<&str>) -> Result<Change, Error> {
    let fits = |text: &str| text.len() <= limit::MAX_TEXT_BYTES;
    if name.is_empty() || name.starts_with("rollout/") || !fits(name) || !value.is_none_or(fits) {
        return Err(Error::invalid("the setting's name or value can't be used"));
    }
    let hosts = |text: &str| {
        text.parse()
            .is_ok_and(|n: u32| (1..=limit::MAX_ENTRY_HOSTS).contains(&n))
    };
    if name == ENTRY_HOSTS_SETTING && !value.is_none_or(hosts) {
        let message = format!("{ENTRY_HOSTS_SETTING} is 1 to {}", limit::MAX_ENTRY_HOSTS);
        return Err(Error::invalid(message));
    }
    let settings = &tables.config.settings;
    if value.is_some() && !settings.contains_key(name) && settings.len() >= limit::MAX_SETTINGS {
        return Err(Error::full("settings"));
    }
    Ok(Change::Setting(name.to_owned(), value.map(str::to_owned)))
}

fn members(tables: &Tables, intent: &Intent) -> Result<Vec<Step>, Error> {
    let all = &tables.replicas;
    match intent {
        Intent::AddReplica { replica } => {
            if all.len() >= limit::MAX_REPLICAS {
                return Err(Error::full("replicas"));
            }
            Ok(vec![add_member(tables, None, replica)?])
        }
        Intent::RemoveReplica { id } if all.contains_key(id) && all.len() > 1 => {
            Ok(vec![Step::Member(Member::Remove(*id))])
        }
        Intent::ReplaceReplica { old, replica } if all.contains_key(old) => Ok(vec![
            add_member(tables, Some(*old), replica)?,
            Step::Member(Member::Remove(*old)),
        ]),
        _ => Err(Error::invalid("no such replica, or it is the only one")),
    }
}

/// Returns the step that adds a replica. It may have the address of the one it replaces: a
/// host whose disk was wiped keeps its address and comes back with another identity.
fn add_member(tables: &Tables, old: Option<replica::Id>, new: &Replica) -> Result<Step, Error> {
    let mut others = tables.replicas.iter().filter(|(id, _)| Some(**id) != old);
    if others.any(|(_, known)| known.address == new.address) {
        return Err(Error::invalid("another replica has this address"));
    }
    Ok(Step::Member(Member::Add(new.clone())))
}

/// Returns the effect that sets an operator's key and role; `None` removes the operator.
fn operator(tables: &Tables, name: &str, new: Option<(&String, Role)>) -> Result<Effect, Error> {
    let all = &tables.operators;
    if name.is_empty() || name.len() > almondlock_base::id::NAME_LIMIT {
        return Err(Error::invalid("an operator's name is 1 to 96 bytes"));
    }
    let others = all.iter().filter(|(other, _)| *other != name);
    let admins = others
        .clone()
        .filter(|(_, other)| other.role == Role::Admin)
        .count();
    if admins == 0 && new.is_none_or(|(_, role)| role != Role::Admin) {
        return Err(Error::invalid("one administrator must stay"));
    }
    let Some((hash, role)) = new else {
        all.get(name)
            .ok_or_else(|| Error::invalid("no such operator"))?;
        return Ok(Effect::Operator(name.to_owned(), None));
    };
    if !is_key_hash(hash) || others.clone().any(|(_, other)| other.key == *hash) {
        return Err(Error::invalid(
            "the key's hash is not 64 hexadecimal digits, or is in use",
        ));
    }
    if others.count() >= limit::MAX_OPERATORS {
        return Err(Error::full("operators"));
    }
    let operator = Operator {
        key: hash.clone(),
        role,
    };
    Ok(Effect::Operator(name.to_owned(), Some(operator)))
}

/// Compiles the undoing of a plan: the inverses of the steps taken, in reverse order.
fn undo(tables: &Tables, plan: &Plan) -> Result<Draft, Error> {
    if !plan.state.is_over() {
        return Err(Error {
            code: Code::PlanState,
            message: "the plan has not ended; stop it first".to_owned(),
        });
    }
    let touched = plan.resources.iter().find(|part| {
        tables
            .modified_since(part, plan.base_sequence, plan.id)
            .is_some()
    });
    if let Some(part) = touched {
        let message = format!("{part} has changed since; change it back by a plan of its own");
        return Err(Error {
            code: Code::PlanStale,
            message,
        });
    }
    if let Intent::Rollout { model, keep, .. } = &plan.intent {
        return rollout::undo(tables, plan, model, *keep);
    }
    let member = |step: &Step| matches!(step, Step::Member(_));
    if plan.stages.iter().any(|stage| member(&stage.step)) {
        return Err(Error::invalid(
            "a change of replicas can't be undone: a removed replica gets a new identity",
        ));
    }
    let inverses = plan
        .stages
        .iter()
        .rev()
        .filter_map(|stage| stage.inverse.clone());
    let steps: Vec<Step> = inverses.map(Step::Apply).collect();
    if steps.is_empty() {
        return Err(Error::invalid("the plan has changed nothing"));
    }
    Ok(draft(tables, steps))
}
