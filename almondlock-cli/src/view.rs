//! Answers as people read them.

use std::fmt::Write as _;

use almondlock_base::{time::Wall, unit::Revision};
use almondlock_state::{
    api::{
        History, Models, Observation, Operators, Organisations, Planned, Plans, Replicas, Status,
        Summary, UpstreamRow, Upstreams, Watch,
    },
    config::{Change, Kind, Registration},
    intent::Intent,
    plan::{Plan, Progress, Stage, State, Step},
    replica,
    tables::Effect,
};

use serde_json::Value;

use crate::table::{Paint, Table};

/// An answer that can be shown to people.
pub trait Show {
    /// Its text.
    fn show(&self, paint: Paint) -> String;
}

impl Show for Status {
    fn show(&self, paint: Paint) -> String {
        let mut text = String::new();
        let leader = self
            .observation
            .leader
            .map_or_else(|| paint.bad("none known"), |leader| paint.good(&id(leader)));
        let current = if self.current {
            paint.good("confirmed by a quorum")
        } else {
            paint.bad("NOT CURRENT: as this replica knew it last")
        };
        let _ = writeln!(text, "state      {current}");
        let _ = writeln!(text, "leader     {leader}, term {}", self.observation.term);
        let _ = writeln!(
            text,
            "revision   {}, {}",
            self.revision,
            in_force(self, paint)
        );
        let _ = writeln!(
            text,
            "upstreams  {} registered, {} drained; organisations {}; claims {}",
            self.upstreams, self.drained, self.organisations, self.claims
        );
        for (domain, evacuation) in &self.evacuated {
            let since = time(evacuation.since);
            let line = format!("{domain} since {since}: {}", evacuation.reason);
            let _ = writeln!(text, "evacuated  {}", paint.busy(&line));
        }
        if self.suspects.0 > 0 {
            let (suspected, refused) = self.suspects;
            let line = format!("{suspected} requests suspected, {refused} of them refused");
            let _ = writeln!(text, "quarantine {}", paint.busy(&line));
        }
        for table in [
            domains(self),
            models(self),
            replicas(&self.replicas, &self.observation),
        ] {
            section(&mut text, &table);
        }
        section(&mut text, &laggards(self));
        section(&mut text, &refusals(self));
        section(&mut text, &plans(&self.plans));
        text
    }
}

fn section(text: &mut String, table: &Table) {
    if !table.is_empty() {
        let _ = write!(text, "\n{table}");
    }
}

fn in_force(status: &Status, paint: Paint) -> String {
    match status.observation.in_force {
        Some(lowest) if lowest >= status.revision => paint.good("in force everywhere"),
        Some(lowest) => paint.busy(&format!("the furthest behind acts on {lowest}")),
        None => "not known who is behind".to_owned(),
    }
}

fn domains(status: &Status) -> Table {
    let mut table = Table::new(["DOMAIN", "UPSTREAMS"]);
    for (name, count) in &status.domains {
        table.row([name.clone(), count.to_string()]);
    }
    table
}

fn models(status: &Status) -> Table {
    let mut table = Table::new(["MODEL", "VERSION", "SERVING"]);
    for row in &status.models {
        table.row([
            row.name.to_string(),
            row.version.to_string(),
            row.serving.to_string(),
        ]);
    }
    table
}

type Known = std::collections::BTreeMap<replica::Id, replica::Replica>;

fn replicas(known: &Known, standing: &Observation) -> Table {
    let mut table = Table::new(["REPLICA", "ADDRESS", "ADMIN", "DOMAIN", "HOLDS", ""]);
    for (number, replica) in known {
        let leads = standing.leader == Some(*number);
        let held = standing.matched.get(number);
        table.row([
            id(*number),
            replica.address.to_string(),
            replica.admin.to_string(),
            replica.domain.to_string(),
            held.map_or_else(String::new, u64::to_string),
            if leads {
                "leader".to_owned()
            } else {
                String::new()
            },
        ]);
    }
    table
}

