//! Guards against wrong verdicts on parts of prompts that upstreams are lost with, where no two
//! requests are alike and other requests share some of their parts.

use std::time::Duration;

use almondlock_base::{
    id::{Fingerprint, Organisation, Service},
    time::Mono,
};
use almondlock_policy::poison::{
    answered::{Answered, MAX_AGE, MAX_PRINTS},
    host::Host,
    profile::{Profile, Rule},
    refusal::{MAX_SPREAD, Table, Verdict},
    tally::{APPEAL_TIME, Loss, REFUSAL_DEATHS, REFUSAL_TIME, Status, Tally},
};

use yare::parameterized;

const START: Mono = Mono::from_millis(100_000);
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(200);

fn part(id: &str) -> Fingerprint {
    Fingerprint::of_part(&Service::new("s").unwrap(), id)
}

/// Returns the profile of a request of `organisation` that no other request is like.
fn profile(organisation: &str, number: u32, parts: &[&str]) -> Profile {
    let organisation = Organisation::new(organisation).unwrap();
    let whole = Fingerprint::new(&organisation, "POST /p/", &number.to_le_bytes());
    let parts = parts.iter().map(|id| part(id));
    Profile {
        organisation: Fingerprint::of_organisation(&organisation),
        prints: std::iter::once(whole).chain(parts).collect(),
    }
}

/// Loses requests one after the other, each on another upstream. Returns the time after the
/// last.
fn lose(
    tally: &mut Tally<u32>,
    from: Mono,
    organisation: &str,
    parts: &[&str],
    lives: std::ops::Range<u32>,
) -> Mono {
    let mut now = from;
    for life in lives {
        let sent = now;
        now = now + PAUSE;
        let profile = profile(organisation, life, parts);
        let profile = &profile;
        tally.record_loss(
            now,
            &Loss {
                profile,
                life,
                sent,
            },
        );
    }
    now
}

fn is_refused(tally: &Tally<u32>, now: Mono, organisation: &str, parts: &[&str]) -> bool {
    let profile = profile(organisation, u32::MAX, parts);
    tally.refusal(now, &profile).is_some()
}

/// Guards against a part that is never refused because no two requests with it are alike.
#[test]
fn no_two_alike() {
    let mut tally = Tally::default();
    let now = lose(&mut tally, START, "o", &["system", "bad"], 0..3);
    assert!(is_refused(&tally, now, "o", &["system", "bad"]));
    tally.record_answer(now, &part("system"));
    assert!(is_refused(&tally, now, "o", &["other", "bad"]));
}

/// Guards against requests that are refused because they share some parts with those that
/// crashed upstreams, though nobody had an answer to these parts yet.
#[test]
fn shared_parts_run() {
    let mut tally = Tally::default();
    let now = lose(&mut tally, START, "o", &["system", "manual", "bad"], 0..3);
    assert!(!is_refused(&tally, now, "o", &["system", "manual"]));
    assert!(!is_refused(&tally, now, "o", &["system"]));
}

/// Guards against a part that crashes upstreams once more in each new company: what it came
/// with before is cleared by others' answers, or wasn't there.
#[test]
fn other_company() {
    let mut tally = Tally::default();
    let now = lose(&mut tally, START, "o", &["system", "manual", "bad"], 0..3);
    let now = lose(&mut tally, now, "o", &["system", "bad"], 3..4);
    assert!(is_refused(&tally, now, "o", &["system", "guide", "bad"]));
    assert!(!is_refused(&tally, now, "o", &["system", "bad-looking"]));
}

/// Guards against an organisation that has parts refused to others by naming them in requests
/// that crash upstreams.
#[test]
fn one_organisation() {
    let mut tally = Tally::default();
    let now = lose(&mut tally, START, "o", &["theirs", "bad"], 0..5);
    assert!(is_refused(&tally, now, "o", &["theirs", "bad"]));
    assert!(!is_refused(&tally, now, "other", &["theirs", "bad"]));
}

/// Guards against a part that costs three upstreams for each organisation.
#[test]
fn many_organisations() {
    let mut tally = Tally::default();
    let now = lose(&mut tally, START, "o", &["bad"], 0..3);
    let now = lose(&mut tally, now, "other", &["bad"], 3..4);
    assert!(is_refused(&tally, now, "third", &["bad"]));
}

/// Guards against a part that is never refused because requests with it overlap all the time,
/// so that each was sent before the last death was known.
#[test]
fn always_overlapping() {
    let mut tally = Tally::default();
    let run = Duration::from_secs(3);
    let mut now = START + run;
    for life in 0..6 {
        let profile = &profile("o", life, &["bad"]);
        let sent = now - run;
        tally.record_loss(
            now,
            &Loss {
                profile,
                life,
                sent,
            },
        );
        now = now + PAUSE;
    }
    assert!(is_refused(&tally, now, "o", &["bad"]));
}

