//! Upstreams become slow or fail while their health checks pass. Guards against such upstreams that
//! aren't ejected or reinstated, and against the ejection of healthy ones through stale, wrong or
//! too few observations.

use std::{collections::HashMap, time::Duration};

use almondlock_base::time::Mono;
use almondlock_policy::outlier::{Detector, Sample, Summary, WINDOW};
use rand::{SeedableRng, rngs::SmallRng};
use yare::parameterized;

const START: Mono = Mono::from_millis(10_000);
const MEMBERS: [u32; 6] = [0, 1, 2, 3, 4, 5];

fn after(millis: u64) -> Mono {
    START + Duration::from_millis(millis)
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

/// Creates a summary that several hosts reported of an upstream.
fn summary(answers: u32, failures: u32, slowness: f64) -> Summary {
    Summary {
        hosts: 5,
        answers,
        failures,
        capped_failures: failures.min(5),
        time_weight: 20,
        slowness,
        newest: START,
    }
}

/// Creates the detector of a host with this report about upstream 0, and reports of all others as
/// healthy.
fn told(of_first: Summary) -> Detector<u32> {
    let mut detector = Detector::default();
    let well = summary(10, 0, 1.0);
    let summaries = MEMBERS.map(|key| (key, if key == 0 { of_first } else { well }));
    detector.replace_reported(START, HashMap::from(summaries));
    detector
}

/// Guards against ejections for small deviations or few failures, and against missing ones in
/// clear cases.
#[parameterized(
    well = { 10, 0, 1.0, false },
    one_failure = { 3, 1, 1.0, false },
    rare_failures = { 18, 2, 1.0, false },
    half_failing = { 5, 5, 1.0, true },
    late = { 10, 0, 2.4, false },
    far_slower = { 10, 0, 5.0, true },
)]
fn reported(answers: u32, failures: u32, slowness: f64, is_ejected: bool) {
    let mut detector = told(summary(answers, failures, slowness));
    let changes = detector.review(START, &MEMBERS, &mut rng());
    assert_eq!(detector.is_ejected(&0), is_ejected, "{changes:?}");
    assert_eq!(changes.len(), usize::from(is_ejected));
}

/// Guards against placement that treats a slower upstream as equal to the others.
#[test]
fn rate_of_slower() {
    let mut detector = told(summary(10, 0, 2.0));
    detector.review(START, &MEMBERS, &mut rng());
    assert!((detector.relative_rate(&0) - 0.5).abs() < 0.01);
    assert!((detector.relative_rate(&1) - 1.0).abs() < f64::EPSILON);
}

/// Guards against reports that count although they are older than 3 s.
#[test]
fn old_reports() {
    let mut detector = told(summary(5, 5, 1.0));
    assert!(
        detector
            .review(after(3_001), &MEMBERS, &mut rng())
            .is_empty()
    );
}

/// Guards against own observations that count although they are older than 3 s.
#[test]
fn old_observations() {
    let mut detector = Detector::default();
    failing(&mut detector, START);
    assert!(
        detector
            .review(after(3_001), &MEMBERS, &mut rng())
            .is_empty()
    );
    failing(&mut detector, after(4_000));
    assert_eq!(detector.review(after(4_001), &MEMBERS, &mut rng()).len(), 1);
}

/// Records a host's observations that upstream 0 fails and all others answer.
fn failing(detector: &mut Detector<u32>, now: Mono) {
    for key in MEMBERS {
        let sample = match key {
            0 => Sample::Failure,
            _ => Sample::Answer,
        };
        for _ in 0..4 {
            detector.observe(now, &key, sample);
        }
    }
}

/// Guards against a wrong report of one host that ejects an upstream for all hosts. It has no
/// weight alone, and the weight of a single correct report beside that.
#[test]
fn one_reporter() {
    let report = |answers, failures, slowness| Summary {
        hosts: 1,
        ..summary(answers, failures, slowness)
    };
    let lie = report(0, 250, 9.0);
    let alone = Summary::pool(&[lie]);
    assert_eq!((alone.failures, alone.time_weight), (0, 0));
    let honest = [report(4, 0, 1.0), report(3, 0, 1.1)];
    let pooled = Summary::pool(&[lie, honest[0], honest[1]]);
    assert_eq!(pooled.failures, 0);
    assert!(pooled.slowness < 1.2, "{pooled:?}");
    let pooled = Summary::pool(&[lie, honest[0], report(6, 1, 1.0)]);
    assert_eq!(pooled.failures, 2);
    assert!(pooled.failure_share_bound() < 0.15, "{pooled:?}");
}

/// Guards against an upstream that is ejected after a restart for earlier failures.
#[test]
fn restarted_upstream() {
    let mut detector = Detector::default();
    failing(&mut detector, START);
    assert_eq!(detector.review(START, &MEMBERS, &mut rng()).len(), 1);
    detector.forget(&0);
    assert!(!detector.is_ejected(&0));
    assert!(detector.review(after(200), &MEMBERS, &mut rng()).is_empty());
}

