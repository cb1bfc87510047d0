//! Assessment of a plan's consequences, shown to an operator before confirmation.

use almondlock_base::id::{Domain, Model, Upstream};

use super::{Risk, Step, rollout};
use crate::{
    config::{Change, Config, Registration},
    order,
    replica::{Member, critical_domains},
    tables::{Effect, Tables},
};

/// Seconds until a change of the configuration is in force in all processes.
const CONFIG_SPREAD_SECONDS: u64 = 2;
/// Estimated seconds that a new replica takes to catch up with the log.
const CATCH_UP_SECONDS: u64 = 60;

/// Assesses the consequences of steps. Those of upgrades are added by [`add_upgrades`].
///
/// The texts of a risk are computed when a proposal is applied, and are kept in its plan. They
/// are part of the replicated state and must be the same on all replicas, of any build.
pub(super) fn assess(tables: &Tables, steps: &[Step]) -> Risk {
    let mut risk = Risk {
        seconds: CONFIG_SPREAD_SECONDS,
        ..Risk::default()
    };
    for step in steps {
        match step {
            Step::Apply(Effect::Config(change)) => add_change(&tables.config, change, &mut risk),
            Step::Apply(Effect::Operator(name, _)) => {
                risk.affected.push(format!("operator {name}"))
            }
            Step::Apply(Effect::Replica(..)) | Step::Upgrade { .. } => {}
            Step::Member(member) => add_member(tables, member, &mut risk),
        }
    }
    risk
}

fn add_change(config: &Config, change: &Change, risk: &mut Risk) {
    match change {
        Change::Organisation(name, None) => {
            risk.affected.push(format!(
                "organisation {name}: its requests are refused at once"
            ));
        }
        Change::Organisation(name, Some(new)) => {
            risk.affected.push(format!("organisation {name}"));
            let keys = config
                .organisations
                .get(name)
                .map_or(0, |known| known.keys.len());
            if new.keys.is_empty() && keys > 0 {
                risk.warnings
                    .push("its last key goes: it can't send anything".to_owned());
            }
        }
        Change::Model(name, None) => {
            let serving = rollout::serving_upstreams(config, name).count();
            risk.affected.push(format!(
                "all callers of {name}; {serving} upstreams are left idle"
            ));
        }
        Change::Model(name, Some(_)) => risk.affected.push(format!("callers of {name}")),
        Change::Service(name, _) => risk.affected.push(format!("callers of service {name}")),
        Change::Drain(name, Some(_)) => add_drain(config, name, risk),
        Change::Drain(name, None) => risk.affected.push(format!("upstream {name} takes work")),
        Change::Evacuation(domain, Some(_)) => add_evacuation(config, domain, risk),
        Change::Evacuation(domain, None) => {
            let message = format!("upstreams in failure domain {domain} take work");
            risk.affected.push(message);
        }
        Change::Setting(name, _) if !name.starts_with("rollout/") => {
            risk.affected
                .push(format!("all processes, by setting {name}"));
        }
        _ => {}
    }
}

fn add_drain(config: &Config, name: &Upstream, risk: &mut Risk) {
    let Some(known) = config.upstreams.get(name) else {
        risk.warnings.push(format!("{name} is not registered now"));
        return;
    };
    let alike = |other: &Registration| match &known.model {
        Some((model, _)) => other.model.as_ref().is_some_and(|(name, _)| name == model),
        None => other.service == known.service,
    };
    // Plain services have no capacity in tokens, so each of their processes counts as one.
    let weight = |known: &Registration| known.capacity.0.max(1);
    let all = config
        .upstreams
        .iter()
        .filter(|(other, known)| alike(known) && (*other == name || !config.is_drained(other)));
    let total: u64 = all.map(|(_, known)| weight(known)).sum();
    let left = total.saturating_sub(weight(known));
    risk.capacity_left = Some(percent(left, total));
    if left == 0 {
        risk.warnings
            .push("nothing is left that serves the same".to_owned());
    }
}

fn add_evacuation(config: &Config, domain: &Domain, risk: &mut Risk) {
    let open = config.upstreams.iter();
    let open = open.filter(|(name, _)| !config.is_drained(name));
    let registered = open.map(|(_, known)| (&known.domain, known.capacity.0.max(1)));
    let enrolled = config
        .instances
        .values()
        .filter(|known| !known.leaving && !config.evacuations.contains_key(&known.domain));
    let enrolled = enrolled.map(|known| (&known.domain, u64::from(known.slots)));
    let all: Vec<(&Domain, u64)> = registered.chain(enrolled).collect();
    let total: u64 = all.iter().map(|(_, weight)| weight).sum();
    let left = all.iter().filter(|(other, _)| *other != domain);
    let left: u64 = left.map(|(_, weight)| weight).sum();
    risk.affected
        .push(format!("upstreams in failure domain {domain}"));
    risk.capacity_left = Some(percent(left, total));
    if left == 0 {
        risk.warnings
            .push("no upstream is left in another failure domain".to_owned());
    }
}

fn percent(part: u64, whole: u64) -> u8 {
    let hundredths = u128::from(part) * 100 / u128::from(whole.max(1));
    u8::try_from(hundredths).unwrap_or(100)
}

fn add_member(tables: &Tables, member: &Member, risk: &mut Risk) {
    let mut after = tables.replicas.clone();
    match member {
        Member::Add(replica) => {
            // The identity isn't known yet; any free one gives the right number of replicas.
            let free = (0..).find(|id| !after.contains_key(id)).unwrap_or_default();
            after.insert(free, replica.clone());
            risk.seconds += CATCH_UP_SECONDS;
        }
        Member::Remove(id) => {
            after.remove(id);
        }
    }
    risk.affected
        .push(format!("control: {} replicas after it", after.len()));
    for domain in critical_domains(&after) {
        risk.warnings
            .push(format!("the loss of {domain} would then leave no majority"));
    }
    if after.len().is_multiple_of(2) {
        risk.warnings
            .push("an even number of replicas bears no more losses than one less".to_owned());
    }
}

/// Adds the consequences of upgrading `upstreams`, `width` of them at a time. The text of the
/// warning is part of the replicated state too; see [`assess`].
pub(super) fn add_upgrades(
    config: &Config,
    model: &Model,
    upstreams: &[Upstream],
    width: usize,
    risk: &mut Risk,
) {
    let serving = rollout::serving_upstreams(config, model).count();
    let seconds = rollout::load_time(config).as_secs() + rollout::DRAIN_PROPAGATION.as_secs();
    // The first upstream is upgraded alone, the others `width` at a time.
    let rounds = match upstreams.len() {
        0 => 0,
        count => 1 + (count - 1).div_ceil(width),
    };
    risk.seconds += seconds.saturating_mul(to_u64(rounds));
    let left = serving.saturating_sub(width.min(upstreams.len()));
    risk.capacity_left = Some(percent(to_u64(left), to_u64(serving)));
    let known = upstreams
        .iter()
        .filter_map(|name| config.upstreams.get(name));
    let unfenced = known.filter(|known| !known.fenced).count();
    if unfenced > 0 {
        risk.warnings.push(format!(
            "{unfenced} upstreams don't check fencing numbers: after a restart of the sidecar \
             beside one, its next order waits up to {} s",
            (order::LIFETIME + order::CLOCK_MARGIN).as_secs()
        ));
    }
}

fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
