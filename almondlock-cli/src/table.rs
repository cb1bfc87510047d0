//! Tables of text, and colours where somebody looks.

use std::fmt;

/// A table with a head.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    head: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table without rows.
    pub fn new<I>(head: I) -> Table
    where
        I: IntoIterator,
        I::Item: Into<String>,
    {
        let head = head.into_iter().map(Into::into).collect();
        Table {
            head,
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn row<I>(&mut self, cells: I)
    where
        I: IntoIterator,
        I::Item: Into<String>,
    {
        self.rows.push(cells.into_iter().map(Into::into).collect());
    }

    /// Whether it has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all = || std::iter::once(&self.head).chain(&self.rows);
        let width = |column: usize| {
            let cells = all().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.head.len()).map(width).collect();
        for row in all() {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:width$}  "));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Whether to colour.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Paint(pub bool);

impl Paint {
    /// What is as it should be.
    pub fn good(self, text: &str) -> String {
        self.wrap("32", text)
    }

    /// What somebody should look at.
    pub fn bad(self, text: &str) -> String {
        self.wrap("31", text)
    }

    /// What is under way.
    pub fn busy(self, text: &str) -> String {
        self.wrap("33", text)
    }

    fn wrap(self, colour: &str, text: &str) -> String {
        if self.0 {
            format!("\u{1b}[{colour}m{text}\u{1b}[0m")
        } else {
            text.to_owned()
        }
    }
}
