//! Guards against a bad choice of the upstreams that hold a prompt larger than one of them.

#![cfg(test)]

use almondlock_base::{id::Upstream, unit::Tokens};
use almondlock_policy::gang::{Member, plan_reservations};

/// Returns five members with room for 320,000 tokens each, of which these failed recently.
fn members(failed: &[u64]) -> Vec<Member> {
    let member = |n| Member {
        upstream: Upstream::new(&format!("engine-{n}")).unwrap(),
        max_tokens: Tokens(320_000),
        // The members that failed have the most free memory.
        free_tokens: Tokens(if failed.contains(&n) { 400_000 } else { 1_000 }),
        failed_recently: failed.contains(&n),
    };
    (0..5).map(member).collect()
}

fn chosen(members: &[Member], need: u64) -> Option<Vec<String>> {
    let reservations = plan_reservations(members, Tokens(need))?;
    let mut names: Vec<String> = reservations
        .iter()
        .map(|p| p.upstream.to_string())
        .collect();
    names.sort();
    Some(names)
}

#[test]
fn failed_members_avoided() {
    let names = chosen(&members(&[1, 3]), 900_000).unwrap();
    assert_eq!(names, ["engine-0", "engine-2", "engine-4"]);
}

/// More parts on healthy members are preferred to fewer with one on a member that failed.
#[test]
fn healthy_members_first() {
    let mut members = members(&[1]);
    for member in &mut members[2..] {
        member.max_tokens = Tokens(220_000);
    }
    let names = chosen(&members, 600_000).unwrap();
    assert_eq!(names, ["engine-0", "engine-2", "engine-3"]);
}

/// Guards against a refusal of what live members could hold, because some of them missed a
/// probe.
#[test]
fn failed_members_used() {
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
