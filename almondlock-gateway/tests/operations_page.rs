//! The operators' page names log messages, their fields and metrics. Each of them must
//! exist in the code.

use std::{fs, path::Path};

const PACKAGES: [&str; 10] = [
    "almondlock-gateway",
    "almondlock-control",
    "almondlock-node",
    "almondlock-daemon",
    "almondlock-entry",
    "almondlock-http",
    "almondlock-intake",
    "almondlock-sidecar",
    "almondlock-task",
    "platform",
];

fn sources(folder: &Path, text: &mut String) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, text);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            text.push_str(&fs::read_to_string(path).unwrap());
        }
    }
}

#[test]
fn lines_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut code = String::new();
    for package in PACKAGES {
        sources(&root.join(package).join("src"), &mut code);
    }
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).unwrap();
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let mut names = 0;
    for row in rows {
        let messages = row.split('|').nth(1).unwrap();
        for message in messages.split('`').skip(1).step_by(2) {
            assert!(
                code.contains(&format!("\"{message}\"")),
                "no line {message:?}"
            );
            names += 1;
        }
        let fields = row.split('|').nth(3).unwrap();
        for field in fields.split('`').skip(1).step_by(2) {
            assert!(code.contains(field), "{row}: no field {field:?}");
        }
    }
    assert!(names > 15);
    for metric in [
        "attempts_failed",
        "refused",
        "first_event",
        "stream",
        "whole",
        "answer_ends",
        "configuration_pieces",
        "configuration_change",
    ] {
        assert!(page.contains(&format!("`{metric}{{")));
        assert!(
            code.contains(&format!("\"{metric}\"")),
            "no metric {metric}"
        );
    }
}
