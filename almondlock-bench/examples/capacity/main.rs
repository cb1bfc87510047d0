//! Prints the tables of `docs/CAPACITY.md`, worked out from
//! `docs/measurements/slopes.csv`.
//!
//! ```text
//! cargo run -p almondlock-bench --example capacity
//! ```

mod page;

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let file = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../docs/measurements/slopes.csv"
    );
    let text = std::fs::read_to_string(file)?;
    print!("{}", page::print(&text)?);
    Ok(())
}
