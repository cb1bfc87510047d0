//! The command line, as it is written.
//!
//! Options that concern every command (`--control`, `--json` and the like) may
//! stand before or after it: [`parse`] moves them to the front.

mod organisation;

use gumdrop::{Options, ParsingStyle};

pub use self::organisation::{
    Key, KeyAdd, KeyCommand, KeyRevoke, Limits, Organisation, OrganisationCommand,
};

/// Talks to the control replicas of an almondlock system.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Arguments {
    /// show this help
    pub help: bool,
    /// control replicas, by commas; else ALMONDLOCK_CONTROL
    #[options(no_short, meta = "HOST:PORT,...")]
    pub control: Option<String>,
    /// entry hosts' admin addresses, by commas; else ALMONDLOCK_ENTRY
    #[options(no_short, meta = "HOST:PORT,...")]
    pub entry: Option<String>,
    /// file with the operator's key; else ALMONDLOCK_KEY
    #[options(no_short, meta = "FILE")]
    pub key_file: Option<String>,
    /// PEM certificates of the replicas' authority, for HTTPS; else ALMONDLOCK_CA
    #[options(no_short, meta = "FILE")]
    pub ca: Option<String>,
    /// answer in JSON
    #[options(no_short)]
    pub json: bool,
    /// change number; a random one is made and shown otherwise
    #[options(no_short, meta = "NUMBER")]
    pub number: Option<String>,
    /// confirm the plan at once, without a question
    #[options(no_short)]
    pub yes: bool,
    /// seconds to wait for a confirmed plan to end (default 30)
    #[options(no_short, meta = "SECONDS")]
    pub wait: Option<u64>,
    /// what to do
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug)]
#[derive(Options)]
pub enum Command {
    /// how the system is: replicas, models, who is behind
    Status(Plain),
    /// organisations, their limits and keys
    Organisation(Organisation),
    /// models that callers may name
    Model(Model),
    /// adapters of models
    Adapter(Adapter),
    /// plain services
    Service(Service),
    /// settings for all processes
    Setting(Setting),
    /// upstreams: list, drain, return
    Upstream(Upstream),
    /// give the upstreams of a failure domain no new work
    Evacuate(Drain),
    /// give them work again
    Return(Named),
    /// bring a version to all upstreams of a model
    Rollout(Rollout),
    /// control replicas: list, add, remove, replace
    Replica(Replica),
    /// operators and their keys
    Operator(Operator),
    /// plans, or one plan
    Plan(Named),
    /// carry a plan out
    Confirm(Named),
    /// stop a plan
    Stop(Named),
    /// plan to put back what a plan changed
    Undo(Named),
    /// who changed what, and when
    History(History),
    /// what became of a request
    Explain(Named),
    /// show changes as they come into force
    Watch(Watch),
    /// make a key and its hash, for the settings of the first start
    Key(Plain),
}

/// No options of its own.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Plain {
    /// show this help
    pub help: bool,
}

/// One name or number.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Named {
    /// show this help
    pub help: bool,
    /// its name or number
    #[options(free)]
    pub name: Option<String>,
}

/// Models.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Model {
    /// show this help
    pub help: bool,
    /// what to do
    #[options(command)]
    pub command: Option<ModelCommand>,
}

/// What is done with models.
#[derive(Debug)]
#[derive(Options)]
pub enum ModelCommand {
    /// all models and services
    List(Plain),
    /// a new model
    Add(ModelAdd),
    /// take one away
    Remove(Named),
}

/// A model to come.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct ModelAdd {
    /// show this help
    pub help: bool,
    /// its name
    #[options(free)]
    pub name: Option<String>,
    /// the version that its upstreams run
    #[options(no_short, meta = "VERSION")]
    pub version: Option<String>,
    /// longest prompt and answer together, in tokens
    #[options(no_short, meta = "TOKENS")]
    pub context: Option<u64>,
}

/// Adapters.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Adapter {
    /// show this help
    pub help: bool,
    /// what to do
    #[options(command)]
    pub command: Option<AdapterCommand>,
}

/// What is done with adapters.
#[derive(Debug)]
#[derive(Options)]
pub enum AdapterCommand {
    /// a new adapter, or another version of one
    Set(AdapterSet),
    /// take one away
    Remove(AdapterSet),
}

/// An adapter.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct AdapterSet {
    /// show this help
    pub help: bool,
    /// the model
    #[options(free)]
    pub model: Option<String>,
    /// the adapter
    #[options(free)]
    pub adapter: Option<String>,
    /// its version
    #[options(no_short, meta = "VERSION")]
    pub version: Option<String>,
}

/// Plain services.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Service {
    /// show this help
    pub help: bool,
    /// what to do
    #[options(command)]
    pub command: Option<ServiceCommand>,
}

/// What is done with services.
#[derive(Debug)]
#[derive(Options)]
pub enum ServiceCommand {
    /// a new service, or other rules for one
    Set(ServiceSet),
    /// take one away
    Remove(Named),
}

/// A plain service.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct ServiceSet {
    /// show this help
    pub help: bool,
    /// its name
    #[options(free)]
    pub name: Option<String>,
    /// HTTP methods that may be sent again, by commas
    #[options(no_short, meta = "GET,...")]
    pub repeatable: Option<String>,
}

