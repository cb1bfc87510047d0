//! (being written)

use std::process::ExitCode;

/// Runs the program and returns its exit status.
pub fn run(_arguments: Vec<String>) -> ExitCode {
    ExitCode::SUCCESS
}