fn laggards(status: &Status) -> Table {
    let mut table = Table::new(["BEHIND", "LIFE", "REVISION"]);
    for process in &status.observation.laggards {
        let revision = process.revision.to_string();
        table.row([
            process.host.to_string(),
            process.incarnation.to_string(),
            revision,
        ]);
    }
    table
}

fn refusals(status: &Status) -> Table {
    let mut table = Table::new(["CODE", "REFUSALS"]);
    for (code, count) in &status.observation.refusals {
        table.row([code.to_string(), count.to_string()]);
    }
    table
}

/// A replica's identity as the log writes it.
pub fn id(id: replica::Id) -> String {
    format!("{id:016x}")
}

impl Show for Organisations {
    fn show(&self, _: Paint) -> String {
        let mut table = Table::new([
            "ORGANISATION",
            "SHARE",
            "RATE",
            "TOKENS",
            "DEADLINE",
            "LIMIT",
            "KEYS",
        ]);
        let bound = |value: u64| {
            if value == 0 {
                "-".to_owned()
            } else {
                value.to_string()
            }
        };
        for (name, it) in &self.organisations {
            table.row([
                name.to_string(),
                it.share.to_string(),
                bound(u64::from(it.rate)),
                bound(it.tokens.0),
                format!("{} ms", it.deadline),
                format!("{} ms", it.deadline_limit),
                it.keys.join(" "),
            ]);
        }
        table.to_string()
    }
}

impl Show for Models {
    fn show(&self, _: Paint) -> String {
        let mut table = Table::new(["MODEL", "VERSION", "CONTEXT", "ADAPTERS"]);
        for (name, it) in &self.models {
            let adapters: Vec<_> = it
                .adapters
                .iter()
                .map(|(a, v)| format!("{a}@{v}"))
                .collect();
            let cells = [
                name.to_string(),
                it.version.to_string(),
                it.context.to_string(),
            ];
            table.row(cells.into_iter().chain([adapters.join(" ")]));
        }
        let mut text = table.to_string();
        let mut services = Table::new(["SERVICE", "MAY BE SENT AGAIN"]);
        for (name, it) in &self.services {
            services.row([name.to_string(), it.repeatable.join(" ")]);
        }
        section(&mut text, &services);
        let mut settings = Table::new(["SETTING", "VALUE"]);
        for (name, value) in &self.settings {
            settings.row([name, value]);
        }
        section(&mut text, &settings);
        text
    }
}

impl Show for Upstreams {
    fn show(&self, paint: Paint) -> String {
        let mut table = Table::new([
            "UPSTREAM", "HOST", "DOMAIN", "SERVES", "CAPACITY", "FENCED", "STATE",
        ]);
        for (name, row) in &self.upstreams {
            let known = row.registration.as_ref();
            let text = |of: fn(&Registration) -> String| known.map_or_else(String::new, of);
            table.row([
                name.to_string(),
                text(|it| it.host.to_string()),
                text(|it| it.domain.to_string()),
                text(serves),
                text(|it| it.capacity.to_string()),
                text(|it| if it.fenced { "yes" } else { "no" }.to_owned()),
                state(row, paint),
            ]);
        }
        table.to_string()
    }
}

fn serves(it: &Registration) -> String {
    match (&it.model, &it.service, it.kind) {
        (Some((model, version)), ..) => format!("{model}@{version}"),
        (None, Some(service), _) => format!("service {service}"),
        (None, None, Kind::Engine | Kind::Service) => "nothing".to_owned(),
    }
}

fn state(row: &UpstreamRow, paint: Paint) -> String {
    let mut words = Vec::new();
    if row.registration.is_none() {
        words.push(paint.bad("gone"));
    }
    if let Some(drain) = &row.drain {
        words.push(paint.busy(&format!(
            "drained since {}: {}",
            time(drain.since),
            drain.reason
        )));
    }
    if let Some(order) = &row.order {
        words.push(paint.busy(&format!("loading {}@{}", order.model, order.version)));
    }
    if words.is_empty() {
        words.push(paint.good("serving"));
    }
    words.join(", ")
}

