//! The tables, as text.

mod fit;
mod measured;
mod message;
mod output;
mod slope;
mod state;
mod target;

use output::Output;

/// All tables, from the text of the measured file.
pub fn print(csv: &str) -> Result<String, String> {
    let table = measured::Table::parse(csv)?;
    let slopes = slope::Slopes::new(&table)?;
    let mut output = Output::default();
    measured::print(&table, &mut output);
    slopes.print(&mut output);
    target::print(&mut output);
    state::print(&mut output);
    message::print(&slopes, &mut output);
    slope::print_target(&slopes, &mut output);
    slope::print_break(&slopes, &mut output);
    Ok(output.into_text())
}
