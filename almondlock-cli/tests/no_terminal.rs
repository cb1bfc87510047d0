//! Without a terminal nothing is asked and nothing is confirmed by itself.
#![allow(clippy::unwrap_used)]

mod replica;

use std::process::ExitCode;

use replica::{Fake, planned, run};

/// A script proposes a change. The plan is shown; nobody confirmed it, so
/// nothing more is sent.
#[test]
fn only_proposed() {
    let fake = Fake::start(|_, _| planned(false));
    let code = run(&[fake.address], &["organisation", "add", "acme"]);
    assert_eq!(code, ExitCode::SUCCESS);
    assert_eq!(fake.paths(), ["POST /v1/plans"]);
}

/// With `--yes` the plan is confirmed, and looked at until it is over.
#[test]
fn confirmed_at_once() {
    let fake = Fake::start(|_, asked| planned(asked.0.ends_with("/confirm")));
    let code = run(
        &[fake.address],
        &["--yes", "organisation", "add", "acme", "--json"],
    );
    assert_eq!(code, ExitCode::SUCCESS);
    assert_eq!(fake.paths(), ["POST /v1/plans", "POST /v1/plans/1/confirm"]);
}

/// A confirmed plan that isn't over is looked at again; with no time to wait the
/// client ends at once.
#[test]
fn waited_for() {
    let fake = Fake::start(|count, _| planned(count > 2));
    assert_eq!(run(&[fake.address], &["confirm", "1"]), ExitCode::SUCCESS);
    let looks = ["GET /v1/plans/1"; 3];
    assert_eq!(fake.paths()[1..], looks);
    let fake = Fake::start(|_, _| planned(false));
    assert_eq!(
        run(&[fake.address], &["confirm", "1", "--wait", "0"]),
        ExitCode::SUCCESS
    );
    assert_eq!(fake.paths(), ["POST /v1/plans/1/confirm"]);
}
