//! Callers' HTTP.
//!
//! A handler reads and checks a request and starts its life; what comes of it
//! is written by `running`.

use std::{rc::Rc, time::Duration};

use almondlock_base::{
    Code,
    id::{Fingerprint, Service},
    unit::Tokens,
};
use almondlock_intake::{
    bodies::{self, Hold},
    connections::Busy,
};
use almondlock_node::clock;
use almondlock_policy::{poison::passage, prefix};
use almondlock_telemetry::trace::Context;
use almondlock_wire::attempt::Target;
use futures::StreamExt;
use ntex::{
    util::Bytes,
    web::{self, HttpRequest, HttpResponse, types::Payload},
};
use tokio::time::timeout;

use crate::{
    answer::Writer,
    body::{self, Rope, Shape},
    caller::{self, Caller},
    failure::Failure,
    life::Worker,
    request::Request,
    running::Running,
    shared::Active,
};

/// What is left of a refused request's body is read up to this many bytes.
const DRAIN_LIMIT: usize = 256 * 1024;
/// And for this long.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// When to come back to a host with too much in progress.
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);

/// Adds the routes to an application.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/livez", web::get().to(livez))
        .route("/readyz", web::get().to(readyz))
        .route("/v1/models", web::get().to(models))
        .route("/v1/completions", web::post().to(completions))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/services/{name}", web::route().to(service))
        .route("/services/{name}/{tail}*", web::route().to(service));
}

/// Answers with a failure and counts it.
fn refuse(worker: &Worker, failure: &Failure, id: &str) -> HttpResponse {
    worker.shared.refused(failure.code);
    failure.to_response(id)
}

/// The same before the body was read to its end. A server that answers and
/// closes while the caller still sends makes the caller's system throw the
/// answer away; so what is left of a small body is read first, and of a large
/// one while the answer is sent, up to the largest size.
async fn refuse_unread(
    worker: &Worker,
    failure: &Failure,
    id: &str,
    mut payload: Payload,
) -> HttpResponse {
    worker.shared.refused(failure.code);
    let drained = timeout(DRAIN_TIMEOUT, async {
        let mut rest = DRAIN_LIMIT;
        while let Some(Ok(chunk)) = payload.next().await {
            rest = rest.saturating_sub(chunk.len());
            if rest == 0 {
                return false;
            }
        }
        true
    });
    if drained.await.unwrap_or(false) {
        failure.to_response(id)
    } else {
        let limit = worker.shared.config.body_limit;
        worker.shared.bodies.discard(payload, limit);
        failure.to_closing_response(id)
    }
}

/// Answers whatever no route matches.
pub async fn unknown(payload: Payload, state: State) -> HttpResponse {
    let failure = Failure::new(Code::UnknownRoute);
    refuse_unread(&state, &failure, "-", payload).await
}

/// The worker that a handler runs on.
pub type State = web::types::State<Rc<Worker>>;

async fn livez() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

async fn readyz(state: State) -> HttpResponse {
    match unready(&state) {
        None => HttpResponse::Ok().body("ready\n"),
        Some(failure) => failure.to_response("-"),
    }
}

/// Why new requests aren't taken here now.
fn unready(worker: &Worker) -> Option<Failure> {
    let is_sound = worker.shared.handle.owner().is_sound();
    if worker.shared.is_stopping() || !is_sound {
        return Some(Failure::new(Code::HostStopping).retry_after(OVERLOAD_RETRY));
    }
    // Acting on an old configuration might run what has been forbidden since.
    let recent = worker.shared.handle.has_started();
    (!recent).then(|| Failure::new(Code::NotReady).retry_after(OVERLOAD_RETRY))
}

async fn models(request: HttpRequest, state: State) -> HttpResponse {
    let view = state.shared.handle.view().get();
    if let Err(failure) = caller::read(request.headers(), &view, &state.shared.directory()) {
        return failure.to_response("-");
    }
    let list: Vec<serde_json::Value> = view
        .models
        .keys()
        .map(|name| serde_json::json!({"id": name, "object": "model", "owned_by": "almondlock"}))
        .collect();
    HttpResponse::Ok().json(&serde_json::json!({"object": "list", "data": list}))
}

async fn completions(request: HttpRequest, payload: Payload, state: State) -> HttpResponse {
    model(Shape::Text, request, payload, state).await
}

async fn chat(request: HttpRequest, payload: Payload, state: State) -> HttpResponse {
    model(Shape::Chat, request, payload, state).await
}

/// A request that has come in and is counted, but not read.
pub(crate) struct Arrival {
    id: String,
    caller: Caller,
    pub(crate) active: Active,
    pub(crate) busy: Busy,
    context: Context,
    pub(crate) span: tracing::Span,
}

