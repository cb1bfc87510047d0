//! The upstreams that can serve the same thing, and their load.

use std::{collections::HashMap, time::Duration};

use almondlock_base::{
    id::{Domain, Host, Region, Upstream},
    time::Mono,
    unit::Tokens,
};

use super::{
    hint::Hints,
    load::{Load, Report},
    subset::{Subset, hash, mix},
};
use crate::length::Class;

/// How choices are made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Upstreams of a region that one entry host works with.
    pub subset_size: usize,
    /// Candidates drawn for a decision.
    pub candidates: usize,
    /// After how long a report counts half.
    pub half_life: Duration,
    /// The share of known upstreams that count as hot, in percent.
    pub hot_percent: u32,
    /// What a prefix is taken to save at the upstream it hashes to when it is
    /// not known whether it was processed there, in percent of its tokens.
    pub assumed_hit_percent: u32,
    /// Prefixes remembered.
    pub hint_limit: usize,
    /// Prefill speed to assume for an upstream that has not told, in tokens
    /// per second.
    pub prefill_speed: u64,
    /// The share of upstreams kept free of long prompts, in percent.
    pub short_only_percent: u32,
    /// How much more than the average of its own attempts an entry host may
    /// have at the upstream that a prefix hashes to, in percent.
    pub bound_percent: u32,
    /// How long an upstream that failed is passed over.
    pub avoid_time: Duration,
    /// Time added for an upstream in another failure domain, and ten times
    /// that for another region.
    pub domain_cost: Duration,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            subset_size: 32,
            candidates: 3,
            half_life: Duration::from_millis(500),
            hot_percent: 30,
            assumed_hit_percent: 50,
            hint_limit: 16_384,
            prefill_speed: 8_000,
            short_only_percent: 0,
            bound_percent: 150,
            avoid_time: Duration::from_secs(2),
            domain_cost: Duration::from_micros(500),
        }
    }
}

/// The entry host that chooses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Its name.
    pub host: Host,
    /// Its failure domain.
    pub domain: Domain,
    /// Its region.
    pub region: Region,
}

/// Where an upstream stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Locality {
    /// Its failure domain.
    pub domain: Domain,
    /// Its region.
    pub region: Region,
}

/// An upstream's place in a [`Table`]. Stays valid until the upstream is
/// removed; what is asked or told of it after that is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Index {
    pub(super) slot: u32,
    pub(super) generation: u32,
}

/// What an attempt asks for.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query<'a> {
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Most tokens of the answer.
    pub output: Tokens,
    /// Hashes of the prompt's leading parts, as [`crate::prefix`] makes them.
    pub prefix: &'a [u64],
    /// Upstreams that already failed or refused this request.
    pub excluded: &'a [Index],
}

#[derive(Debug)]
pub(super) struct Row {
    name: Upstream,
    site: Locality,
    generation: u32,
    pub(super) near: bool,
    pub(super) same_domain: bool,
    pub(super) leaving: bool,
    /// Whether long prompts are kept away. All entry hosts agree on it.
    pub(super) short_only: bool,
    /// Rendezvous key of the upstream.
    key: u64,
    /// Its score in this host's subset.
    score: u64,
    pub(super) load: Load,
}

/// Upstreams and what one entry host knows of them.
#[derive(Debug)]
pub struct Table {
    pub(super) config: Config,
    home: Origin,
    pub(super) rows: Vec<Option<Row>>,
    /// Rendezvous keys by slot, apart from the rows so that the pass over all
    /// of them stays within a few cache lines. `None` for an empty slot.
    keys: Vec<Option<u64>>,
    free: Vec<u32>,
    lives: u32,
    names: HashMap<Upstream, u32>,
    pub(super) near: Subset,
    pub(super) far: Subset,
    pub(super) hints: Hints,
    pub(super) average: Average,
    /// Where the search for something to probe goes on.
    cursor: usize,
}

/// Figures over the upstreams heard from lately.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Average {
    /// Mean wait in seconds.
    pub(super) wait: f64,
    /// Mean number in flight.
    pub(super) in_flight: f64,
    /// The number in flight above which an upstream is hot.
    pub(super) hot: f64,
    /// Own attempts that have not ended.
    pub(super) outstanding: u64,
}

/// Gain of the running means.
const GAIN: f64 = 0.05;

impl Table {
    /// An empty table.
    pub fn new(config: Config, home: Origin) -> Table {
        Table {
            config,
            home,
            rows: Vec::new(),
            keys: Vec::new(),
            free: Vec::new(),
            lives: 0,
            names: HashMap::new(),
            near: Subset::default(),
            far: Subset::default(),
            hints: Hints::new(config.hint_limit),
            average: Average::default(),
            cursor: 0,
        }
    }

