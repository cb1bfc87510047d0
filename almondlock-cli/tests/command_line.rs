//! What each command line asks for.
#![allow(clippy::unwrap_used)]

use std::process::ExitCode;

use almondlock_base::{id, time::Wall, unit::Tokens};
use almondlock_cli::{
    arguments::parse,
    request::{Prepared, Request, Usage, View, prepare},
    table::Table,
    view::time,
};
use almondlock_state::{
    intent::{Intent, Limits},
    operator::{Role, hash_key},
    plan,
    replica::Replica,
};
use yare::parameterized;

fn words(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_owned).collect()
}

fn prepared(line: &str) -> Result<Prepared, Usage> {
    let parsed = parse(&words(line)).map_err(|error| Usage(error.to_string()))?;
    prepare(parsed.command.ok_or_else(|| Usage(String::new()))?, [7; 32])
}

fn acme() -> id::Organisation {
    id::Organisation::new("acme").unwrap()
}

fn almond() -> id::Model {
    id::Model::new("almond").unwrap()
}

fn engine() -> id::Upstream {
    id::Upstream::new("engine-3").unwrap()
}

fn v2() -> id::Version {
    id::Version::new("v2").unwrap()
}

#[parameterized(
    add = {
        "organisation add acme --share 4 --tokens 9 --yes",
        Intent::AddOrganisation {
            name: acme(),
            limits: Limits { share: Some(4), tokens: Some(Tokens(9)), ..Limits::default() },
        }
    },
    remove = { "organisation remove acme", Intent::RemoveOrganisation { name: acme() } },
    revoke = {
        "organisation key revoke acme 1a2b3c4d",
        Intent::RevokeKey { organisation: acme(), hash: "1a2b3c4d".to_owned() }
    },
    drain = {
        "--json upstream drain engine-3 --reason fan",
        Intent::Drain { upstream: engine(), reason: "fan".to_owned() }
    },
    rollout = {
        "rollout almond v2 --keep 70",
        Intent::Rollout { model: almond(), version: v2(), keep: 70 }
    },
    adapter = {
        "adapter set almond legal --version v2",
        Intent::SetAdapter {
            model: almond(), adapter: id::Adapter::new("legal").unwrap(), version: v2(),
        }
    },
    service = {
        "service set menus --repeatable GET,HEAD",
        Intent::SetService {
            name: id::Service::new("menus").unwrap(),
            repeatable: vec!["GET".to_owned(), "HEAD".to_owned()],
        }
    },
    unset = {
        "setting unset weight-store/loads",
        Intent::SetSetting { name: "weight-store/loads".to_owned(), value: None }
    },
    replace = {
        "replica replace --old 00c0ffee00c0ffee --address 10.0.0.4:1 --admin 10.0.0.4:2 --domain d",
        Intent::ReplaceReplica {
            old: 0x00c0_ffee_00c0_ffee,
            replica: Replica {
                address: "10.0.0.4:1".parse().unwrap(),
                admin: "10.0.0.4:2".parse().unwrap(),
                domain: id::Domain::new("d").unwrap(),
            },
        }
    },
    undo = { "undo 17", Intent::Undo { plan: plan::Id(17) } },
)]
fn intents(line: &str, intent: Intent) {
    assert_eq!(prepared(line).unwrap().request, Request::Propose(intent));
}

#[parameterized(
    status = { "status", View::Status },
    plans = { "plan", View::Plans },
    one_plan = { "plan 3", View::Plan(plan::Id(3)) },
    history = { "history --limit 9", View::History(9) },
)]
fn views(line: &str, view: View) {
    assert_eq!(prepared(line).unwrap().request, Request::Show(view));
}

/// A new key is made here; only its hash is sent.
#[test]
fn new_keys() {
    let Prepared { request, key } = prepared("operator set boris --role viewer").unwrap();
    let key = key.unwrap();
    let (name, hash) = ("boris".to_owned(), hash_key(&key));
    let intent = Intent::SetOperator {
        name,
        hash,
        role: Role::Viewer,
    };
    assert_eq!(request, Request::Propose(intent));
    assert!(!format!("{request:?}").contains(&key));
}

#[parameterized(
    nothing = { "" },
    unknown = { "burn" },
    unfinished = { "organisation" },
    no_name = { "organisation add" },
    bad_name = { "organisation add ac*me" },
    no_limit = { "organisation set acme" },
    bad_number = { "confirm x" },
    bad_role = { "operator set boris --role king" },
    bad_hash = { "organisation key add acme --hash 12" },
    bad_address = { "replica add --address a --admin b --domain c" },
    key_as_argument = { "--key secret status" },
    no_replica = { "status --key-file /dev/null" },
    long_number = { "status --number 0123456789012345678901234567890123456789012345678901234567890123456789" },
)]
fn usage_errors(line: &str) {
    assert_eq!(almondlock_cli::run(words(line)), ExitCode::from(2));
}

#[parameterized(
    whole = { "--help" },
    group = { "organisation --help" },
    command = { "organisation key add --help" },
    bench = { "bench --help" },
)]
fn help(line: &str) {
    assert_eq!(almondlock_cli::run(words(line)), ExitCode::SUCCESS);
}

#[test]
fn aligned_tables() {
    let mut table = Table::new(["A", "LONG"]);
    table.row(["wide cell", "x"]);
    assert_eq!(table.to_string(), "A          LONG\nwide cell  x\n");
}

#[parameterized(
    epoch = { 0, "1970-01-01T00:00:00Z" },
    leap_day = { 1_709_164_800_000, "2024-02-29T00:00:00Z" },
    last_second = { 1_735_689_599_999, "2024-12-31T23:59:59Z" },
    no_leap_year = { 4_107_542_400_000, "2100-03-01T00:00:00Z" },
)]
fn times(millis: u64, text: &str) {
    assert_eq!(time(Wall::from_millis(millis)), text);
}
