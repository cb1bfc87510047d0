//! What each role keeps at the target, at the bounds that the code sets.

use super::{
    output::{Output, number},
    target::{ORGANISATIONS, SIDECARS},
};

/// Bytes of a MiB.
const MIB: f64 = 1_048_576.0;

/// A kind of item that a role keeps.
struct Item {
    role: &'static str,
    name: &'static str,
    count: f64,
    bytes: f64,
    source: &'static str,
}

impl Item {
    const fn new(
        role: &'static str,
        name: &'static str,
        count: f64,
        bytes: f64,
        source: &'static str,
    ) -> Item {
        Item {
            role,
            name,
            count,
            bytes,
            source,
        }
    }
}

const ITEMS: [Item; 16] = [
    Item::new(
        "entry",
        "configuration, 1,500 organisations",
        1.0,
        1_142.0 * 1024.0,
        "spreading.md",
    ),
    Item::new(
        "entry",
        "changes kept for children, bound",
        1.0,
        4.0 * MIB,
        "spreading.md",
    ),
    Item::new(
        "entry",
        "upstreams to choose from",
        SIDECARS,
        358.0,
        "decisions.md",
    ),
    Item::new(
        "entry",
        "limits of organisations",
        ORGANISATIONS,
        226.0,
        "decisions.md",
    ),
    Item::new(
        "entry",
        "retry budgets",
        ORGANISATIONS,
        1_373.0,
        "decisions.md",
    ),
    Item::new(
        "sidecar",
        "configuration, 1,500 organisations",
        1.0,
        1_142.0 * 1024.0,
        "spreading.md",
    ),
    Item::new(
        "sidecar",
        "changes kept for children, bound",
        1.0,
        4.0 * MIB,
        "spreading.md",
    ),
    Item::new(
        "sidecar",
        "closed attempts at the gate, bound",
        65_536.0,
        154.0,
        "decisions.md",
    ),
    Item::new(
        "sidecar",
        "waiting attempts, bound",
        1_024.0,
        295.0,
        "decisions.md",
    ),
    Item::new(
        "sidecar",
        "harmless fingerprints, bound",
        65_536.0,
        61.0,
        "decisions.md",
    ),
    Item::new(
        "sidecar",
        "things held on the engine",
        1_000.0,
        256.0,
        "decisions.md",
    ),
    Item::new(
        "replica",
        "configuration, 1,500 organisations",
        1.0,
        1_142.0 * 1024.0,
        "spreading.md",
    ),
    Item::new(
        "replica",
        "changes kept for children, bound",
        1.0,
        4.0 * MIB,
        "spreading.md",
    ),
    Item::new("replica", "claims, bound", 100_000.0, 382.0, "claims.md"),
    Item::new("replica", "outcomes, bound", 1.0, 16.0 * MIB, "claims.md"),
    Item::new(
        "replica",
        "a snapshot of a full table",
        1.0,
        27e6,
        "claims.md",
    ),
];

/// KiB that a role's items take when all are at their bounds.
pub fn kib(role: &str) -> f64 {
    let of = ITEMS.iter().filter(|i| i.role == role);
    of.map(|i| i.count * i.bytes / 1024.0).sum()
}

/// Prints the items.
pub fn print(output: &mut Output) {
    let columns = ["role", "item", "count", "bytes each", "MB", "bytes from"];
    output.table("State at the target, at its bounds", &columns);
    for item in &ITEMS {
        output.row(&[
            item.role.to_owned(),
            item.name.to_owned(),
            number(item.count),
            number(item.bytes),
            number(item.count * item.bytes / 1e6),
            item.source.to_owned(),
        ]);
    }
    for role in ["entry", "sidecar", "replica"] {
        let sum = number(kib(role) * 1024.0 / 1e6);
        let empty = String::new;
        output.row(&[
            role.to_owned(),
            "all".to_owned(),
            empty(),
            empty(),
            sum,
            empty(),
        ]);
    }
}