impl Show for Replicas {
    fn show(&self, _: Paint) -> String {
        replicas(&self.replicas, &self.observation).to_string()
    }
}

impl Show for Operators {
    fn show(&self, _: Paint) -> String {
        let mut table = Table::new(["OPERATOR", "ROLE"]);
        for (name, role) in &self.operators {
            table.row([name.clone(), role.to_string()]);
        }
        table.to_string()
    }
}

impl Show for History {
    fn show(&self, _: Paint) -> String {
        let mut table = Table::new(["WHEN", "WHO", "PLAN", "NUMBER", "EVENT", "REVISION", ""]);
        for it in &self.records {
            table.row([
                time(it.at),
                it.operator.clone(),
                it.plan.to_string(),
                it.number.clone(),
                it.event.clone(),
                it.revision.to_string(),
                it.detail.clone(),
            ]);
        }
        table.to_string()
    }
}

impl Show for Plans {
    fn show(&self, _: Paint) -> String {
        plans(&self.plans).to_string()
    }
}

fn plans(all: &[Summary]) -> Table {
    let mut table = Table::new(["PLAN", "NUMBER", "WHO", "STATE", "STEPS", "WHAT"]);
    for it in all {
        table.row([
            it.id.to_string(),
            it.number.clone(),
            it.operator.clone(),
            it.state.to_string(),
            format!("{}/{}", it.done, it.steps),
            format!("{} {}", intent(&it.intent), it.message)
                .trim_end()
                .to_owned(),
        ]);
    }
    table
}

/// An intent in one line.
fn intent(intent: &Intent) -> String {
    let value = serde_json::to_value(intent).unwrap_or_default();
    let mut words = Vec::new();
    collect("", &value, &mut words);
    words.join(" ")
}

fn collect(name: &str, value: &Value, words: &mut Vec<String>) {
    match value {
        Value::Null => {}
        Value::Object(fields) => fields
            .iter()
            .for_each(|(name, value)| collect(name, value, words)),
        Value::String(text) if name == "intent" => words.insert(0, text.clone()),
        Value::String(text) => words.push(format!("{name}={text}")),
        other => words.push(format!("{name}={other}")),
    }
}

impl Show for Planned {
    fn show(&self, paint: Paint) -> String {
        let mut text = plan(&self.plan, paint);
        let line = match self.in_force {
            Some(true) => paint.good("in force everywhere"),
            Some(false) => paint.busy("not yet in force everywhere"),
            None => return text,
        };
        let _ = writeln!(text, "{line}");
        text
    }
}

fn plan(plan: &Plan, paint: Paint) -> String {
    let mut text = String::new();
    let state = match plan.state {
        State::Done => paint.good("done"),
        State::Failed => paint.bad("failed"),
        other => paint.busy(&other.to_string()),
    };
    let _ = writeln!(
        text,
        "plan {} ({}): {state} {}",
        plan.id, plan.number, plan.message
    );
    let _ = writeln!(text, "  what      {}", intent(&plan.intent));
    let _ = writeln!(text, "  rests on  revision {}", plan.base_revision);
    if plan.revision > Revision::ZERO {
        let _ = writeln!(text, "  reached   revision {}", plan.revision);
    }
    for line in &plan.risk.affected {
        let _ = writeln!(text, "  affects   {line}");
    }
    if let Some(left) = plan.risk.capacity_left {
        let _ = writeln!(text, "  capacity  {left}% left at the lowest point");
    }
    let _ = writeln!(text, "  takes     about {} s", plan.risk.seconds);
    for line in &plan.risk.warnings {
        let _ = writeln!(text, "  {}   {line}", paint.bad("warning"));
    }
    for (number, stage) in plan.stages.iter().enumerate() {
        let _ = writeln!(
            text,
            "  step {number:<4} {}: {}",
            step(&stage.step),
            progress(stage)
        );
    }
    text
}

