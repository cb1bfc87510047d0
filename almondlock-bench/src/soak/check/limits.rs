//! Limits that upstreams name, and what is allowed of them.

use std::collections::HashMap;

use super::{Arrival, Bounds, History, Outcome, hosts};
use crate::soak::plan::Act;

/// The span over which a limit is counted.
const LIMIT_SPAN: u64 = 4_000;
/// After this an answer that named a limit is known to the host that passed it on.
const TOLD: u64 = 500;

/// An upstream gets from hosts that know its limit at most half as many again as it allows,
/// and five, in any four seconds. A host that was disturbed doesn't count.
pub(super) fn limit(history: &History, bounds: &Bounds) -> Vec<String> {
    let hosts = hosts(history);
    let whole = history.requests.iter();
    let whole = whole.filter(|request| request.outcome == Outcome::Status(200));
    let answered: HashMap<&str, (usize, u64)> = whole
        .map(|request| (&*request.id, (request.host, request.ended)))
        .collect();
    let mut by_upstream: HashMap<usize, Vec<&Arrival>> = HashMap::new();
    for arrival in &history.arrivals {
        by_upstream
            .entry(arrival.upstream)
            .or_default()
            .push(arrival);
    }
    let mut found = Vec::new();
    for (upstream, arrivals) in by_upstream {
        let spells = spells(&arrivals);
        for (from, to, rate) in spells {
            let told = told(&arrivals, &answered, from, to);
            let counts = |at: u64, host: usize| {
                let is_told = told.get(&host).is_some_and(|told| told + TOLD <= at);
                is_told && !is_disturbed(history, bounds, host, from, at)
            };
            let counted: Vec<u64> = arrivals
                .iter()
                .filter(|arrival| arrival.at >= from + bounds.contact && arrival.at <= to)
                .filter(|arrival| {
                    hosts
                        .get(&*arrival.id)
                        .is_some_and(|h| counts(arrival.at, *h))
                })
                .map(|arrival| arrival.at)
                .collect();
            let allowed = (1.5 * f64::from(rate) / 1e6 * LIMIT_SPAN as f64) as usize + 5;
            let over = counted.iter().find_map(|start| {
                let span = start..&(start + LIMIT_SPAN);
                let got = counted.iter().filter(|at| span.contains(at)).count();
                (got > allowed).then_some((*start, got))
            });
            found.extend(over.map(|(at, got)| {
                format!("upstream {upstream} got {got} requests in 4 s from {at} ms on, {allowed} allowed")
            }));
        }
    }
    found
}

/// The times in which an upstream's answers named the same limit: from, to, thousandths a
/// second.
fn spells(arrivals: &[&Arrival]) -> Vec<(u64, u64, u32)> {
    let mut answers: Vec<(u64, Option<u32>)> = arrivals.iter().filter_map(|a| a.answered).collect();
    answers.sort_unstable();
    let mut spells: Vec<(u64, u64, u32)> = Vec::new();
    let mut last = None;
    for (at, rate) in answers {
        match (rate, last == rate) {
            (Some(rate), false) => spells.push((at, at, rate)),
            (Some(_), true) => {
                if let Some(spell) = spells.last_mut() {
                    spell.1 = at;
                }
            }
            (None, _) => {}
        }
        last = rate;
    }
    spells
}

/// When each host first passed on, whole, an answer that named a limit.
fn told(
    arrivals: &[&Arrival],
    answered: &HashMap<&str, (usize, u64)>,
    from: u64,
    to: u64,
) -> HashMap<usize, u64> {
    let mut told: HashMap<usize, u64> = HashMap::new();
    for arrival in arrivals {
        let Some((at, Some(_))) = arrival.answered else {
            continue;
        };
        let passed = answered.get(&*arrival.id);
        if let Some((host, ended)) = passed.filter(|_| (from..=to).contains(&at)) {
            let first = told.entry(*host).or_insert(*ended);
            *first = (*first).min(*ended);
        }
    }
    told
}

/// Whether a host was killed, frozen or stopped in a time.
fn is_disturbed(history: &History, bounds: &Bounds, host: usize, from: u64, to: u64) -> bool {
    history.faults.iter().any(|fault| {
        let own = match fault.act {
            Act::KillHost(n) | Act::FreezeHost(n) | Act::StopHost(n) => n == host,
            Act::KillAll => true,
            _ => false,
        };
        own && fault.at <= to && fault.end() + bounds.grace + bounds.contact >= from
    })
}
