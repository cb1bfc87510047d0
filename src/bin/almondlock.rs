//! The operators' client.

use std::process::ExitCode;

fn main() -> ExitCode {
    almondlock_cli::run(std::env::args().skip(1).collect())
}
