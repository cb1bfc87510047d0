//! The soak.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    almondlock_bench::soak::main(&arguments)
}
