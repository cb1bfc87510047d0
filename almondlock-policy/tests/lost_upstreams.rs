//! Guards against wrong verdicts on requests that upstreams are lost with, where the losses
//! are counted over hosts that see one each.

use std::time::Duration;

use almondlock_base::{
    id::{Fingerprint, Organisation},
    time::Mono,
};
use almondlock_policy::poison::{
    profile::Profile,
    tally::{Loss, MAX_SUSPECTS, REFUSAL_DEATHS, REFUSAL_TIME, Status, Tally},
};

const START: Mono = Mono::from_millis(100_000);
/// Time between two copies that a caller sends.
const PAUSE: Duration = Duration::from_millis(200);

fn print(body: &str) -> Fingerprint {
    Fingerprint::new(
        &Organisation::new("o").unwrap(),
        "POST /p/",
        body.as_bytes(),
    )
}

/// Loses a copy that was sent at `sent`.
fn lose_one(tally: &mut Tally<u32>, now: Mono, print: Fingerprint, life: u32, sent: Mono) {
    let profile = Profile {
        organisation: Fingerprint([0; 16]),
        prints: vec![print],
    };
    let loss = Loss {
        profile: &profile,
        life,
        sent,
    };
    tally.record_loss(now, &loss);
}

/// Loses copies one after the other, each on another upstream. Returns the time after the
/// last.
fn lose(
    tally: &mut Tally<u32>,
    print: Fingerprint,
    from: Mono,
    lives: std::ops::Range<u32>,
) -> Mono {
    let mut now = from;
    for life in lives {
        let sent = now;
        now = now + PAUSE;
        lose_one(tally, now, print, life, sent);
    }
    now
}

/// Guards against a request that crashes one upstream after the other.
#[test]
fn refused_in_turn() {
    let mut tally = Tally::default();
    let now = lose(&mut tally, print("a"), START, 0..2);
    assert_eq!(tally.status(now, &print("a")), Status::Watched);
    let now = lose(&mut tally, print("a"), now, 2..3);
    assert_eq!(
        tally.status(now, &print("a")),
        Status::Refused(REFUSAL_TIME)
    );
    assert_eq!(tally.status(now, &print("b")), Status::Clear);
}

/// Guards against usual requests that are refused because a failure domain was lost while
/// many copies of each ran there.
#[test]
fn domain_lost_together() {
    let mut tally = Tally::default();
    for life in 0..20 {
        lose_one(&mut tally, START + PAUSE, print("a"), life, START);
    }
    assert_eq!(tally.status(START + PAUSE, &print("a")), Status::Clear);
}

/// A life that several hosts report as lost died once.
#[test]
fn loss_reported_twice() {
    let mut tally = Tally::default();
    let mut now = START;
    for _ in 0..REFUSAL_DEATHS {
        now = lose(&mut tally, print("a"), now, 0..1);
    }
    assert_eq!(tally.status(now, &print("a")), Status::Clear);
}

/// Guards against a harmless request that is refused after chance losses.
#[test]
fn answered_between() {
    let mut tally = Tally::default();
    let now = lose(&mut tally, print("a"), START, 0..2);
    assert!(tally.record_answer(now, &print("a")));
    let now = lose(&mut tally, print("a"), now, 2..4);
    assert_eq!(tally.status(now, &print("a")), Status::Watched);
}

/// Once the time of refusal is over the request may run, and one more death refuses it
/// again.
#[test]
fn tried_after_refusal() {
    let mut tally = Tally::default();
    let now = lose(&mut tally, print("a"), START, 0..3);
    assert!(
        !tally.record_answer(now, &print("a")),
        "it is refused already"
    );
    let now = now + REFUSAL_TIME;
    assert_eq!(tally.status(now, &print("a")), Status::Watched);
    let now = lose(&mut tally, print("a"), now, 3..4);
    assert_eq!(
        tally.status(now, &print("a")),
        Status::Refused(REFUSAL_TIME)
    );
}

/// Guards against a table that callers fill without bound, and against refused requests
/// that are forgotten to make room for others.
#[test]
fn bounded_table() {
    let mut tally = Tally::default();
    let now = lose(&mut tally, print("bad"), START, 0..3);
    for n in 0..MAX_SUSPECTS as u32 + 10 {
        lose_one(&mut tally, now, print(&n.to_string()), n, now);
    }
    assert!(matches!(
        tally.status(now, &print("bad")),
        Status::Refused(_)
    ));
    assert_eq!(tally.watched().len(), 1);
}

/// Guards against usual requests that are refused because they were sent to upstreams that
/// another request had crashed before.
#[test]
fn dead_already() {
    let mut tally = Tally::default();
    let mut now = START;
    for life in 0..REFUSAL_DEATHS as u32 {
        now = lose(&mut tally, print("crashing"), now, life..life + 1);
        // Hosts try a dead upstream again and again until it is withdrawn.
        for _ in 0..3 {
            let later = now + Duration::from_secs(2);
            now = lose(&mut tally, print("usual"), later, life..life + 1);
        }
    }
    let standing = tally.status(now, &print("crashing"));
    assert!(matches!(standing, Status::Refused(_)), "{standing:?}");
    assert_eq!(tally.status(now, &print("usual")), Status::Clear);
}

/// Guards against a request that is never refused because its upstreams had lost other
/// requests long before.
#[test]
fn lost_before() {
    let mut tally = Tally::default();
    let now = lose(&mut tally, print("usual"), START, 0..REFUSAL_DEATHS as u32);
    let later = now + Duration::from_secs(5);
    let now = lose(
        &mut tally,
        print("crashing"),
        later,
        0..REFUSAL_DEATHS as u32,
    );
    let standing = tally.status(now, &print("crashing"));
    assert!(matches!(standing, Status::Refused(_)), "{standing:?}");
}

/// Guards against a request that is never refused because the losses of requests that ran
/// beside it are reported first.
#[test]
fn beside_others() {
    let mut tally = Tally::default();
    let mut now = START;
    for life in 0..REFUSAL_DEATHS as u32 {
        let sent = now;
        now = now + PAUSE;
        lose_one(&mut tally, now, print("usual"), life, sent);
        let told = now + Duration::from_millis(1);
        lose_one(&mut tally, told, print("crashing"), life, told);
    }
    let standing = tally.status(now, &print("crashing"));
    assert!(matches!(standing, Status::Refused(_)), "{standing:?}");
}
