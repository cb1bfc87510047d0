//! The page and the table of keys say the same.

use std::{collections::HashSet, fs, path::Path};

use almondlock_settings::key::{KEYS, Need, SECTIONS, Shape};

#[test]
fn the_page_is_in_step() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/settings.md");
    let page = fs::read_to_string(path).expect("the page");
    assert!(
        page == almondlock_settings::page(),
        "run: cargo run -p almondlock-settings --example page > docs/settings.md"
    );
}

#[test]
fn the_table_holds_together() {
    let words: HashSet<&str> = SECTIONS
        .iter()
        .filter_map(|(name, _)| name.split(' ').next())
        .collect();
    let mut seen = HashSet::new();
    for key in KEYS {
        assert!(seen.insert((key.section, key.name)), "{key:?} stands twice");
        assert!(words.contains(key.section), "{key:?} has no section");
        assert!(key.reason.ends_with('.'), "{key:?} has no reason");
        let Shape::Number(low, high) = key.shape else {
            continue;
        };
        assert!(!key.unit.is_empty(), "{key:?} has no unit");
        if let Need::Default(text) = key.need {
            let default: u64 = text.parse().expect("a number");
            assert!((low..=high).contains(&default), "{key:?} breaks its range");
        }
    }
}
