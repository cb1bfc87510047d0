//! The operators' page, made from the table of keys.

use std::fmt::Write;

use crate::key::{KEYS, Key, Need, SECTIONS, Shape};

const HEAD: &str = "# Settings

A daemon, `almondlockd`, reads one INI file. `almondlockd check FILE` checks it and prints the
settings that count, with secrets masked; all errors come in one run, each with its line, its field
and what to do, and the exit status is then 2. Examples stand under `examples/`.

A line is a `[section]`, a `key = value`, or a comment that starts with `;` or `#`. Values may stand
in quotes and never span lines. A section or key that stands twice, or that is unknown, is an error.
Paths count from the file's folder. Addresses are `IP:PORT`; host names are not looked up.

## What stands here and what doesn't

A file holds what a host can't learn from others, and is read once, at the start of the process; a
change takes a restart. What must be the same on all hosts is replicated, changes while the system
runs, and has no key here: organisations with their keys, shares and limits, models, adapters,
versions, services, drains, roles, and the membership of the replicas after their first start. The
`almondlock` command changes it. Upstreams stand in neither: they announce themselves.

This page is made from the table of keys:
`cargo run -p almondlock-settings --example page > docs/settings.md`.
";

/// The text of `docs/settings.md`.
pub fn page() -> String {
    let mut page = String::from(HEAD);
    for (name, text) in SECTIONS {
        let word = name.split(' ').next().unwrap_or(name);
        page.push_str(&format!("\n## `[{name}]`\n\n{text}\n\n"));
        page.push_str("| key | value | default | what it is for |\n|---|---|---|---|\n");
        for key in KEYS.iter().filter(|key| key.section == word) {
            row(&mut page, key);
        }
    }
    page
}

fn row(page: &mut String, key: &Key) {
    let need = match key.need {
        Need::Required => "required".to_owned(),
        Need::Optional => "none".to_owned(),
        Need::Default(text) => format!("`{text}`"),
    };
    // Writing to a string doesn't fail.
    let _ = writeln!(
        page,
        "| `{}` | {} | {need} | {} |",
        key.name,
        shape(key),
        key.reason
    );
}

fn shape(key: &Key) -> String {
    match key.shape {
        Shape::Name => "name".into(),
        Shape::Text => "text".into(),
        Shape::Number(low, high) => format!("{}, {low} to {high}", key.unit),
        Shape::Decimal(low, high) => format!("{}, {low} to {high}, with fractions", key.unit),
        Shape::Listen => "`IP:PORT`, port 0 takes a free one".into(),
        Shape::Datagrams => "`IP:PORT`, UDP".into(),
        Shape::Address => "`IP:PORT`".into(),
        Shape::Addresses => "`IP:PORT, ...`".into(),
        Shape::Names => "`NAME, ...`".into(),
        Shape::Members => "`NUMBER@IP:PORT, ...`".into(),
        Shape::File => "existing file".into(),
        Shape::Path => "path".into(),
        Shape::Word(words) => format!("`{}`", words.join("` or `")),
        Shape::Hash => "64 hexadecimal digits, masked when printed".into(),
    }
}