fn arrive(request: &HttpRequest, worker: &Worker) -> Result<Arrival, (String, Failure)> {
    let busy = worker.connections.begin(request.io());
    let peer = worker.shared.handle.peer();
    let id = format!("{}-{:x}", peer.incarnation, worker.shared.next());
    let fail = |failure| (id.clone(), failure);
    if let Some(failure) = unready(worker) {
        return Err(fail(failure));
    }
    let overloaded = || Failure::new(Code::Overloaded).retry_after(OVERLOAD_RETRY);
    let active = worker.shared.enter().ok_or_else(|| fail(overloaded()))?;
    let view = worker.shared.handle.view().get();
    let caller = caller::read(request.headers(), &view, &worker.shared.directory());
    let caller = caller.map_err(fail)?;
    let parent = caller.traceparent.as_deref().and_then(Context::parse);
    let context = worker.with_rng(|rng| match parent {
        Some(parent) => parent.child(rng),
        None => Context::root(rng),
    });
    let parent = parent.map(|parent| parent.span().to_string());
    let span = tracing::info_span!(
        "entry",
        request = %id,
        organisation = %caller.organisation,
        traceparent = %context,
        parent = parent.as_deref().unwrap_or_default(),
    );
    Ok(Arrival {
        id,
        caller,
        active,
        busy,
        context,
        span,
    })
}

/// Reads a body within its bounds of size and time, and those of all bodies.
async fn receive(
    request: &HttpRequest,
    payload: &mut Payload,
    worker: &Worker,
    arrival: &Arrival,
) -> Result<(Bytes, Option<Hold>), Failure> {
    let config = &worker.shared.config;
    let bounds = bodies::Bounds {
        largest: config.body_limit,
        time: config.arrival.min(arrival.caller.allowed),
    };
    let bodies = &worker.shared.bodies;
    let received = bodies.receive(request.headers(), payload, bounds).await;
    arrival.busy.serve();
    received.map_err(|error| match error {
        bodies::Error::TooLarge => {
            let limit = config.body_limit;
            let message = format!("the body is larger than {limit} bytes");
            Failure::with_message(Code::BodyTooLarge, message)
        }
        bodies::Error::Broken | bodies::Error::Pieces => Failure::new(Code::UnreadableBody),
        bodies::Error::Late => Failure::new(Code::SlowRequest),
        bodies::Error::Shortage => Failure::new(error.code()).retry_after(OVERLOAD_RETRY),
    })
}

fn is_json(request: &HttpRequest) -> bool {
    let value = request.headers().get("content-type");
    let value = value.and_then(|v| v.to_str().ok()).unwrap_or_default();
    let essence = value.split(';').next().unwrap_or_default();
    essence.trim().eq_ignore_ascii_case("application/json")
}

async fn model(
    shape: Shape,
    http: HttpRequest,
    mut payload: Payload,
    state: State,
) -> HttpResponse {
    let worker: Rc<Worker> = Rc::clone(&state);
    let arrival = match arrive(&http, &worker) {
        Ok(arrival) => arrival,
        Err((id, failure)) => return refuse_unread(&worker, &failure, &id, payload).await,
    };
    let id = arrival.id.clone();
    let read = read_model(shape, &http, &mut payload, &worker, &arrival).await;
    let (request, usage) = match read {
        Ok(read) => read,
        Err(failure) => return refuse_unread(&worker, &failure, &id, payload).await,
    };
    let name = match &request.target {
        Target::Model(model, _) => model.to_string(),
        Target::Service(service) => service.to_string(),
    };
    let writer = Writer::new(shape, &id, clock::wall(), &name, usage);
    let streamed = request.stream;
    match Running::start(Rc::clone(&worker), request, arrival).await {
        Err(failure) => refuse(&worker, &failure, &id),
        Ok(running) if streamed => running.into_stream(writer, &http, &id),
        Ok(running) => running.into_document(&writer, &id).await,
    }
}

