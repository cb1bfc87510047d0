//! The result of each kind of announcement.

#![allow(clippy::unwrap_used)]

mod common;

use almondlock_base::{
    Code,
    id::{Host, Incarnation, Service},
    unit::Tokens,
};
use almondlock_state::{
    command::Command,
    config::{Kind, Registration},
    machine::Machine,
};
use common::{announce, code, engine, upstream, wall};
use yare::parameterized;

fn forget(machine: &mut Machine, name: &str, life: u64) {
    let (upstream, incarnation) = (upstream(name), Incarnation(life));
    machine.apply(Command::Forget {
        upstream,
        incarnation,
        at: wall(1),
    });
}

/// Repeated announcements of one incarnation are accepted without a new revision, until it
/// has loaded another version.
#[test]
fn repeated() {
    let mut machine = Machine::new();
    assert_eq!(
        announce(&mut machine, "u", engine(1, 1, "v1"), 1)
            .changes
            .len(),
        1
    );
    assert_eq!(
        announce(&mut machine, "u", engine(1, 1, "v1"), 2)
            .changes
            .len(),
        0
    );
    assert_eq!(
        announce(&mut machine, "u", engine(1, 1, "v2"), 3)
            .changes
            .len(),
        1
    );
}

/// Guards against a delayed announcement that restores an earlier incarnation after a restart:
/// requests would be sent to an incarnation that refuses them.
#[test]
fn stale_repeat() {
    let mut machine = Machine::new();
    announce(&mut machine, "u", engine(1, 1, "v1"), 1);
    announce(&mut machine, "u", engine(1, 2, "v1"), 2);
    let late = announce(&mut machine, "u", engine(1, 1, "v1"), 3);
    assert_eq!(code(&late.reply), Some(Code::StaleIncarnation));
    assert_eq!(
        machine.config().upstreams[&upstream("u")].incarnation,
        Incarnation(2)
    );
}

/// Guards against a name that alternates between processes on two hosts. The first one keeps
/// it until its lease ends, and the second is refused until then.
#[test]
fn two_processes() {
    let mut machine = Machine::new();
    announce(&mut machine, "u", engine(1, 1, "v1"), 1);
    for at in 2..5 {
        let second = announce(&mut machine, "u", engine(2, 2, "v1"), at);
        assert_eq!(code(&second.reply), Some(Code::Conflict));
        assert_eq!(
            code(&announce(&mut machine, "u", engine(1, 1, "v1"), at).reply),
            None
        );
    }
    forget(&mut machine, "u", 1);
    assert_eq!(
        code(&announce(&mut machine, "u", engine(2, 2, "v1"), 6).reply),
        None
    );
}

/// An upstream that was cut off registers again with the same incarnation. A late report that
/// the lease of an earlier incarnation ended doesn't remove a newer one.
#[test]
fn cut_off() {
    let mut machine = Machine::new();
    announce(&mut machine, "u", engine(1, 1, "v1"), 1);
    forget(&mut machine, "u", 1);
    assert_eq!(
        code(&announce(&mut machine, "u", engine(1, 1, "v1"), 2).reply),
        None
    );
    announce(&mut machine, "u", engine(1, 2, "v1"), 3);
    forget(&mut machine, "u", 1);
    assert!(machine.config().upstreams.contains_key(&upstream("u")));
}

/// A process with another name at a registered address replaces the registration there.
#[test]
fn old_address() {
    let mut machine = Machine::new();
    announce(&mut machine, "u", engine(1, 1, "v1"), 1);
    announce(&mut machine, "new", engine(1, 2, "v1"), 2);
    let names: Vec<_> = machine.config().upstreams.keys().cloned().collect();
    assert_eq!(names, [upstream("new")]);
    let late = announce(&mut machine, "u", engine(1, 1, "v1"), 3);
    assert_eq!(code(&late.reply), Some(Code::StaleIncarnation));
}

#[parameterized(
    no_port = { |it: &mut Registration| it.address.set_port(0) },
    any_address = { |it: &mut Registration| it.address = "0.0.0.0:7000".parse().unwrap() },
    no_memory = { |it: &mut Registration| it.capacity = Tokens(0) },
    endless_memory = { |it: &mut Registration| it.capacity = Tokens(u64::MAX) },
    odd_role = { |it: &mut Registration| it.role = "boss".to_owned() },
    no_service = { |it: &mut Registration| (it.kind, it.model) = (Kind::Service, None) },
    engine_of_service = { |it: &mut Registration| it.service = Service::new("s").ok() },
)]
fn invalid_values(spoil: fn(&mut Registration)) {
    let mut machine = Machine::new();
    let mut it = engine(1, 1, "v1");
    spoil(&mut it);
    let applied = announce(&mut machine, "u", it, 1);
    assert_eq!(code(&applied.reply), Some(Code::BadChange));
    assert!(machine.config().upstreams.is_empty() && applied.changes.is_empty());
}

/// An upstream stays drained when it disappears and returns as another incarnation.
#[test]
fn stays_drained() {
    let mut machine = Machine::new();
    announce(&mut machine, "u", engine(1, 1, "v1"), 1);
    let reason = "repair".to_owned();
    let drain = almondlock_state::intent::Intent::Drain {
        upstream: upstream("u"),
        reason,
    };
    common::change(&mut machine, "n", drain, 2);
    forget(&mut machine, "u", 1);
    let mut back = engine(1, 2, "v1");
    back.host = Host::new("elsewhere").unwrap();
    announce(&mut machine, "u", back, 3);
    assert!(machine.config().drains.contains_key(&upstream("u")));
}
