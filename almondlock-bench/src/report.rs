//! Figures for people and for other programs.

use std::{
    fmt::{self, Display, Write},
    fs, io,
    path::Path,
};

use crate::{
    experiment::Measured,
    summary::{Ratio, Row, Spread, Summary},
};

impl Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Short times are those of hops, where a tenth of a millisecond counts.
        let digits = if self.median < 0.1 { 5 } else { 3 };
        let Spread { median, low, high } = self;
        if low == high {
            return write!(f, "{median:.digits$}");
        }
        write!(f, "{median:.digits$} ({low:.digits$}-{high:.digits$})")
    }
}

/// The table printed at the end.
pub fn table(summary: &Summary) -> String {
    let mut lines = vec![
        [
            "system",
            "requests",
            "class",
            "sent",
            "first p50 s",
            "first p95 s",
            "first p99 s",
            "token p50 s",
            "token p95 s",
            "total p95 s",
            "ends",
        ]
        .map(str::to_owned)
        .to_vec(),
    ];
    lines.extend(summary.rows.iter().map(cells));
    let mut text = align(&lines);
    if !summary.ratios.is_empty() {
        let head = ["first p95 of", "by that of", "class", "ratio"].map(str::to_owned);
        let mut lines = vec![head.to_vec()];
        lines.extend(summary.ratios.iter().map(ratio_cells));
        text.push('\n');
        text.push_str(&align(&lines));
    }
    // Writing to a string can't fail.
    let _ = writeln!(text, "\nwrong answers: {}", summary.wrong);
    text
}

/// The worst window of retries of each pass, a line each.
pub fn retries(measured: &[Measured]) -> String {
    let mut text = String::new();
    let passes = measured.iter().filter(|measured| measured.arm == 0);
    for (measured, worst) in passes.filter_map(|m| Some((m, m.retries?))) {
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "run {}, {}: {worst}",
            measured.run + 1,
            measured.pass.as_str()
        );
    }
    text
}

fn cells(row: &Row) -> Vec<String> {
    let ends = row.ends.iter().map(|(end, count)| format!("{end}={count}"));
    vec![
        row.arm.clone(),
        row.pass.to_owned(),
        row.class.to_owned(),
        row.requests.to_string(),
        cell(row.first_p50),
        cell(row.first_p95),
        cell(row.first_p99),
        cell(row.gap_p50),
        cell(row.gap_p95),
        cell(row.total_p95),
        ends.collect::<Vec<_>>().join(" "),
    ]
}

fn ratio_cells(ratio: &Ratio) -> Vec<String> {
    let class = ratio.class.to_owned();
    let value = ratio.ratio.to_string();
    vec![ratio.arm.clone(), ratio.against.clone(), class, value]
}

fn cell(spread: Option<Spread>) -> String {
    spread.map_or_else(|| "-".to_owned(), |s| s.to_string())
}

fn align(lines: &[Vec<String>]) -> String {
    let columns = lines.first().map_or(0, Vec::len);
    let width = |column: usize| lines.iter().map(|l| l[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for line in lines {
        let mut row = String::new();
        for (cell, width) in line.iter().zip(&widths) {
            let _ = write!(row, "{cell:<width$}  ");
        }
        text.push_str(row.trim_end());
        text.push('\n');
    }
    text
}

/// Writes the figures: JSON to a path that ends in `.json`, else CSV.
pub fn write(summary: &Summary, path: &Path) -> io::Result<()> {
    if path.extension().is_some_and(|e| e == "json") {
        return fs::write(path, serde_json::to_string_pretty(summary)?);
    }
    fs::write(path, csv(summary))
}

/// The rows as CSV; of each spread the median, the low and the high.
pub fn csv(summary: &Summary) -> String {
    let figures = [
        "first_p50",
        "first_p95",
        "first_p99",
        "token_p50",
        "token_p95",
        "total_p95",
    ];
    let mut head = "system,requests,class,sent,whole".to_owned();
    for figure in figures {
        let _ = write!(head, ",{figure},{figure}_low,{figure}_high");
    }
    let mut text = head + "\n";
    for row in &summary.rows {
        let whole = row.ends.get("whole").copied().unwrap_or_default();
        let (arm, pass, class) = (&row.arm, row.pass, row.class);
        let _ = write!(text, "{arm},{pass},{class},{},{whole}", row.requests);
        let spreads = [
            row.first_p50,
            row.first_p95,
            row.first_p99,
            row.gap_p50,
            row.gap_p95,
            row.total_p95,
        ];
        for spread in spreads {
            let _ = match spread {
                Some(s) => write!(text, ",{},{},{}", s.median, s.low, s.high),
                None => write!(text, ",,,"),
            };
        }
        text.push('\n');
    }
    text
}
