//! Running one attempt on an upstream, through its sidecar.
//!
//! The entry host keeps the body and the answer's place. The sidecar reads the
//! one and pushes the other, and when the future here is dropped, the session
//! tells it to stop.

use std::{cell::Cell, cell::RefCell, rc::Rc, time::Duration};

use almondlock_base::{Ran, id::Upstream, time::Mono};
use almondlock_node::{
    Handle, clock,
    links::{Heard, Session},
};
use almondlock_wire::{
    almondlock_capnp::{sidecar, sink, source},
    answer::{self, Assembly, Frame, Part, Usage, Verdict},
    attempt::{self, BODY_CHUNK, Head, Outcome},
    peer::Peer,
};
use tokio::{sync::mpsc, time::timeout};

use crate::body::Rope;

/// How long a sidecar is asked what became of an attempt.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);

/// A part of an answer that is in its place.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// All pieces before this one are void; only where nothing was delivered.
    Restart,
    /// The answer begins, with an HTTP status and a type.
    Begin(u16, String),
    /// Text of a model's answer.
    Text(String),
    /// Bytes of a service's answer.
    Bytes(Vec<u8>),
    /// The answer is whole.
    End(Usage),
}

/// What an attempt came to.
#[derive(Debug)]
pub struct Result {
    /// The sidecar's word, or none if the session was lost.
    pub outcome: Option<Outcome>,
    /// Units of the answer that were passed on, by this and earlier attempts.
    pub offset: u64,
    /// Whether the closing record was passed on.
    pub whole: bool,
    /// Whether any part of an answer was passed on.
    pub begun: bool,
    /// Whether the caller's side stopped taking pieces.
    pub left: bool,
    /// What a whole answer cost.
    pub usage: Option<Usage>,
    /// When the first part of the answer itself came.
    pub first: Option<Mono>,
}

struct Sink {
    assembly: RefCell<Assembly>,
    pieces: mpsc::Sender<Piece>,
    left: Cell<bool>,
    begun: Cell<bool>,
    usage: RefCell<Option<Usage>>,
    first: Cell<Option<Mono>>,
    heard: Heard,
    // Set when the attempt has ended: frames that still come over its link must
    // not mix with those of the next attempt.
    closed: Cell<bool>,
}

/// Closes a sink when its attempt ends, also by being dropped.
struct Open(Rc<Sink>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.closed.set(true);
    }
}

impl Sink {
    /// Passes a frame on if it is the next one.
    async fn take(&self, frame: Frame) -> std::result::Result<(), capnp::Error> {
        if self.closed.get() {
            return Err(capnp::Error::failed("the attempt has ended".to_owned()));
        }
        let verdict = self.assembly.borrow_mut().accept(&frame);
        match verdict {
            Verdict::Drop => return Ok(()),
            Verdict::Gap => return Err(capnp::Error::failed("a gap in the answer".to_owned())),
            Verdict::Next => {}
        }
        if frame.count > 0 && self.first.get().is_none() {
            self.first.set(Some(clock::mono()));
        }
        let piece = match frame.part {
            // A resumed answer has begun already.
            Part::Begin { .. } if self.begun.replace(true) => return Ok(()),
            Part::Begin {
                status,
                content_type,
            } => Piece::Begin(status, content_type),
            Part::Text(text) => Piece::Text(text),
            Part::Bytes(bytes) => Piece::Bytes(bytes),
            Part::End(usage) => {
                self.usage.replace(Some(usage.clone()));
                Piece::End(usage)
            }
        };
        self.pieces.send(piece).await.map_err(|_| {
            self.left.set(true);
            capnp::Error::failed("the caller left".to_owned())
        })
    }
}

impl sink::Server for Sink {
    async fn push(
        self: Rc<Self>,
        params: sink::PushParams,
        _: sink::PushResults,
    ) -> std::result::Result<(), capnp::Error> {
        self.heard.note();
        for frame in params.get()?.get_frames()? {
            self.take(answer::read(frame)?).await?;
        }
        Ok(())
    }
}

