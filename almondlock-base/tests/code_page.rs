//! `docs/codes.md` says of each code what the code itself says.
#![allow(clippy::unwrap_used)]

use std::{collections::HashSet, fs, path::Path};

use almondlock_base::Code;

/// The cells of the page's table rows that describe a code.
fn rows() -> Vec<Vec<String>> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/codes.md");
    let text = fs::read_to_string(page).unwrap();
    let rows = text.lines().filter(|line| line.starts_with("| "));
    let cells = rows.map(|row| {
        let row = row.trim_matches('|');
        row.split('|').map(|cell| cell.trim().to_owned()).collect()
    });
    cells
        .filter(|cells: &Vec<String>| cells[0] != "code")
        .collect()
}

#[test]
fn page_in_step() {
    let rows = rows();
    let shown: Vec<&str> = rows.iter().map(|row| row[0].as_str()).collect();
    let numbers: Vec<String> = Code::ALL.iter().map(|c| c.number().to_string()).collect();
    assert_eq!(shown, numbers, "the page lists each code once, by number");
    for (row, code) in rows.iter().zip(Code::ALL) {
        let again = if code.is_retryable() { "yes" } else { "no" };
        let wanted = [
            code.number().to_string(),
            format!("`{}`", code.name()),
            code.status().to_string(),
            code.ran().as_str().to_owned(),
            again.to_owned(),
            code.text().to_owned(),
        ];
        assert_eq!(row.len(), 7, "{row:?}");
        assert_eq!(row[..6], wanted, "{code}");
        assert!(!row[6].is_empty(), "{code}: what does the operator do?");
    }
}

#[test]
fn unique_numbers() {
    let numbers: HashSet<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
    let names: HashSet<&str> = Code::ALL.iter().map(|code| code.name()).collect();
    assert_eq!(names.len(), Code::ALL.len());
    for code in Code::ALL {
        assert_eq!(Code::from_number(code.number()), Some(*code));
    }
}
