//! From the command line to what is asked of a replica.
//!
//! Nothing here talks to anybody, so that every command can be tested without a
//! server. Names are checked here already: a mistyped one is a usage error and
//! costs no round trip.

use std::{fmt, str::FromStr};

use almondlock_base::{id, unit::Tokens};
use almondlock_state::{
    intent::{self, Intent},
    operator::{Role, hash_key, is_key_hash},
    plan,
    replica::{self, Replica},
};

use crate::arguments::{self, Command};

/// What is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Show something; nothing changes.
    Show(View),
    /// Make a plan.
    Propose(Intent),
    /// Carry a plan out.
    Confirm(plan::Id),
    /// Stop a plan.
    Stop(plan::Id),
    /// What became of a request.
    Explain(String),
    /// Changes as they come, this many at most.
    Watch(Option<usize>),
    /// A new key's hash. Nobody is asked.
    Hash(String),
}

/// What can be shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    /// How the system is.
    Status,
    /// Organisations.
    Organisations,
    /// Models and services.
    Models,
    /// Upstreams.
    Upstreams,
    /// Replicas.
    Replicas,
    /// Operators.
    Operators,
    /// Plans.
    Plans,
    /// One plan.
    Plan(plan::Id),
    /// The newest records of the history.
    History(usize),
}

impl View {
    /// The path that it is served at.
    pub fn path(self) -> String {
        match self {
            View::Status => "/v1/status".to_owned(),
            View::Organisations => "/v1/organisations".to_owned(),
            View::Models => "/v1/models".to_owned(),
            View::Upstreams => "/v1/upstreams".to_owned(),
            View::Replicas => "/v1/replicas".to_owned(),
            View::Operators => "/v1/operators".to_owned(),
            View::Plans => "/v1/plans".to_owned(),
            View::Plan(id) => format!("/v1/plans/{id}"),
            View::History(limit) => format!("/v1/history?limit={limit}"),
        }
    }
}

/// A request, and the key that was made for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Prepared {
    /// What is asked.
    pub request: Request,
    /// A new key, to be shown once.
    pub key: Option<String>,
}

impl From<Request> for Prepared {
    fn from(request: Request) -> Prepared {
        Prepared { request, key: None }
    }
}

impl From<Intent> for Prepared {
    fn from(intent: Intent) -> Prepared {
        Request::Propose(intent).into()
    }
}

impl From<View> for Prepared {
    fn from(view: View) -> Prepared {
        Request::Show(view).into()
    }
}

/// A command line that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage(pub String);

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Usage {}

impl From<id::Error> for Usage {
    fn from(error: id::Error) -> Usage {
        Usage(error.to_string())
    }
}

/// Records of the history that are shown when no number is given.
const RECORDS: usize = 50;

/// Makes a request of a command. New keys are made of `random`.
pub fn prepare(command: Command, random: [u8; 32]) -> Result<Prepared, Usage> {
    Ok(match command {
        Command::Status(_) => View::Status.into(),
        Command::Organisation(it) => return organisation(given(it.command, "command")?, random),
        Command::Model(it) => return model(given(it.command, "command")?),
        Command::Adapter(it) => adapter(given(it.command, "command")?)?.into(),
        Command::Service(it) => service(given(it.command, "command")?)?.into(),
        Command::Setting(it) => setting(given(it.command, "command")?)?.into(),
        Command::Upstream(it) => return upstream(given(it.command, "command")?),
        Command::Evacuate(it) => Intent::Evacuate {
            domain: domain(it.name)?,
            reason: it.reason.unwrap_or_default(),
        }
        .into(),
        Command::Return(it) => Intent::Readmit {
            domain: domain(it.name)?,
        }
        .into(),
        Command::Rollout(it) => rollout(it)?.into(),
        Command::Replica(it) => return replica(given(it.command, "command")?),
        Command::Operator(it) => return operator(given(it.command, "command")?, random),
        Command::Plan(arguments::Named { name: None, .. }) => View::Plans.into(),
        Command::Plan(it) => View::Plan(plan_id(it)?).into(),
        Command::Confirm(it) => Request::Confirm(plan_id(it)?).into(),
        Command::Stop(it) => Request::Stop(plan_id(it)?).into(),
        Command::Undo(it) => Intent::Undo { plan: plan_id(it)? }.into(),
        Command::History(it) => View::History(it.limit.unwrap_or(RECORDS)).into(),
        Command::Explain(it) => explain(&given(it.name, "request id")?)?.into(),
        Command::Watch(it) => Request::Watch(it.count).into(),
        Command::Key(_) => {
            let (hash, key) = new_key(None, random)?;
            let request = Request::Hash(hash);
            Prepared { request, key }
        }
    })
}

