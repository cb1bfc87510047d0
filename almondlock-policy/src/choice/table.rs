//! The upstreams that can serve the same requests, and their load.

use std::{collections::HashMap, time::Duration};

use almondlock_base::{
    id::{Domain, Host, Region, Upstream},
    time::Mono,
    unit::Tokens,
};

use super::{
    hint::Hints,
    load::{Load, Report},
    subset::{Subset, hash_name, mix},
};
use crate::length::Class;

/// Parameters of the selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Number of upstreams in the subset that one entry host sends to. There is one subset for
    /// its region and one for all others.
    pub subset_size: usize,
    /// Number of candidates sampled for a decision.
    pub candidates: usize,
    /// Time after which a report counts half.
    pub half_life: Duration,
    /// Share of the reports whose upstreams count as hot, in percent.
    pub hot_percent: u32,
    /// Part of a prefix that is assumed to be cached at the upstream that it hashes to if
    /// that is not known, in percent of its tokens.
    pub assumed_hit_percent: u32,
    /// Number of prefix hashes whose last upstream is remembered.
    pub hint_limit: usize,
    /// Prefill speed assumed for an upstream that has not reported it, in tokens
    /// per second.
    pub prefill_speed: u64,
    /// Share of the upstreams that are kept free of long prompts, in percent.
    pub short_only_percent: u32,
    /// Number of attempts that an entry host may have at an upstream for its cached prefix,
    /// in percent of its average over the upstreams of its subset.
    pub bound_percent: u32,
    /// Time for which an upstream that failed is passed over.
    pub avoid_time: Duration,
    /// Time added to the cost of an upstream in another failure domain. Ten times this is
    /// added for another region.
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

/// Identity and location of the entry host that selects upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// Name of the host.
    pub host: Host,
    /// Failure domain of the host.
    pub domain: Domain,
    /// Region of the host.
    pub region: Region,
}

/// Location of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Locality {
    /// Failure domain of the upstream.
    pub domain: Domain,
    /// Region of the upstream.
    pub region: Region,
}

/// Handle of an upstream in a [`Table`]. It is valid until the upstream is removed; calls
/// with it have no effect after that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Index {
    pub(super) slot: u32,
    /// Tells successive upstreams in the same slot apart.
    pub(super) generation: u32,
}

/// Properties of an attempt for which an upstream is selected.
#[derive(Clone, Copy, Debug, Default)]
pub struct Query<'a> {
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Largest number of tokens in the answer.
    pub output: Tokens,
    /// Hashes of the prompt's leading parts, computed by [`crate::prefix::hashes`].
    pub prefix: &'a [u64],
    /// Upstreams that already failed or refused this request.
    pub excluded: &'a [Index],
}

/// One upstream of a [`Table`].
#[derive(Debug)]
pub(super) struct Row {
    name: Upstream,
    locality: Locality,
    generation: u32,
    pub(super) same_region: bool,
    pub(super) same_domain: bool,
    pub(super) leaving: bool,
    /// Whether the upstream is kept free of long prompts. All entry hosts agree on this.
    pub(super) short_only: bool,
    /// Rendezvous hash of the upstream's name.
    key: u64,
    /// Rendezvous score of the upstream for this host's subset.
    score: u64,
    pub(super) load: Load,
}

/// Upstreams that can serve the same requests, with their load as one entry host knows it.
#[derive(Debug)]
pub struct Table {
    pub(super) config: Config,
    origin: Origin,
    pub(super) rows: Vec<Option<Row>>,
    /// Rendezvous keys by slot, `None` for an empty slot. They are stored apart from the rows
    /// so that the pass over all of them touches few cache lines.
    keys: Vec<Option<u64>>,
    free: Vec<u32>,
    last_generation: u32,
    names: HashMap<Upstream, u32>,
    /// Subset of the upstreams in this host's region.
    pub(super) local: Subset,
    /// Subset of the upstreams in all other regions.
    pub(super) remote: Subset,
    pub(super) hints: Hints,
    pub(super) average: Average,
    /// Position in the local subset at which the search for an upstream to probe continues.
    probe_cursor: usize,
}

/// Running averages over the reports of all upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Average {
    /// Mean reported wait, in seconds.
    pub(super) wait: f64,
    /// Mean number of requests in flight.
    pub(super) in_flight: f64,
    /// Number of requests in flight above which an upstream is hot.
    pub(super) hot_threshold: f64,
    /// Attempts of this host that have not ended, at all upstreams.
    pub(super) outstanding: u64,
}