    /// Adds an upstream. One of the same name that stands elsewhere is
    /// replaced; one that stands at the same place is kept with its load.
    pub fn insert(&mut self, name: &Upstream, site: Locality) -> Index {
        if let Some(index) = self.find(name) {
            if self.row(index).is_some_and(|row| row.site == site) {
                return index;
            }
            self.remove(name);
        }
        let key = hash(name.as_str());
        let score = mix(key, hash(self.home.host.as_str()));
        self.lives = self.lives.wrapping_add(1);
        let row = Row {
            name: name.clone(),
            generation: self.lives,
            near: site.region == self.home.region,
            same_domain: site.domain == self.home.domain,
            leaving: false,
            short_only: key % 100 < u64::from(self.config.short_only_percent),
            key,
            score,
            load: Load::default(),
            site,
        };
        self.place(row)
    }

    fn place(&mut self, row: Row) -> Index {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.rows.push(None);
            self.keys.push(None);
            self.rows.len() as u32 - 1
        });
        let size = self.config.subset_size;
        let side = if row.near {
            &mut self.near
        } else {
            &mut self.far
        };
        side.insert(&row.site.domain, row.score, slot, size);
        self.names.insert(row.name.clone(), slot);
        self.keys[slot as usize] = Some(row.key);
        let index = Index {
            slot,
            generation: row.generation,
        };
        self.rows[slot as usize] = Some(row);
        index
    }

    /// Takes an upstream out. Attempts under way there are no longer counted.
    pub fn remove(&mut self, name: &Upstream) {
        let Some(slot) = self.names.remove(name) else {
            return;
        };
        let Some(row) = self.rows.get_mut(slot as usize).and_then(Option::take) else {
            return;
        };
        let size = self.config.subset_size;
        let side = if row.near {
            &mut self.near
        } else {
            &mut self.far
        };
        side.remove(&row.site.domain, row.score, slot, size);
        self.average.outstanding -= u64::from(row.load.outstanding);
        self.keys[slot as usize] = None;
        self.hints.forget(slot);
        self.free.push(slot);
    }

    /// Says whether an upstream takes new work.
    pub fn set_leaving(&mut self, name: &Upstream, leaving: bool) {
        let index = self.find(name);
        if let Some(row) = index.and_then(|index| self.row_mut(index)) {
            row.leaving = leaving;
        }
    }

    /// Where an upstream of this name is.
    pub fn find(&self, name: &Upstream) -> Option<Index> {
        let slot = *self.names.get(name)?;
        let life = self.rows.get(slot as usize)?.as_ref()?.generation;
        Some(Index {
            slot,
            generation: life,
        })
    }

    /// The name of an upstream.
    pub fn name(&self, index: Index) -> Option<&Upstream> {
        self.row(index).map(|row| &row.name)
    }

    /// The names of all upstreams. Proportional to the fleet: not for each
    /// request.
    pub fn names(&self) -> Vec<Upstream> {
        self.names.keys().cloned().collect()
    }

    /// Whether an upstream takes work, as far as is known.
    pub fn may_take_work(&self, name: &Upstream) -> bool {
        let row = self.find(name).and_then(|index| self.row(index));
        row.is_some_and(|row| !row.leaving)
    }

    /// Whether an upstream failed lately and is passed over while others will do.
    pub fn is_avoided(&self, name: &Upstream, now: Mono) -> bool {
        let row = self.find(name).and_then(|index| self.row(index));
        row.is_some_and(|row| row.load.is_avoided(now))
    }

    /// Free memory of an upstream, by its last report.
    pub fn free_memory(&self, name: &Upstream) -> Option<Tokens> {
        let row = self.row(self.find(name)?)?;
        row.load.at.map(|_| row.load.report.free_memory)
    }

    /// How many upstreams there are.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Notes what a sidecar told of its load.
    pub fn record_report(&mut self, index: Index, report: Report, now: Mono) {
        let hot = f64::from(100 - self.config.hot_percent.min(100)) / 100.0;
        let Some(row) = self.row_mut(index) else {
            return;
        };
        if row.load.at.is_some_and(|at| at > now) {
            return;
        }
        row.load.report = report;
        row.load.at = Some(now);
        row.load.sent = 0;
        row.load.sent_tokens = Tokens::ZERO;
        let in_flight = f64::from(report.in_flight);
        let average = &mut self.average;
        average.wait += (report.wait.as_secs_f64() - average.wait) * GAIN;
        average.in_flight += (in_flight - average.in_flight) * GAIN;
        // A running quantile: steps up by `hot` and down by the rest, so that
        // it comes to rest where that share of the reports lies below it.
        let step = (average.in_flight * GAIN).max(0.05);
        let above = in_flight > average.hot;
        average.hot += if above {
            step * hot
        } else {
            -step * (1.0 - hot)
        };
    }

    /// Counts an attempt that is sent now.
    pub fn record_sent(&mut self, index: Index, prompt: Tokens) {
        let Some(row) = self.row_mut(index) else {
            return;
        };
        row.load.outstanding += 1;
        row.load.unanswered += prompt;
        row.load.sent += 1;
        row.load.sent_tokens += prompt;
        self.average.outstanding += 1;
    }

    /// Notes that an attempt's prompt was processed there: its first token
    /// came, so the prompt's start is likely cached.
    pub fn record_first_token(&mut self, index: Index, ask: &Query<'_>) {
        let Some(row) = self.row_mut(index) else {
            return;
        };
        row.load.unanswered = row.load.unanswered.saturating_sub(ask.prompt);
        row.load.sent_tokens = row.load.sent_tokens.saturating_sub(ask.prompt);
        for hash in ask.prefix {
            self.hints.put(*hash, index.slot);
        }
    }

    /// Counts an attempt as ended. `answered` says whether [`Table::record_first_token`]
    /// was told of it.
    pub fn record_end(&mut self, index: Index, prompt: Tokens, answered: bool) {
        let Some(row) = self.row_mut(index) else {
            return;
        };
        let load = &mut row.load;
        let counted = load.outstanding > 0;
        load.outstanding = load.outstanding.saturating_sub(1);
        load.sent = load.sent.saturating_sub(1);
        if !answered {
            load.unanswered = load.unanswered.saturating_sub(prompt);
            load.sent_tokens = load.sent_tokens.saturating_sub(prompt);
        }
        self.average.outstanding -= u64::from(counted);
    }

    /// Notes that an upstream could not be reached or failed, so that it is
    /// passed over for a while.
    pub fn record_failure(&mut self, index: Index, now: Mono) {
        let until = now + self.config.avoid_time;
        if let Some(row) = self.row_mut(index) {
            row.load.avoid_until = Some(until);
        }
    }

    /// The next upstream of the subset whose last report is older than `age`,
    /// to be probed. Goes round, so that one that never answers does not keep
    /// the others from being asked.
    pub fn next_stale(&mut self, age: Duration, now: Mono) -> Option<Index> {
        let chosen = &self.near.chosen;
        for step in 1..=chosen.len() {
            let at = (self.cursor + step) % chosen.len();
            let slot = chosen[at];
            let Some(row) = self.rows.get(slot as usize).and_then(Option::as_ref) else {
                continue;
            };
            let old = row.load.at.is_none_or(|at| now.since(at) >= age);
            if old && !row.leaving {
                self.cursor = at;
                return Some(Index {
                    slot,
                    generation: row.generation,
                });
            }
        }
        None
    }

    pub(super) fn at(&self, slot: u32) -> Option<&Row> {
        self.rows.get(slot as usize)?.as_ref()
    }

    pub(super) fn index(&self, slot: u32) -> Option<Index> {
        self.at(slot).map(|row| Index {
            slot,
            generation: row.generation,
        })
    }

    /// The two upstreams that a prefix hashes to. All entry hosts find the
    /// same ones.
    pub(super) fn rendezvous(&self, prefix: u64) -> [Option<u32>; 2] {
        let mut best: [Option<(u64, u32)>; 2] = [None; 2];
        for (slot, key) in self.keys.iter().enumerate() {
            let Some(key) = key else {
                continue;
            };
            let entry = Some((mix(*key, prefix), slot as u32));
            if entry > best[0] {
                best = [entry, best[0]];
            } else if entry > best[1] {
                best[1] = entry;
            }
        }
        best.map(|entry| entry.map(|(_, slot)| slot))
    }

    fn row(&self, index: Index) -> Option<&Row> {
        self.at(index.slot)
            .filter(|row| row.generation == index.generation)
    }

    fn row_mut(&mut self, index: Index) -> Option<&mut Row> {
        let row = self.rows.get_mut(index.slot as usize)?.as_mut()?;
        (row.generation == index.generation).then_some(row)
    }
}

impl Row {
    /// Whether an attempt may go there at all.
    pub(super) fn takes(&self, ask: &Query<'_>, index: Index) -> bool {
        !self.leaving && !ask.excluded.contains(&index)
    }

    /// Whether it is kept free of prompts this long.
    pub(super) fn spares(&self, ask: &Query<'_>) -> bool {
        self.short_only && Class::of(ask.prompt) >= Class::Long
    }
}
