//! The slopes, what they come to at the target, and where they break a limit.

use super::{
    fit,
    measured::{Figures, Median, Table},
    output::{Output, number},
    state, target,
};

/// The windows without requests: before any, and after some.
const IDLE: [&str; 2] = ["before", "after"];
/// The windows with requests.
const BUSY: [&str; 3] = ["slow", "fast", "long"];

/// A figure of an idle process: `start + slope x count`.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// At a count of nothing.
    pub start: f64,
    /// For each of what is counted.
    pub slope: f64,
    /// The largest distance of a measured point.
    miss: f64,
}

impl Line {
    fn new(points: &[(f64, f64)]) -> Result<Line, String> {
        let rows: Vec<[f64; 2]> = points.iter().map(|p| [1.0, p.0]).collect();
        let values: Vec<f64> = points.iter().map(|p| p.1).collect();
        let [start, slope] = fit::solve(&rows, &values)?;
        let miss = |p: &(f64, f64)| (start + slope * p.0 - p.1).abs();
        let miss = points.iter().map(miss).fold(0.0, f64::max);
        Ok(Line { start, slope, miss })
    }

    /// The figure at a count.
    pub fn at(self, count: f64) -> f64 {
        self.start + self.slope * count
    }

    /// The count at which a limit is reached; `None` if it never is.
    fn reaches(self, limit: f64) -> Option<f64> {
        (self.slope > 0.0).then(|| ((limit - self.start) / self.slope).max(0.0))
    }
}

/// The idle figures of a role.
#[derive(Clone, Copy, Debug)]
pub struct Idle {
    role: &'static str,
    unit: &'static str,
    /// KiB.
    pub memory: Line,
    /// Percent of a core.
    pub core: Line,
    /// Bytes a second, with headers.
    pub wire: Line,
    /// Bytes of a probe, both ways, where they can be told from the links.
    pub probe: f64,
}

impl Idle {
    fn new(
        table: &Table,
        role: &'static str,
        unit: &'static str,
        count: fn(&Median) -> f64,
    ) -> Result<Idle, String> {
        let medians = table.of(role, &IDLE);
        let line = |value: fn(&Figures) -> f64| {
            let points = medians.iter().map(|m| (count(m), value(&m.figures)));
            Line::new(&points.collect::<Vec<_>>())
        };
        Ok(Idle {
            role,
            unit,
            memory: line(|f| f.resident)?,
            core: line(|f| f.core)?,
            wire: line(|f| f.wire)?,
            probe: 0.0,
        })
    }

    /// An entry host sends probes besides, whose number depends on the
    /// upstreams and not on the links, so they have a factor of their own.
    fn with_probes(self, table: &Table) -> Result<Idle, String> {
        let medians = table.of(self.role, &IDLE);
        let rows = medians.iter().map(|m| [m.figures.links, probes(m)]);
        let rows: Vec<[f64; 2]> = rows.collect();
        let values: Vec<f64> = medians.iter().map(|m| m.figures.wire).collect();
        let [slope, probe] = fit::solve(&rows, &values)?;
        let misses = rows.iter().zip(&values);
        let misses = misses.map(|(row, value)| (slope * row[0] + probe * row[1] - value).abs());
        let wire = Line {
            start: 0.0,
            slope,
            miss: misses.fold(0.0, f64::max),
        };
        Ok(Idle {
            wire,
            probe,
            ..self
        })
    }

    /// The probes that a sidecar answers are told from its links by the size
    /// that they have at the entry host.
    fn with_answers(self, table: &Table, probe: f64) -> Result<Idle, String> {
        let medians = table.of(self.role, &IDLE);
        let points = medians.iter().map(|m| {
            let answered = probes(m) * m.entries / m.sidecars;
            (m.figures.links, m.figures.wire - probe * answered)
        });
        let wire = Line::new(&points.collect::<Vec<_>>())?;
        Ok(Idle {
            wire,
            probe,
            ..self
        })
    }

    /// Bytes a second of its probes at the target.
    fn probes(&self) -> f64 {
        let sent = target::probes();
        match self.role {
            "sidecar" => self.probe * sent * target::ENTRIES / target::SIDECARS,
            _ => self.probe * sent,
        }
    }
}

