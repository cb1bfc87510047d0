//! Retries of all entry hosts, counted by what upstreams received.

use std::collections::HashSet;

use super::Bounds;
use crate::{
    retries::{self, Bound, Worst},
    soak::{
        history::{History, Kind},
        world::{ENGINES, PLAIN},
    },
};

/// In any window, wherever it begins, upstreams of a service get no more retries than all
/// entry hosts together may send.
pub(super) fn retries(history: &History, bounds: &Bounds) -> Vec<String> {
    let over = worst(history, bounds)
        .into_iter()
        .filter(|(_, worst)| worst.is_over());
    let texts = over.map(|(service, worst)| format!("{service}: {worst}"));
    texts.collect()
}

/// Returns the worst window of each service that got a retry.
pub fn worst(history: &History, bounds: &Bounds) -> Vec<(&'static str, Worst)> {
    let (ratio, slack) = bounds.retries;
    let bound = Bound { ratio, slack };
    let of_service = |service| {
        let mut first: HashSet<&str> = HashSet::new();
        let arrivals = history.arrivals.iter().filter(|a| a.service == service);
        let again = arrivals.filter(|a| !first.insert(&a.id)).map(|a| a.at);
        let again = again.collect();
        let requests = history.requests.iter();
        let asked = requests.filter(|request| service_of(request.kind) == service);
        let asked = asked.map(|request| request.sent).collect();
        Some((service, retries::worst(asked, again, &bound)?))
    };
    [PLAIN, ENGINES]
        .into_iter()
        .filter_map(of_service)
        .collect()
}

/// The service that a request's route leads to.
const fn service_of(kind: Kind) -> &'static str {
    match kind {
        Kind::Safe | Kind::Unsafe | Kind::Crash | Kind::Version(_) => PLAIN,
        Kind::Short | Kind::Long | Kind::Part => ENGINES,
    }
}
