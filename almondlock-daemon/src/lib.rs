//! The daemon: roles from settings, all in one process or each in its own.
//!
//! `almondlockd run FILE` takes the roles that the file gives, `check FILE`
//! says what is wrong with a file, and `demo` runs everything in one process
//! with stand-in upstreams, for a first look.

#![warn(clippy::unwrap_used, clippy::expect_used)]

mod args;
mod demo;
mod process;
mod roles;
mod signal;

use std::process::ExitCode;

use anyhow::{Context, Result};

pub use process::Process;

/// What a wrong call or wrong settings end with.
const USAGE: u8 = 2;
/// What a failure at run time ends with.
const FAILURE: u8 = 1;

/// Runs the program and returns its exit status: 0 after a clean stop, 1 after
/// a failure, 2 for a wrong call or wrong settings.
pub fn run(arguments: Vec<String>) -> ExitCode {
    match args::parse(&arguments) {
        Ok(args::Call::Help(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(args::Call::Run(file)) => with_settings(&file, serve),
        Ok(args::Call::Check(file)) => with_settings(&file, |settings| {
            print!("{settings}");
            Ok(())
        }),
        Ok(args::Call::Demo(options)) => ended(demo::run(&options)),
        Err(message) => {
            eprintln!("almondlockd: {message}");
            ExitCode::from(USAGE)
        }
    }
}

fn with_settings<F>(file: &str, work: F) -> ExitCode
where
    F: FnOnce(almondlock_settings::Settings) -> Result<()>,
{
    match almondlock_settings::load(file) {
        Ok(settings) => ended(work(settings)),
        Err(errors) => {
            eprintln!("{errors}");
            ExitCode::from(USAGE)
        }
    }
}

fn ended(result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("almondlockd: {error:#}");
            ExitCode::from(FAILURE)
        }
    }
}

fn serve(settings: almondlock_settings::Settings) -> Result<()> {
    let log = almondlock_telemetry::log::Config {
        format: settings.log.format,
        output: settings.log.output,
        filter: settings.log.filter.clone(),
        spans: settings.log.spans.clone(),
    };
    let _lines = almondlock_telemetry::log::init(&log).context("setting up logs")?;
    almondlock_task::log_panics();
    process::block_on(async move {
        let process = Process::start(&settings).await?;
        process.wait().await
    })
}
