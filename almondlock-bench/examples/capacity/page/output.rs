//! Tables in Markdown.

/// Text that grows by tables.
#[derive(Default)]
pub struct Output {
    text: String,
}

impl Output {
    /// Begins a table.
    pub fn table(&mut self, title: &str, columns: &[&str]) {
        if !self.text.is_empty() {
            self.text.push('\n');
        }
        self.text.push_str(&format!("**{title}**\n\n"));
        self.line(columns);
        self.line(&vec!["---"; columns.len()]);
    }

    /// Adds a row.
    pub fn row(&mut self, cells: &[String]) {
        let cells: Vec<&str> = cells.iter().map(String::as_str).collect();
        self.line(&cells);
    }

    fn line(&mut self, cells: &[&str]) {
        self.text.push_str(&format!("| {} |\n", cells.join(" | ")));
    }

    /// The whole.
    pub fn into_text(self) -> String {
        self.text
    }
}

/// A number with three significant digits, thousands apart.
pub fn number(value: f64) -> String {
    let size = value.abs();
    if size >= 1000.0 {
        let digits = format!("{size:.0}");
        let mut text = String::new();
        for (n, digit) in digits.chars().enumerate() {
            if n > 0 && (digits.len() - n).is_multiple_of(3) {
                text.push(',');
            }
            text.push(digit);
        }
        let sign = if value < 0.0 { "-" } else { "" };
        return format!("{sign}{text}");
    }
    let places = match size {
        s if s >= 100.0 || s == 0.0 => 0,
        s if s >= 10.0 => 1,
        s if s >= 1.0 => 2,
        s if s >= 0.1 => 3,
        s if s >= 0.01 => 4,
        _ => 5,
    };
    format!("{value:.places$}")
}
