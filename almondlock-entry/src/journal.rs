//! What happened to the requests of the last minutes, for `explain`.
//!
//! Bounded in requests and in events for each; nothing of a request's body or
//! of its caller's key is kept.

use std::collections::{HashMap, VecDeque};

use almondlock_base::time::Mono;
use serde::Serialize;

/// Requests remembered.
const REQUESTS: usize = 4096;
/// Events remembered for each.
const EVENTS: usize = 64;

/// Something that happened to a request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Event {
    /// Microseconds since the request arrived.
    pub after_micros: u64,
    /// What happened.
    pub what: String,
}

/// A request and what happened to it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Record {
    /// Whose request it was.
    pub organisation: String,
    /// Events, oldest first.
    pub events: Vec<Event>,
    #[serde(skip)]
    arrival: Mono,
}

/// The requests of the last minutes.
#[derive(Debug, Default)]
pub struct Journal {
    // Invariant: `order` has each key of `records` once, oldest first.
    records: HashMap<String, Record>,
    order: VecDeque<String>,
}

impl Journal {
    /// Begins a request's record.
    pub fn open(&mut self, request: &str, organisation: &str, arrival: Mono) {
        let record = Record {
            organisation: organisation.to_owned(),
            events: Vec::new(),
            arrival,
        };
        if self.records.insert(request.to_owned(), record).is_none() {
            self.order.push_back(request.to_owned());
        }
        if self.order.len() > REQUESTS {
            let oldest = self.order.pop_front();
            oldest.map(|request| self.records.remove(&request));
        }
    }

    /// Adds an event to a request's record.
    pub fn note(&mut self, request: &str, what: String, now: Mono) {
        let Some(record) = self.records.get_mut(request) else {
            return;
        };
        if record.events.len() < EVENTS {
            let after = now.since(record.arrival).as_micros();
            record.events.push(Event {
                after_micros: u64::try_from(after).unwrap_or(u64::MAX),
                what,
            });
        }
    }

    /// A request's record.
    pub fn get(&self, request: &str) -> Option<&Record> {
        self.records.get(request)
    }
}
