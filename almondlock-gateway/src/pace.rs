//! Judges upstreams by their speed and failures over all hosts: records what this host
//! observes, and applies the decisions of [`almondlock_policy::outlier`].
//!
//! None of this has an effect unless the settings ask for it ([`crate::worker::Features`]).

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    time::Duration,
};

use almondlock_base::{
    id::{Service, Upstream},
    time::Mono,
};
use almondlock_node::clock;
use almondlock_policy::outlier::{Change, Detector, Sample, Summary};

use crate::{
    attempt::Fault,
    dialect::Dialect,
    exchange::{MAX_PACES, Pace},
    failure::Failure,
    load::Key,
    pick::{self, Candidate, Choice},
    request::{History, Request},
    worker::{Target, Worker},
};

/// Minimum time between two reviews of a service's upstreams.
const REVIEW_PERIOD: Duration = Duration::from_millis(200);
/// Time by which a first event is usually later than expected while the fleet is loaded.
const FIRST_SLACK: Duration = Duration::from_millis(100);
/// Time by which a few events of a stream are usually later: a short prompt is read
/// meanwhile.
const EVENTS_SLACK: Duration = Duration::from_millis(60);
/// Time by which an answer that is not a stream is usually later than the median.
const PLAIN_SLACK: Duration = Duration::from_millis(20);
/// A shorter silence is due to the request's own short timeout, and not the upstream's
/// fault.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// Number of events that are timed together, so that the pause of a single pass doesn't
/// count.
pub(crate) const EVENTS: u64 = 3;
/// A probe passes if it takes less than this number of times the expected time.
const MAX_PROBE_MULTIPLE: f64 = 2.0;
/// Maximum and minimum number of times of a service's plain answers that its median is
/// taken over. With fewer there is no median.
const MAX_PLAIN_TIMES: usize = 48;
const MIN_PLAIN_TIMES: usize = 8;
/// Maximum number of log lines within a time span. The metrics count all changes.
const MAX_LINES: u32 = 32;
const LINES_SPAN: Duration = Duration::from_secs(10);

/// What this host knows of the upstreams' pace.
#[derive(Debug, Default)]
pub(crate) struct Pacing {
    table: RefCell<Detector<Upstream>>,
    /// When each service's upstreams are reviewed next.
    due: RefCell<HashMap<Service, Mono>>,
    /// Seconds that each service's last plain answers took.
    plain: RefCell<HashMap<Service, VecDeque<f64>>>,
    /// Start of the present time span, and the number of log lines within it.
    lines: RefCell<(Mono, u32)>,
}

impl Pacing {
    /// Forgets what was observed of an upstream, as after its restart.
    pub(crate) fn forget(&self, upstream: &Upstream) {
        self.table.borrow_mut().forget(upstream);
    }

    /// Forgets all upstreams for which `is_known` is false.
    pub(crate) fn retain<F>(&self, is_known: F)
    where
        F: Fn(&Upstream) -> bool,
    {
        self.table.borrow_mut().retain(is_known);
    }

    /// Returns the rate of an upstream, and whether it is ejected.
    pub(crate) fn rate_and_ejection(&self, upstream: &Upstream) -> (f64, bool) {
        let table = self.table.borrow();
        (table.relative_rate(upstream), table.is_ejected(upstream))
    }

    /// Records that a timer of this host fired too late by this time.
    pub(crate) fn record_late_timer(&self, now: Mono, by: Duration) {
        self.table.borrow_mut().stall.note_delay(now, by);
    }

    /// Adds the time of a plain answer of a service, and returns the median time.
    fn update_median(&self, service: &Service, spent: Duration) -> Option<Duration> {
        let mut plain = self.plain.borrow_mut();
        let times = plain.entry(service.clone()).or_default();
        if times.len() >= MAX_PLAIN_TIMES {
            times.pop_front();
        }
        times.push_back(spent.as_secs_f64());
        if times.len() < MIN_PLAIN_TIMES {
            return None;
        }
        let mut sorted: Vec<f64> = times.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        Some(Duration::from_secs_f64(sorted[sorted.len() / 2]))
    }

    /// Counts a log line, and returns whether it may be written.
    fn may_log(&self, now: Mono) -> bool {
        let mut lines = self.lines.borrow_mut();
        if now.since(lines.0) >= LINES_SPAN {
            *lines = (now, 0);
        }
        lines.1 += 1;
        lines.1 <= MAX_LINES
    }
}

/// When an attempt was sent and what was expected of it, to compare with its answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub(crate) at: Mono,
    /// Expected time until the first event, for an upstream that is as fast as its figures
    /// say. `None` if other engines take part, on which the time depends too.
    pub(crate) expected: Option<Duration>,
}