/// Guards against the ejection of more than a third of the upstreams, and of the best outliers
/// instead of the worst.
#[test]
fn third_ejected() {
    let mut detector = Detector::default();
    let slowness = [4.0, 9.0, 5.0, 1.0, 1.0, 1.0, 1.0];
    let summaries = (0..7).zip(slowness.map(|slowness| summary(9, 0, slowness)));
    detector.replace_reported(START, summaries.collect());
    let members = [0, 1, 2, 3, 4, 5, 6];
    detector.review(START, &members, &mut rng());
    let ejected: Vec<u32> = members
        .into_iter()
        .filter(|key| detector.is_ejected(key))
        .collect();
    assert_eq!(ejected, [1, 2]);
    assert!(detector.relative_rate(&0) < 0.3);
}

/// Guards against more than a third of the upstreams staying ejected after others are evacuated or
/// leave, and against the reinstatement of the worst instead of the best.
#[test]
fn fewer_upstreams() {
    let mut detector = Detector::default();
    let slowness = [9.0, 5.0, 1.0, 1.0, 1.0, 1.0, 1.0];
    let summaries = (0..7).zip(slowness.map(|slowness| summary(9, 0, slowness)));
    detector.replace_reported(START, summaries.collect());
    let members = [0, 1, 2, 3, 4, 5, 6];
    assert_eq!(detector.review(START, &members, &mut rng()).len(), 2);
    let changes = detector.review(after(200), &members[..5], &mut rng());
    let changed: Vec<(u32, bool)> = changes.iter().map(|c| (c.key, c.is_ejected)).collect();
    assert_eq!(changed, [(1, false)]);
    assert!(detector.is_ejected(&0) && !detector.is_ejected(&1));
    assert!(detector.relative_rate(&1) < 0.3);
    let changes = detector.review(after(400), &members[..5], &mut rng());
    assert!(changes.is_empty());
}

/// Guards against a host with late timers that attributes its own delay to the upstreams.
#[test]
fn late_timers() {
    let mut detector = Detector::default();
    detector.stall.note_delay(START, Duration::from_millis(300));
    for _ in 0..10 {
        detector.observe(after(100), &0, Sample::Time(9.0));
        for key in &MEMBERS[1..] {
            detector.observe(after(600), key, Sample::Time(1.0));
        }
    }
    assert!(detector.review(after(600), &MEMBERS, &mut rng()).is_empty());
    let reported: Vec<u32> = detector
        .report(after(600))
        .iter()
        .map(|(key, _)| *key)
        .collect();
    assert!(!reported.contains(&0));
}

/// Guards against a host that is cut off or slow itself and blames its upstreams.
#[parameterized(
    cut_off = { Sample::Failure },
    slow = { Sample::Time(4.0) },
)]
fn untrusted_host(sample: Sample) {
    let mut detector = Detector::default();
    for key in MEMBERS {
        for _ in 0..8 {
            detector.observe(START, &key, sample);
        }
    }
    assert!(detector.review(START, &MEMBERS, &mut rng()).is_empty());
    assert!(detector.report(START).is_empty());
}

/// Guards against a host that probes as often as all hosts together should, and against an ejected
/// upstream that is never probed.
#[test]
fn probes() {
    let mut detector = Detector::default();
    let mut rng = rng();
    failing(&mut detector, START);
    detector.review(START, &MEMBERS, &mut rng);
    let mut count = 0;
    for tick in 0..3_000 {
        // Reports keep arriving, but have nothing about this upstream.
        let now = after(tick * 100);
        detector.replace_reported(now, HashMap::new());
        count += u32::from(detector.try_probe(now, &0, 30, &mut rng));
        assert!(
            !detector.try_probe(now, &1, 30, &mut rng),
            "probe of an upstream that isn't ejected"
        );
    }
    assert!(
        (1..=12).contains(&count),
        "{count} probes in 300 s, expected one in 60 s"
    );
}

/// Guards against upstreams that are never reinstated if no relay sends reports.
#[test]
fn reinstated_alone() {
    let mut detector = Detector::default();
    failing(&mut detector, START);
    detector.review(START, &MEMBERS, &mut rng());
    for n in 1..=4 {
        assert!(detector.is_ejected(&0), "after {n} probes");
        assert!(detector.record_probe(&0, after(n * 1_000), true));
        detector.review(after(n * 1_000), &MEMBERS, &mut rng());
    }
    assert!(!detector.is_ejected(&0));
}

/// Guards against requests that count as probes although they were sent before the ejection.
#[test]
fn sent_before() {
    let mut detector = Detector::default();
    failing(&mut detector, START);
    detector.review(after(100), &MEMBERS, &mut rng());
    assert!(!detector.record_probe(&0, START, true));
    assert!(detector.record_probe(&0, after(200), false));
}

/// Guards against an upstream that stays ejected forever because no request of its service may be
/// used as a probe.
#[test]
fn no_probes() {
    let mut detector = Detector::default();
    failing(&mut detector, START);
    detector.review(START, &MEMBERS, &mut rng());
    assert!(
        detector
            .review(after(9_000), &MEMBERS, &mut rng())
            .is_empty()
    );
    let changes = detector.review(after(10_000), &MEMBERS, &mut rng());
    assert_eq!(changes.len(), 1);
    assert!(!detector.is_ejected(&0) && WINDOW < Duration::from_secs(10));
}
