//! Every command that can be written to the log can be read from it.

mod common;

use std::collections::BTreeMap;

use almondlock_base::id::Domain;
use almondlock_state::{
    command::Command,
    operator::{Operator, Role, hash_key},
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
        key: hash_key("key"),
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

/// The leader copies the log's membership into the state. The command was
/// refused every time as one that could not be read back, so a replica that had
/// been replaced never showed.
#[test]
fn replicas() {
    let replica = Replica {
        address: "127.0.0.1:1".parse().unwrap(),
        admin: "127.0.0.1:2".parse().unwrap(),
        domain: Domain::new("a").unwrap(),
    };
    let command = Command::Replicas {
        replicas: BTreeMap::from([(6_427_860_434_685_785_430, replica)]),
        at: common::wall(1),
    };
    let bytes = command.to_bytes().unwrap();
    assert_eq!(Command::from_slice(&bytes).unwrap(), command);
}
