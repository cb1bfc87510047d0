//! Every command that can be written to the log can be read from it.

mod common;

use std::collections::BTreeMap;

use almondlock_base::id::Domain;
use almondlock_state::{
    command::Command,
    operator::{Operator, Role, hash},
    replica::Replica,
};

/// The first leader seeds the state with the replicas, whose numbers are keys
/// of a map. Written to the log, the command could not be read back: every
/// replica stopped when it came to it, and the system never came up.
#[test]
fn seed() {
    let replica = Replica {
        address: "127.0.0.1:1".parse().unwrap(),
        admin: "127.0.0.1:2".parse().unwrap(),
        domain: Domain::new("a").unwrap(),
    };
    let operator = Operator {
        key: hash("key"),
        role: Role::Admin,
    };
    let command = Command::Seed {
        operators: BTreeMap::from([("first".to_owned(), operator)]),
        replicas: BTreeMap::from([(8_008_713_495_509_296_525, replica)]),
        at: common::wall(1),
    };
    let bytes = command.to_bytes().unwrap();
    assert_eq!(Command::from_slice(&bytes).unwrap(), command);
}
