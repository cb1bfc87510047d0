//! What the processes' logs say of faults in the software.

use std::{fs, io, path::Path};

/// Parts of lines that tell of a panic, or of a task that a process lacks.
const FAULTS: [&str; 3] = [
    "\"message\":\"panic\"",
    " panicked at ",
    "a task ended that the process can't do without",
];

/// The lines that tell of a fault, with the process that wrote each.
///
/// # Errors
///
/// If the folder or a log can't be read.
pub fn faults(folder: &Path) -> io::Result<Vec<String>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_none_or(|extension| extension != "log") {
            continue;
        }
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let text = fs::read(&path)?;
        let text = String::from_utf8_lossy(&text);
        let lines = text.lines();
        let lines = lines.filter(|line| FAULTS.iter().any(|fault| line.contains(fault)));
        found.extend(lines.map(|line| format!("{name}: {line}")));
    }
    Ok(found)
}
