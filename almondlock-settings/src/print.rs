//! Settings as they count, defaults filled in and secrets masked.

use std::fmt;

use almondlock_telemetry::secret::MASK;

use crate::{
    key::{KEYS, SECTIONS},
    section::Section,
    settings::Settings,
};

impl fmt::Display for Settings {
    /// Writes a file that `parse` accepts, masks aside.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut first = true;
        for (name, _) in SECTIONS {
            let name = name.split(' ').next().unwrap_or(name);
            let given: Vec<&Section> = self.sections.iter().filter(|s| s.name == name).collect();
            let absent = Section::absent(name);
            let shown = match given.is_empty() {
                true if absent.values().next().is_some() && always(name) => vec![&absent],
                true => vec![],
                false => given,
            };
            for section in shown {
                if !first {
                    writeln!(f)?;
                }
                first = false;
                print(section, f)?;
            }
        }
        Ok(())
    }
}

/// Whether a section counts even when the file leaves it out.
fn always(name: &str) -> bool {
    matches!(name, "log" | "metrics")
}

fn print(section: &Section, f: &mut fmt::Formatter<'_>) -> fmt::Result {
    writeln!(f, "{}", section.head())?;
    for key in KEYS.iter().filter(|key| key.section == section.name) {
        if let Some(value) = section.get(key.name) {
            if value.line == 0 {
                writeln!(f, "# by default")?;
            }
            let text = if key.secret { MASK } else { &value.text };
            writeln!(f, "{} = {text}", key.name)?;
        }
    }
    Ok(())
}
