//! Upstreams that are dead and still in the configuration.

mod fake;
mod gateway;

use std::{thread, time::Duration};

use fake::{Step, answer, serve};
use gateway::{ask, start, status};

/// A bit more than the time for which a failed upstream is avoided.
const AVOIDED: Duration = Duration::from_millis(2_600);

/// Guards against a request that is lost with one dead upstream and then sent to another one
/// that has not answered since it failed.
#[test]
fn second_attempt() {
    let (good, _heads) = serve(|_| vec![answer("200 OK", "whole")]);
    let dead = [(); 4].map(|()| fake::start(vec![vec![Step::Read, Step::Reset]; 50]));
    let addresses = dead.iter().map(|(address, _)| *address);
    let addresses: Vec<_> = addresses.chain([good]).collect();
    let host = start(&addresses);
    // Until the host has met all of them.
    for _ in 0..12 {
        ask(host, "/safe/");
    }
    for round in 0..4 {
        thread::sleep(AVOIDED);
        let (response, _) = ask(host, "/safe/");
        assert_eq!(status(&response), 200, "round {round}: {response}");
    }
}
