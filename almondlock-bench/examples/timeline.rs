//! Prints where the time of requests went, as CSV, from the log of entry hosts on
//! standard input. Each line begins with its time in seconds.

use std::{
    io::{self, Read},
    time::Duration,
};

use almondlock_bench::timeline;
use gumdrop::Options;

#[derive(Debug)]
#[derive(Options)]
struct Arguments {
    /// print this help
    help: bool,
    /// seconds in a row
    #[options(default = "2")]
    span: u64,
}

fn main() -> io::Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    let mut bytes = Vec::new();
    io::stdin().read_to_end(&mut bytes)?;
    let log = timeline::read(&String::from_utf8_lossy(&bytes));
    let rows = timeline::rows(&log, Duration::from_secs(arguments.span));
    print!("{}", timeline::csv(&rows));
    Ok(())
}