fn step(step: &Step) -> String {
    let way = |there: bool| if there { "set" } else { "remove" };
    match step {
        Step::Apply(Effect::Config(change)) => effect(change),
        Step::Apply(Effect::Operator(name, it)) => format!("{} operator {name}", way(it.is_some())),
        Step::Apply(Effect::Replica(number, _)) => format!("replica {}", id(*number)),
        Step::Member(replica::Member::Add(it)) => format!("add the replica at {}", it.address),
        Step::Member(replica::Member::Remove(it)) => format!("remove replica {}", id(*it)),
        Step::Upgrade {
            upstream,
            model,
            version,
        } => format!("{upstream} loads {model}@{version}"),
    }
}

fn effect(change: &Change) -> String {
    let way = |there: bool| if there { "set" } else { "remove" };
    match change {
        Change::Organisation(name, it) => format!("{} organisation {name}", way(it.is_some())),
        Change::Model(name, None) => format!("remove model {name}"),
        Change::Model(name, Some(it)) => format!("set model {name} to version {}", it.version),
        Change::Service(name, it) => format!("{} service {name}", way(it.is_some())),
        Change::Upstream(name, it) => format!("{} upstream {name}", way(it.is_some())),
        Change::Drain(name, Some(_)) => format!("drain {name}"),
        Change::Drain(name, None) => format!("return {name}"),
        Change::Quarantine(print, it) => format!("{} quarantine {print}", way(it.is_some())),
        Change::Setting(name, Some(value)) => format!("set {name} to {value}"),
        Change::Setting(name, None) => format!("unset {name}"),
        Change::Order(name, it) => format!("{} order to {name}", way(it.is_some())),
        Change::Document(Some(it)) => format!("publish version {}", it.version),
        Change::Delta(it) => format!("publish version {}", it.version),
        Change::Sources(_) => "tell processes of the replicas".to_owned(),
        Change::Document(None) => "remove the published configuration".to_owned(),
        Change::Instance(name, it) => format!("{} instance {name}", way(it.is_some())),
        Change::Evacuation(domain, Some(_)) => format!("evacuate failure domain {domain}"),
        Change::Evacuation(domain, None) => format!("return failure domain {domain}"),
    }
}

fn progress(stage: &Stage) -> String {
    match &stage.progress {
        Progress::Pending => "pending".to_owned(),
        Progress::Begun { since, .. } => format!("begun {}", time(*since)),
        Progress::Ordered { until, .. } => format!("loading, until {}", time(*until)),
        Progress::Done => "done".to_owned(),
        Progress::Skipped => "skipped".to_owned(),
        Progress::Failed { message } => format!("failed: {message}"),
    }
}

impl Show for Watch {
    fn show(&self, paint: Paint) -> String {
        let force = match self.in_force {
            Some(lowest) if lowest >= self.revision => paint.good("in force everywhere"),
            Some(lowest) => paint.busy(&format!("lowest in force {lowest}")),
            None => "in force not known".to_owned(),
        };
        let open = self
            .plans
            .iter()
            .map(|it| format!("; plan {} {} {}/{}", it.id, it.state, it.done, it.steps));
        format!(
            "revision {}, {force}{}\n",
            self.revision,
            open.collect::<String>()
        )
    }
}

/// A time as UTC.
pub fn time(at: Wall) -> String {
    let seconds = at.as_millis() / 1000;
    let (days, rest) = (seconds / 86_400, seconds % 86_400);
    let (year, month, day) = date(days);
    let (hour, minute, second) = (rest / 3600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// The date of a day since the epoch, by eras of 400 years that begin in March,
/// so that the leap day is the last of its year.
fn date(days: u64) -> (u64, u64, u64) {
    const ERA: u64 = 146_097;
    let shifted = days + 719_468;
    let (era, day) = (shifted / ERA, shifted % ERA);
    let year = (day - day / 1460 + day / 36_524 - day / (ERA - 1)) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    let year = era * 400 + year + u64::from(month <= 2);
    (year, month, day)
}
