//! (being written)

#![warn(clippy::unwrap_used, clippy::expect_used)]

use std::process::ExitCode;

/// Runs the program and returns its exit status.
pub fn run(_arguments: Vec<String>) -> ExitCode {
    ExitCode::SUCCESS
}
