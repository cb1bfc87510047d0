//! What became of a request is asked of every entry host.
#![allow(clippy::unwrap_used)]

mod replica;

use std::process::ExitCode;

use almondlock_base::Code;
use almondlock_state::api::Problem;
use replica::{Fake, failure, nobody};

fn explain(entries: &[std::net::SocketAddr]) -> ExitCode {
    let entries: Vec<String> = entries.iter().map(|address| address.to_string()).collect();
    let words = ["explain", "r-1", "--entry", &entries.join(",")];
    almondlock_cli::run(words.map(str::to_owned).to_vec())
}

/// One entry host is gone, one never saw the request, one did. The operator gets
/// what the third knows; no key is needed, and no replica is asked.
#[test]
fn one_knows() {
    let stranger = Fake::start(|_, _| failure(Problem::from(Code::UnknownRoute)));
    let knower = Fake::start(|_, _| Some((200, "{\"request\":\"r-1\"}".to_owned())));
    let entries = [nobody(), stranger.address, knower.address];
    assert_eq!(explain(&entries), ExitCode::SUCCESS);
    assert_eq!(stranger.paths(), ["GET /v1/explain/r-1"]);
    assert_eq!(knower.paths(), ["GET /v1/explain/r-1"]);
}

/// Nobody knows it: that is a failure, and nobody is asked twice.
#[test]
fn nobody_knows() {
    let stranger = Fake::start(|_, _| failure(Problem::from(Code::UnknownRoute)));
    assert_eq!(explain(&[stranger.address]), ExitCode::from(1));
    assert_eq!(stranger.asked().len(), 1);
}
