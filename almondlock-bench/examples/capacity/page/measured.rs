//! The measured file: one line for each run, window and role.

use std::collections::BTreeMap;

use super::output::{Output, number};

/// A size and window: sidecars, entry hosts, name of the window, role.
type Point = (u32, u32, String, String);

/// One line.
#[derive(Clone, Debug)]
struct Row {
    point: Point,
    rate: f64,
    tokens: f64,
    figures: Figures,
}

/// What was measured of one process of a role, on the mean.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// Resident memory in KiB.
    pub resident: f64,
    /// Percent of a core.
    pub core: f64,
    /// Inner connections.
    pub links: f64,
    /// Bytes a second of inner connections, both ways, with headers.
    pub wire: f64,
    /// Threads.
    pub threads: f64,
}

/// The median of the runs of one size, window and role.
#[derive(Clone, Debug)]
pub struct Median {
    /// Sidecars, each with an upstream.
    pub sidecars: f64,
    /// Entry hosts.
    pub entries: f64,
    /// The window's name.
    pub window: String,
    /// The role.
    pub role: String,
    /// Requests a second of all callers.
    pub rate: f64,
    /// Tokens of an answer.
    pub tokens: f64,
    /// The figures.
    pub figures: Figures,
    /// Lowest and highest share of a core among the runs.
    pub core_range: (f64, f64),
    /// Runs.
    pub runs: usize,
}

/// All medians.
pub struct Table {
    medians: Vec<Median>,
}

impl Table {
    /// From the text of the file.
    pub fn parse(csv: &str) -> Result<Table, String> {
        let mut lines = csv.lines();
        let header: Vec<&str> = lines.next().unwrap_or_default().split(',').collect();
        let mut groups: BTreeMap<Point, Vec<Row>> = BTreeMap::new();
        for line in lines {
            let row = parse(&header, line)?;
            groups.entry(row.point.clone()).or_default().push(row);
        }
        let medians = groups.into_values().map(|rows| median(&rows)).collect();
        Ok(Table { medians })
    }

    /// Those of a role in some windows.
    pub fn of(&self, role: &str, windows: &[&str]) -> Vec<&Median> {
        let fits = |m: &&Median| m.role == role && windows.contains(&m.window.as_str());
        self.medians.iter().filter(fits).collect()
    }
}

fn parse(header: &[&str], line: &str) -> Result<Row, String> {
    let cells: Vec<&str> = line.split(',').collect();
    let text = |name: &str| -> Result<&str, String> {
        let at = header.iter().position(|h| *h == name);
        let cell = at.and_then(|at| cells.get(at)).copied();
        cell.ok_or_else(|| format!("no `{name}` in: {line}"))
    };
    let value = |name: &str| -> Result<f64, String> {
        let cell = text(name)?;
        cell.parse().map_err(|_| format!("`{name}` in: {line}"))
    };
    Ok(Row {
        point: (
            value("sidecars")? as u32,
            value("entries")? as u32,
            text("window")?.to_owned(),
            text("role")?.to_owned(),
        ),
        rate: value("rate")?,
        tokens: value("tokens")?,
        figures: Figures {
            resident: value("resident_kib")?,
            core: value("core_percent")?,
            links: value("links")?,
            wire: value("wire_bytes_s")?,
            threads: value("threads")?,
        },
    })
}

fn median(rows: &[Row]) -> Median {
    let middle = |value: fn(&Figures) -> f64| {
        let mut values: Vec<f64> = rows.iter().map(|r| value(&r.figures)).collect();
        values.sort_by(f64::total_cmp);
        let half = values.len() / 2;
        if values.len().is_multiple_of(2) {
            (values[half - 1] + values[half]) / 2.0
        } else {
            values[half]
        }
    };
    let cores = || rows.iter().map(|r| r.figures.core);
    let (sidecars, entries, window, role) = rows[0].point.clone();
    Median {
        sidecars: f64::from(sidecars),
        entries: f64::from(entries),
        window,
        role,
        rate: rows[0].rate,
        tokens: rows[0].tokens,
        figures: Figures {
            resident: middle(|f| f.resident),
            core: middle(|f| f.core),
            links: middle(|f| f.links),
            wire: middle(|f| f.wire),
            threads: middle(|f| f.threads),
        },
        core_range: (
            cores().fold(f64::INFINITY, f64::min),
            cores().fold(0.0, f64::max),
        ),
        runs: rows.len(),
    }
}

/// The windows of a run, in their order.
const WINDOWS: [&str; 5] = ["before", "slow", "fast", "long", "after"];

/// Prints the medians.
pub fn print(table: &Table, output: &mut Output) {
    let columns = [
        "role",
        "sidecars, entry hosts",
        "window",
        "runs",
        "MiB",
        "threads",
        "% of a core",
        "lowest to highest",
        "links",
        "KB/s",
    ];
    output.table("Measured, one process on the mean", &columns);
    for role in ["entry", "sidecar", "replica"] {
        let mut medians = table.of(role, &WINDOWS);
        medians.sort_by_key(|m| {
            let window = WINDOWS.iter().position(|w| *w == m.window);
            (m.sidecars as u32, window)
        });
        for m in medians {
            output.row(&[
                role.to_owned(),
                format!("{}, {}", m.sidecars, m.entries),
                m.window.clone(),
                m.runs.to_string(),
                format!("{:.1}", m.figures.resident / 1024.0),
                format!("{:.0}", m.figures.threads),
                format!("{:.2}", m.figures.core),
                format!("{:.2} to {:.2}", m.core_range.0, m.core_range.1),
                format!("{:.1}", m.figures.links),
                number(m.figures.wire / 1000.0),
            ]);
        }
    }
}
