//! Fencing of load orders after a restart of a sidecar or a change of leader.

#![allow(clippy::unwrap_used)]

mod common;

use almondlock_base::{id::Incarnation, time::Wall};
use almondlock_state::order::{CLOCK_MARGIN, LIFETIME, Table, may_forward};
use common::{engine, model, upstream, version, wall};

fn issue(
    table: &mut Table,
    life: u64,
    fenced: bool,
    now: Wall,
) -> Option<almondlock_state::config::Order> {
    let mut known = engine(1, life, "v1");
    known.fenced = fenced;
    table.issue(&upstream("u"), &known, (&model(), &version("v2")), now)
}

/// Guards against a delayed order that an engine without fencing carries out after a later
/// one: after a restart of the sidecar, the next order is issued only when one forwarded by
/// the earlier incarnation can no longer arrive.
#[test]
fn takeover_wait() {
    let mut table = Table::default();
    let first = issue(&mut table, 1, false, wall(1_000)).unwrap();
    assert_eq!(issue(&mut table, 2, false, wall(2_000)), None);
    let end = first.until;
    assert_eq!(issue(&mut table, 2, false, end), None);
    let second = issue(&mut table, 2, false, end + CLOCK_MARGIN).unwrap();
    assert!(second.fence > first.fence);
    assert!(!may_forward(&first, Incarnation(1), end));
}

/// There is no wait if the engine checks fencing numbers, nor for earlier orders of the same
/// incarnation.
#[test]
fn no_wait() {
    let mut table = Table::default();
    let first = issue(&mut table, 1, true, wall(1_000)).unwrap();
    let second = issue(&mut table, 2, true, wall(1_001)).unwrap();
    let third = issue(&mut table, 2, true, wall(1_002)).unwrap();
    assert_eq!([first.fence, second.fence, third.fence], [1, 2, 3]);
}

/// Only the incarnation that an order names may forward it, and only until it expires.
#[test]
fn one_issuer() {
    let mut table = Table::default();
    let order = issue(&mut table, 1, true, wall(1_000)).unwrap();
    assert!(may_forward(&order, Incarnation(1), wall(1_000)));
    assert!(!may_forward(&order, Incarnation(2), wall(1_000)));
    assert!(!may_forward(&order, Incarnation(1), wall(1_000) + LIFETIME));
}

/// Fencing numbers continue from the highest one after a new leader has restored a snapshot.
#[test]
fn after_restore() {
    let mut table = Table::default();
    issue(&mut table, 1, true, wall(1)).unwrap();
    let bytes = serde_json::to_vec(&table).unwrap();
    let mut table: Table = serde_json::from_slice(&bytes).unwrap();
    assert_eq!(issue(&mut table, 1, true, wall(2)).unwrap().fence, 2);
}