/// Probes a second of one entry host in an idle window, by its rule.
fn probes(median: &Median) -> f64 {
    let stale = median.sidecars.min(target::SUBSET) / target::PROBE_AGE;
    stale.min(target::PROBES)
}

/// What callers' work adds to a role, for a request and for a token of an
/// answer.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    role: &'static str,
    /// Core seconds.
    core: [f64; 2],
    /// Bytes of inner links, both ways.
    wire: [f64; 2],
}

impl Work {
    fn new(table: &Table, role: &'static str) -> Result<Work, String> {
        let busy = table.of(role, &BUSY);
        let hosts = |m: &Median| {
            if role == "entry" {
                m.entries
            } else {
                m.sidecars
            }
        };
        let rows: Vec<[f64; 2]> = (busy.iter())
            .map(|m| [m.rate, m.rate * m.tokens].map(|v| v / hosts(m)))
            .collect();
        let added = |value: fn(&Figures) -> f64| -> Result<[f64; 2], String> {
            let rest = table.of(role, &["after"]);
            let values = busy.iter().map(|m| {
                let same = rest.iter().find(|r| r.sidecars == m.sidecars);
                let same = same.ok_or("a size has no window after the load")?;
                Ok(value(&m.figures) - value(&same.figures))
            });
            fit::solve(&rows, &values.collect::<Result<Vec<f64>, String>>()?)
        };
        Ok(Work {
            role,
            core: added(|f| f.core / 100.0)?,
            wire: added(|f| f.wire)?,
        })
    }
}

/// All slopes.
pub struct Slopes {
    /// By links.
    pub entry: Idle,
    /// By links.
    pub sidecar: Idle,
    /// By registered upstreams.
    pub replica: Idle,
    work: [Work; 2],
}

impl Slopes {
    /// From what was measured.
    pub fn new(table: &Table) -> Result<Slopes, String> {
        let links = |m: &Median| m.figures.links;
        let entry = Idle::new(table, "entry", "link", links)?.with_probes(table)?;
        let sidecar = Idle::new(table, "sidecar", "link", links)?;
        Ok(Slopes {
            entry,
            sidecar: sidecar.with_answers(table, entry.probe)?,
            replica: Idle::new(table, "replica", "upstream", |m| m.sidecars)?,
            work: [Work::new(table, "entry")?, Work::new(table, "sidecar")?],
        })
    }

    fn idle(&self) -> [Idle; 3] {
        [self.entry, self.sidecar, self.replica]
    }

    /// Prints them.
    pub fn print(&self, output: &mut Output) {
        let columns = [
            "role",
            "figure",
            "at nothing",
            "slope",
            "for each",
            "largest miss",
        ];
        output.table("Slopes of idle processes", &columns);
        for idle in self.idle() {
            let lines = [
                ("KiB", idle.memory),
                ("% of a core", idle.core),
                ("bytes/s", idle.wire),
            ];
            if idle.probe > 0.0 {
                output.row(&[
                    idle.role.to_owned(),
                    "bytes/s".to_owned(),
                    String::new(),
                    number(idle.probe),
                    "probe a second".to_owned(),
                    number(idle.wire.miss),
                ]);
            }
            for (name, line) in lines {
                output.row(&[
                    idle.role.to_owned(),
                    name.to_owned(),
                    number(line.start),
                    number(line.slope),
                    idle.unit.to_owned(),
                    number(line.miss),
                ]);
            }
        }
        let columns = ["role", "figure", "a request", "a token of the answer"];
        output.table("Slopes of callers' work", &columns);
        for work in self.work {
            let row = |name: &str, values: [f64; 2]| {
                let [request, token] = values.map(number);
                [work.role.to_owned(), name.to_owned(), request, token]
            };
            output.row(&row("core, us", work.core.map(|v| v * 1e6)));
            output.row(&row("bytes of inner links", work.wire));
        }
    }
}

/// A figure at the target.
struct Figure {
    role: &'static str,
    name: &'static str,
    formula: String,
    value: f64,
    limit: Option<f64>,
}

