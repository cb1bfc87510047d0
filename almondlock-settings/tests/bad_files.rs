//! Each mistake is named with its line, its field and what to do; all of a
//! file's mistakes come in one run.

use almondlock_settings::{Errors, parse};
use yare::parameterized;

const HOST: &str = "[host]
name = e1
domain = d1
region = r1
listen = 127.0.0.1:7400
seeds = 127.0.0.1:7300
";
const ENTRY: &str = "[entry]\nlisten = 127.0.0.1:8080\n";
const REPLICA: &str = "[replica]
admin = 127.0.0.1:7301
members = r1@127.0.0.1:7300@127.0.0.1:7301
";

fn errors(text: &str) -> Errors {
    match parse("e1.ini", text) {
        Ok(settings) => panic!("accepted: {settings}"),
        Err(errors) => errors,
    }
}

#[parameterized(
    unknown_key = { &[HOST, ENTRY, "body_byte = 1\n"], 9, "[entry] body_byte", "unknown key" },
    unknown_section = { &[HOST, ENTRY, "[entri]\n"], 9, "[entri]", "unknown section" },
    bad_number = { &[HOST, ENTRY, "body_bytes = 1e6\n"], 9, "[entry] body_bytes", "no whole number" },
    negative = { &[HOST, ENTRY, "connections = -1\n"], 9, "[entry] connections", "no whole number" },
    below = { &[HOST, ENTRY, "body_bytes = 1\n"], 9, "[entry] body_bytes", "out of range" },
    above = { &[HOST, ENTRY, "header_timeout = 99999999\n"], 9, "[entry] header_timeout", "out of range" },
    bad_address = { &[HOST, ENTRY, "admin = localhost:1\n"], 9, "[entry] admin", "no IP address" },
    bad_seed = { &["[host]\nseeds = 127.0.0.1:0\n"], 2, "[host] seeds", "can't be connected" },
    bad_name = { &["[host]\nname = a b\n"], 2, "[host] name", "bad name" },
    repeated_key = { &[HOST, "name = e2\n", ENTRY], 7, "[host] name", "line 2 already" },
    repeated_section = { &[HOST, ENTRY, ENTRY], 9, "[entry]", "line 7 already" },
    no_equals = { &[HOST, ENTRY, "body_bytes\n"], 9, "body_bytes", "no = after" },
    no_section = { &["name = e1\n"], 1, "name", "in no section" },
    open_head = { &["[host\n"], 1, "", "unreadable section head" },
    open_quote = { &["[host]\nname = \"e1\ndomain = d1\n"], 2, "name", "open quote" },
    missing_key = { &[HOST, "[entry]\n"], 7, "[entry] listen", "key is missing" },
    missing_file = { &[HOST, ENTRY, "certificate = none.pem\nkey = none.pem\n"], 9, "[entry] certificate", "no file none.pem" },
    half_tls = { &[HOST, ENTRY, "key = none.pem\n"], 9, "[entry] key", "belong together" },
    half_security = { &[HOST, ENTRY, "[security]\n"], 9, "[security] ca", "key is missing" },
    taken_address = { &[HOST, ENTRY, "admin = 127.0.0.1:7400\n"], 9, "[entry] admin", "taken by [host] listen" },
    any_address = { &["[host]\nlisten = 0.0.0.0:7400\n"], 2, "[host] listen", "can't connect" },
    no_data = { &[HOST, REPLICA], 7, "[host] data", "nowhere to keep" },
    bad_members = { &["[replica]\nmembers = a@127.0.0.1:1@127.0.0.1:3, a@127.0.0.1:2@127.0.0.1:4\n"], 2, "[replica] members", "twice" },
    odd_members = { &["[replica]\nmembers = 1@127.0.0.1:1\n"], 2, "[replica] members", "not NAME@INNER@ADMIN" },
    bad_hash = { &["[replica]\noperator_key = sk-123\n"], 2, "[replica] operator_key", "64 hexadecimal" },
    bad_word = { &[HOST, "[sidecar]\norder = both\n"], 8, "[sidecar] order", "unknown word" },
    listed_upstream = { &[HOST, "[sidecar engine-1]\n"], 7, "[sidecar engine-1]", "unknown section" },
    bad_filter = { &[HOST, ENTRY, "[log]\nfilter = a=b=c\n"], 10, "[log] filter", "can't be read" },
    no_role = { &[HOST], 0, "", "no role" },
    no_seeds = { &["[host]\nname = e1\n", ENTRY], 1, "[host] seeds", "nobody to fetch" },
    no_host = { &[ENTRY], 0, "[host]", "section is missing" },
)]
fn named(parts: &[&str], line: usize, field: &str, message: &str) {
    let errors = errors(&parts.concat());
    let found = errors.problems().iter().any(|problem| {
        problem.line().unwrap_or(0) == line
            && problem.field() == field
            && problem.message().contains(message)
            && !problem.remedy().is_empty()
    });
    assert!(found, "line {line} {field} {message:?} not in:\n{errors}");
}

#[test]
fn all_in_one_run() {
    let text = [
        HOST,
        "colour = red\n",
        "[entry]\nlisten = here\nbody_bytes = many\n",
        "[metrics]\nstatsd = 1\n",
    ];
    let errors = errors(&text.concat());
    let lines: Vec<_> = errors.problems().iter().map(|p| p.line()).collect();
    assert_eq!(lines, [Some(7), Some(9), Some(10), Some(12)], "{errors}");
    let text = errors.to_string();
    assert_eq!(text.lines().count(), 4);
    assert!(text.starts_with("e1.ini:7: [host] colour: unknown key; use one of name, domain"));
}

#[test]
fn a_missing_file_is_named() {
    let errors = almondlock_settings::load("no/such.ini").expect_err("no file");
    assert!(
        errors
            .to_string()
            .starts_with("no/such.ini: the file can't be read")
    );
}

#[test]
fn a_key_in_place_of_its_hash_is_not_repeated() {
    let errors = errors("[replica]\noperator_key = sk-123\n");
    assert!(!errors.to_string().contains("sk-123"));
}
