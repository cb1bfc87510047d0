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

/// Figures that lie on known lines give those lines back.
#[test]
fn known_slopes() {
    let mut csv = "sidecars,entries,window,rate,tokens,role,resident_kib,threads,core_percent,\
                   links,wire_bytes_s\n"
        .to_owned();
    let windows = [
        ("before", 0, 0),
        ("slow", 40, 8),
        ("long", 40, 100),
        ("after", 0, 0),
    ];
    for (sidecars, entries) in [(10, 1), (40, 2), (120, 4)] {
        for (window, rate, tokens) in windows {
            for role in ["entry", "sidecar", "replica"] {
                let links = match (role, window) {
                    ("replica", _) => 2 * sidecars,
                    (_, "before") => sidecars.min(32),
                    _ => 3 * sidecars,
                };
                let probes = (2 * sidecars).min(40);
                let sent = if role == "entry" { probes } else { 0 };
                let answered = f64::from(probes * entries) / f64::from(sidecars);
                let answered = if role == "sidecar" { answered } else { 0.0 };
                let hosts = if role == "entry" { entries } else { sidecars };
                let requests = f64::from(rate) / f64::from(hosts);
                let core = 0.5 + 0.25 * f64::from(links) + requests * (2.0 + f64::from(tokens));
                let wire = f64::from(700 * links + 1500 * sent) + 1500.0 * answered;
                let wire = wire + requests * (5000.0 + 500.0 * f64::from(tokens));
                csv += &format!(
                    "{sidecars},{entries},{window},{rate},{tokens},{role},{},5,{core},{links},{wire}\n",
                    1000 + 2 * links,
                );
            }
        }
    }
    let tables = page::print(&csv).unwrap();
    for line in [
        "| entry | KiB | 1,000 | 2.00 | link |",
        "| entry | bytes/s |  | 1,500 | probe a second |",
        "| entry | bytes/s | 0 | 700 | link |",
        "| sidecar | % of a core | 0.500 | 0.250 | link |",
        "| replica | KiB | 1,000 | 4.00 | upstream |",
        "| entry | core, us | 20,000 | 10,000 |",
        "| sidecar | bytes of inner links | 5,000 | 500 |",
    ] {
        assert!(tables.contains(line), "{line} in\n{tables}");
    }
}
