//! Each command that can be written to the log must be readable from it.

mod common;

use std::collections::BTreeMap;

use almondlock_base::id::Domain;
use almondlock_state::{
    command::Command,
    operator::{Operator, Role, hash_key},
    replica::Replica,
};

/// Guards against a seed command that can't be read from the log: its replicas are a map
/// with numeric keys. Each replica stopped at the command, and the system never started.
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

/// Guards against a copy of the log's membership that is always refused because it can't be
/// read back. A replaced replica then never appeared in the state.
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
