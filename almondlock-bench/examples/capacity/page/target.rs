//! The target, and the counts that follow from it.

use super::output::{Output, number};

/// Hosts that run entry hosts: 370 less those set aside.
pub const ENTRIES: f64 = 363.0;
/// Upstreams, each with a sidecar on its host.
pub const SIDECARS: f64 = 880.0;
/// Control replicas, of the seven hosts that may be set aside.
pub const REPLICAS: f64 = 5.0;
/// Requests a second at the peak.
pub const REQUESTS: f64 = 6_100.0;
/// Tokens generated a second at the peak.
pub const TOKENS: f64 = 2_400_000.0;
/// Organisations.
pub const ORGANISATIONS: f64 = 1_500.0;
/// Changes a second: 2,700 a day.
pub const CHANGES: f64 = 2_700.0 / 86_400.0;
/// Hosts that fail or are restarted in a second: 269 a day.
pub const RESTARTS: f64 = 269.0 / 86_400.0;
/// Models; an entry host keeps a pool of upstreams for each.
pub const MODELS: f64 = 5.0;
/// Upstreams of one pool that an entry host keeps links to: the subset in its
/// own region (`almondlock-policy`, `choice::Config::subset`).
pub const SUBSET: f64 = 32.0;
/// Worker threads of an entry host, each with links of its own.
pub const WORKERS: f64 = 8.0;
/// Probes of one pool in a second at most: two each 50 ms.
pub const PROBES: f64 = 40.0;
/// How often a probed upstream is asked again.
pub const PROBE_AGE: f64 = 0.5;
/// Signs of life of one link in a second.
pub const HEARTBEATS: f64 = 2.0;
/// Renewals of one registration in a second.
pub const RENEWALS: f64 = 0.5;

/// Percent of a core that a node may spend on control.
pub const CORE_LIMIT: f64 = 3.6;
/// Memory in KiB: 64 MB.
pub const MEMORY_LIMIT: f64 = 62_500.0;
/// Bytes a second.
pub const WIRE_LIMIT: f64 = 14_000.0;

/// Links of an entry host when only its probing thread has any.
pub fn entry_links_least() -> f64 {
    MODELS * SUBSET
}

/// Links of an entry host once each worker has sent to each member.
pub fn entry_links_most() -> f64 {
    entry_links_least() * WORKERS
}

/// The same of a sidecar: each link has two ends.
pub fn sidecar_links_least() -> f64 {
    entry_links_least() * ENTRIES / SIDECARS
}

/// The same once each worker has sent to each member.
pub fn sidecar_links_most() -> f64 {
    entry_links_most() * ENTRIES / SIDECARS
}

/// Probes that an entry host sends in a second when nothing else brings news.
pub fn probes() -> f64 {
    MODELS * PROBES.min(SUBSET / PROBE_AGE)
}

/// Prints the counts.
pub fn print(output: &mut Output) {
    output.table("Counts at the target", &["count", "worked out", "value"]);
    let rows = [
        (
            "requests a second, one entry host",
            "6,100 / 363",
            REQUESTS / ENTRIES,
        ),
        (
            "tokens a second, one entry host",
            "2,400,000 / 363",
            TOKENS / ENTRIES,
        ),
        (
            "requests a second, one sidecar",
            "6,100 / 880",
            REQUESTS / SIDECARS,
        ),
        (
            "tokens a second, one sidecar",
            "2,400,000 / 880",
            TOKENS / SIDECARS,
        ),
        (
            "links of an entry host, probing thread",
            "5 models x 32",
            entry_links_least(),
        ),
        (
            "links of an entry host, all threads",
            "5 x 32 x 8 workers",
            entry_links_most(),
        ),
        (
            "links of a sidecar, probing threads",
            "160 x 363 / 880",
            sidecar_links_least(),
        ),
        (
            "links of a sidecar, all threads",
            "1,280 x 363 / 880",
            sidecar_links_most(),
        ),
        (
            "probes a second, one entry host",
            "5 x min(40, 32 / 0.5 s)",
            probes(),
        ),
        (
            "probes a second, one sidecar",
            "200 x 363 / 880",
            probes() * ENTRIES / SIDECARS,
        ),
        ("renewals a second, all", "880 x 0.5", SIDECARS * RENEWALS),
        ("changes a second", "2,700 / 86,400", CHANGES),
        ("restarts a second", "(9 + 260) / 86,400", RESTARTS),
    ];
    for (name, formula, value) in rows {
        output.row(&[name.to_owned(), formula.to_owned(), number(value)]);
    }
}