/// Weight of a new report in the running averages.
const AVERAGE_GAIN: f64 = 0.05;

impl Table {
    /// Creates an empty table.
    pub fn new(config: Config, origin: Origin) -> Table {
        Table {
            config,
            origin,
            rows: Vec::new(),
            keys: Vec::new(),
            free: Vec::new(),
            last_generation: 0,
            names: HashMap::new(),
            local: Subset::default(),
            remote: Subset::default(),
            hints: Hints::new(config.hint_limit),
            average: Average::default(),
            probe_cursor: 0,
        }
    }

    /// Adds an upstream. An existing one of the same name is kept with its load if its
    /// location is the same, and replaced otherwise.
    pub fn insert(&mut self, name: &Upstream, locality: Locality) -> Index {
        if let Some(index) = self.find(name) {
            if self.row(index).is_some_and(|row| row.locality == locality) {
                return index;
            }
            self.remove(name);
        }
        let key = hash_name(name.as_str());
        let score = mix(key, hash_name(self.origin.host.as_str()));
        self.last_generation = self.last_generation.wrapping_add(1);
        let row = Row {
            name: name.clone(),
            generation: self.last_generation,
            same_region: locality.region == self.origin.region,
            same_domain: locality.domain == self.origin.domain,
            leaving: false,
            short_only: key % 100 < u64::from(self.config.short_only_percent),
            key,
            score,
            load: Load::default(),
            locality,
        };
        self.insert_row(row)
    }

