//! What each role costs at some size of the fleet: starts separate
//! `almondlockd` processes on loopback, leaves them idle and then sends them a
//! small load, and prints one CSV line for each role and load.
//!
//! ```text
//! cargo run --release -p almondlock-bench --example slopes -- ALMONDLOCKD SIDECARS ENTRIES SEED
//! ```

mod client;
mod fleet;
mod sample;
mod window;

use std::{error::Error, path::PathBuf};

use fleet::{Fleet, Shape};
use rand::{SeedableRng, rngs::SmallRng};
use window::{HEADER, Load, Window};

/// Nothing larger is started.
const PROCESSES_LIMIT: usize = 300;
/// Idle first; then requests a second and tokens of an answer, so that the cost
/// of a request and the cost of a token can be told apart; then idle again,
/// with the connections that the load opened.
const LOADS: [Load; 5] = [
    Load::new("before", 0, 0),
    Load::new("slow", 40, 8),
    Load::new("fast", 80, 8),
    Load::new("long", 40, 100),
    Load::new("after", 0, 0),
];

#[ntex::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let (shape, seed) = arguments()?;
    let mut generator = SmallRng::seed_from_u64(seed);
    let fleet = Fleet::start(shape).await?;
    println!("{HEADER}");
    for load in LOADS {
        let window = Window::measure(&fleet, load, &mut generator).await?;
        print!("{}", window.lines(seed, &fleet));
    }
    Ok(())
}

fn arguments() -> Result<(Shape, u64), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [program, sidecars, entries, seed] = arguments.as_slice() else {
        return Err("usage: slopes ALMONDLOCKD SIDECARS ENTRIES SEED".into());
    };
    let shape = Shape {
        program: PathBuf::from(program),
        sidecars: sidecars.parse()?,
        entries: entries.parse()?,
    };
    if shape.sidecars == 0 || shape.entries == 0 || shape.processes() > PROCESSES_LIMIT {
        return Err(format!("between 1 and {PROCESSES_LIMIT} processes").into());
    }
    Ok((shape, seed.parse()?))
}
