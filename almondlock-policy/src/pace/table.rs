//! Who is ejected, probed and reinstated, as one host decides.

use std::{collections::HashMap, hash::Hash, time::Duration};

use almondlock_base::time::Mono;
use rand::{Rng, RngCore};

use super::{
    Account, Doubt, Finding, Sample, Source, WINDOW, Window, doubt::trusted, judge::findings,
};

/// Of a service's upstreams at most one in so many is ejected.
const EJECTED: usize = 3;
/// Between the probes that all hosts together send to an ejected upstream.
const PROBE: Duration = Duration::from_millis(250);
/// Between those of one host that hears of no other hosts' observations.
const PROBE_ALONE: Duration = Duration::from_secs(1);
/// Probes that one host must see answered in a row to reinstate an upstream. Of one that fails
/// 45 requests in 100 nine in 100 pass.
const PASSED: u32 = 4;
/// The same over all hosts, within the window and without a failure: three in 100 pass.
const PASSED_POOLED: u32 = 5;
/// An upstream that no request could probe for this long is reinstated: its service has none
/// that may be repeated.
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
    /// When this host may probe it next.
    next: Mono,
    /// Probes answered in a row.
    passed: u32,
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
pub struct Table<K> {
    windows: HashMap<K, Window>,
    reported: HashMap<K, Account>,
    heard: Option<Mono>,
    /// Those that are slower than others or ejected.
    standings: HashMap<K, Standing>,
    /// The host's own delays.
    pub doubt: Doubt,
}

impl<K> Default for Table<K> {
    fn default() -> Table<K> {
        Table {
            windows: HashMap::new(),
            reported: HashMap::new(),
            heard: None,
            standings: HashMap::new(),
            doubt: Doubt::default(),
        }
    }
}