async fn read_model(
    shape: Shape,
    http: &HttpRequest,
    payload: &mut Payload,
    worker: &Rc<Worker>,
    arrival: &Arrival,
) -> Result<(Request, bool), Failure> {
    if !is_json(http) {
        return Err(Failure::new(Code::WrongType));
    }
    let arrived = clock::mono();
    let (bytes, hold) = receive(http, payload, worker, arrival).await?;
    let (spec, rope) = body::read(shape, &bytes)?;
    let view = worker.shared.handle.view().get();
    let (context, adapter) = match &spec.target {
        Target::Model(model, adapter) => {
            let known = view.models.get(model);
            let known = known.ok_or_else(|| Failure::new(Code::UnknownModel))?;
            let has = adapter
                .as_ref()
                .is_none_or(|a| known.adapters.contains_key(a));
            (known.context, has)
        }
        Target::Service(_) => return Err(Failure::new(Code::UnknownModel)),
    };
    if !adapter {
        return Err(Failure::with_message(Code::UnknownModel, "no such adapter"));
    }
    let text = &bytes[spec.prompt.0..spec.prompt.1];
    let length = match &spec.target {
        Target::Model(model, _) => worker.shared.estimate(model, text.len()),
        Target::Service(_) => Tokens::ZERO,
    };
    if length + spec.output > context {
        let message = format!(
            "the prompt and its answer take about {length} + {} tokens of {context}",
            spec.output
        );
        return Err(Failure::with_message(Code::PromptTooLong, message));
    }
    let caller = &arrival.caller;
    let repeatable = caller.repeatable.unwrap_or(caller.key.is_none());
    let prefix = prefix::hashes(text);
    let request = Request {
        id: arrival.id.clone(),
        organisation: caller.organisation.clone(),
        share: caller.limits.share.max(1),
        target: spec.target,
        method: "POST".to_owned(),
        path: shape.path().to_owned(),
        content_type: "application/json".to_owned(),
        fingerprint: Fingerprint::new(&caller.organisation, shape.path(), &bytes),
        digest: digest(shape.path(), &bytes),
        body: rope.with_hold(hold),
        prompt_bytes: text.len(),
        prompt_span: text.starts_with(b"\"").then_some(spec.prompt),
        prompt: length,
        output: spec.output,
        passages: passage::prints(&caller.organisation, &prefix),
        prefix,
        stream: spec.stream,
        repeatable,
        key: caller.key.clone(),
        deadline: arrived + caller.allowed,
        arrived,
        context: arrival.context,
    };
    Ok((request, spec.usage))
}

fn digest(path: &str, body: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(path.len() as u64).to_le_bytes());
    hasher.update(path.as_bytes());
    hasher.update(body);
    *hasher.finalize().as_bytes()
}

async fn service(http: HttpRequest, mut payload: Payload, state: State) -> HttpResponse {
    let worker: Rc<Worker> = Rc::clone(&state);
    let arrival = match arrive(&http, &worker) {
        Ok(arrival) => arrival,
        Err((id, failure)) => return refuse_unread(&worker, &failure, &id, payload).await,
    };
    let id = arrival.id.clone();
    let request = match read_service(&http, &mut payload, &worker, &arrival).await {
        Ok(request) => request,
        Err(failure) => return refuse_unread(&worker, &failure, &id, payload).await,
    };
    match Running::start(Rc::clone(&worker), request, arrival).await {
        Err(failure) => refuse(&worker, &failure, &id),
        Ok(running) => running.into_bytes(&worker, &http, &id).await,
    }
}

async fn read_service(
    http: &HttpRequest,
    payload: &mut Payload,
    worker: &Rc<Worker>,
    arrival: &Arrival,
) -> Result<Request, Failure> {
    let unknown = || Failure::new(Code::UnknownService);
    let name = http.match_info().get("name").unwrap_or_default();
    let name = Service::new(name).map_err(|_| unknown())?;
    let view = worker.shared.handle.view().get();
    let known = view.services.get(&name).ok_or_else(unknown)?;
    let method = http.method().as_str();
    let listed = known.repeatable.iter().any(|m| m == method);
    let arrived = clock::mono();
    let (bytes, hold) = receive(http, payload, worker, arrival).await?;
    let uri = http.uri().path_and_query().map_or("/", |p| p.as_str());
    let prefix = format!("/services/{name}");
    let path = uri.strip_prefix(&prefix).unwrap_or(uri);
    let path = if path.starts_with('/') {
        path.to_owned()
    } else {
        format!("/{path}")
    };
    let caller = &arrival.caller;
    // Only a method that is listed may be repeated, whatever the caller says;
    // a caller may forbid it for one that is.
    let repeatable = listed && caller.repeatable.unwrap_or(true) && caller.key.is_none();
    let told = format!("{method} {path}");
    let content_type = http.headers().get("content-type");
    let content_type = content_type
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default();
    Ok(Request {
        id: arrival.id.clone(),
        organisation: caller.organisation.clone(),
        share: caller.limits.share.max(1),
        target: Target::Service(name),
        method: method.to_owned(),
        path,
        content_type: content_type.to_owned(),
        fingerprint: Fingerprint::new(&caller.organisation, &told, &bytes),
        digest: digest(&told, &bytes),
        prompt_bytes: 0,
        prompt_span: None,
        prompt: Tokens(1),
        output: Tokens(1),
        body: Rope::whole(bytes).with_hold(hold),
        prefix: Vec::new(),
        passages: Vec::new(),
        stream: true,
        repeatable,
        key: caller.key.clone(),
        deadline: arrived + caller.allowed,
        arrived,
        context: arrival.context,
    })
}
