//! Who is ejected, probed and reinstated, as one host decides.

use std::{collections::HashMap, hash::Hash, time::Duration};

use almondlock_base::time::Mono;
use rand::{Rng, RngCore};

use super::{
    Finding, Sample, Source, Stall, Summary, WINDOW, Window, finding::find_outliers,
    stall::drop_untrusted,
};

/// Of a service's upstreams at most one in so many is ejected.
const EJECTED: usize = 3;
/// Between the probes that all hosts together send to an ejected upstream that hasn't answered
/// since. An engine gets 1.2 short prompts a second otherwise: a probe each second fails as
/// many requests as no ejection at all.
const PROBE: Duration = Duration::from_millis(2_000);
/// The same once it answers: it is to be back soon if it is well.
const PROBE_ANSWERING: Duration = Duration::from_millis(400);
/// Probes that one host must see answered in a row to reinstate an upstream. Of one that fails
/// 45 requests in 100 nine in 100 pass.
const PASSED: u32 = 4;
/// The same over all hosts, within a window without a failure. All hosts know the same then,
/// and reinstate it together.
const PASSED_POOLED: u32 = 3;
/// An upstream that no request could probe for this long is reinstated: its service has none
/// that may be repeated, or dozens of hosts share the probes and don't hear of their outcome.
const EXPIRES: Duration = Duration::from_secs(10);

/// How an upstream stands that is not as it should be.
#[derive(Clone, Copy, Debug)]
struct Standing {
    rate: f64,
    ejection: Option<Ejection>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    since: Mono,
    /// When it was last probed by this host, or ejected.
    probed: Mono,
    /// The pause from then until this host's next probe, as a multiple of the usual one.
    pause: (Mono, f64),
    /// Probes of this host answered in a row.
    passed: u32,
    /// Answers to probes and no failures are known within the window.
    is_answering: bool,
}

/// A change of what the host believes.
#[derive(Clone, Debug, PartialEq)]
pub struct Change<K> {
    /// The upstream.
    pub key: K,
    /// Whether it is ejected now.
    pub is_ejected: bool,
    /// What that rests on.
    pub finding: Finding,
}

/// What a host knows of the upstreams' pace.
#[derive(Debug)]
pub struct Detector<K> {
    windows: HashMap<K, Window>,
    reported: HashMap<K, Summary>,
    heard: Option<Mono>,
    /// Those that are slower than others or ejected.
    standings: HashMap<K, Standing>,
    /// The host's own delays.
    pub stall: Stall,
}

impl<K> Default for Detector<K> {
    fn default() -> Detector<K> {
        Detector {
            windows: HashMap::new(),
            reported: HashMap::new(),
            heard: None,
            standings: HashMap::new(),
            stall: Stall::default(),
        }
    }
}

