//! Checks the linearizability of concurrent claims.
//!
//! Entry hosts claim, lose the connection to the leader before or after their command is
//! applied, retry, settle, and die. The recorded history must be linearizable with respect
//! to a register for each key that grants its claim once.

#![allow(clippy::unwrap_used)]

mod common;

use almondlock_base::{Ran, id::Attempt};
use almondlock_state::{claim::Verdict, command::Command, machine::Machine};
use common::{attempt, claim_command, verdict, wall};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use todc_utils::{
    Action::{Call, Response},
    History, WGLChecker,
    specifications::Specification,
};

/// An operation on one key and its answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Operation {
    Claim(usize, Option<Told>),
    Settle(usize, Ran),
    Lose(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Told {
    Granted,
    Busy,
    Done,
    Lost,
    Tombstoned,
}

/// The sequential specification of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Register {
    Free(Option<usize>),
    Held(usize),
    Done(usize),
    Lost(usize),
}

struct Once;

impl Specification for Once {
    type State = Register;
    type Operation = Operation;

    fn init() -> Register {
        Register::Free(None)
    }

    fn apply(operation: &Operation, state: &Register) -> (bool, Register) {
        match *operation {
            Operation::Claim(who, told) => claim(who, told, *state),
            Operation::Settle(who, ran) => (true, settle(who, ran, *state)),
            Operation::Lose(who) if *state == Register::Held(who) => (true, Register::Lost(who)),
            Operation::Lose(_) => (true, *state),
        }
    }
}

fn claim(who: usize, told: Option<Told>, state: Register) -> (bool, Register) {
    let (right, next) = match state {
        Register::Free(Some(last)) if last == who => (Told::Tombstoned, state),
        Register::Free(_) => (Told::Granted, Register::Held(who)),
        Register::Held(holder) if holder == who => (Told::Granted, state),
        Register::Held(_) => (Told::Busy, state),
        Register::Done(_) => (Told::Done, state),
        Register::Lost(_) => (Told::Lost, state),
    };
    (told.is_none_or(|told| told == right), next)
}

fn settle(who: usize, ran: Ran, state: Register) -> Register {
    match (state, ran) {
        (Register::Held(holder) | Register::Lost(holder), Ran::No) if holder == who => {
            Register::Free(Some(who))
        }
        (Register::Held(holder) | Register::Lost(holder), Ran::Yes) if holder == who => {
            Register::Done(who)
        }
        (Register::Held(holder), Ran::Unknown) if holder == who => Register::Lost(who),
        _ => state,
    }
}

fn told(verdict: &Verdict) -> Told {
    match verdict {
        Verdict::Granted => Told::Granted,
        Verdict::Running => Told::Busy,
        Verdict::Done(_) | Verdict::Dropped => Told::Done,
        Verdict::Lost | Verdict::Mismatch => Told::Lost,
        Verdict::Refused(_) => Told::Tombstoned,
    }
}

fn holder(who: usize) -> Attempt {
    attempt(&format!("entry-{who}"), 1)
}

fn command(operation: &Operation) -> Command {
    match *operation {
        Operation::Claim(who, _) => claim_command("acme", "k", &holder(who), 1),
        Operation::Settle(who, ran) => Command::SettleClaim {
            organisation: common::organisation("acme"),
            key: "k".to_owned(),
            holder: holder(who),
            ran,
            outcome: Default::default(),
            at: wall(1),
        },
        Operation::Lose(who) => {
            let Attempt {
                host, incarnation, ..
            } = holder(who);
            Command::HolderGone {
                host,
                incarnation,
                at: wall(1),
            }
        }
    }
}

fn draw(generator: &mut SmallRng, who: usize) -> Operation {
    match generator.random_range(0..8) {
        0..4 => Operation::Claim(who, None),
        4 => Operation::Settle(who, Ran::No),
        5 => Operation::Settle(who, Ran::Yes),
        6 => Operation::Settle(who, Ran::Unknown),
        _ => Operation::Lose(who),
    }
}

const HOSTS: usize = 4;

/// Runs operations of several hosts, one at a time for each host, which begin, are applied
/// and are answered in random order. Returns the history.
fn run(seed: u64) -> Vec<(usize, todc_utils::Action<Operation>)> {
    let mut generator = SmallRng::seed_from_u64(seed);
    let mut machine = Machine::new();
    let mut under_way: Vec<Option<(Operation, Option<Operation>)>> = vec![None; HOSTS];
    let mut actions = Vec::new();
    let mut left = 24;
    while left > 0 || under_way.iter().any(Option::is_some) {
        let who = generator.random_range(0..HOSTS);
        match under_way[who].take() {
            None if left > 0 => {
                let operation = draw(&mut generator, who);
                actions.push((who, Call(operation.clone())));
                under_way[who] = Some((operation, None));
                left -= 1;
            }
            None => {}
            Some((operation, None)) => {
                let reply = machine.apply(command(&operation)).reply;
                // One in four answers is lost.
                let heard = generator.random_range(0..4) > 0;
                let result = match operation {
                    Operation::Claim(who, _) => {
                        let told = told(&verdict(reply));
                        Operation::Claim(who, heard.then_some(told))
                    }
                    ref other => other.clone(),
                };
                under_way[who] = Some((operation, Some(result)));
            }
            Some((_, Some(result))) => actions.push((who, Response(result))),
        }
    }
    actions
}

/// Two thousand runs of four entry hosts on one key.
#[test]
fn grants_once() {
    for seed in 0..2_000 {
        let history = History::from_actions(run(seed));
        assert!(WGLChecker::<Once>::is_linearizable(history), "seed {seed}");
    }
}
