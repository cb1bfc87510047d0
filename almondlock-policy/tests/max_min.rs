//! One organisation sends several times its usual rate. Guards against putting its requests behind
//! others for what is within its max-min share, while no other organisation waits, or without
//! contention.

use std::time::Duration;

use almondlock_policy::{
    admission::{Candidate, check, check_with_share},
    engine::Speed,
    share::{Assessment, Capacity, Resource, Standing, Unlisted, Usage, level},
};
use proptest::prelude::*;
use yare::parameterized;

/// Ten engines with 120 slots, of which 110 count. Reading is contended from 1,250 ms on.
const TEN: Capacity = Capacity {
    engines: 10,
    slots: 120,
};

fn streams(slots: u32, unread: u32, queued: u32) -> Usage {
    Usage {
        slots,
        unanswered: unread,
        queued,
        ..Usage::default()
    }
}

fn assess(usages: &[(u32, Usage)]) -> Assessment<u32> {
    Assessment::new(TEN, usages, Unlisted::default())
}

#[parameterized(
    all_satisfied = { 10.0, &[(2.0, 1), (8.0, 1)], None },
    one_large = { 10.0, &[(2.0, 1), (9.0, 1)], Some(8.0) },
    two_large = { 10.0, &[(20.0, 1), (2.0, 1), (30.0, 1)], Some(4.0) },
    many_alike = { 10.0, &[(1.0, 4), (30.0, 2)], Some(3.0) },
    no_demand = { 10.0, &[], None },
)]
fn levels(capacity: f64, demands: &[(f64, u32)], expected: Option<f64>) {
    assert_eq!(level(capacity, &mut demands.to_vec()), expected);
}

proptest! {
    /// The capacity is shared out in full, and no party gets more than its demand.
    #[test]
    fn level_fills(capacity in 0.0..1e4_f64, demands in prop::collection::vec((0.0..1e3_f64, 1..5_u32), 1..40)) {
        let asked: f64 = demands.iter().map(|(demand, count)| demand * f64::from(*count)).sum();
        match level(capacity, &mut demands.clone()) {
            None => prop_assert!(asked <= capacity + 1e-6),
            Some(level) => {
                let given = demands.iter().map(|(demand, count)| demand.min(level) * f64::from(*count));
                prop_assert!((given.sum::<f64>() - capacity).abs() < 1e-6 * capacity.max(1.0));
            }
        }
    }
}

/// Without contention, an organisation that has nearly all slots is within its share.
#[test]
fn no_contention() {
    let assessment = assess(&[(1, streams(100, 20, 0)), (2, streams(5, 5, 0))]);
    assert!(assessment.is_empty());
}

/// If slots are contended, an organisation that has more than the level is over its share by the
/// difference.
#[test]
fn greedy_is_over() {
    let small = streams(10, 2, 0);
    let assessment = assess(&[(1, streams(100, 40, 20)), (2, small), (3, small)]);
    let excess = assessment.excess(&1).unwrap();
    assert_eq!(
        (excess.resource, excess.used, excess.share),
        (Resource::Slots, 100.0, 90.0)
    );
    assert!(matches!(excess.least_served, Some(2 | 3)));
    assert_eq!(assessment.standing(&2), Standing::Within);
    let Standing::Over { by } = assessment.standing(&1) else {
        panic!("within");
    };
    assert!((by - 1.0 / 9.0).abs() < 1e-9);
}

/// If slots are contended but no organisation below the level waits, none is over its share.
#[test]
fn none_waits() {
    let small = streams(10, 0, 0);
    let assessment = assess(&[(1, streams(130, 40, 20)), (2, small), (3, small)]);
    assert!(assessment.is_empty());
}

fn prompts(reading: u32, unread: u32, refused: u32) -> Usage {
    Usage {
        slots: unread,
        unanswered: unread,
        reading_ms: reading,
        queued: 0,
        queued_reading_ms: refused * 5_000,
    }
}