fn given<T>(value: Option<T>, what: &str) -> Result<T, Usage> {
    value.ok_or_else(|| Usage(format!("missing {what}")))
}

fn parsed<T>(value: Option<String>, what: &str) -> Result<T, Usage>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    let text = given(value, what)?;
    text.parse()
        .map_err(|error| Usage(format!("bad {what} {text:?}: {error}")))
}

fn plan_id(it: arguments::Named) -> Result<plan::Id, Usage> {
    parsed(it.name, "plan number").map(plan::Id)
}

fn explain(request: &str) -> Result<Request, Usage> {
    // The id stands in a path, so it obeys the rule of names.
    id::Host::new(request)?;
    Ok(Request::Explain(request.to_owned()))
}

fn organisation(
    command: arguments::OrganisationCommand,
    random: [u8; 32],
) -> Result<Prepared, Usage> {
    use arguments::{KeyCommand, OrganisationCommand as Sub};
    let name = |text: Option<String>| Ok::<_, Usage>(id::Organisation::new(&given(text, "name")?)?);
    Ok(match command {
        Sub::List(_) => View::Organisations.into(),
        Sub::Add(it) => {
            let limits = limits(&it);
            Intent::AddOrganisation {
                name: name(it.name)?,
                limits,
            }
            .into()
        }
        Sub::Set(it) => {
            let limits = limits(&it);
            if limits == intent::Limits::default() {
                return Err(Usage("give at least one limit".to_owned()));
            }
            Intent::ChangeOrganisation {
                name: name(it.name)?,
                limits,
            }
            .into()
        }
        Sub::Remove(it) => Intent::RemoveOrganisation {
            name: name(it.name)?,
        }
        .into(),
        Sub::Key(it) => match given(it.command, "command")? {
            KeyCommand::Add(it) => {
                let organisation = name(it.organisation)?;
                let (hash, key) = new_key(it.hash, random)?;
                let request = Request::Propose(Intent::AddKey { organisation, hash });
                Prepared { request, key }
            }
            KeyCommand::Revoke(it) => {
                let hash = given(it.hash, "key's hash")?;
                Intent::RevokeKey {
                    organisation: name(it.organisation)?,
                    hash,
                }
                .into()
            }
        },
    })
}

fn limits(it: &arguments::Limits) -> intent::Limits {
    intent::Limits {
        share: it.share,
        rate: it.rate,
        tokens: it.tokens.map(Tokens),
        deadline: it.deadline,
        deadline_limit: it.deadline_limit,
    }
}

/// The hash of a new key, and the key itself unless it was made elsewhere.
fn new_key(given: Option<String>, random: [u8; 32]) -> Result<(String, Option<String>), Usage> {
    match given {
        Some(text) if is_key_hash(&text) => Ok((text, None)),
        Some(_) => Err(Usage("a hash is 64 hexadecimal digits".to_owned())),
        None => {
            let digits: String = random.iter().map(|byte| format!("{byte:02x}")).collect();
            let key = format!("al-{digits}");
            Ok((hash_key(&key), Some(key)))
        }
    }
}

fn model(command: arguments::ModelCommand) -> Result<Prepared, Usage> {
    use arguments::ModelCommand as Sub;
    Ok(match command {
        Sub::List(_) => View::Models.into(),
        Sub::Add(it) => Intent::AddModel {
            name: id::Model::new(&given(it.name, "name")?)?,
            version: id::Version::new(&given(it.version, "--version")?)?,
            context: Tokens(given(it.context, "--context")?),
        }
        .into(),
        Sub::Remove(it) => Intent::RemoveModel {
            name: id::Model::new(&given(it.name, "name")?)?,
        }
        .into(),
    })
}

fn adapter(command: arguments::AdapterCommand) -> Result<Intent, Usage> {
    use arguments::AdapterCommand as Sub;
    let names = |it: &arguments::AdapterSet| {
        let model = id::Model::new(&given(it.model.clone(), "model")?)?;
        let adapter = id::Adapter::new(&given(it.adapter.clone(), "adapter")?)?;
        Ok::<_, Usage>((model, adapter))
    };
    Ok(match command {
        Sub::Set(it) => {
            let (model, adapter) = names(&it)?;
            let version = id::Version::new(&given(it.version, "--version")?)?;
            Intent::SetAdapter {
                model,
                adapter,
                version,
            }
        }
        Sub::Remove(it) => {
            let (model, adapter) = names(&it)?;
            Intent::RemoveAdapter { model, adapter }
        }
    })
}

