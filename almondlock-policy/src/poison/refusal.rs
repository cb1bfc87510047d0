//! What an entry host was told of suspected requests.
//!
//! Relays tell hosts which requests to refuse and which to watch. Once the time of a refusal
//! is over, one request at a time is tried: until it was answered, the others stay refused.
//! Hosts end a refusal at different times, so that not all of them try at once. While requests
//! of one organisation are refused, others' are tried in the same way.

use std::{collections::HashMap, time::Duration};

use almondlock_base::{id::Fingerprint, time::Mono};

use super::{
    profile::{Profile, Rule},
    tally::REFUSAL_TIME,
};

/// Maximum number of fingerprints that are remembered.
pub const MAX_TRACKED: usize = 4_096;
/// Time after which a fingerprint that no relay tells of any more is forgotten, unless it is
/// refused. Relays tell of it each second.
const WATCH_RETENTION: Duration = Duration::from_secs(10);
/// Longest time by which a host ends a refusal later than it was told.
pub const MAX_SPREAD: Duration = Duration::from_secs(60);
/// Time after which a tried request that was neither answered nor lost is given up, and
/// another one may be tried.
const TRIAL_TIME: Duration = Duration::from_secs(30);
/// Time until a request that is refused beside a trial should come back.
const TRIAL_RETRY: Duration = Duration::from_secs(1);

/// What is known of a fingerprint.
#[derive(Clone, Debug)]
struct Entry {
    rule: Rule,
    /// Time until which requests are refused. `None` if they never were.
    until: Option<Mono>,
    /// When a request was last tried after that, and its own fingerprint.
    tried: Option<(Mono, Fingerprint)>,
    /// When a relay last told of it.
    told: Mono,
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against it.
    Clear,
    /// It may run, but not a second time if it is lost, and its answer is told to relays.
    Watched,
    /// It is refused for this time, because of this fingerprint.
    Refused(Duration, Fingerprint),
}

/// The suspected requests that a host was told of.
#[derive(Clone, Debug)]
pub struct Table {
    // Invariant: at most `MAX_TRACKED`.
    entries: HashMap<Fingerprint, Entry>,
    spread: Duration,
}