/// Settings.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Setting {
    /// show this help
    pub help: bool,
    /// what to do
    #[options(command)]
    pub command: Option<SettingCommand>,
}

/// What is done with settings.
#[derive(Debug)]
#[derive(Options)]
pub enum SettingCommand {
    /// give a value
    Set(SettingSet),
    /// back to the default
    Unset(Named),
}

/// A setting and its value.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct SettingSet {
    /// show this help
    pub help: bool,
    /// its name
    #[options(free)]
    pub name: Option<String>,
    /// its value
    #[options(free)]
    pub value: Option<String>,
}

/// Upstreams.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Upstream {
    /// show this help
    pub help: bool,
    /// what to do
    #[options(command)]
    pub command: Option<UpstreamCommand>,
}

/// What is done with upstreams.
#[derive(Debug)]
#[derive(Options)]
pub enum UpstreamCommand {
    /// all upstreams
    List(Plain),
    /// give one no new work
    Drain(Drain),
    /// give one work again
    Return(Named),
}

/// An upstream to drain.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Drain {
    /// show this help
    pub help: bool,
    /// its name
    #[options(free)]
    pub name: Option<String>,
    /// why, for whoever looks later
    #[options(no_short, meta = "TEXT")]
    pub reason: Option<String>,
}

/// A rollout.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Rollout {
    /// show this help
    pub help: bool,
    /// the model
    #[options(free)]
    pub model: Option<String>,
    /// the version
    #[options(free)]
    pub version: Option<String>,
    /// upstreams of a hundred that must go on serving (default 50)
    #[options(no_short, meta = "N")]
    pub keep: Option<u8>,
}

/// Control replicas.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Replica {
    /// show this help
    pub help: bool,
    /// what to do
    #[options(command)]
    pub command: Option<ReplicaCommand>,
}

/// What is done with replicas.
#[derive(Debug)]
#[derive(Options)]
pub enum ReplicaCommand {
    /// all replicas
    List(Plain),
    /// one more
    Add(ReplicaAdd),
    /// one less
    Remove(Named),
    /// one instead of another
    Replace(ReplicaAdd),
}

/// A replica to come.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct ReplicaAdd {
    /// show this help
    pub help: bool,
    /// the identity that goes, for `replace`
    #[options(no_short, meta = "ID")]
    pub old: Option<String>,
    /// its inner listener
    #[options(no_short, meta = "IP:PORT")]
    pub address: Option<String>,
    /// its listener for operators
    #[options(no_short, meta = "IP:PORT")]
    pub admin: Option<String>,
    /// its failure domain
    #[options(no_short, meta = "NAME")]
    pub domain: Option<String>,
}

/// Operators.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Operator {
    /// show this help
    pub help: bool,
    /// what to do
    #[options(command)]
    pub command: Option<OperatorCommand>,
}

/// What is done with operators.
#[derive(Debug)]
#[derive(Options)]
pub enum OperatorCommand {
    /// all operators
    List(Plain),
    /// a new operator, or a new key and role; makes a key and shows it once
    Set(OperatorSet),
    /// take one away
    Remove(Named),
}

/// An operator.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct OperatorSet {
    /// show this help
    pub help: bool,
    /// its name
    #[options(free)]
    pub name: Option<String>,
    /// viewer, operator or admin
    #[options(no_short, meta = "ROLE")]
    pub role: Option<String>,
    /// hash of a key made elsewhere
    #[options(no_short, meta = "HEX")]
    pub hash: Option<String>,
}

/// The history.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct History {
    /// show this help
    pub help: bool,
    /// how many records (default 50)
    #[options(no_short, meta = "N")]
    pub limit: Option<usize>,
}

/// A watch.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Watch {
    /// show this help
    pub help: bool,
    /// end after this many lines
    #[options(no_short, meta = "N")]
    pub count: Option<usize>,
}

const FLAGS: [&str; 2] = ["--json", "--yes"];
const VALUED: [&str; 6] = [
    "--control",
    "--entry",
    "--key-file",
    "--ca",
    "--number",
    "--wait",
];

/// Reads the command line.
pub fn parse(arguments: &[String]) -> Result<Arguments, gumdrop::Error> {
    Arguments::parse_args(&hoist(arguments), ParsingStyle::AllOptions)
}

/// Moves the options that concern every command to the front.
fn hoist(arguments: &[String]) -> Vec<String> {
    let mut front = Vec::new();
    let mut rest = Vec::new();
    let mut given = arguments.iter().cloned();
    while let Some(argument) = given.next() {
        let name = argument.split('=').next().unwrap_or_default();
        if argument == "--" {
            rest.push(argument);
            rest.extend(given.by_ref());
        } else if FLAGS.contains(&name) {
            front.push(argument);
        } else if VALUED.contains(&name) {
            let separate = !argument.contains('=');
            front.push(argument);
            front.extend(given.by_ref().take(usize::from(separate)));
        } else {
            rest.push(argument);
        }
    }
    front.extend(rest);
    front
}
