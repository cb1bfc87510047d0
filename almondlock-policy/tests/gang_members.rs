//! Which upstreams hold a prompt larger than one of them.

#![cfg(test)]

use almondlock_base::{id::Upstream, unit::Tokens};
use almondlock_policy::gang::{Member, plan_reservations};

/// Five members with room for 320,000 tokens each, of which these failed lately.
fn members(avoided: &[u64]) -> Vec<Member> {
    let member = |n| Member {
        upstream: Upstream::new(&format!("engine-{n}")).unwrap(),
        max_tokens: Tokens(320_000),
        // Those that failed have the most free memory.
        free_tokens: Tokens(if avoided.contains(&n) { 400_000 } else { 1_000 }),
        failed_recently: avoided.contains(&n),
    };
    (0..5).map(member).collect()
}

fn chosen(members: &[Member], need: u64) -> Option<Vec<String>> {
    let parts = plan_reservations(members, Tokens(need))?;
    let mut names: Vec<String> = parts.iter().map(|p| p.upstream.to_string()).collect();
    names.sort();
    Some(names)
}

#[test]
fn passed_over_while_others_do() {
    let names = chosen(&members(&[1, 3]), 900_000).unwrap();
    assert_eq!(names, ["engine-0", "engine-2", "engine-4"]);
}

/// More parts on members that answer go before fewer on one that failed.
#[test]
fn smaller_parts_first() {
    let mut members = members(&[1]);
    for member in &mut members[2..] {
        member.max_tokens = Tokens(220_000);
    }
    let names = chosen(&members, 600_000).unwrap();
    assert_eq!(names, ["engine-0", "engine-2", "engine-3"]);
}

/// Guards against a refusal of what live members could hold, because some of
/// them missed a probe.
#[test]
fn better_than_refusal() {
    let names = chosen(&members(&[1, 3]), 1_000_000).unwrap();
    assert_eq!(names.len(), 4);
    for healthy in ["engine-0", "engine-2", "engine-4"] {
        assert!(names.iter().any(|name| name == healthy), "{names:?}");
    }
    let names = chosen(&members(&[0, 1, 2, 3, 4]), 1_000_000).unwrap();
    assert_eq!(names.len(), 4);
}

#[test]
fn too_long_for_all() {
    assert_eq!(chosen(&members(&[]), 1_700_000), None);
    assert_eq!(chosen(&members(&[1, 3]), 1_700_000), None);
}