fn service(command: arguments::ServiceCommand) -> Result<Intent, Usage> {
    use arguments::ServiceCommand as Sub;
    Ok(match command {
        Sub::Set(it) => {
            let name = id::Service::new(&given(it.name, "name")?)?;
            let methods = it.repeatable.unwrap_or_default();
            let methods = methods.split(',').filter(|method| !method.is_empty());
            let repeatable = methods.map(str::to_owned).collect();
            Intent::SetService { name, repeatable }
        }
        Sub::Remove(it) => Intent::RemoveService {
            name: id::Service::new(&given(it.name, "name")?)?,
        },
    })
}

fn setting(command: arguments::SettingCommand) -> Result<Intent, Usage> {
    use arguments::SettingCommand as Sub;
    Ok(match command {
        Sub::Set(it) => {
            let (name, value) = (given(it.name, "name")?, given(it.value, "value")?);
            Intent::SetSetting {
                name,
                value: Some(value),
            }
        }
        Sub::Unset(it) => Intent::SetSetting {
            name: given(it.name, "name")?,
            value: None,
        },
    })
}

fn upstream(command: arguments::UpstreamCommand) -> Result<Prepared, Usage> {
    use arguments::UpstreamCommand as Sub;
    let name = |text: Option<String>| Ok::<_, Usage>(id::Upstream::new(&given(text, "name")?)?);
    Ok(match command {
        Sub::List(_) => View::Upstreams.into(),
        Sub::Drain(it) => {
            let reason = it.reason.unwrap_or_default();
            Intent::Drain {
                upstream: name(it.name)?,
                reason,
            }
            .into()
        }
        Sub::Return(it) => Intent::Return {
            upstream: name(it.name)?,
        }
        .into(),
    })
}

fn domain(name: Option<String>) -> Result<id::Domain, Usage> {
    Ok(id::Domain::new(&given(name, "failure domain")?)?)
}

fn rollout(it: arguments::Rollout) -> Result<Intent, Usage> {
    Ok(Intent::Rollout {
        model: id::Model::new(&given(it.model, "model")?)?,
        version: id::Version::new(&given(it.version, "version")?)?,
        keep: it.keep.unwrap_or(50),
    })
}

fn replica(command: arguments::ReplicaCommand) -> Result<Prepared, Usage> {
    use arguments::ReplicaCommand as Sub;
    Ok(match command {
        Sub::List(_) => View::Replicas.into(),
        Sub::Add(it) => Intent::AddReplica {
            replica: place(it)?,
        }
        .into(),
        Sub::Remove(it) => Intent::RemoveReplica {
            id: disk(it.name, "identity")?,
        }
        .into(),
        Sub::Replace(it) => {
            let old = disk(it.old.clone(), "--old")?;
            Intent::ReplaceReplica {
                old,
                replica: place(it)?,
            }
            .into()
        }
    })
}

fn place(it: arguments::ReplicaAdd) -> Result<Replica, Usage> {
    Ok(Replica {
        address: parsed(it.address, "--address")?,
        admin: parsed(it.admin, "--admin")?,
        domain: id::Domain::new(&given(it.domain, "--domain")?)?,
    })
}

/// The identity of a replica's disk, in hexadecimal as it is shown.
fn disk(text: Option<String>, what: &str) -> Result<replica::Id, Usage> {
    let text = given(text, what)?;
    let fault = |error| Usage(format!("bad {what} {text:?}: {error}"));
    u64::from_str_radix(&text, 16).map_err(fault)
}

fn operator(command: arguments::OperatorCommand, random: [u8; 32]) -> Result<Prepared, Usage> {
    use arguments::OperatorCommand as Sub;
    Ok(match command {
        Sub::List(_) => View::Operators.into(),
        Sub::Set(it) => {
            let name = given(it.name, "name")?;
            let role = role(&given(it.role, "--role")?)?;
            let (hash, key) = new_key(it.hash, random)?;
            Prepared {
                request: Request::Propose(Intent::SetOperator { name, hash, role }),
                key,
            }
        }
        Sub::Remove(it) => Intent::RemoveOperator {
            name: given(it.name, "name")?,
        }
        .into(),
    })
}

fn role(text: &str) -> Result<Role, Usage> {
    match text {
        "viewer" => Ok(Role::Viewer),
        "operator" => Ok(Role::Operator),
        "admin" => Ok(Role::Admin),
        _ => Err(Usage(format!(
            "no role {text:?}: viewer, operator or admin"
        ))),
    }
}
