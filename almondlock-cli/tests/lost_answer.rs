//! The operator's change is asked again when its answer is lost.
#![allow(clippy::unwrap_used)]

mod replica;

use std::process::ExitCode;

use almondlock_base::{Code, Ran};
use almondlock_cli::client::{Asker, Question};
use almondlock_state::api::{Planned, Problem, Proposal};
use replica::{Asked, Fake, failure, nobody, planned, run};

fn number(asked: &Asked) -> String {
    serde_json::from_str::<Proposal>(&asked.1).unwrap().number
}

/// The first replica makes the change, and its connection breaks before the
/// answer. The client asks the second one, under the same number, so that the
/// change is made once.
#[test]
fn same_number() {
    let first = Fake::start(|_, _| None);
    let second = Fake::start(|_, _| planned(true));
    let code = run(
        &[first.address, second.address],
        &["organisation", "add", "acme"],
    );
    assert_eq!(code, ExitCode::SUCCESS);
    let (lost, heard) = (first.asked(), second.asked());
    assert_eq!(number(&lost[0]), number(&heard[0]));
    assert!(number(&lost[0]).starts_with("c-"));
}

/// One replica is gone, the next one doesn't lead and names the leader, which
/// answers. The operator sees the answer only.
#[test]
fn other_leader() {
    let leader = Fake::start(|_, _| planned(false));
    let address = leader.address;
    let follower = Fake::start(move |_, _| {
        let mut problem = Problem::from(Code::NotLeader);
        problem.leader = Some(address);
        failure(problem)
    });
    let code = run(&[nobody(), follower.address], &["plan", "1"]);
    assert_eq!(code, ExitCode::SUCCESS);
    assert_eq!(leader.paths(), ["GET /v1/plans/1"]);
}

/// No quorum answers in time at first. The same replica knows better a little
/// later.
#[test]
fn later_quorum() {
    let fake = Fake::start(|count, _| match count {
        0..3 => failure(Problem::from(Code::NoQuorum)),
        _ => planned(true),
    });
    let code = run(
        &[fake.address],
        &["organisation", "add", "acme", "--number", "n1"],
    );
    assert_eq!(code, ExitCode::SUCCESS);
    let numbers: Vec<String> = fake.asked().iter().map(number).collect();
    assert_eq!(numbers, ["n1"; 4]);
}

/// The leader refuses. Asking again can't change that, so nobody is asked again.
#[test]
fn final_refusal() {
    let fake = Fake::start(|_, _| failure(Problem::from(Code::Conflict)));
    let other = Fake::start(|_, _| planned(true));
    let code = run(
        &[fake.address, other.address],
        &["organisation", "add", "acme"],
    );
    assert_eq!(code, ExitCode::from(1));
    assert_eq!((fake.asked().len(), other.asked().len()), (1, 0));
}

/// Nobody answers at all: it ends, with the status of a failure.
#[test]
fn nobody_there() {
    assert_eq!(run(&[nobody()], &["status"]), ExitCode::from(1));
}

/// One replica may have made the change before its connection broke; another one
/// says that it didn't run there. The operator is told that it may have run: the
/// second one's `no` says nothing of the first.
#[ntex::test]
async fn doubt_stays() {
    let silent = Fake::start(|_, _| None);
    let follower = Fake::start(|_, _| failure(Problem::from(Code::NotLeader)));
    let addresses = [&silent, &follower].map(|fake| fake.address.to_string());
    let asker = Asker::new(addresses.to_vec(), "secret".to_owned(), None)
        .await
        .unwrap();
    let question = Question::post("/v1/plans", &()).unwrap();
    let answer: Result<Planned, Problem> = asker.ask(&question).await;
    assert_eq!(answer.unwrap_err().ran, Ran::Unknown);
    assert!(follower.asked().len() > 1);
}
