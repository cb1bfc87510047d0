//! A request under way, and its answer in the form that its caller wants.
//!
//! Until the first piece of the answer a failure can still be told with a
//! status of its own. From then on the response is under way, and a failure is
//! a stream's last event; a service's response is broken off.

use std::{io, rc::Rc};

use almondlock_base::{Code, Ran};
use almondlock_http::response::Delimiter;
use almondlock_intake::{
    bodies::{self, Failed, Source},
    connections::{Busy, GRACE},
    held,
};
use almondlock_node::clock;
use almondlock_wire::answer::Usage;
use futures::stream;
use ntex::{
    http::StatusCode,
    util::{Bytes, BytesMut},
    web::{HttpRequest, HttpResponse},
};
use tokio::{
    sync::{mpsc, oneshot},
    task::{JoinHandle, spawn_local},
};
use tracing::Instrument;

use crate::{
    answer::Writer, attempt::Piece, claimed, failure::Failure, http::Arrival, life::Worker,
    request::Request,
};

/// Pieces of an answer that wait for their caller at most.
const DEPTH: usize = 64;

/// The largest answer of a service that is collected for a caller that knows no
/// chunks, in bytes.
const MAX_COLLECTED_BYTES: usize = 8 << 20;

/// A request under way: its life goes on in a task that ends when this is
/// dropped, which happens when the caller leaves.
pub(crate) struct Running {
    first: Option<Piece>,
    pieces: mpsc::Receiver<Piece>,
    end: oneshot::Receiver<Result<(), Failure>>,
    // Ends the life when the caller leaves.
    _task: Task,
    // Keeps the caller's connection from being closed for another one.
    busy: Busy,
}

struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Running {
    /// Starts a request and waits for the first piece of its answer.
    pub(crate) async fn start(
        worker: Rc<Worker>,
        request: Request,
        arrival: Arrival,
    ) -> Result<Running, Failure> {
        let Arrival {
            active, busy, span, ..
        } = arrival;
        let now = clock::mono();
        let organisation = request.organisation.clone();
        worker
            .shared
            .journal()
            .open(&request.id, organisation.as_str(), now);
        let tokens = request.prompt + request.output;
        let permit = worker.shared.admit(&organisation, tokens, now);
        let permit = permit
            .map_err(|refusal| Failure::new(refusal.code).retry_after(refusal.retry_after))?;
        if !request.repeatable && request.key.is_none() && !worker.shared.config.keyless {
            let message = "a request that may not be repeated needs an Idempotency-Key here";
            return Err(Failure::with_message(Code::BadHeader, message));
        }
        let (to, pieces) = mpsc::channel(DEPTH);
        let (tell, end) = oneshot::channel();
        let life = async move {
            let request = Rc::new(request);
            let owner = worker.shared.handle.owner().clone();
            let work = async move {
                match request.key.clone() {
                    Some(key) => claimed::run(worker, request, key, to).await,
                    None => worker.run(&request, &to).await,
                }
            };
            let result = owner.guard("request", work).await;
            let result = result.unwrap_or_else(|_| Err(Failure::new(Code::HostFault)));
            let _ = tell.send(result);
            drop((permit, active));
        };
        let task = spawn_local(life.instrument(span));
        let mut running = Running {
            first: None,
            pieces,
            end,
            _task: Task(task),
            busy,
        };
        running.first = running.pieces.recv().await;
        match running.first {
            Some(_) => Ok(running),
            None => Err(running.failure().await),
        }
    }

    /// Why the pieces ended without the closing one.
    async fn failure(&mut self) -> Failure {
        match (&mut self.end).await {
            Ok(Err(failure)) => failure,
            Ok(Ok(())) => Failure::new(Code::StreamBroken),
            Err(_) => Failure::new(Code::HostStopping).ran(Ran::Unknown),
        }
    }

    /// Returns the failure of an answer of which a part was passed on, and logs
    /// it.
    async fn broken_off(&mut self, id: &str) -> Failure {
        let failure = self.failure().await;
        tracing::info!(request = %id, %failure, "answer broken off");
        failure
    }

    async fn next(&mut self) -> Option<Piece> {
        match self.first.take() {
            Some(piece) => Some(piece),
            None => self.pieces.recv().await,
        }
    }

    /// An event stream. One that fails says so and isn't closed as if whole.
    pub(crate) fn into_stream(self, writer: Writer, http: &HttpRequest, id: &str) -> HttpResponse {
        let state = (Some(self), writer, id.to_owned());
        let events = stream::unfold(state, async |(running, writer, id)| {
            let mut running = running?;
            loop {
                let (bytes, more) = match running.next().await {
                    Some(Piece::Text(text)) => (writer.text(&text), true),
                    Some(Piece::End(usage)) => (concat(writer.end(&usage)), false),
                    Some(_) => continue,
                    None => (Writer::failed(&running.broken_off(&id).await), false),
                };
                let rest = more.then_some(running);
                return Some((Ok::<Bytes, io::Error>(bytes), (rest, writer, id)));
            }
        });
        let mut response = HttpResponse::Ok();
        // The closing record tells also a caller that knows no chunks.
        Delimiter::of(http).apply(&mut response);
        response
            .header("X-Almondlock-Request-Id", id)
            .header("Cache-Control", "no-cache")
            .content_type("text/event-stream")
            .streaming(Box::pin(events))
    }

    /// One document; nothing is sent before it is whole.
    pub(crate) async fn into_document(mut self, writer: &Writer, id: &str) -> HttpResponse {
        let mut text = String::new();
        loop {
            match self.next().await {
                Some(Piece::Text(part)) => text.push_str(&part),
                Some(Piece::Restart) => text.clear(),
                Some(Piece::End(usage)) => return document(writer, &text, &usage, id),
                Some(_) => {}
                None => return self.failure().await.to_response(id),
            }
        }
    }

    /// A service's answer. One that fails is broken off: its missing last chunk
    /// tells the caller. A caller that knows no chunks gets the whole answer
    /// with its length, since the end of its connection would tell it nothing.
    pub(crate) async fn into_bytes(
        mut self,
        worker: &Worker,
        http: &HttpRequest,
        id: &str,
    ) -> HttpResponse {
        let (status, content_type) = match self.first.take() {
            Some(Piece::Begin(status, content_type)) => (status, content_type),
            _ => return Failure::new(Code::StreamBroken).to_response(id),
        };
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = HttpResponse::build(status);
        response
            .header("X-Almondlock-Request-Id", id)
            .content_type(content_type);
        let delimiter = Delimiter::of(http);
        if let Delimiter::Connection { .. } = delimiter {
            let answers = &worker.shared.answers;
            return match answers.collect(&mut self, MAX_COLLECTED_BYTES).await {
                Ok((body, hold)) => response.body(held::body(body, hold, self.busy, ())),
                Err(failed) => uncollected(worker, failed).to_response(id),
            };
        }
        let state = (Some(self), delimiter, id.to_owned());
        let bytes = stream::unfold(state, async |(running, delimiter, id)| {
            let mut running = running?;
            loop {
                match running.next().await {
                    Some(Piece::Bytes(bytes)) => {
                        let bytes = Ok::<_, io::Error>(Bytes::from(bytes));
                        return Some((bytes, (Some(running), delimiter, id)));
                    }
                    Some(Piece::End(_)) => return None,
                    Some(_) => {}
                    None => {
                        let failure = running.broken_off(&id).await;
                        drop(running);
                        delimiter.abort(&io::Error::other(failure)).await;
                        return None;
                    }
                }
            }
        });
        response.streaming(Box::pin(bytes))
    }
}

/// The pieces of a service's answer.
impl Source for Running {
    type Piece = Vec<u8>;
    type Error = Failure;

    async fn next(&mut self) -> Option<Result<Vec<u8>, Failure>> {
        loop {
            match Running::next(self).await {
                Some(Piece::Bytes(bytes)) => return Some(Ok(bytes)),
                Some(Piece::End(_)) => return None,
                Some(_) => {}
                None => return Some(Err(self.failure().await)),
            }
        }
    }
}

/// Returns the failure of an answer that was not collected. It may have run.
fn uncollected(worker: &Worker, failed: Failed<Failure>) -> Failure {
    let text = match failed {
        Failed::Source(failure) => return failure,
        Failed::Body(bodies::Error::Shortage) => {
            // Answers that wait for their callers go before those that can be delivered.
            worker.connections.close_stalled(GRACE);
            "there is no memory for the answer now".to_owned()
        }
        Failed::Body(_) => format!("the answer is larger than {MAX_COLLECTED_BYTES} bytes"),
    };
    Failure::with_message(Code::UpstreamFailed, text)
}

fn concat(parts: Vec<Bytes>) -> Bytes {
    let mut all = BytesMut::new();
    parts.iter().for_each(|part| all.extend_from_slice(part));
    all.freeze()
}

fn document(writer: &Writer, text: &str, usage: &Usage, id: &str) -> HttpResponse {
    HttpResponse::Ok()
        .header("X-Almondlock-Request-Id", id)
        .content_type("application/json")
        .body(writer.whole(text, usage))
}
