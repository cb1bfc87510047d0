//! Load generator and experiments.
//!
//! `almondlock bench` sends an open-loop stream of prompts of very unlike
//! lengths to a running system, or to stand-in engines behind baseline routers,
//! and reports by length class how long the first token, each further token and
//! the whole answer took. Three things make its figures worth having. It counts
//! from the moment a request was meant to be sent, so a stalled system can't
//! slow the tool down into kindness. It knows the right answer to each prompt
//! and checks every token. And it measures what is compared side by side, under
//! the same requests in the same run, because the machine it runs on is never
//! the same twice.
//!
//! Not a stress test of HTTP servers: one thread sends, which is enough for a
//! few thousand requests a second.

#![warn(clippy::unwrap_used, clippy::expect_used)]

use std::{path::Path, process::ExitCode};

use gumdrop::Options;

use crate::{arguments::Arguments, experiment::Measured, summary::Summary};

pub mod arguments;
pub mod check;
pub mod drive;
pub mod experiment;
pub mod fleet;
pub mod plot;
pub mod record;
pub mod report;
pub mod retries;
pub mod router;
pub mod send;
pub mod soak;
pub mod summary;
pub mod timeline;
pub mod workload;

/// Exit status for arguments that can't be used.
const BAD_ARGUMENTS: u8 = 2;

/// Runs the program and returns its exit status: 0 if all went well, 1 if an
/// answer was wrong or the run failed, 2 if the arguments can't be used.
///
/// The arguments don't include the program's name.
pub fn run(arguments: Vec<String>) -> ExitCode {
    let arguments = match Arguments::parse_args_default(&arguments) {
        Ok(arguments) => arguments,
        Err(error) => return refuse(&error.to_string()),
    };
    if arguments.help {
        let usage = Arguments::usage();
        println!(
            "Usage: almondlock bench [OPTIONS]\n\n{usage}\n\n{}",
            arguments::EXAMPLES
        );
        return ExitCode::SUCCESS;
    }
    let plan = match arguments.plan() {
        Ok(plan) => plan,
        Err(error) => return refuse(&error),
    };
    let measured = plan.run(|run, pass, requests| {
        eprintln!(
            "run {} of {}, {}: {requests} requests",
            run + 1,
            plan.runs,
            pass.as_str()
        );
    });
    let measured = match measured {
        Ok(measured) => measured,
        Err(error) => return fail(&error),
    };
    let summary = Summary::new(&plan.arms, &measured);
    print!("{}", report::table(&summary));
    print!("{}", report::retries(&measured));
    if let Err(error) = write(&arguments, &summary) {
        return fail(&error);
    }
    let is_over = |measured: &Measured| measured.retries.is_some_and(|worst| worst.is_over());
    if summary.wrong > 0 || measured.iter().any(is_over) {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn write(arguments: &Arguments, summary: &Summary) -> Result<(), String> {
    if let Some(path) = &arguments.out {
        report::write(summary, Path::new(path)).map_err(|e| format!("{path}: {e}"))?;
    }
    if let Some(path) = &arguments.plot {
        std::fs::write(path, plot::svg(summary)).map_err(|e| format!("{path}: {e}"))?;
    }
    Ok(())
}

fn refuse(error: &str) -> ExitCode {
    eprintln!("almondlock bench: {error}");
    ExitCode::from(BAD_ARGUMENTS)
}

fn fail(error: &str) -> ExitCode {
    eprintln!("almondlock bench: {error}");
    ExitCode::FAILURE
}
