//! Writes the head of a request to an upstream.

use almondlock_base::time::Mono;
use ntex::http::{
    Method,
    header::{CONTENT_LENGTH, HeaderName},
};

use crate::{
    dialect::Dialect,
    pick::Choice,
    request::Request,
    worker::{Target, Worker},
};

/// Upstreams that take part in an attempt.
pub(crate) struct Destination<'a> {
    /// Upstreams that the request could be sent to.
    pub(crate) targets: &'a [Target],
    /// The upstreams that were chosen, as indices into `targets`.
    pub(crate) choice: &'a Choice,
    /// Ids of the reserved memory, in the order of the shares.
    pub(crate) memory: &'a [String],
}

impl Destination<'_> {
    /// Returns the header value that lists the engines which read parts of the prompt,
    /// those with reserved memory first. The answering engine reads too, but is listed only
    /// if it has reserved memory.
    fn helpers<D>(&self, dialect: &D) -> String
    where
        D: Dialect,
    {
        let shares = self.choice.shares.iter();
        let holds = |place: &usize| shares.clone().any(|share| share.place == *place);
        let holders = shares.clone().map(|share| share.place).zip(self.memory);
        let holders = holders.map(|(place, memory)| (place, Some(memory.as_str())));
        let readers = self.choice.helpers.iter().filter(|place| !holds(place));
        let readers = readers.map(|place| (*place, None));
        let helpers = holders.chain(readers).filter_map(|(place, memory)| {
            let target = self.targets.get(place)?;
            Some(dialect.format_helper(target.address, memory))
        });
        helpers.collect::<Vec<_>>().join(",")
    }
}

/// Writes the head. `after` is the event after which an interrupted stream resumes.
pub(crate) fn write_head<D>(
    worker: &Worker<D>,
    request: &Request,
    destination: &Destination<'_>,
    after: Option<u64>,
    now: Mono,
) -> Vec<u8>
where
    D: Dialect,
{
    let names = worker.dialect.names();
    let mut head = Vec::with_capacity(768);
    let mut put = |parts: &[&[u8]]| parts.iter().for_each(|part| head.extend_from_slice(part));
    put(&[
        request.method.as_str().as_bytes(),
        b" ",
        request.path_and_query.as_bytes(),
        b" HTTP/1.1\r\n",
    ]);
    put(&[b"host: ", request.host.as_bytes(), b"\r\n"]);
    for (name, value) in &request.headers {
        if *name == names.last_event && after.is_some() {
            continue;
        }
        put(&[name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
    }
    let mut set = |name: &HeaderName, value: &str| {
        put(&[name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
    };
    set(
        &names.deadline,
        &request.time_left(now).as_millis().to_string(),
    );
    if let Some(target) = destination.targets.get(destination.choice.primary) {
        set(&names.instance, target.name.as_str());
    }
    if let Some(organisation) = &request.organisation {
        set(&names.organisation, &organisation.name);
    }
    if let Some(after) = after {
        set(&names.last_event, &after.to_string());
    }
    if request.demand.is_some() {
        set(&names.priority, &worker.priority(request, now).to_string());
    }
    let helpers = destination.helpers(&worker.dialect);
    if !helpers.is_empty() {
        set(&names.helpers, &helpers);
    }
    if !request.body.is_empty() || request.method == Method::POST || request.method == Method::PUT {
        set(&CONTENT_LENGTH, &request.body.len().to_string());
    }
    put(&[b"\r\n"]);
    head
}
