//! Failure domains that are evacuated, cold upstreams, and starts of all processes.

use std::collections::{HashMap, HashSet};

use super::{Bounds, History, Outcome, hosts};
use crate::soak::{
    operator::COLD_RATE,
    plan::{Act, Fault},
};

/// Nothing reaches the upstreams of a failure domain that is evacuated, of a host that was
/// undisturbed for as long as hosts have to hear of it.
pub(super) fn evacuated(history: &History, bounds: &Bounds) -> Vec<String> {
    let hosts = hosts(history);
    let found = history.evacuations.iter().flat_map(|evacuation| {
        let from = evacuation.acknowledged + bounds.evacuation;
        // Orders for one domain may overlap: the first withdrawal ends all that came before.
        let others = history.evacuations.iter();
        let ends = others.filter(|other| other.domain == evacuation.domain);
        let ends = ends.filter_map(|other| other.withdrawn);
        let ends = ends.filter(|end| *end >= evacuation.acknowledged);
        let to = ends.min().unwrap_or(u64::MAX);
        let late = history.arrivals.iter().filter(move |arrival| {
            arrival.domain == evacuation.domain && (from..to).contains(&arrival.at)
        });
        let hosts = &hosts;
        let late = late.filter(move |arrival| {
            let host = hosts.get(&*arrival.id).copied();
            !is_out_of_touch(history, host, arrival.at, bounds.contact)
        });
        late.map(|arrival| {
            format!(
                "request {} reached domain {} at {} ms, {} ms after its evacuation",
                arrival.id,
                arrival.domain,
                arrival.at,
                arrival.at - evacuation.acknowledged
            )
        })
    });
    found.collect()
}

/// Whether something was done to a host, or to replicas, until so long before a moment.
fn is_out_of_touch(history: &History, host: Option<usize>, at: u64, contact: u64) -> bool {
    let touches = |fault: &Fault| match fault.act {
        Act::KillHost(n) | Act::FreezeHost(n) | Act::StopHost(n) => Some(n) == host,
        Act::KillReplica(_)
        | Act::FreezeReplica(_)
        | Act::StopReplica(_)
        | Act::WipeReplica(_)
        | Act::TearReplica(_)
        | Act::KillReplicas
        | Act::KillAll => true,
        _ => false,
    };
    let mut near = history.faults.iter();
    near.any(|fault| touches(fault) && fault.at <= at && at < fault.end() + contact)
}

/// A cold upstream gets no more than it bears, of all hosts together.
pub(super) fn cold(history: &History, bounds: &Bounds) -> Vec<String> {
    let allowed = (COLD_RATE * bounds.cold.0) as usize + bounds.cold.1;
    let mut lives: HashMap<usize, Vec<u64>> = HashMap::new();
    for arrival in history.arrivals.iter().filter(|arrival| arrival.cold) {
        lives.entry(arrival.upstream).or_default().push(arrival.at);
    }
    let found = lives.into_iter().filter_map(|(upstream, times)| {
        let within = |from: &u64| {
            let second = times.iter().filter(|at| (*from..from + 1_000).contains(at));
            second.count()
        };
        let most = times.iter().map(within).max()?;
        (most > allowed)
            .then(|| format!("upstream {upstream} got {most} requests in a second while cold"))
    });
    found.collect()
}

/// After all processes were started again each host serves within its time, unless something
/// else was done meanwhile.
pub(super) fn start(history: &History, bounds: &Bounds) -> Vec<String> {
    let starts = history.faults.iter().filter(|f| f.act == Act::KillAll);
    let hosts: HashSet<usize> = history.requests.iter().map(|r| r.host).collect();
    let mut found = Vec::new();
    for fault in starts {
        let span = fault.end()..fault.end() + bounds.start;
        let mut others = history.faults.iter().filter(|other| {
            let is_other = other.act != Act::KillAll && !other.act.is_planned();
            is_other && other.at < span.end && fault.at < other.end() + bounds.contact
        });
        if others.next().is_some() {
            continue;
        }
        for host in &hosts {
            let served = history.requests.iter().any(|request| {
                let is_in_time = request.sent >= span.start && request.ended < span.end;
                let served = request.outcome == Outcome::Status(200);
                request.host == *host && is_in_time && served
            });
            if !served {
                found.push(format!(
                    "host {host} served nobody within {} ms of the start of all at {} ms",
                    bounds.start, span.start
                ));
            }
        }
    }
    found
}
