//! The tables of `docs/CAPACITY.md` are what the arithmetic gives.

#[path = "../examples/capacity/page/mod.rs"]
mod page;

fn read(file: &str) -> String {
    let docs = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs");
    std::fs::read_to_string(format!("{docs}/{file}")).unwrap()
}

#[test]
fn page_and_program() {
    let tables = page::print(&read("measurements/slopes.csv")).unwrap();
    let text = read("CAPACITY.md");
    let (_, rest) = text.split_once("<!-- tables -->\n").unwrap();
    let (shown, _) = rest.split_once("<!-- end of tables -->").unwrap();
    assert_eq!(shown.trim(), tables.trim());
}

#[test]
fn missing_column() {
    let error = page::print("seed,sidecars\n1,10\n").unwrap_err();
    assert!(error.contains("entries"), "{error}");
}

#[test]
fn one_size() {
    let csv = read("measurements/slopes.csv");
    let few: Vec<&str> = csv
        .lines()
        .filter(|l| l.starts_with("seed") || l.contains("before"))
        .take(2)
        .collect();
    assert!(page::print(&few.join("\n")).is_err());
}
