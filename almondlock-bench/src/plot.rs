//! A picture of the time to the first token, by length class and system: bars of
//! the median over runs at the 95th percentile, whiskers from the lowest to the
//! highest run, on a logarithmic scale.

use std::fmt::Write;

use crate::summary::{Row, Summary};

const WIDTH: f64 = 760.0;
const HEIGHT: f64 = 420.0;
const LEFT: f64 = 70.0;
const TOP: f64 = 50.0;
const BOTTOM: f64 = 360.0;

/// Distinct also to readers who don't see colours well.
const COLOURS: [&str; 6] = [
    "#0072b2", "#e69f00", "#009e73", "#cc79a7", "#56b4e9", "#d55e00",
];

/// The picture as SVG.
pub fn svg(summary: &Summary) -> String {
    let rows: Vec<&Row> = summary.rows.iter().filter(|r| r.pass == "all").collect();
    let arms = distinct(rows.iter().map(|row| row.arm.as_str()));
    let classes = distinct(rows.iter().map(|row| row.class));
    let scale = Scale::new(&rows);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"{LEFT}\" y=\"20\">Time to first token, 95th percentile, seconds</text>\n"
    );
    scale.draw(&mut svg);
    let group = (WIDTH - LEFT) / classes.len().max(1) as f64;
    let bar = group * 0.8 / arms.len().max(1) as f64;
    for (c, class) in classes.iter().enumerate() {
        let start = LEFT + group * (c as f64 + 0.1);
        let y = BOTTOM + 18.0;
        let _ = writeln!(svg, "<text x=\"{start:.1}\" y=\"{y}\">{class}</text>");
        for (a, arm) in arms.iter().enumerate() {
            let row = rows.iter().find(|r| r.class == *class && r.arm == *arm);
            if let Some(row) = row {
                let x = start + bar * a as f64;
                draw_bar(&mut svg, &scale, row, x, bar, COLOURS[a % COLOURS.len()]);
            }
        }
    }
    for (a, arm) in arms.iter().enumerate() {
        let (x, colour) = (LEFT + 130.0 * a as f64, COLOURS[a % COLOURS.len()]);
        let y = HEIGHT - 15.0;
        let _ = writeln!(
            svg,
            "<rect x=\"{x}\" y=\"{}\" width=\"10\" height=\"10\" fill=\"{colour}\"/>",
            y - 9.0
        );
        let _ = writeln!(
            svg,
            "<text x=\"{}\" y=\"{y}\">{}</text>",
            x + 14.0,
            escape(arm)
        );
    }
    svg + "</svg>\n"
}

fn draw_bar(svg: &mut String, scale: &Scale, row: &Row, x: f64, width: f64, colour: &str) {
    let Some(spread) = row.first_p95 else { return };
    let (top, low, high) = (
        scale.y(spread.median),
        scale.y(spread.low),
        scale.y(spread.high),
    );
    let (wide, height, middle) = (width * 0.9, BOTTOM - top, x + width * 0.45);
    let _ = writeln!(
        svg,
        "<rect x=\"{x:.1}\" y=\"{top:.1}\" width=\"{wide:.1}\" height=\"{height:.1}\" fill=\"{colour}\"/>\n\
         <line x1=\"{middle:.1}\" x2=\"{middle:.1}\" y1=\"{low:.1}\" y2=\"{high:.1}\" stroke=\"black\"/>"
    );
}

/// A logarithmic scale over whole powers of ten.
struct Scale {
    low: i32,
    high: i32,
}

impl Scale {
    fn new(rows: &[&Row]) -> Scale {
        let spreads = rows.iter().filter_map(|row| row.first_p95);
        let positive = spreads.flat_map(|s| [s.low, s.high]).filter(|v| *v > 0.0);
        let logs: Vec<f64> = positive.map(f64::log10).collect();
        let low = logs.iter().copied().fold(0.0, f64::min).floor() as i32;
        let high = logs.iter().copied().fold(0.0, f64::max).ceil() as i32;
        Scale {
            low,
            high: high.max(low + 1),
        }
    }

    fn y(&self, value: f64) -> f64 {
        let place = value.max(1e-9).log10() - f64::from(self.low);
        let part = (place / f64::from(self.high - self.low)).clamp(0.0, 1.0);
        BOTTOM - part * (BOTTOM - TOP)
    }

    fn draw(&self, svg: &mut String) {
        for power in self.low..=self.high {
            let value = 10_f64.powi(power);
            let y = self.y(value);
            let _ = writeln!(
                svg,
                "<line x1=\"{LEFT}\" x2=\"{WIDTH}\" y1=\"{y:.1}\" y2=\"{y:.1}\" stroke=\"#ccc\"/>\n\
                 <text x=\"10\" y=\"{y:.1}\">{value}</text>"
            );
        }
    }
}

fn distinct<'a, I>(names: I) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let mut all = Vec::new();
    for name in names {
        if !all.contains(&name) {
            all.push(name);
        }
    }
    all
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
