//! An attempt on its way to an upstream: its head, and how it ended.
//!
//! The body of a request doesn't travel with the head unless it is small: the
//! sidecar reads it from the entry host in chunks once the engine has room, so
//! that a long prompt neither waits in the sidecar's memory nor holds up the
//! small messages that share its connection.

use std::time::Duration;

use almondlock_base::{
    Code, Ran,
    id::{Adapter, Attempt, Fingerprint, Host, Incarnation, Model, Organisation, Service},
    unit::Tokens,
};

use crate::{
    almondlock_capnp::{self as schema, attempt_id, head, load, outcome, part, segment},
    error::Error,
    peer::Peer,
};

/// The largest body that travels within its head, in bytes.
pub const INLINE_BODY: usize = 64 * 1024;

/// The largest chunk of a body that is read at once, in bytes. Small enough
/// that a frame of another answer waits at most a fraction of a millisecond
/// behind it on a 10 Gbit/s link.
pub const BODY_CHUNK: usize = 256 * 1024;

/// What a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A model, with an adapter or without.
    Model(Model, Option<Adapter>),
    /// A plain service.
    Service(Service),
}

/// One attempt of one request, without its body unless that is small.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Which attempt.
    pub attempt: Attempt,
    /// The life of the sidecar it is meant for; a later life refuses it.
    pub incarnation: Incarnation,
    /// The request's id, for logs.
    pub request: String,
    /// W3C trace context.
    pub traceparent: String,
    /// Whose request it is.
    pub organisation: Organisation,
    /// Where to.
    pub target: Target,
    /// HTTP method.
    pub method: String,
    /// HTTP path and query.
    pub path: String,
    /// The body's type.
    pub content_type: String,
    /// Estimated length of the prompt.
    pub prompt: Tokens,
    /// Upper bound of the answer's length.
    pub output: Tokens,
    /// Time left until the deadline. A span, since clocks differ.
    pub budget: Duration,
    /// How long engine memory held for it outlives the entry's silence.
    pub lease: Duration,
    /// The organisation's share. At least 1.
    pub share: u32,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether the caller asked for a stream.
    pub stream: bool,
    /// Whether it is suspected of killing engines.
    pub suspect: bool,
    /// Answer tokens that an earlier attempt delivered.
    pub resume_at: u64,
    /// What the request is told by.
    pub fingerprint: Fingerprint,
    /// Hashes of the prompt's leading blocks.
    pub prefix: Vec<u64>,
    /// Length of the whole body in bytes.
    pub body_length: u64,
    /// The body, when at most [`INLINE_BODY`] long; else empty.
    pub body: Vec<u8>,
    /// Parts of the prompt that other engines hold.
    pub segments: Vec<Segment>,
    /// Who sends it.
    pub from: Peer,
}

/// A part of a prompt larger than an engine, processed and held on one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// The engine's own address.
    pub address: String,
    /// The engine's name for what it holds.
    pub handle: String,
}

/// What is asked of one member for a prompt larger than an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// The attempt that it is for, one for each member.
    pub attempt: Attempt,
    /// The life of the sidecar it is meant for.
    pub incarnation: Incarnation,
    /// Whose request it is.
    pub organisation: Organisation,
    /// Engine memory.
    pub tokens: Tokens,
    /// Time left until the deadline.
    pub budget: Duration,
    /// How long it is held after the entry host fell silent.
    pub lease: Duration,
    /// Where its text stands in the body: offset and length in bytes. Length 0
    /// when the engine is told a number of tokens only.
    pub text: (u64, u64),
    /// What the request is told by.
    pub fingerprint: Fingerprint,
    /// Who sends it.
    pub from: Peer,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// `None`: the whole answer was delivered.
    pub code: Option<Code>,
    /// Whether it ran.
    pub ran: Ran,
    /// Words for people; may be empty.
    pub message: String,
    /// When sending again may help.
    pub retry_after: Option<Duration>,
    /// How long it waited beside the engine.
    pub queued: Duration,
    /// The upstream's load at the end.
    pub load: Load,
    /// The engine died while it ran there.
    pub died: bool,
    /// Other requests that ran there at that moment.
    pub beside: Vec<Fingerprint>,
}

impl Outcome {
    /// An attempt that was refused before it ran.
    pub fn refused(code: Code, retry_after: Option<Duration>) -> Outcome {
        Outcome {
            code: Some(code),
            ran: Ran::No,
            message: code.text().to_owned(),
            retry_after,
            queued: Duration::ZERO,
            load: Load::default(),
            died: false,
            beside: Vec::new(),
        }
    }
}