impl Sent {
    pub(crate) fn new<D>(
        worker: &Worker<D>,
        request: &Request,
        (choice, upstream): (&Choice, &Upstream),
        after: Option<u64>,
    ) -> Sent
    where
        D: Dialect,
    {
        let is_alone = choice.helpers.is_empty() && choice.shares.is_empty();
        // There is no expected time for upstreams that are not engines.
        let is_engine = request.demand.is_some() && !choice.expected.is_zero();
        let is_timed = is_alone && after.is_none() && is_engine;
        // Placement divides the expected time by the upstream's rate; this takes it back.
        let (rate, is_ejected) = worker.pacing.rate_and_ejection(upstream);
        let rate = if is_ejected { 1.0 } else { rate };
        Sent {
            at: clock::mono(),
            expected: is_timed.then(|| choice.expected.mul_f64(rate)),
        }
    }
}

impl<D> Worker<D>
where
    D: Dialect,
{
    /// Reviews the upstreams of a service, if that is due.
    pub(crate) fn review_pace(&self, now: Mono, service: &Service) {
        if !self.features.observed_pace {
            return;
        }
        let due = self.pacing.due.borrow().get(service).copied();
        if due.is_some_and(|due| now < due) {
            return;
        }
        let next = now + REVIEW_PERIOD;
        self.pacing.due.borrow_mut().insert(service.clone(), next);
        let known = self.snapshot();
        let targets = known.instances.get(service).into_iter().flatten();
        let members: Vec<Upstream> = targets.map(|target| target.name.clone()).collect();
        let changes = {
            let mut rng = self.rng.borrow_mut();
            let mut table = self.pacing.table.borrow_mut();
            table.review(now, &members, &mut *rng)
        };
        for change in &changes {
            self.log_change(now, service, change);
        }
    }

    /// Counts and logs an ejection or reinstatement.
    fn log_change(&self, now: Mono, service: &Service, change: &Change<Upstream>) {
        let kind = if change.is_ejected {
            "ejected"
        } else {
            "reinstated"
        };
        self.shared.metrics.count("ejections", kind);
        if !self.pacing.may_log(now) {
            return;
        }
        let finding = &change.finding;
        tracing::info!(
            upstream = %change.key, %service, change = kind, rate = finding.relative_rate,
            slowness = finding.slowness, failures = finding.failure_share,
            observations = finding.observations, source = finding.source.as_str(),
            age_ms = now.since(finding.newest).as_millis(), "upstream ejected or reinstated"
        );
    }

    /// Returns an ejected upstream for a request to probe, instead of placing the request.
    /// Such a request may be repeated, is read by one upstream, and has time left for
    /// another attempt.
    pub(crate) fn probe(
        &self,
        now: Mono,
        request: &Request,
        targets: &[Target],
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let needed = request.route.objective * 2;
        if !self.pacing.table.borrow().has_ejected()
            || !request.route.kind.is_idempotent()
            || request.route.attempts < 2
            || request.last_event.is_some()
            || request.time_left(now) < needed
        {
            return None;
        }
        let known = self.snapshot();
        let rules = known.rules.as_ref()?;
        let speed = rules.service(&request.service)?.engine.as_ref();
        let engine = speed.zip(request.demand);
        if engine.is_some_and(|(speed, demand)| {
            speed.reading_time(demand.prompt) > pick::MAX_SHORT_READING
        }) {
            return None;
        }
        let hosts = self.load.borrow().other_hosts(now) + 1;
        // The table is borrowed only here, since a new configuration removes upstreams from
        // it.
        let mut table = self.pacing.table.borrow_mut();
        let mut rng = self.rng.borrow_mut();
        let mut ejected = targets.iter().zip(candidates).enumerate();
        let (place, (target, candidate)) = ejected.find(|(_, (target, candidate))| {
            candidate.ejected
                && !candidate.suspect
                && !candidate.full
                && table.try_probe(now, &target.name, hosts, &mut *rng)
        })?;
        let candidate = Candidate {
            ejected: false,
            rate: 1.0,
            ..*candidate
        };
        let choice = match engine {
            Some((speed, demand)) => pick::choose_engine(speed, demand, &[candidate], &mut *rng),
            None => pick::choose_plain(&[candidate], &mut *rng),
        };
        let choice = choice.ok()?;
        tracing::info!(request = %request.id, upstream = %target.name, "probe");
        Some(Choice {
            primary: place,
            ..choice
        })
    }

    /// Returns whether a request to an upstream probes it.
    pub(crate) fn is_probe(&self, upstream: &Upstream) -> bool {
        self.features.observed_pace && self.pacing.table.borrow().is_ejected(upstream)
    }

    /// Records that the first event or a whole answer came.
    pub(crate) fn observe_answer(&self, request: &Request, upstream: &Upstream, sent: &Sent) {
        if !self.features.observed_pace {
            return;
        }
        let now = clock::mono();
        let spent = now.since(sent.at);
        let time = match (request.route.kind.is_stream(), sent.expected) {
            (true, Some(expected)) => Some(Sample::time(spent, expected, FIRST_SLACK)),
            (false, None) => {
                let usual = self.pacing.update_median(&request.service, spent);
                usual.map(|usual| Sample::time(spent, usual, PLAIN_SLACK))
            }
            _ => None,
        };
        let mut table = self.pacing.table.borrow_mut();
        table.observe(now, upstream, Sample::Answer);
        let mut is_passed = true;
        if let Some(Sample::Time(multiple)) = time {
            is_passed = multiple < MAX_PROBE_MULTIPLE;
            table.observe(now, upstream, Sample::Time(multiple));
        }
        let is_probe = table.record_probe(upstream, sent.at, is_passed);
        drop(table);
        self.count_probe(is_probe, if is_passed { "passed" } else { "slow" });
    }

    /// Records that events of a stream came after being waited for.
    pub(crate) fn observe_events(
        &self,
        request: &Request,
        upstream: &Upstream,
        events: u64,
        waited: Duration,
    ) {
        let now = clock::mono();
        let known = self.snapshot();
        let rules = known.rules.as_ref();
        let speed = rules.and_then(|rules| rules.service(&request.service)?.engine.as_ref());
        let Some(speed) = speed else {
            return;
        };
        let total = self.load.borrow().total(now, upstream);
        let pass = speed.pass_time(total.streams, total.memory);
        let events = u32::try_from(events).unwrap_or(u32::MAX);
        let expected = pass.saturating_mul(events) + total.backlog();
        let sample = Sample::time(waited, expected, EVENTS_SLACK);
        let mut table = self.pacing.table.borrow_mut();
        table.observe(now, upstream, sample);
    }

    /// Records that an attempt failed. `begun` is when it was sent.
    pub(crate) fn observe_failure(&self, request: &Request, broken: &Fault, begun: Mono) {
        let (true, Some(upstream)) = (self.features.observed_pace, &broken.upstream) else {
            return;
        };
        let now = clock::mono();
        let is_probe = self.is_probe(upstream);
        let is_silent = is_probe || now.since(begun) >= MIN_SILENCE;
        let is_paused = self.backoff(now, upstream).is_some();
        let mut table = self.pacing.table.borrow_mut();
        let sample = match broken.failure {
            Failure::Limited
            | Failure::Suspected
            | Failure::Unaffordable
            | Failure::Misdirected => return,
            Failure::Silent if !is_silent || table.stall.is_stalled(now) => return,
            // The upstream asks for a pause, and so reports itself that it is busy.
            Failure::Rejected if broken.is_other_upstream || is_paused => {
                return;
            }
            Failure::Answered => match &broken.answer {
                Some(answer) if answer.head.status < 500 => Sample::Answer,
                _ => Sample::Failure,
            },
            Failure::Unsent | Failure::Rejected | Failure::Lost | Failure::Silent => {
                Sample::Failure
            }
        };
        table.observe(now, upstream, sample);
        let is_passed = sample == Sample::Answer;
        let is_probe = table.record_probe(upstream, begun, is_passed);
        drop(table);
        self.count_probe(is_probe, if is_passed { "passed" } else { "failed" });
        if is_probe {
            tracing::info!(request = %request.id, %upstream, is_passed, "probe ended");
        }
    }

    /// Counts the outcome of a probe.
    fn count_probe(&self, is_probe: bool, outcome: &str) {
        if is_probe {
            self.shared.metrics.count("probes", outcome);
        }
    }

    /// Returns this host's observations to report.
    pub(crate) fn own_paces(&self, now: Mono) -> Vec<Pace> {
        let report = self.pacing.table.borrow_mut().report(now);
        let paces = report.iter().filter_map(|(upstream, account)| {
            let birth = self.birth_of(upstream)?;
            Some(Pace::of(now, Key::of(upstream), birth, account))
        });
        paces.take(MAX_PACES).collect()
    }

    /// Takes in what all hosts observed, from a relay.
    pub(crate) fn receive_paces(&self, now: Mono, paces: &[Pace]) {
        if !self.features.observed_pace {
            return;
        }
        let names = self.upstreams_by_key();
        let accounts = paces.iter().filter_map(|pace| {
            let name = names.get(&pace.key)?;
            let is_alive = self.birth_of(name) == Some(pace.birth);
            is_alive.then(|| (name.clone(), pace.account(now)))
        });
        let accounts: HashMap<Upstream, Summary> = accounts.collect();
        self.pacing
            .table
            .borrow_mut()
            .replace_reported(now, accounts);
        // This happens without requests too, since the others' observations expire after
        // three seconds.
        for service in self.snapshot().instances.keys() {
            self.review_pace(now, service);
        }
    }

    /// Returns whether a request is on its first attempt, which may be a probe.
    pub(crate) fn may_probe(&self, course: &History) -> bool {
        self.features.observed_pace && course.tried.is_empty()
    }
}