    fn insert_row(&mut self, row: Row) -> Index {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.rows.push(None);
            self.keys.push(None);
            self.rows.len() as u32 - 1
        });
        let size = self.config.subset_size;
        let side = if row.same_region {
            &mut self.local
        } else {
            &mut self.remote
        };
        side.insert(&row.locality.domain, row.score, slot, size);
        self.names.insert(row.name.clone(), slot);
        self.keys[slot as usize] = Some(row.key);
        let index = Index {
            slot,
            generation: row.generation,
        };
        self.rows[slot as usize] = Some(row);
        index
    }

    /// Removes an upstream. Its attempts in progress are no longer counted.
    pub fn remove(&mut self, name: &Upstream) {
        let Some(slot) = self.names.remove(name) else {
            return;
        };
        let Some(row) = self.rows.get_mut(slot as usize).and_then(Option::take) else {
            return;
        };
        let size = self.config.subset_size;
        let side = if row.same_region {
            &mut self.local
        } else {
            &mut self.remote
        };
        side.remove(&row.locality.domain, row.score, slot, size);
        self.average.outstanding -= u64::from(row.load.outstanding);
        self.keys[slot as usize] = None;
        self.hints.forget(slot);
        self.free.push(slot);
    }

    /// Sets whether an upstream is leaving, so that it gets no new attempts.
    pub fn set_leaving(&mut self, name: &Upstream, leaving: bool) {
        let index = self.find(name);
        if let Some(row) = index.and_then(|index| self.row_mut(index)) {
            row.leaving = leaving;
        }
    }

    /// Returns the handle of the upstream with this name.
    pub fn find(&self, name: &Upstream) -> Option<Index> {
        let slot = *self.names.get(name)?;
        let generation = self.rows.get(slot as usize)?.as_ref()?.generation;
        Some(Index { slot, generation })
    }

    /// Returns the name of an upstream.
    pub fn name(&self, index: Index) -> Option<&Upstream> {
        self.row(index).map(|row| &row.name)
    }

    /// Returns the names of all upstreams. The cost is proportional to the fleet: not to be
    /// called for each request.
    pub fn names(&self) -> Vec<Upstream> {
        self.names.keys().cloned().collect()
    }

    /// Whether an upstream is known and not leaving.
    pub fn may_take_work(&self, name: &Upstream) -> bool {
        let row = self.find(name).and_then(|index| self.row(index));
        row.is_some_and(|row| !row.leaving)
    }

    /// Whether an upstream failed recently and is passed over as long as others are usable.
    pub fn is_avoided(&self, name: &Upstream, now: Mono) -> bool {
        let row = self.find(name).and_then(|index| self.row(index));
        row.is_some_and(|row| row.load.is_avoided(now))
    }

    /// Returns the free engine memory of an upstream, from its last report.
    pub fn free_memory(&self, name: &Upstream) -> Option<Tokens> {
        let row = self.row(self.find(name)?)?;
        row.load.reported_at.map(|_| row.load.report.free_memory)
    }

    /// Returns the number of upstreams.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether the table has no upstreams.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Records the load that an upstream's sidecar reported.
    pub fn record_report(&mut self, index: Index, report: Report, now: Mono) {
        let hot = f64::from(100 - self.config.hot_percent.min(100)) / 100.0;
        let Some(row) = self.row_mut(index) else {
            return;
        };
        if row.load.reported_at.is_some_and(|at| at > now) {
            return;
        }
        row.load.report = report;
        row.load.reported_at = Some(now);
        row.load.sent_since_report = 0;
        row.load.tokens_since_report = Tokens::ZERO;
        let in_flight = f64::from(report.in_flight);
        let average = &mut self.average;
        average.wait += (report.wait.as_secs_f64() - average.wait) * AVERAGE_GAIN;
        average.in_flight += (in_flight - average.in_flight) * AVERAGE_GAIN;
        // A running quantile: it steps up by the part `hot` of a step and down by the rest,
        // so that it settles where the part `hot` of the reports lies below it.
        let step = (average.in_flight * AVERAGE_GAIN).max(0.05);
        let above = in_flight > average.hot_threshold;
        average.hot_threshold += if above {
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
        row.load.unanswered_tokens += prompt;
        row.load.sent_since_report += 1;
        row.load.tokens_since_report += prompt;
        self.average.outstanding += 1;
    }

    /// Records that the first token of an attempt arrived: the upstream has processed the
    /// prompt and is likely to have its prefix cached.
    pub fn record_first_token(&mut self, index: Index, query: &Query<'_>) {
        let Some(row) = self.row_mut(index) else {
            return;
        };
        row.load.unanswered_tokens = row.load.unanswered_tokens.saturating_sub(query.prompt);
        row.load.tokens_since_report = row.load.tokens_since_report.saturating_sub(query.prompt);
        for hash in query.prefix {
            self.hints.insert(*hash, index.slot);
        }
    }

    /// Counts an attempt as ended. `answered` is whether [`Table::record_first_token`] was
    /// called for it.
    pub fn record_end(&mut self, index: Index, prompt: Tokens, answered: bool) {
        let Some(row) = self.row_mut(index) else {
            return;
        };
        let load = &mut row.load;
        let counted = load.outstanding > 0;
        load.outstanding = load.outstanding.saturating_sub(1);
        load.sent_since_report = load.sent_since_report.saturating_sub(1);
        if !answered {
            load.unanswered_tokens = load.unanswered_tokens.saturating_sub(prompt);
            load.tokens_since_report = load.tokens_since_report.saturating_sub(prompt);
        }
        self.average.outstanding -= u64::from(counted);
    }

    /// Records that an upstream could not be reached or failed. It is passed over for
    /// [`Config::avoid_time`].
    pub fn record_failure(&mut self, index: Index, now: Mono) {
        let until = now + self.config.avoid_time;
        if let Some(row) = self.row_mut(index) {
            row.load.avoid_until = Some(until);
        }
    }

    /// Returns the next upstream of the local subset to probe: one whose last report is `age`
    /// old or older. Successive calls go round the subset, so that an upstream that never
    /// answers does not keep the others from being probed.
    pub fn next_stale(&mut self, age: Duration, now: Mono) -> Option<Index> {
        let chosen = &self.local.chosen;
        for step in 1..=chosen.len() {
            let at = (self.probe_cursor + step) % chosen.len();
            let slot = chosen[at];
            let Some(row) = self.rows.get(slot as usize).and_then(Option::as_ref) else {
                continue;
            };
            let old = row.load.reported_at.is_none_or(|at| now.since(at) >= age);
            if old && !row.leaving {
                self.probe_cursor = at;
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

    /// Returns the slots of the two upstreams that a prefix hashes to, which are the same on
    /// all entry hosts.
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
    /// Whether the upstream may be selected at all: it is not leaving and not excluded.
    pub(super) fn may_take(&self, query: &Query<'_>, index: Index) -> bool {
        !self.leaving && !query.excluded.contains(&index)
    }

    /// Whether the upstream is kept free of prompts of this length.
    pub(super) fn is_closed_to(&self, query: &Query<'_>) -> bool {
        self.short_only && Class::of(query.prompt) >= Class::Long
    }
}