/// What a sidecar tells of its upstream. Old as soon as it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests on the engine.
    pub running: u32,
    /// Requests waiting beside it.
    pub queued: u32,
    /// Prompt tokens not yet processed, of both.
    pub backlog: Tokens,
    /// Engine memory left.
    pub free: Tokens,
    /// Engine memory in all.
    pub capacity: Tokens,
    /// Estimated wait of a short request that came now.
    pub wait: Duration,
    /// Takes no new work.
    pub leaving: bool,
    /// How many of the prefix hashes asked about it has cached.
    pub cached: u32,
    /// Observed speed of prompt processing, in tokens a second.
    pub speed: u64,
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Reads an attempt's id.
pub fn read_id(from: attempt_id::Reader<'_>) -> Result<Attempt, Error> {
    Ok(Attempt {
        host: Host::new(from.get_host()?.to_str()?)?,
        incarnation: Incarnation(from.get_incarnation()),
        counter: from.get_counter(),
    })
}

/// Writes an attempt's id.
pub fn write_id(id: &Attempt, mut to: attempt_id::Builder<'_>) {
    to.set_host(id.host.as_str());
    to.set_incarnation(id.incarnation.0);
    to.set_counter(id.counter);
}

/// Reads whether something ran.
pub fn read_ran(from: schema::Ran) -> Ran {
    match from {
        schema::Ran::No => Ran::No,
        schema::Ran::Yes => Ran::Yes,
        schema::Ran::Unknown => Ran::Unknown,
    }
}

/// The protocol's form of whether something ran.
pub fn write_ran(ran: Ran) -> schema::Ran {
    match ran {
        Ran::No => schema::Ran::No,
        Ran::Yes => schema::Ran::Yes,
        Ran::Unknown => schema::Ran::Unknown,
    }
}

fn read_target(from: head::Reader<'_>) -> Result<Target, Error> {
    let service = from.get_service()?.to_str()?;
    if !service.is_empty() {
        return Ok(Target::Service(Service::new(service)?));
    }
    let adapter = from.get_adapter()?.to_str()?;
    let adapter = (!adapter.is_empty()).then(|| Adapter::new(adapter));
    let model = Model::new(from.get_model()?.to_str()?)?;
    Ok(Target::Model(model, adapter.transpose()?))
}

/// Reads a head.
pub fn read_head(from: head::Reader<'_>) -> Result<Head, Error> {
    let body = from.get_body()?;
    let body_length = from.get_body_length();
    if !body.is_empty() && body.len() as u64 != body_length {
        return Err(Error::field("bodyLength", "not the length of the body"));
    }
    let fingerprint = Fingerprint::from_slice(from.get_fingerprint()?);
    Ok(Head {
        attempt: read_id(from.get_attempt()?)?,
        incarnation: Incarnation(from.get_target()),
        request: from.get_request()?.to_string()?,
        traceparent: from.get_traceparent()?.to_string()?,
        organisation: Organisation::new(from.get_organisation()?.to_str()?)?,
        target: read_target(from)?,
        method: from.get_method()?.to_string()?,
        path: from.get_path()?.to_string()?,
        content_type: from.get_content_type()?.to_string()?,
        prompt: Tokens(from.get_prompt_tokens()),
        output: Tokens(from.get_output_tokens()),
        budget: Duration::from_micros(from.get_budget_micros()),
        lease: Duration::from_micros(from.get_lease_micros()),
        share: from.get_weight().max(1),
        repeatable: from.get_repeatable(),
        stream: from.get_stream(),
        suspect: from.get_suspect(),
        resume_at: from.get_resume_at(),
        fingerprint: fingerprint.ok_or_else(|| Error::field("fingerprint", "not 16 bytes"))?,
        prefix: from.get_prefix()?.iter().collect(),
        body_length,
        body: body.to_vec(),
        segments: from
            .get_segments()?
            .iter()
            .map(read_segment)
            .collect::<Result<_, _>>()?,
        from: Peer::read(from.get_from()?)?,
    })
}

/// Reads a segment.
pub fn read_segment(from: segment::Reader<'_>) -> Result<Segment, Error> {
    Ok(Segment {
        address: from.get_address()?.to_string()?,
        handle: from.get_handle()?.to_string()?,
    })
}

/// Writes a segment.
pub fn write_segment(segment: &Segment, mut to: segment::Builder<'_>) {
    to.set_address(&segment.address);
    to.set_handle(&segment.handle);
}

/// Reads what is asked of a member.
pub fn read_part(from: part::Reader<'_>) -> Result<Part, Error> {
    let fingerprint = Fingerprint::from_slice(from.get_fingerprint()?);
    Ok(Part {
        attempt: read_id(from.get_attempt()?)?,
        incarnation: Incarnation(from.get_target()),
        organisation: Organisation::new(from.get_organisation()?.to_str()?)?,
        tokens: Tokens(from.get_tokens()),
        budget: Duration::from_micros(from.get_budget_micros()),
        lease: Duration::from_micros(from.get_lease_micros()),
        text: (from.get_offset(), from.get_length()),
        fingerprint: fingerprint.ok_or_else(|| Error::field("fingerprint", "not 16 bytes"))?,
        from: Peer::read(from.get_from()?)?,
    })
}

