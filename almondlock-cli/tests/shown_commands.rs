//! Every command that the pages and the help show can be typed as it stands.
#![allow(clippy::unwrap_used)]

use std::{fs, path::Path};

use almondlock_cli::{arguments::parse, help::EXAMPLES, request::prepare};

/// Splits as a shell would: words, quotes and comments.
fn split(line: &str) -> Vec<String> {
    let mut words = vec![];
    let mut word: Option<String> = None;
    let mut quoted = false;
    for letter in line.chars() {
        match letter {
            '\'' => {
                quoted = !quoted;
                word.get_or_insert_default();
            }
            ' ' if !quoted => words.extend(word.take()),
            '#' if !quoted && word.is_none() => break,
            letter => word.get_or_insert_default().push(letter),
        }
    }
    words.extend(word);
    words
}

fn check(line: &str) {
    // What the reader puts in.
    let line = line.replace("PLAN", "17").replace("\\\n", " ");
    let mut words = split(&line);
    assert_eq!(words.remove(0), "almondlock", "{line}");
    if words.first().is_some_and(|word| word == "bench") {
        return;
    }
    let parsed = parse(&words).unwrap_or_else(|error| panic!("{line}: {error}"));
    let command = parsed
        .command
        .unwrap_or_else(|| panic!("{line}: no command"));
    prepare(command, [0; 32]).unwrap_or_else(|error| panic!("{line}: {error}"));
}

#[test]
fn in_help() {
    assert!(EXAMPLES.len() > 40);
    EXAMPLES
        .iter()
        .flat_map(|(_, lines)| lines.iter())
        .for_each(|line| check(line));
}

#[test]
fn in_pages() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs");
    let mut shown = 0;
    for folder in [docs.clone(), docs.join("operators")] {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.extension().is_none_or(|extension| extension != "md") {
                continue;
            }
            let text = fs::read_to_string(&path).unwrap();
            let lines = text.lines().map(|line| line.trim_start_matches([' ', '$']));
            for line in lines.filter(|line| line.starts_with("almondlock ")) {
                check(line);
                shown += 1;
            }
        }
    }
    assert!(shown > 15, "{shown}");
}
