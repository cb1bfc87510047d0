//! A replica restored from a snapshot must equal one that applied the whole log.

#![allow(clippy::unwrap_used)]

mod common;

use almondlock_base::{
    Ran,
    id::{Fingerprint, Incarnation},
};
use almondlock_state::{
    command::Command,
    config,
    intent::Intent,
    machine::{Applied, Machine},
    plan::{Action, due_actions},
};
use common::{add, attempt, claim_command, engine, organisation, pass_time, share, upstream, wall};
use proptest::{
    prelude::{Just, Strategy, any, prop_oneof},
    test_runner::{Config, RngSeed, TestRunner},
};

fn name(number: u8) -> &'static str {
    ["acme", "rival", "third"][usize::from(number % 3)]
}

fn settle(key: u8, ran: Ran, at: u64) -> Command {
    Command::SettleClaim {
        organisation: organisation("acme"),
        key: key.to_string(),
        holder: attempt("entry-1", u64::from(key % 2)),
        ran,
        outcome: almondlock_state::blob::Blob(vec![key, 0xff]),
        at: wall(at),
    }
}

fn intent(kind: u8, number: u8) -> Intent {
    match kind % 5 {
        0 => add(name(number)),
        1 => share(name(number), u32::from(number) + 1),
        2 => Intent::RemoveOrganisation {
            name: organisation(name(number)),
        },
        3 => Intent::Drain {
            upstream: upstream("u"),
            reason: "r".to_owned(),
        },
        _ => Intent::Return {
            upstream: upstream("u"),
        },
    }
}

fn blame(number: u8, life: u8, at: u64) -> Command {
    let organisation = organisation(name(number));
    Command::Blame {
        fingerprint: Fingerprint::new(&organisation, "/", &[number]),
        organisation,
        upstream: upstream("u"),
        incarnation: Incarnation(u64::from(life)),
        at: wall(at),
    }
}

fn command() -> impl Strategy<Value = Command> {
    let at = 1u64..100_000;
    let ran = prop_oneof![Just(Ran::No), Just(Ran::Yes), Just(Ran::Unknown)];
    let key = 0u8..6;
    prop_oneof![
        (key.clone(), at.clone()).prop_map(|(key, at)| {
            claim_command(
                "acme",
                &key.to_string(),
                &attempt("entry-1", u64::from(key % 2)),
                at,
            )
        }),
        (key, ran, at.clone()).prop_map(|(key, ran, at)| settle(key, ran, at)),
        (any::<u8>(), any::<u8>(), at.clone()).prop_map(|(kind, number, at)| Command::Propose {
            number: (number % 40).to_string(),
            intent: intent(kind, number),
            operator: "anna".to_owned(),
            at: wall(at),
        }),
        (1u64..20, at.clone()).prop_map(|(plan, at)| Command::Confirm {
            plan: almondlock_state::plan::Id(plan),
            operator: "anna".to_owned(),
            at: wall(at),
        }),
        (0u16..3, 1u64..4, at.clone()).prop_map(|(number, life, at)| Command::Announce {
            upstream: upstream("u"),
            registration: engine(number, life, "v1"),
            at: wall(at),
        }),
        (0u8..4, 0u8..4, at.clone()).prop_map(|(number, life, at)| blame(number, life, at)),
        at.prop_map(|at| Command::Expire { at: wall(at) }),
    ]
}

/// A replica returns after hundreds of commands, and gets a snapshot and the rest of the log.
/// Wherever the snapshot was taken, the replica ends with the same state and gives the same
/// replies as one that applied all commands.
#[test]
fn snapshot_equals_replay() {
    let settings = Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    };
    let runs = (proptest::collection::vec(command(), 1..300), any::<u16>());
    let run = TestRunner::new(settings).run(&runs, |(commands, cut)| {
        let cut = usize::from(cut) % commands.len();
        let mut whole = Machine::new();
        for command in &commands[..cut] {
            whole.apply(command.clone());
        }
        let mut behind = Machine::restore(&whole.snapshot()).unwrap();
        assert_eq!(behind, whole);
        for command in &commands[cut..] {
            let bytes = command.to_bytes().unwrap();
            let logged = Command::from_slice(&bytes).unwrap();
            assert_eq!(behind.apply(logged), whole.apply(command.clone()));
        }
        assert_eq!(behind, whole);
        Ok(())
    });
    run.unwrap();
}

/// The changes that the machine returned make the same configuration in a process, with no
/// revision missing.
#[test]
fn sum_of_changes() {
    let settings = Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(8),
        ..Config::default()
    };
    let runs = proptest::collection::vec(command(), 1..300);
    let run = TestRunner::new(settings).run(&runs, |commands| {
        let mut machine = Machine::new();
        let mut config = config::Config::default();
        for command in commands {
            let Applied { changes, .. } = machine.apply(command);
            for (revision, change) in changes {
                config.apply(change).unwrap();
                assert_eq!(config.revision, revision);
            }
        }
        assert_eq!(config, *machine.config());
        Ok(())
    });
    run.unwrap();
}

/// A snapshot that is truncated, empty or of another format is refused.
#[test]
fn damaged_snapshot() {
    let mut machine = Machine::new();
    common::change(&mut machine, "1", add("acme"), 1);
    let bytes = machine.snapshot();
    for length in 0..bytes.len() {
        assert!(Machine::restore(&bytes[..length]).is_err(), "{length}");
    }
    let text = String::from_utf8(bytes).unwrap();
    let other = text.replacen("\"format\":1", "\"format\":2", 1);
    assert!(Machine::restore(other.as_bytes()).is_err());
}

/// The clock advances by at most one step a command, and after a long outage the leader is
/// asked to advance it until it has caught up.
#[test]
fn lagging_clock() {
    let mut machine = Machine::new();
    pass_time(&mut machine, common::HOUR);
    let now = wall(2 * common::HOUR);
    let mut steps = 0;
    while let Some(Action::Propose(command)) = due_actions(&machine, now).into_iter().next() {
        machine.apply(command);
        steps += 1;
    }
    assert_eq!((machine.clock(), steps), (now, 60));
}
