//! Decides for one host which upstreams are ejected, probed and reinstated.

use std::{collections::HashMap, hash::Hash, time::Duration};

use almondlock_base::time::Mono;
use rand::{Rng, RngCore};

use super::{
    Finding, Sample, Source, Stall, Summary, WINDOW, Window, finding::find_outliers,
    stall::drop_untrusted,
};

/// At most one in this many upstreams of a service is ejected.
const UPSTREAMS_PER_EJECTION: usize = 3;
/// Mean interval between the probes of all hosts together to an ejected upstream that has not
/// answered since. Without ejection an engine gets 1.2 short prompts a second, so that probing it
/// every second would fail nearly as many requests as no ejection.
const PROBE_INTERVAL: Duration = Duration::from_millis(2_000);
/// Mean interval between probes once the upstream answers. It is short, so that a healthy upstream
/// is reinstated soon.
const ANSWERING_PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Number of this host's probes that must succeed in a row to reinstate an upstream. An upstream
/// that fails 45 % of its requests passes that in 9 % of the cases.
const MIN_OWN_PASSES: u32 = 4;
/// Number of answers to all hosts' probes, within a window without a failure, that reinstate an
/// upstream. All hosts have the same reports and reinstate it together.
const MIN_POOLED_PASSES: u32 = 3;
/// Time without a probe after which an upstream is reinstated. Its service may have no requests
/// that can be repeated, or dozens of hosts share the probes without reports of the outcome.
const EJECTION_TIMEOUT: Duration = Duration::from_secs(10);

/// State of an upstream that is slower than others or ejected.
#[derive(Clone, Copy, Debug)]
struct Status {
    /// Work that the upstream does per time, as a part of what it should do.
    relative_rate: f64,
    ejection: Option<Ejection>,
}

/// State of an ejected upstream.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    since: Mono,
    /// Time of this host's last probe, or of the ejection.
    last_probe: Mono,
    /// The start of the pause before this host's next probe, and its length as a multiple of the
    /// mean interval.
    pause: (Mono, f64),
    /// Number of this host's probes answered in a row.
    passes: u32,
    /// Whether answers to probes and no failures are known within the window.
    is_answering: bool,
}

/// An ejection or a reinstatement.
#[derive(Clone, Debug, PartialEq)]
pub struct Change<K> {
    /// The upstream concerned.
    pub key: K,
    /// Whether the upstream is ejected now. It is reinstated otherwise.
    pub is_ejected: bool,
    /// The finding behind the change.
    pub finding: Finding,
}

/// Outlier detector of one host for all its upstreams.
#[derive(Debug)]
pub struct Detector<K> {
    /// This host's own observations.
    windows: HashMap<K, Window>,
    /// Pooled observations of all hosts, as last reported by a relay.
    reported: HashMap<K, Summary>,
    /// Time of the last report.
    reported_at: Option<Mono>,
    /// State of the upstreams that are slower than others or ejected.
    statuses: HashMap<K, Status>,
    /// Delays of the host itself.
    pub stall: Stall,
}

impl<K> Default for Detector<K> {
    fn default() -> Detector<K> {
        Detector {
            windows: HashMap::new(),
            reported: HashMap::new(),
            reported_at: None,
            statuses: HashMap::new(),
            stall: Stall::default(),
        }
    }
}