/// Guards against requests that are refused since they have a new part in common, and a
/// failure domain was lost while many of them ran there.
#[test]
fn domain_lost() {
    let mut tally = Tally::default();
    let sent = START;
    let mut now = START + PAUSE;
    for life in 0..12 {
        for request in 0..4 {
            let profile = &profile("o", life * 4 + request, &["new"]);
            tally.record_loss(
                now,
                &Loss {
                    profile,
                    life,
                    sent,
                },
            );
        }
        // Hosts notice it within a fifth of a second.
        now = now + Duration::from_millis(16);
    }
    tally.settle(now + APPEAL_TIME);
    assert!(!is_refused(&tally, now + APPEAL_TIME, "o", &["new"]));
}

/// Guards against parts that are refused since requests with them ran on the upstreams that
/// another part crashed.
#[test]
fn ran_beside() {
    let mut tally = Tally::default();
    let mut now = START;
    for life in 0..8 {
        let sent = now;
        now = now + PAUSE;
        // Reported before the request that is to blame, on some of the upstreams.
        if life % 3 != 0 {
            let profile = &profile("o", 100 + life, &["new"]);
            tally.record_loss(
                now,
                &Loss {
                    profile,
                    life,
                    sent,
                },
            );
        }
        let profile = &profile("o", life, &["bad"]);
        tally.record_loss(
            now,
            &Loss {
                profile,
                life,
                sent,
            },
        );
        tally.settle(now + PAUSE / 2);
        assert!(!is_refused(&tally, now, "o", &["new"]), "life {life}");
    }
    assert!(is_refused(&tally, now, "o", &["bad"]));
}

/// Guards against copies of a usual request that are refused since each was lost on an
/// upstream that a part of other requests crashed.
#[test]
fn copies_beside() {
    let mut tally = Tally::default();
    let mut now = START;
    let copy = profile("o", 999, &["known"]);
    let copy = Profile {
        prints: vec![copy.prints[0]],
        ..copy
    };
    for life in 0..6 {
        let sent = now;
        now = now + PAUSE;
        if life > 0 {
            tally.record_loss(
                now,
                &Loss {
                    profile: &copy,
                    life,
                    sent,
                },
            );
        }
        let profile = &profile("o", life, &["bad"]);
        tally.record_loss(
            now,
            &Loss {
                profile,
                life,
                sent,
            },
        );
        tally.settle(now + PAUSE / 2);
    }
    assert_eq!(tally.refusal(now, &copy), None);
    assert!(is_refused(&tally, now, "o", &["bad"]));
}

/// Guards against a part that is refused before hosts could tell that they had answers to it.
#[test]
fn time_to_appeal() {
    let mut tally = Tally::default();
    let mut now = START;
    for life in 0..REFUSAL_DEATHS as u32 {
        now = now + Duration::from_millis(60);
        let profile = &profile("o", life, &["new"]);
        tally.record_loss(
            now,
            &Loss {
                profile,
                life,
                sent: now,
            },
        );
    }
    assert_eq!(tally.status(now, &part("new")), Status::Watched);
    assert!(tally.record_answer(now, &part("new")));
    tally.settle(now + APPEAL_TIME);
    assert_eq!(tally.status(now, &part("new")), Status::Clear);
}

/// Guards against answers that lift the refusal of a part which crashes upstreams, and against
/// one that is kept for parts that were answered without it.
#[test]
fn answered_after() {
    let mut tally = Tally::default();
    let now = lose(&mut tally, START, "o", &["manual", "bad"], 0..3);
    assert!(tally.record_answer(now, &part("manual")));
    assert_eq!(tally.status(now, &part("manual")), Status::Clear);
    assert_eq!(tally.rule(&part("bad")).unwrap().prints, [part("bad")]);
    assert!(!tally.record_answer(now, &part("bad")));
    assert!(is_refused(&tally, now, "o", &["bad"]));
}

/// Guards against usual requests that aren't sent again for minutes after a host has lost several
/// upstreams with them, although others like them are answered.
#[test]
fn answered_since() {
    let parts = ["system", "usual"];
    let mut host = Host::new(1);
    let mut now = START;
    for life in 0..6 {
        let sent = now;
        now = now + PAUSE;
        let profile = &profile("o", life, &parts);
        let loss = Loss {
            profile,
            life,
            sent,
        };
        host.record_loss(now, &loss);
    }
    let next = profile("o", u32::MAX, &parts);
    now = now + PAUSE * 2;
    assert!(!host.may_run_again(now, &next));
    host.record_parts(now, [part("system")]);
    assert!(!host.may_run_again(now, &next));
    host.record_parts(now, [part("usual")]);
    assert!(host.may_run_again(now, &next));
}