/// Writes what is asked of a member.
pub fn write_part(part: &Part, mut to: part::Builder<'_>) {
    write_id(&part.attempt, to.reborrow().init_attempt());
    to.set_target(part.incarnation.0);
    to.set_organisation(part.organisation.as_str());
    to.set_tokens(part.tokens.0);
    to.set_budget_micros(micros(part.budget));
    to.set_lease_micros(micros(part.lease));
    to.set_offset(part.text.0);
    to.set_length(part.text.1);
    to.set_fingerprint(&part.fingerprint.0);
    part.from.write(to.init_from());
}

/// Writes a head.
pub fn write_head(head: &Head, mut to: head::Builder<'_>) -> Result<(), Error> {
    write_id(&head.attempt, to.reborrow().init_attempt());
    to.set_target(head.incarnation.0);
    to.set_request(&head.request);
    to.set_traceparent(&head.traceparent);
    to.set_organisation(head.organisation.as_str());
    match &head.target {
        Target::Model(model, adapter) => {
            to.set_model(model.as_str());
            to.set_adapter(adapter.as_ref().map_or("", Adapter::as_str));
        }
        Target::Service(service) => to.set_service(service.as_str()),
    }
    to.set_method(&head.method);
    to.set_path(&head.path);
    to.set_content_type(&head.content_type);
    to.set_prompt_tokens(head.prompt.0);
    to.set_output_tokens(head.output.0);
    to.set_budget_micros(micros(head.budget));
    to.set_lease_micros(micros(head.lease));
    to.set_weight(head.share);
    to.set_repeatable(head.repeatable);
    to.set_stream(head.stream);
    to.set_suspect(head.suspect);
    to.set_resume_at(head.resume_at);
    to.set_fingerprint(&head.fingerprint.0);
    to.set_prefix(head.prefix.as_slice())?;
    to.set_body_length(head.body_length);
    to.set_body(&head.body);
    let count = u32::try_from(head.segments.len()).unwrap_or(u32::MAX);
    let mut list = to.reborrow().init_segments(count);
    for (i, segment) in (0..count).zip(&head.segments) {
        write_segment(segment, list.reborrow().get(i));
    }
    head.from.write(to.init_from());
    Ok(())
}

/// Reads how an attempt ended.
pub fn read_outcome(from: outcome::Reader<'_>) -> Result<Outcome, Error> {
    let number = from.get_code();
    // A code of a newer version still says that it failed.
    let code = (number != 0).then(|| Code::from_number(number).unwrap_or(Code::UpstreamFailed));
    let retry = from.get_retry_after_millis();
    let beside = from.get_beside()?;
    let beside = beside
        .iter()
        .map(|print| Ok(Fingerprint::from_slice(print?)));
    let beside: Result<Vec<_>, Error> = beside.collect();
    Ok(Outcome {
        code,
        ran: read_ran(from.get_ran()?),
        message: from.get_message()?.to_string()?,
        retry_after: (retry != 0).then(|| Duration::from_millis(retry)),
        queued: Duration::from_micros(from.get_queue_micros()),
        load: read_load(from.get_load()?),
        died: from.get_died(),
        beside: beside?.into_iter().flatten().collect(),
    })
}

/// Writes how an attempt ended.
pub fn write_outcome(outcome: &Outcome, mut to: outcome::Builder<'_>) {
    to.set_code(outcome.code.map_or(0, Code::number));
    to.set_ran(write_ran(outcome.ran));
    to.set_message(&outcome.message);
    to.set_retry_after_millis(outcome.retry_after.map_or(0, millis));
    to.set_queue_micros(micros(outcome.queued));
    write_load(&outcome.load, to.reborrow().init_load());
    to.set_died(outcome.died);
    let count = u32::try_from(outcome.beside.len()).unwrap_or(u32::MAX);
    let mut list = to.init_beside(count);
    for (i, print) in (0..count).zip(&outcome.beside) {
        list.set(i, &print.0);
    }
}

/// Reads a load.
pub fn read_load(from: load::Reader<'_>) -> Load {
    Load {
        running: from.get_running(),
        queued: from.get_queued(),
        backlog: Tokens(from.get_queued_tokens()),
        free: Tokens(from.get_free_tokens()),
        capacity: Tokens(from.get_capacity_tokens()),
        wait: Duration::from_micros(from.get_wait_micros()),
        leaving: from.get_leaving(),
        cached: from.get_cached(),
        speed: from.get_tokens_per_second(),
    }
}

/// Writes a load.
pub fn write_load(load: &Load, mut to: load::Builder<'_>) {
    to.set_running(load.running);
    to.set_queued(load.queued);
    to.set_queued_tokens(load.backlog.0);
    to.set_free_tokens(load.free.0);
    to.set_capacity_tokens(load.capacity.0);
    to.set_wait_micros(micros(load.wait));
    to.set_leaving(load.leaving);
    to.set_cached(load.cached);
    to.set_tokens_per_second(load.speed);
}