impl<K> Table<K>
where
    K: Clone + Eq + Hash,
{
    /// Takes in what this host observed. Times don't count while its timers are late.
    pub fn tell(&mut self, now: Mono, key: &K, sample: Sample) {
        if matches!(sample, Sample::Time(_)) && self.doubt.is_late(now) {
            return;
        }
        match self.windows.get_mut(key) {
            Some(window) => window.tell(now, sample),
            None => {
                let mut window = Window::default();
                window.tell(now, sample);
                self.windows.insert(key.clone(), window);
            }
        }
    }

    /// A relay told what all hosts observed; that replaces what was told before.
    pub fn hear(&mut self, now: Mono, accounts: HashMap<K, Account>) {
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
    pub fn report(&mut self, now: Mono) -> Vec<(K, Account)> {
        self.windows.retain(|_, window| !window.is_old(now));
        let entries = self.windows.iter();
        let (keys, mut accounts): (Vec<&K>, Vec<Account>) = entries
            .map(|(key, window)| (key, window.account(now)))
            .unzip();
        trusted(&mut accounts);
        let entries = keys.into_iter().cloned().zip(accounts);
        entries
            .filter(|(_, account)| account.requests() + account.samples > 0)
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
    pub fn probe<R>(&mut self, now: Mono, key: &K, hosts: usize, rng: &mut R) -> bool
    where
        R: RngCore,
    {
        let pause = self.probe_pause(now, hosts, rng);
        let standing = self.standings.get_mut(key);
        let ejection = standing.and_then(|standing| standing.ejection.as_mut());
        let Some(ejection) = ejection.filter(|ejection| now >= ejection.next) else {
            return false;
        };
        ejection.next = now + pause;
        ejection.probed = now;
        true
    }

    /// A request ended. Gives whether it was a probe: it was sent at a time when the
    /// upstream was ejected.
    pub fn probed(&mut self, key: &K, sent: Mono, is_passed: bool) -> bool {
        let standing = self.standings.get_mut(key);
        let ejection = standing.and_then(|standing| standing.ejection.as_mut());
        let Some(ejection) = ejection.filter(|ejection| sent >= ejection.since) else {
            return false;
        };
        ejection.passed = if is_passed { ejection.passed + 1 } else { 0 };
        true
    }

    /// Until this host's next probe. Drawn, so that hosts don't probe at the same time.
    fn probe_pause<R>(&self, now: Mono, hosts: usize, rng: &mut R) -> Duration
    where
        R: RngCore,
    {
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        let pause = match self.is_heard(now) {
            true => PROBE.saturating_mul(hosts),
            false => PROBE_ALONE,
        };
        pause.mul_f64(rng.random_range(0.5..1.5))
    }

    fn is_heard(&self, now: Mono) -> bool {
        self.heard.is_some_and(|at| now.since(at) < WINDOW)
    }

    /// Judges the upstreams of a service anew, and gives what has changed. `hosts` counts
    /// all hosts, this one included.
    pub fn review<R>(
        &mut self,
        now: Mono,
        members: &[K],
        hosts: usize,
        rng: &mut R,
    ) -> Vec<Change<K>>
    where
        R: RngCore,
    {
        let found = self.find(now, members);
        let mut changes = Vec::new();
        // Without those that are reinstated: what they did before counts no more.
        let mut others: Vec<(&K, &Finding)> = Vec::new();
        for (key, finding) in members.iter().zip(&found) {
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
        changes.extend(self.eject(now, room, others, hosts, rng));
        self.standings
            .retain(|_, s| s.ejection.is_some() || s.rate < 1.0);
        changes
    }

    /// What own observations and reported ones say, the worse of both.
    fn find(&self, now: Mono, members: &[K]) -> Vec<Finding> {
        let own = members.iter().map(|key| self.windows.get(key));
        let own = own.map(|window| window.map(|w| w.account(now)).unwrap_or_default());
        let mut own: Vec<Account> = own.collect();
        trusted(&mut own);
        let reported = members.iter().map(|key| self.reported_account(now, key));
        let reported: Vec<Account> = reported.collect();
        let own = findings(&own, Source::Own);
        let reported = findings(&reported, Source::Reported);
        let pairs = own.into_iter().zip(reported);
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
    fn reported_account(&self, now: Mono, key: &K) -> Account {
        let account = self.reported.get(key).copied();
        let fresh = account.filter(|a| a.hosts >= 2 && now.since(a.at) < WINDOW);
        fresh.unwrap_or_default()
    }

    fn is_reinstated(&self, now: Mono, key: &K, finding: &Finding) -> bool {
        let standing = self.standings.get(key);
        let Some(ejection) = standing.and_then(|standing| standing.ejection) else {
            return false;
        };
        let account = self.reported_account(now, key);
        // What was observed before the ejection is too old by now.
        let is_over = now.since(ejection.since) >= WINDOW;
        let passed = account.answers >= PASSED_POOLED && account.failures == 0;
        let is_expired = now.since(ejection.probed) >= EXPIRES && !finding.is_outlier;
        let is_well = finding.rate >= 1.0;
        let is_contradicted = finding.is_outlier && finding.source == Source::Reported;
        ejection.passed >= PASSED && !is_contradicted || is_over && passed && is_well || is_expired
    }

    /// Ejects the worst outliers, at most `most` in all.
    fn eject<R>(
        &mut self,
        now: Mono,
        most: usize,
        others: Vec<(&K, &Finding)>,
        hosts: usize,
        rng: &mut R,
    ) -> Vec<Change<K>>
    where
        R: RngCore,
    {
        let (ejected, mut outliers): (Vec<_>, Vec<_>) = others
            .into_iter()
            .partition(|(key, _)| self.is_ejected(key));
        outliers.retain(|(_, finding)| finding.is_outlier);
        let room = most.saturating_sub(ejected.len());
        outliers.sort_by(|a, b| a.1.rate.total_cmp(&b.1.rate));
        outliers.truncate(room);
        let mut changes = Vec::new();
        for (key, finding) in outliers {
            let ejection = Ejection {
                since: now,
                probed: now,
                next: now + self.probe_pause(now, hosts, rng),
                passed: 0,
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