fn refused_table(seed: u64) -> (Table, Profile) {
    let request = profile("o", 1, &["bad"]);
    let rule = Rule {
        organisation: Some(request.organisation),
        prints: vec![part("bad")],
    };
    let mut table = Table::new(seed);
    assert!(table.refuse(START, part("bad"), rule, REFUSAL_TIME));
    (table, request)
}

/// Guards against all requests with a part that are tried at once when its refusal ends, at
/// one host or at all of them.
#[test]
fn one_trial() {
    let (mut table, request) = refused_table(1);
    assert!(matches!(
        table.verdict(START, &request),
        Verdict::Refused(..)
    ));
    let end = START + REFUSAL_TIME + MAX_SPREAD;
    assert_eq!(table.verdict(end, &request), Verdict::Watched);
    assert_eq!(
        table.verdict(end, &request),
        Verdict::Watched,
        "the same one"
    );
    let other = profile("o", 2, &["bad"]);
    assert!(matches!(table.verdict(end, &other), Verdict::Refused(..)));
    table.record_loss(end, &request);
    let later = end + REFUSAL_TIME - PAUSE;
    assert!(matches!(table.verdict(later, &other), Verdict::Refused(..)));
}

/// The same, where the trial is answered.
#[test]
fn trial_answered() {
    let (mut table, request) = refused_table(1);
    let end = START + REFUSAL_TIME + MAX_SPREAD;
    assert_eq!(table.verdict(end, &request), Verdict::Watched);
    assert_eq!(table.record_answer(end, &request), [part("bad")]);
    let other = profile("o", 2, &["bad"]);
    assert_eq!(table.verdict(end, &other), Verdict::Clear);
}

/// Guards against a part that crashes an upstream for each request of another organisation
/// that comes before the first of them was lost.
#[test]
fn other_organisation_tried() {
    let (mut table, _) = refused_table(1);
    let (first, second) = (profile("other", 3, &["bad"]), profile("other", 4, &["bad"]));
    assert_eq!(table.verdict(START, &first), Verdict::Clear);
    assert!(matches!(
        table.verdict(START, &second),
        Verdict::Refused(..)
    ));
    table.record_loss(START, &first);
    let later = START + PAUSE * 50;
    assert!(matches!(
        table.verdict(later, &second),
        Verdict::Refused(..)
    ));
    assert!(matches!(
        table.verdict(later, &profile("third", 5, &["bad"])),
        Verdict::Refused(..)
    ));
}

/// The same, where the part crashes nothing.
#[test]
fn other_organisation_answered() {
    let (mut table, _) = refused_table(1);
    let (first, second) = (profile("other", 3, &["bad"]), profile("other", 4, &["bad"]));
    assert_eq!(table.verdict(START, &first), Verdict::Clear);
    assert_eq!(table.record_answer(START, &first), [part("bad")]);
    assert_eq!(table.verdict(START, &second), Verdict::Clear);
}

/// Guards against a refusal that another relay takes back in part, since it has heard of fewer
/// losses and answers.
#[parameterized(
    refuses = { true },
    watches = { false },
)]
fn relay_knows_less(refuses: bool) {
    let (mut table, request) = refused_table(1);
    let rule = Rule {
        organisation: Some(request.organisation),
        prints: vec![part("system"), part("bad")],
    };
    match refuses {
        true => assert!(!table.refuse(START, part("bad"), rule, REFUSAL_TIME)),
        false => table.watch(START, part("bad"), rule),
    }
    assert!(matches!(
        table.verdict(START, &request),
        Verdict::Refused(..)
    ));
}

/// Hosts end a refusal at different times.
#[test]
fn spread_ends() {
    let ends_early = (0..20).filter(|seed| {
        let (mut table, request) = refused_table(*seed);
        let half = START + REFUSAL_TIME + MAX_SPREAD / 2;
        table.verdict(half, &request) == Verdict::Watched
    });
    let count = ends_early.count();
    assert!((3..=17).contains(&count), "{count} of 20");
}

/// Guards against a table of answers that grows without bound or trusts old answers.
#[test]
fn bounded_answers() {
    let mut answered = Answered::default();
    answered.insert(START, part("old"));
    for number in 0..MAX_PRINTS as u32 {
        let id = number.to_string();
        answered.insert(START, part(&id));
    }
    assert!(!answered.contains(START, &part("old")));
    let newest = part(&(MAX_PRINTS - 1).to_string());
    assert!(answered.contains(START, &newest));
    assert!(!answered.contains(START + MAX_AGE, &newest));
}
