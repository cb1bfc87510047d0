//! Concurrent runs against three replicas, checked for linearizability by a
//! Wing-Gong-Lowe checker: one register (the capacity that an upstream
//! announced) and one claim.

#![allow(clippy::unwrap_used)]

mod group;

use std::{cell::RefCell, rc::Rc, time::Duration};

use almondlock_base::Code;
use almondlock_control::replica::{Refusal, Remote};
use group::{Group, announce, capacity, claim, is_granted};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use todc_utils::{
    Action::{self, Call, Response},
    History, Specification, WGLChecker,
};
use tokio::task::{LocalSet, spawn_local};

/// What clients do. The result of a read or a claim is known at its response.
#[derive(Clone, Debug, PartialEq)]
enum Operation {
    Write(u64),
    Read(Option<u64>),
    Claim(u64, Option<bool>),
}

/// The register's value, and who holds the claim.
#[derive(Debug)]
struct Store;

impl Specification for Store {
    type State = (u64, Option<u64>);
    type Operation = Operation;

    fn init() -> Self::State {
        (0, None)
    }

    fn apply(operation: &Operation, state: &Self::State) -> (bool, Self::State) {
        let (value, holder) = *state;
        match operation {
            Operation::Write(new) => (true, (*new, holder)),
            Operation::Read(found) => (*found == Some(value), *state),
            Operation::Claim(by, granted) => {
                let free = holder.is_none_or(|holder| holder == *by);
                let next = if free { Some(*by) } else { holder };
                (*granted == Some(free), (value, next))
            }
        }
    }
}

type Actions = Vec<(usize, Action<Operation>)>;

/// What clients saw, in the order in which they saw it.
#[derive(Clone, Default)]
struct Record {
    actions: Rc<RefCell<Actions>>,
}

impl Record {
    /// Each operation stands under a number of its own, since one whose outcome
    /// is unknown never ends and its client goes on.
    fn call(&self, operation: Operation) -> usize {
        let mut actions = self.actions.borrow_mut();
        let number = actions.len();
        actions.push((number, Call(operation)));
        number
    }

    fn end(&self, number: usize, operation: Operation) {
        let mut actions = self.actions.borrow_mut();
        actions.push((number, Response(operation)));
    }

    /// It was refused, so it never was.
    fn forget(&self, number: usize) {
        let mut actions = self.actions.borrow_mut();
        actions
            .iter_mut()
            .filter(|(n, _)| *n == number)
            .for_each(|(n, _)| *n = usize::MAX);
    }

    /// The history as the checker takes it. A write whose outcome is unknown may
    /// take effect at any later time, or never: if a read saw it, it ends last;
    /// if none did, leaving it out changes nothing. Claims are asked until known.
    fn history(&self) -> Actions {
        let actions = self.actions.borrow();
        let mut kept = Vec::new();
        let mut last = Vec::new();
        for (number, action) in actions.iter().filter(|(n, _)| *n != usize::MAX) {
            if let Call(operation) = action {
                let ended = actions
                    .iter()
                    .any(|(n, a)| n == number && matches!(a, Response(_)));
                if !ended && !is_seen(&actions, operation) {
                    continue;
                }
                if !ended {
                    last.push((*number, Response(operation.clone())));
                }
            }
            kept.push((*number, action.clone()));
        }
        kept.extend(last);
        kept
    }
}

fn is_seen(actions: &[(usize, Action<Operation>)], operation: &Operation) -> bool {
    let Operation::Write(value) = operation else {
        return false;
    };
    let seen = Operation::Read(Some(*value));
    actions
        .iter()
        .any(|(_, a)| matches!(a, Response(o) if *o == seen))
}

fn is_linearizable(actions: Actions) -> bool {
    WGLChecker::<Store>::is_linearizable(History::from_actions(actions))
}

async fn client(record: Record, remotes: Vec<Remote>, number: u64, count: u64) {
    let mut rng = SmallRng::seed_from_u64(number);
    for step in 0..count {
        let remote = &remotes[rng.random_range(0..remotes.len())];
        match rng.random_range(0..5) {
            0 | 1 => write(&record, remote, number * 1000 + step + 1).await,
            2..4 => read(&record, remote).await,
            _ => take(&record, &remotes, number).await,
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..30))).await;
    }
}

fn is_refused(refusal: &Refusal) -> bool {
    refusal.code == Code::NotLeader
}

async fn write(record: &Record, remote: &Remote, value: u64) {
    let number = record.call(Operation::Write(value));
    match remote.propose(announce(value)).await {
        Ok(_) => record.end(number, Operation::Write(value)),
        Err(refusal) if is_refused(&refusal) => record.forget(number),
        Err(_) => {}
    }
}

async fn read(record: &Record, remote: &Remote) {
    let number = record.call(Operation::Read(None));
    match remote.read(|s| capacity(s.config())).await {
        Ok(value) => record.end(number, Operation::Read(Some(value))),
        Err(_) => record.forget(number),
    }
}

async fn take(record: &Record, remotes: &[Remote], by: u64) {
    let number = record.call(Operation::Claim(by, None));
    let remotes: Vec<_> = remotes.iter().cloned().enumerate().collect();
    let (_, reply) = group::accept(&remotes, claim("payment", by)).await;
    record.end(number, Operation::Claim(by, Some(is_granted(&reply))));
}

/// Clients read, change and claim through all replicas while the leader hangs
/// twice. Whatever they saw fits some order of their operations, each at one
/// moment between its start and its end. The same record with one read swapped
/// for an old value, or one claim granted twice, fits none: the checker sees.
#[tokio::test]
async fn hanging_leader() {
    LocalSet::new().run_until(run()).await;
}

async fn run() {
    let group = Group::new(|b| b);
    group.leader().await;
    let record = Record::default();
    let remotes: Vec<Remote> = (0..3).map(|n| group.remote(n).clone()).collect();
    let clients: Vec<_> = (1..=4)
        .map(|number| spawn_local(client(record.clone(), remotes.clone(), number, 150)))
        .collect();
    for _ in 0..2 {
        let leader = group.leader().await;
        let running = group.running[leader].as_ref().unwrap();
        running.pause(Duration::from_millis(800)).await;
    }
    for client in clients {
        client.await.unwrap();
    }
    let actions = record.history();
    println!("{} actions checked", actions.len());
    assert!(actions.len() > 100);
    assert!(is_linearizable(actions.clone()));
    assert!(
        !is_linearizable(with_stale_read(actions.clone())),
        "a stale read passed"
    );
    assert!(
        !is_linearizable(with_second_grant(actions)),
        "a second grant passed"
    );
}

/// The last read sees what the first one saw.
fn with_stale_read(mut actions: Actions) -> Actions {
    let reads = |a: &Action<Operation>| matches!(a, Response(Operation::Read(_)));
    let first = actions.iter().find(|(_, a)| reads(a)).unwrap().1.clone();
    let last = actions.iter_mut().rfind(|(_, a)| reads(a)).unwrap();
    assert_ne!(last.1, first);
    last.1 = first;
    actions
}

/// A claim that was refused, granted.
fn with_second_grant(mut actions: Actions) -> Actions {
    let refused = actions.iter_mut().find_map(|(_, a)| match a {
        Response(Operation::Claim(_, granted)) if *granted == Some(false) => Some(granted),
        _ => None,
    });
    *refused.unwrap() = Some(true);
    actions
}
