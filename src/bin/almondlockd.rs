//! The daemon; its roles come from its settings.

use std::process::ExitCode;

fn main() -> ExitCode {
    almondlock_daemon::run(std::env::args().skip(1).collect())
}
