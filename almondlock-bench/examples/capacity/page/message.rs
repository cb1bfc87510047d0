//! What a process says and hears at the target when no caller asks anything:
//! kinds, rates and sizes.

use super::{
    output::{Output, number},
    slope::Slopes,
    target::{
        CHANGES, ENTRIES, HEARTBEATS, REPLICAS, RESTARTS, SIDECARS, entry_links_least,
        entry_links_most, probes, sidecar_links_most,
    },
};

/// Children of a relay that is full, and its parent (`spreading.md`).
const TREE_LINKS: f64 = 13.0;
/// Stream bytes a second of an idle tree link (`spreading.md`).
const TREE_IDLE: f64 = 260.0;
/// Stream bytes of a change on a link (`spreading.md`).
const TREE_CHANGE: f64 = 860.0;
/// Bytes of a whole configuration (`spreading.md`).
const WHOLE: f64 = 357.0 * 1024.0;

/// Replicas of the measured fleets: a slope is the mean of one of them.
const MEASURED_REPLICAS: f64 = 3.0;

/// A kind of message.
struct Kind {
    role: &'static str,
    name: &'static str,
    rate: f64,
    bytes: f64,
    source: &'static str,
}

/// Prints the kinds. A sidecar's renewals and the signs of life of its links to
/// the replicas are not told apart by the measurement.
pub fn print(slopes: &Slopes, output: &mut Output) {
    let columns = [
        "role",
        "message",
        "a second",
        "bytes both ways",
        "bytes/s",
        "bytes from",
    ];
    output.table("Messages at the target, one process, no callers", &columns);
    let sign = slopes.entry.wire.slope / HEARTBEATS;
    let sidecar = slopes.replica.wire.slope * MEASURED_REPLICAS;
    for kind in kinds(sign, slopes.entry.probe, sidecar) {
        output.row(&[
            kind.role.to_owned(),
            kind.name.to_owned(),
            number(kind.rate),
            number(kind.bytes),
            number(kind.rate * kind.bytes),
            kind.source.to_owned(),
        ]);
    }
}

fn kinds(sign: f64, probe: f64, sidecar: f64) -> Vec<Kind> {
    let kind = |role, name, rate, bytes, source| Kind {
        role,
        name,
        rate,
        bytes,
        source,
    };
    let slope = "slope of the entry host";
    let tree = "spreading.md, without headers";
    let replicas = "slope of the replicas, times three";
    vec![
        kind(
            "entry",
            "signs of life, probing thread's links",
            entry_links_least() * HEARTBEATS,
            sign,
            slope,
        ),
        kind(
            "entry",
            "signs of life, all threads' links",
            entry_links_most() * HEARTBEATS,
            sign,
            slope,
        ),
        kind("entry", "probes", probes(), probe, slope),
        kind(
            "any",
            "tree, idle, a full relay",
            TREE_LINKS,
            TREE_IDLE,
            tree,
        ),
        kind(
            "any",
            "tree, changes, a full relay",
            TREE_LINKS * CHANGES,
            TREE_CHANGE,
            tree,
        ),
        kind(
            "all",
            "whole configurations after restarts",
            RESTARTS,
            WHOLE,
            tree,
        ),
        kind(
            "sidecar",
            "signs of life, all threads' links",
            sidecar_links_most() * HEARTBEATS,
            sign,
            slope,
        ),
        kind(
            "sidecar",
            "probes",
            probes() * ENTRIES / SIDECARS,
            probe,
            slope,
        ),
        kind(
            "sidecar",
            "renewals and links to replicas, in a second",
            1.0,
            sidecar,
            replicas,
        ),
        kind(
            "replica",
            "the same of 880 sidecars, over five",
            SIDECARS / REPLICAS,
            sidecar,
            replicas,
        ),
    ]
}
