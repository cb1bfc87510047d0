//! What upstreams ask of one host with their answers.

use std::collections::HashMap;

use super::{Arrival, Bounds, History, Outcome, Request};
use crate::soak::plan::{Act, Fault};

/// After this an answer that asked for a pause is known to its host.
const NOTICE: u64 = 500;
/// Requests that may reach an upstream within a pause.
const ALLOWED: usize = 2;

/// An upstream that has turned a host's request away and asked for a pause gets at most two
/// requests from that host within it. A host that was stopped, killed, frozen or cut off from
/// the upstream meanwhile doesn't count.
pub(super) fn pause(history: &History, bounds: &Bounds) -> Vec<String> {
    let by_pair = by_pair(history);
    let mut found = Vec::new();
    for ((upstream, host), arrivals) in &by_pair {
        let asked = arrivals
            .iter()
            .filter_map(|(arrival, _)| Some((arrival.at, arrival.pause?)));
        for (at, until) in asked {
            let is_cut =
                |fault: &Fault| is_end(fault, *host) || matches!(fault.act, Act::Upstream(..));
            if disturbed(history, bounds, (at, until), is_cut) {
                continue;
            }
            let within = at + NOTICE..until;
            let got = arrivals
                .iter()
                .filter(|(arrival, _)| within.contains(&arrival.at));
            let got = got.count();
            if got > ALLOWED {
                found.push(format!(
                    "upstream {upstream} got {got} requests from host {host} in a pause from {at} to {until} ms"
                ));
            }
        }
    }
    found
}

/// Once a host has passed on an answer that says that its upstream leaves, nothing reaches
/// that upstream from it that was sent to it later than the time for draining. A host that
/// was stopped, killed or frozen since doesn't count.
pub(super) fn leaving(history: &History, bounds: &Bounds) -> Vec<String> {
    let by_pair = by_pair(history);
    let mut found = Vec::new();
    for ((upstream, host), arrivals) in &by_pair {
        let passed = arrivals.iter().filter(|(arrival, request)| {
            arrival.leaving && request.outcome == Outcome::Status(200)
        });
        let Some(passed) = passed.map(|(_, request)| request.ended).min() else {
            continue;
        };
        let late = arrivals.iter().find(|(arrival, request)| {
            let is_end = |fault: &Fault| is_end(fault, *host);
            let span = (passed, arrival.at);
            request.sent > passed + bounds.drain && !disturbed(history, bounds, span, is_end)
        });
        found.extend(late.map(|(arrival, _)| {
            format!(
                "upstream {upstream} got request {} from host {host} at {} ms, known to leave since {passed} ms",
                arrival.id, arrival.at
            )
        }));
    }
    found
}

/// Arrivals with their requests, by upstream and host.
fn by_pair(history: &History) -> HashMap<(usize, usize), Vec<(&Arrival, &Request)>> {
    let requests = history.requests.iter();
    let requests: HashMap<&str, &Request> = requests.map(|r| (&*r.id, r)).collect();
    let mut by_pair: HashMap<_, Vec<_>> = HashMap::new();
    for arrival in &history.arrivals {
        if let Some(request) = requests.get(&*arrival.id) {
            let pair = (arrival.upstream, request.host);
            by_pair.entry(pair).or_default().push((arrival, *request));
        }
    }
    by_pair
}

/// Whether the fault ends what a host knows, or stops it for a while.
fn is_end(fault: &Fault, host: usize) -> bool {
    match fault.act {
        Act::KillHost(n) | Act::FreezeHost(n) | Act::StopHost(n) => n == host,
        Act::KillAll => true,
        _ => false,
    }
}

/// Whether such a fault lies in a time, or its end does.
fn disturbed<F>(history: &History, bounds: &Bounds, (from, to): (u64, u64), is_such: F) -> bool
where
    F: Fn(&Fault) -> bool,
{
    let mut such = history.faults.iter().filter(|fault| is_such(fault));
    such.any(|fault| fault.at <= to && fault.end() + bounds.grace >= from)
}
