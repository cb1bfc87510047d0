//! Looks through the sources of all roles for tables that are borrowed while a method of their
//! owner is called. The method may borrow the same table: a panic, in whichever task comes
//! first.

use std::{
    fs,
    path::{Path, PathBuf},
};

use yare::parameterized;

/// Values whose methods may borrow their own tables.
const OWNERS: [&str; 5] = ["self", "worker", "inner", "replica", "sidecar"];
const BORROWS: [&str; 2] = [".borrow()", ".borrow_mut()"];

/// Returns the sources below a folder.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    let found = paths.flat_map(|path| match path.is_dir() {
        true => sources(&path),
        false => vec![path],
    });
    let is_source = |path: &PathBuf| path.extension().is_some_and(|end| end == "rs");
    found.filter(is_source).collect()
}

fn indent(line: &str) -> usize {
    line.len() - line.trim_start().len()
}

/// Returns the owner whose method is called directly in a piece of code, if one is.
fn called_owner(code: &str) -> Option<&'static str> {
    OWNERS.into_iter().find(|owner| {
        let mut places = code.match_indices(owner);
        places.any(|(at, _)| {
            let before = code[..at].chars().next_back();
            let is_whole = before.is_none_or(|c| !c.is_alphanumeric() && c != '_' && c != '.');
            let rest = code[at + owner.len()..]
                .strip_prefix('.')
                .unwrap_or_default();
            let name: &str = rest
                .split(|c: char| !c.is_alphanumeric() && c != '_')
                .next()
                .unwrap();
            is_whole && !name.is_empty() && rest[name.len()..].starts_with('(')
        })
    })
}

/// Returns the name of the guard that a line binds.
fn guard(line: &str) -> Option<&str> {
    let rest = line.trim_start().strip_prefix("let ")?;
    let rest = rest.strip_prefix("mut ").unwrap_or(rest);
    let (name, value) = rest.split_once(" = ")?;
    let is_bound = BORROWS
        .iter()
        .any(|borrow| value.ends_with(&format!("{borrow};")));
    is_bound.then_some(name)
}

/// Returns the numbers of the lines that call an owner's method while a table is borrowed.
fn held_calls(text: &str) -> Vec<usize> {
    let lines: Vec<&str> = text.lines().collect();
    let mut found = Vec::new();
    for (n, line) in lines.iter().enumerate() {
        let scope = |from: usize| {
            let rest = lines[n + 1..].iter().enumerate();
            let rest = rest.take_while(move |(_, l)| l.trim().is_empty() || indent(l) >= from);
            rest.map(move |(m, l)| (n + 1 + m, *l))
        };
        if let Some(name) = guard(line) {
            let until_drop = format!("drop({name})");
            let held = scope(indent(line)).take_while(|(_, l)| !l.contains(&until_drop));
            let calls = held.filter(|(_, l)| called_owner(l).is_some_and(|owner| owner != name));
            found.extend(calls.map(|(m, _)| m + 1));
        }
        // The queue is borrowed while its closure runs.
        if line.contains(".with_queue(") && line.ends_with('{') {
            let calls = scope(indent(line) + 1).filter(|(_, l)| called_owner(l).is_some());
            found.extend(calls.map(|(m, _)| m + 1));
        }
        let closures = BORROWS.iter().filter_map(|borrow| line.split_once(borrow));
        let mut closures = closures.filter(|(_, rest)| rest.contains('|'));
        if closures.any(|(_, rest)| called_owner(rest).is_some()) {
            found.push(n + 1);
        }
    }
    found
}

/// Guards against tables that stay borrowed while code runs that may borrow them again.
#[parameterized(
    control = { "control" },
    daemon = { "daemon" },
    entry = { "entry" },
    gateway = { "gateway" },
    http = { "http" },
    node = { "node" },
    sidecar = { "sidecar" },
    transport = { "transport" },
)]
fn none_held(package: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folder = root.join(format!("almondlock-{package}/src"));
    let paths = sources(&folder);
    assert!(!paths.is_empty());
    let found = paths.iter().flat_map(|path| {
        let calls = held_calls(&fs::read_to_string(path).unwrap());
        let name = path.strip_prefix(root).unwrap().display().to_string();
        calls.into_iter().map(move |line| format!("{name}:{line}"))
    });
    let found: Vec<String> = found.collect();
    assert!(
        found.is_empty(),
        "called while a table is borrowed: {found:?}"
    );
}

/// Guards against a search that finds nothing because it looks for nothing.
#[parameterized(
    in_scope = { "fn f(&self) {\n    let mut births = self.births.borrow_mut();\n    self.end(1);\n}\n", &[3] },
    in_loop = { "fn f(&self) {\n    let a = self.a.borrow();\n    for x in &*a {\n        worker.end(x);\n    }\n}\n", &[4] },
    in_closure = { "    table.borrow_mut().sweep(now, |name| worker.is_known(name));\n", &[1] },
    in_queue = { "    self.q.with_queue(s, |queue| {\n        self.note(queue);\n    });\n", &[2] },
    dropped = { "fn f(&self) {\n    let a = self.a.borrow();\n    drop(a);\n    self.end(1);\n}\n", &[] },
    after_scope = { "fn f(&self) {\n    {\n        let a = self.a.borrow();\n    }\n    self.end(1);\n}\n", &[] },
    of_a_field = { "fn f(&self) {\n    let a = self.a.borrow();\n    self.b.get(&a);\n}\n", &[] },
    of_the_guard = { "fn f(&self) {\n    let mut inner = self.inner.borrow_mut();\n    inner.end();\n}\n", &[] },
)]
fn search(text: &str, expected: &[usize]) {
    assert_eq!(held_calls(text), expected);
}