impl Table {
    /// Makes an empty table. `seed` tells hosts apart: it decides by how much the host ends a
    /// refusal later than it was told.
    pub fn new(seed: u64) -> Table {
        let part = (seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as f64 / f64::from(u32::MAX);
        Table {
            entries: HashMap::new(),
            spread: MAX_SPREAD.mul_f64(part),
        }
    }

    /// Returns whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Takes in that requests are refused for this time. Returns whether that is new.
    pub fn refuse(&mut self, now: Mono, print: Fingerprint, rule: Rule, left: Duration) -> bool {
        let until = Some(now + left + self.spread);
        let Some(entry) = self.entry(now, print, &rule) else {
            return true;
        };
        let is_new = !entry.is_refused(now);
        if is_new || rule.is_wider_than(&entry.rule) {
            entry.rule = rule;
        }
        entry.until = until;
        is_new
    }

    /// Returns what is refused, and for how long, as a relay told it.
    pub fn refused(&self, now: Mono) -> Vec<(Fingerprint, Rule, Duration)> {
        let entries = self.entries.iter().filter_map(|(print, entry)| {
            let left = entry.until?.since(now + self.spread);
            (!left.is_zero()).then(|| (*print, entry.rule.clone(), left))
        });
        entries.collect()
    }

    /// Takes in that requests are suspected. Those that are refused stay so, since another
    /// relay may know more.
    pub fn watch(&mut self, now: Mono, print: Fingerprint, rule: Rule) {
        if let Some(entry) = self.entry(now, print, &rule)
            && !entry.is_refused(now)
        {
            entry.rule = rule;
        }
    }

    /// Takes in that a fingerprint is no longer suspected.
    pub fn clear(&mut self, print: &Fingerprint) {
        self.entries.remove(print);
    }

    /// Records that a request was answered. Returns which of its fingerprints were suspected.
    /// Those that are refused stay so.
    pub fn record_answer(&mut self, now: Mono, profile: &Profile) -> Vec<Fingerprint> {
        let prints = profile.prints.iter().copied();
        let suspected = prints.filter(|print| self.entries.contains_key(print));
        let suspected: Vec<Fingerprint> = suspected.collect();
        for print in &suspected {
            let is_over = |entry: &Entry| {
                let is_other = !entry.rule.matches(profile);
                is_other || entry.until.is_none_or(|until| until <= now)
            };
            if self.entries.get(print).is_some_and(is_over) {
                self.entries.remove(print);
            }
        }
        suspected
    }

    fn entry(&mut self, now: Mono, print: Fingerprint, rule: &Rule) -> Option<&mut Entry> {
        let is_full = self.entries.len() >= MAX_TRACKED && !self.entries.contains_key(&print);
        if is_full {
            return None;
        }
        let entry = self.entries.entry(print).or_insert_with(|| Entry {
            rule: rule.clone(),
            until: None,
            tried: None,
            told: now,
        });
        entry.told = now;
        Some(entry)
    }

    /// Returns whether a request may run. One that is tried after a refusal must be reported
    /// by [`Table::record_loss`] or [`Table::record_answer`].
    pub fn verdict(&mut self, now: Mono, profile: &Profile) -> Verdict {
        let Some(whole) = profile.prints.first() else {
            return Verdict::Clear;
        };
        let mut strictest = None;
        let mut is_concerned = false;
        for print in &profile.prints {
            let Some(entry) = self.entries.get(print) else {
                continue;
            };
            if let Some(wait) = entry.wait(now, profile, whole) {
                is_concerned |= entry.rule.matches(profile);
                strictest = strictest.max(Some((wait, *print)));
            }
        }
        match strictest {
            None => return Verdict::Clear,
            Some((left, print)) if !left.is_zero() => return Verdict::Refused(left, print),
            Some(_) => {}
        }
        for print in &profile.prints {
            let entry = self.entries.get_mut(print);
            if let Some(entry) = entry.filter(|e| e.wait(now, profile, whole).is_some()) {
                entry.tried = Some((now, *whole));
            }
        }
        match is_concerned {
            true => Verdict::Watched,
            false => Verdict::Clear,
        }
    }

    /// Returns whether a request is suspected for one of these fingerprints of it. Unlike
    /// [`Table::verdict`], this tries nothing.
    pub fn is_suspected(&self, profile: &Profile, prints: &[Fingerprint]) -> bool {
        let mut known = prints.iter().filter_map(|print| self.entries.get(print));
        known.any(|entry| entry.rule.matches(profile))
    }

    /// Records that a request was lost with an upstream. If it was tried after a refusal,
    /// requests like it are refused again.
    pub fn record_loss(&mut self, now: Mono, profile: &Profile) {
        for print in &profile.prints {
            let entry = self.entries.get_mut(print);
            let entry = entry.filter(|entry| entry.rule.matches_prints(profile));
            if let Some(entry) = entry.filter(|entry| entry.until.is_some()) {
                entry.rule.narrow(profile);
                entry.until = Some(now + REFUSAL_TIME + self.spread);
                entry.tried = None;
            }
        }
    }

    /// Forgets what is out of date.
    pub fn sweep(&mut self, now: Mono) {
        self.entries.retain(|_, entry| match entry.until {
            Some(until) => now.since(until) < REFUSAL_TIME,
            None => now.since(entry.told) < WATCH_RETENTION,
        });
    }
}

impl Entry {
    fn is_refused(&self, now: Mono) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the time until a request may run, whose own fingerprint is `whole`: zero if it
    /// may run now, and `None` if it isn't concerned.
    fn wait(&self, now: Mono, profile: &Profile, whole: &Fingerprint) -> Option<Duration> {
        if !self.rule.matches_prints(profile) {
            return None;
        }
        let is_own = self.rule.matches(profile);
        let Some(until) = self.until else {
            return is_own.then_some(Duration::ZERO);
        };
        let is_other_tried = self
            .tried
            .is_some_and(|(at, other)| now.since(at) < TRIAL_TIME && other != *whole);
        if is_own && now < until {
            return Some(until.since(now));
        }
        Some(match is_other_tried {
            true => TRIAL_RETRY,
            false => Duration::ZERO,
        })
    }
}
