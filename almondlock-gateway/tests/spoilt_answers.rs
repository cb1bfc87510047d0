//! An upstream in trouble sends an answer whose head is spoilt. The caller must not get it as
//! an answer.

mod fake;
mod gateway;

use fake::{Step, start};
use gateway::{ask, status};
use yare::parameterized;

const LENGTH: &str = "content-length: 3\r\n";

/// What a caller of a plain route gets for an answer with these bytes.
fn answered(answer: String) -> String {
    let steps = vec![Step::Read, Step::WriteLatin(answer)];
    let (upstream, _heads) = start(vec![steps]);
    ask(gateway::start(&[upstream]), "/unsafe/").0
}

/// Checks that the caller of an answer with these bytes gets a failure of the host's own.
fn check_refused(answer: String) {
    let response = answered(answer);
    assert_eq!(status(&response), 502, "{response}");
    let is_own = response.contains("x-almondlock-code: ") && !response.contains("x-seal");
    assert!(is_own, "{response}");
}

fn with_status(code: &str, fields: &str) -> String {
    format!("HTTP/1.1 {code} X\r\nx-id: ID\r\nx-seal: s\r\n{fields}\r\n")
}

/// Guards against a status that is none reaching the caller as an answer.
#[parameterized(
    zero = { "000" },
    below_all = { "099" },
    above_all = { "600" },
    highest = { "999" },
    protocol_switch = { "101" },
)]
fn no_status(code: &str) {
    check_refused(with_status(code, LENGTH) + "yes");
}
