//! Retries of all entry hosts, counted by what upstreams received.

use std::collections::{BTreeSet, HashSet};

use super::Bounds;
use crate::soak::{
    history::{History, Kind},
    world::{ENGINES, PLAIN},
};

/// Milliseconds over which retries are counted.
const WINDOW: u64 = 10_000;

/// The window of a service with the most retries, of those that may be in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Worst {
    /// The service.
    pub service: &'static str,
    /// When the window begins.
    pub from: u64,
    /// Retries in it.
    pub made: usize,
    /// Retries that may be in it.
    pub allowed: usize,
}

/// In any window, wherever it begins, upstreams of a service get no more retries than all
/// entry hosts together may send.
pub(super) fn retries(history: &History, bounds: &Bounds) -> Vec<String> {
    let services: BTreeSet<&str> = history.arrivals.iter().map(|a| a.service).collect();
    let worst = services
        .into_iter()
        .filter_map(|s| worst(history, bounds, s));
    let over = worst.filter(|worst| worst.made > worst.allowed);
    let texts = over.map(|worst| {
        let Worst {
            service,
            from,
            made,
            allowed,
        } = worst;
        format!("{service}: {made} further attempts from {from} ms on, {allowed} allowed")
    });
    texts.collect()
}

/// Returns the worst window of a service, if it got a retry.
pub fn worst(history: &History, bounds: &Bounds, service: &str) -> Option<Worst> {
    let mut first: HashSet<&str> = HashSet::new();
    let arrivals = history.arrivals.iter().filter(|a| a.service == service);
    let further = arrivals.filter(|a| !first.insert(&a.id));
    let mut further: Vec<_> = further.map(|a| (a.at, a.service)).collect();
    further.sort_unstable();
    let requests = history.requests.iter();
    let asked = requests.filter(|request| service_of(request.kind) == service);
    let mut asked: Vec<u64> = asked.map(|request| request.sent).collect();
    asked.sort_unstable();
    let asked_within = |from: u64| {
        let begin = asked.partition_point(|at| *at < from);
        asked.partition_point(|at| *at < from + WINDOW) - begin
    };
    let windows = further.iter().enumerate().map(|(n, (from, service))| {
        let end = further.partition_point(|(at, _)| *at < from + WINDOW);
        let earlier = [WINDOW, WINDOW / 2, 0].map(|by| asked_within(from.saturating_sub(by)));
        let most = earlier.into_iter().max().unwrap_or(0);
        Worst {
            service,
            from: *from,
            made: end - n,
            allowed: (most as f64 * bounds.retries.0) as usize + bounds.retries.1,
        }
    });
    windows.max_by(|one, other| {
        let part = |worst: &Worst| worst.made as f64 / worst.allowed.max(1) as f64;
        part(one).total_cmp(&part(other))
    })
}

/// The service that a request's route leads to.
const fn service_of(kind: Kind) -> &'static str {
    match kind {
        Kind::Safe | Kind::Unsafe | Kind::Crash | Kind::Version(_) => PLAIN,
        Kind::Short | Kind::Long | Kind::Part => ENGINES,
    }
}
