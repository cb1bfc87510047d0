//! From text to sections of keys with line numbers.
//!
//! `rust-ini` reads values (quotes and all) but forgets where they stood, takes
//! a line without `=` for a part of the next key, and folds a repeated section
//! or key into the first. So the lines are scanned beside it: the scan finds
//! what stands where, and both must have met the same keys in the same order.

use ini::{Ini, ParseOption};

use crate::error::Problem;

/// A key as it stands in the file.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) line: usize,
    pub(crate) key: String,
    pub(crate) value: String,
}

/// A section as it stands in the file.
#[derive(Clone, Debug)]
pub(crate) struct Block {
    pub(crate) line: usize,
    pub(crate) name: String,
    pub(crate) entries: Vec<Entry>,
}

/// Reads the sections of a file, in its order.
pub(crate) fn read(text: &str) -> Result<Vec<Block>, Vec<Problem>> {
    let mut blocks = scan(text)?;
    let options = ParseOption {
        // A path may hold a backslash.
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = Ini::load_from_str_opt(text, options).map_err(|error| {
        let remedy = "write [section] and key = value lines";
        vec![Problem::new(error.line + 1, "", &error.msg, remedy)]
    })?;
    let mut values = ini
        .iter()
        .flat_map(|(_, properties)| properties.iter())
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect::<Vec<_>>()
        .into_iter();
    let mut problems = Vec::new();
    for entry in blocks.iter_mut().flat_map(|block| &mut block.entries) {
        match values.next() {
            Some((key, value)) if key == entry.key => entry.value = value,
            _ => {
                let message = "the value can't be told from the lines around it";
                let remedy = "write it plainly, on one line, without quotes inside";
                problems.push(Problem::new(entry.line, &entry.key, message, remedy));
                break;
            }
        }
    }
    if problems.is_empty() {
        Ok(blocks)
    } else {
        Err(problems)
    }
}

fn scan(text: &str) -> Result<Vec<Block>, Vec<Problem>> {
    let mut blocks: Vec<Block> = Vec::new();
    let mut problems = Vec::new();
    for (line, content) in (1..).zip(text.lines().map(str::trim)) {
        if content.is_empty() || content.starts_with([';', '#']) {
            continue;
        }
        let result = match content.strip_prefix('[') {
            Some(rest) => section(line, rest).map(|block| blocks.push(block)),
            None => key(line, content).and_then(|entry| put(&mut blocks, entry)),
        };
        problems.extend(result.err());
    }
    if problems.is_empty() {
        Ok(blocks)
    } else {
        Err(problems)
    }
}

fn section(line: usize, rest: &str) -> Result<Block, Problem> {
    match rest.strip_suffix(']').map(str::trim) {
        Some(name) if !name.is_empty() => Ok(Block {
            line,
            name: name.split_whitespace().collect::<Vec<_>>().join(" "),
            entries: Vec::new(),
        }),
        _ => {
            let remedy = "write [name] on a line of its own";
            Err(Problem::new(line, "", "unreadable section head", remedy))
        }
    }
}

fn key(line: usize, content: &str) -> Result<Entry, Problem> {
    let remedy = "write key = value; comments start with ; or # on a line of their own";
    let (key, value) = content
        .split_once(['=', ':'])
        .ok_or_else(|| Problem::new(line, content, "no = after the key", remedy))?;
    let key = key.trim();
    if key.is_empty() {
        return Err(Problem::new(line, "", "no key before the =", remedy));
    }
    if is_open(value.trim()) {
        let remedy = "close the quote on the same line";
        return Err(Problem::new(
            line,
            key,
            "the value has an open quote",
            remedy,
        ));
    }
    Ok(Entry {
        line,
        key: key.to_owned(),
        value: String::new(),
    })
}

/// Whether a value starts with a quote that its line doesn't close.
fn is_open(value: &str) -> bool {
    let mut letters = value.chars();
    match letters.next() {
        Some(quote @ ('"' | '\'')) => !letters.any(|letter| letter == quote),
        _ => false,
    }
}

fn put(blocks: &mut [Block], entry: Entry) -> Result<(), Problem> {
    match blocks.last_mut() {
        Some(block) => {
            block.entries.push(entry);
            Ok(())
        }
        None => {
            let remedy = "put it below a [section]";
            let message = "the key stands in no section";
            Err(Problem::new(entry.line, &entry.key, message, remedy))
        }
    }
}