/// Long prompts contend for reading time while slots are free, and a prompt of a small
/// organisation was refused. The assigned reading time is shared out.
#[test]
fn reading_is_contended() {
    let assessment = assess(&[(1, prompts(50_000, 10, 3)), (2, prompts(10_000, 2, 1))]);
    let excess = assessment.excess(&1).unwrap();
    assert_eq!(
        (
            excess.resource,
            excess.used,
            excess.share,
            excess.least_served
        ),
        (Resource::Reading, 50_000.0, 45_000.0, Some(2))
    );
    assert_eq!(assessment.standing(&2), Standing::Within);
}

/// Long prompts are read for seconds while other requests have no first event yet, as is usual. No
/// prompt was refused except those of the large organisation, or the engines have little to read.
/// No organisation is over its share.
#[parameterized(
    none_refused = { prompts(50_000, 10, 0), prompts(100, 3, 0) },
    only_its_own = { prompts(50_000, 10, 9), prompts(100, 3, 0) },
    idle = { prompts(1_100, 1, 0), prompts(100, 1, 1) },
)]
fn usual_reading(large: Usage, small: Usage) {
    assert!(assess(&[(1, large), (2, small)]).is_empty());
}

/// Many long prompts are refused for lack of reading time while slots are free. That doesn't make
/// slots contended.
#[test]
fn refused_prompts_take_no_slot() {
    let waiting = prompts(0, 0, 600);
    let assessment = assess(&[(1, streams(60, 5, 0)), (2, waiting), (3, streams(20, 5, 0))]);
    assert!(assessment.is_empty());
}

/// Small organisations that are not listed have shares as well, and their waiting requests count.
#[test]
fn unlisted_counted() {
    let rest = Unlisted {
        organisations: 10,
        usage: streams(50, 10, 0),
    };
    let assessment = Assessment::new(TEN, &[(1_u32, streams(100, 30, 0))], rest);
    let excess = assessment.excess(&1).unwrap();
    assert_eq!((excess.share, excess.least_served), (60.0, None));
}

/// Without engines there is nothing to share out, and no organisation is over its share.
#[test]
fn no_engines() {
    let usages = [(1, streams(5, 5, 0)), (2, streams(1, 1, 0))];
    let assessment = Assessment::new(Capacity::default(), &usages, Unlisted::default());
    assert!(assessment.is_empty());
}

fn speed() -> Speed {
    Speed {
        slots: 12,
        memory: 382_500,
        step_ms: 0.925,
        step_ms_per_stream: 0.00483,
        step_ms_per_context: 0.00254,
        tokens_per_ms: 256.0,
        ms_per_megapair: 0.0917,
        chunk_tokens: 2048.0,
        steps_per_pass: 52.0,
    }
}

fn long(expected: u64, backlog: u64) -> Candidate {
    Candidate {
        prompt: 300_000,
        objective: Duration::from_secs(4),
        elapsed: Duration::ZERO,
        expected_delay: Duration::from_millis(expected),
        backlog: Duration::from_millis(backlog),
        engine_ratio: 0.1,
    }
}

/// An organisation that is over its share sends long prompts. Its next one is refused earlier than
/// those of others, except if the engines that would read it are idle, or all engines are.
#[parameterized(
    others_take_it = { 1_200, 300, 0.0, false },
    over = { 1_200, 300, 1.0, true },
    over_on_idle_engines = { 700, 300, 9.0, false },
    over_while_idle = { 1_200, 20, 9.0, false },
)]
fn long_prompts(expected: u64, backlog: u64, by: f64, refused: bool) {
    let alone = Duration::from_millis(700);
    let case = long(expected, backlog);
    let refusal = check_with_share(&speed(), &case, Standing::Over { by }, alone);
    assert_eq!(refusal.is_some(), refused);
}

proptest! {
    /// A prompt that is refused regardless of shares is also refused with any standing.
    #[test]
    fn only_tightens(expected in 0..8_000_u64, backlog in 0..2_000_u64, alone in 0..8_000_u64, by in 0.0..20.0_f64) {
        let case = long(expected, backlog);
        let usual = check(&speed(), &case);
        let over = check_with_share(&speed(), &case, Standing::Over { by }, Duration::from_millis(alone));
        prop_assert!(usual.is_none() || over.is_some());
    }
}
