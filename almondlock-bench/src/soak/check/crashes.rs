//! A part of prompts that crashes upstreams: how many, and what becomes of other requests.

use std::{
    collections::{HashMap, HashSet},
    fmt,
};

use super::{Bounds, is_calm};
use crate::soak::history::{Arrival, History, Kind, Outcome, Request};

/// Upstreams that a part may crash before hosts have a bounded time to react.
const DEATHS: usize = 5;
/// Requests with it that may reach upstreams after that time.
const LATER: usize = 3;
/// The fewest requests that are compared.
const COMPARED: usize = 20;
/// Code of a refusal because upstreams were lost with a request.
const SUSPECTED: u16 = 2018;
/// The most findings of one check that are listed.
const LISTED: usize = 5;

/// What a run with such a part has shown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    /// Upstreams that it crashed.
    pub crashed: usize,
    /// Requests with it that reached upstreams late.
    pub late: usize,
    /// Streams without it before the first crash: served at the first attempt, and all.
    pub before: (usize, usize),
    /// The same in the time in which hosts have reacted.
    pub after: (usize, usize),
}

impl Seen {
    /// What the history has of it. None: no request had such a part.
    pub fn of(history: &History, bounds: &Bounds) -> Option<Seen> {
        let asked = history.requests.iter().filter(|r| r.kind == Kind::Part);
        let last = asked.clone().map(|request| request.sent).max()?;
        let asked: HashMap<&str, &Request> = asked.map(|r| (&*r.id, r)).collect();
        let arrivals = history.arrivals.iter();
        let arrivals: Vec<&Arrival> = arrivals.filter(|a| asked.contains_key(&*a.id)).collect();
        let mut crashes: Vec<u64> = arrivals.iter().filter_map(|a| a.crashed).collect();
        crashes.sort_unstable();
        let fifth = crashes.get(DEATHS - 1);
        let late = arrivals.iter().filter(|arrival| {
            let is_late = fifth.is_some_and(|fifth| arrival.at > fifth + bounds.contact);
            is_late && is_calm(history, (arrival.at, arrival.at), bounds)
        });
        let first = crashes.first().copied().unwrap_or(last);
        let known = fifth.or(crashes.last()).copied().unwrap_or(last);
        Some(Seen {
            crashed: crashes.len(),
            late: late.count(),
            before: served(history, bounds, (0, first.saturating_sub(bounds.slack))),
            after: served(history, bounds, (known + 2 * bounds.contact, last)),
        })
    }
}

impl fmt::Display for Seen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Seen {
            crashed,
            late,
            before: (served, all),
            after: (served_after, all_after),
        } = self;
        write!(
            f,
            "a part crashed {crashed} upstreams, {late} late arrivals; sound streams served: \
             {served} of {all} before, {served_after} of {all_after} after"
        )
    }
}

/// The requests that ran on an upstream when a request with such a part crashed it, that one
/// included.
pub(super) fn lost(history: &History) -> HashSet<&str> {
    let asked = history.requests.iter().filter(|r| r.kind == Kind::Part);
    let asked: HashSet<&str> = asked.map(|request| &*request.id).collect();
    let crashing = history.arrivals.iter().filter(|a| asked.contains(&*a.id));
    let crashes: HashMap<usize, u64> = crashing
        .filter_map(|arrival| Some((arrival.upstream, arrival.crashed?)))
        .collect();
    let lost = history.arrivals.iter().filter(|arrival| {
        let crash = crashes.get(&arrival.upstream);
        arrival.is_broken && crash.is_some_and(|at| arrival.at <= *at)
    });
    lost.map(|arrival| &*arrival.id).collect()
}

/// How many of the streams that were sent in this time, while nothing unplanned went on, were
/// served.
fn served(history: &History, bounds: &Bounds, (from, to): (u64, u64)) -> (usize, usize) {
    let sound = history.requests.iter().filter(|request| {
        let is_within = (from..to).contains(&request.sent);
        request.kind == Kind::Short
            && is_within
            && is_calm(history, (request.sent, request.ended), bounds)
    });
    let outcomes: Vec<Outcome> = sound.map(|request| request.outcome).collect();
    let served = outcomes.iter().filter(|o| **o == Outcome::Status(200));
    (served.count(), outcomes.len())
}

/// Once a part has crashed five upstreams and hosts have had time to hear of it, few requests
/// with it reach upstreams.
pub(super) fn part(history: &History, bounds: &Bounds) -> Vec<String> {
    let seen = Seen::of(history, bounds);
    let found = seen.filter(|seen| seen.late > LATER);
    let found = found.map(|seen| {
        let Seen { crashed, late, .. } = seen;
        format!("a part that had crashed {DEATHS} upstreams reached {late} more, {crashed} crashed")
    });
    found.into_iter().collect()
}

/// Streams without the part are served half as often as before at least.
pub(super) fn beside(history: &History, bounds: &Bounds) -> Vec<String> {
    let seen = Seen::of(history, bounds);
    let found = seen.filter(|seen| {
        let ((before, all), (after, all_after)) = (seen.before, seen.after);
        let is_compared = all >= COMPARED && all_after >= COMPARED;
        is_compared && after * 2 * all < before * all_after
    });
    found.map(|seen| seen.to_string()).into_iter().collect()
}

/// No request that crashes nothing is refused because upstreams were lost with it.
pub(super) fn innocent(history: &History) -> Vec<String> {
    let mut crashing: HashSet<&str> = HashSet::new();
    crashing.extend(
        history
            .arrivals
            .iter()
            .filter(|a| a.crashed.is_some())
            .map(|a| &*a.id),
    );
    let refused = history.requests.iter().filter(|request| {
        let is_sound = !request.kind.is_crashing() && !crashing.contains(&*request.id);
        is_sound && request.code == Some(SUSPECTED)
    });
    let mut found: Vec<String> = refused
        .map(|request| {
            let Request {
                id,
                host,
                sent,
                kind,
                ..
            } = request;
            format!("request {id} ({kind:?}) of {sent} ms was refused by host {host} as suspected")
        })
        .collect();
    if found.len() > LISTED {
        let more = found.len() - LISTED;
        found.truncate(LISTED);
        found.push(format!("and {more} more"));
    }
    found
}