/// The entry's side of a body.
pub(crate) struct Source {
    pub(crate) rope: Rope,
}

impl source::Server for Source {
    async fn read(
        self: Rc<Self>,
        params: source::ReadParams,
        mut results: source::ReadResults,
    ) -> std::result::Result<(), capnp::Error> {
        let params = params.get()?;
        let limit = usize::try_from(params.get_limit()).unwrap_or(BODY_CHUNK);
        let chunk = self.rope.read(params.get_offset(), limit.min(BODY_CHUNK));
        results.get().set_chunk(&chunk);
        Ok(())
    }
}

/// The interface of an upstream's sidecar.
pub(crate) fn sidecar_of(session: &Session, upstream: &Upstream) -> sidecar::Client {
    let mut request = session.node().sidecar_request();
    request.get().set_upstream(upstream.as_str());
    request.send().pipeline.get_sidecar()
}

/// Runs an attempt to its end, or until the session is lost. `begun` says that
/// an earlier attempt's answer has begun to reach the caller.
pub async fn run(
    session: &Session,
    handle: &Handle,
    upstream: &Upstream,
    head: &Head,
    rope: &Rope,
    begun: bool,
    pieces: mpsc::Sender<Piece>,
) -> Result {
    let sink = Rc::new(Sink {
        assembly: RefCell::new(Assembly::new(head.attempt.clone(), head.resume_at)),
        pieces,
        left: Cell::new(false),
        begun: Cell::new(begun),
        usage: RefCell::default(),
        first: Cell::new(None),
        heard: session.heard(),
        closed: Cell::new(false),
    });
    let open = Open(Rc::clone(&sink));
    let outcome = tokio::select! {
        outcome = submit(session, handle, upstream, head, rope, Rc::clone(&sink)) => outcome.ok(),
        () = session.lost() => None,
    };
    drop(open);
    let assembly = sink.assembly.borrow();
    Result {
        outcome,
        offset: assembly.offset(),
        whole: assembly.is_whole(),
        begun: sink.begun.get(),
        left: sink.left.get(),
        usage: sink.usage.take(),
        first: sink.first.get(),
    }
}

async fn submit(
    session: &Session,
    handle: &Handle,
    upstream: &Upstream,
    head: &Head,
    rope: &Rope,
    sink: Rc<Sink>,
) -> std::result::Result<Outcome, capnp::Error> {
    let mut request = sidecar_of(session, upstream).submit_request();
    let mut params = request.get();
    attempt::write_head(head, params.reborrow().init_head())?;
    let rope = rope.clone();
    params.set_source(capnp_rpc::new_client(Source { rope }));
    params.set_sink(capnp_rpc::new_client_from_rc(sink));
    let answer = request.send().promise.await?;
    let outcome = answer.get()?.get_outcome()?;
    if let Ok(peer) = Peer::read(outcome.get_from()?) {
        handle.heard(&peer);
    }
    Ok(attempt::read_outcome(outcome)?)
}

/// Gives an attempt up at its sidecar and asks whether it ran. What nobody
/// answers in time is unknown: a copy may still be on its way.
pub async fn settle(session: &Session, handle: &Handle, upstream: &Upstream, head: &Head) -> Ran {
    let ask = async {
        let mut request = sidecar_of(session, upstream).settle_request();
        let mut params = request.get();
        attempt::write_id(&head.attempt, params.reborrow().init_attempt());
        params.set_target(head.incarnation.0);
        handle.peer().write(params.init_from());
        let answer = request.send().promise.await?;
        let ran = answer.get()?.get_ran()?;
        Ok::<Ran, capnp::Error>(attempt::read_ran(ran))
    };
    match timeout(SETTLE_TIMEOUT, ask).await {
        Ok(Ok(ran)) => ran,
        _ => Ran::Unknown,
    }
}