impl Figure {
    fn print(&self, output: &mut Output) {
        let verdict = match self.limit {
            Some(limit) if self.value <= limit => "met",
            Some(_) => "**not met**",
            None => "no limit",
        };
        output.row(&[
            self.role.to_owned(),
            self.name.to_owned(),
            self.formula.clone(),
            number(self.value),
            self.limit.map(number).unwrap_or_default(),
            verdict.to_owned(),
        ]);
    }
}

/// Prints the figures at the target beside the limits.
pub fn print_target(slopes: &Slopes, output: &mut Output) {
    let columns = [
        "role",
        "figure",
        "formula",
        "at the target",
        "limit",
        "verdict",
    ];
    output.table("Control at the target", &columns);
    let counts = [
        (slopes.entry, target::entry_links_least(), "probing thread"),
        (slopes.entry, target::entry_links_most(), "all threads"),
        (
            slopes.sidecar,
            target::sidecar_links_least(),
            "probing threads",
        ),
        (slopes.sidecar, target::sidecar_links_most(), "all threads"),
        (slopes.replica, target::SIDECARS, "on hosts set aside"),
    ];
    for (idle, count, which) in counts {
        // The limits bind nodes; a replica stands on a host set aside.
        let limit = |limit: f64| (idle.role != "replica").then_some(limit);
        let figures = [
            ("% of a core", idle.core, 0.0, limit(target::CORE_LIMIT)),
            (
                "KiB",
                idle.memory,
                state::kib(idle.role),
                limit(target::MEMORY_LIMIT),
            ),
            (
                "bytes/s",
                idle.wire,
                idle.probes(),
                limit(target::WIRE_LIMIT),
            ),
        ];
        for (name, line, more, limit) in figures {
            let sum = format!(
                "{} + {} x {}",
                number(line.start),
                number(line.slope),
                number(count)
            );
            let formula = match more {
                0.0 => sum,
                more if name == "KiB" => format!("{sum} + {} of state", number(more)),
                more => format!("{sum} + {} of probes", number(more)),
            };
            let figure = Figure {
                role: idle.role,
                name,
                formula: format!("{formula} ({which})"),
                value: line.at(count) + more,
                limit,
            };
            figure.print(output);
        }
    }
    print_work(slopes, output);
}

fn print_work(slopes: &Slopes, output: &mut Output) {
    let columns = [
        "role",
        "figure",
        "formula",
        "at the target",
        "limit",
        "verdict",
    ];
    output.table("Callers' work at the peak, one process", &columns);
    for work in slopes.work {
        let hosts = match work.role {
            "entry" => target::ENTRIES,
            _ => target::SIDECARS,
        };
        let (requests, tokens) = (target::REQUESTS / hosts, target::TOKENS / hosts);
        let figures = [
            ("% of a core", work.core.map(|v| v * 100.0)),
            ("bytes/s of inner links", work.wire),
        ];
        for (name, [request, token]) in figures {
            let figure = Figure {
                role: work.role,
                name,
                formula: format!(
                    "{} x {} + {} x {}",
                    number(request),
                    number(requests),
                    number(token),
                    number(tokens)
                ),
                value: request * requests + token * tokens,
                limit: None,
            };
            figure.print(output);
        }
    }
}

/// Prints at which count each limit is reached.
pub fn print_break(slopes: &Slopes, output: &mut Output) {
    let columns = ["role", "limit", "reached at", "of", "target"];
    output.table("Where a limit is reached", &columns);
    let most = [
        (slopes.entry, target::entry_links_most()),
        (slopes.sidecar, target::sidecar_links_most()),
    ];
    for (idle, count) in most {
        let room = target::MEMORY_LIMIT - state::kib(idle.role);
        let limits = [
            (
                "14 KB/s",
                idle.wire.reaches(target::WIRE_LIMIT - idle.probes()),
            ),
            ("3.6% of a core", idle.core.reaches(target::CORE_LIMIT)),
            ("64 MB with the state", idle.memory.reaches(room)),
        ];
        for (name, reached) in limits {
            output.row(&[
                idle.role.to_owned(),
                name.to_owned(),
                match reached {
                    None => "never, by this slope".to_owned(),
                    Some(0.0) => "0: over by the probes alone".to_owned(),
                    Some(count) => number(count),
                },
                format!("{}s", idle.unit),
                number(count),
            ]);
        }
    }
}