impl<K> Detector<K>
where
    K: Clone + Eq + Hash,
{
    /// Records an observation of this host. Times are ignored while the host is stalled.
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

    /// Replaces the pooled observations of all hosts with new ones from a relay.
    pub fn replace_reported(&mut self, now: Mono, summaries: HashMap<K, Summary>) {
        self.reported_at = Some(now);
        self.reported = summaries;
    }

    /// Forgets an upstream, since it has been restarted.
    pub fn forget(&mut self, key: &K) {
        self.windows.remove(key);
        self.reported.remove(key);
        self.statuses.remove(key);
    }

    /// Forgets the upstreams that aren't known any more.
    pub fn retain<F>(&mut self, is_known: F)
    where
        F: Fn(&K) -> bool,
    {
        self.windows.retain(|key, _| is_known(key));
        self.reported.retain(|key, _| is_known(key));
        self.statuses.retain(|key, _| is_known(key));
    }

    /// Returns the summaries that this host reports to relays, without those that it doesn't
    /// trust.
    pub fn report(&mut self, now: Mono) -> Vec<(K, Summary)> {
        self.windows.retain(|_, window| !window.is_expired(now));
        let entries = self.windows.iter();
        let (keys, mut summaries): (Vec<&K>, Vec<Summary>) = entries
            .map(|(key, window)| (key, window.summarise(now)))
            .unzip();
        drop_untrusted(&mut summaries);
        let entries = keys.into_iter().cloned().zip(summaries);
        entries
            .filter(|(_, summary)| summary.requests() + summary.time_weight > 0)
            .collect()
    }

    /// Returns the work that an upstream does per time, as a part of what it should do.
    pub fn relative_rate(&self, key: &K) -> f64 {
        self.statuses
            .get(key)
            .map_or(1.0, |status| status.relative_rate)
    }

    /// Whether an upstream is ejected.
    pub fn is_ejected(&self, key: &K) -> bool {
        let status = self.statuses.get(key);
        status.is_some_and(|status| status.ejection.is_some())
    }

    /// Whether any upstream is ejected.
    pub fn has_ejected(&self) -> bool {
        self.statuses.values().any(|s| s.ejection.is_some())
    }

    /// Returns whether a request should be sent to an ejected upstream as a probe now, and
    /// schedules the next probe if so. `hosts` is the number of all hosts, with this one.
    pub fn try_probe<R>(&mut self, now: Mono, key: &K, hosts: usize, rng: &mut R) -> bool
    where
        R: RngCore,
    {
        let has_fresh_reports = self.has_fresh_reports(now);
        let status = self.statuses.get_mut(key);
        let ejection = status.and_then(|status| status.ejection.as_mut());
        let is_due = |ejection: &&mut Ejection| {
            let usual = probe_interval(has_fresh_reports, ejection.is_answering, hosts);
            let (from, multiple) = ejection.pause;
            now >= from + usual.mul_f64(multiple)
        };
        let Some(ejection) = ejection.filter(is_due) else {
            return false;
        };
        ejection.pause = (now, draw_multiple(rng));
        ejection.last_probe = now;
        true
    }

    /// Records the outcome of a request, and returns whether it was a probe: it was sent after
    /// the upstream was ejected.
    pub fn record_probe(&mut self, key: &K, sent: Mono, is_passed: bool) -> bool {
        let status = self.statuses.get_mut(key);
        let ejection = status.and_then(|status| status.ejection.as_mut());
        let Some(ejection) = ejection.filter(|ejection| sent >= ejection.since) else {
            return false;
        };
        ejection.passes = if is_passed { ejection.passes + 1 } else { 0 };
        true
    }

    /// Whether a relay has reported within the window.
    fn has_fresh_reports(&self, now: Mono) -> bool {
        self.reported_at.is_some_and(|at| now.since(at) < WINDOW)
    }

    /// Evaluates the upstreams of a service anew, ejects and reinstates them, and returns the
    /// changes.
    pub fn review<R>(&mut self, now: Mono, members: &[K], rng: &mut R) -> Vec<Change<K>>
    where
        R: RngCore,
    {
        let found = self.evaluate(now, members);
        let mut changes = Vec::new();
        // Reinstated upstreams are left out, since their earlier observations don't count.
        let mut others: Vec<(&K, &Finding)> = Vec::new();
        for (key, finding) in members.iter().zip(&found) {
            self.update_answering(now, key, finding, rng);
            if !self.may_reinstate(now, key, finding) {
                others.push((key, finding));
            } else {
                self.statuses.remove(key);
                self.windows.remove(key);
                changes.push(Change {
                    key: key.clone(),
                    is_ejected: false,
                    finding: *finding,
                });
            }
        }
        for (key, finding) in others.iter().copied() {
            match self.statuses.get_mut(key) {
                Some(status) => status.relative_rate = finding.relative_rate,
                None if finding.relative_rate < 1.0 => {
                    let (relative_rate, ejection) = (finding.relative_rate, None);
                    self.statuses.insert(
                        key.clone(),
                        Status {
                            relative_rate,
                            ejection,
                        },
                    );
                }
                None => {}
            }
        }
        let room = members.len() / UPSTREAMS_PER_EJECTION;
        changes.extend(self.eject(now, room, others, rng));
        self.statuses
            .retain(|_, s| s.ejection.is_some() || s.relative_rate < 1.0);
        changes
    }

    /// Returns a finding for each upstream, the worse one of this host's own observations and of
    /// the reported ones.
    fn evaluate(&self, now: Mono, members: &[K]) -> Vec<Finding> {
        let own = members.iter().map(|key| self.windows.get(key));
        let own = own.map(|window| window.map(|w| w.summarise(now)).unwrap_or_default());
        let mut own: Vec<Summary> = own.collect();
        drop_untrusted(&mut own);
        let reported = members.iter().map(|key| self.reported_summary(now, key));
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
                    _ if own.relative_rate < reported.relative_rate => own,
                    _ => reported,
                },
            )
            .collect()
    }

    /// Returns the reported summary of an upstream if it is fresh and from several hosts, and an
    /// empty one otherwise.
    fn reported_summary(&self, now: Mono, key: &K) -> Summary {
        let summary = self.fresh_report(now, key);
        Some(summary).filter(|a| a.hosts >= 2).unwrap_or_default()
    }

    /// Returns the reported summary of an upstream if it is fresh, and an empty one otherwise.
    fn fresh_report(&self, now: Mono, key: &K) -> Summary {
        let summary = self.reported.get(key).copied();
        let fresh = summary.filter(|summary| now.since(summary.newest) < WINDOW);
        fresh.unwrap_or_default()
    }

    /// Records whether an ejected upstream answers the probes of all hosts.
    fn update_answering<R>(&mut self, now: Mono, key: &K, finding: &Finding, rng: &mut R)
    where
        R: RngCore,
    {
        // The report of one host is enough here: it only makes the others probe sooner.
        let summary = self.fresh_report(now, key);
        let status = self.statuses.get_mut(key);
        if let Some(ejection) = status.and_then(|status| status.ejection.as_mut()) {
            // Observations from before the ejection are older than the window.
            let is_over = now.since(ejection.since) >= WINDOW;
            let is_well = summary.capped_failures == 0 && !finding.is_outlier;
            let is_answering = is_over && is_well && summary.answers > 0;
            if is_answering != ejection.is_answering {
                ejection.is_answering = is_answering;
                // The pause is drawn anew, since the hosts that have not probed yet are those
                // with long pauses.
                ejection.pause = (now, draw_multiple(rng));
            }
        }
    }

    /// Whether an ejected upstream is to be reinstated.
    fn may_reinstate(&self, now: Mono, key: &K, finding: &Finding) -> bool {
        let status = self.statuses.get(key);
        let Some(ejection) = status.and_then(|status| status.ejection) else {
            return false;
        };
        // Observations from before the ejection are older than the window.
        let is_over = now.since(ejection.since) >= WINDOW;
        let summary = self.reported_summary(now, key);
        let passed = summary.answers >= MIN_POOLED_PASSES && summary.capped_failures == 0;
        let is_unknown = self.fresh_report(now, key).requests() == 0 && !finding.is_outlier;
        let is_expired = now.since(ejection.last_probe) >= EJECTION_TIMEOUT && is_unknown;
        let is_well = finding.relative_rate >= 1.0;
        let is_contradicted = finding.is_outlier && finding.source == Source::Reported;
        ejection.passes >= MIN_OWN_PASSES && !is_contradicted
            || is_over && passed && is_well
            || is_expired
    }

    /// Ejects the worst outliers, up to `most` ejected upstreams in all. If more are ejected, the
    /// best of them are reinstated.
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
        outliers.sort_by(|a, b| a.1.relative_rate.total_cmp(&b.1.relative_rate));
        outliers.truncate(room);
        let mut changes = Vec::new();
        // More than `most` may be ejected, since other upstreams have left or are evacuated.
        ejected.sort_by(|a, b| a.1.relative_rate.total_cmp(&b.1.relative_rate));
        for (key, finding) in ejected.into_iter().skip(most) {
            if let Some(status) = self.statuses.get_mut(key) {
                status.ejection = None;
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
                last_probe: now,
                pause: (now, draw_multiple(rng)),
                passes: 0,
                is_answering: false,
            };
            let status = Status {
                relative_rate: finding.relative_rate,
                ejection: Some(ejection),
            };
            self.statuses.insert(key.clone(), status);
            changes.push(Change {
                key: key.clone(),
                is_ejected: true,
                finding: *finding,
            });
        }
        changes
    }
}

/// Returns the mean interval between two probes of one host, out of `hosts`.
fn probe_interval(has_fresh_reports: bool, is_answering: bool, hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
    // Without reports the other hosts don't know that the upstream answers.
    let pause = match has_fresh_reports && is_answering {
        true => ANSWERING_PROBE_INTERVAL,
        false => PROBE_INTERVAL,
    };
    pause.saturating_mul(hosts)
}

/// Draws the length of a pause as a multiple of the mean interval. The multiple is exponentially
/// distributed, so that all hosts together probe at the intended rate from the start, and also
/// after the mean interval changes.
fn draw_multiple<R>(rng: &mut R) -> f64
where
    R: RngCore,
{
    -rng.random_range(1e-3..1.0_f64).ln()
}