impl<K> Detector<K>
where
    K: Clone + Eq + Hash,
{
    /// Takes in what this host observed. Times don't count while its timers are late.
    pub fn observe(&mut self, now: Mono, key: &K, sample: Sample) {
        if matches!(sample, Sample::Time(_)) && self.stall.is_stalled(now) {
            return;
        }
        match self.windows.get_mut(key) {
            Some(window) => window.observe(now, sample),
            None => {
                let mut window = Window::default();
                window.observe(now, sample);
                self.windows.insert(key.clone(), window);
            }
        }
    }

    /// A relay told what all hosts observed; that replaces what was told before.
    pub fn replace_reported(&mut self, now: Mono, accounts: HashMap<K, Summary>) {
        self.heard = Some(now);
        self.reported = accounts;
    }

    /// Another life of an upstream has begun.
    pub fn forget(&mut self, key: &K) {
        self.windows.remove(key);
        self.reported.remove(key);
        self.standings.remove(key);
    }

    /// Forgets upstreams that are gone.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&K) -> bool,
    {
        self.windows.retain(|key, _| is_known(key));
        self.reported.retain(|key, _| is_known(key));
        self.standings.retain(|key, _| is_known(key));
    }

    /// What this host has to report: its accounts as far as it trusts itself.
    pub fn report(&mut self, now: Mono) -> Vec<(K, Summary)> {
        self.windows.retain(|_, window| !window.is_expired(now));
        let entries = self.windows.iter();
        let (keys, mut accounts): (Vec<&K>, Vec<Summary>) = entries
            .map(|(key, window)| (key, window.summarise(now)))
            .unzip();
        drop_untrusted(&mut accounts);
        let entries = keys.into_iter().cloned().zip(accounts);
        entries
            .filter(|(_, account)| account.requests() + account.time_weight > 0)
            .collect()
    }

    /// Work that an upstream does in a time, against what it should.
    pub fn rate(&self, key: &K) -> f64 {
        self.standings
            .get(key)
            .map_or(1.0, |standing| standing.rate)
    }

    /// Whether an upstream is ejected.
    pub fn is_ejected(&self, key: &K) -> bool {
        let standing = self.standings.get(key);
        standing.is_some_and(|standing| standing.ejection.is_some())
    }

    /// Whether any upstream is ejected.
    pub fn has_ejected(&self) -> bool {
        self.standings.values().any(|s| s.ejection.is_some())
    }

    /// Takes the right to probe an ejected upstream with a request, if its turn has come.
    /// `hosts` counts all hosts, this one included.
    pub fn try_probe<R>(&mut self, now: Mono, key: &K, hosts: usize, rng: &mut R) -> bool
    where
        R: RngCore,
    {
        let is_heard = self.is_heard(now);
        let standing = self.standings.get_mut(key);
        let ejection = standing.and_then(|standing| standing.ejection.as_mut());
        let is_due = |ejection: &&mut Ejection| {
            let usual = probe_pause(is_heard, ejection.is_answering, hosts);
            let (from, multiple) = ejection.pause;
            now >= from + usual.mul_f64(multiple)
        };
        let Some(ejection) = ejection.filter(is_due) else {
            return false;
        };
        ejection.pause = (now, drawn(rng));
        ejection.probed = now;
        true
    }

    /// A request ended. Gives whether it was a probe: it was sent at a time when the
    /// upstream was ejected.
    pub fn record_probe(&mut self, key: &K, sent: Mono, is_passed: bool) -> bool {
        let standing = self.standings.get_mut(key);
        let ejection = standing.and_then(|standing| standing.ejection.as_mut());
        let Some(ejection) = ejection.filter(|ejection| sent >= ejection.since) else {
            return false;
        };
        ejection.passed = if is_passed { ejection.passed + 1 } else { 0 };
        true
    }

    fn is_heard(&self, now: Mono) -> bool {
        self.heard.is_some_and(|at| now.since(at) < WINDOW)
    }

    /// Judges the upstreams of a service anew, and gives what has changed.
    pub fn review<R>(&mut self, now: Mono, members: &[K], rng: &mut R) -> Vec<Change<K>>
    where
        R: RngCore,
    {
        let found = self.find(now, members);
        let mut changes = Vec::new();
        // Without those that are reinstated: what they did before counts no more.
        let mut others: Vec<(&K, &Finding)> = Vec::new();
        for (key, finding) in members.iter().zip(&found) {
            self.note_answers(now, key, finding, rng);
            if !self.is_reinstated(now, key, finding) {
                others.push((key, finding));
            } else {
                self.standings.remove(key);
                self.windows.remove(key);
                changes.push(Change {
                    key: key.clone(),
                    is_ejected: false,
                    finding: *finding,
                });
            }
        }
        for (key, finding) in others.iter().copied() {
            match self.standings.get_mut(key) {
                Some(standing) => standing.rate = finding.rate,
                None if finding.rate < 1.0 => {
                    let (rate, ejection) = (finding.rate, None);
                    self.standings
                        .insert(key.clone(), Standing { rate, ejection });
                }
                None => {}
            }
        }
        let room = members.len() / EJECTED;
        changes.extend(self.eject(now, room, others, rng));
        self.standings
            .retain(|_, s| s.ejection.is_some() || s.rate < 1.0);
        changes
    }

    /// What own observations and reported ones say, the worse of both.
    fn find(&self, now: Mono, members: &[K]) -> Vec<Finding> {
        let own = members.iter().map(|key| self.windows.get(key));
        let own = own.map(|window| window.map(|w| w.summarise(now)).unwrap_or_default());
        let mut own: Vec<Summary> = own.collect();
        drop_untrusted(&mut own);
        let reported = members.iter().map(|key| self.reported_account(now, key));
        let reported: Vec<Summary> = reported.collect();
        let all = [&own[..], &reported[..]];
        let own_found = find_outliers(&own, Source::Own, all);
        let reported = find_outliers(&reported, Source::Reported, all);
        let pairs = own_found.into_iter().zip(reported);
        pairs
            .map(
                |(own, reported)| match (own.is_outlier, reported.is_outlier) {
                    (true, false) => own,
                    (false, true) => reported,
                    _ if own.rate < reported.rate => own,
                    _ => reported,
                },
            )
            .collect()
    }

    /// What was reported of an upstream, if it is fresh and several hosts observed it.
    fn reported_account(&self, now: Mono, key: &K) -> Summary {
        let account = self.fresh_report(now, key);
        Some(account).filter(|a| a.hosts >= 2).unwrap_or_default()
    }

    fn fresh_report(&self, now: Mono, key: &K) -> Summary {
        let account = self.reported.get(key).copied();
        let fresh = account.filter(|account| now.since(account.newest) < WINDOW);
        fresh.unwrap_or_default()
    }

    /// Notes whether an ejected upstream answers the probes of all hosts.
    fn note_answers<R>(&mut self, now: Mono, key: &K, finding: &Finding, rng: &mut R)
    where
        R: RngCore,
    {
        // One host's word is enough here: it makes the others probe sooner.
        let account = self.fresh_report(now, key);
        let standing = self.standings.get_mut(key);
        if let Some(ejection) = standing.and_then(|standing| standing.ejection.as_mut()) {
            // What was observed before the ejection is too old by now.
            let is_over = now.since(ejection.since) >= WINDOW;
            let is_well = account.capped_failures == 0 && !finding.is_outlier;
            let is_answering = is_over && is_well && account.answers > 0;
            if is_answering != ejection.is_answering {
                ejection.is_answering = is_answering;
                // Drawn anew: hosts that have not probed yet are those with long pauses.
                ejection.pause = (now, drawn(rng));
            }
        }
    }

    fn is_reinstated(&self, now: Mono, key: &K, finding: &Finding) -> bool {
        let standing = self.standings.get(key);
        let Some(ejection) = standing.and_then(|standing| standing.ejection) else {
            return false;
        };
        // What was observed before the ejection is too old by now.
        let is_over = now.since(ejection.since) >= WINDOW;
        let account = self.reported_account(now, key);
        let passed = account.answers >= PASSED_POOLED && account.capped_failures == 0;
        let is_unknown = self.fresh_report(now, key).requests() == 0 && !finding.is_outlier;
        let is_expired = now.since(ejection.probed) >= EXPIRES && is_unknown;
        let is_well = finding.rate >= 1.0;
        let is_contradicted = finding.is_outlier && finding.source == Source::Reported;
        ejection.passed >= PASSED && !is_contradicted || is_over && passed && is_well || is_expired
    }

    /// Ejects the worst outliers, at most `most` in all, and reinstates the best of those beyond
    /// that.
    fn eject<R>(
        &mut self,
        now: Mono,
        most: usize,
        others: Vec<(&K, &Finding)>,
        rng: &mut R,
    ) -> Vec<Change<K>>
    where
        R: RngCore,
    {
        let (mut ejected, mut outliers): (Vec<_>, Vec<_>) = others
            .into_iter()
            .partition(|(key, _)| self.is_ejected(key));
        outliers.retain(|(_, finding)| finding.is_outlier);
        let room = most.saturating_sub(ejected.len());
        outliers.sort_by(|a, b| a.1.rate.total_cmp(&b.1.rate));
        outliers.truncate(room);
        let mut changes = Vec::new();
        // More than that are left ejected once others leave or are evacuated.
        ejected.sort_by(|a, b| a.1.rate.total_cmp(&b.1.rate));
        for (key, finding) in ejected.into_iter().skip(most) {
            if let Some(standing) = self.standings.get_mut(key) {
                standing.ejection = None;
            }
            changes.push(Change {
                key: key.clone(),
                is_ejected: false,
                finding: *finding,
            });
        }
        for (key, finding) in outliers {
            let ejection = Ejection {
                since: now,
                probed: now,
                pause: (now, drawn(rng)),
                passed: 0,
                is_answering: false,
            };
            let standing = Standing {
                rate: finding.rate,
                ejection: Some(ejection),
            };
            self.standings.insert(key.clone(), standing);
            changes.push(Change {
                key: key.clone(),
                is_ejected: true,
                finding: *finding,
            });
        }
        changes
    }
}

/// Between two probes of one host, of so many.
fn probe_pause(is_heard: bool, is_answering: bool, hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
    // Without reports the others wouldn't know that it answers.
    let pause = match is_heard && is_answering {
        true => PROBE_ANSWERING,
        false => PROBE,
    };
    pause.saturating_mul(hosts)
}

/// A multiple of a pause, exponentially distributed: the probes of all hosts together come at
/// the intended rate from the start, also when the usual pause changes.
fn drawn<R>(rng: &mut R) -> f64
where
    R: RngCore,
{
    -rng.random_range(1e-3..1.0_f64).ln()
}
